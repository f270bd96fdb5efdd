//! Weighted fair queueing by virtual finish times (Demers, Keshav, Shenker, "Analysis and Simulation
//! of a Fair Queueing Algorithm", 1989; Parekh, Gallager, "A Generalized Processor Sharing
//! Approach", 1993), with admission by the expected wait.
//!
//! Each flow (a tenant and a kind of traffic) has a weight. An entry's finish finish_tag is its virtual
//! finish time: the flow's last finish finish_tag, or the virtual time of the queue if that is later, plus
//! the cost of one entry divided by the weight. Entries are dequeued in the order of their finish
//! tags, and the virtual time is the largest finish finish_tag dequeued so far. An idle flow therefore
//! gains no credit.
//!
//! The queue rejects an entry that is expected to wait beyond its deadline. A full queue rejects an
//! entry unless that displaces an entry of the longest flow relative to its weight.

use crate::base::{Micros, SEC};
use crate::config::TrafficKind;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The tenant and the kind of traffic that identify a flow.
type FlowKey = (String, TrafficKind);

/// The time for which a freed slot counts in the measured rate, in microseconds.
const FREED_WINDOW: Micros = 5 * SEC;

/// The most freed slots that are kept to measure their rate.
const MAX_FREED_SLOTS: usize = 64;

/// The cost of one entry for a flow of weight one, in virtual time.
const ENTRY_COST: u64 = 1 << 20;

/// The assumed interval between freed slots until one was freed, in microseconds.
const DEFAULT_INTERVAL: Micros = SEC / 10;

/// The shortest retry-after time, in microseconds.
const MIN_RETRY_AFTER: Micros = SEC / 2;
/// The longest retry-after time, in microseconds.
const MAX_RETRY_AFTER: Micros = 30 * SEC;

/// A queued value with its deadline and its place in the fair order.
#[derive(Clone, Debug)]
struct Entry<T> {
    value: T,
    deadline: Micros,
    /// The virtual finish time, by which entries are ordered.
    finish_tag: u64,
}

/// The entries of one tenant and kind of traffic, in the order of their finish tags.
#[derive(Clone, Debug)]
struct Flow<T> {
    entries: VecDeque<Entry<T>>,
    weight: u64,
    /// The virtual finish time of the last entry that was added.
    last_finish_tag: u64,
}

/// The recent rate of freed slots.
#[derive(Clone, Copy)]
struct ServiceRate {
    /// The average interval between two freed slots, in microseconds.
    interval: Micros,
    /// The time since the last freed slot, or since calls began to wait, in microseconds. The next
    /// freed slot is expected to take at least as long again.
    since_last_freed: Micros,
}

/// Why an entry was not queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueRejection {
    /// The time after which to retry, in microseconds.
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
    /// When slots were freed within [`FREED_WINDOW`], in microseconds, oldest first.
    freed_at: VecDeque<Micros>,
    /// When the queue last became non-empty, in microseconds.
    busy_since: Micros,
}

impl<T> FairQueue<T> {
    /// Creates an empty queue for at most `capacity` entries.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        FairQueue {
            flows: BTreeMap::new(),
            virtual_time: 0,
            len: 0,
            capacity,
            freed_at: VecDeque::new(),
            busy_since: 0,
        }
    }

    /// Returns the number of queued entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no entry is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns all entries, grouped by flow and not in the fair order.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.flows.values().flat_map(|flow| flow.entries.iter().map(|entry| &entry.value))
    }

    /// Records that a slot was freed; later waits are estimated from these records.
    pub fn record_slot_freed(&mut self, now: Micros) {
        self.freed_at.push_back(now);
        let is_old = |time: &Micros| now.saturating_sub(*time) > FREED_WINDOW;
        while self.freed_at.len() > MAX_FREED_SLOTS || self.freed_at.front().is_some_and(is_old) {
            self.freed_at.pop_front();
        }
    }

    fn service_rate(&self, now: Micros) -> ServiceRate {
        let old = self.freed_at.partition_point(|time| now.saturating_sub(*time) > FREED_WINDOW);
        let recent = (self.freed_at.len() - old) as u64;
        let interval = self.freed_at.get(old).map_or(0, |first| now.saturating_sub(*first) / recent);
        let progressed_at = self.freed_at.back().copied().unwrap_or(0).max(self.busy_since);
        let since_last_freed = if self.len > 0 { now.saturating_sub(progressed_at) } else { 0 };
        ServiceRate { interval, since_last_freed }
    }

    /// Returns the expected wait of the entry at `position` in a flow of `weight`, in microseconds.
    fn expected_wait(&self, service_rate: ServiceRate, position: usize, weight: u64, total_weight: u64) -> Micros {
        let rank = ((position as u64 + 1) * total_weight / weight.max(1)).min(self.len as u64 + 1);
        service_rate.interval.saturating_mul(rank).max(service_rate.since_last_freed)
    }

    /// Returns the sum of the weights of all flows with entries.
    fn total_weight(&self) -> u64 {
        self.flows.values().filter(|flow| !flow.entries.is_empty()).map(|flow| flow.weight).sum()
    }

    /// Removes and returns the entries that can't be served before their deadline at the current rate of
    /// freed slots.
    pub fn drain_unservable(&mut self, now: Micros) -> Vec<T> {
        if self.len == 0 {
            return Vec::new();
        }
        let mut removed = Vec::new();
        for (key, position) in self.unservable_entries(now).into_iter().rev() {
            if let Some(entry) = self.flows.get_mut(&key).and_then(|flow| flow.entries.remove(position)) {
                removed.push(entry.value);
            }
        }
        self.len -= removed.len();
        removed
    }

    /// Returns the flow and the position of each entry that is expected to miss its deadline.
    fn unservable_entries(&self, now: Micros) -> BTreeSet<(FlowKey, usize)> {
        let total_weight = self.total_weight();
        let ServiceRate { interval, since_last_freed } = self.service_rate(now);
        // A higher rate than the measured one: the rate varies, and a removal is final.
        let service_rate = ServiceRate { interval: interval * 3 / 4, since_last_freed };
        let mut unservable = BTreeSet::new();
        for (key, flow) in &self.flows {
            for (position, entry) in flow.entries.iter().enumerate() {
                let wait = self.expected_wait(service_rate, position, flow.weight, total_weight);
                if now.saturating_add(wait) > entry.deadline {
                    unservable.insert((key.clone(), position));
                }
            }
        }
        unservable
    }

    /// Removes and returns the entry for which `matches` holds, if there is one. `matches` must hold for one
    /// entry at most: further matching entries would be removed as well.
    pub fn remove_matching(&mut self, mut matches: impl FnMut(&T) -> bool) -> Option<T> {
        self.drain_where(|value, _| matches(value)).pop()
    }

    /// Adds an entry. A full queue displaces, and returns, the last entry of the flow that is longest
    /// relative to its weight.
    ///
    /// # Errors
    /// Returns the entry if its expected wait exceeds `deadline`, or if the queue is full and no other
    /// flow is longer.
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
        let wait = self.expected_wait(self.service_rate(now), position, weight, total_weight);
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

    /// Returns the longest flow relative to its weight, if it is longer than the flow `key` would be
    /// with one more entry.
    fn longest_flow_beyond(&self, key: &FlowKey, weight: u64, position: usize) -> Option<FlowKey> {
        let non_empty = self.flows.iter().filter(|(_, flow)| !flow.entries.is_empty());
        let (longest_key, longest) =
            non_empty.max_by_key(|(_, flow)| flow.entries.len() as u64 * ENTRY_COST / flow.weight)?;
        let is_longer = longest.entries.len() as u64 * weight > (position as u64 + 1) * longest.weight;
        (longest_key != key && is_longer).then(|| longest_key.clone())
    }

    fn pop_last_of(&mut self, key: &FlowKey) -> Option<T> {
        let entry = self.flows.get_mut(key)?.entries.pop_back()?;
        self.len -= 1;
        Some(entry.value)
    }

    fn append(&mut self, key: FlowKey, weight: u64, value: T, deadline: Micros) {
        let flow = self.flows.entry(key).or_insert(Flow { entries: VecDeque::new(), weight, last_finish_tag: 0 });
        flow.weight = weight;
        flow.last_finish_tag = flow.last_finish_tag.max(self.virtual_time) + ENTRY_COST / weight;
        flow.entries.push_back(Entry { value, deadline, finish_tag: flow.last_finish_tag });
        self.len += 1;
    }

    /// Removes the next entry in the fair order for which `reserve` succeeds. Tries only the first entry of
    /// each flow.
    pub fn pop<R>(&mut self, mut reserve: impl FnMut(&T) -> Option<R>) -> Option<(T, R)> {
        let first_finish_tag =
            |(key, flow): (&FlowKey, &Flow<T>)| Some((flow.entries.front()?.finish_tag, key.clone()));
        let mut candidates: Vec<_> = self.flows.iter().filter_map(first_finish_tag).collect();
        candidates.sort();
        for (finish_tag, key) in candidates {
            let Some(flow) = self.flows.get_mut(&key) else { continue };
            let Some(reserved) = flow.entries.front().and_then(|entry| reserve(&entry.value)) else { continue };
            let Some(entry) = flow.entries.pop_front() else { continue };
            self.len -= 1;
            self.virtual_time = self.virtual_time.max(finish_tag);
            if flow.entries.is_empty() && flow.last_finish_tag <= self.virtual_time {
                self.flows.remove(&key);
            }
            return Some((entry.value, reserved));
        }
        None
    }

    /// Removes the first entry for which `reserve` succeeds, ignoring the fair order.
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

    /// Removes and returns all entries for which `matches` holds, given their value and deadline.
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
        self.flows.retain(|_, flow| !flow.entries.is_empty() || flow.last_finish_tag > self.virtual_time);
        removed
    }

    /// Returns the time after which a rejected call should retry, in microseconds: until all queued
    /// entries will have been served at the current rate of freed slots.
    #[must_use]
    pub fn retry_after(&self, now: Micros) -> Micros {
        let ServiceRate { interval, since_last_freed } = self.service_rate(now);
        let interval = if self.freed_at.is_empty() { DEFAULT_INTERVAL } else { interval };
        interval.saturating_mul(self.len as u64 + 1).max(since_last_freed).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}
