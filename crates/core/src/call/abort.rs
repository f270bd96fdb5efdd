//! Responses that are aborted after their head was forwarded: the cause, why no other worker continued, and a
//! counter for each cause.

use super::context::StepContext;
use super::counters::Counter;
use super::io::{Effect, Effects};
use super::rejections::RejectionReason;
use crate::base::Micros;

/// What ended a worker's response before its last byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbortCause {
    /// The API key was revoked, and the match or the tenant aborts responses then.
    KeyRevoked,
    /// An event is too large, or a resumable stream has an event whose number is not expected.
    InvalidEvents,
    /// The worker's response ended early.
    WorkerBrokeOff,
    /// The worker sent nothing for the idle time-out.
    WorkerIdle,
}

impl AbortCause {
    /// All causes, in the order of their metrics.
    pub const ALL: [AbortCause; 4] =
        [AbortCause::KeyRevoked, AbortCause::InvalidEvents, AbortCause::WorkerBrokeOff, AbortCause::WorkerIdle];

    /// Returns the name in metrics and in the log.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            AbortCause::KeyRevoked => "key_revoked",
            AbortCause::InvalidEvents => "invalid_events",
            AbortCause::WorkerBrokeOff => "worker_broke_off",
            AbortCause::WorkerIdle => "worker_idle",
        }
    }

    /// Whether the connection to the worker was open, so that the worker may have been at work.
    #[must_use]
    pub fn is_worker_connected(self) -> bool {
        self != AbortCause::WorkerBrokeOff
    }
}

/// Why an aborted response did not continue at another worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailoverObstacle {
    /// No worker may continue, by the cause of the abort.
    Forbidden,
    /// The stream has no point to resume from, or the match does not allow it.
    NotResumable,
    /// The attempts of the match or the client's deadline are used up.
    NoAttemptLeft,
    /// The retry budget does not allow the attempt.
    OverBudget,
    /// Another attempt was made and failed.
    AttemptFailed(RejectionReason),
}

impl FailoverObstacle {
    /// Returns the name in the log.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            FailoverObstacle::Forbidden => "forbidden",
            FailoverObstacle::NotResumable => "not_resumable",
            FailoverObstacle::NoAttemptLeft => "no_attempt_left",
            FailoverObstacle::OverBudget => "over_budget",
            FailoverObstacle::AttemptFailed(reason) => reason.name(),
        }
    }
}

/// A response that is aborted so that the client can tell that it is incomplete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseAbort {
    /// What ended the worker's response.
    pub cause: AbortCause,
    /// Why no other worker continued it.
    pub obstacle: FailoverObstacle,
    /// The time since the last bytes of a worker, in microseconds.
    pub idle_time: Micros,
}

/// The number of aborted responses, by cause.
#[derive(Debug, Default)]
pub struct AbortCounters([Counter; AbortCause::ALL.len()]);

impl AbortCounters {
    /// Counts one aborted response.
    pub fn add(&self, cause: AbortCause) {
        self.0[cause as usize].increment();
    }

    /// Returns the number of responses that were aborted for this cause.
    #[must_use]
    pub fn get(&self, cause: AbortCause) -> u64 {
        self.0[cause as usize].get()
    }
}

/// Counts an abort, and aborts the response to the client.
pub(super) fn abort_response(abort: ResponseAbort, context: &mut StepContext, effects: &mut Effects) {
    context.shared.aborts.add(abort.cause);
    context.shared.counters.streams_aborted.increment();
    effects.push(Effect::AbortResponse(abort));
}
