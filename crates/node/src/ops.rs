//! The operations that every protocol adapter offers to operators, workers and the platform.

use crate::clock;
use crate::shared::{Command, Shared};
use std::sync::Arc;
use std::time::Duration;
use sumacvale_core::base::{ChangeId, MS, Micros, hash64};
use sumacvale_core::config::Patch;
use sumacvale_core::protocol::{Change, ChangeOutcome, LogEntry, UNKNOWN_INCARNATION, WorkerReport};
use tokio::sync::oneshot;

/// How long this node waits for a version that a majority of the cores confirmed, in microseconds.
const CATCH_UP_TIMEOUT: Micros = 900 * MS;
/// How often the view is polled while this node waits for a version.
const VIEW_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Submits a change or a query to the control thread and returns its outcome. `has_generated_id` is true if this
/// node generated the id, so that no other node can have received the change.
pub async fn submit_change(
    shared: &Shared,
    (change_id, has_generated_id): (ChangeId, bool),
    base: u64,
    change: Change,
) -> ChangeOutcome {
    let (reply_sender, outcome) = oneshot::channel();
    if shared
        .commands
        .send(Command::SubmitChange { change_id, is_first_send: has_generated_id, base, change, reply: reply_sender })
        .await
        .is_err()
    {
        return ChangeOutcome::NoQuorum;
    }
    outcome.await.unwrap_or(ChangeOutcome::Unknown)
}

/// Replaces the configuration document, based on version `base`. The id of the change is the hash of the document,
/// so a repeated submission is the same change.
pub async fn put_document(shared: &Shared, base: u64, body: String) -> ChangeOutcome {
    let change_id = ChangeId(hash64(body.as_bytes()).max(1));
    let change = Change::Document(body);
    if let Some(reason) = content_error(shared, &change) {
        return ChangeOutcome::Invalid { reason };
    }
    submit_change(shared, (change_id, false), base, change).await
}

/// Changes single items of the configuration document, based on version `base`. The id of the change is the hash
/// of the patch, so a repeated submission is the same change.
pub async fn patch_document(shared: &Shared, base: u64, patch: Patch) -> ChangeOutcome {
    let [b0, b1, b2, b3, b4, b5, b6, b7, ..] = patch.hash();
    let change_id = ChangeId(u64::from_be_bytes([b0, b1, b2, b3, b4, b5, b6, b7]).max(1));
    let change = Change::Patch(patch);
    if let Some(reason) = content_error(shared, &change) {
        return ChangeOutcome::Invalid { reason };
    }
    submit_change(shared, (change_id, false), base, change).await
}

/// Returns why the content of a change is invalid, as far as this node can tell without the version it is built
/// on. Voters check it again; what is nested too deeply is stopped here for those of a release that does not.
fn content_error(shared: &Shared, change: &Change) -> Option<String> {
    if let Some(error) = change.nesting_error() {
        return Some(error.to_string());
    }
    let Change::Document(body) = change else { return None };
    let errors = (shared.adapter.config_reader)(body).err()?;
    Some(errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))
}

/// Returns the newest configuration document: it contains every change that was acknowledged before this call.
/// `None` if no majority of the cores confirms it.
pub async fn read_newest(shared: &Shared) -> Option<String> {
    match submit_change(shared, (ChangeId(0), false), 0, Change::ReadNewest).await {
        ChangeOutcome::Content { text } => Some(text),
        _ => None,
    }
}

/// Returns the newest version once this node holds it: it contains every change that was acknowledged before this
/// call. `None` if no majority of the cores confirms it or this node does not receive it in time.
pub async fn newest_version(shared: &Shared) -> Option<Arc<LogEntry>> {
    let started_at = clock::now();
    let body = read_newest(shared).await?;
    while clock::now() < started_at + CATCH_UP_TIMEOUT {
        let view = shared.view.load_full();
        let is_confirmed = view.confirmed_at.is_some_and(|time| time >= started_at);
        if let Some(entry) = view.entry.clone().filter(|entry| is_confirmed || entry.body == body) {
            return Some(entry);
        }
        tokio::time::sleep(VIEW_POLL_INTERVAL).await;
    }
    None
}

/// Reports the state of a worker. Returns true once the report is acknowledged: from then on every node that
/// admits calls takes it into account.
pub async fn report_worker(shared: &Shared, worker_report: WorkerReport) -> bool {
    let (reply_sender, acknowledged) = oneshot::channel();
    shared.commands.try_send(Command::ReportWithAck { report: worker_report, reply: reply_sender }).is_ok()
        && acknowledged.await.unwrap_or(false)
}

/// Removes a worker that has shut down. Returns true once the removal is acknowledged.
pub async fn remove_worker(shared: &Shared, worker_id: &str) -> bool {
    report_worker(shared, WorkerReport::removal(worker_id, UNKNOWN_INCARNATION)).await
}

/// Returns `Ok` if this node accepts new clients, else the reason why it does not.
pub fn readiness(shared: &Shared) -> Result<(), &'static str> {
    let view = shared.view.load();
    if shared.is_stopping() {
        Err("stopping")
    } else if shared.operator_draining.load(std::sync::atomic::Ordering::Acquire) {
        Err("draining")
    } else if !shared.may_admit(&view) {
        Err("not fresh")
    } else if !view.is_ready(clock::now()) {
        Err("not all workers heard of yet")
    } else {
        Ok(())
    }
}

/// Serves one call.
pub async fn serve_call(shared: Arc<Shared>, request: viz::Request) -> viz::Response {
    crate::front::serve(shared, request).await
}
