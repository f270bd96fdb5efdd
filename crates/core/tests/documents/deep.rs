//! Documents that are nested deeply: new ones over the bound are rejected, and those that an earlier release decided
//! are applied, patched and loaded.

use super::net::{ALL, CORES, FRONT, SimulatedNetwork, machine_settings};
use sumacvale_core::base::{ChangeId, SEC};
use sumacvale_core::config::{CompiledConfig, ConfigError, Item, ListPatch, Patch};
use sumacvale_core::json;
use sumacvale_core::node::{Event, Node, NodeSettings};
use sumacvale_core::protocol::{Ballot, Change, ConsensusMessage, Frame, LogEntry, MAX_CHANGE_DEPTH, Message};

/// Reads a document by its number, as a format with members that nobody reads does.
fn read(text: &str) -> Result<CompiledConfig, Vec<ConfigError>> {
    let value = json::parse(text).map_err(|error| vec![ConfigError::NotJson(error.to_string())])?;
    let number = sonic_rs::JsonValueTrait::get(&value, "number").and_then(sonic_rs::JsonValueTrait::as_u64);
    let missing = || vec![ConfigError::Missing { pointer: "/number".into(), expected: "a number".into() }];
    Ok(CompiledConfig { revision: number.ok_or_else(missing)?, ..CompiledConfig::default() })
}

fn deep_net(seed: u64) -> SimulatedNetwork {
    let mut net = SimulatedNetwork::new(seed);
    for node in &mut net.nodes {
        node.settings.config_reader = read;
    }
    net
}

/// A document of exactly this many levels, in a member that nobody reads.
fn document(number: u64, levels: usize) -> String {
    let deep = format!("{}{}", "[".repeat(levels - 1), "]".repeat(levels - 1));
    format!("{{\"number\":{number},\"unread\":{deep},\"rows\":[{{\"name\":\"a\"}}]}}")
}

/// A patch that puts one row of this many levels.
fn patch(number: u64, levels: usize) -> Patch {
    let deep = format!("{}{}", "[".repeat(levels - 1), "]".repeat(levels - 1));
    let put = vec![Item { name: "b".into(), json: format!("{{\"name\":\"b\",\"unread\":{deep}}}") }];
    Patch { number_at: "number".into(), number, lists: vec![ListPatch { list: "rows".into(), put, remove: vec![] }] }
}

/// Guards against a deep document that overflows the stack of a voter which its sender forwards it to.
#[test]
fn a_change_that_is_nested_too_deeply_is_rejected_at_every_node() {
    for machine in 0..ALL {
        let mut net = deep_net(1);
        assert_eq!(net.submit_and_wait(machine, 0, &document(1, MAX_CHANGE_DEPTH)), "committed");
        for levels in [MAX_CHANGE_DEPTH + 1, 8_500, 40_000] {
            assert_eq!(net.submit_and_wait(machine, 1, &document(2, levels)), "invalid", "{levels} at {machine}");
            let outcome = submit_patch(&mut net, machine, 1, patch(2, levels));
            assert_eq!(outcome, "invalid", "a patch of {levels} at {machine}");
        }
        assert_eq!(net.submit_and_wait(machine, 1, &document(2, 3)), "committed");
        net.decided();
    }
}

/// Guards against a node that cannot apply, load or patch a deep document which an earlier release decided.
#[test]
fn a_deep_document_of_an_earlier_release_is_applied_loaded_and_followed() {
    for levels in [1_000, MAX_CHANGE_DEPTH + 1, 8_336, 8_990] {
        let mut net = deep_net(2);
        net.run(SEC);
        decide_as_an_earlier_release(&mut net, &document(5, levels));
        let body = |net: &SimulatedNetwork, machine: usize| {
            net.nodes[machine].consensus.state.newest().map(|entry| entry.body.clone())
        };
        for machine in 0..ALL {
            assert_eq!(body(&net, machine), Some(document(5, levels)), "{levels} at {machine}");
        }
        for machine in 0..CORES {
            restart(&mut net, machine);
            assert_eq!(net.nodes[machine].config.revision, 5, "{levels} are loaded");
        }
        net.run(3 * SEC);
        assert_eq!(submit_patch(&mut net, FRONT, 5, patch(6, 9)), "committed", "a patch on {levels} levels");
        let patched = patch(6, 9).apply(&document(5, levels)).expect("valid");
        net.run(SEC);
        assert_eq!(net.decided().1, patched);
        assert!(patched.contains(&"[".repeat(levels - 1)), "the deep member keeps its bytes");
        assert_eq!(net.submit_and_wait(0, 6, &document(7, 3)), "committed");
    }
}

/// Lets all voters accept and apply a version as a proposer of an earlier release sends it.
fn decide_as_an_earlier_release(net: &mut SimulatedNetwork, body: &str) {
    let newest = net.nodes[0].consensus.state.newest().expect("a founded fleet").clone();
    let ballot = Ballot { number: 1_000, node_id: net.node_ids[1], incarnation: SEC };
    let change_id = ChangeId(77);
    let entry = LogEntry { version: newest.version + 1, revision: 5, change_id, body: body.to_owned(), ..newest };
    for machine in 0..CORES {
        let accept = ConsensusMessage::Accept { ballot, entry: entry.clone() };
        let replicate = ConsensusMessage::Replicate { entries: vec![entry.clone()] };
        for message in [accept, replicate] {
            let frame = Frame {
                from: net.node_ids[1],
                to: net.node_ids[machine],
                incarnation: SEC,
                fleet_id: entry.fleet_id,
                sent_at: net.now,
                message: Message::Consensus(message),
            };
            net.step(machine, Event::Frame(Box::new(frame)));
        }
    }
    net.run(2 * SEC);
}

/// Submits a patch and runs until its outcome is known.
fn submit_patch(net: &mut SimulatedNetwork, machine: usize, base: u64, patch: Patch) -> String {
    net.sequence += 1;
    let request_id = 10_000 + net.sequence;
    let change = Change::Patch(patch);
    net.step(
        machine,
        Event::SubmitChange { request_id, change_id: ChangeId(request_id), is_first_send: false, base, change },
    );
    net.wait_for_outcome(request_id, 5 * SEC)
}

/// Restarts the process of a core from its disk, which reads the stored documents again.
fn restart(net: &mut SimulatedNetwork, machine: usize) {
    let settings = NodeSettings { config_reader: read, ..machine_settings(machine, net.now) };
    net.nodes[machine] = Node::new(settings, &net.disks[machine], 7 + machine as u64, net.now);
}
