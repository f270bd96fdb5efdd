//! Cores that are partitioned for up to twenty seconds, in virtual time from fixed seeds.

use sumacvale_testbed::sim::{CallerKind, PartitionResults, PartitionRun, run_partitions};

const CALLERS: [CallerKind; 5] =
    [CallerKind::Change, CallerKind::Read, CallerKind::Report, CallerKind::Drain, CallerKind::Deregister];

/// The number of seeds of each test; the environment can raise it.
fn seeds() -> u64 {
    std::env::var("CUTOFF_SEEDS").ok().and_then(|value| value.parse().ok()).unwrap_or(6)
}

/// Runs all seeds, checks each result, and prints the sums.
fn run_seeds(name: &str, loss_percent: u64, has_slow_disks: bool, check: impl Fn(u64, &PartitionResults)) {
    let mut total = PartitionResults::default();
    for seed in 1..=seeds() {
        let result = run_partitions(PartitionRun { seed, seconds: 120, loss_percent, has_slow_disks });
        assert!(
            result.violations.is_empty(),
            "{name} seed {seed}:\n{}\n{:#?}",
            result.trace.join("\n"),
            result.violations
        );
        check(seed, &result);
        for (from, to) in [(&result.partitioned, &mut total.partitioned), (&result.connected, &mut total.connected)] {
            for (caller, stats) in from {
                let sum = to.entry(*caller).or_default();
                (sum.calls, sum.unavailable, sum.timed_out) =
                    (sum.calls + stats.calls, sum.unavailable + stats.unavailable, sum.timed_out + stats.timed_out);
                sum.response_times.extend(&stats.response_times);
            }
        }
        (total.acknowledged, total.rejected) =
            (total.acknowledged + result.acknowledged, total.rejected + result.rejected);
    }
    println!("{name}: {} changes acknowledged, {} rejected", total.acknowledged, total.rejected);
    for (contact, by_caller) in [("partitioned", &total.partitioned), ("connected", &total.connected)] {
        for caller in CALLERS {
            let Some(stats) = by_caller.get(&caller) else { continue };
            println!(
                "  {contact} {caller:?}: {} calls, {} unavailable, {} timed out, median {} ms, slowest {} ms",
                stats.calls,
                stats.unavailable,
                stats.timed_out,
                stats.median() / 1_000,
                stats.slowest() / 1_000
            );
        }
    }
}

/// Calls that connected cores answered with 5xx or not at all.
fn failed_at_connected_cores(result: &PartitionResults) -> u64 {
    result.connected.values().map(|stats| stats.unavailable + stats.timed_out).sum()
}

/// Guards against a partitioned core that leaves calls without a response or acknowledges what it can't know,
/// and against connected cores that reject calls because another core is partitioned.
#[test]
fn partitioned_cores_respond_in_time_and_connected_cores_reject_nothing() {
    run_seeds("partitioned", 0, false, |seed, result| {
        assert!(result.acknowledged > 100, "seed {seed}: {} changes", result.acknowledged);
        assert!(
            result.partitioned.values().map(|stats| stats.calls).sum::<u64>() > 100,
            "seed {seed}: few calls to partitioned cores"
        );
        assert_eq!(
            failed_at_connected_cores(result),
            0,
            "seed {seed}: calls failed at connected cores: {:?}",
            result.connected
        );
    });
}

/// Guards against the same failures with slow disks or lost frames; 2 % of the calls may then fail at connected cores.
#[test]
fn partitioned_cores_respond_in_time_with_slow_disks_and_lost_frames() {
    let check = |seed: u64, result: &PartitionResults| {
        let calls: u64 = result.connected.values().map(|stats| stats.calls).sum();
        let failed = failed_at_connected_cores(result);
        assert!(failed * 50 <= calls, "seed {seed}: {failed} of {calls} calls failed at connected cores");
    };
    run_seeds("frames lost", 2, false, check);
    run_seeds("slow disks", 0, true, check);
}
