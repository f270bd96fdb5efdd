//! The way in: each event goes to the part that it concerns.

use super::consensus::SubmittedChange;
use super::{Effect, Event, Node};
use crate::base::{Incarnation, MS, Micros, NodeId, SEC};
use crate::protocol::{Frame, Message};

/// A node that was not stepped for so long was frozen, or as good as that.
const STALL: Micros = 500 * MS;

/// Who sent a message, and when.
#[derive(Clone, Copy, Debug)]
pub(super) struct Envelope {
    pub from: NodeId,
    pub incarnation: Incarnation,
    /// When it was sent, by the sender's clock.
    pub sent_at: Micros,
    /// How much longer it was under way than the quickest message from its sender; for a message of this
    /// node to itself, how long it waited for the disk.
    pub delay: Micros,
    /// It names no receiver: its sender knows only the address.
    pub is_greeting: bool,
}

impl Envelope {
    /// The sender and its incarnation.
    pub fn incarnation_of_sender(&self) -> (NodeId, Incarnation) {
        (self.from, self.incarnation)
    }
}

impl Node {
    /// The one way in: an event and the time it came at give the effects.
    pub fn step(&mut self, e: Event, now: Micros) -> Vec<Effect> {
        let now = now.max(self.clock.last_step);
        if now - self.clock.last_step > STALL {
            self.clock.resumed_at = now;
        }
        self.dissemination.contact.record_step(self.clock.last_step, now);
        self.clock.last_step = now;
        match e {
            Event::Tick => self.tick(now),
            Event::Frame(f) => self.on_frame(*f, now),
            Event::Synced(t) => self.on_synced(t),
            Event::Report(r) => {
                self.on_report(&r, now);
            }
            Event::ReportWithAck { request_id: req, report: row } => self.on_report_with_ack(req, &row, now),
            Event::SubmitChange { request_id, change_id, is_first_send, base, change } => {
                let submitted = SubmittedChange { change_id, is_first_send, base, change };
                self.submit_change(request_id, submitted, now)
            }
            Event::QuotaNeeded { tenant, waiting } => self.on_quota_needed(&tenant, waiting, now),
            Event::SeedsChanged(s) => self.settings.seeds = s,
            Event::Shutdown => self.shut_down(now),
        }
        while let Some(f) = self.outbox.next_loopback() {
            self.on_message(f, now);
        }
        self.drive_proposals(now);
        self.complete_reads(now);
        self.complete_pending_acks(now);
        while let Some(f) = self.outbox.next_loopback() {
            self.on_message(f, now);
        }
        self.publish(now);
        self.outbox.take_effects()
    }

    fn tick(&mut self, now: Micros) {
        self.tick_gossip(now);
        self.tick_bootstrap(now);
        self.tick_freshness(now);
        self.tick_contact_probe(now);
        self.tick_subscribe(now);
        self.tick_core_contact(now);
        self.tick_removals(now);
        self.tick_peer_clocks(now);
        self.tick_push(now);
        self.tick_takeover(now);
        self.tick_startup_fence(now);
        self.tick_leases(now);
        self.tick_windows(now);
        self.tick_shares(now);
        self.tick_registrations(now);
        self.tick_forward(now);
        self.tick_voters(now);
        self.tick_digest_sync(now);
        if now / SEC != self.publisher.published_at / SEC {
            self.dissemination.peers.expire(now);
            self.dissemination.workers.expire(now);
            self.dissemination.peer_clocks.expire(now);
            self.dissemination.peer_incarnations.expire(&self.dissemination.peers);
        }
    }

    fn on_frame(&mut self, f: Frame, now: Micros) {
        self.counters.frames_in += 1;
        let mine = self.fleet_id();
        let other = f.to != NodeId::default() && f.to != self.settings.node_id;
        if f.from == self.settings.node_id || other || (f.fleet_id != 0 && mine != 0 && f.fleet_id != mine) {
            self.counters.frames_foreign += 1;
            return;
        }
        self.dissemination.peers.record_contact(f.from, now);
        self.on_frame_from_incarnation(&f);
        self.on_message(f, now);
    }

    fn on_message(&mut self, frame: Frame, now: Micros) {
        // What this node sent to itself may have waited for its own disk.
        let delay = if frame.from == self.settings.node_id {
            now.saturating_sub(frame.sent_at)
        } else {
            self.dissemination.frame_delays.measure(&frame, now)
        };
        let envelope = Envelope {
            from: frame.from,
            incarnation: frame.incarnation,
            sent_at: frame.sent_at,
            delay,
            is_greeting: frame.to == NodeId::default(),
        };
        match frame.message {
            Message::Consensus(message) => self.on_consensus_message(&envelope, message, now),
            Message::Membership(message) => self.on_membership_message(&envelope, message, now),
            Message::Lease(message) => self.on_lease_message(&envelope, message, now),
            Message::Quota(message) => self.on_quota_message(&envelope, message, now),
            Message::Dissemination(message) => self.on_dissemination_message(&envelope, message, now),
        }
    }
}
