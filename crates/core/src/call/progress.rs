//! How a step ends: with the next phase, with a local response, or with a wait.

use super::local_response::LocalResponse;
use super::state::CallState;
use crate::base::{MS, Micros};
use std::ops::ControlFlow;

/// Why a call does not advance by itself.
#[allow(clippy::large_enum_variant)]
pub(super) enum Halt {
    /// The call ends with this response.
    Respond(LocalResponse),
    /// The call stays in this phase until the next event.
    Wait(CallState),
}

/// The next phase, or why there is none yet. A call that halts is no error, hence no `Result`.
pub(super) type StepResult<T> = ControlFlow<Halt, T>;

/// Goes on with the value, or ends the call with the response that stands for it.
pub(super) fn or_respond<T>(result: Result<T, LocalResponse>) -> StepResult<T> {
    match result {
        Ok(value) => ControlFlow::Continue(value),
        Err(response) => ControlFlow::Break(Halt::Respond(response)),
    }
}

/// How long opening a connection to a worker may take, in microseconds.
pub(super) const CONNECT_TIMEOUT: Micros = 500 * MS;
