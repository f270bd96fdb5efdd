//! The command line.

use super::read::{Settings, SettingsError, SettingsOverrides, read};
use getopts::Options;

/// What `--help` prints.
pub const HELP: &str = "sumacvale: the one program of a sumacvale fleet

Usage: sumacvale --env FILE [flags]

A flag goes before the same setting in the file. With a data folder the node
is a core, else a front.";

/// What the command line asks for.
#[derive(Debug)]
pub enum CommandLineAction {
    Run(Box<Settings>),
    Checked(Box<Settings>),
    Print(String),
    /// A tree to print, and what was left out of it.
    Import(String, Vec<String>),
    Invalid(Vec<SettingsError>),
}

fn options() -> Options {
    let mut o = Options::new();
    o.optopt("", "env", "settings file, one JSON object", "FILE")
        .optopt("", "peer", "address for the other nodes", "IP:PORT")
        .optopt("", "admin", "address for operators and workers", "IP:PORT")
        .optopt("", "downstream", "address for callers", "IP:PORT")
        .optopt("", "zone", "zone of this machine", "NAME")
        .optmulti("", "seed", "peer address of a first contact; give one to three", "IP:PORT")
        .optopt("", "data", "data folder; makes this node a core", "FOLDER")
        .optopt("", "import", "print a tree with the matches of an OpenAPI file, and stop", "FILE")
        .optopt("", "pool", "with --import: the pool of the matches", "NAME")
        .optflag("", "check", "judge the settings, open nothing, and stop")
        .optflag("h", "help", "show this help")
        .optflag("V", "version", "show the version");
    o
}

/// What the command line asks for.
pub fn parse_command_line(args: &[String]) -> CommandLineAction {
    let o = options();
    let m = match o.parse(args) {
        Ok(m) => m,
        Err(e) => return CommandLineAction::Invalid(vec![SettingsError::Flag(e.to_string())]),
    };
    if m.opt_present("help") {
        return CommandLineAction::Print(o.usage(HELP));
    }
    if m.opt_present("version") {
        return CommandLineAction::Print(format!("sumacvale {}", env!("CARGO_PKG_VERSION")));
    }
    if let Some(f) = m.free.first() {
        return CommandLineAction::Invalid(vec![SettingsError::Flag(format!("unexpected word {f}"))]);
    }
    if let Some(p) = m.opt_str("import") {
        let pool = m.opt_str("pool").unwrap_or_else(|| "app".into());
        let r = std::fs::read_to_string(&p).map_err(|e| e.to_string()).and_then(|s| crate::import::import(&s, &pool));
        return match r {
            Ok((s, out)) => CommandLineAction::Import(s, out),
            Err(why) => CommandLineAction::Invalid(vec![SettingsError::Import { file: p, why }]),
        };
    }
    let f = SettingsOverrides {
        peer: m.opt_str("peer"),
        admin: m.opt_str("admin"),
        downstream: m.opt_str("downstream"),
        zone: m.opt_str("zone"),
        seeds: m.opt_strs("seed"),
        data: m.opt_str("data"),
    };
    let text = match m.opt_str("env") {
        None => None,
        Some(p) => match std::fs::read_to_string(&p) {
            Ok(s) => Some(s),
            Err(e) => return CommandLineAction::Invalid(vec![SettingsError::File { file: p, why: e.to_string() }]),
        },
    };
    match read(text.as_deref(), &f) {
        Err(v) => CommandLineAction::Invalid(v),
        Ok(e) if m.opt_present("check") => CommandLineAction::Checked(Box::new(e)),
        Ok(e) => CommandLineAction::Run(Box::new(e)),
    }
}
