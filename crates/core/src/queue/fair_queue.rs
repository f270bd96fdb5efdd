//! Weighted fair queueing by virtual finish times (Demers, Keshav, Shenker, "Analysis and Simulation
//! of a Fair Queueing Algorithm", 1989; Parekh, Gallager, "A Generalized Processor Sharing
//! Approach", 1993), with admission by the expected wait.
//!
//! Each flow (a tenant and a kind of traffic) has a weight. An entry's tag is its virtual finish
//! time: the flow's last tag, or the virtual time of the queue if that is later, plus the cost of
//! one entry divided by the weight. Entries leave in the order of their tags, and the virtual time
//! is the largest tag that left. A flow that was idle thus gains no credit.
//!
//! The queue rejects an entry whose expected wait exceeds its deadline, and when it is full, unless
//! the entry displaces one of the longest flow relative to its weight.

use crate::base::{Micros, SEC};
use crate::config::Kind;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The tenant and the kind of traffic that share a place in the fair order.
type FlowKey = (String, Kind);

/// How long a freed slot counts for the pace, in microseconds.
const PACE_WINDOW: Micros = 5 * SEC;

/// The most freed slots that are kept for the pace.
const MAX_FREED: usize = 64;

/// The virtual time that one entry costs a flow of weight one.
const ENTRY_COST: u64 = 1 << 20;

/// The interval between freed slots if none was seen yet, in microseconds.
const DEFAULT_INTERVAL: Micros = SEC / 10;

/// The shortest and the longest time to retry after, in microseconds.
const MIN_RETRY_AFTER: Micros = SEC / 2;
const MAX_RETRY_AFTER: Micros = 30 * SEC;

#[derive(Clone, Debug)]
struct Entry<T> {
    value: T,
    deadline: Micros,
    /// The virtual finish time.
    tag: u64,
}

#[derive(Clone, Debug)]
struct Flow<T> {
    entries: VecDeque<Entry<T>>,
    weight: u64,
    /// The virtual finish time of the last entry that was added.
    last_tag: u64,
}

/// How fast slots came free lately.
#[derive(Clone, Copy)]
struct Pace {
    /// Between two freed slots, in microseconds.
    interval: Micros,
    /// Since the last freed slot, or since calls began to wait, in microseconds. The next one is
    /// expected to take at least as long again.
    gap: Micros,
}

/// Why an entry was not queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueRejection {
    /// When to retry, in microseconds from now.
    pub retry_after: Micros,
}

/// A bounded queue that serves tenants and kinds of traffic by their weights.
#[derive(Clone, Debug)]
pub struct FairQueue<T> {
    flows: BTreeMap<FlowKey, Flow<T>>,
    virtual_time: u64,
    /// The number of entries in all flows; never more than `capacity`.
    len: usize,
    capacity: usize,
    /// When slots came free lately, in microseconds, oldest first.
    freed: VecDeque<Micros>,
    /// Since when the queue has not been empty, in microseconds.
    busy_since: Micros,
}

impl<T> FairQueue<T> {
    /// An empty queue for at most `capacity` entries.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        FairQueue { flows: BTreeMap::new(), virtual_time: 0, len: 0, capacity, freed: VecDeque::new(), busy_since: 0 }
    }

    /// How many entries wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no entry waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// All entries, flow by flow and not in the fair order.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.flows.values().flat_map(|flow| flow.entries.iter().map(|entry| &entry.value))
    }

    /// Records that a slot came free, from which later waits are estimated.
    pub fn record_freed(&mut self, now: Micros) {
        self.freed.push_back(now);
        let is_old = |freed_at: &Micros| now.saturating_sub(*freed_at) > PACE_WINDOW;
        while self.freed.len() > MAX_FREED || self.freed.front().is_some_and(is_old) {
            self.freed.pop_front();
        }
    }

    fn pace(&self, now: Micros) -> Pace {
        let old = self.freed.partition_point(|freed_at| now.saturating_sub(*freed_at) > PACE_WINDOW);
        let recent = (self.freed.len() - old) as u64;
        let interval = self.freed.get(old).map_or(0, |first| now.saturating_sub(*first) / recent);
        let last_progress = self.freed.back().copied().unwrap_or(0).max(self.busy_since);
        let gap = if self.len > 0 { now.saturating_sub(last_progress) } else { 0 };
        Pace { interval, gap }
    }

    /// The expected wait of the entry at `position` in a flow of `weight`, in microseconds.
    fn expected_wait(&self, pace: Pace, position: usize, weight: u64, total_weight: u64) -> Micros {
        let rank = ((position as u64 + 1) * total_weight / weight.max(1)).min(self.len as u64 + 1);
        pace.interval.saturating_mul(rank).max(pace.gap)
    }

    /// The weights of all flows with entries.
    fn total_weight(&self) -> u64 {
        self.flows.values().filter(|flow| !flow.entries.is_empty()).map(|flow| flow.weight).sum()
    }

    /// Removes the entries that can't be served before their deadline at the current pace.
    pub fn drain_hopeless(&mut self, now: Micros) -> Vec<T> {
        if self.len == 0 {
            return Vec::new();
        }
        let mut removed = Vec::new();
        for (key, position) in self.hopeless(now).into_iter().rev() {
            if let Some(entry) = self.flows.get_mut(&key).and_then(|flow| flow.entries.remove(position)) {
                removed.push(entry.value);
            }
        }
        self.len -= removed.len();
        removed
    }

    fn hopeless(&self, now: Micros) -> BTreeSet<(FlowKey, usize)> {
        let total_weight = self.total_weight();
        let Pace { interval, gap } = self.pace(now);
        // A faster pace than the measured one: it varies, and a removal is final.
        let pace = Pace { interval: interval * 3 / 4, gap };
        let mut hopeless = BTreeSet::new();
        for (key, flow) in &self.flows {
            for (position, entry) in flow.entries.iter().enumerate() {
                let wait = self.expected_wait(pace, position, flow.weight, total_weight);
                if now.saturating_add(wait) > entry.deadline {
                    hopeless.insert((key.clone(), position));
                }
            }
        }
        hopeless
    }

    /// Removes the entry that `matches`, if there is one.
    pub fn remove_first(&mut self, mut matches: impl FnMut(&T) -> bool) -> Option<T> {
        self.drain_where(|value, _| matches(value)).pop()
    }

    /// Adds an entry. A full queue makes room by displacing, and returning, the last entry of the
    /// flow that is longest relative to its weight.
    ///
    /// # Errors
    /// Returns the entry if it would not be served before `deadline`, or if the queue is full and
    /// no other flow is longer.
    pub fn push(
        &mut self,
        key: FlowKey,
        weight: u64,
        value: T,
        deadline: Micros,
        now: Micros,
    ) -> Result<Option<T>, (T, QueueRejection)> {
        let weight = weight.max(1) * key.1.weight();
        let position = self.flows.get(&key).map_or(0, |flow| flow.entries.len());
        let total_weight = self.total_weight() + if position == 0 { weight } else { 0 };
        let wait = self.expected_wait(self.pace(now), position, weight, total_weight);
        if now.saturating_add(wait) > deadline {
            return Err((value, QueueRejection { retry_after: wait }));
        }
        let mut displaced = None;
        if self.len >= self.capacity {
            let retry_after = self.retry_after(now);
            let Some(longest) = self.longest_flow_beyond(&key, weight, position) else {
                return Err((value, QueueRejection { retry_after }));
            };
            displaced = self.pop_last_of(&longest);
        }
        if self.len == 0 {
            self.busy_since = now;
        }
        self.append(key, weight, value, deadline);
        Ok(displaced)
    }

    /// The longest flow relative to its weight, if it stays longer than the flow `key` would be
    /// with one more entry.
    fn longest_flow_beyond(&self, key: &FlowKey, weight: u64, position: usize) -> Option<FlowKey> {
        let waiting = self.flows.iter().filter(|(_, flow)| !flow.entries.is_empty());
        let (longest_key, longest) =
            waiting.max_by_key(|(_, flow)| flow.entries.len() as u64 * ENTRY_COST / flow.weight)?;
        let is_longer = longest.entries.len() as u64 * weight > (position as u64 + 1) * longest.weight;
        (longest_key != key && is_longer).then(|| longest_key.clone())
    }

    fn pop_last_of(&mut self, key: &FlowKey) -> Option<T> {
        let entry = self.flows.get_mut(key)?.entries.pop_back()?;
        self.len -= 1;
        Some(entry.value)
    }

    fn append(&mut self, key: FlowKey, weight: u64, value: T, deadline: Micros) {
        let flow = self.flows.entry(key).or_insert(Flow { entries: VecDeque::new(), weight, last_tag: 0 });
        flow.weight = weight;
        flow.last_tag = flow.last_tag.max(self.virtual_time) + ENTRY_COST / weight;
        flow.entries.push_back(Entry { value, deadline, tag: flow.last_tag });
        self.len += 1;
    }

    /// Removes the next entry in the fair order for which `reserve` succeeds. Only the first entry of
    /// each flow is offered.
    pub fn pop<R>(&mut self, mut reserve: impl FnMut(&T) -> Option<R>) -> Option<(T, R)> {
        let first_tag = |(key, flow): (&FlowKey, &Flow<T>)| Some((flow.entries.front()?.tag, key.clone()));
        let mut candidates: Vec<_> = self.flows.iter().filter_map(first_tag).collect();
        candidates.sort();
        for (tag, key) in candidates {
            let Some(flow) = self.flows.get_mut(&key) else { continue };
            let Some(reserved) = flow.entries.front().and_then(|entry| reserve(&entry.value)) else { continue };
            let Some(entry) = flow.entries.pop_front() else { continue };
            self.len -= 1;
            self.virtual_time = self.virtual_time.max(tag);
            if flow.entries.is_empty() && flow.last_tag <= self.virtual_time {
                self.flows.remove(&key);
            }
            return Some((entry.value, reserved));
        }
        None
    }

    /// Removes the first entry of any flow, in no fair order, for which `reserve` succeeds.
    pub fn pop_any<R>(&mut self, mut reserve: impl FnMut(&T) -> Option<R>) -> Option<(T, R)> {
        for flow in self.flows.values_mut() {
            let mut entries = flow.entries.iter().enumerate();
            let Some((position, reserved)) =
                entries.find_map(|(position, entry)| Some((position, reserve(&entry.value)?)))
            else {
                continue;
            };
            let entry = flow.entries.remove(position)?;
            self.len -= 1;
            return Some((entry.value, reserved));
        }
        None
    }

    /// Removes all entries for which `matches` holds, given their value and deadline.
    pub fn drain_where(&mut self, mut matches: impl FnMut(&T, Micros) -> bool) -> Vec<T> {
        let mut removed = Vec::new();
        for flow in self.flows.values_mut() {
            for entry in std::mem::take(&mut flow.entries) {
                if matches(&entry.value, entry.deadline) {
                    removed.push(entry.value);
                } else {
                    flow.entries.push_back(entry);
                }
            }
        }
        self.len -= removed.len();
        self.flows.retain(|_, flow| !flow.entries.is_empty() || flow.last_tag > self.virtual_time);
        removed
    }

    /// When a rejected call is to retry, in microseconds from now: when the entries that wait will
    /// have been served at the current pace.
    #[must_use]
    pub fn retry_after(&self, now: Micros) -> Micros {
        let Pace { interval, gap } = self.pace(now);
        let interval = if self.freed.is_empty() { DEFAULT_INTERVAL } else { interval };
        interval.saturating_mul(self.len as u64 + 1).max(gap).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}
