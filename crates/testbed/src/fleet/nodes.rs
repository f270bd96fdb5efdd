//! The processes of a fleet, their faults and requests to their admin API.

use super::node::{Node, wait_until_stopped};
use crate::standin::{HttpClient, http_client, request_text};
use hyper::Method;
use std::io;
use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};
use sumacvale_core::base::sha256_hex;

/// Zones over which the nodes are spread.
const ZONES: usize = 3;
/// Nodes that each node connects to first.
const SEEDS: usize = 3;
/// Loopback nets that are tried.
const NET_ATTEMPTS: u32 = 400;
/// How long a readiness check may take.
const READY_TIMEOUT: Duration = Duration::from_secs(1);
/// The header by which the operator is known.
const OPERATOR: (&str, &str) = ("authorization", "Bearer operator-token");

/// Processes of `sumacvale` and the folder of their data and logs. They are killed when this is
/// dropped; the folder is then removed unless `TESTBED_KEEP` is set.
pub struct Fleet {
    /// The nodes: cores first, then fronts.
    pub nodes: Vec<Node>,
    /// The client for all requests to nodes.
    pub http: HttpClient,
    /// The first three numbers of every address of the fleet.
    pub net: String,
    /// Keeps other fleets off the net while this one uses it.
    _reservation: TcpListener,
    folder: PathBuf,
    program: PathBuf,
}

/// The counters and gauges of a node. A name includes its labels.
#[derive(Clone, Debug, Default)]
pub struct Metrics(Vec<(String, u64)>);

impl Metrics {
    fn parse(text: &str) -> Self {
        let parse_line = |line: &str| {
            let (name, value) = line.split_once(' ')?;
            Some((name.to_owned(), value.parse().ok()?))
        };
        Metrics(text.lines().filter(|line| !line.starts_with('#')).filter_map(parse_line).collect())
    }

    /// The value of this name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<u64> {
        self.iter().find(|(other, _)| *other == name).map(|(_, value)| value)
    }

    /// All names and values, in the node's order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, u64)> {
        self.0.iter().map(|(name, value)| (name.as_str(), *value))
    }
}

/// A loopback net and a folder that no other fleet uses.
struct Place {
    net: String,
    reservation: TcpListener,
    folder: PathBuf,
}

impl Place {
    fn reserve() -> io::Result<Place> {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let pid = std::process::id();
        for _ in 0..NET_ATTEMPTS {
            let number = NEXT.fetch_add(1, Ordering::Relaxed);
            let net = format!("127.{}.{}", 20 + (pid / 200 + number) % 200, 1 + (pid + 7 * number) % 200);
            let Ok(reservation) = TcpListener::bind(format!("{net}.254:7099")) else { continue };
            let folder = std::env::temp_dir().join(format!("testbed-{pid}-{number}"));
            std::fs::create_dir(&folder)?;
            return Ok(Place { net, reservation, folder });
        }
        Err(io::Error::other("no free loopback net"))
    }
}

/// The program lies beside this one, or some folders up when tests run.
fn find_program() -> io::Result<PathBuf> {
    let this_program = std::env::current_exe()?;
    let programs = this_program.ancestors().skip(1).map(|folder| folder.join("sumacvale"));
    let missing = "no program sumacvale beside this one: run cargo build --workspace first";
    programs.into_iter().find(|program| program.is_file()).ok_or_else(|| io::Error::other(missing))
}

impl Fleet {
    /// A fleet of which nothing runs yet.
    ///
    /// # Errors
    ///
    /// No loopback net is free, no folder can be made, or the program was not built.
    pub fn new(cores: usize, fronts: usize) -> io::Result<Fleet> {
        let Place { net, reservation, folder } = Place::reserve()?;
        let new_node = |index: usize| {
            let (ip, zone) = (format!("{net}.{}", index + 1), format!("z{}", index % ZONES + 1));
            Node::new(ip, zone, index < cores, folder.join(format!("n{index}")))
        };
        let nodes = (0..cores + fronts).map(new_node).collect();
        Ok(Fleet { nodes, http: http_client(), net, _reservation: reservation, folder, program: find_program()? })
    }

    fn settings(&self, index: usize) -> String {
        let node = &self.nodes[index];
        let seeds: Vec<_> = self.nodes.iter().take(SEEDS).map(|seed| format!("\"{}\"", seed.peer())).collect();
        let data = if node.core { format!("\"data\":\"{}\",", node.data_folder().display()) } else { String::new() };
        format!(
            "{{{data}\"zone\":\"{}\",\"peer\":\"{}\",\"admin\":\"{}\",\"downstream\":\"{}\",\"seeds\":[{}],\"operators\":[\"sha256:{}\"],\"workers\":[\"sha256:{}\"],\"notice_ms\":1500,\"grace_ms\":8000}}",
            node.zone,
            node.peer(),
            node.admin(),
            node.front(),
            seeds.join(","),
            sha256_hex(b"operator-token"),
            sha256_hex(b"worker-token"),
        )
    }

    /// Starts the process of a node.
    ///
    /// # Errors
    ///
    /// Its files can't be written or the program can't be run.
    pub fn start(&mut self, index: usize) -> io::Result<()> {
        let settings = self.settings(index);
        self.nodes[index].start(&self.program, &settings)
    }

    /// Puts another machine, with another address and an empty disk, in the place of one that is lost.
    pub fn replace_machine(&mut self, index: usize) {
        let number = self.nodes.len() + 100;
        let ip = format!("{}.{}", self.net, number + index);
        let folder = self.folder.join(format!("n{index}-new-{number}"));
        self.nodes[index].replace(ip, folder);
    }

    /// Sends a signal to a node, if it runs.
    pub fn signal(&self, index: usize, signal: i32) {
        self.nodes[index].signal(signal);
    }

    /// Freezes a node and returns once each of its threads stands still.
    ///
    /// A process continues with its other threads until the one that takes the signal is run, which may
    /// take milliseconds on a busy machine.
    ///
    /// # Errors
    ///
    /// The process can't be waited for.
    pub async fn freeze(&self, index: usize) -> Result<(), String> {
        let Some(pid) = self.nodes[index].pid() else { return Ok(()) };
        self.signal(index, libc::SIGSTOP);
        let stopped = tokio::task::spawn_blocking(move || wait_until_stopped(pid)).await;
        stopped.map_err(io::Error::from).flatten().map_err(|error| error.to_string())
    }

    /// The size of a core's write-ahead log, in bytes.
    #[must_use]
    pub fn wal_bytes(&self, index: usize) -> u64 {
        let wal = self.nodes[index].data_folder().join("state.db-wal");
        std::fs::metadata(wal).map_or(0, |metadata| metadata.len())
    }

    /// Lets the files of a node grow no further than this, as on a full disk; or without a limit.
    pub fn limit_file_size(&self, index: usize, bytes: Option<u64>) {
        self.nodes[index].limit_file_size(bytes);
    }

    /// Kills a node and waits for its end.
    pub async fn kill(&mut self, index: usize) {
        self.signal(index, libc::SIGKILL);
        self.wait_for_exit(index).await;
    }

    /// Waits for a node's end and gives its exit code, if it had one.
    pub async fn wait_for_exit(&mut self, index: usize) -> Option<i32> {
        self.nodes[index].wait_for_exit().await
    }

    /// What a node has logged so far.
    #[must_use]
    pub fn log_text(&self, index: usize) -> String {
        self.nodes[index].log_text()
    }

    /// Whether a node says that it is ready.
    pub async fn is_ready(&self, index: usize) -> bool {
        let uri = format!("http://{}/readyz", self.nodes[index].front());
        let check = request_text(&self.http, Method::GET, &uri, &[], "");
        matches!(tokio::time::timeout(READY_TIMEOUT, check).await, Ok(Ok((200, _))))
    }

    /// Waits until every running node is ready; gives how long that took.
    ///
    /// # Errors
    ///
    /// It took longer than `limit`.
    pub async fn wait_until_ready(&self, limit: Duration) -> Result<Duration, String> {
        let begin = Instant::now();
        loop {
            let mut not_ready = Vec::new();
            for (index, node) in self.running() {
                if !self.is_ready(index).await {
                    not_ready.push(node.ip.clone());
                }
            }
            if not_ready.is_empty() {
                return Ok(begin.elapsed());
            }
            if begin.elapsed() > limit {
                return Err(format!("not ready after {} ms: {not_ready:?}", begin.elapsed().as_millis()));
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits until every running node has at least this version; gives how long that took.
    ///
    /// # Errors
    ///
    /// It took longer than `limit`.
    pub async fn wait_for_version(&self, version: u64, limit: Duration) -> Result<Duration, String> {
        let begin = Instant::now();
        loop {
            let mut behind = Vec::new();
            for (index, node) in self.running() {
                if self.version(index).await.is_none_or(|present| present < version) {
                    behind.push(node.ip.clone());
                }
            }
            if behind.is_empty() {
                return Ok(begin.elapsed());
            }
            if begin.elapsed() > limit {
                let elapsed_ms = begin.elapsed().as_millis();
                return Err(format!("version {version} not in force after {elapsed_ms} ms on {behind:?}"));
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    fn running(&self) -> impl Iterator<Item = (usize, &Node)> {
        self.nodes.iter().enumerate().filter(|(_, node)| node.is_running())
    }

    /// Sends a request to a node's admin API as the operator; gives the status and the body.
    ///
    /// # Errors
    ///
    /// There was no complete response.
    pub async fn admin_request(
        &self,
        index: usize,
        method: Method,
        path: &str,
        more_headers: &[(&str, &str)],
        body: &str,
    ) -> Result<(u16, String), String> {
        let headers = [&[OPERATOR], more_headers].concat();
        let uri = format!("http://{}{path}", self.nodes[index].admin());
        request_text(&self.http, method, &uri, &headers, body).await
    }

    /// The metrics of a node; none if it doesn't respond.
    pub async fn metrics(&self, index: usize) -> Metrics {
        match self.admin_request(index, Method::GET, "/metrics", &[], "").await {
            Ok((200, text)) => Metrics::parse(&text),
            _ => Metrics::default(),
        }
    }

    /// The version of the configuration that a node has.
    pub async fn version(&self, index: usize) -> Option<u64> {
        self.metrics(index).await.get("sumacvale_version")
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.nodes.iter_mut().for_each(Node::abandon);
        if std::env::var_os("TESTBED_KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
