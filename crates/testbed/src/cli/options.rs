//! The options of all subcommands except `hollow`, which parses its own.

use super::fail;
use getopts::{Matches, Options};

/// The help text above the list of options.
const USAGE: &str = "testbed: tests a sumacvale fleet on this machine

Usage:
  testbed fleet [flags]   run processes of sumacvale on loopback, with traffic and faults
  testbed retry-soak [flags]  soak the retry budget: processes, workers that fail, signals in series
  testbed stop-soak [flags]   soak planned work: stops, reloads, changes; workers that are silent
  testbed sim [flags]     simulate the core in virtual time, from seeds
  testbed lookups         measure the cost of a lookup in the layered cache
  testbed bounds          compare how quota bounds admit and reject calls
  testbed place [flags]   emulate model workers and compare placement strategies
  testbed hollow ...      measure the cost of hundreds of nodes (see testbed hollow --help)";

/// The parsed options, with typed access. An invalid value ends the process with an error message.
pub struct Arguments(Matches);

impl Arguments {
    /// Parses the arguments. If help was requested or no subcommand was given, prints the help text and
    /// returns `None`.
    pub fn parse(arguments: &[String]) -> Option<Self> {
        let options = options();
        let matches = options.parse(arguments).unwrap_or_else(|error| fail(&format!("{error}; see testbed --help")));
        if matches.opt_present("help") || matches.free.is_empty() {
            println!("{}", options.usage(USAGE));
            return None;
        }
        Some(Arguments(matches))
    }

    /// Returns the name of the subcommand, the first free argument.
    pub fn subcommand(&self) -> &str {
        &self.0.free[0]
    }

    /// Returns true if the flag `--name` is set.
    pub fn has_flag(&self, name: &str) -> bool {
        self.0.opt_present(name)
    }

    /// Returns the text of `--name`, if it is set.
    pub fn text(&self, name: &str) -> Option<String> {
        self.0.opt_str(name)
    }

    /// Returns the whole number of `--name`, or the default if it is not set.
    pub fn number(&self, name: &str, default: u64) -> u64 {
        match self.0.opt_str(name) {
            None => default,
            Some(text) => text.parse().unwrap_or_else(|_| fail(&format!("--{name}: {text} is not a whole number"))),
        }
    }

    /// Returns the count of `--name`, or the default if it is not set or does not fit a `usize`.
    pub fn count(&self, name: &str, default: usize) -> usize {
        usize::try_from(self.number(name, default as u64)).unwrap_or(default)
    }

    /// Looks up the name of `--deployment` with `find`; the default name is mtatsminda.
    pub fn deployment<T>(&self, find: impl Fn(&str) -> Option<T>) -> T {
        let name = self.text("deployment").unwrap_or_else(|| "mtatsminda".into());
        find(&name).unwrap_or_else(|| unknown_deployment())
    }
}

/// Ends the process with an error, as no deployment has the given name.
pub fn unknown_deployment() -> ! {
    fail("--deployment: use mtatsminda or derwent")
}

/// Returns the options of all subcommands.
fn options() -> Options {
    let mut options = Options::new();
    options
        .optopt("", "deployment", "mtatsminda or derwent (sim: its whole day, with --profile day)", "NAME")
        .optopt("", "seconds", "the time for which calls arrive, in seconds", "N")
        .optopt("", "seed", "the first seed", "N")
        .optopt("", "seeds", "the number of seeds", "N")
        .optopt("", "profile", "sim: one fault profile only", "NAME")
        .optopt("", "scale", "the traffic in percent of the deployment's", "N")
        .optopt("", "fronts", "retry-soak, stop-soak, sim, place: the number of fronts", "N")
        .optopt("", "clients", "stop-soak: the number of clients", "N")
        .optopt("", "quota", "sim: the form of quotas, window or rate", "FORM")
        .optopt("", "way", "place: one strategy only", "NAME")
        .optopt("", "near", "place: the weight of bytes between zones, in percent of the default", "N")
        .optopt(
            "",
            "reread",
            "place: the weight of repeated prefill of shared segments, in percent of the default",
            "N",
        )
        .optopt("", "spread", "place: the weight of late first events, in percent of the default", "N")
        .optopt("", "hot", "place: percent of the summaries about one subject in the middle third", "N")
        .optopt("", "burst", "place: the rate of chats in the middle third, in percent of the usual", "N")
        .optopt("", "workers", "place: the number of workers instead of the deployment's", "N")
        .optflag("", "lose", "place: a third of the workers is down in the middle third")
        .optflag("", "calm", "fleet: inject no faults")
        .optflag("", "trace", "sim: print the injected faults and other events")
        .optflag("h", "help", "show this help");
    options
}
