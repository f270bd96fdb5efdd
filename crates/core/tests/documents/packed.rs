//! Versions in packed form: what they hold, and who can take them apart.

use super::net::{CORES, FRONT, Net};
use super::nodes::doc;
use sumacvale_core::base::{ChangeId, SEC};
use sumacvale_core::config::{Item, ListPatch, Patch};
use sumacvale_core::protocol::LogEntry;

fn decree(body: String, patch: Option<Patch>) -> LogEntry {
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
fn a_packed_version_is_the_same_version() {
    let before = LogEntry { version: 4, ..decree("{\"revision\":1}".into(), None) };
    for (name, count, by_patch) in [
        ("a small document", 2, false),
        ("a large document", 1_600, false),
        ("a small patch", 2, true),
        ("a large patch", 1_600, true),
    ] {
        let whole = decree(document(count), by_patch.then(|| patch(count))).compress();
        for told in [whole.without_body(), whole.self_contained(), whole.self_contained_compressed()] {
            let made = told.clone().with_body_from(&before).expect(name);
            let same = (made.version, &made.body, made.revision) == (whole.version, &whole.body, whole.revision);
            assert!(same && made.patch == whole.patch, "{name}");
            // What it is told by next is the same again.
            assert_eq!(made.without_body().with_body_from(&before).map(|d| d.body), Some(whole.body.clone()), "{name}");
        }
        let large = count > 100;
        assert_eq!(
            whole.without_body().size() * 4 < whole.body.len(),
            large,
            "{name}: {}",
            whole.without_body().size()
        );
        assert_eq!(
            whole.self_contained_compressed().size() * 4 < whole.body.len(),
            large,
            "{name}: one who holds none before it"
        );
    }
}

#[test]
fn what_is_no_packed_version_is_refused() {
    let good = decree(document(1_600), None).compress().without_body();
    for (name, packed) in [
        ("cut short", good.compressed[..good.compressed.len() / 2].to_vec()),
        ("other bytes", vec![7; 100]),
        ("a bomb", miniz_oxide::deflate::compress_to_vec(&vec![0; 64 << 20], 3)),
    ] {
        assert_eq!(LogEntry { compressed: packed, ..good.clone() }.decompress(), None, "{name}");
    }
}

/// What goes to the nodes of a zone for a large document is a fraction of it.
#[test]
fn a_large_document_goes_packed_to_cores_and_fronts() {
    let large = |revision: u64| {
        let pools: Vec<_> = (0..1_600).map(|i| format!("\"pool-{i}-of-the-fleet\":{{}}")).collect();
        format!("{{\"revision\":{revision},\"pools\":{{{}}}}}", pools.join(","))
    };
    let mut net = Net::new(31);
    assert_eq!(net.put_soon(0, 0, &doc(1, "a")), "done");
    net.run(SEC);
    net.bytes = 0;
    assert_eq!(net.put_soon(1, 1, &large(2)), "done");
    net.run(SEC);
    let size = large(2).len();
    println!("a document of {size} bytes: {} bytes to {CORES} cores and a front", net.bytes);
    assert!(net.bytes < size, "{} of {size}", net.bytes);
    assert_eq!(net.nodes[FRONT].consensus.state.newest().map(|d| d.body.clone()), Some(large(2)));
    // A core that lost its disk, and a front that starts, get it so too.
    net.wipe(2);
    net.start(FRONT);
    net.run(3 * SEC);
    assert_eq!(net.held().1, large(2));
    assert_eq!(net.nodes[FRONT].consensus.state.newest().map(|d| d.body.clone()), Some(large(2)));
}
