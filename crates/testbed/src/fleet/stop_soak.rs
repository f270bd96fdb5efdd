//! A soak of planned work: clients keep using open connections while nodes are stopped, reloaded, killed, frozen and
//! reconfigured in overlapping series, and healthy workers are silent at any point of their answers. Judged by what
//! clients and workers observed.

use super::config::tenant_key;
use super::nodes::{Fleet, ShutdownTimes};
use super::setup::{CORES, apply_config, start_nodes, wait_for_workers, worker_spec};
use super::spec::FleetSpec;
use crate::lost_answers::{
    LossLimits, LostAnswer, NodeEvents, NodeFault, PlannedWork, RequestRecord, RequestRun, lost_answers,
};
use crate::standin::{ClientObservation, ClientRecord, LoggedRun, PausingWorker, RunLog, StandInClient, http_client};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use sumacvale_core::base::{MS, Micros, Rng, SEC, sha256_hex};

/// The time of the record at which traffic begins, in microseconds.
const RECORD_BEGIN: Micros = 60 * SEC;
/// The quiet time before the first event, in milliseconds.
const QUIET_MS: u64 = 2_000;
/// From the SIGTERM of a node to the SIGKILL that follows, in milliseconds.
const GRACE_MS: u64 = 8_000;
/// The shutdown of nodes: it ends within the last sixth of the grace.
const SHUTDOWN_TIMES: ShutdownTimes = ShutdownTimes { notice_ms: 2_400, grace_ms: 5_100 };
/// The time-out of each route, in milliseconds.
const TIME_LIMIT_MS: u64 = 12_000;
/// The largest gap allowed between the events of a stream, in milliseconds.
const GAP_MS: u64 = 300;
/// The time-out of a configuration change, which may fail while nodes are down.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(800);
/// The longest pause of a client between two calls, in milliseconds.
const MAX_THINK_MS: u64 = 200;
/// The pause of a client whose connection failed, before it uses another front.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);
/// The time after the last answer within which its worker logs the run.
const LAST_RUN_DELAY: Duration = Duration::from_millis(300);
/// The paths that clients call, each with its kind.
const PATHS: [(&str, &str); 5] = [
    ("draft", "/v1/draft"),
    ("summary", "/v1/summary"),
    ("chat", "/v1/chat"),
    ("lookup", "/v1/confirm"),
    ("order", "/v1/book"),
];

/// The settings of a soak.
#[derive(Clone, Copy, Debug)]
pub struct StopSoak {
    /// The size of the fleet.
    pub spec: FleetSpec,
    /// The number of clients.
    pub clients: usize,
    /// The time for which events are drawn, in seconds.
    pub seconds: u64,
    /// The seed of all draws.
    pub seed: u64,
}

/// The results of a soak.
#[derive(Debug, Default)]
pub struct StopSoakOutcome {
    /// The number of answers by how they ended.
    pub answers: BTreeMap<String, usize>,
    /// The number of events of each kind.
    pub events: BTreeMap<&'static str, u64>,
    /// Answers that were lost, each with the lines of its front's log that name the request.
    pub lost: Vec<(LostAnswer, String)>,
    /// Answers that violate the protocol.
    pub violations: Vec<String>,
}

impl StopSoakOutcome {
    /// Returns the number of requests.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.answers.values().sum()
    }
}

/// One event of a soak.
#[derive(Clone, Copy, Debug)]
enum SoakEvent {
    /// The node gets SIGTERM, and is killed and started again when its grace is over.
    Stop(usize),
    /// The node, which is stopping, gets another SIGTERM.
    StopAgain(usize),
    /// The node gets SIGHUP.
    Reload(usize),
    /// The node is killed and started again.
    Kill(usize),
    /// The node is frozen.
    Freeze(usize),
    /// The node runs on.
    Thaw(usize),
    /// The node is started again, whether or not it has ended by itself.
    Restart(usize),
    /// The configuration changes.
    ChangeConfig,
    /// Some runs of a worker break off, or none do any more.
    SetFaulty(usize, bool),
}

impl SoakEvent {
    fn name(self) -> &'static str {
        match self {
            SoakEvent::Stop(_) => "SIGTERM",
            SoakEvent::StopAgain(_) => "SIGTERM again",
            SoakEvent::Reload(_) => "SIGHUP",
            SoakEvent::Kill(_) => "SIGKILL",
            SoakEvent::Freeze(_) => "SIGSTOP",
            SoakEvent::Thaw(_) => "SIGCONT",
            SoakEvent::Restart(_) => "restart",
            SoakEvent::ChangeConfig => "change",
            SoakEvent::SetFaulty(_, true) => "worker breaks off",
            SoakEvent::SetFaulty(_, false) => "worker healthy",
        }
    }
}

/// Returns the configuration of a soak; a different number of `extra_matches` gives a different one.
fn soak_config(extra_matches: u64) -> String {
    let stream = |name: &str, more: &str| {
        format!("\"{name}\":{{\"path\":\"/v1/{name}\",\"pool\":\"llm\",\"kind\":\"chat\",\"gap_ms\":{GAP_MS}{more}}}")
    };
    let lookup = |name: &str, more: &str| {
        format!("\"{name}\":{{\"path\":\"/v1/{name}\",\"pool\":\"llm\",\"kind\":\"lookup\"{more}}}")
    };
    let resumable = ",\"resume\":true,\"repeat\":true,\"tries\":2";
    let mut matches = vec![
        stream("draft", resumable),
        stream("summary", resumable),
        stream("chat", ""),
        lookup("confirm", ",\"repeat\":true,\"tries\":2"),
        lookup("book", ""),
    ];
    matches.extend((0..extra_matches).map(|number| lookup(&format!("x{number}"), "")));
    format!(
        "{{\"defaults\":{{\"aim_ms\":600,\"wait_ms\":{TIME_LIMIT_MS},\"first_ms\":{TIME_LIMIT_MS},\"idle_ms\":{TIME_LIMIT_MS}}},\
         \"pools\":{{\"llm\":{{}}}},\"matches\":{{{}}},\"tenants\":{{\"t0\":{{\"keys\":[\"sha256:{}\"],\"quota\":\"none\"}}}}}}",
        matches.join(","),
        sha256_hex(tenant_key(0).as_bytes())
    )
}

/// Runs a soak.
///
/// # Errors
///
/// The fleet can't be started, or a node can't be started again.
pub async fn run_stop_soak(soak: StopSoak) -> Result<StopSoakOutcome, String> {
    let mut fleet = start_nodes(soak.spec, SHUTDOWN_TIMES, &soak_config(0)).await?;
    let log = RunLog::default();
    let workers = start_workers(&fleet, soak, &log).await?;
    wait_for_workers(&fleet, workers.len() as u64).await?;
    let began = Instant::now();
    let clients = Clients::start(&fleet, soak);
    let mut rng = Rng::new(soak.seed);
    let mut history = History { began, events: NodeEvents::default(), counts: BTreeMap::new() };
    for (at_ms, event) in draw_events(soak, workers.len(), &mut rng) {
        tokio::time::sleep_until((began + Duration::from_millis(at_ms)).into()).await;
        apply(event, &mut fleet, &workers, &mut history, &mut rng).await?;
    }
    let records = clients.stop().await;
    // A worker logs a run when it notices the end of its connection.
    tokio::time::sleep(LAST_RUN_DELAY).await;
    Ok(judge(&fleet, &records, &log.all(), history))
}

async fn start_workers(fleet: &Fleet, soak: StopSoak, log: &RunLog) -> Result<Vec<PausingWorker>, String> {
    let mut workers = Vec::new();
    for index in 0..soak.spec.model_workers {
        let spec = worker_spec(fleet, soak.spec, index)?;
        let worker = PausingWorker::start(spec, log.clone(), soak.seed, &fleet.http).await;
        workers.push(worker.map_err(|error| error.to_string())?);
    }
    Ok(workers)
}

/// The clients of a soak. Each keeps its connection to one front until that fails.
struct Clients {
    records: Arc<Mutex<Vec<ClientRecord>>>,
    is_over: Arc<AtomicBool>,
    tasks: tokio::task::JoinSet<()>,
}

impl Clients {
    fn start(fleet: &Fleet, soak: StopSoak) -> Clients {
        let fronts: Arc<Vec<String>> = Arc::new(fleet.nodes[CORES..].iter().map(super::node::Node::front).collect());
        let (records, is_over) = (Arc::new(Mutex::default()), Arc::new(AtomicBool::new(false)));
        let next_number = Arc::new(AtomicU64::new(0));
        let mut tasks = tokio::task::JoinSet::new();
        for index in 0..soak.clients as u64 {
            let rng = Rng::new(soak.seed.wrapping_mul(1_000_003).wrapping_add(index));
            let client = SoakClient {
                fronts: fronts.clone(),
                records: records.clone(),
                is_over: is_over.clone(),
                next_number: next_number.clone(),
                seed: soak.seed,
                rng,
            };
            tasks.spawn(client.run());
        }
        Clients { records, is_over, tasks }
    }

    /// Lets each client end its call, and returns the records of all calls.
    async fn stop(mut self) -> Vec<ClientRecord> {
        self.is_over.store(true, Ordering::Release);
        while self.tasks.join_next().await.is_some() {}
        self.records.lock().map(|records| records.clone()).unwrap_or_default()
    }
}

/// One client of a soak.
struct SoakClient {
    fronts: Arc<Vec<String>>,
    records: Arc<Mutex<Vec<ClientRecord>>>,
    is_over: Arc<AtomicBool>,
    next_number: Arc<AtomicU64>,
    seed: u64,
    rng: Rng,
}

impl SoakClient {
    async fn run(mut self) {
        let http = http_client();
        let mut front = self.draw_front();
        while !self.is_over.load(Ordering::Acquire) {
            let (kind, path) = PATHS[self.rng.next_below(PATHS.len() as u64) as usize];
            let client = StandInClient { http: http.clone(), kind, path, tenant: "t0".into(), key: tenant_key(0) };
            let id = format!("{:x}-{}", self.seed, self.next_number.fetch_add(1, Ordering::Relaxed));
            let record = client.call(&front, &id, "x").await;
            let has_failed = record.observation == ClientObservation::NoResponse;
            if let Ok(mut records) = self.records.lock() {
                records.push(record);
            }
            if has_failed {
                front = self.draw_front();
                tokio::time::sleep(RECONNECT_PAUSE).await;
            }
            tokio::time::sleep(Duration::from_millis(self.rng.next_below(MAX_THINK_MS))).await;
        }
    }

    fn draw_front(&mut self) -> String {
        self.fronts[self.rng.next_below(self.fronts.len() as u64) as usize].clone()
    }
}

/// Draws the events of a soak, in order of their times in milliseconds.
fn draw_events(soak: StopSoak, workers: usize, rng: &mut Rng) -> Vec<(u64, SoakEvent)> {
    let fronts = soak.spec.fronts as u64;
    let mut events = Vec::new();
    let mut restarts = BTreeMap::new();
    let mut at_ms = QUIET_MS;
    while at_ms < soak.seconds * 1_000 {
        let node = CORES + rng.next_below(fronts) as usize;
        draw_event(node, at_ms, workers, rng, &mut restarts, &mut events);
        at_ms += 50 + rng.next_below(20_000 / fronts);
    }
    events.sort_by_key(|(at_ms, _)| *at_ms);
    events
}

/// Draws an event with what follows it. `restarts` holds the time of the last restart of each node: a node that is
/// stopping gets another SIGTERM, and is neither killed nor restarted a second time.
fn draw_event(
    node: usize,
    at_ms: u64,
    workers: usize,
    rng: &mut Rng,
    restarts: &mut BTreeMap<usize, u64>,
    events: &mut Vec<(u64, SoakEvent)>,
) {
    let is_stopping = restarts.get(&node).is_some_and(|restart| at_ms <= *restart);
    match rng.next_below(20) {
        0..8 if is_stopping => events.push((at_ms, SoakEvent::StopAgain(node))),
        15 if is_stopping => {}
        0..8 => {
            events.push((at_ms, SoakEvent::Stop(node)));
            events.push((at_ms + GRACE_MS, SoakEvent::Restart(node)));
            restarts.insert(node, at_ms + GRACE_MS);
        }
        8..11 => events.push((at_ms, SoakEvent::Reload(node))),
        11..15 => events.push((at_ms, SoakEvent::ChangeConfig)),
        15 => {
            events.push((at_ms, SoakEvent::Kill(node)));
            events.push((at_ms + 500, SoakEvent::Restart(node)));
            restarts.insert(node, at_ms + 500);
        }
        16 => {
            events.push((at_ms, SoakEvent::Freeze(node)));
            events.push((at_ms + 200 + rng.next_below(2_000), SoakEvent::Thaw(node)));
        }
        _ => {
            let worker = rng.next_below(workers as u64) as usize;
            events.push((at_ms, SoakEvent::SetFaulty(worker, true)));
            events.push((at_ms + 500 + rng.next_below(3_000), SoakEvent::SetFaulty(worker, false)));
        }
    }
}

/// What happened so far.
struct History {
    began: Instant,
    events: NodeEvents,
    counts: BTreeMap<&'static str, u64>,
}

impl History {
    /// Returns a time of the record, in microseconds.
    fn micros(&self, at: Instant) -> Micros {
        RECORD_BEGIN + at.saturating_duration_since(self.began).as_micros() as u64
    }

    fn now(&self) -> Micros {
        self.micros(Instant::now())
    }

    /// Ends the fault of a node that has begun and not ended.
    fn end_fault(&mut self, node: usize) {
        let now = self.now();
        let is_open = |fault: &&mut NodeFault| fault.node == node && fault.end == Micros::MAX;
        self.events.faults.iter_mut().filter(is_open).for_each(|fault| fault.end = now);
    }

    fn begin_fault(&mut self, node: usize) {
        self.events.faults.push(NodeFault { node, begin: self.now(), end: Micros::MAX });
    }
}

async fn apply(
    event: SoakEvent,
    fleet: &mut Fleet,
    workers: &[PausingWorker],
    history: &mut History,
    rng: &mut Rng,
) -> Result<(), String> {
    *history.counts.entry(event.name()).or_default() += 1;
    match event {
        SoakEvent::Stop(node) => {
            history.events.planned.push(PlannedWork::Stop { node, at: history.now() });
            fleet.signal(node, libc::SIGTERM);
        }
        SoakEvent::StopAgain(node) => fleet.signal(node, libc::SIGTERM),
        SoakEvent::Reload(node) => {
            history.events.planned.push(PlannedWork::Reload { node, at: history.now() });
            fleet.signal(node, libc::SIGHUP);
        }
        SoakEvent::Kill(node) => {
            history.begin_fault(node);
            fleet.signal(node, libc::SIGKILL);
        }
        SoakEvent::Freeze(node) => {
            history.begin_fault(node);
            fleet.signal(node, libc::SIGSTOP);
        }
        SoakEvent::Thaw(node) => {
            fleet.signal(node, libc::SIGCONT);
            history.end_fault(node);
        }
        SoakEvent::Restart(node) => {
            fleet.kill(node).await;
            fleet.start(node).map_err(|error| error.to_string())?;
            history.end_fault(node);
        }
        SoakEvent::ChangeConfig => {
            let (sent_at, node) = (history.now(), CORES + rng.next_below((fleet.nodes.len() - CORES) as u64) as usize);
            let config = soak_config(1 + rng.next_below(40));
            let _ = tokio::time::timeout(CHANGE_TIMEOUT, apply_config(fleet, node, &config)).await;
            history.events.planned.push(PlannedWork::Change { sent_at, acknowledged_at: history.now() });
        }
        SoakEvent::SetFaulty(worker, is_faulty) => workers[worker].set_faulty(is_faulty),
    }
    Ok(())
}

/// Judges a soak by the records of clients and the runs of workers.
fn judge(fleet: &Fleet, records: &[ClientRecord], runs: &[LoggedRun], history: History) -> StopSoakOutcome {
    let mut runs_by_call: BTreeMap<&str, Vec<RequestRun>> = BTreeMap::new();
    for run in runs {
        let (started_at, ended_at) = (history.micros(run.started_at), history.micros(run.ended_at));
        let run_record = RequestRun { started_at, ended_at, end: run.end };
        runs_by_call.entry(&run.call_id).or_default().push(run_record);
    }
    for runs in runs_by_call.values_mut() {
        runs.sort_by_key(|run| run.started_at);
    }
    let fronts: BTreeMap<String, usize> =
        fleet.nodes.iter().enumerate().map(|(index, node)| (node.front(), index)).collect();
    let mut outcome = StopSoakOutcome { events: history.counts.clone(), ..StopSoakOutcome::default() };
    let mut requests = Vec::new();
    for record in records {
        let (label, is_complete) = match &record.observation {
            ClientObservation::Complete => ("complete".to_owned(), true),
            ClientObservation::Rejected { code, .. } => (code.clone(), true),
            ClientObservation::Truncated { .. } => ("truncated".to_owned(), false),
            ClientObservation::NoResponse => ("no response".to_owned(), false),
            ClientObservation::Violation(violation) => {
                outcome.violations.push(violation.clone());
                ("violation".to_owned(), true)
            }
        };
        *outcome.answers.entry(label).or_default() += 1;
        requests.push(RequestRecord {
            id: record.call_id.clone(),
            node: fronts.get(&record.front).copied().unwrap_or_default(),
            sent_at: history.micros(record.sent_at),
            ended_at: history.micros(record.sent_at + record.total),
            is_complete,
            time_limit: TIME_LIMIT_MS * MS,
            runs: runs_by_call.get(record.call_id.as_str()).cloned().unwrap_or_default(),
        });
    }
    let limits = LossLimits { grace: GRACE_MS * MS, apply_time: 2 * SEC, contact_time: 3 * SEC, slack: 200 * MS };
    outcome.lost = lost_answers(&requests, &history.events, limits)
        .into_iter()
        .map(|lost| {
            let log = fleet.log_text(lost.request.node);
            let lines: Vec<_> = log.lines().filter(|line| line.contains(&lost.request.id)).collect();
            (lost, lines.join("\n"))
        })
        .collect();
    outcome
}
