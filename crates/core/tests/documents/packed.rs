//! Compressed log entries: restoring their content, and their size on the wire.

use super::net::{CORES, FRONT, SimulatedNetwork};
use super::nodes::pool_document;
use sumacvale_core::base::{ChangeId, SEC};
use sumacvale_core::config::{Item, ListPatch, Patch};
use sumacvale_core::protocol::LogEntry;

fn entry(body: String, patch: Option<Patch>) -> LogEntry {
    LogEntry {
        version: 5,
        change_id: ChangeId(1),
        fleet_id: 7,
        voters_since: 0,
        previous_voters: Vec::new(),
        voters: Vec::new(),
        body,
        revision: 9,
        patch,
        compressed: Vec::new(),
    }
}

fn rows(count: u64) -> Vec<Item> {
    let name = |i: u64| format!("row-{i}-of-those-that-a-large-fleet-has");
    (0..count).map(|i| Item { name: name(i), json: format!("{{\"name\":\"{}\",\"what\":{i}}}", name(i)) }).collect()
}

fn patch(count: u64) -> Patch {
    let lists = vec![ListPatch { list: "rows".into(), put: rows(count), remove: Vec::new() }];
    Patch { number_at: "revision".into(), number: 9, lists }
}

fn document(count: u64) -> String {
    patch(count).apply("{\"revision\":1}").expect("a document")
}

#[test]
fn a_compressed_entry_restores_the_same_entry() {
    let previous = LogEntry { version: 4, ..entry("{\"revision\":1}".into(), None) };
    for (name, count, is_patch) in [
        ("a small document", 2, false),
        ("a large document", 1_600, false),
        ("a small patch", 2, true),
        ("a large patch", 1_600, true),
    ] {
        let whole = entry(document(count), is_patch.then(|| patch(count))).compress();
        for sent in [whole.without_body(), whole.self_contained(), whole.self_contained_compressed()] {
            let restored = sent.clone().with_body_from(&previous).expect(name);
            let is_same =
                (restored.version, &restored.body, restored.revision) == (whole.version, &whole.body, whole.revision);
            assert!(is_same && restored.patch == whole.patch, "{name}");
            // The restored entry can be sent to a further node, which restores the same body.
            assert_eq!(
                restored.without_body().with_body_from(&previous).map(|d| d.body),
                Some(whole.body.clone()),
                "{name}"
            );
        }
        let is_large = count > 100;
        assert_eq!(
            whole.without_body().size() * 4 < whole.body.len(),
            is_large,
            "{name}: {}",
            whole.without_body().size()
        );
        assert_eq!(
            whole.self_contained_compressed().size() * 4 < whole.body.len(),
            is_large,
            "{name}: for nodes without the previous version"
        );
    }
}

#[test]
fn bytes_that_are_not_a_compressed_entry_are_rejected() {
    let valid = entry(document(1_600), None).compress().without_body();
    for (name, compressed) in [
        ("truncated", valid.compressed[..valid.compressed.len() / 2].to_vec()),
        ("other bytes", vec![7; 100]),
        ("a decompression bomb", miniz_oxide::deflate::compress_to_vec(&vec![0; 64 << 20], 3)),
    ] {
        assert_eq!(LogEntry { compressed, ..valid.clone() }.decompress(), None, "{name}");
    }
}

/// A large document must cost fewer bytes on the wire, to all nodes together, than the document itself has.
#[test]
fn a_large_document_is_sent_compressed_to_all_nodes() {
    let large = |revision: u64| {
        let pools: Vec<_> = (0..1_600).map(|i| format!("\"pool-{i}-of-the-fleet\":{{}}")).collect();
        format!("{{\"revision\":{revision},\"pools\":{{{}}}}}", pools.join(","))
    };
    let mut net = SimulatedNetwork::new(31);
    assert_eq!(net.submit_and_wait(0, 0, &pool_document(1, "a")), "committed");
    net.run(SEC);
    net.entry_bytes = 0;
    assert_eq!(net.submit_and_wait(1, 1, &large(2)), "committed");
    net.run(SEC);
    let size = large(2).len();
    println!("a document of {size} bytes: {} bytes to {CORES} cores and a front", net.entry_bytes);
    assert!(net.entry_bytes < size, "{} of {size}", net.entry_bytes);
    assert_eq!(net.nodes[FRONT].consensus.state.newest().map(|d| d.body.clone()), Some(large(2)));
    // A core that lost its disk and a restarted node without a vote receive the document too.
    net.lose_disk(2);
    net.restart(FRONT);
    net.run(3 * SEC);
    assert_eq!(net.decided().1, large(2));
    assert_eq!(net.nodes[FRONT].consensus.state.newest().map(|d| d.body.clone()), Some(large(2)));
}
