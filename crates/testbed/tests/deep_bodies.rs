//! Test of bodies that are nested deeply, sent to each listener of real processes.

use hyper::Method;
use std::time::{Duration, Instant};
use sumacvale_testbed::fleet::{Fleet, FleetSpec, config_tree, ensure, run_async_test, start_fleet, tenant_key};
use sumacvale_testbed::standin::request_text;

/// The levels of a body that overflow the stack of a thread if the parser recurses once a level.
const OVERFLOWING_LEVELS: usize = 40_000;
/// The levels of a worker's report, which has at most 16 KiB.
const REPORT_LEVELS: usize = 8_150;
/// The levels of a valid body that is served.
const SERVED_LEVELS: usize = 30_000;
/// How long a call may wait for a worker that is known to the node it is sent to.
const SERVE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long the nodes may take to be ready at the end; none was restarted.
const READY_TIMEOUT: Duration = Duration::from_secs(5);

fn lists(levels: usize) -> String {
    format!("{}{}", "[".repeat(levels), "]".repeat(levels))
}

/// Sends a call of the first tenant to a node. Returns the status.
async fn call(fleet: &Fleet, node: usize, body: &str) -> Result<u16, String> {
    let uri = format!("http://{}/v1/chat", fleet.nodes[node].front());
    let authorization = format!("Bearer {}", tenant_key(0));
    let response = request_text(&fleet.http, Method::POST, &uri, &[("authorization", &authorization)], body).await?;
    Ok(response.0)
}

/// Sends a report of a worker to a node. Returns the status.
async fn report(fleet: &Fleet, node: usize, body: &str) -> Result<u16, String> {
    let uri = format!("http://{}/v1/report", fleet.nodes[node].admin());
    Ok(request_text(&fleet.http, Method::POST, &uri, &[("authorization", "Bearer worker-token")], body).await?.0)
}

/// Sends each deep body that a node must reject. Returns what was not answered with a status of the client's error.
async fn send_rejected_bodies(fleet: &Fleet, node: usize) -> Result<(), String> {
    let cut = "[".repeat(OVERFLOWING_LEVELS);
    for body in [cut.clone(), lists(OVERFLOWING_LEVELS), format!("{{\"pools\":{}}}", lists(1_000))] {
        let base = [("if-match", "\"1\"")];
        for path in ["/v1/config", "/v1/config?dry_run=true", "/v1/cores"] {
            let status = fleet.admin_request(node, Method::PUT, path, &base, &body).await?.0;
            ensure(matches!(status, 400 | 422), format!("PUT {path} at node {node}: {status}"))?;
        }
    }
    for body in ["[".repeat(REPORT_LEVELS), lists(REPORT_LEVELS)] {
        let status = report(fleet, node, &body).await?;
        ensure(matches!(status, 400 | 422), format!("a report to node {node}: {status}"))?;
    }
    for body in [format!("{{\"prompt\":{cut}"), format!("{{\"prompt\":\"x\",\"a\":{cut}"), lists(OVERFLOWING_LEVELS)] {
        let status = call(fleet, node, &body).await?;
        ensure(status == 400, format!("a call to node {node}: {status}"))?;
    }
    Ok(())
}

/// Guards against a body that overflows the stack of the thread that reads it and so ends the process.
#[test]
fn a_deep_body_ends_no_process_whoever_sends_it() {
    run_async_test(async {
        let (fleet, _workers, _log) = start_fleet(FleetSpec::SMALL, &config_tree(FleetSpec::SMALL, 0, &[])).await?;
        for node in 0..fleet.nodes.len() {
            send_rejected_bodies(&fleet, node).await.map_err(|error| format!("node {node}: {error}"))?;
            let body = format!("{{\"prompt\":\"x\",\"unread\":{}}}", lists(SERVED_LEVELS));
            let begin = Instant::now();
            while call(&fleet, node, &body).await? != 200 {
                ensure(begin.elapsed() < SERVE_TIMEOUT, format!("a valid call is not served by node {node}"))?;
            }
        }
        fleet.wait_until_ready(READY_TIMEOUT).await?;
        Ok(())
    });
}
