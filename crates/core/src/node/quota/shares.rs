//! Shares of rates: requested by the nodes that use them, granted by the lease holders of their tenants' roles.
//!
//! Requests for the tenants of several roles go in one message to each lease holder. A request without a response
//! after [`RESPONSE_TIMEOUT`] is sent to the next voter, which knows the current lease holder. A node remembers
//! the fencing token of the newest lease of each role and ignores grants of an earlier lease; a lease holder that
//! learns of a later lease grants nothing.

use super::{Node, NodeId};
use crate::base::{Incarnation, MS, Micros, SEC, Version};
use crate::config::{QuotaLimit, Rate, Tenant};
use crate::lease::quota_role;
use crate::node::Effect;
use crate::protocol::{LeaseClaim, QuotaMessage, ShareGrant, ShareRequest};
use crate::quota::{RESERVE_REQUEST_MARKER, RESPONSE_TIMEOUT, Requester, SharePurpose, tenant_key};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// How long a request is remembered for a late response, in microseconds.
const REQUEST_RETENTION: Micros = 4 * SEC;
/// The interval at which a lease holder drops expired shares, in microseconds.
const EXPIRY_INTERVAL: Micros = 200 * MS;

/// A tenant with a rate, and the role whose lease holder lends it.
#[derive(Clone, Debug)]
pub(in crate::node) struct TenantRate {
    pub(in crate::node) tenant: Arc<Tenant>,
    pub(in crate::node) role: u32,
    rate: Rate,
}

/// The tenants that have a rate, by the hash of the name.
type RatesByKey = BTreeMap<u64, TenantRate>;

/// The rates of one version of the configuration.
#[derive(Clone, Debug)]
struct CachedRates {
    version: Version,
    by_key: Arc<RatesByKey>,
}

/// The fencing token of a lease: its position in the order of all leases of its role.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct FencingToken {
    voter_set: Version,
    epoch: u64,
}

impl From<&LeaseClaim> for FencingToken {
    fn from(claim: &LeaseClaim) -> Self {
        FencingToken { voter_set: claim.voter_set, epoch: claim.epoch }
    }
}

/// A node's share requests to a lease holder, in one message.
#[derive(Clone, Debug)]
pub(in crate::node) struct ShareRequests {
    pub(in crate::node) request_id: u64,
    pub(in crate::node) requests: Vec<ShareRequest>,
    /// For how long the requesting incarnation has held exactly its share of each rate and was granted
    /// nothing, in microseconds.
    pub(in crate::node) idle_for: Vec<Micros>,
    /// The newest leases that the requester knows of.
    pub(in crate::node) claims: Vec<LeaseClaim>,
}

/// A message of share requests that has no response yet.
#[derive(Clone, Debug)]
struct PendingShareRequests {
    to: NodeId,
    sent_at: Micros,
    /// Whether the time-out has been handled.
    has_timed_out: bool,
    /// The tenants of the requests, in their order.
    tenants: Vec<String>,
}

/// The state of a node that requests shares.
#[derive(Clone, Debug, Default)]
pub(in crate::node) struct ShareClient {
    /// The newest requests, by request identifier.
    pending: BTreeMap<u64, PendingShareRequests>,
    /// The newest lease of each role that this node knows of.
    newest_leases: BTreeMap<u32, FencingToken>,
    /// The voter to send the next request of a role to, if the last one did not respond or redirected.
    next_voters: BTreeMap<u32, NodeId>,
    /// The units that calls of a tenant wait for.
    waiting_units: BTreeMap<String, u64>,
    /// When expired shares were last dropped, as a lease holder.
    pools_expired_at: Micros,
    /// The rates of the newest configuration for which they were requested.
    rates: Option<CachedRates>,
}

/// Requests and grants, for this node's own calls.
impl Node {
    /// Returns the rates of the configuration in force, by the hash of the tenant's name.
    pub(in crate::node) fn tenant_rates(&mut self) -> Arc<RatesByKey> {
        let version = self.config.version;
        if let Some(cached) = self.quota.share_client.rates.as_ref().filter(|cached| cached.version == version) {
            return cached.by_key.clone();
        }
        let tenant_rate = |tenant: &Arc<Tenant>| match tenant.quota {
            QuotaLimit::Rate(rate) => {
                let role = quota_role(&tenant.name);
                Some((tenant_key(&tenant.name), TenantRate { tenant: tenant.clone(), role, rate }))
            }
            _ => None,
        };
        let by_key: Arc<RatesByKey> = Arc::new(self.config.tenants.values().filter_map(tenant_rate).collect());
        self.quota.share_client.rates = Some(CachedRates { version, by_key: by_key.clone() });
        by_key
    }

    /// Requests a share soon, as calls of a tenant wait for `waiting` units or the tenant's bucket runs low.
    pub(in crate::node) fn on_rate_needed(&mut self, tenant: &str, waiting: u64, now: Micros) {
        self.quota.slices.rates.request_units_soon(tenant);
        self.quota.slices.rates.record_waiting(tenant, waiting, now);
        let waiting_units = self.quota.share_client.waiting_units.entry(tenant.to_owned()).or_default();
        *waiting_units = (*waiting_units).max(waiting);
        self.tick_shares(now);
    }

    /// Sends the requests that are due, one message to each lease holder and each standby.
    pub(in crate::node) fn tick_shares(&mut self, now: Micros) {
        self.expire_share_pools(now);
        self.time_out_share_requests(now);
        if self.version().is_none() {
            return;
        }
        let is_eager_front = !self.settings.is_core && !self.is_draining;
        let standby_roles = self.standby_roles(now);
        let is_eager = |tenant: &str| is_eager_front || standby_roles.contains(&quota_role(tenant));
        let mut by_holder: BTreeMap<NodeId, Vec<String>> = BTreeMap::new();
        for tenant in self.quota.slices.rates.due_requests(is_eager, now) {
            if let Some(holder) = self.share_holder(quota_role(&tenant)) {
                by_holder.entry(holder).or_default().push(tenant);
            }
        }
        for (holder, tenants) in by_holder {
            self.request_shares(holder, tenants, now);
        }
        self.request_loans(now);
    }

    fn request_shares(&mut self, to: NodeId, tenants: Vec<String>, now: Micros) {
        let request_id = self.next_request_id();
        let (mut requested, mut requests, mut idle_for) = (Vec::new(), Vec::new(), Vec::new());
        for tenant in tenants {
            let waiting = self.quota.share_client.waiting_units.remove(&tenant).unwrap_or(0);
            let tenant_idle_for = self.quota.slices.rates.idle_for(&tenant, now);
            // The bucket of a tenant that a newer configuration removed is gone.
            let Some(request) = self.quota.slices.rates.make_request(&tenant, request_id, waiting, now) else {
                continue;
            };
            let request = match self.settings.is_core {
                true => self.quota.slices.rates.to_reserve_request(&tenant, request),
                false => request,
            };
            requested.push(tenant);
            requests.push(request);
            idle_for.push(tenant_idle_for);
        }
        if requests.is_empty() {
            return;
        }
        let roles: BTreeSet<_> = requested.iter().map(|tenant| quota_role(tenant)).collect();
        let claims = roles.iter().filter_map(|role| self.newest_claim(*role)).collect();
        self.counters.share_requests += 1;
        let pending = PendingShareRequests { to, sent_at: now, has_timed_out: false, tenants: requested };
        self.quota.share_client.pending.insert(request_id, pending);
        self.send_quota(to, QuotaMessage::ShareRequests { request_id, requests, claims, idle_for }, now);
    }

    /// Returns the newest lease of a role that this node knows, without its holder.
    fn newest_claim(&self, role: u32) -> Option<LeaseClaim> {
        let FencingToken { voter_set, epoch } = *self.quota.share_client.newest_leases.get(&role)?;
        Some(LeaseClaim { role, voter_set, epoch, holder: NodeId::default() })
    }

    /// Records that `holder` claims a lease. Returns false if a later lease of the role is known.
    fn accept_lease_claim(&mut self, claim: &LeaseClaim, holder: NodeId) -> bool {
        let newest = self.quota.share_client.newest_leases.entry(claim.role).or_default();
        let token = FencingToken::from(claim);
        if token < *newest {
            return false;
        }
        *newest = token;
        self.quota.share_client.next_voters.remove(&claim.role);
        self.leases.held.holder_hints.insert(claim.role, holder);
        self.quota.standby.record_holder(claim.role, holder);
        true
    }

    /// Handles a lease holder's probe for the shares of this node: replies, and sends this node's requests at
    /// once.
    pub(in crate::node) fn on_share_probe(&mut self, from: NodeId, claims: &[LeaseClaim], now: Micros) {
        let addr = self.settings.addr.clone();
        let age = now.saturating_sub(self.clock.started_at);
        self.send_quota(from, QuotaMessage::ShareProbeReply { addr, claims: claims.to_vec(), age }, now);
        let mut roles = BTreeSet::new();
        for claim in claims {
            if self.accept_lease_claim(claim, from) {
                roles.insert(claim.role);
            }
        }
        if self.version().is_none() || self.is_draining || roles.is_empty() {
            return;
        }
        let has_share = |name: &&String| roles.contains(&quota_role(name)) && self.quota.slices.rates.is_rate(name);
        let tenants: Vec<_> = self.config.tenants.keys().filter(has_share).cloned().collect();
        if !tenants.is_empty() {
            self.request_shares(from, tenants, now);
        }
    }

    fn share_holder(&self, role: u32) -> Option<NodeId> {
        self.voter_to_request_from(role, self.quota.share_client.next_voters.get(&role).copied())
    }

    /// Times out the requests without a response. The next voter is then sent the requests: it knows the
    /// current lease holder.
    fn time_out_share_requests(&mut self, now: Micros) {
        let pending = &mut self.quota.share_client.pending;
        let is_late =
            |request: &PendingShareRequests| !request.has_timed_out && now >= request.sent_at + RESPONSE_TIMEOUT;
        let late: Vec<_> = pending.iter().filter(|(_, request)| is_late(request)).map(|(id, _)| *id).collect();
        for request_id in late {
            self.time_out_share_request(request_id);
        }
        self.quota.share_client.pending.retain(|_, request| now < request.sent_at + REQUEST_RETENTION);
    }

    fn time_out_share_request(&mut self, request_id: u64) {
        let Some(request) = self.quota.share_client.pending.get_mut(&request_id) else { return };
        request.has_timed_out = true;
        let (to, tenants) = (request.to, request.tenants.clone());
        self.counters.share_requests_timed_out += 1;
        let roles: BTreeSet<_> = tenants.iter().map(|tenant| quota_role(tenant)).collect();
        for role in roles {
            if self.share_holder(role) == Some(to) {
                self.fail_over_to_next_voter(role, to);
            }
        }
        for tenant in tenants {
            self.quota.slices.rates.request_timed_out(&tenant, request_id);
        }
    }

    fn fail_over_to_next_voter(&mut self, role: u32, unresponsive: NodeId) {
        self.leases.held.holder_hints.remove(&role);
        if let Some(voter) = self.voter_after(unresponsive) {
            self.quota.share_client.next_voters.insert(role, voter);
        }
    }

    /// Handles the response to this node's requests.
    pub(in crate::node) fn on_share_grants(
        &mut self,
        from: NodeId,
        request_id: u64,
        grants: &[ShareGrant],
        claims: &[LeaseClaim],
        now: Micros,
    ) {
        let Some(pending) = self.quota.share_client.pending.remove(&request_id) else { return };
        if pending.to != from || pending.tenants.len() != grants.len() {
            return;
        }
        let fenced_roles = self.observe_claims(from, claims);
        for (tenant, grant) in pending.tenants.iter().zip(grants) {
            let has_standby = self.has_other_standby(quota_role(tenant), now);
            self.quota.slices.rates.set_standby_available(tenant, has_standby);
            if grant.granted && !fenced_roles.contains(&quota_role(tenant)) {
                if self.quota.slices.rates.apply_grant(tenant, request_id, *grant, pending.sent_at, now) {
                    self.outbox.push(Effect::WakeTenant { tenant: tenant.clone() });
                }
            } else {
                self.quota.slices.rates.request_rejected(tenant, request_id);
            }
        }
        // Calls that were received while the request was pending need not wait for the next tick.
        self.tick_shares(now);
    }

    /// Records the lease holders that a response names. Returns the roles of which a later lease is known, so
    /// that the response's grants of these roles must be ignored.
    fn observe_claims(&mut self, from: NodeId, claims: &[LeaseClaim]) -> BTreeSet<u32> {
        let mut fenced_roles = BTreeSet::new();
        for claim in claims {
            if claim.holder == from {
                if !self.accept_lease_claim(claim, from) {
                    fenced_roles.insert(claim.role);
                }
            } else if self.share_holder(claim.role) == Some(from) {
                if claim.holder == NodeId::default() {
                    self.fail_over_to_next_voter(claim.role, from);
                } else {
                    self.quota.share_client.next_voters.insert(claim.role, claim.holder);
                }
            }
        }
        fenced_roles
    }
}

/// The context that all requests of one message share, for the lease holder.
struct RequestContext<'a> {
    /// The requester.
    from: (NodeId, Incarnation),
    request_id: u64,
    /// The newest leases that the requester knows.
    claims: &'a [LeaseClaim],
    voter_set: Version,
    /// The number of live nodes.
    live_nodes: u64,
    /// The roles of which the requester is the standby.
    standby_roles: BTreeSet<u32>,
}

impl RequestContext<'_> {
    /// Returns whether the requester knows a later lease of the role.
    fn knows_later_lease(&self, role: u32, token: FencingToken) -> bool {
        self.claims.iter().any(|claim| claim.role == role && FencingToken::from(claim) > token)
    }

    /// Returns whether the requester knows this lease as the newest of the role.
    fn knows_lease(&self, role: u32, token: FencingToken) -> bool {
        self.claims.iter().any(|claim| claim.role == role && FencingToken::from(claim) == token)
    }
}

/// The lease holder's side.
impl Node {
    fn expire_share_pools(&mut self, now: Micros) {
        if now < self.quota.share_client.pools_expired_at + EXPIRY_INTERVAL {
            return;
        }
        self.quota.share_client.pools_expired_at = now;
        for role in self.quota.share_pools.roles() {
            if self.leases.held.valid_epoch(role, now).is_none() {
                self.quota.share_pools.end_lease(role);
            }
        }
        let rates = self.tenant_rates();
        self.quota.share_pools.expire(|key| rates.get(&key).map(|tenant| tenant.rate), now);
    }

    /// Returns the epoch of a lease under which shares may be granted: a lease holder waits until a majority
    /// knows that the lease was held, so that no later holder counts itself as the first.
    pub fn share_epoch(&self, role: u32, now: Micros) -> Option<u64> {
        let epoch = self.leases.held.valid_epoch(role, now)?;
        self.leases.held.by_role.get(&role).filter(|lease| lease.is_renewed).map(|_| epoch)
    }

    /// Grants shares and loans, one for each request, and names the lease holders.
    pub(in crate::node) fn on_share_requests(
        &mut self,
        from: (NodeId, Incarnation),
        batch: ShareRequests,
        now: Micros,
    ) {
        let rates = self.tenant_rates();
        let Some(batch) = self.admit_share_requests(from, batch, now) else { return };
        let ShareRequests { request_id, requests, idle_for, claims } = batch;
        let voter_set = self.voter_set();
        let live_nodes = self.live_node_count(now);
        let standby_roles = self.roles_with_standby(from.0, now);
        let context = RequestContext { from, request_id, claims: &claims, voter_set, live_nodes, standby_roles };
        let mut own_claims: BTreeMap<u32, LeaseClaim> = BTreeMap::new();
        let mut grants = Vec::with_capacity(requests.len());
        for (index, request) in requests.iter().enumerate() {
            let mut grant = None;
            if let Some(tenant) = rates.get(&request.tenant_key) {
                let epoch = self.grantable_epoch(tenant.role, &context, now);
                own_claims.entry(tenant.role).or_insert_with(|| self.own_claim(tenant.role, epoch, voter_set, now));
                let idle_for = idle_for.get(index).copied().unwrap_or(0);
                grant = epoch.and_then(|epoch| self.grant_share(&context, tenant, epoch, request, idle_for, now));
            }
            let grant = grant.unwrap_or_default();
            self.count_share_grant(&grant, request);
            grants.push(grant);
        }
        let claims = own_claims.into_values().collect();
        self.send_quota(from.0, QuotaMessage::ShareGrants { request_id, grants, claims }, now);
    }

    /// Returns the epoch under which a role's shares may be granted, unless the requester knows a later
    /// lease.
    fn grantable_epoch(&self, role: u32, context: &RequestContext<'_>, now: Micros) -> Option<u64> {
        let voter_set = context.voter_set;
        self.share_epoch(role, now)
            .filter(|epoch| !context.knows_later_lease(role, FencingToken { voter_set, epoch: *epoch }))
    }

    fn own_claim(&self, role: u32, epoch: Option<u64>, voter_set: Version, now: Micros) -> LeaseClaim {
        let holder = if epoch.is_some() { self.settings.node_id } else { self.other_lease_holder(role, now) };
        LeaseClaim { role, voter_set, epoch: epoch.unwrap_or(0), holder }
    }

    fn grant_share(
        &mut self,
        context: &RequestContext<'_>,
        tenant: &TenantRate,
        epoch: u64,
        request: &ShareRequest,
        idle_for: Micros,
        now: Micros,
    ) -> Option<ShareGrant> {
        let TenantRate { role, rate, .. } = *tenant;
        // A request that was sent before this lease was known may be older than grants of an earlier lease.
        let knows_lease = context.knows_lease(role, FencingToken { voter_set: context.voter_set, epoch });
        if knows_lease {
            self.quota.share_pools.record_share_report(role, request, context.from, rate, idle_for, now);
        }
        let pool = self.quota.share_pools.pool(role, request.tenant_key, rate, now)?;
        let purpose =
            match (context.standby_roles.contains(&role), request.smallest_call_units == RESERVE_REQUEST_MARKER) {
                (true, _) => SharePurpose::StandbyReserve,
                (false, true) => SharePurpose::ReturnReserve,
                (false, false) => SharePurpose::OwnCalls,
            };
        let requester = Requester { incarnation: context.from, request_id: context.request_id, purpose, knows_lease };
        let mut grant = pool.grant(requester, request, rate, context.live_nodes, now)?;
        if context.from.0 != self.settings.node_id {
            let missing_units = request.missing_units.saturating_sub(grant.loaned_units);
            grant.loaned_units +=
                self.lend_own_units(&tenant.tenant.name, missing_units, request.smallest_call_units, now);
        }
        Some(grant)
    }

    fn count_share_grant(&mut self, grant: &ShareGrant, request: &ShareRequest) {
        if !grant.granted {
            return;
        }
        match grant.share.cmp(&request.held_share) {
            Ordering::Greater => self.counters.shares_grown += 1,
            Ordering::Less => self.counters.shares_shrunk += 1,
            Ordering::Equal => self.counters.shares_renewed += 1,
        }
    }
}
