//! The steps of a call: one module for each phase and for each transition that several phases share.
//!
//! The dependencies between the modules have no cycles: the phases (`admission`, `body`,
//! `quota`, `placement`, `attempt`, `streaming`) use the transitions `acquire_unit`, `failover` and
//! `response_stream`, of which the first two use `acquire_slot`, and that `suspension`. `suspended` handles the events
//! of a suspended response and uses `streaming`. All may use `authorization`.

mod acquire_slot;
mod acquire_unit;
mod admission;
pub(super) mod attempt;
mod authorization;
mod body;
mod failover;
pub(super) mod placement;
pub(super) mod quota;
mod response_stream;
pub(super) mod streaming;
pub(super) mod suspended;
mod suspension;

pub(super) use admission::admit;
pub(super) use body::read_body;
