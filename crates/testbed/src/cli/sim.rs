//! `testbed sim`: simulates the core in virtual time, from seeds.

use super::fail;
use super::options::{Arguments, unknown_deployment};
use std::time::{Duration, Instant};
use sumacvale_core::base::Micros;
use sumacvale_testbed::sim::{ControlSummary, Day, Profile, Run, Summary, run as simulate};

/// The simulations that the command line requests.
struct Plan {
    /// The first seed.
    first_seed: u64,
    /// The number of consecutive seeds.
    seed_count: u64,
    /// The name of the only profile to simulate; `None` for all profiles.
    profile: Option<String>,
    /// The deployment that the profile `day` simulates; `None` for the default run of that profile.
    day: Option<Day>,
    /// The number of fronts; a deployment in `day` has its own number.
    fronts: usize,
    /// True if quotas are rates, false if they are windows.
    rates: bool,
    /// True if the trace of a run is printed even if the run broke no invariant.
    trace: bool,
}

/// Simulates each profile with each seed and prints the results. Returns true if no run broke an invariant.
pub fn run(arguments: &Arguments) -> bool {
    let plan = Plan::parse(arguments);
    let mut passed = true;
    for profile in Profile::ALL.iter().filter(|profile| plan.profile.as_ref().is_none_or(|name| name == profile.name)) {
        for seed in plan.first_seed..plan.first_seed + plan.seed_count {
            let begin = Instant::now();
            let summary = simulate(plan.run(profile, seed));
            print(profile.name, seed, &summary, begin.elapsed(), plan.trace);
            passed &= summary.violations.is_empty();
        }
    }
    passed
}

impl Plan {
    /// Reads the plan from the command line.
    fn parse(arguments: &Arguments) -> Self {
        let profile = arguments.text("profile");
        if profile.as_ref().is_some_and(|name| Profile::named(name).is_none()) {
            let names: Vec<_> = Profile::ALL.iter().map(|profile| profile.name).collect();
            fail(&format!("--profile: use one of {}", names.join(", ")));
        }
        Plan {
            first_seed: arguments.number("seed", 1),
            seed_count: arguments.number("seeds", 5),
            profile,
            day: arguments.text("deployment").map(|name| match name.as_str() {
                "mtatsminda" => Day::MTATSMINDA,
                "derwent" => Day::DERWENT,
                _ => unknown_deployment(),
            }),
            fronts: arguments.count("fronts", 6),
            rates: match arguments.text("quota").as_deref() {
                None | Some("window") => false,
                Some("rate") => true,
                _ => fail("--quota: use window or rate"),
            },
            trace: arguments.has_flag("trace"),
        }
    }

    /// Returns the run of a profile with a seed.
    fn run(&self, profile: &'static Profile, seed: u64) -> Run {
        match self.day.filter(|_| profile.name == "day") {
            Some(day) => Run { rates: self.rates, ..Run::day(seed, day) },
            None => Run { fronts: self.fronts, rates: self.rates, ..Run::new(seed, profile) },
        }
    }
}

/// Prints the results of a run.
fn print(profile: &str, seed: u64, summary: &Summary, elapsed: Duration, trace: bool) {
    print_counts(profile, seed, summary, elapsed);
    print_recovery(summary);
    if let Some(control) = &summary.control {
        print_control(control);
    }
    println!(
        "    ends: {:?} serving again after {:?} ms",
        summary.ends,
        summary.serving_after.map(|time| time / 1_000)
    );
    if trace {
        print_zone_traffic(summary);
    }
    if trace || !summary.violations.is_empty() {
        summary.trace.iter().for_each(|line| println!("    {line}"));
    }
    summary
        .needless_change_rejections
        .iter()
        .for_each(|rejection| println!("    change rejected without need: {rejection}"));
    summary.violations.iter().for_each(|violation| println!("    violation: {}", violation.0));
}

/// Prints the counts and latencies of a run in one line.
fn print_counts(profile: &str, seed: u64, summary: &Summary, elapsed: Duration) {
    println!(
        "{:8} seed {seed}: version {} committed {} stale {} unknown {} no response {} | calls {} ran {} to the worker p50 {} p99 {} ms | attempts {}+{} resumed {} slots released {} units expired {} most per window {} needless rejections {} | propagation p99 {} worst {} ms | frames {} bytes {} | {} ms | violations {} rejected {}",
        profile,
        summary.newest_version,
        summary.committed,
        summary.stale,
        summary.unknown,
        summary.without_response,
        summary.calls,
        summary.executed_calls,
        percentile_ms(&summary.times_to_worker, 50),
        percentile_ms(&summary.times_to_worker, 99),
        summary.attempts.0,
        summary.attempts.1,
        summary.streams_resumed,
        summary.slots_reassigned,
        summary.units_expired,
        summary.max_calls_per_window,
        summary.needless_rejections,
        percentile_ms(&summary.propagation_times, 99),
        percentile_ms(&summary.propagation_times, 100),
        summary.frames,
        summary.bytes,
        elapsed.as_millis(),
        summary.violations.len(),
        summary.needless_change_rejections.len()
    );
}

/// Prints the recovery times after a power outage and after the loss of machines, if there were any.
fn print_recovery(summary: &Summary) {
    for (first_call, admitted) in &summary.recovered_after_power_loss {
        println!(
            "after power was restored: first call ran after {} ms, 95 % of calls admitted after {} ms",
            first_call / 1_000,
            admitted / 1_000
        );
    }
    if summary.voters_live_after.is_empty() {
        return;
    }
    // The number of times, their median and their maximum, in milliseconds.
    let times = |values: &[Micros]| (values.len(), percentile_ms(values, 50), percentile_ms(values, 100));
    println!(
        "    after a loss (count, p50, worst ms): voters live {:?}, all nodes fresh {:?}",
        times(&summary.voters_live_after),
        times(&summary.nodes_fresh_after)
    );
    let (since_loss, since_return): (Vec<_>, Vec<_>) = summary.voters_ready_after.iter().copied().unzip();
    println!(
        "    all voters ready: since the loss {:?}, since the last return {:?}",
        times(&since_loss),
        times(&since_return)
    );
}

/// Prints the outcome of the changes, reads and faults of a control profile.
fn print_control(control: &ControlSummary) {
    println!(
        "    control: committed {} in p50 {} p99 {} ms repeated {} reads {} responses lost {} invalid rejected {} departures acknowledged {} faults {:?} variants {:?}",
        control.committed,
        percentile_ms(&control.commit_times, 50),
        percentile_ms(&control.commit_times, 99),
        control.repeated,
        control.reads,
        control.lost_responses,
        control.rejected,
        control.acknowledged_departures,
        control.fault_counts,
        control.variant_counts
    );
}

/// Prints the traffic between zones by kind of message, the most bytes first. The order must not depend on
/// the names of the kinds.
fn print_zone_traffic(summary: &Summary) {
    let mut kinds: Vec<_> = summary.cross_zone_traffic.iter().collect();
    kinds.sort_by_key(|(_, (frames, bytes))| std::cmp::Reverse((*bytes, *frames)));
    for (kind, (frames, bytes)) in kinds {
        println!("    cross-zone: {kind:10} {frames:7} frames {bytes:9} bytes");
    }
}

/// Returns a percentile of times in microseconds, in whole milliseconds; 0 if there are no times.
fn percentile_ms(times: &[Micros], percent: usize) -> u64 {
    let mut sorted = times.to_vec();
    sorted.sort_unstable();
    if sorted.is_empty() { 0 } else { sorted[(sorted.len() - 1) * percent / 100] / 1_000 }
}
