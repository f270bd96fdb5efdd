//! Compares what two nodes believe and says why they differ.

mod compare;
mod fetch;
mod state_report;

use getopts::Options;

const HELP: &str = "sumacvale-compare: compares what two nodes of a fleet believe

Usage: sumacvale-compare --token-file FILE ADMIN ADMIN
       sumacvale-compare --token-file FILE --all ADMIN

ADMIN is the admin address of a node, IP:PORT. With --all the first node is
compared with every node that it knows. The token file holds an operator's token.

Exit code: 0 they agree, 1 they differ, 2 wrong use, 3 a node gave no answer.";

fn main() {
    let a: Vec<String> = std::env::args().skip(1).collect();
    std::process::exit(run(&a));
}

fn run(arguments: &[String]) -> i32 {
    let mut options = Options::new();
    options
        .optopt("", "token-file", "file that holds an operator's token", "FILE")
        .optflag("", "all", "compare the node with all that it knows")
        .optflag("h", "help", "show this help")
        .optflag("V", "version", "show the version");
    let matches = match options.parse(arguments) {
        Ok(matches) => matches,
        Err(e) => return wrong(&e.to_string()),
    };
    if matches.opt_present("help") {
        println!("{}", options.usage(HELP));
        return 0;
    }
    if matches.opt_present("version") {
        println!("sumacvale-compare {}", env!("CARGO_PKG_VERSION"));
        return 0;
    }
    let Some(file) = matches.opt_str("token-file") else { return wrong("--token-file is missing") };
    let token = match std::fs::read_to_string(&file) {
        Ok(s) => s.trim().to_owned(),
        Err(e) => return wrong(&format!("--token-file {file}: {e}; name a file that can be read")),
    };
    let all = matches.opt_present("all");
    if matches.free.len() != if all { 1 } else { 2 } {
        return wrong("name two admin addresses, or one with --all");
    }
    for addr in &matches.free {
        if addr.parse::<std::net::SocketAddr>().is_err() {
            return wrong(&format!("{addr} is no IP address and port"));
        }
    }
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(r) => r,
        Err(e) => return wrong(&e.to_string()),
    };
    runtime.block_on(go(&matches.free, &token, all))
}

fn wrong(s: &str) -> i32 {
    eprintln!("sumacvale-compare: {s}; see sumacvale-compare --help");
    2
}

async fn go(at: &[String], token: &str, all: bool) -> i32 {
    let first = match fetch::take(&at[0], token).await {
        Ok(b) => b,
        Err(e) => {
            eprintln!("sumacvale-compare: {}: {e}", at[0]);
            return 3;
        }
    };
    let others: Vec<String> = if all { first.others() } else { vec![at[1].clone()] };
    let mut code = 0;
    for o in others {
        let c = match fetch::take(&o, token).await {
            Ok(b) => {
                let d = compare::compare(&first, &b);
                if d.is_empty() {
                    println!("{} and {o} agree on version {}", at[0], first.version());
                    0
                } else {
                    println!("{} and {o} differ:", at[0]);
                    for x in d {
                        println!("  {}: {} | {}  ({})", x.what, x.a, x.b, x.why);
                    }
                    1
                }
            }
            Err(e) => {
                eprintln!("sumacvale-compare: {o}: {e}");
                3
            }
        };
        code = code.max(c);
    }
    code
}
