//! Freshness of the configuration: the time since this node's version was confirmed as the newest of all.
//!
//! A node admits calls only while its confirmation is at most [`MAX_CONFIRMATION_AGE`] old. The age of a confirmation
//! counts from the sending of its probe, so a confirmation never claims more than the replies prove.

use crate::base::{MS, Micros, NodeId, SEC, Version};
use std::collections::{BTreeMap, BTreeSet};

/// The greatest age of a valid confirmation, in microseconds (4 s): a node with an older confirmation admits no calls.
pub const MAX_CONFIRMATION_AGE: Micros = 4 * SEC;
/// The interval between two freshness probes of a voter, in microseconds (500 ms).
pub const PROBE_INTERVAL: Micros = 500 * MS;

/// A freshness probe that still collects replies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenProbe {
    /// When the probe was sent, in microseconds of this node's clock.
    pub sent_at: Micros,
    /// The version to confirm: the newest version of this node when the probe was sent.
    pub version: Version,
    /// The voters that hold the same version and have accepted no entry for the next one.
    pub confirmed_by: BTreeSet<NodeId>,
}

impl OpenProbe {
    /// Creates a probe for this version that is sent now.
    pub fn new(version: Version, now: Micros) -> Self {
        OpenProbe { sent_at: now, version, confirmed_by: BTreeSet::new() }
    }
}

/// The last confirmation of this node's version as the newest, and the probes in flight.
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    /// The version that was last confirmed, and when its probe was sent, in microseconds of this node's clock.
    /// Invariant: this time never decreases.
    pub confirmed: Option<(Version, Micros)>,
    /// The sequence number of the newest probe. Invariant: at least every key of `open_probes`.
    pub last_probe: u64,
    /// Probes that still collect replies, by sequence number.
    pub open_probes: BTreeMap<u64, OpenProbe>,
    /// When the next regular probe is due, in microseconds of this node's clock.
    pub next_probe_at: Micros,
}

impl Freshness {
    /// Records that a probe that was sent at `sent_at` confirmed a version. An older confirmation than the known one
    /// has no effect.
    pub fn confirm(&mut self, version: Version, sent_at: Micros) {
        if self.confirmed.is_none_or(|confirmed| sent_at > confirmed.1) {
            self.confirmed = Some((version, sent_at));
        }
    }

    /// Returns when the probe that confirmed this version or an earlier one as the newest was sent, in microseconds of
    /// this node's clock, or `None` if there is no such confirmation.
    pub fn confirmed_at(&self, version: Option<Version>) -> Option<Micros> {
        let (confirmed_version, sent_at) = self.confirmed?;
        version.is_some_and(|version| version >= confirmed_version).then_some(sent_at)
    }

    /// Returns whether this version may be served now.
    pub fn is_fresh(&self, version: Option<Version>, now: Micros) -> bool {
        self.confirmed_at(version).is_some_and(|confirmed_at| is_fresh_at(confirmed_at, now))
    }
}

/// Returns whether a confirmation whose probe was sent at `confirmed_at` is still valid at `now`.
pub fn is_fresh_at(confirmed_at: Micros, now: Micros) -> bool {
    now.saturating_sub(confirmed_at) <= MAX_CONFIRMATION_AGE
}
