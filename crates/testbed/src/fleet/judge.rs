//! The invariants of every run, checked against the records of clients and the logs of workers.

use super::config::{CALLS_PER_WINDOW, must_not_repeat};
use crate::standin::{ClientObservation, ClientRecord, WorkerRun};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// The time for which a revoked key may still be served.
const REVOCATION_LIMIT: Duration = Duration::from_secs(5);
/// The time for which a draining worker may still get new calls.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);

/// A violated invariant, described for the report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding(pub String);

/// The revocation of a tenant's key.
#[derive(Clone, Debug)]
pub struct Revocation {
    /// The name of the tenant.
    pub tenant: String,
    /// The time at which the change was acknowledged.
    pub acknowledged_at: Instant,
}

/// Checks all invariants and returns the violations.
#[must_use]
pub fn check_invariants(records: &[ClientRecord], runs: &[WorkerRun], revocation: Option<&Revocation>) -> Vec<Finding> {
    let mut runs_by_call: BTreeMap<&str, Vec<&WorkerRun>> = BTreeMap::new();
    for run in runs {
        runs_by_call.entry(&run.call_id).or_default().push(run);
    }
    let mut findings = Vec::new();
    for record in records {
        let run_count = runs_by_call.get(record.call_id.as_str()).map_or(0, Vec::len);
        findings.extend(check_observation(record, run_count));
        findings.extend(revocation.and_then(|revocation| check_revocation(record, revocation)));
    }
    findings.extend(runs_by_call.iter().flat_map(|(call, runs)| check_repetition(call, runs)));
    findings.extend(runs.iter().filter_map(check_draining));
    findings.extend(check_quotas(runs));
    findings.into_iter().map(Finding).collect()
}

/// Checks that the response which a client got agrees with the number of runs of its call.
fn check_observation(record: &ClientRecord, run_count: usize) -> Option<String> {
    let call = &record.call_id;
    match &record.observation {
        ClientObservation::Violation(violation) => Some(violation.clone()),
        ClientObservation::Complete if run_count == 0 => Some(format!("{call}: a success that no worker ran")),
        ClientObservation::Rejected { ran, code, status, .. } if ran == "no" && run_count > 0 => {
            Some(format!("{call}: refused as not run ({status} {code}) and ran {run_count} times"))
        }
        ClientObservation::Rejected { status: 429 | 503, has_retry_after: false, code, .. } => {
            Some(format!("{call}: refused ({code}) without a time to return"))
        }
        _ => None,
    }
}

/// Checks that a revoked key is not served after [`REVOCATION_LIMIT`].
fn check_revocation(record: &ClientRecord, revocation: &Revocation) -> Option<String> {
    let Revocation { tenant, acknowledged_at } = revocation;
    let is_served_late = record.tenant == *tenant
        && record.observation == ClientObservation::Complete
        && record.sent_at > *acknowledged_at + REVOCATION_LIMIT;
    is_served_late.then(|| format!("{}: served for {tenant} more than 5 s after its key was withdrawn", record.call_id))
}

/// Checks that a call which must not be repeated ran at most once, and that a stream was started at most
/// once at each event.
fn check_repetition(call: &str, runs: &[&WorkerRun]) -> Vec<String> {
    let path = &runs[0].path;
    let starts: BTreeSet<_> = runs.iter().map(|run| run.last_event_id).collect();
    let mut findings = Vec::new();
    if must_not_repeat(path) && runs.len() > 1 {
        findings.push(format!("{call}: not safe to repeat and ran {} times", runs.len()));
    }
    if path == "/v1/draft" && starts.len() != runs.len() {
        findings.push(format!("{call}: a stream was begun twice at the same piece"));
    }
    findings
}

/// Checks that a draining worker gets no new calls after [`DRAIN_LIMIT`]; it may still get resumed ones.
fn check_draining(run: &WorkerRun) -> Option<String> {
    let is_late = run.draining_since.is_some_and(|since| run.started_at > since + DRAIN_LIMIT);
    (is_late && run.last_event_id.is_none())
        .then(|| format!("{}: sent to {} over 2 s after it began to drain", run.call_id, run.worker))
}

/// Checks that no tenant exceeds its quota. A call counts once, in the window that its quota unit belongs
/// to, regardless of when it runs.
fn check_quotas(runs: &[WorkerRun]) -> Vec<String> {
    let mut calls_by_window: BTreeMap<(&str, u64), u64> = BTreeMap::new();
    let mut counted_calls = BTreeSet::new();
    for run in runs.iter().filter(|run| counted_calls.insert(&run.call_id)) {
        *calls_by_window.entry((&run.tenant, run.quota_window)).or_default() += 1;
    }
    let exceeded = calls_by_window.into_iter().filter(|(_, calls)| *calls > CALLS_PER_WINDOW);
    exceeded
        .map(|((tenant, window), calls)| {
            format!("{tenant}: {calls} of {CALLS_PER_WINDOW} calls ran in window {window}")
        })
        .collect()
}
