//! Agreement on versions of the configuration, with one Paxos instance per version.
//!
//! [`acceptor`], [`proposer`] and [`learner`] are the three roles of Lamport, Paxos Made Simple, §2:
//! acceptors vote on ballots, proposers run ballots for the pending changes, and learners apply and replicate
//! decided entries. [`admission`] and [`validation`] decide which changes become pending, and [`outcomes`]
//! replies to their requesters. [`freshness`] confirms with a majority that the newest version here is the
//! newest of all, [`reader`] uses that confirmation to complete linearizable reads, and [`forwarding`] sends
//! the changes of callers at nodes without a vote to a voter. [`digest_sync`] fetches the digests of versions
//! that this node skipped.

mod acceptor;
mod admission;
mod digest_sync;
mod forwarding;
mod freshness;
mod learner;
mod outcomes;
mod proposer;
mod reader;
mod validation;

pub(in crate::node) use admission::SubmittedChange;
pub use validation::MAX_BODY_BYTES;

use super::{Envelope, Node};
use crate::base::{Micros, NodeId, Version};
use crate::consensus::{ConsensusState, DurableState};
use crate::freshness::Freshness;
use crate::protocol::{ConsensusMessage, Message};
use freshness::FreshnessReply;
use std::collections::BTreeMap;

/// The consensus state of a node.
#[derive(Clone, Debug)]
pub struct Consensus {
    /// The votes of this node, the versions that it knows, and its own proposal.
    pub state: ConsensusState,
    /// The last confirmation that the newest version here is the newest of all.
    pub freshness: Freshness,
    /// The newest version that is synced to this node's disk (on a front: that it holds).
    ///
    /// Invariant: at most the newest version in `state`. Only this version is reported to other voters, as
    /// they count the report towards the commit.
    pub(in crate::node) synced_version: Option<Version>,
    /// The changes and reads that were forwarded to a voter, by the identifier of the caller's request.
    pub(in crate::node) forwards: BTreeMap<u64, forwarding::Forward>,
    /// The reads that wait until the newest version is confirmed, in the order of their arrival.
    pub(in crate::node) reads: Vec<reader::Read>,
    /// The progress in fetching the digests of versions that this node skipped.
    pub(in crate::node) digest_sync: digest_sync::DigestSync,
}

impl Consensus {
    /// Creates the state after a start from the durable state. The first freshness probe has the sequence
    /// number after `first_probe`.
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
    /// Sends a consensus message.
    fn send_consensus(&mut self, receiver: NodeId, message: ConsensusMessage, now: Micros) {
        self.send(receiver, Message::Consensus(message), now);
    }

    /// Returns the voters of the newest version except this node, in their order.
    fn other_voters(&self) -> impl Iterator<Item = NodeId> {
        let voters = self.consensus.state.voters().iter().map(|voter| voter.node_id);
        voters.filter(|node_id| *node_id != self.settings.node_id)
    }

    /// Handles a consensus message.
    pub(super) fn on_consensus_message(&mut self, envelope: &Envelope, message: ConsensusMessage, now: Micros) {
        let sender = envelope.from;
        match message {
            ConsensusMessage::Prepare { instance, ballot } => self.on_prepare(sender, instance, ballot, now),
            ConsensusMessage::Promise { instance, ballot, accepted } => {
                self.on_promise(sender, instance, ballot, accepted, now);
            }
            ConsensusMessage::Reject { instance, ballot } => self.on_reject(instance, ballot, now),
            ConsensusMessage::Accept { ballot, entry } => self.on_accept(sender, ballot, entry, now),
            ConsensusMessage::Accepted { instance, ballot } => self.on_accepted(sender, instance, ballot, now),
            ConsensusMessage::Replicate { entries } => self.on_replicate(sender, entries, now),
            ConsensusMessage::Synced { version } => self.on_synced_version(sender, version, now),
            ConsensusMessage::FreshnessProbe { seq, version } => self.on_freshness_probe(sender, seq, version, now),
            ConsensusMessage::FreshnessReply { seq, version, synced_version, ready_set, has_accepted } => {
                let reply = FreshnessReply { seq, version, synced_version, ready_set, has_accepted };
                self.on_freshness_reply(sender, reply, now);
            }
            ConsensusMessage::Forward { request_id, change_id, is_first_send, base, change } => {
                let submitted = SubmittedChange { change_id, is_first_send, base, change };
                self.on_forward(sender, request_id, submitted, now);
            }
            ConsensusMessage::ForwardReply { request_id, outcome } => {
                self.on_forward_reply(sender, request_id, outcome, now);
            }
            ConsensusMessage::DigestRequest { from, to } => self.on_digest_request(sender, from, to, now),
            ConsensusMessage::DigestReply { from, to, digests } => self.on_digest_reply(sender, from, to, digests, now),
        }
    }
}
