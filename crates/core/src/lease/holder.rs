//! The holder side of leases, on a core: the leases that it holds or requests, and the state that voters sent it.
//!
//! Guarantee: a holder treats a lease as valid only while a majority of the voters treats the lease as
//! granted. The validity starts when the request was sent, before any voter received it, and ends
//! [`HOLDER_MARGIN`] before the lease expires. A holder backs off after a rejection, and sends no other
//! request for a role while one awaits its replies.

use super::{HOLDER_MARGIN, LEASE_DURATION, RENEW_AFTER};
use crate::base::{MS, Micros, NodeId};
use crate::protocol::{RegisteredIncarnation, WindowGrant};
use std::collections::{BTreeMap, BTreeSet};

/// The time that a request awaits its replies before another one is sent, in microseconds.
const REQUEST_TIMEOUT: Micros = 300 * MS;

/// A request for a lease or a renewal, while it collects grants.
#[derive(Clone, Debug)]
pub struct PendingRequest {
    /// The ID of the request, which tells its replies from those to earlier requests.
    pub request_id: u64,
    /// When the request was sent, in microseconds; the duration of the lease counts from this time.
    pub sent_at: Micros,
    /// The voters that granted the request.
    pub granted_by: BTreeSet<NodeId>,
}

/// A voter's record of the grants of a window, and when this core received it.
#[derive(Clone, Debug)]
pub struct ReceivedGrant {
    /// When the record was received, in microseconds.
    pub received_at: Micros,
    /// The record, with the age of its window at `received_at`.
    pub grant: WindowGrant,
}

impl ReceivedGrant {
    /// Returns the record with the current age of its window.
    #[must_use]
    pub fn into_current(self, now: Micros) -> WindowGrant {
        self.grant.aged_by(now.saturating_sub(self.received_at))
    }
}

/// The state of one role on a core that holds, held or requests its lease.
#[derive(Clone, Debug, Default)]
pub struct HeldLease {
    /// The fencing token of the lease that is held or requested.
    pub epoch: u64,
    /// When the lease expires, in microseconds; 0 if it was never held.
    pub expires_at: Micros,
    /// The request that collects grants, if any.
    pub pending_request: Option<PendingRequest>,
    /// The end of the backoff, in microseconds: no request is sent before it.
    pub backoff_until: Micros,
    /// The highest epoch that a voter reported; the next new epoch must exceed it.
    pub highest_epoch: u64,
    /// The grants that the voters recorded, collected until the lease is granted.
    pub inherited_grants: Vec<ReceivedGrant>,
    /// The incarnations that the voters registered, collected until the lease is granted.
    pub registered: Vec<RegisteredIncarnation>,
    /// True while the epoch is requested and not yet granted by a majority.
    pub is_new_epoch: bool,
    /// True if no voter of the majority knows of an earlier holder, which proves that there was none.
    pub has_no_predecessor: bool,
    /// True once a majority has renewed the lease, so that every later holder learns that it has a predecessor.
    /// Shares of rates are granted only from then on.
    pub is_renewed: bool,
}

/// The state of all roles on a core.
#[derive(Clone, Debug, Default)]
pub struct HeldLeases {
    /// The state of each role that this core has ever requested.
    pub by_role: BTreeMap<u32, HeldLease>,
    /// The ID of the latest request. Invariant: never decreases within an incarnation.
    pub last_request_id: u64,
    /// When the leases are next checked for due requests and renewals, in microseconds.
    pub renewal_due: Micros,
    /// The last known holder of each role.
    pub holder_hints: BTreeMap<u32, NodeId>,
}

impl HeldLease {
    /// Returns true if this core may act as the holder, which ends before the grantors treat the lease as expired.
    #[must_use]
    pub fn is_valid(&self, now: Micros) -> bool {
        self.expires_at > now + HOLDER_MARGIN
    }

    /// Extends the lease after a majority granted the request sent at `sent_at`.
    pub fn extend_from(&mut self, sent_at: Micros) {
        self.expires_at = self.expires_at.max(sent_at + LEASE_DURATION);
    }

    /// Returns true if a request or a renewal should be sent now.
    pub(crate) fn is_request_due(&self, is_majority_unresponsive: bool, now: Micros) -> bool {
        let is_fresh = self.expires_at > now + LEASE_DURATION - RENEW_AFTER;
        let is_early = self.is_valid(now) && is_fresh && self.is_renewed;
        let pending_request = self.pending_request.as_ref();
        let awaits_replies = pending_request.is_some_and(|open| now.saturating_sub(open.sent_at) < REQUEST_TIMEOUT);
        // A node that receives no replies would block the others by retrying its requests for the role.
        let is_futile = is_majority_unresponsive && pending_request.is_some();
        !is_early && !awaits_replies && !is_futile && now >= self.backoff_until
    }

    /// Prepares the request for a new epoch above all known epochs; `highest_granted` is the highest epoch that
    /// this core granted as a voter.
    pub(crate) fn start_new_epoch(&mut self, highest_granted: u64) {
        self.epoch = self.epoch.max(self.highest_epoch).max(highest_granted) + 1;
        self.inherited_grants.clear();
        self.registered.clear();
        self.is_new_epoch = true;
        self.has_no_predecessor = true;
        self.is_renewed = false;
    }

    /// Records that a request was sent now, which replaces an earlier request.
    pub(crate) fn record_request(&mut self, request_id: u64, now: Micros) {
        self.pending_request = Some(PendingRequest { request_id, sent_at: now, granted_by: BTreeSet::new() });
    }

    /// Returns the open request, if a reply with this request ID and epoch belongs to it.
    pub(crate) fn matching_request(&mut self, request_id: u64, epoch: u64) -> Option<&mut PendingRequest> {
        let is_same_epoch = self.epoch == epoch;
        self.pending_request.as_mut().filter(|open| open.request_id == request_id && is_same_epoch)
    }
}

impl HeldLeases {
    /// Returns the epoch of this core's lease of a role, if the lease is valid now.
    #[must_use]
    pub fn valid_epoch(&self, role: u32, now: Micros) -> Option<u64> {
        self.by_role.get(&role).filter(|lease| lease.is_valid(now)).map(|lease| lease.epoch)
    }
}
