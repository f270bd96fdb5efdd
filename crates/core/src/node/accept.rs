//! A voter: promises and acceptances of ballots.

use super::Node;
use crate::agree::Op;
use crate::base::{MS, Micros, NodeId, Version};
use crate::peer::{Ballot, Decree, Msg};

/// After a vote for another's ballot none is begun here for so long. The proposer needs one write
/// on a majority's disks until it goes on; where disks take as long as the rests between ballots,
/// proposers would outbid one another without end.
const YIELD: Micros = 400 * MS;

impl Node {
    /// Whether this core may vote on `instance`; if not, the asker learns why.
    fn may_vote(&mut self, by: NodeId, instance: Version, now: Micros) -> bool {
        let Some(v) = self.version() else { return false };
        if instance <= v {
            self.teach(by, instance - 1, now);
            return false;
        }
        if instance > v + 1 {
            // Only what is on disk may be counted towards an acknowledgement.
            self.send(by, Msg::Have { version: self.have.unwrap_or(0) }, now);
            return false;
        }
        self.voter() && !self.disk_behind()
    }

    /// Takes the ballot if this core may vote and promised no higher one.
    fn bows(&mut self, by: NodeId, instance: Version, ballot: Ballot, now: Micros) -> bool {
        if instance == 0 || !self.may_vote(by, instance, now) {
            return false;
        }
        let top = self.agree.promised;
        if ballot < top {
            self.send(by, Msg::Refuse { instance, ballot: top }, now);
            return false;
        }
        self.agree.promised = ballot;
        if by != self.me.node_id {
            self.agree.yields_until = now + YIELD;
        }
        true
    }

    pub(super) fn on_prepare(&mut self, by: NodeId, instance: Version, ballot: Ballot, now: Micros) {
        if !self.bows(by, instance, ballot, now) {
            return;
        }
        let accepted = self.agree.accepted.clone();
        let accepted = accepted.map(|(ballot, d)| (ballot, d.stripped()));
        let then = self.mail(by, Msg::Promise { instance, ballot, accepted }, now);
        self.write(vec![Op::Promise { instance, ballot }], then.into_iter().collect());
    }

    pub(super) fn on_accept(&mut self, by: NodeId, ballot: Ballot, decree: Decree, now: Micros) {
        let instance = decree.version;
        if !self.bows(by, instance, ballot, now) {
            return;
        }
        let Some(decree) = self.agree.restore(decree) else { return };
        if self.agree.accepted.is_none() {
            self.agree.accepted_at = now;
        }
        self.agree.accepted = Some((ballot, decree.clone()));
        let then = self.mail(by, Msg::Accepted { instance, ballot }, now);
        self.write(vec![Op::Promise { instance, ballot }, Op::Accept { ballot, decree }], then.into_iter().collect());
    }
}
