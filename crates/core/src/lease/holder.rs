//! A holder's side of terms.

use super::{HOLDER_MARGIN, LEASE_DURATION};
use crate::base::{Micros, NodeId};
use crate::protocol::{RegisteredIncarnation, WindowGrant};
use std::collections::{BTreeMap, BTreeSet};

/// A core's standing with one duty.
#[derive(Clone, Debug, Default)]
pub struct HeldLease {
    pub epoch: u64,
    pub expires_at: Micros,
    pub open_request: Option<(u64, Micros, BTreeSet<NodeId>)>,
    pub backoff_until: Micros,
    /// The highest epoch heard of, to be outbid by the next new one.
    pub highest_epoch: u64,
    /// What voters know, gathered until the term is won, and when each was heard.
    pub inherited_grants: Vec<(Micros, WindowGrant)>,
    /// The lives that they registered.
    pub registered: Vec<RegisteredIncarnation>,
    pub is_new_epoch: bool,
    /// No voter of its majority knows of a holder before, so there was none.
    pub has_no_predecessor: bool,
    /// A majority renewed it, so that no later holder takes itself for the first. Shares of
    /// rates are given from then on.
    pub is_renewed: bool,
}

/// A core's standing with all duties.
#[derive(Clone, Debug, Default)]
pub struct HeldLeases {
    pub by_role: BTreeMap<u32, HeldLease>,
    pub last_request_id: u64,
    pub renewal_due: Micros,
    pub holder_hints: BTreeMap<u32, NodeId>,
}

impl HeldLease {
    /// The holder stops before the end that the grantors count.
    pub fn is_valid(&self, now: Micros) -> bool {
        self.expires_at > now + HOLDER_MARGIN
    }

    /// A majority granted the term that was asked for then.
    pub fn extend_from(&mut self, at: Micros) {
        self.expires_at = self.expires_at.max(at + LEASE_DURATION);
    }
}

impl HeldLeases {
    /// The epoch under which this duty is held here now.
    pub fn valid_epoch(&self, d: u32, now: Micros) -> Option<u64> {
        self.by_role.get(&d).filter(|h| h.is_valid(now)).map(|h| h.epoch)
    }
}
