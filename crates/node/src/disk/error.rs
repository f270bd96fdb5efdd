//! Errors of the data folder and of the database in it.

use displaydoc::Display;

/// Why the data folder of a core can't be used.
#[derive(Debug, Display, thiserror::Error)]
pub enum DiskError {
    /// {folder}: can't be used: {reason}; mend the folder's rights or its disk
    UnusableFolder {
        /// Path of the data folder.
        folder: String,
        /// The error of the operating system.
        reason: String,
    },
    /// {folder}: holds other files and no state.db; name an empty folder or the right one
    ForeignFolder {
        /// Path of the data folder.
        folder: String,
    },
    /// {folder}: is not a data folder of sumacvale, or of another form ({reason}); name the right folder, or use the release that wrote it
    UnsupportedFormat {
        /// Path of the data folder.
        folder: String,
        /// How the file differs from the format that this release reads.
        reason: String,
    },
    /// {folder}: is damaged ({reason}); move the folder away, start with an empty one, and admit this machine as a new core
    Corrupt {
        /// Path of the data folder.
        folder: String,
        /// What failed its check.
        reason: String,
    },
    /// {folder}: is in use by another process; stop that one, or name another folder
    InUse {
        /// Path of the data folder.
        folder: String,
    },
    /// the disk failed: {0}; free some room or replace the disk
    Sqlite(#[from] rusqlite::Error),
    /// {path}: takes no writes now ({reason}); free some room or replace the disk
    Unwritable {
        /// Path of the folder or file.
        path: String,
        /// The error of the operating system.
        reason: String,
    },
}

impl DiskError {
    /// Whether the error may pass without an operator, as when the disk is full: the caller may
    /// retry.
    #[must_use]
    pub fn is_transient(&self) -> bool {
        match self {
            DiskError::Unwritable { .. } => true,
            DiskError::Sqlite(error) => is_transient_sqlite_error(error),
            _ => false,
        }
    }
}

/// Whether `SQLite` reports a disk in trouble rather than a file with wrong content.
pub(super) fn is_transient_sqlite_error(error: &rusqlite::Error) -> bool {
    use rusqlite::ErrorCode::{CannotOpen, DiskFull, OutOfMemory, ReadOnly, SystemIoFailure};
    let code = error.sqlite_error_code();
    matches!(code, Some(CannotOpen | DiskFull | OutOfMemory | ReadOnly | SystemIoFailure))
}
