//! The digests of decided versions: what lets a core answer an order that was taken long ago.

use crate::base::{ChangeId, Version};
use crate::protocol::{Change, EntryDigest};
use std::collections::BTreeSet;

/// How many versions are remembered by their digest: more than a day of 15,000 changes.
pub const MAX_DIGESTS: usize = 20_000;

/// Digests in the order of their versions; versions may be missing anywhere.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DigestLog {
    digests: Vec<EntryDigest>,
    by_change: BTreeSet<(ChangeId, Version)>,
}

/// What the digests say of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeStatus {
    /// It became this version.
    Decided(Version),
    /// Its id stands for another change.
    IdReused,
    /// No digest that is held bears its id.
    Unknown,
}

impl DigestLog {
    /// How many digests are held.
    pub fn len(&self) -> usize {
        self.digests.len()
    }

    /// Whether none is held.
    pub fn is_empty(&self) -> bool {
        self.digests.is_empty()
    }

    /// All digests, the lowest version first.
    pub fn as_slice(&self) -> &[EntryDigest] {
        &self.digests
    }

    /// The digest of a version, where it is held.
    pub fn get(&self, version: Version) -> Option<&EntryDigest> {
        let at = self.digests.binary_search_by_key(&version, |d| d.version).ok()?;
        self.digests.get(at)
    }

    /// Takes digests in; what is held already stays. Says which were new.
    pub fn insert_all(&mut self, more: impl IntoIterator<Item = EntryDigest>) -> Vec<EntryDigest> {
        let floor = self.lowest_kept_version();
        let fresh: Vec<_> = more.into_iter().filter(|d| d.version >= floor && self.get(d.version).is_none()).collect();
        let last = self.digests.last().map(|d| d.version);
        let sorted = fresh.is_sorted_by(|a, b| a.version < b.version);
        let appends = sorted && fresh.first().is_none_or(|d| last.is_none_or(|v| v < d.version));
        self.digests.extend(&fresh);
        if !appends {
            self.digests.sort_by_key(|d| d.version);
            self.digests.dedup_by_key(|d| d.version);
        }
        self.by_change.extend(fresh.iter().map(|d| (d.change_id, d.version)));
        self.trim();
        fresh
    }

    /// The lowest version that is remembered, given the newest.
    pub fn lowest_kept_version(&self) -> Version {
        let newest = self.digests.last().map_or(0, |d| d.version);
        (newest + 1).saturating_sub(MAX_DIGESTS as u64)
    }

    fn trim(&mut self) {
        let floor = self.lowest_kept_version();
        let old = self.digests.partition_point(|d| d.version < floor);
        for d in self.digests.drain(..old) {
            self.by_change.remove(&(d.change_id, d.version));
        }
    }

    /// What became of the change with this id.
    pub fn status_of(&self, change_id: ChangeId, change: &Change) -> ChangeStatus {
        let mut known = ChangeStatus::Unknown;
        for d in self.with_id(change_id) {
            if d.matches(change) {
                return ChangeStatus::Decided(d.version);
            }
            known = ChangeStatus::IdReused;
        }
        known
    }

    /// The versions that a change with this id became.
    pub fn with_id(&self, change_id: ChangeId) -> impl Iterator<Item = &EntryDigest> {
        let all = self.by_change.range((change_id, 1)..=(change_id, Version::MAX));
        all.filter_map(|(_, version)| self.get(*version))
    }

    /// The version that was decided right on top of version `base`, if it is held.
    pub fn after_version(&self, base: Version) -> Option<&EntryDigest> {
        self.get(base.checked_add(1)?)
    }

    /// The version that ended the time of the document with number `base`. None where the
    /// versions round that moment are not all held: then nothing can be said.
    pub fn after_revision(&self, base: u64) -> Option<&EntryDigest> {
        let at = self.digests.partition_point(|d| d.revision <= base);
        let next = self.digests.get(at)?;
        let before = self.digests.get(at.checked_sub(1)?)?;
        (before.version + 1 == next.version).then_some(next)
    }

    /// The highest run of versions below the newest that is missing here.
    pub fn newest_gap(&self) -> Option<(Version, Version)> {
        let floor = self.lowest_kept_version();
        let newest = self.digests.last()?.version;
        if self.digests.len() as u64 == newest + 1 - floor {
            return None;
        }
        let gap = self.digests.windows(2).rev().find(|w| w[0].version + 1 < w[1].version);
        if let Some(w) = gap {
            return Some((w[0].version + 1, w[1].version - 1));
        }
        let first = self.digests.first()?.version;
        (first > floor).then(|| (floor, first - 1))
    }

    /// Up to `most` digests of the versions `from` to `to`, the newest of them.
    pub fn chunk(&self, from: Version, to: Version, most: usize) -> Vec<EntryDigest> {
        let end = self.digests.partition_point(|d| d.version <= to);
        let start = self.digests.partition_point(|d| d.version < from);
        let start = start.max(end.saturating_sub(most));
        self.digests.get(start..end).unwrap_or_default().to_vec()
    }
}
