//! The nodes of a fleet: their processes, faults and admin API.

use super::node::{Node, wait_until_stopped};
use crate::standin::{HttpClient, http_client, request_text};
use hyper::Method;
use std::io;
use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};
use sumacvale_core::base::sha256_hex;

/// The number of zones; nodes are spread evenly over them.
const ZONES: usize = 3;
/// The number of seed nodes in the settings of each node.
const SEEDS: usize = 3;
/// The number of loopback subnets that are tried before a fleet gives up.
const SUBNET_ATTEMPTS: u32 = 400;
/// The time-out of a readiness check.
const READY_TIMEOUT: Duration = Duration::from_secs(1);
/// The header that authenticates the operator.
const OPERATOR_HEADER: (&str, &str) = ("authorization", "Bearer operator-token");

/// A fleet of `sumacvale` processes and the folder of their data and logs. Dropping the fleet kills the
/// processes and removes the folder, unless the environment variable `TESTBED_KEEP` is set.
pub struct Fleet {
    /// The nodes: cores first, then fronts.
    pub nodes: Vec<Node>,
    /// The HTTP client for all requests to nodes.
    pub http: HttpClient,
    /// The first three octets of every address of the fleet.
    pub subnet: String,
    /// Reserves the subnet: other fleets cannot bind the address of this listener.
    _reservation: TcpListener,
    /// The folder of the data and logs of all nodes.
    folder: PathBuf,
    /// The path of the `sumacvale` program.
    program: PathBuf,
    /// The times of an ordered shutdown in the settings of nodes that are started later.
    pub shutdown_times: ShutdownTimes,
}

/// The times of an ordered shutdown, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownTimes {
    /// From SIGTERM until the listener for callers closes.
    pub notice_ms: u64,
    /// From then until calls in flight are cut.
    pub grace_ms: u64,
}

impl Default for ShutdownTimes {
    fn default() -> Self {
        ShutdownTimes { notice_ms: 1_500, grace_ms: 8_000 }
    }
}

/// The counters and gauges of a node, in the order of its response. Each name includes the labels.
#[derive(Clone, Debug, Default)]
pub struct Metrics(Vec<(String, u64)>);

impl Metrics {
    /// Parses the text format of Prometheus; lines without a whole number are skipped.
    fn parse(text: &str) -> Self {
        let parse_line = |line: &str| {
            let (name, value) = line.split_once(' ')?;
            Some((name.to_owned(), value.parse().ok()?))
        };
        Metrics(text.lines().filter(|line| !line.starts_with('#')).filter_map(parse_line).collect())
    }

    /// Returns the value of the metric with this name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<u64> {
        self.iter().find(|(other, _)| *other == name).map(|(_, value)| value)
    }

    /// Returns all names and values, in the order of the node's response.
    pub fn iter(&self) -> impl Iterator<Item = (&str, u64)> {
        self.0.iter().map(|(name, value)| (name.as_str(), *value))
    }
}

/// A loopback subnet and a folder that no other fleet uses.
struct ReservedSubnet {
    subnet: String,
    reservation: TcpListener,
    folder: PathBuf,
}

impl ReservedSubnet {
    /// Reserves the first free subnet and creates the folder.
    fn reserve() -> io::Result<ReservedSubnet> {
        static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);
        let pid = std::process::id();
        for _ in 0..SUBNET_ATTEMPTS {
            let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
            let subnet = format!("127.{}.{}", 20 + (pid / 200 + number) % 200, 1 + (pid + 7 * number) % 200);
            let Ok(reservation) = TcpListener::bind(format!("{subnet}.254:7099")) else { continue };
            let folder = std::env::temp_dir().join(format!("testbed-{pid}-{number}"));
            std::fs::create_dir(&folder)?;
            return Ok(ReservedSubnet { subnet, reservation, folder });
        }
        Err(io::Error::other("no free loopback subnet"))
    }
}

/// Returns the path of the program, which is in the folder of this program or, for tests, in a parent folder.
fn find_program() -> io::Result<PathBuf> {
    let this_program = std::env::current_exe()?;
    let candidates = this_program.ancestors().skip(1).map(|folder| folder.join("sumacvale"));
    let missing =
        "program sumacvale not found in the folder of this program or its parents: run cargo build --workspace first";
    candidates.into_iter().find(|program| program.is_file()).ok_or_else(|| io::Error::other(missing))
}

impl Fleet {
    /// Creates a fleet without starting any process.
    ///
    /// # Errors
    ///
    /// No loopback subnet is free, the folder can't be created, or the program was not built.
    pub fn new(cores: usize, fronts: usize) -> io::Result<Fleet> {
        let ReservedSubnet { subnet, reservation, folder } = ReservedSubnet::reserve()?;
        let new_node = |index: usize| {
            let (ip, zone) = (format!("{subnet}.{}", index + 1), format!("z{}", index % ZONES + 1));
            Node::new(ip, zone, index < cores, folder.join(format!("n{index}")))
        };
        let nodes = (0..cores + fronts).map(new_node).collect();
        Ok(Fleet {
            nodes,
            http: http_client(),
            subnet,
            _reservation: reservation,
            folder,
            program: find_program()?,
            shutdown_times: ShutdownTimes::default(),
        })
    }

    /// Returns the settings of a node as JSON.
    fn settings(&self, index: usize) -> String {
        let node = &self.nodes[index];
        let ShutdownTimes { notice_ms, grace_ms } = self.shutdown_times;
        let seeds: Vec<_> = self.nodes.iter().take(SEEDS).map(|seed| format!("\"{}\"", seed.peer())).collect();
        let data_field =
            if node.is_core { format!("\"data\":\"{}\",", node.data_folder().display()) } else { String::new() };
        format!(
            "{{{data_field}\"zone\":\"{}\",\"peer\":\"{}\",\"admin\":\"{}\",\"downstream\":\"{}\",\"seeds\":[{}],\"operators\":[\"sha256:{}\"],\"workers\":[\"sha256:{}\"],\"notice_ms\":{notice_ms},\"grace_ms\":{grace_ms}}}",
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
    /// The files of the node can't be written or the program can't be run.
    pub fn start(&mut self, index: usize) -> io::Result<()> {
        let settings = self.settings(index);
        self.nodes[index].start(&self.program, &settings)
    }

    /// Replaces a lost machine by one with another address and an empty disk.
    pub fn replace_machine(&mut self, index: usize) {
        let number = self.nodes.len() + 100;
        let ip = format!("{}.{}", self.subnet, number + index);
        let folder = self.folder.join(format!("n{index}-new-{number}"));
        self.nodes[index].replace(ip, folder);
    }

    /// Sends a signal to a node, if it is running.
    pub fn signal(&self, index: usize, signal: i32) {
        self.nodes[index].signal(signal);
    }

    /// Freezes a node with SIGSTOP and returns once all of its threads have stopped.
    ///
    /// The other threads of the process continue until the thread that handles the signal is scheduled, which
    /// may take milliseconds on a busy machine.
    ///
    /// # Errors
    ///
    /// The stop of the process can't be awaited.
    pub async fn freeze(&self, index: usize) -> Result<(), String> {
        let Some(pid) = self.nodes[index].pid() else { return Ok(()) };
        self.signal(index, libc::SIGSTOP);
        let stopped = tokio::task::spawn_blocking(move || wait_until_stopped(pid)).await;
        stopped.map_err(io::Error::from).flatten().map_err(|error| error.to_string())
    }

    /// Returns the size of a core's write-ahead log, in bytes; 0 if there is none.
    #[must_use]
    pub fn wal_bytes(&self, index: usize) -> u64 {
        let wal = self.nodes[index].data_folder().join("state.db-wal");
        std::fs::metadata(wal).map_or(0, |metadata| metadata.len())
    }

    /// Limits the size of the files of a node, in bytes, as a full disk does; `None` removes the limit.
    pub fn set_file_size_limit(&self, index: usize, bytes: Option<u64>) {
        self.nodes[index].set_file_size_limit(bytes);
    }

    /// Kills a node and waits for its exit.
    pub async fn kill(&mut self, index: usize) {
        self.signal(index, libc::SIGKILL);
        self.wait_for_exit(index).await;
    }

    /// Waits for the exit of a node. Returns its exit code, if it has one.
    pub async fn wait_for_exit(&mut self, index: usize) -> Option<i32> {
        self.nodes[index].wait_for_exit().await
    }

    /// Returns what a node has logged so far.
    #[must_use]
    pub fn log_text(&self, index: usize) -> String {
        self.nodes[index].log_text()
    }

    /// Returns true if the readiness check of a node succeeds.
    pub async fn is_ready(&self, index: usize) -> bool {
        let uri = format!("http://{}/readyz", self.nodes[index].front());
        let check = request_text(&self.http, Method::GET, &uri, &[], "");
        matches!(tokio::time::timeout(READY_TIMEOUT, check).await, Ok(Ok((200, _))))
    }

    /// Waits until all running nodes are ready. Returns the time that this took.
    ///
    /// # Errors
    ///
    /// The condition did not hold within `limit`.
    pub async fn wait_until_ready(&self, limit: Duration) -> Result<Duration, String> {
        let begin = Instant::now();
        loop {
            let mut not_ready = Vec::new();
            for (index, node) in self.running_nodes() {
                if !self.is_ready(index).await {
                    not_ready.push(node.ip.clone());
                }
            }
            if not_ready.is_empty() {
                return Ok(begin.elapsed());
            }
            if begin.elapsed() > limit {
                return Err(format!("nodes not ready after {} ms: {not_ready:?}", begin.elapsed().as_millis()));
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits until all running nodes have at least this version. Returns the time that this took.
    ///
    /// # Errors
    ///
    /// The condition did not hold within `limit`.
    pub async fn wait_for_version(&self, version: u64, limit: Duration) -> Result<Duration, String> {
        let begin = Instant::now();
        loop {
            let mut behind = Vec::new();
            for (index, node) in self.running_nodes() {
                if self.version(index).await.is_none_or(|current| current < version) {
                    behind.push(node.ip.clone());
                }
            }
            if behind.is_empty() {
                return Ok(begin.elapsed());
            }
            if begin.elapsed() > limit {
                let elapsed_ms = begin.elapsed().as_millis();
                return Err(format!("version {version} not applied after {elapsed_ms} ms on {behind:?}"));
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Returns the running nodes with their indices.
    fn running_nodes(&self) -> impl Iterator<Item = (usize, &Node)> {
        self.nodes.iter().enumerate().filter(|(_, node)| node.is_running())
    }

    /// Sends a request to a node's admin API as the operator. Returns the status and the body.
    ///
    /// # Errors
    ///
    /// No complete response was received.
    pub async fn admin_request(
        &self,
        index: usize,
        method: Method,
        path: &str,
        extra_headers: &[(&str, &str)],
        body: &str,
    ) -> Result<(u16, String), String> {
        let headers = [&[OPERATOR_HEADER], extra_headers].concat();
        let uri = format!("http://{}{path}", self.nodes[index].admin());
        request_text(&self.http, method, &uri, &headers, body).await
    }

    /// Returns the metrics of a node; none if the node doesn't respond.
    pub async fn metrics(&self, index: usize) -> Metrics {
        match self.admin_request(index, Method::GET, "/metrics", &[], "").await {
            Ok((200, text)) => Metrics::parse(&text),
            _ => Metrics::default(),
        }
    }

    /// Returns the version of the configuration that a node has, if the node responds.
    pub async fn version(&self, index: usize) -> Option<u64> {
        self.metrics(index).await.get("sumacvale_version")
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.nodes.iter_mut().for_each(Node::kill_without_waiting);
        if std::env::var_os("TESTBED_KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
