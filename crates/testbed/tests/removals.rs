//! Test of removals of workers with real processes and their disks.

use hyper::Method;
use std::time::{Duration, Instant};
use sumacvale_testbed::fleet::{Fleet, FleetSpec, config_tree, ensure, run_async_test, start_fleet};
use sumacvale_testbed::standin::request_text;

/// How long a report may take to reach all fronts.
const DISSEMINATION_TIMEOUT: Duration = Duration::from_secs(10);
/// How long the nodes may take to become ready after a restart of all of them.
const RESTART_TIMEOUT: Duration = Duration::from_secs(12);
/// The index of the first front in `Fleet::nodes`.
const FIRST_FRONT: usize = 3;
/// The sequence number of the newest report before the drain.
const LAST_SEQ: u64 = 6;

/// Reports a worker to a node. Returns the status of the response.
async fn report(fleet: &Fleet, node: usize, id: &str, seq: u64, draining: bool) -> Result<u16, String> {
    // Of two workers at one address only one would be in service.
    let port = if id == "drained" { 9 } else { 10 };
    let body = format!(
        "{{\"id\":\"{id}\",\"incarnation\":1,\"seq\":{seq},\"addr\":\"{}:{port}\",\"pool\":\"llm\",\"zone\":\"z1\",\"slots\":4,\"busy\":0,\"draining\":{draining}}}",
        fleet.nodes[node].ip
    );
    let uri = format!("http://{}/v1/report", fleet.nodes[node].admin());
    let headers = [("authorization", "Bearer worker-token")];
    request_text(&fleet.http, Method::POST, &uri, &headers, &body).await.map(|response| response.0)
}

/// Returns the fronts that may send calls to a worker.
async fn fronts_using(fleet: &Fleet, id: &str) -> Result<Vec<usize>, String> {
    let mut fronts = Vec::new();
    for front in FIRST_FRONT..fleet.nodes.len() {
        let (_, workers) = fleet.admin_request(front, Method::GET, "/v1/workers", &[], "").await?;
        if workers.contains(&format!("\"id\":\"{id}\"")) {
            fronts.push(front);
        }
    }
    Ok(fronts)
}

/// Reports the drained worker late to a node, and then another worker, until all fronts know the other one.
async fn report_late(fleet: &Fleet, node: usize) -> Result<(), String> {
    let marker = format!("marker{node}");
    let begin = Instant::now();
    for seq in 1.. {
        report(fleet, node, "drained", LAST_SEQ, false).await?;
        report(fleet, node, &marker, seq, false).await?;
        let known_at = fronts_using(fleet, &marker).await?;
        let revived = fronts_using(fleet, "drained").await?;
        ensure(revived.is_empty(), format!("a late report to node {node} revives it at {revived:?}"))?;
        if known_at.len() == fleet.nodes.len() - FIRST_FRONT {
            break;
        }
        ensure(begin.elapsed() < DISSEMINATION_TIMEOUT, format!("{marker} is known at {known_at:?} only"))?;
    }
    Ok(())
}

/// Guards against an acknowledged drain that is in memory alone: after a restart of all processes a late report would
/// return the worker to service.
#[test]
fn a_late_report_revives_no_drained_worker_after_a_restart_of_all_processes() {
    run_async_test(async {
        let (mut fleet, _workers, _log) = start_fleet(FleetSpec::SMALL, &config_tree(FleetSpec::SMALL, 0, &[])).await?;
        let begin = Instant::now();
        while fronts_using(&fleet, "drained").await?.len() < fleet.nodes.len() - FIRST_FRONT {
            report(&fleet, 0, "drained", LAST_SEQ, false).await?;
            ensure(begin.elapsed() < DISSEMINATION_TIMEOUT, "the worker is not known at all fronts")?;
        }
        let status = report(&fleet, 0, "drained", LAST_SEQ + 1, true).await?;
        ensure(status == 202, format!("the drain was answered with {status}"))?;
        for node in 0..fleet.nodes.len() {
            fleet.signal(node, libc::SIGKILL);
        }
        for node in 0..fleet.nodes.len() {
            fleet.wait_for_exit(node).await;
        }
        for node in 0..fleet.nodes.len() {
            fleet.start(node).map_err(|error| error.to_string())?;
        }
        fleet.wait_until_ready(RESTART_TIMEOUT).await?;
        for node in 0..fleet.nodes.len() {
            report_late(&fleet, node).await?;
        }
        Ok(())
    });
}
