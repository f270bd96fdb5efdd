//! Units of windows: asked for, granted on a majority's disks, recalled and returned.

use crate::base::{MS, Micros, NodeId, SEC, Version};
use crate::config::{Limit, WindowQuota};
use crate::consensus::{DurableWrite, is_majority};
use crate::lease::{LEASE_DURATION, quota_role};
use crate::node::{Effect, Node};
use crate::protocol::{Message, QuotaMessage, WindowGrant};
use crate::quota::{LedgerAction, SliceRequest};
use std::collections::{BTreeSet, VecDeque};

const AGAIN: Micros = 250 * MS;
/// So many asks that were overtaken by newer ones are remembered for each tenant.
const EARLIER_ASKS: usize = 8;

/// An ask of this node that its tenant's holder has not answered.
#[derive(Clone, Debug)]
pub(in crate::node) struct PendingSliceRequest {
    n: u64,
    /// Asks that a newer one took the place of, and when each was sent.
    earlier: VecDeque<(u64, Micros)>,
    to: NodeId,
    at: Micros,
    waiting: u64,
    hops: u8,
    idle: bool,
    next: bool,
}

impl PendingSliceRequest {
    /// The asks whose slices may still come once a newer ask takes this one's place.
    fn overtaken(self) -> VecDeque<(u64, Micros)> {
        let mut earlier = self.earlier;
        earlier.push_back((self.n, self.at));
        while earlier.len() > EARLIER_ASKS {
            earlier.pop_front();
        }
        earlier
    }

    /// When the ask was sent whose slice came late, or after another answer to it: an ask that comes
    /// twice is answered twice.
    fn late(&self, n: u64) -> Option<Micros> {
        if self.idle && self.n == n {
            return Some(self.at);
        }
        self.earlier.iter().find(|e| e.0 == n).map(|e| e.1)
    }
}

/// Slices that go out once a majority has them on disk.
#[derive(Clone, Debug)]
pub(in crate::node) struct PendingGrants {
    duty: u32,
    epoch: u64,
    at: Micros,
    got: BTreeSet<NodeId>,
    gives: Vec<(u64, WindowGrant, Micros)>,
}

impl Node {
    fn window_quota(&self, t: &str) -> Option<WindowQuota> {
        match self.config.tenants.get(t)?.quota {
            Limit::Window(q) => Some(q),
            _ => None,
        }
    }

    /// Calls of a tenant wait here, or its slice runs low.
    pub(in crate::node) fn on_quota_needed(&mut self, t: &str, waiting: u64, now: Micros) {
        if self.window_quota(t).is_none() {
            if self.quota.slices.rates.is_rate(t) {
                self.on_rate_needed(t, waiting, now);
            }
            return;
        }
        let mut to = None;
        if let Some(a) = self.quota.slice_requests.get(t).filter(|a| a.next) {
            to = self.voter_after(a.to);
        } else if let Some(a) = self.quota.slice_requests.get_mut(t).filter(|a| !a.idle) {
            if now.saturating_sub(a.at) < AGAIN {
                a.waiting = a.waiting.max(waiting);
                return;
            }
            let mute = a.to;
            self.leases.held.holder_hints.remove(&quota_role(t));
            to = self.voter_after(mute);
        }
        self.request_slice(t, waiting, 0, to, now);
    }

    /// The core after one that does not answer; it knows who holds the duty now.
    pub(in crate::node) fn voter_after(&self, mute: NodeId) -> Option<NodeId> {
        let cs = self.consensus.state.voters();
        let i = cs.iter().position(|c| c.node_id == mute).map_or(0, |i| i + 1);
        cs.get(i % cs.len().max(1)).map(|c| c.node_id)
    }

    fn request_slice(&mut self, t: &str, waiting: u64, hops: u8, to: Option<NodeId>, now: Micros) {
        let d = quota_role(t);
        let hint = self.leases.held.holder_hints.get(&d).copied().filter(|h| self.consensus.state.is_voter(*h));
        let Some(to) = to.or(hint).or_else(|| self.ranked_voters(d).first().copied()) else { return };
        let n = self.next_request_id();
        let (want, window, returned) = self.quota.slices.demand(t, waiting, now);
        let earlier = self.quota.slice_requests.remove(t).map_or_else(VecDeque::new, PendingSliceRequest::overtaken);
        self.quota.slice_requests.insert(
            t.to_owned(),
            PendingSliceRequest { n, earlier, to, at: now, waiting: 0, hops, idle: false, next: false },
        );
        self.send(
            to,
            Message::Quota(QuotaMessage::SliceRequest {
                request_id: n,
                tenant: t.to_owned(),
                wanted_units: want,
                window,
                returned,
            }),
            now,
        );
    }

    pub(in crate::node) fn on_slice_request(
        &mut self,
        by: NodeId,
        n: u64,
        t: &str,
        want: u64,
        returned: (u64, u64),
        now: Micros,
    ) {
        let d = quota_role(t);
        if self.leases.held.valid_epoch(d, now).is_none() {
            let row =
                self.leases.grantor.granted.get(&d).filter(|r| r.expires_at > now && r.holder != self.settings.node_id);
            let holder = row.map(|r| r.holder).unwrap_or_default();
            self.send(
                by,
                Message::Quota(QuotaMessage::NotLeaseHolder { request_id: n, tenant: t.to_owned(), holder }),
                now,
            );
            return;
        }
        let Some(q) = self.window_quota(t) else { return };
        let nodes = self.dissemination.peers.live(now).count() as u64;
        let ask = SliceRequest { node_id: by, request_id: n, wanted_units: want, received_at: now };
        let v = self.quota.window_ledger.request(t, q, ask, returned, nodes, now);
        self.run_ledger_actions(t, v, now);
    }

    pub(in crate::node) fn on_return_slice(&mut self, by: NodeId, t: &str, window: u64, returned: u64, now: Micros) {
        let Some(q) = self.window_quota(t) else { return };
        if self.leases.held.valid_epoch(quota_role(t), now).is_some() {
            let nodes = self.dissemination.peers.live(now).count() as u64;
            let v = self.quota.window_ledger.return_units(t, q, by, window, returned, nodes, now);
            self.run_ledger_actions(t, v, now);
        }
    }

    pub(in crate::node) fn tick_windows(&mut self, now: Micros) {
        self.quota.pending_grants.retain(|_, o| now.saturating_sub(o.at) < 2 * SEC);
        let nodes = self.dissemination.peers.live(now).count() as u64;
        for (t, ..) in self.quota.window_ledger.list() {
            match (self.leases.held.valid_epoch(quota_role(&t), now), self.window_quota(&t)) {
                (Some(_), Some(q)) => {
                    let v = self.quota.window_ledger.tick(&t, q, nodes, now);
                    self.run_ledger_actions(&t, v, now);
                }
                // Who is not in this node's version may be in the next one.
                (Some(_), None) => {}
                (None, _) => self.quota.window_ledger.forget(&t),
            }
        }
    }

    fn run_ledger_actions(&mut self, t: &str, v: Vec<LedgerAction>, now: Micros) {
        let d = quota_role(t);
        let Some(epoch) = self.leases.held.valid_epoch(d, now) else { return };
        let mut gives = Vec::new();
        for x in v {
            match x {
                LedgerAction::Grant { request_id: n, grant: g, remaining: left } => gives.push((n, g, left)),
                LedgerAction::Recall { to, window } => {
                    self.counters.slices_recalled += 1;
                    for n in to {
                        self.send(
                            n,
                            Message::Quota(QuotaMessage::RecallSlice { tenant: t.to_owned(), window, epoch }),
                            now,
                        );
                    }
                }
                LedgerAction::Spent { node_id, request_id: n, window, remaining: left } => {
                    self.counters.windows_spent += 1;
                    self.send(
                        node_id,
                        Message::Quota(QuotaMessage::WindowSpent {
                            request_id: n,
                            tenant: t.to_owned(),
                            window,
                            remaining: left,
                        }),
                        now,
                    );
                }
            }
        }
        if gives.is_empty() {
            return;
        }
        let rows: Vec<_> = gives.iter().map(|g| g.1.clone()).collect();
        let n = self.next_request_id();
        self.quota.pending_grants.insert(n, PendingGrants { duty: d, epoch, at: now, got: BTreeSet::new(), gives });
        let set = self.voter_set();
        self.broadcast_to_voters(
            &Message::Quota(QuotaMessage::ReplicateGrants {
                voter_set: set,
                role: d,
                epoch,
                request_id: n,
                grants: rows,
            }),
            now,
        );
    }

    /// Takes a grant into the rows that a successor will read; true if it is news.
    pub(in crate::node) fn record_grant(&mut self, g: &WindowGrant, now: Micros) -> bool {
        let top = self.quota.windows.get(&g.tenant).map_or(0, |w| w.0);
        if g.window < top {
            return false;
        }
        // How long it has run may be known as little to whoever tells of it just after a start.
        self.leases.grantor.role_fences.entry(quota_role(&g.tenant)).or_insert(self.clock.started_at + LEASE_DURATION);
        let from = now.saturating_sub(g.age);
        if g.window > top {
            self.quota.grants.retain(|(t, _), _| *t != g.tenant);
            self.quota.windows.insert(g.tenant.clone(), (g.window, from));
        } else if let Some(w) = self.quota.windows.get_mut(&g.tenant) {
            w.1 = w.1.min(from);
        }
        let k = (g.tenant.clone(), g.node_id);
        if self.quota.grants.get(&k).is_some_and(|o| o.granted_total >= g.granted_total) {
            return false;
        }
        self.quota.grants.insert(k, g.clone());
        true
    }

    pub(in crate::node) fn grants_of(&self, f: impl Fn(&str) -> bool, now: Micros) -> Vec<WindowGrant> {
        self.quota
            .grants
            .values()
            .filter(|g| f(&g.tenant))
            .map(|g| {
                let age = self.quota.windows.get(&g.tenant).map_or(0, |w| now.saturating_sub(w.1));
                WindowGrant { age, ..g.clone() }
            })
            .collect()
    }

    #[allow(clippy::too_many_arguments)]
    pub(in crate::node) fn on_replicate_grants(
        &mut self,
        by: NodeId,
        set: Version,
        d: u32,
        epoch: u64,
        n: u64,
        mut rows: Vec<WindowGrant>,
        lag: Micros,
        now: Micros,
    ) {
        if !self.is_ready() || set != self.voter_set() {
            return;
        }
        if self.leases.grantor.is_fenced(d, epoch) {
            self.counters.messages_fenced += 1;
            return;
        }
        for g in &mut rows {
            g.age = g.age.saturating_add(lag);
        }
        // An older window can't be kept beside a newer one, so it is not vouched for.
        if rows.iter().any(|g| self.quota.windows.get(&g.tenant).is_some_and(|w| w.0 > g.window)) {
            return;
        }
        rows.retain(|g| self.record_grant(g, now));
        let then =
            self.send_effect(by, Message::Quota(QuotaMessage::GrantsSynced { role: d, epoch, request_id: n }), now);
        let ops = rows.into_iter().map(DurableWrite::Grant).collect();
        self.persist(ops, then.into_iter().collect());
    }

    pub(in crate::node) fn on_grants_synced(&mut self, by: NodeId, d: u32, epoch: u64, n: u64, now: Micros) {
        let cores = self.consensus.state.voters().to_vec();
        let Some(o) = self.quota.pending_grants.get_mut(&n) else { return };
        if o.duty != d || o.epoch != epoch {
            return;
        }
        o.got.insert(by);
        if !is_majority(&cores, &o.got) {
            return;
        }
        let Some(o) = self.quota.pending_grants.remove(&n) else { return };
        if self.leases.held.valid_epoch(d, now) != Some(epoch) {
            return;
        }
        let late = now.saturating_sub(o.at);
        for (n, g, left) in o.gives {
            self.counters.slices_granted += 1;
            let left = left.saturating_sub(late);
            self.send(
                g.node_id,
                Message::Quota(QuotaMessage::SliceGranted {
                    request_id: n,
                    tenant: g.tenant,
                    window: g.window,
                    granted_total: g.granted_total,
                    remaining: left,
                    epoch,
                }),
                now,
            );
        }
    }

    /// A slice counts from the moment that this node asked for it.
    fn take_slice_request(&mut self, n: u64, t: &str) -> Option<(Micros, u64)> {
        let a = self.quota.slice_requests.get_mut(t)?;
        if a.n != n || a.idle {
            return None;
        }
        a.idle = true;
        Some((a.at, a.waiting))
    }

    pub(in crate::node) fn on_slice_granted(
        &mut self,
        n: u64,
        t: &str,
        window: u64,
        granted_total: u64,
        left: Micros,
        epoch: u64,
    ) {
        let d = quota_role(t);
        if self.leases.grantor.is_fenced(d, epoch) {
            self.counters.messages_fenced += 1;
            return;
        }
        // The holder counts a slice as this node's whenever it comes, so a late one is taken too.
        let late = self.quota.slice_requests.get(t).and_then(|a| a.late(n)).map(|at| (at, 0));
        let Some((at, more)) = late.or_else(|| self.take_slice_request(n, t)) else { return };
        if !self.settings.is_core {
            self.leases.grantor.observe_epoch(d, epoch);
        }
        self.quota.slices.add_granted(t, window, granted_total, at + left);
        self.outbox.push(Effect::WakeTenant { tenant: t.to_owned() });
        if more > 0 {
            let now = self.clock.last_step;
            self.request_slice(t, more, 0, None, now);
        }
    }

    /// The holder's word that nothing is left of a window. `lag` is how long it was under way: the
    /// window went on meanwhile, and where it ended on the way, whoever waits is asked for anew.
    pub(in crate::node) fn on_window_spent(
        &mut self,
        n: u64,
        t: &str,
        (window, left): (u64, Micros),
        lag: Micros,
        now: Micros,
    ) {
        let Some((_, waiting)) = self.take_slice_request(n, t) else { return };
        if left <= lag {
            self.request_slice(t, waiting.max(1), 0, None, now);
            return;
        }
        self.quota.slices.mark_spent(t, window, now + left - lag, now);
        self.outbox.push(Effect::WakeTenant { tenant: t.to_owned() });
    }

    pub(in crate::node) fn on_not_lease_holder(&mut self, by: NodeId, n: u64, t: &str, holder: NodeId, now: Micros) {
        let Some(a) = self.quota.slice_requests.get(t) else { return };
        if a.n != n || a.idle {
            return;
        }
        let (hops, waiting) = (a.hops, a.waiting);
        let d = quota_role(t);
        if self.leases.held.holder_hints.get(&d) == Some(&by) {
            self.leases.held.holder_hints.remove(&d);
        }
        if holder != NodeId::default() && holder != by && hops < 3 {
            self.leases.held.holder_hints.insert(d, holder);
            self.request_slice(t, waiting.max(1), hops + 1, Some(holder), now);
        } else if let Some(a) = self.quota.slice_requests.get_mut(t) {
            // Nobody holds it as far as that one knows: those who wait ask the next one soon.
            a.idle = true;
            a.next = true;
        }
    }

    pub(in crate::node) fn on_recall_slice(&mut self, by: NodeId, t: &str, window: u64, epoch: u64, now: Micros) {
        if self.leases.grantor.is_fenced(quota_role(t), epoch) {
            self.counters.messages_fenced += 1;
            return;
        }
        let returned = self.quota.slices.return_idle(t, window, now).unwrap_or(0);
        self.send(by, Message::Quota(QuotaMessage::ReturnSlice { tenant: t.to_owned(), window, returned }), now);
    }
}
