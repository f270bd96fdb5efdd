//! Clock offset bounds: the least time by which this node's clock is ahead of a peer's, from round trips.
//!
//! With such a bound, data that a peer passes on is never taken for younger than it is. This holds even for
//! the first frames of a peer's new incarnation, however long they were delayed. The bound decreases with
//! time, as clocks drift. Reports from a peer without a bound wait for one for [`CLOCK_BOUND_TIMEOUT`] and
//! are then dropped.

use crate::base::{Incarnation, MS, Micros, NodeId, SEC};
use crate::node::Node;
use crate::protocol::{DisseminationMessage, Message, WorkerReport};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The time after which a request without a reply is sent again, in microseconds.
const RETRY_INTERVAL: Micros = 250 * MS;
/// The time after which a bound is measured again, in microseconds: clocks drift apart.
const RENEW_INTERVAL: Micros = 20 * SEC;
/// The round-trip time above which a bound is imprecise and soon measured again, in microseconds.
const SLOW_ROUND_TRIP_THRESHOLD: Micros = 20 * MS;
/// The time after which a bound from a slow round trip is measured again, in microseconds.
const RENEW_SLOW_INTERVAL: Micros = SEC;
/// The clocks of two nodes drift apart by at most one part in this many.
const DRIFT_DIVISOR: i128 = 1_000;
/// The time after which reports that wait for a bound are dropped, in microseconds.
const CLOCK_BOUND_TIMEOUT: Micros = 2 * SEC;
/// The maximum number of waiting reports of one peer.
const MAX_WAITING_REPORTS: usize = 4_096;
/// The maximum number of requests to a peer that are remembered so that their replies count.
const MAX_REMEMBERED_REQUESTS: usize = 8;
/// The time without a report after which a peer is dropped, in microseconds.
const IDLE_PEER_RETENTION: Micros = 60 * SEC;

/// A report from a peer whose clock offset is not known yet.
#[derive(Clone, Debug)]
struct WaitingReport {
    received_at: Micros,
    /// When the report was sent, by the peer's clock.
    sent_at: Micros,
    report: WorkerReport,
}

/// A lower bound of the time by which this node's clock is ahead of a peer's, in microseconds.
#[derive(Clone, Copy, Debug)]
struct OffsetBound {
    offset: i128,
    measured_at: Micros,
}

impl OffsetBound {
    /// Returns the bound that still holds now, however fast the clocks drift apart.
    fn offset_now(&self, now: Micros) -> i128 {
        self.offset - i128::from(now.saturating_sub(self.measured_at)) / DRIFT_DIVISOR
    }
}

/// A request to read a peer's clock.
#[derive(Clone, Copy, Debug)]
struct ClockProbe {
    request_id: u64,
    sent_at: Micros,
}

/// The clock offset of one incarnation of a peer, and the reports that wait for it.
#[derive(Clone, Debug)]
struct PeerClock {
    incarnation: Incarnation,
    /// The bound on the clock offset; none before the first reading.
    bound: Option<OffsetBound>,
    /// The newest requests without a reply.
    probes: VecDeque<ClockProbe>,
    /// When the next request may be sent.
    next_probe_at: Micros,
    /// When the peer last sent a report.
    last_used_at: Micros,
    /// The reports that wait for a bound.
    waiting: Vec<WaitingReport>,
}

impl PeerClock {
    fn new(incarnation: Incarnation, now: Micros) -> Self {
        PeerClock {
            incarnation,
            bound: None,
            probes: VecDeque::new(),
            next_probe_at: now,
            last_used_at: now,
            waiting: Vec::new(),
        }
    }

    fn offset_now(&self, now: Micros) -> Option<i128> {
        self.bound.map(|bound| bound.offset_now(now))
    }

    /// Returns the earliest time, by this node's clock, at which a frame of the peer can have been sent.
    fn earliest_sent_at(&self, sent_at: Micros, now: Micros) -> Option<Micros> {
        let earliest = i128::from(sent_at) + self.offset_now(now)?;
        Some(Micros::try_from(earliest.max(0)).unwrap_or(now).min(now))
    }

    /// Records a reading of the peer's clock that was requested at `requested_at`.
    fn record_reading(&mut self, requested_at: Micros, reading: Micros, now: Micros) {
        self.probes.clear();
        let measured = i128::from(requested_at) - i128::from(reading);
        let known = self.offset_now(now).unwrap_or(measured);
        self.bound = Some(OffsetBound { offset: known.max(measured), measured_at: now });
        let is_slow = now.saturating_sub(requested_at) > SLOW_ROUND_TRIP_THRESHOLD;
        self.next_probe_at = now + if is_slow { RENEW_SLOW_INTERVAL } else { RENEW_INTERVAL };
    }

    /// Drops reports that waited for too long, and returns their number.
    fn drop_overdue(&mut self, now: Micros) -> usize {
        let before = self.waiting.len();
        self.waiting.retain(|waiting| now.saturating_sub(waiting.received_at) < CLOCK_BOUND_TIMEOUT);
        before - self.waiting.len()
    }
}

/// The clocks of all peers that pass reports on to this node.
#[derive(Clone, Debug, Default)]
pub(in crate::node) struct PeerClocks {
    peers: BTreeMap<NodeId, PeerClock>,
    /// The peers whose reports wait for a bound.
    peers_with_waiting_reports: BTreeSet<NodeId>,
}

impl PeerClocks {
    /// Returns the clock of the sender's incarnation, and drops that of an earlier one.
    fn clock_of(&mut self, (node_id, incarnation): (NodeId, Incarnation), now: Micros) -> &mut PeerClock {
        let clock = self.peers.entry(node_id).or_insert_with(|| PeerClock::new(incarnation, now));
        if clock.incarnation != incarnation {
            *clock = PeerClock::new(incarnation, now);
        }
        clock.last_used_at = now;
        clock
    }

    /// Drops peers that sent no report within [`IDLE_PEER_RETENTION`].
    pub fn expire(&mut self, now: Micros) {
        self.peers.retain(|_, clock| now.saturating_sub(clock.last_used_at) < IDLE_PEER_RETENTION);
        self.peers_with_waiting_reports.retain(|node_id| self.peers.contains_key(node_id));
    }
}

impl Node {
    /// Returns the earliest time, by this node's clock, at which a frame can have been sent; none while there
    /// is no bound for the sender's clock.
    pub(in crate::node) fn earliest_sent_at(
        &mut self,
        sender: (NodeId, Incarnation),
        sent_at: Micros,
        now: Micros,
    ) -> Option<Micros> {
        let earliest = self.dissemination.peer_clocks.clock_of(sender, now).earliest_sent_at(sent_at, now);
        self.request_clock(sender.0, now);
        earliest
    }

    /// Keeps reports of unknown age until a reading of their sender's clock is received.
    pub(in crate::node) fn wait_for_clock(
        &mut self,
        sender: (NodeId, Incarnation),
        sent_at: Micros,
        reports: Vec<WorkerReport>,
        now: Micros,
    ) {
        let clock = self.dissemination.peer_clocks.clock_of(sender, now);
        clock.waiting.extend(reports.into_iter().map(|report| WaitingReport { received_at: now, sent_at, report }));
        clock.waiting.truncate(MAX_WAITING_REPORTS);
        self.dissemination.peer_clocks.peers_with_waiting_reports.insert(sender.0);
    }

    /// Requests a reading of a peer's clock, if one is due.
    fn request_clock(&mut self, peer: NodeId, now: Micros) {
        let request_id = self.next_request_id();
        let clock = self.dissemination.peer_clocks.peers.get_mut(&peer);
        let Some(clock) = clock.filter(|clock| now >= clock.next_probe_at) else { return };
        clock.next_probe_at = now + RETRY_INTERVAL;
        clock.probes.push_back(ClockProbe { request_id, sent_at: now });
        if clock.probes.len() > MAX_REMEMBERED_REQUESTS {
            clock.probes.pop_front();
        }
        self.send(peer, Message::Dissemination(DisseminationMessage::ClockRequest { request_id }), now);
    }

    /// Handles a request to read this node's clock: the reading is the `sent_at` of the reply's frame.
    pub(in crate::node) fn on_clock_request(&mut self, from: NodeId, request_id: u64, now: Micros) {
        self.send(from, Message::Dissemination(DisseminationMessage::ClockReply { request_id }), now);
    }

    /// Handles a reading of a peer's clock, and applies the reports that waited for it.
    pub(in crate::node) fn on_clock_reply(
        &mut self,
        (from, incarnation): (NodeId, Incarnation),
        request_id: u64,
        reading: Micros,
        now: Micros,
    ) {
        let clock = self.dissemination.peer_clocks.peers.get_mut(&from);
        let Some(clock) = clock.filter(|clock| clock.incarnation == incarnation) else { return };
        let Some(probe) = clock.probes.iter().find(|probe| probe.request_id == request_id).copied() else { return };
        clock.record_reading(probe.sent_at, reading, now);
        let waiting = std::mem::take(&mut clock.waiting);
        self.dissemination.peer_clocks.peers_with_waiting_reports.remove(&from);
        for WaitingReport { sent_at, report, .. } in waiting {
            let clock = self.dissemination.peer_clocks.peers.get(&from);
            let Some(sent_at) = clock.and_then(|clock| clock.earliest_sent_at(sent_at, now)) else { continue };
            self.apply_report(&report, sent_at.saturating_sub(report.age), now);
        }
    }

    /// Drops reports that waited for too long, and requests the clocks that other reports wait for.
    pub(in crate::node) fn tick_peer_clocks(&mut self, now: Micros) {
        for peer in self.dissemination.peer_clocks.peers_with_waiting_reports.clone() {
            let Some(clock) = self.dissemination.peer_clocks.peers.get_mut(&peer) else { continue };
            let dropped = clock.drop_overdue(now);
            if clock.waiting.is_empty() {
                self.dissemination.peer_clocks.peers_with_waiting_reports.remove(&peer);
            }
            self.counters.reports_unaged += dropped as u64;
            self.request_clock(peer, now);
        }
    }
}
