//! Limits of tenants over all nodes: windows lent in slices, rates lent in shares.

mod rates;
mod share_bucket;
mod share_pool;
mod slices;
mod window_ledger;

pub use rates::{RateShares, tenant_key};
pub use share_bucket::{AGAIN, FULL_SHARE, LOAN_DURATION, SHARE_LEASE, ShareBucket, UNIT};
pub use share_pool::{SharePool, SharePools};
pub use slices::{TakeOutcome, WindowSlices};
pub use window_ledger::{LedgerAction, SliceRequest, WindowLedger};
