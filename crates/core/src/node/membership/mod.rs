//! Who votes: the bootstrap of a fleet, changes of the set of voters, and the hand-over between sets.
//!
//! [`bootstrap`] founds the fleet, [`voters`] proposes a replacement for each voter that fails, leaves or
//! was replaced, [`takeover`] lets a changed set of voters take over what the set before it granted, and
//! [`registrations`] keeps the incarnations of nodes that may hold shares of rates on the voters' disks.

mod bootstrap;
mod registrations;
pub(in crate::node) mod takeover;
pub mod voters;

use super::{Envelope, Node};
use crate::base::{Micros, Version};
use crate::consensus::DurableState;
use crate::protocol::MembershipMessage;
use std::collections::BTreeMap;

/// What a node keeps for the set of voters.
#[derive(Clone, Debug)]
pub struct Membership {
    /// The newest set of voters whose predecessor's grants this node took over.
    pub(in crate::node) ready_set: Option<Version>,
    /// The same, once it is synced to the disk: only then is it reported to others.
    pub(in crate::node) synced_ready_set: Option<Version>,
    /// The change of voters that is due, if any.
    pub(in crate::node) planned_change: Option<voters::PlannedChange>,
    pub(in crate::node) takeover: takeover::Takeover,
    /// What the seeds said while there is no version yet, by address.
    pub(in crate::node) bootstrap_peers: BTreeMap<String, bootstrap::BootstrapPeer>,
    /// When the seeds are to be told next of this node's bootstrap vote.
    pub(in crate::node) bootstrap_due: Micros,
    pub(in crate::node) registrations: registrations::Registrations,
}

impl Membership {
    /// The state after a start, by what the disk holds.
    pub(super) fn new(durable: &DurableState, now: Micros) -> Self {
        Membership {
            ready_set: durable.ready_set,
            synced_ready_set: durable.ready_set,
            planned_change: None,
            takeover: takeover::Takeover::default(),
            bootstrap_peers: BTreeMap::new(),
            bootstrap_due: 0,
            registrations: registrations::Registrations::new(durable, now),
        }
    }
}

impl Node {
    /// Handles a message about the set of voters.
    pub(super) fn on_membership_message(&mut self, envelope: &Envelope, message: MembershipMessage, now: Micros) {
        let by = envelope.from;
        match message {
            MembershipMessage::Bootstrap { sender: me, version, vote: pledge, may_bootstrap: first } => {
                self.on_bootstrap(by, me, version, (pledge, first), now)
            }
            MembershipMessage::TakeoverRequest { voter_set: set } => self.on_takeover_request(by, set, now),
            MembershipMessage::TakeoverReply { voter_set: set, is_complete: full, grants: rows, registered: lives } => {
                self.on_takeover_reply(by, set, full, (rows, lives), envelope.delay, now);
            }
            MembershipMessage::Register { voter_set: set, request_id: n, incarnations: rows } => {
                self.on_register(by, set, n, rows, now)
            }
            MembershipMessage::Registered { voter_set: set, request_id: n } => self.on_registered(by, set, n, now),
            MembershipMessage::Ready { voter_set: set } => self.on_ready(by, set),
        }
    }
}
