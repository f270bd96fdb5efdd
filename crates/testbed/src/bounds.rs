//! What ways to bound a quota admit and refuse, given the same calls.
//!
//! Each bound meets the same drawn arrivals for ten minutes of virtual time. What is
//! measured is the share of refusals and the most calls that ran in any interval of a
//! window's length: a bound that admits more than the quota there lets a client exceed
//! it around the border of two windows.

use std::collections::VecDeque;
use sumacvale_core::base::{Micros, Rng, SEC};

/// Calls that a window admits.
const QUOTA: usize = 60;
/// The length of a window, in microseconds.
const WINDOW: Micros = SEC;
/// How long calls arrive, in microseconds.
const DURATION: Micros = 600 * SEC;

/// How a quota may be bounded.
#[derive(Clone, Copy, Debug)]
pub enum QuotaBound {
    /// Windows follow one another, each with the quota.
    Fixed,
    /// Every interval of a window's length: the window is divided into so many parts, any
    /// `n + 1` of which have the quota together, so that lease holders need not know the
    /// exact time when a unit was used.
    Parts(u64),
    /// Every interval, by the exact time of each call: what one machine alone could do.
    Exact,
}

impl QuotaBound {
    /// The resolution of the recorded times, in microseconds.
    fn resolution(self) -> Micros {
        match self {
            QuotaBound::Fixed => WINDOW,
            QuotaBound::Parts(parts) => WINDOW / parts,
            QuotaBound::Exact => 1,
        }
    }

    /// The length of the interval which has the quota, in microseconds.
    fn interval(self) -> Micros {
        match self {
            QuotaBound::Fixed | QuotaBound::Exact => WINDOW,
            QuotaBound::Parts(parts) => WINDOW + WINDOW / parts,
        }
    }

    /// The earliest time whose calls still count at `now`.
    fn interval_start(self, now: Micros) -> Micros {
        let resolution = self.resolution();
        (now / resolution * resolution + resolution).saturating_sub(self.interval())
    }
}

/// How calls arrive.
#[derive(Clone, Copy, Debug)]
pub struct Arrivals {
    /// The mean rate, in percent of the quota.
    pub quota_percent: u64,
    /// All calls of a window arrive at once; else each at a random time.
    pub bursts: bool,
}

impl Arrivals {
    /// Calls that arrive at the same time.
    fn burst_size(self) -> u64 {
        if self.bursts { QUOTA as u64 * self.quota_percent / 100 } else { 1 }
    }

    /// The time until the next arrival, in microseconds.
    fn next_gap(self, rng: &mut Rng) -> Micros {
        if self.bursts {
            // A burst comes a little off each window.
            return WINDOW * 9 / 10 + rng.below(WINDOW / 5);
        }
        let mean = WINDOW * 100 / (QUOTA as u64 * self.quota_percent);
        rng.below(2 * mean + 1)
    }
}

/// What a bound admitted and refused.
#[derive(Clone, Copy, Debug, Default)]
pub struct Admissions {
    /// Calls that arrived.
    pub calls: u64,
    /// Calls that were refused.
    pub refused: u64,
    /// The most calls admitted in any interval of a window's length.
    pub most_per_window: usize,
}

/// Times of admitted calls, oldest first.
#[derive(Default)]
struct History {
    /// Calls that count against the bound.
    counted: VecDeque<Micros>,
    /// Calls of the last window by exact time, for the measurement.
    last_window: VecDeque<Micros>,
}

impl History {
    /// Whether the bound admits a call now; an admitted call is recorded.
    fn admit(&mut self, bound: QuotaBound, now: Micros) -> bool {
        let start = bound.interval_start(now);
        while self.counted.front().is_some_and(|time| *time < start) {
            self.counted.pop_front();
        }
        if self.counted.len() >= QUOTA {
            return false;
        }
        self.counted.push_back(now);
        self.last_window.push_back(now);
        while self.last_window.front().is_some_and(|time| now - time >= WINDOW) {
            self.last_window.pop_front();
        }
        true
    }
}

/// Measures a bound with calls drawn from the seed.
#[must_use]
pub fn measure(bound: QuotaBound, arrivals: Arrivals, seed: u64) -> Admissions {
    let mut rng = Rng::new(seed);
    let mut history = History::default();
    let mut admissions = Admissions::default();
    let mut now = 0;
    while now < DURATION {
        now += arrivals.next_gap(&mut rng);
        for _ in 0..arrivals.burst_size() {
            admissions.calls += 1;
            if history.admit(bound, now) {
                admissions.most_per_window = admissions.most_per_window.max(history.last_window.len());
            } else {
                admissions.refused += 1;
            }
        }
    }
    admissions
}
