//! Command line of the checker. `checker BOUND… --seconds N --threads N --breadth` explores bounds; `all` stands
//! for all bounds and `small` for the bounds that the tests explore. `checker planted FAULT…` removes one guard at
//! a time and shows which bound detects each fault.

use std::process::ExitCode;
use std::time::Duration;
use sumacvale_checker::explore::{Model, Options, Report, SearchOrder, explore};
use sumacvale_checker::planted::{self, RunOptions, VIOLATION_PREFIX};
use sumacvale_checker::scenarios::{self, Scenario};

/// The default of `--threads`.
const DEFAULT_THREADS: u64 = 4;
/// The default of `--seconds` for a bound.
const DEFAULT_SECONDS: u64 = 600;
/// The default of `--seconds` for each bound of a planted fault.
const DEFAULT_PLANTED_SECONDS: u64 = 60;

fn main() -> ExitCode {
    let mut parser = getopts::Options::new();
    parser.optopt("", "seconds", "time limit for each bound, in seconds", "N");
    parser.optopt("", "threads", "number of threads", "N");
    parser.optflag("", "breadth", "search breadth first: shortest traces, more memory");
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
