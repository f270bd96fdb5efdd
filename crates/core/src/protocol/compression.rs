//! Compression of large log entries, on the wire and on disk.
//!
//! An entry is compressed once, by the core that proposes it; all others pass the compressed bytes on.

use super::LogEntry;
use crate::config::Patch;
use miniz_oxide::deflate::compress_to_vec;
use miniz_oxide::inflate::decompress_to_vec_with_limit;
use musli::{Decode, Encode};

/// Content of fewer bytes is not compressed.
const MIN_COMPRESSED_SIZE: usize = 8 << 10;
/// The most bytes that compressed content may have once it is decompressed.
const MAX_CONTENT_BYTES: usize = 16 << 20;
/// The effort of the compression, of 0 to 10: documents are repetitive text, and more effort hardly makes
/// them smaller.
const COMPRESSION_LEVEL: u8 = 3;

/// The compressed content of an entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
struct Content {
    body: Option<String>,
    patch: Option<Patch>,
}

impl Content {
    /// The compressed bytes; empty if the content cannot be encoded.
    fn to_compressed(&self) -> Vec<u8> {
        let bytes = musli::wire::to_vec(self).unwrap_or_default();
        if bytes.is_empty() { bytes } else { compress_to_vec(&bytes, COMPRESSION_LEVEL) }
    }
}

impl LogEntry {
    /// The entry with its compressed form added, if its content is large enough.
    pub fn compress(mut self) -> LogEntry {
        let content = match &self.patch {
            Some(patch) if patch.size() >= MIN_COMPRESSED_SIZE => Content { patch: Some(patch.clone()), body: None },
            None if self.body.len() >= MIN_COMPRESSED_SIZE => Content { patch: None, body: Some(self.body.clone()) },
            _ => return self,
        };
        self.compressed = content.to_compressed();
        self
    }

    /// The entry with its content restored from the compressed form, if it came without; none if that form
    /// cannot be decoded.
    pub fn decompress(mut self) -> Option<LogEntry> {
        if !self.body.is_empty() || self.compressed.is_empty() {
            return Some(self);
        }
        let bytes = decompress_to_vec_with_limit(&self.compressed, MAX_CONTENT_BYTES).ok()?;
        let Content { body, patch } = musli::wire::from_slice(&bytes).ok()?;
        let has_both = body.is_some() && patch.is_some();
        self.body = body.unwrap_or_default();
        self.patch = patch;
        if has_both {
            // Nodes that hold the previous version need the patch alone.
            self.compressed = Vec::new();
            return Some(self.compress());
        }
        Some(self)
    }

    /// The entry for a node that may hold no previous version: its body in compressed form, if it is large
    /// enough, with the patch that made it.
    pub fn self_contained_compressed(&self) -> LogEntry {
        if self.body.len() < MIN_COMPRESSED_SIZE || self.patch.is_none() {
            return self.self_contained();
        }
        let compressed = Content { body: Some(self.body.clone()), patch: self.patch.clone() }.to_compressed();
        LogEntry { compressed, ..LogEntry { body: String::new(), patch: None, ..self.clone() } }
    }
}
