//! What goes wrong: profiles of faults, their injection and their end.

pub(super) mod control;
pub(super) mod day;
pub(super) mod injection;
pub(super) mod membership_losses;
pub(super) mod profiles;
pub(super) mod repairs;
pub(super) mod rolling_release;
