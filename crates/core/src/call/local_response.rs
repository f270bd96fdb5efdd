//! Responses that this node generates itself.

use super::rejections::RejectionReason;
use crate::base::{MS, Micros, SEC, hash64};
use crate::retry::Execution;

/// HTTP statuses that guarantee that the call has not run and never will.
pub(super) const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// The status that replaces one of [`NOT_RUN_STATUSES`] where the call may have run: bad gateway.
const UNKNOWN_EXECUTION_STATUS: u16 = 502;

/// The shortest and the longest retry-after time sent to a client, in microseconds.
const MIN_RETRY_AFTER: Micros = 200 * MS;
const MAX_RETRY_AFTER: Micros = 60 * SEC;

/// A final response that this node generates itself in place of a worker's.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalResponse {
    /// Why the call was rejected.
    pub reason: RejectionReason,
    /// The HTTP status.
    pub status: u16,
    /// The machine-readable error code in the body.
    pub code: &'static str,
    /// What the client should do, as text in the body.
    pub remedy: String,
    /// Whether a worker ran the call, as far as is known.
    pub execution: Execution,
    /// The time after which the client should retry, in microseconds from now.
    pub retry_after: Option<Micros>,
}

impl LocalResponse {
    /// Creates the response to a call that did not run; `remedy` tells the client what to do.
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

    /// Sets whether a worker ran the call.
    #[must_use]
    pub fn with_execution(mut self, execution: Execution) -> Self {
        self.execution = execution;
        self
    }

    /// Sets the time after which the client should retry, in microseconds from now.
    #[must_use]
    pub fn with_retry_after(mut self, retry_after: Micros) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Converts the response to the one that is sent: a status that guarantees that the call has not
    /// run is replaced if an earlier attempt may have run it.
    pub(super) fn for_client(mut self) -> Self {
        if self.execution != Execution::NotRun && NOT_RUN_STATUSES.contains(&self.status) {
            self.status = UNKNOWN_EXECUTION_STATUS;
        }
        self
    }
}

/// Returns the retry-after time of a rejected client, in microseconds from now. A hash of the call ID
/// adds jitter, so that clients that were rejected at the same time don't retry at the same time.
#[must_use]
pub fn spread_retry_after(retry_after: Micros, call_id: &str) -> Micros {
    let shortest = retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    shortest + hash64(call_id.as_bytes()) % (shortest + SEC)
}
