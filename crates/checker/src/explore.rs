//! The exploration of a model: every reachable state is expanded once, by several threads.
//!
//! States are told apart by their 64-bit digests alone; two states with one digest count as one. The
//! exploration stops at the first violation, or unfinished at the limits of its [`Options`].

use std::collections::hash_map::Entry;
use std::collections::{HashMap, VecDeque};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A system with an initial state and, in each state, a finite list of what may happen next.
///
/// The graph of its states must have no endless path: each action uses up a frame or a bounded allowance.
pub trait Model: Sync {
    /// One state of the system.
    type State: Send + Sync;
    /// One thing that may happen next.
    type Action;

    /// The state from which the exploration begins.
    fn initial_state(&self) -> Self::State;
    /// The digest of a state. Two states with one digest behave alike.
    fn digest(&self, state: &Self::State) -> u64;
    /// What may happen next. The order is the same for all states with one digest.
    fn actions(&self, state: &Self::State) -> Vec<Self::Action>;
    /// An action in words, for traces.
    fn describe(&self, state: &Self::State, action: &Self::Action) -> String;
    /// The next state, or the rule that the action violates.
    fn apply(&self, state: &Self::State, action: &Self::Action) -> Result<Self::State, String>;
    /// Checks that the system recovers from here once no further fault occurs.
    fn check_recovery(&self, state: &Self::State) -> Result<(), String>;
}

/// Which state is expanded next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SearchOrder {
    /// The state found first: traces are the shortest, and the frontier is large.
    BreadthFirst,
    /// The state found last: little memory.
    DepthFirst,
}

/// The limits of an exploration.
#[derive(Clone, Debug)]
pub struct Options {
    /// The number of threads that expand states; 4 by default.
    pub threads: usize,
    /// Which state is expanded next; depth first by default.
    pub order: SearchOrder,
    /// The exploration ends unfinished after so many states; without limit by default.
    pub max_states: u64,
    /// The exploration ends unfinished after so long; an hour by default.
    pub max_duration: Duration,
    /// Recovery is checked from each state without a next action and from one state in so many; 1,000 by
    /// default.
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

/// A rule that was violated, and the actions that lead to the violation.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The rule, a colon, and what was found.
    pub message: String,
    /// The actions from the initial state on, in words.
    pub trace: Vec<String>,
}

/// What an exploration did and found.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// The states that were found.
    pub states: u64,
    /// The actions that were applied.
    pub transitions: u64,
    /// States without a next action.
    pub final_states: u64,
    /// States from which recovery was checked.
    pub recoveries: u64,
    /// How long the exploration took, in seconds.
    pub seconds: f64,
    /// Whether every state within the bounds was expanded.
    pub complete: bool,
    /// The first violation that was found.
    pub violation: Option<Violation>,
}

/// The number of maps that the visited states are spread over.
const SHARDS: usize = 64;
/// How many states a thread takes from the queue at most.
const BATCH: usize = 32;

/// A mutex is poisoned only by a panic, which ends the exploration anyway.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// How a state was first reached.
#[derive(Clone, Copy)]
struct Predecessor {
    /// The digest of the state before it.
    digest: u64,
    /// The index of the action among the actions of the state before it.
    action_index: u32,
}

/// The states that were found, by their digests.
struct VisitedStates(Vec<Mutex<HashMap<u64, Predecessor>>>);

impl VisitedStates {
    fn new() -> Self {
        VisitedStates((0..SHARDS).map(|_| Mutex::default()).collect())
    }

    fn shard(&self, digest: u64) -> MutexGuard<'_, HashMap<u64, Predecessor>> {
        let index = usize::try_from(digest % SHARDS as u64).unwrap_or(0);
        lock(&self.0[index])
    }

    /// Adds a state; returns whether it is new.
    fn insert(&self, digest: u64, predecessor: Predecessor) -> bool {
        match self.shard(digest).entry(digest) {
            Entry::Occupied(_) => false,
            Entry::Vacant(entry) => {
                entry.insert(predecessor);
                true
            }
        }
    }

    /// The indexes of the actions that lead from the initial state to another one.
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
    /// The number of states in `states` or being expanded. The exploration ends when it is zero.
    open: usize,
}

/// Where a rule was violated.
struct ViolationSite {
    message: String,
    /// The digest of the state before the violation.
    digest: u64,
    /// The index of the action that violated the rule; none where the recovery failed.
    action_index: Option<u32>,
}

/// One exploration, as its threads share it.
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

/// The actions of a path in words.
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

    /// The work of one thread.
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

    /// Some states to expand; none when all are expanded or the exploration is stopped.
    fn next_batch(&self) -> Option<Vec<Unexpanded<M::State>>> {
        let mut frontier = lock(&self.frontier);
        loop {
            if self.is_stopped() || frontier.open == 0 {
                self.frontier_changed.notify_all();
                return None;
            }
            if !frontier.states.is_empty() {
                let share = (frontier.states.len() / self.options.threads.max(1)).clamp(1, BATCH);
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

    /// Applies all actions of a state; new states go to `found`.
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

    /// Checks the recovery from final states and from a sample of all others.
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

    /// Counts a state and returns it, if it is new.
    fn record(&self, state: M::State, predecessor: Predecessor) -> Option<Unexpanded<M::State>> {
        let digest = self.model.digest(&state);
        if !self.visited.insert(digest, predecessor) {
            return None;
        }
        self.states.fetch_add(1, Ordering::Relaxed);
        Some((digest, state))
    }

    /// Stops the exploration; the first violation counts.
    fn stop_at(&self, site: ViolationSite) {
        lock(&self.violation).get_or_insert(site);
        self.is_stopped.store(true, Ordering::Relaxed);
        self.frontier_changed.notify_all();
    }
}
