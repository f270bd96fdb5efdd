//! A soak of the retry budget: processes with traffic whose workers fail in series, while nodes are signalled, restarted
//! and reconfigured. Judged by what workers received.

use super::config::config_tree;
use super::nodes::Fleet;
use super::setup::{CORES, apply_config, start_fleet};
use super::spec::FleetSpec;
use super::traffic::{ClientRecords, Traffic};
use crate::retry_allowance::{RetryAllowance, RetryExcess, RetryRecord};
use crate::standin::{ClientObservation, ClientRecord, StandInWorker, WorkerArrival, WorkerMode, http_client};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};
use sumacvale_core::base::{Micros, Rng, SEC};
use tokio::sync::watch;

/// The time of the record at which traffic begins, in microseconds, so that earlier windows exist.
const RECORD_BEGIN: Micros = 30 * SEC;
/// The quiet time before the first fault and after the last one, in milliseconds.
const QUIET_MS: u64 = 3_000;
/// The time after SIGTERM or SIGKILL at which a node is started again, in milliseconds.
const RESTART_AFTER_MS: u64 = 3_000;
/// The time-out of a configuration change, which may fail while nodes are down.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(800);

/// The settings of a soak.
#[derive(Clone, Copy, Debug)]
pub struct RetrySoak {
    /// The size of the fleet and its traffic.
    pub spec: FleetSpec,
    /// The time for which traffic runs, in seconds.
    pub seconds: u64,
    /// The seed of the traffic and of all faults.
    pub seed: u64,
}

/// The results of a soak.
#[derive(Debug)]
pub struct RetrySoakOutcome {
    /// The requests that clients sent.
    pub requests: usize,
    /// The repeated arrivals at the workers of each pool.
    pub repeats: BTreeMap<&'static str, usize>,
    /// The number of faults and changes of each kind.
    pub events: BTreeMap<&'static str, u64>,
    /// Windows with more repeated arrivals than allowed.
    pub excesses: Vec<RetryExcess>,
    /// Windows with more repeated arrivals than would be allowed with no slack.
    pub excesses_without_slack: Vec<RetryExcess>,
}

/// One event of a soak.
#[derive(Clone, Copy, Debug)]
enum SoakEvent {
    /// The workers of the pool behave like this, each with this probability in percent; the others are healthy.
    SetMode(&'static str, WorkerMode, u64),
    /// The node gets a signal.
    Signal(usize, i32),
    /// The node is started again, whether or not it has ended by itself.
    Restart(usize),
    /// The configuration changes.
    ChangeConfig,
}

impl SoakEvent {
    fn name(self) -> &'static str {
        match self {
            SoakEvent::SetMode(_, WorkerMode::Healthy, _) => "workers healthy",
            SoakEvent::SetMode(..) => "workers fail",
            SoakEvent::Signal(_, libc::SIGTERM) => "SIGTERM",
            SoakEvent::Signal(_, libc::SIGKILL) => "SIGKILL",
            SoakEvent::Signal(_, libc::SIGSTOP) => "SIGSTOP",
            SoakEvent::Signal(_, libc::SIGHUP) => "SIGHUP",
            SoakEvent::Signal(..) => "SIGCONT",
            SoakEvent::Restart(_) => "restart",
            SoakEvent::ChangeConfig => "change",
        }
    }
}

/// Runs a soak.
///
/// # Errors
///
/// The fleet can't be started, or a node can't be started again.
pub async fn run_retry_soak(soak: RetrySoak) -> Result<RetrySoakOutcome, String> {
    let (mut fleet, workers, log) = start_fleet(soak.spec, &config_tree(soak.spec, 1, &[])).await?;
    let fronts = fleet.nodes[CORES..].iter().map(super::node::Node::front).collect();
    // Clients don't learn which fronts are ready: they use their connections until the process is gone.
    let (_all_fronts, all_fronts) = watch::channel(fronts);
    let (stop_sender, stop) = watch::channel(false);
    let records = ClientRecords::default();
    let traffic = Traffic {
        spec: soak.spec,
        http: http_client(),
        fronts: all_fronts,
        seed: soak.seed,
        scale_percent: 100,
        records: records.clone(),
    };
    let began = Instant::now();
    let traffic = tokio::spawn(traffic.run(stop));
    let mut rng = Rng::new(soak.seed);
    let events = draw_events(soak, &mut rng);
    for (at_ms, event) in &events {
        tokio::time::sleep_until((began + Duration::from_millis(*at_ms)).into()).await;
        apply(*event, soak.spec, &mut fleet, &workers, &mut rng).await?;
    }
    tokio::time::sleep_until((began + Duration::from_secs(soak.seconds)).into()).await;
    let _ = stop_sender.send(true);
    traffic.await.map_err(|error| error.to_string())?;
    let mut event_counts = BTreeMap::new();
    for (_, event) in events {
        *event_counts.entry(event.name()).or_default() += 1;
    }
    Ok(judge(soak, &records.all(), &log.arrivals(), began, event_counts))
}

/// Draws the events of a soak, in order of their times in milliseconds.
fn draw_events(soak: RetrySoak, rng: &mut Rng) -> Vec<(u64, SoakEvent)> {
    let end_ms = soak.seconds * 1_000 - QUIET_MS;
    let mut events = Vec::new();
    for pool in ["llm", "app"] {
        let mut at_ms = QUIET_MS + rng.next_below(5_000);
        while at_ms < end_ms {
            let modes = [WorkerMode::Decline, WorkerMode::Decline, WorkerMode::NoResponse, WorkerMode::Truncate(2)];
            let mode = modes[rng.next_below(4) as usize];
            let healthy_ms = at_ms + 500 + rng.next_below(9_000);
            events.push((at_ms, SoakEvent::SetMode(pool, mode, 50 + rng.next_below(51))));
            events.push((healthy_ms.min(end_ms), SoakEvent::SetMode(pool, WorkerMode::Healthy, 100)));
            at_ms = healthy_ms + 200 + rng.next_below(4_000);
        }
    }
    let mut at_ms = QUIET_MS;
    while at_ms < end_ms {
        // The first core, or any front: a majority of the cores stays.
        let node = match rng.next_below(8) {
            0 => 0,
            _ => CORES + rng.next_below(soak.spec.fronts as u64) as usize,
        };
        draw_node_event(node, at_ms, rng, &mut events);
        at_ms += 100 + rng.next_below(9_000 / (soak.spec.fronts as u64).min(9));
    }
    events.sort_by_key(|(at_ms, _)| *at_ms);
    events
}

/// Draws a signal to a node with what follows it, or a change of the configuration.
fn draw_node_event(node: usize, at_ms: u64, rng: &mut Rng, events: &mut Vec<(u64, SoakEvent)>) {
    match rng.next_below(10) {
        0..2 => events.push((at_ms, SoakEvent::ChangeConfig)),
        2 => events.push((at_ms, SoakEvent::Signal(node, libc::SIGHUP))),
        3..6 => {
            events.push((at_ms, SoakEvent::Signal(node, libc::SIGSTOP)));
            events.push((at_ms + 200 + rng.next_below(4_000), SoakEvent::Signal(node, libc::SIGCONT)));
        }
        drawn => {
            let signal = if drawn < 8 { libc::SIGTERM } else { libc::SIGKILL };
            events.push((at_ms, SoakEvent::Signal(node, signal)));
            events.push((at_ms + RESTART_AFTER_MS, SoakEvent::Restart(node)));
        }
    }
}

async fn apply(
    event: SoakEvent,
    spec: FleetSpec,
    fleet: &mut Fleet,
    workers: &[StandInWorker],
    rng: &mut Rng,
) -> Result<(), String> {
    match event {
        SoakEvent::SetMode(pool, mode, percent) => {
            for worker in workers.iter().filter(|worker| worker.pool() == pool) {
                worker.set_mode(if rng.chance_percent(percent) { mode } else { WorkerMode::Healthy });
            }
        }
        SoakEvent::Signal(node, signal) => fleet.signal(node, signal),
        SoakEvent::Restart(node) => {
            fleet.kill(node).await;
            fleet.start(node).map_err(|error| error.to_string())?;
        }
        SoakEvent::ChangeConfig => {
            let (front, matches) = (CORES + rng.next_below(spec.fronts as u64) as usize, rng.next_below(40) as usize);
            let tree = config_tree(spec, matches, &[]);
            let _ = tokio::time::timeout(CHANGE_TIMEOUT, apply_config(fleet, front, &tree)).await;
        }
    }
    Ok(())
}

/// Judges a soak by the requests of clients and the arrivals at workers.
fn judge(
    soak: RetrySoak,
    records: &[ClientRecord],
    arrivals: &[WorkerArrival],
    began: Instant,
    events: BTreeMap<&'static str, u64>,
) -> RetrySoakOutcome {
    let micros = |at: Instant| RECORD_BEGIN + at.saturating_duration_since(began).as_micros() as u64;
    let arrived: BTreeSet<&str> = arrivals.iter().map(|arrival| arrival.call_id.as_str()).collect();
    let mut record = RetryRecord::default();
    let mut requests = 0;
    for call in records {
        // A call without a response may never have been sent, and one without a valid key is on no route.
        let is_sent = match &call.observation {
            ClientObservation::NoResponse => arrived.contains(call.call_id.as_str()),
            ClientObservation::Rejected { status, .. } => *status != 401,
            _ => true,
        };
        if is_sent {
            requests += 1;
            record.request_sent(if call.kind == "lookup" { "app" } else { "llm" }, micros(call.sent_at));
        }
    }
    let numbers: BTreeMap<&str, u64> = arrived.into_iter().zip(0..).collect();
    for arrival in arrivals {
        record.request_arrived(&arrival.pool, numbers[arrival.call_id.as_str()], micros(arrival.at));
    }
    let without_slack = RetryAllowance::default();
    let allowance = RetryAllowance { slack: soak.spec.retry_slack, ..without_slack };
    RetrySoakOutcome {
        requests,
        repeats: ["app", "llm"].into_iter().map(|pool| (pool, record.repeats(pool))).collect(),
        events,
        excesses: record.excesses(allowance),
        excesses_without_slack: record.excesses(without_slack),
    }
}
