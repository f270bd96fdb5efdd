//! The state that all tasks of this process share.

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

/// The state that all tasks of one process share; passed down by reference.
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
    /// The channels on which the tasks of calls receive their events.
    pub call_events: CallEvents,
    /// Idle connections to workers.
    pub upstreams: UpstreamPool,
    /// Limits of the connections from callers and to workers.
    pub connection_limits: Arc<ConnectionLimits>,
    /// Counters of the links between nodes.
    pub link_counters: Arc<LinkCounters>,
    /// The number of failed commits of the database; `None` on a node that is no core.
    pub disk_error_count: Option<Arc<AtomicU64>>,
    /// True once the process shuts down; never cleared.
    pub stopping: AtomicBool,
    /// True once the time for calls in flight is over and the process ends; never cleared.
    pub grace_is_over: AtomicBool,
    /// True while an operator drains this node: the node serves calls but is not ready.
    pub operator_draining: AtomicBool,
    /// The version of the configuration in force; notified on every change.
    pub published_version: watch::Receiver<PublishedVersion>,
    /// The id of the next call.
    pub next_call_number: AtomicU64,
}

thread_local! {
    static THREAD_CACHES: RefCell<ThreadCaches> = RefCell::default();
}

impl Shared {
    /// Whether calls may be admitted by this view now.
    pub fn may_admit(&self, view: &View) -> bool {
        view.may_admit(clock::now())
    }

    /// Whether the process shuts down.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Runs `step` with the shared state, the caches of this thread, the newest view and the time.
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

    /// Delivers an event to its call. If the call has ended, the slot or quota that the event grants is
    /// reclaimed and goes to the next waiter of the queue.
    pub fn deliver_wakeup(&self, wakeup: Wakeup) {
        let mut pending = vec![wakeup];
        while let Some(Wakeup { call_id, queue, event }) = pending.pop() {
            if let Err(event) = self.call_events.deliver(call_id, event) {
                let undelivered = Wakeup { call_id, queue, event };
                pending.extend(self.with_step_context(|context| SharedCallState::reclaim(undelivered, context)));
            }
        }
    }

    /// Evicts idle connections and expires calls whose queue time-out has passed. Returns the tenants
    /// for which quota must be requested, each with the number of units that its queued calls need.
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
