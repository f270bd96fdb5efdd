//! What the acknowledgement of one removal leads to at a core that has many removals in progress.

mod fleet;

use fleet::{Fleet, durable_state, log_entry};
use sumacvale_core::base::{MS, SEC};
use sumacvale_core::node::{Effect, Event};
use sumacvale_core::protocol::{DisseminationMessage, Message, RemovalKey, WorkerReport};

/// The core that the workers tell of their end.
const TOLD: u64 = 1;
/// A core that is cut off from it.
const CUT_OFF: u64 = 2;

fn removal(worker_id: &str) -> WorkerReport {
    WorkerReport::removal(worker_id, 1)
}

/// Returns the workers of the removals that these effects send.
fn sent_removals(effects: &[Effect]) -> Vec<String> {
    let reports = effects.iter().flat_map(|effect| match effect {
        Effect::Send { frame, .. } => match &frame.message {
            Message::Dissemination(DisseminationMessage::Removals { reports }) => reports.as_slice(),
            _ => &[],
        },
        _ => &[],
    });
    reports.map(|report| report.worker_id.clone()).collect()
}

/// Guards against a core of a large fleet that spends its time on passes over all removals: each of hundreds of nodes
/// acknowledges each of dozens of removals.
#[test]
fn an_acknowledgement_advances_no_other_removal() {
    let mut fleet = Fleet::default();
    fleet.manages_voters = false;
    for machine in 1..=3 {
        fleet.start(machine, durable_state(machine, &[log_entry(0, 0, &[], &[1, 2, 3])], Some(0)));
    }
    fleet.run(4 * SEC);
    fleet.partition(&[TOLD], &[CUT_OFF]);
    for (request_id, worker_id) in [(1, "a"), (2, "b")] {
        let effects = fleet.step(TOLD, Event::ReportWithAck { request_id, report: removal(worker_id) });
        fleet.apply_effects(TOLD, effects);
    }
    fleet.run(50 * MS);
    // Both removals are due to be sent again to the core that did not acknowledge them.
    fleet.now += 160 * MS;
    let keys = vec![RemovalKey { worker_id: "a".into(), incarnation: 1, removed: true }];
    let received = Message::Dissemination(DisseminationMessage::RemovalsReceived { keys });
    let effects = fleet.deliver_without_effects(CUT_OFF, TOLD, received);
    assert_eq!(sent_removals(&effects), Vec::<String>::new(), "the acknowledgement leads to no removal being sent");
    let effects = fleet.step(TOLD, Event::Tick);
    assert_eq!(sent_removals(&effects), ["b"], "the next tick sends the other one again");
}
