//! Agreement on versions of the configuration: what a core promised, accepted and decided.

mod digests;
mod history;
mod op;
mod patches;
mod state;

pub use digests::{DIGESTS, Digests, Known};
pub use history::{HISTORY_BYTES, KEEP, history_floor, trim_history};
pub use op::{Kept, Op};
pub use patches::Patches;
pub use state::{Agree, Asker, PendingChange, Phase, Proposal, majority};
