//! Terms of duties among the voters of a set: asked for, granted and renewed.

use crate::base::{MS, Micros, NodeId, Version, rendezvous_weight};
use crate::consensus::{DurableWrite, is_majority};
use crate::lease::{LEASE_DURATION, LeaseDecision, RENEW_AFTER, ROLE_COUNT, epoch_base, quota_role};
use crate::node::Node;
use crate::protocol::{LeaseMessage, Message, RegisteredIncarnation, WindowGrant};
use std::cmp::Reverse;
use std::collections::BTreeSet;

const STEP: Micros = 100 * MS;

impl Node {
    /// The cores in the order in which rendezvous nominates them for a duty.
    pub(in crate::node) fn ranked_voters(&self, d: u32) -> Vec<NodeId> {
        let mut v: Vec<_> = self
            .consensus
            .state
            .voters()
            .iter()
            .map(|c| (Reverse(rendezvous_weight(c.node_id.0, &d.to_le_bytes())), c.node_id))
            .collect();
        v.sort_unstable();
        v.into_iter().map(|x| x.1).collect()
    }

    /// A duty that nobody holds falls to the first, and later to the next ones.
    fn may_request_lease(&self, d: u32, now: Micros) -> bool {
        let Some(rank) = self.ranked_voters(d).iter().position(|n| *n == self.settings.node_id) else { return false };
        let since = self.leases.grantor.granted.get(&d).map_or(self.leases.grantor.fence_until, |r| r.2);
        now >= since + STEP * rank as u64
    }

    pub(in crate::node) fn tick_leases(&mut self, now: Micros) {
        if !self.is_ready() || now < self.leases.held.renewal_due {
            return;
        }
        self.leases.held.renewal_due = now + 100 * MS;
        let silent = self.is_majority_silent(now);
        let first = epoch_base(self.voter_set());
        for d in 0..ROLE_COUNT {
            let held = self.leases.held.valid_epoch(d, now).is_some();
            if self.draining || (!held && !self.may_request_lease(d, now)) {
                continue;
            }
            let top = self.leases.grantor.epochs.get(&d).copied().unwrap_or(0);
            self.leases.held.last_request_id += 1;
            let n = self.leases.held.last_request_id;
            let h = self.leases.held.by_role.entry(d).or_default();
            let early = held && h.expires_at > now + LEASE_DURATION - RENEW_AFTER && h.is_renewed;
            let open = h.open_request.as_ref().is_some_and(|a| now.saturating_sub(a.1) < 300 * MS);
            // Who hears no answers would lock the others out of what it asks for again and again.
            let in_vain = silent && h.open_request.is_some();
            if early || open || in_vain || now < h.backoff_until {
                continue;
            }
            if !held {
                h.epoch = h.epoch.max(h.highest_epoch).max(top).max(first) + 1;
                h.inherited_grants.clear();
                h.registered.clear();
                h.is_new_epoch = true;
                (h.has_no_predecessor, h.is_renewed) = (true, false);
            }
            h.open_request = Some((n, now, BTreeSet::new()));
            let (epoch, new) = (h.epoch, h.is_new_epoch);
            let m = Message::Lease(LeaseMessage::Request {
                voter_set: self.voter_set(),
                role: d,
                epoch,
                request_id: n,
                is_new_epoch: new,
            });
            // A vote of its own is given last, so that asking in vain locks nobody out.
            let me = self.settings.node_id;
            let to: Vec<_> = self.consensus.state.voters().iter().map(|c| c.node_id).collect();
            for c in &to {
                if !new || *c != me || to.len() == 1 {
                    self.send(*c, m.clone(), now);
                }
            }
        }
    }

    /// A voter that accepted a change of the set gives no vote until it knows whether that came
    /// to be: the next set counts on it.
    pub(in crate::node) fn on_lease_request(
        &mut self,
        by: NodeId,
        set: Version,
        (d, epoch, new): (u32, u64, bool),
        n: u64,
        now: Micros,
    ) {
        if !self.is_ready() || set != self.voter_set() || self.is_changing_voters() {
            return;
        }
        // Silence leaves the vote to those who know: a refusal would end the asker's round.
        if new && now < self.leases.grantor.earlier_sets_until {
            return;
        }
        match self.leases.grantor.request(d, by, epoch, new, now) {
            LeaseDecision::Rejected { epoch, holder, remaining: left } => {
                self.send(
                    by,
                    Message::Lease(LeaseMessage::Rejected { role: d, epoch, request_id: n, holder, remaining: left }),
                    now,
                );
            }
            LeaseDecision::Granted { is_new_epoch: write } => {
                let rows = if write { self.grants_of(|t| quota_role(t) == d, now) } else { Vec::new() };
                let first = !self.leases.grantor.previously_held.contains(&d);
                let lives = if write { self.registered_incarnations() } else { Vec::new() };
                let m = Message::Lease(LeaseMessage::Granted {
                    role: d,
                    epoch,
                    request_id: n,
                    grants: rows,
                    has_no_predecessor: first,
                    registered: lives,
                });
                if write {
                    let then = self.send_effect(by, m, now).into_iter().collect();
                    self.persist(vec![DurableWrite::Epoch { role: d, epoch }], then);
                } else {
                    self.send(by, m, now);
                }
            }
        }
    }

    /// `lag` is how long this was under way; windows go on meanwhile.
    #[allow(clippy::too_many_arguments)]
    pub(in crate::node) fn on_lease_granted(
        &mut self,
        by: NodeId,
        d: u32,
        epoch: u64,
        n: u64,
        (rows, first, lives): (Vec<WindowGrant>, bool, Vec<RegisteredIncarnation>),
        lag: Micros,
        now: Micros,
    ) {
        let cores = self.consensus.state.voters().to_vec();
        let Some(h) = self.leases.held.by_role.get_mut(&d) else { return };
        let Some((m, at, got)) = h.open_request.as_mut() else { return };
        if *m != n || h.epoch != epoch {
            return;
        }
        got.insert(by);
        h.inherited_grants.extend(rows.into_iter().map(|g| (now, g.aged_by(lag))));
        h.registered.extend(lives);
        h.has_no_predecessor &= first || !h.is_new_epoch;
        if !is_majority(&cores, got) {
            let me = self.settings.node_id;
            let mut with = got.clone();
            if h.is_new_epoch && with.insert(me) && is_majority(&cores, &with) {
                let set = self.voter_set();
                self.send(
                    me,
                    Message::Lease(LeaseMessage::Request {
                        voter_set: set,
                        role: d,
                        epoch,
                        request_id: n,
                        is_new_epoch: true,
                    }),
                    now,
                );
            }
            return;
        }
        let at = *at;
        h.open_request = None;
        // A renewal that comes after the end renews nothing: the ledger is gone.
        if !h.is_new_epoch && !h.is_valid(now) {
            return;
        }
        h.extend_from(at);
        if !std::mem::take(&mut h.is_new_epoch) {
            if !std::mem::replace(&mut h.is_renewed, true) {
                self.solicit_share_requests(&[d], now);
            }
            return;
        }
        let rows = std::mem::take(&mut h.inherited_grants);
        let lives = std::mem::take(&mut h.registered);
        let (first, set) = (h.has_no_predecessor, self.voter_set());
        self.counters.leases_won += 1;
        self.leases.held.holder_hints.insert(d, self.settings.node_id);
        let ts: Vec<_> =
            self.quota.window_ledger.list().into_iter().map(|x| x.0).filter(|t| quota_role(t) == d).collect();
        for t in ts {
            self.quota.window_ledger.forget(&t);
        }
        for (heard, g) in rows {
            self.quota.window_ledger.inherit(&g.aged_by(now.saturating_sub(heard)), now);
        }
        // A holder of an earlier set may go on until its term ends.
        let late = if set > 0 { LEASE_DURATION } else { 0 };
        self.quota.share_pools.begin_lease(d, first && set == 0, now, late);
        // Every voter of this majority that confirmed a registration did so before it voted.
        self.quota.share_pools.set_suspects(d, &lives);
        self.leases.held.renewal_due = now;
    }

    pub(in crate::node) fn on_lease_rejected(
        &mut self,
        d: u32,
        epoch: u64,
        n: u64,
        holder: NodeId,
        left: Micros,
        now: Micros,
    ) {
        let Some(h) = self.leases.held.by_role.get_mut(&d) else { return };
        if h.open_request.as_ref().is_none_or(|a| a.0 != n) {
            return;
        }
        self.counters.leases_rejected += 1;
        h.highest_epoch = h.highest_epoch.max(epoch);
        if holder != NodeId::default() && holder != self.settings.node_id {
            self.leases.held.holder_hints.insert(d, holder);
        }
        if !h.is_valid(now) {
            h.open_request = None;
            h.backoff_until = now + left.clamp(20 * MS, LEASE_DURATION);
        }
    }
}
