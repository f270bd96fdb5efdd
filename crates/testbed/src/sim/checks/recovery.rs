//! Checks that the fleet has recovered once the last fault is over.

use crate::sim::calls::outcome::ClientObservation;
use crate::sim::checks::safety::Violation;
use crate::sim::operators::traffic::Operators;
use crate::sim::world::World;
use sumacvale_core::base::{MS, Micros, SEC};

/// The deadline after the last fault by which every node must serve again.
pub(in crate::sim) const RECOVERY_DEADLINE: Micros = 12 * SEC;

/// Checks that no slot and no queue entry is held once all calls have ended.
pub(in crate::sim) fn check_nothing_held(world: &mut World) {
    world.run(world.now + 8 * SEC);
    for machine in &world.machines {
        let shared = &machine.calls.shared;
        let held = (shared.worker_loads.total_in_flight(), shared.queue_lengths(), machine.calls.active.len());
        if machine.node.is_some() && held != (0, (0, 0), 0) {
            let text = format!("{} holds {held:?} (slots, queues, calls) when all calls have ended", machine.addr);
            world.safety.violations.push(Violation(text));
        }
    }
}

/// Checks that all nodes are fresh on one version, commit a change and settle quotas; returns how long after the last
/// fault, in microseconds, the check of the nodes began.
pub(in crate::sim) fn check_recovery(world: &mut World, operators: &mut Operators, end: Micros) -> Option<Micros> {
    let not_fresh: Vec<_> = (0..world.machines.len())
        .filter(|i| {
            let machine = &world.machines[*i];
            !machine.is_removed && machine.node.as_ref().is_none_or(|node| !node.is_fresh(machine.clock(world.now)))
        })
        .map(|i| world.machines[i].addr.clone())
        .collect();
    if !not_fresh.is_empty() {
        world.safety.violations.push(Violation(format!("not fresh 12 s after the last fault: {not_fresh:?}")));
        return None;
    }
    let versions: std::collections::BTreeSet<_> = world
        .machines
        .iter()
        .filter_map(|machine| machine.node.as_ref().map(sumacvale_core::node::Node::version))
        .collect();
    if versions.len() > 1 && operators.propagation_times.is_empty() {
        world.safety.violations.push(Violation(format!("different versions at the end: {versions:?}")));
    }
    let acknowledged = world.safety.acknowledged.iter().map(|change| change.version).max();
    if acknowledged > versions.iter().next_back().copied().flatten() {
        world.safety.violations.push(Violation("an acknowledged version is lost at the end".into()));
    }
    let committed_before = operators.committed;
    let fresh_at = world.now;
    for _ in 0..40 {
        operators.submit_config(world);
        let next_poll = world.now + 250 * MS;
        world.run(next_poll);
        world.report();
        operators.handle_outcomes(world);
        if operators.committed > committed_before {
            break;
        }
    }
    if operators.committed == committed_before {
        world.safety.violations.push(Violation("no change is committed after the last fault".into()));
        return None;
    }
    let executions_before = world.executions.len();
    for _ in 0..100 {
        let next_round = world.now + 10 * MS;
        world.run(next_round);
        world.report();
        world.check_readiness();
        operators.start_calls(world, 50);
    }
    let unsettled = operators.find_unsettled_quotas(world, 4 * SEC);
    if !unsettled.is_empty() {
        world.safety.violations.push(Violation(format!("quotas not settled after the last fault: {unsettled:?}")));
    }
    if world.executions.len() == executions_before {
        world.safety.violations.push(Violation("no quota unit is granted after the last fault".into()));
    }
    Some(fresh_at.max(end) - end)
}

/// Returns how long after the last fault all fronts had served a call again, and checks it against [`RECOVERY_DEADLINE`].
pub(in crate::sim) fn time_until_serving(world: &mut World, end: Micros) -> Option<Micros> {
    let fronts = (0..world.machines.len()).filter(|i| !world.machines[*i].is_core && !world.machines[*i].is_removed);
    let first_served = |front: usize| {
        let complete = world.call_outcomes.iter().filter(|outcome| {
            outcome.machine == front && outcome.started_at >= end && outcome.observation == ClientObservation::Complete
        });
        complete.map(|outcome| outcome.ended_at - end).min()
    };
    let last_served = fronts.map(first_served).collect::<Option<Vec<_>>>().and_then(|times| times.into_iter().max());
    if last_served.is_none_or(|time| time > RECOVERY_DEADLINE) {
        let text = format!("not all fronts serve again 12 s after the last fault: {last_served:?}");
        world.safety.violations.push(Violation(text));
    }
    last_served
}
