//! A voter: promises and acceptances of ballots.

use crate::base::{MS, Micros, NodeId, Version};
use crate::consensus::DurableWrite;
use crate::node::Node;
use crate::protocol::{Ballot, ConsensusMessage, LogEntry, Message};

/// After a vote for another's ballot none is begun here for so long. The proposer needs one write
/// on a majority's disks until it goes on; where disks take as long as the rests between ballots,
/// proposers would outbid one another without end.
const YIELD: Micros = 400 * MS;

impl Node {
    /// Whether this core may vote on `instance`; if not, the asker learns why.
    fn may_vote(&mut self, by: NodeId, instance: Version, now: Micros) -> bool {
        let Some(v) = self.version() else { return false };
        if instance <= v {
            self.replicate_to(by, instance - 1, now);
            return false;
        }
        if instance > v + 1 {
            // Only what is on disk may be counted towards an acknowledgement.
            self.send(
                by,
                Message::Consensus(ConsensusMessage::Synced { version: self.consensus.synced_version.unwrap_or(0) }),
                now,
            );
            return false;
        }
        self.voter() && !self.is_disk_behind()
    }

    /// Takes the ballot if this core may vote and promised no higher one.
    fn try_promise(&mut self, by: NodeId, instance: Version, ballot: Ballot, now: Micros) -> bool {
        if instance == 0 || !self.may_vote(by, instance, now) {
            return false;
        }
        let top = self.consensus.state.promised_ballot;
        if ballot < top {
            self.send(by, Message::Consensus(ConsensusMessage::Reject { instance, ballot: top }), now);
            return false;
        }
        self.consensus.state.promised_ballot = ballot;
        if by != self.settings.node_id {
            self.consensus.state.yields_until = now + YIELD;
        }
        true
    }

    pub(in crate::node) fn on_prepare(&mut self, by: NodeId, instance: Version, ballot: Ballot, now: Micros) {
        if !self.try_promise(by, instance, ballot, now) {
            return;
        }
        let accepted = self.consensus.state.accepted.clone();
        let accepted = accepted.map(|(ballot, d)| (ballot, d.without_body()));
        let then =
            self.send_effect(by, Message::Consensus(ConsensusMessage::Promise { instance, ballot, accepted }), now);
        self.persist(vec![DurableWrite::Promise { instance, ballot }], then.into_iter().collect());
    }

    pub(in crate::node) fn on_accept(&mut self, by: NodeId, ballot: Ballot, decree: LogEntry, now: Micros) {
        let instance = decree.version;
        if !self.try_promise(by, instance, ballot, now) {
            return;
        }
        let Some(decree) = self.consensus.state.restore_body(decree) else { return };
        if self.consensus.state.accepted.is_none() {
            self.consensus.state.accepted_at = now;
        }
        self.consensus.state.accepted = Some((ballot, decree.clone()));
        let then = self.send_effect(by, Message::Consensus(ConsensusMessage::Accepted { instance, ballot }), now);
        self.persist(
            vec![DurableWrite::Promise { instance, ballot }, DurableWrite::Accept { ballot, entry: decree }],
            then.into_iter().collect(),
        );
    }
}
