//! Compares quota bounds: the calls that each one admits and rejects, given the same arrivals.
//!
//! Each bound gets the same drawn arrivals for ten minutes of virtual time. Measured are the
//! share of rejections and the most calls admitted in any interval of a window's length: where
//! these exceed the quota, a client can exceed its quota around the border of two windows.

use std::collections::VecDeque;
use sumacvale_core::base::{Micros, Rng, SEC};

/// The number of calls that a window admits.
const QUOTA: usize = 60;
/// The length of a window, in microseconds.
const WINDOW: Micros = SEC;
/// The virtual time during which calls arrive, in microseconds.
const DURATION: Micros = 600 * SEC;

/// A rule that bounds admitted calls to the quota.
#[derive(Clone, Copy, Debug)]
pub enum QuotaBound {
    /// Consecutive fixed windows, each with the whole quota.
    Fixed,
    /// A sliding window in steps: the window is divided into `n` parts, and any `n + 1` consecutive
    /// parts share the quota, so that lease holders need not know the exact time when a unit was used.
    Parts(u64),
    /// A sliding window by the exact time of each call, as only a single machine can keep it.
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

    /// The length of the interval that shares one quota, in microseconds.
    fn interval(self) -> Micros {
        match self {
            QuotaBound::Fixed | QuotaBound::Exact => WINDOW,
            QuotaBound::Parts(parts) => WINDOW + WINDOW / parts,
        }
    }

    /// The earliest time at which an admitted call still counts at `now`.
    fn interval_start(self, now: Micros) -> Micros {
        let resolution = self.resolution();
        (now / resolution * resolution + resolution).saturating_sub(self.interval())
    }
}

/// The arrival pattern of calls.
#[derive(Clone, Copy, Debug)]
pub struct Arrivals {
    /// The mean rate, in percent of the quota.
    pub quota_percent: u64,
    /// Whether all calls of a window arrive at once; else each arrives at a random time.
    pub bursts: bool,
}

impl Arrivals {
    /// The number of calls that arrive at the same time.
    fn burst_size(self) -> u64 {
        if self.bursts { QUOTA as u64 * self.quota_percent / 100 } else { 1 }
    }

    /// Draws the time until the next arrival, in microseconds.
    fn next_gap(self, rng: &mut Rng) -> Micros {
        if self.bursts {
            // The gap between two bursts is 90 to 110 % of a window.
            return WINDOW * 9 / 10 + rng.next_below(WINDOW / 5);
        }
        let mean = WINDOW * 100 / (QUOTA as u64 * self.quota_percent);
        rng.next_below(2 * mean + 1)
    }
}

/// The calls that a bound admitted and rejected.
#[derive(Clone, Copy, Debug, Default)]
pub struct Admissions {
    /// Calls that arrived.
    pub calls: u64,
    /// Calls that were rejected.
    pub rejected: u64,
    /// The most calls admitted in any interval of a window's length.
    pub most_per_window: usize,
}

/// The times of admitted calls, oldest first.
#[derive(Default)]
struct History {
    /// Calls that count against the bound now; never more than `QUOTA`.
    counted: VecDeque<Micros>,
    /// Calls of the last window by exact time, for the measurement.
    last_window: VecDeque<Micros>,
}

impl History {
    /// Returns whether the bound admits a call now, and records an admitted call.
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

/// Measures a bound with arrivals drawn from the seed.
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
                admissions.rejected += 1;
            }
        }
    }
    admissions
}
