//! The command line: one module for the options and one for each subcommand.

mod bounds;
mod fleet;
mod lookups;
mod options;
mod place;
mod sim;

use options::Arguments;
use std::process::ExitCode;

/// Exit code for findings: a check of the run failed.
const FINDINGS: u8 = 1;
/// Exit code for a wrong command line, or a run that could not be started or finished.
const UNUSABLE: i32 = 2;

/// Runs the subcommand that the process was started with.
pub fn run() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments.first().is_some_and(|name| name == "hollow") {
        sumacvale_testbed::hollow::cli(&arguments[1..]).unwrap_or_else(|error| fail(&error));
        return ExitCode::SUCCESS;
    }
    let Some(arguments) = Arguments::parse(&arguments) else { return ExitCode::SUCCESS };
    let passed = match arguments.subcommand() {
        "fleet" => fleet::run(&arguments),
        "sim" => sim::run(&arguments),
        "place" => place::run(&arguments),
        "lookups" => lookups::run(),
        "bounds" => bounds::run(),
        name => fail(&format!("{name}: use fleet, sim, lookups, bounds, place or hollow")),
    };
    if passed { ExitCode::SUCCESS } else { ExitCode::from(FINDINGS) }
}

/// Ends the process with a message on the standard error stream.
fn fail(message: &str) -> ! {
    eprintln!("testbed: {message}");
    std::process::exit(UNUSABLE)
}
