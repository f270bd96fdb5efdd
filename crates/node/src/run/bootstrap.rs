//! The start of a node: opens the disk and the listeners, and starts the control thread.

use super::{RouterFactory, StartError};
use crate::clock;
use crate::control::{self, ControlSenders, ControlThread};
use crate::disk::{Database, DiskWriter};
use crate::protocol_adapter::ProtocolAdapter;
use crate::settings::Settings;
use crate::shared::{CallEvents, Shared};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64};
use sumacvale_core::base::{Incarnation, NodeId};
use sumacvale_core::call::SharedCallState;
use sumacvale_core::consensus::DurableState;
use sumacvale_core::node::{Node, NodeSettings};
use sumacvale_core::placement::EngineModels;
use sumacvale_core::retry::RetryBudget;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::sync::mpsc;

/// A started node: its threads run, its listeners are bound and don't serve yet.
pub(super) struct Started {
    /// The runtime of the threads `calls`.
    pub(super) runtime: Runtime,
    pub(super) shared: Arc<Shared>,
    pub(super) listeners: Listeners,
}

/// The bound HTTP listeners.
pub(super) struct Listeners {
    pub(super) admin: TcpListener,
    /// The listener for callers; `None` on a node that serves no callers.
    pub(super) callers: Option<TcpListener>,
    pub(super) extra: Vec<(TcpListener, RouterFactory)>,
}

/// The identity of this node in this incarnation, and the state that its disk holds.
struct Identity {
    node_id: NodeId,
    incarnation: Incarnation,
    state: DurableState,
    /// The thread that writes to the disk; `None` on a node that is no core.
    writer: Option<DiskWriter>,
}

/// Starts a node in the order that [`crate::run`] documents.
pub(super) fn start(
    settings: Settings,
    adapter: &'static ProtocolAdapter,
    extra_listeners: Vec<(SocketAddr, RouterFactory)>,
) -> Result<Started, StartError> {
    let seed = random_nonzero()?;
    let (senders, receivers) = control::channels();
    let Identity { node_id, incarnation, state, writer } = open_identity(&settings, seed, &senders.synced)?;
    let node_settings = node_settings(&settings, adapter, node_id, incarnation);
    // The node reports how long it has held its address, so it is created after the bind.
    let peer_listener = bind_peer(settings.peer_addr)?;
    let node = Node::new(node_settings, &state, random_nonzero()?, clock::now());
    let runtime = call_runtime(settings.worker_threads)?;
    let listeners = bind_listeners(&runtime, &settings, extra_listeners)?;
    let shared = Arc::new(shared_state(settings, adapter, &node, node_id, seed, senders, writer.as_ref()));
    let zone = &shared.settings.zone;
    tracing::info!(node = %node_id, %zone, core = shared.settings.data_folder.is_some(), "sumacvale starts");
    ControlThread::new(node, shared.clone(), receivers, writer.map(|writer| writer.jobs))
        .spawn(peer_listener)
        .map_err(|reason| StartError::NoThread { name: "control", reason })?;
    Ok(Started { runtime, shared, listeners })
}

/// Returns a random number other than 0.
fn random_nonzero() -> Result<u64, StartError> {
    let mut bytes = [0; 8];
    getrandom::fill(&mut bytes).map_err(StartError::NoRandomNumbers)?;
    Ok(u64::from_be_bytes(bytes).max(1))
}

/// Opens the disk of a core, which counts this start as an incarnation; any other node gets a random id.
fn open_identity(settings: &Settings, seed: u64, synced: &mpsc::UnboundedSender<u64>) -> Result<Identity, StartError> {
    let new_node_id = NodeId(seed);
    let Some(folder) = &settings.data_folder else {
        return Ok(Identity { node_id: new_node_id, incarnation: 1, state: DurableState::default(), writer: None });
    };
    let (database, state, incarnation) = Database::open_when_writable(folder, new_node_id).map_err(StartError::Disk)?;
    let synced = synced.clone();
    let writer = DiskWriter::open(database, move |token| {
        let _ = synced.send(token);
    })
    .map_err(|reason| StartError::NoThread { name: "disk", reason })?;
    Ok(Identity { node_id: state.node_id, incarnation, state, writer: Some(writer) })
}

/// Translates the settings of the process into those of the node.
fn node_settings(
    settings: &Settings,
    adapter: &ProtocolAdapter,
    node_id: NodeId,
    incarnation: Incarnation,
) -> NodeSettings {
    NodeSettings {
        node_id,
        incarnation,
        addr: settings.peer_addr.to_string(),
        admin_addr: settings.admin_addr.to_string(),
        zone: settings.zone.clone(),
        seeds: settings.seeds.iter().map(ToString::to_string).collect(),
        is_core: settings.data_folder.is_some(),
        config_reader: adapter.config_reader,
        may_bootstrap: settings.membership.may_bootstrap,
        manages_voters: settings.membership.manages_voters,
        tolerated_losses: settings.membership.tolerated_losses,
        report_interval: settings.report_interval,
        workers_report_to_cores_only: settings.workers_report_to_cores_only,
    }
}

/// Binds the listener for other nodes.
fn bind_peer(addr: SocketAddr) -> Result<std::net::TcpListener, StartError> {
    std::net::TcpListener::bind(addr)
        .and_then(|listener| listener.set_nonblocking(true).map(|()| listener))
        .map_err(|reason| StartError::Listen { setting: "peer", addr, reason })
}

/// Builds the runtime of the threads `calls`.
fn call_runtime(worker_threads: usize) -> Result<Runtime, StartError> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(worker_threads)
        .thread_name("calls")
        .enable_all()
        .build()
        .map_err(|reason| StartError::NoThread { name: "calls", reason })
}

/// Binds the listeners for HTTP.
fn bind_listeners(
    runtime: &Runtime,
    settings: &Settings,
    extra: Vec<(SocketAddr, RouterFactory)>,
) -> Result<Listeners, StartError> {
    let bind = |setting: &'static str, addr: SocketAddr| {
        runtime.block_on(TcpListener::bind(addr)).map_err(|reason| StartError::Listen { setting, addr, reason })
    };
    let admin = bind("admin", settings.admin_addr)?;
    let callers = settings.downstream_addr.map(|addr| bind("downstream", addr)).transpose()?;
    let extra = extra.into_iter().map(|(addr, routes)| Ok((bind("doors", addr)?, routes))).collect::<Result<_, _>>()?;
    Ok(Listeners { admin, callers, extra })
}

/// Builds the state that all tasks of the process share.
fn shared_state(
    settings: Settings,
    adapter: &'static ProtocolAdapter,
    node: &Node,
    node_id: NodeId,
    seed: u64,
    senders: ControlSenders,
    writer: Option<&DiskWriter>,
) -> Shared {
    let mut call_state = SharedCallState::new(
        &settings.zone,
        settings.max_queued_calls,
        settings.max_body_bytes,
        node.quota.slices.clone(),
    );
    call_state.engines = EngineModels::new(seed);
    call_state.retry_budget = RetryBudget::new(settings.retry_limits);
    Shared {
        node_id: node_id.to_string(),
        view: arc_swap::ArcSwap::default(),
        commands: senders.commands,
        call_state,
        call_events: CallEvents::default(),
        upstreams: crate::upstream::UpstreamPool::default(),
        connection_limits: Arc::default(),
        link_counters: Arc::default(),
        disk_error_count: writer.map(|writer| writer.error_count.clone()),
        stopping: AtomicBool::new(false),
        grace_is_over: AtomicBool::new(false),
        operator_draining: AtomicBool::new(false),
        published_version: senders.published_version,
        next_call_number: AtomicU64::new(0),
        settings,
        adapter,
    }
}
