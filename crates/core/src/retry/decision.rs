//! The decision whether a failed attempt is retried.

/// Whether a worker ran a call, as far as is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// No worker ran the call.
    NotRun,
    /// A worker ran the call.
    Ran,
    /// The call was sent to a worker that did not state whether the call ran.
    Unknown,
}

impl Execution {
    /// Returns the name in metrics and responses.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Execution::NotRun => "no",
            Execution::Ran => "yes",
            Execution::Unknown => "unknown",
        }
    }
}

/// The point that an attempt had reached when it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailurePoint {
    /// No connection was established, and nothing was sent.
    Connect,
    /// The request was sent, but no response head was received.
    Sent,
    /// The worker stated that it did not run the call.
    Declined,
    /// The response head was received, but the body is incomplete.
    Body,
}

impl FailurePoint {
    /// All points, in the order in which an attempt reaches them.
    pub const ALL: [FailurePoint; 4] =
        [FailurePoint::Connect, FailurePoint::Sent, FailurePoint::Declined, FailurePoint::Body];

    /// Returns the name in metrics and in the log.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            FailurePoint::Connect => "connect",
            FailurePoint::Sent => "sent",
            FailurePoint::Declined => "declined",
            FailurePoint::Body => "body",
        }
    }

    /// Returns what the failure proves about the execution of the call.
    #[must_use]
    pub fn execution(self) -> Execution {
        match self {
            FailurePoint::Connect | FailurePoint::Declined => Execution::NotRun,
            FailurePoint::Sent => Execution::Unknown,
            FailurePoint::Body => Execution::Ran,
        }
    }
}

/// The decision after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Another attempt is made.
    Retry,
    /// The call ends with this knowledge of its execution.
    Stop(Execution),
}

/// Decides whether a failed attempt is retried: if the client has received nothing (`has_responded` is
/// false), a second run is safe (the call did not run, or `is_idempotent` holds), and `withdraw` pays for
/// the retry. Calls `withdraw` only if the other conditions allow the retry.
#[must_use]
pub fn decide(
    point: FailurePoint,
    is_idempotent: bool,
    has_responded: bool,
    withdraw: impl FnOnce() -> bool,
) -> RetryDecision {
    let execution = point.execution();
    let is_safe = execution == Execution::NotRun || is_idempotent;
    if !has_responded && is_safe && withdraw() { RetryDecision::Retry } else { RetryDecision::Stop(execution) }
}
