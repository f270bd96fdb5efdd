//! Connections to workers, between nodes and from clients, against raw stand-ins.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};
use sumacvale_node::upstream::{
    ConnectError, ConnectionRequirements, KeepAliveHints, SendError, Target, Timeouts, UpstreamConnection,
    UpstreamPool, connection_share, safe_idle_time,
};

type Res = Result<(), Box<dyn std::error::Error>>;

/// What a stand-in does with one request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Act {
    Whole,
    /// An answer, and another one at once behind it.
    Twice,
    /// An answer, and another one when the test says so.
    Late,
    /// An answer that says that the connection ends, which stays open.
    SaysClose,
    /// An answer that says that this connection takes no more requests, without `Connection: close`.
    Last,
    /// An answer, and the end when the test says so.
    Ends,
    /// An answer that tells how long the connection is kept.
    Keeps(u64),
    /// The first half of an answer.
    Half,
    /// An end without an answer.
    Nothing,
}

struct Standin {
    addr: SocketAddr,
    conns: Arc<AtomicUsize>,
    go: Sender<()>,
    did: Receiver<()>,
}

fn read(s: &mut TcpStream) -> Option<String> {
    let (mut b, mut o) = ([0; 1024], Vec::new());
    while !o.ends_with(b"\r\n\r\n") {
        let n = s.read(&mut b).ok().filter(|n| *n > 0)?;
        o.extend_from_slice(&b[..n]);
    }
    String::from_utf8_lossy(&o).split(' ').nth(1).map(str::to_owned)
}

fn say(s: &mut TcpStream, head: &str, path: &str) -> std::io::Result<()> {
    s.write_all(format!("HTTP/1.1 200 OK\r\n{head}content-length: {}\r\n\r\n{path}", path.len()).as_bytes())
}

impl Standin {
    /// Answers each request with its own path, in the ways given, one after another.
    fn new(acts: &[Act]) -> std::io::Result<Self> {
        let l = TcpListener::bind("127.0.0.1:0")?;
        let addr = l.local_addr()?;
        let conns = Arc::new(AtomicUsize::new(0));
        let (go, wait) = channel();
        let (tell, did) = channel();
        let wait = Arc::new(std::sync::Mutex::new(wait));
        let acts = Arc::new(std::sync::Mutex::new(acts.to_vec()));
        let n = conns.clone();
        std::thread::spawn(move || {
            for s in l.incoming().map_while(Result::ok) {
                n.fetch_add(1, Ordering::SeqCst);
                let (acts, wait, tell) = (acts.clone(), wait.clone(), tell.clone());
                std::thread::spawn(move || {
                    let mut s = s;
                    while let Some(p) = read(&mut s) {
                        let a = acts.lock().ok().filter(|a| !a.is_empty()).map_or(Act::Whole, |mut a| a.remove(0));
                        let word = || wait.lock().is_ok_and(|w| w.recv().is_ok());
                        let _ = match a {
                            Act::Whole => say(&mut s, "", &p),
                            Act::SaysClose => say(&mut s, "Connection: close\r\n", &p),
                            Act::Last => say(&mut s, "Keep-Alive: timeout=9, max=0\r\n", &p),
                            Act::Keeps(n) => say(&mut s, &format!("Keep-Alive: timeout={n}, max=9\r\n"), &p),
                            Act::Twice => {
                                let one = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{p}", p.len());
                                s.write_all(format!("{one}{}", one.replace(&p, "/wrong")).as_bytes())
                            }
                            Act::Late => {
                                let _ = say(&mut s, "", &p);
                                let _ = word() && say(&mut s, "", "/wrong").is_ok();
                                let _ = tell.send(());
                                Ok(())
                            }
                            Act::Ends => {
                                let _ = say(&mut s, "", &p);
                                let _ = word() && s.shutdown(std::net::Shutdown::Both).is_ok();
                                let _ = tell.send(());
                                return;
                            }
                            Act::Half => {
                                let _ = s.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n/ha");
                                return;
                            }
                            Act::Nothing => return,
                        };
                    }
                });
            }
        });
        Ok(Standin { addr, conns, go, did })
    }

    fn conns(&self) -> usize {
        self.conns.load(Ordering::SeqCst)
    }

    fn target(&self, worker_id: &str, incarnation: u64) -> Target {
        Target { addr: self.addr, worker_id: worker_id.into(), incarnation }
    }

    /// Lets the stand-in do what it holds back, and blocks until that is done.
    fn word(&self) -> Res {
        self.go.send(())?;
        Ok(self.did.recv_timeout(Duration::from_secs(5))?)
    }
}

/// One request, and whether its connection had been used before.
async fn call(
    pool: &UpstreamPool,
    to: &Target,
    want: ConnectionRequirements,
    path: &str,
) -> Result<(bool, String), String> {
    let connection = UpstreamConnection::to(to.clone()).open(pool, want).await.map_err(|e| match e {
        ConnectError::LimitReached => "full".to_owned(),
        ConnectError::Io(e) => e.to_string(),
    })?;
    let old = connection.is_reused();
    let request =
        hyper::Request::get(path).header("host", "x").body(Full::new(Bytes::new())).map_err(|e| e.to_string())?;
    let (response, connection) = connection.send(request).await.map_err(|e: SendError| format!("{e:?}"))?;
    let body = response.into_body().collect().await.map_err(|_| "broke".to_owned())?.to_bytes();
    connection.return_idle(pool);
    Ok((old, String::from_utf8_lossy(&body).into_owned()))
}

fn rt<F: Future<Output = Res>>(f: F) -> Res {
    let rt = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    rt.block_on(async { tokio::time::timeout(Duration::from_secs(20), f).await? })
}

const ONCE: ConnectionRequirements =
    ConnectionRequirements { must_be_new: false, is_non_idempotent: true, max_connections: 0 };
const MANY: ConnectionRequirements =
    ConnectionRequirements { must_be_new: false, is_non_idempotent: false, max_connections: 0 };

#[test]
fn a_kept_connection_is_used_only_when_it_is_sure() -> Res {
    // What the stand-in does with the first request, whether it is told to go on before the
    // second one, and whether that may use the same connection.
    let table = [
        (Act::Whole, false, MANY, true),
        (Act::Whole, false, ONCE, true),
        (Act::Whole, false, ConnectionRequirements { must_be_new: true, ..MANY }, false),
        (Act::Keeps(5), false, ONCE, true),
        (Act::Keeps(0), false, MANY, false),
        (Act::SaysClose, false, MANY, false),
        (Act::Last, false, MANY, false),
        (Act::Twice, false, MANY, false),
        (Act::Late, true, MANY, false),
        (Act::Ends, true, MANY, false),
        (Act::Ends, true, ONCE, false),
    ];
    for (act, word, want, same) in table {
        rt(async {
            let s = Standin::new(&[act])?;
            let (w, to) = (UpstreamPool::default(), s.target("a", 1));
            let one = call(&w, &to, MANY, "/1").await?;
            assert_eq!(one, (false, "/1".into()), "{act:?}");
            if word {
                // This thread blocks, so nobody but the kernel has seen what came.
                s.word()?;
            }
            let two = call(&w, &to, want, "/2").await?;
            assert_eq!(two, (same, "/2".into()), "{act:?} {want:?}");
            assert_eq!(s.conns(), if same { 1 } else { 2 }, "{act:?} {want:?}");
            Ok(())
        })?;
    }
    Ok(())
}

#[test]
fn what_comes_between_the_look_and_the_write_keeps_a_request_back() -> Res {
    // The connection was looked at when it was taken; then bytes come, or the end.
    for act in [Act::Late, Act::Ends] {
        rt(async {
            let s = Standin::new(&[act])?;
            let (w, to) = (UpstreamPool::default(), s.target("a", 1));
            assert_eq!(call(&w, &to, MANY, "/1").await?, (false, "/1".into()));
            let l = UpstreamConnection::to(to.clone()).open(&w, ONCE).await.map_err(|e| format!("{e:?}"))?;
            assert!(l.is_reused(), "{act:?}");
            s.word()?;
            let q = hyper::Request::get("/2").header("host", "x").body(Full::new(Bytes::new()))?;
            assert_eq!(l.send(q).await.err(), Some(SendError::StaleConnection), "{act:?}");
            assert_eq!(call(&w, &to, MANY, "/3").await?, (false, "/3".into()), "{act:?}");
            Ok(())
        })?;
    }
    Ok(())
}

#[test]
fn many_answers_behind_answers_reach_nobody() -> Res {
    rt(async {
        let acts: Vec<Act> = (0..200).map(|i| if i % 3 == 1 { Act::Twice } else { Act::Whole }).collect();
        let s = Standin::new(&acts)?;
        let (w, to) = (UpstreamPool::default(), s.target("a", 1));
        for i in 0..200 {
            let p = format!("/{i}");
            assert_eq!(call(&w, &to, MANY, &p).await?.1, p);
        }
        Ok(())
    })
}

#[test]
fn an_address_passes_on_without_its_connections() -> Res {
    let table = [(("a", 1), ("a", 1), true), (("a", 1), ("a", 2), false), (("a", 1), ("b", 1), false)];
    for (one, two, same) in table {
        rt(async {
            let s = Standin::new(&[])?;
            let w = UpstreamPool::default();
            call(&w, &s.target(one.0, one.1), MANY, "/1").await?;
            let (old, _) = call(&w, &s.target(two.0, two.1), MANY, "/2").await?;
            assert_eq!(old, same, "{one:?} {two:?}");
            assert_eq!(w.connection_counts(&s.target(two.0, two.1)).0, 1);
            w.evict_expired(|_, _| false);
            assert_eq!(w.connection_counts(&s.target(two.0, two.1)).0, 0);
            Ok(())
        })?;
    }
    Ok(())
}

#[test]
fn a_broken_answer_is_told_and_its_connection_is_gone() -> Res {
    for (act, want) in [(Act::Half, "broke"), (Act::Nothing, "MaybeSent")] {
        rt(async {
            let s = Standin::new(&[act])?;
            let (w, to) = (UpstreamPool::default(), s.target("a", 1));
            assert_eq!(call(&w, &to, MANY, "/1").await, Err(want.to_owned()));
            assert_eq!(call(&w, &to, MANY, "/2").await?, (false, "/2".into()));
            Ok(())
        })?;
    }
    Ok(())
}

#[test]
fn there_are_no_more_connections_than_may_be() -> Res {
    rt(async {
        let s = Standin::new(&[])?;
        let (w, to) = (UpstreamPool::new(Timeouts { permit_wait: 5_000, ..Timeouts::default() }), s.target("a", 1));
        let want = ConnectionRequirements { max_connections: 2, ..MANY };
        let one = UpstreamConnection::to(to.clone()).open(&w, want).await.map_err(|e| format!("{e:?}"))?;
        let two = UpstreamConnection::to(to.clone()).open(&w, want).await.map_err(|e| format!("{e:?}"))?;
        assert_eq!(w.connection_counts(&to), (0, 2));
        assert_eq!(call(&w, &to, want, "/3").await, Err("full".into()));
        // One that comes free is taken by who waits; one that is kept gives its place to a new one.
        drop(one);
        assert_eq!(call(&w, &to, want, "/4").await?, (false, "/4".into()));
        assert_eq!(call(&w, &to, want, "/5").await?, (true, "/5".into()));
        assert_eq!(
            call(&w, &to, ConnectionRequirements { must_be_new: true, ..want }, "/6").await?,
            (false, "/6".into())
        );
        drop(two);
        let (a, b) = tokio::join!(call(&w, &to, want, "/7"), call(&w, &to, want, "/8"));
        assert_eq!((a?.1, b?.1), ("/7".into(), "/8".into()));
        assert!(w.connection_counts(&to).1 <= 2);
        Ok(())
    })
}

#[test]
fn what_a_worker_tells_of_its_connections() -> Res {
    let s = 1_000_000;
    let table: [(&[(&str, &str)], KeepAliveHints); 7] = [
        (&[], KeepAliveHints { closes: false, idle_timeout: None }),
        (&[("connection", "keep-alive")], KeepAliveHints { closes: false, idle_timeout: None }),
        (&[("connection", "x, Close")], KeepAliveHints { closes: true, idle_timeout: None }),
        (&[("keep-alive", "timeout=4, max=100")], KeepAliveHints { closes: false, idle_timeout: Some(4 * s) }),
        (&[("keep-alive", "max=0")], KeepAliveHints { closes: true, idle_timeout: None }),
        (&[("keep-alive", "timeout=soon")], KeepAliveHints { closes: false, idle_timeout: None }),
        (
            &[("connection", "close"), ("keep-alive", "timeout=1")],
            KeepAliveHints { closes: true, idle_timeout: Some(s) },
        ),
    ];
    for (hs, want) in table {
        let mut m = hyper::HeaderMap::new();
        for (k, v) in hs {
            m.append(*k, v.parse()?);
        }
        assert_eq!(KeepAliveHints::from_headers(hyper::Version::HTTP_11, &m), want, "{hs:?}");
    }
    for (t, want) in [(0, 0), (s, s / 2), (2 * s, s), (15 * s, 14 * s)] {
        assert_eq!(safe_idle_time(t), want);
    }
    for ((all, fronts), want) in [((370, 10), 37), ((110, 60), 2), ((8, 0), 8)] {
        assert_eq!(connection_share(all, fronts), want);
    }
    Ok(())
}

fn option(fd: i32, level: i32, name: i32) -> i32 {
    let (mut v, mut n) = (0i32, 4u32);
    // SAFETY: both places outlive the call.
    unsafe { libc::getsockopt(fd, level, name, (&raw mut v).cast(), &raw mut n) };
    v
}

#[test]
fn connections_ask_after_silent_peers() -> Res {
    let l = TcpListener::bind("127.0.0.1:0")?;
    let s = TcpStream::connect(l.local_addr()?)?;
    sumacvale_node::net::tune(&s, Duration::from_secs(2));
    let t = |n| option(s.as_raw_fd(), libc::IPPROTO_TCP, n);
    assert_eq!((t(libc::TCP_USER_TIMEOUT), t(libc::TCP_KEEPIDLE), t(libc::TCP_KEEPINTVL)), (2000, 1, 1));
    assert!(t(libc::TCP_NODELAY) != 0 && option(s.as_raw_fd(), libc::SOL_SOCKET, libc::SO_KEEPALIVE) != 0);
    Ok(())
}

async fn frame(s: &mut tokio::net::TcpStream) -> std::io::Result<Vec<u8>> {
    use tokio::io::AsyncReadExt;
    let n = s.read_u32_le().await?;
    let mut b = vec![0; n as usize];
    s.read_exact(&mut b).await?;
    Ok(b)
}

#[test]
fn frames_wait_for_a_node_that_comes_back() -> Res {
    rt(tokio::task::LocalSet::new().run_until(async {
        let tally = Arc::new(sumacvale_node::link::LinkCounters::default());
        let mut links = sumacvale_node::link::OutboundLinks::new(tally.clone());
        let l = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
        let at = l.local_addr()?;
        drop(l);
        links.send(&at.to_string(), vec![1], false);
        links.send(&at.to_string(), vec![2; 70_000], false);
        // Refused a few times before anyone listens.
        for _ in 0..200 {
            tokio::task::yield_now().await;
        }
        let l = tokio::net::TcpListener::bind(at).await?;
        let begin = Instant::now();
        let (mut s, _) = l.accept().await?;
        assert_eq!((frame(&mut s).await?, frame(&mut s).await?.len()), (vec![1], 70_000));
        assert!(begin.elapsed() < Duration::from_millis(500), "{:?}", begin.elapsed());
        for i in 3..50 {
            links.send(&at.to_string(), vec![i], false);
        }
        for i in 3..50 {
            assert_eq!(frame(&mut s).await?, vec![i]);
        }
        // The other side ends: what is sent later goes over a new connection, and nothing of it is lost.
        drop(s);
        let (a, ()) = tokio::join!(l.accept(), async {
            for _ in 0..50 {
                tokio::task::yield_now().await;
            }
            links.send(&at.to_string(), vec![99], false);
        });
        assert_eq!(frame(&mut a?.0).await?, vec![99]);
        assert_eq!(tally.dropped_frames.load(Ordering::Relaxed), 0);
        Ok(())
    }))
}

async fn end(s: &mut tokio::net::TcpStream) -> std::io::Result<String> {
    use tokio::io::AsyncReadExt;
    let mut o = Vec::new();
    s.read_to_end(&mut o).await?;
    Ok(String::from_utf8_lossy(&o).into_owned())
}

#[test]
fn connections_of_clients_end_in_time() -> Res {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    const ASK: &str = "GET /a HTTP/1.1\r\nhost: x\r\n\r\n";
    // What a client sends, and how long a head and an idle time may be: all but the first end by themselves.
    let table = [
        ("", 60_000, 50, ""),
        ("GET /a HT", 50, 60_000, ""),
        (ASK, 60_000, 50, "hello"),
        ("GET /a HTTP/1.1\r\nhost: x\r\n\r\nGET", 60_000, 50, "hello"),
        ("GET /a HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n", 60_000, 60_000, "hello"),
        ("NONSENSE\r\n\r\n", 60_000, 60_000, " 400 "),
    ];
    rt(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
        let at = listener.local_addr()?;
        let lim = Arc::new(sumacvale_node::serve::ConnectionLimits::default());
        let (stop, hear) = tokio::sync::watch::channel(false);
        let (go, wait) = tokio::sync::watch::channel(false);
        let routes = viz::Router::new().get("/a", |_: viz::Request| async { Ok::<_, viz::Error>("hello") }).get(
            "/slow",
            move |_: viz::Request| {
                let mut wait = wait.clone();
                async move {
                    let _ = wait.wait_for(|x| *x).await;
                    Ok::<_, viz::Error>("slow")
                }
            },
        );
        let all = tokio::spawn(sumacvale_node::serve::run(listener, routes, 100, lim.clone(), hear));
        for (q, head, idle, want) in table {
            lim.set_header_timeout(head * 1_000);
            lim.set_idle_timeout(idle * 1_000);
            let mut s = tokio::net::TcpStream::connect(at).await?;
            s.write_all(q.as_bytes()).await?;
            let t = end(&mut s).await?;
            assert!(if want.is_empty() { t.is_empty() } else { t.contains(want) }, "{q:?}: {t:?}");
        }
        // An answer under way outlives the idle time, and the stop; an idle connection ends with the stop.
        lim.set_header_timeout(60_000_000);
        lim.set_idle_timeout(60_000_000);
        let mut idle = tokio::net::TcpStream::connect(at).await?;
        idle.write_all(ASK.as_bytes()).await?;
        let mut b = [0; 512];
        let n = idle.read(&mut b).await?;
        assert!(String::from_utf8_lossy(&b[..n]).contains("hello"));
        let mut busy = tokio::net::TcpStream::connect(at).await?;
        busy.write_all(ASK.replace("/a", "/slow").as_bytes()).await?;
        // The loop has taken both when a third one is answered.
        let mut third = tokio::net::TcpStream::connect(at).await?;
        third.write_all(ASK.replace("host", "connection: close\r\nhost").as_bytes()).await?;
        assert!(end(&mut third).await?.contains("hello"));
        stop.send(true)?;
        assert_eq!(end(&mut idle).await?, "");
        go.send(true)?;
        let t = end(&mut busy).await?;
        assert!(t.contains("slow") && t.to_lowercase().contains("connection: close"), "{t}");
        drop((idle, busy, third));
        all.await?;
        Ok(())
    })
}
