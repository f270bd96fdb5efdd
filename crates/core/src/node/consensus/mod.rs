//! Agreement on versions of the configuration: one Paxos instance a version.
//!
//! [`acceptor`] votes on ballots, [`proposer`] runs them for the changes that wait, and [`learner`] applies
//! and replicates what was decided. [`freshness`] confirms with a majority that the newest version here is
//! the newest of all, [`reader`] answers linearizable reads by that, and [`forwarding`] hands the changes
//! of callers at nodes without a vote to a voter. [`digest_sync`] fetches the digests of versions that
//! this node skipped.

mod acceptor;
mod digest_sync;
mod forwarding;
mod freshness;
mod learner;
mod proposer;
mod reader;

pub use proposer::MAX_BODY_BYTES;

use crate::base::Version;
use crate::consensus::{ConsensusState, DurableState};
use crate::freshness::Freshness;
use std::collections::BTreeMap;

/// What a node keeps for the agreement on versions.
#[derive(Clone, Debug)]
pub struct Consensus {
    /// The votes of this node, the versions that it knows, and its own proposal.
    pub state: ConsensusState,
    /// When the newest version here was last confirmed to be the newest of all.
    pub freshness: Freshness,
    /// The newest version that is synced to this node's disk (on a front: that it holds).
    ///
    /// Only this version is reported to other voters, as they count it towards an acknowledgement.
    pub(in crate::node) synced_version: Option<Version>,
    /// Changes that were handed to a voter, by the request that waits for each.
    pub(in crate::node) forwards: BTreeMap<u64, forwarding::Forward>,
    /// Reads that wait until the newest version is confirmed.
    pub(in crate::node) reads: Vec<reader::Read>,
    pub(in crate::node) digest_sync: digest_sync::DigestSync,
}

impl Consensus {
    /// The state after a start, by what the disk holds; `first_probe` numbers the first freshness probe.
    pub(super) fn new(durable: &DurableState, first_probe: u64) -> Self {
        let state = ConsensusState::new(durable);
        let synced_version = state.version();
        Consensus {
            state,
            freshness: Freshness { last_probe: first_probe, ..Freshness::default() },
            synced_version,
            forwards: BTreeMap::new(),
            reads: Vec::new(),
            digest_sync: digest_sync::DigestSync::default(),
        }
    }
}
