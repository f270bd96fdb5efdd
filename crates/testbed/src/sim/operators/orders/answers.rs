//! What machines answer to orders and reads, and whether the operator may rely on it.

use super::order::{PendingRequest, revision};
use super::{DocumentOperator, FIRST_CALL};
use crate::sim::checks::safety::{Acknowledgement, Violation};
use crate::sim::world::World;
use sumacvale_core::base::MS;
use sumacvale_core::protocol::ChangeOutcome;

/// Bases of documents are told apart from versions that other operators build on.
const DOCUMENT_BASE: u64 = 1 << 40;

impl DocumentOperator {
    pub(super) fn answers(&mut self, world: &mut World) {
        let (mine, others): (Vec<_>, Vec<_>) =
            std::mem::take(&mut world.change_outcomes).into_iter().partition(|a| a.0 > FIRST_CALL);
        world.change_outcomes = others;
        for (n, fate) in mine {
            if matches!(fate, ChangeOutcome::Committed { .. }) {
                self.said_done = Some(world.now);
            }
            if world.rng.chance(self.habits.lost) {
                self.lost += 1;
                continue;
            }
            match self.calls.remove(&n) {
                Some(PendingRequest::Put { order: index, slot, .. }) => self.answer(world, index, slot, fate),
                Some(PendingRequest::Read { slot, newest, last, .. }) => {
                    self.reader = Some(slot);
                    self.was_read(world, newest, last, fate);
                }
                None => {}
            }
        }
    }

    fn answer(&mut self, world: &mut World, index: usize, slot: usize, fate: ChangeOutcome) {
        let now = world.now;
        let order = &mut self.orders[index];
        let (change_id, base) = (order.change_id(), order.base);
        match fate {
            ChangeOutcome::Committed { version } if order.bad => {
                order.taken = true;
                breach(world, format!("{now}: a bad document on number {base} was taken as version {version}"));
            }
            ChangeOutcome::Invalid { .. } if order.bad => {
                self.refused += u64::from(!order.refused);
                order.refused = true;
                world.safety.record_rejection(change_id, now);
            }
            ChangeOutcome::Committed { version } => {
                if !order.taken {
                    self.took.push(now - order.asked);
                }
                order.taken = true;
                order.pinned = None;
                world.safety.record_acknowledgement(Acknowledgement {
                    change_id,
                    base: DOCUMENT_BASE + base,
                    version,
                    requested_at: order.asked,
                    acknowledged_at: now,
                });
                self.newest = self.newest.max(order.revision);
                self.base = self.base.max(order.revision);
                self.acknowledged = Some((slot, now));
                self.leader = Some(slot);
            }
            ChangeOutcome::Stale { .. } => {
                order.refused = true;
                world.safety.record_rejection(change_id, now);
                self.read(world, false);
            }
            ChangeOutcome::Unknown | ChangeOutcome::NoQuorum => {
                order.pinned = order.pinned.filter(|p| p.hard || matches!(fate, ChangeOutcome::Unknown));
                self.again(index, now);
            }
            f => {
                order.refused = true;
                breach(world, format!("{now}: a valid document of number {} is answered {f:?}", order.revision));
            }
        }
    }

    fn was_read(&mut self, world: &mut World, newest: u64, last: bool, fate: ChangeOutcome) {
        let ChangeOutcome::Content { text } = fate else { return };
        self.reads += 1;
        let revision = revision(&text);
        if revision < newest {
            breach(world, format!("{}: read back is number {revision}, {newest} was acknowledged before", world.now));
        }
        let sent = self.orders.iter().any(|order| order.body == text);
        if revision > 0 && !sent {
            breach(world, format!("{}: read back is something that nobody sent under number {revision}", world.now));
        }
        self.base = self.base.max(revision);
        self.read_last |= last;
    }

    /// After the last fault: the order of each operator is clear, and the newest is read back.
    pub fn end(&mut self, world: &mut World) {
        for _ in 0..100 {
            if self.read_last {
                break;
            }
            self.read(world, true);
            let t = world.now + 100 * MS;
            world.run(t);
            world.report();
            self.answers(world);
        }
        if !self.read_last {
            breach(world, "the newest document can't be read back after the last fault".into());
        }
        let open = self.orders.iter().filter(|order| !order.clear()).count();
        if open > 0 {
            breach(world, format!("{open} orders have no clear answer 12 s after the last fault"));
        }
        for order in self.orders.iter().filter(|order| order.refused && !order.bad) {
            if !world.safety.committed.values().any(|d| d.revision > order.base) {
                breach(world, format!("number {} on {} was refused, and nothing is newer", order.revision, order.base));
            }
        }
    }
}

fn breach(world: &mut World, text: String) {
    if world.safety.violations.len() < 20 {
        world.safety.violations.push(Violation(text));
    }
}
