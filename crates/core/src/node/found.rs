//! The founding of a fleet by its seeds.

use super::Node;
use crate::agree::Op;
use crate::base::{ChangeId, MS, Micros, NodeId, SEC, Version, hash64};
use crate::peer::{Core, Decree, Msg};

const EVERY: Micros = 300 * MS;

/// What a seed said while there was no version yet.
#[derive(Clone, Debug)]
pub(super) struct Heard {
    core: Core,
    pledge: Vec<Core>,
    at: Micros,
}

impl Node {
    /// A fleet is founded once: when all seeds are cores without a version,
    /// each pledges to the same set on disk, and all heard all pledges.
    pub(super) fn tick_found(&mut self, now: Micros) {
        if !self.me.core || self.version().is_some() || now < self.due_found {
            return;
        }
        self.due_found = now + EVERY;
        let msg = Msg::Found { me: self.here(), version: None, pledge: self.pledged(), first: self.me.first };
        let mut to = self.me.seeds.clone();
        to.extend(self.ring.live(now).filter(|p| p.core).map(|p| p.addr.clone()));
        to.sort_unstable();
        to.dedup();
        for s in to {
            self.send_addr(&s, msg.clone(), now);
        }
    }

    fn pledged(&self) -> Vec<Core> {
        if self.held.is_empty() { self.agree.pledge.clone() } else { Vec::new() }
    }

    pub(super) fn on_found(
        &mut self,
        by: NodeId,
        core: Core,
        version: Option<Version>,
        (pledge, first): (Vec<Core>, bool),
        now: Micros,
    ) {
        if self.version().is_some() {
            if by != self.me.node_id && version.is_none() {
                let decrees = self.agree.last_alone().into_iter().collect();
                self.send_addr(&core.addr.clone(), Msg::Learn { decrees }, now);
            }
            return;
        }
        if !self.me.core || !self.me.first || !first || core.node_id != by || !self.me.seeds.contains(&core.addr) {
            return;
        }
        self.found.insert(core.addr.clone(), Heard { core, pledge, at: now });
        self.found.retain(|_, h| now.saturating_sub(h.at) < 2 * SEC);
        if !self.me.seeds.contains(&self.me.addr) || self.found.len() < self.me.seeds.len() {
            return;
        }
        let mut set: Vec<_> = self.found.values().map(|h| h.core.clone()).collect();
        set.sort();
        if self.agree.pledge.is_empty() {
            self.agree.pledge.clone_from(&set);
            self.write(vec![Op::Pledge(set)], Vec::new());
            return;
        }
        if self.agree.pledge != set {
            self.counts.founding_split += 1;
            return;
        }
        if self.found.values().all(|h| h.pledge == set) {
            let text: String = set.iter().map(|c| format!("{}@{};", c.node_id, c.addr)).collect();
            let d = Decree {
                version: 0,
                change_id: ChangeId(0),
                fleet: hash64(text.as_bytes()).max(1),
                since: 0,
                old: Vec::new(),
                cores: set,
                revision: 0,
                body: "{}".into(),
                patch: None,
                packed: Vec::new(),
            };
            self.learned(d, now);
        }
    }
}
