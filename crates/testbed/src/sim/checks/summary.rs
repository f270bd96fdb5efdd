//! What a run came to: its breaches, its counts and its times.

use crate::sim::calls::outcome::{CallOutcome, ClientObservation};
use crate::sim::checks::calls::{
    CallLimits, Rates, count_needless_rate_rejections, count_needless_rejections, max_calls_per_window,
};
use crate::sim::checks::safety::Violation;
use crate::sim::faults::control::Control;
use crate::sim::faults::membership_losses::MembershipFaults;
use crate::sim::operators::documents::WINDOW;
use crate::sim::operators::traffic::Operators;
use crate::sim::workers::worker::ExecutionRecord;
use crate::sim::world::World;
use std::collections::{BTreeMap, BTreeSet};
use sumacvale_core::base::{MS, Micros};

/// What one run came to.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// The rules that were broken.
    pub breaches: Vec<Violation>,
    /// The newest version of the configuration at the end.
    pub versions: u64,
    /// Changes that were committed.
    pub done: u64,
    /// Changes that were rejected as stale.
    pub stale: u64,
    /// Changes whose outcome stayed unknown.
    pub unknown: u64,
    /// Changes that got no response.
    pub none: u64,
    /// Changes that were refused without need.
    pub refused: Vec<String>,
    /// Calls of clients.
    pub calls: u64,
    /// Calls that ran at a worker.
    pub taken: u64,
    /// Calls that were told of a spent window.
    pub spent: u64,
    /// Answers by code, and ends that were none.
    pub ends: BTreeMap<String, u64>,
    /// First attempts, and retries.
    pub tries: (u64, u64),
    /// Streams that were resumed at another worker.
    pub resumed: u64,
    /// Slots that were released before anything was sent, since the worker was gone.
    pub reseated: u64,
    /// Quota units that expired before their call was sent.
    pub units_ended: u64,
    /// Writes that full disks refused.
    pub refused_writes: u64,
    /// Frames that were lost in connections to a former life.
    pub swallowed: u64,
    /// The most that one tenant ran in any interval of a window's length.
    pub worst: u64,
    /// Calls that were told of a spent window in which much was left.
    pub needless: u64,
    /// How long changes took to reach all nodes, in microseconds.
    pub spread: Vec<Micros>,
    /// How long calls took to reach a worker.
    pub held: Vec<Micros>,
    /// How long after the last return of a machine all voters were there, and all nodes fresh.
    pub voted: Vec<Micros>,
    /// How long after the last return of a machine changes were committed again, in microseconds.
    pub again: Vec<Micros>,
    /// How long after a loss, and after the last return, all voters were ready as well.
    pub full: Vec<(Micros, Micros)>,
    /// How long after all power was back a call ran again, and 19 of 20 were let in.
    pub lit: Vec<(Micros, Micros)>,
    /// How long the recovery took in all, in microseconds; `None` without one.
    pub recovered: Option<Micros>,
    /// When, after the last fault, the last of the fronts had served a call again.
    pub serving: Option<Micros>,
    /// Frames that were sent between nodes.
    pub frames: u64,
    /// Bytes of these frames.
    pub bytes: u64,
    /// Frames and bytes between zones, by the kind of message.
    pub far: BTreeMap<&'static str, (u64, u64)>,
    /// What the operator and the troubles of the control side came to.
    pub control: Option<ControlSummary>,
    /// What happened, in order, for people who read a run.
    pub trace: Vec<String>,
}

/// What came of the orders in a profile of the control side.
#[derive(Clone, Debug, Default)]
pub struct ControlSummary {
    /// Changes that were committed.
    pub taken: u64,
    /// Changes that were sent more than once.
    pub repeated: u64,
    /// Reads of the newest configuration.
    pub reads: u64,
    /// Responses that were lost on their way.
    pub lost: u64,
    /// Bad documents that were refused.
    pub refused: u64,
    /// Cores that were told to stop and ended in order.
    pub left: u64,
    /// How long each change took, in microseconds.
    pub took: Vec<Micros>,
    /// Injected faults, by kind.
    pub troubles: BTreeMap<String, u64>,
    /// Variants of the injected faults.
    pub variants: BTreeMap<&'static str, u64>,
}

impl ControlSummary {
    /// What these faults and operators came to.
    pub fn of(c: Control) -> ControlSummary {
        ControlSummary {
            taken: c.orders.taken(),
            repeated: c.orders.repeated,
            reads: c.orders.reads,
            lost: c.orders.lost,
            refused: c.orders.refused,
            left: c.left,
            took: c.orders.took,
            troubles: c.troubles,
            variants: c.variants,
        }
    }
}

/// How long after all power was back a call ran again, and 19 of 20 were let in.
fn lit((from, back): (Micros, Micros), w: &World) -> Option<(Micros, Micros)> {
    let first = w.executions.iter().filter(|r| r.started_at > from + 100 * MS).map(|r| r.started_at).min()?;
    let out = |o: &CallOutcome| {
        matches!(o.observation, ClientObservation::Rejected { code: "quota" | "quota_unsettled", .. })
    };
    let usual = (0..100).map(|k| from + k * 100 * MS).find(|t| {
        let v: Vec<_> = w
            .call_outcomes
            .iter()
            .filter(|o| o.started_at >= *t && o.started_at < t + 500 * MS && o.started_at >= back)
            .collect();
        v.len() >= 20 && v.iter().filter(|o| out(o)).count() * 20 <= v.len()
    })?;
    Some((first.saturating_sub(back), usual.saturating_sub(back)))
}

/// How often calls ended in each way: by the code of the answer, or what the caller saw.
fn ends(seen: &[CallOutcome]) -> BTreeMap<String, u64> {
    let mut ends = BTreeMap::new();
    for outcome in seen {
        *ends.entry(outcome.observation.label().to_owned()).or_default() += 1;
    }
    ends
}

/// The first run of each call.
fn first_runs(ran: &[ExecutionRecord]) -> Vec<&ExecutionRecord> {
    let mut met = BTreeSet::new();
    ran.iter().filter(|r| met.insert(r.call)).collect()
}

impl Summary {
    /// What the world, the operators and the troubles of the fleet came to.
    pub(in crate::sim) fn of(
        w: World,
        o: Operators,
        moves: MembershipFaults,
        law: &CallLimits,
        rates: &Rates,
    ) -> Summary {
        let ends = ends(&w.call_outcomes);
        let begun: BTreeMap<u64, Micros> = w.call_outcomes.iter().map(|o| (o.call, o.started_at)).collect();
        let first = first_runs(&w.executions);
        let held = first.iter().filter_map(|r| Some(r.started_at.saturating_sub(*begun.get(&r.call)?))).collect();
        Summary {
            breaches: w.safety.violations.clone(),
            versions: w.safety.committed.keys().next_back().copied().unwrap_or(0),
            done: o.done,
            stale: o.stale,
            unknown: o.unknown,
            none: o.none,
            refused: o.refused,
            calls: o.calls,
            taken: first.len() as u64,
            lit: moves.dark.iter().filter_map(|d| lit(*d, &w)).collect(),
            spent: ends.get("quota").copied().unwrap_or(0),
            ends,
            tries: w.tries,
            resumed: w.streams_resumed,
            reseated: w.slots_reassigned,
            units_ended: w.quota_units_expired,
            refused_writes: w.rejected_writes,
            swallowed: w.connections.swallowed,
            needless: count_needless_rejections(&w.call_outcomes, &w.executions, law)
                + count_needless_rate_rejections(&w.call_outcomes, &w.executions, rates),
            worst: max_calls_per_window(&w.executions, WINDOW).into_values().max().unwrap_or(0),
            spread: o.lag,
            held,
            voted: moves.voted,
            again: moves.again,
            full: moves.full,
            recovered: None,
            serving: None,
            frames: w.frames,
            bytes: w.bytes,
            far: w.cross_zone_traffic,
            control: None,
            trace: w.trace,
        }
    }
}
