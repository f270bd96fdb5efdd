//! The bodies of the newest versions, bounded by their number and by their bytes.

use crate::base::Version;
use crate::protocol::LogEntry;
use std::collections::BTreeMap;

/// How many versions a core keeps whole, for its history and for nodes that are behind.
pub const MAX_HISTORY_ENTRIES: usize = 64;
/// How many bytes the bodies of these versions have at most; the newest stays whatever its size.
pub const MAX_HISTORY_BYTES: usize = 16 << 20;

/// The lowest version that is kept whole, of versions and sizes that are listed newest first.
pub fn lowest_kept_version(sizes: impl Iterator<Item = (Version, usize)>) -> Version {
    let mut floor = Version::MAX;
    let mut bytes = 0;
    for (count, (version, size)) in sizes.enumerate() {
        bytes += size;
        let room = count < MAX_HISTORY_ENTRIES && bytes <= MAX_HISTORY_BYTES;
        if count > 0 && !room {
            break;
        }
        floor = version;
    }
    floor
}

/// Drops the oldest versions that are beyond the bounds.
pub fn trim_history(history: &mut BTreeMap<Version, LogEntry>) {
    let floor = lowest_kept_version(history.values().rev().map(|d| (d.version, d.body.len())));
    while history.first_key_value().is_some_and(|(version, _)| *version < floor) {
        history.pop_first();
    }
}
