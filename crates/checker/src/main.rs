//! Explores bounds by hand: `model SCENARIO… --seconds N --threads N --breadth`; `model planted`
//! takes guards away, one at a time, and shows what catches it.

use std::process::ExitCode;
use std::time::Duration;
use sumacvale_checker::explore::{Options, Report, Search, explore};
use sumacvale_checker::scenarios;

fn main() -> ExitCode {
    let mut options = getopts::Options::new();
    options.optopt("", "seconds", "end each bound unfinished after so long", "N");
    options.optopt("", "threads", "threads to explore with", "N");
    options.optflag("", "breadth", "shortest traces, more memory");
    let args: Vec<String> = std::env::args().skip(1).collect();
    let asked = match options.parse(&args) {
        Ok(asked) => asked,
        Err(why) => {
            eprintln!("{why}\n{}", options.usage("model SCENARIO…, or model planted [FAULT…]"));
            return ExitCode::FAILURE;
        }
    };
    let number = |name: &str, other: u64| asked.opt_str(name).and_then(|s| s.parse().ok()).unwrap_or(other);
    if asked.free.first().is_some_and(|n| n == "planted") {
        return plant(&asked.free[1..], number("seconds", 60), number("threads", 4));
    }
    let options = Options {
        threads: usize::try_from(number("threads", 4)).unwrap_or(4),
        search: if asked.opt_present("breadth") { Search::Breadth } else { Search::Depth },
        most_time: Duration::from_secs(number("seconds", 600)),
        ..Options::default()
    };
    let asked_for =
        |name: &str, small: bool| asked.free.iter().any(|n| n == name || n == "all" || (n == "small" && small));
    for s in scenarios::all() {
        if asked_for(s.name, s.small) {
            show(s.name, explore(&s.model, &options));
        }
    }
    for s in scenarios::fleets() {
        if asked_for(s.name, s.small) {
            show(s.name, explore(&s.model, &options));
        }
    }
    for s in scenarios::quotas() {
        if asked_for(s.name, s.small) {
            show(s.name, explore(&s.model, &options));
        }
    }
    ExitCode::SUCCESS
}

fn plant(only: &[String], seconds: u64, threads: u64) -> ExitCode {
    match sumacvale_checker::planted::run(only, seconds, threads) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(why) => {
            eprintln!("{why}");
            ExitCode::FAILURE
        }
    }
}

fn show(name: &str, r: Report) {
    println!(
        "{name:<18} states {:>9} transitions {:>9} ends {:>6} recoveries {:>5} seconds {:>6.1} {}",
        r.states,
        r.transitions,
        r.ends,
        r.recoveries,
        r.seconds,
        if r.complete { "whole" } else { "unfinished" }
    );
    if let Some(breach) = r.breach {
        println!("BROKEN: {}", breach.what);
        breach.trace.iter().enumerate().for_each(|(n, step)| println!("{:>4} {step}", n + 1));
    }
}
