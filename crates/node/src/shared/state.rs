//! The state that all tasks share.

use super::call_events::CallEvents;
use crate::clock;
use crate::dialect::Dialect;
use crate::env::Env;
use crate::link::Tally;
use crate::serve::Limits;
use crate::upstream::Upstreams;
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
    Seeds(Vec<String>),
    Told {
        row: WorkerReport,
        back: oneshot::Sender<bool>,
    },
    Put {
        change_id: ChangeId,
        fresh: bool,
        base: Version,
        change: Change,
        back: oneshot::Sender<ChangeOutcome>,
    },
    Need {
        tenant: String,
        waiting: u64,
    },
    Leave,
}

/// What a watcher of versions sees.
pub type Mark = Option<Version>;

/// All that one process shares, passed down by reference.
pub struct Shared {
    pub env: Env,
    pub dialect: &'static Dialect,
    pub node_id: String,
    pub view: ArcSwap<View>,
    pub inbox: mpsc::Sender<Command>,
    pub floor: SharedCallState,
    pub call_events: CallEvents,
    pub upstreams: Upstreams,
    pub limits: Arc<Limits>,
    pub tally: Arc<Tally>,
    pub disk_troubles: Option<Arc<AtomicU64>>,
    pub stopping: AtomicBool,
    /// An operator lets this node run empty: it serves on and is not ready.
    pub resting: AtomicBool,
    pub version: watch::Receiver<Mark>,
    pub calls: AtomicU64,
}

thread_local! {
    static OWN: RefCell<ThreadCaches> = RefCell::default();
}

impl Shared {
    /// Whether calls may be admitted by this view.
    pub fn fresh(&self, v: &View) -> bool {
        v.may_admit(clock::now())
    }

    /// Whether this process was told to stop.
    pub fn stopping(&self) -> bool {
        self.stopping.load(std::sync::atomic::Ordering::Acquire)
    }

    /// Lets `f` see the floor, this thread's own layers, the newest picture and the time.
    pub fn step<R>(&self, f: impl FnOnce(&mut StepContext) -> R) -> R {
        let view = self.view.load();
        OWN.with(|o| {
            let own = &mut o.borrow_mut();
            f(&mut StepContext {
                shared: &self.floor,
                thread_caches: own,
                view: &view,
                now: clock::now(),
                clock: &clock::now,
            })
        })
    }

    /// Tells a call what came for it; what nobody hears goes to who waits next.
    pub fn ring(&self, r: Wakeup) {
        let mut all = vec![r];
        while let Some(Wakeup { call_id: call, queue: of, event }) = all.pop() {
            if let Err(event) = self.call_events.ring(call, event) {
                all.extend(self.step(|cx| SharedCallState::reclaim(Wakeup { call_id: call, queue: of, event }, cx)));
            }
        }
    }

    /// Looks through the waitlists; the tenants for which units should be fetched.
    pub fn sweep(&self) -> Vec<(String, u64)> {
        let v = self.view.load();
        self.upstreams
            .sweep(|w, incarnation| v.workers.iter().any(|r| r.worker_id == w && r.incarnation == incarnation));
        drop(v);
        let (rs, need) = self.step(SharedCallState::expire_waiters);
        for r in rs {
            self.ring(r);
        }
        need
    }
}
