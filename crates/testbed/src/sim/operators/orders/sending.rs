//! Orders and reads are made and sent to machines.

use super::DocumentOperator;
use super::order::{PendingRequest, PinnedTarget, Submission};
use crate::sim::operators::documents::tree;
use crate::sim::world::World;
use sumacvale_core::base::{ChangeId, MS, Micros, SEC};
use sumacvale_core::node::Event;
use sumacvale_core::protocol::Change;

/// A call without an answer for so long is sent to another node.
const SILENCE: Micros = SEC;
const PAUSE_FIRST: Micros = 50 * MS;

impl DocumentOperator {
    /// One more order on the newest base; to one machine only if it is `pinned`.
    pub fn order(&mut self, world: &mut World, pinned: Option<PinnedTarget>) {
        self.serial += 1;
        let revision = self.base + 1 + world.rng.below(2);
        let plain = tree(self.serial, world.tenants, self.habits.routes, world.quotas_are_rates);
        let body = format!("{{\"revision\":{revision},{}", &plain[1..]);
        self.orders.push(Submission {
            body,
            base: self.base,
            revision,
            asked: world.now,
            due: Some(world.now),
            pause: PAUSE_FIRST,
            last: None,
            pinned,
            bad: false,
            taken: false,
            refused: false,
        });
    }

    /// One more order, to this machine first.
    pub fn order_to(&mut self, world: &mut World, slot: usize) {
        self.order(world, Some(PinnedTarget { slot, hard: false }));
    }

    /// A document that is cut short, or that bears the number it is built on.
    pub(super) fn bad_order(&mut self, world: &mut World) {
        self.order(world, None);
        let short = world.rng.chance(50);
        let serial = self.serial;
        let Some(order) = self.orders.last_mut() else { return };
        order.bad = true;
        if short {
            order.body.truncate(order.body.len() / 2);
        } else {
            order.revision = order.base;
            let plain = tree(serial, world.tenants, 0, world.quotas_are_rates);
            order.body = format!("{{\"revision\":{},{}", order.base, &plain[1..]);
        }
    }

    /// Somebody of a list that lags: it may be gone, and is another one than the last.
    fn pick(world: &mut World, not: Option<usize>) -> Option<usize> {
        let all: Vec<usize> = (0..world.machines.len())
            .filter(|i| world.machines[*i].is_core && !world.machines[*i].is_removed && Some(*i) != not)
            .collect();
        let k = usize::try_from(world.rng.below(all.len().max(1) as u64)).unwrap_or(0);
        all.get(k).copied()
    }

    pub(super) fn send(&mut self, world: &mut World, index: usize) {
        let now = world.now;
        let (last, pinned) = (self.orders[index].last, self.orders[index].pinned);
        let Some(slot) = pinned.map(|p| p.slot).or_else(|| Self::pick(world, last)) else { return };
        let order = &mut self.orders[index];
        order.due = None;
        order.last = Some(slot);
        self.last_call += 1;
        self.calls.insert(self.last_call, PendingRequest::Put { order: index, slot, due: now + SILENCE });
        self.sent = Some((slot, now));
        let change = Change::Document(order.body.clone());
        let event = Event::SubmitChange {
            request_id: self.last_call,
            change_id: order.change_id(),
            is_first_send: false,
            base: order.base,
            change,
        };
        // A machine that stands still answers nothing.
        if world.is_running(slot) {
            world.step(slot, event);
        }
    }

    pub(super) fn read(&mut self, world: &mut World, last: bool) {
        let Some(slot) = Self::pick(world, None).filter(|i| world.is_running(*i)) else { return };
        self.last_call += 1;
        self.calls
            .insert(self.last_call, PendingRequest::Read { slot, newest: self.newest, due: world.now + SILENCE, last });
        world.step(
            slot,
            Event::SubmitChange {
                request_id: self.last_call,
                change_id: ChangeId(0),
                is_first_send: false,
                base: 0,
                change: Change::ReadNewest,
            },
        );
    }
}
