use super::Node;
use crate::base::{Nid, Us};
use crate::peer::{Msg, Peer};
use crate::ring;

impl Node {
    fn self_row(&self) -> Peer {
        Peer {
            nid: self.me.nid,
            inc: self.me.inc,
            beat: self.beat,
            addr: self.me.addr.clone(),
            admin: self.me.admin.clone(),
            zone: self.me.zone.clone(),
            core: self.me.core,
            leaving: self.leaving,
            ver: self.ver().unwrap_or(0),
        }
    }

    fn beat(&mut self, now: Us) {
        self.beat += 1;
        let p = self.self_row();
        self.ring.merge(&p, now);
    }

    pub(super) fn tick_gossip(&mut self, now: Us) {
        if now < self.ring.due {
            return;
        }
        self.ring.due = now + ring::EVERY;
        self.beat(now);
        let mut to = self.ring.watch(self.me.nid, now);
        to.extend(self.ring.any(self.me.nid, &mut self.rng));
        to.sort_unstable();
        to.dedup();
        for n in to {
            self.gossip(n, true, now);
        }
        for s in self.me.seeds.clone() {
            let known = s == self.me.addr || self.ring.live(now).any(|p| p.addr == s);
            if !known {
                let rows = vec![self.self_row()];
                self.send_addr(&s, Msg::Gossip { rows, reply: true }, now);
            }
        }
    }

    fn gossip(&mut self, to: Nid, reply: bool, now: Us) {
        let rows = self.ring.delta(to, now);
        if reply || !rows.is_empty() {
            self.send(to, Msg::Gossip { rows, reply }, now);
        }
    }

    pub(super) fn on_gossip(&mut self, by: Nid, rows: &[Peer], reply: bool, now: Us) {
        let strange = !self.ring.seen.contains_key(&by);
        let mine = self.ver();
        for p in rows {
            if p.nid == self.me.nid {
                continue;
            }
            if self.ring.merge(p, now) && mine.is_none_or(|v| p.ver > v) && !self.voter() {
                self.news.ask_due = now;
            }
        }
        if strange {
            self.ring.sent.remove(&by);
        }
        if reply {
            self.gossip(by, false, now);
        }
    }

    pub(super) fn leave(&mut self, now: Us) {
        self.leaving = true;
        self.beat(now);
        let all: Vec<_> = self.ring.live(now).map(|p| p.nid).filter(|n| *n != self.me.nid).collect();
        for n in all {
            self.gossip(n, false, now);
        }
    }
}
