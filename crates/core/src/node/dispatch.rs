//! The way in: each event goes to the part that it concerns.

use super::quota::ShareRequests;
use super::{Effect, Event, Node};
use crate::base::{MS, Micros, NodeId, SEC};
use crate::protocol::{Frame, Message};

/// A node that was not stepped for so long was frozen, or as good as that.
const STALL: Micros = 500 * MS;

impl Node {
    /// The one way in: an event and the time it came at give the effects.
    pub fn step(&mut self, e: Event, now: Micros) -> Vec<Effect> {
        let now = now.max(self.clock.last_step);
        if now - self.clock.last_step > STALL {
            self.clock.resumed_at = now;
        }
        self.dissemination.contact.stepped(self.clock.last_step, now);
        self.clock.last_step = now;
        match e {
            Event::Tick => self.tick(now),
            Event::Frame(f) => self.on_frame(*f, now),
            Event::Synced(t) => self.on_synced(t),
            Event::Report(r) => {
                self.on_report(&r, now);
            }
            Event::ReportWithAck { request_id: req, report: row } => self.on_report_with_ack(req, &row, now),
            Event::SubmitChange { request_id: req, change_id, is_first_send: fresh, base, change } => {
                self.submit_change(req, (change_id, fresh), base, change, now)
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

    fn on_message(&mut self, f: Frame, now: Micros) {
        let by = f.from;
        // What this node said to itself may have waited for its own disk.
        let lag = if by == self.settings.node_id {
            now.saturating_sub(f.sent_at)
        } else {
            self.dissemination.frame_delays.measure(&f, now)
        };
        match f.message {
            Message::Found { me, version, pledge, first } => self.on_bootstrap(by, me, version, (pledge, first), now),
            Message::Gossip { beats, rows, ask, reply, set, pulse } => {
                if f.to == NodeId::default() {
                    self.on_greeting(by);
                }
                self.on_gossip(by, (&beats, &rows), &ask, reply, (set, &pulse), now);
            }
            Message::Prepare { instance, ballot } => self.on_prepare(by, instance, ballot, now),
            Message::Promise { instance, ballot, accepted } => self.on_promise(by, instance, ballot, accepted, now),
            Message::Refuse { instance, ballot } => self.on_reject(instance, ballot, now),
            Message::Accept { ballot, decree } => self.on_accept(by, ballot, decree, now),
            Message::Accepted { instance, ballot } => self.on_accepted(by, instance, ballot, now),
            Message::Learn { decrees } => self.on_replicate(by, decrees, now),
            Message::Have { version } => self.on_synced_version(by, version, now),
            Message::Confirm { seq, version } => self.on_freshness_probe(by, seq, version, now),
            Message::Confirmed { seq, version, have, ready, pend } => {
                self.on_freshness_reply(by, seq, version, (have, ready), pend, now);
            }
            Message::Ask { seq, version, idx, of, svcs } => self.on_subscribe(by, seq, version, idx, of, svcs, now),
            Message::Tell { ask, since, stamp, version, before, decree, idx, whole, rows } => {
                self.apply_update_entries(before, decree, now);
                self.on_update((by, f.incarnation), (ask, since, stamp), version, (idx, whole), &rows, now);
            }
            Message::Ends { rows } => self.on_removals(by, &rows, lag, now),
            Message::EndsOk { keys } => self.on_removals_received(by, &keys, now),
            Message::EndsDone { keys } => self.on_removals_known_by_all(&keys),
            Message::Reports { rows } => self.on_reports((by, f.incarnation), f.sent_at, &rows, now),
            Message::ClockAsk { n } => self.on_clock_request(by, n, now),
            Message::ClockReply { n } => self.on_clock_reply((by, f.incarnation), n, f.sent_at, now),
            Message::TermAsk { set, duty, epoch, n, new } => self.on_lease_request(by, set, (duty, epoch, new), n, now),
            Message::TermYes { duty, epoch, n, rows, first, lives } => {
                if !self.is_former_incarnation((by, f.incarnation)) {
                    self.on_lease_granted(by, duty, epoch, n, (rows, first, lives), lag, now);
                }
            }
            Message::TermNo { duty, epoch, n, holder, left } => {
                self.on_lease_rejected(duty, epoch, n, holder, left, now)
            }
            Message::Grants { set, duty, epoch, n, rows } => {
                self.on_replicate_grants(by, set, duty, epoch, n, rows, lag, now)
            }
            Message::GrantsOk { duty, epoch, n } => self.on_grants_synced(by, duty, epoch, n, now),
            Message::TakeoverAsk { set } => self.on_takeover_request(by, set, now),
            Message::TakeoverReply { set, full, rows, lives } => {
                self.on_takeover_reply(by, set, full, (rows, lives), lag, now);
            }
            Message::SliceAsk { n, tenant, want, window, returned } => {
                self.on_slice_request(by, n, &tenant, want, (window, returned), now)
            }
            Message::Slice { n, tenant, window, granted_total, left, epoch } => {
                self.on_slice_granted(n, &tenant, window, granted_total, left, epoch)
            }
            Message::Spent { n, tenant, window, left } => self.on_window_spent(n, &tenant, (window, left), lag, now),
            Message::NotHolder { n, tenant, holder } => self.on_not_lease_holder(by, n, &tenant, holder, now),
            Message::Recall { tenant, window, epoch } => self.on_recall_slice(by, &tenant, window, epoch, now),
            Message::Return { tenant, window, returned } => self.on_return_slice(by, &tenant, window, returned, now),
            Message::Enroll { set, n, rows } => self.on_register(by, set, n, rows, now),
            Message::Enrolled { set, n } => self.on_registered(by, set, n, now),
            Message::Probe { marks } => self.on_share_probe(by, &marks, now),
            Message::Probed { addr, marks, age } => {
                self.on_share_probe_reply((by, f.incarnation), &addr, &marks, age, now)
            }
            Message::ShareAsk { n, rows, marks, idle } => {
                self.on_share_requests((by, f.incarnation), ShareRequests { n, rows, idle, marks }, now)
            }
            Message::Shares { n, rows, marks } => self.on_share_grants(by, n, &rows, &marks, now),
            Message::Forward { n, change_id, fresh, base, change } => {
                self.on_forward(by, n, (change_id, fresh), base, change, now)
            }
            Message::Forwarded { n, fate } => self.on_forwarded(by, n, fate, now),
            Message::DigestAsk { from, to } => self.on_digest_request(by, from, to, now),
            Message::Digests { from, to, rows } => self.on_digest_reply(by, (from, to), rows, now),
            Message::Ready { set } => self.on_ready(by, set),
            Message::HoldsAsk { n } => self.on_held_leases_query((by, f.incarnation), n, now),
            Message::HoldsNone { n } => self.on_no_held_leases(by, n, now),
        }
    }
}
