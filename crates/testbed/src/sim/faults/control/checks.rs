//! What must hold after a trouble of the control side.

use super::plan::CATCH_UP;
use crate::sim::checks::safety::Violation;
use crate::sim::world::World;
use sumacvale_core::base::{Micros, SEC};

/// Within this the majority without a machine acknowledges some order.
const GOES_ON: Micros = 3 * SEC;

/// While one disk takes nothing, the majority without it goes on to acknowledge orders, also to an
/// operator who hears few of the answers and so has nothing new to ask for.
pub(super) fn went_on(world: &mut World, since: Micros, said_done: Option<Micros>) {
    if world.now < since + GOES_ON || said_done.is_some_and(|t| t > since) {
        return;
    }
    let text = format!("{}: no order was acknowledged since {since}, while one disk was full", world.now);
    world.safety.violations.push(Violation(text));
}

/// A machine that was away holds what was acknowledged when it had its time to catch up.
pub(super) fn caught_up(world: &mut World, slot: usize) {
    let machine = &world.machines[slot];
    let Some(node) = &machine.node else { return };
    let acked =
        world.safety.acknowledged.iter().filter(|a| a.acknowledged_at + SEC < world.now).map(|a| a.version).max();
    if node.version() < acked || !node.is_fresh(machine.clock(world.now)) {
        let text = format!(
            "{}: {} holds {:?} of {acked:?} {CATCH_UP} us after its return",
            world.now,
            machine.addr,
            node.version()
        );
        world.safety.violations.push(Violation(text));
    }
}
