//! The rule that no request is lost around planned work, judged by what clients and workers observed and not by what
//! nodes logged.
//!
//! An answer is lost if its connection ends without a complete answer although the request was passed on to a worker,
//! or was held for longer than a slack, while no worker broke off and the time of the request was not used up. Planned
//! work is a stop of the node (SIGTERM), a reload of its settings (SIGHUP) and a change of the configuration.

use std::collections::BTreeMap;
use sumacvale_core::base::{MS, Micros, SEC};

/// The time after the grace of a stop for which the stop still counts, in microseconds.
const STOP_MARGIN: Micros = SEC;
/// The time after the SIGTERM of a node up to which requests may be sent that the end of the grace cuts.
const LAST_EXCUSED_SEND: Micros = 3 * SEC;
/// The last part of the grace in which work may be cut: one sixth.
const LAST_GRACE_PARTS: Micros = 6;
/// Beside changes a node may cut at most this many times as many requests as at other times.
const CHANGE_FACTOR: u64 = 3;
/// The part of its time that a request cut beside a change may have used, in tenths.
const MAX_USED_TENTHS: Micros = 7;
/// The longest time from the moment at which a worker sees its connection end to the end of the answer at the client.
const END_DELAY: Micros = 50 * MS;
/// The longest time from the moment at which a worker breaks off to the end of the answer at the client.
const BREAK_DELAY: Micros = 500 * MS;

/// The spans of time of the rule, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct LossLimits {
    /// From the SIGTERM of a node to the SIGKILL that follows.
    pub grace: Micros,
    /// The time in which a change or a reload takes effect.
    pub apply_time: Micros,
    /// The time without unplanned faults before a request that is judged.
    pub contact_time: Micros,
    /// The time for which a node may hold a request that it does not pass on and closes its connection.
    pub slack: Micros,
}

/// How the run of a request at a worker ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The worker sent its whole answer, or a refusal.
    Complete,
    /// The worker broke off.
    BrokeOff,
    /// The node closed the connection while the worker was at work.
    ReaderLeft,
}

/// The run of a request at a worker. Times are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestRun {
    /// When the request arrived.
    pub started_at: Micros,
    /// When the run ended.
    pub ended_at: Micros,
    /// How the run ended.
    pub end: RunEnd,
}

/// A request and its answer. Times are in microseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestRecord {
    /// The id of the request.
    pub id: String,
    /// The index of the node that took the request.
    pub node: usize,
    /// When the last byte of the request was sent.
    pub sent_at: Micros,
    /// When the answer or its connection ended.
    pub ended_at: Micros,
    /// Whether the client got a complete answer.
    pub is_complete: bool,
    /// The time-out of the route or the deadline of the client, whichever is earlier, from the sending.
    pub time_limit: Micros,
    /// The runs at workers, in the order in which they began.
    pub runs: Vec<RequestRun>,
}

/// Planned work. Times are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlannedWork {
    /// The node gets SIGTERM.
    Stop {
        /// The index of the node.
        node: usize,
        /// The time of the signal.
        at: Micros,
    },
    /// The node gets SIGHUP.
    Reload {
        /// The index of the node.
        node: usize,
        /// The time of the signal.
        at: Micros,
    },
    /// A configuration is changed.
    Change {
        /// When the change was sent.
        sent_at: Micros,
        /// When it was acknowledged, or its sender gave up.
        acknowledged_at: Micros,
    },
}

/// An unplanned fault of a node. Times are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeFault {
    /// The index of the node.
    pub node: usize,
    /// When the fault began.
    pub begin: Micros,
    /// When the node ran again.
    pub end: Micros,
}

/// What the loss of an answer counts as.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LossKind {
    /// Around the SIGTERM of its node.
    AroundStop,
    /// Around the SIGHUP of its node.
    AroundReload,
    /// Around a change of the configuration.
    AroundChange,
    /// At another time, which the rule on planned work does not cover.
    AtOtherTimes,
}

/// An answer that was lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostAnswer {
    /// What the loss counts as.
    pub kind: LossKind,
    /// The request.
    pub request: RequestRecord,
}

/// What happened to the nodes while requests were sent.
#[derive(Clone, Debug, Default)]
pub struct NodeEvents {
    /// All planned work.
    pub planned: Vec<PlannedWork>,
    /// All unplanned faults.
    pub faults: Vec<NodeFault>,
}

/// Returns all lost answers. Those around changes are included only if their node cuts more than three times as many
/// requests beside changes as at other times.
#[must_use]
pub fn lost_answers(records: &[RequestRecord], events: &NodeEvents, limits: LossLimits) -> Vec<LostAnswer> {
    let is_lost = |record: &&RequestRecord| is_lost(record, events, limits);
    let mut lost: Vec<_> = records
        .iter()
        .filter(is_lost)
        .map(|request| LostAnswer { kind: kind_of(request, events, limits), request: request.clone() })
        .collect();
    let excess = nodes_with_excess_beside_changes(records, &lost, events, limits);
    lost.retain(|answer| answer.kind != LossKind::AroundChange || excess.contains(&answer.request.node));
    lost
}

/// Whether the answer ended without its last byte and nothing but planned work can excuse it.
fn is_lost(record: &RequestRecord, events: &NodeEvents, limits: LossLimits) -> bool {
    let was_held = record.ended_at > record.sent_at + limits.slack;
    let has_fault = |fault: &NodeFault| {
        fault.node == record.node && fault.begin <= record.ended_at && fault.end + limits.contact_time >= record.sent_at
    };
    !record.is_complete
        && (!record.runs.is_empty() || was_held)
        && record.ended_at < record.sent_at + record.time_limit
        && !worker_broke_off(record)
        && !events.faults.iter().any(has_fault)
        && !events.planned.iter().any(|work| is_cut_by_grace(record, *work, limits))
}

/// Whether the answer ended because a worker broke off: one did just before, and no other was at work.
fn worker_broke_off(record: &RequestRecord) -> bool {
    let broke_off = |run: &RequestRun| run.end == RunEnd::BrokeOff && run.ended_at + BREAK_DELAY >= record.ended_at;
    let was_at_work = |run: &RequestRun| run.end == RunEnd::ReaderLeft && run.ended_at + END_DELAY >= record.ended_at;
    record.runs.iter().any(broke_off) && !record.runs.iter().any(was_at_work)
}

/// Whether the request was sent early enough and its worker was still at work in the last part of the grace.
fn is_cut_by_grace(record: &RequestRecord, work: PlannedWork, limits: LossLimits) -> bool {
    let PlannedWork::Stop { node, at } = work else { return false };
    let last_part = at + limits.grace - limits.grace / LAST_GRACE_PARTS;
    let was_at_work = |run: &RequestRun| run.end == RunEnd::ReaderLeft && run.ended_at >= last_part;
    node == record.node && record.sent_at <= at + LAST_EXCUSED_SEND && record.runs.iter().any(was_at_work)
}

fn kind_of(record: &RequestRecord, events: &NodeEvents, limits: LossLimits) -> LossKind {
    let kinds = events.planned.iter().filter_map(|work| kind_by(record, *work, limits));
    kinds.min().unwrap_or(LossKind::AtOtherTimes)
}

/// Returns the kind of loss by this work; `None` if the request does not fall around it.
fn kind_by(record: &RequestRecord, work: PlannedWork, limits: LossLimits) -> Option<LossKind> {
    match work {
        PlannedWork::Stop { node, at } => {
            (node == record.node && record.ended_at >= at && record.sent_at <= at + limits.grace + STOP_MARGIN)
                .then_some(LossKind::AroundStop)
        }
        PlannedWork::Reload { node, at } => {
            (node == record.node && record.ended_at >= at && record.sent_at <= at + limits.apply_time)
                .then_some(LossKind::AroundReload)
        }
        PlannedWork::Change { .. } => {
            let used = record.ended_at - record.sent_at;
            (is_beside_change(record, work, limits) && used * 10 < record.time_limit * MAX_USED_TENTHS)
                .then_some(LossKind::AroundChange)
        }
    }
}

fn is_beside_change(record: &RequestRecord, work: PlannedWork, limits: LossLimits) -> bool {
    let PlannedWork::Change { sent_at, acknowledged_at } = work else { return false };
    record.ended_at >= sent_at && record.sent_at <= acknowledged_at + limits.apply_time + SEC
}

/// Returns the nodes that cut more than [`CHANGE_FACTOR`] times as many of their requests beside changes as at other
/// times.
fn nodes_with_excess_beside_changes(
    records: &[RequestRecord],
    lost: &[LostAnswer],
    events: &NodeEvents,
    limits: LossLimits,
) -> Vec<usize> {
    #[derive(Default)]
    struct Shares {
        requests: [u64; 2],
        cuts: [u64; 2],
    }
    let is_beside =
        |record: &RequestRecord| usize::from(events.planned.iter().any(|work| is_beside_change(record, *work, limits)));
    let mut nodes: BTreeMap<usize, Shares> = BTreeMap::new();
    for record in records {
        nodes.entry(record.node).or_default().requests[is_beside(record)] += 1;
    }
    for answer in lost {
        nodes.entry(answer.request.node).or_default().cuts[is_beside(&answer.request)] += 1;
    }
    let has_excess = |shares: &Shares| {
        let [other_requests, change_requests] = shares.requests;
        let [other_cuts, change_cuts] = shares.cuts;
        change_cuts * other_requests > CHANGE_FACTOR * other_cuts * change_requests || other_requests == 0
    };
    nodes.into_iter().filter(|(_, shares)| has_excess(shares)).map(|(node, _)| node).collect()
}
