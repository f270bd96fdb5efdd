//! Patches of documents: applying them, and deciding them on a network of nodes.

use super::net::{ALL, CORES, FRONT, SimulatedNetwork};
use sumacvale_core::base::{ChangeId, SEC};
use sumacvale_core::config::{CompiledConfig, ConfigError, Item, ListPatch, Patch};
use sumacvale_core::node::Event;
use sumacvale_core::protocol::{Change, ChangeOutcome, LogEntry};

fn item(name: &str, what: u64) -> Item {
    Item { name: name.into(), json: format!("{{\"name\":\"{name}\",\"what\":{what}}}") }
}

fn patch(number: u64, put: &[(&str, u64)], remove: &[&str]) -> Patch {
    let put = put.iter().map(|(name, what)| item(name, *what)).collect();
    let remove = remove.iter().map(|name| (*name).to_owned()).collect();
    Patch { number_at: "number".into(), number, lists: vec![ListPatch { list: "rows".into(), put, remove }] }
}

fn document(number: u64, rows: &[(&str, u64)]) -> String {
    let rows: Vec<_> = rows.iter().map(|(name, what)| item(name, *what).json).collect();
    format!("{{\"number\":{number},\"kept\":[1,{{}}],\"rows\":[{}]}}", rows.join(","))
}

#[test]
fn a_patch_adds_replaces_and_removes_by_name() {
    let old = document(3, &[("a", 1), ("b", 2), ("c", 3)]);
    for (name, put, remove, expected) in [
        ("added", vec![("d", 4)], vec![], vec![("a", 1), ("b", 2), ("c", 3), ("d", 4)]),
        ("replaced in its place", vec![("b", 9)], vec![], vec![("a", 1), ("b", 9), ("c", 3)]),
        ("removed", vec![], vec!["a", "c"], vec![("b", 2)]),
        ("all at once", vec![("e", 5), ("c", 7)], vec!["a"], vec![("b", 2), ("c", 7), ("e", 5)]),
        ("every item removed", vec![], vec!["a", "b", "c"], vec![]),
    ] {
        let patched = patch(8, &put, &remove).apply(&old).expect(name);
        assert_eq!(patched, document(8, &expected), "{name}");
    }
    let patched = patch(8, &[("a", 1)], &[]).apply("{\"number\":1}").expect("a list that was not there");
    assert_eq!(patched, "{\"number\":8,\"rows\":[{\"name\":\"a\",\"what\":1}]}");
    assert_eq!(Patch::unchanged().apply(&old).expect("unchanged"), old);
}

#[test]
fn an_invalid_patch_changes_nothing() {
    let old = document(3, &[("a", 1), ("b", 2)]);
    let two_lists = Patch { lists: vec![ListPatch::default(), ListPatch::default()], ..patch(8, &[], &[]) };
    let other_list = |list: &str| {
        let mut patch = patch(8, &[("a", 1)], &[]);
        patch.lists[0].list = list.into();
        patch
    };
    let mut repeated_list = patch(8, &[("a", 1)], &[]);
    repeated_list.lists.push(repeated_list.lists[0].clone());
    for (name, patch, code) in [
        ("changes nothing", patch(8, &[], &[]), "missing"),
        ("changes nothing in two lists", two_lists, "missing"),
        ("removes what is not there", patch(8, &[("a", 5)], &["z"]), "dangling"),
        ("puts one twice", patch(8, &[("a", 5), ("a", 6)], &[]), "duplicate"),
        ("removes one twice", patch(8, &[], &["a", "a"]), "duplicate"),
        ("puts and removes one", patch(8, &[("a", 5)], &["a"]), "duplicate"),
        ("names a list twice", repeated_list, "duplicate"),
        ("a number in the place of a list", other_list("number_of"), "wrong_value"),
    ] {
        let old = old.replace("\"kept\":", "\"number_of\":5,\"kept\":");
        let errors = patch.apply(&old).expect_err(name);
        assert!(errors.iter().all(|error| error.code() == code), "{name}: {errors:?}");
    }
}

/// RFC 6901, section 3: `~` is written `~0`, and `/` is written `~1`.
#[test]
fn json_pointers_in_errors_of_a_patch_are_escaped() {
    let mut duplicate = patch(8, &[("a/b~c", 1), ("a/b~c", 2)], &[]);
    duplicate.lists[0].list = "r/w~s".into();
    let mut dangling = patch(8, &[], &["z"]);
    dangling.lists[0].list = "r/w~s".into();
    let pointers = |patch: &Patch| -> Vec<String> {
        let errors = patch.apply("{\"number\":1}").expect_err("an invalid patch");
        errors.iter().map(|error| error.pointer().to_owned()).collect()
    };
    assert_eq!(pointers(&duplicate), ["/r~1w~0s/a~1b~0c"]);
    assert_eq!(pointers(&dangling), ["/r~1w~0s"]);
}

/// Reads a document of rows. A row whose `what` is 666666 makes the document invalid.
fn read(text: &str) -> Result<CompiledConfig, Vec<ConfigError>> {
    let missing = || vec![ConfigError::Missing { pointer: "/number".into(), expected: "a number".into() }];
    let number = sonic_rs::get(text, &["number"]).map_err(|_| missing())?;
    let revision = number.as_raw_str().parse().map_err(|_| missing())?;
    if text.contains("\"what\":666666}") {
        return Err(vec![ConfigError::Missing { pointer: "/rows".into(), expected: "valid rows".into() }]);
    }
    Ok(CompiledConfig { revision, ..CompiledConfig::default() })
}

/// Creates a network of nodes that read documents of rows.
fn patch_net(seed: u64) -> SimulatedNetwork {
    let mut net = SimulatedNetwork::new(seed);
    for node in &mut net.nodes {
        node.settings.config_reader = read;
    }
    net
}

fn send_patch(net: &mut SimulatedNetwork, node: usize, request_id: u64, base: u64, patch: &Patch) {
    let [byte0, byte1, byte2, byte3, ..] = patch.hash();
    let change_id = ChangeId(u64::from(u32::from_be_bytes([byte0, byte1, byte2, byte3])).max(1));
    let change = Change::Patch(patch.clone());
    net.step(node, Event::SubmitChange { request_id, change_id, is_first_send: false, base, change });
}

fn submit_patch(net: &mut SimulatedNetwork, node: usize, base: u64, patch: &Patch) -> String {
    net.sequence += 1;
    let request_id = 10_000 + net.sequence;
    send_patch(net, node, request_id, base, patch);
    net.wait_for_outcome(request_id, 5 * SEC)
}

/// Creates a network whose newest document has three rows.
fn net_with_document(seed: u64) -> (SimulatedNetwork, Vec<(&'static str, u64)>) {
    let mut net = patch_net(seed);
    let rows = vec![("a", 1), ("b", 2), ("c", 3)];
    assert_eq!(net.submit_and_wait(0, 0, &document(5, &rows)), "committed");
    net.run(SEC);
    (net, rows)
}

#[test]
fn a_patch_is_decided_and_read_back_as_one_document() {
    let (mut net, _) = net_with_document(1);
    assert_eq!(submit_patch(&mut net, FRONT, 5, &patch(7, &[("d", 4)], &["a"])), "committed");
    assert_eq!(submit_patch(&mut net, 2, 7, &patch(8, &[("b", 9)], &[])), "committed");
    net.run(SEC);
    let expected = document(8, &[("b", 9), ("c", 3), ("d", 4)]);
    assert_eq!(net.decided(), (3, expected.clone()));
    assert_eq!(net.nodes[FRONT].consensus.state.newest().map(|entry| entry.body.clone()), Some(expected.clone()));
    net.step(
        FRONT,
        Event::SubmitChange {
            request_id: 1,
            change_id: ChangeId(0),
            is_first_send: false,
            base: 0,
            change: Change::ReadNewest,
        },
    );
    assert_eq!(net.wait_for_outcome(1, SEC), format!("{:?}", ChangeOutcome::Content { text: expected }));
    // A document follows a patch, and a patch follows that document.
    assert_eq!(net.submit_and_wait(1, 8, &document(9, &[("x", 1)])), "committed");
    assert_eq!(submit_patch(&mut net, 0, 9, &patch(10, &[("y", 2)], &[])), "committed");
    net.run(SEC);
    assert_eq!(net.decided().1, document(10, &[("x", 1), ("y", 2)]));
}

#[test]
fn patches_have_the_same_outcomes_as_documents() {
    for (name, base, number, put, remove, expected) in [
        ("on another base", 4, 9, vec![("d", 1)], vec![], "stale"),
        ("on a base that never existed", 6, 9, vec![("d", 1)], vec![], "stale"),
        ("a number that is not above its base", 5, 5, vec![("d", 1)], vec![], "invalid"),
        ("an empty patch", 5, 9, vec![], vec![], "invalid"),
        ("removes what is not there", 5, 9, vec![], vec!["z"], "invalid"),
        ("makes an invalid document", 5, 9, vec![("d", 666_666)], vec![], "invalid"),
        ("one with a valid and an invalid row", 5, 9, vec![("d", 1), ("e", 666_666)], vec!["a"], "invalid"),
    ] {
        for node in 0..ALL {
            let (mut net, rows) = net_with_document(2);
            let previous = net.decided();
            assert_eq!(submit_patch(&mut net, node, base, &patch(number, &put, &remove)), expected, "{name} at {node}");
            assert_eq!(net.decided(), previous, "{name} at {node}: nothing changed");
            assert_eq!(previous.1, document(5, &rows));
        }
    }
}

#[test]
fn a_retried_patch_is_acknowledged_again_after_hundreds_of_others() {
    let (mut net, _) = net_with_document(3);
    let first = patch(6, &[("d", 1)], &["a"]);
    assert_eq!(submit_patch(&mut net, 0, 5, &first), "committed");
    for number in 7..250 {
        let node = usize::try_from(number).expect("small") % ALL;
        assert_eq!(submit_patch(&mut net, node, number - 1, &patch(number, &[("d", number)], &[])), "committed");
    }
    for node in 0..ALL {
        assert_eq!(submit_patch(&mut net, node, 5, &first), "committed", "at {node}");
        assert_eq!(submit_patch(&mut net, node, 5, &patch(6, &[("d", 2)], &["a"])), "stale", "another patch at {node}");
    }
}

#[test]
fn of_two_patches_on_one_base_exactly_one_is_committed() {
    for seed in 0..20 {
        for (first, second) in [(0, 1), (2, 2), (FRONT, 0), (FRONT, FRONT)] {
            let (mut net, _) = net_with_document(seed);
            send_patch(&mut net, first, 1, 5, &patch(7, &[("d", 1)], &[]));
            send_patch(&mut net, second, 2, 5, &patch(6, &[("e", 1)], &[]));
            net.run(4 * SEC);
            let outcomes = [net.outcome(1), net.outcome(2)];
            let committed: Vec<_> = outcomes.iter().filter(|outcome| *outcome == "committed").collect();
            assert!(
                committed.len() == 1 && outcomes.contains(&"stale".to_owned()),
                "seed {seed}, at {first} and {second}: {outcomes:?}"
            );
            net.decided();
        }
    }
}

#[test]
fn a_node_that_missed_patches_receives_the_resulting_document() {
    for behind in [0, 1, 2, FRONT] {
        for missed in [1, 5, 200] {
            let (mut net, _) = net_with_document(4);
            net.partitioned.push(behind);
            let other = (0..CORES).find(|i| *i != behind).expect("another core");
            for number in 6..6 + missed {
                assert_eq!(
                    submit_patch(&mut net, other, number - 1, &patch(number, &[("d", number)], &[])),
                    "committed"
                );
            }
            net.partitioned.clear();
            net.run(3 * SEC);
            let body = |i: usize| net.nodes[i].consensus.state.newest().map(|d| d.body.clone());
            assert_eq!(body(behind), body(other), "{behind} missed {missed}");
        }
    }
}

#[test]
fn a_restarted_core_recovers_the_document_from_patches_on_its_disk() {
    let (mut net, _) = net_with_document(5);
    for number in 6..20 {
        assert_eq!(submit_patch(&mut net, 0, number - 1, &patch(number, &[("d", number)], &[])), "committed");
    }
    for i in 0..CORES {
        net.restart(i);
        net.nodes[i].settings.config_reader = read;
    }
    net.run(3 * SEC);
    assert_eq!(submit_patch(&mut net, 1, 19, &patch(20, &[("e", 1)], &["d"])), "committed");
    net.run(SEC);
    assert_eq!(net.decided().1, document(20, &[("a", 1), ("b", 2), ("c", 3), ("e", 1)]));
}

#[test]
fn despite_losses_patches_are_committed_once_and_in_order() {
    for seed in 0..12 {
        let (mut net, _) = net_with_document(seed);
        net.loss_percent = 5;
        let mut number = 5;
        for step in 0..60 {
            let node = usize::try_from(net.rng.next_below(4)).expect("small");
            if step % 9 == 4 {
                net.partitioned = vec![usize::try_from(net.rng.next_below(3)).expect("small")];
            } else if step % 9 == 7 {
                net.partitioned.clear();
            }
            let next = patch(number + 1, &[("d", number)], &[]);
            // While the outcome is unknown, the patch is sent again to other nodes.
            let mut outcome = submit_patch(&mut net, node, number, &next);
            for again in 0..8 {
                if outcome == "committed" {
                    break;
                }
                assert!(outcome != "stale" && outcome != "invalid", "seed {seed}: {outcome} for the only change");
                outcome = submit_patch(&mut net, again % ALL, number, &next);
            }
            assert_eq!(outcome, "committed", "seed {seed}, step {step}");
            number += 1;
        }
        net.loss_percent = 0;
        net.partitioned.clear();
        net.run(4 * SEC);
        let expected = document(number, &[("a", 1), ("b", 2), ("c", 3), ("d", number - 1)]);
        assert_eq!(net.decided().1, expected, "seed {seed}");
    }
}

/// Compares the bytes on the wire for a patch of one row among 1,600 with those for the whole document.
#[test]
fn a_change_of_one_item_among_many_costs_a_tenth_at_most() {
    let names: Vec<String> = (0..1_600).map(|i| format!("row-{i:04}-with-a-name-as-long-as-those-of-routes")).collect();
    let rows: Vec<_> = names.iter().map(|n| (n.as_str(), 1)).collect();
    let bytes = |change: &dyn Fn(&mut SimulatedNetwork) -> String| {
        let mut net = patch_net(6);
        assert_eq!(net.submit_and_wait(0, 0, &document(5, &rows)), "committed");
        net.run(2 * SEC);
        net.entry_bytes = 0;
        assert_eq!(change(&mut net), "committed");
        net.run(SEC);
        assert_eq!(net.nodes[FRONT].version(), Some(2), "it reached the front");
        net.entry_bytes
    };
    let mut changed = rows.clone();
    changed[800].1 = 2;
    let document_bytes = bytes(&|net| net.submit_and_wait(0, 5, &document(6, &changed)));
    let patch_bytes = bytes(&|net| submit_patch(net, 0, 5, &patch(6, &[(rows[800].0, 2)], &[])));
    println!("one row of 1,600: {patch_bytes} bytes as a patch, {document_bytes} as a document");
    assert!(patch_bytes * 10 < document_bytes, "{patch_bytes} of {document_bytes}");
}

#[test]
fn an_entry_without_its_body_needs_the_previous_one() {
    let base = LogEntry { version: 4, body: document(5, &[("a", 1)]), ..entry() };
    let whole = LogEntry {
        version: 5,
        body: document(6, &[("a", 1), ("b", 2)]),
        patch: Some(patch(6, &[("b", 2)], &[])),
        ..entry()
    };
    let stripped = whole.without_body();
    assert!(stripped.lacks_body() && !whole.lacks_body());
    assert_eq!(stripped.clone().with_body_from(&base), Some(whole.clone()));
    assert_eq!(whole.clone().with_body_from(&entry()), Some(whole), "an entry with its body needs no previous one");
    for previous in [entry(), LogEntry { version: 3, ..base.clone() }, LogEntry { version: 5, ..base.clone() }] {
        assert_eq!(stripped.clone().with_body_from(&previous), None, "on {}", previous.version);
    }
    let other = LogEntry { body: "[]".into(), ..base };
    assert_eq!(stripped.with_body_from(&other), None, "on a body that is not a document");
}

fn entry() -> LogEntry {
    LogEntry {
        version: 0,
        change_id: ChangeId(1),
        fleet_id: 7,
        voters_since: 0,
        previous_voters: Vec::new(),
        voters: Vec::new(),
        body: "{}".into(),
        revision: 0,
        patch: None,
        compressed: Vec::new(),
    }
}
