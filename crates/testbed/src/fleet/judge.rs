//! The laws that no run may break, judged by what clients saw and what workers ran.

use super::config::{QUOTA, must_not_repeat};
use crate::standin::{ClientObservation, ClientRecord, WorkerRun};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// A revoked key may be served for so long.
const REVOCATION_LIMIT: Duration = Duration::from_secs(5);
/// A worker may get new calls for so long after it began to drain.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);

/// Something that must never happen, and did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding(pub String);

/// A tenant's key was withdrawn.
#[derive(Clone, Debug)]
pub struct Revocation {
    /// The tenant.
    pub tenant: String,
    /// When the change was acknowledged.
    pub acknowledged_at: Instant,
}

/// Judges what clients saw against what workers ran.
#[must_use]
pub fn judge(records: &[ClientRecord], runs: &[WorkerRun], revocation: Option<&Revocation>) -> Vec<Finding> {
    let mut runs_by_call: BTreeMap<&str, Vec<&WorkerRun>> = BTreeMap::new();
    for run in runs {
        runs_by_call.entry(&run.call).or_default().push(run);
    }
    let mut findings = Vec::new();
    for record in records {
        let run_count = runs_by_call.get(record.call.as_str()).map_or(0, Vec::len);
        findings.extend(judge_observation(record, run_count));
        findings.extend(revocation.and_then(|revocation| judge_revocation(record, revocation)));
    }
    findings.extend(runs_by_call.iter().flat_map(|(call, runs)| judge_repetition(call, runs)));
    findings.extend(runs.iter().filter_map(judge_draining));
    findings.extend(judge_quotas(runs));
    findings.into_iter().map(Finding).collect()
}

/// What a client saw must agree with how often its call ran.
fn judge_observation(record: &ClientRecord, run_count: usize) -> Option<String> {
    let call = &record.call;
    match &record.observation {
        ClientObservation::Violation(violation) => Some(violation.clone()),
        ClientObservation::Complete if run_count == 0 => Some(format!("{call}: a success that no worker ran")),
        ClientObservation::Refused { ran, code, status, .. } if ran == "no" && run_count > 0 => {
            Some(format!("{call}: refused as not run ({status} {code}) and ran {run_count} times"))
        }
        ClientObservation::Refused { status: 429 | 503, has_retry_after: false, code, .. } => {
            Some(format!("{call}: refused ({code}) without a time to return"))
        }
        _ => None,
    }
}

fn judge_revocation(record: &ClientRecord, revocation: &Revocation) -> Option<String> {
    let Revocation { tenant, acknowledged_at } = revocation;
    let is_served_late = record.tenant == *tenant
        && record.observation == ClientObservation::Complete
        && record.sent_at > *acknowledged_at + REVOCATION_LIMIT;
    is_served_late.then(|| format!("{}: served for {tenant} more than 5 s after its key was withdrawn", record.call))
}

/// Calls that must not be repeated run once, and a stream is begun once at each event.
fn judge_repetition(call: &str, runs: &[&WorkerRun]) -> Vec<String> {
    let path = &runs[0].path;
    let starts: BTreeSet<_> = runs.iter().map(|run| run.resumed_after).collect();
    let mut findings = Vec::new();
    if must_not_repeat(path) && runs.len() > 1 {
        findings.push(format!("{call}: not safe to repeat and ran {} times", runs.len()));
    }
    if path == "/v1/draft" && starts.len() != runs.len() {
        findings.push(format!("{call}: a stream was begun twice at the same piece"));
    }
    findings
}

fn judge_draining(run: &WorkerRun) -> Option<String> {
    let is_late = run.draining_since.is_some_and(|since| run.began > since + DRAIN_LIMIT);
    (is_late && run.resumed_after.is_none())
        .then(|| format!("{}: sent to {} over 2 s after it began to drain", run.call, run.worker))
}

/// A call counts once, in the window that its unit belongs to, whenever it runs.
fn judge_quotas(runs: &[WorkerRun]) -> Vec<String> {
    let mut used: BTreeMap<(&str, u64), u64> = BTreeMap::new();
    let mut counted = BTreeSet::new();
    for run in runs.iter().filter(|run| counted.insert(&run.call)) {
        *used.entry((&run.tenant, run.quota_window)).or_default() += 1;
    }
    let exceeded = used.into_iter().filter(|(_, calls)| *calls > QUOTA);
    exceeded
        .map(|((tenant, window), calls)| format!("{tenant}: {calls} of {QUOTA} calls ran in window {window}"))
        .collect()
}
