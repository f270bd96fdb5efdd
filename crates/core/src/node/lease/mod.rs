//! Leases of the singleton roles: a role's lease holder grants the quotas of the tenants in that role.
//!
//! [`holder`] requests and renews leases, [`grantor`] decides on requests as a voter, and [`startup_fence`]
//! lets a restarted voter grant new leases as soon as no lease of its earlier incarnation can be valid. The
//! decisions themselves, and why a role has at most one holder at a time, are in [`crate::lease`].

mod grantor;
mod holder;
mod startup_fence;

use super::{Envelope, Node};
use crate::base::{Micros, NodeId, Version};
use crate::consensus::DurableState;
use crate::lease::{HeldLeases, LEASE_DURATION, LeaseGrantor, quota_role};
use crate::protocol::{LeaseMessage, RegisteredIncarnation, WindowGrant};
use std::collections::BTreeMap;

/// The lease state of a node, as a holder and as a voter.
#[derive(Clone, Debug)]
pub struct Leases {
    /// The leases that this node granted as a voter.
    pub grantor: LeaseGrantor,
    /// The leases that this node holds or requests.
    pub held: HeldLeases,
    /// The progress in proving that no lease of an earlier incarnation is valid.
    pub(in crate::node) startup_fence: startup_fence::StartupFence,
}

impl Leases {
    /// Creates the state after a start from the durable state. Leases of earlier sets of voters that this
    /// node does not know may be valid until `earlier_sets_fence_until`.
    pub(super) fn new(
        durable: &DurableState,
        first_request: u64,
        earlier_sets_fence_until: Micros,
        now: Micros,
    ) -> Self {
        let startup_fence_until = now + LEASE_DURATION;
        let role_fences = durable.grants.keys().map(|(tenant, _)| (quota_role(tenant), startup_fence_until)).collect();
        let grantor = LeaseGrantor {
            startup_fence_until,
            role_fences,
            earlier_sets_fence_until,
            granted: BTreeMap::new(),
            epochs: durable.epochs.clone(),
            previously_held: durable.epochs.keys().copied().collect(),
        };
        Leases {
            grantor,
            held: HeldLeases { last_request_id: first_request, ..HeldLeases::default() },
            startup_fence: startup_fence::StartupFence::default(),
        }
    }
}

/// A request for a new lease or for the renewal of one; see [`LeaseMessage::Request`].
#[derive(Clone, Copy, Debug)]
struct LeaseRequest {
    voter_set: Version,
    role: u32,
    epoch: u64,
    request_id: u64,
    is_new_epoch: bool,
}

impl From<LeaseRequest> for LeaseMessage {
    fn from(request: LeaseRequest) -> LeaseMessage {
        let LeaseRequest { voter_set, role, epoch, request_id, is_new_epoch } = request;
        LeaseMessage::Request { voter_set, role, epoch, request_id, is_new_epoch }
    }
}

/// A voter's grant of a request, with the state that the new holder inherits; see [`LeaseMessage::Granted`].
#[derive(Debug)]
struct LeaseVote {
    role: u32,
    epoch: u64,
    request_id: u64,
    grants: Vec<WindowGrant>,
    has_no_predecessor: bool,
    registered: Vec<RegisteredIncarnation>,
}

/// A voter's rejection of a request; see [`LeaseMessage::Rejected`].
#[derive(Clone, Copy, Debug)]
struct LeaseRejection {
    role: u32,
    epoch: u64,
    request_id: u64,
    holder: NodeId,
    remaining: Micros,
}

impl Node {
    /// Handles a message about leases.
    pub(super) fn on_lease_message(&mut self, envelope: &Envelope, message: LeaseMessage, now: Micros) {
        let from = envelope.from;
        match message {
            LeaseMessage::Request { voter_set, role, epoch, request_id, is_new_epoch } => {
                let request = LeaseRequest { voter_set, role, epoch, request_id, is_new_epoch };
                self.on_lease_request(from, request, now);
            }
            LeaseMessage::Granted { role, epoch, request_id, grants, has_no_predecessor, registered } => {
                if !self.is_former_incarnation(envelope.incarnation_of_sender()) {
                    let vote = LeaseVote { role, epoch, request_id, grants, has_no_predecessor, registered };
                    self.on_lease_vote(from, vote, envelope.delay, now);
                }
            }
            LeaseMessage::Rejected { role, epoch, request_id, holder, remaining } => {
                let rejection = LeaseRejection { role, epoch, request_id, holder, remaining };
                self.on_lease_rejected(&rejection, now);
            }
            LeaseMessage::HeldLeasesQuery { query_id } => {
                self.on_held_leases_query(envelope.incarnation_of_sender(), query_id, now);
            }
            LeaseMessage::NoHeldLeases { query_id } => self.on_no_held_leases(from, query_id, now),
        }
    }
}
