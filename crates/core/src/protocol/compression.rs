//! Large versions in a packed form: what goes over the wires and to the disks.
//!
//! A version is packed once, by the core that proposes it; everyone else hands the packed bytes on.

use super::LogEntry;
use crate::config::Patch;
use miniz_oxide::deflate::compress_to_vec;
use miniz_oxide::inflate::decompress_to_vec_with_limit;
use musli::{Decode, Encode};

/// Less than this goes as it is.
const SMALL: usize = 8 << 10;
/// Packed bytes that hold more than this are no version.
const MOST: usize = 16 << 20;
/// Documents are repetitive text: more effort hardly makes them smaller.
const LEVEL: u8 = 3;

/// What is packed of a version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
struct Content {
    body: Option<String>,
    patch: Option<Patch>,
}

impl Content {
    /// Its bytes packed; none where they could not be written.
    fn pack(&self) -> Vec<u8> {
        let bytes = musli::wire::to_vec(self).unwrap_or_default();
        if bytes.is_empty() { bytes } else { compress_to_vec(&bytes, LEVEL) }
    }
}

impl LogEntry {
    /// The same with its packed form beside it, where that is worth it.
    pub fn compress(mut self) -> LogEntry {
        let content = match &self.patch {
            Some(patch) if patch.size() >= SMALL => Content { patch: Some(patch.clone()), body: None },
            None if self.body.len() >= SMALL => Content { patch: None, body: Some(self.body.clone()) },
            _ => return self,
        };
        self.compressed = content.pack();
        self
    }

    /// Takes the packed form apart where the version came so; none where it is no version.
    pub fn decompress(mut self) -> Option<LogEntry> {
        if !self.body.is_empty() || self.compressed.is_empty() {
            return Some(self);
        }
        let bytes = decompress_to_vec_with_limit(&self.compressed, MOST).ok()?;
        let Content { body, patch } = musli::wire::from_slice(&bytes).ok()?;
        let both = body.is_some() && patch.is_some();
        self.body = body.unwrap_or_default();
        self.patch = patch;
        if both {
            // Who holds the version before it needs the patch alone.
            self.compressed = Vec::new();
            return Some(self.compress());
        }
        Some(self)
    }

    /// For one who holds no version before it: its body in packed form, where that is worth it,
    /// and the patch that made it.
    pub fn self_contained_compressed(&self) -> LogEntry {
        if self.body.len() < SMALL || self.patch.is_none() {
            return self.self_contained();
        }
        let packed = Content { body: Some(self.body.clone()), patch: self.patch.clone() }.pack();
        LogEntry { compressed: packed, ..LogEntry { body: String::new(), patch: None, ..self.clone() } }
    }
}
