//! A stub worker on plain sockets that responds to each request with the case that a script names.

use super::ways::{Case, Request};
use std::collections::VecDeque;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The state that all workers of one test case share: the script, and the requests that arrived.
#[derive(Debug)]
pub struct Script {
    /// The cases of the next responses.
    cases: Mutex<VecDeque<Case>>,
    arrivals: Mutex<Vec<Arrival>>,
    /// Receives the signal for a delayed action.
    signal: Mutex<Receiver<()>>,
    /// Reports that a delayed action is done.
    done_sender: Sender<()>,
}

/// Triggers the delayed action of a worker.
pub struct Trigger {
    signal: Sender<()>,
    done: Receiver<()>,
}

impl Trigger {
    /// Triggers the action and blocks until it is done. The front's thread is blocked meanwhile, so only the kernel
    /// has seen what the worker sent.
    pub fn fire(&self) -> Result<(), Box<dyn std::error::Error>> {
        self.signal.send(())?;
        Ok(self.done.recv_timeout(SIGNAL_TIMEOUT)?)
    }
}

/// A request that arrived at a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    pub call_id: String,
    /// The worker ran the request, or it is unknown whether it did.
    pub ran: bool,
    /// The request was answered with a valid success.
    pub is_success: bool,
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    match mutex.lock() {
        Ok(guard) => guard,
        Err(poisoned) => poisoned.into_inner(),
    }
}

impl Script {
    pub fn new() -> (Arc<Script>, Trigger) {
        let (signal, signal_receiver) = channel();
        let (done_sender, done) = channel();
        let script = Script {
            cases: Mutex::default(),
            arrivals: Mutex::default(),
            signal: Mutex::new(signal_receiver),
            done_sender,
        };
        (Arc::new(script), Trigger { signal, done })
    }

    /// Sets the cases of the next requests, whichever worker they reach. Requests after these get a complete
    /// response.
    pub fn enqueue(&self, cases: &[Case]) {
        lock(&self.cases).extend(cases.iter().copied());
    }

    fn next_case(&self) -> Case {
        lock(&self.cases).pop_front().unwrap_or(Case::Whole)
    }

    /// Returns the requests that arrived with this id.
    pub fn arrivals_of(&self, call_id: &str) -> Vec<Arrival> {
        lock(&self.arrivals).iter().filter(|arrival| arrival.call_id == call_id).cloned().collect()
    }

    /// Returns the ids of requests that arrived and are not among `known_ids`.
    pub fn unknown_ids(&self, known_ids: &[&str]) -> Vec<String> {
        lock(&self.arrivals)
            .iter()
            .filter(|arrival| !known_ids.contains(&arrival.call_id.as_str()))
            .map(|arrival| arrival.call_id.clone())
            .collect()
    }
}

/// How long a delayed action may take; a safeguard that no passing test reaches.
const SIGNAL_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts one worker, which runs until the process ends, and returns its address.
pub fn start(script: &Arc<Script>) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    shrink_receive_buffer(&listener);
    let addr = listener.local_addr()?;
    let script = script.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let connection = Connection { script: script.clone(), previous: None };
            std::thread::spawn(move || connection.serve(stream));
        }
    });
    Ok(addr)
}

/// Shrinks the receive buffer, so that a large request does not fit into the socket buffers.
fn shrink_receive_buffer(listener: &TcpListener) {
    let size: libc::c_int = 4096;
    // SAFETY: `size` outlives the call, which reads four bytes of it.
    unsafe {
        libc::setsockopt(listener.as_raw_fd(), libc::SOL_SOCKET, libc::SO_RCVBUF, (&raw const size).cast(), 4);
    }
}

/// Makes the close of this socket a reset.
fn reset_on_close(stream: &TcpStream) {
    let linger = libc::linger { l_onoff: 1, l_linger: 0 };
    // SAFETY: `linger` outlives the call, which reads its eight bytes.
    unsafe {
        libc::setsockopt(stream.as_raw_fd(), libc::SOL_SOCKET, libc::SO_LINGER, (&raw const linger).cast(), 8);
    }
}

/// What a worker does after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Reads the next request of the connection.
    Serve,
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
    /// Keeps the connection open without reading or writing.
    StayOpen,
    /// Sends these bytes when the test triggers it, then reads the next request.
    SendLater(&'static [u8]),
    /// Sends a copy of the response when the test triggers it, then reads the next request.
    RepeatLater,
    /// Closes the connection when the test triggers it.
    CloseLater,
}

struct Connection {
    script: Arc<Script>,
    /// The previous request of this connection, whose response some cases send again.
    previous: Option<Request>,
}

impl Connection {
    fn serve(mut self, stream: TcpStream) {
        // Without Nagle's algorithm each write is sent at once, before earlier writes are acknowledged.
        let Ok(reader) = stream.set_nodelay(true).and_then(|()| stream.try_clone()) else { return };
        let mut reader = BufReader::new(reader);
        let mut stream = stream;
        while let Some(mut request) = read_head(&mut reader) {
            let case = self.script.next_case();
            if !case.is_early() && !read_body(&mut reader, &mut request) {
                return;
            }
            let response = case.response(&request, self.previous.as_ref());
            lock(&self.script.arrivals).push(Arrival {
                call_id: request.id.clone(),
                ran: response.ran,
                is_success: response.is_success,
            });
            for bytes in &response.parts {
                if stream.write_all(bytes).is_err() {
                    return;
                }
            }
            if !self.act(response.next, &mut stream, &request) {
                return;
            }
            self.previous = Some(request);
        }
    }

    /// Carries out an action. Returns false if the connection takes no more requests.
    fn act(&self, next: Next, stream: &mut TcpStream, request: &Request) -> bool {
        match next {
            Next::Serve => true,
            Next::Close => false,
            Next::Reset => {
                reset_on_close(stream);
                false
            }
            Next::StayOpen => {
                wait_for_end(stream);
                false
            }
            Next::SendLater(bytes) => self.when_triggered(|| stream.write_all(bytes).is_ok()),
            Next::RepeatLater => {
                let copy = Case::Whole.response(request, None).parts.concat();
                self.when_triggered(|| stream.write_all(&copy).is_ok())
            }
            Next::CloseLater => {
                self.when_triggered(|| stream.shutdown(std::net::Shutdown::Both).is_ok());
                false
            }
        }
    }

    /// Waits for the trigger, runs `action` and reports that it is done.
    fn when_triggered(&self, action: impl FnOnce() -> bool) -> bool {
        let is_triggered = lock(&self.script.signal).recv().is_ok();
        let succeeded = is_triggered && action();
        let _ = self.script.done_sender.send(());
        succeeded
    }
}

/// Blocks until the other side has closed or reset the connection, at most 10 s.
fn wait_for_end(stream: &TcpStream) {
    let mut poll_entry = libc::pollfd { fd: stream.as_raw_fd(), events: libc::POLLRDHUP, revents: 0 };
    // SAFETY: one entry, which outlives the call.
    unsafe { libc::poll(&raw mut poll_entry, 1, 10_000) };
}

/// Reads the head of a request; `None` at the end of the connection.
fn read_head(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut request = Request::default();
    let mut is_first_line = true;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some(request);
        }
        if std::mem::take(&mut is_first_line) {
            line.split(' ').nth(1)?.clone_into(&mut request.path);
            continue;
        }
        let (name, value) = line.split_once(':')?;
        match name.to_ascii_lowercase().as_str() {
            "x-call-id" => value.trim().clone_into(&mut request.id),
            "last-event-id" => request.last_event_id = value.trim().parse().ok(),
            "content-length" => request.content_length = value.trim().parse().ok()?,
            _ => {}
        }
    }
}

/// Reads and discards the body of a request. Returns false if the connection ended before the end of the body.
fn read_body(reader: &mut BufReader<TcpStream>, request: &mut Request) -> bool {
    let mut remaining = request.content_length;
    let mut buffer = [0; 4096];
    while remaining > 0 {
        let length = remaining.min(buffer.len());
        match reader.read(&mut buffer[..length]) {
            Ok(count) if count > 0 => remaining -= count,
            _ => return false,
        }
    }
    true
}
