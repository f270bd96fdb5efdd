//! The options of every subcommand but `hollow`, which reads its own.

use super::fail;
use getopts::{Matches, Options};

/// What stands above the list of options in the help text.
const USAGE: &str = "testbed: tries a sumacvale fleet on this machine

Usage:
  testbed fleet [flags]   processes of sumacvale on loopback, with traffic and troubles
  testbed sim [flags]     the core in virtual time, from seeds
  testbed lookups         what a lookup in the layered cache costs
  testbed bounds          what ways to bound a quota admit and refuse
  testbed place [flags]   model workers in virtual time, by ways to choose among them
  testbed hollow ...      what hundreds of nodes cost (see testbed hollow --help)";

/// Options as parsed, with typed access; an unusable value ends the process with a message.
pub struct Arguments(Matches);

impl Arguments {
    /// Parses the arguments. Gives none after printing the help text, where help was
    /// requested or no subcommand was named.
    pub fn parse(arguments: &[String]) -> Option<Self> {
        let options = options();
        let matches = options.parse(arguments).unwrap_or_else(|error| fail(&format!("{error}; see testbed --help")));
        if matches.opt_present("help") || matches.free.is_empty() {
            println!("{}", options.usage(USAGE));
            return None;
        }
        Some(Arguments(matches))
    }

    /// The name of the subcommand: the first free argument.
    pub fn subcommand(&self) -> &str {
        &self.0.free[0]
    }

    /// Whether the flag `--name` is set.
    pub fn flag(&self, name: &str) -> bool {
        self.0.opt_present(name)
    }

    /// The text of `--name`, where it is set.
    pub fn text(&self, name: &str) -> Option<String> {
        self.0.opt_str(name)
    }

    /// The whole number of `--name`, or the default where it is not set.
    pub fn number(&self, name: &str, default: u64) -> u64 {
        match self.0.opt_str(name) {
            None => default,
            Some(text) => text.parse().unwrap_or_else(|_| fail(&format!("--{name}: {text} is no whole number"))),
        }
    }

    /// The count of `--name`, or the default where it is not set or does not fit.
    pub fn count(&self, name: &str, default: usize) -> usize {
        usize::try_from(self.number(name, default as u64)).unwrap_or(default)
    }

    /// The deployment of `--deployment` by `named`; mtatsminda where it is not set.
    pub fn deployment<T>(&self, named: impl Fn(&str) -> Option<T>) -> T {
        let name = self.text("deployment").unwrap_or_else(|| "mtatsminda".into());
        named(&name).unwrap_or_else(|| unknown_deployment())
    }
}

/// Ends the process: no deployment has this name.
pub fn unknown_deployment() -> ! {
    fail("--deployment: use mtatsminda or derwent")
}

fn options() -> Options {
    let mut options = Options::new();
    options
        .optopt("", "deployment", "mtatsminda or derwent (sim: its whole day, with --profile day)", "NAME")
        .optopt("", "seconds", "how long traffic runs", "N")
        .optopt("", "seed", "the first seed", "N")
        .optopt("", "seeds", "how many seeds", "N")
        .optopt("", "profile", "one kind of faults only", "NAME")
        .optopt("", "scale", "percent of the deployment's traffic", "N")
        .optopt("", "fronts", "sim: how many fronts", "N")
        .optopt("", "quota", "sim: window or rate, the form of the tenants' quotas", "FORM")
        .optopt("", "way", "place: one way only", "NAME")
        .optopt("", "near", "place: the weight against bytes between zones, in hundredths", "N")
        .optopt("", "reread", "place: the weight against reading shared parts again", "N")
        .optopt("", "spread", "place: the weight against late first pieces", "N")
        .optopt("", "hot", "place: percent of the summaries that are about one subject", "N")
        .optopt("", "burst", "place: percent of the usual chats in the middle third", "N")
        .optopt("", "workers", "place: how many workers instead of the deployment's", "N")
        .optflag("", "lose", "place: a third of the workers is lost for a third of the time")
        .optflag("", "calm", "fleet: no troubles")
        .optflag("", "trace", "sim: print what was done to the fleet")
        .optflag("h", "help", "show this help");
    options
}
