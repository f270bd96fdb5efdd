//! Separate partitions of the workers for long and short prompts.
//!
//! A short prompt that reaches a worker during a long prefill waits for that prefill, and no node knows
//! where other nodes have just sent long prompts. The workers of a pool are therefore partitioned in
//! proportion to the work of long and short prompts. All nodes compute the same partitions without
//! messages, and a prompt goes to the other partition only if its own partition is worse by more than
//! [`OTHER_PARTITION_PENALTY`].

use crate::base::Micros;
use std::collections::BTreeMap;

/// The cost of a worker of the other partition, as a fraction of a call's value.
pub const OTHER_PARTITION_PENALTY: f64 = 0.1;
/// The multiple of the pool's average prompt length above which a short route becomes long.
const LONG_ABOVE_RATIO: f64 = 1.25;
/// The multiple of the pool's average prompt length up to which a long route becomes short again.
const SHORT_BELOW_RATIO: f64 = 0.8;
/// The least number of calls before workers are partitioned.
const MIN_CALLS_TO_PARTITION: u64 = 2;
/// The ratio of the lengths of long and short prompts above which workers are partitioned.
const PARTITION_RATIO: f64 = 2.0;
/// The ratio of the lengths of long and short prompts below which the partitions are merged.
const MERGE_RATIO: f64 = 1.3;
/// The least number of calls between two changes of the partitions.
const MIN_CALLS_BETWEEN_CHANGES: u64 = 200;
/// The weight of a new prompt in the average length.
const LEARNING_RATE: f64 = 0.02;
/// The half-life of the weight of work, in microseconds.
const WORK_HALF_LIFE_MICROS: f64 = 20_000_000.0;
/// The number of steps in the fraction of the workers for short prompts. The fraction changes only once the
/// work differs by more than a step: nodes that each see a small part of the traffic must agree on the
/// fraction, or each of them would place the same prompt differently.
const FRACTION_STEPS: f64 = 6.0;
/// The first fraction of the workers for short prompts.
const INITIAL_SHORT_FRACTION: f64 = 2.0 / FRACTION_STEPS;
/// The most routes that are kept; the one seen longest ago is evicted first.
const MAX_ROUTES: usize = 64;

/// The lengths and the work of the prompts of one route.
#[derive(Clone, Copy, Debug, Default)]
struct RouteLengths {
    /// The average length, in tokens.
    tokens: f64,
    /// The number of prefilled tokens, decayed as of `updated_at`.
    work: f64,
    updated_at: Micros,
    calls: u64,
    is_long: bool,
}

impl RouteLengths {
    fn decayed_work(&self, now: Micros) -> f64 {
        self.work * (-(now.saturating_sub(self.updated_at) as f64) / WORK_HALF_LIFE_MICROS).exp2()
    }
}

/// The work of all long or all short routes.
#[derive(Clone, Copy, Debug, Default)]
struct ClassWork {
    /// The decayed number of prefilled tokens.
    work: f64,
    /// The sum of the routes' average lengths, each weighted by the route's work.
    weighted_tokens: f64,
}

/// The lengths of a pool's prompts by route, and the partitions of the workers.
#[derive(Clone, Debug, Default)]
pub struct PromptLengths {
    routes: BTreeMap<u64, RouteLengths>,
    /// The average length of all prompts, in tokens.
    tokens: f64,
    calls: u64,
    /// The fraction of the workers for short prompts; `None` while workers are not partitioned.
    short_fraction: Option<f64>,
    /// The number of calls when `short_fraction` changed last.
    changed_at_call: u64,
}

/// The partition of the workers that is preferred for a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LengthClass {
    /// Whether the call belongs to the partition of long prompts.
    pub is_long: bool,
    /// The fraction of the workers for short prompts, from 0 to 1.
    pub short_fraction: f64,
}

impl LengthClass {
    /// Returns whether the worker at this position, from 0 to 1, is in this partition: workers below
    /// `short_fraction` are for short prompts.
    pub fn contains(&self, position: f64) -> bool {
        (position >= self.short_fraction) == self.is_long
    }
}

impl PromptLengths {
    /// Returns the partition for calls of this route, or `None` if the route is unknown or the workers are not
    /// partitioned.
    pub fn class_of(&self, route: u64) -> Option<LengthClass> {
        let short_fraction = self.short_fraction?;
        let is_long = self.routes.get(&route)?.is_long;
        Some(LengthClass { is_long, short_fraction })
    }

    /// Records a call of this route with `tokens` tokens, of which `uncached_tokens` must be prefilled.
    pub fn record(&mut self, route: u64, tokens: f64, uncached_tokens: f64, now: Micros) {
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(&route) {
            self.evict_oldest();
        }
        self.calls += 1;
        // An average of the first calls, then an exponential moving average.
        let rate = |calls: u64| LEARNING_RATE.max(1.0 / calls as f64);
        self.tokens += rate(self.calls) * (tokens - self.tokens);
        let lengths = self.routes.entry(route).or_default();
        lengths.calls += 1;
        lengths.tokens += rate(lengths.calls) * (tokens - lengths.tokens);
        lengths.work = lengths.decayed_work(now) + uncached_tokens;
        lengths.updated_at = now;
        lengths.is_long =
            lengths.tokens > self.tokens * if lengths.is_long { SHORT_BELOW_RATIO } else { LONG_ABOVE_RATIO };
        self.repartition(now);
    }

    fn evict_oldest(&mut self) {
        if let Some(oldest) = self.routes.iter().min_by_key(|(_, lengths)| lengths.updated_at).map(|(route, _)| *route)
        {
            self.routes.remove(&oldest);
        }
    }

    /// Starts, changes or ends the partitions by the work of long and short prompts.
    fn repartition(&mut self, now: Micros) {
        let (long, short) = (self.class_work(true, now), self.class_work(false, now));
        let length_ratio = if short.work > 0.0 {
            (long.weighted_tokens / long.work.max(1.0)) / (short.weighted_tokens / short.work)
        } else {
            0.0
        };
        let Some(current) = self.short_fraction else {
            let is_beginning = self.calls >= MIN_CALLS_TO_PARTITION && length_ratio > PARTITION_RATIO;
            self.short_fraction = is_beginning.then_some(INITIAL_SHORT_FRACTION);
            self.changed_at_call = self.calls;
            return;
        };
        if self.calls < self.changed_at_call + MIN_CALLS_BETWEEN_CHANGES {
            return;
        }
        let target = short.work / (short.work + long.work).max(1.0);
        if length_ratio < MERGE_RATIO {
            self.short_fraction = None;
        } else if (target - current).abs() > 1.0 / FRACTION_STEPS {
            self.short_fraction =
                Some((target * FRACTION_STEPS).round().clamp(1.0, FRACTION_STEPS - 1.0) / FRACTION_STEPS);
        } else {
            return;
        }
        self.changed_at_call = self.calls;
    }

    /// Returns the work of all long or all short routes.
    fn class_work(&self, is_long: bool, now: Micros) -> ClassWork {
        let of_class = self.routes.values().filter(|route| route.is_long == is_long);
        of_class.fold(ClassWork::default(), |sum, route| {
            let work = route.decayed_work(now);
            ClassWork { work: sum.work + work, weighted_tokens: sum.weighted_tokens + work * route.tokens }
        })
    }
}
