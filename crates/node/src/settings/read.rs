//! Settings from a file and the command line, checked.

use crate::disk::{PROBE_FILE, folder_error};
use displaydoc::Display;
use sonic_rs::{JsonContainerTrait, JsonValueTrait, Value};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use sumacvale_core::base::{MS, Micros};
use sumacvale_core::config::check::check_syntax_with_limit;

/// What this node was set to, checked as a whole before anything opens.
#[derive(Clone, Debug)]
pub struct Settings {
    pub peer_addr: SocketAddr,
    pub admin_addr: SocketAddr,
    /// Where callers come; none on a node that serves control alone.
    pub downstream_addr: Option<SocketAddr>,
    pub zone: String,
    pub seeds: Vec<SocketAddr>,
    pub data_folder: Option<PathBuf>,
    pub membership: MembershipSettings,
    pub operator_token_hashes: Vec<String>,
    pub worker_token_hashes: Vec<String>,
    /// How often each worker reports, and whether to cores only.
    pub report_interval: Micros,
    pub reports_to_cores_only: bool,
    /// How long readiness is refused before the listener closes.
    pub drain_notice: Micros,
    /// How long calls that were read may take after that.
    pub shutdown_grace: Micros,
    pub worker_threads: usize,
    pub max_queued_calls: usize,
    pub max_connections: usize,
    /// How many bytes of bodies are held at once.
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
    /// Parts the time that a stop may take: callers go elsewhere first, then calls end.
    pub fn set_shutdown_budget(&mut self, t: Micros) {
        self.drain_notice = (t * 3 / 10).min(2_400 * MS);
        self.shutdown_grace = (t - self.drain_notice).saturating_sub((t / 16).max(300 * MS));
    }

    /// Of the memory of this process a quarter may be bodies.
    pub fn set_memory_limit(&mut self, memory: usize) {
        self.max_body_bytes = memory / 4;
    }
}

/// How cores come to be members, and how many of them vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Cores replace lost voters themselves.
    pub manages_voters: bool,
    /// How many machines with disks may be lost at once.
    pub tolerated_losses: u32,
    /// Whether this node may take part in founding a fleet.
    pub may_bootstrap: bool,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        MembershipSettings { manages_voters: false, tolerated_losses: 1, may_bootstrap: true }
    }
}

/// Settings that the command line may give in the place of the file.
#[derive(Debug, Default)]
pub struct SettingsOverrides {
    pub peer: Option<String>,
    pub admin: Option<String>,
    pub downstream: Option<String>,
    pub zone: Option<String>,
    pub seeds: Vec<String>,
    pub data: Option<String>,
}

/// What is wrong with the settings, and what to do.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum SettingsError {
    /// command line: {0}; see sumacvale --help
    Flag(String),
    /// --env {file}: {why}; name a file that can be read
    File { file: String, why: String },
    /// --import {file}: {why}
    Import { file: String, why: String },
    /// settings file: {0}
    Shape(String),
    /// {at}: unknown setting; known are {known}
    Unknown { at: String, known: String },
    /// {at}: is missing; set it in the file or with its flag
    Missing { at: String },
    /// {at}: {is} is no {want}
    Wrong { at: String, is: String, want: String },
    /// {at}: stands there twice; name different seeds
    Twice { at: String },
    /// {at}: {is} seeds are named; name one to three
    Seeds { at: String, is: usize },
    /// {at}: the same address as {other}; give each listener its own
    Same { at: String, other: String },
    /// {at}: {why}
    Data { at: String, why: String },
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

    fn hashes(&mut self, k: &str) -> Vec<String> {
        let Some(v) = self.raw(k).cloned() else { return Vec::new() };
        let Some(a) = v.as_array() else {
            self.wrong(&format!("/{k}"), "it", "list of sha256: hashes");
            return Vec::new();
        };
        let mut o = Vec::new();
        for (i, x) in a.iter().enumerate() {
            let h = x.as_str().and_then(|s| s.strip_prefix("sha256:"));
            match h.filter(|h| h.len() == 64 && h.bytes().all(|b| b.is_ascii_hexdigit())) {
                Some(h) => o.push(h.to_ascii_lowercase()),
                None => self.wrong(
                    &format!("/{k}/{i}"),
                    "this (not shown, it may be a token)",
                    "sha256: with 64 hex digits; keep only hashes of tokens here",
                ),
            }
        }
        o
    }
}

/// The settings, or all that is wrong with them.
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
    if let (Some(p), Some(a), Some(d)) = (peer, admin, downstream) {
        for (x, y, n, m) in [(p, a, "/admin", "/peer"), (p, d, "/downstream", "/peer"), (a, d, "/downstream", "/admin")]
        {
            if x == y {
                out.push(SettingsError::Same { at: n.into(), other: m.into() });
            }
        }
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

fn seeds(s: &mut Src, f: &SettingsOverrides) -> Vec<SocketAddr> {
    let mut named: Vec<(String, String)> = f.seeds.iter().map(|x| ("--seed".to_owned(), x.clone())).collect();
    if named.is_empty() {
        match s.raw("seeds").cloned() {
            None => {
                s.out.push(SettingsError::Missing { at: "/seeds".into() });
                return Vec::new();
            }
            Some(v) => match v.as_array() {
                None => s.wrong("/seeds", &v.to_string(), "list of one to three addresses"),
                Some(a) => {
                    for (i, x) in a.iter().enumerate() {
                        match x.as_str() {
                            Some(t) => named.push((format!("/seeds/{i}"), t.to_owned())),
                            None => s.wrong(&format!("/seeds/{i}"), &x.to_string(), "text"),
                        }
                    }
                }
            },
        }
    }
    if named.is_empty() || named.len() > 3 {
        s.out.push(SettingsError::Seeds { at: "/seeds".into(), is: named.len() });
    }
    let mut o: Vec<SocketAddr> = Vec::new();
    for (at, t) in named {
        if let Some(a) = s.addr_of(&at, &t) {
            if o.contains(&a) {
                s.out.push(SettingsError::Twice { at });
            } else {
                o.push(a);
            }
        }
    }
    o
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
