//! Checks of a run: safety during faults, recovery after them, and the summary.

pub(super) mod calls;
pub(super) mod majority_contact;
pub(super) mod recovery;
pub(super) mod safety;
pub(super) mod summary;
