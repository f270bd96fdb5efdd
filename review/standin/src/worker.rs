//! A worker: it announces itself by beats, serves requests one at a time on each connection, and leaves.

use crate::fleet::{BEAT_EVERY_MS, note, now_ms, pause_ms};
use crate::http::{self, Connection, header};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The form of a worker's answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// With a length.
    Length,
    /// Without a length; the answer ends with its connection.
    UntilClose,
}

/// A request that reached a worker.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: String,
    pub at_ms: u64,
}

pub struct Worker {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub addr: SocketAddr,
    pub form: Form,
    pub work_ms: u64,
    pub calls: AtomicU64,
    pub is_beating: AtomicBool,
    pub is_serving: AtomicBool,
    pub arrivals: Mutex<Vec<Arrival>>,
    pub answered: Mutex<Vec<String>>,
    /// A pause in the middle of each stream, and the streams whose reader left before their end.
    pub pause_ms: AtomicU64,
    pub abandoned: Mutex<Vec<Arrival>>,
}

/// A stream of `/compose/`: its events, the time between two, and the event of a run before which it may pause.
pub const EVENTS: u64 = 12;
pub const EVENT_MS: u64 = 100;
const PAUSE_BEFORE: u64 = 4;

impl Worker {
    /// Starts a worker, which serves and beats.
    pub fn start(
        id: &str,
        service: &'static str,
        zone: &'static str,
        addr: SocketAddr,
        (form, work_ms): (Form, u64),
        control: Vec<SocketAddr>,
    ) -> Arc<Worker> {
        let worker = Arc::new(Worker {
            id: id.into(),
            service,
            zone,
            addr,
            form,
            work_ms,
            calls: AtomicU64::new(0),
            is_beating: AtomicBool::new(true),
            is_serving: AtomicBool::new(true),
            arrivals: Mutex::default(),
            answered: Mutex::default(),
            pause_ms: AtomicU64::new(0),
            abandoned: Mutex::default(),
        });
        let listener = TcpListener::bind(addr).expect("address of a worker");
        let server = worker.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = server.clone();
                if !worker.is_serving.load(Ordering::Relaxed) {
                    return;
                }
                std::thread::spawn(move || worker.serve(Connection::from(stream)));
            }
        });
        let beating = worker.clone();
        std::thread::spawn(move || {
            let mut turn = beating.id.len() + usize::from(beating.id.as_bytes()[beating.id.len() - 1]);
            while beating.is_serving.load(Ordering::Relaxed) {
                if beating.is_beating.load(Ordering::Relaxed) && !beating.beat(control[turn % control.len()], "ready") {
                    turn += 1;
                    pause_ms(100);
                    continue;
                }
                pause_ms(BEAT_EVERY_MS);
            }
        });
        worker
    }

    /// The bytes of the next beat, and its number.
    pub fn next_beat(&self, host: SocketAddr, state: &str) -> (u64, Vec<u8>) {
        let number = self.calls.fetch_add(1, Ordering::Relaxed) + 1;
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"capacity\":8,\
             \"state\":\"{state}\",\"coldLeftMs\":0,\"callCount\":{number}}}",
            self.service, self.addr, self.zone
        );
        let head = format!(
            "PUT /servers/{} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\
             Connection: close\r\n\r\n",
            self.id,
            body.len()
        );
        (number, [head.as_bytes(), body.as_bytes()].concat())
    }

    /// Sends a beat; returns whether it was acknowledged within a second.
    pub fn beat(&self, to: SocketAddr, state: &str) -> bool {
        let (_, bytes) = self.next_beat(to, state);
        http::call_once(to, &bytes, Duration::from_secs(1)).is_some_and(|answer| answer.status == 200)
    }

    /// Says that it leaves, to one node after the other until one acknowledges; returns when, and which one.
    pub fn leave(&self, control: &[SocketAddr]) -> Option<(u64, SocketAddr)> {
        self.is_beating.store(false, Ordering::Relaxed);
        for turn in 0..8 {
            let to = control[turn % control.len()];
            let head = format!("DELETE /servers/{} HTTP/1.1\r\nHost: {to}\r\nConnection: close\r\n\r\n", self.id);
            let sent_ms = now_ms();
            let answer = http::call_once(to, head.as_bytes(), Duration::from_secs(1));
            let status = answer.map_or(0, |answer| answer.status);
            note(&format!("{} sent DELETE to {to} at {sent_ms} ms: {status}", self.id));
            if status == 200 {
                return Some((now_ms(), to));
            }
            pause_ms(150);
        }
        None
    }

    /// Streams the events after `after`. In the middle it may fall silent, as a worker does that puts a request back
    /// and reads its prompt again; it never breaks off.
    fn stream(&self, connection: &mut Connection, id: &str, after: u64) -> std::io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nSumacvale-Request-Id: {id}\r\n\
             Sumacvale-Server-Seal: seal.{}.{id}\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        connection.stream.write_all(head.as_bytes())?;
        for number in after + 1..=EVENTS {
            pause_ms(EVENT_MS);
            if number == after + PAUSE_BEFORE {
                pause_ms(self.pause_ms.load(Ordering::Relaxed));
            }
            let event = format!("id: {number}\ndata: line {number} for {id}\n\n");
            connection.stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        connection.stream.write_all(b"0\r\n\r\n")
    }

    fn serve(&self, mut connection: Connection) {
        loop {
            let deadline = Instant::now() + Duration::from_secs(60);
            let Ok(Some((first, headers))) = connection.read_head(deadline) else { return };
            if !self.is_serving.load(Ordering::Relaxed) {
                return;
            }
            let mut body = Vec::new();
            let length = header(&headers, "content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
            let read = if header(&headers, "transfer-encoding").is_some() {
                connection.read_chunks(&mut body, deadline)
            } else {
                connection.read_length(length, &mut body, deadline)
            };
            if read.is_err() {
                return;
            }
            let id = header(&headers, "sumacvale-request-id").unwrap_or_default().to_owned();
            let is_other = header(&headers, "sumacvale-expect-server").is_some_and(|wanted| wanted != self.id);
            let answer = if first.starts_with("GET /health") {
                format!("HTTP/1.1 200 OK\r\nSumacvale-Server-Id: {}\r\nContent-Length: 2\r\n\r\nok", self.id)
            } else if is_other || id.is_empty() {
                let status = if is_other { "421 Misdirected Request" } else { "400 Bad Request" };
                format!(
                    "HTTP/1.1 {status}\r\nSumacvale-Request-Id: {id}\r\nSumacvale-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
                )
            } else {
                self.arrivals.lock().unwrap().push(Arrival { id: id.clone(), at_ms: now_ms() });
                if first.contains(" /compose/") {
                    let after = header(&headers, "last-event-id").and_then(|value| value.parse().ok()).unwrap_or(0);
                    if self.stream(&mut connection, &id, after).is_err() {
                        self.abandoned.lock().unwrap().push(Arrival { id, at_ms: now_ms() });
                        return;
                    }
                    self.answered.lock().unwrap().push(id);
                    continue;
                }
                pause_ms(self.work_ms);
                let is_stream = first.contains(" /digest/");
                let text = if is_stream {
                    format!("id: 1\ndata: answer of {}\n\nid: 2\ndata: to {id}\n\n", self.id)
                } else {
                    format!("answer of {} to {id}\n", self.id)
                };
                let kind = if is_stream { "text/event-stream" } else { "text/plain" };
                let framing = match self.form {
                    Form::Length => format!("Content-Length: {}\r\n", text.len()),
                    Form::UntilClose => "Connection: close\r\n".into(),
                };
                format!(
                    "HTTP/1.1 200 OK\r\nContent-Type: {kind}\r\nSumacvale-Request-Id: {id}\r\n\
                     Sumacvale-Server-Seal: seal.{}.{id}\r\n{framing}\r\n{text}",
                    self.id
                )
            };
            let is_run = answer.starts_with("HTTP/1.1 200") && !first.starts_with("GET /health");
            if connection.stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            if is_run {
                self.answered.lock().unwrap().push(id);
                if self.form == Form::UntilClose {
                    // An orderly end: all bytes were read and written, so nothing is reset.
                    let _ = connection.stream.shutdown(std::net::Shutdown::Write);
                    let _ = connection.fill(Instant::now() + Duration::from_secs(5));
                    return;
                }
            }
        }
    }
}
