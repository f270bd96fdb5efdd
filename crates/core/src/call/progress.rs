//! How a step ends: with the next state, with an answer, or with a wait.

use super::local_response::LocalResponse;
use super::state::CallState;
use crate::base::{MS, Micros};

/// Why a call does not go on by itself.
#[allow(clippy::large_enum_variant)]
pub(super) enum Halt {
    /// It gets its final answer.
    Respond(LocalResponse),
    /// It stays here until something happens.
    Wait(CallState),
}

/// The next state, or why there is none yet.
pub(super) type StepResult<T> = Result<T, Halt>;

/// How long a connection to a worker may take.
pub(super) const CONNECT: Micros = 500 * MS;
