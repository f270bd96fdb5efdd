//! Serves until a signal, and then shuts down in this order:
//!
//! 1. The node reports that it is not ready, and the control thread gets [`Command::Shutdown`], on
//!    which the node drains.
//! 2. For `drain_notice` (at most a quarter of a second on a node without callers) all listeners
//!    continue to serve, so that callers and peers can notice the drain.
//! 3. The listener for callers closes; calls in flight get `shutdown_grace` to finish.
//! 4. A core waits until its data is replicated to a majority that doesn't count this core, at most
//!    `drain_notice` plus `shutdown_grace` after the signal.
//! 5. The other listeners close, with one second to finish; the process exits.

use super::bootstrap::Listeners;
use super::{RouterFactory, SettingsReload, StartError, reload};
use crate::shared::{Command, Shared};
use crate::{admin, serve};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use sumacvale_core::base::{Micros, SEC};
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout, timeout_at};

/// How often a draining core checks whether its data is replicated.
const MAY_STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum `drain_notice` of a node that serves no callers, in microseconds.
const MAX_NOTICE_WITHOUT_CALLERS: Micros = SEC / 4;
/// Minimum `shutdown_grace`, in microseconds.
const MIN_GRACE: Micros = SEC / 10;
/// How long requests of operators and workers may take to finish after their listener has closed.
const ADMIN_GRACE: Duration = Duration::from_secs(1);

/// The tasks of the HTTP listeners, and the senders that close them.
struct Servers {
    /// `None` on a node that serves no callers.
    callers: Option<JoinHandle<()>>,
    others: Vec<JoinHandle<()>>,
    stop_callers: watch::Sender<bool>,
    stop_others: watch::Sender<bool>,
}

/// Serves on all listeners until SIGTERM or SIGINT, and then shuts the node down.
pub(super) async fn serve_until_signal(
    shared: Arc<Shared>,
    listeners: Listeners,
    caller_routes: RouterFactory,
    settings_reload: Option<SettingsReload>,
) -> Result<(), StartError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(StartError::Signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(StartError::Signals)?;
    let servers = start_servers(&shared, listeners, caller_routes);
    if let Some(settings_reload) = settings_reload {
        tokio::spawn(reload::watch_settings(shared.clone(), settings_reload));
    }
    wait_for_either(&mut terminate, &mut interrupt).await;
    shut_down(&shared, servers).await;
    Ok(())
}

async fn wait_for_either(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

fn start_servers(shared: &Arc<Shared>, listeners: Listeners, caller_routes: RouterFactory) -> Servers {
    let (stop_callers, callers_stopped) = watch::channel(false);
    let (stop_others, others_stopped) = watch::channel(false);
    let serve = |listener: TcpListener, routes: RouterFactory, stopped: &watch::Receiver<bool>| {
        let limits = shared.connection_limits.clone();
        let max_connections = shared.settings.max_connections;
        tokio::spawn(serve::serve_listener(listener, routes(shared), max_connections, limits, stopped.clone()))
    };
    let mut others = vec![serve(listeners.admin, admin::admin_routes, &others_stopped)];
    others.extend(listeners.extra.into_iter().map(|(listener, routes)| serve(listener, routes, &others_stopped)));
    let callers = listeners.callers.map(|listener| serve(listener, caller_routes, &callers_stopped));
    Servers { callers, others, stop_callers, stop_others }
}

async fn shut_down(shared: &Shared, servers: Servers) {
    let started_at = Instant::now();
    let settings = &shared.settings;
    tracing::info!("shutting down: this node is no longer ready");
    shared.stopping.store(true, Ordering::Release);
    let _ = shared.commands.send(Command::Shutdown).await;
    let serves_callers = servers.callers.is_some();
    let notice =
        if serves_callers { settings.drain_notice } else { settings.drain_notice.min(MAX_NOTICE_WITHOUT_CALLERS) };
    tokio::time::sleep(Duration::from_micros(notice)).await;
    tracing::info!("shutting down: the listener for callers closes, calls in flight may finish");
    let _ = servers.stop_callers.send(true);
    let grace = Duration::from_micros(settings.shutdown_grace.max(MIN_GRACE));
    let calls_finished = match servers.callers {
        Some(callers) => timeout(grace, callers).await.is_ok(),
        None => true,
    };
    let deadline = started_at + Duration::from_micros(settings.drain_notice) + grace;
    if timeout_at(deadline, wait_until_replicated(shared)).await.is_err() {
        tracing::warn!(
            "stopped before a majority without this core held the data of this core; start another core before this one is removed"
        );
    }
    let _ = servers.stop_others.send(true);
    let _ = timeout(ADMIN_GRACE, futures::future::join_all(servers.others)).await;
    if !calls_finished {
        shared.grace_is_over.store(true, Ordering::Release);
        tracing::warn!("stopped with calls in flight; raise grace_ms");
    }
    tracing::info!("stopped");
}

/// Waits until the data of this core is on the disks of a majority that doesn't count this core.
async fn wait_until_replicated(shared: &Shared) {
    while !shared.view.load().may_stop {
        tokio::time::sleep(MAY_STOP_CHECK_INTERVAL).await;
    }
}
