use rehearsal::sim::{Profile, Run, run};

fn main() {
    let a: Vec<String> = std::env::args().skip(1).collect();
    let from: u64 = a.first().and_then(|s| s.parse().ok()).unwrap_or(1);
    let n: u64 = a.get(1).and_then(|s| s.parse().ok()).unwrap_or(5);
    let only = a.get(2);
    for p in Profile::ALL.iter().filter(|p| only.is_none_or(|o| o == p.name)) {
        for seed in from..from + n {
            let t = std::time::Instant::now();
            let s = run(Run::new(seed, p));
            let worst = s.spread.iter().max().copied().unwrap_or(0);
            let mut h = s.held.clone();
            h.sort_unstable();
            let q = |p: usize| h.get(h.len() * p / 100).copied().unwrap_or(0) / 1000;
            println!("held p50 {} p99 {} ms", q(50), q(99));
            println!(
                "{:8} seed {seed}: v{} done {} stale {} unknown {} none {} | calls {} taken {} spent {} waited {} unsettled {} | spread worst {} ms | {} frames | {} ms | breaches {}",
                p.name,
                s.versions,
                s.done,
                s.stale,
                s.unknown,
                s.none,
                s.calls,
                s.taken,
                s.spent,
                s.waited,
                s.unsettled,
                worst / 1000,
                s.frames,
                t.elapsed().as_millis(),
                s.breaches.len()
            );
            if !s.breaches.is_empty() {
                for l in s.trace.iter().take(60) {
                    println!("    {l}");
                }
                for b in s.breaches.iter().take(4) {
                    println!("    BREACH {}", b.0);
                }
            }
        }
    }
}
