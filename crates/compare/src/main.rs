//! The program `sumacvale-compare`: compares the state reports of nodes and explains their differences.

mod compare;
mod fetch;
mod state_report;

use getopts::Options;

const HELP: &str = "sumacvale-compare: compares the state reports of the nodes of a fleet

Usage: sumacvale-compare --token-file FILE ADMIN ADMIN
       sumacvale-compare --token-file FILE --all ADMIN

ADMIN is the admin address of a node, IP:PORT. With --all the node is compared
with every other node that it reports as alive. The token file holds an
operator's token.

Exit code: 0 the nodes agree, 1 they differ, 2 invalid command line or token
file, 3 a node sent no valid report.";

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    std::process::exit(run(&arguments));
}

/// Runs the command line; returns the exit code.
fn run(arguments: &[String]) -> i32 {
    let mut options = Options::new();
    options
        .optopt("", "token-file", "file that holds an operator's token", "FILE")
        .optflag("", "all", "compare the node with all live nodes that it reports")
        .optflag("h", "help", "print this help")
        .optflag("V", "version", "print the version");
    let matches = match options.parse(arguments) {
        Ok(matches) => matches,
        Err(e) => return usage_error(&e.to_string()),
    };
    if matches.opt_present("help") {
        println!("{}", options.usage(HELP));
        return 0;
    }
    if matches.opt_present("version") {
        println!("sumacvale-compare {}", env!("CARGO_PKG_VERSION"));
        return 0;
    }
    let Some(file) = matches.opt_str("token-file") else { return usage_error("--token-file is missing") };
    let token = match std::fs::read_to_string(&file) {
        Ok(text) => text.trim().to_owned(),
        Err(e) => return usage_error(&format!("--token-file {file}: {e}; name a file that can be read")),
    };
    let compares_all = matches.opt_present("all");
    if matches.free.len() != if compares_all { 1 } else { 2 } {
        return usage_error("name two admin addresses, or one with --all");
    }
    for addr in &matches.free {
        if addr.parse::<std::net::SocketAddr>().is_err() {
            return usage_error(&format!("{addr} is not an IP address and port"));
        }
    }
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => return usage_error(&e.to_string()),
    };
    runtime.block_on(compare_nodes(&matches.free, &token, compares_all))
}

/// Prints an error of the command line or the token file; returns the exit code.
fn usage_error(reason: &str) -> i32 {
    eprintln!("sumacvale-compare: {reason}; see sumacvale-compare --help");
    2
}

/// Compares the first node with the others, prints the differences and returns the exit code.
async fn compare_nodes(admin_addrs: &[String], token: &str, compares_all: bool) -> i32 {
    let first = match fetch::fetch_report(&admin_addrs[0], token).await {
        Ok(report) => report,
        Err(error) => {
            eprintln!("sumacvale-compare: {}: {error}", admin_addrs[0]);
            return 3;
        }
    };
    let other_addrs: Vec<String> =
        if compares_all { first.live_peer_admin_addrs() } else { vec![admin_addrs[1].clone()] };
    let mut exit_code = 0;
    for other_addr in other_addrs {
        let node_code = match fetch::fetch_report(&other_addr, token).await {
            Ok(report) => {
                let differences = compare::compare(&first, &report);
                if differences.is_empty() {
                    println!("{} and {other_addr} agree on version {}", admin_addrs[0], first.version());
                    0
                } else {
                    println!("{} and {other_addr} differ:", admin_addrs[0]);
                    for difference in differences {
                        println!(
                            "  {}: {} | {}  ({})",
                            difference.subject, difference.first, difference.second, difference.hint
                        );
                    }
                    1
                }
            }
            Err(error) => {
                eprintln!("sumacvale-compare: {other_addr}: {error}");
                3
            }
        };
        exit_code = exit_code.max(node_code);
    }
    exit_code
}
