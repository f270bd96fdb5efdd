//! An operator who sends documents as the platform's does: each one is sent again as it was, to
//! any node, until its answer is clear. Judged is what the operator may rely on: what was taken
//! is never refused, one change on a base is acknowledged, nothing older is read back, and a
//! refusal has a newer document to show for it.

mod answers;
mod order;
mod sending;

pub use order::{OperatorBehaviour, PinnedTarget};

use crate::sim::world::World;
use order::{PendingRequest, Submission};
use std::collections::BTreeMap;
use sumacvale_core::base::{MS, Micros};

/// Calls of this operator have numbers above all others.
pub(in crate::sim) const FIRST_CALL: u64 = 1 << 40;
/// The longest pause before an order is sent again.
const PAUSE_MOST: Micros = 1_000 * MS;
/// The pause of one who asks the same machine again and again.
const PAUSE_HARD: Micros = 100 * MS;
/// So many orders may be under way at once.
const MOST_OPEN: usize = 8;

/// All orders of a run, and what the operator knows.
pub struct DocumentOperator {
    habits: OperatorBehaviour,
    orders: Vec<Submission>,
    calls: BTreeMap<u64, PendingRequest>,
    /// The number of the call that was made last.
    last_call: u64,
    next: Micros,
    /// The newest number that was acknowledged, and the one to build on.
    newest: u64,
    base: u64,
    serial: u64,
    pub repeated: u64,
    pub reads: u64,
    pub lost: u64,
    /// Bad orders that were refused.
    pub refused: u64,
    /// When a node last acknowledged an order, whether or not the operator heard it.
    pub said_done: Option<Micros>,
    /// Who acknowledged last, and who was read last.
    pub leader: Option<usize>,
    pub reader: Option<usize>,
    /// Who acknowledged last, and when.
    pub acknowledged: Option<(usize, Micros)>,
    /// Where an order was sent last, and when.
    pub sent: Option<(usize, Micros)>,
    read_last: bool,
    /// From the first sending to the acknowledgement.
    pub took: Vec<Micros>,
}

impl DocumentOperator {
    pub fn new(habits: OperatorBehaviour) -> Self {
        DocumentOperator {
            habits,
            orders: Vec::new(),
            calls: BTreeMap::new(),
            last_call: FIRST_CALL,
            next: 0,
            newest: 0,
            base: 0,
            serial: 0,
            repeated: 0,
            reads: 0,
            lost: 0,
            refused: 0,
            said_done: None,
            leader: None,
            reader: None,
            acknowledged: None,
            sent: None,
            read_last: false,
            took: Vec::new(),
        }
    }

    /// How many orders were taken.
    pub fn taken(&self) -> u64 {
        self.orders.iter().filter(|order| order.taken).count() as u64
    }

    pub fn tick(&mut self, world: &mut World, calm: bool) {
        if calm {
            self.habits.lost = 0;
        }
        self.answers(world);
        self.silences(world.now);
        if !calm && world.now >= self.next {
            self.next = world.now + self.habits.every / 2 + world.rng.below(self.habits.every);
            self.more(world);
        }
        for i in 0..self.orders.len() {
            if self.orders[i].due.is_some_and(|t| world.now >= t) {
                self.send(world, i);
            }
        }
    }

    fn more(&mut self, world: &mut World) {
        let open = self.orders.iter().filter(|order| !order.clear()).count();
        if open < MOST_OPEN {
            self.order(world, None);
            if world.rng.chance(self.habits.races) {
                self.order(world, None);
            }
        }
        let taken: Vec<usize> = (0..self.orders.len()).filter(|i| self.orders[*i].taken).collect();
        if !taken.is_empty() && world.rng.chance(self.habits.repeats) {
            let k = taken[usize::try_from(world.rng.below(taken.len() as u64)).unwrap_or(0)];
            self.repeated += 1;
            self.send(world, k);
        }
        if self.habits.bad > 0 && world.rng.chance(self.habits.bad) {
            self.bad_order(world);
        }
        if world.rng.chance(self.habits.reads) {
            self.read(world, false);
        }
    }

    fn silences(&mut self, now: Micros) {
        let late: Vec<u64> = self.calls.iter().filter(|c| c.1.due() <= now).map(|c| *c.0).collect();
        for n in late {
            if let Some(PendingRequest::Put { order: index, .. }) = self.calls.remove(&n) {
                self.again(index, now);
            }
        }
    }

    /// The order is sent again soon if no answer to it was clear.
    fn again(&mut self, index: usize, now: Micros) {
        let order = &mut self.orders[index];
        if !order.clear() && order.due.is_none() {
            let hard = order.pinned.is_some_and(|p| p.hard);
            order.due = Some(now + if hard { PAUSE_HARD } else { order.pause });
            order.pause = (order.pause * 2).min(PAUSE_MOST);
        }
    }
}
