//! Compression of large log entries, on the wire and on disk.
//!
//! The core that proposes an entry compresses it once; all other nodes forward the compressed bytes.

use super::LogEntry;
use crate::config::Patch;
use miniz_oxide::deflate::compress_to_vec;
use miniz_oxide::inflate::decompress_to_vec_with_limit;
use musli::{Decode, Encode};

/// The minimum size of content that is compressed, in bytes.
const MIN_COMPRESSED_SIZE: usize = 8 << 10;
/// The maximum size of decompressed content, in bytes.
const MAX_CONTENT_BYTES: usize = 16 << 20;
/// The compression level, from 0 to 10. Documents are repetitive text: higher levels hardly make them
/// smaller.
const COMPRESSION_LEVEL: u8 = 3;

/// The part of an entry that is compressed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
struct Content {
    body: Option<String>,
    patch: Option<Patch>,
}

impl Content {
    /// Returns the compressed bytes; empty if the content cannot be encoded.
    fn to_compressed(&self) -> Vec<u8> {
        let bytes = musli::wire::to_vec(self).unwrap_or_default();
        if bytes.is_empty() { bytes } else { compress_to_vec(&bytes, COMPRESSION_LEVEL) }
    }
}

impl LogEntry {
    /// Adds the compressed form to the entry, if its content is large enough.
    pub fn compress(mut self) -> LogEntry {
        let content = match &self.patch {
            Some(patch) if patch.size() >= MIN_COMPRESSED_SIZE => Content { patch: Some(patch.clone()), body: None },
            None if self.body.len() >= MIN_COMPRESSED_SIZE => Content { patch: None, body: Some(self.body.clone()) },
            _ => return self,
        };
        self.compressed = content.to_compressed();
        self
    }

    /// Restores the content of an entry from its compressed form, if the entry came without its content. Returns
    /// `None` if the compressed form cannot be decoded.
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
            // Nodes that hold the previous version need only the patch.
            self.compressed = Vec::new();
            return Some(self.compress());
        }
        Some(self)
    }

    /// Returns the entry for a node that may lack the previous version: with its body and the patch that
    /// produced it, in compressed form if the body is large enough.
    pub fn self_contained_compressed(&self) -> LogEntry {
        if self.body.len() < MIN_COMPRESSED_SIZE || self.patch.is_none() {
            return self.self_contained();
        }
        let compressed = Content { body: Some(self.body.clone()), patch: self.patch.clone() }.to_compressed();
        LogEntry { compressed, ..LogEntry { body: String::new(), patch: None, ..self.clone() } }
    }
}
