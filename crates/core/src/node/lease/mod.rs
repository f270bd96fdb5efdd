//! Leases of the singleton roles: which core hands out the quotas of which tenants.
//!
//! [`holder`] requests, grants and renews leases among the voters of a set. [`startup_fence`] lets a voter
//! that has just started grant anew as soon as no lease of its earlier incarnation can be valid.

mod holder;
mod startup_fence;

use super::{Envelope, Node};
use crate::base::Micros;
use crate::consensus::DurableState;
use crate::lease::{HeldLeases, LEASE_DURATION, LeaseGrantor, quota_role};
use crate::protocol::LeaseMessage;
use std::collections::BTreeMap;

/// What a node keeps for leases, as a holder and as a voter.
#[derive(Clone, Debug)]
pub struct Leases {
    /// The leases that this node granted as a voter.
    pub grantor: LeaseGrantor,
    /// The leases that this node holds or asks for.
    pub held: HeldLeases,
    pub(in crate::node) startup_fence: startup_fence::StartupFence,
}

impl Leases {
    /// The state after a start, by what the disk holds. Leases of earlier sets of voters that this node
    /// knows nothing of may be valid until `earlier_sets_until`.
    pub(super) fn new(durable: &DurableState, first_request: u64, earlier_sets_until: Micros, now: Micros) -> Self {
        let fence_until = now + LEASE_DURATION;
        let role_fences = durable.grants.keys().map(|(tenant, _)| (quota_role(tenant), fence_until)).collect();
        let grantor = LeaseGrantor {
            fence_until,
            role_fences,
            earlier_sets_until,
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

impl Node {
    /// Handles a message about leases.
    pub(super) fn on_lease_message(&mut self, envelope: &Envelope, message: LeaseMessage, now: Micros) {
        let by = envelope.from;
        match message {
            LeaseMessage::Request { voter_set: set, role: duty, epoch, request_id: n, is_new_epoch: new } => {
                self.on_lease_request(by, set, (duty, epoch, new), n, now)
            }
            LeaseMessage::Granted {
                role: duty,
                epoch,
                request_id: n,
                grants: rows,
                has_no_predecessor: first,
                registered: lives,
            } => {
                if !self.is_former_incarnation(envelope.incarnation_of_sender()) {
                    self.on_lease_granted(by, duty, epoch, n, (rows, first, lives), envelope.delay, now);
                }
            }
            LeaseMessage::Rejected { role: duty, epoch, request_id: n, holder, remaining: left } => {
                self.on_lease_rejected(duty, epoch, n, holder, left, now)
            }
            LeaseMessage::HeldLeasesQuery { query_id: n } => {
                self.on_held_leases_query(envelope.incarnation_of_sender(), n, now)
            }
            LeaseMessage::NoHeldLeases { query_id: n } => self.on_no_held_leases(by, n, now),
        }
    }
}
