//! Which lives of nodes may hold shares: on the disks of a majority before any share is given.

use crate::base::{Incarnation, MS, Micros, NodeId, SEC, Version};
use crate::consensus::{DurableState, DurableWrite, is_majority};
use crate::node::Node;
use crate::node::quota::ShareRequests;
use crate::protocol::{LeaseClaim, MembershipMessage, Message, QuotaMessage, RegisteredIncarnation};
use std::collections::{BTreeMap, BTreeSet};

/// A holder relies on a registration for so long after it asked for it.
const SURE: Micros = 8 * SEC;
const RENEW: Micros = 4 * SEC;
/// A voter forgets a registration later than any share given by it ends, which is a lease
/// after a holder last relied on it.
const KEEP: Micros = 20 * SEC;
const AGAIN: Micros = 200 * MS;
const PROBE: Micros = 150 * MS;
const MOST: usize = 10_000;

/// A registration that voters have not confirmed yet.
#[derive(Clone, Debug)]
struct Open {
    at: Micros,
    set: Version,
    rows: Vec<(NodeId, Incarnation)>,
    got: BTreeSet<NodeId>,
}

/// An ask that waits for one.
#[derive(Clone, Debug)]
struct Wait {
    at: Micros,
    ask: ShareRequests,
}

#[derive(Clone, Debug, Default)]
pub(in crate::node) struct Registrations {
    /// As a voter: on its disk, or on the way there; when a holder last asked for it.
    kept: BTreeMap<(NodeId, Incarnation), (String, Micros)>,
    swept: Micros,
    /// As a holder: when it asked for what a majority has confirmed.
    sure: BTreeMap<(NodeId, Incarnation), Micros>,
    open: BTreeMap<u64, Open>,
    wait: BTreeMap<(NodeId, Incarnation), Wait>,
    probed: Micros,
}

impl Registrations {
    /// The registrations that are on the disk, as if asked for now.
    pub fn new(k: &DurableState, now: Micros) -> Self {
        let kept = k.registered.iter().map(|(l, a)| (*l, (a.clone(), now))).collect();
        Registrations { kept, swept: now, ..Registrations::default() }
    }

    fn is_sure(&self, l: (NodeId, Incarnation), age: Micros, now: Micros) -> bool {
        self.sure.get(&l).is_some_and(|at| now < at + age)
    }
}

impl Node {
    /// All lives that this voter has registered.
    pub(in crate::node) fn registered_incarnations(&self) -> Vec<RegisteredIncarnation> {
        let of = |(l, (a, _)): (&(NodeId, Incarnation), &(String, Micros))| RegisteredIncarnation {
            node_id: l.0,
            incarnation: l.1,
            addr: a.clone(),
        };
        self.membership.registrations.kept.iter().map(of).collect()
    }

    pub(in crate::node) fn record_registrations(&mut self, ops: &[DurableWrite], now: Micros) {
        for o in ops {
            if let DurableWrite::Register(ls) = o {
                self.membership
                    .registrations
                    .kept
                    .extend(ls.iter().map(|l| ((l.node_id, l.incarnation), (l.addr.clone(), now))));
            }
        }
    }

    /// An ask that may be answered now; another one waits for its sender's registration.
    pub(in crate::node) fn admit_share_requests(
        &mut self,
        by: (NodeId, Incarnation),
        ask: ShareRequests,
        now: Micros,
    ) -> Option<ShareRequests> {
        let rs = self.tenant_rates();
        let mine = ask.rows.iter().any(|q| rs.get(&q.tenant_key).is_some_and(|r| self.share_epoch(r.0, now).is_some()));
        if !mine || self.membership.registrations.is_sure(by, SURE, now) {
            return Some(ask);
        }
        if self.membership.registrations.wait.get(&by).is_none_or(|w| w.ask.n < ask.n)
            && self.membership.registrations.wait.len() < MOST
        {
            self.membership.registrations.wait.insert(by, Wait { at: now, ask });
        }
        self.register_waiting(now);
        None
    }

    /// One message for all who wait, and for those who will ask.
    fn register_waiting(&mut self, now: Micros) {
        let set = self.voter_set();
        let v = &self.membership.registrations;
        let fresh = |o: &&Open| o.set == set && now < o.at + AGAIN;
        let under: BTreeSet<_> = v.open.values().filter(fresh).flat_map(|o| &o.rows).copied().collect();
        let need = |l: (NodeId, Incarnation)| !under.contains(&l) && !v.is_sure(l, RENEW, now);
        let life = |l: (NodeId, Incarnation)| {
            Some(RegisteredIncarnation {
                node_id: l.0,
                incarnation: l.1,
                addr: self.dissemination.peers.address(l.0)?.to_owned(),
            })
        };
        let front = self
            .dissemination
            .peers
            .live(now)
            .filter(|p| !p.is_core || v.sure.contains_key(&(p.node_id, p.incarnation)));
        let all: BTreeSet<_> = front.map(|p| (p.node_id, p.incarnation)).chain(v.wait.keys().copied()).collect();
        let rows: Vec<_> = all.into_iter().filter(|l| need(*l)).filter_map(life).take(MOST).collect();
        if rows.is_empty() {
            return;
        }
        let n = self.next_request_id();
        let ids = rows.iter().map(|l| (l.node_id, l.incarnation)).collect();
        self.membership.registrations.open.insert(n, Open { at: now, set, rows: ids, got: BTreeSet::new() });
        let to: Vec<_> = self.consensus.state.voters().iter().map(|c| c.node_id).collect();
        for c in to {
            self.send(
                c,
                Message::Membership(MembershipMessage::Register {
                    voter_set: set,
                    request_id: n,
                    incarnations: rows.clone(),
                }),
                now,
            );
        }
    }

    /// A voter that saw a later set confirms nothing for a holder of an older one: what it
    /// hands over would lack it.
    pub(in crate::node) fn on_register(
        &mut self,
        by: NodeId,
        set: Version,
        n: u64,
        rows: Vec<RegisteredIncarnation>,
        now: Micros,
    ) {
        if !self.voter() || set != self.voter_set() {
            return;
        }
        let kept = &mut self.membership.registrations.kept;
        let (old, new): (Vec<_>, Vec<_>) =
            rows.into_iter().partition(|l| kept.contains_key(&(l.node_id, l.incarnation)));
        if kept.len() + new.len() > MOST {
            return;
        }
        for l in old.iter().chain(&new) {
            kept.insert((l.node_id, l.incarnation), (l.addr.clone(), now));
        }
        let m = Message::Membership(MembershipMessage::Registered { voter_set: set, request_id: n });
        if !new.is_empty() {
            let then = self.send_effect(by, m, now).into_iter().collect();
            self.persist(vec![DurableWrite::Register(new)], then);
        } else if let Some(effect) = self.send_effect(by, m, now) {
            // What was known may still be on its way to the disk.
            if let Err(effect) = self.outbox.defer(effect) {
                self.emit(effect);
            }
        }
    }

    pub(in crate::node) fn on_registered(&mut self, by: NodeId, set: Version, n: u64, now: Micros) {
        let now_set = self.voter_set();
        let Some(o) = self.membership.registrations.open.get_mut(&n).filter(|o| o.set == set && set == now_set) else {
            return;
        };
        o.got.insert(by);
        if !is_majority(self.consensus.state.voters(), &o.got) {
            return;
        }
        let Some(o) = self.membership.registrations.open.remove(&n) else { return };
        for l in o.rows {
            let e = self.membership.registrations.sure.entry(l).or_insert(o.at);
            *e = (*e).max(o.at);
            if let Some(w) = self.membership.registrations.wait.remove(&l) {
                self.on_share_requests(l, w.ask, now);
            }
        }
    }

    pub(in crate::node) fn tick_registrations(&mut self, now: Micros) {
        if now >= self.membership.registrations.swept + SEC {
            self.membership.registrations.swept = now;
            let old: Vec<_> =
                self.membership.registrations.kept.iter().filter(|l| now > l.1.1 + KEEP).map(|l| *l.0).collect();
            if !old.is_empty() {
                self.membership.registrations.kept.retain(|l, _| !old.contains(l));
                self.persist(vec![DurableWrite::Deregister(old)], Vec::new());
            }
            self.membership.registrations.sure.retain(|_, at| now < *at + SURE);
            self.membership.registrations.open.retain(|_, o| now < o.at + SEC);
            self.membership.registrations.wait.retain(|_, w| now < w.at + SEC);
        }
        let ds = self.quota.share_pools.roles();
        if ds.is_empty() {
            return;
        }
        self.register_waiting(now);
        if now < self.membership.registrations.probed + PROBE {
            return;
        }
        self.membership.registrations.probed = now;
        let mut to: BTreeMap<String, Vec<LeaseClaim>> = BTreeMap::new();
        for d in ds {
            let Some(m) = self.lease_claim(d, now) else { continue };
            let at: BTreeSet<_> = self.quota.share_pools.suspects(d, now).into_iter().map(|l| l.addr).collect();
            for a in at {
                to.entry(a).or_default().push(m);
            }
        }
        for (a, marks) in to {
            self.send_to_address(&a, Message::Quota(QuotaMessage::ShareProbe { claims: marks }), now);
        }
    }

    fn lease_claim(&self, d: u32, now: Micros) -> Option<LeaseClaim> {
        let epoch = self.share_epoch(d, now)?;
        Some(LeaseClaim { role: d, voter_set: self.voter_set(), epoch, holder: self.settings.node_id })
    }

    /// Nodes that hold nothing yet ask for it now.
    pub(in crate::node) fn solicit_share_requests(&mut self, ds: &[u32], now: Micros) {
        let marks: Vec<_> = ds.iter().filter_map(|d| self.lease_claim(*d, now)).collect();
        if marks.is_empty() {
            return;
        }
        let to: Vec<_> = self.dissemination.peers.live(now).filter(|p| !p.is_core).map(|p| p.node_id).collect();
        for n in to {
            self.send(n, Message::Quota(QuotaMessage::ShareProbe { claims: marks.clone() }), now);
        }
        self.membership.registrations.probed = 0;
    }

    /// A life that answers a probe of this term was alive in it.
    pub(in crate::node) fn on_share_probe_reply(
        &mut self,
        by: (NodeId, Incarnation),
        addr: &str,
        marks: &[LeaseClaim],
        age: Micros,
        now: Micros,
    ) {
        let mut lit = Vec::new();
        for m in marks {
            let e = self.share_epoch(m.role, now);
            if m.voter_set == self.voter_set()
                && e == Some(m.epoch)
                && self.quota.share_pools.record_alive(m.role, by, addr, age, now)
            {
                lit.push(m.role);
            }
        }
        self.solicit_share_requests(&lit, now);
    }
}
