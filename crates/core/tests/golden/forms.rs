//! The packed forms of a version, and a patch.
//!
//! Packed bytes also depend on the compressor. If a new release of it writes other bytes that old
//! nodes can still read, the golden bytes must still be decoded to the same value.

use crate::folder::GoldenFolder;
use crate::values::{body_decree, item, patch};
use sumacvale_core::config::{ListPatch, Patch};
use sumacvale_core::protocol::LogEntry;

/// Enough items for a version that is worth packing.
const LARGE: u64 = 400;

fn large_patch() -> Patch {
    let put = (1..=LARGE).map(|number| item(&format!("pool-{number}"), 500 + number)).collect();
    let pools = ListPatch { list: "pools".into(), put, remove: vec!["old".into()] };
    Patch { number_at: "revision".into(), number: 9_002, lists: vec![pools] }
}

fn large_body() -> String {
    let pools: Vec<String> = (1..=LARGE).map(|number| item(&format!("pool-{number}"), 600 + number).json).collect();
    format!("{{\"revision\":9003,\"pools\":[{}]}}", pools.join(","))
}

/// A version that came by its body alone.
fn large_by_body() -> LogEntry {
    LogEntry { body: large_body(), ..body_decree() }
}

/// A version that came by a patch.
fn large_by_patch() -> LogEntry {
    LogEntry { patch: Some(large_patch()), ..large_by_body() }
}

/// The version as a node receives it, of which only the packed bytes are known.
fn received(packed: &[u8]) -> LogEntry {
    LogEntry { compressed: packed.to_vec(), ..without_content(large_by_body()) }
}

fn without_content(decree: LogEntry) -> LogEntry {
    LogEntry { body: String::new(), patch: None, ..decree }
}

/// Checks one packed form against its golden file, and the version that is made of it.
fn check_packed_form(file_name: &str, encoded: &LogEntry, body: &str, patch: Option<Patch>) {
    assert!(!encoded.compressed.is_empty(), "{file_name}: large enough to be packed");
    let stored = folder().expect_same_bytes(file_name, &encoded.compressed);
    let unpacked = received(&stored).decompress().unwrap_or_else(|| panic!("{file_name}: can't be unpacked"));
    assert_eq!(unpacked.body, body, "{file_name}: the body");
    assert_eq!(unpacked.patch, patch, "{file_name}: the patch");
    let rest = LogEntry { compressed: Vec::new(), ..without_content(unpacked) };
    assert_eq!(rest, without_content(body_decree()), "{file_name}: all that is not packed");
}

fn folder() -> GoldenFolder {
    GoldenFolder::in_crate(env!("CARGO_MANIFEST_DIR"), "tests/golden/forms")
}

const PACKED_BODY: &str = "packed_body.bin";
const PACKED_PATCH: &str = "packed_patch.bin";
const PACKED_BOTH: &str = "packed_body_and_patch.bin";
const PATCH: &str = "patch.bin";

#[test]
fn packed_versions_and_patches_keep_their_golden_bytes() {
    check_packed_form(PACKED_BODY, &large_by_body().compress(), &large_body(), None);
    check_packed_form(PACKED_PATCH, &large_by_patch().compress(), "", Some(large_patch()));
    check_packed_form(PACKED_BOTH, &large_by_patch().self_contained_compressed(), &large_body(), Some(large_patch()));
    check_patch();
    folder().expect_only([PACKED_BODY, PACKED_PATCH, PACKED_BOTH, PATCH].into_iter());
}

fn check_patch() {
    let encoded = musli::wire::to_vec(&patch()).expect("the patch can be encoded");
    let stored = folder().expect_same_bytes(PATCH, &encoded);
    let decoded: Patch = musli::wire::from_slice(&stored).expect("the patch can be decoded");
    assert_eq!(decoded, patch());
    assert_eq!(musli::wire::to_vec(&decoded).expect("the patch can be encoded again"), stored);
}
