//! The project's own programs as separate processes, and the record of a run.

use crate::http;
use std::fmt::Write as _;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant};

/// Bounds of a small deployment, as the pages state them.
pub const CONTACT_MS: u64 = 3_000;
pub const DRAIN_MS: u64 = 2_000;
pub const BEAT_EVERY_MS: u64 = 1_200;
pub const GRACE_S: u64 = 8;

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: Mutex<String> = Mutex::new(String::new());

/// Milliseconds since the start of the run.
pub fn now_ms() -> u64 {
    START.get_or_init(Instant::now).elapsed().as_millis() as u64
}

/// Adds a line to the record of the run.
pub fn note(text: &str) {
    let mut record = RECORD.lock().unwrap();
    let _ = writeln!(record, "{:>7} ms  {text}", now_ms());
}

/// Adds an entry of a list to the record.
pub fn list(text: &str) {
    let mut record = RECORD.lock().unwrap();
    let _ = writeln!(record, "{text}");
}

/// Writes the record to its file.
pub fn save_record(path: &str) {
    let _ = fs::write(path, RECORD.lock().unwrap().as_str());
}

pub fn pause_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

pub fn pause_until_ms(ms: u64) {
    pause_ms(ms.saturating_sub(now_ms()));
}

/// One machine with the one process that runs on it.
pub struct Machine {
    pub name: String,
    pub is_core: bool,
    pub ip: String,
    folder: PathBuf,
    child: Option<Child>,
    pub started_ms: u64,
}

impl Machine {
    fn addr(&self, port: u16) -> SocketAddr {
        format!("{}:{port}", self.ip).parse().unwrap()
    }

    pub fn front_addr(&self) -> SocketAddr {
        self.addr(8405)
    }

    pub fn ready_addr(&self) -> SocketAddr {
        self.addr(8406)
    }

    pub fn control_addr(&self) -> SocketAddr {
        self.addr(8407)
    }

    /// Sends a signal by name to the process.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("sh").arg("-c").arg(format!("kill -{name} {}", child.id())).status();
            note(&format!("SIG{name} to {}", self.name));
        }
    }

    /// Processor time that the process has used, in milliseconds.
    pub fn processor_ms(&self) -> u64 {
        let Some(child) = &self.child else { return 0 };
        let text = fs::read_to_string(format!("/proc/{}/stat", child.id())).unwrap_or_default();
        let fields: Vec<&str> = text.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let ticks = |index: usize| fields.get(index).and_then(|field| field.parse::<u64>().ok()).unwrap_or(0);
        (ticks(11) + ticks(12)) * 10
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            note(&format!("SIGKILL to {}", self.name));
        }
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        let role = if self.is_core { "core" } else { "front" };
        let log = fs::OpenOptions::new().create(true).append(true).open(self.folder.join("log.txt")).unwrap();
        let child = Command::new("target/release/sumacvale-platform")
            .arg(role)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("HOME", "/tmp")
            .env("LANG", "C.UTF-8")
            .env("SUMACVALE_NODE_FILE", self.folder.join("local.yaml"))
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone().unwrap()))
            .stderr(Stdio::from(log))
            .spawn()
            .expect("the program of the deploy file is not built");
        let mut pids = fs::OpenOptions::new().create(true).append(true).open(temp_folder().join("pids")).unwrap();
        let _ = std::io::Write::write_all(&mut pids, format!("{}\n", child.id()).as_bytes());
        self.child = Some(child);
        self.started_ms = now_ms();
        note(&format!("start of {} ({role})", self.name));
    }
}

/// The temporary folder of this run, which the script makes and removes.
pub fn temp_folder() -> PathBuf {
    PathBuf::from(std::env::var("REVIEW_TMP").expect("REVIEW_TMP: run this by run.sh"))
}

/// Machines in three zones: `fronts` fronts and one core in each.
pub struct Fleet {
    pub machines: Vec<Machine>,
    pub prefix: String,
}

pub const ZONES: [&str; 3] = ["vake-hall", "saburtalo-hall", "didube-hall"];

impl Fleet {
    /// Prepares a fleet on loopback addresses that nobody uses.
    pub fn prepare(fronts_per_zone: usize) -> Fleet {
        let pid = std::process::id();
        let prefix = (0..200)
            .map(|n| format!("127.{}.{}", 64 + (pid + n) % 128, (pid / 128 + 7 * n) % 250))
            .find(|prefix| {
                (1..20).all(|n| std::net::TcpListener::bind(format!("{prefix}.{n}:8407")).is_ok())
                    && std::net::TcpListener::bind(format!("{prefix}.1:7660")).is_ok()
            })
            .expect("no free loopback addresses");
        let mut fleet = Fleet { machines: Vec::new(), prefix };
        for (z, zone) in ZONES.iter().enumerate() {
            for n in 0..=fronts_per_zone {
                let is_core = n == 0;
                let name = if is_core { format!("core-{zone}-1") } else { format!("front-{zone}-{n}") };
                let ip = format!("{}.{}", fleet.prefix, 1 + z * (fronts_per_zone + 1) + n);
                let folder = temp_folder().join(&name);
                fs::create_dir_all(folder.join("data")).unwrap();
                fleet.machines.push(Machine { name, is_core, ip, folder, child: None, started_ms: 0 });
            }
        }
        for index in 0..fleet.machines.len() {
            fleet.write_settings(index, true);
        }
        fleet
    }

    /// The control addresses of the three cores.
    pub fn seeds(&self) -> Vec<SocketAddr> {
        self.machines.iter().filter(|m| m.is_core).map(Machine::control_addr).collect()
    }

    pub fn fronts(&self) -> Vec<usize> {
        (0..self.machines.len()).filter(|&i| !self.machines[i].is_core).collect()
    }

    /// Writes the settings file of a machine, with the fields of the pages.
    pub fn write_settings(&self, index: usize, is_first_start: bool) {
        let machine = &self.machines[index];
        let zone = machine.name.trim_end_matches(|c: char| c.is_ascii_digit() || c == '-');
        let zone = zone.split_once('-').map_or(zone, |split| split.1);
        let (role, ip) = (if machine.is_core { "core" } else { "front" }, &machine.ip);
        let mut text = format!("node: \"{}\"\nrole: \"{role}\"\nmachineClass: \"{role}\"\nserves:\n", machine.name);
        let serves: &[&str] = if machine.is_core { &["control"] } else { &["front", "control"] };
        serves.iter().for_each(|s| text.push_str(&format!("  - \"{s}\"\n")));
        text.push_str(&format!("ip: \"{ip}\"\nzone: \"{zone}\"\nregion: \"tbilisi\"\nzones:\n"));
        ZONES.iter().for_each(|zone| text.push_str(&format!("  {zone}: \"tbilisi\"\n")));
        text.push_str("listens:\n");
        if !machine.is_core {
            text.push_str(&format!("  frontAddr: \"{ip}:8405\"\n  readyAddr: \"{ip}:8406\"\n"));
        }
        text.push_str(&format!("  controlAddr: \"{ip}:8407\"\ninternalPorts:\n  - 7660\n  - 7675\nseedNodes:\n"));
        self.seeds().iter().for_each(|seed| text.push_str(&format!("  - \"{seed}\"\n")));
        let data = machine.folder.join("data");
        let data = if machine.is_core { format!("\"{}\"", data.display()) } else { "null".into() };
        text.push_str(&format!(
            "firstStart: {is_first_start}\ncountsAsLoss: {}\nlimits:\n  cpuShare: 0.25\n  cores: 1\n  memoryMb: 220\n  \
             openFiles: 4200\n  linkMbps: 1000.0\n  diskMb: {}\ndataFolder: {data}\ndiscovery: \"self_listed\"\n\
             entry: \"shared_address\"\nbeatEveryMs: {BEAT_EVERY_MS}\nrulesInForce:\n",
            machine.is_core,
            if machine.is_core { 128 } else { 0 },
        ));
        for part in ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota"] {
            text.push_str(&format!("  - \"{part}\"\n"));
        }
        text.push_str(&format!(
            "canLose:\n  machines: 1\n  zones: 0\n  regions: 0\nbounds:\n  seedLagS: 3\n  reuseAfterS: 2\n  \
             contactMs: {CONTACT_MS}\n  ackMs: 4000\n  catchUpS: 4\n  drainMs: {DRAIN_MS}\n  graceS: {GRACE_S}\n  \
             lostSlackMs: 200\n  applyMs: 2000\n  downgradeSlackMs: 250\n  stretchMs: 5000\n  revokedFail: true\n  \
             revokeMs: 5000\n  retryRatio: 0.2\n  retryWindowS: 10\n  retrySlack: 52\n  quotaWindowS: 5\n  \
             quotaOverrun: 0.1\n  quotaSlack: 20\n  recoverS: 12\n  promptPassMs: 120\n"
        ));
        fs::write(machine.folder.join("local.yaml"), text).unwrap();
    }

    pub fn start_all(&mut self) {
        self.machines.iter_mut().for_each(Machine::start);
    }

    pub fn kill_all(&mut self) {
        self.machines.iter_mut().for_each(Machine::kill);
    }

    /// Puts a configuration, and sends it again until it is taken.
    pub fn put_config(&self, base: u64, document: &str, seconds: u64) -> bool {
        let seeds = self.seeds();
        let until = Instant::now() + Duration::from_secs(seconds);
        let mut turn = 0;
        while Instant::now() < until {
            let addr = seeds[turn % seeds.len()];
            turn += 1;
            let head = format!(
                "PUT /config HTTP/1.1\r\nHost: {addr}\r\nIf-Match: {base}\r\nContent-Type: application/json\r\n\
                 Content-Length: {}\r\nConnection: close\r\n\r\n",
                document.len()
            );
            let bytes = [head.as_bytes(), document.as_bytes()].concat();
            let answer = http::call_once(addr, &bytes, Duration::from_secs(1));
            let status = answer.map_or(0, |answer| answer.status);
            if status == 200 {
                note(&format!("configuration acknowledged by {addr}"));
                return true;
            }
            pause_ms(150);
        }
        note("configuration not acknowledged");
        false
    }

    /// Waits until every front answers 200 on its readiness address.
    pub fn wait_ready(&self, seconds: u64) -> bool {
        let until = Instant::now() + Duration::from_secs(seconds);
        while Instant::now() < until {
            let all = self.fronts().iter().all(|&i| is_ready(self.machines[i].ready_addr()));
            if all {
                note("all fronts are ready");
                return true;
            }
            pause_ms(100);
        }
        note("the fronts are not ready");
        false
    }
}

/// Asks a front whether it is ready.
pub fn is_ready(addr: SocketAddr) -> bool {
    let bytes = format!("GET /ready HTTP/1.1\r\nHost: {addr}\r\nConnection: close\r\n\r\n");
    http::call_once(addr, bytes.as_bytes(), Duration::from_millis(800)).is_some_and(|answer| answer.status == 200)
}
