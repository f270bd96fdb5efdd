//! The grantor side of leases, on a voter: the leases that it granted, and the fences that forbid new ones.
//!
//! Guarantee: a voter never has two unexpired grants of one role for different nodes, and never grants a
//! new lease with an epoch that it granted or observed before. After a start a voter grants no new lease until
//! those of its earlier incarnation have expired, because its disk holds epochs but no expiry times.

use super::LEASE_DURATION;
use crate::base::{MS, Micros, NodeId};
use std::collections::{BTreeMap, BTreeSet};

/// The longest backoff that a voter demands because of a fence, in microseconds: a fence may be lifted
/// early.
const MAX_FENCE_BACKOFF: Micros = 50 * MS;

/// The lease of a role as a voter granted it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantedLease {
    /// The node that holds the role.
    pub holder: NodeId,
    /// The fencing token of the lease.
    pub epoch: u64,
    /// When the lease expires, in microseconds of this voter's clock.
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
    /// The end of the start-up fence, in microseconds of this voter's clock: no new lease of any role is
    /// granted before it, as leases that an earlier incarnation of this voter granted may still be valid.
    pub startup_fence_until: Micros,
    /// The ends of the fences of single roles, in microseconds of this voter's clock. A role's fence outlasts a
    /// start-up fence that is lifted early: quota windows that an earlier incarnation of this voter recorded
    /// may still be open. The disk does not hold the age of these windows, so their age counts from this
    /// voter's start.
    pub role_fences: BTreeMap<u32, Micros>,
    /// The end of the fence for earlier sets of voters, in microseconds of this voter's clock: leases that an
    /// earlier set granted without this voter's knowledge may be valid until then, so this voter grants no
    /// new one.
    pub earlier_sets_fence_until: Micros,
    /// The latest lease of each role that this incarnation granted, including expired leases.
    pub granted: BTreeMap<u32, GrantedLease>,
    /// The highest epoch of each role that this voter granted or observed. Invariant: never decreases, and
    /// is synced to the disk before a grant of a new epoch is sent.
    pub epochs: BTreeMap<u32, u64>,
    /// The roles that may have had an earlier holder: those granted by an earlier incarnation of this voter,
    /// and those whose lease this voter renewed.
    pub previously_held: BTreeSet<u32>,
}

/// A voter's decision on a request for a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseDecision {
    /// The lease is granted.
    Granted {
        /// True if the epoch is new to this voter and must be on its disk before the grant is sent.
        is_new_epoch: bool,
    },
    /// The lease is not granted.
    Rejected {
        /// The highest epoch of the role that this voter knows of, or 0.
        epoch: u64,
        /// The holder of the role; the default ID if none is known.
        holder: NodeId,
        /// The time until a request may succeed, in microseconds; 0 if a request with another epoch may succeed at
        /// once.
        remaining: Micros,
    },
}

impl LeaseGrantor {
    /// Decides on a request for a lease: for a new epoch that nobody held before if `is_new_epoch` is true, and
    /// for the renewal of the sender's own epoch otherwise.
    pub fn request(&mut self, role: u32, from: NodeId, epoch: u64, is_new_epoch: bool, now: Micros) -> LeaseDecision {
        let highest = self.epochs.get(&role).copied().unwrap_or(0);
        let reject = |holder, remaining| LeaseDecision::Rejected { epoch: highest, holder, remaining };
        if let Some(GrantedLease { holder, expires_at, .. }) = self.granted.get(&role).copied()
            && expires_at > now
            && holder != from
        {
            return reject(holder, expires_at - now);
        }
        // Only the holder of an epoch renews it, so a voter without a record of the lease can trust the request.
        if !is_new_epoch && epoch >= highest {
            self.previously_held.insert(role);
            self.grant(role, from, epoch, now);
            return LeaseDecision::Granted { is_new_epoch: epoch > highest };
        }
        let fence = self.startup_fence_until.max(self.role_fences.get(&role).copied().unwrap_or(0));
        if now < fence {
            return reject(NodeId::default(), (fence - now).min(MAX_FENCE_BACKOFF));
        }
        if !is_new_epoch || epoch <= highest {
            return reject(NodeId::default(), 0);
        }
        self.grant(role, from, epoch, now);
        LeaseDecision::Granted { is_new_epoch: true }
    }

    /// Records a grant and its epoch.
    fn grant(&mut self, role: u32, holder: NodeId, epoch: u64, now: Micros) {
        self.epochs.insert(role, epoch);
        self.granted.insert(role, GrantedLease::new(holder, epoch, now));
    }

    /// Returns true if a message from the holder of this epoch must be rejected because a newer epoch was granted.
    #[must_use]
    pub fn is_fenced(&self, role: u32, epoch: u64) -> bool {
        self.epochs.get(&role).is_some_and(|highest| *highest > epoch)
    }

    /// Records that a node holds this epoch of a role.
    pub fn observe_epoch(&mut self, role: u32, epoch: u64) {
        let highest = self.epochs.entry(role).or_insert(0);
        *highest = (*highest).max(epoch);
    }
}
