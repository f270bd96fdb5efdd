//! Checks of calls: what clients saw against what workers ran, and both against quotas and revocations.

use crate::sim::calls::outcome::{CallOutcome, ClientObservation};
use crate::sim::checks::safety::{REVOCATION_DEADLINE, Violation, WORKER_REMOVAL_DEADLINE};
use crate::sim::operators::documents::REVOCABLE;
use crate::sim::workers::worker::ExecutionRecord;
use std::collections::{BTreeMap, BTreeSet};
use sumacvale_core::base::{Micros, Version};
use sumacvale_core::retry;

/// What the runs and responses of one world are judged by.
#[derive(Clone, Debug, Default)]
/// The limits that the calls of a run are checked against.
pub struct CallLimits {
    /// Calls in a window, and the length of the window in microseconds, of each tenant.
    pub quotas: BTreeMap<String, (u64, Micros)>,
    /// Versions, and when they were acknowledged.
    pub acknowledged: Vec<(Version, Micros)>,
    /// Versions, when they were first committed, and whether they have the key that comes and goes.
    pub keys: Vec<(Version, Micros, bool)>,
    /// First attempts and retries.
    pub tries: (u64, u64),
    /// Which machines were frozen, from when and until when.
    pub freezes: Vec<(usize, Micros, Micros)>,
}

/// How long a call is under way to its worker, and how far clocks may differ over a window.
const WIRE: Micros = 10_000;

/// Whether calls of this path must not run twice.
pub fn runs_at_most_once(path: &str) -> bool {
    matches!(path, "/v1/chat" | "/v1/summary" | "/v1/book")
}

/// Checks what clients saw against what workers ran, knowing nothing of how nodes decide.
pub fn check_calls(seen: &[CallOutcome], ran: &[ExecutionRecord], law: &CallLimits) -> Vec<Violation> {
    let mut out = Vec::new();
    let mut by: BTreeMap<u64, Vec<&ExecutionRecord>> = BTreeMap::new();
    for r in ran {
        by.entry(r.call).or_default().push(r);
    }
    for o in seen {
        responses(o, by.get(&o.call).map_or(&[][..], Vec::as_slice), law, &mut out);
    }
    for (c, rs) in &by {
        if runs_at_most_once(rs[0].path) && rs.len() > 1 {
            out.push(format!("call {c} is not safe to repeat and ran {} times", rs.len()));
        }
        let from: BTreeSet<_> = rs.iter().map(|r| r.first_piece).collect();
        if rs[0].path == "/v1/draft" && from.len() < rs.len() {
            out.push(format!("call {c} was begun twice at the same piece"));
        }
    }
    for r in ran {
        if r.draining_since.is_some_and(|t| r.started_at > t + WORKER_REMOVAL_DEADLINE) {
            out.push(format!("call {} reached worker {} over 2 s after it began to drain", r.call, r.worker));
        }
        revoked(r, law, &mut out);
    }
    quotas(&by, law, &mut out);
    if law.tries.1 * 5 > law.tries.0 {
        out.push(format!("{} second tries for {} first ones", law.tries.1, law.tries.0));
    }
    out.truncate(20);
    out.into_iter().map(Violation).collect()
}

fn responses(o: &CallOutcome, rs: &[&ExecutionRecord], law: &CallLimits, out: &mut Vec<String>) {
    let c = o.call;
    if !o.has_expected_body() {
        let t = String::from_utf8_lossy(&o.body).into_owned();
        out.push(format!("call {c} ({}) got a body that is not its own: {:?} {t}", o.request.path, o.observation));
    }
    match &o.observation {
        ClientObservation::Complete if rs.is_empty() => out.push(format!("call {c} got a success that no worker gave")),
        ClientObservation::Rejected { execution: retry::Execution::NotRun, code, .. } if !rs.is_empty() => {
            out.push(format!("call {c} was refused as not run ({code}) and ran {} times", rs.len()));
        }
        ClientObservation::Rejected { status: 429 | 503, has_retry_after: false, code, .. } => {
            out.push(format!("call {c} was refused ({code}) without a time to return"));
        }
        ClientObservation::Rejected { code: "full" | "no_worker" | "quota_unsettled", .. } => {
            let slept = law.freezes.iter().any(|s| s.0 == o.machine && s.1 <= o.ended_at && s.2 >= o.started_at);
            if !slept && !o.was_attempted && o.ended_at - o.started_at > o.request.max_wait * 9 / 10 {
                out.push(format!(
                    "call {c} was given up on only after {} of {} us",
                    o.ended_at - o.started_at,
                    o.request.max_wait
                ));
            }
        }
        _ => {}
    }
}

/// A key must be in some version that was not yet replaced for too long.
fn revoked(r: &ExecutionRecord, law: &CallLimits, out: &mut Vec<String>) {
    if r.tenant != REVOCABLE {
        return;
    }
    let old =
        law.acknowledged.iter().filter(|a| a.1 + REVOCATION_DEADLINE < r.started_at).map(|a| a.0).max().unwrap_or(0);
    if !law.keys.iter().any(|k| k.0 >= old && k.1 <= r.started_at && k.2) {
        out.push(format!(
            "call {} ran at {} with a key withdrawn over 5 s before (version {old})",
            r.call, r.started_at
        ));
    }
}

/// A call counts in the window that its unit belongs to, and runs while that lasts.
fn quotas(by: &BTreeMap<u64, Vec<&ExecutionRecord>>, law: &CallLimits, out: &mut Vec<String>) {
    let mut used: BTreeMap<(&str, u64), Vec<Micros>> = BTreeMap::new();
    for rs in by.values() {
        used.entry((&rs[0].tenant, rs[0].quota_window)).or_default().push(rs[0].started_at);
    }
    for ((t, window), at) in used {
        let Some((q, len)) = law.quotas.get(t) else { continue };
        if at.len() as u64 > *q {
            out.push(format!("{t} ran {} of {q} calls in window {window}", at.len()));
        }
        let (a, b) = (at.iter().min().copied().unwrap_or(0), at.iter().max().copied().unwrap_or(0));
        if b - a > len + WIRE {
            out.push(format!("{t} ran calls over {} us with units of window {window}", b - a));
        }
    }
}

/// The rate of each tenant: calls a second, and as many at once on top.
pub type Rates = BTreeMap<String, u64>;

/// A unit may be used for so long after it was taken, and clocks differ by a thousandth.
const UNIT: Micros = 500_000 + WIRE;

fn firsts<'a>(ran: &'a [ExecutionRecord], rates: &Rates) -> BTreeMap<&'a str, Vec<Micros>> {
    let mut met = BTreeSet::new();
    let mut at: BTreeMap<&str, Vec<Micros>> = BTreeMap::new();
    for r in ran.iter().filter(|r| rates.contains_key(&r.tenant) && met.insert(r.call)) {
        at.entry(&r.tenant).or_default().push(r.started_at);
    }
    for moments in at.values_mut() {
        moments.sort_unstable();
    }
    at
}

/// No interval of any length sees more calls than the rate and the burst.
pub fn check_rates(ran: &[ExecutionRecord], rates: &Rates) -> Vec<Violation> {
    let mut out = Vec::new();
    for (t, v) in firsts(ran, rates) {
        let r = i128::from(rates[t]);
        let came = |at: Micros| r * i128::from(at) * 1_001 / 1_000;
        let (mut low, mut top) = ((i128::MAX, 0), (0, 0, 0));
        for (i, at) in v.iter().enumerate() {
            let n = i as i128 * 1_000_000 - came(*at);
            low = low.min((n, *at));
            top = top.max((n + 1_000_000 - low.0, low.1, *at));
        }
        if top.0 > (r * 1_000_000) + came(UNIT) {
            let (a, b) = (top.1, top.2);
            out.push(Violation(format!("{t} ran {} calls over its rate from {a} to {b}", top.0 / 1_000_000)));
        }
    }
    out
}

/// How many calls were refused though one bucket for the whole fleet would have been
/// over a fifth full.
pub fn count_needless_rate_rejections(seen: &[CallOutcome], ran: &[ExecutionRecord], rates: &Rates) -> u64 {
    let runs = firsts(ran, rates);
    let mut no: BTreeMap<&str, Vec<Micros>> = BTreeMap::new();
    for o in seen.iter().filter(|o| matches!(o.observation, ClientObservation::Rejected { code: "quota", .. })) {
        no.entry(&o.request.tenant).or_default().push(o.ended_at);
    }
    let mut n = 0;
    for (t, mut v) in no {
        let Some(r) = rates.get(t).map(|r| i128::from(*r)) else { continue };
        v.sort_unstable();
        let full = r * 1_000_000;
        let (mut free, mut last) = (full, 0);
        let mut rs = runs.get(t).map_or(&[][..], Vec::as_slice).iter().peekable();
        for at in v {
            while let Some(x) = rs.next_if(|x| **x <= at) {
                free = (free + r * i128::from(x - last)).min(full) - 1_000_000;
                last = *x;
            }
            let here = (free + r * i128::from(at - last)).min(full);
            n += u64::from(here * 5 > full);
        }
    }
    n
}

/// How many calls were told that a window is spent in which over a tenth was left.
pub fn count_needless_rejections(seen: &[CallOutcome], ran: &[ExecutionRecord], law: &CallLimits) -> u64 {
    let mut met = BTreeSet::new();
    let mut by: BTreeMap<&str, Vec<(Micros, u64)>> = BTreeMap::new();
    for r in ran.iter().filter(|r| met.insert(r.call)) {
        by.entry(&r.tenant).or_default().push((r.started_at, r.quota_window));
    }
    let spent = |o: &CallOutcome| matches!(o.observation, ClientObservation::Rejected { code: "quota", .. });
    let needless = |o: &&CallOutcome| {
        let Some((q, _)) = law.quotas.get(&o.request.tenant) else { return false };
        let Some(rs) = by.get(o.request.tenant.as_str()) else { return true };
        // The window in which the call was refused is the one of the last run before it.
        let window = rs.iter().rev().find(|r| r.0 <= o.ended_at).map(|r| r.1);
        let n = rs.iter().filter(|r| Some(r.1) == window).count() as u64;
        n * 10 < q * 9
    };
    seen.iter().filter(|o| spent(o)).filter(needless).count() as u64
}

/// The most calls of one tenant that ran within any interval of a window's length.
pub fn max_calls_per_window(ran: &[ExecutionRecord], window: Micros) -> BTreeMap<String, u64> {
    let mut at: BTreeMap<&str, Vec<Micros>> = BTreeMap::new();
    let mut met = BTreeSet::new();
    for r in ran.iter().filter(|r| met.insert(r.call)) {
        at.entry(&r.tenant).or_default().push(r.started_at);
    }
    at.into_iter()
        .map(|(t, mut v)| {
            v.sort_unstable();
            let (mut i, mut most) = (0, 0);
            for j in 0..v.len() {
                while v[j] - v[i] >= window {
                    i += 1;
                }
                most = most.max((j - i + 1) as u64);
            }
            (t.to_owned(), most)
        })
        .collect()
}
