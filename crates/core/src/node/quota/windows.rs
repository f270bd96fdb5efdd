//! Slices of counting windows: requested, granted on a majority's disks, recalled and returned.
//!
//! Guarantees that a node receives a grant only once a majority of voters has it on disk, so that every later
//! lease holder counts the grant, and that messages of an earlier lease are fenced off by its epoch. A
//! request without a response after [`RESPONSE_TIMEOUT`] is sent to the next voter, but only if calls still
//! need units.

use crate::base::{MS, Micros, NodeId, SEC, Version};
use crate::config::{QuotaLimit, WindowQuota};
use crate::consensus::{DurableWrite, is_majority};
use crate::lease::{LEASE_DURATION, quota_role};
use crate::node::{Effect, Node};
use crate::protocol::{Message, QuotaMessage, WindowGrant};
use crate::quota::{LedgerAction, SliceRequest};
use std::collections::{BTreeSet, VecDeque};

/// The time after which a request without a response counts as timed out, in microseconds.
const RESPONSE_TIMEOUT: Micros = 250 * MS;
/// The maximum number of replaced requests that are remembered for each tenant.
const MAX_REPLACED_REQUESTS: usize = 8;
/// The maximum number of redirections to another lease holder that a request follows.
const MAX_REDIRECTIONS: u8 = 3;
/// The time after which grants that no majority has on disk are dropped, in microseconds.
const GRANT_TIMEOUT: Micros = 2 * SEC;

/// A request that a newer one has replaced.
#[derive(Clone, Copy, Debug)]
struct ReplacedRequest {
    request_id: u64,
    sent_at: Micros,
}

/// This node's newest request for a tenant's units.
#[derive(Clone, Debug)]
pub(in crate::node) struct PendingSliceRequest {
    request_id: u64,
    sent_at: Micros,
    /// The node that was sent the request.
    to: NodeId,
    /// Earlier requests whose grants may still be received, oldest first.
    replaced: VecDeque<ReplacedRequest>,
    /// The number of calls that began to wait while the request was pending.
    waiting: u64,
    /// The number of redirections that led to this request.
    redirections: u8,
    /// Whether a response was received.
    is_answered: bool,
    /// Whether the receiver knew no lease holder, so that the next request goes to the next voter.
    is_next_voter_due: bool,
}

impl PendingSliceRequest {
    /// Returns the requests whose grants may still be received after a newer request replaces this one.
    fn into_replaced(self) -> VecDeque<ReplacedRequest> {
        let mut replaced = self.replaced;
        replaced.push_back(ReplacedRequest { request_id: self.request_id, sent_at: self.sent_at });
        while replaced.len() > MAX_REPLACED_REQUESTS {
            replaced.pop_front();
        }
        replaced
    }

    /// Returns when the request of a late or repeated grant was sent. A request that is delivered twice is
    /// answered twice.
    fn sent_at_of_late_grant(&self, request_id: u64) -> Option<Micros> {
        if self.is_answered && self.request_id == request_id {
            return Some(self.sent_at);
        }
        self.replaced.iter().find(|replaced| replaced.request_id == request_id).map(|replaced| replaced.sent_at)
    }
}

/// The newest window of a tenant with a grant.
#[derive(Clone, Copy, Debug)]
pub(in crate::node) struct NewestWindow {
    /// The number of the window.
    pub(super) number: u64,
    /// When the window started as far as this node knows, in microseconds.
    pub(super) started_at: Micros,
}

/// A grant that answers a request of a node.
#[derive(Clone, Debug)]
struct RequestedGrant {
    request_id: u64,
    grant: WindowGrant,
    /// The remaining time of the window when the grant was made, in microseconds.
    remaining: Micros,
}

/// Grants that are sent to their nodes once a majority of voters has them on disk.
#[derive(Clone, Debug)]
pub(in crate::node) struct PendingGrants {
    role: u32,
    epoch: u64,
    requested_at: Micros,
    /// The voters that have the grants on disk.
    synced_by: BTreeSet<NodeId>,
    grants: Vec<RequestedGrant>,
}

/// Grants that a lease holder replicates to a voter.
#[derive(Debug)]
pub(super) struct GrantBatch {
    pub voter_set: Version,
    pub role: u32,
    pub epoch: u64,
    pub request_id: u64,
    pub grants: Vec<WindowGrant>,
}

/// Requests and grants, for this node's own calls.
impl Node {
    fn window_quota(&self, tenant: &str) -> Option<WindowQuota> {
        match self.config.tenants.get(tenant)?.quota {
            QuotaLimit::Window(quota) => Some(quota),
            _ => None,
        }
    }

    /// Requests units for a tenant, as its calls wait here or its slice or bucket runs low.
    pub(in crate::node) fn on_quota_needed(&mut self, tenant: &str, waiting: u64, now: Micros) {
        if self.window_quota(tenant).is_none() {
            if self.quota.slices.rates.is_rate(tenant) {
                self.on_rate_needed(tenant, waiting, now);
            }
            return;
        }
        let mut to = None;
        if let Some(request) = self.quota.slice_requests.get(tenant).filter(|request| request.is_next_voter_due) {
            to = self.voter_after(request.to);
        } else if let Some(request) = self.quota.slice_requests.get_mut(tenant).filter(|request| !request.is_answered) {
            if now.saturating_sub(request.sent_at) < RESPONSE_TIMEOUT {
                request.waiting = request.waiting.max(waiting);
                return;
            }
            let unresponsive = request.to;
            self.leases.held.holder_hints.remove(&quota_role(tenant));
            to = self.voter_after(unresponsive);
        }
        self.request_slice(tenant, waiting, 0, to, now);
    }

    fn request_slice(&mut self, tenant: &str, waiting: u64, redirections: u8, to: Option<NodeId>, now: Micros) {
        let to = to.or_else(|| self.voter_to_request_from(quota_role(tenant), None));
        let Some(to) = to else { return };
        let request_id = self.next_request_id();
        let (wanted_units, window, returned) = self.quota.slices.demand(tenant, waiting, now);
        let previous = self.quota.slice_requests.remove(tenant);
        let request = PendingSliceRequest {
            request_id,
            sent_at: now,
            to,
            replaced: previous.map_or_else(VecDeque::new, PendingSliceRequest::into_replaced),
            waiting: 0,
            redirections,
            is_answered: false,
            is_next_voter_due: false,
        };
        self.quota.slice_requests.insert(tenant.to_owned(), request);
        let tenant = tenant.to_owned();
        self.send_quota(to, QuotaMessage::SliceRequest { request_id, tenant, wanted_units, window, returned }, now);
    }

    /// Returns the pending request to which this is the first response, and marks it as answered.
    fn answer_slice_request(&mut self, request_id: u64, tenant: &str) -> Option<&PendingSliceRequest> {
        let request = self.quota.slice_requests.get_mut(tenant)?;
        if request.request_id != request_id || request.is_answered {
            return None;
        }
        request.is_answered = true;
        Some(request)
    }

    /// Adds granted units to this node's slice. Their validity counts from when the request was sent.
    pub(in crate::node) fn on_slice_granted(
        &mut self,
        request_id: u64,
        tenant: &str,
        window: u64,
        granted_total: u64,
        remaining: Micros,
        epoch: u64,
    ) {
        let role = quota_role(tenant);
        if self.is_message_fenced(role, epoch) {
            return;
        }
        // The lease holder counts the units as this node's whenever they are received, so late ones are used
        // too.
        let pending = self.quota.slice_requests.get(tenant);
        let late = pending.and_then(|request| request.sent_at_of_late_grant(request_id)).map(|sent_at| (sent_at, 0));
        let answered = late.or_else(|| {
            self.answer_slice_request(request_id, tenant).map(|request| (request.sent_at, request.waiting))
        });
        let Some((sent_at, waiting)) = answered else { return };
        if !self.settings.is_core {
            self.leases.grantor.observe_epoch(role, epoch);
        }
        let until = sent_at + remaining;
        let is_skipped = self.may_have_used_units_before(tenant, until)
            && self.quota.slices.skip_earlier_units(tenant, window, granted_total);
        self.quota.slices.add_granted(tenant, window, granted_total, until);
        self.outbox.push(Effect::WakeTenant { tenant: tenant.to_owned() });
        if waiting > 0 || is_skipped {
            self.request_slice(tenant, waiting, 0, None, self.clock.last_step);
        }
    }

    /// Returns whether an earlier process of this core may have used units of the window that ends at `until`: the
    /// window began before this process did.
    fn may_have_used_units_before(&self, tenant: &str, until: Micros) -> bool {
        let length = match self.config.tenants.get(tenant).map(|tenant| &tenant.quota) {
            Some(QuotaLimit::Window(limit)) => limit.window,
            _ => Micros::MAX,
        };
        self.quota.has_earlier_process && until < self.clock.started_at.saturating_add(length)
    }

    /// Handles the lease holder's reply that a window is spent. `delay` is the reply's transit time, by which
    /// the remaining time of the window has decreased; if the window has ended since, units are requested
    /// again.
    pub(in crate::node) fn on_window_spent(
        &mut self,
        request_id: u64,
        tenant: &str,
        (window, remaining): (u64, Micros),
        delay: Micros,
        now: Micros,
    ) {
        let Some(request) = self.answer_slice_request(request_id, tenant) else { return };
        if remaining <= delay {
            let waiting = request.waiting.max(1);
            self.request_slice(tenant, waiting, 0, None, now);
            return;
        }
        self.quota.slices.record_window_spent(tenant, window, now + remaining - delay, now);
        self.outbox.push(Effect::WakeTenant { tenant: tenant.to_owned() });
    }

    /// Handles the reply of a node that holds no lease: follows the redirection, or marks the next voter as
    /// due.
    pub(in crate::node) fn on_not_lease_holder(
        &mut self,
        from: NodeId,
        request_id: u64,
        tenant: &str,
        holder: NodeId,
        now: Micros,
    ) {
        let Some(request) = self.quota.slice_requests.get(tenant) else { return };
        if request.request_id != request_id || request.is_answered {
            return;
        }
        let (redirections, waiting) = (request.redirections, request.waiting);
        let role = quota_role(tenant);
        if self.leases.held.holder_hints.get(&role) == Some(&from) {
            self.leases.held.holder_hints.remove(&role);
        }
        if holder != NodeId::default() && holder != from && redirections < MAX_REDIRECTIONS {
            self.leases.held.holder_hints.insert(role, holder);
            self.request_slice(tenant, waiting.max(1), redirections + 1, Some(holder), now);
        } else if let Some(request) = self.quota.slice_requests.get_mut(tenant) {
            // The voter knows no lease holder: the waiting calls soon cause a request to the next voter.
            request.is_answered = true;
            request.is_next_voter_due = true;
        }
    }

    /// Returns idle units to the lease holder.
    pub(in crate::node) fn on_recall_slice(
        &mut self,
        from: NodeId,
        tenant: &str,
        window: u64,
        epoch: u64,
        now: Micros,
    ) {
        if self.is_message_fenced(quota_role(tenant), epoch) {
            return;
        }
        let returned = self.quota.slices.return_idle_units(tenant, window, now).unwrap_or(0);
        self.send_quota(from, QuotaMessage::ReturnSlice { tenant: tenant.to_owned(), window, returned }, now);
    }
}

/// The lease holder's side.
impl Node {
    /// Grants units, or redirects the requester to the lease holder.
    pub(in crate::node) fn on_slice_request(
        &mut self,
        from: NodeId,
        request_id: u64,
        tenant: &str,
        wanted_units: u64,
        returned: (u64, u64),
        now: Micros,
    ) {
        let role = quota_role(tenant);
        if self.leases.held.valid_epoch(role, now).is_none() {
            let holder = self.other_lease_holder(role, now);
            let tenant = tenant.to_owned();
            self.send_quota(from, QuotaMessage::NotLeaseHolder { request_id, tenant, holder }, now);
            return;
        }
        let Some(quota) = self.window_quota(tenant) else { return };
        let nodes = self.live_node_count(now);
        let request = SliceRequest { node_id: from, request_id, wanted_units, received_at: now };
        let actions = self.quota.window_ledger.request(tenant, quota, request, returned, nodes, now);
        self.apply_ledger_actions(tenant, actions, now);
    }

    /// Handles units of a window that a node returns.
    pub(in crate::node) fn on_return_slice(
        &mut self,
        from: NodeId,
        tenant: &str,
        window: u64,
        returned: u64,
        now: Micros,
    ) {
        let Some(quota) = self.window_quota(tenant) else { return };
        if self.leases.held.valid_epoch(quota_role(tenant), now).is_some() {
            let nodes = self.live_node_count(now);
            let actions =
                self.quota.window_ledger.record_recall_reply(tenant, quota, from, window, returned, nodes, now);
            self.apply_ledger_actions(tenant, actions, now);
        }
    }

    /// Serves the waiting requests, and drops the state of leases that have ended.
    pub(in crate::node) fn tick_windows(&mut self, now: Micros) {
        self.quota.pending_grants.retain(|_, pending| now.saturating_sub(pending.requested_at) < GRANT_TIMEOUT);
        let nodes = self.live_node_count(now);
        for (tenant, ..) in self.quota.window_ledger.list() {
            match (self.leases.held.valid_epoch(quota_role(&tenant), now), self.window_quota(&tenant)) {
                (Some(_), Some(quota)) => {
                    let actions = self.quota.window_ledger.tick(&tenant, quota, nodes, now);
                    self.apply_ledger_actions(&tenant, actions, now);
                }
                // A tenant that is not in this node's configuration may be in the next one.
                (Some(_), None) => {}
                (None, _) => self.quota.window_ledger.remove_tenant(&tenant),
            }
        }
    }

    fn apply_ledger_actions(&mut self, tenant: &str, actions: Vec<LedgerAction>, now: Micros) {
        let role = quota_role(tenant);
        let Some(epoch) = self.leases.held.valid_epoch(role, now) else { return };
        let mut grants = Vec::new();
        for action in actions {
            match action {
                LedgerAction::Grant { request_id, grant, remaining } => {
                    grants.push(RequestedGrant { request_id, grant, remaining });
                }
                LedgerAction::Recall { to, window } => {
                    self.counters.slices_recalled += 1;
                    for node_id in to {
                        let tenant = tenant.to_owned();
                        self.send_quota(node_id, QuotaMessage::RecallSlice { tenant, window, epoch }, now);
                    }
                }
                LedgerAction::Spent { node_id, request_id, window, remaining } => {
                    self.counters.windows_spent += 1;
                    let tenant = tenant.to_owned();
                    let message = QuotaMessage::WindowSpent { request_id, tenant, window, remaining };
                    self.send_quota(node_id, message, now);
                }
            }
        }
        if !grants.is_empty() {
            self.replicate_grants(role, epoch, grants, now);
        }
    }

    fn replicate_grants(&mut self, role: u32, epoch: u64, grants: Vec<RequestedGrant>, now: Micros) {
        let rows = grants.iter().map(|requested| requested.grant.clone()).collect();
        let request_id = self.next_request_id();
        let pending = PendingGrants { role, epoch, requested_at: now, synced_by: BTreeSet::new(), grants };
        self.quota.pending_grants.insert(request_id, pending);
        let voter_set = self.voter_set();
        let message = QuotaMessage::ReplicateGrants { voter_set, role, epoch, request_id, grants: rows };
        self.broadcast_to_voters(&Message::Quota(message), now);
    }

    /// Handles a voter's confirmation that grants are on its disk. Once a majority has confirmed, and the
    /// lease is still the same, the grants are sent to their nodes.
    pub(in crate::node) fn on_grants_synced(
        &mut self,
        from: NodeId,
        role: u32,
        epoch: u64,
        request_id: u64,
        now: Micros,
    ) {
        let Some(pending) = self.quota.pending_grants.get_mut(&request_id) else { return };
        if pending.role != role || pending.epoch != epoch {
            return;
        }
        pending.synced_by.insert(from);
        if !is_majority(self.consensus.state.voters(), &pending.synced_by) {
            return;
        }
        let Some(pending) = self.quota.pending_grants.remove(&request_id) else { return };
        if self.leases.held.valid_epoch(role, now) != Some(epoch) {
            return;
        }
        let elapsed = now.saturating_sub(pending.requested_at);
        for RequestedGrant { request_id, grant, remaining } in pending.grants {
            self.counters.slices_granted += 1;
            let message = QuotaMessage::SliceGranted {
                request_id,
                tenant: grant.tenant,
                window: grant.window,
                granted_total: grant.granted_total,
                remaining: remaining.saturating_sub(elapsed),
                epoch,
            };
            self.send_quota(grant.node_id, message, now);
        }
    }
}

/// The voter's side.
impl Node {
    /// Writes grants to disk, unless they are of a fenced lease, another set of voters or an earlier window.
    pub(super) fn on_replicate_grants(&mut self, from: NodeId, batch: GrantBatch, delay: Micros, now: Micros) {
        let GrantBatch { voter_set, role, epoch, request_id, mut grants } = batch;
        if !self.is_ready() || voter_set != self.voter_set() {
            return;
        }
        if self.is_message_fenced(role, epoch) {
            return;
        }
        for grant in &mut grants {
            grant.age = grant.age.saturating_add(delay);
        }
        // A grant of an earlier window cannot be kept beside one of a newer window, so it is not confirmed.
        if grants.iter().any(|grant| grant.window < self.newest_window(&grant.tenant)) {
            return;
        }
        grants.retain(|grant| self.record_grant(grant, now));
        let message = Message::Quota(QuotaMessage::GrantsSynced { role, epoch, request_id });
        let then = self.send_effect(from, message, now);
        let writes = grants.into_iter().map(DurableWrite::Grant).collect();
        self.persist(writes, then.into_iter().collect());
    }

    /// Returns the number of the newest window of a tenant with a grant; 0 if there is none.
    fn newest_window(&self, tenant: &str) -> u64 {
        self.quota.windows.get(tenant).map_or(0, |window| window.number)
    }

    /// Records a grant for the next lease holder. Returns true if the grant was not known.
    pub(in crate::node) fn record_grant(&mut self, grant: &WindowGrant, now: Micros) -> bool {
        let newest = self.newest_window(&grant.tenant);
        if grant.window < newest {
            return false;
        }
        // A sender that has just started may not know how long the window has run.
        let startup_fence_until = self.clock.started_at + LEASE_DURATION;
        self.leases.grantor.role_fences.entry(quota_role(&grant.tenant)).or_insert(startup_fence_until);
        let started_at = now.saturating_sub(grant.age);
        if grant.window > newest {
            self.quota.grants.retain(|(tenant, _), _| *tenant != grant.tenant);
            self.quota.windows.insert(grant.tenant.clone(), NewestWindow { number: grant.window, started_at });
        } else if let Some(window) = self.quota.windows.get_mut(&grant.tenant) {
            window.started_at = window.started_at.min(started_at);
        }
        let key = (grant.tenant.clone(), grant.node_id);
        if self.quota.grants.get(&key).is_some_and(|known| known.granted_total >= grant.granted_total) {
            return false;
        }
        self.quota.grants.insert(key, grant.clone());
        true
    }

    /// Returns the grants of the tenants that `filter` accepts, with the current ages of their windows.
    pub(in crate::node) fn grants_of(&self, filter: impl Fn(&str) -> bool, now: Micros) -> Vec<WindowGrant> {
        let with_age = |grant: &WindowGrant| {
            let window = self.quota.windows.get(&grant.tenant);
            let age = window.map_or(0, |window| now.saturating_sub(window.started_at));
            WindowGrant { age, ..grant.clone() }
        };
        self.quota.grants.values().filter(|grant| filter(&grant.tenant)).map(with_age).collect()
    }
}
