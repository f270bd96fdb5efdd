//! News of workers: told to other nodes, and asked for where a node is behind.

use super::Node;
use crate::base::{Incarnation, MS, Micros, NodeId, SEC, Version, rdv};
use crate::fresh;
use crate::news::{Sub, Up};
use crate::peer::{Decree, Msg, Row};
use std::collections::BTreeMap;

const PUSH: Micros = 100 * MS;
/// How many bytes of a new version are handed out in one step of the timer.
const PUSH_BYTES: usize = 512 << 10;
const CONFIG: &str = "config";

impl Node {
    fn services(&self) -> Vec<String> {
        let mut v = vec![CONFIG.to_owned()];
        v.extend(self.plan.pools.keys().cloned());
        v
    }

    /// Whom this node asks, and for what: the homes in its zone; for the
    /// configuration a home asks a core.
    fn upstreams(&self, now: Micros) -> BTreeMap<NodeId, Vec<String>> {
        let mut m: BTreeMap<NodeId, Vec<String>> = BTreeMap::new();
        for s in self.services() {
            let hs = self.ring.homes(&s, &self.me.zone, now);
            let conf = s == CONFIG;
            if conf && self.voter() {
                continue;
            }
            if conf {
                let stale = self.fresh.since(self.version()).is_none_or(|t| now.saturating_sub(t) > 1_500 * MS);
                if (stale || hs.contains(&self.me.node_id))
                    && let Some(c) = self.near_core(now, self.n)
                {
                    m.entry(c).or_default().push(s.clone());
                }
            }
            for h in hs {
                let v = m.entry(h).or_default();
                if !v.contains(&s) {
                    v.push(s.clone());
                }
            }
        }
        m.remove(&self.me.node_id);
        m
    }

    /// A live core, in the own zone before the others; `turn` goes round them.
    pub(super) fn near_core(&self, now: Micros, turn: u64) -> Option<NodeId> {
        let me = self.me.node_id.0.to_le_bytes();
        let mut v: Vec<_> = self
            .ring
            .live(now)
            .filter(|p| p.core && p.node_id != self.me.node_id)
            .filter(|p| self.agree.cores().is_empty() || self.agree.votes(p.node_id))
            .map(|p| (p.zone != self.me.zone, std::cmp::Reverse(rdv(p.node_id.0, &me)), p.node_id))
            .collect();
        v.sort_unstable();
        let stale = self.fresh.since(self.version()).is_none_or(|t| now.saturating_sub(t) > 1_500 * MS);
        let i = if stale && !v.is_empty() { usize::try_from(turn % v.len() as u64).unwrap_or(0) } else { 0 };
        v.get(i).map(|x| x.2)
    }

    pub(super) fn tick_ask(&mut self, now: Micros) {
        if now < self.news.ask_due {
            return;
        }
        self.news.ask_due = now + fresh::EVERY;
        self.n += 1;
        let ups = self.upstreams(now);
        self.news.ups.retain(|n, _| ups.contains_key(n));
        let version = self.version();
        for (n, svcs) in ups {
            self.news.seq += 1;
            let seq = self.news.seq;
            let u = self.news.ups.entry(n).or_default();
            u.sent.insert(seq, now);
            while u.sent.len() > 8 {
                u.sent.pop_first();
            }
            let (idx, of) = (u.idx, u.of);
            let version = version.map_or(0, |v| v + 1);
            self.send(n, Msg::Ask { seq, version, idx, of, svcs }, now);
        }
    }

    #[allow(clippy::too_many_arguments)]
    pub(super) fn on_ask(
        &mut self,
        by: NodeId,
        seq: u64,
        version: Version,
        idx: u64,
        of: Incarnation,
        svcs: Vec<String>,
        now: Micros,
    ) {
        // What it asks for anew it needs from the beginning.
        let more = self.news.subs.get(&by).is_some_and(|o| svcs.iter().any(|s| !o.svcs.contains(s)));
        let idx = if of == self.me.incarnation && !more { idx.min(self.news.idx) } else { 0 };
        self.news.subs.insert(by, Sub { ask: seq, at: now, idx, version, svcs });
        self.tell(by, now);
    }

    /// `version` in an ask and a sub is one more than the version held, nought for none.
    fn tell(&mut self, to: NodeId, now: Micros) {
        let Some(s) = self.news.subs.get(&to).cloned() else { return };
        let rows = self.news.after(s.idx, &s.svcs, now);
        let mine = self.version();
        let next = mine.map_or(0, |v| v + 1);
        // Homes of pools alone name the version; the tree comes from those of the configuration.
        let conf = s.svcs.iter().any(|x| x == CONFIG);
        let held = s.version.checked_sub(1);
        let (before, decree) = if conf && s.version < next { self.told_versions(held) } else { (Vec::new(), None) };
        let stamp = self.fresh.since(mine).filter(|_| conf).map(|t| now.saturating_sub(t));
        let m = Msg::Tell {
            ask: s.ask,
            since: now.saturating_sub(s.at),
            stamp,
            version: mine.unwrap_or(0),
            before,
            decree,
            idx: self.news.idx,
            whole: now >= self.whole_at(),
            rows,
        };
        let idx = self.news.idx;
        if let Some(s) = self.news.subs.get_mut(&to) {
            s.idx = idx;
            s.version = s.version.max(next);
        }
        self.send(to, m, now);
    }

    /// The newest version for one who holds this one: as patches where that is less.
    fn told_versions(&mut self, held: Option<Version>) -> (Vec<Decree>, Option<Decree>) {
        let whole = self.agree.last().map_or(0, |d| d.body.len());
        let patches = held.and_then(|v| self.agree.patches.after(v));
        match patches.filter(|chain| chain.iter().map(Decree::size).sum::<usize>() < whole) {
            Some(mut chain) => {
                let last = chain.pop();
                (chain, last)
            }
            None => (Vec::new(), self.agree.last_alone()),
        }
    }

    /// Takes the version that a home told: of those that lead to it only the patches are kept.
    pub(super) fn take_told(&mut self, before: Vec<Decree>, decree: Option<Decree>, now: Micros) {
        let Some(newest) = decree else { return };
        let held = self.version();
        let later = |d: &Decree| held.is_none_or(|v| d.version > v);
        let before: Vec<_> = before.into_iter().filter(later).filter_map(Decree::unpacked).collect();
        if !later(&newest) {
            return;
        }
        let version = newest.version;
        let mut chain = before.clone();
        chain.push(newest);
        let Some(whole) = self.restore_all(chain).pop().filter(|d| d.version == version) else { return };
        for d in &before {
            self.agree.patches.lead_to(d);
        }
        self.learned(whole, now);
    }

    /// Hands the newest version to those who ask for it here; a large one to a few at a time.
    pub(super) fn push_versions(&mut self, now: Micros) {
        let next = self.version().map_or(0, |v| v + 1);
        let size = self.agree.last().map_or(0, |d| d.stripped().size());
        let most = (PUSH_BYTES / size.max(1)).max(1);
        let to: Vec<_> = self.news.subs.iter().filter(|s| s.1.version < next).map(|s| *s.0).take(most).collect();
        for n in to {
            self.tell(n, now);
        }
    }

    pub(super) fn tick_push(&mut self, now: Micros) {
        self.push_versions(now);
        if now < self.news.push_due {
            return;
        }
        self.news.push_due = now + PUSH;
        self.flush_reports(now);
        let top = self.news.idx;
        let to: Vec<_> = self
            .news
            .subs
            .iter()
            .filter(|(_, s)| {
                now.saturating_sub(s.at) < 2 * SEC
                    && s.idx < top
                    && self.news.rows.values().any(|e| e.idx > s.idx && s.svcs.contains(&e.row.pool))
            })
            .map(|s| *s.0)
            .collect();
        for n in to {
            self.tell(n, now);
        }
    }

    #[allow(clippy::too_many_arguments)]
    pub(super) fn on_tell(
        &mut self,
        by: (NodeId, Incarnation),
        (ask, since, stamp): (u64, Micros, Option<Micros>),
        version: Version,
        (idx, whole): (u64, bool),
        rows: &[Row],
        now: Micros,
    ) {
        let Some(u) = self.news.ups.get_mut(&by.0) else { return };
        let Some(at) = u.sent.get(&ask).copied() else { return };
        if u.of != by.1 {
            *u = Up { of: by.1, idx, whole, sent: u.sent.clone() };
        }
        u.idx = u.idx.max(idx);
        u.whole = whole;
        let base = at.saturating_add(since).min(now);
        if let Some(a) = stamp {
            self.fresh.credit(version, base.saturating_sub(a));
            self.show = true;
        }
        self.take_rows(rows, base, now);
        self.made_whole(now);
    }
}
