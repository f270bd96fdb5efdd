//! Who votes: the bootstrap of a fleet, changes of the set of voters, and the hand-over between sets.
//!
//! [`bootstrap`] founds the fleet, [`voters`] proposes a replacement for each voter that fails, leaves or
//! was replaced, [`takeover`] lets a changed set of voters take over what the set before it granted, and
//! [`registrations`] keeps the incarnations of nodes that may hold shares of rates on the voters' disks.

mod bootstrap;
mod registrations;
pub(in crate::node) mod takeover;
pub mod voters;

use crate::base::{Micros, Version};
use crate::consensus::DurableState;
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
