//! Reads and checks the settings of the settings file and the command line.

use crate::disk::{PROBE_FILE, folder_error};
use displaydoc::Display;
use sonic_rs::{JsonContainerTrait, JsonValueTrait, Value};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use sumacvale_core::base::{MS, Micros};
use sumacvale_core::config::check::check_syntax_with_limit;
use sumacvale_core::retry::{MIN_WINDOW, RetryLimits};

/// The settings of this node, all checked before any file or listener is opened.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address of the listener for other nodes (`peer`); has no default.
    pub peer_addr: SocketAddr,
    /// Address of the listener for operators and workers (`admin`); has no default.
    pub admin_addr: SocketAddr,
    /// Address of the listener for callers (`downstream`); `None` on a node that serves control only.
    pub downstream_addr: Option<SocketAddr>,
    /// Zone of this node (`zone`): 1 to 64 bytes without blanks; has no default.
    pub zone: String,
    /// One to three peer addresses at which this node joins the fleet (`seeds`); has no default.
    pub seeds: Vec<SocketAddr>,
    /// Folder of the durable state (`data`). A node with a data folder is a core; `None` by default.
    pub data_folder: Option<PathBuf>,
    /// How cores become members and voters (`members`).
    pub membership: MembershipSettings,
    /// SHA-256 hashes of operators' tokens, each 64 hex digits in lower case (`operators`).
    pub operator_token_hashes: Vec<String>,
    /// SHA-256 hashes of workers' tokens, each 64 hex digits in lower case (`workers`); empty by default.
    pub worker_token_hashes: Vec<String>,
    /// Interval between the reports of one worker in microseconds (`beat_ms`); 500 ms by default.
    pub report_interval: Micros,
    /// True if workers report to cores only (`beat_to`: `cores`), false if to any node; false by default.
    pub workers_report_to_cores_only: bool,
    /// How long the node reports that it is not ready before the listener for callers closes, in
    /// microseconds (`notice_ms`); 2 s by default.
    pub drain_notice: Micros,
    /// How long calls in flight may take after the listener has closed, in microseconds (`grace_ms`);
    /// 25 s by default.
    pub shutdown_grace: Micros,
    /// Number of worker threads of the runtime (`threads`). Without the setting, the number of
    /// processor cores, at most 2; [`Settings::default`] has 1.
    pub worker_threads: usize,
    /// Maximum number of queued calls (`waitlist`); 256 by default.
    pub max_queued_calls: usize,
    /// Maximum number of open connections (`connections`). Without the setting, 4096;
    /// [`Settings::default`] has 2048.
    pub max_connections: usize,
    /// Maximum size of all buffered bodies together in bytes (`bodies_mib`, in MiB); 256 MiB by default.
    pub max_body_bytes: usize,
    /// Limits of the retries of the whole fleet at each pool (`retry_percent` of the requests for it, 20 by default, in
    /// each `retry_window_ms`, 10 s by default, and `retry_slack` beside that, 50 by default); the same at all nodes.
    pub retry_limits: RetryLimits,
}

impl Default for Settings {
    fn default() -> Self {
        let none = SocketAddr::from(([127, 0, 0, 1], 0));
        Settings {
            peer_addr: none,
            admin_addr: none,
            downstream_addr: None,
            zone: String::new(),
            seeds: Vec::new(),
            data_folder: None,
            membership: MembershipSettings::default(),
            operator_token_hashes: Vec::new(),
            worker_token_hashes: Vec::new(),
            report_interval: 500 * MS,
            workers_report_to_cores_only: false,
            drain_notice: 2_000 * MS,
            shutdown_grace: 25_000 * MS,
            worker_threads: 1,
            max_queued_calls: 256,
            max_connections: 2_048,
            max_body_bytes: 256 << 20,
            retry_limits: RetryLimits::default(),
        }
    }
}

impl Settings {
    /// Divides the microseconds that a shutdown may take into `drain_notice`, in which callers move to
    /// other nodes, and `shutdown_grace`, in which calls in flight finish.
    pub fn set_shutdown_budget(&mut self, t: Micros) {
        self.drain_notice = (t * 3 / 10).min(2_400 * MS);
        self.shutdown_grace = (t - self.drain_notice).saturating_sub((t / 16).max(300 * MS));
    }

    /// Limits buffered bodies to a quarter of the memory of this process, given in bytes.
    pub fn set_memory_limit(&mut self, memory_bytes: usize) {
        self.max_body_bytes = memory_bytes / 4;
    }
}

/// Settings of the membership of cores and of their voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipSettings {
    /// True if cores replace lost voters without an operator (`auto`); false by default.
    pub manages_voters: bool,
    /// Number of cores that the fleet must be able to lose at once with their disks (`lose`): 1 to 4,
    /// 1 by default.
    pub tolerated_losses: u32,
    /// True if this node may take part in the bootstrap of a new fleet (`first`); true by default.
    pub may_bootstrap: bool,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        MembershipSettings { manages_voters: false, tolerated_losses: 1, may_bootstrap: true }
    }
}

/// Settings given on the command line; each overrides the same setting of the file.
#[derive(Debug, Default)]
pub struct SettingsOverrides {
    /// `--peer`: address of the listener for other nodes, IP:PORT.
    pub peer: Option<String>,
    /// `--admin`: address of the listener for operators and workers, IP:PORT.
    pub admin: Option<String>,
    /// `--downstream`: address of the listener for callers, IP:PORT.
    pub downstream: Option<String>,
    /// `--zone`: zone of this node.
    pub zone: Option<String>,
    /// `--seed`, once for each seed: IP:PORT. If any is given, the seeds of the file are ignored.
    pub seeds: Vec<String>,
    /// `--data`: folder of the durable state.
    pub data: Option<String>,
}

/// An error of the settings or the command line, with its remedy.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum SettingsError {
    /// command line: {0}; see sumacvale --help
    Flag(String),
    /// --env {file}: {reason}; name a file that can be read
    File {
        /// Path given on the command line.
        file: String,
        /// Why the file or folder can't be used.
        reason: String,
    },
    /// --import {file}: {reason}
    Import {
        /// Path given on the command line.
        file: String,
        /// Why the file or folder can't be used.
        reason: String,
    },
    /// settings file: {0}
    InvalidFile(String),
    /// {key}: unknown setting; known are {known}
    Unknown {
        /// The key of the setting or the flag, such as `/zone` or `--zone`.
        key: String,
        /// The names of all known settings.
        known: String,
    },
    /// {key}: is missing; set it in the file or with its flag
    Missing {
        /// The key of the setting or the flag, such as `/zone` or `--zone`.
        key: String,
    },
    /// {key}: {value} is no {expected}
    Invalid {
        /// The key of the setting or the flag, such as `/zone` or `--zone`.
        key: String,
        /// The value that was given.
        value: String,
        /// What the value must be.
        expected: String,
    },
    /// {key}: stands there twice; name different seeds
    DuplicateSeed {
        /// The key of the setting or the flag, such as `/zone` or `--zone`.
        key: String,
    },
    /// {key}: {count} seeds are named; name one to three
    SeedCount {
        /// The key of the setting or the flag, such as `/zone` or `--zone`.
        key: String,
        /// Number of seeds that were given.
        count: usize,
    },
    /// {key}: the same address as {other}; give each listener its own
    SharedAddress {
        /// The key of the setting or the flag, such as `/zone` or `--zone`.
        key: String,
        /// The other setting with the same address.
        other: String,
    },
    /// {key}: {reason}
    UnusableFolder {
        /// The key of the setting or the flag, such as `/zone` or `--zone`.
        key: String,
        /// Why the file or folder can't be used.
        reason: String,
    },
}

/// Names of all settings of the file.
const KNOWN: [&str; 20] = [
    "peer",
    "admin",
    "downstream",
    "zone",
    "seeds",
    "data",
    "members",
    "operators",
    "workers",
    "beat_ms",
    "beat_to",
    "notice_ms",
    "grace_ms",
    "threads",
    "waitlist",
    "connections",
    "bodies_mib",
    "retry_percent",
    "retry_window_ms",
    "retry_slack",
];

/// Reads single settings and collects the errors.
struct SettingsReader<'a> {
    /// The settings file; `None` where there is none or it isn't a JSON object.
    file: Option<Value>,
    /// The errors found so far.
    errors: &'a mut Vec<SettingsError>,
}

impl SettingsReader<'_> {
    /// Returns the value of a setting of the file.
    fn value(&self, name: &str) -> Option<&Value> {
        self.file.as_ref()?.pointer([name])
    }

    /// Records that a value is not what the setting needs.
    fn reject(&mut self, key: &str, value: &str, expected: &str) {
        self.errors.push(SettingsError::Invalid { key: key.into(), value: value.into(), expected: expected.into() });
    }

    /// Returns the setting or flag that gives the text, and the text.
    fn text(&mut self, name: &str, flag_value: Option<&String>) -> Option<(String, String)> {
        if let Some(flag_value) = flag_value {
            return Some((format!("--{name}"), flag_value.clone()));
        }
        let value = self.value(name)?.clone();
        match value.as_str() {
            Some(text) => Some((format!("/{name}"), text.to_owned())),
            None => {
                self.reject(&format!("/{name}"), &value.to_string(), "text");
                None
            }
        }
    }

    /// Returns a required address; records an error where it is missing or invalid.
    fn addr(&mut self, name: &str, flag_value: Option<&String>) -> Option<SocketAddr> {
        let Some((key, text)) = self.text(name, flag_value) else {
            if self.value(name).is_none() {
                self.errors.push(SettingsError::Missing { key: format!("/{name}") });
            }
            return None;
        };
        self.parse_addr(&key, &text)
    }

    fn parse_addr(&mut self, key: &str, text: &str) -> Option<SocketAddr> {
        match text.parse::<SocketAddr>() {
            Ok(addr) if addr.port() != 0 && !addr.ip().is_unspecified() => Some(addr),
            _ => {
                self.reject(key, text, "IP address and port that others can reach, such as 10.0.0.4:7000");
                None
            }
        }
    }

    /// Returns a number of the file within these bounds, or the default.
    fn number(&mut self, name: &str, min: u64, max: u64, default: u64) -> u64 {
        let Some(value) = self.value(name).cloned() else { return default };
        match value.as_u64() {
            Some(number) if (min..=max).contains(&number) => number,
            _ => {
                self.reject(&format!("/{name}"), &value.to_string(), &format!("whole number from {min} to {max}"));
                default
            }
        }
    }

    fn flag(&mut self, key: &str, value: &Value, default: bool) -> bool {
        value.as_bool().unwrap_or_else(|| {
            self.reject(key, &value.to_string(), "true or false");
            default
        })
    }

    fn membership(&mut self) -> MembershipSettings {
        let mut membership = MembershipSettings::default();
        let Some(value) = self.value("members").cloned() else { return membership };
        let Some(object) = value.as_object() else {
            self.reject(
                "/members",
                &value.to_string(),
                "object such as {\"auto\": true, \"lose\": 1, \"first\": false}",
            );
            return membership;
        };
        for (name, item) in object {
            let key = format!("/members/{name}");
            match name {
                "auto" => membership.manages_voters = self.flag(&key, item, membership.manages_voters),
                "first" => membership.may_bootstrap = self.flag(&key, item, membership.may_bootstrap),
                "lose" => match item.as_u64().and_then(|n| u32::try_from(n).ok()).filter(|n| (1..=4).contains(n)) {
                    Some(n) => membership.tolerated_losses = n,
                    None => self.reject(&key, &item.to_string(), "whole number from 1 to 4"),
                },
                _ => self.errors.push(SettingsError::Unknown { key, known: "auto, lose, first".into() }),
            }
        }
        membership
    }

    /// Returns a list of token hashes; error messages never contain a rejected value.
    fn hashes(&mut self, name: &str) -> Vec<String> {
        let Some(value) = self.value(name).cloned() else { return Vec::new() };
        let Some(list) = value.as_array() else {
            self.reject(&format!("/{name}"), "it", "list of sha256: hashes");
            return Vec::new();
        };
        let mut hashes = Vec::new();
        for (index, item) in list.iter().enumerate() {
            let hash = item.as_str().and_then(|s| s.strip_prefix("sha256:"));
            match hash.filter(|h| h.len() == 64 && h.bytes().all(|b| b.is_ascii_hexdigit())) {
                Some(hash) => hashes.push(hash.to_ascii_lowercase()),
                None => self.reject(
                    &format!("/{name}/{index}"),
                    "this (not shown, it may be a token)",
                    "sha256: with 64 hex digits; keep only hashes of tokens here",
                ),
            }
        }
        hashes
    }
}

/// Reads the settings from the text of the settings file and the overrides of the command line.
///
/// # Errors
/// All errors that were found, so that an operator can correct them at once.
pub fn read(text: Option<&str>, overrides: &SettingsOverrides) -> Result<Settings, Vec<SettingsError>> {
    let mut errors = Vec::new();
    let file = text.and_then(|text| parse_file(text, &mut errors));
    let mut reader = SettingsReader { file, errors: &mut errors };
    let peer = reader.addr("peer", overrides.peer.as_ref());
    let admin = reader.addr("admin", overrides.admin.as_ref());
    let downstream = reader.addr("downstream", overrides.downstream.as_ref());
    let zone = match reader.text("zone", overrides.zone.as_ref()) {
        Some((key, zone)) if zone.is_empty() || zone.len() > 64 || zone.chars().any(char::is_whitespace) => {
            reader.reject(&key, &zone, "zone name of 1 to 64 bytes without blanks");
            None
        }
        Some((_, zone)) => Some(zone),
        None => {
            if reader.value("zone").is_none() {
                reader.errors.push(SettingsError::Missing { key: "/zone".into() });
            }
            None
        }
    };
    let seeds = read_seeds(&mut reader, overrides);
    let data_folder = reader.text("data", overrides.data.as_ref());
    let membership = reader.membership();
    let operator_hashes = reader.hashes("operators");
    let worker_hashes = reader.hashes("workers");
    let report_interval = reader.number("beat_ms", 500, 10_000, 500) * MS;
    let workers_report_to_cores_only = match reader.text("beat_to", None) {
        Some((_, target)) if target == "cores" => true,
        Some((key, target)) if target != "any" => {
            reader.reject(&key, &target, "word of any, cores");
            false
        }
        _ => false,
    };
    let drain_notice = reader.number("notice_ms", 0, 60_000, 2_000) * MS;
    let shutdown_grace = reader.number("grace_ms", 0, 600_000, 25_000) * MS;
    // On a machine with one processor core a second thread only costs wake-ups.
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get().min(2));
    let worker_threads = usize::try_from(reader.number("threads", 1, 256, threads as u64)).unwrap_or(threads);
    let max_queued_calls = usize::try_from(reader.number("waitlist", 1, 100_000, 256)).unwrap_or(256);
    let max_body_bytes = usize::try_from(reader.number("bodies_mib", 1, 65_536, 256)).unwrap_or(256) << 20;
    let max_connections = usize::try_from(reader.number("connections", 1, 1_000_000, 4_096)).unwrap_or(4_096);
    let retry_limits = read_retry_limits(&mut reader);
    if let (Some(peer), Some(admin), Some(downstream)) = (peer, admin, downstream) {
        errors.extend(shared_addresses(peer, admin, downstream));
    }
    if operator_hashes.is_empty()
        && !errors.iter().any(|e| matches!(e, SettingsError::Invalid { key, .. } if key.starts_with("/operators")))
    {
        errors.push(SettingsError::Missing { key: "/operators".into() });
    }
    let data_folder = data_folder.and_then(|(key, path)| match check_data_folder(Path::new(&path)) {
        Ok(folder) => Some(folder),
        Err(reason) => {
            errors.push(SettingsError::UnusableFolder { key, reason });
            None
        }
    });
    match (peer, admin, downstream, zone) {
        (Some(peer), Some(admin), Some(downstream), Some(zone)) if errors.is_empty() => Ok(Settings {
            peer_addr: peer,
            admin_addr: admin,
            downstream_addr: Some(downstream),
            zone,
            seeds,
            data_folder,
            membership,
            operator_token_hashes: operator_hashes,
            worker_token_hashes: worker_hashes,
            report_interval,
            workers_report_to_cores_only,
            drain_notice,
            shutdown_grace,
            worker_threads,
            max_queued_calls,
            max_connections,
            max_body_bytes,
            retry_limits,
        }),
        _ => Err(errors),
    }
}

/// Parses the settings file, and records an error for each setting that is unknown; returns `None` without an object.
fn parse_file(text: &str, errors: &mut Vec<SettingsError>) -> Option<Value> {
    let syntax_errors = check_syntax_with_limit(text, 1 << 20);
    errors.extend(syntax_errors.iter().map(|error| SettingsError::InvalidFile(error.to_string())));
    let file = syntax_errors.is_empty().then(|| sonic_rs::from_str::<Value>(text).ok()).flatten()?;
    let Some(object) = file.as_object() else {
        errors.push(SettingsError::InvalidFile("it is no object; write one JSON object".into()));
        return None;
    };
    for (name, _) in object {
        if !KNOWN.contains(&name) {
            errors.push(SettingsError::Unknown { key: format!("/{name}"), known: KNOWN.join(", ") });
        }
    }
    Some(file)
}

/// Reads the retry limits.
fn read_retry_limits(reader: &mut SettingsReader) -> RetryLimits {
    let percent = reader.number("retry_percent", 0, 100, 20) as u32;
    let window_ms = reader.number("retry_window_ms", MIN_WINDOW / MS, 600_000, 10_000);
    let slack = reader.number("retry_slack", 0, 1_000_000, 50) as u32;
    RetryLimits { ratio_milli: percent * 10, window: window_ms * MS, slack }
}

/// Returns an error for each two listeners that have the same address.
fn shared_addresses(peer: SocketAddr, admin: SocketAddr, downstream: SocketAddr) -> Vec<SettingsError> {
    let pairs = [
        (peer, admin, "/admin", "/peer"),
        (peer, downstream, "/downstream", "/peer"),
        (admin, downstream, "/downstream", "/admin"),
    ];
    let shared = pairs.into_iter().filter(|(first, second, ..)| first == second);
    shared.map(|(.., key, other)| SettingsError::SharedAddress { key: key.into(), other: other.into() }).collect()
}

/// Reads the seeds of the command line, or else of the file, and checks their number.
fn read_seeds(reader: &mut SettingsReader, overrides: &SettingsOverrides) -> Vec<SocketAddr> {
    let mut seeds: Vec<(String, String)> =
        overrides.seeds.iter().map(|item| ("--seed".to_owned(), item.clone())).collect();
    if seeds.is_empty() {
        match reader.value("seeds").cloned() {
            None => {
                reader.errors.push(SettingsError::Missing { key: "/seeds".into() });
                return Vec::new();
            }
            Some(value) => match value.as_array() {
                None => reader.reject("/seeds", &value.to_string(), "list of one to three addresses"),
                Some(list) => {
                    for (index, item) in list.iter().enumerate() {
                        match item.as_str() {
                            Some(text) => seeds.push((format!("/seeds/{index}"), text.to_owned())),
                            None => reader.reject(&format!("/seeds/{index}"), &item.to_string(), "text"),
                        }
                    }
                }
            },
        }
    }
    if seeds.is_empty() || seeds.len() > 3 {
        reader.errors.push(SettingsError::SeedCount { key: "/seeds".into(), count: seeds.len() });
    }
    let mut addrs: Vec<SocketAddr> = Vec::new();
    for (key, text) in seeds {
        if let Some(addr) = reader.parse_addr(&key, &text) {
            if addrs.contains(&addr) {
                reader.errors.push(SettingsError::DuplicateSeed { key });
            } else {
                addrs.push(addr);
            }
        }
    }
    addrs
}

/// Checks that the data folder can be written or created.
fn check_data_folder(folder: &Path) -> Result<PathBuf, String> {
    let shown = folder.display();
    if !folder.exists() {
        let parent = folder.parent().filter(|parent| !parent.as_os_str().is_empty()).unwrap_or(Path::new("."));
        return if parent.is_dir() {
            Ok(folder.to_owned())
        } else {
            Err(format!("{shown} does not exist and neither does its parent folder; create one"))
        };
    }
    if !folder.is_dir() {
        return Err(format!("{shown} is no folder; name one"));
    }
    let probe = folder.join(PROBE_FILE);
    match std::fs::File::create(&probe).and_then(|_| std::fs::remove_file(&probe)) {
        Ok(()) => Ok(folder.to_owned()),
        // The start waits for a disk that is full or fails, so the settings are valid.
        Err(error) if folder_error(folder, &error).is_transient() => Ok(folder.to_owned()),
        Err(error) => Err(format!("{shown} can't be written: {error}; correct its permissions or repair its disk")),
    }
}
