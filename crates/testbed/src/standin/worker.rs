//! A worker of the model or the application, which reports to nodes, runs calls and injects faults on request.

use super::http::HttpClient;
use super::log::{WorkerLog, WorkerRun};
use super::report::{WorkerStatus, report_body, send_report};
use bytes::Bytes;
use futures::Stream;
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::{Frame, Incoming};
use hyper::header::HeaderValue;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// The interval of a worker's report timer. A report is sent on every second tick, and on the first tick
/// after the worker began to drain.
const REPORT_TICK: Duration = Duration::from_millis(250);
/// The number of nodes that get each report; one of them may be down.
const NODES_PER_REPORT: usize = 2;

/// The behaviour of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerMode {
    /// The worker runs all calls.
    Healthy,
    /// The worker accepts calls and never responds.
    Hang,
    /// The worker truncates each stream after this number of events, in the middle of the next event.
    Truncate(u64),
    /// The worker runs calls and closes the connection without a response.
    NoResponse,
    /// The worker rejects all calls with status 503 and states that they did not run.
    Decline,
}

/// The static properties of a worker and the nodes that it reports to.
#[derive(Clone, Debug)]
pub struct WorkerSpec {
    /// The id of the worker.
    pub id: String,
    /// The address to listen at.
    pub addr: SocketAddr,
    /// The pool that the worker belongs to.
    pub pool: String,
    /// The zone of the worker.
    pub zone: String,
    /// The number of calls that run at the same time; further calls are rejected.
    pub slots: u64,
    /// The incarnation in all reports.
    pub incarnation: u64,
    /// The admin addresses of the nodes that get the reports.
    pub nodes: Vec<String>,
}

/// The state that all clones of a worker share.
#[derive(Debug)]
struct WorkerState {
    spec: WorkerSpec,
    /// The bound address of the listener.
    addr: SocketAddr,
    /// The sequence number of the last report.
    report_seq: AtomicU64,
    /// The number of running calls.
    busy: AtomicU64,
    /// True once the worker has begun to drain; set after `draining_since`.
    is_draining: AtomicBool,
    draining_since: Mutex<Option<Instant>>,
    mode: Mutex<WorkerMode>,
    log: WorkerLog,
    /// The reported address, if it is not `addr`.
    reported_addr: Mutex<Option<SocketAddr>>,
    /// False once the worker has crashed. All tasks of the worker watch this value.
    up_sender: watch::Sender<bool>,
}

/// A test worker of the model or the application. Clones are handles of the same worker.
#[derive(Clone, Debug)]
pub struct StandInWorker(Arc<WorkerState>);

type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// The size and the timing of a response.
#[derive(Clone, Copy)]
struct ResponsePlan {
    /// The number of events of a stream; 0 for a plain response.
    events: u64,
    /// The delay before each event, or before a plain response.
    delay: Duration,
}

impl ResponsePlan {
    /// Returns the plan for responses to this path.
    fn for_path(path: &str) -> Self {
        let (events, delay_ms) = match path {
            "/v1/draft" => (40, 10),
            "/v1/chat" => (10, 6),
            "/v1/summary" => (3, 60),
            _ => (0, 4),
        };
        ResponsePlan { events, delay: Duration::from_millis(delay_ms) }
    }
}

/// The properties of a call, read from its request.
struct CallRequest {
    call_id: String,
    tenant: String,
    path: String,
    last_event_id: Option<u64>,
    quota_window: u64,
}

impl CallRequest {
    /// Reads the path and the headers of a request.
    fn read(request: &Request<Incoming>) -> Self {
        let header =
            |name: &str| request.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or("").to_owned();
        CallRequest {
            call_id: header("x-call-id"),
            tenant: header("x-tenant"),
            path: request.uri().path().to_owned(),
            last_event_id: header("last-event-id").parse().ok(),
            quota_window: header("x-quota-window").parse().unwrap_or(0),
        }
    }
}

impl StandInWorker {
    /// Starts a worker, which sends reports and serves calls until [`StandInWorker::crash`].
    ///
    /// # Errors
    ///
    /// The listener can't be bound to the address.
    pub async fn start(spec: WorkerSpec, log: &WorkerLog, http: &HttpClient) -> std::io::Result<StandInWorker> {
        let listener = TcpListener::bind(spec.addr).await?;
        let (up_sender, is_up) = watch::channel(true);
        let worker = StandInWorker(Arc::new(WorkerState {
            addr: listener.local_addr()?,
            spec,
            report_seq: AtomicU64::new(0),
            busy: AtomicU64::new(0),
            is_draining: AtomicBool::new(false),
            draining_since: Mutex::new(None),
            mode: Mutex::new(WorkerMode::Healthy),
            log: log.clone(),
            reported_addr: Mutex::new(None),
            up_sender,
        }));
        tokio::spawn(worker.clone().serve(listener, is_up.clone()));
        tokio::spawn(worker.clone().report(http.clone(), is_up));
        Ok(worker)
    }

    /// Returns the id of the worker.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.0.spec.id
    }

    /// Returns the bound address of the listener.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.0.addr
    }

    /// Returns the name of the worker's pool.
    #[must_use]
    pub fn pool(&self) -> &str {
        &self.0.spec.pool
    }

    /// Changes the behaviour for all later calls.
    pub fn set_mode(&self, mode: WorkerMode) {
        if let Ok(mut current) = self.0.mode.lock() {
            *current = mode;
        }
    }

    /// Changes the reported address, for example to that of a relay.
    pub fn report_addr(&self, addr: SocketAddr) {
        if let Ok(mut reported) = self.0.reported_addr.lock() {
            *reported = Some(addr);
        }
    }

    /// Closes the listener and all connections and stops the reports, all at once.
    pub fn crash(&self) {
        let _ = self.0.up_sender.send(false);
    }

    /// Begins to drain: all later reports say so, and the worker still runs all calls.
    pub fn drain(&self) {
        if let Ok(mut since) = self.0.draining_since.lock() {
            *since = Some(Instant::now());
        }
        self.0.is_draining.store(true, Ordering::Release);
    }

    /// Sends reports until the worker crashes.
    async fn report(self, http: HttpClient, mut is_up: watch::Receiver<bool>) {
        let mut interval = tokio::time::interval(REPORT_TICK);
        let mut ticks = 0;
        let mut has_reported_draining = false;
        loop {
            tokio::select! {
                _ = interval.tick() => {}
                _ = is_up.wait_for(|up| !*up) => return,
            }
            ticks += 1;
            let is_draining = self.0.is_draining.load(Ordering::Acquire);
            let has_begun_to_drain = is_draining && !has_reported_draining;
            if ticks % 2 == 1 || has_begun_to_drain {
                has_reported_draining = is_draining;
                self.send_report(&http, ticks / 2, is_draining);
            }
        }
    }

    /// Sends a report without waiting for the responses. The nodes take turns: `round` selects the first one.
    fn send_report(&self, http: &HttpClient, round: usize, is_draining: bool) {
        let body = self.next_report(is_draining);
        let nodes = &self.0.spec.nodes;
        for index in 0..nodes.len().min(NODES_PER_REPORT) {
            let node = nodes[(round + index) % nodes.len()].clone();
            let (http, body) = (http.clone(), body.clone());
            tokio::spawn(async move { send_report(&http, &node, &body).await });
        }
    }

    /// Returns the next report as JSON.
    fn next_report(&self, is_draining: bool) -> String {
        let worker = &self.0;
        let seq = worker.report_seq.fetch_add(1, Ordering::AcqRel) + 1;
        let addr = worker.reported_addr.lock().ok().and_then(|addr| *addr).unwrap_or(worker.addr);
        let busy = worker.busy.load(Ordering::Acquire);
        report_body(&worker.spec, WorkerStatus { addr, seq, busy, is_draining })
    }

    /// Accepts connections until the worker crashes.
    async fn serve(self, listener: TcpListener, mut is_up: watch::Receiver<bool>) {
        loop {
            let stream = tokio::select! {
                accepted = listener.accept() => match accepted { Ok((stream, _)) => stream, Err(_) => continue },
                _ = is_up.wait_for(|up| !*up) => return,
            };
            let _ = stream.set_nodelay(true);
            tokio::spawn(self.clone().serve_connection(stream, is_up.clone()));
        }
    }

    /// Serves a connection until it is closed or the worker crashes.
    async fn serve_connection(self, stream: TcpStream, mut is_up: watch::Receiver<bool>) {
        let service = service_fn(move |request| self.clone().respond(request));
        let connection = hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::select! {
            _ = connection => {}
            _ = is_up.wait_for(|up| !*up) => {}
        }
    }

    /// Runs a call and returns the response of the current mode.
    async fn respond(self, request: Request<Incoming>) -> Result<Response<Body>, std::io::Error> {
        let call = CallRequest::read(&request);
        let body = request.into_body().collect().await.map_err(std::io::Error::other)?.to_bytes();
        self.0.log.add_arrival(&self.0.spec.pool, &call.call_id);
        let mode = self.0.mode.lock().map_or(WorkerMode::Healthy, |mode| *mode);
        let Some(slot) = BusySlot::acquire(&self).filter(|_| mode != WorkerMode::Decline) else {
            return Ok(plain_response(StatusCode::SERVICE_UNAVAILABLE, &call.call_id, "no", "{\"busy\":true}".into()));
        };
        self.record_run(&call, &body);
        let truncate_after = match mode {
            WorkerMode::Hang => std::future::pending().await,
            WorkerMode::NoResponse => return Err(std::io::Error::other("no response")),
            WorkerMode::Truncate(events) => Some(events),
            WorkerMode::Healthy | WorkerMode::Decline => None,
        };
        let plan = ResponsePlan::for_path(&call.path);
        tokio::time::sleep(plan.delay).await;
        if plan.events == 0 {
            let body = format!("{{\"call\":\"{}\",\"ok\":true}}", call.call_id);
            return Ok(plain_response(StatusCode::OK, &call.call_id, "yes", body));
        }
        Ok(stream_response(&call, plan, truncate_after, slot))
    }

    /// Adds the run of a call to the log.
    fn record_run(&self, call: &CallRequest, body: &[u8]) {
        let spec = &self.0.spec;
        self.0.log.add(WorkerRun {
            call_id: call.call_id.clone(),
            tenant: call.tenant.clone(),
            path: call.path.clone(),
            prefix: String::from_utf8_lossy(body).split('|').next().unwrap_or("").to_owned(),
            worker: spec.id.clone(),
            zone: spec.zone.clone(),
            started_at: Instant::now(),
            last_event_id: call.last_event_id,
            quota_window: call.quota_window,
            draining_since: self.0.draining_since.lock().map_or(None, |since| *since),
        });
    }
}

/// A slot of a worker in use. Dropping it frees the slot.
struct BusySlot(StandInWorker);

impl BusySlot {
    /// Acquires a slot; returns `None` if no slot is free.
    fn acquire(worker: &StandInWorker) -> Option<Self> {
        // Created before the check: its drop decrements the count also if no slot is free.
        let slot = BusySlot(worker.clone());
        (worker.0.busy.fetch_add(1, Ordering::AcqRel) < worker.0.spec.slots).then_some(slot)
    }
}

impl Drop for BusySlot {
    fn drop(&mut self) {
        self.0.0.busy.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Returns a JSON response that is no stream.
fn plain_response(status: StatusCode, call: &str, ran: &'static str, body: String) -> Response<Body> {
    let body = Full::new(Bytes::from(body)).map_err(|error| match error {}).boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response.headers_mut().insert("x-ran", HeaderValue::from_static(ran));
    response.headers_mut().insert("content-type", HeaderValue::from_static("application/json"));
    insert_call_id(&mut response, call);
    response
}

/// Returns a stream of events, which starts after the last event of a resumed call.
fn stream_response(
    call: &CallRequest,
    plan: ResponsePlan,
    truncate_after: Option<u64>,
    slot: BusySlot,
) -> Response<Body> {
    let first = call.last_event_id.map_or(0, |event| event + 1);
    let events = event_stream(call.call_id.clone(), first, plan, truncate_after, slot);
    let mut response = Response::new(BodyExt::boxed_unsync(StreamBody::new(events)));
    response.headers_mut().insert("content-type", HeaderValue::from_static("text/event-stream"));
    insert_call_id(&mut response, &call.call_id);
    response
}

fn insert_call_id(response: &mut Response<Body>, call: &str) {
    if let Ok(value) = call.parse() {
        response.headers_mut().insert("x-call-id", value);
    }
}

/// Returns one event of a stream.
pub(super) fn event_text(call: &str, id: u64, number: u64, total: u64) -> String {
    format!("id: {id}\ndata: {{\"call\":\"{call}\",\"n\":{number},\"of\":{total}}}\n\n")
}

/// Returns the events from number `first` on. A truncated stream sends half an event and then fails.
fn event_stream(
    call: String,
    first: u64,
    plan: ResponsePlan,
    truncate_after: Option<u64>,
    slot: BusySlot,
) -> impl Stream<Item = Result<Frame<Bytes>, std::io::Error>> {
    let total = plan.events;
    let truncate_at = truncate_after.map(|events| first + events);
    futures::stream::unfold((first, slot), move |(number, slot)| {
        let call = call.clone();
        async move {
            if number >= total {
                return None;
            }
            tokio::time::sleep(plan.delay).await;
            let (item, next) = match truncate_at {
                Some(end) if number == end => {
                    let half_event = format!("id: {number}\ndata: {{\"call\":\"{call}\",");
                    (Ok(Frame::data(half_event.into())), number + 1)
                }
                Some(end) if number > end => (Err(std::io::Error::other("truncated")), total),
                _ => (Ok(Frame::data(event_text(&call, number, number, total).into())), number + 1),
            };
            Some((item, (next, slot)))
        }
    })
}
