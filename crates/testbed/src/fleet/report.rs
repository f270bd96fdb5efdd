use super::script::Outcomes;
use crate::standin::Seen;
use std::collections::BTreeMap;
use std::time::Duration;

fn pct(v: &[Duration], p: usize) -> u128 {
    if v.is_empty() { 0 } else { v[(v.len() - 1) * p / 100].as_millis() }
}

impl Outcomes {
    /// What operators of the deployments would ask about a run.
    pub fn print(&self) {
        println!("deployment {} for {} s, {} calls", self.shape.name, self.secs, self.seen.len());
        for k in ["lookup", "chat", "draft", "summary"] {
            let mut v: Vec<_> =
                self.seen.iter().filter(|o| o.kind == k && o.seen == Seen::Whole).map(|o| o.first).collect();
            v.sort_unstable();
            let mut secs: BTreeMap<u64, Vec<Duration>> = BTreeMap::new();
            for o in self.seen.iter().filter(|o| o.kind == k && o.seen == Seen::Whole) {
                secs.entry(o.at.duration_since(self.begin).as_secs()).or_default().push(o.first);
            }
            let worst = secs
                .into_values()
                .map(|mut v| {
                    v.sort_unstable();
                    pct(&v, 99)
                })
                .max()
                .unwrap_or(0);
            println!(
                "  {k:8} whole {:6}  first piece p50 {:4} ms  p99 {:4} ms  worst second's p99 {worst:4} ms",
                v.len(),
                pct(&v, 50),
                pct(&v, 99)
            );
        }
        let mut codes: BTreeMap<String, u64> = BTreeMap::new();
        for o in &self.seen {
            let k = match &o.seen {
                Seen::Whole => continue,
                Seen::Refused { status, code, ran, .. } => format!("{status} {code} (ran {ran})"),
                Seen::Broken { .. } => "broken off visibly".into(),
                Seen::None => "no answer".into(),
                Seen::Wrong(_) => "WRONG".into(),
            };
            *codes.entry(k).or_default() += 1;
        }
        for (k, n) in codes {
            println!("  {n:6} {k}");
        }
        for (k, v) in &self.sums {
            println!("  {k:28} {v}");
        }
        println!("  calls that met a worker which had run their prefix: {} of {}", self.warm.0, self.warm.1);
        let n = self.seen.len().max(1) as u64;
        let get = |k: &str| self.sums.iter().find(|x| x.0 == k).map_or(0, |x| x.1);
        println!(
            "  for each call: processor {} us, bytes between zones {} of calls and {} of control",
            self.cpu * 1_000 / n,
            get("cross_zone_bytes") / n,
            get("peer_cross_zone_bytes") / n
        );
        if std::env::var_os("TESTBED_SLOW").is_some() {
            for o in self.seen.iter().filter(|o| matches!(o.seen, Seen::Refused { status: 503, .. })) {
                println!(
                    "  refused at {:.3} s after {} ms {} by {}: {:?}",
                    o.at.duration_since(self.begin).as_secs_f64(),
                    o.total.as_millis(),
                    o.tenant,
                    o.front,
                    o.seen
                );
            }
            for o in self.seen.iter().filter(|o| o.first.as_millis() > 80 && o.kind != "summary") {
                let run = self.ran.iter().find(|r| r.call == o.call);
                println!(
                    "  slow {:>9.3} s {} {} at {}: first piece {} ms, at the worker after {:?} ms",
                    o.at.duration_since(self.begin).as_secs_f64(),
                    o.kind,
                    o.tenant,
                    o.front,
                    o.first.as_millis(),
                    run.map(|r| r.at.duration_since(o.at).as_millis())
                );
            }
        }
        for e in &self.events {
            println!("  {e}");
        }
        println!("  findings: {}", self.findings.len());
        for f in self.findings.iter().take(20) {
            println!("    {}", f.0);
        }
    }
}
