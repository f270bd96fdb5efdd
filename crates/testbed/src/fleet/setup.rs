//! The start of a fleet: its processes, configuration and workers.

use super::nodes::{Fleet, ShutdownTimes};
use super::spec::FleetSpec;
use crate::standin::{StandInWorker, WorkerLog, WorkerSpec};
use hyper::Method;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The number of cores of every fleet, and the index of the first front.
pub const CORES: usize = 3;
/// The maximum number of attempts of a change that is rejected with status 412 or 503.
const CHANGE_ATTEMPTS: u32 = 20;
/// The time within which all fronts must know all workers.
const WORKERS_TIMEOUT: Duration = Duration::from_secs(10);

/// Replaces the newest configuration through a node. Returns the acknowledged version.
///
/// # Errors
///
/// The node does not respond or rejects the change, or no attempt was accepted.
pub async fn apply_config(fleet: &Fleet, index: usize, body: &str) -> Result<u64, String> {
    for _ in 0..CHANGE_ATTEMPTS {
        let version = fleet.version(index).await.ok_or("the node reports no version")?;
        let tag = format!("\"{version}\"");
        let headers = [("if-match", tag.as_str())];
        let (status, response) = fleet.admin_request(index, Method::PUT, "/v1/config", &headers, body).await?;
        match status {
            200 => return acknowledged_version(&response).ok_or(response),
            412 | 503 => tokio::time::sleep(Duration::from_millis(50)).await,
            _ => return Err(format!("{status} {response}")),
        }
    }
    Err("no attempt of the change was accepted".into())
}

/// Parses the version in the response to an accepted change.
fn acknowledged_version(response: &str) -> Option<u64> {
    response.split("\"version\":").nth(1)?.split(',').next()?.parse().ok()
}

/// Starts the workers of a fleet. Each worker reports to the nodes of its zone.
async fn start_workers(fleet: &Fleet, spec: FleetSpec, log: &WorkerLog) -> Result<Vec<StandInWorker>, String> {
    let mut workers = Vec::new();
    for index in 0..spec.model_workers + spec.app_workers {
        let worker = worker_spec(fleet, spec, index)?;
        workers.push(StandInWorker::start(worker, log, &fleet.http).await.map_err(|error| error.to_string())?);
    }
    Ok(workers)
}

/// Returns the spec of a worker: the model workers come first, then those of the application.
pub(super) fn worker_spec(fleet: &Fleet, spec: FleetSpec, index: usize) -> Result<WorkerSpec, String> {
    let zone = format!("z{}", index % 3 + 1);
    let (pool, slots) = if index < spec.model_workers { ("llm", 16) } else { ("app", 64) };
    let addr: Result<SocketAddr, _> = format!("{}.{}:7200", fleet.subnet, 200 + index).parse();
    Ok(WorkerSpec {
        id: format!("{pool}{index}"),
        addr: addr.map_err(|_| "invalid worker address")?,
        pool: pool.into(),
        nodes: fleet.nodes.iter().filter(|node| node.zone == zone).map(super::node::Node::admin).collect(),
        zone,
        slots,
        incarnation: 1,
    })
}

/// Starts a fleet with a configuration and its workers. Returns once all nodes are ready and all fronts
/// know the configuration and the workers.
///
/// # Errors
///
/// A process or a worker can't be started, or a step timed out.
pub async fn start_fleet(spec: FleetSpec, config: &str) -> Result<(Fleet, Vec<StandInWorker>, WorkerLog), String> {
    let fleet = start_nodes(spec, ShutdownTimes::default(), config).await?;
    let log = WorkerLog::default();
    let workers = start_workers(&fleet, spec, &log).await?;
    wait_for_workers(&fleet, workers.len() as u64).await?;
    Ok((fleet, workers, log))
}

/// Starts the nodes of a fleet with a configuration. Returns once all nodes are ready and know the configuration.
pub(super) async fn start_nodes(spec: FleetSpec, shutdown_times: ShutdownTimes, config: &str) -> Result<Fleet, String> {
    let mut fleet = Fleet::new(CORES, spec.fronts).map_err(|error| error.to_string())?;
    fleet.shutdown_times = shutdown_times;
    for index in 0..fleet.nodes.len() {
        fleet.start(index).map_err(|error| error.to_string())?;
    }
    fleet.wait_until_ready(Duration::from_secs(20)).await?;
    let version = apply_config(&fleet, CORES, config).await?;
    fleet.wait_for_version(version, Duration::from_secs(5)).await?;
    Ok(fleet)
}

/// Waits until all running fronts know exactly `expected` workers. Returns the time that this took.
///
/// # Errors
///
/// The condition did not hold within ten seconds.
pub async fn wait_for_workers(fleet: &Fleet, expected: u64) -> Result<Duration, String> {
    let begin = Instant::now();
    loop {
        let mut wrong_counts = Vec::new();
        for index in (CORES..fleet.nodes.len()).filter(|index| fleet.nodes[*index].is_running()) {
            let count = fleet.metrics(index).await.get("sumacvale_workers").unwrap_or(0);
            if count != expected {
                wrong_counts.push(count);
            }
        }
        if wrong_counts.is_empty() {
            return Ok(begin.elapsed());
        }
        if begin.elapsed() > WORKERS_TIMEOUT {
            return Err(format!("fronts know {wrong_counts:?} of {expected} workers after 10 s"));
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
