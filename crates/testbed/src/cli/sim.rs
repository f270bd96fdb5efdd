//! `testbed sim`: the core in virtual time, from seeds.

use super::fail;
use super::options::{Arguments, unknown_deployment};
use std::time::{Duration, Instant};
use sumacvale_core::base::Micros;
use sumacvale_testbed::sim::{ControlSummary, Day, Profile, Run, Summary, run as simulate};

/// What is to be simulated, as the command line says it.
struct Plan {
    /// The first seed.
    seed: u64,
    /// How many seeds follow one another.
    seeds: u64,
    /// The only profile, or all of them.
    profile: Option<String>,
    /// The deployment whose day the profile `day` simulates.
    day: Option<Day>,
    /// How many fronts, except in a deployment's day.
    fronts: usize,
    /// Quotas are rates rather than windows.
    rates: bool,
    /// Print what was done to the fleet, also where nothing failed.
    trace: bool,
}

/// Simulates every profile with every seed; passed where no run broke a law.
pub fn run(arguments: &Arguments) -> bool {
    let plan = Plan::parse(arguments);
    let mut passed = true;
    for profile in Profile::ALL.iter().filter(|profile| plan.profile.as_ref().is_none_or(|only| only == profile.name)) {
        for seed in plan.seed..plan.seed + plan.seeds {
            let begin = Instant::now();
            let summary = simulate(plan.run(profile, seed));
            print(profile.name, seed, &summary, begin.elapsed(), plan.trace);
            passed &= summary.breaches.is_empty();
        }
    }
    passed
}

impl Plan {
    fn parse(arguments: &Arguments) -> Self {
        let profile = arguments.text("profile");
        if profile.as_ref().is_some_and(|name| Profile::named(name).is_none()) {
            let names: Vec<_> = Profile::ALL.iter().map(|profile| profile.name).collect();
            fail(&format!("--profile: use one of {}", names.join(", ")));
        }
        Plan {
            seed: arguments.number("seed", 1),
            seeds: arguments.number("seeds", 5),
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
            trace: arguments.flag("trace"),
        }
    }

    fn run(&self, profile: &'static Profile, seed: u64) -> Run {
        match self.day.filter(|_| profile.name == "day") {
            Some(day) => Run { rates: self.rates, ..Run::day(seed, day) },
            None => Run { fronts: self.fronts, rates: self.rates, ..Run::new(seed, profile) },
        }
    }
}

fn print(profile: &str, seed: u64, summary: &Summary, elapsed: Duration, trace: bool) {
    print_counts(profile, seed, summary, elapsed);
    print_recovery(summary);
    if let Some(control) = &summary.control {
        print_control(control);
    }
    println!("    ends: {:?} serving again after {:?} ms", summary.ends, summary.serving.map(|time| time / 1_000));
    if trace {
        print_zone_traffic(summary);
    }
    if trace || !summary.breaches.is_empty() {
        summary.trace.iter().for_each(|line| println!("    {line}"));
    }
    summary.refused.iter().for_each(|refusal| println!("    needless refusal: {refusal}"));
    summary.breaches.iter().for_each(|breach| println!("    breach: {}", breach.0));
}

fn print_counts(profile: &str, seed: u64, summary: &Summary, elapsed: Duration) {
    println!(
        "{:8} seed {seed}: version {} done {} stale {} unknown {} none {} | calls {} ran {} to the worker p50 {} p99 {} ms | tries {}+{} resumed {} reseated {} units ended {} worst {} needless {} | spread p99 {} worst {} ms | frames {} bytes {} | {} ms | breaches {} refused {}",
        profile,
        summary.versions,
        summary.done,
        summary.stale,
        summary.unknown,
        summary.none,
        summary.calls,
        summary.taken,
        percentile_ms(&summary.held, 50),
        percentile_ms(&summary.held, 99),
        summary.tries.0,
        summary.tries.1,
        summary.resumed,
        summary.reseated,
        summary.units_ended,
        summary.worst,
        summary.needless,
        percentile_ms(&summary.spread, 99),
        percentile_ms(&summary.spread, 100),
        summary.frames,
        summary.bytes,
        elapsed.as_millis(),
        summary.breaches.len(),
        summary.refused.len()
    );
}

fn print_recovery(summary: &Summary) {
    for (first, usual) in &summary.lit {
        println!(
            "after all power was back: a call ran in {} ms, 95 % were let in from {} ms",
            first / 1_000,
            usual / 1_000
        );
    }
    if summary.voted.is_empty() {
        return;
    }
    // The number of times, their median and the longest.
    let times = |values: &[Micros]| (values.len(), percentile_ms(values, 50), percentile_ms(values, 100));
    println!(
        "    after a loss: voters there (n, p50, worst ms) {:?}, all fresh {:?}",
        times(&summary.voted),
        times(&summary.again)
    );
    let (loss, back): (Vec<_>, Vec<_>) = summary.full.iter().copied().unzip();
    println!("    full strength: from the loss {:?}, from the last return {:?}", times(&loss), times(&back));
}

fn print_control(control: &ControlSummary) {
    println!(
        "    orders: taken {} in p50 {} p99 {} ms repeated {} read {} answers lost {} bad refused {} workers acknowledged {} {:?} {:?}",
        control.taken,
        percentile_ms(&control.took, 50),
        percentile_ms(&control.took, 99),
        control.repeated,
        control.reads,
        control.lost,
        control.refused,
        control.left,
        control.troubles,
        control.variants
    );
}

/// The most bytes first: the order must not depend on the names of the kinds of messages.
fn print_zone_traffic(summary: &Summary) {
    let mut kinds: Vec<_> = summary.far.iter().collect();
    kinds.sort_by_key(|(_, (frames, bytes))| std::cmp::Reverse((*bytes, *frames)));
    for (kind, (frames, bytes)) in kinds {
        println!("    between zones: {kind:10} {frames:7} frames {bytes:9} bytes");
    }
}

/// The percentile of times in microseconds, in whole milliseconds; 0 without any.
fn percentile_ms(times: &[Micros], percent: usize) -> u64 {
    let mut sorted = times.to_vec();
    sorted.sort_unstable();
    if sorted.is_empty() { 0 } else { sorted[(sorted.len() - 1) * percent / 100] / 1_000 }
}
