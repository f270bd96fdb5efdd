//! Standby lending: a second lender for each role while the lease holder does not answer.
//!
//! The live voter that ranks first for a role after its lease holder is the role's *standby*. The standby requests
//! shares of that role's rates like any other node and is granted at least [`STANDBY_SHARE`]. Out of these shares
//! it lends units to nodes whose requests no lease holder granted within [`HEDGE_DELAY`], or whose lease holder had
//! no units. Therefore a tenant's calls go on until the lease of a lost holder has expired.
//!
//! Guarantees that standby lending adds no units: a loan is spent in the standby's own bucket before it is sent, is
//! accepted once, as the response to the request that it names, and is void [`LOAN_DURATION`] after that request
//! was sent. If nodes disagree about which node is the standby, their requests are granted nothing.
//!
//! [`STANDBY_SHARE`]: crate::quota::STANDBY_SHARE
//! [`HEDGE_DELAY`]: crate::quota::HEDGE_DELAY
//! [`LOAN_DURATION`]: crate::quota::LOAN_DURATION

use super::{Node, NodeId};
use crate::base::{MS, Micros, SEC};
use crate::lease::{ROLE_COUNT, quota_role};
use crate::node::Effect;
use crate::protocol::{Loan, LoanRequest, QuotaMessage};
use crate::quota::{LOAN_DURATION, tenant_key};
use std::collections::{BTreeMap, BTreeSet};

/// The time after a change of the set of voters, in microseconds, during which a former voter may hold shares that
/// it was granted as a standby: the leases under the former set end within 2.5 s, and the shares that they granted
/// one share lease later.
const FORMER_VOTERS_RETENTION: Micros = 10 * SEC;
/// The interval at which a voter determines the roles of which it is the standby, in microseconds.
const ROLES_INTERVAL: Micros = 100 * MS;

/// The loan requests in one message to a standby that has no response yet.
#[derive(Clone, Debug)]
struct PendingLoans {
    to: NodeId,
    sent_at: Micros,
    /// The tenants by the hash of their names.
    tenants: BTreeMap<u64, String>,
}

/// The standby lending state of a node.
#[derive(Clone, Debug, Default)]
pub(in crate::node) struct StandbyLending {
    /// As a voter: the roles of which this node is the standby, as determined at `roles_determined_at`.
    roles: BTreeSet<u32>,
    /// When `roles` was last determined, in microseconds.
    roles_determined_at: Micros,
    /// The lease holder of each role whose claim was accepted last.
    holders: BTreeMap<u32, NodeId>,
    /// The requests that no standby has answered, by the identifier of the message.
    pending: BTreeMap<u64, PendingLoans>,
}

impl StandbyLending {
    /// Records the lease holder of a role.
    pub fn record_holder(&mut self, role: u32, holder: NodeId) {
        self.holders.insert(role, holder);
    }
}

/// For its own calls.
impl Node {
    /// Returns whether another node is the standby of a role, so that calls may wait for its loans.
    pub(super) fn has_other_standby(&self, role: u32, now: Micros) -> bool {
        self.known_standby(role, now).is_some_and(|standby| standby != self.settings.node_id)
    }

    fn known_standby(&self, role: u32, now: Micros) -> Option<NodeId> {
        self.standby_of(role, *self.quota.standby.holders.get(&role)?, now)
    }

    /// Returns the standby of a role: the live voter that ranks first, except for the lease holder.
    pub(super) fn standby_of(&self, role: u32, holder: NodeId, now: Micros) -> Option<NodeId> {
        let peers = &self.dissemination.peers;
        let is_live = |voter: NodeId| voter == self.settings.node_id || peers.is_alive(voter, now);
        self.ranked_voters(role).into_iter().find(|voter| *voter != holder && is_live(*voter))
    }

    /// Requests loans for the calls that the lease holders do not serve, in one message to each standby.
    pub(super) fn request_loans(&mut self, now: Micros) {
        self.quota.standby.pending.retain(|_, pending| now < pending.sent_at + LOAN_DURATION);
        let mut by_standby: BTreeMap<NodeId, Vec<String>> = BTreeMap::new();
        for tenant in self.quota.slices.rates.due_loans(now) {
            let standby = self.known_standby(quota_role(&tenant), now);
            if let Some(standby) = standby.filter(|standby| *standby != self.settings.node_id) {
                by_standby.entry(standby).or_default().push(tenant);
            }
        }
        for (standby, tenants) in by_standby {
            self.send_loan_requests(standby, tenants, now);
        }
    }

    fn send_loan_requests(&mut self, to: NodeId, names: Vec<String>, now: Micros) {
        let request_id = self.next_request_id();
        let mut requests = Vec::new();
        let mut tenants = BTreeMap::new();
        for name in names {
            if let Some(request) = self.quota.slices.rates.make_loan_request(&name, now) {
                tenants.insert(request.tenant_key, name);
                requests.push(request);
            }
        }
        self.counters.loan_requests += 1;
        self.quota.standby.pending.insert(request_id, PendingLoans { to, sent_at: now, tenants });
        self.send_quota(to, QuotaMessage::LoanRequests { request_id, requests }, now);
    }

    /// Handles the standby's response: waiting calls use the lent units, or learn that there are none.
    pub(super) fn on_loans(&mut self, from: NodeId, request_id: u64, loans: &[Loan], now: Micros) {
        if self.quota.standby.pending.get(&request_id).is_none_or(|pending| pending.to != from) {
            return;
        }
        let Some(pending) = self.quota.standby.pending.remove(&request_id) else { return };
        let units_of = |key: u64| loans.iter().find(|loan| loan.tenant_key == key).map_or(0, |loan| loan.units);
        for (key, tenant) in pending.tenants {
            self.quota.slices.rates.apply_loan(&tenant, units_of(key), pending.sent_at, now);
            self.outbox.push(Effect::WakeTenant { tenant });
        }
    }
}

/// The lease holder's side.
impl Node {
    /// Returns the roles of which a node is the standby, if this node holds their leases.
    pub(super) fn roles_with_standby(&self, node: NodeId, now: Micros) -> BTreeSet<u32> {
        if !self.consensus.state.is_voter(node) {
            return BTreeSet::new();
        }
        let own_id = self.settings.node_id;
        (0..ROLE_COUNT).filter(|role| self.standby_of(*role, own_id, now) == Some(node)).collect()
    }

    /// Returns the nodes, with their addresses, that may be standbys of earlier lease holders: the voters and, for a
    /// while after the set of voters changed or after a start, all former voters.
    pub(in crate::node) fn possible_standbys(&self, now: Micros) -> BTreeMap<NodeId, String> {
        let state = &self.consensus.state;
        let mut voters: Vec<_> = state.voters().iter().collect();
        if now < self.membership.voters_changed_at + FORMER_VOTERS_RETENTION {
            voters.extend(state.history.values().flat_map(|entry| entry.voters.iter().chain(&entry.previous_voters)));
        }
        voters.into_iter().map(|voter| (voter.node_id, voter.addr.clone())).collect()
    }

    /// Lends units out of this node's own bucket that its pool lacks, such as those that this node held as the
    /// standby of the previous lease holder.
    pub(super) fn lend_own_units(
        &mut self,
        tenant: &str,
        missing_units: u32,
        smallest_call_units: u32,
        now: Micros,
    ) -> u32 {
        let request = LoanRequest { tenant_key: tenant_key(tenant), missing_units, smallest_call_units };
        if missing_units == 0 { 0 } else { self.quota.slices.rates.lend(tenant, &request, now) }
    }
}

/// The standby's side.
impl Node {
    /// Returns the roles of which this node is the standby: it holds shares of their rates although it
    /// receives no calls.
    pub(super) fn standby_roles(&mut self, now: Micros) -> BTreeSet<u32> {
        if now >= self.quota.standby.roles_determined_at + ROLES_INTERVAL {
            self.quota.standby.roles_determined_at = now;
            self.quota.standby.roles = (0..ROLE_COUNT).filter(|role| self.is_standby(*role, now)).collect();
        }
        self.quota.standby.roles.clone()
    }

    fn is_standby(&self, role: u32, now: Micros) -> bool {
        let holder = self.other_lease_holder(role, now);
        let is_held = holder != NodeId::default();
        is_held && !self.is_draining && self.standby_of(role, holder, now) == Some(self.settings.node_id)
    }

    /// Handles requests for loans: lends units out of this node's own buckets.
    pub(super) fn on_loan_requests(&mut self, from: NodeId, request_id: u64, requests: &[LoanRequest], now: Micros) {
        let rates = self.tenant_rates();
        let mut loans = Vec::new();
        for request in requests {
            let Some(rate) = rates.get(&request.tenant_key) else { continue };
            let units = self.quota.slices.rates.lend(&rate.tenant.name, request, now);
            self.counters.units_lent_as_standby += u64::from(units);
            loans.push(Loan { tenant_key: request.tenant_key, units });
        }
        self.send_quota(from, QuotaMessage::Loans { request_id, loans }, now);
    }
}
