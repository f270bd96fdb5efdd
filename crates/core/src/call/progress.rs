//! How a step ends: with the next phase, with a local response, or with a wait.

use super::local_response::LocalResponse;
use super::state::CallState;
use crate::base::{MS, Micros};

/// Why a call does not advance by itself.
#[allow(clippy::large_enum_variant)]
pub(super) enum Halt {
    /// The call ends with this response.
    Respond(LocalResponse),
    /// The call stays in this phase until the next event.
    Wait(CallState),
}

/// The next phase, or why there is none yet.
pub(super) type StepResult<T> = Result<T, Halt>;

/// How long opening a connection to a worker may take, in microseconds.
pub(super) const CONNECT_TIMEOUT: Micros = 500 * MS;
