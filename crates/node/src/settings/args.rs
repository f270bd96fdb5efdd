//! The command line.

use super::read::{Settings, SettingsError, SettingsOverrides, read};
use getopts::Options;

/// What `--help` prints.
pub const HELP: &str = "sumacvale: the one program of a sumacvale fleet

Usage: sumacvale --env FILE [flags]

A flag goes before the same setting in the file. With a data folder the node
is a core, else a front.";

/// What the command line requests.
#[derive(Debug)]
pub enum CommandLineAction {
    /// Run a node with these settings.
    Run(Box<Settings>),
    /// `--check`: the settings are valid; open nothing and stop.
    Checked(Box<Settings>),
    /// `--help` or `--version`: print this text and stop.
    Print(String),
    /// `--import`: the configuration to print, and what was left out of it.
    Import(String, Vec<String>),
    /// The command line or the settings are invalid.
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

/// Parses the command line, without the name of the program, and reads the settings file it names.
pub fn parse_command_line(args: &[String]) -> CommandLineAction {
    let known = options();
    let matches = match known.parse(args) {
        Ok(matches) => matches,
        Err(e) => return CommandLineAction::Invalid(vec![SettingsError::Flag(e.to_string())]),
    };
    if matches.opt_present("help") {
        return CommandLineAction::Print(known.usage(HELP));
    }
    if matches.opt_present("version") {
        return CommandLineAction::Print(format!("sumacvale {}", env!("CARGO_PKG_VERSION")));
    }
    if let Some(word) = matches.free.first() {
        return CommandLineAction::Invalid(vec![SettingsError::Flag(format!("unexpected word {word}"))]);
    }
    if let Some(path) = matches.opt_str("import") {
        let pool = matches.opt_str("pool").unwrap_or_else(|| "app".into());
        let imported =
            std::fs::read_to_string(&path).map_err(|e| e.to_string()).and_then(|s| crate::import::import(&s, &pool));
        return match imported {
            Ok((document, left_out)) => CommandLineAction::Import(document, left_out),
            Err(why) => CommandLineAction::Invalid(vec![SettingsError::Import { file: path, why }]),
        };
    }
    let overrides = SettingsOverrides {
        peer: matches.opt_str("peer"),
        admin: matches.opt_str("admin"),
        downstream: matches.opt_str("downstream"),
        zone: matches.opt_str("zone"),
        seeds: matches.opt_strs("seed"),
        data: matches.opt_str("data"),
    };
    let text = match matches.opt_str("env") {
        None => None,
        Some(path) => match std::fs::read_to_string(&path) {
            Ok(s) => Some(s),
            Err(e) => return CommandLineAction::Invalid(vec![SettingsError::File { file: path, why: e.to_string() }]),
        },
    };
    match read(text.as_deref(), &overrides) {
        Err(errors) => CommandLineAction::Invalid(errors),
        Ok(settings) if matches.opt_present("check") => CommandLineAction::Checked(Box::new(settings)),
        Ok(settings) => CommandLineAction::Run(Box::new(settings)),
    }
}
