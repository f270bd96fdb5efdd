//! The way in: each event goes to the part that it concerns.

use super::shares::AskedShares;
use super::{Effect, Event, Node};
use crate::base::{MS, Micros, NodeId, SEC};
use crate::peer::{Frame, Msg};

/// A node that was not stepped for so long was frozen, or as good as that.
const STALL: Micros = 500 * MS;

impl Node {
    /// The one way in: an event and the time it came at give the effects.
    pub fn step(&mut self, e: Event, now: Micros) -> Vec<Effect> {
        let now = now.max(self.last);
        if now - self.last > STALL {
            self.woke = now;
        }
        self.contact.stepped(self.last, now);
        self.last = now;
        match e {
            Event::Tick => self.tick(now),
            Event::Frame(f) => self.take_frame(*f, now),
            Event::Synced(t) => self.synced(t),
            Event::Report(r) => {
                self.report(&r, now);
            }
            Event::Told { req, row } => self.told(req, &row, now),
            Event::Put { req, change_id, fresh, base, change } => self.put(req, (change_id, fresh), base, change, now),
            Event::Need { tenant, waiting } => self.need(&tenant, waiting, now),
            Event::Seeds(s) => self.me.seeds = s,
            Event::Leave => self.leave(now),
        }
        while let Some(f) = self.back.pop_front() {
            self.on(f, now);
        }
        self.drive(now);
        self.settle_reads(now);
        self.settle_beats(now);
        while let Some(f) = self.back.pop_front() {
            self.on(f, now);
        }
        self.view(now);
        std::mem::take(&mut self.out)
    }

    fn tick(&mut self, now: Micros) {
        self.tick_gossip(now);
        self.tick_found(now);
        self.tick_confirm(now);
        self.tick_probe(now);
        self.tick_ask(now);
        self.tick_touch(now);
        self.tick_ends(now);
        self.tick_clocks(now);
        self.tick_push(now);
        self.tick_takeover(now);
        self.tick_quiet(now);
        self.tick_terms(now);
        self.tick_quota(now);
        self.tick_shares(now);
        self.tick_lives(now);
        self.tick_forward(now);
        self.tick_members(now);
        self.tick_digests(now);
        if now / SEC != self.shown.at / SEC {
            self.ring.sweep(now);
            self.news.sweep(now);
            self.clocks.sweep(now);
            self.peer_lives.sweep(&self.ring);
        }
    }

    fn take_frame(&mut self, f: Frame, now: Micros) {
        self.counts.frames_in += 1;
        let mine = self.fleet();
        let other = f.to != NodeId::default() && f.to != self.me.node_id;
        if f.from == self.me.node_id || other || (f.fleet != 0 && mine != 0 && f.fleet != mine) {
            self.counts.frames_foreign += 1;
            return;
        }
        self.ring.direct(f.from, now);
        self.meet_life(&f);
        self.on(f, now);
    }

    fn on(&mut self, f: Frame, now: Micros) {
        let by = f.from;
        // What this node said to itself may have waited for its own disk.
        let lag = if by == self.me.node_id { now.saturating_sub(f.sent) } else { self.lag(&f, now) };
        match f.msg {
            Msg::Found { me, version, pledge, first } => self.on_found(by, me, version, (pledge, first), now),
            Msg::Gossip { beats, rows, ask, reply, set, pulse } => {
                if f.to == NodeId::default() {
                    self.on_greeting(by);
                }
                self.on_gossip(by, (&beats, &rows), &ask, reply, (set, &pulse), now);
            }
            Msg::Prepare { instance, ballot } => self.on_prepare(by, instance, ballot, now),
            Msg::Promise { instance, ballot, accepted } => self.on_promise(by, instance, ballot, accepted, now),
            Msg::Refuse { instance, ballot } => self.on_refuse(instance, ballot, now),
            Msg::Accept { ballot, decree } => self.on_accept(by, ballot, decree, now),
            Msg::Accepted { instance, ballot } => self.on_accepted(by, instance, ballot, now),
            Msg::Learn { decrees } => self.on_learn(by, decrees, now),
            Msg::Have { version } => self.on_have(by, version, now),
            Msg::Confirm { seq, version } => self.on_confirm(by, seq, version, now),
            Msg::Confirmed { seq, version, have, ready, pend } => {
                self.on_confirmed(by, seq, version, (have, ready), pend, now);
            }
            Msg::Ask { seq, version, idx, of, svcs } => self.on_ask(by, seq, version, idx, of, svcs, now),
            Msg::Tell { ask, since, stamp, version, before, decree, idx, whole, rows } => {
                self.take_told(before, decree, now);
                self.on_tell((by, f.incarnation), (ask, since, stamp), version, (idx, whole), &rows, now);
            }
            Msg::Ends { rows } => self.on_ends(by, &rows, lag, now),
            Msg::EndsOk { keys } => self.on_ends_ok(by, &keys, now),
            Msg::EndsDone { keys } => self.on_ends_done(&keys),
            Msg::Reports { rows } => self.on_reports((by, f.incarnation), f.sent, &rows, now),
            Msg::ClockAsk { n } => self.on_clock_ask(by, n, now),
            Msg::ClockReply { n } => self.on_clock_reply((by, f.incarnation), n, f.sent, now),
            Msg::TermAsk { set, duty, epoch, n, new } => self.on_term_ask(by, set, (duty, epoch, new), n, now),
            Msg::TermYes { duty, epoch, n, rows, first, lives } => {
                if !self.is_former_life((by, f.incarnation)) {
                    self.on_term_yes(by, duty, epoch, n, (rows, first, lives), lag, now);
                }
            }
            Msg::TermNo { duty, epoch, n, holder, left } => self.on_term_no(duty, epoch, n, holder, left, now),
            Msg::Grants { set, duty, epoch, n, rows } => self.on_grants(by, set, duty, epoch, n, rows, lag, now),
            Msg::GrantsOk { duty, epoch, n } => self.on_grants_ok(by, duty, epoch, n, now),
            Msg::TakeoverAsk { set } => self.on_takeover_ask(by, set, now),
            Msg::TakeoverReply { set, full, rows, lives } => {
                self.on_takeover_reply(by, set, full, (rows, lives), lag, now);
            }
            Msg::SliceAsk { n, tenant, want, window, returned } => {
                self.on_slice_ask(by, n, &tenant, want, (window, returned), now)
            }
            Msg::Slice { n, tenant, window, granted_total, left, epoch } => {
                self.on_slice(n, &tenant, window, granted_total, left, epoch)
            }
            Msg::Spent { n, tenant, window, left } => self.on_spent(n, &tenant, (window, left), lag, now),
            Msg::NotHolder { n, tenant, holder } => self.on_not_holder(by, n, &tenant, holder, now),
            Msg::Recall { tenant, window, epoch } => self.on_recall(by, &tenant, window, epoch, now),
            Msg::Return { tenant, window, returned } => self.on_return(by, &tenant, window, returned, now),
            Msg::Enroll { set, n, rows } => self.on_enroll(by, set, n, rows, now),
            Msg::Enrolled { set, n } => self.on_enrolled(by, set, n, now),
            Msg::Probe { marks } => self.on_probe(by, &marks, now),
            Msg::Probed { addr, marks, age } => self.on_probed((by, f.incarnation), &addr, &marks, age, now),
            Msg::ShareAsk { n, rows, marks, idle } => {
                self.on_share_ask((by, f.incarnation), AskedShares { n, rows, idle, marks }, now)
            }
            Msg::Shares { n, rows, marks } => self.on_shares(by, n, &rows, &marks, now),
            Msg::Forward { n, change_id, fresh, base, change } => {
                self.on_forward(by, n, (change_id, fresh), base, change, now)
            }
            Msg::Forwarded { n, fate } => self.on_forwarded(by, n, fate, now),
            Msg::DigestAsk { from, to } => self.on_digest_ask(by, from, to, now),
            Msg::Digests { from, to, rows } => self.on_digests(by, (from, to), rows, now),
            Msg::Ready { set } => self.on_ready(by, set),
            Msg::HoldsAsk { n } => self.on_holds_ask((by, f.incarnation), n, now),
            Msg::HoldsNone { n } => self.on_holds_none(by, n, now),
        }
    }
}
