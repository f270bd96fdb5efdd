//! Settings from a file and the command line, checked.

use crate::disk::{PROBE_FILE, folder_error};
use displaydoc::Display;
use sonic_rs::{JsonContainerTrait, JsonValueTrait, Value};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use sumacvale_core::base::{MS, Micros};
use sumacvale_core::config::check::check_syntax_with_limit;

/// The settings of this node, checked as a whole before anything opens.
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
    /// Folder of the durable state (`data`). A node that has one is a core; by default there is none.
    pub data_folder: Option<PathBuf>,
    /// How cores become members and voters (`members`).
    pub membership: MembershipSettings,
    /// SHA-256 hashes of operators' tokens, each 64 hex digits in lower case (`operators`).
    pub operator_token_hashes: Vec<String>,
    /// SHA-256 hashes of workers' tokens, each 64 hex digits in lower case (`workers`); empty by default.
    pub worker_token_hashes: Vec<String>,
    /// Interval between the reports of one worker in microseconds (`beat_ms`); 500 ms by default.
    pub report_interval: Micros,
    /// Whether workers report to cores only (`beat_to`: `cores`) instead of to any node; false by default.
    pub reports_to_cores_only: bool,
    /// Time in microseconds for which readiness is refused before the listener closes
    /// (`notice_ms`); 2 s by default.
    pub drain_notice: Micros,
    /// Time in microseconds that calls already read may take after that (`grace_ms`); 25 s by default.
    pub shutdown_grace: Micros,
    /// Threads of the runtime (`threads`). A file that leaves it out gets one thread a processor core,
    /// two at most; [`Settings::default`] has one.
    pub worker_threads: usize,
    /// Calls that may wait in the queue at once (`waitlist`); 256 by default.
    pub max_queued_calls: usize,
    /// Connections that may be open at once (`connections`). A file that leaves it out gets 4096;
    /// [`Settings::default`] has 2048.
    pub max_connections: usize,
    /// Bytes of bodies that are buffered at once (`bodies_mib`, in MiB); 256 MiB by default.
    pub max_body_bytes: usize,
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
            reports_to_cores_only: false,
            drain_notice: 2_000 * MS,
            shutdown_grace: 25_000 * MS,
            worker_threads: 1,
            max_queued_calls: 256,
            max_connections: 2_048,
            max_body_bytes: 256 << 20,
        }
    }
}

impl Settings {
    /// Splits the time in microseconds that a shutdown may take: first callers move to other nodes
    /// (`drain_notice`), then calls finish (`shutdown_grace`).
    pub fn set_shutdown_budget(&mut self, t: Micros) {
        self.drain_notice = (t * 3 / 10).min(2_400 * MS);
        self.shutdown_grace = (t - self.drain_notice).saturating_sub((t / 16).max(300 * MS));
    }

    /// Lets a quarter of the memory of this process, given in bytes, hold bodies.
    pub fn set_memory_limit(&mut self, memory: usize) {
        self.max_body_bytes = memory / 4;
    }
}

/// How cores become members, and how many of them vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Whether cores replace lost voters themselves (`auto`); false by default.
    pub manages_voters: bool,
    /// How many machines with disks may be lost at once (`lose`): 1 to 4, 1 by default.
    pub tolerated_losses: u32,
    /// Whether this node may take part in founding a fleet (`first`); true by default.
    pub may_bootstrap: bool,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        MembershipSettings { manages_voters: false, tolerated_losses: 1, may_bootstrap: true }
    }
}

/// Settings of the command line, each of which replaces the one of the file.
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
    /// `--seed`, once for each seed: IP:PORT. If any is given, the seeds of the file are not used.
    pub seeds: Vec<String>,
    /// `--data`: folder of the durable state.
    pub data: Option<String>,
}

/// What is wrong with the settings, and the remedy.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum SettingsError {
    /// command line: {0}; see sumacvale --help
    Flag(String),
    /// --env {file}: {why}; name a file that can be read
    File {
        /// Path as it was given on the command line.
        file: String,
        /// What went wrong.
        why: String,
    },
    /// --import {file}: {why}
    Import {
        /// Path as it was given on the command line.
        file: String,
        /// What went wrong.
        why: String,
    },
    /// settings file: {0}
    Shape(String),
    /// {at}: unknown setting; known are {known}
    Unknown {
        /// The setting or flag, such as `/zone` or `--zone`.
        at: String,
        /// The names of all known settings.
        known: String,
    },
    /// {at}: is missing; set it in the file or with its flag
    Missing {
        /// The setting or flag, such as `/zone` or `--zone`.
        at: String,
    },
    /// {at}: {is} is no {want}
    Wrong {
        /// The setting or flag, such as `/zone` or `--zone`.
        at: String,
        /// The value that was given.
        is: String,
        /// What the value must be.
        want: String,
    },
    /// {at}: stands there twice; name different seeds
    Twice {
        /// The setting or flag, such as `/zone` or `--zone`.
        at: String,
    },
    /// {at}: {is} seeds are named; name one to three
    Seeds {
        /// The setting or flag, such as `/zone` or `--zone`.
        at: String,
        /// Number of seeds that were given.
        is: usize,
    },
    /// {at}: the same address as {other}; give each listener its own
    Same {
        /// The setting or flag, such as `/zone` or `--zone`.
        at: String,
        /// The other setting with the same address.
        other: String,
    },
    /// {at}: {why}
    Data {
        /// The setting or flag, such as `/zone` or `--zone`.
        at: String,
        /// What went wrong.
        why: String,
    },
}

const KNOWN: [&str; 17] = [
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
];

struct Src<'a> {
    v: Option<Value>,
    out: &'a mut Vec<SettingsError>,
}

impl Src<'_> {
    fn raw(&self, k: &str) -> Option<&Value> {
        self.v.as_ref()?.pointer([k])
    }

    fn wrong(&mut self, at: &str, is: &str, want: &str) {
        self.out.push(SettingsError::Wrong { at: at.into(), is: is.into(), want: want.into() });
    }

    fn text(&mut self, k: &str, flag: Option<&String>) -> Option<(String, String)> {
        if let Some(f) = flag {
            return Some((format!("--{k}"), f.clone()));
        }
        let v = self.raw(k)?.clone();
        match v.as_str() {
            Some(s) => Some((format!("/{k}"), s.to_owned())),
            None => {
                self.wrong(&format!("/{k}"), &v.to_string(), "text");
                None
            }
        }
    }

    fn addr(&mut self, k: &str, flag: Option<&String>) -> Option<SocketAddr> {
        let Some((at, s)) = self.text(k, flag) else {
            if self.raw(k).is_none() {
                self.out.push(SettingsError::Missing { at: format!("/{k}") });
            }
            return None;
        };
        self.addr_of(&at, &s)
    }

    fn addr_of(&mut self, at: &str, s: &str) -> Option<SocketAddr> {
        match s.parse::<SocketAddr>() {
            Ok(a) if a.port() != 0 && !a.ip().is_unspecified() => Some(a),
            _ => {
                self.wrong(at, s, "IP address and port that others can reach, such as 10.0.0.4:7000");
                None
            }
        }
    }

    fn num(&mut self, k: &str, lo: u64, hi: u64, def: u64) -> u64 {
        let Some(v) = self.raw(k).cloned() else { return def };
        match v.as_u64() {
            Some(n) if (lo..=hi).contains(&n) => n,
            _ => {
                self.wrong(&format!("/{k}"), &v.to_string(), &format!("whole number from {lo} to {hi}"));
                def
            }
        }
    }

    fn flag(&mut self, at: &str, v: &Value, def: bool) -> bool {
        v.as_bool().unwrap_or_else(|| {
            self.wrong(at, &v.to_string(), "true or false");
            def
        })
    }

    fn members(&mut self) -> MembershipSettings {
        let mut m = MembershipSettings::default();
        let Some(v) = self.raw("members").cloned() else { return m };
        let Some(o) = v.as_object() else {
            self.wrong("/members", &v.to_string(), "object such as {\"auto\": true, \"lose\": 1, \"first\": false}");
            return m;
        };
        for (k, x) in o {
            let at = format!("/members/{k}");
            match k {
                "auto" => m.manages_voters = self.flag(&at, x, m.manages_voters),
                "first" => m.may_bootstrap = self.flag(&at, x, m.may_bootstrap),
                "lose" => match x.as_u64().and_then(|n| u32::try_from(n).ok()).filter(|n| (1..=4).contains(n)) {
                    Some(n) => m.tolerated_losses = n,
                    None => self.wrong(&at, &x.to_string(), "whole number from 1 to 4"),
                },
                _ => self.out.push(SettingsError::Unknown { at, known: "auto, lose, first".into() }),
            }
        }
        m
    }

    fn hashes(&mut self, name: &str) -> Vec<String> {
        let Some(value) = self.raw(name).cloned() else { return Vec::new() };
        let Some(list) = value.as_array() else {
            self.wrong(&format!("/{name}"), "it", "list of sha256: hashes");
            return Vec::new();
        };
        let mut hashes = Vec::new();
        for (index, item) in list.iter().enumerate() {
            let hash = item.as_str().and_then(|s| s.strip_prefix("sha256:"));
            match hash.filter(|h| h.len() == 64 && h.bytes().all(|b| b.is_ascii_hexdigit())) {
                Some(hash) => hashes.push(hash.to_ascii_lowercase()),
                None => self.wrong(
                    &format!("/{name}/{index}"),
                    "this (not shown, it may be a token)",
                    "sha256: with 64 hex digits; keep only hashes of tokens here",
                ),
            }
        }
        hashes
    }
}

/// Reads the settings file and the command line. Fails with every error that was found.
pub fn read(text: Option<&str>, f: &SettingsOverrides) -> Result<Settings, Vec<SettingsError>> {
    let mut out = Vec::new();
    let mut v = None;
    if let Some(s) = text {
        let bad = check_syntax_with_limit(s, 1 << 20);
        if bad.is_empty() {
            v = sonic_rs::from_str::<Value>(s).ok();
        }
        out.extend(bad.iter().map(|t| SettingsError::Shape(t.to_string())));
        if let Some(o) = v.as_ref() {
            match o.as_object() {
                None => {
                    out.push(SettingsError::Shape("it is no object; write one JSON object".into()));
                    v = None;
                }
                Some(o) => {
                    for (k, _) in o {
                        if !KNOWN.contains(&k) {
                            out.push(SettingsError::Unknown { at: format!("/{k}"), known: KNOWN.join(", ") });
                        }
                    }
                }
            }
        }
    }
    let mut s = Src { v, out: &mut out };
    let peer = s.addr("peer", f.peer.as_ref());
    let admin = s.addr("admin", f.admin.as_ref());
    let downstream = s.addr("downstream", f.downstream.as_ref());
    let zone = match s.text("zone", f.zone.as_ref()) {
        Some((at, z)) if z.is_empty() || z.len() > 64 || z.chars().any(char::is_whitespace) => {
            s.wrong(&at, &z, "zone name of 1 to 64 bytes without blanks");
            None
        }
        Some((_, z)) => Some(z),
        None => {
            if s.raw("zone").is_none() {
                s.out.push(SettingsError::Missing { at: "/zone".into() });
            }
            None
        }
    };
    let seeds = seeds(&mut s, f);
    let data = s.text("data", f.data.as_ref());
    let members = s.members();
    let operators = s.hashes("operators");
    let workers = s.hashes("workers");
    let beat = s.num("beat_ms", 500, 10_000, 500) * MS;
    let to_cores = match s.text("beat_to", None) {
        Some((_, t)) if t == "cores" => true,
        Some((at, t)) if t != "any" => {
            s.wrong(&at, &t, "word of any, cores");
            false
        }
        _ => false,
    };
    let notice = s.num("notice_ms", 0, 60_000, 2_000) * MS;
    let grace = s.num("grace_ms", 0, 600_000, 25_000) * MS;
    // A second one on a machine with one core only costs wake-ups.
    let cores = std::thread::available_parallelism().map_or(1, |n| n.get().min(2));
    let threads = usize::try_from(s.num("threads", 1, 256, cores as u64)).unwrap_or(cores);
    let waitlist = usize::try_from(s.num("waitlist", 1, 100_000, 256)).unwrap_or(256);
    let bodies = usize::try_from(s.num("bodies_mib", 1, 65_536, 256)).unwrap_or(256) << 20;
    let conns = usize::try_from(s.num("connections", 1, 1_000_000, 4_096)).unwrap_or(4_096);
    if let (Some(peer), Some(admin), Some(downstream)) = (peer, admin, downstream) {
        out.extend(shared_addresses(peer, admin, downstream));
    }
    if operators.is_empty()
        && !out.iter().any(|t| matches!(t, SettingsError::Wrong { at, .. } if at.starts_with("/operators")))
    {
        out.push(SettingsError::Missing { at: "/operators".into() });
    }
    let data = data.and_then(|(at, d)| match folder(Path::new(&d)) {
        Ok(p) => Some(p),
        Err(why) => {
            out.push(SettingsError::Data { at, why });
            None
        }
    });
    match (peer, admin, downstream, zone) {
        (Some(peer), Some(admin), Some(downstream), Some(zone)) if out.is_empty() => Ok(Settings {
            peer_addr: peer,
            admin_addr: admin,
            downstream_addr: Some(downstream),
            zone,
            seeds,
            data_folder: data,
            membership: members,
            operator_token_hashes: operators,
            worker_token_hashes: workers,
            report_interval: beat,
            reports_to_cores_only: to_cores,
            drain_notice: notice,
            shutdown_grace: grace,
            worker_threads: threads,
            max_queued_calls: waitlist,
            max_connections: conns,
            max_body_bytes: bodies,
        }),
        _ => Err(out),
    }
}

/// An error for each two listeners that have the same address.
fn shared_addresses(peer: SocketAddr, admin: SocketAddr, downstream: SocketAddr) -> Vec<SettingsError> {
    let pairs = [
        (peer, admin, "/admin", "/peer"),
        (peer, downstream, "/downstream", "/peer"),
        (admin, downstream, "/downstream", "/admin"),
    ];
    let same = pairs.into_iter().filter(|(first, second, ..)| first == second);
    same.map(|(.., at, other)| SettingsError::Same { at: at.into(), other: other.into() }).collect()
}

fn seeds(source: &mut Src, overrides: &SettingsOverrides) -> Vec<SocketAddr> {
    let mut named: Vec<(String, String)> =
        overrides.seeds.iter().map(|item| ("--seed".to_owned(), item.clone())).collect();
    if named.is_empty() {
        match source.raw("seeds").cloned() {
            None => {
                source.out.push(SettingsError::Missing { at: "/seeds".into() });
                return Vec::new();
            }
            Some(value) => match value.as_array() {
                None => source.wrong("/seeds", &value.to_string(), "list of one to three addresses"),
                Some(list) => {
                    for (index, item) in list.iter().enumerate() {
                        match item.as_str() {
                            Some(text) => named.push((format!("/seeds/{index}"), text.to_owned())),
                            None => source.wrong(&format!("/seeds/{index}"), &item.to_string(), "text"),
                        }
                    }
                }
            },
        }
    }
    if named.is_empty() || named.len() > 3 {
        source.out.push(SettingsError::Seeds { at: "/seeds".into(), is: named.len() });
    }
    let mut addrs: Vec<SocketAddr> = Vec::new();
    for (at, text) in named {
        if let Some(addr) = source.addr_of(&at, &text) {
            if addrs.contains(&addr) {
                source.out.push(SettingsError::Twice { at });
            } else {
                addrs.push(addr);
            }
        }
    }
    addrs
}

/// A folder that can be written, or one that can be made.
fn folder(p: &Path) -> Result<PathBuf, String> {
    let shown = p.display();
    if !p.exists() {
        let up = p.parent().filter(|x| !x.as_os_str().is_empty()).unwrap_or(Path::new("."));
        return if up.is_dir() {
            Ok(p.to_owned())
        } else {
            Err(format!("{shown} does not exist and neither does the folder above it; create one"))
        };
    }
    if !p.is_dir() {
        return Err(format!("{shown} is no folder; name one"));
    }
    let t = p.join(PROBE_FILE);
    match std::fs::File::create(&t).and_then(|_| std::fs::remove_file(&t)) {
        Ok(()) => Ok(p.to_owned()),
        // A disk that is full or in trouble is waited for at the start; the settings are good.
        Err(e) if folder_error(p, &e).is_transient() => Ok(p.to_owned()),
        Err(e) => Err(format!("{shown} can't be written: {e}; mend its rights or its disk")),
    }
}
