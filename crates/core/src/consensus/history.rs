//! The history: the newest versions with their bodies, bounded in number and in bytes.

use crate::base::Version;
use crate::protocol::LogEntry;
use std::collections::BTreeMap;

/// The maximum number of versions that a core retains with their bodies, for reads of the history and for
/// nodes that are behind.
pub const MAX_HISTORY_ENTRIES: usize = 64;
/// The maximum size of the bodies of these versions, in bytes. The newest version is retained whatever its
/// size.
pub const MAX_HISTORY_BYTES: usize = 16 << 20;

/// Returns the lowest version that is retained with its body, given all versions and their body sizes in
/// bytes, the newest first.
pub fn lowest_retained_version(sizes: impl Iterator<Item = (Version, usize)>) -> Version {
    let mut lowest = Version::MAX;
    let mut bytes = 0;
    for (count, (version, size)) in sizes.enumerate() {
        bytes += size;
        let fits = count < MAX_HISTORY_ENTRIES && bytes <= MAX_HISTORY_BYTES;
        if count > 0 && !fits {
            break;
        }
        lowest = version;
    }
    lowest
}

/// Removes the oldest versions until the history is within its bounds.
pub fn trim_history(history: &mut BTreeMap<Version, LogEntry>) {
    let lowest = lowest_retained_version(history.values().rev().map(|entry| (entry.version, entry.body.len())));
    while history.first_key_value().is_some_and(|(version, _)| *version < lowest) {
        history.pop_first();
    }
}
