//! Whether a failed attempt may be retried.

/// Whether a worker ran a call, as far as is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// No worker ran it.
    NotRun,
    /// A worker ran it.
    Ran,
    /// It was sent to a worker that did not state whether it ran.
    Unknown,
}

impl Execution {
    /// The name in metrics and responses.
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
    /// There was no connection: nothing was sent.
    Connect,
    /// The request was sent and no head of a response came.
    Sent,
    /// The worker stated that it did not run the call.
    Declined,
    /// The head came and the body broke off.
    Body,
}

impl FailurePoint {
    /// What the failure tells about the execution of the call.
    #[must_use]
    pub fn execution(self) -> Execution {
        match self {
            FailurePoint::Connect | FailurePoint::Declined => Execution::NotRun,
            FailurePoint::Sent => Execution::Unknown,
            FailurePoint::Body => Execution::Ran,
        }
    }
}

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Another attempt is made.
    Retry,
    /// The call ends, with what is known of its execution.
    Stop(Execution),
}

/// Decides about a retry: it is made if the client has received nothing (`has_responded` is false),
/// a second run is harmless (the call did not run, or is `idempotent`), and `withdraw` pays for it.
/// `withdraw` is called only if the rest allows the retry.
#[must_use]
pub fn decide(
    point: FailurePoint,
    idempotent: bool,
    has_responded: bool,
    withdraw: impl FnOnce() -> bool,
) -> RetryDecision {
    let execution = point.execution();
    let is_safe = execution == Execution::NotRun || idempotent;
    if !has_responded && is_safe && withdraw() { RetryDecision::Retry } else { RetryDecision::Stop(execution) }
}
