//! A scenario: a deployment that runs for a bounded time with traffic and, if requested, injected faults.

use super::config::{config_tree, tenant_key};
use super::judge::{Finding, Revocation, check_invariants};
use super::load_balancer::start_load_balancer;
use super::node::Node;
use super::nodes::Fleet;
use super::setup::{CORES, apply_config, start_fleet};
use super::spec::FleetSpec;
use super::traffic::{ClientRecords, Traffic};
use crate::standin::{ClientObservation, ClientRecord, StandInClient, StandInWorker, WorkerRun, http_client};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// The index of the core that is killed and restarted.
const KILLED_CORE: usize = 0;
/// The index of the front that is killed and restarted.
const KILLED_FRONT: usize = 3;
/// The index of the front that is stopped by SIGTERM and restarted.
const STOPPED_FRONT: usize = 4;
/// The index of the front through which the key is revoked.
const REVOKING_FRONT: usize = 5;
/// The index of the worker that drains.
const DRAINED_WORKER: usize = 0;
/// The index of the worker that crashes.
const CRASHED_WORKER: usize = 1;

/// The records and findings of a scenario.
pub struct ScenarioOutcome {
    /// The deployment that was run.
    pub spec: FleetSpec,
    /// The time for which traffic ran, in seconds.
    pub seconds: u64,
    /// The time at which traffic began.
    pub began: Instant,
    /// The records of all calls of clients.
    pub records: Vec<ClientRecord>,
    /// The runs of all calls at workers.
    pub runs: Vec<WorkerRun>,
    /// The injected faults and other steps, described for the report.
    pub events: Vec<String>,
    /// The sum over all nodes of each counter, without the prefix and suffix of its name. Counters of 0 are
    /// left out.
    pub counters: BTreeMap<String, u64>,
    /// The reuse of prompt prefixes at model workers.
    pub prefix_reuse: PrefixReuse,
    /// The processor time of all processes that are running at the end, in milliseconds.
    pub cpu_ms: u64,
    /// The violated invariants.
    pub findings: Vec<Finding>,
}

/// The number of runs at model workers whose prompt prefix may have been cached.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrefixReuse {
    /// Runs at a worker that had run the same prefix before.
    pub reused: u64,
    /// All runs at model workers.
    pub runs: u64,
}

impl PrefixReuse {
    /// Counts the reuse in the order in which the runs began.
    fn of(runs: &[WorkerRun]) -> Self {
        let mut runs: Vec<_> = runs.iter().filter(|run| run.worker.starts_with("llm")).collect();
        runs.sort_by_key(|run| run.started_at);
        let mut seen_prefixes = BTreeSet::new();
        let reused = runs.iter().filter(|run| !seen_prefixes.insert((&run.path, &run.prefix, &run.worker))).count();
        PrefixReuse { reused: reused as u64, runs: runs.len() as u64 }
    }
}

/// Runs a deployment with traffic drawn from the seed and, if requested, with injected faults.
///
/// # Errors
///
/// The fleet can't be started, or a change is not accepted. Violated invariants are no errors but
/// findings of the outcome.
pub async fn run_scenario(
    spec: FleetSpec,
    seconds: u64,
    seed: u64,
    with_faults: bool,
    scale_percent: u64,
) -> Result<ScenarioOutcome, String> {
    let mut scenario = Scenario::start(spec, seconds).await?;
    let (stop_sender, stop) = watch::channel(false);
    let fronts = scenario.fleet.nodes[CORES..].iter().map(Node::front).collect();
    let records = ClientRecords::default();
    let traffic = Traffic {
        spec,
        http: http_client(),
        fronts: start_load_balancer(fronts, stop.clone()),
        seed,
        scale_percent,
        records: records.clone(),
    };
    scenario.began = Instant::now();
    let traffic = tokio::spawn(traffic.run(stop));
    if with_faults {
        scenario.inject_faults().await?;
    }
    scenario.wait_for_step(10).await;
    let _ = stop_sender.send(true);
    traffic.await.map_err(|error| error.to_string())?;
    if with_faults {
        scenario.check_revoked_key().await;
    }
    Ok(scenario.finish(records.all(), with_faults).await)
}

/// A running scenario.
struct Scenario {
    spec: FleetSpec,
    seconds: u64,
    fleet: Fleet,
    workers: Vec<StandInWorker>,
    log: crate::standin::WorkerLog,
    /// The time at which the fleet was started or, once traffic is sent, at which traffic began.
    began: Instant,
    events: Vec<String>,
    findings: Vec<Finding>,
    /// The revocation of a key, once it was acknowledged.
    revocation: Option<Revocation>,
}

impl Scenario {
    /// Starts the fleet and its workers.
    async fn start(spec: FleetSpec, seconds: u64) -> Result<Self, String> {
        let began = Instant::now();
        let (fleet, workers, log) = start_fleet(spec, &config_tree(spec, 1, &[])).await?;
        let (node_count, worker_count) = (fleet.nodes.len(), workers.len());
        let event =
            format!("{node_count} nodes and {worker_count} workers ready after {} ms", began.elapsed().as_millis());
        Ok(Scenario {
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

    /// Waits until the start of a step; each step is a tenth of the scenario.
    async fn wait_for_step(&self, step: u32) {
        let step_length = Duration::from_millis(self.seconds * 100);
        tokio::time::sleep_until((self.began + step_length * step).into()).await;
    }

    /// Records an event with its duration, or a finding if the event took too long.
    fn record(&mut self, event: &str, duration: Result<Duration, String>) {
        match duration {
            Ok(duration) => self.events.push(format!("{event} after {} ms", duration.as_millis())),
            Err(reason) => self.findings.push(Finding(reason)),
        }
    }

    /// Injects the faults, one after another, at fixed steps.
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

    /// Changes the configuration and records the time until all nodes have the change.
    async fn change_config(&mut self) -> Result<(), String> {
        let version = apply_config(&self.fleet, STOPPED_FRONT, &config_tree(self.spec, 5, &[])).await?;
        let duration = self.fleet.wait_for_version(version, Duration::from_secs(2)).await;
        self.record("a configuration change applied on all nodes", duration);
        Ok(())
    }

    /// Returns the number of the tenant whose key is revoked.
    fn revoked_tenant(&self) -> usize {
        self.spec.tenants - 1
    }

    /// Revokes the key of a tenant. Returns the version that contains the revocation.
    async fn revoke_key(&mut self) -> Result<u64, String> {
        let tenant = self.revoked_tenant();
        let version = apply_config(&self.fleet, REVOKING_FRONT, &config_tree(self.spec, 6, &[tenant])).await?;
        self.revocation = Some(Revocation { tenant: format!("t{tenant}"), acknowledged_at: Instant::now() });
        let duration = self.fleet.wait_for_version(version, Duration::from_secs(5)).await;
        self.record("a key revocation applied on all nodes", duration);
        Ok(version)
    }

    /// Restarts the killed nodes and checks that the core has all acknowledged versions.
    async fn restart_killed_nodes(&mut self, acknowledged: u64) -> Result<(), String> {
        for node in [KILLED_CORE, KILLED_FRONT] {
            self.fleet.start(node).map_err(|error| error.to_string())?;
        }
        let duration = self.fleet.wait_until_ready(Duration::from_secs(12)).await;
        self.record("core and front ready again", duration);
        let newest = self.fleet.version(1).await.unwrap_or(0);
        if self.fleet.version(KILLED_CORE).await != Some(newest) || newest < acknowledged {
            self.findings.push(Finding(format!("the restarted core does not have version {newest}")));
        }
        Ok(())
    }

    /// Stops a front by SIGTERM, which must complete its calls, and restarts it.
    async fn restart_front(&mut self) -> Result<(), String> {
        self.fleet.signal(STOPPED_FRONT, libc::SIGTERM);
        match self.fleet.wait_for_exit(STOPPED_FRONT).await {
            Some(0) => self.events.push("a front exited with code 0 after SIGTERM".into()),
            code => self.findings.push(Finding(format!("a front exited with code {code:?} after SIGTERM"))),
        }
        self.fleet.start(STOPPED_FRONT).map_err(|error| error.to_string())
    }

    /// Checks that all fronts reject the revoked key at the end.
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
            if !matches!(&record.observation, ClientObservation::Rejected { status: 401 | 503, .. }) {
                let finding = format!("a revoked key got {:?} from {}", record.observation, record.front);
                self.findings.push(Finding(finding));
            }
        }
    }

    /// Sums each counter over all nodes.
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

    /// Checks the invariants and returns the outcome.
    async fn finish(mut self, records: Vec<ClientRecord>, with_faults: bool) -> ScenarioOutcome {
        let counters = self.sum_counters().await;
        let cpu_ms = self.fleet.nodes.iter().map(Node::cpu_ms).sum();
        let runs = self.log.runs();
        self.findings.extend(check_invariants(&records, &runs, self.revocation.as_ref()));
        self.findings.extend(check_retries(&counters));
        if with_faults {
            self.findings.extend(check_graceful_stop(&records, &runs, &self.fleet.nodes[STOPPED_FRONT].front()));
        }
        self.findings.extend(check_completeness(&records));
        ScenarioOutcome {
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

/// Checks that retries are at most a quarter of the first attempts, plus 10.
fn check_retries(counters: &BTreeMap<String, u64>) -> Option<Finding> {
    let counter = |name| counters.get(name).copied().unwrap_or(0);
    let (first, retries) = (counter("attempts_first"), counter("retries"));
    (retries * 4 > first + 40).then(|| Finding(format!("{retries} retries for {first} first attempts")))
}

/// Checks that a front which was stopped by SIGTERM responded to all calls that it received.
fn check_graceful_stop(records: &[ClientRecord], runs: &[WorkerRun], front: &str) -> Vec<Finding> {
    let is_lost =
        |record: &&ClientRecord| record.front == front && matches!(record.observation, ClientObservation::NoResponse);
    let finding = |record: &ClientRecord| {
        let run_count = runs.iter().filter(|run| run.call_id == record.call_id).count();
        let ended_after_ms = record.total.as_millis();
        let call_id = &record.call_id;
        Finding(format!(
            "{call_id}: no response from a front that was stopping; ended after {ended_after_ms} ms, ran {run_count} times"
        ))
    };
    records.iter().filter(is_lost).map(finding).collect()
}

/// Checks that at least half of the calls got a complete response.
fn check_completeness(records: &[ClientRecord]) -> Option<Finding> {
    let complete = records.iter().filter(|record| record.observation == ClientObservation::Complete).count();
    (complete * 2 < records.len())
        .then(|| Finding(format!("only {complete} of {} calls got a complete response", records.len())))
}
