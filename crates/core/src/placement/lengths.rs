//! Long and short prompts on workers of their own.
//!
//! A short prompt that comes to a worker in the middle of a long prefill waits for it, and no node
//! knows where all others have just sent a long one. So the workers of a pool are partitioned in
//! proportion to the work that long and short prompts make. All nodes find the same partition without
//! asking each other, and a prompt goes to the other partition only where its own one is worse by
//! more than [`OTHER_PARTITION_PENALTY`].

use crate::base::Micros;
use std::collections::BTreeMap;

/// What a worker of the other partition costs, as a fraction of a call's value.
pub const OTHER_PARTITION_PENALTY: f64 = 0.1;
/// A route becomes long above this multiple of the pool's usual prompt ...
const LONG_ABOVE: f64 = 1.25;
/// ... and short again below this one.
const SHORT_BELOW: f64 = 0.8;
/// Workers are not partitioned before this many calls ...
const MIN_CALLS: u64 = 2;
/// ... and not before long prompts are this many times as long as short ones.
const PARTITION_RATIO: f64 = 2.0;
/// The partition ends once they are less than this many times as long.
const MERGE_RATIO: f64 = 1.3;
/// The partition is not changed again within this many calls.
const SETTLING_CALLS: u64 = 200;
/// How much a new prompt counts for the usual length.
const LEARNING_RATE: f64 = 0.02;
/// After this time work counts half, in microseconds.
const WORK_HALF_LIFE: f64 = 20_000_000.0;
/// The fraction of the workers for short prompts is a multiple of one step. It moves only once the
/// work is more than a step away: nodes that each see a little of the traffic must agree on it, or
/// the same prompt is placed differently by each of them.
const STEPS: f64 = 6.0;
/// The first fraction for short prompts.
const INITIAL_SHORT_FRACTION: f64 = 2.0 / STEPS;
/// How many routes are remembered at most; the one seen longest ago is forgotten first.
const MAX_ROUTES: usize = 64;

/// What the prompts of one route are like.
#[derive(Clone, Copy, Debug, Default)]
struct RouteLengths {
    /// The usual length, in tokens.
    tokens: f64,
    /// Tokens prefilled, decayed as of `updated_at`.
    work: f64,
    updated_at: Micros,
    calls: u64,
    is_long: bool,
}

impl RouteLengths {
    fn decayed_work(&self, now: Micros) -> f64 {
        self.work * (-(now.saturating_sub(self.updated_at) as f64) / WORK_HALF_LIFE).exp2()
    }
}

/// The work of all long or of all short routes.
#[derive(Clone, Copy, Debug, Default)]
struct ClassWork {
    /// Tokens prefilled, decayed.
    work: f64,
    /// The sum of the routes' usual lengths, each weighted by its work.
    weighted_tokens: f64,
}

/// The lengths of a pool's prompts, by route.
#[derive(Clone, Debug, Default)]
pub struct PromptLengths {
    routes: BTreeMap<u64, RouteLengths>,
    /// The usual length of all prompts, in tokens.
    tokens: f64,
    calls: u64,
    /// The fraction of the workers for short prompts; none while workers are not partitioned.
    short_fraction: Option<f64>,
    /// The number of calls when `short_fraction` changed last.
    changed_at_call: u64,
}

/// Which partition of the workers a call should go to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LengthClass {
    /// Whether the call belongs to the partition of long prompts.
    pub is_long: bool,
    /// The fraction of the workers for short prompts, from 0 to 1.
    pub short_fraction: f64,
}

impl LengthClass {
    /// Whether the worker at this position, from 0 to 1, is in this partition: those below
    /// `short_fraction` are for short prompts.
    pub fn contains(&self, position: f64) -> bool {
        (position >= self.short_fraction) == self.is_long
    }
}

impl PromptLengths {
    /// The partition for calls of this route; none for an unknown route or while workers are not
    /// partitioned.
    pub fn class_of(&self, route: u64) -> Option<LengthClass> {
        let short_fraction = self.short_fraction?;
        let is_long = self.routes.get(&route)?.is_long;
        Some(LengthClass { is_long, short_fraction })
    }

    /// Records a call of this route with `tokens` tokens, of which `unread` are to be prefilled.
    pub fn record(&mut self, route: u64, tokens: f64, unread: f64, now: Micros) {
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(&route) {
            self.forget_oldest();
        }
        self.calls += 1;
        // The first calls are averaged, later ones followed.
        let rate = |calls: u64| LEARNING_RATE.max(1.0 / calls as f64);
        self.tokens += rate(self.calls) * (tokens - self.tokens);
        let lengths = self.routes.entry(route).or_default();
        lengths.calls += 1;
        lengths.tokens += rate(lengths.calls) * (tokens - lengths.tokens);
        lengths.work = lengths.decayed_work(now) + unread;
        lengths.updated_at = now;
        lengths.is_long = lengths.tokens > self.tokens * if lengths.is_long { SHORT_BELOW } else { LONG_ABOVE };
        self.repartition(now);
    }

    fn forget_oldest(&mut self) {
        if let Some(oldest) = self.routes.iter().min_by_key(|(_, lengths)| lengths.updated_at).map(|(route, _)| *route)
        {
            self.routes.remove(&oldest);
        }
    }

    /// Partitions the workers by the work of long and short prompts.
    fn repartition(&mut self, now: Micros) {
        let (long, short) = (self.class_work(true, now), self.class_work(false, now));
        let length_ratio = if short.work > 0.0 {
            (long.weighted_tokens / long.work.max(1.0)) / (short.weighted_tokens / short.work)
        } else {
            0.0
        };
        let Some(current) = self.short_fraction else {
            let begins = self.calls >= MIN_CALLS && length_ratio > PARTITION_RATIO;
            self.short_fraction = begins.then_some(INITIAL_SHORT_FRACTION);
            self.changed_at_call = self.calls;
            return;
        };
        if self.calls < self.changed_at_call + SETTLING_CALLS {
            return;
        }
        let wanted = short.work / (short.work + long.work).max(1.0);
        if length_ratio < MERGE_RATIO {
            self.short_fraction = None;
        } else if (wanted - current).abs() > 1.0 / STEPS {
            self.short_fraction = Some((wanted * STEPS).round().clamp(1.0, STEPS - 1.0) / STEPS);
        } else {
            return;
        }
        self.changed_at_call = self.calls;
    }

    fn class_work(&self, is_long: bool, now: Micros) -> ClassWork {
        let of_class = self.routes.values().filter(|route| route.is_long == is_long);
        of_class.fold(ClassWork::default(), |sum, route| {
            let work = route.decayed_work(now);
            ClassWork { work: sum.work + work, weighted_tokens: sum.weighted_tokens + work * route.tokens }
        })
    }
}
