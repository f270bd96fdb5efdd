//! Quotas over all nodes together: slices of windows and shares of rates.
//!
//! [`windows`] grants units of counting windows; a grant is on the disks of a majority of voters before the
//! node receives it. [`shares`] lends shares of rates, which expire by time and are on no disk; [`standby`]
//! lends units of them while the lease holder does not answer. This module holds the parts in common: finding
//! the lease holder, failover to the next voter after a time-out, and fencing.

mod shares;
mod standby;
mod windows;

pub(in crate::node) use shares::ShareRequests;

use super::{Envelope, Node};
use crate::base::{Micros, NodeId};
use crate::config::CompiledConfig;
use crate::consensus::DurableState;
use crate::protocol::{Message, QuotaMessage, WindowGrant};
use crate::quota::{SharePools, TenantQuotas, WindowLedger};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The quota state of a node: as a lease holder, as a voter, and for its own calls.
#[derive(Clone, Debug)]
pub struct Quota {
    /// As a lease holder: the units granted of each tenant's window.
    pub window_ledger: WindowLedger,
    /// As a lease holder: the shares lent of each tenant's rate.
    pub share_pools: SharePools,
    /// For its own calls: the slices and shares that the data plane takes units from.
    pub slices: Arc<TenantQuotas>,
    /// Whether an earlier process of this core, under the same identifier, may have been granted units.
    pub(in crate::node) has_earlier_process: bool,
    /// As a voter: the grants that are on its disk or are being written to it.
    pub(in crate::node) grants: BTreeMap<(String, NodeId), WindowGrant>,
    /// The newest window of each tenant with a grant.
    pub(in crate::node) windows: BTreeMap<String, windows::NewestWindow>,
    /// This node's newest request for a slice of each tenant's window, by tenant.
    pub(in crate::node) slice_requests: BTreeMap<String, windows::PendingSliceRequest>,
    /// As a lease holder: the grants that are not yet on a majority's disks, by the identifier of the request to
    /// the voters.
    pub(in crate::node) pending_grants: BTreeMap<u64, windows::PendingGrants>,
    /// For its own calls: the requests for shares, and the known lease holders.
    pub(in crate::node) share_client: shares::ShareClient,
    /// The requests for loans of standbys, and the roles that this node is the standby of.
    pub(in crate::node) standby: standby::StandbyLending,
}

impl Quota {
    /// Creates the state after a start from the durable state and the configuration that is in force.
    pub(super) fn new(durable: &DurableState, config: &CompiledConfig, now: Micros) -> Self {
        let slices = Arc::<TenantQuotas>::default();
        slices.rates.apply_config(config, now);
        let newest_window = |grant: &WindowGrant| {
            (grant.tenant.clone(), windows::NewestWindow { number: grant.window, started_at: now })
        };
        Quota {
            window_ledger: WindowLedger::default(),
            share_pools: SharePools::default(),
            slices,
            has_earlier_process: !durable.entries.is_empty(),
            grants: durable.grants.clone(),
            windows: durable.grants.values().map(newest_window).collect(),
            slice_requests: BTreeMap::new(),
            pending_grants: BTreeMap::new(),
            share_client: shares::ShareClient::default(),
            standby: standby::StandbyLending::default(),
        }
    }
}

impl Node {
    /// Handles a message about quotas.
    pub(super) fn on_quota_message(&mut self, envelope: &Envelope, message: QuotaMessage, now: Micros) {
        let from = envelope.from;
        match message {
            QuotaMessage::ReplicateGrants { voter_set, role, epoch, request_id, grants } => {
                let batch = windows::GrantBatch { voter_set, role, epoch, request_id, grants };
                self.on_replicate_grants(from, batch, envelope.delay, now);
            }
            QuotaMessage::GrantsSynced { role, epoch, request_id } => {
                self.on_grants_synced(from, role, epoch, request_id, now);
            }
            QuotaMessage::SliceRequest { request_id, tenant, wanted_units, window, returned } => {
                self.on_slice_request(from, request_id, &tenant, wanted_units, (window, returned), now);
            }
            QuotaMessage::SliceGranted { request_id, tenant, window, granted_total, remaining, epoch } => {
                self.on_slice_granted(request_id, &tenant, window, granted_total, remaining, epoch);
            }
            QuotaMessage::WindowSpent { request_id, tenant, window, remaining } => {
                self.on_window_spent(request_id, &tenant, (window, remaining), envelope.delay, now);
            }
            QuotaMessage::NotLeaseHolder { request_id, tenant, holder } => {
                self.on_not_lease_holder(from, request_id, &tenant, holder, now);
            }
            QuotaMessage::RecallSlice { tenant, window, epoch } => {
                self.on_recall_slice(from, &tenant, window, epoch, now);
            }
            QuotaMessage::ReturnSlice { tenant, window, returned } => {
                self.on_return_slice(from, &tenant, window, returned, now);
            }
            QuotaMessage::ShareProbe { claims } => self.on_share_probe(from, &claims, now),
            QuotaMessage::ShareProbeReply { addr, claims, age } => {
                self.on_share_probe_reply(envelope.incarnation_of_sender(), &addr, &claims, age, now);
            }
            QuotaMessage::ShareRequests { request_id, requests, claims, idle_for } => {
                let batch = ShareRequests { request_id, requests, idle_for, claims };
                self.on_share_requests(envelope.incarnation_of_sender(), batch, now);
            }
            QuotaMessage::ShareGrants { request_id, grants, claims } => {
                self.on_share_grants(from, request_id, &grants, &claims, now);
            }
            QuotaMessage::LoanRequests { request_id, requests } => {
                self.on_loan_requests(from, request_id, &requests, now);
            }
            QuotaMessage::Loans { request_id, loans } => self.on_loans(from, request_id, &loans, now),
        }
    }

    fn send_quota(&mut self, to: NodeId, message: QuotaMessage, now: Micros) {
        self.send(to, Message::Quota(message), now);
    }

    fn live_node_count(&self, now: Micros) -> u64 {
        self.dissemination.peers.live(now).count() as u64
    }

    /// Returns the other node to which this node granted the lease of a role as a voter; the default id if it
    /// knows none.
    fn other_lease_holder(&self, role: u32, now: Micros) -> NodeId {
        let granted = self.leases.grantor.granted.get(&role);
        let other = granted.filter(|lease| lease.expires_at > now && lease.holder != self.settings.node_id);
        other.map(|lease| lease.holder).unwrap_or_default()
    }

    /// Returns the voter to send a request for a role to: `preferred` or else the last known lease holder, if
    /// that is still a voter, or else the voter that ranks first for the role.
    fn voter_to_request_from(&self, role: u32, preferred: Option<NodeId>) -> Option<NodeId> {
        let candidate = preferred.or_else(|| self.leases.held.holder_hints.get(&role).copied());
        let voter = candidate.filter(|node_id| self.consensus.state.is_voter(*node_id));
        voter.or_else(|| self.ranked_voters(role).first().copied())
    }

    /// Returns the voter after one that did not respond. The next voter knows the current lease holder.
    fn voter_after(&self, unresponsive: NodeId) -> Option<NodeId> {
        let voters = self.consensus.state.voters();
        let next = voters.iter().position(|voter| voter.node_id == unresponsive).map_or(0, |index| index + 1);
        voters.get(next % voters.len().max(1)).map(|voter| voter.node_id)
    }

    /// Returns whether a message belongs to a lease that a later one has fenced off, and counts the message
    /// if so.
    fn is_message_fenced(&mut self, role: u32, epoch: u64) -> bool {
        let is_fenced = self.leases.grantor.is_fenced(role, epoch);
        if is_fenced {
            self.counters.messages_fenced += 1;
        }
        is_fenced
    }
}
