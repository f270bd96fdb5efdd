use super::Node;
use crate::base::{MS, Nid, Us};
use crate::news::Apply;
use crate::peer::{Msg, Row};
use std::collections::BTreeMap;

const WAKING: Us = 300 * MS;

impl Node {
    /// A worker reported to this node.
    pub(super) fn report(&mut self, r: &Row, now: Us) {
        if self.merge(r, now, now) == Apply::New {
            self.news.dirty.push(r.wid.clone());
        }
    }

    fn merge(&mut self, r: &Row, at: Us, now: Us) -> Apply {
        let a = self.news.merge(r, at, now);
        match a {
            Apply::New => {
                self.counts.reports += 1;
                self.show = true;
            }
            Apply::Old => self.counts.reports_old += 1,
            Apply::Ended => self.counts.reports_ended += 1,
            Apply::Future => self.counts.reports_future += 1,
        }
        a
    }

    pub(super) fn on_reports(&mut self, rows: &[Row], lag: Us, now: Us) {
        // What lay waiting while this node was frozen is of an unknown age.
        if now.saturating_sub(self.woke) < WAKING {
            self.counts.reports_unaged += rows.len() as u64;
            return;
        }
        for r in rows {
            let at = now.saturating_sub(r.age.saturating_add(lag));
            self.merge(r, at, now);
        }
    }

    pub(super) fn take_rows(&mut self, rows: &[Row], base: Us, now: Us) {
        for r in rows {
            let at = base.saturating_sub(r.age);
            let old = self.news.rows.get(&r.wid).is_some_and(|e| (e.row.inc, e.row.seq) >= (r.inc, r.seq));
            if !old {
                self.merge(r, at, now);
            }
        }
    }

    /// Passes what workers said on to the homes of their services in each zone.
    pub(super) fn flush_reports(&mut self, now: Us) {
        if self.news.dirty.is_empty() {
            return;
        }
        let ws = std::mem::take(&mut self.news.dirty);
        let zs = self.ring.zones(now);
        let mut to: BTreeMap<Nid, Vec<Row>> = BTreeMap::new();
        for w in ws {
            let Some(e) = self.news.rows.get(&w) else { continue };
            let r = Row { age: now.saturating_sub(e.heard), ..e.row.clone() };
            for z in &zs {
                for h in self.ring.homes(&r.pool, z, now) {
                    if h != self.me.nid {
                        to.entry(h).or_default().push(r.clone());
                    }
                }
            }
        }
        for (n, rows) in to {
            self.send(n, Msg::Reports { rows }, now);
        }
    }
}
