//! A simulated machine: its address, clock and disk, and the node process on it.

use crate::sim::calls::call_registry::CallRegistry;
use crate::sim::event::SimEvent;
use crate::sim::machines::disk::Disk;
use sumacvale_core::base::{Micros, Version};
use sumacvale_core::call::SharedCallState;
use sumacvale_core::node::Node;

/// A slow machine runs in the first of so many equal parts of each period.
const SLOW_PART: Micros = 5;

/// A machine that runs several times slower: only in the beginning of each period.
#[derive(Clone, Copy, Debug)]
/// A machine that runs several times slower: only in the first part of each period.
pub struct SlowMode {
    /// When it ends, in microseconds of true time.
    pub until: Micros,
    /// The length of a period in microseconds.
    pub period: Micros,
}

impl SlowMode {
    /// When the machine handles an event that comes at `now`.
    fn next(&self, now: Micros) -> Micros {
        let begun = now - now % self.period;
        if now - begun < self.period / SLOW_PART { now } else { begun + self.period }
    }
}

/// One machine and the node process on it.
pub struct Machine {
    /// The address of its node.
    pub addr: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a core: its disk lasts, and its node may be a voter.
    pub is_core: bool,
    /// Whether it was removed for good.
    pub is_removed: bool,
    /// The node process, if it runs.
    pub node: Option<Node>,
    /// Its disk; used by cores only.
    pub disk: Disk,
    /// When the disk was empty last, in microseconds of true time.
    pub disk_since: Micros,
    /// The incarnation of the process, counted up by each start.
    pub incarnation: u64,
    /// How far its clock is ahead of true time at moment 0, in microseconds.
    pub clock_offset: Micros,
    /// By how many millionths its clock runs fast.
    pub clock_drift_ppm: Micros,
    /// Until when all its processes stand still, in microseconds of true time.
    pub frozen_until: Micros,
    /// How it runs slowly, if it does.
    pub slow_mode: Option<SlowMode>,
    /// Events that came while it was frozen or between the running parts of slow periods, in order.
    pub(in crate::sim) deferred_events: Vec<SimEvent>,
    /// The version of its node that was reported to the safety checker last.
    pub last_version: Option<Version>,
    /// The data plane of its process.
    pub calls: CallRegistry,
    /// The result of the platform's last readiness check.
    pub is_ready: bool,
}

impl Machine {
    /// What this machine's clock shows at a moment of true time.
    pub fn clock(&self, now: Micros) -> Micros {
        now + self.clock_offset + now * self.clock_drift_ppm / 1_000_000
    }

    /// The moment of true time at which this machine's clock will show `clock`.
    pub fn true_time(&self, clock: Micros) -> Micros {
        clock.saturating_sub(self.clock_offset) * 1_000_000 / (1_000_000 + self.clock_drift_ppm) + 1
    }

    /// When this machine handles an event that comes at `now`.
    pub fn next_run_time(&self, now: Micros) -> Micros {
        self.slow_mode.filter(|s| s.until > now).map_or(now, |s| s.next(now))
    }

    /// The data plane of a machine whose process has not started yet.
    pub(in crate::sim) fn empty_registry(zone: &str) -> CallRegistry {
        CallRegistry::new(SharedCallState::new(zone, 256, 64 << 20, std::sync::Arc::default()))
    }
}
