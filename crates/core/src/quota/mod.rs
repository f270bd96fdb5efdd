//! Limits of tenants over all nodes: slices of counting windows, and shares of rates.
//!
//! A node serves its calls from units that it already holds, without sending a message. A window's units are
//! granted by the lease holder ([`WindowLedger`]) to the nodes' slices ([`TenantQuotas`]); a rate is lent by the
//! lease holder ([`SharePools`]) as shares to the nodes' token buckets ([`RateShares`]). For windows and for
//! rates, the sum over all nodes never exceeds the limit, also across a change of the lease holder.

mod rates;
mod share_bucket;
mod share_pool;
mod slices;
mod window_ledger;

pub use rates::{RateShares, tenant_key};
pub use share_bucket::{
    FULL_SHARE, HEDGE_DELAY, LOAN_DURATION, RESERVE_REQUEST_MARKER, RESPONSE_TIMEOUT, SHARE_LEASE, ShareBucket,
};
pub use share_pool::{Requester, STANDBY_SHARE, SharePool, SharePools, SharePurpose};
pub use slices::{AcquireOutcome, TenantQuotas};
pub use window_ledger::{LedgerAction, SliceRequest, WindowLedger};
