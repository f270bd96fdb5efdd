//! Whether a node may serve: how long ago its version was confirmed as the newest.

use crate::base::{MS, Micros, NodeId, SEC, Version};
use std::collections::{BTreeMap, BTreeSet};

/// A node whose stamp is older admits nothing.
pub const MAX_AGE: Micros = 4 * SEC;
/// How often voters are asked.
pub const EVERY: Micros = 500 * MS;

/// When this node's version was last known to be the newest.
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    pub confirmed: Option<(Version, Micros)>,
    pub last_probe: u64,
    pub open_probes: BTreeMap<u64, (Micros, Version, BTreeSet<NodeId>)>,
    pub probe_due: Micros,
}

impl Freshness {
    /// A stamp counts from the moment that its asker sent for it.
    pub fn confirm(&mut self, v: Version, at: Micros) {
        if self.confirmed.is_none_or(|s| at > s.1) {
            self.confirmed = Some((v, at));
        }
    }

    /// When the question was sent by which this version was confirmed.
    pub fn confirmed_at(&self, v: Option<Version>) -> Option<Micros> {
        self.confirmed.filter(|s| v.is_some_and(|v| v >= s.0)).map(|s| s.1)
    }

    /// Whether this version may be served now.
    pub fn is_fresh(&self, v: Option<Version>, now: Micros) -> bool {
        self.confirmed_at(v).is_some_and(|t| is_fresh_at(t, now))
    }
}

/// Whether a question sent then confirms anything now.
pub fn is_fresh_at(t: Micros, now: Micros) -> bool {
    now.saturating_sub(t) <= MAX_AGE
}
