//! A node of the fleet: a loopback address, a folder and a process of `sumacvale`.

use std::io;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use tokio::process::{Child, Command};

/// The length of a clock tick of the kernel's accounting, in milliseconds; the same on every Linux used.
const TICK_MS: u64 = 10;

/// An emulated machine and the process of its node.
#[derive(Debug)]
pub struct Node {
    /// The loopback address of the node.
    pub ip: String,
    /// The name of the zone.
    pub zone: String,
    /// True for a core, which has a data folder and a vote.
    pub is_core: bool,
    /// The running process; `None` before its start and after its exit was awaited.
    process: Option<Child>,
    /// The folder of settings, log and data.
    folder: PathBuf,
}

impl Node {
    /// Creates a node without a process.
    pub(super) fn new(ip: String, zone: String, is_core: bool, folder: PathBuf) -> Self {
        Node { ip, zone, is_core, process: None, folder }
    }

    /// Returns the address that other nodes connect to.
    #[must_use]
    pub fn peer(&self) -> String {
        format!("{}:7100", self.ip)
    }

    /// Returns the address of the admin API.
    #[must_use]
    pub fn admin(&self) -> String {
        format!("{}:7101", self.ip)
    }

    /// Returns the address that clients connect to.
    #[must_use]
    pub fn front(&self) -> String {
        format!("{}:7102", self.ip)
    }

    /// Returns the id of the process, if it is running.
    #[must_use]
    pub fn pid(&self) -> Option<i32> {
        self.process.as_ref().and_then(Child::id).and_then(|pid| i32::try_from(pid).ok())
    }

    /// Returns true if a process was started and its exit was not awaited.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.process.is_some()
    }

    /// Returns the processor time that the process has used, in milliseconds.
    #[must_use]
    pub fn cpu_ms(&self) -> u64 {
        let Some(pid) = self.pid() else { return 0 };
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        // See proc_pid_stat(5). The name of the program, in brackets, may contain spaces.
        let fields: Vec<_> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let ticks = |index: usize| fields.get(index).and_then(|field| field.parse::<u64>().ok()).unwrap_or(0);
        let (user, system) = (ticks(11), ticks(12));
        (user + system) * TICK_MS
    }

    /// Returns the data folder; only cores have one on disk.
    pub(super) fn data_folder(&self) -> PathBuf {
        self.folder.join("data")
    }

    /// Returns what the process has logged so far.
    pub(super) fn log_text(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    /// Replaces the machine by one with another address and an empty disk.
    pub(super) fn replace(&mut self, ip: String, folder: PathBuf) {
        self.ip = ip;
        self.folder = folder;
    }

    /// Writes the settings and starts the process.
    pub(super) fn start(&mut self, program: &Path, settings: &str) -> io::Result<()> {
        std::fs::create_dir_all(&self.folder)?;
        let settings_file = self.folder.join("env.json");
        std::fs::write(&settings_file, settings)?;
        let log = std::fs::OpenOptions::new().create(true).append(true).open(self.folder.join("log"))?;
        let mut command = Command::new(program);
        command.arg("--env").arg(&settings_file);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).kill_on_drop(true);
        self.process = Some(command.spawn()?);
        Ok(())
    }

    /// Waits for the process to exit. Returns its exit code, if it has one.
    pub(super) async fn wait_for_exit(&mut self) -> Option<i32> {
        let mut process = self.process.take()?;
        process.wait().await.ok().and_then(|status| status.code())
    }

    /// Kills the process without waiting for its exit.
    pub(super) fn kill_without_waiting(&mut self) {
        self.process = None;
    }

    /// Sends a signal to the process, if it is running.
    pub(super) fn signal(&self, signal: i32) {
        if let Some(pid) = self.pid() {
            // SAFETY: the process is a child of this one whose exit was not awaited, so its id is not reused.
            unsafe {
                libc::kill(pid, signal);
            }
        }
    }

    /// Limits the size of the files that the process writes, in bytes; `None` removes the limit.
    pub(super) fn set_file_size_limit(&self, bytes: Option<u64>) {
        let limit = libc::rlimit { rlim_cur: bytes.unwrap_or(libc::RLIM_INFINITY), rlim_max: libc::RLIM_INFINITY };
        if let Some(pid) = self.pid() {
            // SAFETY: the process is a child of this one, and `limit` outlives the call.
            unsafe {
                libc::prlimit(pid, libc::RLIMIT_FSIZE, &raw const limit, std::ptr::null_mut());
            }
        }
    }
}

/// Blocks until all threads of the process have stopped. The wait status stays available to a later wait.
pub fn wait_until_stopped(pid: i32) -> io::Result<()> {
    let id = libc::id_t::try_from(pid).map_err(io::Error::other)?;
    // SAFETY: `waitid` fills `info`, which outlives the call; all zeros are a valid `siginfo_t`.
    let result = unsafe {
        let mut info: libc::siginfo_t = std::mem::zeroed();
        libc::waitid(libc::P_PID, id, &raw mut info, libc::WSTOPPED | libc::WNOWAIT)
    };
    if result == 0 { Ok(()) } else { Err(io::Error::last_os_error()) }
}
