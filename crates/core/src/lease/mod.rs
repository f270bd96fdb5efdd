//! Leases of the singleton roles: who may hand out the quotas of which tenants, and until when.
//!
//! Tenants are hashed onto [`ROLE_COUNT`] roles. A core holds a role for as long as a majority of the
//! voters granted it a lease (Gray and Cheriton, *Leases*, SOSP 1989). [`LeaseGrantor`] is a voter's side,
//! [`HeldLeases`] a holder's side; both are state only, without input or output.
//!
//! Guarantee: a role has at most one holder with a valid lease at a time. A voter grants a role to one
//! node until that lease has expired, any two majorities share a voter, and a holder counts its lease from
//! the moment when it *sent* the request and stops [`HOLDER_MARGIN`] earlier than the grantors, which count
//! from the moment when they received it. Each new lease has a higher epoch, which serves as the fencing
//! token of everything that its holder sends.

mod grantor;
mod holder;

pub use grantor::{GrantedLease, LeaseDecision, LeaseGrantor};
pub use holder::{HeldLease, HeldLeases, OpenRequest, ReceivedGrant};

use crate::base::{MS, Micros, Version, hash64};

/// How long a lease is valid from the moment when its holder requested it, in microseconds.
pub const LEASE_DURATION: Micros = 1_000 * MS;
/// How long before its lease expires a holder stops acting on it, in microseconds.
pub const HOLDER_MARGIN: Micros = 150 * MS;
/// How long after the last successful request a holder renews its lease, in microseconds.
pub const RENEW_AFTER: Micros = 350 * MS;
/// The number of singleton roles, over which tenants are spread by hash.
pub const ROLE_COUNT: u32 = 8;

/// Each set of voters has room for two to the power of this many epochs.
const EPOCH_BITS: u32 = 24;

/// A number below all epochs of a set of voters and above those of all sets before it, so that a set
/// that knows nothing of the earlier ones is not taken for older than they are.
#[must_use]
pub fn epoch_base(voter_set: Version) -> u64 {
    voter_set << EPOCH_BITS
}

/// The role whose holder hands out the quota of a tenant.
#[must_use]
pub fn quota_role(tenant: &str) -> u32 {
    u32::try_from(hash64(tenant.as_bytes()) % u64::from(ROLE_COUNT)).unwrap_or(0)
}
