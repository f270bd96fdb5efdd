//! The judge of lost answers sees each planted loss and allows each excuse of the rule.

use sumacvale_core::base::{MS, Micros, SEC};
use sumacvale_testbed::lost_answers::{
    LossKind, LossLimits, NodeEvents, NodeFault, PlannedWork, RequestRecord, RequestRun, RunEnd, lost_answers,
};

const LIMITS: LossLimits = LossLimits { grace: 8 * SEC, apply_time: 2 * SEC, contact_time: 3 * SEC, slack: 200 * MS };
/// The time of all planned work, in microseconds.
const WORK_AT: Micros = 60 * SEC;

/// Returns a request of node 1 that was passed on and cut while its worker was at work, with times from [`WORK_AT`].
fn cut_request(sent_at: i64, ended_at: i64) -> RequestRecord {
    let time = |offset: i64| WORK_AT.saturating_add_signed(offset * 1_000);
    RequestRecord {
        id: "a".into(),
        node: 1,
        sent_at: time(sent_at),
        ended_at: time(ended_at),
        is_complete: false,
        time_limit: 12 * SEC,
        runs: vec![RequestRun {
            started_at: time(sent_at) + MS,
            ended_at: time(ended_at) + MS,
            end: RunEnd::ReaderLeft,
        }],
    }
}

fn stop() -> NodeEvents {
    NodeEvents { planned: vec![PlannedWork::Stop { node: 1, at: WORK_AT }], faults: Vec::new() }
}

fn kinds(record: RequestRecord, events: &NodeEvents) -> Vec<LossKind> {
    lost_answers(&[record], events, LIMITS).into_iter().map(|answer| answer.kind).collect()
}

#[test]
fn a_planted_loss_around_a_stop_is_not_seen() {
    assert_eq!(kinds(cut_request(-900, 300), &stop()), [LossKind::AroundStop], "in flight at the signal");
    assert_eq!(kinds(cut_request(1_000, 2_500), &stop()), [LossKind::AroundStop], "sent after the signal");
    assert_eq!(
        kinds(cut_request(3_500, 7_500), &stop()),
        [LossKind::AroundStop],
        "sent too late to be cut by the grace"
    );
    assert_eq!(kinds(cut_request(0, 6_000), &stop()), [LossKind::AroundStop], "cut before the last sixth");
    let unanswered = RequestRecord { runs: Vec::new(), ..cut_request(100, 400) };
    assert_eq!(kinds(unanswered, &stop()), [LossKind::AroundStop], "held beyond the slack and not passed on");
    let mut finished = cut_request(100, 900);
    finished.runs[0].end = RunEnd::Complete;
    assert_eq!(kinds(finished, &stop()), [LossKind::AroundStop], "the worker had sent all");
    let mut left_for_another = cut_request(100, 900);
    left_for_another.runs.push(RequestRun { end: RunEnd::BrokeOff, ..left_for_another.runs[0] });
    assert_eq!(kinds(left_for_another, &stop()), [LossKind::AroundStop], "another worker broke off, one was at work");
    let mut long_after_a_break = cut_request(100, 900);
    let broke_off = RequestRun { end: RunEnd::BrokeOff, ended_at: WORK_AT + 200 * MS, ..long_after_a_break.runs[0] };
    long_after_a_break.runs[0] = broke_off;
    assert_eq!(kinds(long_after_a_break, &stop()), [LossKind::AroundStop], "a worker broke off long before");
}

#[test]
fn a_planted_loss_at_other_times_is_not_seen() {
    let reload = NodeEvents { planned: vec![PlannedWork::Reload { node: 1, at: WORK_AT }], faults: Vec::new() };
    assert_eq!(kinds(cut_request(1_500, 3_000), &reload), [LossKind::AroundReload]);
    assert_eq!(kinds(cut_request(2_500, 3_000), &reload), [LossKind::AtOtherTimes]);
    assert_eq!(kinds(cut_request(0, 900), &NodeEvents::default()), [LossKind::AtOtherTimes]);
    let change = PlannedWork::Change { sent_at: WORK_AT, acknowledged_at: WORK_AT + 100 * MS };
    let change = NodeEvents { planned: vec![change], faults: Vec::new() };
    assert_eq!(kinds(cut_request(0, 900), &change), [LossKind::AroundChange], "none of the others was cut");
    let as_often_at_other_times = [cut_request(0, 900), cut_request(-9_000, -8_000)];
    let lost = lost_answers(&as_often_at_other_times, &change, LIMITS);
    assert_eq!(lost.iter().map(|answer| answer.kind).collect::<Vec<_>>(), [LossKind::AtOtherTimes]);
}

#[test]
fn an_end_that_the_rule_excuses_counts_as_a_loss() {
    let complete = RequestRecord { is_complete: true, ..cut_request(0, 900) };
    let short = RequestRecord { runs: Vec::new(), ..cut_request(100, 250) };
    let out_of_time = RequestRecord { time_limit: SEC, ..cut_request(0, 1_000) };
    let mut broke_off = cut_request(0, 900);
    broke_off.runs[0].end = RunEnd::BrokeOff;
    let mut woke_up_and_broke_off = broke_off.clone();
    let left = RequestRun { end: RunEnd::ReaderLeft, ended_at: WORK_AT + 600 * MS, ..broke_off.runs[0] };
    woke_up_and_broke_off.runs.push(left);
    let cases = [
        ("it broke off after another one was left for it", woke_up_and_broke_off),
        ("a complete answer", complete),
        ("neither passed on nor held", short),
        ("the time-out of the route", out_of_time),
        ("the worker broke off", broke_off),
        ("at work in the last sixth of the grace", cut_request(2_900, 7_000)),
    ];
    for (name, record) in cases {
        assert_eq!(kinds(record, &stop()), [], "{name}");
    }
    let fault = NodeFault { node: 1, begin: WORK_AT - 5 * SEC, end: WORK_AT - 2 * SEC };
    let events = NodeEvents { faults: vec![fault], ..stop() };
    assert_eq!(kinds(cut_request(500, 900), &events), [], "an unplanned fault shortly before");
}
