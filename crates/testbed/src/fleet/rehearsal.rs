//! A deployment for a bounded time, with traffic and the ordinary faults of the brief.

use super::config::{config_tree, tenant_key};
use super::judge::{Finding, Revocation, judge};
use super::node::Node;
use super::nodes::Fleet;
use super::platform::start_platform;
use super::setup::{CORES, apply_config, start_fleet};
use super::spec::FleetSpec;
use super::traffic::{ClientRecords, Traffic};
use crate::standin::{ClientObservation, ClientRecord, StandInClient, StandInWorker, WorkerRun, http_client};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// The core that is killed and returns.
const KILLED_CORE: usize = 0;
/// The front that is killed and returns.
const KILLED_FRONT: usize = 3;
/// The front that is stopped and started again.
const STOPPED_FRONT: usize = 4;
/// The front through which the key is revoked.
const REVOKING_FRONT: usize = 5;
/// The worker that drains.
const DRAINED_WORKER: usize = 0;
/// The worker that crashes.
const CRASHED_WORKER: usize = 1;

/// What a rehearsal saw.
pub struct Outcomes {
    /// The deployment.
    pub spec: FleetSpec,
    /// How long traffic ran, in seconds.
    pub seconds: u64,
    /// When traffic began.
    pub began: Instant,
    /// What the clients saw.
    pub records: Vec<ClientRecord>,
    /// What the workers ran.
    pub runs: Vec<WorkerRun>,
    /// What was done to the fleet, in words.
    pub events: Vec<String>,
    /// The sum over all nodes of each counter that is not 0, without prefix and suffix.
    pub counters: BTreeMap<String, u64>,
    /// How well calls found the worker of their prefix.
    pub prefix_reuse: PrefixReuse,
    /// Processor time of all processes that still run, in milliseconds.
    pub cpu_ms: u64,
    /// What must never happen, and did.
    pub findings: Vec<Finding>,
}

/// Runs at model workers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrefixReuse {
    /// Runs whose worker had run their prefix before.
    pub reused: u64,
    /// All runs.
    pub runs: u64,
}

impl PrefixReuse {
    fn of(runs: &[WorkerRun]) -> Self {
        let mut runs: Vec<_> = runs.iter().filter(|run| run.worker.starts_with("llm")).collect();
        runs.sort_by_key(|run| run.began);
        let mut known = BTreeSet::new();
        let reused = runs.iter().filter(|run| !known.insert((&run.path, &run.prefix, &run.worker))).count();
        PrefixReuse { reused: reused as u64, runs: runs.len() as u64 }
    }
}

/// Runs a deployment with traffic from the seed and, if wanted, with faults.
///
/// # Errors
///
/// The fleet can't be started, or a change is not accepted. What merely must not happen is a
/// finding of the outcomes.
pub async fn rehearse(
    spec: FleetSpec,
    seconds: u64,
    seed: u64,
    faults: bool,
    scale_percent: u64,
) -> Result<Outcomes, String> {
    let mut rehearsal = Rehearsal::start(spec, seconds).await?;
    let (stop_sender, stop) = watch::channel(false);
    let fronts = rehearsal.fleet.nodes[CORES..].iter().map(Node::front).collect();
    let records = ClientRecords::default();
    let traffic = Traffic {
        spec,
        http: http_client(),
        fronts: start_platform(fronts, stop.clone()),
        seed,
        scale_percent,
        records: records.clone(),
    };
    rehearsal.began = Instant::now();
    let traffic = tokio::spawn(traffic.run(stop));
    if faults {
        rehearsal.inject_faults().await?;
    }
    rehearsal.wait_for_step(10).await;
    let _ = stop_sender.send(true);
    traffic.await.map_err(|error| error.to_string())?;
    if faults {
        rehearsal.check_revoked_key().await;
    }
    Ok(rehearsal.finish(records.all(), faults).await)
}

/// A rehearsal that runs.
struct Rehearsal {
    spec: FleetSpec,
    seconds: u64,
    fleet: Fleet,
    workers: Vec<StandInWorker>,
    log: crate::standin::WorkerLog,
    began: Instant,
    events: Vec<String>,
    findings: Vec<Finding>,
    revocation: Option<Revocation>,
}

impl Rehearsal {
    async fn start(spec: FleetSpec, seconds: u64) -> Result<Self, String> {
        let began = Instant::now();
        let (fleet, workers, log) = start_fleet(spec, &config_tree(spec, 1, &[])).await?;
        let (node_count, worker_count) = (fleet.nodes.len(), workers.len());
        let event =
            format!("{node_count} nodes and {worker_count} workers ready after {} ms", began.elapsed().as_millis());
        Ok(Rehearsal {
            spec,
            seconds,
            fleet,
            workers,
            log,
            began,
            events: vec![event],
            findings: Vec::new(),
            revocation: None,
        })
    }

    /// Waits for a tenth of the rehearsal's time.
    async fn wait_for_step(&self, step: u32) {
        let step_length = Duration::from_millis(self.seconds * 100);
        tokio::time::sleep_until((self.began + step_length * step).into()).await;
    }

    /// Records an event, or a finding where it took too long.
    fn record(&mut self, event: &str, duration: Result<Duration, String>) {
        match duration {
            Ok(duration) => self.events.push(format!("{event} after {} ms", duration.as_millis())),
            Err(reason) => self.findings.push(Finding(reason)),
        }
    }

    async fn inject_faults(&mut self) -> Result<(), String> {
        self.wait_for_step(1).await;
        self.change_config().await?;
        self.wait_for_step(2).await;
        let version = self.revoke_key().await?;
        self.wait_for_step(3).await;
        self.workers[DRAINED_WORKER].drain();
        self.events.push(format!("{} drains", self.workers[DRAINED_WORKER].id()));
        self.wait_for_step(4).await;
        self.fleet.kill(KILLED_FRONT).await;
        self.events.push("a front is killed".into());
        self.wait_for_step(5).await;
        self.fleet.kill(KILLED_CORE).await;
        self.events.push("a core is killed".into());
        self.workers[CRASHED_WORKER].crash();
        self.events.push(format!("{} crashes", self.workers[CRASHED_WORKER].id()));
        self.wait_for_step(6).await;
        self.restart_killed_nodes(version).await?;
        self.wait_for_step(8).await;
        self.restart_front().await
    }

    async fn change_config(&mut self) -> Result<(), String> {
        let version = apply_config(&self.fleet, STOPPED_FRONT, &config_tree(self.spec, 5, &[])).await?;
        let duration = self.fleet.wait_for_version(version, Duration::from_secs(2)).await;
        self.record("a configuration change everywhere", duration);
        Ok(())
    }

    fn revoked_tenant(&self) -> usize {
        self.spec.tenants - 1
    }

    /// Gives the version that has no key for the tenant.
    async fn revoke_key(&mut self) -> Result<u64, String> {
        let tenant = self.revoked_tenant();
        let version = apply_config(&self.fleet, REVOKING_FRONT, &config_tree(self.spec, 6, &[tenant])).await?;
        self.revocation = Some(Revocation { tenant: format!("t{tenant}"), acknowledged_at: Instant::now() });
        let duration = self.fleet.wait_for_version(version, Duration::from_secs(5)).await;
        self.record("a key withdrawn everywhere", duration);
        Ok(version)
    }

    /// Restarts the killed nodes; the core must come back with what was acknowledged.
    async fn restart_killed_nodes(&mut self, acknowledged: u64) -> Result<(), String> {
        for node in [KILLED_CORE, KILLED_FRONT] {
            self.fleet.start(node).map_err(|error| error.to_string())?;
        }
        let duration = self.fleet.wait_until_ready(Duration::from_secs(12)).await;
        self.record("core and front ready again", duration);
        let newest = self.fleet.version(1).await.unwrap_or(0);
        if self.fleet.version(KILLED_CORE).await != Some(newest) || newest < acknowledged {
            self.findings.push(Finding(format!("the core came back with another version than {newest}")));
        }
        Ok(())
    }

    /// Stops a front, which must finish its calls, and starts it again.
    async fn restart_front(&mut self) -> Result<(), String> {
        self.fleet.signal(STOPPED_FRONT, libc::SIGTERM);
        match self.fleet.wait_for_exit(STOPPED_FRONT).await {
            Some(0) => self.events.push("a front was told to stop and stopped cleanly".into()),
            code => self.findings.push(Finding(format!("a front that was told to stop ended with {code:?}"))),
        }
        self.fleet.start(STOPPED_FRONT).map_err(|error| error.to_string())
    }

    /// No front may accept the revoked key at the end.
    async fn check_revoked_key(&mut self) {
        let tenant = self.revoked_tenant();
        let client = StandInClient {
            http: self.fleet.http.clone(),
            kind: "lookup",
            path: "/v1/confirm",
            tenant: format!("t{tenant}"),
            key: tenant_key(tenant),
        };
        for index in CORES..self.fleet.nodes.len() {
            let record = client.call(&self.fleet.nodes[index].front(), &format!("late-{index}"), "x").await;
            if !matches!(&record.observation, ClientObservation::Refused { status: 401 | 503, .. }) {
                let finding = format!("a withdrawn key got {:?} from {}", record.observation, record.front);
                self.findings.push(Finding(finding));
            }
        }
    }

    async fn sum_counters(&self) -> BTreeMap<String, u64> {
        let mut counters: BTreeMap<String, u64> = BTreeMap::new();
        for index in 0..self.fleet.nodes.len() {
            for (name, value) in self.fleet.metrics(index).await.iter() {
                if name.ends_with("_total") {
                    let name = name.trim_start_matches("sumacvale_").trim_end_matches("_total");
                    *counters.entry(name.to_owned()).or_default() += value;
                }
            }
        }
        counters.retain(|_, value| *value > 0);
        counters
    }

    /// Judges the rehearsal.
    async fn finish(mut self, records: Vec<ClientRecord>, faults: bool) -> Outcomes {
        let counters = self.sum_counters().await;
        let cpu_ms = self.fleet.nodes.iter().map(Node::cpu_ms).sum();
        let runs = self.log.runs();
        self.findings.extend(judge(&records, &runs, self.revocation.as_ref()));
        self.findings.extend(judge_retries(&counters));
        if faults {
            self.findings.extend(judge_stop(&records, &self.fleet.nodes[STOPPED_FRONT].front()));
        }
        self.findings.extend(judge_completeness(&records));
        Outcomes {
            spec: self.spec,
            seconds: self.seconds,
            began: self.began,
            prefix_reuse: PrefixReuse::of(&runs),
            records,
            runs,
            events: self.events,
            counters,
            cpu_ms,
            findings: self.findings,
        }
    }
}

/// Retries are bounded by a share of the first attempts.
fn judge_retries(counters: &BTreeMap<String, u64>) -> Option<Finding> {
    let counter = |name| counters.get(name).copied().unwrap_or(0);
    let (first, retries) = (counter("attempts_first"), counter("retries"));
    (retries * 4 > first + 40).then(|| Finding(format!("{retries} second tries for {first} first ones")))
}

/// A front that is stopped responds to every call that it got.
fn judge_stop(records: &[ClientRecord], front: &str) -> Vec<Finding> {
    let lost =
        |record: &&ClientRecord| record.front == front && matches!(record.observation, ClientObservation::NoResponse);
    let finding =
        |record: &ClientRecord| Finding(format!("{}: no answer from a front that was told to stop", record.call));
    records.iter().filter(lost).map(finding).collect()
}

/// At least half of the calls are served.
fn judge_completeness(records: &[ClientRecord]) -> Option<Finding> {
    let complete = records.iter().filter(|record| record.observation == ClientObservation::Complete).count();
    (complete * 2 < records.len())
        .then(|| Finding(format!("only {complete} of {} calls were served whole", records.len())))
}
