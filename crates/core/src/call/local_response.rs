//! Final answers of this node's own.

use super::rejections::RejectionReason;
use crate::base::{Micros, hash64};
use crate::retry::Execution;

/// Statuses that promise that a call has not run and never will.
pub(super) const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// A final answer of this node's own, never a worker's.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalResponse {
    pub reason: RejectionReason,
    pub status: u16,
    pub code: &'static str,
    pub remedy: String,
    pub execution: Execution,
    /// When it is worth coming again.
    pub retry_after: Option<Micros>,
}

impl LocalResponse {
    /// An answer to a call that did not run; `remedy` tells the caller what to do.
    pub fn new(reason: RejectionReason, remedy: &str) -> Self {
        let (status, code) = (reason.status(), reason.code());
        LocalResponse {
            reason,
            status,
            code,
            remedy: remedy.to_owned(),
            execution: Execution::NotRun,
            retry_after: None,
        }
    }

    /// Whether it ran, as far as anyone can tell.
    pub fn with_execution(mut self, r: Execution) -> Self {
        self.execution = r;
        self
    }

    /// When it is worth coming again.
    pub fn with_retry_after(mut self, t: Micros) -> Self {
        self.retry_after = Some(t);
        self
    }

    /// As it is told: a status that promises that nothing ran is not given to a call that an
    /// earlier try may have run.
    pub(super) fn for_client(mut self) -> Self {
        if self.execution != Execution::NotRun && NOT_RUN_STATUSES.contains(&self.status) {
            self.status = 502;
        }
        self
    }
}

/// When to return: never together with the others who were refused.
pub fn spread_retry_after(t: Micros, id: &str) -> Micros {
    let t = t.clamp(200_000, 60_000_000);
    t + hash64(id.as_bytes()) % (t + 1_000_000)
}
