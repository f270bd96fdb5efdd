//! What must hold: safety while faults last, recovery after them, and the figures of a run.

pub(super) mod calls;
pub(super) mod majority_contact;
pub(super) mod recovery;
pub(super) mod safety;
pub(super) mod summary;
