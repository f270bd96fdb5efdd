//! The reports by which workers announce themselves to nodes.

use super::http::{HttpClient, request_text};
use super::worker::WorkerSpec;
use hyper::Method;
use std::net::SocketAddr;

/// The state of a worker that a report tells beside its spec.
#[derive(Clone, Copy, Debug)]
pub(super) struct WorkerStatus {
    /// The address at which the worker takes calls.
    pub(super) addr: SocketAddr,
    /// The sequence number of the report.
    pub(super) seq: u64,
    /// The number of running calls.
    pub(super) busy: u64,
    /// Whether the worker drains.
    pub(super) is_draining: bool,
}

/// Returns a report as JSON.
pub(super) fn report_body(spec: &WorkerSpec, status: WorkerStatus) -> String {
    let WorkerStatus { addr, seq, busy, is_draining } = status;
    let WorkerSpec { id, incarnation, pool, zone, slots, .. } = spec;
    format!(
        "{{\"id\":\"{id}\",\"incarnation\":{incarnation},\"seq\":{seq},\"addr\":\"{addr}\",\"pool\":\"{pool}\",\"zone\":\"{zone}\",\"slots\":{slots},\"busy\":{busy},\"draining\":{is_draining}}}"
    )
}

/// Sends a report to a node; returns whether the node answered.
pub(super) async fn send_report(http: &HttpClient, node: &str, body: &str) -> bool {
    let headers = [("authorization", "Bearer worker-token"), ("content-type", "application/json")];
    request_text(http, Method::POST, &format!("http://{node}/v1/report"), &headers, body).await.is_ok()
}
