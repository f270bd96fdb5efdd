//! A node from its settings to its exit: start, reload of the settings, graceful shutdown.
//!
//! [`run`] opens, in this order, the disk, the listener for peers, the runtime of calls and the other
//! listeners; then it starts the control thread and serves until SIGTERM or SIGINT. The threads and
//! their channels are documented in [`crate::control`], the order of the shutdown in the module
//! `shutdown`.

mod bootstrap;
mod error;
mod reload;
mod shutdown;

pub use error::StartError;

use crate::protocol_adapter::ProtocolAdapter;
use crate::settings::Settings;
use crate::shared::Shared;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use viz::Router;

/// Builds the routes of one listener.
pub type RouterFactory = fn(&Arc<Shared>) -> Router;

/// Source from which the settings are reloaded while the node runs.
pub struct SettingsReload {
    /// The settings file, which is polled for changes.
    pub file: PathBuf,
    /// Reads the settings; returns `None` where they are invalid.
    pub read: fn() -> Option<Settings>,
}

/// Everything that [`run`] needs to start a node.
pub struct NodeSetup {
    /// The settings, already checked.
    pub settings: Settings,
    /// Names and formats of the protocol with callers, workers and operators.
    pub adapter: &'static ProtocolAdapter,
    /// Routes of the listener for callers.
    pub caller_routes: RouterFactory,
    /// Further listeners, open until the process exits.
    pub extra_listeners: Vec<(SocketAddr, RouterFactory)>,
    /// Source of reloaded settings; `None` on a node that keeps the settings of its start.
    pub reload: Option<SettingsReload>,
}

/// Sends logs to standard error.
pub fn init_logging() {
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .log_internal_errors(false)
        .init();
}

/// Runs a node until SIGTERM or SIGINT, and then shuts it down gracefully.
///
/// # Errors
/// A [`StartError`] where the node can't start. A node that serves returns no error.
pub fn run(setup: NodeSetup) -> Result<(), StartError> {
    let NodeSetup { settings, adapter, caller_routes, extra_listeners, reload } = setup;
    ignore_file_size_signal();
    ignore_hangup();
    let started = bootstrap::start(settings, adapter, extra_listeners)?;
    started.runtime.block_on(shutdown::serve_until_signal(started.shared, started.listeners, caller_routes, reload))
}

/// Ignores SIGHUP, which would end the process, until the module `reload` handles it: a node that keeps the settings of
/// its start never does, and any node may get the signal while it starts.
fn ignore_hangup() {
    // SAFETY: ignoring a signal accesses no memory of this process.
    unsafe {
        libc::signal(libc::SIGHUP, libc::SIG_IGN);
    }
}

/// Ignores SIGXFSZ: a write beyond the file size limit then fails as a disk error, which is logged and
/// retried.
fn ignore_file_size_signal() {
    // SAFETY: ignoring a signal accesses no memory of this process.
    unsafe {
        libc::signal(libc::SIGXFSZ, libc::SIG_IGN);
    }
}
