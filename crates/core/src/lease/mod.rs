//! Leases of the singleton roles: which core grants the quotas of which tenants, and until when.
//!
//! Tenants are hashed onto [`ROLE_COUNT`] roles. A core holds a role for as long as a majority of the
//! voters granted it a lease (Gray and Cheriton, *Leases*, SOSP 1989). [`LeaseGrantor`] is the side of a voter,
//! [`HeldLeases`] that of a holder; both are state without input or output.
//!
//! Guarantee: a role has at most one holder with a valid lease at a time. A voter grants a role to one
//! node until that lease has expired, and any two majorities share a voter. A holder measures its lease from
//! the moment when it *sent* the request and stops [`HOLDER_MARGIN`] before the end; the grantors measure it
//! from the moment when they received the request. Each new lease has a higher epoch, the fencing token of
//! every message that the holder sends in this role.

mod grantor;
mod holder;

pub use grantor::{GrantedLease, LeaseDecision, LeaseGrantor};
pub use holder::{HeldLease, HeldLeases, PendingRequest, ReceivedGrant};

use crate::base::{MS, Micros, Version, hash64};

/// The duration of a lease from the moment when its holder requested it, in microseconds.
pub const LEASE_DURATION: Micros = 1_000 * MS;
/// The time before the end of its lease at which a holder stops acting on it, in microseconds.
pub const HOLDER_MARGIN: Micros = 150 * MS;
/// The time after the last successful request at which a holder renews its lease, in microseconds.
pub const RENEW_AFTER: Micros = 350 * MS;
/// The number of singleton roles, over which tenants are spread by hash.
pub const ROLE_COUNT: u32 = 8;

/// The bits of an epoch that number the epochs within one set of voters.
const EPOCH_BITS: u32 = 24;

/// Returns a number below all epochs of a set of voters and above those of all earlier sets. A set of voters
/// without knowledge of the earlier sets therefore never grants a lower epoch than they did.
#[must_use]
pub fn epoch_base(voter_set: Version) -> u64 {
    voter_set << EPOCH_BITS
}

/// Returns the role whose holder grants the quota of a tenant.
#[must_use]
pub fn quota_role(tenant: &str) -> u32 {
    u32::try_from(hash64(tenant.as_bytes()) % u64::from(ROLE_COUNT)).unwrap_or(0)
}
