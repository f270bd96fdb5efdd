//! Terms of duties: who may hand out the quotas of some tenants, and until when.

mod grantor;
mod holder;

pub use grantor::{LeaseDecision, LeaseGrantor};
pub use holder::{HeldLease, HeldLeases};

use crate::base::{MS, Micros, Version, hash64};

/// How long a term lasts from the moment that its holder asked for it.
pub const LEASE_DURATION: Micros = 1_000 * MS;
/// A holder stops this long before its term ends.
pub const HOLDER_MARGIN: Micros = 150 * MS;
/// A term is renewed so long after it was asked for.
pub const RENEW_AFTER: Micros = 350 * MS;
/// Tenants are spread over so many duties.
pub const ROLE_COUNT: u32 = 8;

/// Below the epochs of a set of voters and above those of all sets before it, so that a set
/// that knows nothing of the ones before it is not taken for older than they are.
pub fn epoch_base(set: Version) -> u64 {
    set << EPOCHS
}

/// A set has room for two to the power of so many epochs.
const EPOCHS: u32 = 24;

/// The duty that the quota of a tenant falls under.
pub fn quota_role(tenant: &str) -> u32 {
    u32::try_from(hash64(tenant.as_bytes()) % u64::from(ROLE_COUNT)).unwrap_or(0)
}
