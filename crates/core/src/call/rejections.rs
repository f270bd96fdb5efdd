//! Why calls end with an answer of this node's own: a typed reason, a counter for each, and a
//! line for the log while calls are refused.

use super::counters::Counter;
use crate::base::{Micros, SEC};
use std::fmt::Write;

/// How often a node that refuses calls says so in its log.
const REPORT_EVERY: Micros = SEC;

macro_rules! reasons {
    ($($(#[doc = $doc:literal])* $reason:ident = $name:literal, $status:literal, $code:literal;)*) => {
        /// Why a call got an answer of this node's own in place of a worker's.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum RejectionReason { $($(#[doc = $doc])* $reason,)* }

        impl RejectionReason {
            /// All reasons, in the order in which they are counted.
            pub const ALL: &'static [RejectionReason] = &[$(RejectionReason::$reason,)*];

            /// Its name among the counters and in the log.
            pub fn name(self) -> &'static str {
                match self { $(RejectionReason::$reason => $name,)* }
            }

            /// The status of the answer.
            pub fn status(self) -> u16 {
                match self { $(RejectionReason::$reason => $status,)* }
            }

            /// The code that callers read in the answer.
            pub fn code(self) -> &'static str {
                match self { $(RejectionReason::$reason => $code,)* }
            }
        }
    };
}

reasons! {
    /// No configuration is known here: the cores have not been reached since the start.
    NoConfiguration = "no_configuration", 503, "stale";
    /// Nobody confirmed lately that the configuration is the newest.
    OldStamp = "old_stamp", 503, "stale";
    /// No key that is in force.
    Key = "key", 401, "key";
    /// No match of the tenant has this method and path.
    NoMatch = "no_match", 404, "no_match";
    /// A configuration that came meanwhile moved the route.
    Moved = "moved", 503, "moved";
    /// A lookup in the caches failed.
    Lookup = "lookup", 503, "lookup";
    /// The body came too slowly.
    SlowBody = "slow_body", 408, "slow_body";
    /// The body can't be used.
    Body = "body", 400, "body";
    /// The body is larger than the match allows.
    TooLarge = "too_large", 413, "too_large";
    /// The bodies held at once leave no room.
    Crowded = "crowded", 503, "crowded";
    /// The tenant's quota is spent.
    Quota = "quota", 429, "quota";
    /// No holder of the quota answered in time.
    QuotaUnsettled = "quota_unsettled", 503, "quota_unsettled";
    /// All workers are full for longer than the call may wait.
    Full = "full", 503, "full";
    /// No worker of the pool is known here.
    NoWorker = "no_worker", 503, "no_worker";
    /// All workers that were asked turned the call away.
    WorkerFull = "worker_full", 503, "worker_full";
    /// The worker could not be reached.
    WorkerGone = "worker_gone", 503, "worker_gone";
    /// The worker broke off.
    WorkerTrouble = "worker_trouble", 502, "worker_trouble";
    /// The worker did not answer in time.
    WorkerSlow = "worker_slow", 504, "worker_slow";
    /// The call was not sent by HTTP/1.1.
    HttpVersion = "http_version", 505, "http_version";
}

/// How many calls were refused, by reason.
#[derive(Debug)]
pub struct RejectionCounters(Vec<Counter>);

impl Default for RejectionCounters {
    fn default() -> Self {
        RejectionCounters(RejectionReason::ALL.iter().map(|_| Counter::default()).collect())
    }
}

impl RejectionCounters {
    /// Counts one call.
    pub fn add(&self, reason: RejectionReason) {
        self.0[reason as usize].increment();
    }

    /// How many calls were refused for this reason.
    pub fn get(&self, reason: RejectionReason) -> u64 {
        self.0[reason as usize].get()
    }
}

/// Says once a second what was refused in that second, as long as something was.
#[derive(Debug, Default)]
pub struct RejectionLog {
    due: Micros,
    told: Vec<u64>,
}

impl RejectionLog {
    /// The counts by reason since the last line, such as `full=3 quota=12`; none between lines,
    /// and none where nothing was refused.
    pub fn line(&mut self, refusals: &RejectionCounters, now: Micros) -> Option<String> {
        if now < self.due {
            return None;
        }
        self.due = now + REPORT_EVERY;
        self.told.resize(RejectionReason::ALL.len(), 0);
        let mut line = String::new();
        for (reason, told) in RejectionReason::ALL.iter().zip(&mut self.told) {
            let count = refusals.get(*reason);
            let new = count - std::mem::replace(told, count);
            if new > 0 {
                let space = if line.is_empty() { "" } else { " " };
                let _ = write!(line, "{space}{}={new}", reason.name());
            }
        }
        (!line.is_empty()).then_some(line)
    }
}
