//! Faults that are planted in a scratch copy of the core, to see that the checker catches them.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Instant;

/// One guard that is taken away.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fault {
    pub name: String,
    pub guard: String,
    pub file: String,
    pub find: String,
    pub with: String,
    /// The bounds that may catch it, in the order in which they are tried.
    pub run: Vec<String>,
}

/// What the scratch copy of the core asks whether a fault is planted.
const SWITCH: &str = "//! Which fault is planted.
use std::sync::OnceLock;

pub fn on(name: &str) -> bool {
    static PLANTED: OnceLock<Option<String>> = OnceLock::new();
    PLANTED.get_or_init(|| std::env::var(\"PLANTED\").ok()).as_deref() == Some(name)
}
";

/// Reads the list of faults.
pub fn read(text: &str) -> Vec<Fault> {
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
            "with" => value.clone_into(&mut fault.with),
            "run" => fault.run = value.split(' ').map(str::to_owned).collect(),
            _ => {}
        }
    }
    faults
}

/// Plants all faults below `root`, each behind its name. Fails where a guard isn't found once.
pub fn plant(root: &Path, faults: &[Fault]) -> Result<(), String> {
    for fault in faults {
        let path = root.join(&fault.file);
        let text = fs::read_to_string(&path).map_err(|e| format!("{}: {e}", fault.file))?;
        let times = text.matches(&fault.find).count();
        if times != 1 {
            return Err(format!(
                "{}: `{}` stands {times} times in {}; name the guard anew in planted.txt",
                fault.name, fault.find, fault.file
            ));
        }
        fs::write(&path, text.replace(&fault.find, &fault.with)).map_err(|e| format!("{}: {e}", fault.file))?;
    }
    Ok(())
}

/// Copies the sources that the checker consists of.
pub fn copy_sources(from: &Path, to: &Path) -> Result<(), String> {
    let _ = fs::remove_dir_all(to);
    for part in ["crates/core", "crates/checker"] {
        copy(&from.join(part), &to.join(part)).map_err(|e| format!("{part}: {e}"))?;
    }
    let manifest = fs::read_to_string(from.join("Cargo.toml")).map_err(|e| format!("Cargo.toml: {e}"))?;
    let alone: Vec<_> = manifest
        .lines()
        .map(|l| if l.starts_with("members") { "members = [\"crates/core\", \"crates/checker\"]" } else { l })
        .collect();
    fs::write(to.join("Cargo.toml"), alone.join("\n")).map_err(|e| format!("Cargo.toml: {e}"))?;
    fs::copy(from.join("Cargo.lock"), to.join("Cargo.lock")).map_err(|e| format!("Cargo.lock: {e}"))?;
    Ok(())
}

fn copy(from: &Path, to: &Path) -> std::io::Result<()> {
    fs::create_dir_all(to)?;
    for entry in fs::read_dir(from)? {
        let entry = entry?;
        let target = to.join(entry.file_name());
        if entry.file_type()?.is_dir() {
            copy(&entry.path(), &target)?;
        } else {
            fs::copy(entry.path(), target)?;
        }
    }
    Ok(())
}

/// The root of this project.
pub fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Plants each fault in turn, runs its bounds and prints what caught it; false if one wasn't.
pub fn run(only: &[String], seconds: u64, threads: u64) -> Result<bool, String> {
    let root = root();
    let faults = read(&fs::read_to_string(root.join("crates/checker/planted.txt")).map_err(|e| e.to_string())?);
    let scratch = root.join("target/planted");
    let sources = scratch.join("sources");
    copy_sources(&root, &sources)?;
    plant(&sources, &faults)?;
    fs::write(sources.join("crates/core/src/planted.rs"), SWITCH).map_err(|e| e.to_string())?;
    let lib = sources.join("crates/core/src/lib.rs");
    let text = fs::read_to_string(&lib).map_err(|e| e.to_string())?;
    fs::write(&lib, text.replace("pub mod place;", "pub mod place;\npub mod planted;")).map_err(|e| e.to_string())?;
    let build = Command::new("cargo")
        .args(["build", "--release", "--offline", "-p", "sumacvale-checker"])
        .current_dir(&sources)
        .env("CARGO_TARGET_DIR", scratch.join("target"))
        .status();
    if !build.is_ok_and(|s| s.success()) {
        return Err("the copy with the planted faults does not build: look at planted.txt".into());
    }
    println!("| fault | guard | caught by | what broke | states | steps | seconds |\n|---|---|---|---|---|---|---|");
    let mut all = true;
    for fault in faults.iter().filter(|f| only.is_empty() || only.contains(&f.name)) {
        all &= try_fault(fault, &scratch.join("target/release/checker"), seconds, threads);
    }
    Ok(all)
}

fn try_fault(fault: &Fault, model: &Path, seconds: u64, threads: u64) -> bool {
    let began = Instant::now();
    for bound in &fault.run {
        let (most, threads) = (seconds.to_string(), threads.to_string());
        let out = Command::new(model)
            .args([bound, "--seconds", &most, "--threads", &threads])
            .env("PLANTED", &fault.name)
            .output();
        let text = out.map(|o| String::from_utf8_lossy(&o.stdout).into_owned()).unwrap_or_default();
        let Some(what) = text.lines().find_map(|l| l.strip_prefix("BROKEN: ")) else { continue };
        let states = text.split_whitespace().skip_while(|w| *w != "states").nth(1).unwrap_or("?");
        let steps = text.lines().filter(|l| l.starts_with(' ')).count();
        let rule = what.split(':').next().unwrap_or(what);
        println!(
            "| {} | {} | {bound} | {rule} | {states} | {steps} | {:.1} |",
            fault.name,
            fault.guard,
            began.elapsed().as_secs_f64()
        );
        return true;
    }
    println!("| {} | {} | NOT CAUGHT by {} | | | | |", fault.name, fault.guard, fault.run.join(", "));
    false
}
