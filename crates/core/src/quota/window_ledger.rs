//! The lease holder's record of counting windows: the units granted to and returned by each node.
//!
//! Guarantees that within one window the granted units minus the returned ones never exceed the window's quota.
//! The ledger itself is volatile: the lease holder sends a grant only once a majority of voters has stored it
//! durably, and the next lease holder rebuilds the ledger from these grants with [`WindowLedger::restore_grant`].
//!
//! When no unit is left, the lease holder recalls idle units from every node that may have some, and reports the
//! window as spent only after that recall. It starts no further recall for [`RECALL_BACKOFF`].

use crate::base::{MS, Micros, NodeId};
use crate::config::WindowQuota;
use crate::protocol::WindowGrant;
use std::collections::{BTreeMap, BTreeSet};

/// The longest time that a recall waits for replies, in microseconds.
const RECALL_TIMEOUT: Micros = 150 * MS;
/// The time after which a recall is is_retried once at the nodes that have not replied, in microseconds: a single
/// late or lost frame must not make a window count as spent.
const RECALL_RETRY_AFTER: Micros = 75 * MS;
/// The shortest time between the end of a recall and the start of the next one, in microseconds.
const RECALL_BACKOFF: Micros = 100 * MS;

/// One node's request for units, which waits until units are left or the window is spent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SliceRequest {
    /// The requesting node.
    pub node_id: NodeId,
    /// The requesting node's number of the request, which the response repeats.
    pub request_id: u64,
    /// The number of units that the node would use.
    pub wanted_units: u64,
    /// When the lease holder received the request, in microseconds of the lease holder's clock.
    pub received_at: Micros,
}

/// A recall of idle units that is in progress.
#[derive(Clone, Debug)]
struct Recall {
    started_at: Micros,
    /// The nodes that have not replied.
    unanswered: BTreeSet<NodeId>,
    /// Whether the recall was sent to the unanswered nodes a second time.
    is_retried: bool,
}

/// The current window of one tenant.
///
/// Invariant: a node's `returned` never exceeds its `granted_total`; both only grow within a window.
#[derive(Clone, Debug, Default)]
struct TenantWindow {
    /// The number of the window; zero before the first window.
    window: u64,
    started_at: Micros,
    /// The total number of units granted to each node in this window.
    granted_total: BTreeMap<NodeId, u64>,
    /// The total number of units returned by each node in this window.
    returned: BTreeMap<NodeId, u64>,
    /// Pending requests, at most one of each node, oldest first.
    pending_requests: Vec<SliceRequest>,
    /// The recall in progress.
    recall: Option<Recall>,
    /// The earliest start of the next recall.
    next_recall_at: Micros,
}

/// An action that the lease holder must carry out for the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerAction {
    /// Replicate this grant to a majority of voters, then send the grant to the node.
    Grant {
        /// The number of the request that this action answers.
        request_id: u64,
        /// The grant, with the total number of units granted to the node in this window.
        grant: WindowGrant,
        /// The time until the window ends, in microseconds.
        remaining: Micros,
    },
    /// Ask these nodes to return their idle units of a window.
    Recall {
        /// The nodes that may have idle units.
        to: Vec<NodeId>,
        /// The number of the window.
        window: u64,
    },
    /// Report to a node that the window is spent.
    Spent {
        /// The node that requested units.
        node_id: NodeId,
        /// The number of the request that this action answers.
        request_id: u64,
        /// The number of the window.
        window: u64,
        /// The time until the window ends, in microseconds.
        remaining: Micros,
    },
}

/// The windows of all tenants whose quota lease this node holds.
#[derive(Clone, Debug, Default)]
pub struct WindowLedger {
    tenants: BTreeMap<String, TenantWindow>,
}

impl WindowLedger {
    /// Adds a grant of an earlier lease holder that a voter has stored. A window whose start no voter knows starts
    /// now.
    pub fn restore_grant(&mut self, grant: &WindowGrant, now: Micros) {
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

    /// Removes a tenant whose lease has ended or that is no longer configured.
    pub fn remove_tenant(&mut self, tenant: &str) {
        self.tenants.remove(tenant);
    }

    /// Handles a node's request for units. `returned` is the window that the node knows and the total number of units
    /// that the node returned in this window.
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
        state.start_next_if_ended(quota, now);
        if returned.0 == state.window {
            state.record_returned(request.node_id, returned.1);
        }
        request.received_at = now;
        state.pending_requests.retain(|pending| pending.node_id != request.node_id);
        state.pending_requests.push(request);
        state.serve_pending(tenant, quota, nodes, now)
    }

    /// Handles a node's reply to a recall: the node has returned `returned` units of the window in total.
    #[allow(clippy::too_many_arguments)]
    pub fn record_recall_reply(
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
        state.serve_pending(tenant, quota, nodes, now)
    }

    /// Serves a tenant's pending requests at the current time: starts the next window, retries or ends a recall.
    pub fn tick(&mut self, tenant: &str, quota: WindowQuota, nodes: u64, now: Micros) -> Vec<LedgerAction> {
        let Some(state) = self.tenants.get_mut(tenant) else { return Vec::new() };
        if state.pending_requests.is_empty() {
            return Vec::new();
        }
        state.start_next_if_ended(quota, now);
        state.serve_pending(tenant, quota, nodes, now)
    }

    /// Returns, for comparison, each tenant's window with the granted and the returned units of all nodes.
    pub fn list(&self) -> Vec<(String, u64, u64, u64)> {
        let row = |(tenant, state): (&String, &TenantWindow)| {
            (tenant.clone(), state.window, state.granted_total.values().sum(), state.returned.values().sum())
        };
        self.tenants.iter().map(row).collect()
    }
}

impl TenantWindow {
    /// Starts the next window if this one has ended; pending requests stay pending in the next window.
    fn start_next_if_ended(&mut self, quota: WindowQuota, now: Micros) {
        if self.window == 0 || now >= self.started_at + quota.window {
            *self = TenantWindow {
                window: self.window + 1,
                started_at: now,
                pending_requests: std::mem::take(&mut self.pending_requests),
                ..TenantWindow::default()
            };
        }
    }

    /// Records the total number of units that a node returned, at most what the node was granted. Idempotent.
    fn record_returned(&mut self, node_id: NodeId, returned: u64) {
        let cap = self.granted_total.get(&node_id).copied().unwrap_or(0);
        let recorded = self.returned.entry(node_id).or_insert(0);
        *recorded = (*recorded).max(returned.min(cap));
    }

    /// Returns the number of units that no node holds or has used.
    fn unused_units(&self, quota: WindowQuota) -> u64 {
        let outstanding: u64 = self.granted_total.values().sum::<u64>() - self.returned.values().sum::<u64>();
        quota.calls.saturating_sub(outstanding)
    }

    /// Grants the unused units, then recalls idle units for the remaining requests, then reports the window as spent.
    fn serve_pending(&mut self, tenant: &str, quota: WindowQuota, nodes: u64, now: Micros) -> Vec<LedgerAction> {
        let mut actions = Vec::new();
        let remaining = (self.started_at + quota.window).saturating_sub(now);
        while let Some(action) = self.grant_next(tenant, quota, nodes, remaining, now) {
            actions.push(action);
        }
        if self.pending_requests.is_empty() {
            self.recall = None;
            return actions;
        }
        if let Some(recalled_at) = self.advance_recall(&mut actions, now) {
            self.report_spent(recalled_at, remaining, &mut actions, now);
        }
        actions
    }

    /// Grants units to the oldest request; returns `None` if no request is pending or no unit is left.
    fn grant_next(
        &mut self,
        tenant: &str,
        quota: WindowQuota,
        nodes: u64,
        remaining: Micros,
        now: Micros,
    ) -> Option<LedgerAction> {
        let request = self.pending_requests.first().cloned()?;
        let unused = self.unused_units(quota);
        if unused == 0 {
            return None;
        }
        self.pending_requests.remove(0);
        // At least half of an equal part per node, which leaves units for other nodes; a quarter of all unused units
        // if that is more.
        let half_equal_part = (unused / (2 * nodes.max(1))).max(1);
        let units = request.wanted_units.min(half_equal_part.max(unused / 4)).max(1).min(unused);
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

    /// Starts, retries or finishes a recall. Returns the start of a finished recall: the window is spent for requests
    /// that were received by then.
    fn advance_recall(&mut self, actions: &mut Vec<LedgerAction>, now: Micros) -> Option<Micros> {
        let Some(recall) = &mut self.recall else { return self.start_recall(actions, now) };
        if recall.unanswered.is_empty() || now >= recall.started_at + RECALL_TIMEOUT {
            return Some(recall.started_at);
        }
        if !recall.is_retried && now >= recall.started_at + RECALL_RETRY_AFTER {
            recall.is_retried = true;
            let to = recall.unanswered.iter().copied().collect();
            actions.push(LedgerAction::Recall { to, window: self.window });
        }
        None
    }

    /// Starts a recall, unless the last one finished less than [`RECALL_BACKOFF`] ago. If no node has any units, the
    /// recall finishes at once: returns its start.
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
        self.recall = Some(Recall { started_at: now, unanswered: to.iter().copied().collect(), is_retried: false });
        actions.push(LedgerAction::Recall { to, window: self.window });
        None
    }

    /// Reports the window as spent to requests that were received before the recall started. Later requests wait for
    /// another recall: units may have become idle after this recall asked for them.
    fn report_spent(&mut self, recalled_at: Micros, remaining: Micros, actions: &mut Vec<LedgerAction>, now: Micros) {
        self.recall = None;
        self.next_recall_at = now + RECALL_BACKOFF;
        let (before, after): (Vec<_>, _) =
            self.pending_requests.drain(..).partition(|request| request.received_at <= recalled_at);
        self.pending_requests = after;
        let window = self.window;
        actions.extend(before.into_iter().map(|request| LedgerAction::Spent {
            node_id: request.node_id,
            request_id: request.request_id,
            window,
            remaining,
        }));
    }
}
