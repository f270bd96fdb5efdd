//! The history: the newest versions with their bodies, bounded by their number and by their bytes.

use crate::base::Version;
use crate::protocol::LogEntry;
use std::collections::BTreeMap;

/// How many versions a core keeps with their bodies, for its history and for nodes that are behind.
pub const MAX_HISTORY_ENTRIES: usize = 64;
/// How many bytes the bodies of these versions have at most; the newest is kept whatever its size.
pub const MAX_HISTORY_BYTES: usize = 16 << 20;

/// The lowest version that is kept with its body, given versions and body sizes in bytes, newest first.
pub fn lowest_kept_version(sizes: impl Iterator<Item = (Version, usize)>) -> Version {
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

/// Removes the oldest versions that are beyond the bounds.
pub fn trim_history(history: &mut BTreeMap<Version, LogEntry>) {
    let lowest = lowest_kept_version(history.values().rev().map(|entry| (entry.version, entry.body.len())));
    while history.first_key_value().is_some_and(|(version, _)| *version < lowest) {
        history.pop_first();
    }
}
