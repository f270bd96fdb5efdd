//! What must hold again once the last fault is over.

use crate::sim::calls::outcome::ClientObservation;
use crate::sim::checks::safety::Violation;
use crate::sim::operators::traffic::Operators;
use crate::sim::world::World;
use sumacvale_core::base::{MS, Micros, SEC};

/// After a fault all must serve again within this time.
pub(in crate::sim) const BACK: Micros = 12 * SEC;

/// When all calls have ended nothing is held for them: no place, no wait.
pub(in crate::sim) fn empty(w: &mut World) {
    w.run(w.now + 8 * SEC);
    for s in &w.machines {
        let f = &s.calls.shared;
        let held = (f.worker_loads.total_in_flight(), f.queue_lengths(), s.calls.active.len());
        if s.node.is_some() && held != (0, (0, 0), 0) {
            let t = format!("{} holds {held:?} (places, waits, calls) when all calls have ended", s.addr);
            w.safety.violations.push(Violation(t));
        }
    }
}

/// Twelve seconds after the last fault all must serve again.
pub(in crate::sim) fn recover(w: &mut World, o: &mut Operators, end: Micros) -> Option<Micros> {
    let bad: Vec<_> = (0..w.machines.len())
        .filter(|i| {
            let s = &w.machines[*i];
            !s.is_removed && s.node.as_ref().is_none_or(|n| !n.is_fresh(s.clock(w.now)))
        })
        .map(|i| w.machines[i].addr.clone())
        .collect();
    if !bad.is_empty() {
        w.safety.violations.push(Violation(format!("not fresh 12 s after the last fault: {bad:?}")));
        return None;
    }
    let vs: std::collections::BTreeSet<_> =
        w.machines.iter().filter_map(|s| s.node.as_ref().map(sumacvale_core::node::Node::version)).collect();
    if vs.len() > 1 && o.lag.is_empty() {
        w.safety.violations.push(Violation(format!("different versions at the end: {vs:?}")));
    }
    let acked = w.safety.acknowledged.iter().map(|a| a.version).max();
    if acked > vs.iter().next_back().copied().flatten() {
        w.safety.violations.push(Violation("an acknowledged version is lost at the end".into()));
    }
    let before = o.done;
    let at = w.now;
    for _ in 0..40 {
        o.change(w);
        let t = w.now + 250 * MS;
        w.run(t);
        w.report();
        o.answers(w);
        if o.done > before {
            break;
        }
    }
    if o.done == before {
        w.safety.violations.push(Violation("no change is accepted after the last fault".into()));
        return None;
    }
    let taken = w.executions.len();
    for _ in 0..100 {
        let t = w.now + 10 * MS;
        w.run(t);
        w.report();
        w.check_readiness();
        o.calls(w, 50);
    }
    let mute = o.settle(w, 4 * SEC);
    if !mute.is_empty() {
        w.safety.violations.push(Violation(format!("no word on a quota after the last fault: {mute:?}")));
    }
    if w.executions.len() == taken {
        w.safety.violations.push(Violation("no unit of any quota is given after the last fault".into()));
    }
    Some(at.max(end) - end)
}

/// When, after the last fault, the last of the fronts had served a call again.
pub(in crate::sim) fn serving(w: &mut World, end: Micros) -> Option<Micros> {
    let fronts = (0..w.machines.len()).filter(|i| !w.machines[*i].is_core && !w.machines[*i].is_removed);
    let again = |i: usize| {
        let whole = w
            .call_outcomes
            .iter()
            .filter(|o| o.machine == i && o.started_at >= end && o.observation == ClientObservation::Complete);
        whole.map(|o| o.ended_at - end).min()
    };
    let serving = fronts.map(again).collect::<Option<Vec<_>>>().and_then(|v| v.into_iter().max());
    if serving.is_none_or(|t| t > BACK) {
        let t = format!("not all fronts serve again 12 s after the last fault: {serving:?}");
        w.safety.violations.push(Violation(t));
    }
    serving
}
