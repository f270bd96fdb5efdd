//! The command line: its flags, and the action that it requests.

use super::read::{Settings, SettingsError, SettingsOverrides, read};
use getopts::Options;

/// The text that `--help` prints before the list of flags.
pub const HELP: &str = "sumacvale: runs one node of a sumacvale fleet

Usage: sumacvale --env FILE [flags]

A flag overrides the same setting in the file. A node with a data folder is a
core, any other node is a front.";

/// The action that the command line requests.
#[derive(Debug)]
pub enum CommandLineAction {
    /// Run a node with these settings.
    Run(Box<Settings>),
    /// `--check`: the settings are valid; exit without opening anything.
    Checked(Box<Settings>),
    /// `--help` or `--version`: print this text and exit.
    Print(String),
    /// `--import`: the configuration to print, and the operations that it leaves out.
    Import(String, Vec<String>),
    /// The command line or the settings are invalid.
    Invalid(Vec<SettingsError>),
}

fn flags() -> Options {
    let mut options = Options::new();
    options
        .optopt("", "env", "settings file, one JSON object", "FILE")
        .optopt("", "peer", "listen address for the other nodes", "IP:PORT")
        .optopt("", "admin", "listen address for operators and workers", "IP:PORT")
        .optopt("", "downstream", "listen address for callers", "IP:PORT")
        .optopt("", "zone", "zone of this machine", "NAME")
        .optmulti("", "seed", "peer address of a node to join through; give one to three", "IP:PORT")
        .optopt("", "data", "data folder; makes this node a core", "FOLDER")
        .optopt("", "import", "print a configuration with the matches of an OpenAPI file, and exit", "FILE")
        .optopt("", "pool", "with --import: pool of the matches", "NAME")
        .optflag("", "check", "check the settings, open nothing, and exit")
        .optflag("h", "help", "print this help")
        .optflag("V", "version", "print the version");
    options
}

/// Parses the arguments that follow the program's name, and reads the settings file that `--env` names.
pub fn parse_command_line(args: &[String]) -> CommandLineAction {
    let flags = flags();
    let given = match flags.parse(args) {
        Ok(given) => given,
        Err(e) => return CommandLineAction::Invalid(vec![SettingsError::Flag(e.to_string())]),
    };
    if given.opt_present("help") {
        return CommandLineAction::Print(flags.usage(HELP));
    }
    if given.opt_present("version") {
        return CommandLineAction::Print(format!("sumacvale {}", env!("CARGO_PKG_VERSION")));
    }
    if let Some(argument) = given.free.first() {
        return CommandLineAction::Invalid(vec![SettingsError::Flag(format!("unexpected argument {argument}"))]);
    }
    if let Some(path) = given.opt_str("import") {
        let pool = given.opt_str("pool").unwrap_or_else(|| "app".into());
        let imported = std::fs::read_to_string(&path)
            .map_err(|e| e.to_string())
            .and_then(|text| crate::import::generate_config(&text, &pool));
        return match imported {
            Ok((document, left_out)) => CommandLineAction::Import(document, left_out),
            Err(reason) => CommandLineAction::Invalid(vec![SettingsError::Import { file: path, reason }]),
        };
    }
    let overrides = SettingsOverrides {
        peer: given.opt_str("peer"),
        admin: given.opt_str("admin"),
        downstream: given.opt_str("downstream"),
        zone: given.opt_str("zone"),
        seeds: given.opt_strs("seed"),
        data: given.opt_str("data"),
    };
    let settings_text = match given.opt_str("env") {
        None => None,
        Some(path) => match std::fs::read_to_string(&path) {
            Ok(text) => Some(text),
            Err(e) => {
                return CommandLineAction::Invalid(vec![SettingsError::File { file: path, reason: e.to_string() }]);
            }
        },
    };
    match read(settings_text.as_deref(), &overrides) {
        Err(errors) => CommandLineAction::Invalid(errors),
        Ok(settings) if given.opt_present("check") => CommandLineAction::Checked(Box::new(settings)),
        Ok(settings) => CommandLineAction::Run(Box::new(settings)),
    }
}
