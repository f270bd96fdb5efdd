//! A holder's side of leases: what it holds, what it requested, and what it learned from its voters.
//!
//! Guarantee: a lease counts as valid here only while a majority of the voters counts it as granted. Its
//! validity starts when the request was sent, before any voter received it, and ends [`HOLDER_MARGIN`]
//! before it expires. A holder backs off after a rejection, and sends nothing more while a request
//! awaits its replies.

use super::{HOLDER_MARGIN, LEASE_DURATION, RENEW_AFTER};
use crate::base::{MS, Micros, NodeId};
use crate::protocol::{RegisteredIncarnation, WindowGrant};
use std::collections::{BTreeMap, BTreeSet};

/// How long a request awaits its replies before another one is sent, in microseconds.
const REQUEST_TIMEOUT: Micros = 300 * MS;

/// A request for a lease that no majority has granted yet.
#[derive(Clone, Debug)]
pub struct OpenRequest {
    /// Identifies the request, so that replies to earlier ones don't count.
    pub request_id: u64,
    /// When it was sent, in microseconds; the lease is valid from then on.
    pub sent_at: Micros,
    /// The voters that granted it.
    pub granted_by: BTreeSet<NodeId>,
}

/// A record of what was granted of a window, and when it was received here.
#[derive(Clone, Debug)]
pub struct ReceivedGrant {
    /// When the record was received, in microseconds.
    pub received_at: Micros,
    /// The record, with the age that its window had then.
    pub grant: WindowGrant,
}

impl ReceivedGrant {
    /// The record with the age that its window has now.
    #[must_use]
    pub fn into_current(self, now: Micros) -> WindowGrant {
        self.grant.aged_by(now.saturating_sub(self.received_at))
    }
}

/// The state of one role at a core that holds it, held it or requests it.
#[derive(Clone, Debug, Default)]
pub struct HeldLease {
    /// The fencing token of the lease that is held or requested.
    pub epoch: u64,
    /// When the lease expires, in microseconds; 0 if it was never held.
    pub expires_at: Micros,
    /// The request that awaits grants, if any.
    pub open_request: Option<OpenRequest>,
    /// No request is sent before this time, in microseconds.
    pub backoff_until: Micros,
    /// The highest epoch that a voter reported; the next new one must exceed it.
    pub highest_epoch: u64,
    /// What the voters recorded as granted, collected until the lease is won.
    pub inherited_grants: Vec<ReceivedGrant>,
    /// The incarnations that the voters registered, collected until the lease is won.
    pub registered: Vec<RegisteredIncarnation>,
    /// Whether the epoch is requested but not won yet.
    pub is_new_epoch: bool,
    /// Whether no voter of the majority knows of an earlier holder, so that there was none.
    pub has_no_predecessor: bool,
    /// Whether a majority has renewed the lease, so that no later holder takes itself for the first.
    /// Shares of rates are granted only from then on.
    pub is_renewed: bool,
}

/// The state of all roles at a core.
#[derive(Clone, Debug, Default)]
pub struct HeldLeases {
    /// The roles that this core has requested at any time.
    pub by_role: BTreeMap<u32, HeldLease>,
    /// The ID of the latest request. Invariant: never decreases within an incarnation.
    pub last_request_id: u64,
    /// When the leases are next considered for a request or renewal, in microseconds.
    pub renewal_due: Micros,
    /// The last known holder of each role.
    pub holder_hints: BTreeMap<u32, NodeId>,
}

impl HeldLease {
    /// Whether this core may act as the holder. It stops before the grantors count the lease as expired.
    #[must_use]
    pub fn is_valid(&self, now: Micros) -> bool {
        self.expires_at > now + HOLDER_MARGIN
    }

    /// Extends the lease after a majority granted the request that was sent at this time.
    pub fn extend_from(&mut self, sent_at: Micros) {
        self.expires_at = self.expires_at.max(sent_at + LEASE_DURATION);
    }

    /// Whether a request or a renewal should be sent now.
    pub(crate) fn is_request_due(&self, is_majority_silent: bool, now: Micros) -> bool {
        let is_fresh = self.expires_at > now + LEASE_DURATION - RENEW_AFTER;
        let is_early = self.is_valid(now) && is_fresh && self.is_renewed;
        let open_request = self.open_request.as_ref();
        let awaits_replies = open_request.is_some_and(|open| now.saturating_sub(open.sent_at) < REQUEST_TIMEOUT);
        // A node that receives no replies would block the others by requesting the role again and again.
        let is_futile = is_majority_silent && open_request.is_some();
        !is_early && !awaits_replies && !is_futile && now >= self.backoff_until
    }

    /// Prepares to request a new epoch above all known ones; `highest_granted` is the highest that this
    /// core granted as a voter.
    pub(crate) fn start_new_epoch(&mut self, highest_granted: u64) {
        self.epoch = self.epoch.max(self.highest_epoch).max(highest_granted) + 1;
        self.inherited_grants.clear();
        self.registered.clear();
        self.is_new_epoch = true;
        self.has_no_predecessor = true;
        self.is_renewed = false;
    }

    /// Records that a request was sent now; it replaces an earlier one.
    pub(crate) fn record_request(&mut self, request_id: u64, now: Micros) {
        self.open_request = Some(OpenRequest { request_id, sent_at: now, granted_by: BTreeSet::new() });
    }

    /// The open request, if a reply with this request ID and epoch belongs to it.
    pub(crate) fn matching_request(&mut self, request_id: u64, epoch: u64) -> Option<&mut OpenRequest> {
        let is_same_epoch = self.epoch == epoch;
        self.open_request.as_mut().filter(|open| open.request_id == request_id && is_same_epoch)
    }
}

impl HeldLeases {
    /// The epoch under which this core holds a role now, if it does.
    #[must_use]
    pub fn valid_epoch(&self, role: u32, now: Micros) -> Option<u64> {
        self.by_role.get(&role).filter(|lease| lease.is_valid(now)).map(|lease| lease.epoch)
    }
}
