//! What lookups find: plain data of both layers.

use crate::base::Micros;

/// A value, or the knowledge that there is none, and which layer had it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Found<V> {
    pub value: Option<V>,
    /// 1, 2 and 3 by the layer that had it; 4 for a stale value.
    pub level: u8,
}

/// The right to fetch one key.
#[derive(Debug, PartialEq, Eq)]
pub struct Lock {
    pub(super) n: u64,
}

/// What the shared layer knows of a key.
#[derive(Debug)]
pub enum Look<V> {
    Hit {
        val: Option<V>,
        end: Micros,
        level: u8,
    },
    Lead(Lock),
    Wait,
    /// Nothing is known and nothing was to be fetched.
    None,
}

/// An entry that was looked at without being used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peek<V> {
    /// Below nought for a stale value.
    pub left: i128,
    pub val: Option<V>,
}
