//! The log of digests of decided versions, which identifies a change long after its body was dropped.
//!
//! A change is identified by its identifier and its content, so a retry of a decided change is recognized
//! for as long as its digest is retained. Lookups that depend on missing digests return no result.

use crate::base::{ChangeId, Version};
use crate::protocol::{Change, EntryDigest};
use std::collections::BTreeSet;

/// The maximum number of retained digests: more than a day of 15,000 changes.
pub const MAX_DIGESTS: usize = 20_000;

/// The digests of decided versions, sorted by version; any version may be missing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DigestLog {
    /// Invariant: sorted by version without duplicates, none below [`DigestLog::lowest_retained_version`].
    digests: Vec<EntryDigest>,
    /// Index of `digests` by change identifier. Invariant: one entry for each digest.
    by_change: BTreeSet<(ChangeId, Version)>,
}

/// The status of a change according to the retained digests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeStatus {
    /// The change was decided as this version.
    Decided(Version),
    /// The identifier belongs to another change, which was decided.
    IdReused,
    /// No retained digest has the identifier of the change.
    Unknown,
}

impl DigestLog {
    /// Returns the number of retained digests.
    pub fn len(&self) -> usize {
        self.digests.len()
    }

    /// Returns true if no digest is retained.
    pub fn is_empty(&self) -> bool {
        self.digests.is_empty()
    }

    /// Returns all digests, the lowest version first.
    pub fn as_slice(&self) -> &[EntryDigest] {
        &self.digests
    }

    /// Returns the digest of a version, if it is retained.
    pub fn get(&self, version: Version) -> Option<&EntryDigest> {
        let index = self.digests.binary_search_by_key(&version, |digest| digest.version).ok()?;
        self.digests.get(index)
    }

    /// Inserts the digests of versions that are neither present nor too old, and returns the inserted
    /// digests. Of several digests of one version the first is inserted.
    pub fn insert_missing(&mut self, digests: impl IntoIterator<Item = EntryDigest>) -> Vec<EntryDigest> {
        let lowest = self.lowest_retained_version();
        let mut versions = BTreeSet::new();
        let mut is_new = |digest: &EntryDigest| {
            digest.version >= lowest && self.get(digest.version).is_none() && versions.insert(digest.version)
        };
        let mut inserted = Vec::new();
        inserted.extend(digests.into_iter().filter(|digest| is_new(digest)));
        let last = self.digests.last().map(|digest| digest.version);
        let is_sorted = inserted.is_sorted_by(|left, right| left.version < right.version);
        let is_appended =
            is_sorted && inserted.first().is_none_or(|first| last.is_none_or(|last| last < first.version));
        self.digests.extend(&inserted);
        if !is_appended {
            self.digests.sort_by_key(|digest| digest.version);
        }
        self.by_change.extend(inserted.iter().map(|digest| (digest.change_id, digest.version)));
        self.trim();
        inserted
    }

    /// Returns the lowest version that may be retained, given the newest version in the log.
    pub fn lowest_retained_version(&self) -> Version {
        let newest = self.digests.last().map_or(0, |digest| digest.version);
        (newest + 1).saturating_sub(MAX_DIGESTS as u64)
    }

    /// Removes the digests below the lowest version that may be retained.
    fn trim(&mut self) {
        let lowest = self.lowest_retained_version();
        let expired = self.digests.partition_point(|digest| digest.version < lowest);
        for digest in self.digests.drain(..expired) {
            self.by_change.remove(&(digest.change_id, digest.version));
        }
    }

    /// Returns the status of the change with this identifier and content.
    pub fn status_of(&self, change_id: ChangeId, change: &Change) -> ChangeStatus {
        let mut status = ChangeStatus::Unknown;
        for digest in self.with_id(change_id) {
            if digest.matches(change) {
                return ChangeStatus::Decided(digest.version);
            }
            status = ChangeStatus::IdReused;
        }
        status
    }

    /// Returns the digests of the changes with this identifier, the lowest version first.
    pub fn with_id(&self, change_id: ChangeId) -> impl Iterator<Item = &EntryDigest> {
        let versions = self.by_change.range((change_id, 1)..=(change_id, Version::MAX));
        versions.filter_map(|(_, version)| self.get(*version))
    }

    /// Returns the digest of the version directly after version `base`, if it is retained.
    pub fn after_version(&self, base: Version) -> Option<&EntryDigest> {
        self.get(base.checked_add(1)?)
    }

    /// Returns the digest of the version that replaced the document with revision `base`. Returns `None`
    /// unless that version and the one before it are both retained, since a missing version may be the one
    /// that replaced the document.
    pub fn after_revision(&self, base: u64) -> Option<&EntryDigest> {
        let index = self.digests.partition_point(|digest| digest.revision <= base);
        let next = self.digests.get(index)?;
        let previous = self.digests.get(index.checked_sub(1)?)?;
        (previous.version + 1 == next.version).then_some(next)
    }

    /// Returns the highest range of missing versions below the newest, as its first and last version.
    pub fn newest_gap(&self) -> Option<(Version, Version)> {
        let lowest = self.lowest_retained_version();
        let newest = self.digests.last()?.version;
        if self.digests.len() as u64 == newest + 1 - lowest {
            return None;
        }
        let gap = self.digests.windows(2).rev().find(|pair| pair[0].version + 1 < pair[1].version);
        if let Some(pair) = gap {
            return Some((pair[0].version + 1, pair[1].version - 1));
        }
        let first = self.digests.first()?.version;
        (first > lowest).then(|| (lowest, first - 1))
    }

    /// Returns the newest digests of the versions `from` to `to`, at most `max_digests` of them.
    pub fn chunk(&self, from: Version, to: Version, max_digests: usize) -> Vec<EntryDigest> {
        let end = self.digests.partition_point(|digest| digest.version <= to);
        let start = self.digests.partition_point(|digest| digest.version < from);
        let start = start.max(end.saturating_sub(max_digests));
        self.digests.get(start..end).unwrap_or_default().to_vec()
    }
}
