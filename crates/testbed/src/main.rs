//! The program `testbed`: tests a sumacvale fleet on this machine.

mod cli;

/// The allocator, which counts allocations for `testbed hollow`.
#[global_allocator]
static ALLOCATOR: sumacvale_testbed::hollow::Counting = sumacvale_testbed::hollow::Counting;

fn main() -> std::process::ExitCode {
    cli::run()
}
