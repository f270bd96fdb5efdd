//! Identifiers of nodes, incarnations, versions and changes.

use musli::{Decode, Encode};
use std::fmt;

/// The ID of a node. A core generates its ID once and stores it on its disk; a front generates a new
/// one at every start. The default, 0, identifies no node.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Default)]
#[musli(transparent)]
pub struct NodeId(pub u64);

/// The incarnation of a node or a worker, which increases at every start.
pub type Incarnation = u64;

/// The version of the configuration, which is its index in the log; the first is 0.
pub type Version = u64;

/// The ID of a change that an operator requested. A change that is sent again with the same ID is
/// applied once.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Default)]
#[musli(transparent)]
pub struct ChangeId(pub u64);

impl NodeId {
    /// Parses the format that `Display` writes: 16 hexadecimal digits.
    pub fn parse(text: &str) -> Option<NodeId> {
        parse_hex(text).map(NodeId)
    }
}

impl ChangeId {
    /// Parses the format that `Display` writes: 16 hexadecimal digits.
    pub fn parse(text: &str) -> Option<ChangeId> {
        parse_hex(text).map(ChangeId)
    }
}

/// Parses 16 hexadecimal digits.
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
