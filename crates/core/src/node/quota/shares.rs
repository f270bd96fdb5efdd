//! Shares of rates between those who spend them and who holds their tenants' duties.

use crate::base::{Incarnation, MS, Micros, NodeId, SEC};
use crate::config::{Limit, Rate};
use crate::lease::quota_role;
use crate::node::{Effect, Node};
use crate::protocol::{LeaseClaim, Message, QuotaMessage, ShareGrant, ShareRequest};
use crate::quota::{AGAIN, tenant_key};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The duty and the rate of a tenant by the hash of its name.
type ByKey = BTreeMap<u64, (u32, Rate)>;

/// What a node asks of the holder of some duties: the shares of their tenants' rates, and the newest
/// holders that it has heard of.
#[derive(Clone, Debug)]
pub(in crate::node) struct ShareRequests {
    pub(in crate::node) n: u64,
    pub(in crate::node) rows: Vec<ShareRequest>,
    /// For how long the asking life held just its share of each row and was given nothing.
    pub(in crate::node) idle: Vec<Micros>,
    pub(in crate::node) marks: Vec<LeaseClaim>,
}

/// An ask that its core has not answered yet.
#[derive(Clone, Debug)]
struct Open {
    to: NodeId,
    at: Micros,
    late: bool,
    rows: Vec<String>,
}

#[derive(Clone, Debug, Default)]
pub(in crate::node) struct ShareClient {
    open: BTreeMap<u64, Open>,
    /// The newest holder that a duty was heard of, by the set of cores and its epoch there.
    top: BTreeMap<u32, (u64, u64)>,
    /// Whom to ask next where the last one said nothing or knew nobody.
    turn: BTreeMap<u32, NodeId>,
    waits: BTreeMap<String, u64>,
    swept: Micros,
    /// The rates of a version by the hash of the tenant's name.
    rates: (u64, Arc<ByKey>),
}

impl Node {
    pub(in crate::node) fn tenant_rates(&mut self) -> Arc<ByKey> {
        let version = self.config.version + 1;
        if self.quota.share_client.rates.0 != version {
            let of = |t: &Arc<crate::config::Tenant>| match t.quota {
                Limit::Rate(r) => Some((tenant_key(&t.name), (quota_role(&t.name), r))),
                _ => None,
            };
            self.quota.share_client.rates = (version, Arc::new(self.config.tenants.values().filter_map(of).collect()));
        }
        self.quota.share_client.rates.1.clone()
    }

    pub(in crate::node) fn on_rate_needed(&mut self, t: &str, waiting: u64, now: Micros) {
        self.quota.slices.rates.request_soon(t);
        let w = self.quota.share_client.waits.entry(t.to_owned()).or_default();
        *w = (*w).max(waiting);
        self.tick_shares(now);
    }

    pub(in crate::node) fn tick_shares(&mut self, now: Micros) {
        self.expire_share_pools(now);
        self.time_out_share_requests(now);
        if self.version().is_none() {
            return;
        }
        let mut by: BTreeMap<NodeId, Vec<String>> = BTreeMap::new();
        for t in self.quota.slices.rates.due_requests(!self.settings.is_core && !self.draining, now) {
            if let Some(to) = self.share_holder(quota_role(&t)) {
                by.entry(to).or_default().push(t);
            }
        }
        for (to, ts) in by {
            self.request_shares(to, ts, now);
        }
    }

    fn request_shares(&mut self, to: NodeId, ts: Vec<String>, now: Micros) {
        let n = self.next_request_id();
        let ds: BTreeSet<_> = ts.iter().map(|t| quota_role(t)).collect();
        let (rows, idle) = ts
            .iter()
            .filter_map(|t| {
                let w = self.quota.share_client.waits.remove(t).unwrap_or(0);
                let idle = self.quota.slices.rates.idle_for(t, now);
                Some((self.quota.slices.rates.make_request(t, n, w, now)?, idle))
            })
            .unzip();
        let top = &self.quota.share_client.top;
        let marks = ds
            .iter()
            .filter_map(|d| {
                let (set, epoch) = *top.get(d)?;
                Some(LeaseClaim { role: *d, voter_set: set, epoch, holder: NodeId::default() })
            })
            .collect();
        self.counters.share_requests += 1;
        self.quota.share_client.open.insert(n, Open { to, at: now, late: false, rows: ts });
        self.send(
            to,
            Message::Quota(QuotaMessage::ShareRequests {
                request_id: n,
                requests: rows,
                claims: marks,
                idle_for: idle,
            }),
            now,
        );
    }

    /// Who holds some duties wants to know at once what this node holds of their tenants.
    pub(in crate::node) fn on_share_probe(&mut self, by: NodeId, marks: &[LeaseClaim], now: Micros) {
        let addr = self.settings.addr.clone();
        let age = now.saturating_sub(self.clock.started_at);
        self.send(by, Message::Quota(QuotaMessage::ShareProbeReply { addr, claims: marks.to_vec(), age }), now);
        let mut ds = BTreeSet::new();
        for m in marks {
            let top = self.quota.share_client.top.entry(m.role).or_default();
            if (m.voter_set, m.epoch) >= *top {
                *top = (m.voter_set, m.epoch);
                self.quota.share_client.turn.remove(&m.role);
                self.leases.held.holder_hints.insert(m.role, by);
                ds.insert(m.role);
            }
        }
        if self.version().is_none() || self.draining || ds.is_empty() {
            return;
        }
        let all =
            self.config.tenants.keys().filter(|t| ds.contains(&quota_role(t)) && self.quota.slices.rates.is_rate(t));
        let ts: Vec<_> = all.cloned().collect();
        if !ts.is_empty() {
            self.request_shares(by, ts, now);
        }
    }

    fn share_holder(&self, d: u32) -> Option<NodeId> {
        let t = self.quota.share_client.turn.get(&d).or_else(|| self.leases.held.holder_hints.get(&d)).copied();
        t.filter(|n| self.consensus.state.is_voter(*n)).or_else(|| self.ranked_voters(d).first().copied())
    }

    /// Who does not answer is not asked again: another core knows who holds the duty now.
    fn time_out_share_requests(&mut self, now: Micros) {
        let late: Vec<_> =
            self.quota.share_client.open.iter().filter(|o| !o.1.late && now >= o.1.at + AGAIN).map(|o| *o.0).collect();
        for n in late {
            let Some(o) = self.quota.share_client.open.get_mut(&n) else { continue };
            o.late = true;
            let (to, rows) = (o.to, o.rows.clone());
            self.counters.share_requests_timed_out += 1;
            let ds: BTreeSet<_> = rows.iter().map(|t| quota_role(t)).collect();
            for d in ds {
                if self.share_holder(d) == Some(to) {
                    self.try_next_voter(d, to);
                }
            }
            for t in rows {
                self.quota.slices.rates.request_timed_out(&t, n);
            }
        }
        self.quota.share_client.open.retain(|_, o| now < o.at + 4 * SEC);
    }

    fn try_next_voter(&mut self, d: u32, to: NodeId) {
        self.leases.held.holder_hints.remove(&d);
        if let Some(n) = self.voter_after(to) {
            self.quota.share_client.turn.insert(d, n);
        }
    }

    fn expire_share_pools(&mut self, now: Micros) {
        if now < self.quota.share_client.swept + 200 * MS {
            return;
        }
        self.quota.share_client.swept = now;
        for d in self.quota.share_pools.roles() {
            if self.leases.held.valid_epoch(d, now).is_none() {
                self.quota.share_pools.end_lease(d);
            }
        }
        let rs = self.tenant_rates();
        self.quota.share_pools.expire(|k| rs.get(&k).map(|r| r.1), now);
    }

    /// The epoch of a duty under which shares may be given: a holder waits until a majority
    /// knows that there was one, so that no later one takes itself for the first.
    pub fn share_epoch(&self, d: u32, now: Micros) -> Option<u64> {
        let e = self.leases.held.valid_epoch(d, now)?;
        self.leases.held.by_role.get(&d).filter(|h| h.is_renewed).map(|_| e)
    }

    pub(in crate::node) fn on_share_requests(&mut self, by: (NodeId, Incarnation), ask: ShareRequests, now: Micros) {
        let rs = self.tenant_rates();
        let set = self.voter_set();
        let nodes = self.dissemination.peers.live(now).count() as u64;
        let Some(ShareRequests { n, rows, idle, marks }) = self.admit_share_requests(by, ask, now) else { return };
        let over = |d: u32, e: u64| marks.iter().any(|m| m.role == d && (m.voter_set, m.epoch) > (set, e));
        let mut out: BTreeMap<u32, LeaseClaim> = BTreeMap::new();
        let mut given = Vec::with_capacity(rows.len());
        for (i, q) in rows.iter().enumerate() {
            let mut g = None;
            if let Some((d, r)) = rs.get(&q.tenant_key).copied() {
                // Who asks has heard of a later holder.
                let e = self.share_epoch(d, now).filter(|e| !over(d, *e));
                out.entry(d).or_insert_with(|| {
                    let row = self
                        .leases
                        .grantor
                        .granted
                        .get(&d)
                        .filter(|r| r.expires_at > now && r.holder != self.settings.node_id);
                    let holder =
                        if e.is_some() { self.settings.node_id } else { row.map(|r| r.holder).unwrap_or_default() };
                    LeaseClaim { role: d, voter_set: set, epoch: e.unwrap_or(0), holder }
                });
                if let Some(e) = e {
                    // An older ask may have been overtaken by what an older holder gave.
                    if marks.iter().any(|m| (m.role, m.voter_set, m.epoch) == (d, set, e)) {
                        self.quota.share_pools.record_request(d, q, by, r, idle.get(i).copied().unwrap_or(0), now);
                    }
                    g = self
                        .quota
                        .share_pools
                        .pool(d, q.tenant_key, r, now)
                        .and_then(|pool| pool.request(by, n, q, r, nodes, now));
                }
            }
            let g = g.unwrap_or_default();
            if g.granted {
                let c = &mut self.counters;
                match g.share.cmp(&q.held_share) {
                    std::cmp::Ordering::Greater => c.shares_grown += 1,
                    std::cmp::Ordering::Less => c.shares_shrunk += 1,
                    std::cmp::Ordering::Equal => c.shares_renewed += 1,
                }
            }
            given.push(g);
        }
        let marks = out.into_values().collect();
        self.send(by.0, Message::Quota(QuotaMessage::ShareGrants { request_id: n, grants: given, claims: marks }), now);
    }

    pub(in crate::node) fn on_share_grants(
        &mut self,
        by: NodeId,
        n: u64,
        rows: &[ShareGrant],
        marks: &[LeaseClaim],
        now: Micros,
    ) {
        let Some(o) = self.quota.share_client.open.remove(&n) else { return };
        if o.to != by || o.rows.len() != rows.len() {
            return;
        }
        let mut old = BTreeSet::new();
        for m in marks {
            if m.holder == by {
                let top = self.quota.share_client.top.entry(m.role).or_default();
                if (m.voter_set, m.epoch) < *top {
                    old.insert(m.role);
                    continue;
                }
                *top = (m.voter_set, m.epoch);
                self.quota.share_client.turn.remove(&m.role);
                self.leases.held.holder_hints.insert(m.role, by);
            } else if self.share_holder(m.role) == Some(by) {
                if m.holder == NodeId::default() {
                    self.try_next_voter(m.role, by);
                } else {
                    self.quota.share_client.turn.insert(m.role, m.holder);
                }
            }
        }
        for (t, g) in o.rows.iter().zip(rows) {
            if g.granted && !old.contains(&quota_role(t)) {
                if self.quota.slices.rates.apply_grant(t, n, *g, o.at, now) {
                    self.outbox.push(Effect::WakeTenant { tenant: t.clone() });
                }
            } else {
                self.quota.slices.rates.request_rejected(t, n);
            }
        }
        // Calls that came while the ask was open need not wait for the next tick.
        self.tick_shares(now);
    }
}
