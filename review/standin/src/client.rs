//! Clients: each sends one request after the other to the fronts that take new connections.

use crate::fleet::{is_ready, note, now_ms, pause_ms};
use crate::http::{Connection, End};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A front as the platform sees it: it gets no new connections after two misses of its readiness.
pub struct Door {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub is_in: AtomicBool,
}

/// What became of a request.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: String,
    pub front: String,
    pub path: String,
    pub sent_ms: u64,
    pub ended_ms: u64,
    pub status: u16,
    pub end: Option<End>,
    pub body: Vec<u8>,
}

pub struct Crowd {
    pub doors: Vec<Door>,
    pub outcomes: Mutex<Vec<Outcome>>,
    pub is_over: AtomicBool,
    next_id: AtomicU64,
}

/// A request of the clients.
#[derive(Clone, Debug)]
pub struct Form {
    pub path: &'static str,
    pub host: &'static str,
    pub key: &'static str,
    pub body: Vec<u8>,
    pub time_left_ms: u64,
    /// Whether the connection is used again.
    pub keeps: bool,
    pub pause_ms: u64,
    pub further_tries: u32,
    /// After which silence the client leaves.
    pub silence_ms: u64,
}

impl Crowd {
    pub fn new(doors: Vec<Door>) -> Arc<Crowd> {
        let crowd = Arc::new(Crowd {
            doors,
            outcomes: Mutex::default(),
            is_over: AtomicBool::new(false),
            next_id: AtomicU64::new(1),
        });
        for index in 0..crowd.doors.len() {
            let crowd = crowd.clone();
            std::thread::spawn(move || {
                let mut misses = 0;
                while !crowd.is_over.load(Ordering::Relaxed) {
                    let door = &crowd.doors[index];
                    misses = if is_ready(door.ready) { 0 } else { misses + 1 };
                    let is_in = misses < 2;
                    if door.is_in.swap(is_in, Ordering::Relaxed) != is_in {
                        let text = if is_in { "takes" } else { "takes no" };
                        note(&format!("platform: {} {text} new connections", door.name));
                    }
                    pause_ms(1_000);
                }
            });
        }
        crowd
    }

    /// Starts a client that sends until the crowd is over.
    pub fn start(self: &Arc<Crowd>, number: usize, form: Form) -> std::thread::JoinHandle<()> {
        let crowd = self.clone();
        std::thread::spawn(move || {
            let mut turn = number;
            let mut kept: Option<(usize, Connection)> = None;
            while !crowd.is_over.load(Ordering::Relaxed) {
                pause_ms(form.pause_ms);
                let ready: Vec<usize> =
                    (0..crowd.doors.len()).filter(|&i| crowd.doors[i].is_in.load(Ordering::Relaxed)).collect();
                let doors: Vec<usize> = if ready.is_empty() { (0..crowd.doors.len()).collect() } else { ready };
                turn += 1;
                let (index, connection) = match kept.take() {
                    Some(kept) => kept,
                    None => {
                        let index = doors[turn % doors.len()];
                        match Connection::open(crowd.doors[index].front, Duration::from_secs(1)) {
                            Ok(connection) => (index, connection),
                            Err(_) => continue,
                        }
                    }
                };
                kept = crowd.send(index, connection, &form).0;
            }
        })
    }

    /// Sends `per_second` requests a second for `seconds`, each on a connection of its own, whatever becomes of those
    /// before. `form_of` gives the form of the nth request. Returns once all have ended.
    pub fn pour(self: &Arc<Crowd>, per_second: u64, seconds: u64, form_of: impl Fn(u64) -> Form) {
        let start = Instant::now();
        let running = Arc::new(AtomicU64::new(0));
        for n in 0..per_second * seconds {
            let due = start + Duration::from_micros(n * 1_000_000 / per_second);
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            let (crowd, form, running) = (self.clone(), form_of(n), running.clone());
            running.fetch_add(1, Ordering::Relaxed);
            let index = n as usize % self.doors.len();
            let run = move || {
                let until = Instant::now() + Duration::from_millis(form.time_left_ms);
                let mut form = form;
                // A further try on a new connection, after the time that a refusal names.
                for _ in 0..=form.further_tries {
                    let Ok(connection) = Connection::open(crowd.doors[index].front, Duration::from_secs(1)) else {
                        break;
                    };
                    let Some(wait) = crowd.send(index, connection, &form).1 else { break };
                    let left = until.saturating_duration_since(Instant::now());
                    if wait > left / 3 {
                        break;
                    }
                    std::thread::sleep(wait);
                    form.time_left_ms = until.saturating_duration_since(Instant::now()).as_millis() as u64;
                }
                running.fetch_sub(1, Ordering::Relaxed);
            };
            // Not joined: an ended thread that waits to be joined would keep its stack.
            drop(std::thread::Builder::new().stack_size(128 << 10).spawn(run).expect("a thread for a client"));
        }
        while running.load(Ordering::Relaxed) > 0 {
            pause_ms(20);
        }
    }

    /// Sends one request; returns the connection where it can be used again, and after which time a refused request
    /// may come back.
    pub fn send(
        &self,
        index: usize,
        mut connection: Connection,
        form: &Form,
    ) -> (Option<(usize, Connection)>, Option<Duration>) {
        let id = format!("{:016x}", 0x9c41_d07b_0000_0000 + self.next_id.fetch_add(1, Ordering::Relaxed));
        let head = format!(
            "POST {} HTTP/1.1\r\nHost: {}\r\nSumacvale-Request-Id: {id}\r\nSumacvale-Time-Left: {}\r\n\
             Authorization: Bearer {}\r\nContent-Length: {}\r\n\r\n",
            form.path,
            form.host,
            form.time_left_ms,
            form.key,
            form.body.len()
        );
        let sent_ms = now_ms();
        let deadline = Instant::now() + Duration::from_millis(form.time_left_ms.min(form.silence_ms));
        let answer = connection.call(&[head.as_bytes(), &form.body].concat(), deadline);
        let closes = answer.header("connection").is_some_and(|value| value.contains("close"));
        let outcome = Outcome {
            id,
            front: self.doors[index].name.clone(),
            path: form.path.into(),
            sent_ms,
            ended_ms: now_ms(),
            status: answer.status,
            end: Some(answer.end),
            body: answer.body.clone(),
        };
        self.outcomes.lock().unwrap().push(outcome);
        let kept =
            (form.keeps && answer.end == End::Complete && !closes && answer.status != 0).then_some((index, connection));
        let retry_after = answer.header("retry-after").and_then(|value| value.parse().ok()).unwrap_or(0.0);
        let is_refused = matches!(answer.status, 429 | 503 | 408 | 421);
        (kept, is_refused.then(|| Duration::from_secs_f64(retry_after)))
    }
}
