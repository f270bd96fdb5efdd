//! A worker of the model or the application, which reports to nodes, runs calls and fails on request.

use super::http::{HttpClient, request_text};
use super::log::{WorkerLog, WorkerRun};
use bytes::Bytes;
use futures::Stream;
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::{Frame, Incoming};
use hyper::header::HeaderValue;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// How often a worker looks whether it should report. It reports every other time, and at once
/// when it has begun to drain.
const REPORT_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Nodes that get each report, so that one of them may be down.
const NODES_PER_REPORT: usize = 2;

/// How a worker behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerMode {
    /// It runs every call.
    Healthy,
    /// It accepts calls and never responds.
    Hang,
    /// It breaks each stream off after so many events, in the middle of the next.
    Truncate(u64),
    /// It runs a call and closes the connection without a response.
    NoResponse,
}

/// What a worker is and whom it reports to.
#[derive(Clone, Debug)]
pub struct WorkerSpec {
    /// Its id.
    pub id: String,
    /// The address that it listens at.
    pub addr: SocketAddr,
    /// The pool that it belongs to.
    pub pool: String,
    /// Its zone.
    pub zone: String,
    /// Calls that it runs at the same time; it refuses more.
    pub slots: u64,
    /// The incarnation that it reports.
    pub incarnation: u64,
    /// The admin addresses of the nodes that it reports to.
    pub nodes: Vec<String>,
}

#[derive(Debug)]
struct Inner {
    spec: WorkerSpec,
    /// The address that the listener really has.
    addr: SocketAddr,
    /// The sequence number of the last report.
    report_seq: AtomicU64,
    /// Calls that run.
    busy: AtomicU64,
    draining: AtomicBool,
    draining_since: Mutex<Option<Instant>>,
    mode: Mutex<WorkerMode>,
    log: WorkerLog,
    /// The address that it reports, where that is not its own.
    reported_addr: Mutex<Option<SocketAddr>>,
    /// False once the worker has crashed.
    up: watch::Sender<bool>,
}

/// A stand-in for a worker of the model or the application. Clones are the same worker.
#[derive(Clone, Debug)]
pub struct StandInWorker(Arc<Inner>);

type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// What a path's response is like.
#[derive(Clone, Copy)]
struct ResponsePlan {
    /// Events of the stream; 0 for a plain response.
    events: u64,
    /// The time before each event, or before a plain response.
    pause: Duration,
}

impl ResponsePlan {
    fn for_path(path: &str) -> Self {
        let (events, pause_ms) = match path {
            "/v1/draft" => (40, 10),
            "/v1/chat" => (10, 6),
            "/v1/summary" => (3, 60),
            _ => (0, 4),
        };
        ResponsePlan { events, pause: Duration::from_millis(pause_ms) }
    }
}

/// What a request says of its call.
struct CallRequest {
    call: String,
    tenant: String,
    path: String,
    resumed_after: Option<u64>,
    quota_window: u64,
}

impl CallRequest {
    fn read(request: &Request<Incoming>) -> Self {
        let header =
            |name: &str| request.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or("").to_owned();
        CallRequest {
            call: header("x-call-id"),
            tenant: header("x-tenant"),
            path: request.uri().path().to_owned(),
            resumed_after: header("last-event-id").parse().ok(),
            quota_window: header("x-quota-window").parse().unwrap_or(0),
        }
    }
}

impl StandInWorker {
    /// Starts a worker, which reports and serves until it crashes.
    ///
    /// # Errors
    ///
    /// Its address can't be listened at.
    pub async fn start(spec: WorkerSpec, log: &WorkerLog, http: &HttpClient) -> std::io::Result<StandInWorker> {
        let listener = TcpListener::bind(spec.addr).await?;
        let (up, is_up) = watch::channel(true);
        let worker = StandInWorker(Arc::new(Inner {
            addr: listener.local_addr()?,
            spec,
            report_seq: AtomicU64::new(0),
            busy: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            draining_since: Mutex::new(None),
            mode: Mutex::new(WorkerMode::Healthy),
            log: log.clone(),
            reported_addr: Mutex::new(None),
            up,
        }));
        tokio::spawn(worker.clone().serve(listener, is_up.clone()));
        tokio::spawn(worker.clone().report(http.clone(), is_up));
        Ok(worker)
    }

    /// Its id.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.0.spec.id
    }

    /// The address that it listens at.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.0.addr
    }

    /// Changes how it behaves from the next call on.
    pub fn set_mode(&self, mode: WorkerMode) {
        if let Ok(mut current) = self.0.mode.lock() {
            *current = mode;
        }
    }

    /// Reports another address than its own from now on: that of a relay.
    pub fn report_addr(&self, addr: SocketAddr) {
        if let Ok(mut reported) = self.0.reported_addr.lock() {
            *reported = Some(addr);
        }
    }

    /// Ends the listener, all connections and the reports at once.
    pub fn crash(&self) {
        let _ = self.0.up.send(false);
    }

    /// Reports from now on that it drains; it still runs every call.
    pub fn drain(&self) {
        if let Ok(mut since) = self.0.draining_since.lock() {
            *since = Some(Instant::now());
        }
        self.0.draining.store(true, Ordering::Release);
    }

    async fn report(self, http: HttpClient, mut is_up: watch::Receiver<bool>) {
        let mut interval = tokio::time::interval(REPORT_CHECK_INTERVAL);
        let mut ticks = 0;
        let mut reported_draining = false;
        loop {
            tokio::select! {
                _ = interval.tick() => {}
                _ = is_up.wait_for(|up| !*up) => return,
            }
            ticks += 1;
            let draining = self.0.draining.load(Ordering::Acquire);
            let has_begun_to_drain = draining && !reported_draining;
            if ticks % 2 == 1 || has_begun_to_drain {
                reported_draining = draining;
                self.send_report(&http, ticks / 2, draining);
            }
        }
    }

    /// Sends a report without waiting for responses; the round decides which nodes get it.
    fn send_report(&self, http: &HttpClient, round: usize, draining: bool) {
        let body = self.report_body(draining);
        let nodes = &self.0.spec.nodes;
        for index in 0..nodes.len().min(NODES_PER_REPORT) {
            let uri = format!("http://{}/v1/report", nodes[(round + index) % nodes.len()]);
            let (http, body) = (http.clone(), body.clone());
            tokio::spawn(async move {
                let headers = [("authorization", "Bearer worker-token"), ("content-type", "application/json")];
                let _ = request_text(&http, Method::POST, &uri, &headers, &body).await;
            });
        }
    }

    fn report_body(&self, draining: bool) -> String {
        let (worker, spec) = (&self.0, &self.0.spec);
        let seq = worker.report_seq.fetch_add(1, Ordering::AcqRel) + 1;
        format!(
            "{{\"id\":\"{}\",\"incarnation\":{},\"seq\":{seq},\"addr\":\"{}\",\"pool\":\"{}\",\"zone\":\"{}\",\"slots\":{},\"busy\":{},\"draining\":{draining}}}",
            spec.id,
            spec.incarnation,
            worker.reported_addr.lock().ok().and_then(|addr| *addr).unwrap_or(worker.addr),
            spec.pool,
            spec.zone,
            spec.slots,
            worker.busy.load(Ordering::Acquire)
        )
    }

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

    async fn serve_connection(self, stream: TcpStream, mut is_up: watch::Receiver<bool>) {
        let service = service_fn(move |request| self.clone().respond(request));
        let connection = hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::select! {
            _ = connection => {}
            _ = is_up.wait_for(|up| !*up) => {}
        }
    }

    async fn respond(self, request: Request<Incoming>) -> Result<Response<Body>, std::io::Error> {
        let call = CallRequest::read(&request);
        let body = request.into_body().collect().await.map_err(std::io::Error::other)?.to_bytes();
        let Some(slot) = BusySlot::occupy(&self) else {
            return Ok(plain_response(StatusCode::SERVICE_UNAVAILABLE, &call.call, "no", "{\"busy\":true}".into()));
        };
        self.record_run(&call, &body);
        let mode = self.0.mode.lock().map_or(WorkerMode::Healthy, |mode| *mode);
        let truncate_after = match mode {
            WorkerMode::Hang => std::future::pending().await,
            WorkerMode::NoResponse => return Err(std::io::Error::other("no response")),
            WorkerMode::Truncate(events) => Some(events),
            WorkerMode::Healthy => None,
        };
        let plan = ResponsePlan::for_path(&call.path);
        tokio::time::sleep(plan.pause).await;
        if plan.events == 0 {
            let body = format!("{{\"call\":\"{}\",\"ok\":true}}", call.call);
            return Ok(plain_response(StatusCode::OK, &call.call, "yes", body));
        }
        Ok(stream_response(&call, plan, truncate_after, slot))
    }

    fn record_run(&self, call: &CallRequest, body: &[u8]) {
        let spec = &self.0.spec;
        self.0.log.add(WorkerRun {
            call: call.call.clone(),
            tenant: call.tenant.clone(),
            path: call.path.clone(),
            prefix: String::from_utf8_lossy(body).split('|').next().unwrap_or("").to_owned(),
            worker: spec.id.clone(),
            zone: spec.zone.clone(),
            began: Instant::now(),
            resumed_after: call.resumed_after,
            quota_window: call.quota_window,
            draining_since: self.0.draining_since.lock().map_or(None, |since| *since),
        });
    }
}

/// A slot of a worker, which is free again when this is dropped.
struct BusySlot(StandInWorker);

impl BusySlot {
    fn occupy(worker: &StandInWorker) -> Option<Self> {
        // Made first: the count falls again also where no slot is free.
        let slot = BusySlot(worker.clone());
        (worker.0.busy.fetch_add(1, Ordering::AcqRel) < worker.0.spec.slots).then_some(slot)
    }
}

impl Drop for BusySlot {
    fn drop(&mut self) {
        self.0.0.busy.fetch_sub(1, Ordering::AcqRel);
    }
}

fn plain_response(status: StatusCode, call: &str, ran: &'static str, body: String) -> Response<Body> {
    let body = Full::new(Bytes::from(body)).map_err(|error| match error {}).boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response.headers_mut().insert("x-ran", HeaderValue::from_static(ran));
    response.headers_mut().insert("content-type", HeaderValue::from_static("application/json"));
    insert_call_id(&mut response, call);
    response
}

fn stream_response(
    call: &CallRequest,
    plan: ResponsePlan,
    truncate_after: Option<u64>,
    slot: BusySlot,
) -> Response<Body> {
    let first = call.resumed_after.map_or(0, |event| event + 1);
    let events = event_stream(call.call.clone(), first, plan, truncate_after, slot);
    let mut response = Response::new(BodyExt::boxed_unsync(StreamBody::new(events)));
    response.headers_mut().insert("content-type", HeaderValue::from_static("text/event-stream"));
    insert_call_id(&mut response, &call.call);
    response
}

fn insert_call_id(response: &mut Response<Body>, call: &str) {
    if let Ok(value) = call.parse() {
        response.headers_mut().insert("x-call-id", value);
    }
}

/// The events from `first` on. A truncated stream sends half an event and then fails.
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
            tokio::time::sleep(plan.pause).await;
            let (item, next) = match truncate_at {
                Some(at) if number == at => {
                    let half = format!("id: {number}\ndata: {{\"call\":\"{call}\",");
                    (Ok(Frame::data(half.into())), number + 1)
                }
                Some(at) if number > at => (Err(std::io::Error::other("cut")), total),
                _ => {
                    let event =
                        format!("id: {number}\ndata: {{\"call\":\"{call}\",\"n\":{number},\"of\":{total}}}\n\n");
                    (Ok(Frame::data(event.into())), number + 1)
                }
            };
            Some((item, (next, slot)))
        }
    })
}
