//! A raw stand-in worker: plain sockets that answer each request in the way that a script names.

use super::ways::{Request, Way};
use std::collections::VecDeque;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// What all workers of one case share: the script, and what they saw.
#[derive(Debug)]
pub struct Script {
    ways: Mutex<VecDeque<Way>>,
    seen: Mutex<Vec<Arrival>>,
    word: Mutex<Receiver<()>>,
    tell: Sender<()>,
}

/// By which the test lets a worker do what it holds back.
pub struct Cue {
    go: Sender<()>,
    did: Receiver<()>,
}

impl Cue {
    /// Blocks until it is done: nobody but the kernel has seen what came.
    pub fn give(&self) -> Result<(), Box<dyn std::error::Error>> {
        self.go.send(())?;
        Ok(self.did.recv_timeout(PATIENCE)?)
    }
}

/// A request that reached a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    pub id: String,
    /// The worker ran it, or nobody can say that it did not.
    pub ran: bool,
    /// It was answered with a success.
    pub success: bool,
}

fn lock<T>(m: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    match m.lock() {
        Ok(g) => g,
        Err(e) => e.into_inner(),
    }
}

impl Script {
    pub fn new() -> (Arc<Script>, Cue) {
        let (go, word) = channel();
        let (tell, did) = channel();
        let script = Script { ways: Mutex::default(), seen: Mutex::default(), word: Mutex::new(word), tell };
        (Arc::new(script), Cue { go, did })
    }

    /// The next requests are answered so, whichever worker they reach; those after it are served.
    pub fn then(&self, ways: &[Way]) {
        lock(&self.ways).extend(ways.iter().copied());
    }

    fn next(&self) -> Way {
        lock(&self.ways).pop_front().unwrap_or(Way::Whole)
    }

    /// All requests that came with this id.
    pub fn of(&self, id: &str) -> Vec<Arrival> {
        lock(&self.seen).iter().filter(|a| a.id == id).cloned().collect()
    }

    /// Ids that no caller of the case sent.
    pub fn strangers(&self, ids: &[&str]) -> Vec<String> {
        lock(&self.seen).iter().filter(|a| !ids.contains(&a.id.as_str())).map(|a| a.id.clone()).collect()
    }
}

/// How long a word of the test, or the end of a connection, may take; a safeguard, never waited for.
const PATIENCE: Duration = Duration::from_secs(10);

/// Starts one worker, which ends with this process, and gives its address.
pub fn start(script: &Arc<Script>) -> std::io::Result<SocketAddr> {
    let l = TcpListener::bind("127.0.0.1:0")?;
    small_window(&l);
    let addr = l.local_addr()?;
    let script = script.clone();
    std::thread::spawn(move || {
        for s in l.incoming().map_while(Result::ok) {
            let c = Connection { script: script.clone(), before: None };
            std::thread::spawn(move || c.serve(s));
        }
    });
    Ok(addr)
}

/// A large request does not fit into the buffers on its way.
fn small_window(l: &TcpListener) {
    let v: libc::c_int = 4096;
    // SAFETY: `v` outlives the call, which reads four bytes of it.
    unsafe {
        libc::setsockopt(l.as_raw_fd(), libc::SOL_SOCKET, libc::SO_RCVBUF, (&raw const v).cast(), 4);
    }
}

/// The next close of this socket is a reset.
fn reset_on_close(s: &TcpStream) {
    let v = libc::linger { l_onoff: 1, l_linger: 0 };
    // SAFETY: `v` outlives the call, which reads its eight bytes.
    unsafe {
        libc::setsockopt(s.as_raw_fd(), libc::SOL_SOCKET, libc::SO_LINGER, (&raw const v).cast(), 8);
    }
}

/// What follows an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum After {
    /// The connection takes the next request.
    Serve,
    /// It ends in order.
    Close,
    /// It is reset.
    Reset,
    /// It stays open and nothing more is read or said.
    Hold,
    /// These bytes come when the test says so, and the connection takes the next request.
    Later(&'static [u8]),
    /// The answer to the request before this one comes once more, when the test says so.
    AgainLater,
    /// The end comes when the test says so.
    CloseLater,
}

struct Connection {
    script: Arc<Script>,
    /// The request before, whose answer may come once more.
    before: Option<Request>,
}

impl Connection {
    fn serve(mut self, s: TcpStream) {
        // What is said leaves at once, and does not wait for a word on what was said before.
        let Ok(reader) = s.set_nodelay(true).and_then(|()| s.try_clone()) else { return };
        let mut reader = BufReader::new(reader);
        let mut s = s;
        while let Some(mut q) = head(&mut reader) {
            let way = self.script.next();
            if !way.early() && !body(&mut reader, &mut q) {
                return;
            }
            let said = way.answer(&q, self.before.as_ref());
            lock(&self.script.seen).push(Arrival { id: q.id.clone(), ran: said.ran, success: said.success });
            for part in &said.parts {
                if s.write_all(part).is_err() {
                    return;
                }
            }
            if !self.follow(said.after, &mut s, &q) {
                return;
            }
            self.before = Some(q);
        }
    }

    /// False when the connection takes no more requests.
    fn follow(&self, after: After, s: &mut TcpStream, q: &Request) -> bool {
        match after {
            After::Serve => true,
            After::Close => false,
            After::Reset => {
                reset_on_close(s);
                false
            }
            After::Hold => {
                wait_for_end(s);
                false
            }
            After::Later(bytes) => self.held(|| s.write_all(bytes).is_ok()),
            After::AgainLater => {
                let again = Way::Whole.answer(q, None).parts.concat();
                self.held(|| s.write_all(&again).is_ok())
            }
            After::CloseLater => {
                self.held(|| s.shutdown(std::net::Shutdown::Both).is_ok());
                false
            }
        }
    }

    fn held(&self, f: impl FnOnce() -> bool) -> bool {
        let heard = lock(&self.script.word).recv().is_ok();
        let ok = heard && f();
        let _ = self.script.tell.send(());
        ok
    }
}

/// Blocks until the other side has closed or reset the connection.
fn wait_for_end(s: &TcpStream) {
    let mut p = libc::pollfd { fd: s.as_raw_fd(), events: libc::POLLRDHUP, revents: 0 };
    // SAFETY: one entry, which outlives the call.
    unsafe { libc::poll(&raw mut p, 1, 10_000) };
}

/// Reads a head; none at the end of the connection.
fn head(r: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut q = Request::default();
    let mut first = true;
    loop {
        let mut line = String::new();
        if r.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some(q);
        }
        if std::mem::take(&mut first) {
            line.split(' ').nth(1)?.clone_into(&mut q.path);
            continue;
        }
        let (k, v) = line.split_once(':')?;
        match k.to_ascii_lowercase().as_str() {
            "x-call-id" => v.trim().clone_into(&mut q.id),
            "last-event-id" => q.after = v.trim().parse().ok(),
            "content-length" => q.length = v.trim().parse().ok()?,
            _ => {}
        }
    }
}

fn body(r: &mut BufReader<TcpStream>, q: &mut Request) -> bool {
    let mut left = q.length;
    let mut b = [0; 4096];
    while left > 0 {
        let most = left.min(b.len());
        match r.read(&mut b[..most]) {
            Ok(n) if n > 0 => left -= n,
            _ => return false,
        }
    }
    true
}
