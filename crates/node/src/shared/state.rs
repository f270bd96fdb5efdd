//! The state that all tasks share.

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
use std::sync::atomic::{AtomicBool, AtomicU64};
use sumacvale_core::base::{ChangeId, Version};
use sumacvale_core::call::{SharedCallState, StepContext, ThreadCaches, Wakeup};
use sumacvale_core::node::View;
use sumacvale_core::protocol::{Change, ChangeOutcome, WorkerReport};
use tokio::sync::{mpsc, oneshot, watch};

/// What the data plane and operators tell the node.
#[derive(Debug)]
pub enum Command {
    Report(WorkerReport),
    /// The settings name other seeds.
    SeedsChanged(Vec<String>),
    ReportWithAck {
        report: WorkerReport,
        reply: oneshot::Sender<bool>,
    },
    SubmitChange {
        change_id: ChangeId,
        is_first_send: bool,
        base: Version,
        change: Change,
        reply: oneshot::Sender<ChangeOutcome>,
    },
    QuotaNeeded {
        tenant: String,
        waiting: u64,
    },
    Shutdown,
}

/// What a watcher of versions sees.
pub type PublishedVersion = Option<Version>;

/// All that one process shares, passed down by reference.
pub struct Shared {
    pub settings: Settings,
    pub adapter: &'static ProtocolAdapter,
    pub node_id: String,
    pub view: ArcSwap<View>,
    pub commands: mpsc::Sender<Command>,
    pub call_state: SharedCallState,
    pub call_events: CallEvents,
    pub upstreams: UpstreamPool,
    pub connection_limits: Arc<ConnectionLimits>,
    pub link_counters: Arc<LinkCounters>,
    pub disk_error_count: Option<Arc<AtomicU64>>,
    pub stopping: AtomicBool,
    /// An operator lets this node run empty: it serves on and is not ready.
    pub operator_draining: AtomicBool,
    pub published_version: watch::Receiver<PublishedVersion>,
    pub next_call_id: AtomicU64,
}

thread_local! {
    static OWN: RefCell<ThreadCaches> = RefCell::default();
}

impl Shared {
    /// Whether calls may be admitted by this view.
    pub fn may_admit(&self, v: &View) -> bool {
        v.may_admit(clock::now())
    }

    /// Whether this process was told to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(std::sync::atomic::Ordering::Acquire)
    }

    /// Lets `f` see the floor, this thread's own layers, the newest picture and the time.
    pub fn with_step_context<R>(&self, f: impl FnOnce(&mut StepContext) -> R) -> R {
        let view = self.view.load();
        OWN.with(|o| {
            let own = &mut o.borrow_mut();
            f(&mut StepContext {
                shared: &self.call_state,
                thread_caches: own,
                view: &view,
                now: clock::now(),
                clock: &clock::now,
            })
        })
    }

    /// Tells a call what came for it; what nobody hears goes to who waits next.
    pub fn deliver_wakeup(&self, r: Wakeup) {
        let mut all = vec![r];
        while let Some(Wakeup { call_id: call, queue: of, event }) = all.pop() {
            if let Err(event) = self.call_events.deliver(call, event) {
                all.extend(
                    self.with_step_context(|cx| {
                        SharedCallState::reclaim(Wakeup { call_id: call, queue: of, event }, cx)
                    }),
                );
            }
        }
    }

    /// Looks through the waitlists; the tenants for which units should be fetched.
    pub fn expire_waiters(&self) -> Vec<(String, u64)> {
        let v = self.view.load();
        self.upstreams
            .evict_expired(|w, incarnation| v.workers.iter().any(|r| r.worker_id == w && r.incarnation == incarnation));
        drop(v);
        let (rs, need) = self.with_step_context(SharedCallState::expire_waiters);
        for r in rs {
            self.deliver_wakeup(r);
        }
        need
    }
}
