//! A node from its settings to its end.

use crate::control::Brain;
use crate::disk::{Database, DiskWriter};
use crate::link::LinkCounters;
use crate::protocol_adapter::ProtocolAdapter;
use crate::settings::Settings;
use crate::shared::{CallEvents, Command, Shared};
use crate::{admin, clock, serve};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use sumacvale_core::base::{NodeId, SEC};
use sumacvale_core::node::{Node, NodeSettings};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use viz::Router;

/// Why a node ended: its exit code and what to do about it.
pub type Stop = (i32, String);

fn random() -> Result<u64, Stop> {
    let mut b = [0; 8];
    getrandom::fill(&mut b).map_err(|e| (1, format!("this machine gives no random numbers: {e}")))?;
    Ok(u64::from_be_bytes(b).max(1))
}

fn bind(rt: &tokio::runtime::Runtime, a: std::net::SocketAddr, what: &str) -> Result<TcpListener, Stop> {
    rt.block_on(TcpListener::bind(a))
        .map_err(|e| (1, format!("/{what}: {a} can't be opened: {e}; choose an address of this machine that is free")))
}

/// What a listener serves.
pub type RouterFactory = fn(&Arc<Shared>) -> Router;

/// Settings that are read anew while the node runs.
pub struct SettingsReload {
    pub file: PathBuf,
    pub read: fn() -> Option<Settings>,
}

/// All that a node needs to run.
pub struct NodeSetup {
    pub settings: Settings,
    pub adapter: &'static ProtocolAdapter,
    /// What callers come to.
    pub caller_routes: RouterFactory,
    /// Further listeners, open until the node ends.
    pub extra_listeners: Vec<(SocketAddr, RouterFactory)>,
    pub reload: Option<SettingsReload>,
}

/// Logs go to standard error.
pub fn init_logging() {
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .log_internal_errors(false)
        .init();
}

/// Runs a node until it is told to stop.
pub fn run(s: NodeSetup) -> Result<(), Stop> {
    let NodeSetup { settings: env, adapter: dialect, caller_routes: callers, extra_listeners: doors, reload: again } =
        s;
    // A file that may not grow is a trouble of the disk, which is told and tried again.
    // SAFETY: ignoring a signal touches no memory of ours.
    unsafe {
        libc::signal(libc::SIGXFSZ, libc::SIG_IGN);
    }
    let seed = random()?;
    let (stx, synced) = mpsc::unbounded_channel();
    let (mut disk, mut kept, mut incarnation, mut node_id) =
        (None, sumacvale_core::consensus::DurableState::default(), 1, NodeId(seed));
    if let Some(d) = &env.data_folder {
        let (b, k, life) = Database::open_when_writable(d, node_id).map_err(|e| (2, e.to_string()))?;
        (kept, incarnation, node_id) = (k.clone(), life, k.node_id);
        let desk = DiskWriter::open(b, move |t| {
            let _ = stx.send(t);
        })
        .map_err(|e| (1, format!("no thread for the disk: {e}")))?;
        disk = Some(desk);
    }
    let me = NodeSettings {
        node_id,
        incarnation,
        addr: env.peer_addr.to_string(),
        admin: env.admin_addr.to_string(),
        zone: env.zone.clone(),
        seeds: env.seeds.iter().map(ToString::to_string).collect(),
        is_core: env.data_folder.is_some(),
        config_reader: dialect.config_reader,
        may_bootstrap: env.membership.may_bootstrap,
        manages_voters: env.membership.manages_voters,
        tolerated_losses: env.membership.tolerated_losses,
        report_interval: env.report_interval,
        reports_to_cores_only: env.reports_to_cores_only,
    };
    // The node tells how long it has had its address for itself: its life begins once it has.
    let peer =
        std::net::TcpListener::bind(env.peer_addr).and_then(|l| l.set_nonblocking(true).map(|()| l)).map_err(|e| {
            (
                1,
                format!(
                    "/peer: {} can't be opened: {e}; choose an address of this machine that is free",
                    env.peer_addr
                ),
            )
        })?;
    let node = Node::new(me, &kept, random()?, clock::now());
    let rt = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(env.worker_threads)
        .thread_name("calls")
        .enable_all()
        .build()
        .map_err(|e| (1, format!("no threads: {e}")))?;
    let al = bind(&rt, env.admin_addr, "admin")?;
    let dl = env.downstream_addr.map(|a| bind(&rt, a, "downstream")).transpose()?;
    let doors: Vec<_> = doors.into_iter().map(|(a, d)| Ok((bind(&rt, a, "doors")?, d))).collect::<Result<_, Stop>>()?;

    let (itx, inbox) = mpsc::channel(4096);
    let (vtx, vrx) = watch::channel(None);
    let tally = Arc::new(LinkCounters::default());
    let mut floor = sumacvale_core::call::SharedCallState::new(
        &env.zone,
        env.max_queued_calls,
        env.max_body_bytes,
        node.quota.slices.clone(),
    );
    floor.engines = sumacvale_core::placement::EngineModels::new(seed);
    let shared = Arc::new(Shared {
        node_id: node_id.to_string(),
        view: arc_swap::ArcSwap::default(),
        commands: itx,
        call_state: floor,
        call_events: CallEvents::default(),
        upstreams: crate::upstream::UpstreamPool::default(),
        connection_limits: Arc::default(),
        link_counters: tally.clone(),
        disk_error_count: disk.as_ref().map(|d| d.error_count.clone()),
        stopping: AtomicBool::new(false),
        operator_draining: AtomicBool::new(false),
        published_version: vrx,
        next_call_id: AtomicU64::new(0),
        settings: env,
        adapter: dialect,
    });
    tracing::info!(node = %node_id, zone = %shared.settings.zone, core = shared.settings.data_folder.is_some(), "sumacvale starts");
    let brain = Brain { node, shared: shared.clone(), inbox, synced, disk: disk.map(|d| d.jobs), version: vtx, tally };
    std::thread::Builder::new()
        .name("control".into())
        .spawn(move || {
            let go = || {
                let rt = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
                let set = tokio::task::LocalSet::new();
                set.block_on(&rt, async move {
                    brain.run(TcpListener::from_std(peer)?).await;
                    std::io::Result::Ok(())
                })
            };
            // A node that knows nothing new must not go on as if it did.
            let r = std::panic::catch_unwind(std::panic::AssertUnwindSafe(go));
            if !matches!(r, Ok(Ok(()))) {
                crate::exit_after_lost_thread("the control thread ended");
            }
        })
        .map_err(|e| (1, format!("no thread for control: {e}")))?;
    rt.block_on(live(shared, al, dl.map(|l| (l, callers)), doors, again))
}

/// Reads the settings anew when told to, and when the file has changed.
async fn follow(h: Arc<Shared>, a: SettingsReload) -> std::io::Result<()> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut hup = signal(SignalKind::hangup())?;
    let state = |p: &std::path::Path| std::fs::metadata(p).and_then(|m| Ok((m.modified()?, m.len()))).ok();
    let mut was = state(&a.file);
    let mut seeds = h.settings.seeds.clone();
    loop {
        tokio::select! {
            _ = hup.recv() => {}
            () = tokio::time::sleep(Duration::from_secs(1)) => {
                if state(&a.file) == was {
                    continue;
                }
            }
        }
        was = state(&a.file);
        let Some(e) = (a.read)() else {
            tracing::warn!("the settings were changed and can't be used; the old ones stay in force");
            continue;
        };
        if e.seeds != seeds {
            tracing::info!(seeds = ?e.seeds, "the settings name other seeds");
            seeds = e.seeds;
            let _ = h.commands.send(Command::SeedsChanged(seeds.iter().map(ToString::to_string).collect())).await;
        }
    }
}

/// How often a core that leaves looks whether it may end.
const MAY_END_EVERY: Duration = Duration::from_millis(50);

/// A core that leaves waits until what it holds is on the disks of a majority without it.
async fn may_end(h: &Shared) {
    while !h.view.load().may_stop {
        tokio::time::sleep(MAY_END_EVERY).await;
    }
}

async fn live(
    h: Arc<Shared>,
    al: TcpListener,
    dl: Option<(TcpListener, RouterFactory)>,
    doors: Vec<(TcpListener, RouterFactory)>,
    again: Option<SettingsReload>,
) -> Result<(), Stop> {
    use tokio::signal::unix::{SignalKind, signal};
    let no = |e: std::io::Error| (1, format!("signals can't be heard: {e}"));
    let mut term = signal(SignalKind::terminate()).map_err(no)?;
    let mut int = signal(SignalKind::interrupt()).map_err(no)?;
    let (stx, srx) = watch::channel(false);
    let (atx, arx) = watch::channel(false);
    let mut rest = vec![tokio::spawn(serve::run(
        al,
        admin::admin(&h),
        h.settings.max_connections,
        h.connection_limits.clone(),
        arx.clone(),
    ))];
    rest.extend(doors.into_iter().map(|(l, d)| {
        tokio::spawn(serve::run(l, d(&h), h.settings.max_connections, h.connection_limits.clone(), arx.clone()))
    }));
    let d = dl
        .map(|(l, d)| tokio::spawn(serve::run(l, d(&h), h.settings.max_connections, h.connection_limits.clone(), srx)));
    if let Some(a) = again {
        tokio::spawn(follow(h.clone(), a));
    }
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    let begin = tokio::time::Instant::now();
    tracing::info!("stopping: not ready from now on");
    h.stopping.store(true, Ordering::Release);
    let _ = h.commands.send(Command::Shutdown).await;
    // Who serves no callers has told its peers, and that is all.
    let notice = if d.is_some() { h.settings.drain_notice } else { h.settings.drain_notice.min(SEC / 4) };
    tokio::time::sleep(Duration::from_micros(notice)).await;
    tracing::info!("stopping: the listener closes, calls that were read go on");
    let _ = stx.send(true);
    let grace = Duration::from_micros(h.settings.shutdown_grace.max(SEC / 10));
    let clean = match d {
        Some(d) => tokio::time::timeout(grace, d).await.is_ok(),
        None => true,
    };
    let most = begin + Duration::from_micros(h.settings.drain_notice) + grace;
    if tokio::time::timeout_at(most, may_end(&h)).await.is_err() {
        tracing::warn!("stopped before a majority without this core held what it holds; start another core first");
    }
    let _ = atx.send(true);
    let _ = tokio::time::timeout(Duration::from_secs(1), futures::future::join_all(rest)).await;
    if !clean {
        tracing::warn!("stopped with calls still open; raise grace_ms");
    }
    tracing::info!("stopped");
    Ok(())
}
