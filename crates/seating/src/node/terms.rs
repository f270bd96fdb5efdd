use super::Node;
use crate::agree::{Op, majority};
use crate::base::{MS, Nid, Us, Ver, rdv};
use crate::peer::{Grant, Msg};
use crate::term::{DUTIES, RENEW, Said, TERM, duty};
use std::collections::BTreeSet;

impl Node {
    /// The core that rendezvous names for a duty among those that live.
    pub(super) fn nominee(&self, d: u32, now: Us) -> Option<Nid> {
        self.agree
            .cores()
            .iter()
            .filter(|c| c.nid == self.me.nid || self.ring.alive(c.nid, now))
            .max_by_key(|c| rdv(c.nid.0, &d.to_le_bytes()))
            .map(|c| c.nid)
    }

    pub(super) fn tick_terms(&mut self, now: Us) {
        if !self.ready() || now < self.terms.due {
            return;
        }
        self.terms.due = now + 100 * MS;
        for d in 0..DUTIES {
            let held = self.terms.holds(d, now).is_some();
            if self.leaving || (!held && self.nominee(d, now) != Some(self.me.nid)) {
                continue;
            }
            let top = self.book.epochs.get(&d).copied().unwrap_or(0);
            self.terms.n += 1;
            let n = self.terms.n;
            let h = self.terms.held.entry(d).or_default();
            let early = held && h.until > now + TERM - RENEW;
            let open = h.ask.as_ref().is_some_and(|a| now.saturating_sub(a.1) < 300 * MS);
            if early || open || now < h.rest {
                continue;
            }
            if !held {
                h.epoch = h.epoch.max(top) + 1;
                h.rows.clear();
                h.fresh = true;
            }
            h.ask = Some((n, now, BTreeSet::new()));
            let epoch = h.epoch;
            let set = self.set();
            self.cast(&Msg::TermAsk { set, duty: d, epoch, n }, now);
        }
    }

    pub(super) fn on_term_ask(&mut self, by: Nid, set: Ver, d: u32, epoch: u64, n: u64, now: Us) {
        if !self.ready() || set != self.set() {
            return;
        }
        match self.book.ask(d, by, epoch, now) {
            Said::No { epoch, holder, left } => {
                self.send(by, Msg::TermNo { duty: d, epoch, n, holder, left }, now);
            }
            Said::Yes { write } => {
                let rows = if write { self.rows_of(|t| duty(t) == d, now) } else { Vec::new() };
                let m = Msg::TermYes { duty: d, epoch, n, rows };
                if write {
                    let then = self.mail(by, m, now).into_iter().collect();
                    self.write(vec![Op::Epoch { duty: d, epoch }], then);
                } else {
                    self.send(by, m, now);
                }
            }
        }
    }

    pub(super) fn on_term_yes(&mut self, by: Nid, d: u32, epoch: u64, n: u64, rows: Vec<Grant>, now: Us) {
        let cores = self.agree.cores().to_vec();
        let Some(h) = self.terms.held.get_mut(&d) else { return };
        let Some((m, at, got)) = h.ask.as_mut() else { return };
        if *m != n || h.epoch != epoch {
            return;
        }
        got.insert(by);
        h.rows.extend(rows);
        if !majority(&cores, got) {
            return;
        }
        let at = *at;
        h.ask = None;
        h.won(at);
        if !std::mem::take(&mut h.fresh) {
            return;
        }
        let rows = std::mem::take(&mut h.rows);
        self.counts.terms_won += 1;
        self.terms.hint.insert(d, self.me.nid);
        let ts: Vec<_> = self.ledger.list().into_iter().map(|x| x.0).filter(|t| duty(t) == d).collect();
        for t in ts {
            self.ledger.forget(&t);
        }
        for g in rows {
            self.ledger.inherit(&g, now);
        }
    }

    pub(super) fn on_term_no(&mut self, d: u32, epoch: u64, n: u64, holder: Nid, left: Us, now: Us) {
        let Some(h) = self.terms.held.get_mut(&d) else { return };
        if h.ask.as_ref().is_none_or(|a| a.0 != n) {
            return;
        }
        self.counts.terms_refused += 1;
        if epoch > h.epoch {
            h.epoch = epoch;
        }
        if holder != Nid::default() && holder != self.me.nid {
            self.terms.hint.insert(d, holder);
        }
        if !h.holds(now) {
            h.ask = None;
            h.rest = now + left.clamp(20 * MS, 300 * MS);
        }
    }
}
