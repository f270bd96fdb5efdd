//! What operators of the deployments would want to know about a rehearsal.

use super::rehearsal::Outcomes;
use crate::standin::{ClientObservation, ClientRecord};
use std::collections::BTreeMap;
use std::time::Duration;

/// Findings that are printed.
const MAX_FINDINGS: usize = 20;
/// A first byte after this time is printed as slow, in milliseconds.
const SLOW_MS: u128 = 80;

/// A percentile of sorted times, in milliseconds; 0 without any.
fn percentile_ms(sorted: &[Duration], percent: usize) -> u128 {
    if sorted.is_empty() { 0 } else { sorted[(sorted.len() - 1) * percent / 100].as_millis() }
}

impl Outcomes {
    /// Prints latencies, refusals, counters, costs, events and findings.
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
            self.print_refused_calls();
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

    /// When a call was sent, after the begin of the traffic.
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
            "  {kind:8} whole {:6}  first piece p50 {:4} ms  p99 {:4} ms  worst second's p99 {worst:4} ms",
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
        println!("  calls that met a worker which had run their prefix: {} of {}", reuse.reused, reuse.runs);
        let calls = self.records.len().max(1) as u64;
        let counter = |name: &str| self.counters.get(name).copied().unwrap_or(0);
        println!(
            "  for each call: processor {} us, bytes between zones {} of calls and {} of control",
            self.cpu_ms * 1_000 / calls,
            counter("cross_zone_bytes") / calls,
            counter("peer_cross_zone_bytes") / calls
        );
    }

    fn print_refused_calls(&self) {
        let is_refused =
            |record: &&ClientRecord| matches!(record.observation, ClientObservation::Refused { status: 503, .. });
        for record in self.records.iter().filter(is_refused) {
            println!(
                "  refused at {:.3} s after {} ms {} by {}: {:?}",
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
            let run = self.runs.iter().find(|run| run.call == record.call);
            println!(
                "  slow {:>9.3} s {} {} at {}: first piece {} ms, at the worker after {:?} ms",
                self.sent_after(record).as_secs_f64(),
                record.kind,
                record.tenant,
                record.front,
                record.first_byte.as_millis(),
                run.map(|run| run.began.duration_since(record.sent_at).as_millis())
            );
        }
    }
}

/// A failure in words; none for a complete response.
fn describe_failure(observation: &ClientObservation) -> Option<String> {
    Some(match observation {
        ClientObservation::Complete => return None,
        ClientObservation::Refused { status, code, ran, .. } => format!("{status} {code} (ran {ran})"),
        ClientObservation::Truncated { .. } => "broken off visibly".into(),
        ClientObservation::NoResponse => "no answer".into(),
        ClientObservation::Violation(_) => "WRONG".into(),
    })
}
