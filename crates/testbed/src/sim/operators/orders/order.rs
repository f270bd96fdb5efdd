//! A submission of an operator, the requests that are sent for it, and the behaviour of operators.

use sumacvale_core::base::{ChangeId, Micros, hash64};

/// The behaviour of an operator in one profile; shares are in percent.
#[derive(Clone, Copy, Debug)]
pub struct OperatorBehaviour {
    /// The mean time between two submissions, in microseconds.
    pub submission_interval: Micros,
    /// The share of submissions with a second, competing one on the same base; half of those have the same revision.
    pub race_percent: u64,
    /// The share of responses that are lost.
    pub lost_response_percent: u64,
    /// The chance that a committed document is sent again with each submission.
    pub repeat_percent: u64,
    /// The chance of a read with each submission.
    pub read_percent: u64,
    /// The chance of an invalid document with each submission.
    pub invalid_percent: u64,
    /// Additional routes in every eighth document.
    pub extra_routes: u64,
}

/// The one machine that a submission is sent to.
#[derive(Clone, Copy, Debug)]
pub struct PinnedTarget {
    /// The index of the machine.
    pub machine: usize,
    /// Whether the submission is retried at this machine until it is settled; else at any core once this machine had
    /// no quorum.
    pub is_exclusive: bool,
}

/// A document that an operator submits, and its outcome as far as the operator knows.
#[derive(Clone, Debug)]
pub(super) struct Submission {
    pub(super) body: String,
    /// The revision that the document is built on.
    pub(super) base: u64,
    pub(super) revision: u64,
    pub(super) submitted_at: Micros,
    /// When the next attempt is sent; `None` while a request is pending.
    pub(super) next_attempt_at: Option<Micros>,
    /// The time until the next retry.
    pub(super) backoff: Micros,
    /// The machine of the last attempt.
    pub(super) last_target: Option<usize>,
    pub(super) pinned_target: Option<PinnedTarget>,
    /// Whether every node must reject the document.
    pub(super) is_invalid: bool,
    /// Whether a node acknowledged the document as committed.
    pub(super) is_committed: bool,
    /// Whether a node rejected the document for good.
    pub(super) is_rejected: bool,
}

impl Submission {
    /// The change id, which follows from the body: every attempt has the same one.
    pub(super) fn change_id(&self) -> ChangeId {
        ChangeId(hash64(self.body.as_bytes()).max(1))
    }

    /// Whether the operator knows that the document is committed or rejected.
    pub(super) fn is_settled(&self) -> bool {
        self.is_committed || self.is_rejected
    }
}

/// A request to one machine that has no response yet.
#[derive(Clone, Copy, Debug)]
pub(super) enum PendingRequest {
    /// An attempt of a submission.
    Put {
        /// The index of the submission.
        index: usize,
        machine: usize,
        deadline: Micros,
    },
    /// A read of the newest document.
    Read {
        machine: usize,
        /// The newest revision that was acknowledged when the read was sent.
        newest: u64,
        deadline: Micros,
        /// Whether the read was sent after the last fault.
        is_final: bool,
    },
}

impl PendingRequest {
    /// When the request times out.
    pub(super) fn deadline(&self) -> Micros {
        match self {
            PendingRequest::Put { deadline, .. } | PendingRequest::Read { deadline, .. } => *deadline,
        }
    }
}

/// The revision of a document; 0 for a text without one.
pub(super) fn revision(text: &str) -> u64 {
    let digits = text.strip_prefix("{\"revision\":").unwrap_or_default();
    digits.chars().take_while(char::is_ascii_digit).collect::<String>().parse().unwrap_or(0)
}
