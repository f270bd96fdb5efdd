//! The result of a step: the next phase, a local response, or a wait for another event.

use super::local_response::LocalResponse;
use super::state::CallState;
use crate::base::{MS, Micros};
use std::ops::ControlFlow;

/// Why a step does not continue with the next phase.
#[allow(clippy::large_enum_variant)]
pub(super) enum Halt {
    /// The call ends with this response.
    Respond(LocalResponse),
    /// The call stays in this phase until the next event.
    Wait(CallState),
}

/// The next phase, or why the call halts. A halt is not an error, hence `ControlFlow` and not `Result`.
pub(super) type StepResult<T> = ControlFlow<Halt, T>;

/// Continues with the value, or ends the call with the response in the error.
pub(super) fn or_respond<T>(result: Result<T, LocalResponse>) -> StepResult<T> {
    match result {
        Ok(value) => ControlFlow::Continue(value),
        Err(response) => ControlFlow::Break(Halt::Respond(response)),
    }
}

/// The time-out for opening a connection to a worker, in microseconds.
pub(super) const CONNECT_TIMEOUT: Micros = 500 * MS;
