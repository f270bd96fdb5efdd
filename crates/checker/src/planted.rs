//! Mutation testing: plants faults in a scratch copy of the core to show that the checker detects them.
//!
//! Each fault removes one guard. The copy is built once with all faults, and the environment variable `PLANTED`
//! selects the active fault. A fault whose guard is not found exactly once is an error, not a pass.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Instant;

/// The prefix of the line that reports a violation in the output of the checker.
pub const VIOLATION_PREFIX: &str = "BROKEN: ";
/// The path of the list of faults, relative to the root of the project.
const FAULT_LIST: &str = "crates/checker/planted.txt";
/// The environment variable that names the active fault.
const SWITCH_VARIABLE: &str = "PLANTED";

/// A fault that removes one guard.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fault {
    /// The name of the fault, as `PLANTED` gives it.
    pub name: String,
    /// The property that the guard ensures.
    pub guard: String,
    /// The path of the file with the guard, relative to the root of the project.
    pub file: String,
    /// The text of the guard. Invariant: occurs exactly once in the file.
    pub find: String,
    /// The text that replaces the guard.
    pub replacement: String,
    /// The bounds that may detect the fault, in the order in which they are explored.
    pub bounds: Vec<String>,
}

/// The limits of the exploration of each bound.
#[derive(Clone, Copy, Debug)]
pub struct RunOptions {
    /// The time limit for a bound, in seconds.
    pub seconds: u64,
    /// The number of threads.
    pub threads: u64,
}

/// The source of the module in the scratch copy that reads whether a fault is active.
const SWITCH: &str = "//! Which fault is planted.
use std::sync::OnceLock;

pub fn on(name: &str) -> bool {
    static PLANTED: OnceLock<Option<String>> = OnceLock::new();
    PLANTED.get_or_init(|| std::env::var(\"PLANTED\").ok()).as_deref() == Some(name)
}
";

/// Parses a list of faults.
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

/// Plants all faults in the sources below `root`. Each fault is inactive until `PLANTED` names it.
///
/// # Errors
/// A file could not be read or written, or a guard is not in its file exactly once.
pub fn plant(root: &Path, faults: &[Fault]) -> Result<(), String> {
    for fault in faults {
        let text = read(root, &fault.file)?;
        let count = text.matches(&fault.find).count();
        if count != 1 {
            return Err(format!(
                "{}: `{}` occurs {count} times in {}, expected once; update the guard in {FAULT_LIST}",
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

/// Copies the core and the checker into a separate workspace.
///
/// # Errors
/// A file could not be read or written.
pub fn copy_workspace(from: &Path, to: &Path) -> Result<(), String> {
    // The directory doesn't exist on the first run.
    let _ = fs::remove_dir_all(to);
    for part in ["crates/core", "crates/checker"] {
        copy_directory_recursively(&from.join(part), &to.join(part)).map_err(|error| format!("{part}: {error}"))?;
    }
    let manifest = read(from, "Cargo.toml")?;
    let reduced: Vec<_> = manifest
        .lines()
        .map(|line| if line.starts_with("members") { "members = [\"crates/core\", \"crates/checker\"]" } else { line })
        .collect();
    write(to, "Cargo.toml", &reduced.join("\n"))?;
    write(to, "Cargo.lock", &read(from, "Cargo.lock")?)
}

fn copy_directory_recursively(from: &Path, to: &Path) -> io::Result<()> {
    fs::create_dir_all(to)?;
    for entry in fs::read_dir(from)? {
        let entry = entry?;
        let target = to.join(entry.file_name());
        if entry.file_type()?.is_dir() {
            copy_directory_recursively(&entry.path(), &target)?;
        } else {
            fs::copy(entry.path(), target)?;
        }
    }
    Ok(())
}

/// Returns the root of this project.
#[must_use]
pub fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Activates each named fault in turn (all if `names` is empty), explores its bounds and prints which bound
/// detected the fault. Returns true if all faults were detected.
///
/// # Errors
/// The copy could not be made or built.
pub fn run(names: &[String], options: RunOptions) -> Result<bool, String> {
    let faults = read_list()?;
    let checker = build_planted(&faults)?;
    println!("| fault | guard | caught by | what broke | states | steps | seconds |\n|---|---|---|---|---|---|---|");
    let mut are_all_detected = true;
    for fault in faults.iter().filter(|fault| names.is_empty() || names.contains(&fault.name)) {
        are_all_detected &= run_fault(fault, &checker, options);
    }
    Ok(are_all_detected)
}

/// Builds a copy of the checker with all faults, initially inactive; returns the path of the binary.
fn build_planted(faults: &[Fault]) -> Result<PathBuf, String> {
    let scratch = root().join("target/planted");
    let sources = scratch.join("sources");
    copy_workspace(&root(), &sources)?;
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
        return Err(format!("the copy with the planted faults does not build; correct the entries in {FAULT_LIST}"));
    }
    Ok(target.join("release/checker"))
}

/// Explores the bounds of a fault until one detects the fault, and prints a row of the table. Returns true if the
/// fault was detected.
fn run_fault(fault: &Fault, checker: &Path, options: RunOptions) -> bool {
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
