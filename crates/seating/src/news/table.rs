use crate::base::{Inc, MS, Nid, SEC, Us};
use crate::peer::Row;
use std::collections::BTreeMap;

/// A worker unheard for this long takes no calls.
pub const SILENT: Us = 1_500 * MS;
const FORGET: Us = 30 * SEC;

#[derive(Clone, Debug)]
pub struct Entry {
    pub row: Row,
    pub heard: Us,
    pub idx: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Apply {
    New,
    Old,
    Ended,
    Future,
}

/// Where this node stands with one that it asks.
#[derive(Clone, Debug, Default)]
pub struct Up {
    pub idx: u64,
    pub of: Inc,
    pub sent: BTreeMap<u64, Us>,
}

/// Where a node that asks this one stands.
#[derive(Clone, Debug)]
pub struct Sub {
    pub ask: u64,
    pub at: Us,
    pub idx: u64,
    pub ver: u64,
    pub svcs: Vec<String>,
}

/// Mergeable reports of all workers, with the order in which they changed here.
#[derive(Clone, Debug, Default)]
pub struct News {
    pub rows: BTreeMap<String, Entry>,
    pub idx: u64,
    pub ups: BTreeMap<Nid, Up>,
    pub subs: BTreeMap<Nid, Sub>,
    pub dirty: Vec<String>,
    pub seq: u64,
    pub ask_due: Us,
    pub push_due: Us,
    pub old: u64,
}

impl News {
    /// Merges one report that was true at `at`.
    pub fn merge(&mut self, r: &Row, at: Us, now: Us) -> Apply {
        if at > now {
            return Apply::Future;
        }
        if let Some(e) = self.rows.get_mut(&r.wid) {
            if r.inc < e.row.inc {
                self.old += 1;
                return Apply::Ended;
            }
            if (r.inc, r.seq) <= (e.row.inc, e.row.seq) {
                if (r.inc, r.seq) == (e.row.inc, e.row.seq) {
                    e.heard = e.heard.max(at);
                } else {
                    self.old += 1;
                }
                return Apply::Old;
            }
        }
        self.idx += 1;
        let e = Entry { row: r.clone(), heard: at, idx: self.idx };
        self.rows.insert(r.wid.clone(), e);
        Apply::New
    }

    pub fn live(&self, now: Us) -> impl Iterator<Item = &Row> {
        self.rows.values().filter(move |e| !e.row.drain && now.saturating_sub(e.heard) < SILENT).map(|e| &e.row)
    }

    /// What changed after `idx`: all of it is the digest, the rest are changes.
    pub fn after(&self, idx: u64, svcs: &[String], now: Us) -> Vec<Row> {
        let mut v: Vec<_> = self.rows.values().filter(|e| e.idx > idx && svcs.contains(&e.row.pool)).collect();
        v.sort_unstable_by_key(|e| e.idx);
        v.into_iter()
            .map(|e| Row { age: now.saturating_sub(e.heard), ..e.row.clone() })
            .filter(|r| r.age < SILENT)
            .collect()
    }

    pub fn sweep(&mut self, now: Us) {
        self.rows.retain(|_, e| now.saturating_sub(e.heard) < FORGET);
        self.subs.retain(|_, s| now.saturating_sub(s.at) < 3 * SEC);
    }
}
