//! A voter's side of leases: whom it granted which role, and what it must not grant yet.
//!
//! Guarantee: a voter never has two unexpired grants of one role for different nodes, and never grants a
//! new lease with an epoch that it granted or observed before. After a start it grants no new lease until
//! those of its earlier incarnation have expired, as it keeps epochs on its disk but no expiry times.

use super::LEASE_DURATION;
use crate::base::{MS, Micros, NodeId};
use std::collections::{BTreeMap, BTreeSet};

/// The longest back-off that a voter demands because of a fence, in microseconds: a fence may be lifted
/// before its time.
const MAX_FENCE_BACKOFF: Micros = 50 * MS;

/// A lease of a role as a voter granted it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantedLease {
    /// The node that holds the role.
    pub holder: NodeId,
    /// The fencing token of the lease.
    pub epoch: u64,
    /// When the lease expires by this voter's clock, in microseconds.
    pub expires_at: Micros,
}

impl GrantedLease {
    fn new(holder: NodeId, epoch: u64, now: Micros) -> GrantedLease {
        GrantedLease { holder, epoch, expires_at: now + LEASE_DURATION }
    }
}

/// The leases that a voter granted, by role.
#[derive(Clone, Debug, Default)]
pub struct LeaseGrantor {
    /// The start-up fence: no new lease of any role is granted before this time, in microseconds. Until
    /// then leases that an earlier incarnation of this voter granted may be valid.
    pub fence_until: Micros,
    /// Fences of single roles, which hold also once the start-up fence was lifted: windows that an earlier
    /// incarnation of this voter recorded may still be open. How far they had progressed at its start is
    /// not on its disk, so their age counts from the start only.
    pub role_fences: BTreeMap<u32, Micros>,
    /// Until this time leases of an earlier set of voters may be valid of which this voter knows nothing,
    /// so it does not vote for a new one.
    pub earlier_sets_until: Micros,
    /// The latest lease granted of each role in this incarnation, expired ones included.
    pub granted: BTreeMap<u32, GrantedLease>,
    /// The highest epoch of each role that was granted or observed here. Invariant: never decreases, and
    /// is synced to the disk before a grant of a new epoch is sent.
    pub epochs: BTreeMap<u32, u64>,
    /// Roles that somebody may have held before: those granted in an earlier incarnation of this voter,
    /// and those whose lease was renewed here.
    pub previously_held: BTreeSet<u32>,
}

/// A voter's decision on a request for a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseDecision {
    /// The lease is granted.
    Granted {
        /// Whether the epoch is new to this voter and must be on its disk before the grant is sent.
        is_new_epoch: bool,
    },
    /// The lease is not granted.
    Rejected {
        /// The highest epoch of the role that this voter knows of, or 0.
        epoch: u64,
        /// Who holds the role; the default ID where nobody is known to.
        holder: NodeId,
        /// How long until a request may succeed, in microseconds; 0 if it may at once with another epoch.
        remaining: Micros,
    },
}

impl LeaseGrantor {
    /// Decides on a request. `is_new_epoch` requests an epoch that nobody held before; without it a holder
    /// renews its own.
    pub fn request(&mut self, role: u32, from: NodeId, epoch: u64, is_new_epoch: bool, now: Micros) -> LeaseDecision {
        let highest = self.epochs.get(&role).copied().unwrap_or(0);
        let reject = |holder, remaining| LeaseDecision::Rejected { epoch: highest, holder, remaining };
        if let Some(GrantedLease { holder, expires_at, .. }) = self.granted.get(&role).copied()
            && expires_at > now
            && holder != from
        {
            return reject(holder, expires_at - now);
        }
        // Only the winner of an epoch renews it, so a voter that lost its entry can trust the request.
        if !is_new_epoch && epoch >= highest {
            self.previously_held.insert(role);
            self.grant(role, from, epoch, now);
            return LeaseDecision::Granted { is_new_epoch: epoch > highest };
        }
        let fence = self.fence_until.max(self.role_fences.get(&role).copied().unwrap_or(0));
        if now < fence {
            return reject(NodeId::default(), (fence - now).min(MAX_FENCE_BACKOFF));
        }
        if !is_new_epoch || epoch <= highest {
            return reject(NodeId::default(), 0);
        }
        self.grant(role, from, epoch, now);
        LeaseDecision::Granted { is_new_epoch: true }
    }

    fn grant(&mut self, role: u32, holder: NodeId, epoch: u64, now: Micros) {
        self.epochs.insert(role, epoch);
        self.granted.insert(role, GrantedLease::new(holder, epoch, now));
    }

    /// Whether a message of a holder of this epoch must be rejected, as a newer epoch was granted.
    #[must_use]
    pub fn is_fenced(&self, role: u32, epoch: u64) -> bool {
        self.epochs.get(&role).is_some_and(|highest| *highest > epoch)
    }

    /// Records that some node holds this epoch of a role.
    pub fn observe_epoch(&mut self, role: u32, epoch: u64) {
        let highest = self.epochs.entry(role).or_insert(0);
        *highest = (*highest).max(epoch);
    }
}
