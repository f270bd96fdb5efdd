//! Faults that are planted in a scratch copy of the core, to show that the checker notices them.
//!
//! Each fault removes one guard. All are built into one copy, each behind a switch that the environment
//! variable `PLANTED` turns on; so the copy is built once. A fault whose guard is not found exactly once is an
//! error, not a pass.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Instant;

/// How the line about a violation begins in the output of the checker.
pub const VIOLATION_PREFIX: &str = "BROKEN: ";
/// The list of faults, from the root of the project.
const FAULT_LIST: &str = "crates/checker/planted.txt";
/// The environment variable that names the fault.
const SWITCH_VARIABLE: &str = "PLANTED";

/// One guard that is removed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fault {
    /// The name of the fault, by which it is turned on.
    pub name: String,
    /// What the guard ensures.
    pub guard: String,
    /// The file with the guard, from the root of the project.
    pub file: String,
    /// The text of the guard, which must be in the file exactly once.
    pub find: String,
    /// The text that replaces it.
    pub replacement: String,
    /// The bounds that may notice, in the order in which they are tried.
    pub bounds: Vec<String>,
}

/// The limits of each bound.
#[derive(Clone, Copy, Debug)]
pub struct RunOptions {
    /// A bound ends unfinished after so many seconds.
    pub seconds: u64,
    /// The number of threads.
    pub threads: u64,
}

/// The module of the scratch copy that says whether a fault is planted.
const SWITCH: &str = "//! Which fault is planted.
use std::sync::OnceLock;

pub fn on(name: &str) -> bool {
    static PLANTED: OnceLock<Option<String>> = OnceLock::new();
    PLANTED.get_or_init(|| std::env::var(\"PLANTED\").ok()).as_deref() == Some(name)
}
";

/// Reads a list of faults.
#[must_use]
pub fn parse(text: &str) -> Vec<Fault> {
    let mut faults: Vec<Fault> = Vec::new();
    for line in text.lines() {
        let Some((key, value)) = line.split_once(": ").filter(|_| !line.starts_with('#')) else { continue };
        if key == "fault" {
            faults.push(Fault { name: value.to_owned(), ..Fault::default() });
        }
        let Some(fault) = faults.last_mut() else { continue };
        match key {
            "guard" => value.clone_into(&mut fault.guard),
            "file" => value.clone_into(&mut fault.file),
            "find" => value.clone_into(&mut fault.find),
            "with" => value.clone_into(&mut fault.replacement),
            "run" => fault.bounds = value.split(' ').map(str::to_owned).collect(),
            _ => {}
        }
    }
    faults
}

/// Reads the list of faults of this project.
///
/// # Errors
/// The list could not be read.
pub fn read_list() -> Result<Vec<Fault>, String> {
    Ok(parse(&read(&root(), FAULT_LIST)?))
}

/// Plants all faults below `root`, each behind its name.
///
/// # Errors
/// A file could not be read or written, or a guard is not in its file exactly once.
pub fn plant(root: &Path, faults: &[Fault]) -> Result<(), String> {
    for fault in faults {
        let text = read(root, &fault.file)?;
        let count = text.matches(&fault.find).count();
        if count != 1 {
            return Err(format!(
                "{}: `{}` is {count} times in {}, not once; update the guard in {FAULT_LIST}",
                fault.name, fault.find, fault.file
            ));
        }
        write(root, &fault.file, &text.replace(&fault.find, &fault.replacement))?;
    }
    Ok(())
}

fn read(root: &Path, file: &str) -> Result<String, String> {
    fs::read_to_string(root.join(file)).map_err(|error| format!("{file}: {error}"))
}

fn write(root: &Path, file: &str, text: &str) -> Result<(), String> {
    fs::write(root.join(file), text).map_err(|error| format!("{file}: {error}"))
}

/// Copies the sources that the checker consists of, as a workspace of their own.
///
/// # Errors
/// A file could not be read or written.
pub fn copy_sources(from: &Path, to: &Path) -> Result<(), String> {
    // Nothing is there the first time.
    let _ = fs::remove_dir_all(to);
    for part in ["crates/core", "crates/checker"] {
        copy_directory(&from.join(part), &to.join(part)).map_err(|error| format!("{part}: {error}"))?;
    }
    let manifest = read(from, "Cargo.toml")?;
    let reduced: Vec<_> = manifest
        .lines()
        .map(|line| if line.starts_with("members") { "members = [\"crates/core\", \"crates/checker\"]" } else { line })
        .collect();
    write(to, "Cargo.toml", &reduced.join("\n"))?;
    write(to, "Cargo.lock", &read(from, "Cargo.lock")?)
}

fn copy_directory(from: &Path, to: &Path) -> io::Result<()> {
    fs::create_dir_all(to)?;
    for entry in fs::read_dir(from)? {
        let entry = entry?;
        let target = to.join(entry.file_name());
        if entry.file_type()?.is_dir() {
            copy_directory(&entry.path(), &target)?;
        } else {
            fs::copy(entry.path(), target)?;
        }
    }
    Ok(())
}

/// The root of this project.
#[must_use]
pub fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Plants each fault in turn (all if `names` is empty), explores its bounds and prints what noticed it.
/// Returns whether each was noticed.
///
/// # Errors
/// The copy could not be made or built.
pub fn run(names: &[String], options: RunOptions) -> Result<bool, String> {
    let faults = read_list()?;
    let checker = build_planted(&faults)?;
    println!("| fault | guard | caught by | what broke | states | steps | seconds |\n|---|---|---|---|---|---|---|");
    let mut are_all_noticed = true;
    for fault in faults.iter().filter(|fault| names.is_empty() || names.contains(&fault.name)) {
        are_all_noticed &= try_fault(fault, &checker, options);
    }
    Ok(are_all_noticed)
}

/// Builds a copy of the checker with all faults behind their switches; returns the path of the program.
fn build_planted(faults: &[Fault]) -> Result<PathBuf, String> {
    let scratch = root().join("target/planted");
    let sources = scratch.join("sources");
    copy_sources(&root(), &sources)?;
    plant(&sources, faults)?;
    write(&sources, "crates/core/src/planted.rs", SWITCH)?;
    let library = "crates/core/src/lib.rs";
    let text = read(&sources, library)?;
    write(&sources, library, &format!("{text}\npub mod planted;\n"))?;
    let target = scratch.join("target");
    let build = Command::new("cargo")
        .args(["build", "--release", "--offline", "-p", "sumacvale-checker"])
        .current_dir(&sources)
        .env("CARGO_TARGET_DIR", &target)
        .status();
    if !build.is_ok_and(|status| status.success()) {
        return Err(format!("the copy with the planted faults does not build; correct the texts in {FAULT_LIST}"));
    }
    Ok(target.join("release/checker"))
}

/// Explores the bounds of a fault until one notices it, and prints a row of the table.
fn try_fault(fault: &Fault, checker: &Path, options: RunOptions) -> bool {
    let started_at = Instant::now();
    for bound in &fault.bounds {
        let output = Command::new(checker)
            .args([bound, "--seconds", &options.seconds.to_string(), "--threads", &options.threads.to_string()])
            .env(SWITCH_VARIABLE, &fault.name)
            .output();
        let output = output.map(|output| String::from_utf8_lossy(&output.stdout).into_owned()).unwrap_or_default();
        let Some(violation) = output.lines().find_map(|line| line.strip_prefix(VIOLATION_PREFIX)) else { continue };
        let states = output.split_whitespace().skip_while(|word| *word != "states").nth(1).unwrap_or("?");
        let steps = output.lines().filter(|line| line.starts_with(' ')).count();
        let rule = violation.split(':').next().unwrap_or(violation);
        println!(
            "| {} | {} | {bound} | {rule} | {states} | {steps} | {:.1} |",
            fault.name,
            fault.guard,
            started_at.elapsed().as_secs_f64()
        );
        return true;
    }
    println!("| {} | {} | NOT CAUGHT by {} | | | | |", fault.name, fault.guard, fault.bounds.join(", "));
    false
}
