//! The program `sumacvale`.

use sumacvale_node::admin;
use sumacvale_node::protocol_adapter::STANDARD_ADAPTER;
use sumacvale_node::run::{NodeSetup, init_logging, run};
use sumacvale_node::settings::{CommandLineAction, parse_command_line};

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let code = match parse_command_line(&args) {
        CommandLineAction::Print(s) => {
            println!("{s}");
            0
        }
        CommandLineAction::Import(s, out) => {
            println!("{s}");
            for o in out {
                eprintln!("left out: {o}");
            }
            0
        }
        CommandLineAction::Checked(_) => {
            println!("the settings are good");
            0
        }
        CommandLineAction::Invalid(v) => {
            for t in v {
                eprintln!("sumacvale: {t}");
            }
            2
        }
        CommandLineAction::Run(e) => {
            init_logging();
            let callers = admin::downstream;
            match run(NodeSetup {
                settings: *e,
                adapter: &STANDARD_ADAPTER,
                caller_routes: callers,
                extra_listeners: Vec::new(),
                reload: None,
            }) {
                Ok(()) => 0,
                Err((c, t)) => {
                    eprintln!("sumacvale: {t}");
                    c
                }
            }
        }
    };
    std::process::exit(code);
}
