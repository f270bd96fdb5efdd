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
    pub violations: Vec<Violation>,
    /// The newest version of the configuration at the end.
    pub newest_version: u64,
    /// Changes that were committed.
    pub committed: u64,
    /// Changes that were rejected as stale.
    pub stale: u64,
    /// Changes whose outcome stayed unknown.
    pub unknown: u64,
    /// Changes that failed in another way: no quorum, invalid, or a change id that was used before.
    pub without_response: u64,
    /// Changes that were rejected without need.
    pub needless_change_rejections: Vec<String>,
    /// Calls of clients.
    pub calls: u64,
    /// Calls that ran at a worker.
    pub executed_calls: u64,
    /// Calls that were rejected because their quota was spent.
    pub spent: u64,
    /// The number of calls by how they ended: the code of the response, or what the client saw without one.
    pub ends: BTreeMap<String, u64>,
    /// The numbers of first attempts and of retries.
    pub attempts: (u64, u64),
    /// Streams that were resumed at another worker.
    pub streams_resumed: u64,
    /// Slots that were reassigned before a request was sent, since the worker was removed.
    pub slots_reassigned: u64,
    /// Quota units that expired before their call was sent.
    pub units_expired: u64,
    /// Writes that full disks rejected.
    pub rejected_writes: u64,
    /// Frames that were lost in connections to a former incarnation.
    pub frames_lost_in_stale_connections: u64,
    /// The most calls of one tenant that ran in any interval of a quota window's length.
    pub max_calls_per_window: u64,
    /// Calls that were rejected for a spent quota of which much was left.
    pub needless_rejections: u64,
    /// The times that changes took to reach all nodes.
    pub propagation_times: Vec<Micros>,
    /// The times that calls took to reach a worker.
    pub times_to_worker: Vec<Micros>,
    /// The times from the last return of a machine until all voters were live.
    pub voters_live_after: Vec<Micros>,
    /// The times from the last return of a machine until all nodes were fresh.
    pub nodes_fresh_after: Vec<Micros>,
    /// The times from a loss, and from the last return of a machine, until all voters were ready as well.
    pub voters_ready_after: Vec<(Micros, Micros)>,
    /// The times from the return of all power until a call ran again, and until 19 of 20 calls were admitted.
    pub recovered_after_power_loss: Vec<(Micros, Micros)>,
    /// The time from the last fault until the recovery check found all nodes fresh; `None` if the check failed.
    pub recovered: Option<Micros>,
    /// The time from the last fault until all fronts had served a call again.
    pub serving_after: Option<Micros>,
    /// Frames that were sent between nodes.
    pub frames: u64,
    /// Bytes of these frames.
    pub bytes: u64,
    /// Frames and bytes between zones, by the kind of message.
    pub cross_zone_traffic: BTreeMap<&'static str, (u64, u64)>,
    /// The results of the control-plane faults, in profiles that inject them.
    pub control: Option<ControlSummary>,
    /// What happened, in order, for people who read a run.
    pub trace: Vec<String>,
}

/// The results of a profile with control-plane faults.
#[derive(Clone, Debug, Default)]
pub struct ControlSummary {
    /// Changes that were committed.
    pub committed: u64,
    /// Committed changes that were sent again.
    pub repeated: u64,
    /// Reads of the newest configuration.
    pub reads: u64,
    /// Responses that were lost on their way.
    pub lost_responses: u64,
    /// Invalid documents that were rejected.
    pub rejected: u64,
    /// Workers whose departure was acknowledged.
    pub acknowledged_departures: u64,
    /// The times that changes took until their acknowledgement, in microseconds.
    pub commit_times: Vec<Micros>,
    /// The number of injected faults by kind.
    pub fault_counts: BTreeMap<String, u64>,
    /// The number of injected faults by variant.
    pub variant_counts: BTreeMap<&'static str, u64>,
}

impl ControlSummary {
    /// Summarizes the injected faults and the submissions of the operator.
    pub fn of(control: Control) -> ControlSummary {
        ControlSummary {
            committed: control.operator.committed_count(),
            repeated: control.operator.repeated,
            reads: control.operator.reads,
            lost_responses: control.operator.lost_responses,
            rejected: control.operator.rejected,
            acknowledged_departures: control.acknowledged_departures,
            commit_times: control.operator.commit_times,
            fault_counts: control.fault_counts,
            variant_counts: control.variant_counts,
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
    /// Asserts that the run broke no rule. `name` says which run it was, and `seed` with which seed.
    ///
    /// # Panics
    ///
    /// The run broke a rule. The message holds the trace and the violations.
    #[track_caller]
    pub fn assert_no_violation(&self, name: &str, seed: u64) {
        let trace = self.trace.join("\n");
        assert!(self.violations.is_empty(), "{name} seed {seed}:\n{trace}\n{:#?}", self.violations);
    }

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
        let times_to_worker =
            first.iter().filter_map(|run| Some(run.started_at.saturating_sub(*begun_at.get(&run.call)?))).collect();
        Summary {
            violations: world.safety.violations.clone(),
            newest_version: world.safety.committed.keys().next_back().copied().unwrap_or(0),
            committed: operators.committed,
            stale: operators.stale,
            unknown: operators.unknown,
            without_response: operators.failed,
            needless_change_rejections: operators.needless_rejections,
            calls: operators.calls,
            executed_calls: first.len() as u64,
            recovered_after_power_loss: faults
                .power_outages
                .iter()
                .filter_map(|outage| times_to_serve_after_outage(*outage, &world))
                .collect(),
            spent: ends.get("quota").copied().unwrap_or(0),
            ends,
            attempts: world.attempts,
            streams_resumed: world.streams_resumed,
            slots_reassigned: world.slots_reassigned,
            units_expired: world.quota_units_expired,
            rejected_writes: world.rejected_writes,
            frames_lost_in_stale_connections: world.connections.frames_lost_in_stale_connections,
            needless_rejections: count_needless_rejections(&world.call_outcomes, &world.executions, limits)
                + count_needless_rate_rejections(&world.call_outcomes, &world.executions, rates),
            max_calls_per_window: max_calls_per_window(&world.executions, QUOTA_WINDOW)
                .into_values()
                .max()
                .unwrap_or(0),
            propagation_times: operators.propagation_times,
            times_to_worker,
            voters_live_after: faults.voters_live_after,
            nodes_fresh_after: faults.nodes_fresh_after,
            voters_ready_after: faults.voters_ready_after,
            recovered: None,
            serving_after: None,
            frames: world.frames,
            bytes: world.bytes,
            cross_zone_traffic: world.cross_zone_traffic,
            control: None,
            trace: world.trace,
        }
    }
}
