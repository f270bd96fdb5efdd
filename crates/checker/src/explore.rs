//! Exhaustive state-space exploration of a model: several threads expand every reachable state once.
//!
//! States are identified by their 64-bit digests alone; two states with the same digest count as one. The
//! exploration stops at the first violation, or incomplete at a limit of its [`Options`].

use std::collections::hash_map::Entry;
use std::collections::{HashMap, VecDeque};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A transition system with an initial state and, in each state, a finite list of actions.
///
/// Invariant: the state graph has no infinite path, because each action uses up a frame or a bounded allowance.
pub trait Model: Sync {
    /// One state of the system.
    type State: Send + Sync;
    /// One transition out of a state.
    type Action;

    /// Returns the state from which the exploration begins.
    fn initial_state(&self) -> Self::State;
    /// Returns the digest of a state. States with the same digest must behave alike.
    fn digest(&self, state: &Self::State) -> u64;
    /// Returns the possible actions. Their order is the same for all states with the same digest.
    fn actions(&self, state: &Self::State) -> Vec<Self::Action>;
    /// Describes an action for traces.
    fn describe(&self, state: &Self::State, action: &Self::Action) -> String;
    /// Returns the next state, or the rule that the action violates.
    fn apply(&self, state: &Self::State, action: &Self::Action) -> Result<Self::State, String>;
    /// Checks that the system recovers from this state once no further fault occurs.
    fn check_recovery(&self, state: &Self::State) -> Result<(), String>;
}

/// The order in which states are expanded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SearchOrder {
    /// Oldest state first: shortest traces, but a large frontier.
    BreadthFirst,
    /// Newest state first: needs little memory.
    DepthFirst,
}

/// The limits of an exploration.
#[derive(Clone, Debug)]
pub struct Options {
    /// The number of threads that expand states; 4 by default.
    pub threads: usize,
    /// The order in which states are expanded; depth first by default.
    pub order: SearchOrder,
    /// The number of states after which the exploration ends incomplete; unlimited by default.
    pub max_states: u64,
    /// The time after which the exploration ends incomplete; an hour by default.
    pub max_duration: Duration,
    /// Recovery is checked from every final state and from one in this many other states; 1,000 by default.
    pub recovery_interval: u64,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            threads: 4,
            order: SearchOrder::DepthFirst,
            max_states: u64::MAX,
            max_duration: Duration::from_hours(1),
            recovery_interval: 1_000,
        }
    }
}

/// A violated rule and the actions that lead to the violation.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The name of the violated rule, a colon, and the details.
    pub message: String,
    /// Descriptions of the actions, starting at the initial state.
    pub trace: Vec<String>,
}

/// The statistics and the result of an exploration.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// The number of distinct states.
    pub states: u64,
    /// The number of applied actions.
    pub transitions: u64,
    /// The number of states without a possible action.
    pub final_states: u64,
    /// The number of states from which recovery was checked.
    pub recoveries: u64,
    /// The duration of the exploration, in seconds.
    pub seconds: f64,
    /// True if every reachable state was expanded.
    pub complete: bool,
    /// The first violation, if any.
    pub violation: Option<Violation>,
}

/// The number of shards of the visited states.
const SHARD_COUNT: usize = 64;
/// The maximum number of states that a thread takes from the frontier at a time.
const MAX_BATCH_STATES: usize = 32;

/// Locks a mutex and ignores poisoning: the panic that poisons a mutex ends the exploration anyway.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// How a state was first reached.
#[derive(Clone, Copy)]
struct Predecessor {
    /// The digest of the preceding state.
    digest: u64,
    /// The index of the action among the actions of the preceding state.
    action_index: u32,
}

/// The predecessors of all visited states by the states' digests, in shards to reduce lock contention.
struct VisitedStates(Vec<Mutex<HashMap<u64, Predecessor>>>);

impl VisitedStates {
    fn new() -> Self {
        VisitedStates((0..SHARD_COUNT).map(|_| Mutex::default()).collect())
    }

    fn shard(&self, digest: u64) -> MutexGuard<'_, HashMap<u64, Predecessor>> {
        let index = usize::try_from(digest % SHARD_COUNT as u64).unwrap_or(0);
        lock(&self.0[index])
    }

    /// Adds a state; returns true if the state is new.
    fn insert(&self, digest: u64, predecessor: Predecessor) -> bool {
        match self.shard(digest).entry(digest) {
            Entry::Occupied(_) => false,
            Entry::Vacant(entry) => {
                entry.insert(predecessor);
                true
            }
        }
    }

    /// Returns the indexes of the actions that lead from the initial state to the target.
    fn path(&self, initial: u64, target: u64) -> Vec<u32> {
        let mut path = Vec::new();
        let mut digest = target;
        while digest != initial {
            let Some(predecessor) = self.shard(digest).get(&digest).copied() else { break };
            path.push(predecessor.action_index);
            digest = predecessor.digest;
        }
        path.reverse();
        path
    }
}

/// A state that is not expanded yet, with its digest.
type Unexpanded<S> = (u64, S);

/// The states that are not expanded yet.
struct Frontier<S> {
    states: VecDeque<Unexpanded<S>>,
    /// The number of states in `states` or being expanded. The exploration ends when `open` is zero.
    open: usize,
}

/// The state and action at which a rule was violated.
struct ViolationSite {
    message: String,
    /// The digest of the state before the violation.
    digest: u64,
    /// The index of the action that violated the rule; none if the recovery check failed.
    action_index: Option<u32>,
}

/// The state of one exploration, shared by its threads.
struct Exploration<'a, M: Model> {
    model: &'a M,
    options: &'a Options,
    visited: VisitedStates,
    frontier: Mutex<Frontier<M::State>>,
    frontier_changed: Condvar,
    is_stopped: AtomicBool,
    states: AtomicU64,
    transitions: AtomicU64,
    final_states: AtomicU64,
    recoveries: AtomicU64,
    violation: Mutex<Option<ViolationSite>>,
    started_at: Instant,
}

/// Explores all states of a model within the limits of the options, until a rule is violated.
pub fn explore<M: Model>(model: &M, options: &Options) -> Report {
    let initial_state = model.initial_state();
    let initial = model.digest(&initial_state);
    let exploration = Exploration::new(model, options, initial, initial_state);
    std::thread::scope(|scope| {
        for _ in 0..options.threads.max(1) {
            scope.spawn(|| exploration.expand_until_done());
        }
    });
    exploration.report(initial)
}

/// Describes the actions of a path.
fn trace<M: Model>(model: &M, path: &[u32]) -> Vec<String> {
    let mut descriptions = Vec::new();
    let mut state = model.initial_state();
    for action_index in path {
        let actions = model.actions(&state);
        let Some(action) = usize::try_from(*action_index).ok().and_then(|index| actions.get(index)) else { break };
        descriptions.push(model.describe(&state, action));
        let Ok(next) = model.apply(&state, action) else { break };
        state = next;
    }
    descriptions
}

impl<'a, M: Model> Exploration<'a, M> {
    fn new(model: &'a M, options: &'a Options, initial: u64, initial_state: M::State) -> Self {
        let visited = VisitedStates::new();
        visited.insert(initial, Predecessor { digest: initial, action_index: 0 });
        Exploration {
            model,
            options,
            visited,
            frontier: Mutex::new(Frontier { states: VecDeque::from([(initial, initial_state)]), open: 1 }),
            frontier_changed: Condvar::new(),
            is_stopped: AtomicBool::new(false),
            states: AtomicU64::new(1),
            transitions: AtomicU64::new(0),
            final_states: AtomicU64::new(0),
            recoveries: AtomicU64::new(0),
            violation: Mutex::new(None),
            started_at: Instant::now(),
        }
    }

    fn report(&self, initial: u64) -> Report {
        let violation = lock(&self.violation).take().map(|site| {
            let mut path = self.visited.path(initial, site.digest);
            path.extend(site.action_index);
            Violation { message: site.message, trace: trace(self.model, &path) }
        });
        Report {
            states: self.states.load(Ordering::Relaxed),
            transitions: self.transitions.load(Ordering::Relaxed),
            final_states: self.final_states.load(Ordering::Relaxed),
            recoveries: self.recoveries.load(Ordering::Relaxed),
            seconds: self.started_at.elapsed().as_secs_f64(),
            complete: violation.is_none() && !self.is_stopped(),
            violation,
        }
    }

    fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::Relaxed)
    }

    /// Expands batches of states until none is left; the main loop of one thread.
    fn expand_until_done(&self) {
        while let Some(batch) = self.next_batch() {
            let expanded = batch.len();
            let mut found = Vec::new();
            for (digest, state) in batch {
                if !self.is_stopped() {
                    self.expand(digest, &state, &mut found);
                }
            }
            self.extend_frontier(found, expanded);
        }
    }

    /// Waits for states to expand; returns none when all are expanded or the exploration is stopped.
    fn next_batch(&self) -> Option<Vec<Unexpanded<M::State>>> {
        let mut frontier = lock(&self.frontier);
        loop {
            if self.is_stopped() || frontier.open == 0 {
                self.frontier_changed.notify_all();
                return None;
            }
            if !frontier.states.is_empty() {
                let share = (frontier.states.len() / self.options.threads.max(1)).clamp(1, MAX_BATCH_STATES);
                let next = || match self.options.order {
                    SearchOrder::BreadthFirst => frontier.states.pop_front(),
                    SearchOrder::DepthFirst => frontier.states.pop_back(),
                };
                return Some(std::iter::from_fn(next).take(share).collect());
            }
            frontier = self.frontier_changed.wait(frontier).unwrap_or_else(PoisonError::into_inner);
        }
    }

    fn extend_frontier(&self, found: Vec<Unexpanded<M::State>>, expanded: usize) {
        let mut frontier = lock(&self.frontier);
        frontier.open = frontier.open + found.len() - expanded;
        frontier.states.extend(found);
        self.frontier_changed.notify_all();
    }

    /// Applies all actions of a state and appends new states to `found`.
    fn expand(&self, digest: u64, state: &M::State, found: &mut Vec<Unexpanded<M::State>>) {
        if self.is_limit_reached() {
            self.is_stopped.store(true, Ordering::Relaxed);
            return;
        }
        let actions = self.model.actions(state);
        if let Err(message) = self.check_recovery(digest, state, actions.is_empty()) {
            return self.stop_at(ViolationSite { message, digest, action_index: None });
        }
        for (index, action) in actions.iter().enumerate() {
            let action_index = u32::try_from(index).unwrap_or(u32::MAX);
            self.transitions.fetch_add(1, Ordering::Relaxed);
            match self.model.apply(state, action) {
                Err(message) => {
                    return self.stop_at(ViolationSite { message, digest, action_index: Some(action_index) });
                }
                Ok(next) => found.extend(self.record(next, Predecessor { digest, action_index })),
            }
        }
    }

    fn is_limit_reached(&self) -> bool {
        self.started_at.elapsed() > self.options.max_duration
            || self.states.load(Ordering::Relaxed) >= self.options.max_states
    }

    /// Checks recovery from final states and from a sample of all other states.
    fn check_recovery(&self, digest: u64, state: &M::State, is_final: bool) -> Result<(), String> {
        if is_final {
            self.final_states.fetch_add(1, Ordering::Relaxed);
        }
        if !is_final && !digest.is_multiple_of(self.options.recovery_interval.max(1)) {
            return Ok(());
        }
        self.recoveries.fetch_add(1, Ordering::Relaxed);
        self.model.check_recovery(state)
    }

    /// Counts a state and returns the state if it is new.
    fn record(&self, state: M::State, predecessor: Predecessor) -> Option<Unexpanded<M::State>> {
        let digest = self.model.digest(&state);
        if !self.visited.insert(digest, predecessor) {
            return None;
        }
        self.states.fetch_add(1, Ordering::Relaxed);
        Some((digest, state))
    }

    /// Stops the exploration and keeps the first violation.
    fn stop_at(&self, site: ViolationSite) {
        lock(&self.violation).get_or_insert(site);
        self.is_stopped.store(true, Ordering::Relaxed);
        self.frontier_changed.notify_all();
    }
}
