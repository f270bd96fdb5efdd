//! News of workers: told to other nodes, and asked for where a node is behind.

use crate::base::{Incarnation, MS, Micros, NodeId, SEC, Version, rendezvous_weight};
use crate::freshness;
use crate::node::Node;
use crate::protocol::{DisseminationMessage, LogEntry, Message, WorkerReport};
use crate::workers::{Subscriber, Upstream};
use std::collections::BTreeMap;

const PUSH: Micros = 100 * MS;
/// How many bytes of a new version are handed out in one step of the timer.
const PUSH_BYTES: usize = 512 << 10;
const CONFIG: &str = "config";

impl Node {
    fn topics(&self) -> Vec<String> {
        let mut v = vec![CONFIG.to_owned()];
        v.extend(self.config.pools.keys().cloned());
        v
    }

    /// Whom this node asks, and for what: the homes in its zone; for the
    /// configuration a home asks a core.
    fn upstreams(&self, now: Micros) -> BTreeMap<NodeId, Vec<String>> {
        let mut m: BTreeMap<NodeId, Vec<String>> = BTreeMap::new();
        for s in self.topics() {
            let hs = self.dissemination.peers.home_nodes(&s, &self.settings.zone, now);
            let conf = s == CONFIG;
            if conf && self.voter() {
                continue;
            }
            if conf {
                let stale = self
                    .consensus
                    .freshness
                    .confirmed_at(self.version())
                    .is_none_or(|t| now.saturating_sub(t) > 1_500 * MS);
                if (stale || hs.contains(&self.settings.node_id))
                    && let Some(c) = self.nearest_core(now, self.last_request_id)
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
        m.remove(&self.settings.node_id);
        m
    }

    /// A live core, in the own zone before the others; `turn` goes round them.
    pub(in crate::node) fn nearest_core(&self, now: Micros, turn: u64) -> Option<NodeId> {
        let me = self.settings.node_id.0.to_le_bytes();
        let mut v: Vec<_> = self
            .dissemination
            .peers
            .live(now)
            .filter(|p| p.is_core && p.node_id != self.settings.node_id)
            .filter(|p| self.consensus.state.voters().is_empty() || self.consensus.state.is_voter(p.node_id))
            .map(|p| (p.zone != self.settings.zone, std::cmp::Reverse(rendezvous_weight(p.node_id.0, &me)), p.node_id))
            .collect();
        v.sort_unstable();
        let stale =
            self.consensus.freshness.confirmed_at(self.version()).is_none_or(|t| now.saturating_sub(t) > 1_500 * MS);
        let i = if stale && !v.is_empty() { usize::try_from(turn % v.len() as u64).unwrap_or(0) } else { 0 };
        v.get(i).map(|x| x.2)
    }

    pub(in crate::node) fn tick_subscribe(&mut self, now: Micros) {
        if now < self.dissemination.workers.subscribe_due {
            return;
        }
        self.dissemination.workers.subscribe_due = now + freshness::EVERY;
        self.last_request_id += 1;
        let ups = self.upstreams(now);
        self.dissemination.workers.upstreams.retain(|n, _| ups.contains_key(n));
        let version = self.version();
        for (n, svcs) in ups {
            self.dissemination.workers.last_request_seq += 1;
            let seq = self.dissemination.workers.last_request_seq;
            let u = self.dissemination.workers.upstreams.entry(n).or_default();
            u.sent_requests.insert(seq, now);
            while u.sent_requests.len() > 8 {
                u.sent_requests.pop_first();
            }
            let (idx, of) = (u.change_index, u.incarnation);
            let version = version.map_or(0, |v| v + 1);
            self.send(
                n,
                Message::Dissemination(DisseminationMessage::Subscribe {
                    seq,
                    next_version: version,
                    from_index: idx,
                    incarnation: of,
                    topics: svcs,
                }),
                now,
            );
        }
    }

    #[allow(clippy::too_many_arguments)]
    pub(in crate::node) fn on_subscribe(
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
        let more =
            self.dissemination.workers.subscribers.get(&by).is_some_and(|o| svcs.iter().any(|s| !o.topics.contains(s)));
        let idx =
            if of == self.settings.incarnation && !more { idx.min(self.dissemination.workers.change_index) } else { 0 };
        self.dissemination.workers.subscribers.insert(
            by,
            Subscriber { request_seq: seq, subscribed_at: now, sent_index: idx, next_version: version, topics: svcs },
        );
        self.send_update(by, now);
    }

    /// `version` in an ask and a sub is one more than the version held, nought for none.
    fn send_update(&mut self, to: NodeId, now: Micros) {
        let Some(s) = self.dissemination.workers.subscribers.get(&to).cloned() else { return };
        let rows = self.dissemination.workers.changes_after(s.sent_index, &s.topics, now);
        let mine = self.version();
        let next = mine.map_or(0, |v| v + 1);
        // Homes of pools alone name the version; the tree comes from those of the configuration.
        let conf = s.topics.iter().any(|x| x == CONFIG);
        let held = s.next_version.checked_sub(1);
        let (before, decree) =
            if conf && s.next_version < next { self.entries_after(held) } else { (Vec::new(), None) };
        let stamp = self.consensus.freshness.confirmed_at(mine).filter(|_| conf).map(|t| now.saturating_sub(t));
        let m = Message::Dissemination(DisseminationMessage::Update {
            request_seq: s.request_seq,
            answered_after: now.saturating_sub(s.subscribed_at),
            confirmed_age: stamp,
            version: mine.unwrap_or(0),
            preceding: before,
            entry: decree,
            change_index: self.dissemination.workers.change_index,
            is_complete: now >= self.workers_complete_at(),
            reports: rows,
        });
        let idx = self.dissemination.workers.change_index;
        if let Some(s) = self.dissemination.workers.subscribers.get_mut(&to) {
            s.sent_index = idx;
            s.next_version = s.next_version.max(next);
        }
        self.send(to, m, now);
    }

    /// The newest version for one who holds this one: as patches where that is less.
    fn entries_after(&mut self, held: Option<Version>) -> (Vec<LogEntry>, Option<LogEntry>) {
        let whole = self.consensus.state.newest().map_or(0, |d| d.body.len());
        let patches = held.and_then(|v| self.consensus.state.patch_chain.after(v));
        match patches.filter(|chain| chain.iter().map(LogEntry::size).sum::<usize>() < whole) {
            Some(mut chain) => {
                let last = chain.pop();
                (chain, last)
            }
            None => (Vec::new(), self.consensus.state.newest_self_contained()),
        }
    }

    /// Takes the version that a home told: of those that lead to it only the patches are kept.
    pub(in crate::node) fn apply_update_entries(
        &mut self,
        before: Vec<LogEntry>,
        decree: Option<LogEntry>,
        now: Micros,
    ) {
        let Some(newest) = decree else { return };
        let held = self.version();
        let later = |d: &LogEntry| held.is_none_or(|v| d.version > v);
        let before: Vec<_> = before.into_iter().filter(later).filter_map(LogEntry::decompress).collect();
        if !later(&newest) {
            return;
        }
        let version = newest.version;
        let mut chain = before.clone();
        chain.push(newest);
        let Some(whole) = self.restore_bodies(chain).pop().filter(|d| d.version == version) else { return };
        for d in &before {
            self.consensus.state.patch_chain.append(d);
        }
        self.apply_entry(whole, now);
    }

    /// Hands the newest version to those who ask for it here; a large one to a few at a time.
    pub(in crate::node) fn push_versions(&mut self, now: Micros) {
        let next = self.version().map_or(0, |v| v + 1);
        let size = self.consensus.state.newest().map_or(0, |d| d.without_body().size());
        let most = (PUSH_BYTES / size.max(1)).max(1);
        let to: Vec<_> = self
            .dissemination
            .workers
            .subscribers
            .iter()
            .filter(|s| s.1.next_version < next)
            .map(|s| *s.0)
            .take(most)
            .collect();
        for n in to {
            self.send_update(n, now);
        }
    }

    pub(in crate::node) fn tick_push(&mut self, now: Micros) {
        self.push_versions(now);
        if now < self.dissemination.workers.push_due {
            return;
        }
        self.dissemination.workers.push_due = now + PUSH;
        self.flush_reports(now);
        let top = self.dissemination.workers.change_index;
        let to: Vec<_> = self
            .dissemination
            .workers
            .subscribers
            .iter()
            .filter(|(_, s)| {
                now.saturating_sub(s.subscribed_at) < 2 * SEC
                    && s.sent_index < top
                    && self
                        .dissemination
                        .workers
                        .entries
                        .values()
                        .any(|e| e.change_index > s.sent_index && s.topics.contains(&e.report.pool))
            })
            .map(|s| *s.0)
            .collect();
        for n in to {
            self.send_update(n, now);
        }
    }

    #[allow(clippy::too_many_arguments)]
    pub(in crate::node) fn on_update(
        &mut self,
        by: (NodeId, Incarnation),
        (ask, since, stamp): (u64, Micros, Option<Micros>),
        version: Version,
        (idx, whole): (u64, bool),
        rows: &[WorkerReport],
        now: Micros,
    ) {
        let Some(u) = self.dissemination.workers.upstreams.get_mut(&by.0) else { return };
        let Some(at) = u.sent_requests.get(&ask).copied() else { return };
        if u.incarnation != by.1 {
            *u = Upstream {
                incarnation: by.1,
                change_index: idx,
                is_complete: whole,
                sent_requests: u.sent_requests.clone(),
            };
        }
        u.change_index = u.change_index.max(idx);
        u.is_complete = whole;
        let base = at.saturating_add(since).min(now);
        if let Some(a) = stamp {
            self.consensus.freshness.confirm(version, base.saturating_sub(a));
            self.publisher.is_dirty = true;
        }
        self.apply_reports(rows, base, now);
        self.update_completeness(now);
    }
}
