//! The report of an emulator run: latency, utility and costs.

use super::case::Case;
use super::deployment::CallKind;
use super::record::CallRecord;
use super::traffic::Call;
use sumacvale_core::base::{MS, Micros};

/// The length of the intervals of which the worst is reported, in microseconds.
const REPORT_INTERVAL: Micros = 2_000 * MS;

/// The totals of prefill of shared segments, in tokens.
#[derive(Clone, Copy, Debug)]
pub struct PrefillTotals {
    /// Tokens that were computed, including repeated ones.
    pub shared_tokens: u64,
    /// The part of `shared_tokens` that had been computed before, at the same worker or another one.
    pub repeated_tokens: u64,
}

/// The inputs of a report.
pub struct Results<'a> {
    /// The case that was run.
    pub case: &'a Case,
    /// All calls that were sent.
    pub calls: &'a [Call],
    /// The outcome of each call, by its index in `calls`.
    pub records: &'a [CallRecord],
    /// The totals of prefill over all workers.
    pub prefill: PrefillTotals,
    /// The number of preempted sequences.
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

    fn has_long_gap(&self, record: &CallRecord) -> bool {
        record.longest_gap > self.case.deployment.max_stream_gap_ms * MS
    }

    /// Returns true if a call has its full utility.
    fn is_in_time(&self, call: &Call, record: &CallRecord) -> bool {
        let meets_target = latency(call, record).is_some_and(|latency| latency <= call.request.latency_target);
        record.is_completed && !self.has_long_gap(record) && meets_target
    }
}

/// Returns the time from sending the call to the first event at the front, in microseconds.
fn latency(call: &Call, record: &CallRecord) -> Option<Micros> {
    record.first_event.map(|first| first - call.sent_at)
}

/// The results of the calls of one kind.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct KindReport {
    /// The name of the kind.
    pub name: &'static str,
    /// The number of calls that were sent.
    pub calls: usize,
    /// The percentage of calls with their full utility.
    pub in_time_percent: f64,
    /// The time to the first event at the front.
    pub latency: Percentiles,
    /// The number of calls whose stream had a longer gap than the deployment allows.
    pub long_gaps: usize,
    /// The number of calls whose response was not completed.
    pub incomplete: usize,
}

/// Percentiles of times, in milliseconds; all are 0 if there are no times.
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
            long_gaps: calls.iter().filter(|(_, record)| results.has_long_gap(record)).count(),
            incomplete: calls.iter().filter(|(_, record)| !record.is_completed).count(),
        }
    }
}

/// The utility of the calls that were sent in one interval.
#[derive(Clone, Copy, Debug, Default)]
struct Utility {
    /// The utility if all calls met their targets.
    possible: f64,
    /// The utility of the calls that were completed.
    accrued: f64,
}

/// The utility of each interval of [`REPORT_INTERVAL`].
struct Intervals(Vec<Utility>);

impl Intervals {
    fn new(results: &Results) -> Self {
        let mut intervals = vec![Utility::default(); results.case.seconds as usize / 2 + 1];
        for (index, kind) in results.kinds() {
            for (call, record) in results.calls().filter(|(call, _)| call.kind == index) {
                let utility = &mut intervals[(call.sent_at / REPORT_INTERVAL) as usize];
                utility.possible += kind.utility;
                if record.is_completed {
                    let in_time = results.is_in_time(call, record);
                    utility.accrued += kind.utility * if in_time { 1.0 } else { kind.late_utility_fraction };
                }
            }
        }
        Intervals(intervals)
    }

    fn accrued_percent(&self) -> f64 {
        let accrued = self.0.iter().map(|utility| utility.accrued).sum::<f64>();
        accrued * 100.0 / self.0.iter().map(|utility| utility.possible).sum::<f64>().max(1.0)
    }

    fn worst_interval_percent(&self) -> f64 {
        let with_calls = self.0.iter().filter(|utility| utility.possible > 0.0);
        with_calls.map(|utility| utility.accrued * 100.0 / utility.possible).fold(100.0, f64::min)
    }
}

/// The results of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// The results of the calls, by kind.
    pub kinds: Vec<KindReport>,
    /// The percentage of the possible utility that was accrued.
    pub utility_percent: f64,
    /// The lowest `utility_percent` of an interval of two seconds.
    pub worst_interval_percent: f64,
    /// The number of tokens of shared segments that prefill computed.
    pub shared_tokens: u64,
    /// The part of `shared_tokens` that had been computed before, at the same worker or another one.
    pub repeated_tokens: u64,
    /// The number of bytes sent between zones.
    pub cross_zone_bytes: u64,
    /// The number of calls for which no worker could be chosen.
    pub rejected: usize,
    /// The number of sequences that were preempted to free cache capacity.
    pub preempted: u64,
    /// The mean wall-clock time of a choice and its recording, in nanoseconds. All other fields are
    /// determined by the case.
    pub choice_ns: u64,
}

impl Report {
    pub(super) fn new(results: &Results) -> Report {
        let intervals = Intervals::new(results);
        let cross_zone = results.calls().filter(|(_, record)| record.has_crossed_zones);
        Report {
            kinds: results.kinds().map(|(index, kind)| KindReport::new(results, index, kind)).collect(),
            utility_percent: intervals.accrued_percent(),
            worst_interval_percent: intervals.worst_interval_percent(),
            shared_tokens: results.prefill.shared_tokens,
            repeated_tokens: results.prefill.repeated_tokens,
            cross_zone_bytes: cross_zone.map(|(call, _)| u64::from(call.request.bytes)).sum(),
            rejected: results.records.iter().filter(|record| record.is_rejected).count(),
            preempted: results.preempted,
            choice_ns: results.choice_ns,
        }
    }

    /// Prints one line for the run and one line for each kind of call.
    pub fn print(&self, name: &str) {
        println!(
            "{name:7} utility {:5.1} % worst 2 s {:5.1} % | shared prefill {:6}k repeated {:6}k | cross-zone {:6} kB | rejected {} preempted {} | {} ns",
            self.utility_percent,
            self.worst_interval_percent,
            self.shared_tokens / 1000,
            self.repeated_tokens / 1000,
            self.cross_zone_bytes / 1000,
            self.rejected,
            self.preempted,
            self.choice_ns
        );
        for kind in &self.kinds {
            println!(
                "        {:8} {:5} in time {:5.1} % first event p50 {:4} p95 {:4} p99 {:5} ms, long gaps {}, incomplete {}",
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
