use super::caches::Caches;
use super::counts::Counts;
use super::seat::Waiter;
use crate::clock;
use crate::env::Env;
use crate::link::Tally;
use arc_swap::ArcSwap;
use seating::base::{Cid, Ver};
use seating::fresh;
use seating::node::View;
use seating::peer::{Change, Fate, Row};
use seating::place::Loads;
use seating::quota::Slices;
use seating::tries::Budget;
use seating::wait::Waitlist;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::{Notify, mpsc, oneshot, watch};

/// What the data plane and operators tell the node.
#[derive(Debug)]
pub enum In {
    Report(Row),
    Put { cid: Cid, fresh: bool, base: Ver, change: Change, back: oneshot::Sender<Fate> },
    Need { tenant: String, waiting: u64 },
    Leave,
}

/// What a watcher of versions sees.
pub type Mark = Option<Ver>;

pub type Waits = HashMap<String, Waitlist<Waiter>>;

/// All that one process shares, passed down by reference.
pub struct Hall {
    pub env: Env,
    pub nid: String,
    pub view: ArcSwap<View>,
    pub inbox: mpsc::Sender<In>,
    pub slices: Arc<Slices>,
    pub loads: Loads,
    pub caches: Caches,
    pub waits: Mutex<Waits>,
    pub wakes: Mutex<HashMap<String, Arc<Notify>>>,
    pub budget: Budget,
    pub counts: Counts,
    pub tally: Arc<Tally>,
    pub disk_troubles: Option<Arc<AtomicU64>>,
    pub stopping: AtomicBool,
    /// An operator lets this node run empty: it serves on and is not ready.
    pub resting: AtomicBool,
    pub version: watch::Receiver<Mark>,
    pub calls: AtomicU64,
}

impl Hall {
    pub fn fresh(&self, v: &View) -> bool {
        v.ver.is_some() && v.fresh.is_some_and(|t| fresh::fresh(t, clock::now()))
    }

    pub fn stopping(&self) -> bool {
        self.stopping.load(std::sync::atomic::Ordering::Acquire)
    }

    pub fn waits(&self) -> MutexGuard<'_, Waits> {
        match self.waits.lock() {
            Ok(g) => g,
            Err(e) => e.into_inner(),
        }
    }

    pub fn wake(&self, t: &str) -> Arc<Notify> {
        let mut g = match self.wakes.lock() {
            Ok(g) => g,
            Err(e) => e.into_inner(),
        };
        g.entry(t.to_owned()).or_default().clone()
    }
}
