//! The acceptor of the Paxos instances: it promises and accepts ballots.
//!
//! An acceptor accepts no ballot below one that it promised, and a promise reports the accepted entry of the
//! highest ballot (Lamport, Paxos Made Simple, §2.2, phases 1b and 2b). Both replies are sent only once they
//! are synced to disk. A core that is behind, has no vote, or has too many unsynced bytes does not vote.

use crate::base::{MS, Micros, NodeId, Version};
use crate::consensus::DurableWrite;
use crate::node::Node;
use crate::protocol::{Ballot, ConsensusMessage, LogEntry, Message};

/// How long this core starts no ballot after it voted for one of another proposer, in microseconds.
///
/// The proposer needs one write on the disks of a majority before its next phase. If disks take as long as
/// the backoff between ballots, proposers would otherwise preempt each other without end.
const YIELD_TIMEOUT: Micros = 400 * MS;

impl Node {
    /// Returns whether this core may vote on `instance`. If this core or the proposer is behind, it is
    /// brought up to date.
    fn may_vote(&mut self, proposer: NodeId, instance: Version, now: Micros) -> bool {
        let Some(version) = self.version() else { return false };
        if instance <= version {
            self.replicate_to(proposer, instance - 1, now);
            return false;
        }
        if instance > version + 1 {
            self.report_synced_version(proposer, now);
            return false;
        }
        self.is_voter() && !self.is_disk_behind()
    }

    /// Promises the ballot if this core may vote and has promised no higher one; otherwise rejects it.
    fn try_promise(&mut self, proposer: NodeId, instance: Version, ballot: Ballot, now: Micros) -> bool {
        if instance == 0 || !self.may_vote(proposer, instance, now) {
            return false;
        }
        let promised = self.consensus.state.promised_ballot;
        if ballot < promised {
            self.send_consensus(proposer, ConsensusMessage::Reject { instance, ballot: promised }, now);
            return false;
        }
        self.consensus.state.promised_ballot = ballot;
        if proposer != self.settings.node_id {
            self.consensus.state.yield_until = now + YIELD_TIMEOUT;
        }
        true
    }

    /// Handles a `Prepare`: promises the ballot and reports the accepted entry, if any.
    pub(super) fn on_prepare(&mut self, proposer: NodeId, instance: Version, ballot: Ballot, now: Micros) {
        if !self.try_promise(proposer, instance, ballot, now) {
            return;
        }
        let accepted = self.consensus.state.accepted.clone();
        let accepted = accepted.map(|(accepted_ballot, entry)| (accepted_ballot, entry.without_body()));
        let promise = Message::Consensus(ConsensusMessage::Promise { instance, ballot, accepted });
        let reply = self.send_effect(proposer, promise, now);
        self.persist(vec![DurableWrite::Promise { instance, ballot }], reply.into_iter().collect());
    }

    /// Handles an `Accept`: accepts the entry unless a higher ballot was promised.
    pub(super) fn on_accept(&mut self, proposer: NodeId, ballot: Ballot, entry: LogEntry, now: Micros) {
        let instance = entry.version;
        if !self.try_promise(proposer, instance, ballot, now) {
            return;
        }
        let Some(entry) = self.consensus.state.restore_body(entry) else { return };
        if self.consensus.state.accepted.is_none() {
            self.consensus.state.accepted_at = now;
        }
        self.consensus.state.accepted = Some((ballot, entry.clone()));
        let accepted = Message::Consensus(ConsensusMessage::Accepted { instance, ballot });
        let reply = self.send_effect(proposer, accepted, now);
        let writes = vec![DurableWrite::Promise { instance, ballot }, DurableWrite::Accept { ballot, entry }];
        self.persist(writes, reply.into_iter().collect());
    }
}
