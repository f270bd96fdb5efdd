//! What a run of the emulator earned and cost.

use super::case::Case;
use super::deployment::CallKind;
use super::record::CallRecord;
use super::traffic::Call;
use sumacvale_core::base::{MS, Micros};

/// The intervals of which the worst is reported, in microseconds.
const INTERVAL: Micros = 2_000 * MS;

/// Prefill of shared segments, in tokens.
#[derive(Clone, Copy, Debug)]
pub struct PrefillTotals {
    /// Tokens that were computed.
    pub shared_tokens: u64,
    /// Those of them that had been computed before, at the same worker or at another one.
    pub repeated_tokens: u64,
}

/// Everything that a report is made of.
pub struct Results<'a> {
    /// What was run.
    pub case: &'a Case,
    /// The calls.
    pub calls: &'a [Call],
    /// What became of each of `calls`.
    pub records: &'a [CallRecord],
    /// Prefill of all workers.
    pub prefill: PrefillTotals,
    /// Sequences that lost their slot.
    pub preempted: u64,
    /// The mean time of a choice, in nanoseconds.
    pub choice_ns: u64,
}

impl Results<'_> {
    fn calls(&self) -> impl Iterator<Item = (&Call, &CallRecord)> {
        self.calls.iter().zip(self.records)
    }

    fn kinds(&self) -> impl Iterator<Item = (usize, &CallKind)> {
        self.case.deployment.kinds.iter().enumerate()
    }

    fn is_slow(&self, record: &CallRecord) -> bool {
        record.longest_gap > self.case.deployment.max_stream_gap_ms * MS
    }

    /// Whether a call earned its full worth.
    fn is_in_time(&self, call: &Call, record: &CallRecord) -> bool {
        let meets_target = latency(call, record).is_some_and(|latency| latency <= call.request.latency_target);
        record.completed && !self.is_slow(record) && meets_target
    }
}

/// The time to the first event at the front, in microseconds.
fn latency(call: &Call, record: &CallRecord) -> Option<Micros> {
    record.first_event.map(|first| first - call.sent_at)
}

/// The calls of one kind.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct KindReport {
    /// The name of the kind.
    pub name: &'static str,
    /// Calls that were sent.
    pub calls: usize,
    /// Percent of the calls that earned their full worth.
    pub in_time_percent: f64,
    /// Times to the first event at the front.
    pub latency: Percentiles,
    /// Calls whose stream had a longer gap than the deployment allows.
    pub long_gaps: usize,
    /// Calls whose response was not completed.
    pub incomplete: usize,
}

/// Percentiles of times, in milliseconds; 0 without any.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Percentiles {
    /// The median.
    pub p50_ms: u64,
    /// The 95th percentile.
    pub p95_ms: u64,
    /// The 99th percentile.
    pub p99_ms: u64,
}

impl Percentiles {
    fn of(mut times: Vec<Micros>) -> Self {
        times.sort_unstable();
        let last = times.len().saturating_sub(1);
        let percentile_ms = |percent: usize| times.get(last * percent / 100).map_or(0, |time| time / MS);
        Percentiles { p50_ms: percentile_ms(50), p95_ms: percentile_ms(95), p99_ms: percentile_ms(99) }
    }
}

impl KindReport {
    fn new(results: &Results, index: usize, kind: &CallKind) -> Self {
        let calls: Vec<_> = results.calls().filter(|(call, _)| call.kind == index).collect();
        let in_time = calls.iter().filter(|(call, record)| results.is_in_time(call, record)).count();
        KindReport {
            name: kind.name,
            calls: calls.len(),
            in_time_percent: in_time as f64 * 100.0 / calls.len().max(1) as f64,
            latency: Percentiles::of(calls.iter().filter_map(|(call, record)| latency(call, record)).collect()),
            long_gaps: calls.iter().filter(|(_, record)| results.is_slow(record)).count(),
            incomplete: calls.iter().filter(|(_, record)| !record.completed).count(),
        }
    }
}

/// The worth of the calls that were sent in one interval.
#[derive(Clone, Copy, Debug, Default)]
struct Worth {
    /// The worth of all calls.
    possible: f64,
    /// What the completed calls earned.
    earned: f64,
}

/// The worth of each interval.
struct Intervals(Vec<Worth>);

impl Intervals {
    fn new(results: &Results) -> Self {
        let mut intervals = vec![Worth::default(); results.case.seconds as usize / 2 + 1];
        for (index, kind) in results.kinds() {
            for (call, record) in results.calls().filter(|(call, _)| call.kind == index) {
                let worth = &mut intervals[(call.sent_at / INTERVAL) as usize];
                worth.possible += kind.worth;
                if record.completed {
                    let in_time = results.is_in_time(call, record);
                    worth.earned += kind.worth * if in_time { 1.0 } else { kind.late_share };
                }
            }
        }
        Intervals(intervals)
    }

    fn earned_percent(&self) -> f64 {
        let earned = self.0.iter().map(|worth| worth.earned).sum::<f64>();
        earned * 100.0 / self.0.iter().map(|worth| worth.possible).sum::<f64>().max(1.0)
    }

    fn worst_percent(&self) -> f64 {
        let with_calls = self.0.iter().filter(|worth| worth.possible > 0.0);
        with_calls.map(|worth| worth.earned * 100.0 / worth.possible).fold(100.0, f64::min)
    }
}

/// What a run earned and cost.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// The calls by kind.
    pub kinds: Vec<KindReport>,
    /// Percent of the possible worth that was earned.
    pub worth_percent: f64,
    /// The same in the worst two seconds.
    pub worst_percent: f64,
    /// Tokens of shared segments that prefill computed.
    pub shared_tokens: u64,
    /// Those of them that had been computed before, at the same worker or at another one.
    pub repeated_tokens: u64,
    /// Bytes that crossed between zones.
    pub cross_zone_bytes: u64,
    /// Calls for which no worker could be chosen.
    pub refused: usize,
    /// Sequences that lost their slot to make room.
    pub preempted: u64,
    /// The measured time of a choice and its record, in nanoseconds; all else depends on the case alone.
    pub choice_ns: u64,
}

impl Report {
    pub(super) fn new(results: &Results) -> Report {
        let intervals = Intervals::new(results);
        let crossing = results.calls().filter(|(_, record)| record.crossed_zones);
        Report {
            kinds: results.kinds().map(|(index, kind)| KindReport::new(results, index, kind)).collect(),
            worth_percent: intervals.earned_percent(),
            worst_percent: intervals.worst_percent(),
            shared_tokens: results.prefill.shared_tokens,
            repeated_tokens: results.prefill.repeated_tokens,
            cross_zone_bytes: crossing.map(|(call, _)| u64::from(call.request.bytes)).sum(),
            refused: results.records.iter().filter(|record| record.refused).count(),
            preempted: results.preempted,
            choice_ns: results.choice_ns,
        }
    }

    /// Prints a line for the run and one for each kind of call.
    pub fn print(&self, name: &str) {
        println!(
            "{name:7} worth {:5.1} % worst 2 s {:5.1} % | shared read {:6}k again {:6}k | between zones {:6} kB | refused {} put back {} | {} ns",
            self.worth_percent,
            self.worst_percent,
            self.shared_tokens / 1000,
            self.repeated_tokens / 1000,
            self.cross_zone_bytes / 1000,
            self.refused,
            self.preempted,
            self.choice_ns
        );
        for kind in &self.kinds {
            println!(
                "        {:8} {:5} within {:5.1} % first p50 {:4} p95 {:4} p99 {:5} ms, long pauses {}, not done {}",
                kind.name,
                kind.calls,
                kind.in_time_percent,
                kind.latency.p50_ms,
                kind.latency.p95_ms,
                kind.latency.p99_ms,
                kind.long_gaps,
                kind.incomplete
            );
        }
    }
}
