//! What follows from a try that failed.

/// Whether a call ran at a worker, as far as anyone can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    NotRun,
    Ran,
    Unknown,
}

impl Execution {
    /// Its name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Execution::NotRun => "no",
            Execution::Ran => "yes",
            Execution::Unknown => "unknown",
        }
    }
}

/// Where a try ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailurePoint {
    /// No connection: nothing was sent.
    Connect,
    /// Something was sent and no head of a response came.
    Sent,
    /// The worker says itself that it did not run the call.
    Declined,
    /// The head came and the body broke off.
    Body,
}

/// What becomes of a call after a try that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    Retry,
    Stop(Execution),
}

/// What may follow a try that ended in trouble.
pub fn decide(s: FailurePoint, repeat: bool, downstream: bool, budget: impl FnOnce() -> bool) -> RetryDecision {
    let ran = match s {
        FailurePoint::Connect | FailurePoint::Declined => Execution::NotRun,
        FailurePoint::Sent => Execution::Unknown,
        FailurePoint::Body => Execution::Ran,
    };
    if !downstream && (ran == Execution::NotRun || repeat) && budget() {
        RetryDecision::Retry
    } else {
        RetryDecision::Stop(ran)
    }
}
