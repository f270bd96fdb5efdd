//! The program `sumacvale`, which runs one node.

use sumacvale_node::admin;
use sumacvale_node::protocol_adapter::STANDARD_ADAPTER;
use sumacvale_node::run::{NodeSetup, init_logging, run};
use sumacvale_node::settings::{CommandLineAction, Settings, SettingsError, parse_command_line};

/// Exit code for an invalid command line or invalid settings.
const EXIT_INVALID_SETTINGS: i32 = 2;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    std::process::exit(execute(parse_command_line(&args)));
}

/// Executes the action of the command line; returns the exit code.
fn execute(action: CommandLineAction) -> i32 {
    match action {
        CommandLineAction::Print(text) => println!("{text}"),
        CommandLineAction::Import(document, left_out) => print_import(&document, &left_out),
        CommandLineAction::Checked(_) => println!("the settings are good"),
        CommandLineAction::Invalid(errors) => return report_errors(&errors),
        CommandLineAction::Run(settings) => return run_node(*settings),
    }
    0
}

fn print_import(document: &str, left_out: &[String]) {
    println!("{document}");
    for operation in left_out {
        eprintln!("left out: {operation}");
    }
}

fn report_errors(errors: &[SettingsError]) -> i32 {
    for error in errors {
        eprintln!("sumacvale: {error}");
    }
    EXIT_INVALID_SETTINGS
}

fn run_node(settings: Settings) -> i32 {
    init_logging();
    let setup = NodeSetup {
        settings,
        adapter: &STANDARD_ADAPTER,
        caller_routes: admin::client_routes,
        extra_listeners: Vec::new(),
        reload: None,
    };
    match run(setup) {
        Ok(()) => 0,
        Err(error) => {
            eprintln!("sumacvale: {error}");
            error.exit_code()
        }
    }
}
