use crate::standin::{Http, client, text};
use hyper::Method;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};
use sumacvale_core::base::sha256_hex;
use tokio::process::{Child, Command};

/// The sizes of a deployment of the brief.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    pub name: &'static str,
    pub fronts: usize,
    pub models: usize,
    pub apps: usize,
    pub tenants: usize,
    /// Quick lookups a second, and calls to the model.
    pub lookups: u64,
    pub model_calls: u64,
}

impl Shape {
    pub const MTATSMINDA: Shape =
        Shape { name: "mtatsminda", fronts: 6, models: 20, apps: 3, tenants: 8, lookups: 40, model_calls: 120 };
    pub const DERWENT: Shape =
        Shape { name: "derwent", fronts: 9, models: 10, apps: 3, tenants: 8, lookups: 25, model_calls: 60 };

    pub fn named(s: &str) -> Option<Shape> {
        [Self::MTATSMINDA, Self::DERWENT].into_iter().find(|x| x.name == s)
    }
}

#[derive(Debug)]
pub struct Node {
    pub ip: String,
    pub zone: String,
    pub core: bool,
    child: Option<Child>,
    dir: PathBuf,
}

impl Node {
    pub fn peer(&self) -> String {
        format!("{}:7100", self.ip)
    }

    pub fn admin(&self) -> String {
        format!("{}:7101", self.ip)
    }

    pub fn front(&self) -> String {
        format!("{}:7102", self.ip)
    }

    pub fn pid(&self) -> Option<i32> {
        self.child.as_ref().and_then(Child::id).and_then(|p| i32::try_from(p).ok())
    }

    /// Processor time that this process has used, in milliseconds.
    pub fn cpu(&self) -> u64 {
        let Some(p) = self.pid() else { return 0 };
        let s = std::fs::read_to_string(format!("/proc/{p}/stat")).unwrap_or_default();
        let f: Vec<_> = s.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let n = |i: usize| f.get(i).and_then(|x| x.parse::<u64>().ok()).unwrap_or(0);
        // Ticks of a hundredth of a second, as on every Linux that this runs on.
        (n(11) + n(12)) * 10
    }

    pub fn up(&self) -> bool {
        self.child.is_some()
    }
}

/// Processes of `sumacvale` and the folder they live in.
pub struct Fleet {
    pub nodes: Vec<Node>,
    pub http: Http,
    pub net: String,
    _held: std::net::TcpListener,
    dir: PathBuf,
    bin: PathBuf,
}

pub const OPERATOR: (&str, &str) = ("authorization", "Bearer operator-token");

/// The program lies beside this one, or one folder up when tests run.
fn binary() -> std::io::Result<PathBuf> {
    let me = std::env::current_exe()?;
    let mut d = me.parent();
    while let Some(p) = d {
        let b = p.join("sumacvale");
        if b.is_file() {
            return Ok(b);
        }
        d = p.parent();
    }
    Err(std::io::Error::other("no program sumacvale beside this one: run cargo build --workspace first"))
}

/// Blocks until the whole process has stopped; its exit status stays to be collected.
fn wait_until_stopped(pid: i32) -> std::io::Result<()> {
    let id = libc::id_t::try_from(pid).map_err(std::io::Error::other)?;
    // SAFETY: `waitid` fills `info`, which outlives the call; all zeros are a valid value of it.
    let result = unsafe {
        let mut info: libc::siginfo_t = std::mem::zeroed();
        libc::waitid(libc::P_PID, id, &raw mut info, libc::WSTOPPED | libc::WNOWAIT)
    };
    if result == 0 { Ok(()) } else { Err(std::io::Error::last_os_error()) }
}

impl Fleet {
    pub fn new(cores: usize, fronts: usize) -> std::io::Result<Fleet> {
        let (net, held, dir) = Self::place()?;
        let nodes = (0..cores + fronts)
            .map(|i| Node {
                ip: format!("{net}.{}", i + 1),
                zone: format!("z{}", i % 3 + 1),
                core: i < cores,
                child: None,
                dir: dir.join(format!("n{i}")),
            })
            .collect();
        Ok(Fleet { nodes, http: client(), net, _held: held, dir, bin: binary()? })
    }

    /// A loopback net of its own, held by a listener, so that fleets never meet.
    fn place() -> std::io::Result<(String, std::net::TcpListener, PathBuf)> {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let pid = std::process::id();
        for _ in 0..400 {
            let k = NEXT.fetch_add(1, Ordering::Relaxed);
            let net = format!("127.{}.{}", 20 + (pid / 200 + k) % 200, 1 + (pid + 7 * k) % 200);
            let Ok(l) = std::net::TcpListener::bind(format!("{net}.254:7099")) else { continue };
            let dir = std::env::temp_dir().join(format!("testbed-{pid}-{k}"));
            std::fs::create_dir(&dir)?;
            return Ok((net, l, dir));
        }
        Err(std::io::Error::other("no free loopback net"))
    }

    fn env(&self, i: usize) -> String {
        let n = &self.nodes[i];
        let seeds: Vec<_> = self.nodes.iter().take(3).map(|n| format!("\"{}\"", n.peer())).collect();
        let data = if n.core { format!("\"data\":\"{}\",", n.dir.join("data").display()) } else { String::new() };
        format!(
            "{{{data}\"zone\":\"{}\",\"peer\":\"{}\",\"admin\":\"{}\",\"downstream\":\"{}\",\"seeds\":[{}],\"operators\":[\"sha256:{}\"],\"workers\":[\"sha256:{}\"],\"notice_ms\":1500,\"grace_ms\":8000}}",
            n.zone,
            n.peer(),
            n.admin(),
            n.front(),
            seeds.join(","),
            sha256_hex(b"operator-token"),
            sha256_hex(b"worker-token"),
        )
    }

    pub fn start(&mut self, i: usize) -> std::io::Result<()> {
        let env = self.env(i);
        let n = &mut self.nodes[i];
        std::fs::create_dir_all(&n.dir)?;
        let f = n.dir.join("env.json");
        std::fs::write(&f, env)?;
        let log = std::fs::OpenOptions::new().create(true).append(true).open(n.dir.join("log"))?;
        n.child = Some(
            Command::new(&self.bin)
                .arg("--env")
                .arg(&f)
                .stdin(Stdio::null())
                .stdout(Stdio::null())
                .stderr(log)
                .kill_on_drop(true)
                .spawn()?,
        );
        Ok(())
    }

    /// Another machine in the place of one that is lost, with an empty disk.
    pub fn replace(&mut self, i: usize) {
        let k = self.nodes.len() + 100;
        let ip = format!("{}.{}", self.net, k + i);
        let dir = self.dir.join(format!("n{i}-new-{k}"));
        self.nodes[i].ip = ip;
        self.nodes[i].dir = dir;
    }

    pub fn signal(&self, i: usize, s: i32) {
        if let Some(p) = self.nodes[i].pid() {
            // SAFETY: the process is a child of ours that was not waited for.
            unsafe {
                libc::kill(p, s);
            }
        }
    }

    /// Freezes a node and returns once each of its threads stands still.
    ///
    /// A process goes on with its other threads until the one that takes the signal is run, which may
    /// take milliseconds on a busy machine.
    pub async fn freeze(&self, i: usize) -> Result<(), String> {
        let Some(pid) = self.nodes[i].pid() else { return Ok(()) };
        self.signal(i, libc::SIGSTOP);
        let stopped = tokio::task::spawn_blocking(move || wait_until_stopped(pid)).await;
        stopped.map_err(std::io::Error::from).flatten().map_err(|e| e.to_string())
    }

    /// How far a core's file has grown.
    pub fn written(&self, i: usize) -> u64 {
        let wal = self.nodes[i].dir.join("data").join("state.db-wal");
        std::fs::metadata(wal).map_or(0, |m| m.len())
    }

    /// Lets the files of a node grow no further than this, as on a full disk.
    pub fn limit(&self, i: usize, most: Option<u64>) {
        let l = libc::rlimit { rlim_cur: most.unwrap_or(libc::RLIM_INFINITY), rlim_max: libc::RLIM_INFINITY };
        if let Some(p) = self.nodes[i].pid() {
            // SAFETY: the process is a child of ours, and `l` outlives the call.
            unsafe {
                libc::prlimit(p, libc::RLIMIT_FSIZE, &raw const l, std::ptr::null_mut());
            }
        }
    }

    pub async fn kill(&mut self, i: usize) {
        self.signal(i, libc::SIGKILL);
        self.wait(i).await;
    }

    pub async fn wait(&mut self, i: usize) -> Option<i32> {
        let mut c = self.nodes[i].child.take()?;
        c.wait().await.ok().and_then(|s| s.code())
    }

    pub fn log(&self, i: usize) -> String {
        std::fs::read_to_string(self.nodes[i].dir.join("log")).unwrap_or_default()
    }

    pub fn folder(&self) -> &Path {
        &self.dir
    }

    pub async fn ready(&self, i: usize) -> bool {
        let u = format!("http://{}/readyz", self.nodes[i].front());
        let r = tokio::time::timeout(Duration::from_secs(1), text(&self.http, Method::GET, &u, &[], "")).await;
        matches!(r, Ok(Ok((200, _))))
    }

    /// Waits until every process that should run is ready.
    pub async fn all_ready(&self, most: Duration) -> Result<Duration, String> {
        let t = Instant::now();
        loop {
            let mut bad = Vec::new();
            for i in 0..self.nodes.len() {
                if self.nodes[i].up() && !self.ready(i).await {
                    bad.push(self.nodes[i].ip.clone());
                }
            }
            if bad.is_empty() {
                return Ok(t.elapsed());
            }
            if t.elapsed() > most {
                return Err(format!("not ready after {} ms: {bad:?}", t.elapsed().as_millis()));
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    pub async fn admin(
        &self,
        i: usize,
        m: Method,
        path: &str,
        more: &[(&str, &str)],
        body: &str,
    ) -> Result<(u16, String), String> {
        let mut h = vec![OPERATOR];
        h.extend_from_slice(more);
        text(&self.http, m, &format!("http://{}{path}", self.nodes[i].admin()), &h, body).await
    }

    pub async fn metrics(&self, i: usize) -> Vec<(String, u64)> {
        let Ok((200, s)) = self.admin(i, Method::GET, "/metrics", &[], "").await else { return Vec::new() };
        s.lines()
            .filter(|l| !l.starts_with('#'))
            .filter_map(|l| {
                let (k, v) = l.split_once(' ')?;
                Some((k.to_owned(), v.parse().ok()?))
            })
            .collect()
    }

    pub async fn version(&self, i: usize) -> Option<u64> {
        self.metrics(i).await.into_iter().find(|x| x.0 == "sumacvale_version").map(|x| x.1)
    }

    /// How long until every running node has at least this version.
    pub async fn spread(&self, v: u64, most: Duration) -> Result<Duration, String> {
        let t = Instant::now();
        loop {
            let mut bad = Vec::new();
            for i in 0..self.nodes.len() {
                if self.nodes[i].up() && self.version(i).await.is_none_or(|x| x < v) {
                    bad.push(self.nodes[i].ip.clone());
                }
            }
            if bad.is_empty() {
                return Ok(t.elapsed());
            }
            if t.elapsed() > most {
                return Err(format!("version {v} not in force after {} ms on {bad:?}", t.elapsed().as_millis()));
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for n in &mut self.nodes {
            n.child = None;
        }
        if std::env::var_os("TESTBED_KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}
