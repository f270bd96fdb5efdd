//! Identifiers of nodes, incarnations, versions and changes.

use musli::{Decode, Encode};
use std::fmt;

/// The id of a node. A core draws it once and keeps it on its disk; a front draws one at every start.
/// The default, 0, names no node.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Default)]
#[musli(transparent)]
pub struct NodeId(pub u64);

/// The incarnation of a node or a worker: every start has a greater one.
pub type Incarnation = u64;

/// The version of the configuration, which is its index in the log; the first is 0.
pub type Version = u64;

/// The id of one change that an operator requested: a change is idempotent by it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Default)]
#[musli(transparent)]
pub struct ChangeId(pub u64);

impl NodeId {
    /// Reads the form that `Display` writes: 16 hexadecimal digits.
    pub fn parse(text: &str) -> Option<NodeId> {
        parse_hex(text).map(NodeId)
    }
}

impl ChangeId {
    /// Reads the form that `Display` writes: 16 hexadecimal digits.
    pub fn parse(text: &str) -> Option<ChangeId> {
        parse_hex(text).map(ChangeId)
    }
}

/// Reads 16 hexadecimal digits.
fn parse_hex(text: &str) -> Option<u64> {
    u64::from_str_radix(text, 16).ok().filter(|_| text.len() == 16)
}

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Debug for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:04x}", self.0 >> 48)
    }
}

impl fmt::Display for ChangeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Debug for ChangeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "c{:04x}", self.0 >> 48)
    }
}
