//! Long and short prompts apart.
//!
//! A short prompt that comes to a worker which reads a long one waits for it, and no node knows
//! where all others have just sent a long one. So the workers of a pool are parted by the work
//! that long and short prompts make: all nodes part them alike without asking each other, and a
//! prompt goes to the other part only where its own one is worse by more than [`PENALTY`].

use crate::base::Micros;
use std::collections::BTreeMap;

/// What a worker of the other part costs, in parts of a call's worth.
pub const PENALTY: f64 = 0.1;
/// A route is long from so much above the pool's usual prompt on, and short from so much below.
const LONG: f64 = 1.25;
const SHORT: f64 = 0.8;
/// So many calls must have been seen, and the prompts of the two kinds of routes must differ so much.
const ENOUGH: u64 = 2;
const APART: f64 = 2.0;
/// Workers that are parted stay so until the prompts differ by less than this.
const ALIKE: f64 = 1.3;
/// Nothing is changed until so many more calls were seen.
const SETTLE: u64 = 200;
/// How much a new prompt counts for the usual length.
const FOLLOW: f64 = 0.02;
/// Half of the work that was seen counts no more after so many microseconds.
const HALF: f64 = 20_000_000.0;
/// The part of the workers for short prompts is one of so many steps, and a third to begin with. It moves
/// only once the work is more than a step away: nodes that each see a little of the traffic must agree
/// on it, or the same prompt has another home at each of them.
const STEPS: f64 = 6.0;
const FIRST: f64 = 2.0 / STEPS;
/// Routes that are known at most.
const MOST: usize = 64;

/// What one route's prompts are like.
#[derive(Clone, Copy, Debug, Default)]
struct Route {
    tokens: f64,
    work: f64,
    at: Micros,
    calls: u64,
    long: bool,
}

impl Route {
    fn work(&self, now: Micros) -> f64 {
        self.work * (-(now.saturating_sub(self.at) as f64) / HALF).exp2()
    }
}

/// The lengths of a pool's prompts, by route.
#[derive(Clone, Debug, Default)]
pub struct PromptLengths {
    routes: BTreeMap<u64, Route>,
    tokens: f64,
    calls: u64,
    /// The part of the workers that short prompts go to; none where they are not parted.
    short: Option<f64>,
    /// How many calls had been seen when that changed last.
    settled: u64,
}

/// Which part of the workers a call should go to: those below this place are for short prompts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LengthClass {
    pub is_long: bool,
    pub short_fraction: f64,
}

impl LengthClass {
    /// Whether the worker at this place, from 0 to 1, is on this side.
    pub fn contains(&self, place: f64) -> bool {
        (place >= self.short_fraction) == self.is_long
    }
}

impl PromptLengths {
    /// Where a call of this route should go.
    pub fn class_of(&self, route: u64) -> Option<LengthClass> {
        let short_part = self.short?;
        let long = self.routes.get(&route)?.long;
        Some(LengthClass { is_long: long, short_fraction: short_part })
    }

    /// A call of this route has so many tokens, of which these are to be read.
    pub fn record(&mut self, route: u64, tokens: f64, unread: f64, now: Micros) {
        if self.routes.len() >= MOST && !self.routes.contains_key(&route) {
            self.forget_oldest();
        }
        self.calls += 1;
        let follow = |n: u64| FOLLOW.max(1.0 / n as f64);
        self.tokens += follow(self.calls) * (tokens - self.tokens);
        let r = self.routes.entry(route).or_default();
        r.calls += 1;
        r.tokens += follow(r.calls) * (tokens - r.tokens);
        r.work = r.work(now) + unread;
        r.at = now;
        r.long = r.tokens > self.tokens * if r.long { SHORT } else { LONG };
        self.repartition(now);
    }

    fn forget_oldest(&mut self) {
        if let Some(oldest) = self.routes.iter().min_by_key(|r| r.1.at).map(|r| *r.0) {
            self.routes.remove(&oldest);
        }
    }

    /// Parts the workers by the work of both.
    fn repartition(&mut self, now: Micros) {
        let sum = |long: bool| {
            let of = self.routes.values().filter(|r| r.long == long);
            of.fold((0.0, 0.0), |(work, weighed), r| {
                let w = r.work(now);
                (work + w, weighed + w * r.tokens)
            })
        };
        let ((long, long_tokens), (short, short_tokens)) = (sum(true), sum(false));
        let times = if short > 0.0 { (long_tokens / long.max(1.0)) / (short_tokens / short) } else { 0.0 };
        let Some(part) = self.short else {
            let begin = self.calls >= ENOUGH && times > APART;
            self.short = begin.then_some(FIRST);
            self.settled = self.calls;
            return;
        };
        if self.calls < self.settled + SETTLE {
            return;
        }
        let wanted = short / (short + long).max(1.0);
        let moved = (wanted * STEPS).round().clamp(1.0, STEPS - 1.0) / STEPS;
        if times < ALIKE {
            self.short = None;
        } else if (wanted - part).abs() > 1.0 / STEPS {
            self.short = Some(moved);
        } else {
            return;
        }
        self.settled = self.calls;
    }
}
