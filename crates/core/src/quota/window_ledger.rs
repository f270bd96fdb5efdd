//! The holder of windows: what it granted to whom, and what came back.

use crate::base::{MS, Micros, NodeId};
use crate::config::WindowQuota;
use crate::protocol::WindowGrant;
use std::collections::{BTreeMap, BTreeSet};

/// One node's ask that can't be met at once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SliceRequest {
    pub node_id: NodeId,
    pub request_id: u64,
    pub wanted_units: u64,
    pub received_at: Micros,
}

/// A question to all who may have idle units.
#[derive(Clone, Debug)]
struct Poll {
    began: Micros,
    /// Those who have not answered.
    left: BTreeSet<NodeId>,
    /// They were asked a second time.
    again: bool,
}

#[derive(Clone, Debug, Default)]
struct Book {
    window: u64,
    from: Micros,
    granted_total: BTreeMap<NodeId, u64>,
    returned: BTreeMap<NodeId, u64>,
    wait: Vec<SliceRequest>,
    polled: Option<Poll>,
    calm: Micros,
}

/// What the holder does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerAction {
    /// Make this durable on a majority, then tell the node.
    Grant {
        request_id: u64,
        grant: WindowGrant,
        remaining: Micros,
    },
    Recall {
        to: Vec<NodeId>,
        window: u64,
    },
    Spent {
        node_id: NodeId,
        request_id: u64,
        window: u64,
        remaining: Micros,
    },
}

/// What the holder of a tenant's quota keeps while its term lasts.
#[derive(Clone, Debug, Default)]
pub struct WindowLedger {
    books: BTreeMap<String, Book>,
}

const POLL: Micros = 150 * MS;
/// Who has not answered by then is asked once more: one frame that is late or lost must not
/// make a window pass for spent.
const POLL_AGAIN: Micros = 75 * MS;

impl WindowLedger {
    /// Takes over what a voter knows. A window whose beginning nobody knows begins now.
    pub fn inherit(&mut self, g: &WindowGrant, now: Micros) {
        let from = now.saturating_sub(g.age);
        let b = self.books.entry(g.tenant.clone()).or_default();
        if g.window > b.window {
            *b = Book { window: g.window, from, ..Book::default() };
        }
        if g.window == b.window {
            let c = b.granted_total.entry(g.node_id).or_insert(0);
            *c = (*c).max(g.granted_total);
            b.from = b.from.min(from);
        }
    }

    /// The term ended, or the tenant is gone.
    pub fn forget(&mut self, t: &str) {
        self.books.remove(t);
    }

    /// How long this window has run, as far as it is known.
    pub fn age(&self, t: &str, window: u64, now: Micros) -> Micros {
        self.books.get(t).filter(|b| b.window == window).map_or(0, |b| now.saturating_sub(b.from))
    }

    fn roll(b: &mut Book, q: WindowQuota, now: Micros) {
        if b.window == 0 || now >= b.from + q.window {
            *b = Book { window: b.window + 1, from: now, wait: std::mem::take(&mut b.wait), ..Book::default() };
        }
    }

    /// A node asks for units and tells what it returned: a window and the sum in it.
    pub fn request(
        &mut self,
        t: &str,
        q: WindowQuota,
        mut a: SliceRequest,
        returned: (u64, u64),
        nodes: u64,
        now: Micros,
    ) -> Vec<LedgerAction> {
        let b = self.books.entry(t.to_owned()).or_default();
        Self::roll(b, q, now);
        if returned.0 == b.window {
            Self::returned(b, a.node_id, returned.1);
        }
        a.received_at = now;
        b.wait.retain(|w| w.node_id != a.node_id);
        b.wait.push(a);
        Self::turn(t, b, q, nodes, now)
    }

    /// A node returned so many units of a window in all.
    #[allow(clippy::too_many_arguments)]
    pub fn return_units(
        &mut self,
        t: &str,
        q: WindowQuota,
        node_id: NodeId,
        window: u64,
        returned: u64,
        nodes: u64,
        now: Micros,
    ) -> Vec<LedgerAction> {
        let Some(b) = self.books.get_mut(t) else { return Vec::new() };
        if b.window == window {
            Self::returned(b, node_id, returned);
            if let Some(p) = &mut b.polled {
                p.left.remove(&node_id);
            }
        }
        Self::turn(t, b, q, nodes, now)
    }

    /// Time passes for those who wait.
    pub fn tick(&mut self, t: &str, q: WindowQuota, nodes: u64, now: Micros) -> Vec<LedgerAction> {
        let Some(b) = self.books.get_mut(t) else { return Vec::new() };
        if b.wait.is_empty() {
            return Vec::new();
        }
        Self::roll(b, q, now);
        Self::turn(t, b, q, nodes, now)
    }

    fn returned(b: &mut Book, node_id: NodeId, returned: u64) {
        let cap = b.granted_total.get(&node_id).copied().unwrap_or(0);
        let r = b.returned.entry(node_id).or_insert(0);
        *r = (*r).max(returned.min(cap));
    }

    fn left(b: &Book, q: WindowQuota) -> u64 {
        let out: u64 = b.granted_total.values().sum::<u64>() - b.returned.values().sum::<u64>();
        q.calls.saturating_sub(out)
    }

    fn turn(t: &str, b: &mut Book, q: WindowQuota, nodes: u64, now: Micros) -> Vec<LedgerAction> {
        let mut out = Vec::new();
        let end = (b.from + q.window).saturating_sub(now);
        while let Some(a) = b.wait.first().cloned() {
            let l = Self::left(b, q);
            if l == 0 {
                break;
            }
            b.wait.remove(0);
            let fair = (l / (2 * nodes.max(1))).max(1);
            let n = a.wanted_units.min(fair.max(l / 4)).max(1).min(l);
            let c = b.granted_total.entry(a.node_id).or_insert(0);
            *c += n;
            let g = WindowGrant {
                tenant: t.to_owned(),
                window: b.window,
                node_id: a.node_id,
                granted_total: *c,
                age: now.saturating_sub(b.from),
            };
            out.push(LedgerAction::Grant { request_id: a.request_id, grant: g, remaining: end });
        }
        if b.wait.is_empty() {
            b.polled = None;
            return out;
        }
        // A word that all is spent rests on a poll that began after the ask.
        let polled_at = match &mut b.polled {
            Some(p) if p.left.is_empty() || now >= p.began + POLL => Some(p.began),
            Some(p) => {
                if !p.again && now >= p.began + POLL_AGAIN {
                    p.again = true;
                    out.push(LedgerAction::Recall { to: p.left.iter().copied().collect(), window: b.window });
                }
                None
            }
            None if now < b.calm => None,
            None => {
                let to: Vec<_> = b
                    .granted_total
                    .iter()
                    .filter(|(n, c)| **c > b.returned.get(n).copied().unwrap_or(0))
                    .map(|x| *x.0)
                    .collect();
                if to.is_empty() {
                    Some(now)
                } else {
                    b.polled = Some(Poll { began: now, left: to.iter().copied().collect(), again: false });
                    out.push(LedgerAction::Recall { to, window: b.window });
                    None
                }
            }
        };
        if let Some(polled_at) = polled_at {
            b.polled = None;
            b.calm = now + 100 * MS;
            let (before, after): (Vec<_>, _) = b.wait.drain(..).partition(|a| a.received_at <= polled_at);
            b.wait = after;
            for a in before {
                out.push(LedgerAction::Spent {
                    node_id: a.node_id,
                    request_id: a.request_id,
                    window: b.window,
                    remaining: end,
                });
            }
        }
        out
    }

    /// For comparison: tenant, window, granted and returned over all nodes.
    pub fn list(&self) -> Vec<(String, u64, u64, u64)> {
        self.books
            .iter()
            .map(|(t, b)| (t.clone(), b.window, b.granted_total.values().sum(), b.returned.values().sum()))
            .collect()
    }
}
