//! Quotas over all nodes together: slices of windows and shares of rates.
//!
//! [`windows`] grants units of counting windows, which are on a majority's disks before they are given out.
//! [`shares`] lends shares of rates, which end by time.

mod shares;
mod windows;

pub(in crate::node) use shares::ShareRequests;

use super::{Envelope, Node};
use crate::base::{Micros, NodeId};
use crate::config::CompiledConfig;
use crate::consensus::DurableState;
use crate::protocol::{QuotaMessage, WindowGrant};
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

impl Node {
    /// Handles a message about quotas.
    pub(super) fn on_quota_message(&mut self, envelope: &Envelope, message: QuotaMessage, now: Micros) {
        let by = envelope.from;
        match message {
            QuotaMessage::ReplicateGrants { voter_set: set, role: duty, epoch, request_id: n, grants: rows } => {
                self.on_replicate_grants(by, set, duty, epoch, n, rows, envelope.delay, now)
            }
            QuotaMessage::GrantsSynced { role: duty, epoch, request_id: n } => {
                self.on_grants_synced(by, duty, epoch, n, now)
            }
            QuotaMessage::SliceRequest { request_id: n, tenant, wanted_units: want, window, returned } => {
                self.on_slice_request(by, n, &tenant, want, (window, returned), now)
            }
            QuotaMessage::SliceGranted { request_id: n, tenant, window, granted_total, remaining: left, epoch } => {
                self.on_slice_granted(n, &tenant, window, granted_total, left, epoch)
            }
            QuotaMessage::WindowSpent { request_id: n, tenant, window, remaining: left } => {
                self.on_window_spent(n, &tenant, (window, left), envelope.delay, now)
            }
            QuotaMessage::NotLeaseHolder { request_id: n, tenant, holder } => {
                self.on_not_lease_holder(by, n, &tenant, holder, now)
            }
            QuotaMessage::RecallSlice { tenant, window, epoch } => {
                self.on_recall_slice(by, &tenant, window, epoch, now)
            }
            QuotaMessage::ReturnSlice { tenant, window, returned } => {
                self.on_return_slice(by, &tenant, window, returned, now)
            }
            QuotaMessage::ShareProbe { claims: marks } => self.on_share_probe(by, &marks, now),
            QuotaMessage::ShareProbeReply { addr, claims: marks, age } => {
                self.on_share_probe_reply(envelope.incarnation_of_sender(), &addr, &marks, age, now)
            }
            QuotaMessage::ShareRequests { request_id: n, requests: rows, claims: marks, idle_for: idle } => {
                self.on_share_requests(envelope.incarnation_of_sender(), ShareRequests { n, rows, idle, marks }, now)
            }
            QuotaMessage::ShareGrants { request_id: n, grants: rows, claims: marks } => {
                self.on_share_grants(by, n, &rows, &marks, now)
            }
        }
    }
}
