//! Versions that were decided: told, taught to those who lack them, kept.

use super::{Effect, Node};
use crate::agree::{Op, majority};
use crate::base::{Micros, NodeId, Version};
use crate::config::Plan;
use crate::peer::{Decree, Msg};
use std::collections::BTreeSet;
use std::sync::Arc;

/// How many bytes of older versions are taught along with the newest.
const TAUGHT_MOST: usize = 2 << 20;

impl Node {
    /// A version that was decided comes into force here.
    pub(super) fn learned(&mut self, d: Decree, now: Micros) {
        if self.fleet() != 0 && self.fleet() != d.fleet {
            self.counts.frames_foreign += 1;
            return;
        }
        if self.me.core && self.disk_behind() {
            return;
        }
        let before = self.version();
        let (set, voters) = (self.set(), self.agree.cores().len());
        let voted = self.voter();
        if !self.agree.take(d.clone()) {
            if self.me.core && self.agree.fill(&d) {
                self.write(vec![Op::Decide(d)], Vec::new());
            }
            return;
        }
        self.counts.versions += 1;
        if self.set() != set {
            self.changed_voters(voted, voters, now);
        }
        if before.is_none_or(|v| d.version > v + 1) {
            self.counts.digests += 1;
        }
        self.plan = Arc::new(Plan::read(self.me.read, d.version, &d.body));
        self.slices.rates.set(&self.plan, now);
        self.show = true;
        let version = d.version;
        if self.me.core {
            if d.version == 0 {
                self.ready = Some(0);
            }
            let mut to: Vec<_> = d.cores.iter().map(|c| c.node_id).collect();
            // Voters must know a newcomer before they can admit it.
            self.ring.due = if to.contains(&self.me.node_id) { self.ring.due } else { now };
            if !to.contains(&self.me.node_id) {
                to.push(self.me.node_id);
            }
            let then: Vec<Effect> = to.into_iter().filter_map(|n| self.mail(n, Msg::Have { version }, now)).collect();
            let mut ops = vec![Op::Decide(d)];
            let mut then = then;
            if version == 0 {
                ops.push(Op::Ready(0));
                then.extend(self.mail(self.me.node_id, Msg::Ready { set: 0 }, now));
            }
            self.write(ops, then);
        } else {
            self.agree.forget_old();
            self.have = Some(version);
        }
        self.push_versions(now);
        if !self.voter() {
            self.news.ask_due = now;
        }
    }

    pub(super) fn on_learn(&mut self, by: NodeId, decrees: Vec<Decree>, now: Micros) {
        let newest = decrees.last().map(|d| d.version);
        let whole = self.restore_all(decrees);
        if whole.last().map(|d| d.version) != newest && self.me.core {
            // It came as a patch of one that this core does not hold.
            self.send(by, Msg::Have { version: self.have.unwrap_or(0) }, now);
        }
        // The newest comes into force at once; those before it only fill the history.
        for d in whole.into_iter().rev() {
            self.learned(d, now);
        }
    }

    /// Versions whole, in their order, each made from the one before it where it came as a patch;
    /// those that can't be made are left out.
    pub(super) fn restore_all(&self, decrees: Vec<Decree>) -> Vec<Decree> {
        let mut whole: Vec<Decree> = Vec::with_capacity(decrees.len());
        for d in decrees {
            let before = whole.last().filter(|w| w.version + 1 == d.version);
            let restored = match before {
                Some(before) => d.restored(before),
                None => self.agree.restore(d),
            };
            whole.extend(restored);
        }
        whole
    }

    pub(super) fn on_have(&mut self, by: NodeId, version: Version, now: Micros) {
        let e = self.agree.have.entry(by).or_insert(version);
        *e = (*e).max(version);
        if by == self.me.node_id {
            self.have = self.have.max(Some(version));
        } else if self.version().is_some_and(|v| v > version) {
            self.teach(by, version, now);
        }
    }

    /// The versions after `version`, or the newest alone where too many are missing.
    pub(super) fn teach(&mut self, to: NodeId, version: Version, now: Micros) {
        let mut bytes = 0;
        let newest = self.version();
        // What comes right after another one that is held there is told as a patch.
        let held = |v: Version| v == version + 1 || self.agree.history.contains_key(&(v - 1));
        let told = |d: &Decree| if held(d.version) { d.stripped() } else { d.alone() };
        let room = |d: &Decree| {
            bytes += d.size();
            Some(d.version) == newest || bytes <= TAUGHT_MOST
        };
        let mut decrees: Vec<_> =
            self.agree.history.range(version + 1..).rev().map(|x| told(x.1)).take_while(room).collect();
        decrees.reverse();
        // The first of those that had room has nothing before it.
        if let Some(first) = decrees.first_mut().filter(|d| d.version > version + 1)
            && let Some(whole) = self.agree.history.get(&first.version)
        {
            *first = whole.alone();
        }
        if !decrees.is_empty() {
            self.send(to, Msg::Learn { decrees }, now);
        }
    }

    /// Whether a majority of the cores that the newest version names has it on disk.
    pub(super) fn settled(&self, version: Version) -> bool {
        let got: BTreeSet<NodeId> = self.agree.have.iter().filter(|x| *x.1 >= version).map(|x| *x.0).collect();
        majority(self.agree.cores(), &got)
    }
}
