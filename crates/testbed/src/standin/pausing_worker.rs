//! A healthy worker that does what such a worker may do: it is silent for seconds at any point of its answer, numbers
//! its events with or without gaps, and marks the end of its answers by a length, by a last chunk or by the end of the connection.

use super::http::HttpClient;
use super::report::{WorkerStatus, report_body, send_report};
use super::worker::{WorkerSpec, event_text};
use crate::lost_answers::RunEnd;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use sumacvale_core::base::{Rng, hash64};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// The time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// The number of nodes that get each report.
const NODES_PER_REPORT: usize = 2;
/// The longest silence, in milliseconds; the shortest is a tenth of it.
const MAX_PAUSE_MS: u64 = 3_000;
/// One in this many streams has numbers that rise by [`WIDE_ID_STEP`].
const STREAMS_PER_WIDE_STEP: u64 = 3;
/// The difference between the numbers of two events of such a stream.
const WIDE_ID_STEP: u64 = 7;
/// The share of runs that break off while the worker is faulty, in percent.
const BREAK_PERCENT: u64 = 30;

/// A run of a call at a worker.
#[derive(Clone, Debug)]
pub struct LoggedRun {
    /// The id of the call.
    pub call_id: String,
    /// When the request was read.
    pub started_at: Instant,
    /// When the run ended.
    pub ended_at: Instant,
    /// How the run ended.
    pub end: RunEnd,
}

/// The runs of all workers, in the order of their ends. Clones share the entries.
#[derive(Clone, Debug, Default)]
pub struct RunLog(Arc<Mutex<Vec<LoggedRun>>>);

impl RunLog {
    fn add(&self, run: LoggedRun) {
        if let Ok(mut runs) = self.0.lock() {
            runs.push(run);
        }
    }

    /// Returns all runs that have ended.
    #[must_use]
    pub fn all(&self) -> Vec<LoggedRun> {
        self.0.lock().map(|runs| runs.clone()).unwrap_or_default()
    }
}

/// What marks the end of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length,
    Chunks,
    Close,
}

/// The point of an answer at which the worker is silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PausePoint {
    Nowhere,
    BeforeHead,
    /// Before the part with this number; 0 is the first.
    BeforePart(usize),
    /// After the last byte of the body and before the end that the framing demands.
    BeforeEnd,
}

/// How a run that breaks off ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Break {
    Close,
    Reset,
}

/// An answer with its timing.
#[derive(Debug)]
struct AnswerPlan {
    framing: Framing,
    is_stream: bool,
    parts: Vec<String>,
    /// The time before each part.
    interval: Duration,
    pause_point: PausePoint,
    pause: Duration,
    /// The part in whose middle the run breaks off, and how.
    breaks_at: Option<(usize, Break)>,
}

impl AnswerPlan {
    /// Draws the plan of a run. The parts follow from the id and the path of the call alone.
    fn draw(request: &RawRequest, rng: &mut Rng, is_faulty: bool) -> AnswerPlan {
        let parts = answer_parts(request);
        let pause_points = [
            PausePoint::Nowhere,
            PausePoint::BeforeHead,
            PausePoint::BeforePart(0),
            PausePoint::BeforePart(parts.len() / 2),
            PausePoint::BeforePart(parts.len().saturating_sub(1)),
            PausePoint::BeforeEnd,
        ];
        let framings = [Framing::Length, Framing::Chunks, Framing::Chunks, Framing::Close];
        let pause_ms = MAX_PAUSE_MS / 10 + rng.next_below(MAX_PAUSE_MS * 9 / 10);
        let breaks = is_faulty && rng.chance_percent(BREAK_PERCENT);
        let framing = framings[rng.next_below(4) as usize];
        // An orderly close completes an answer that ends with its connection.
        let closes = framing != Framing::Close && rng.chance_percent(50);
        let way = if closes { Break::Close } else { Break::Reset };
        AnswerPlan {
            framing,
            is_stream: request.is_stream(),
            interval: Duration::from_millis(5 + rng.next_below(40)),
            pause_point: pause_points[rng.next_below(6) as usize],
            pause: Duration::from_millis(pause_ms),
            breaks_at: breaks.then(|| {
                let part = rng.next_below(parts.len().max(1) as u64) as usize;
                (breaking_part(part, &request.call_id), way)
            }),
            parts,
        }
    }

    /// Returns the head of the answer.
    fn head(&self, call_id: &str) -> String {
        let kind = if self.is_stream { "text/event-stream" } else { "application/json" };
        let framing = match self.framing {
            Framing::Length => format!("content-length: {}\r\n", self.parts.concat().len()),
            Framing::Chunks => "transfer-encoding: chunked\r\n".into(),
            Framing::Close => "connection: close\r\n".into(),
        };
        format!("HTTP/1.1 200 OK\r\nx-call-id: {call_id}\r\nx-ran: yes\r\ncontent-type: {kind}\r\n{framing}\r\n")
    }

    /// Returns a part as it is sent.
    fn framed(&self, part: &str) -> String {
        if self.framing == Framing::Chunks { format!("{:x}\r\n{part}\r\n", part.len()) } else { part.to_owned() }
    }

    /// Returns what follows the last part.
    fn end(&self) -> &'static str {
        if self.framing == Framing::Chunks { "0\r\n\r\n" } else { "" }
    }
}

/// Returns the events of the answer that the client lacks, or its whole body.
fn answer_parts(request: &RawRequest) -> Vec<String> {
    let call = &request.call_id;
    if !request.is_stream() {
        return vec![format!("{{\"call\":\"{call}\",\"ok\":true}}")];
    }
    let total = 8 + hash64(call.as_bytes()) % 32;
    let id_step = id_step(call);
    let first = request.last_event_id.map_or(0, |id| id / id_step + 1);
    (first..total).map(|number| event_text(call, number * id_step, number, total)).collect()
}

/// Returns the difference between the numbers of two events of a call's stream.
fn id_step(call_id: &str) -> u64 {
    let is_wide = (hash64(call_id.as_bytes()) / 32).is_multiple_of(STREAMS_PER_WIDE_STEP);
    if is_wide { WIDE_ID_STEP } else { 1 }
}

/// Returns the part at which a run breaks off if `part` is drawn. After a single event the numbering is not known, and the
/// stream could not be continued with a gap.
fn breaking_part(part: usize, call_id: &str) -> usize {
    if part == 1 && id_step(call_id) > 1 { 2 } else { part }
}

/// The parts of a request that the worker needs.
#[derive(Debug, Default)]
struct RawRequest {
    path: String,
    call_id: String,
    last_event_id: Option<u64>,
    content_length: usize,
}

impl RawRequest {
    fn parse(head: &str) -> RawRequest {
        let mut lines = head.split("\r\n");
        let path = lines.next().and_then(|line| line.split(' ').nth(1)).unwrap_or("").to_owned();
        let mut request = RawRequest { path, ..RawRequest::default() };
        for (name, value) in lines.filter_map(|line| line.split_once(':')) {
            let value = value.trim();
            match name.to_ascii_lowercase().as_str() {
                "x-call-id" => value.clone_into(&mut request.call_id),
                "last-event-id" => request.last_event_id = value.parse().ok(),
                "content-length" => request.content_length = value.parse().unwrap_or(0),
                _ => {}
            }
        }
        request
    }

    fn is_stream(&self) -> bool {
        !matches!(self.path.as_str(), "/v1/confirm" | "/v1/book")
    }
}

/// The state that all clones of a worker share.
#[derive(Debug)]
struct WorkerState {
    spec: WorkerSpec,
    log: RunLog,
    busy: AtomicU64,
    is_faulty: AtomicBool,
    seed: u64,
}

/// A worker that pauses. Clones are handles of the same worker.
#[derive(Clone, Debug)]
pub struct PausingWorker(Arc<WorkerState>);

impl PausingWorker {
    /// Starts a worker, which reports and serves until the runtime ends.
    ///
    /// # Errors
    ///
    /// The listener can't be bound to the address.
    pub async fn start(spec: WorkerSpec, log: RunLog, seed: u64, http: &HttpClient) -> std::io::Result<PausingWorker> {
        let listener = TcpListener::bind(spec.addr).await?;
        let (busy, is_faulty) = (AtomicU64::new(0), AtomicBool::new(false));
        let worker = PausingWorker(Arc::new(WorkerState { spec, log, busy, is_faulty, seed }));
        tokio::spawn(worker.clone().report(http.clone()));
        tokio::spawn(worker.clone().accept(listener));
        Ok(worker)
    }

    /// Sets whether some of the later runs break off.
    pub fn set_faulty(&self, is_faulty: bool) {
        self.0.is_faulty.store(is_faulty, Ordering::Release);
    }

    async fn report(self, http: HttpClient) {
        let WorkerState { spec, busy, .. } = &*self.0;
        for seq in 1u64.. {
            let busy = busy.load(Ordering::Acquire);
            let body = report_body(spec, WorkerStatus { addr: spec.addr, seq, busy, is_draining: false });
            for index in 0..spec.nodes.len().min(NODES_PER_REPORT) {
                let node = spec.nodes[(seq as usize + index) % spec.nodes.len()].clone();
                let (http, body) = (http.clone(), body.clone());
                tokio::spawn(async move { send_report(&http, &node, &body).await });
            }
            tokio::time::sleep(REPORT_INTERVAL).await;
        }
    }

    async fn accept(self, listener: TcpListener) {
        for number in 0u64.. {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let _ = stream.set_nodelay(true);
            let rng = Rng::new(self.0.seed ^ hash64(format!("{} {number}", self.0.spec.id).as_bytes()));
            tokio::spawn(Connection { stream, buffer: Vec::new(), rng }.serve(self.clone()));
        }
    }
}

/// The connection of a node to a worker.
struct Connection {
    stream: TcpStream,
    /// Bytes that were received and not parsed.
    buffer: Vec<u8>,
    rng: Rng,
}

impl Connection {
    /// Serves the requests of the connection one after the other.
    async fn serve(mut self, worker: PausingWorker) {
        while let Some(request) = self.read_request().await {
            let state = &worker.0;
            let plan = AnswerPlan::draw(&request, &mut self.rng, state.is_faulty.load(Ordering::Acquire));
            let started_at = Instant::now();
            state.busy.fetch_add(1, Ordering::AcqRel);
            let end = self.answer(&request.call_id, &plan).await;
            state.busy.fetch_sub(1, Ordering::AcqRel);
            state.log.add(LoggedRun { call_id: request.call_id, started_at, ended_at: Instant::now(), end });
            if end != RunEnd::Complete {
                return;
            }
            if plan.framing == Framing::Close {
                let _ = self.stream.shutdown().await;
                return;
            }
        }
    }

    /// Reads the next request with its body; `None` once the node has closed the connection.
    async fn read_request(&mut self) -> Option<RawRequest> {
        let head_end = loop {
            if let Some(index) = self.buffer.windows(4).position(|window| window == b"\r\n\r\n") {
                break index;
            }
            self.read_more().await?;
        };
        let request = RawRequest::parse(&String::from_utf8_lossy(&self.buffer[..head_end]));
        let request_end = head_end + 4 + request.content_length;
        while self.buffer.len() < request_end {
            self.read_more().await?;
        }
        self.buffer.drain(..request_end);
        Some(request)
    }

    async fn read_more(&mut self) -> Option<()> {
        let count = self.stream.read_buf(&mut self.buffer).await.ok()?;
        (count > 0).then_some(())
    }

    /// Sends an answer, unless the node closes the connection meanwhile.
    async fn answer(&mut self, call_id: &str, plan: &AnswerPlan) -> RunEnd {
        match self.send(call_id, plan).await {
            Some(end) => end,
            None => RunEnd::ReaderLeft,
        }
    }

    /// Sends an answer; `None` if the node has closed the connection.
    async fn send(&mut self, call_id: &str, plan: &AnswerPlan) -> Option<RunEnd> {
        let pause_at = |point| if plan.pause_point == point { plan.pause } else { Duration::ZERO };
        self.wait(pause_at(PausePoint::BeforeHead)).await?;
        self.write(&plan.head(call_id)).await?;
        for (index, part) in plan.parts.iter().enumerate() {
            self.wait(plan.interval + pause_at(PausePoint::BeforePart(index))).await?;
            let text = plan.framed(part);
            if let Some((_, way)) = plan.breaks_at.filter(|(at, _)| *at == index) {
                self.write(&text[..text.len() / 2]).await?;
                if way == Break::Reset {
                    let _ = self.stream.set_zero_linger();
                }
                return Some(RunEnd::BrokeOff);
            }
            self.write(&text).await?;
        }
        self.wait(pause_at(PausePoint::BeforeEnd)).await?;
        self.write(plan.end()).await?;
        Some(RunEnd::Complete)
    }

    /// Waits; `None` if the node closes the connection meanwhile.
    async fn wait(&mut self, time: Duration) -> Option<()> {
        let mut byte = [0; 1];
        tokio::select! {
            () = tokio::time::sleep(time) => Some(()),
            // A node sends nothing before the end of the answer.
            _ = self.stream.read(&mut byte) => None,
        }
    }

    async fn write(&mut self, text: &str) -> Option<()> {
        self.stream.write_all(text.as_bytes()).await.ok()
    }
}
