//! Dispatch of each event and each message to the concern that handles it.
//!
//! Guarantees that time never decreases between two steps, and that messages of a node to itself are handled
//! within the same step.

use super::consensus::SubmittedChange;
use super::{Effect, Event, Node};
use crate::base::{Incarnation, MS, Micros, NodeId, SEC};
use crate::protocol::{Frame, Message};

/// The time without a step after which a node counts as stalled, in microseconds: messages may have been
/// queued during that time.
const STALL_THRESHOLD: Micros = 500 * MS;

/// The sender of a message and the time when it was sent. Times are in microseconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct Envelope {
    /// The sender.
    pub from: NodeId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// When the message was sent, by the sender's clock.
    pub sent_at: Micros,
    /// The transit time of the message beyond that of the fastest message from the same sender; for a message
    /// of this node to itself, the time that the message waited for the disk.
    pub delay: Micros,
    /// Whether the message names no receiver, because the sender knows only the address.
    pub is_greeting: bool,
}

impl Envelope {
    /// Returns the sender and its incarnation.
    pub fn incarnation_of_sender(&self) -> (NodeId, Incarnation) {
        (self.from, self.incarnation)
    }
}

impl Node {
    /// Handles an event at `now`, in microseconds by this node's clock. Returns the effects in the order in
    /// which the host must carry them out.
    pub fn step(&mut self, event: Event, now: Micros) -> Vec<Effect> {
        let now = self.advance_clock(now);
        self.on_event(event, now);
        self.handle_loopback(now);
        self.drive_proposals(now);
        self.complete_reads(now);
        self.complete_pending_acks(now);
        self.handle_loopback(now);
        self.publish(now);
        self.outbox.take_effects()
    }

    /// Records a step, and a stall if the node was stalled before. Returns the time of the step.
    fn advance_clock(&mut self, now: Micros) -> Micros {
        let last_step = self.clock.last_step;
        let now = now.max(last_step);
        if now - last_step > STALL_THRESHOLD {
            self.clock.resumed_at = now;
        }
        self.dissemination.contact.record_step(last_step, now);
        self.clock.last_step = now;
        now
    }

    fn on_event(&mut self, event: Event, now: Micros) {
        match event {
            Event::Tick => self.tick(now),
            Event::Frame(frame) => self.on_frame(*frame, now),
            Event::Synced(token) => self.on_synced(token),
            Event::Report(report) => {
                self.on_report(&report, now);
            }
            Event::ReportWithAck { request_id, report } => self.on_report_with_ack(request_id, &report, now),
            Event::SubmitChange { request_id, change_id, is_first_send, base, change } => {
                let submitted = SubmittedChange { change_id, is_first_send, base, change };
                self.submit_change(request_id, submitted, now);
            }
            Event::QuotaNeeded { tenant, waiting } => self.on_quota_needed(&tenant, waiting, now),
            Event::SeedsChanged(seeds) => self.settings.seeds = seeds,
            Event::Shutdown => self.shut_down(now),
        }
    }

    /// Handles the frames that this node sent to itself, including those sent while these are handled.
    fn handle_loopback(&mut self, now: Micros) {
        while let Some(frame) = self.outbox.next_loopback() {
            self.on_message(frame, now);
        }
    }

    fn tick(&mut self, now: Micros) {
        self.tick_gossip(now);
        self.tick_bootstrap(now);
        self.tick_freshness(now);
        self.tick_contact_probe(now);
        self.tick_subscribe(now);
        self.tick_core_contact(now);
        self.tick_removal_catch_up(now);
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
        // Runs once a second: the last view was published in an earlier second.
        if now / SEC != self.publisher.published_at / SEC {
            self.dissemination.expire(now);
            self.forget_outdated_removals();
        }
    }

    fn on_frame(&mut self, frame: Frame, now: Micros) {
        self.counters.frames_in += 1;
        if self.is_foreign(&frame) {
            self.counters.frames_foreign += 1;
            return;
        }
        self.dissemination.peers.record_contact(frame.from, now);
        self.on_frame_from_incarnation(&frame);
        self.on_message(frame, now);
    }

    /// Returns whether a frame must be dropped: it is from this node, for another node, or of another fleet.
    /// Fleet 0 means that the sender knows no fleet.
    fn is_foreign(&self, frame: &Frame) -> bool {
        let own_id = self.settings.node_id;
        let own_fleet = self.fleet_id();
        let is_for_another = frame.to != NodeId::default() && frame.to != own_id;
        let is_of_another_fleet = frame.fleet_id != 0 && own_fleet != 0 && frame.fleet_id != own_fleet;
        frame.from == own_id || is_for_another || is_of_another_fleet
    }

    fn on_message(&mut self, frame: Frame, now: Micros) {
        // A message of this node to itself may have waited for the disk.
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
