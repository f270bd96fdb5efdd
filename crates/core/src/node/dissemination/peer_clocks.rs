//! What the clocks of peers show at the least, from round trips. What a peer passes on is then
//! never taken for younger than it is, also the first frames of a peer's new life, however long
//! they were held on their way.

use crate::base::{Incarnation, MS, Micros, NodeId, SEC};
use crate::node::Node;
use crate::protocol::{DisseminationMessage, Message, WorkerReport};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A question that has no answer is sent again after this.
const RETRY: Micros = 250 * MS;
/// A bound is measured anew after this: clocks drift apart.
const RENEW: Micros = 20 * SEC;
/// A bound from a slower round trip is measured anew soon.
const QUICK: Micros = 20 * MS;
const RENEW_SLOW: Micros = SEC;
/// Clocks differ by one part in so many at most.
const DRIFT: i128 = 1_000;
/// Reports that wait for a bound are dropped after this.
const KEEP: Micros = 2 * SEC;
const MOST_WAITING: usize = 4_096;
const MOST_ASKED: usize = 8;
/// Peers that sent no report for so long are forgotten.
const FORGET: Micros = 60 * SEC;

/// A report whose sender's clock is not known yet.
#[derive(Clone, Debug)]
struct Waiting {
    came: Micros,
    sent: Micros,
    row: WorkerReport,
}

#[derive(Clone, Debug)]
struct PeerClock {
    incarnation: Incarnation,
    /// This node's clock is at least so far ahead of the peer's, and when that was measured.
    ahead: Option<(i128, Micros)>,
    asked: VecDeque<(u64, Micros)>,
    ask_due: Micros,
    used: Micros,
    waiting: Vec<Waiting>,
}

impl PeerClock {
    fn new(incarnation: Incarnation, now: Micros) -> Self {
        PeerClock { incarnation, ahead: None, asked: VecDeque::new(), ask_due: now, used: now, waiting: Vec::new() }
    }

    fn least_ahead(&self, now: Micros) -> Option<i128> {
        let (ahead, at) = self.ahead?;
        Some(ahead - i128::from(now.saturating_sub(at)) / DRIFT)
    }

    /// The earliest moment, by this node's clock, at which a frame of the peer can have been sent.
    fn earliest(&self, sent: Micros, now: Micros) -> Option<Micros> {
        let at = i128::from(sent) + self.least_ahead(now)?;
        Some(Micros::try_from(at.max(0)).unwrap_or(now).min(now))
    }
}

/// The clocks of all peers that pass reports on to this node.
#[derive(Clone, Debug, Default)]
pub(in crate::node) struct PeerClocks {
    peers: BTreeMap<NodeId, PeerClock>,
    /// Those whose reports wait.
    open: BTreeSet<NodeId>,
}

impl PeerClocks {
    fn peer(&mut self, by: (NodeId, Incarnation), now: Micros) -> &mut PeerClock {
        let p = self.peers.entry(by.0).or_insert_with(|| PeerClock::new(by.1, now));
        if p.incarnation != by.1 {
            *p = PeerClock::new(by.1, now);
        }
        p.used = now;
        p
    }

    /// Forgets peers that were not heard for long.
    pub fn expire(&mut self, now: Micros) {
        self.peers.retain(|_, p| now.saturating_sub(p.used) < FORGET);
        self.open.retain(|n| self.peers.contains_key(n));
    }
}

impl Node {
    /// The earliest moment at which this frame can have been sent; nothing while that is unknown.
    pub(in crate::node) fn earliest_sent_at(
        &mut self,
        by: (NodeId, Incarnation),
        sent: Micros,
        now: Micros,
    ) -> Option<Micros> {
        let earliest = self.dissemination.peer_clocks.peer(by, now).earliest(sent, now);
        self.request_clock(by.0, now);
        earliest
    }

    /// Reports of unknown age wait for an answer about their sender's clock.
    pub(in crate::node) fn wait_for_clock(
        &mut self,
        by: (NodeId, Incarnation),
        sent: Micros,
        rows: Vec<WorkerReport>,
        now: Micros,
    ) {
        let p = self.dissemination.peer_clocks.peer(by, now);
        p.waiting.extend(rows.into_iter().map(|row| Waiting { came: now, sent, row }));
        p.waiting.truncate(MOST_WAITING);
        self.dissemination.peer_clocks.open.insert(by.0);
    }

    fn request_clock(&mut self, peer: NodeId, now: Micros) {
        let n = self.next_request_id();
        let Some(p) = self.dissemination.peer_clocks.peers.get_mut(&peer).filter(|p| now >= p.ask_due) else { return };
        p.ask_due = now + RETRY;
        p.asked.push_back((n, now));
        if p.asked.len() > MOST_ASKED {
            p.asked.pop_front();
        }
        self.send(peer, Message::Dissemination(DisseminationMessage::ClockRequest { request_id: n }), now);
    }

    pub(in crate::node) fn on_clock_request(&mut self, by: NodeId, n: u64, now: Micros) {
        self.send(by, Message::Dissemination(DisseminationMessage::ClockReply { request_id: n }), now);
    }

    /// The peer's clock showed `sent` after this node asked.
    pub(in crate::node) fn on_clock_reply(&mut self, by: (NodeId, Incarnation), n: u64, sent: Micros, now: Micros) {
        let Some(p) = self.dissemination.peer_clocks.peers.get_mut(&by.0).filter(|p| p.incarnation == by.1) else {
            return;
        };
        let Some(asked) = p.asked.iter().find(|a| a.0 == n).map(|a| a.1) else { return };
        p.asked.clear();
        let ahead = i128::from(asked) - i128::from(sent);
        let known = p.least_ahead(now).unwrap_or(ahead);
        p.ahead = Some((known.max(ahead), now));
        let slow = now.saturating_sub(asked) > QUICK;
        p.ask_due = now + if slow { RENEW_SLOW } else { RENEW };
        let waiting = std::mem::take(&mut p.waiting);
        self.dissemination.peer_clocks.open.remove(&by.0);
        for w in waiting {
            let Some(at) = self.dissemination.peer_clocks.peers.get(&by.0).and_then(|p| p.earliest(w.sent, now)) else {
                continue;
            };
            self.apply_report(&w.row, at.saturating_sub(w.row.age), now);
        }
    }

    pub(in crate::node) fn tick_peer_clocks(&mut self, now: Micros) {
        for peer in self.dissemination.peer_clocks.open.clone() {
            let Some(p) = self.dissemination.peer_clocks.peers.get_mut(&peer) else { continue };
            let before = p.waiting.len();
            p.waiting.retain(|w| now.saturating_sub(w.came) < KEEP);
            let dropped = before - p.waiting.len();
            if p.waiting.is_empty() {
                self.dissemination.peer_clocks.open.remove(&peer);
            }
            self.counters.reports_unaged += dropped as u64;
            self.request_clock(peer, now);
        }
    }
}
