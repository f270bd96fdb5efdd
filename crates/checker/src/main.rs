//! Explores bounds by hand: `checker BOUND… --seconds N --threads N --breadth`, where `all` and `small` stand
//! for all bounds and for those of the tests. `checker planted FAULT…` removes guards, one at a time, and shows
//! what notices.

use std::process::ExitCode;
use std::time::Duration;
use sumacvale_checker::explore::{Model, Options, Report, SearchOrder, explore};
use sumacvale_checker::planted::{self, RunOptions, VIOLATION_PREFIX};
use sumacvale_checker::scenarios::{self, Scenario};

/// Threads that explore, unless the command line says otherwise.
const DEFAULT_THREADS: u64 = 4;
/// Seconds until a bound ends unfinished, unless the command line says otherwise.
const DEFAULT_SECONDS: u64 = 600;
/// The same for each bound of a planted fault.
const DEFAULT_PLANTED_SECONDS: u64 = 60;

fn main() -> ExitCode {
    let mut parser = getopts::Options::new();
    parser.optopt("", "seconds", "end each bound unfinished after so long", "N");
    parser.optopt("", "threads", "threads to explore with", "N");
    parser.optflag("", "breadth", "shortest traces, more memory");
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let matches = match parser.parse(&arguments) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("{error}\n{}", parser.usage("checker BOUND…, or checker planted [FAULT…]"));
            return ExitCode::FAILURE;
        }
    };
    let number = |name: &str, default: u64| matches.opt_str(name).and_then(|text| text.parse().ok()).unwrap_or(default);
    let threads = number("threads", DEFAULT_THREADS);
    if let Some((_, faults)) = matches.free.split_first().filter(|(command, _)| *command == "planted") {
        return run_planted(faults, RunOptions { seconds: number("seconds", DEFAULT_PLANTED_SECONDS), threads });
    }
    let order = if matches.opt_present("breadth") { SearchOrder::BreadthFirst } else { SearchOrder::DepthFirst };
    let options = Options {
        threads: usize::try_from(threads).unwrap_or(4),
        order,
        max_duration: Duration::from_secs(number("seconds", DEFAULT_SECONDS)),
        ..Options::default()
    };
    explore_selected(&scenarios::agreements(), &matches.free, &options);
    explore_selected(&scenarios::fleets(), &matches.free, &options);
    explore_selected(&scenarios::quotas(), &matches.free, &options);
    ExitCode::SUCCESS
}

/// Explores the bounds that the command line names.
fn explore_selected<M: Model>(scenarios: &[Scenario<M>], names: &[String], options: &Options) {
    let is_selected = |scenario: &&Scenario<M>| {
        names.iter().any(|name| name == scenario.name || name == "all" || (name == "small" && scenario.is_small))
    };
    for scenario in scenarios.iter().filter(is_selected) {
        print_report(scenario.name, &explore(&scenario.model, options));
    }
}

fn run_planted(faults: &[String], options: RunOptions) -> ExitCode {
    match planted::run(faults, options) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Prints a report in the form that [`planted`] reads.
fn print_report(name: &str, report: &Report) {
    println!(
        "{name:<18} states {:>9} transitions {:>9} ends {:>6} recoveries {:>5} seconds {:>6.1} {}",
        report.states,
        report.transitions,
        report.final_states,
        report.recoveries,
        report.seconds,
        if report.complete { "whole" } else { "unfinished" }
    );
    let Some(violation) = &report.violation else { return };
    println!("{VIOLATION_PREFIX}{}", violation.message);
    for (index, step) in violation.trace.iter().enumerate() {
        println!("{:>4} {step}", index + 1);
    }
}
