//! The front of a node alone, between a raw client and stand-in workers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64};
use sumacvale_core::base::SEC;
use sumacvale_core::call::SharedCallState;
use sumacvale_core::config::CompiledConfig;
use sumacvale_core::node::View;
use sumacvale_core::protocol::WorkerReport;
use sumacvale_node::protocol_adapter::{HeaderNames, ProtocolAdapter};
use sumacvale_node::settings::Settings;
use sumacvale_node::shared::{CallEvents, Shared};
use sumacvale_node::{admin, clock, serve};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

/// Names of heads; where answers bear seals, each names its request too.
const fn dialect(seal: Option<&'static str>) -> ProtocolAdapter {
    let heads = HeaderNames {
        request_id: "x-call-id",
        tenant: "x-tenant",
        quota_window: None,
        worker: Some("x-worker"),
        time_left: None,
        urgency: None,
        prompt_parts: None,
        token_counts: None,
        execution: None,
        not_run: ("x-not-run", None),
        worker_seal: seal,
        worker_load: None,
    };
    ProtocolAdapter {
        headers: heads,
        preserves_host: false,
        format_retry_after: seconds,
        config_reader: sumacvale_core::config::validate,
    }
}

fn seconds(_: u64, _: &str) -> String {
    "1".into()
}

/// Each answer names its request, and what ran bears a seal.
pub static SEALED: ProtocolAdapter = dialect(Some("x-seal"));

/// Workers need not name the request that they answer.
pub static LOOSE: ProtocolAdapter = dialect(None);

/// Four kinds of routes. `PATIENCE` is how long an answer may be silent.
const TREE: &str = r#"{
    "defaults": { "aim_ms": 4000, "first_ms": PATIENCE, "idle_ms": PATIENCE },
    "pools": { "p": {} },
    "matches": {
        "safe": { "under": "/safe/", "pool": "p", "kind": "lookup", "repeat": true, "tries": 2, "max_body": 9000000 },
        "unsafe": { "under": "/unsafe/", "pool": "p", "kind": "lookup", "tries": 2, "max_body": 9000000 },
        "stream": { "under": "/stream/", "pool": "p", "kind": "chat", "tries": 2, "max_body": 9000000 },
        "resume": { "under": "/resume/", "pool": "p", "kind": "chat", "repeat": true, "resume": true, "tries": 3,
                    "max_body": 9000000 }
    }
}"#;

/// Milliseconds that no call of a test waits for.
pub const LONG: u64 = 20_000;

/// Milliseconds after which a silent worker is given up, where a test waits for that.
pub const SHORT: u64 = 600;

/// A front whose view the test sets.
pub struct Front {
    shared: Arc<Shared>,
    workers: Vec<SocketAddr>,
    at: SocketAddr,
    _keep: (watch::Sender<bool>, watch::Sender<Option<u64>>, mpsc::Receiver<sumacvale_node::shared::Command>),
}

fn row(n: usize, addr: SocketAddr, seq: u64) -> WorkerReport {
    WorkerReport {
        worker_id: format!("w{n}"),
        incarnation: 1,
        seq,
        addr: addr.to_string(),
        pool: "p".into(),
        zone: "z".into(),
        slots: 8,
        busy: 0,
        draining: false,
        warm_up_left: 0,
        removed: false,
        age: 0,
    }
}

impl Front {
    pub async fn start(dialect: &'static ProtocolAdapter, workers: &[SocketAddr]) -> std::io::Result<Self> {
        let (inbox, commands) = mpsc::channel(1_000);
        let (version, seen) = watch::channel(Some(1));
        let shared = Arc::new(Shared {
            settings: Settings { zone: "z".into(), ..Settings::default() },
            adapter: dialect,
            node_id: "n".into(),
            view: arc_swap::ArcSwap::default(),
            commands: inbox,
            call_state: SharedCallState::new("z", 8, 64 << 20, Arc::default()),
            call_events: CallEvents::default(),
            upstreams: sumacvale_node::upstream::UpstreamPool::default(),
            connection_limits: Arc::default(),
            link_counters: Arc::default(),
            disk_error_count: None,
            stopping: AtomicBool::new(false),
            operator_draining: AtomicBool::new(false),
            published_version: seen,
            next_call_id: AtomicU64::new(0),
        });
        let l = TcpListener::bind("127.0.0.1:0").await?;
        let at = l.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        tokio::spawn(serve::run(l, admin::downstream(&shared), 100, Arc::default(), stopped));
        let f = Front { shared, workers: workers.to_vec(), at, _keep: (stop, version, commands) };
        f.report(1, LONG);
        Ok(f)
    }

    /// All workers report: those that failed a call may take calls again. A worker may be silent
    /// for `patience` milliseconds.
    pub fn report(&self, seq: u64, patience: u64) {
        let rows = self.workers.iter().enumerate().map(|(n, a)| row(n, *a, seq)).collect();
        let tree = TREE.replace("PATIENCE", &patience.to_string());
        let plan = Arc::new(CompiledConfig::compile(1, &tree));
        assert_eq!(plan.matches.len(), 4, "{:?}", sumacvale_core::config::validate(&tree));
        let fresh = Some(clock::now() + 3_600 * SEC);
        self.shared.view.store(Arc::new(View {
            version: Some(1),
            confirmed_at: fresh,
            config: plan,
            workers: Arc::new(rows),
            ..View::default()
        }));
        self.shared.call_state.caches.routes.delete("p");
    }

    /// Second tries are paid for.
    pub fn pay(&self) {
        for _ in 0..50 {
            self.shared.call_state.retry_budget.deposit();
        }
    }

    pub async fn client(&self) -> std::io::Result<Client> {
        Ok(Client { at: self.at, s: TcpStream::connect(self.at).await?, rest: Vec::new() })
    }
}

/// What a client made of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Got {
    pub status: u16,
    /// It ended properly.
    pub whole: bool,
    /// A worker's own answer.
    pub sealed: bool,
    pub id: String,
    pub body: String,
}

/// A client that reads the bytes of answers itself.
pub struct Client {
    at: SocketAddr,
    s: TcpStream,
    rest: Vec<u8>,
}

impl Client {
    /// One request; the connection is used again where the answer left it open.
    pub async fn call(&mut self, path: &str, id: &str, size: usize) -> std::io::Result<Option<Got>> {
        let body = format!("{{\"prompt\":\"{}\"}}", "x".repeat(size));
        let head =
            format!("POST {path} HTTP/1.1\r\nhost: x\r\nx-call-id: {id}\r\ncontent-length: {}\r\n\r\n", body.len());
        self.s.write_all((head + &body).as_bytes()).await?;
        let got = self.answer().await?;
        if got.as_ref().is_none_or(|g| !g.whole) {
            self.s = TcpStream::connect(self.at).await?;
            self.rest.clear();
        }
        Ok(got)
    }

    /// More bytes; false at the end.
    async fn more(&mut self) -> std::io::Result<bool> {
        let mut b = [0; 4096];
        match self.s.read(&mut b).await {
            Ok(n) => {
                self.rest.extend_from_slice(&b[..n]);
                Ok(n > 0)
            }
            Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => Ok(false),
            Err(e) => Err(e),
        }
    }

    async fn line(&mut self) -> std::io::Result<Option<String>> {
        loop {
            if let Some(i) = self.rest.windows(2).position(|w| w == b"\r\n") {
                let l: Vec<u8> = self.rest.drain(..i + 2).collect();
                return Ok(Some(String::from_utf8_lossy(&l[..i]).into_owned()));
            }
            if !self.more().await? {
                return Ok(None);
            }
        }
    }

    /// So many bytes, or those that came before the end.
    async fn bytes(&mut self, n: usize) -> std::io::Result<(String, bool)> {
        while self.rest.len() < n {
            if !self.more().await? {
                let b = std::mem::take(&mut self.rest);
                return Ok((String::from_utf8_lossy(&b).into_owned(), false));
            }
        }
        let b: Vec<u8> = self.rest.drain(..n).collect();
        Ok((String::from_utf8_lossy(&b).into_owned(), true))
    }

    async fn answer(&mut self) -> std::io::Result<Option<Got>> {
        let Some(first) = self.line().await? else { return Ok(None) };
        let bad = || std::io::Error::other(format!("no answer in the protocol: {first:?}"));
        let status = first.strip_prefix("HTTP/1.1 ").and_then(|s| s.get(..3)?.parse().ok()).ok_or_else(bad)?;
        let mut got = Got { status, whole: false, sealed: false, id: String::new(), body: String::new() };
        let (mut length, mut chunked) = (None, false);
        loop {
            let Some(l) = self.line().await? else { return Ok(Some(got)) };
            if l.is_empty() {
                break;
            }
            let (k, v) = l.split_once(':').ok_or_else(bad)?;
            match (k.to_ascii_lowercase().as_str(), v.trim()) {
                ("x-call-id", v) => v.clone_into(&mut got.id),
                ("x-seal", _) => got.sealed = true,
                ("content-length", v) => length = v.parse::<usize>().ok(),
                ("transfer-encoding", v) => chunked = v == "chunked",
                _ => {}
            }
        }
        if let Some(n) = length {
            (got.body, got.whole) = self.bytes(n).await?;
            return Ok(Some(got));
        }
        if !chunked {
            return Ok(Some(got));
        }
        loop {
            let Some(l) = self.line().await? else { break };
            let n = usize::from_str_radix(&l, 16).map_err(std::io::Error::other)?;
            let (b, whole) = self.bytes(n + 2).await?;
            if !whole {
                break;
            }
            got.body.push_str(&b[..n]);
            if n == 0 {
                got.whole = true;
                break;
            }
        }
        Ok(Some(got))
    }
}
