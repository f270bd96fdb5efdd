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

use super::{Envelope, Node};
use crate::base::{Micros, Version};
use crate::consensus::{ConsensusState, DurableState};
use crate::freshness::Freshness;
use crate::protocol::ConsensusMessage;
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

impl Node {
    /// Handles a message of the agreement on versions.
    pub(super) fn on_consensus_message(&mut self, envelope: &Envelope, message: ConsensusMessage, now: Micros) {
        let by = envelope.from;
        match message {
            ConsensusMessage::Prepare { instance, ballot } => self.on_prepare(by, instance, ballot, now),
            ConsensusMessage::Promise { instance, ballot, accepted } => {
                self.on_promise(by, instance, ballot, accepted, now)
            }
            ConsensusMessage::Reject { instance, ballot } => self.on_reject(instance, ballot, now),
            ConsensusMessage::Accept { ballot, entry: decree } => self.on_accept(by, ballot, decree, now),
            ConsensusMessage::Accepted { instance, ballot } => self.on_accepted(by, instance, ballot, now),
            ConsensusMessage::Replicate { entries: decrees } => self.on_replicate(by, decrees, now),
            ConsensusMessage::Synced { version } => self.on_synced_version(by, version, now),
            ConsensusMessage::FreshnessProbe { seq, version } => self.on_freshness_probe(by, seq, version, now),
            ConsensusMessage::FreshnessReply {
                seq,
                version,
                synced_version: have,
                ready_set: ready,
                has_accepted: pend,
            } => {
                self.on_freshness_reply(by, seq, version, (have, ready), pend, now);
            }
            ConsensusMessage::Forward { request_id: n, change_id, is_first_send: fresh, base, change } => {
                self.on_forward(by, n, (change_id, fresh), base, change, now)
            }
            ConsensusMessage::ForwardReply { request_id: n, outcome: fate } => self.on_forwarded(by, n, fate, now),
            ConsensusMessage::DigestRequest { from, to } => self.on_digest_request(by, from, to, now),
            ConsensusMessage::DigestReply { from, to, digests: rows } => {
                self.on_digest_reply(by, (from, to), rows, now)
            }
        }
    }
}
