use crate::sim::calls::outcome::{CallOutcome, ClientObservation};
use crate::sim::checks::safety::{GONE, REVOKE, Violation};
use crate::sim::operators::documents::REVOCABLE;
use crate::sim::workers::worker::ExecutionRecord;
use std::collections::{BTreeMap, BTreeSet};
use sumacvale_core::base::{Micros, Version};
use sumacvale_core::retry;

/// What the runs and responses of one world are judged by.
#[derive(Clone, Debug, Default)]
pub struct CallLimits {
    pub quotas: BTreeMap<String, (u64, Micros)>,
    /// When each version was acknowledged.
    pub acks: Vec<(Version, Micros)>,
    /// When each version was first held anywhere, and whether it has the key that comes and goes.
    pub keys: Vec<(Version, Micros, bool)>,
    pub tries: (u64, u64),
    /// Which machines slept, and from when to when.
    pub slept: Vec<(usize, Micros, Micros)>,
}

/// How long a call is under way to its worker, and how far clocks may differ over a window.
const WIRE: Micros = 10_000;

/// Paths whose calls must not run twice.
pub fn once(path: &str) -> bool {
    matches!(path, "/v1/chat" | "/v1/summary" | "/v1/book")
}

/// Judges what downstreams saw against what workers ran, knowing nothing of how nodes decide.
pub fn judge(seen: &[CallOutcome], ran: &[ExecutionRecord], law: &CallLimits) -> Vec<Violation> {
    let mut out = Vec::new();
    let mut by: BTreeMap<u64, Vec<&ExecutionRecord>> = BTreeMap::new();
    for r in ran {
        by.entry(r.call).or_default().push(r);
    }
    for o in seen {
        responses(o, by.get(&o.call).map_or(&[][..], Vec::as_slice), law, &mut out);
    }
    for (c, rs) in &by {
        if once(rs[0].path) && rs.len() > 1 {
            out.push(format!("call {c} is not safe to repeat and ran {} times", rs.len()));
        }
        let from: BTreeSet<_> = rs.iter().map(|r| r.from).collect();
        if rs[0].path == "/v1/draft" && from.len() < rs.len() {
            out.push(format!("call {c} was begun twice at the same piece"));
        }
    }
    for r in ran {
        if r.drained.is_some_and(|t| r.at > t + GONE) {
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
    if !o.right() {
        let t = String::from_utf8_lossy(&o.body).into_owned();
        out.push(format!("call {c} ({}) got a body that is not its own: {:?} {t}", o.want.path, o.seen));
    }
    match &o.seen {
        ClientObservation::Whole if rs.is_empty() => out.push(format!("call {c} got a success that no worker gave")),
        ClientObservation::Refused { ran: retry::Execution::NotRun, code, .. } if !rs.is_empty() => {
            out.push(format!("call {c} was refused as not run ({code}) and ran {} times", rs.len()));
        }
        ClientObservation::Refused { status: 429 | 503, back: false, code, .. } => {
            out.push(format!("call {c} was refused ({code}) without a time to return"));
        }
        ClientObservation::Refused { code: "full" | "no_worker" | "quota_unsettled", .. } => {
            let slept = law.slept.iter().any(|s| s.0 == o.slot && s.1 <= o.end && s.2 >= o.at);
            if !slept && !o.tried && o.end - o.at > o.want.wait * 9 / 10 {
                out.push(format!("call {c} was given up on only after {} of {} us", o.end - o.at, o.want.wait));
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
    let old = law.acks.iter().filter(|a| a.1 + REVOKE < r.at).map(|a| a.0).max().unwrap_or(0);
    if !law.keys.iter().any(|k| k.0 >= old && k.1 <= r.at && k.2) {
        out.push(format!("call {} ran at {} with a key withdrawn over 5 s before (version {old})", r.call, r.at));
    }
}

/// A call counts in the window that its unit belongs to, and runs while that lasts.
fn quotas(by: &BTreeMap<u64, Vec<&ExecutionRecord>>, law: &CallLimits, out: &mut Vec<String>) {
    let mut used: BTreeMap<(&str, u64), Vec<Micros>> = BTreeMap::new();
    for rs in by.values() {
        used.entry((&rs[0].tenant, rs[0].window)).or_default().push(rs[0].at);
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

/// Calls a second, and as many at once on top, of each tenant.
pub type Rates = BTreeMap<String, u64>;

/// A unit may be used for so long after it was taken, and clocks differ by a thousandth.
const UNIT: Micros = 500_000 + WIRE;

fn firsts<'a>(ran: &'a [ExecutionRecord], rates: &Rates) -> BTreeMap<&'a str, Vec<Micros>> {
    let mut met = BTreeSet::new();
    let mut at: BTreeMap<&str, Vec<Micros>> = BTreeMap::new();
    for r in ran.iter().filter(|r| rates.contains_key(&r.tenant) && met.insert(r.call)) {
        at.entry(&r.tenant).or_default().push(r.at);
    }
    at.values_mut().for_each(|v| v.sort_unstable());
    at
}

/// No interval of any length sees more calls than the rate and the burst.
pub fn sliding(ran: &[ExecutionRecord], rates: &Rates) -> Vec<Violation> {
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
pub fn kept_back(seen: &[CallOutcome], ran: &[ExecutionRecord], rates: &Rates) -> u64 {
    let runs = firsts(ran, rates);
    let mut no: BTreeMap<&str, Vec<Micros>> = BTreeMap::new();
    for o in seen.iter().filter(|o| matches!(o.seen, ClientObservation::Refused { code: "quota", .. })) {
        no.entry(&o.want.tenant).or_default().push(o.end);
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
pub fn needless(seen: &[CallOutcome], ran: &[ExecutionRecord], law: &CallLimits) -> u64 {
    let mut met = BTreeSet::new();
    let mut by: BTreeMap<&str, Vec<(Micros, u64)>> = BTreeMap::new();
    for r in ran.iter().filter(|r| met.insert(r.call)) {
        by.entry(&r.tenant).or_default().push((r.at, r.window));
    }
    let spent = |o: &CallOutcome| matches!(o.seen, ClientObservation::Refused { code: "quota", .. });
    let needless = |o: &&CallOutcome| {
        let Some((q, _)) = law.quotas.get(&o.want.tenant) else { return false };
        let Some(rs) = by.get(o.want.tenant.as_str()) else { return true };
        // The window in which the call was refused is the one of the last run before it.
        let window = rs.iter().rev().find(|r| r.0 <= o.end).map(|r| r.1);
        let n = rs.iter().filter(|r| Some(r.1) == window).count() as u64;
        n * 10 < q * 9
    };
    seen.iter().filter(|o| spent(o)).filter(needless).count() as u64
}

/// The most calls of one tenant that ran within any interval of a window's length.
pub fn worst(ran: &[ExecutionRecord], window: Micros) -> BTreeMap<String, u64> {
    let mut at: BTreeMap<&str, Vec<Micros>> = BTreeMap::new();
    let mut met = BTreeSet::new();
    for r in ran.iter().filter(|r| met.insert(r.call)) {
        at.entry(&r.tenant).or_default().push(r.at);
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
