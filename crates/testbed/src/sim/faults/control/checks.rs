//! Checks of the control plane that run after a fault: progress of the majority, and catch-up of a machine.

use super::plan::CATCH_UP_TIME;
use crate::sim::checks::safety::Violation;
use crate::sim::world::World;
use sumacvale_core::base::{Micros, SEC};

/// The majority must acknowledge an order within this time after a disk is full, in microseconds.
const PROGRESS_DEADLINE: Micros = 3 * SEC;

/// Reports a violation if no order was acknowledged since a disk became full.
///
/// The majority without that disk must make progress, also for an operator who loses most responses and so has no new
/// order to send.
pub(super) fn check_progress(world: &mut World, since: Micros, last_acknowledged_at: Option<Micros>) {
    if world.now < since + PROGRESS_DEADLINE || last_acknowledged_at.is_some_and(|time| time > since) {
        return;
    }
    let text = format!("{}: no order was acknowledged since {since} us, while one disk was full", world.now);
    world.safety.violations.push(Violation(text));
}

/// Reports a violation if a machine is stale, or lacks an acknowledged version, once it had time to catch up.
pub(super) fn check_caught_up(world: &mut World, machine: usize) {
    let state = &world.machines[machine];
    let Some(node) = &state.node else { return };
    let newest_acknowledged = world
        .safety
        .acknowledged
        .iter()
        .filter(|ack| ack.acknowledged_at + SEC < world.now)
        .map(|ack| ack.version)
        .max();
    if node.version() < newest_acknowledged || !node.is_fresh(state.clock(world.now)) {
        let text = format!(
            "{}: {} is not caught up: it holds version {:?}, the newest acknowledged is {newest_acknowledged:?}, {CATCH_UP_TIME} us after its return",
            world.now,
            state.addr,
            node.version()
        );
        world.safety.violations.push(Violation(text));
    }
}
