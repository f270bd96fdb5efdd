//! Golden files of the compressed forms of a log entry, and of a patch.
//!
//! Compressed bytes also depend on the compressor. If a new release of the compressor writes other bytes that
//! old nodes can still read, the golden bytes must still be decoded to the same value.

use crate::folder::GoldenFolder;
use crate::values::{body_decree, item, patch};
use sumacvale_core::config::{ListPatch, Patch};
use sumacvale_core::protocol::LogEntry;

/// A number of items that makes an entry large enough to be compressed.
const LARGE_ITEM_COUNT: u64 = 400;

fn large_patch() -> Patch {
    let put = (1..=LARGE_ITEM_COUNT).map(|number| item(&format!("pool-{number}"), 500 + number)).collect();
    let pools = ListPatch { list: "pools".into(), put, remove: vec!["old".into()] };
    Patch { number_at: "revision".into(), number: 9_002, lists: vec![pools] }
}

fn large_body() -> String {
    let pools: Vec<String> =
        (1..=LARGE_ITEM_COUNT).map(|number| item(&format!("pool-{number}"), 600 + number).json).collect();
    format!("{{\"revision\":9003,\"pools\":[{}]}}", pools.join(","))
}

/// An entry that came as a body.
fn large_body_entry() -> LogEntry {
    LogEntry { body: large_body(), ..body_decree() }
}

/// An entry that came as a patch.
fn large_patch_entry() -> LogEntry {
    LogEntry { patch: Some(large_patch()), ..large_body_entry() }
}

/// The entry as a node receives it: with its compressed bytes only.
fn received_entry(compressed: &[u8]) -> LogEntry {
    LogEntry { compressed: compressed.to_vec(), ..without_content(large_body_entry()) }
}

fn without_content(entry: LogEntry) -> LogEntry {
    LogEntry { body: String::new(), patch: None, ..entry }
}

/// Checks one compressed form against its golden file, and the entry that is decompressed from the file.
fn check_compressed_form(file_name: &str, encoded: &LogEntry, body: &str, patch: Option<Patch>) {
    assert!(!encoded.compressed.is_empty(), "{file_name}: large enough to be compressed");
    let stored = folder().expect_same_bytes(file_name, &encoded.compressed);
    let decompressed =
        received_entry(&stored).decompress().unwrap_or_else(|| panic!("{file_name}: cannot be decompressed"));
    assert_eq!(decompressed.body, body, "{file_name}: the body");
    assert_eq!(decompressed.patch, patch, "{file_name}: the patch");
    let rest = LogEntry { compressed: Vec::new(), ..without_content(decompressed) };
    assert_eq!(rest, without_content(body_decree()), "{file_name}: all fields that are not compressed");
}

fn folder() -> GoldenFolder {
    GoldenFolder::in_crate(env!("CARGO_MANIFEST_DIR"), "tests/golden/forms")
}

const COMPRESSED_BODY_FILE: &str = "packed_body.bin";
const COMPRESSED_PATCH_FILE: &str = "packed_patch.bin";
const COMPRESSED_BODY_AND_PATCH_FILE: &str = "packed_body_and_patch.bin";
const PATCH_FILE: &str = "patch.bin";

#[test]
fn compressed_entries_and_patches_keep_their_golden_bytes() {
    check_compressed_form(COMPRESSED_BODY_FILE, &large_body_entry().compress(), &large_body(), None);
    check_compressed_form(COMPRESSED_PATCH_FILE, &large_patch_entry().compress(), "", Some(large_patch()));
    check_compressed_form(
        COMPRESSED_BODY_AND_PATCH_FILE,
        &large_patch_entry().self_contained_compressed(),
        &large_body(),
        Some(large_patch()),
    );
    check_patch();
    folder().expect_only(
        [COMPRESSED_BODY_FILE, COMPRESSED_PATCH_FILE, COMPRESSED_BODY_AND_PATCH_FILE, PATCH_FILE].into_iter(),
    );
}

fn check_patch() {
    let encoded = musli::wire::to_vec(&patch()).expect("the patch can be encoded");
    let stored = folder().expect_same_bytes(PATCH_FILE, &encoded);
    let decoded: Patch = musli::wire::from_slice(&stored).expect("the patch can be decoded");
    assert_eq!(decoded, patch());
    assert_eq!(musli::wire::to_vec(&decoded).expect("the patch can be encoded again"), stored);
}
