//! The retry budget: limits the retries of the whole fleet at each pool to a fraction of the requests for it, so
//! that retries can't multiply the load of a failing pool.
//!
//! Each process keeps its own budget and sends no message for it. In every window, of any position, it allows at most
//! `ratio × (P + C) / 2` retries at a pool, where `C` counts its own first attempts in that window and `P` those
//! in the window before. Summed over all processes, `(P + C) / 2` is at most the greater of the two counts of the
//! fleet. The bound therefore holds for any number of processes; a process that starts has no requests to count.
//! A process allows one more retry if the slack has room for one of every process of the fleet and as many that
//! replace them, so that a process with few requests can retry.
//!
//! Retries arrive after they were allowed, and requests are read after they were sent. Windows are counted as if each
//! took up to [`MAX_DELAY`], and an allowed retry that isn't sent within [`PERMIT_VALIDITY`] must be allowed again.

use crate::base::{MS, Micros, SEC, ShardedMap};
use std::sync::atomic::{AtomicUsize, Ordering};

/// The number of time slots that a window is divided into.
const WINDOW_SLOTS: usize = 40;

/// The largest delay that is counted as a number of slots.
const MAX_DELAY_SLOTS: usize = WINDOW_SLOTS / 4;

/// The number of slots that are kept: the oldest window that a retry falls in, and the window before that one.
const HISTORY_SLOTS: usize = 2 * WINDOW_SLOTS;

/// The number of windows over which first attempts are averaged: a window and the one before it.
const AVERAGED_WINDOWS: u64 = 2;

/// The node count of a process that has no view of the fleet yet.
const UNKNOWN_NODE_COUNT: usize = usize::MAX;

/// The time within which an allowed retry must be sent, in microseconds.
pub const PERMIT_VALIDITY: Micros = 500 * MS;

/// The longest time from the permit of a retry to its arrival at a worker, and from the sending of a request by its
/// client to its reading, in microseconds.
const MAX_DELAY: Micros = PERMIT_VALIDITY + 250 * MS;

/// The shortest window of [`RetryLimits`], in microseconds: [`MAX_DELAY`] is a quarter of it.
pub const MIN_WINDOW: Micros = 4 * MAX_DELAY;

/// The limits of retries at each pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryLimits {
    /// The number of retries allowed for a thousand requests.
    pub ratio_milli: u32,
    /// The length of the windows in which retries and requests are counted, in microseconds; at least [`MIN_WINDOW`].
    pub window: Micros,
    /// The number of retries allowed in a window beside those.
    pub slack: u32,
}

impl Default for RetryLimits {
    fn default() -> Self {
        RetryLimits { ratio_milli: 200, window: 10 * SEC, slack: 50 }
    }
}

impl RetryLimits {
    fn slot_length(self) -> Micros {
        self.window.max(MIN_WINDOW) / WINDOW_SLOTS as u64
    }

    /// Returns [`MAX_DELAY`] in slots.
    fn delay_slots(self) -> usize {
        (MAX_DELAY.div_ceil(self.slot_length()) as usize).min(MAX_DELAY_SLOTS)
    }
}

/// The first attempts and retries of this process at each pool, and the limits of retries.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    /// The number of nodes of the fleet, as far as this process knows.
    node_count: AtomicUsize,
    pools: ShardedMap<PoolHistory>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget::new(RetryLimits::default())
    }
}

impl RetryBudget {
    /// Creates the budget of a process that has sent no attempt.
    #[must_use]
    pub fn new(limits: RetryLimits) -> Self {
        RetryBudget { limits, node_count: UNKNOWN_NODE_COUNT.into(), pools: ShardedMap::default() }
    }

    /// Sets the number of nodes of the fleet, on which depends whether the slack has room for a retry of each.
    pub fn set_node_count(&self, nodes: usize) {
        self.node_count.store(nodes, Ordering::Relaxed);
    }

    /// Returns how many retries in a window the slack pays for at this process.
    fn slack_share(&self) -> u64 {
        let replaced_nodes = self.node_count.load(Ordering::Relaxed).saturating_mul(2);
        u64::from(replaced_nodes <= self.limits.slack as usize)
    }

    /// Counts the first attempt of a request that was received at `received_at`.
    pub fn record_first_attempt(&self, pool: &str, received_at: Micros) {
        let slot = self.slot_at(received_at);
        self.with_history(pool, |history| history.record_first(slot));
    }

    /// Returns whether a retry at the pool is allowed now.
    #[must_use]
    pub fn allows_retry(&self, pool: &str, now: Micros) -> bool {
        let slot = self.slot_at(now);
        self.with_history(pool, |history| history.allows_retry(slot, self.limits, self.slack_share()))
    }

    /// Counts a retry at the pool if it is allowed now; returns whether it is.
    #[must_use]
    pub fn withdraw(&self, pool: &str, now: Micros) -> bool {
        let slot = self.slot_at(now);
        self.with_history(pool, |history| {
            let is_allowed = history.allows_retry(slot, self.limits, self.slack_share());
            if is_allowed {
                history.record_retry();
            }
            is_allowed
        })
    }

    /// Takes back a retry that was allowed at `allowed_at` and was not sent.
    pub fn refund(&self, pool: &str, allowed_at: Micros) {
        let slot = self.slot_at(allowed_at);
        self.with_history(pool, |history| history.remove_retry(slot));
    }

    fn slot_at(&self, time: Micros) -> u64 {
        time / self.limits.slot_length()
    }

    fn with_history<T>(&self, pool: &str, action: impl FnOnce(&mut PoolHistory) -> T) -> T {
        let mut pools = self.pools.lock_shard(pool);
        match pools.get_mut(pool) {
            Some(history) => action(history),
            None => action(pools.entry(pool.to_owned()).or_default()),
        }
    }
}

/// The attempts that began in one slot of time.
#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    first_attempts: u32,
    retries: u32,
}

/// The attempts at one pool in the newest slots.
#[derive(Debug)]
struct PoolHistory {
    /// The number of the newest slot, counted from the start of the clock.
    newest: u64,
    /// The slots by number modulo their count. Slots before the start of the process are empty.
    slots: [Slot; HISTORY_SLOTS],
}

impl Default for PoolHistory {
    fn default() -> Self {
        PoolHistory { newest: 0, slots: [Slot::default(); HISTORY_SLOTS] }
    }
}

impl PoolHistory {
    /// Clears the slots that began since the newest one. A time before the newest slot changes nothing, as another
    /// thread may have read the clock a little later.
    fn advance_to(&mut self, slot: u64) {
        let passed = slot.saturating_sub(self.newest).min(HISTORY_SLOTS as u64);
        self.newest = self.newest.max(slot);
        for age in 0..passed {
            *self.slot_of_age(age as usize) = Slot::default();
        }
    }

    /// Returns the slot that began `age` slots before the newest one.
    fn slot_of_age(&mut self, age: usize) -> &mut Slot {
        let index = (self.newest + (HISTORY_SLOTS - age) as u64) % HISTORY_SLOTS as u64;
        &mut self.slots[index as usize]
    }

    fn record_first(&mut self, slot: u64) {
        self.advance_to(slot);
        let age = self.newest - slot.min(self.newest);
        if age < HISTORY_SLOTS as u64 {
            self.slot_of_age(age as usize).first_attempts += 1;
        }
    }

    fn record_retry(&mut self) {
        self.slot_of_age(0).retries += 1;
    }

    fn remove_retry(&mut self, slot: u64) {
        let age = self.newest.saturating_sub(slot);
        if age < HISTORY_SLOTS as u64 {
            let retries = &mut self.slot_of_age(age as usize).retries;
            *retries = retries.saturating_sub(1);
        }
    }

    /// Returns whether one more retry is within the limit of every window that it falls in.
    fn allows_retry(&mut self, slot: u64, limits: RetryLimits, slack_share: u64) -> bool {
        self.advance_to(slot);
        let newer_first = self.first_attempts_newer_than();
        let delay = limits.delay_slots();
        let mut retries = 1;
        // Retries that were allowed in the slot of age `begin` or later may all arrive in one window.
        for begin in 0..=WINDOW_SLOTS + delay {
            retries += u64::from(self.slot_of_age(begin).retries);
            // Requests that may have been sent before both windows, by their delay, don't count.
            let first_attempts = newer_first[begin + WINDOW_SLOTS - 2 * delay];
            let allowed_milli = u64::from(limits.ratio_milli) * first_attempts / AVERAGED_WINDOWS;
            if retries * 1_000 > allowed_milli + slack_share * 1_000 {
                return false;
            }
        }
        true
    }

    /// Returns, for each age, the number of first attempts in slots younger than that.
    fn first_attempts_newer_than(&mut self) -> [u64; HISTORY_SLOTS + 1] {
        let mut newer = [0; HISTORY_SLOTS + 1];
        for age in 0..HISTORY_SLOTS {
            newer[age + 1] = newer[age] + u64::from(self.slot_of_age(age).first_attempts);
        }
        newer
    }
}
