//! Why calls end with a local response: a typed reason, a counter for each, and a log line while
//! calls are rejected.

use super::counters::Counter;
use crate::base::{Micros, SEC};
use std::fmt::Write;

/// The interval of log lines while calls are rejected, in microseconds.
const REPORT_INTERVAL: Micros = SEC;

macro_rules! reasons {
    ($($(#[doc = $doc:literal])* $reason:ident = $name:literal, $status:literal, $code:literal;)*) => {
        /// Why a call got a local response in place of a worker's.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum RejectionReason { $($(#[doc = $doc])* $reason,)* }

        impl RejectionReason {
            /// All reasons, in the order of their metrics.
            pub const ALL: &'static [RejectionReason] = &[$(RejectionReason::$reason,)*];

            /// The name in metrics and in the log.
            #[must_use]
            pub fn name(self) -> &'static str {
                match self { $(RejectionReason::$reason => $name,)* }
            }

            /// The HTTP status of the response.
            #[must_use]
            pub fn status(self) -> u16 {
                match self { $(RejectionReason::$reason => $status,)* }
            }

            /// The code that clients read in the response.
            #[must_use]
            pub fn code(self) -> &'static str {
                match self { $(RejectionReason::$reason => $code,)* }
            }
        }
    };
}

reasons! {
    /// This node has no configuration: no voter was reached since its start.
    NoConfiguration = "no_configuration", 503, "stale";
    /// The configuration was not confirmed to be the newest recently enough.
    OldStamp = "old_stamp", 503, "stale";
    /// The call has no valid key.
    Key = "key", 401, "key";
    /// No match of the tenant has this method and path.
    NoMatch = "no_match", 404, "no_match";
    /// A newer configuration moved the route while the call was in progress.
    Moved = "moved", 503, "moved";
    /// A cache lookup failed.
    Lookup = "lookup", 503, "lookup";
    /// The body came too slowly.
    SlowBody = "slow_body", 408, "slow_body";
    /// The body is not usable.
    Body = "body", 400, "body";
    /// The body is larger than the match allows.
    TooLarge = "too_large", 413, "too_large";
    /// The body budget of this process is used up.
    Crowded = "crowded", 503, "crowded";
    /// The tenant's quota is exhausted.
    Quota = "quota", 429, "quota";
    /// No lease holder of the quota answered in time.
    QuotaUnsettled = "quota_unsettled", 503, "quota_unsettled";
    /// All workers are busy for longer than the call may wait.
    Full = "full", 503, "full";
    /// No worker of the pool is known here.
    NoWorker = "no_worker", 503, "no_worker";
    /// All workers that were tried declined the call.
    WorkerFull = "worker_full", 503, "worker_full";
    /// The worker could not be reached.
    WorkerGone = "worker_gone", 503, "worker_gone";
    /// The worker's response broke off.
    WorkerTrouble = "worker_trouble", 502, "worker_trouble";
    /// The worker did not answer in time.
    WorkerSlow = "worker_slow", 504, "worker_slow";
    /// The call was not sent by HTTP/1.1.
    HttpVersion = "http_version", 505, "http_version";
}

/// How many calls were rejected, by reason.
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

    /// How many calls were rejected for this reason.
    #[must_use]
    pub fn get(&self, reason: RejectionReason) -> u64 {
        self.0[reason as usize].get()
    }
}

/// Makes one log line a second while calls are rejected.
#[derive(Debug, Default)]
pub struct RejectionLog {
    next_line_at: Micros,
    /// The counts that earlier lines reported, by reason.
    reported: Vec<u64>,
}

impl RejectionLog {
    /// The counts by reason since the last line, such as `full=3 quota=12`; `None` if the next line
    /// is not due or nothing was rejected.
    #[must_use]
    pub fn line(&mut self, rejections: &RejectionCounters, now: Micros) -> Option<String> {
        if now < self.next_line_at {
            return None;
        }
        self.next_line_at = now + REPORT_INTERVAL;
        self.reported.resize(RejectionReason::ALL.len(), 0);
        let mut line = String::new();
        for (reason, reported) in RejectionReason::ALL.iter().zip(&mut self.reported) {
            let count = rejections.get(*reason);
            let added = count - std::mem::replace(reported, count);
            if added > 0 {
                let space = if line.is_empty() { "" } else { " " };
                let _ = write!(line, "{space}{}={added}", reason.name());
            }
        }
        (!line.is_empty()).then_some(line)
    }
}
