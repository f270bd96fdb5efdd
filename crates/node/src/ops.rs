//! What any dialect's calls of operators, workers and the platform come to.

use crate::clock;
use crate::shared::{Command, Shared};
use std::sync::Arc;
use std::time::Duration;
use sumacvale_core::base::{ChangeId, MS, Micros, hash64};
use sumacvale_core::config::Patch;
use sumacvale_core::protocol::{Change, ChangeOutcome, LogEntry, UNNUMBERED_INCARNATION, WorkerReport};
use tokio::sync::oneshot;

/// How long a version that others confirmed may take to arrive here.
const HOLD: Micros = 900 * MS;
const LOOK: Duration = Duration::from_millis(10);

/// Hands a change or a question to the node, and waits for its end.
pub async fn submit_change(
    h: &Shared,
    (change_id, fresh): (ChangeId, bool),
    base: u64,
    change: Change,
) -> ChangeOutcome {
    let (tx, rx) = oneshot::channel();
    if h.commands
        .send(Command::SubmitChange { change_id, is_first_send: fresh, base, change, reply: tx })
        .await
        .is_err()
    {
        return ChangeOutcome::NoQuorum;
    }
    rx.await.unwrap_or(ChangeOutcome::Unknown)
}

/// A whole document, built on the one with number `base`. The same document is the same change.
pub async fn put_document(h: &Shared, base: u64, body: String) -> ChangeOutcome {
    if let Err(v) = (h.adapter.config_reader)(&body) {
        return ChangeOutcome::Invalid { reason: v.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ") };
    }
    let change_id = ChangeId(hash64(body.as_bytes()).max(1));
    submit_change(h, (change_id, false), base, Change::Document(body)).await
}

/// Changes to single items of the document with number `base`. The same patch is the same change.
pub async fn patch_document(h: &Shared, base: u64, patch: Patch) -> ChangeOutcome {
    let [b0, b1, b2, b3, b4, b5, b6, b7, ..] = patch.hash();
    let change_id = ChangeId(u64::from_be_bytes([b0, b1, b2, b3, b4, b5, b6, b7]).max(1));
    submit_change(h, (change_id, false), base, Change::Patch(patch)).await
}

/// The newest document: nothing that was acknowledged before this call is missing in it.
pub async fn read_newest(h: &Shared) -> Option<String> {
    match submit_change(h, (ChangeId(0), false), 0, Change::ReadNewest).await {
        ChangeOutcome::Content { text } => Some(text),
        _ => None,
    }
}

/// The newest version, once this node holds it; nothing that was acknowledged before this call is
/// missing in it.
pub async fn newest_version(h: &Shared) -> Option<Arc<LogEntry>> {
    let from = clock::now();
    let body = read_newest(h).await?;
    while clock::now() < from + HOLD {
        let v = h.view.load_full();
        let confirmed = v.confirmed_at.is_some_and(|t| t >= from);
        if let Some(d) = v.entry.clone().filter(|d| confirmed || d.body == body) {
            return Some(d);
        }
        tokio::time::sleep(LOOK).await;
    }
    None
}

/// A worker says who it is and how it is; true once that counts wherever calls are taken.
pub async fn report_worker(h: &Shared, row: WorkerReport) -> bool {
    let (back, rx) = oneshot::channel();
    h.commands.try_send(Command::ReportWithAck { report: row, reply: back }).is_ok() && rx.await.unwrap_or(false)
}

/// A worker has ended in order.
pub async fn remove_worker(h: &Shared, id: &str) -> bool {
    report_worker(h, WorkerReport::removal(id, UNNUMBERED_INCARNATION)).await
}

/// Whether callers may be handed to this node.
pub fn readiness(h: &Shared) -> Result<(), &'static str> {
    let v = h.view.load();
    if h.is_stopping() {
        Err("stopping")
    } else if h.operator_draining.load(std::sync::atomic::Ordering::Acquire) {
        Err("draining")
    } else if !h.may_admit(&v) {
        Err("not fresh")
    } else if !v.is_ready(clock::now()) {
        Err("not all workers heard of yet")
    } else {
        Ok(())
    }
}

/// A request of a caller.
pub async fn serve_call(h: Arc<Shared>, r: viz::Request) -> viz::Response {
    crate::front::serve(h, r).await
}
