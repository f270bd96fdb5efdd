//! Consensus on versions of the configuration: what a core promised, accepted and learned.
//!
//! Every version is one instance of Paxos (Lamport, Paxos Made Simple). This module holds the state; the
//! message handlers are in [`crate::node`].

mod digest_log;
mod durable;
mod history;
mod patch_chain;
mod state;

pub use digest_log::{ChangeStatus, DigestLog, MAX_DIGESTS};
pub use durable::{DurableState, DurableWrite};
pub use history::{MAX_HISTORY_BYTES, MAX_HISTORY_ENTRIES, lowest_retained_version, trim_history};
pub use patch_chain::PatchChain;
pub use state::{ConsensusState, PendingChange, Phase, Proposal, Requester, is_majority};
