//! The reasons for which calls end with a local response, a counter for each reason, and a periodic
//! log line while calls are rejected.

use super::counters::Counter;
use crate::base::{Micros, SEC};
use std::fmt::Write;

/// The minimum interval between log lines, in microseconds.
const REPORT_INTERVAL: Micros = SEC;

macro_rules! reasons {
    ($($(#[doc = $doc:literal])* $reason:ident = $name:literal, $status:literal, $code:literal;)*) => {
        /// The reason for which a call received a local response in place of a worker's.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum RejectionReason { $($(#[doc = $doc])* $reason,)* }

        impl RejectionReason {
            /// All reasons, in the order of their metrics.
            pub const ALL: &'static [RejectionReason] = &[$(RejectionReason::$reason,)*];

            /// Returns the name in metrics and in the log.
            #[must_use]
            pub fn name(self) -> &'static str {
                match self { $(RejectionReason::$reason => $name,)* }
            }

            /// Returns the HTTP status of the response.
            #[must_use]
            pub fn status(self) -> u16 {
                match self { $(RejectionReason::$reason => $status,)* }
            }

            /// Returns the error code in the body of the response.
            #[must_use]
            pub fn code(self) -> &'static str {
                match self { $(RejectionReason::$reason => $code,)* }
            }
        }
    };
}

reasons! {
    /// This node has no configuration, since it has reached no voter since its start.
    NoConfiguration = "no_configuration", 503, "stale";
    /// The configuration was not recently confirmed as the newest one.
    StaleView = "old_stamp", 503, "stale";
    /// The call has no valid API key.
    InvalidKey = "key", 401, "key";
    /// No match of the tenant has this method and path.
    NoMatch = "no_match", 404, "no_match";
    /// A newer configuration moved the route while the call was in progress.
    RouteMoved = "moved", 503, "moved";
    /// A cache lookup failed.
    LookupFailed = "lookup", 503, "lookup";
    /// Reading the body timed out.
    BodyTimedOut = "slow_body", 408, "slow_body";
    /// The body is incomplete or invalid.
    InvalidBody = "body", 400, "body";
    /// The body is larger than the match allows.
    BodyTooLarge = "too_large", 413, "too_large";
    /// The body budget of this process is used up.
    BodyBudgetExhausted = "crowded", 503, "crowded";
    /// The tenant's quota is exhausted.
    QuotaExhausted = "quota", 429, "quota";
    /// No lease holder of the quota answered in time.
    QuotaHolderUnreachable = "quota_unsettled", 503, "quota_unsettled";
    /// No worker has a free slot before the call's deadline.
    SlotsExhausted = "full", 503, "full";
    /// This node knows no worker of the pool.
    NoWorker = "no_worker", 503, "no_worker";
    /// Every worker that was tried declined the call.
    WorkersDeclined = "worker_full", 503, "worker_full";
    /// The worker was unreachable.
    WorkerUnreachable = "worker_gone", 503, "worker_gone";
    /// The worker's response ended early.
    WorkerFailed = "worker_trouble", 502, "worker_trouble";
    /// The worker did not respond before the deadline.
    WorkerTimedOut = "worker_slow", 504, "worker_slow";
    /// The call was not sent with HTTP/1.1.
    UnsupportedHttpVersion = "http_version", 505, "http_version";
}

/// The number of rejected calls, by reason.
#[derive(Debug)]
pub struct RejectionCounters(Vec<Counter>);

impl Default for RejectionCounters {
    fn default() -> Self {
        RejectionCounters(RejectionReason::ALL.iter().map(|_| Counter::default()).collect())
    }
}

impl RejectionCounters {
    /// Counts one rejected call.
    pub fn add(&self, reason: RejectionReason) {
        self.0[reason as usize].increment();
    }

    /// Returns the number of calls that were rejected for this reason.
    #[must_use]
    pub fn get(&self, reason: RejectionReason) -> u64 {
        self.0[reason as usize].get()
    }
}

/// Produces at most one log line per second while calls are rejected.
#[derive(Debug, Default)]
pub struct RejectionLog {
    /// The earliest time of the next log line, in microseconds.
    next_line_at: Micros,
    /// The counts that earlier log lines reported, by reason.
    reported: Vec<u64>,
}

impl RejectionLog {
    /// Returns the counts by reason since the last log line, such as `full=3 quota=12`; `None` if the
    /// next line is not due or no call was rejected.
    #[must_use]
    pub fn poll_line(&mut self, rejections: &RejectionCounters, now: Micros) -> Option<String> {
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
