//! The cases of the second review that are scripts: `review-cases CASE RECORD`. Exits with 1 if the rule was broken, with
//! 0 if it held, and with 2 if the case couldn't run. With `TROUBLE=0` in the environment the disruption is left out.

mod deep_document;
mod fleet;
mod foreign_outcome;
mod http;
mod record;
mod refused_in_force;

use record::Record;
use std::path::Path;
use std::process::ExitCode;

/// What a case found.
pub enum Verdict {
    Broken(String),
    Held(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: review-cases CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(Path::new(path)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{path}: {error}");
            return ExitCode::from(2);
        }
    };
    let verdict = match case.as_str() {
        "deep-document" => deep_document::run(trouble, &record),
        "foreign-outcome" => foreign_outcome::run(trouble, &record),
        "refused-in-force" => refused_in_force::run(trouble, &record),
        _ => Err(format!("no case {case}")),
    };
    match verdict {
        Ok(Verdict::Broken(what)) => {
            record.line(&format!("BROKEN: {what}"));
            ExitCode::from(1)
        }
        Ok(Verdict::Held(what)) => {
            record.line(&format!("held: {what}"));
            ExitCode::SUCCESS
        }
        Err(reason) => {
            record.line(&format!("could not run: {reason}"));
            ExitCode::from(2)
        }
    }
}
