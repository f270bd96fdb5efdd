//! Checks of calls: the responses that clients saw against the executions of workers, and both against quotas and
//! key revocations.

use crate::retry_allowance::{RetryAllowance, RetryExcess, RetryRecord};
use crate::sim::calls::outcome::{CallOutcome, ClientObservation};
use crate::sim::checks::safety::{REVOCATION_DEADLINE, Violation, WORKER_REMOVAL_DEADLINE};
use crate::sim::operators::documents::{IDLE_TIMEOUT, REVOCABLE_TENANT};
use crate::sim::workers::worker::ExecutionRecord;
use std::collections::{BTreeMap, BTreeSet};
use sumacvale_core::base::{Micros, Version};
use sumacvale_core::retry;

/// The limits that the calls of a run are checked against. Times are microseconds of true time.
#[derive(Clone, Debug, Default)]
pub struct CallLimits {
    /// Calls in a window, and the length of the window in microseconds, of each tenant.
    pub quotas: BTreeMap<String, (u64, Micros)>,
    /// Versions, and when they were acknowledged.
    pub acknowledged: Vec<(Version, Micros)>,
    /// Versions, when they were first committed, and whether they have the key of the revocable tenant.
    pub key_versions: Vec<(Version, Micros, bool)>,
    /// The numbers of first attempts and of retries.
    pub attempts: (u64, u64),
    /// Which machines were frozen, from when and until when.
    pub freezes: Vec<(usize, Micros, Micros)>,
}

/// The longest latency of a request to its worker plus the difference of clocks over a window, in microseconds.
const TIMING_TOLERANCE: Micros = 10_000;

/// Whether calls of this path must not run twice.
pub fn runs_at_most_once(path: &str) -> bool {
    matches!(path, "/v1/chat" | "/v1/summary" | "/v1/book")
}

/// Checks what clients saw against what workers ran, independently of how nodes decide.
pub fn check_calls(outcomes: &[CallOutcome], executions: &[ExecutionRecord], limits: &CallLimits) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut by_call: BTreeMap<u64, Vec<&ExecutionRecord>> = BTreeMap::new();
    for execution in executions {
        by_call.entry(execution.call).or_default().push(execution);
    }
    for outcome in outcomes {
        let runs = by_call.get(&outcome.call).map_or(&[][..], Vec::as_slice);
        check_response(outcome, runs, limits, &mut violations);
    }
    for (call, runs) in &by_call {
        if runs_at_most_once(runs[0].path) && runs.len() > 1 {
            violations.push(format!("call {call} is not safe to repeat and ran {} times", runs.len()));
        }
        let first_events: BTreeSet<_> = runs.iter().map(|run| run.first_event).collect();
        if runs[0].path == "/v1/draft" && first_events.len() < runs.len() {
            violations.push(format!("call {call} was started twice at the same piece"));
        }
    }
    for execution in executions {
        if execution.draining_since.is_some_and(|since| execution.started_at > since + WORKER_REMOVAL_DEADLINE) {
            violations.push(format!(
                "call {} reached worker {} over 2 s after the worker began to drain",
                execution.call, execution.worker
            ));
        }
        check_revocation(execution, limits, &mut violations);
    }
    check_quotas(&by_call, limits, &mut violations);
    if limits.attempts.1 * 5 > limits.attempts.0 {
        violations.push(format!("{} retries for {} first attempts", limits.attempts.1, limits.attempts.0));
    }
    violations.truncate(20);
    violations.into_iter().map(Violation).collect()
}

/// Checks the response of one call against the executions of that call.
fn check_response(outcome: &CallOutcome, runs: &[&ExecutionRecord], limits: &CallLimits, violations: &mut Vec<String>) {
    let call = outcome.call;
    if !outcome.has_expected_body() {
        let text = String::from_utf8_lossy(&outcome.body).into_owned();
        violations.push(format!(
            "call {call} ({}) got an unexpected body: {:?} {text}",
            outcome.request.path, outcome.observation
        ));
    }
    if outcome.left_worker_after.is_some_and(|silence| silence < IDLE_TIMEOUT) {
        violations.push(format!("call {call} was cut while a worker was at work ({:?})", outcome.left_worker_after));
    }
    match &outcome.observation {
        ClientObservation::Complete if runs.is_empty() => {
            violations.push(format!("call {call} got a success that no worker gave"));
        }
        ClientObservation::Rejected { execution: retry::Execution::NotRun, code, .. } if !runs.is_empty() => {
            violations.push(format!("call {call} was rejected as not run ({code}) and ran {} times", runs.len()));
        }
        ClientObservation::Rejected { status: 429 | 503, has_retry_after: false, code, .. } => {
            violations.push(format!("call {call} was rejected ({code}) without a retry-after header"));
        }
        ClientObservation::Rejected { code: "full" | "no_worker" | "quota_unsettled", .. } => {
            let was_frozen = limits.freezes.iter().any(|freeze| {
                freeze.0 == outcome.machine && freeze.1 <= outcome.ended_at && freeze.2 >= outcome.started_at
            });
            if !was_frozen
                && !outcome.was_attempted
                && outcome.ended_at - outcome.started_at > outcome.request.max_wait * 9 / 10
            {
                violations.push(format!(
                    "call {call} was rejected only after {} of {} us",
                    outcome.ended_at - outcome.started_at,
                    outcome.request.max_wait
                ));
            }
        }
        _ => {}
    }
}

/// Checks that a call of the revocable tenant ran with a key of a version that was not replaced more than
/// [`REVOCATION_DEADLINE`] before.
fn check_revocation(execution: &ExecutionRecord, limits: &CallLimits, violations: &mut Vec<String>) {
    if execution.tenant != REVOCABLE_TENANT {
        return;
    }
    let oldest = limits
        .acknowledged
        .iter()
        .filter(|acknowledged| acknowledged.1 + REVOCATION_DEADLINE < execution.started_at)
        .map(|acknowledged| acknowledged.0)
        .max()
        .unwrap_or(0);
    if !limits.key_versions.iter().any(|key| key.0 >= oldest && key.1 <= execution.started_at && key.2) {
        violations.push(format!(
            "call {} ran at {} with a key revoked over 5 s before (version {oldest})",
            execution.call, execution.started_at
        ));
    }
}

/// Checks that no quota window has more calls than its quota, and that the calls of a window ran within its length.
/// A call counts in the window of its quota unit.
fn check_quotas(by_call: &BTreeMap<u64, Vec<&ExecutionRecord>>, limits: &CallLimits, violations: &mut Vec<String>) {
    let mut used: BTreeMap<(&str, u64), Vec<Micros>> = BTreeMap::new();
    for runs in by_call.values() {
        used.entry((&runs[0].tenant, runs[0].quota_window)).or_default().push(runs[0].started_at);
    }
    for ((tenant, window), starts) in used {
        let Some((quota, length)) = limits.quotas.get(tenant) else { continue };
        if starts.len() as u64 > *quota {
            violations.push(format!("{tenant} ran {} of {quota} calls in window {window}", starts.len()));
        }
        let (first, last) = (starts.iter().min().copied().unwrap_or(0), starts.iter().max().copied().unwrap_or(0));
        if last - first > length + TIMING_TOLERANCE {
            violations.push(format!("{tenant} ran calls over {} us with units of window {window}", last - first));
        }
    }
}

/// Checks that in no window the workers of a pool got more repeated arrivals, from all nodes, than a fifth of its calls
/// and `slack` more.
pub fn check_retries(record: &RetryRecord, slack: u64) -> Vec<Violation> {
    let describe = |RetryExcess { service, begin, repeats, allowed }| {
        Violation(format!("{service} got {repeats} repeated arrivals from {begin} on, {allowed} are allowed"))
    };
    record.excesses(RetryAllowance { slack, ..RetryAllowance::default() }).into_iter().map(describe).collect()
}

/// The rate of each tenant in calls a second, which is also its burst size.
pub type Rates = BTreeMap<String, u64>;

/// How long after its grant a quota unit may be used, in microseconds.
const UNIT_VALIDITY: Micros = 500_000 + TIMING_TOLERANCE;

/// The start times of the first executions of all calls, sorted, of each tenant with a rate.
fn first_starts<'a>(executions: &'a [ExecutionRecord], rates: &Rates) -> BTreeMap<&'a str, Vec<Micros>> {
    let mut seen_calls = BTreeSet::new();
    let mut starts: BTreeMap<&str, Vec<Micros>> = BTreeMap::new();
    for execution in
        executions.iter().filter(|execution| rates.contains_key(&execution.tenant) && seen_calls.insert(execution.call))
    {
        starts.entry(&execution.tenant).or_default().push(execution.started_at);
    }
    for tenant_starts in starts.values_mut() {
        tenant_starts.sort_unstable();
    }
    starts
}

/// Checks that no interval of any length has more calls than the rate and the burst admit.
pub fn check_rates(executions: &[ExecutionRecord], rates: &Rates) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (tenant, starts) in first_starts(executions, rates) {
        let rate = i128::from(rates[tenant]);
        // Millionths of calls that the rate has admitted by a time; clocks may run a thousandth fast.
        let admitted = |time: Micros| rate * i128::from(time) * 1_001 / 1_000;
        // The least excess so far with its time; the greatest rise from it, with the begin and end of that interval.
        let (mut lowest, mut worst) = ((i128::MAX, 0), (0, 0, 0));
        for (index, start) in starts.iter().enumerate() {
            let excess = index as i128 * 1_000_000 - admitted(*start);
            lowest = lowest.min((excess, *start));
            worst = worst.max((excess + 1_000_000 - lowest.0, lowest.1, *start));
        }
        if worst.0 > (rate * 1_000_000) + admitted(UNIT_VALIDITY) {
            let (begin, end) = (worst.1, worst.2);
            violations.push(Violation(format!(
                "{tenant} ran {} calls over its rate from {begin} to {end}",
                worst.0 / 1_000_000
            )));
        }
    }
    violations
}

/// Counts calls that were rejected although one token bucket for the whole fleet would have been over a fifth full.
pub fn count_needless_rate_rejections(outcomes: &[CallOutcome], executions: &[ExecutionRecord], rates: &Rates) -> u64 {
    let starts_by_tenant = first_starts(executions, rates);
    let mut rejections: BTreeMap<&str, Vec<Micros>> = BTreeMap::new();
    for outcome in outcomes
        .iter()
        .filter(|outcome| matches!(outcome.observation, ClientObservation::Rejected { code: "quota", .. }))
    {
        rejections.entry(&outcome.request.tenant).or_default().push(outcome.ended_at);
    }
    let mut needless = 0;
    for (tenant, mut rejected_at) in rejections {
        let Some(rate) = rates.get(tenant).map(|rate| i128::from(*rate)) else { continue };
        rejected_at.sort_unstable();
        // The bucket is counted in millionths of calls.
        let capacity = rate * 1_000_000;
        let (mut tokens, mut last) = (capacity, 0);
        let mut starts = starts_by_tenant.get(tenant).map_or(&[][..], Vec::as_slice).iter().peekable();
        for time in rejected_at {
            while let Some(start) = starts.next_if(|start| **start <= time) {
                tokens = (tokens + rate * i128::from(start - last)).min(capacity) - 1_000_000;
                last = *start;
            }
            let available = (tokens + rate * i128::from(time - last)).min(capacity);
            needless += u64::from(available * 5 > capacity);
        }
    }
    needless
}

/// Counts calls that were rejected for a spent quota window of which over a tenth was left.
pub fn count_needless_rejections(outcomes: &[CallOutcome], executions: &[ExecutionRecord], limits: &CallLimits) -> u64 {
    let mut seen_calls = BTreeSet::new();
    let mut by_tenant: BTreeMap<&str, Vec<(Micros, u64)>> = BTreeMap::new();
    for execution in executions.iter().filter(|execution| seen_calls.insert(execution.call)) {
        by_tenant.entry(&execution.tenant).or_default().push((execution.started_at, execution.quota_window));
    }
    let is_quota_rejection =
        |outcome: &CallOutcome| matches!(outcome.observation, ClientObservation::Rejected { code: "quota", .. });
    let is_needless = |outcome: &&CallOutcome| {
        let Some((quota, _)) = limits.quotas.get(&outcome.request.tenant) else { return false };
        let Some(runs) = by_tenant.get(outcome.request.tenant.as_str()) else { return true };
        // The window in which the call was rejected is the one of the last run before the rejection.
        let window = runs.iter().rev().find(|run| run.0 <= outcome.ended_at).map(|run| run.1);
        let used = runs.iter().filter(|run| Some(run.1) == window).count() as u64;
        used * 10 < quota * 9
    };
    outcomes.iter().filter(|outcome| is_quota_rejection(outcome)).filter(is_needless).count() as u64
}

/// Returns for each tenant the most calls that ran within any interval of a window's length.
pub fn max_calls_per_window(executions: &[ExecutionRecord], window: Micros) -> BTreeMap<String, u64> {
    let mut starts_by_tenant: BTreeMap<&str, Vec<Micros>> = BTreeMap::new();
    let mut seen_calls = BTreeSet::new();
    for execution in executions.iter().filter(|execution| seen_calls.insert(execution.call)) {
        starts_by_tenant.entry(&execution.tenant).or_default().push(execution.started_at);
    }
    starts_by_tenant
        .into_iter()
        .map(|(tenant, mut starts)| {
            starts.sort_unstable();
            let (mut first, mut most) = (0, 0);
            for last in 0..starts.len() {
                while starts[last] - starts[first] >= window {
                    first += 1;
                }
                most = most.max((last - first + 1) as u64);
            }
            (tenant.to_owned(), most)
        })
        .collect()
}
