//! Quotas over all nodes together: slices of windows and shares of rates.
//!
//! [`windows`] grants units of counting windows, which are on a majority's disks before they are given out.
//! [`shares`] lends shares of rates, which end by time.

mod shares;
mod windows;

pub(in crate::node) use shares::ShareRequests;

use crate::base::{Micros, NodeId};
use crate::config::CompiledConfig;
use crate::consensus::DurableState;
use crate::protocol::WindowGrant;
use crate::quota::{SharePools, WindowLedger, WindowSlices};
use std::collections::BTreeMap;
use std::sync::Arc;

/// What a node keeps for quotas: as a lease holder, as a voter, and for its own calls.
#[derive(Clone, Debug)]
pub struct Quota {
    /// As a lease holder: what it granted of each tenant's window.
    pub window_ledger: WindowLedger,
    /// As a lease holder: what it lent of each tenant's rate.
    pub share_pools: SharePools,
    /// For its own calls: the units and shares at hand, which the data plane takes from.
    pub slices: Arc<WindowSlices>,
    /// As a voter: the grants that are on its disk, or on the way there.
    pub(in crate::node) grants: BTreeMap<(String, NodeId), WindowGrant>,
    /// The newest window of each tenant with a grant, and when it began as far as this node knows.
    pub(in crate::node) windows: BTreeMap<String, (u64, Micros)>,
    /// Requests for slices that the lease holder has not answered, by tenant.
    pub(in crate::node) slice_requests: BTreeMap<String, windows::PendingSliceRequest>,
    /// As a lease holder: grants that are not yet on a majority's disks, by their number.
    pub(in crate::node) pending_grants: BTreeMap<u64, windows::PendingGrants>,
    pub(in crate::node) share_client: shares::ShareClient,
}

impl Quota {
    /// The state after a start, by what the disk holds and the configuration that is in force.
    pub(super) fn new(durable: &DurableState, config: &CompiledConfig, now: Micros) -> Self {
        let slices = Arc::<WindowSlices>::default();
        slices.rates.apply_plan(config, now);
        Quota {
            window_ledger: WindowLedger::default(),
            share_pools: SharePools::default(),
            slices,
            grants: durable.grants.clone(),
            windows: durable.grants.values().map(|g| (g.tenant.clone(), (g.window, now))).collect(),
            slice_requests: BTreeMap::new(),
            pending_grants: BTreeMap::new(),
            share_client: shares::ShareClient::default(),
        }
    }
}
