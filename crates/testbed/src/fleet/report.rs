//! The printed report of a scenario.

use super::scenario::ScenarioOutcome;
use crate::standin::{ClientObservation, ClientRecord};
use std::collections::BTreeMap;
use std::time::Duration;

/// The maximum number of printed findings.
const MAX_FINDINGS: usize = 20;
/// The time to first byte above which a call is printed as slow, in milliseconds.
const SLOW_MS: u128 = 80;

/// Returns a percentile of sorted times, in milliseconds; 0 if there are no times.
fn percentile_ms(sorted: &[Duration], percent: usize) -> u128 {
    if sorted.is_empty() { 0 } else { sorted[(sorted.len() - 1) * percent / 100].as_millis() }
}

impl ScenarioOutcome {
    /// Prints latencies, failures, counters, costs, events and findings.
    pub fn print(&self) {
        println!("deployment {} for {} s, {} calls", self.spec.name, self.seconds, self.records.len());
        for kind in ["lookup", "chat", "draft", "summary"] {
            self.print_latency(kind);
        }
        self.print_failures();
        for (name, value) in &self.counters {
            println!("  {name:28} {value}");
        }
        self.print_costs();
        if std::env::var_os("TESTBED_SLOW").is_some() {
            self.print_rejected_calls();
            self.print_slow_calls();
        }
        for event in &self.events {
            println!("  {event}");
        }
        println!("  findings: {}", self.findings.len());
        for finding in self.findings.iter().take(MAX_FINDINGS) {
            println!("    {}", finding.0);
        }
    }

    /// Returns the time from the start of traffic to the sending of a call.
    fn sent_after(&self, record: &ClientRecord) -> Duration {
        record.sent_at.duration_since(self.began)
    }

    fn print_latency(&self, kind: &str) {
        let is_served =
            |record: &&ClientRecord| record.kind == kind && record.observation == ClientObservation::Complete;
        let mut by_second: BTreeMap<u64, Vec<Duration>> = BTreeMap::new();
        for record in self.records.iter().filter(is_served) {
            by_second.entry(self.sent_after(record).as_secs()).or_default().push(record.first_byte);
        }
        for times in by_second.values_mut() {
            times.sort_unstable();
        }
        let worst = by_second.values().map(|times| percentile_ms(times, 99)).max().unwrap_or(0);
        let mut all = by_second.into_values().flatten().collect::<Vec<_>>();
        all.sort_unstable();
        println!(
            "  {kind:8} complete {:6}  first byte p50 {:4} ms  p99 {:4} ms  worst second's p99 {worst:4} ms",
            all.len(),
            percentile_ms(&all, 50),
            percentile_ms(&all, 99)
        );
    }

    fn print_failures(&self) {
        let mut counts: BTreeMap<String, u64> = BTreeMap::new();
        for description in self.records.iter().filter_map(|record| describe_failure(&record.observation)) {
            *counts.entry(description).or_default() += 1;
        }
        for (description, count) in counts {
            println!("  {count:6} {description}");
        }
    }

    fn print_costs(&self) {
        let reuse = self.prefix_reuse;
        println!("  runs with a reused prefix: {} of {}", reuse.reused, reuse.runs);
        let calls = self.records.len().max(1) as u64;
        let counter = |name: &str| self.counters.get(name).copied().unwrap_or(0);
        println!(
            "  per call: processor time {} us, cross-zone bytes {} for calls and {} for control",
            self.cpu_ms * 1_000 / calls,
            counter("cross_zone_bytes") / calls,
            counter("peer_cross_zone_bytes") / calls
        );
    }

    fn print_rejected_calls(&self) {
        let is_rejected =
            |record: &&ClientRecord| matches!(record.observation, ClientObservation::Rejected { status: 503, .. });
        for record in self.records.iter().filter(is_rejected) {
            println!(
                "  rejected at {:.3} s after {} ms {} by {}: {:?}",
                self.sent_after(record).as_secs_f64(),
                record.total.as_millis(),
                record.tenant,
                record.front,
                record.observation
            );
        }
    }

    fn print_slow_calls(&self) {
        let is_slow = |record: &&ClientRecord| record.first_byte.as_millis() > SLOW_MS && record.kind != "summary";
        for record in self.records.iter().filter(is_slow) {
            let run = self.runs.iter().find(|run| run.call_id == record.call_id);
            println!(
                "  slow {:>9.3} s {} {} at {}: first byte {} ms, at the worker after {:?} ms",
                self.sent_after(record).as_secs_f64(),
                record.kind,
                record.tenant,
                record.front,
                record.first_byte.as_millis(),
                run.map(|run| run.started_at.duration_since(record.sent_at).as_millis())
            );
        }
    }
}

/// Describes a failure for the report; returns `None` for a complete response.
fn describe_failure(observation: &ClientObservation) -> Option<String> {
    Some(match observation {
        ClientObservation::Complete => return None,
        ClientObservation::Rejected { status, code, ran, .. } => format!("{status} {code} (ran {ran})"),
        ClientObservation::Truncated { .. } => "truncated".into(),
        ClientObservation::NoResponse => "no response".into(),
        ClientObservation::Violation(_) => "WRONG".into(),
    })
}
