//! The front of a node without its control plane, between a raw client and stub workers.

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

/// Returns an adapter. Where `seal_header` is set, each response of a worker must also name its request.
const fn adapter(seal_header: Option<&'static str>) -> ProtocolAdapter {
    let header_names = HeaderNames {
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
        worker_seal: seal_header,
        worker_load: None,
    };
    ProtocolAdapter {
        headers: header_names,
        preserves_host: false,
        format_retry_after: one_second,
        config_reader: sumacvale_core::config::validate,
    }
}

/// Formats every `Retry-After` as one second.
fn one_second(_: u64, _: &str) -> String {
    "1".into()
}

/// Each response names its request, and the response of a worker that ran the request carries a seal.
pub static SEALED_ADAPTER: ProtocolAdapter = adapter(Some("x-seal"));

/// Workers need not name the request in their responses.
pub static LENIENT_ADAPTER: ProtocolAdapter = adapter(None);

/// A configuration with four kinds of routes. `RESPONSE_TIMEOUT_MS` is replaced by the time-outs for the head and
/// between chunks of a response.
const CONFIG: &str = r#"{
    "defaults": { "aim_ms": 4000, "first_ms": RESPONSE_TIMEOUT_MS, "idle_ms": RESPONSE_TIMEOUT_MS },
    "pools": { "p": {} },
    "matches": {
        "safe": { "under": "/safe/", "pool": "p", "kind": "lookup", "repeat": true, "tries": 2, "max_body": 9000000 },
        "unsafe": { "under": "/unsafe/", "pool": "p", "kind": "lookup", "tries": 2, "max_body": 9000000 },
        "stream": { "under": "/stream/", "pool": "p", "kind": "chat", "tries": 2, "max_body": 9000000 },
        "resume": { "under": "/resume/", "pool": "p", "kind": "chat", "repeat": true, "resume": true, "tries": 3,
                    "max_body": 9000000 }
    }
}"#;

/// A time-out that no call of a test reaches, in milliseconds.
pub const LONG_TIMEOUT_MS: u64 = 20_000;

/// The time-out of a silent worker in cases that reach it, in milliseconds.
pub const SHORT_TIMEOUT_MS: u64 = 600;

/// A front whose view the test sets.
pub struct Front {
    shared: Arc<Shared>,
    workers: Vec<SocketAddr>,
    addr: SocketAddr,
    /// The other ends of the channels of `shared`, which must stay open.
    _channels: (watch::Sender<bool>, watch::Sender<Option<u64>>, mpsc::Receiver<sumacvale_node::shared::Command>),
}

fn worker_report(index: usize, addr: SocketAddr, seq: u64) -> WorkerReport {
    WorkerReport {
        worker_id: format!("w{index}"),
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
    /// Starts the listener, with a view in which all workers are available.
    pub async fn start(protocol_adapter: &'static ProtocolAdapter, workers: &[SocketAddr]) -> std::io::Result<Self> {
        let (command_sender, commands) = mpsc::channel(1_000);
        let (version, version_receiver) = watch::channel(Some(1));
        let shared = Arc::new(Shared {
            settings: Settings { zone: "z".into(), ..Settings::default() },
            adapter: protocol_adapter,
            node_id: "n".into(),
            view: arc_swap::ArcSwap::default(),
            commands: command_sender,
            call_state: SharedCallState::new("z", 8, 64 << 20, Arc::default()),
            call_events: CallEvents::default(),
            upstreams: sumacvale_node::upstream::UpstreamPool::default(),
            connection_limits: Arc::default(),
            link_counters: Arc::default(),
            disk_error_count: None,
            stopping: AtomicBool::new(false),
            grace_is_over: AtomicBool::new(false),
            operator_draining: AtomicBool::new(false),
            published_version: version_receiver,
            next_call_number: AtomicU64::new(0),
        });
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        tokio::spawn(serve::serve_listener(listener, admin::client_routes(&shared), 100, Arc::default(), stopped));
        let front = Front { shared, workers: workers.to_vec(), addr, _channels: (stop, version, commands) };
        front.publish_view(1, LONG_TIMEOUT_MS);
        Ok(front)
    }

    /// Publishes a view with a new report of every worker, after which workers that failed a call may take calls
    /// again. A response may be silent for `response_timeout_ms`.
    pub fn publish_view(&self, seq: u64, response_timeout_ms: u64) {
        let reports = self.workers.iter().enumerate().map(|(index, addr)| worker_report(index, *addr, seq)).collect();
        let document = CONFIG.replace("RESPONSE_TIMEOUT_MS", &response_timeout_ms.to_string());
        let compiled = Arc::new(CompiledConfig::compile(1, &document));
        assert_eq!(compiled.matches.len(), 4, "{:?}", sumacvale_core::config::validate(&document));
        let confirmed_in_future = Some(clock::now() + 3_600 * SEC);
        self.shared.view.store(Arc::new(View {
            version: Some(1),
            confirmed_at: confirmed_in_future,
            config: compiled,
            workers: Arc::new(reports),
            ..View::default()
        }));
        self.shared.call_state.caches.routes.delete("p");
    }

    /// Fills the retry budget, so that every retry is allowed.
    pub fn fill_retry_budget(&self) {
        for _ in 0..1_000 {
            self.shared.call_state.retry_budget.record_first_attempt("p", clock::now());
        }
    }

    /// Connects a client.
    pub async fn client(&self) -> std::io::Result<Client> {
        Ok(Client { addr: self.addr, stream: TcpStream::connect(self.addr).await?, buffer: Vec::new() })
    }
}

/// A response as a client received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientResponse {
    pub status: u16,
    /// True if the response ended properly.
    pub is_complete: bool,
    /// True if the response is a worker's own, with its seal.
    pub is_sealed: bool,
    /// The id of the call that the response names.
    pub call_id: String,
    pub body: String,
}

/// A client that parses the bytes of responses itself.
pub struct Client {
    addr: SocketAddr,
    stream: TcpStream,
    /// Bytes that were received and not parsed yet.
    buffer: Vec<u8>,
}

impl Client {
    /// Sends one request and reads its response; `None` if the connection was closed without one. Reconnects if the
    /// response was not complete.
    pub async fn call(
        &mut self,
        path: &str,
        call_id: &str,
        prompt_bytes: usize,
    ) -> std::io::Result<Option<ClientResponse>> {
        let body = format!("{{\"prompt\":\"{}\"}}", "x".repeat(prompt_bytes));
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: x\r\nx-call-id: {call_id}\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        self.stream.write_all((head + &body).as_bytes()).await?;
        let response = self.read_response().await?;
        if response.as_ref().is_none_or(|response| !response.is_complete) {
            self.stream = TcpStream::connect(self.addr).await?;
            self.buffer.clear();
        }
        Ok(response)
    }

    /// Reads more bytes into the buffer. Returns false at the end of the connection.
    async fn fill_buffer(&mut self) -> std::io::Result<bool> {
        let mut chunk = [0; 4096];
        match self.stream.read(&mut chunk).await {
            Ok(count) => {
                self.buffer.extend_from_slice(&chunk[..count]);
                Ok(count > 0)
            }
            Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => Ok(false),
            Err(e) => Err(e),
        }
    }

    /// Reads one line without its end; `None` at the end of the connection.
    async fn read_line(&mut self) -> std::io::Result<Option<String>> {
        loop {
            if let Some(length) = self.buffer.windows(2).position(|window| window == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..length + 2).collect();
                return Ok(Some(String::from_utf8_lossy(&line[..length]).into_owned()));
            }
            if !self.fill_buffer().await? {
                return Ok(None);
            }
        }
    }

    /// Reads `count` bytes and true, or the bytes before the end of the connection and false.
    async fn read_bytes(&mut self, count: usize) -> std::io::Result<(String, bool)> {
        while self.buffer.len() < count {
            if !self.fill_buffer().await? {
                let bytes = std::mem::take(&mut self.buffer);
                return Ok((String::from_utf8_lossy(&bytes).into_owned(), false));
            }
        }
        let bytes: Vec<u8> = self.buffer.drain(..count).collect();
        Ok((String::from_utf8_lossy(&bytes).into_owned(), true))
    }

    /// Reads one response; `None` if the connection ended before its first line.
    async fn read_response(&mut self) -> std::io::Result<Option<ClientResponse>> {
        let Some(status_line) = self.read_line().await? else { return Ok(None) };
        let invalid = || std::io::Error::other(format!("invalid HTTP response: {status_line:?}"));
        let status =
            status_line.strip_prefix("HTTP/1.1 ").and_then(|rest| rest.get(..3)?.parse().ok()).ok_or_else(invalid)?;
        let mut response = ClientResponse {
            status,
            is_complete: false,
            is_sealed: false,
            call_id: String::new(),
            body: String::new(),
        };
        let (mut content_length, mut is_chunked) = (None, false);
        loop {
            let Some(line) = self.read_line().await? else { return Ok(Some(response)) };
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':').ok_or_else(invalid)?;
            match (name.to_ascii_lowercase().as_str(), value.trim()) {
                ("x-call-id", value) => value.clone_into(&mut response.call_id),
                ("x-seal", _) => response.is_sealed = true,
                ("content-length", value) => content_length = value.parse::<usize>().ok(),
                ("transfer-encoding", value) => is_chunked = value == "chunked",
                _ => {}
            }
        }
        if let Some(length) = content_length {
            (response.body, response.is_complete) = self.read_bytes(length).await?;
            return Ok(Some(response));
        }
        if !is_chunked {
            return Ok(Some(response));
        }
        loop {
            let Some(line) = self.read_line().await? else { break };
            let length = usize::from_str_radix(&line, 16).map_err(std::io::Error::other)?;
            let (chunk, is_whole) = self.read_bytes(length + 2).await?;
            if !is_whole {
                break;
            }
            response.body.push_str(&chunk[..length]);
            if length == 0 {
                response.is_complete = true;
                break;
            }
        }
        Ok(Some(response))
    }
}
