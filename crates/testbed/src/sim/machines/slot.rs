//! A simulated machine: its address, clock and disk, and the process on it.

use crate::sim::calls::call_registry::CallRegistry;
use crate::sim::event::SimEvent;
use crate::sim::machines::disk::Disk;
use sumacvale_core::base::{Micros, Version};
use sumacvale_core::call::SharedCallState;
use sumacvale_core::node::Node;

/// A machine gets so small a part of each period.
const SLOW_PART: Micros = 5;

/// A machine that runs several times slower: only in the beginning of each period.
#[derive(Clone, Copy, Debug)]
pub struct SlowMode {
    pub until: Micros,
    pub period: Micros,
}

impl SlowMode {
    /// When the machine does what comes now.
    fn next(&self, now: Micros) -> Micros {
        let begun = now - now % self.period;
        if now - begun < self.period / SLOW_PART { now } else { begun + self.period }
    }
}

/// One machine and the process on it.
pub struct Machine {
    pub addr: String,
    pub zone: String,
    pub core: bool,
    /// Gone for good.
    pub gone: bool,
    pub node: Option<Node>,
    pub disk: Disk,
    /// When the disk was last empty.
    pub disk_since: Micros,
    pub life: u64,
    /// This machine's clock against true time.
    pub off: Micros,
    /// By how many millionths it runs fast.
    pub fast: Micros,
    pub frozen: Micros,
    /// How it runs slowly.
    pub slow: Option<SlowMode>,
    /// What came while it stood still.
    pub(in crate::sim) pend: Vec<SimEvent>,
    pub shown: Option<Version>,
    pub hall: CallRegistry,
    /// What the platform last heard.
    pub ready: bool,
}

impl Machine {
    /// What this machine's clock shows.
    pub fn clock(&self, now: Micros) -> Micros {
        now + self.off + now * self.fast / 1_000_000
    }

    /// When this machine's clock will show that.
    pub fn when(&self, at: Micros) -> Micros {
        at.saturating_sub(self.off) * 1_000_000 / (1_000_000 + self.fast) + 1
    }

    /// When this machine does what comes now.
    pub fn runs_at(&self, now: Micros) -> Micros {
        self.slow.filter(|s| s.until > now).map_or(now, |s| s.next(now))
    }

    pub(in crate::sim) fn empty(zone: &str) -> CallRegistry {
        CallRegistry::new(SharedCallState::new(zone, 256, 64 << 20, std::sync::Arc::default()))
    }
}
