//! Membership: the bootstrap of a fleet, changes of the set of voters, and the handover between sets.
//!
//! [`bootstrap`] founds the fleet, [`voters`] proposes a replacement for each voter that failed, drains or
//! was replaced, [`takeover`] lets a new set of voters take over the grants of the previous set, and
//! [`registrations`] records the incarnations of nodes that may hold shares of rates on the voters' disks. A
//! set of voters is identified by the version that introduced it.

mod bootstrap;
mod registrations;
pub(in crate::node) mod takeover;
pub mod voters;

use super::{Envelope, Node};
use crate::base::{Micros, Version};
use crate::consensus::DurableState;
use crate::protocol::{MembershipMessage, RegisteredIncarnation, Voter, WindowGrant};
use std::collections::BTreeMap;

/// The membership state of a node.
#[derive(Clone, Debug)]
pub struct Membership {
    /// The newest set of voters for which this node has taken over the grants of the previous set.
    pub(in crate::node) ready_set: Option<Version>,
    /// The newest `ready_set` that is synced to disk. Only a synced set is reported to other nodes.
    pub(in crate::node) synced_ready_set: Option<Version>,
    /// The change of voters that is due, if any.
    pub(in crate::node) planned_change: Option<voters::PlannedChange>,
    /// The replies that this node has collected to take over the previous set's grants.
    pub(in crate::node) takeover: takeover::Takeover,
    /// The announcements of seeds from before the first version, by address.
    pub(in crate::node) bootstrap_peers: BTreeMap<String, bootstrap::BootstrapPeer>,
    /// When this node next announces its bootstrap vote to the seeds, in microseconds.
    pub(in crate::node) bootstrap_due: Micros,
    /// When the newest set of voters came into force here, but no earlier than this node's start, in microseconds.
    pub(in crate::node) voters_changed_at: Micros,
    /// The incarnations of nodes that may hold shares of rates.
    pub(in crate::node) registrations: registrations::Registrations,
}

impl Membership {
    /// Creates the state after a start from the durable state.
    pub(super) fn new(durable: &DurableState, now: Micros) -> Self {
        Membership {
            ready_set: durable.ready_set,
            synced_ready_set: durable.ready_set,
            planned_change: None,
            takeover: takeover::Takeover::default(),
            bootstrap_peers: BTreeMap::new(),
            bootstrap_due: 0,
            voters_changed_at: now,
            registrations: registrations::Registrations::new(durable, now),
        }
    }
}

/// A node's announcement while there may be no fleet yet; see [`MembershipMessage::Bootstrap`].
#[derive(Debug)]
struct BootstrapAnnouncement {
    sender: Voter,
    version: Option<Version>,
    vote: Vec<Voter>,
    may_bootstrap: bool,
}

/// The state that a voter hands over to a voter of a newer set; see [`MembershipMessage::TakeoverReply`].
#[derive(Debug)]
struct TakeoverReply {
    voter_set: Version,
    is_complete: bool,
    grants: Vec<WindowGrant>,
    registered: Vec<RegisteredIncarnation>,
}

impl Node {
    /// Handles a membership message.
    pub(super) fn on_membership_message(&mut self, envelope: &Envelope, message: MembershipMessage, now: Micros) {
        let from = envelope.from;
        match message {
            MembershipMessage::Bootstrap { sender, version, vote, may_bootstrap } => {
                self.on_bootstrap(from, BootstrapAnnouncement { sender, version, vote, may_bootstrap }, now);
            }
            MembershipMessage::TakeoverRequest { voter_set } => self.on_takeover_request(from, voter_set, now),
            MembershipMessage::TakeoverReply { voter_set, is_complete, grants, registered } => {
                let reply = TakeoverReply { voter_set, is_complete, grants, registered };
                self.on_takeover_reply(from, reply, envelope.delay, now);
            }
            MembershipMessage::Register { voter_set, request_id, incarnations } => {
                self.on_register(from, voter_set, request_id, incarnations, now);
            }
            MembershipMessage::Registered { voter_set, request_id } => {
                self.on_registered(from, voter_set, request_id, now);
            }
            MembershipMessage::Ready { voter_set } => self.on_ready(from, voter_set),
        }
    }
}
