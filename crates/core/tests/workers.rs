//! Tests of worker reports: their order, and addresses and ids that another worker takes over.

mod worker_net;

use sumacvale_core::base::{MS, Micros, SEC};
use sumacvale_core::protocol::{UNKNOWN_INCARNATION, WorkerReport};
use sumacvale_core::workers::{REPORT_TIMEOUT, UnreachablePeriod, WorkerTable};
use worker_net::{CORES, MACHINES, Net, drain, leave, report, unnumbered};

/// Returns the first report of a worker of another pool at the same address.
fn successor(worker_id: &str) -> WorkerReport {
    WorkerReport { pool: "q".into(), ..report(worker_id, 1) }
}

fn live(table: &WorkerTable, now: Micros) -> String {
    table.live_workers(now).map(|report| report.worker_id.clone()).collect::<Vec<_>>().join(" ")
}

type TimedReports = Vec<(Micros, WorkerReport)>;
type Periods = &'static [(Micros, Micros)];

#[test]
fn the_newest_report_takes_precedence_and_a_removal_is_final() {
    let bare_leave = |worker_id: &str| WorkerReport::removal(worker_id, 1);
    let other = WorkerReport { addr: "10.0.0.2:80".into(), ..report("b", 1) };
    let cases: [(&str, TimedReports, Micros, &str); 15] = [
        ("a report", vec![(0, report("a", 1))], SEC, "a"),
        ("two workers", vec![(0, report("a", 1)), (0, other)], SEC, "a b"),
        ("drains", vec![(0, report("a", 1)), (SEC, drain("a", 2))], SEC, ""),
        ("a late report after the drain", vec![(0, drain("a", 2)), (SEC, report("a", 1))], SEC, ""),
        ("no longer drains", vec![(0, drain("a", 2)), (SEC, report("a", 3))], SEC, "a"),
        ("left", vec![(0, report("a", 1)), (SEC, leave("a", 2))], SEC, ""),
        ("a late report after the leave", vec![(0, leave("a", 2)), (SEC, report("a", 1))], SEC, ""),
        ("a later report after the leave", vec![(0, leave("a", 2)), (SEC, report("a", 9))], SEC, ""),
        ("a drain after the leave", vec![(0, leave("a", 2)), (SEC, drain("a", 9))], SEC, ""),
        ("a bare leave ends the incarnation", vec![(0, report("a", 7)), (SEC, bare_leave("a"))], SEC, ""),
        ("a bare leave comes first", vec![(0, bare_leave("a")), (SEC, report("a", 7))], SEC, ""),
        (
            "a new incarnation",
            vec![(0, bare_leave("a")), (SEC, WorkerReport { incarnation: 2, ..report("a", 1) })],
            SEC,
            "a",
        ),
        ("the address passes on after a leave", vec![(0, leave("a", 2)), (SEC, successor("b"))], SEC, "b"),
        ("the address passes on in silence", vec![(0, report("a", 1)), (SEC, successor("b"))], SEC, "b"),
        ("the old one is reported late", vec![(SEC, successor("b")), (0, report("a", 1))], SEC, "b"),
    ];
    for (name, reports, now, expected) in cases {
        let mut table = WorkerTable::default();
        for (made_at, report) in &reports {
            table.merge_report(report, *made_at, now);
        }
        assert_eq!(live(&table, now), expected, "{name}");
        table.expire(now);
        assert_eq!(live(&table, now), expected, "{name}, expired");
        if reports.iter().any(|(_, report)| report.removed) {
            let snapshot = table.changes_after(0, &["p".into(), "q".into()], now + 20 * SEC);
            let has_leave = snapshot.iter().any(|report| report.removed);
            assert!(has_leave || expected == "a", "{name}: the leave is sent on for long");
            table.expire(now + 60 * SEC);
            assert!(table.entries.is_empty(), "{name}: and forgotten in the end");
        }
    }
}

#[test]
fn the_report_timeout_follows_from_the_interval_and_from_core_contact() {
    let cases: [(&str, Micros, Periods, Micros); 6] = [
        ("the shortest interval", 500 * MS, &[], REPORT_TIMEOUT),
        ("not set", 0, &[], REPORT_TIMEOUT),
        ("two reports lost, each retried a second later", 1_200 * MS, &[], 4_300 * MS),
        ("no core for two seconds", 1_200 * MS, &[(SEC, 3 * SEC)], 6_300 * MS),
        ("no core, once before it reported", 1_200 * MS, &[(0, 0)], 4_300 * MS),
        ("twice", 1_200 * MS, &[(SEC, 2 * SEC), (4 * SEC, 5 * SEC)], 6_300 * MS),
    ];
    for (name, report_interval, unreachable, until) in cases {
        let periods =
            unreachable.iter().map(|(from, until)| UnreachablePeriod { from: *from, until: *until }).collect();
        let mut table = WorkerTable { report_interval, unreachable_periods: periods, ..WorkerTable::default() };
        table.merge_report(&report("a", 1), 0, 0);
        assert_eq!(live(&table, until - 1), "a", "{name}");
        assert_eq!(live(&table, until), "", "{name}");
    }
}

#[test]
fn a_new_worker_is_known_everywhere_soon() {
    let mut net = Net::new();
    net.report(0, 1, report("a", 1));
    assert_eq!(net.answer(1), Some((true, net.now)), "a report is acknowledged at once");
    net.run(150 * MS);
    assert_eq!(net.fronts_using("a").len(), MACHINES - CORES);
    for seq in 2..6 {
        net.run(1_200 * MS);
        net.report(1, seq, report("a", seq));
    }
    net.run(4_200 * MS);
    assert_eq!(net.fronts_using("a").len(), MACHINES - CORES, "two reports may be lost");
    net.run(400 * MS);
    assert_eq!(net.fronts_using("a").len(), 0, "and no more");
}

#[test]
fn no_worker_times_out_while_all_cores_are_down() {
    let mut net = Net::new();
    net.report(0, 1, report("a", 1));
    net.run(SEC);
    for core in 0..CORES {
        net.nodes[core] = None;
    }
    net.run(4 * SEC);
    for core in 0..CORES {
        net.start(core, core as u64 + 1);
    }
    for _ in 0..10 {
        net.run(200 * MS);
        assert_eq!(net.fronts_using("a").len(), MACHINES - CORES);
    }
    net.report(0, 2, report("a", 2));
    net.run(SEC);
    assert_eq!(net.fronts_using("a").len(), MACHINES - CORES);
    net.run(5 * SEC);
    assert_eq!(net.fronts_using("a").len(), 0, "once cores are back its silence counts");
}

#[test]
fn a_front_that_joins_knows_all_workers_soon() {
    let mut net = Net::new();
    net.report(0, 1, report("a", 1));
    net.run(SEC);
    net.start(4, 77);
    let started_at = net.now;
    let complete_at = |net: &Net| net.nodes[4].as_ref().and_then(|node| node.dissemination.workers.complete_at);
    while complete_at(&net).is_none() && net.now < started_at + 5 * SEC {
        net.run(25 * MS);
    }
    let waited = complete_at(&net).map(|complete_at| complete_at - started_at);
    assert!(waited.is_some_and(|waited| waited < 1_500 * MS), "{waited:?}");
    net.run(25 * MS);
    assert!(net.fronts_using("a").contains(&4));
}

fn unnumbered_elsewhere(worker_id: &str, seq: u64) -> WorkerReport {
    WorkerReport { addr: "10.0.0.7:80".into(), ..unnumbered(worker_id, seq) }
}

/// An id that reappears with a lower sequence number is a new incarnation once the known one has timed out. An
/// incarnation that drained or left by its own report stays out of service until it is removed from the table.
#[test]
fn an_id_whose_sequence_starts_over_is_another_incarnation() {
    type MakeReport = fn(&str, u64) -> WorkerReport;
    let bare_leave: MakeReport = |worker_id, _| WorkerReport::removal(worker_id, UNKNOWN_INCARNATION);
    let drains: MakeReport = |worker_id, seq| WorkerReport { draining: true, ..unnumbered(worker_id, seq) };
    // The last report, with number 50; the pause before the id starts over; the first report after that and its number;
    // whether that report is accepted and the worker is sent requests.
    let cases: [(&str, MakeReport, Micros, MakeReport, u64, bool); 11] = [
        ("at once, at the same address", unnumbered, 200 * MS, unnumbered, 1, false),
        ("at once, elsewhere", unnumbered, 200 * MS, unnumbered_elsewhere, 1, false),
        ("after the silence", unnumbered, 5 * SEC, unnumbered, 1, true),
        ("after the silence, elsewhere", unnumbered, 5 * SEC, unnumbered_elsewhere, 1, true),
        ("with a number that goes on", unnumbered, 200 * MS, unnumbered, 51, true),
        ("the same number again", unnumbered, 200 * MS, unnumbered, 50, true),
        ("after a drain, too soon", drains, 6 * SEC, unnumbered, 1, false),
        ("after a drain, forgotten", drains, 33 * SEC, unnumbered, 1, true),
        ("after it left, too soon", bare_leave, 6 * SEC, unnumbered, 1, false),
        ("after it left, with a higher number", bare_leave, 6 * SEC, unnumbered, 90, false),
        ("after it left, forgotten", bare_leave, 33 * SEC, unnumbered_elsewhere, 1, true),
    ];
    for (name, last_report, pause, first_report, seq, is_accepted) in cases {
        let mut net = Net::new();
        net.report(0, 1, unnumbered("a", 49));
        net.run(300 * MS);
        net.report(1, 2, last_report("a", 50));
        net.run(pause);
        // At the core that received the last report, and at another core.
        for (core, request_id) in [(1, 10), (2, 11)] {
            net.report(core, request_id, first_report("a", seq + request_id - 10));
            net.run(900 * MS);
            let answer = net.answer(request_id).map(|answer| answer.0);
            assert_eq!(answer, Some(is_accepted), "{name}, reported to {core}");
        }
        let expected = if is_accepted { MACHINES - CORES } else { 0 };
        let is_known_still = name.starts_with("at once");
        let fronts = net.fronts_using("a");
        assert!(is_known_still || fronts.len() == expected, "{name}: {fronts:?} send to it");
        if !is_accepted {
            continue;
        }
        // The accepted incarnation behaves as any other: it drains, and its removal is final.
        net.report(0, 20, drains("a", seq + 5));
        net.run(700 * MS);
        assert_eq!(net.answer(20).map(|answer| answer.0), Some(true), "{name}");
        assert_eq!(net.fronts_using("a").len(), 0, "{name}: it drains");
        net.report(2, 21, bare_leave("a", 0));
        net.run(700 * MS);
        net.report(1, 22, unnumbered("a", seq + 6));
        net.run(700 * MS);
        assert_eq!(
            net.answer(22).map(|answer| answer.0),
            Some(false),
            "{name}: a late report of an incarnation that left"
        );
        assert_eq!(net.fronts_using("a").len(), 0, "{name}: it left");
    }
}

/// A worker that restarts quickly under the same id returns to service once the former incarnation has timed out.
#[test]
fn a_worker_that_restarts_under_its_id_returns_to_service_soon() {
    for first_report in [unnumbered, unnumbered_elsewhere] {
        let mut net = Net::new();
        net.report(0, 1, unnumbered("a", 500));
        net.run(500 * MS);
        let restarted_at = net.now;
        let is_back = |net: &Net| {
            let front = net.nodes[5].as_ref();
            let known = front.and_then(|node| node.dissemination.workers.entries.get("a"));
            known.is_some_and(|entry| entry.report.seq < 100)
        };
        for seq in 1..9 {
            net.report(usize::try_from(seq % 3).unwrap_or(0), 10 + seq, first_report("a", seq));
            net.run(1_200 * MS);
            if is_back(&net) {
                break;
            }
        }
        let waited = net.now - restarted_at;
        assert!(is_back(&net) && waited <= 6 * SEC, "after {} ms", waited / MS);
        assert_eq!(net.fronts_using("a").len(), MACHINES - CORES);
    }
}
