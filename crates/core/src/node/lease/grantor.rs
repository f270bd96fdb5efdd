//! A voter's replies to lease requests.
//!
//! Guarantees that a grant of a new epoch is sent only once the epoch is on the disk, and that no new epoch
//! is granted while a lease may be valid that this voter cannot know of: under another set of voters, while a
//! change of the set may be in progress, and for a lease's duration after the set changed. In these cases the
//! voter sends no reply, which leaves the decision to voters that know those leases.

use super::{LeaseRequest, LeaseVote};
use crate::base::{Micros, NodeId};
use crate::consensus::DurableWrite;
use crate::lease::{LeaseDecision, quota_role};
use crate::node::Node;
use crate::protocol::{LeaseMessage, Message};

impl Node {
    /// Decides on a lease request and replies to it.
    ///
    /// A voter that accepted a change of the set does not vote until it knows whether the change was decided:
    /// the next set relies on this.
    pub(super) fn on_lease_request(&mut self, from: NodeId, request: LeaseRequest, now: Micros) {
        let LeaseRequest { voter_set, role, epoch, request_id, is_new_epoch } = request;
        if !self.is_ready() || voter_set != self.voter_set() || self.is_changing_voters() {
            return;
        }
        // A rejection would end the request, which other voters may still grant.
        if is_new_epoch && now < self.leases.grantor.earlier_sets_fence_until {
            return;
        }
        match self.leases.grantor.request(role, from, epoch, is_new_epoch, now) {
            LeaseDecision::Rejected { epoch, holder, remaining } => {
                let rejected = LeaseMessage::Rejected { role, epoch, request_id, holder, remaining };
                self.send(from, Message::Lease(rejected), now);
            }
            LeaseDecision::Granted { is_new_epoch: true } => {
                let vote = self.vote_for_new_epoch(&request, now);
                let reply = self.send_effect(from, Message::Lease(vote.into()), now).into_iter().collect();
                self.persist(vec![DurableWrite::Epoch { role, epoch }], reply);
            }
            LeaseDecision::Granted { is_new_epoch: false } => {
                let vote = self.vote_for_known_epoch(&request);
                self.send(from, Message::Lease(vote.into()), now);
            }
        }
    }

    /// Returns a vote with the grants and registrations that the new holder inherits.
    fn vote_for_new_epoch(&self, request: &LeaseRequest, now: Micros) -> LeaseVote {
        LeaseVote {
            grants: self.grants_of(|tenant| quota_role(tenant) == request.role, now),
            registered: self.registered_incarnations(),
            ..self.vote_for_known_epoch(request)
        }
    }

    /// Returns a vote for a renewal: the holder has inherited everything already.
    fn vote_for_known_epoch(&self, request: &LeaseRequest) -> LeaseVote {
        LeaseVote {
            role: request.role,
            epoch: request.epoch,
            request_id: request.request_id,
            grants: Vec::new(),
            has_no_predecessor: !self.leases.grantor.previously_held.contains(&request.role),
            registered: Vec::new(),
        }
    }
}

impl From<LeaseVote> for LeaseMessage {
    fn from(vote: LeaseVote) -> LeaseMessage {
        let LeaseVote { role, epoch, request_id, grants, has_no_predecessor, registered } = vote;
        LeaseMessage::Granted { role, epoch, request_id, grants, has_no_predecessor, registered }
    }
}
