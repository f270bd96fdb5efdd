//! Serves until a signal, and then shuts down in this order:
//!
//! 1. The node is no longer ready, and the control thread gets [`Command::Shutdown`]: it drains.
//! 2. For `drain_notice` (a quarter of a second at most on a node without callers) all listeners serve
//!    on, so that callers and peers can notice.
//! 3. The listener for callers closes; calls that were read get `shutdown_grace` to finish.
//! 4. A core waits until what its disk holds is on the disks of a majority without it, up to the sum
//!    of both times since the signal.
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

/// How often a draining core checks whether it may stop.
const MAY_STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Longest notice, in microseconds, of a node that serves no callers.
const MAX_NOTICE_WITHOUT_CALLERS: Micros = SEC / 4;
/// Least time, in microseconds, for calls to finish.
const MIN_GRACE: Micros = SEC / 10;
/// How long requests of operators and workers may take to finish at the end.
const ADMIN_GRACE: Duration = Duration::from_secs(1);

/// The tasks of the listeners, and the senders that tell them to close.
struct Servers {
    /// `None` on a node that serves no callers.
    callers: Option<JoinHandle<()>>,
    others: Vec<JoinHandle<()>>,
    stop_callers: watch::Sender<bool>,
    stop_others: watch::Sender<bool>,
}

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
        tokio::spawn(serve::run(listener, routes(shared), max_connections, limits, stopped.clone()))
    };
    let mut others = vec![serve(listeners.admin, admin::admin, &others_stopped)];
    others.extend(listeners.extra.into_iter().map(|(listener, routes)| serve(listener, routes, &others_stopped)));
    let callers = listeners.callers.map(|listener| serve(listener, caller_routes, &callers_stopped));
    Servers { callers, others, stop_callers, stop_others }
}

async fn shut_down(shared: &Shared, servers: Servers) {
    let begin = Instant::now();
    let settings = &shared.settings;
    tracing::info!("stopping: not ready from now on");
    shared.stopping.store(true, Ordering::Release);
    let _ = shared.commands.send(Command::Shutdown).await;
    let serves_callers = servers.callers.is_some();
    let notice =
        if serves_callers { settings.drain_notice } else { settings.drain_notice.min(MAX_NOTICE_WITHOUT_CALLERS) };
    tokio::time::sleep(Duration::from_micros(notice)).await;
    tracing::info!("stopping: the listener closes, calls that were read go on");
    let _ = servers.stop_callers.send(true);
    let grace = Duration::from_micros(settings.shutdown_grace.max(MIN_GRACE));
    let calls_finished = match servers.callers {
        Some(callers) => timeout(grace, callers).await.is_ok(),
        None => true,
    };
    let deadline = begin + Duration::from_micros(settings.drain_notice) + grace;
    if timeout_at(deadline, wait_until_replicated(shared)).await.is_err() {
        tracing::warn!("stopped before a majority without this core held what it holds; start another core first");
    }
    let _ = servers.stop_others.send(true);
    let _ = timeout(ADMIN_GRACE, futures::future::join_all(servers.others)).await;
    if !calls_finished {
        tracing::warn!("stopped with calls still open; raise grace_ms");
    }
    tracing::info!("stopped");
}

/// A core that drains waits until what its disk holds is on the disks of a majority without it.
async fn wait_until_replicated(shared: &Shared) {
    while !shared.view.load().may_stop {
        tokio::time::sleep(MAY_STOP_CHECK_INTERVAL).await;
    }
}
