//! The control thread, the only thread that steps the [`Node`] and applies the effects that the node
//! returns.
//!
//! # Threads
//!
//! | thread    | runs                                                             | ends |
//! |-----------|------------------------------------------------------------------|------|
//! | `control` | [`ControlThread::run`], the listener for peers and all outbound links, on one thread | with the process; the process exits with 70 if it panics |
//! | `disk`    | [`crate::disk::DiskWriter`], on cores only                       | when `WriteJob`s can no longer be sent; the process exits with 70 if it panics |
//! | `calls`   | tokio's worker threads: listeners for callers and operators, one task for each connection, one [`crate::front`] task for each call | with the process, after the graceful shutdown of [`crate::run`] |
//!
//! # Channels
//!
//! | channel             | capacity        | from                      | to              | when full or closed |
//! |---------------------|-----------------|---------------------------|-----------------|---------------------|
//! | commands            | [`COMMAND_CAPACITY`] | all tasks, by [`Shared`] | `control`   | reports without acknowledgement and requests for quota are rejected when full; others wait; `run` returns when all senders are dropped |
//! | peer frames         | [`FRAME_CAPACITY`] | connections of peers   | `control`       | the connection's reader waits, so TCP slows the peer |
//! | outbound frames     | 1024 for each peer | `control`              | one task for each peer | the frame is dropped and counted |
//! | write jobs          | unbounded       | `control`                 | `disk`          | never closed while the node runs |
//! | synced tokens       | unbounded       | `disk`                    | `control`       | never closed while the node runs |
//! | published version   | 1 (the newest)  | `control`                 | calls that wait for a new view | receivers see the last value |
//! | call events         | unbounded for each call | any task          | the call's task | the event is handed to the next waiter |
//!
//! Shutdown: [`crate::run`] sends [`Command::Shutdown`]; the node then stops renewing its leases and
//! announces that it drains. The thread continues to step the node until the process exits.

mod channels;
mod effects;
mod view_log;

pub use channels::{COMMAND_CAPACITY, ControlReceivers, ControlSenders, channels};

use crate::clock;
use crate::disk::WriteJob;
use crate::link::{LinkCounters, OutboundLinks, listen};
use crate::shared::{Command, Shared};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use sumacvale_core::call::RejectionLog;
use sumacvale_core::node::{Event, Node};
use sumacvale_core::protocol::{ChangeOutcome, Frame};
use sumacvale_core::retry::RetryLog;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use view_log::ViewLog;

/// Maximum number of frames of peers that wait for the node.
pub const FRAME_CAPACITY: usize = 4_096;
/// How often the node gets [`Event::Tick`].
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// The node and the state that its effects act on; owned by the thread `control`.
pub struct ControlThread {
    node: Node,
    shared: Arc<Shared>,
    receivers: ControlReceivers,
    /// Queue of the thread `disk`; `None` on a node that is no core.
    disk_jobs: Option<std::sync::mpsc::Sender<WriteJob>>,
    links: OutboundLinks,
    pending: PendingReplies,
    view_log: ViewLog,
    rejection_log: RejectionLog,
    retry_log: RetryLog,
}

/// Senders of the replies that the node still owes, by request id.
#[derive(Default)]
struct PendingReplies {
    /// Invariant: at least as high as each id in `changes` and `reports`.
    last_request_id: u64,
    changes: HashMap<u64, oneshot::Sender<ChangeOutcome>>,
    reports: HashMap<u64, oneshot::Sender<bool>>,
}

impl PendingReplies {
    /// Returns an id that was not used before.
    fn next_request_id(&mut self) -> u64 {
        self.last_request_id += 1;
        self.last_request_id
    }

    /// Translates a command into an event of the node, and keeps the sender of its reply.
    fn register_command(&mut self, command: Command) -> Event {
        match command {
            Command::Report(report) => Event::Report(report),
            Command::ReportWithAck { report, reply } => {
                let request_id = self.next_request_id();
                self.reports.insert(request_id, reply);
                Event::ReportWithAck { request_id, report }
            }
            Command::QuotaNeeded { tenant, waiting } => Event::QuotaNeeded { tenant, waiting },
            Command::Shutdown => Event::Shutdown,
            Command::SeedsChanged(seeds) => Event::SeedsChanged(seeds),
            Command::SubmitChange { change_id, is_first_send, base, change, reply } => {
                let request_id = self.next_request_id();
                self.changes.insert(request_id, reply);
                Event::SubmitChange { request_id, change_id, is_first_send, base, change }
            }
        }
    }
}

impl ControlThread {
    /// Creates the state of the thread, which starts with [`ControlThread::spawn`].
    pub fn new(
        node: Node,
        shared: Arc<Shared>,
        receivers: ControlReceivers,
        disk_jobs: Option<std::sync::mpsc::Sender<WriteJob>>,
    ) -> Self {
        ControlThread {
            node,
            links: OutboundLinks::new(shared.link_counters.clone()),
            shared,
            receivers,
            disk_jobs,
            pending: PendingReplies::default(),
            view_log: ViewLog::default(),
            rejection_log: RejectionLog::default(),
            retry_log: RetryLog::default(),
        }
    }

    /// Starts the thread `control`, which accepts connections of peers on `listener`.
    ///
    /// # Errors
    /// The error of the operating system where the thread can't be started.
    pub fn spawn(self, listener: std::net::TcpListener) -> std::io::Result<()> {
        let run = move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
            let local_tasks = tokio::task::LocalSet::new();
            local_tasks.block_on(&runtime, async move {
                self.run(TcpListener::from_std(listener)?).await;
                std::io::Result::Ok(())
            })
        };
        std::thread::Builder::new().name("control".into()).spawn(move || {
            // A node must not serve calls by a view that is no longer updated.
            let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(run));
            if !matches!(result, Ok(Ok(()))) {
                crate::exit_after_thread_failure("the control thread failed");
            }
        })?;
        Ok(())
    }

    /// Steps the node until all senders of commands are dropped.
    async fn run(mut self, listener: TcpListener) {
        let mut frames = accept_peers(listener, self.shared.link_counters.clone());
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let event = tokio::select! {
                biased;
                _ = ticks.tick() => Event::Tick,
                Some(token) = self.receivers.synced.recv() => Event::Synced(token),
                Some(frame) = frames.recv() => Event::Frame(Box::new(frame)),
                command = self.receivers.commands.recv() => match command {
                    None => return,
                    Some(command) => self.pending.register_command(command),
                },
            };
            let is_tick = matches!(event, Event::Tick);
            self.step(event);
            if is_tick {
                self.after_tick();
            }
        }
    }

    /// Steps the node with an event and applies the effects.
    fn step(&mut self, event: Event) {
        for effect in self.node.step(event, clock::now()) {
            self.apply(effect);
        }
    }

    /// Runs the periodic work that follows each tick.
    fn after_tick(&mut self) {
        self.log_rejections();
        self.log_retries();
        for (tenant, waiting) in self.shared.expire_waiters() {
            self.step(Event::QuotaNeeded { tenant, waiting });
        }
    }
}

/// Starts the listener for peers as a task of this thread; returns the channel of received frames.
fn accept_peers(listener: TcpListener, counters: Arc<LinkCounters>) -> mpsc::Receiver<Frame> {
    let (sender, frames) = mpsc::channel::<Frame>(FRAME_CAPACITY);
    let on_frame = async move |frame: Frame| {
        let _ = sender.send(frame).await;
    };
    tokio::task::spawn_local(listen(listener, counters, on_frame));
    frames
}
