//! Connections to workers, between nodes and from clients, against stubs on plain sockets.

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

/// What a stub worker does with one request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum WorkerAction {
    /// Sends a complete response.
    Respond,
    /// Sends a response directly followed by a second one.
    RespondTwice,
    /// Sends a response, and a second one when triggered.
    RespondAgainLater,
    /// Sends a response with `Connection: close` and keeps the connection open.
    AnnounceClose,
    /// Sends a response that announces with `Keep-Alive: max=0` that the connection takes no more requests.
    AnnounceLastRequest,
    /// Sends a response, and closes the connection when triggered.
    CloseLater,
    /// Sends a response that announces the idle time-out in seconds.
    AnnounceIdleTimeout(u64),
    /// Sends a truncated response.
    Truncate,
    /// Closes the connection without a response.
    CloseWithoutResponse,
}

/// A stub worker that responds to each request with its path.
struct StubWorker {
    addr: SocketAddr,
    connection_count: Arc<AtomicUsize>,
    trigger: Sender<()>,
    done: Receiver<()>,
}

/// Reads the head of a request and returns its path; `None` at the end of the connection.
fn read_path(stream: &mut TcpStream) -> Option<String> {
    let (mut buffer, mut head) = ([0; 1024], Vec::new());
    while !head.ends_with(b"\r\n\r\n") {
        let count = stream.read(&mut buffer).ok().filter(|count| *count > 0)?;
        head.extend_from_slice(&buffer[..count]);
    }
    String::from_utf8_lossy(&head).split(' ').nth(1).map(str::to_owned)
}

/// Writes a response with these headers, whose body is `path`.
fn respond(stream: &mut TcpStream, headers: &str, path: &str) -> std::io::Result<()> {
    stream.write_all(format!("HTTP/1.1 200 OK\r\n{headers}content-length: {}\r\n\r\n{path}", path.len()).as_bytes())
}

impl StubWorker {
    /// Starts a worker that carries out one action for each request; requests after these get a complete response.
    fn new(actions: &[WorkerAction]) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let connection_count = Arc::new(AtomicUsize::new(0));
        let (trigger, trigger_receiver) = channel();
        let (done_sender, done) = channel();
        let trigger_receiver = Arc::new(std::sync::Mutex::new(trigger_receiver));
        let actions = Arc::new(std::sync::Mutex::new(actions.to_vec()));
        let accepted_count = connection_count.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                accepted_count.fetch_add(1, Ordering::SeqCst);
                let (actions, trigger_receiver, done_sender) =
                    (actions.clone(), trigger_receiver.clone(), done_sender.clone());
                std::thread::spawn(move || {
                    let mut stream = stream;
                    while let Some(path) = read_path(&mut stream) {
                        let action = actions
                            .lock()
                            .ok()
                            .filter(|actions| !actions.is_empty())
                            .map_or(WorkerAction::Respond, |mut actions| actions.remove(0));
                        let is_triggered = || trigger_receiver.lock().is_ok_and(|receiver| receiver.recv().is_ok());
                        let _ = match action {
                            WorkerAction::Respond => respond(&mut stream, "", &path),
                            WorkerAction::AnnounceClose => respond(&mut stream, "Connection: close\r\n", &path),
                            WorkerAction::AnnounceLastRequest => {
                                respond(&mut stream, "Keep-Alive: timeout=9, max=0\r\n", &path)
                            }
                            WorkerAction::AnnounceIdleTimeout(seconds) => {
                                respond(&mut stream, &format!("Keep-Alive: timeout={seconds}, max=9\r\n"), &path)
                            }
                            WorkerAction::RespondTwice => {
                                let response =
                                    format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{path}", path.len());
                                stream.write_all(format!("{response}{}", response.replace(&path, "/wrong")).as_bytes())
                            }
                            WorkerAction::RespondAgainLater => {
                                let _ = respond(&mut stream, "", &path);
                                let _ = is_triggered() && respond(&mut stream, "", "/wrong").is_ok();
                                let _ = done_sender.send(());
                                Ok(())
                            }
                            WorkerAction::CloseLater => {
                                let _ = respond(&mut stream, "", &path);
                                let _ = is_triggered() && stream.shutdown(std::net::Shutdown::Both).is_ok();
                                let _ = done_sender.send(());
                                return;
                            }
                            WorkerAction::Truncate => {
                                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n/ha");
                                return;
                            }
                            WorkerAction::CloseWithoutResponse => return,
                        };
                    }
                });
            }
        });
        Ok(StubWorker { addr, connection_count, trigger, done })
    }

    /// Returns the number of connections accepted so far.
    fn connection_count(&self) -> usize {
        self.connection_count.load(Ordering::SeqCst)
    }

    fn target(&self, worker_id: &str, incarnation: u64) -> Target {
        Target { addr: self.addr, worker_id: worker_id.into(), incarnation }
    }

    /// Triggers the delayed action and blocks until it is done.
    fn trigger(&self) -> Res {
        self.trigger.send(())?;
        Ok(self.done.recv_timeout(Duration::from_secs(5))?)
    }
}

/// Makes one request. Returns whether its connection was reused, and the body of the response.
async fn call(
    pool: &UpstreamPool,
    target: &Target,
    requirements: ConnectionRequirements,
    path: &str,
) -> Result<(bool, String), String> {
    let connection = UpstreamConnection::to(target.clone()).open(pool, requirements).await.map_err(|e| match e {
        ConnectError::LimitReached => "full".to_owned(),
        ConnectError::Io(e) => e.to_string(),
    })?;
    let is_reused = connection.is_reused();
    let request =
        hyper::Request::get(path).header("host", "x").body(Full::new(Bytes::new())).map_err(|e| e.to_string())?;
    let (response, connection) = connection.send(request).await.map_err(|e: SendError| format!("{e:?}"))?;
    let body = response.into_body().collect().await.map_err(|_| "broke".to_owned())?.to_bytes();
    connection.return_idle(pool);
    Ok((is_reused, String::from_utf8_lossy(&body).into_owned()))
}

/// Runs a test on a runtime of one thread, with a time-out of 20 s.
fn run<F: Future<Output = Res>>(test: F) -> Res {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async { tokio::time::timeout(Duration::from_secs(20), test).await? })
}

const NON_IDEMPOTENT: ConnectionRequirements =
    ConnectionRequirements { must_be_new: false, is_non_idempotent: true, max_connections: 0 };
const IDEMPOTENT: ConnectionRequirements =
    ConnectionRequirements { must_be_new: false, is_non_idempotent: false, max_connections: 0 };

/// A reused connection that the worker has closed, or on which it has sent surplus bytes, would lose the request or
/// return the response to another one.
#[test]
fn an_idle_connection_is_reused_only_if_it_is_open_and_silent() -> Res {
    // The action for the first request, whether it has a delayed part that is triggered before the second request,
    // the requirements of the second request, and whether the second request reuses the connection.
    let table = [
        (WorkerAction::Respond, false, IDEMPOTENT, true),
        (WorkerAction::Respond, false, NON_IDEMPOTENT, true),
        (WorkerAction::Respond, false, ConnectionRequirements { must_be_new: true, ..IDEMPOTENT }, false),
        (WorkerAction::AnnounceIdleTimeout(5), false, NON_IDEMPOTENT, true),
        (WorkerAction::AnnounceIdleTimeout(0), false, IDEMPOTENT, false),
        (WorkerAction::AnnounceClose, false, IDEMPOTENT, false),
        (WorkerAction::AnnounceLastRequest, false, IDEMPOTENT, false),
        (WorkerAction::RespondTwice, false, IDEMPOTENT, false),
        (WorkerAction::RespondAgainLater, true, IDEMPOTENT, false),
        (WorkerAction::CloseLater, true, IDEMPOTENT, false),
        (WorkerAction::CloseLater, true, NON_IDEMPOTENT, false),
    ];
    for (action, has_delayed_part, requirements, is_reused) in table {
        run(async {
            let worker = StubWorker::new(&[action])?;
            let (pool, target) = (UpstreamPool::default(), worker.target("a", 1));
            let first = call(&pool, &target, IDEMPOTENT, "/1").await?;
            assert_eq!(first, (false, "/1".into()), "{action:?}");
            if has_delayed_part {
                // This thread blocks meanwhile, so only the kernel has seen what the worker sent.
                worker.trigger()?;
            }
            let second = call(&pool, &target, requirements, "/2").await?;
            assert_eq!(second, (is_reused, "/2".into()), "{action:?} {requirements:?}");
            assert_eq!(worker.connection_count(), if is_reused { 1 } else { 2 }, "{action:?} {requirements:?}");
            Ok(())
        })?;
    }
    Ok(())
}

/// Bytes or a close can arrive after the connection was checked and before the request is written. The request must
/// then not be sent, so that it can be retried.
#[test]
fn a_request_is_withheld_if_the_worker_acts_between_check_and_write() -> Res {
    // The pool checks the connection when it is opened; the worker acts after that.
    for action in [WorkerAction::RespondAgainLater, WorkerAction::CloseLater] {
        run(async {
            let worker = StubWorker::new(&[action])?;
            let (pool, target) = (UpstreamPool::default(), worker.target("a", 1));
            assert_eq!(call(&pool, &target, IDEMPOTENT, "/1").await?, (false, "/1".into()));
            let connection = UpstreamConnection::to(target.clone())
                .open(&pool, NON_IDEMPOTENT)
                .await
                .map_err(|e| format!("{e:?}"))?;
            assert!(connection.is_reused(), "{action:?}");
            worker.trigger()?;
            let request = hyper::Request::get("/2").header("host", "x").body(Full::new(Bytes::new()))?;
            assert_eq!(connection.send(request).await.err(), Some(SendError::StaleConnection), "{action:?}");
            assert_eq!(call(&pool, &target, IDEMPOTENT, "/3").await?, (false, "/3".into()), "{action:?}");
            Ok(())
        })?;
    }
    Ok(())
}

/// Every third response is followed by a surplus one, which must not be taken for the response to the next request.
#[test]
fn surplus_responses_reach_no_later_request() -> Res {
    run(async {
        let actions: Vec<WorkerAction> = (0..200)
            .map(|index| if index % 3 == 1 { WorkerAction::RespondTwice } else { WorkerAction::Respond })
            .collect();
        let worker = StubWorker::new(&actions)?;
        let (pool, target) = (UpstreamPool::default(), worker.target("a", 1));
        for index in 0..200 {
            let path = format!("/{index}");
            assert_eq!(call(&pool, &target, IDEMPOTENT, &path).await?.1, path);
        }
        Ok(())
    })
}

/// Another worker or incarnation can take over an address. It must not receive requests on the connections of the one
/// before.
#[test]
fn connections_are_reused_only_for_the_same_incarnation() -> Res {
    let table = [(("a", 1), ("a", 1), true), (("a", 1), ("a", 2), false), (("a", 1), ("b", 1), false)];
    for (first, second, is_reused) in table {
        run(async {
            let worker = StubWorker::new(&[])?;
            let pool = UpstreamPool::default();
            call(&pool, &worker.target(first.0, first.1), IDEMPOTENT, "/1").await?;
            let (was_reused, _) = call(&pool, &worker.target(second.0, second.1), IDEMPOTENT, "/2").await?;
            assert_eq!(was_reused, is_reused, "{first:?} {second:?}");
            assert_eq!(pool.connection_counts(&worker.target(second.0, second.1)).0, 1);
            pool.evict_expired(|_, _| false);
            assert_eq!(pool.connection_counts(&worker.target(second.0, second.1)).0, 0);
            Ok(())
        })?;
    }
    Ok(())
}

/// A truncated or missing response must be reported, and the next request must use a new connection.
#[test]
fn an_aborted_response_is_an_error_and_its_connection_is_not_reused() -> Res {
    for (action, error) in [(WorkerAction::Truncate, "broke"), (WorkerAction::CloseWithoutResponse, "MaybeSent")] {
        run(async {
            let worker = StubWorker::new(&[action])?;
            let (pool, target) = (UpstreamPool::default(), worker.target("a", 1));
            assert_eq!(call(&pool, &target, IDEMPOTENT, "/1").await, Err(error.to_owned()));
            assert_eq!(call(&pool, &target, IDEMPOTENT, "/2").await?, (false, "/2".into()));
            Ok(())
        })?;
    }
    Ok(())
}

/// Requests beyond the limit wait for a permit and fail without one; closed and idle connections make room.
#[test]
fn the_connection_limit_of_a_worker_is_kept() -> Res {
    run(async {
        let worker = StubWorker::new(&[])?;
        let (pool, target) =
            (UpstreamPool::new(Timeouts { permit_wait: 5_000, ..Timeouts::default() }), worker.target("a", 1));
        let requirements = ConnectionRequirements { max_connections: 2, ..IDEMPOTENT };
        let first =
            UpstreamConnection::to(target.clone()).open(&pool, requirements).await.map_err(|e| format!("{e:?}"))?;
        let second =
            UpstreamConnection::to(target.clone()).open(&pool, requirements).await.map_err(|e| format!("{e:?}"))?;
        assert_eq!(pool.connection_counts(&target), (0, 2));
        assert_eq!(call(&pool, &target, requirements, "/3").await, Err("full".into()));
        // A closed connection frees its permit for a waiting request, and an idle one is closed for a new one.
        drop(first);
        assert_eq!(call(&pool, &target, requirements, "/4").await?, (false, "/4".into()));
        assert_eq!(call(&pool, &target, requirements, "/5").await?, (true, "/5".into()));
        assert_eq!(
            call(&pool, &target, ConnectionRequirements { must_be_new: true, ..requirements }, "/6").await?,
            (false, "/6".into())
        );
        drop(second);
        let (seventh, eighth) =
            tokio::join!(call(&pool, &target, requirements, "/7"), call(&pool, &target, requirements, "/8"));
        assert_eq!((seventh?.1, eighth?.1), ("/7".into(), "/8".into()));
        assert!(pool.connection_counts(&target).1 <= 2);
        Ok(())
    })
}

#[test]
fn keep_alive_headers_determine_close_and_idle_time() -> Res {
    let second = 1_000_000;
    let table: [(&[(&str, &str)], KeepAliveHints); 7] = [
        (&[], KeepAliveHints { closes: false, idle_timeout: None }),
        (&[("connection", "keep-alive")], KeepAliveHints { closes: false, idle_timeout: None }),
        (&[("connection", "x, Close")], KeepAliveHints { closes: true, idle_timeout: None }),
        (&[("keep-alive", "timeout=4, max=100")], KeepAliveHints { closes: false, idle_timeout: Some(4 * second) }),
        (&[("keep-alive", "max=0")], KeepAliveHints { closes: true, idle_timeout: None }),
        (&[("keep-alive", "timeout=soon")], KeepAliveHints { closes: false, idle_timeout: None }),
        (
            &[("connection", "close"), ("keep-alive", "timeout=1")],
            KeepAliveHints { closes: true, idle_timeout: Some(second) },
        ),
    ];
    for (headers, expected) in table {
        let mut header_map = hyper::HeaderMap::new();
        for (name, value) in headers {
            header_map.append(*name, value.parse()?);
        }
        assert_eq!(KeepAliveHints::from_headers(hyper::Version::HTTP_11, &header_map), expected, "{headers:?}");
    }
    for (idle_timeout, expected) in [(0, 0), (second, second / 2), (2 * second, second), (15 * second, 14 * second)] {
        assert_eq!(safe_idle_time(idle_timeout), expected);
    }
    for ((worker_limit, fronts), expected) in [((370, 10), 37), ((110, 60), 2), ((8, 0), 8)] {
        assert_eq!(connection_share(worker_limit, fronts), expected);
    }
    Ok(())
}

/// Returns the value of an integer option of a socket.
fn socket_option(fd: i32, level: i32, name: i32) -> i32 {
    let (mut value, mut length) = (0i32, 4u32);
    // SAFETY: `value` and `length` outlive the call.
    unsafe { libc::getsockopt(fd, level, name, (&raw mut value).cast(), &raw mut length) };
    value
}

#[test]
fn sockets_are_set_to_detect_unreachable_peers() -> Res {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let stream = TcpStream::connect(listener.local_addr()?)?;
    sumacvale_node::net::set_socket_options(&stream, Duration::from_secs(2));
    let tcp_option = |name| socket_option(stream.as_raw_fd(), libc::IPPROTO_TCP, name);
    assert_eq!(
        (tcp_option(libc::TCP_USER_TIMEOUT), tcp_option(libc::TCP_KEEPIDLE), tcp_option(libc::TCP_KEEPINTVL)),
        (2000, 1, 1)
    );
    assert!(
        tcp_option(libc::TCP_NODELAY) != 0
            && socket_option(stream.as_raw_fd(), libc::SOL_SOCKET, libc::SO_KEEPALIVE) != 0
    );
    Ok(())
}

/// Reads one frame without its length prefix.
async fn read_frame(stream: &mut tokio::net::TcpStream) -> std::io::Result<Vec<u8>> {
    use tokio::io::AsyncReadExt;
    let length = stream.read_u32_le().await?;
    let mut payload = vec![0; length as usize];
    stream.read_exact(&mut payload).await?;
    Ok(payload)
}

/// Frames sent while a node refuses connections, or after it closed one, must arrive in order on the next connection.
#[test]
fn frames_are_delivered_after_a_node_reconnects() -> Res {
    run(tokio::task::LocalSet::new().run_until(async {
        let counters = Arc::new(sumacvale_node::link::LinkCounters::default());
        let mut links = sumacvale_node::link::OutboundLinks::new(counters.clone());
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        drop(listener);
        links.send(&addr.to_string(), vec![1], false);
        links.send(&addr.to_string(), vec![2; 70_000], false);
        // Connects are refused a few times before the node listens.
        for _ in 0..200 {
            tokio::task::yield_now().await;
        }
        let listener = tokio::net::TcpListener::bind(addr).await?;
        let started_at = Instant::now();
        let (mut stream, _) = listener.accept().await?;
        assert_eq!((read_frame(&mut stream).await?, read_frame(&mut stream).await?.len()), (vec![1], 70_000));
        assert!(started_at.elapsed() < Duration::from_millis(500), "{:?}", started_at.elapsed());
        for number in 3..50 {
            links.send(&addr.to_string(), vec![number], false);
        }
        for number in 3..50 {
            assert_eq!(read_frame(&mut stream).await?, vec![number]);
        }
        // The node closes the connection: later frames are sent on a new connection and none is lost.
        drop(stream);
        let (accepted, ()) = tokio::join!(listener.accept(), async {
            for _ in 0..50 {
                tokio::task::yield_now().await;
            }
            links.send(&addr.to_string(), vec![99], false);
        });
        assert_eq!(read_frame(&mut accepted?.0).await?, vec![99]);
        assert_eq!(counters.dropped_frames.load(Ordering::Relaxed), 0);
        Ok(())
    }))
}

/// Reads a connection to its end.
async fn read_to_end(stream: &mut tokio::net::TcpStream) -> std::io::Result<String> {
    use tokio::io::AsyncReadExt;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

/// A slow head, an idle connection and an invalid request end a connection. A shutdown closes idle connections at once
/// and completes the requests that were read.
#[test]
fn client_connections_time_out_and_drain_on_shutdown() -> Res {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    const REQUEST: &str = "GET /a HTTP/1.1\r\nhost: x\r\n\r\n";
    // What a client sends, the header time-out and the idle time-out in milliseconds, and what the response contains.
    // The server ends every connection.
    let table = [
        ("", 60_000, 50, ""),
        ("GET /a HT", 50, 60_000, ""),
        (REQUEST, 60_000, 50, "hello"),
        ("GET /a HTTP/1.1\r\nhost: x\r\n\r\nGET", 60_000, 50, "hello"),
        ("GET /a HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n", 60_000, 60_000, "hello"),
        ("NONSENSE\r\n\r\n", 60_000, 60_000, " 400 "),
    ];
    run(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let limits = Arc::new(sumacvale_node::serve::ConnectionLimits::default());
        let (stop, stopped) = tokio::sync::watch::channel(false);
        let (release_slow, slow_released) = tokio::sync::watch::channel(false);
        let routes = viz::Router::new().get("/a", |_: viz::Request| async { Ok::<_, viz::Error>("hello") }).get(
            "/slow",
            move |_: viz::Request| {
                let mut slow_released = slow_released.clone();
                async move {
                    let _ = slow_released.wait_for(|is_released| *is_released).await;
                    Ok::<_, viz::Error>("slow")
                }
            },
        );
        let server =
            tokio::spawn(sumacvale_node::serve::serve_listener(listener, routes, 100, limits.clone(), stopped));
        for (request, header_timeout, idle_timeout, expected) in table {
            limits.set_header_timeout(header_timeout * 1_000);
            limits.set_idle_timeout(idle_timeout * 1_000);
            let mut stream = tokio::net::TcpStream::connect(addr).await?;
            stream.write_all(request.as_bytes()).await?;
            let response = read_to_end(&mut stream).await?;
            assert!(
                if expected.is_empty() { response.is_empty() } else { response.contains(expected) },
                "{request:?}: {response:?}"
            );
        }
        // A response in flight outlives the idle time-out and the shutdown. The shutdown closes an idle connection.
        limits.set_header_timeout(60_000_000);
        limits.set_idle_timeout(60_000_000);
        let mut idle = tokio::net::TcpStream::connect(addr).await?;
        idle.write_all(REQUEST.as_bytes()).await?;
        let mut buffer = [0; 512];
        let count = idle.read(&mut buffer).await?;
        assert!(String::from_utf8_lossy(&buffer[..count]).contains("hello"));
        let mut busy = tokio::net::TcpStream::connect(addr).await?;
        busy.write_all(REQUEST.replace("/a", "/slow").as_bytes()).await?;
        // The accept loop has accepted both connections once a third one gets a response.
        let mut third = tokio::net::TcpStream::connect(addr).await?;
        third.write_all(REQUEST.replace("host", "connection: close\r\nhost").as_bytes()).await?;
        assert!(read_to_end(&mut third).await?.contains("hello"));
        stop.send(true)?;
        assert_eq!(read_to_end(&mut idle).await?, "");
        release_slow.send(true)?;
        let response = read_to_end(&mut busy).await?;
        assert!(response.contains("slow") && response.to_lowercase().contains("connection: close"), "{response}");
        drop((idle, busy, third));
        server.await?;
        Ok(())
    })
}
