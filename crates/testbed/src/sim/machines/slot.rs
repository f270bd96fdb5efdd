//! A simulated machine: its address, clock and disk, and the node process on it.

use crate::sim::calls::call_registry::CallRegistry;
use crate::sim::event::SimEvent;
use crate::sim::machines::disk::Disk;
use sumacvale_core::base::{Micros, Version};
use sumacvale_core::call::SharedCallState;
use sumacvale_core::node::Node;

/// A slow machine runs in the first of this many equal parts of each period.
const SLOW_PERIOD_PARTS: Micros = 5;

#[derive(Clone, Copy, Debug)]
/// The slow mode of a machine, which runs only in the first part of each period.
pub struct SlowMode {
    /// When the slow mode ends, in microseconds of true time.
    pub until: Micros,
    /// The length of a period in microseconds.
    pub period: Micros,
}

impl SlowMode {
    /// Returns the moment at which the machine handles an event that arrives at `now`.
    fn next_run_time(&self, now: Micros) -> Micros {
        let period_start = now - now % self.period;
        if now - period_start < self.period / SLOW_PERIOD_PARTS { now } else { period_start + self.period }
    }
}

/// One machine and the node process on it.
pub struct Machine {
    /// The address of its node.
    pub addr: String,
    /// The zone of the machine.
    pub zone: String,
    /// Whether the machine is a core, whose disk is durable and whose node may be a voter.
    pub is_core: bool,
    /// Whether the machine was removed for good.
    pub is_removed: bool,
    /// The node process, while it runs.
    pub node: Option<Node>,
    /// The disk; used by cores only.
    pub disk: Disk,
    /// When the disk was installed, empty, in microseconds of true time.
    pub disk_installed_at: Micros,
    /// The incarnation of the process, incremented by each start.
    pub incarnation: u64,
    /// How far the clock is ahead of true time at moment 0, in microseconds.
    pub clock_offset: Micros,
    /// How fast the clock runs, in millionths above true time.
    pub clock_drift_ppm: Micros,
    /// Until when all processes of the machine are frozen, in microseconds of true time.
    pub frozen_until: Micros,
    /// The slow mode, while the machine is in one.
    pub slow_mode: Option<SlowMode>,
    /// Events that arrived while the machine was frozen or between the running parts of slow periods, in order, each
    /// with its number.
    pub(in crate::sim) deferred_events: Vec<(u64, SimEvent)>,
    /// The version of the node that was reported to the safety checker last.
    pub last_version: Option<Version>,
    /// The data plane of the node process.
    pub calls: CallRegistry,
    /// The result of the platform's last readiness check.
    pub is_ready: bool,
}

impl Machine {
    /// Returns the reading of this machine's clock at a moment of true time.
    pub fn clock(&self, now: Micros) -> Micros {
        now + self.clock_offset + now * self.clock_drift_ppm / 1_000_000
    }

    /// Returns the moment of true time at which this machine's clock will show `clock`.
    pub fn true_time(&self, clock: Micros) -> Micros {
        clock.saturating_sub(self.clock_offset) * 1_000_000 / (1_000_000 + self.clock_drift_ppm) + 1
    }

    /// Returns the moment at which this machine handles an event that arrives at `now`.
    pub fn next_run_time(&self, now: Micros) -> Micros {
        self.slow_mode.filter(|mode| mode.until > now).map_or(now, |mode| mode.next_run_time(now))
    }

    /// Returns the data plane of a machine whose process has not started yet.
    pub(in crate::sim) fn empty_registry(zone: &str) -> CallRegistry {
        CallRegistry::new(SharedCallState::new(zone, 256, 64 << 20, std::sync::Arc::default()))
    }
}
