//! Responses that this node makes itself.

use super::rejections::RejectionReason;
use crate::base::{MS, Micros, SEC, hash64};
use crate::retry::Execution;

/// Statuses that promise that a call has not run and never will.
pub(super) const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// The status in place of a promise that can't be made: bad gateway.
const UNKNOWN_EXECUTION_STATUS: u16 = 502;

/// The shortest and the longest time that a client is told to retry after, in microseconds.
const MIN_RETRY_AFTER: Micros = 200 * MS;
const MAX_RETRY_AFTER: Micros = 60 * SEC;

/// A final response that this node makes itself, in place of a worker's.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalResponse {
    /// Why the call was rejected.
    pub reason: RejectionReason,
    /// The HTTP status.
    pub status: u16,
    /// The code that clients read in the body.
    pub code: &'static str,
    /// What the client should do.
    pub remedy: String,
    /// Whether a worker ran the call, as far as is known.
    pub execution: Execution,
    /// When to retry, in microseconds from now.
    pub retry_after: Option<Micros>,
}

impl LocalResponse {
    /// The response to a call that did not run; `remedy` tells the client what to do.
    #[must_use]
    pub fn new(reason: RejectionReason, remedy: &str) -> Self {
        LocalResponse {
            reason,
            status: reason.status(),
            code: reason.code(),
            remedy: remedy.to_owned(),
            execution: Execution::NotRun,
            retry_after: None,
        }
    }

    /// The same response to a call that may have run.
    #[must_use]
    pub fn with_execution(mut self, execution: Execution) -> Self {
        self.execution = execution;
        self
    }

    /// The same response with a time to retry after, in microseconds from now.
    #[must_use]
    pub fn with_retry_after(mut self, retry_after: Micros) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// The response as it is sent: a status that promises that nothing ran is replaced if an
    /// earlier attempt may have run the call.
    pub(super) fn for_client(mut self) -> Self {
        if self.execution != Execution::NotRun && NOT_RUN_STATUSES.contains(&self.status) {
            self.status = UNKNOWN_EXECUTION_STATUS;
        }
        self
    }
}

/// When a rejected client is to retry, in microseconds from now: spread by the call's identifier, so
/// that the clients that were rejected together do not return together.
#[must_use]
pub fn spread_retry_after(retry_after: Micros, call_id: &str) -> Micros {
    let shortest = retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    shortest + hash64(call_id.as_bytes()) % (shortest + SEC)
}
