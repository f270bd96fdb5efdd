//! Operators who change what the fleet shows, and callers of several tenants.

use crate::sim::calls::outcome::{CallRequest, ClientObservation};
use crate::sim::checks::majority_contact::MajorityContact;
use crate::sim::checks::safety::Acknowledgement;
use crate::sim::operators::documents::{REVOCABLE, WAIT, tree};
use crate::sim::operators::orders::FIRST_CALL;
use crate::sim::world::World;
use std::collections::BTreeMap;
use sumacvale_core::base::{ChangeId, MS, Micros, SEC, Version};
use sumacvale_core::node::Event;
use sumacvale_core::protocol::{Change, ChangeOutcome, Voter};

/// One change that an operator waits for.
#[derive(Clone, Debug)]
struct PendingChange {
    change_id: ChangeId,
    base: Version,
    change: Change,
    asked: Micros,
    due: Micros,
    again: bool,
    /// The machine that was asked.
    slot: usize,
    /// When it was asked, the last time.
    sent: Micros,
}

/// Operators at several desks, and callers of several tenants.
#[derive(Default)]
pub struct Operators {
    open: BTreeMap<u64, PendingChange>,
    n: u64,
    pub done: u64,
    pub stale: u64,
    pub unknown: u64,
    pub none: u64,
    pub calls: u64,
    pub lag: Vec<Micros>,
    seen: BTreeMap<Version, Micros>,
    touch: MajorityContact,
    /// Changes that were refused though nothing spoke against them, and where.
    pub refused: Vec<String>,
}

impl Operators {
    fn send(&mut self, w: &mut World, i: usize, a: PendingChange) {
        self.n += 1;
        let n = self.n;
        let e = Event::SubmitChange {
            request_id: n,
            change_id: a.change_id,
            is_first_send: !a.again,
            base: a.base,
            change: a.change.clone(),
        };
        self.open.insert(n, a);
        w.step(i, e);
    }

    /// Somebody at some desk asks some node to change what it shows.
    pub fn change(&mut self, w: &mut World) {
        let up: Vec<_> = (0..w.machines.len()).filter(|i| w.is_running(*i)).collect();
        if up.is_empty() {
            return;
        }
        let pick = |w: &mut World| up[usize::try_from(w.rng.below(up.len() as u64)).unwrap_or(0)];
        let (i, j) = (pick(w), pick(w));
        let Some(base) = w.machines[i].node.as_ref().and_then(sumacvale_core::node::Node::version) else { return };
        let change_id = ChangeId(w.rng.next_u64().max(1));
        let change = Change::Tree(tree(self.n, w.tenants, w.extra_routes, w.quotas_are_rates));
        let now = w.now;
        self.send(
            w,
            j,
            PendingChange { change_id, base, change, asked: now, due: now + 7 * SEC, again: false, slot: j, sent: now },
        );
    }

    /// Puts the machine in slot `i` in the place of the core `old`.
    pub fn replace(&mut self, w: &mut World, i: usize) -> bool {
        let Some(new) = w.machines[i].node.as_ref().map(|n| n.settings.node_id) else { return false };
        let addr = w.machines[i].addr.clone();
        let Some(j) = (0..w.machines.len()).find(|j| *j != i && w.is_running(*j) && w.machines[*j].is_core) else {
            return false;
        };
        let Some(d) = w.machines[j].node.as_ref().and_then(|n| n.consensus.state.newest().cloned()) else {
            return false;
        };
        if d.voters.iter().any(|c| c.node_id == new) {
            return true;
        }
        let live: Vec<_> = w.machines.iter().filter(|s| s.is_core).map(|s| s.disk.durable.node_id).collect();
        let mut cs: Vec<Voter> = d.voters.iter().filter(|c| live.contains(&c.node_id)).cloned().collect();
        cs.push(Voter { node_id: new, addr });
        let change_id = ChangeId(w.rng.next_u64().max(1));
        let now = w.now;
        let a = PendingChange {
            change_id,
            base: d.version,
            change: Change::Voters(cs),
            asked: now,
            due: now + 7 * SEC,
            again: false,
            slot: j,
            sent: now,
        };
        self.send(w, j, a);
        false
    }

    /// Reads the answers that came and gives up on the others in time.
    pub fn answers(&mut self, w: &mut World) {
        let now = w.now;
        self.touch.observe(w);
        let (others, mine): (Vec<_>, Vec<_>) =
            std::mem::take(&mut w.change_outcomes).into_iter().partition(|a| a.0 > FIRST_CALL);
        w.change_outcomes = others;
        for (n, f) in mine {
            let Some(a) = self.open.remove(&n) else { continue };
            self.judge(w, &a, &f);
            match f {
                ChangeOutcome::Committed { version } => {
                    self.done += 1;
                    w.safety.record_acknowledgement(Acknowledgement {
                        change_id: a.change_id,
                        base: a.base,
                        version,
                        requested_at: a.asked,
                        acknowledged_at: now,
                    });
                    self.seen.insert(version, now);
                }
                ChangeOutcome::Stale { .. } if !a.again => {
                    self.stale += 1;
                    w.safety.record_rejection(a.change_id, now);
                }
                ChangeOutcome::Stale { .. } => self.stale += 1,
                ChangeOutcome::NoQuorum if !a.again => {
                    self.none += 1;
                    w.safety.record_rejection(a.change_id, now);
                }
                ChangeOutcome::Invalid { .. } => {
                    self.none += 1;
                    w.safety.record_rejection(a.change_id, now);
                }
                ChangeOutcome::Unknown => {
                    self.unknown += 1;
                    self.again(w, a);
                }
                ChangeOutcome::NoQuorum | ChangeOutcome::IdReused | ChangeOutcome::Content { .. } => self.none += 1,
            }
        }
        let late: Vec<_> = self.open.iter().filter(|x| x.1.due < now).map(|x| *x.0).collect();
        for n in late {
            if let Some(a) = self.open.remove(&n) {
                self.unknown += 1;
                self.again(w, a);
            }
        }
    }

    /// Notes a refusal that nothing called for: these changes are valid and their ids are new, so
    /// only the want of a majority may be a reason.
    fn judge(&mut self, w: &World, a: &PendingChange, fate: &ChangeOutcome) {
        let needless = match fate {
            ChangeOutcome::Committed { .. } | ChangeOutcome::Stale { .. } | ChangeOutcome::Unknown => false,
            ChangeOutcome::NoQuorum => self.touch.is_needless_rejection(a.slot, a.sent),
            ChangeOutcome::Invalid { .. } | ChangeOutcome::IdReused | ChangeOutcome::Content { .. } => {
                !matches!(a.change, Change::Voters(_))
            }
        };
        if needless {
            let (addr, now) = (&w.machines[a.slot].addr, w.now);
            self.refused.push(format!("{now}: {addr} answers {fate:?} without need to one who asked at {}", a.sent));
        }
    }

    /// Half of those who were told `unknown` send the same change again elsewhere.
    fn again(&mut self, w: &mut World, mut a: PendingChange) {
        if a.again || w.rng.chance(50) {
            return;
        }
        let up: Vec<_> = (0..w.machines.len()).filter(|i| w.is_running(*i)).collect();
        if let Some(i) = up.get(usize::try_from(w.rng.below(up.len().max(1) as u64)).unwrap_or(0)) {
            a.again = true;
            a.due = w.now + 7 * SEC;
            a.slot = *i;
            a.sent = w.now;
            self.send(w, *i, a);
        }
    }

    /// How long each acknowledged version takes to be on every live node.
    pub fn spread(&mut self, w: &World) {
        let now = w.now;
        let low = (0..w.machines.len())
            .filter(|i| w.is_running(*i))
            .map(|i| w.machines[i].node.as_ref().and_then(sumacvale_core::node::Node::version).unwrap_or(0))
            .min()
            .unwrap_or(0);
        let done: Vec<_> = self.seen.range(..=low).map(|x| (*x.0, *x.1)).collect();
        for (v, t) in done {
            self.seen.remove(&v);
            self.lag.push(now - t);
        }
    }

    /// Every front must get a word on every tenant's quota, be it a unit or none;
    /// those that get neither in time are named.
    #[allow(clippy::unused_self)]
    pub fn settle(&mut self, w: &mut World, most: Micros) -> Vec<(String, String)> {
        let until = w.now + most;
        let mut open: Vec<(usize, String, u64)> = (0..w.machines.len())
            .filter(|i| !w.machines[*i].is_core && w.is_running(*i))
            .flat_map(|i| (0..w.tenants).map(move |t| (i, format!("t{t}"), 0)))
            .collect();
        while !open.is_empty() && w.now < until {
            for (i, t, n) in &mut open {
                if *n == 0 {
                    let want = CallRequest {
                        tenant: t.clone(),
                        path: "/v1/confirm",
                        prefix: 0,
                        max_wait: WAIT,
                        disconnects_after: None,
                    };
                    *n = w.call(*i, want);
                }
            }
            let t = w.now + 10 * MS;
            w.run(t);
            w.report();
            for (_, _, n) in &mut open {
                match w.call_outcomes.iter().rev().find(|o| o.call == *n).map(|o| &o.observation) {
                    None => {}
                    Some(ClientObservation::Complete | ClientObservation::Rejected { status: 429, .. }) => {
                        *n = u64::MAX;
                    }
                    Some(_) => *n = 0,
                }
            }
            open.retain(|o| o.2 != u64::MAX);
        }
        open.into_iter().map(|(i, t, _)| (w.machines[i].addr.clone(), t)).collect()
    }

    /// Calls come to the fronts: each tenant has one with this chance in ten milliseconds.
    pub fn calls(&mut self, w: &mut World, pct: u64) {
        let fronts: Vec<_> =
            (0..w.machines.len()).filter(|i| !w.machines[*i].is_core && w.machines[*i].is_ready).collect();
        if fronts.is_empty() || self.done == 0 {
            return;
        }
        let crowd = if w.crowd.1 > w.now { w.crowd.0 } else { 1 };
        let hot = w.shared_prefix_until > w.now;
        let names = (0..w.tenants).map(|t| format!("t{t}")).chain([REVOCABLE.to_owned()]);
        for (k, tenant) in names.enumerate() {
            // A crowd is one tenant's; the others have what they always have.
            let many = if k == 0 { crowd } else { 1 };
            for _ in 0..many {
                if !w.rng.chance(if tenant == REVOCABLE { pct / 4 } else { pct }) {
                    continue;
                }
                let i = fronts[usize::try_from(w.rng.below(fronts.len() as u64)).unwrap_or(0)];
                let x = w.rng.below(100);
                let at = w.call_mix.iter().position(|m| x < *m).unwrap_or(4);
                let path = ["/v1/confirm", "/v1/book", "/v1/draft", "/v1/chat", "/v1/summary"][at];
                let prefix = if hot { 0 } else { w.rng.below(40) };
                let leaves = w.rng.chance(2).then(|| w.rng.below(300 * MS));
                self.calls += 1;
                w.call(
                    i,
                    CallRequest { tenant: tenant.clone(), path, prefix, max_wait: WAIT, disconnects_after: leaves },
                );
            }
        }
    }
}
