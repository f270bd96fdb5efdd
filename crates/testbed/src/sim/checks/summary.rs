//! The summary of a run: its violations, counts and times.

use crate::sim::calls::outcome::{CallOutcome, ClientObservation};
use crate::sim::checks::calls::{
    CallLimits, Rates, count_needless_rate_rejections, count_needless_rejections, max_calls_per_window,
};
use crate::sim::checks::safety::Violation;
use crate::sim::faults::control::Control;
use crate::sim::faults::membership_losses::MembershipFaults;
use crate::sim::operators::documents::QUOTA_WINDOW;
use crate::sim::operators::traffic::Operators;
use crate::sim::workers::worker::ExecutionRecord;
use crate::sim::world::World;
use std::collections::{BTreeMap, BTreeSet};
use sumacvale_core::base::{MS, Micros};

/// The results of one run. Times are in microseconds.
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
    /// Changes that failed in another way: no quorum, invalid, or a change id that was used before.
    pub none: u64,
    /// Changes that were rejected without need.
    pub refused: Vec<String>,
    /// Calls of clients.
    pub calls: u64,
    /// Calls that ran at a worker.
    pub taken: u64,
    /// Calls that were rejected because their quota was spent.
    pub spent: u64,
    /// The number of calls by how they ended: the code of the response, or what the client saw without one.
    pub ends: BTreeMap<String, u64>,
    /// The numbers of first attempts and of retries.
    pub tries: (u64, u64),
    /// Streams that were resumed at another worker.
    pub resumed: u64,
    /// Slots that were reassigned before a request was sent, since the worker was removed.
    pub reseated: u64,
    /// Quota units that expired before their call was sent.
    pub units_ended: u64,
    /// Writes that full disks rejected.
    pub refused_writes: u64,
    /// Frames that were lost in connections to a former incarnation.
    pub swallowed: u64,
    /// The most calls of one tenant that ran in any interval of a quota window's length.
    pub worst: u64,
    /// Calls that were rejected for a spent quota of which much was left.
    pub needless: u64,
    /// The times that changes took to reach all nodes.
    pub spread: Vec<Micros>,
    /// The times that calls took to reach a worker.
    pub held: Vec<Micros>,
    /// The times from the last return of a machine until all voters were reachable and all nodes fresh.
    pub voted: Vec<Micros>,
    /// The times from the last return of a machine until changes were committed again.
    pub again: Vec<Micros>,
    /// The times from a loss, and from the last return of a machine, until all voters were ready as well.
    pub full: Vec<(Micros, Micros)>,
    /// The times from the return of all power until a call ran again, and until 19 of 20 calls were admitted.
    pub lit: Vec<(Micros, Micros)>,
    /// The time from the last fault until the recovery check found all nodes fresh; `None` if the check failed.
    pub recovered: Option<Micros>,
    /// The time from the last fault until all fronts had served a call again.
    pub serving: Option<Micros>,
    /// Frames that were sent between nodes.
    pub frames: u64,
    /// Bytes of these frames.
    pub bytes: u64,
    /// Frames and bytes between zones, by the kind of message.
    pub far: BTreeMap<&'static str, (u64, u64)>,
    /// The results of the control-plane faults, in profiles that inject them.
    pub control: Option<ControlSummary>,
    /// What happened, in order, for people who read a run.
    pub trace: Vec<String>,
}

/// The results of a profile with control-plane faults.
#[derive(Clone, Debug, Default)]
pub struct ControlSummary {
    /// Changes that were committed.
    pub taken: u64,
    /// Committed changes that were sent again.
    pub repeated: u64,
    /// Reads of the newest configuration.
    pub reads: u64,
    /// Responses that were lost on their way.
    pub lost: u64,
    /// Invalid documents that were rejected.
    pub refused: u64,
    /// Cores that were told to stop and shut down gracefully.
    pub left: u64,
    /// The times that changes took until their acknowledgement, in microseconds.
    pub took: Vec<Micros>,
    /// The number of injected faults by kind.
    pub troubles: BTreeMap<String, u64>,
    /// The number of injected faults by variant.
    pub variants: BTreeMap<&'static str, u64>,
}

impl ControlSummary {
    /// Summarizes the injected faults and the submissions of the operator.
    pub fn of(control: Control) -> ControlSummary {
        ControlSummary {
            taken: control.orders.taken(),
            repeated: control.orders.repeated,
            reads: control.orders.reads,
            lost: control.orders.lost_responses,
            refused: control.orders.rejected,
            left: control.left,
            took: control.orders.commit_times,
            troubles: control.troubles,
            variants: control.variants,
        }
    }
}

/// Returns how long after the return of all power a call ran again, and 19 of 20 calls were admitted by their quota.
fn times_to_serve_after_outage(
    (power_lost_at, power_back_at): (Micros, Micros),
    world: &World,
) -> Option<(Micros, Micros)> {
    let first_run = world
        .executions
        .iter()
        .filter(|run| run.started_at > power_lost_at + 100 * MS)
        .map(|run| run.started_at)
        .min()?;
    let is_quota_rejection = |outcome: &CallOutcome| {
        matches!(outcome.observation, ClientObservation::Rejected { code: "quota" | "quota_unsettled", .. })
    };
    let usual = (0..100).map(|step| power_lost_at + step * 100 * MS).find(|begin| {
        let begun: Vec<_> = world
            .call_outcomes
            .iter()
            .filter(|outcome| {
                outcome.started_at >= *begin
                    && outcome.started_at < begin + 500 * MS
                    && outcome.started_at >= power_back_at
            })
            .collect();
        begun.len() >= 20 && begun.iter().filter(|outcome| is_quota_rejection(outcome)).count() * 20 <= begun.len()
    })?;
    Some((first_run.saturating_sub(power_back_at), usual.saturating_sub(power_back_at)))
}

/// Counts calls by how they ended: the code of the response, or what the client saw without one.
fn count_ends(outcomes: &[CallOutcome]) -> BTreeMap<String, u64> {
    let mut ends = BTreeMap::new();
    for outcome in outcomes {
        *ends.entry(outcome.observation.label().to_owned()).or_default() += 1;
    }
    ends
}

/// The first execution of each call.
fn first_executions(executions: &[ExecutionRecord]) -> Vec<&ExecutionRecord> {
    let mut seen_calls = BTreeSet::new();
    executions.iter().filter(|execution| seen_calls.insert(execution.call)).collect()
}

impl Summary {
    /// Summarizes the world, the operators and the membership faults of a run.
    pub(in crate::sim) fn of(
        world: World,
        operators: Operators,
        faults: MembershipFaults,
        limits: &CallLimits,
        rates: &Rates,
    ) -> Summary {
        let ends = count_ends(&world.call_outcomes);
        let begun_at: BTreeMap<u64, Micros> =
            world.call_outcomes.iter().map(|outcome| (outcome.call, outcome.started_at)).collect();
        let first = first_executions(&world.executions);
        let held =
            first.iter().filter_map(|run| Some(run.started_at.saturating_sub(*begun_at.get(&run.call)?))).collect();
        Summary {
            breaches: world.safety.violations.clone(),
            versions: world.safety.committed.keys().next_back().copied().unwrap_or(0),
            done: operators.done,
            stale: operators.stale,
            unknown: operators.unknown,
            none: operators.failed,
            refused: operators.refused,
            calls: operators.calls,
            taken: first.len() as u64,
            lit: faults.dark.iter().filter_map(|outage| times_to_serve_after_outage(*outage, &world)).collect(),
            spent: ends.get("quota").copied().unwrap_or(0),
            ends,
            tries: world.tries,
            resumed: world.streams_resumed,
            reseated: world.slots_reassigned,
            units_ended: world.quota_units_expired,
            refused_writes: world.rejected_writes,
            swallowed: world.connections.swallowed,
            needless: count_needless_rejections(&world.call_outcomes, &world.executions, limits)
                + count_needless_rate_rejections(&world.call_outcomes, &world.executions, rates),
            worst: max_calls_per_window(&world.executions, QUOTA_WINDOW).into_values().max().unwrap_or(0),
            spread: operators.propagation_times,
            held,
            voted: faults.voted,
            again: faults.again,
            full: faults.full,
            recovered: None,
            serving: None,
            frames: world.frames,
            bytes: world.bytes,
            far: world.cross_zone_traffic,
            control: None,
            trace: world.trace,
        }
    }
}
