//! The lease holder's record of counting windows: what each node was granted and what it returned.
//!
//! Guarantees that within one window the granted units less the returned ones never exceed the window's
//! quota. The ledger itself is volatile: a grant leaves the lease holder only once a majority of voters has
//! it on disk, and a successor rebuilds the ledger from these grants with [`WindowLedger::inherit`].
//!
//! Where nothing is left, the lease holder recalls idle units from every node that may have some, and reports
//! the window as spent only after that recall; it starts no further recall for [`RECALL_BACKOFF`].

use crate::base::{MS, Micros, NodeId};
use crate::config::WindowQuota;
use crate::protocol::WindowGrant;
use std::collections::{BTreeMap, BTreeSet};

/// How long a recall waits for the nodes that have not replied, in microseconds.
const RECALL_TIMEOUT: Micros = 150 * MS;
/// Nodes that have not replied by then are sent the recall once more, in microseconds: a single late or lost
/// frame must not make a window count as spent.
const RECALL_RETRY_AFTER: Micros = 75 * MS;
/// After a finished recall the next one starts no sooner than this, in microseconds.
const RECALL_BACKOFF: Micros = 100 * MS;

/// One node's request for units that can't be met at once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SliceRequest {
    /// The requesting node.
    pub node_id: NodeId,
    /// The requester's number for the request, which the response repeats.
    pub request_id: u64,
    /// How many units the node would use.
    pub wanted_units: u64,
    /// When the lease holder received it, in microseconds of its clock.
    pub received_at: Micros,
}

/// A recall of idle units that is in progress.
#[derive(Clone, Debug)]
struct Recall {
    started_at: Micros,
    /// The nodes that have not replied.
    unanswered: BTreeSet<NodeId>,
    /// Whether the unanswered nodes were sent the recall a second time.
    retried: bool,
}

/// The current window of one tenant.
///
/// Invariant: `returned` of a node never exceeds its `granted_total`; both only grow within a window.
#[derive(Clone, Debug, Default)]
struct TenantWindow {
    /// The number of the window; zero before the first one.
    window: u64,
    started_at: Micros,
    granted_total: BTreeMap<NodeId, u64>,
    returned: BTreeMap<NodeId, u64>,
    /// Requests that could not be met yet, at most one of each node, oldest first.
    waiting: Vec<SliceRequest>,
    recall: Option<Recall>,
    /// No recall starts before this.
    next_recall_at: Micros,
}

/// What the lease holder does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerAction {
    /// Replicate this grant to a majority of voters, then send it to the node.
    Grant {
        /// The request that is answered.
        request_id: u64,
        /// The grant, with the sum of all units granted to the node in this window.
        grant: WindowGrant,
        /// How long the window still lasts, in microseconds.
        remaining: Micros,
    },
    /// Ask these nodes to return their idle units of a window.
    Recall {
        /// The nodes that may have idle units.
        to: Vec<NodeId>,
        /// The number of the window.
        window: u64,
    },
    /// Tell a node that nothing is left of the window.
    Spent {
        /// The node that requested units.
        node_id: NodeId,
        /// The request that is answered.
        request_id: u64,
        /// The number of the window.
        window: u64,
        /// How long the window still lasts, in microseconds.
        remaining: Micros,
    },
}

/// The windows of all tenants whose quota lease this node holds.
#[derive(Clone, Debug, Default)]
pub struct WindowLedger {
    tenants: BTreeMap<String, TenantWindow>,
}

impl WindowLedger {
    /// Takes over a grant that a voter knows of. A window whose start nobody knows starts now.
    pub fn inherit(&mut self, grant: &WindowGrant, now: Micros) {
        let started_at = now.saturating_sub(grant.age);
        let state = self.tenants.entry(grant.tenant.clone()).or_default();
        if grant.window > state.window {
            *state = TenantWindow { window: grant.window, started_at, ..TenantWindow::default() };
        }
        if grant.window == state.window {
            let granted_total = state.granted_total.entry(grant.node_id).or_insert(0);
            *granted_total = (*granted_total).max(grant.granted_total);
            state.started_at = state.started_at.min(started_at);
        }
    }

    /// Drops a tenant, as the lease has ended or the tenant was removed.
    pub fn forget(&mut self, tenant: &str) {
        self.tenants.remove(tenant);
    }

    /// A node requests units and reports what it returned: a window and the sum returned in it.
    pub fn request(
        &mut self,
        tenant: &str,
        quota: WindowQuota,
        mut request: SliceRequest,
        returned: (u64, u64),
        nodes: u64,
        now: Micros,
    ) -> Vec<LedgerAction> {
        let state = self.tenants.entry(tenant.to_owned()).or_default();
        state.start_next_if_over(quota, now);
        if returned.0 == state.window {
            state.record_returned(request.node_id, returned.1);
        }
        request.received_at = now;
        state.waiting.retain(|waiting| waiting.node_id != request.node_id);
        state.waiting.push(request);
        state.serve_waiting(tenant, quota, nodes, now)
    }

    /// A node has returned `returned` units of a window in all.
    #[allow(clippy::too_many_arguments)]
    pub fn return_units(
        &mut self,
        tenant: &str,
        quota: WindowQuota,
        node_id: NodeId,
        window: u64,
        returned: u64,
        nodes: u64,
        now: Micros,
    ) -> Vec<LedgerAction> {
        let Some(state) = self.tenants.get_mut(tenant) else { return Vec::new() };
        if state.window == window {
            state.record_returned(node_id, returned);
            if let Some(recall) = &mut state.recall {
                recall.unanswered.remove(&node_id);
            }
        }
        state.serve_waiting(tenant, quota, nodes, now)
    }

    /// Advances the time for the requests of a tenant that wait.
    pub fn tick(&mut self, tenant: &str, quota: WindowQuota, nodes: u64, now: Micros) -> Vec<LedgerAction> {
        let Some(state) = self.tenants.get_mut(tenant) else { return Vec::new() };
        if state.waiting.is_empty() {
            return Vec::new();
        }
        state.start_next_if_over(quota, now);
        state.serve_waiting(tenant, quota, nodes, now)
    }

    /// For comparison: tenant, window, granted and returned units over all nodes.
    pub fn list(&self) -> Vec<(String, u64, u64, u64)> {
        let row = |(tenant, state): (&String, &TenantWindow)| {
            (tenant.clone(), state.window, state.granted_total.values().sum(), state.returned.values().sum())
        };
        self.tenants.iter().map(row).collect()
    }
}

impl TenantWindow {
    /// Starts the next window where this one is over; requests that wait go on waiting in it.
    fn start_next_if_over(&mut self, quota: WindowQuota, now: Micros) {
        if self.window == 0 || now >= self.started_at + quota.window {
            *self = TenantWindow {
                window: self.window + 1,
                started_at: now,
                waiting: std::mem::take(&mut self.waiting),
                ..TenantWindow::default()
            };
        }
    }

    /// Records the sum that a node returned. Idempotent; never more than the node was granted.
    fn record_returned(&mut self, node_id: NodeId, returned: u64) {
        let cap = self.granted_total.get(&node_id).copied().unwrap_or(0);
        let recorded = self.returned.entry(node_id).or_insert(0);
        *recorded = (*recorded).max(returned.min(cap));
    }

    fn unused_units(&self, quota: WindowQuota) -> u64 {
        let outstanding: u64 = self.granted_total.values().sum::<u64>() - self.returned.values().sum::<u64>();
        quota.calls.saturating_sub(outstanding)
    }

    /// Grants what is left, then recalls idle units for those who got nothing, then reports the window as spent.
    fn serve_waiting(&mut self, tenant: &str, quota: WindowQuota, nodes: u64, now: Micros) -> Vec<LedgerAction> {
        let mut actions = Vec::new();
        let remaining = (self.started_at + quota.window).saturating_sub(now);
        while let Some(action) = self.grant_next(tenant, quota, nodes, remaining, now) {
            actions.push(action);
        }
        if self.waiting.is_empty() {
            self.recall = None;
            return actions;
        }
        if let Some(recalled_at) = self.advance_recall(&mut actions, now) {
            self.report_spent(recalled_at, remaining, &mut actions, now);
        }
        actions
    }

    /// Grants units to the oldest request; none where none waits or no unit is left.
    fn grant_next(
        &mut self,
        tenant: &str,
        quota: WindowQuota,
        nodes: u64,
        remaining: Micros,
        now: Micros,
    ) -> Option<LedgerAction> {
        let request = self.waiting.first().cloned()?;
        let unused = self.unused_units(quota);
        if unused == 0 {
            return None;
        }
        self.waiting.remove(0);
        // Half of an equal part, so that the others find something too; where few nodes ask, a quarter of all.
        let fair = (unused / (2 * nodes.max(1))).max(1);
        let units = request.wanted_units.min(fair.max(unused / 4)).max(1).min(unused);
        let granted_total = self.granted_total.entry(request.node_id).or_insert(0);
        *granted_total += units;
        let grant = WindowGrant {
            tenant: tenant.to_owned(),
            window: self.window,
            node_id: request.node_id,
            granted_total: *granted_total,
            age: now.saturating_sub(self.started_at),
        };
        Some(LedgerAction::Grant { request_id: request.request_id, grant, remaining })
    }

    /// Starts, retries or finishes a recall. Returns when a finished one started: the window is spent for
    /// requests that were received by then.
    fn advance_recall(&mut self, actions: &mut Vec<LedgerAction>, now: Micros) -> Option<Micros> {
        let Some(recall) = &mut self.recall else { return self.start_recall(actions, now) };
        if recall.unanswered.is_empty() || now >= recall.started_at + RECALL_TIMEOUT {
            return Some(recall.started_at);
        }
        if !recall.retried && now >= recall.started_at + RECALL_RETRY_AFTER {
            recall.retried = true;
            let to = recall.unanswered.iter().copied().collect();
            actions.push(LedgerAction::Recall { to, window: self.window });
        }
        None
    }

    /// Starts a recall, unless the last one finished a moment ago. Where no node has any unit it is finished at
    /// once.
    fn start_recall(&mut self, actions: &mut Vec<LedgerAction>, now: Micros) -> Option<Micros> {
        if now < self.next_recall_at {
            return None;
        }
        let returned = |node_id: &NodeId| self.returned.get(node_id).copied().unwrap_or(0);
        let holds_units = |(node_id, granted): &(&NodeId, &u64)| **granted > returned(node_id);
        let to: Vec<_> = self.granted_total.iter().filter(holds_units).map(|(node_id, _)| *node_id).collect();
        if to.is_empty() {
            return Some(now);
        }
        self.recall = Some(Recall { started_at: now, unanswered: to.iter().copied().collect(), retried: false });
        actions.push(LedgerAction::Recall { to, window: self.window });
        None
    }

    /// Reports the window as spent to the requests that were received before the recall started; later ones
    /// wait for another recall, as units may have been idle for them.
    fn report_spent(&mut self, recalled_at: Micros, remaining: Micros, actions: &mut Vec<LedgerAction>, now: Micros) {
        self.recall = None;
        self.next_recall_at = now + RECALL_BACKOFF;
        let (before, after): (Vec<_>, _) =
            self.waiting.drain(..).partition(|request| request.received_at <= recalled_at);
        self.waiting = after;
        let window = self.window;
        actions.extend(before.into_iter().map(|request| LedgerAction::Spent {
            node_id: request.node_id,
            request_id: request.request_id,
            window,
            remaining,
        }));
    }
}
