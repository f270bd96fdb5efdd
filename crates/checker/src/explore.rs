//! The exploration itself: every state that can be reached, each expanded once, by some threads.

use std::collections::hash_map::Entry;
use std::collections::{HashMap, VecDeque};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A system with a start and, in each state, a finite list of what may happen next. The graph of
/// its states must have no endless path: each action uses up a frame or a bounded allowance.
pub trait Model: Sync {
    type State: Send + Sync;
    type Action;

    fn start(&self) -> Self::State;
    /// Two states with one digest behave alike.
    fn digest(&self, state: &Self::State) -> u64;
    fn actions(&self, state: &Self::State) -> Vec<Self::Action>;
    /// An action in words, for traces.
    fn describe(&self, state: &Self::State, action: &Self::Action) -> String;
    /// The next state, or what it breaks.
    fn apply(&self, state: &Self::State, action: &Self::Action) -> Result<Self::State, String>;
    /// Judges that the system recovers from here once nothing fails any more.
    fn recovers(&self, state: &Self::State) -> Result<(), String>;
}

/// Which state is expanded next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Search {
    /// The first found comes first: traces are the shortest, and the frontier is large.
    Breadth,
    /// The last found comes first: little memory.
    Depth,
}

#[derive(Clone, Debug)]
pub struct Options {
    pub threads: usize,
    pub search: Search,
    /// Exploration ends unfinished after so many states.
    pub most_states: u64,
    /// Exploration ends unfinished after so long.
    pub most_time: Duration,
    /// Recovery is judged from states without a next action and from one state in so many.
    pub recover_each: u64,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            threads: 4,
            search: Search::Depth,
            most_states: u64::MAX,
            most_time: Duration::from_secs(3_600),
            recover_each: 1_000,
        }
    }
}

/// What broke, and the actions that lead to it.
#[derive(Clone, Debug)]
pub struct Breach {
    pub what: String,
    pub trace: Vec<String>,
}

#[derive(Clone, Debug, Default)]
pub struct Report {
    pub states: u64,
    pub transitions: u64,
    /// States without a next action.
    pub ends: u64,
    /// States from which recovery was judged.
    pub recoveries: u64,
    pub seconds: f64,
    /// Every state within the bounds was expanded.
    pub complete: bool,
    pub breach: Option<Breach>,
}

const SHARDS: usize = 64;
const BATCH: usize = 32;

/// For each state that was met: the one before it, and the place of the action among its actions.
struct Visited(Vec<Mutex<HashMap<u64, (u64, u32)>>>);

impl Visited {
    fn new() -> Self {
        Visited((0..SHARDS).map(|_| Mutex::default()).collect())
    }

    fn shard(&self, digest: u64) -> MutexGuard<'_, HashMap<u64, (u64, u32)>> {
        let index = usize::try_from(digest % SHARDS as u64).unwrap_or(0);
        self.0[index].lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn insert(&self, digest: u64, from: u64, place: u32) -> bool {
        match self.shard(digest).entry(digest) {
            Entry::Occupied(_) => false,
            Entry::Vacant(slot) => {
                slot.insert((from, place));
                true
            }
        }
    }

    /// The places of the actions that lead to a state from the start.
    fn path(&self, start: u64, to: u64) -> Vec<u32> {
        let mut path = Vec::new();
        let mut at = to;
        while at != start {
            let Some((from, place)) = self.shard(at).get(&at).copied() else { break };
            path.push(place);
            at = from;
        }
        path.reverse();
        path
    }
}

struct Queue<S> {
    states: VecDeque<(u64, S)>,
    /// States in the queue or being expanded.
    open: usize,
}

struct Run<'a, M: Model> {
    model: &'a M,
    options: &'a Options,
    visited: Visited,
    queue: Mutex<Queue<M::State>>,
    wake: Condvar,
    stop: AtomicBool,
    states: AtomicU64,
    transitions: AtomicU64,
    ends: AtomicU64,
    recoveries: AtomicU64,
    /// What broke: the state before, the action that broke it if it was one.
    broken: Mutex<Option<(String, u64, Option<u32>)>>,
    began: Instant,
}

/// Explores all states of a model within the options' limits, until something breaks.
pub fn explore<M: Model>(model: &M, options: &Options) -> Report {
    let start = model.start();
    let first = model.digest(&start);
    let run = Run {
        model,
        options,
        visited: Visited::new(),
        queue: Mutex::new(Queue { states: VecDeque::from([(first, start)]), open: 1 }),
        wake: Condvar::new(),
        stop: AtomicBool::new(false),
        states: AtomicU64::new(1),
        transitions: AtomicU64::new(0),
        ends: AtomicU64::new(0),
        recoveries: AtomicU64::new(0),
        broken: Mutex::new(None),
        began: Instant::now(),
    };
    run.visited.insert(first, first, 0);
    std::thread::scope(|scope| {
        for _ in 0..options.threads.max(1) {
            scope.spawn(|| run.work());
        }
    });
    let broken = run.broken.lock().unwrap_or_else(PoisonError::into_inner).take();
    let breach = broken.map(|(what, at, last)| {
        let mut path = run.visited.path(first, at);
        path.extend(last);
        Breach { what, trace: trace(model, &path) }
    });
    Report {
        states: run.states.load(Ordering::Relaxed),
        transitions: run.transitions.load(Ordering::Relaxed),
        ends: run.ends.load(Ordering::Relaxed),
        recoveries: run.recoveries.load(Ordering::Relaxed),
        seconds: run.began.elapsed().as_secs_f64(),
        complete: breach.is_none() && !run.stop.load(Ordering::Relaxed),
        breach,
    }
}

/// The actions of a path by their names.
fn trace<M: Model>(model: &M, path: &[u32]) -> Vec<String> {
    let mut names = Vec::new();
    let mut state = model.start();
    for place in path {
        let actions = model.actions(&state);
        let Some(action) = usize::try_from(*place).ok().and_then(|p| actions.get(p)) else { break };
        names.push(model.describe(&state, action));
        let Ok(next) = model.apply(&state, action) else { break };
        state = next;
    }
    names
}

impl<M: Model> Run<'_, M> {
    fn work(&self) {
        while let Some(batch) = self.take() {
            let count = batch.len();
            let mut found = Vec::new();
            for (digest, state) in batch {
                if !self.stop.load(Ordering::Relaxed) {
                    self.expand(digest, &state, &mut found);
                }
            }
            self.put(found, count);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Queue<M::State>> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Some states to expand; none when all are expanded or the exploration stops.
    fn take(&self) -> Option<Vec<(u64, M::State)>> {
        let mut queue = self.lock();
        loop {
            if self.stop.load(Ordering::Relaxed) || queue.open == 0 {
                self.wake.notify_all();
                return None;
            }
            if !queue.states.is_empty() {
                let share = (queue.states.len() / self.options.threads.max(1)).clamp(1, BATCH);
                let mut batch = Vec::with_capacity(share);
                for _ in 0..share {
                    batch.extend(match self.options.search {
                        Search::Breadth => queue.states.pop_front(),
                        Search::Depth => queue.states.pop_back(),
                    });
                }
                return Some(batch);
            }
            queue = self.wake.wait(queue).unwrap_or_else(PoisonError::into_inner);
        }
    }

    fn put(&self, found: Vec<(u64, M::State)>, expanded: usize) {
        let mut queue = self.lock();
        queue.open = queue.open + found.len() - expanded;
        queue.states.extend(found);
        self.wake.notify_all();
    }

    fn expand(&self, digest: u64, state: &M::State, found: &mut Vec<(u64, M::State)>) {
        let late = self.began.elapsed() > self.options.most_time;
        if late || self.states.load(Ordering::Relaxed) >= self.options.most_states {
            self.stop.store(true, Ordering::Relaxed);
            return;
        }
        let actions = self.model.actions(state);
        if actions.is_empty() {
            self.ends.fetch_add(1, Ordering::Relaxed);
        }
        if actions.is_empty() || digest.is_multiple_of(self.options.recover_each.max(1)) {
            self.recoveries.fetch_add(1, Ordering::Relaxed);
            if let Err(what) = self.model.recovers(state) {
                return self.break_off(what, digest, None);
            }
        }
        for (place, action) in actions.iter().enumerate() {
            let place = u32::try_from(place).unwrap_or(u32::MAX);
            self.transitions.fetch_add(1, Ordering::Relaxed);
            match self.model.apply(state, action) {
                Err(what) => return self.break_off(what, digest, Some(place)),
                Ok(next) => {
                    let to = self.model.digest(&next);
                    if self.visited.insert(to, digest, place) {
                        self.states.fetch_add(1, Ordering::Relaxed);
                        found.push((to, next));
                    }
                }
            }
        }
    }

    fn break_off(&self, what: String, at: u64, last: Option<u32>) {
        let mut broken = self.broken.lock().unwrap_or_else(PoisonError::into_inner);
        broken.get_or_insert((what, at, last));
        self.stop.store(true, Ordering::Relaxed);
        self.wake.notify_all();
    }
}
