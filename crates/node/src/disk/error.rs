//! Errors of the data folder and of the database in it.

use displaydoc::Display;

/// Why the data folder of a core can't be used.
#[derive(Debug, Display, thiserror::Error)]
pub enum DiskError {
    /// {folder}: can't be used: {reason}; correct the folder's permissions or repair its disk
    UnusableFolder {
        /// Path of the data folder.
        folder: String,
        /// The error of the operating system.
        reason: String,
    },
    /// {folder}: contains other files but no state.db; name an empty folder or the data folder of this core
    ForeignFolder {
        /// Path of the data folder.
        folder: String,
    },
    /// {folder}: is not a data folder of sumacvale or has an unsupported format ({reason}); name the right folder, or use the release that wrote it
    UnsupportedFormat {
        /// Path of the data folder.
        folder: String,
        /// How the file differs from the format that this release reads.
        reason: String,
    },
    /// {folder}: is corrupt ({reason}); move the folder away, start with an empty one, and add this machine as a new core
    Corrupt {
        /// Path of the data folder.
        folder: String,
        /// The check that failed.
        reason: String,
    },
    /// {folder}: is locked by another process; stop that process, or name another folder
    InUse {
        /// Path of the data folder.
        folder: String,
    },
    /// the disk failed: {0}; free disk space or replace the disk
    Sqlite(#[from] rusqlite::Error),
    /// {path}: takes no writes now ({reason}); free disk space or replace the disk
    Unwritable {
        /// Path of the folder or file.
        path: String,
        /// The error of the operating system.
        reason: String,
    },
}

impl DiskError {
    /// Whether the error may pass without an operator, as when the disk is full; the caller may retry.
    #[must_use]
    pub fn is_transient(&self) -> bool {
        match self {
            DiskError::Unwritable { .. } => true,
            DiskError::Sqlite(error) => is_transient_sqlite_error(error),
            _ => false,
        }
    }
}

/// Whether `SQLite` reports a failure of the disk rather than invalid content of the file.
pub(super) fn is_transient_sqlite_error(error: &rusqlite::Error) -> bool {
    use rusqlite::ErrorCode::{CannotOpen, DiskFull, OutOfMemory, ReadOnly, SystemIoFailure};
    let code = error.sqlite_error_code();
    matches!(code, Some(CannotOpen | DiskFull | OutOfMemory | ReadOnly | SystemIoFailure))
}
