//! The command line: a module for the options and one for each subcommand.

mod bounds;
mod fleet;
mod lookups;
mod options;
mod place;
mod retry_soak;
mod sim;
mod stop_soak;

use options::Arguments;
use std::process::ExitCode;

/// The exit code if a check of the run failed.
const EXIT_FINDINGS: u8 = 1;
/// The exit code for an invalid command line, or a run that could not be started or completed.
const EXIT_ERROR: i32 = 2;
/// The number of threads of the runtime that sends calls and injects faults.
const FLEET_THREADS: usize = 4;

/// Runs the subcommand on the command line and returns the exit code.
pub fn run() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments.first().is_some_and(|name| name == "hollow") {
        sumacvale_testbed::hollow::cli(&arguments[1..]).unwrap_or_else(|error| fail(&error));
        return ExitCode::SUCCESS;
    }
    let Some(arguments) = Arguments::parse(&arguments) else { return ExitCode::SUCCESS };
    let passed = match arguments.subcommand() {
        "fleet" => fleet::run(&arguments),
        "retry-soak" => retry_soak::run(&arguments),
        "stop-soak" => stop_soak::run(&arguments),
        "sim" => sim::run(&arguments),
        "place" => place::run(&arguments),
        "lookups" => lookups::run(),
        "bounds" => bounds::run(),
        name => fail(&format!(
            "unknown subcommand {name}: use fleet, retry-soak, stop-soak, sim, lookups, bounds, place or hollow"
        )),
    };
    if passed { ExitCode::SUCCESS } else { ExitCode::from(EXIT_FINDINGS) }
}

/// Builds the runtime that sends calls to a fleet and injects faults.
fn fleet_runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(FLEET_THREADS)
        .enable_all()
        .build()
        .unwrap_or_else(|error| fail(&error.to_string()))
}

/// Prints a message to standard error and exits with [`EXIT_ERROR`].
fn fail(message: &str) -> ! {
    eprintln!("testbed: {message}");
    std::process::exit(EXIT_ERROR)
}
