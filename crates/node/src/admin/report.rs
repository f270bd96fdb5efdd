//! Receives the load reports of workers.

use super::responses::{error_response, json};
use crate::shared::{Command, Shared};
use sonic_rs::JsonValueTrait;
use std::net::SocketAddr;
use std::sync::Arc;
use sumacvale_core::json::parse as parse_json;
use sumacvale_core::protocol::WorkerReport;
use viz::{Request, Response, StatusCode};

/// The maximum size of a report, in bytes.
const MAX_REPORT_BYTES: usize = 16 << 10;

/// Passes a worker's report on to the control thread. A draining worker's report is answered only once a
/// majority of the cores knows it.
pub async fn receive(shared: Arc<Shared>, request: Request) -> Response {
    let body = match super::config::read_body(request, MAX_REPORT_BYTES).await {
        Ok(body) => body,
        Err(response) => return response,
    };
    let report = match parse_report(&body) {
        Ok(report) => report,
        Err((field, expected)) => {
            return error_response(StatusCode::UNPROCESSABLE_ENTITY, "report", &format!("{field}: must be {expected}"));
        }
    };
    if report.draining {
        return receive_drain(&shared, report).await;
    }
    if shared.commands.try_send(Command::Report(report)).is_err() {
        return error_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "busy",
            "this node is behind with its reports; report to another one",
        );
    }
    json(StatusCode::ACCEPTED, "{\"ok\":true}".into())
}

/// Acknowledges a drain once a majority of the cores knows it: after the acknowledgement the worker relies
/// on receiving no more calls.
async fn receive_drain(shared: &Shared, report: WorkerReport) -> Response {
    if crate::ops::report_worker(shared, report).await {
        return json(StatusCode::ACCEPTED, "{\"ok\":true}".into());
    }
    error_response(
        StatusCode::SERVICE_UNAVAILABLE,
        "not_known",
        "this node can't bring it to a majority of the cores now; report the drain to another one",
    )
}

/// The name of an invalid field and what its value must be.
type FieldError = (&'static str, &'static str);

/// Parses and validates the JSON body of a report.
fn parse_report(body: &str) -> Result<WorkerReport, FieldError> {
    let document = parse_json(body).map_err(|_| ("", "one JSON object"))?;
    let text = |field: &'static str| {
        document
            .pointer([field])
            .and_then(|value| value.as_str())
            .filter(|value| !value.is_empty() && value.len() <= 128)
            .map(str::to_owned)
            .ok_or((field, "a text of 1 to 128 bytes"))
    };
    let integer = |field: &'static str| {
        document.pointer([field]).and_then(sonic_rs::JsonValueTrait::as_u64).ok_or((field, "a whole number"))
    };
    let small_integer = |field: &'static str| {
        integer(field).and_then(|value| u32::try_from(value).map_err(|_| (field, "a small whole number")))
    };
    let report = WorkerReport {
        worker_id: text("id")?,
        incarnation: integer("incarnation")?,
        seq: integer("seq")?,
        addr: text("addr")?,
        pool: text("pool")?,
        zone: text("zone")?,
        slots: small_integer("slots")?,
        busy: small_integer("busy")?,
        draining: match document.pointer(["draining"]) {
            None => false,
            Some(value) => value.as_bool().ok_or(("draining", "true or false"))?,
        },
        warm_up_left: 0,
        removed: false,
        age: 0,
    };
    if report.addr.parse::<SocketAddr>().is_err() {
        return Err(("addr", "an IP address and port"));
    }
    if report.slots == 0 || report.slots > 100_000 {
        return Err(("slots", "from 1 to 100000"));
    }
    Ok(report)
}
