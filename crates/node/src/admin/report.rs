//! Reports of workers.

use super::responses::{json, trouble};
use crate::shared::{Command, Shared};
use sonic_rs::{JsonValueTrait, Value};
use std::net::SocketAddr;
use std::sync::Arc;
use sumacvale_core::protocol::WorkerReport;
use viz::{Request, Response, StatusCode};

const LARGE: usize = 16 << 10;

/// A worker says who it is and how loaded.
pub async fn take(h: Arc<Shared>, r: Request) -> Response {
    let b = match super::config::body(r, LARGE).await {
        Ok(b) => b,
        Err(r) => return r,
    };
    let row = match row(&b) {
        Ok(r) => r,
        Err((at, want)) => {
            return trouble(StatusCode::UNPROCESSABLE_ENTITY, "report", &format!("{at}: must be {want}"));
        }
    };
    if row.draining {
        return drains(&h, row).await;
    }
    if h.commands.try_send(Command::Report(row)).is_err() {
        return trouble(
            StatusCode::SERVICE_UNAVAILABLE,
            "busy",
            "this node is behind with its reports; report to another one",
        );
    }
    json(StatusCode::ACCEPTED, "{\"ok\":true}".into())
}

/// A worker relies on it that no more calls come once its drain was taken, so that is said only
/// when a majority of the cores knows it.
async fn drains(h: &Shared, row: WorkerReport) -> Response {
    if crate::ops::report_worker(h, row).await {
        return json(StatusCode::ACCEPTED, "{\"ok\":true}".into());
    }
    trouble(
        StatusCode::SERVICE_UNAVAILABLE,
        "not_known",
        "this node can't bring it to a majority of the cores now; report the drain to another one",
    )
}

type Bad = (&'static str, &'static str);

fn row(b: &str) -> Result<WorkerReport, Bad> {
    let v: Value = sonic_rs::from_str(b).map_err(|_| ("", "one JSON object"))?;
    let text = |k: &'static str| {
        v.pointer([k])
            .and_then(|x| x.as_str())
            .filter(|s| !s.is_empty() && s.len() <= 128)
            .map(str::to_owned)
            .ok_or((k, "a text of 1 to 128 bytes"))
    };
    let num = |k: &'static str| v.pointer([k]).and_then(sonic_rs::JsonValueTrait::as_u64).ok_or((k, "a whole number"));
    let small = |k: &'static str| num(k).and_then(|n| u32::try_from(n).map_err(|_| (k, "a small whole number")));
    let r = WorkerReport {
        worker_id: text("id")?,
        incarnation: num("incarnation")?,
        seq: num("seq")?,
        addr: text("addr")?,
        pool: text("pool")?,
        zone: text("zone")?,
        slots: small("slots")?,
        busy: small("busy")?,
        draining: match v.pointer(["draining"]) {
            None => false,
            Some(x) => x.as_bool().ok_or(("draining", "true or false"))?,
        },
        warm_up_left: 0,
        removed: false,
        age: 0,
    };
    if r.addr.parse::<SocketAddr>().is_err() {
        return Err(("addr", "an IP address and port"));
    }
    if r.slots == 0 || r.slots > 100_000 {
        return Err(("slots", "from 1 to 100000"));
    }
    Ok(r)
}
