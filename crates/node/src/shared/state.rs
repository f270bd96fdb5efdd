//! The state that all tasks share.

use super::Command;
use super::call_events::CallEvents;
use crate::clock;
use crate::link::LinkCounters;
use crate::protocol_adapter::ProtocolAdapter;
use crate::serve::ConnectionLimits;
use crate::settings::Settings;
use crate::upstream::UpstreamPool;
use arc_swap::ArcSwap;
use std::cell::RefCell;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use sumacvale_core::base::Version;
use sumacvale_core::call::{SharedCallState, StepContext, ThreadCaches, Wakeup};
use sumacvale_core::node::View;
use tokio::sync::{mpsc, watch};

/// The version of the configuration in force; `None` before the first.
pub type PublishedVersion = Option<Version>;

/// All that the tasks of one process share, passed down by reference.
pub struct Shared {
    /// The settings with which the process started.
    pub settings: Settings,
    /// Names and formats of the protocol with callers, workers and operators.
    pub adapter: &'static ProtocolAdapter,
    /// This node's id as text.
    pub node_id: String,
    /// The newest view, stored by the control thread.
    pub view: ArcSwap<View>,
    /// Commands for the control thread.
    pub commands: mpsc::Sender<Command>,
    /// Queues, counters and caches of the data plane.
    pub call_state: SharedCallState,
    /// Where the task of each call receives its events.
    pub call_events: CallEvents,
    /// Idle connections to workers.
    pub upstreams: UpstreamPool,
    /// Limits of connections from callers and to workers.
    pub connection_limits: Arc<ConnectionLimits>,
    /// Counters of the links between nodes.
    pub link_counters: Arc<LinkCounters>,
    /// Commits that the disk failed; `None` on a node that is no core.
    pub disk_error_count: Option<Arc<AtomicU64>>,
    /// Set once the process shuts down; never cleared.
    pub stopping: AtomicBool,
    /// Set while an operator drains this node: it serves calls and is not ready.
    pub operator_draining: AtomicBool,
    /// Changes whenever a version of the configuration comes into force.
    pub published_version: watch::Receiver<PublishedVersion>,
    /// The number of the next call.
    pub next_call_id: AtomicU64,
}

thread_local! {
    static THREAD_CACHES: RefCell<ThreadCaches> = RefCell::default();
}

impl Shared {
    /// Whether calls may be admitted by this view.
    pub fn may_admit(&self, view: &View) -> bool {
        view.may_admit(clock::now())
    }

    /// Whether the process shuts down.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Runs `step` with the shared state, this thread's caches, the newest view and the time.
    pub fn with_step_context<R>(&self, step: impl FnOnce(&mut StepContext) -> R) -> R {
        let view = self.view.load();
        THREAD_CACHES.with(|caches| {
            let thread_caches = &mut caches.borrow_mut();
            step(&mut StepContext {
                shared: &self.call_state,
                thread_caches,
                view: &view,
                now: clock::now(),
                clock: &clock::now,
            })
        })
    }

    /// Delivers an event to its call. Where the call has ended, what it was given is reclaimed and goes
    /// to the next waiter of the queue.
    pub fn deliver_wakeup(&self, wakeup: Wakeup) {
        let mut pending = vec![wakeup];
        while let Some(Wakeup { call_id, queue, event }) = pending.pop() {
            if let Err(event) = self.call_events.deliver(call_id, event) {
                let undelivered = Wakeup { call_id, queue, event };
                pending.extend(self.with_step_context(|context| SharedCallState::reclaim(undelivered, context)));
            }
        }
    }

    /// Evicts idle connections and expires calls that waited too long in a queue. Returns the tenants
    /// for which units of quota should be fetched, each with the units that its calls wait for.
    pub fn expire_waiters(&self) -> Vec<(String, u64)> {
        let view = self.view.load();
        self.upstreams.evict_expired(|worker_id, incarnation| {
            view.workers.iter().any(|worker| worker.worker_id == worker_id && worker.incarnation == incarnation)
        });
        drop(view);
        let (wakeups, needed) = self.with_step_context(SharedCallState::expire_waiters);
        for wakeup in wakeups {
            self.deliver_wakeup(wakeup);
        }
        needed
    }
}
