//! The data folder and the creation of the database in it.
//!
//! After a loss of power each file that was created, renamed or removed since the last sync of the
//! folder may be kept or lost independently. So the database is completed and synced under another
//! name and renamed, and the folder is synced before the core makes any promise.

use super::DiskError;
use std::io::ErrorKind;
use std::path::{Path, PathBuf};

/// File name of the database.
pub const DATABASE_FILE: &str = "state.db";
/// File name of a new database until it is complete.
const DRAFT_FILE: &str = "state.db.new";
/// File that is created and removed to check whether the folder can be written.
pub const PROBE_FILE: &str = ".sumacvale-write";
/// File name of `SQLite`'s rollback journal. The database uses a write-ahead log and never has a rollback
/// journal, so a journal that reappears after a loss of power must not be applied to it.
const ROLLBACK_JOURNAL_FILE: &str = "state.db-journal";

/// Classifies the error of a file operation in the folder: [`DiskError::Unwritable`] where the error may
/// pass, [`DiskError::UnusableFolder`] where an operator must act.
pub fn folder_error(dir: &Path, error: &std::io::Error) -> DiskError {
    let folder = dir.display().to_string();
    let reason = error.to_string();
    let permanent =
        [ErrorKind::PermissionDenied, ErrorKind::NotFound, ErrorKind::NotADirectory, ErrorKind::InvalidInput];
    if permanent.contains(&error.kind()) {
        DiskError::UnusableFolder { folder, reason }
    } else {
        DiskError::Unwritable { path: folder, reason }
    }
}

/// Syncs the folder, which makes created, renamed and removed files in it durable.
pub fn sync(dir: &Path) -> Result<(), DiskError> {
    std::fs::File::open(dir).and_then(|file| file.sync_all()).map_err(|error| folder_error(dir, &error))
}

/// Creates the folder where it is missing, removes files of an interrupted start, and returns whether
/// the folder holds a database.
pub fn prepare(dir: &Path) -> Result<bool, DiskError> {
    let to_disk_error = |error: std::io::Error| folder_error(dir, &error);
    if !dir.try_exists().map_err(to_disk_error)? {
        std::fs::create_dir(dir).map_err(to_disk_error)?;
        if let Some(parent) = dir.parent().filter(|path| !path.as_os_str().is_empty()) {
            sync(parent)?;
        }
    }
    let has_database = dir.join(DATABASE_FILE).try_exists().map_err(to_disk_error)?;
    let leftovers = if has_database { vec![dir.join(ROLLBACK_JOURNAL_FILE)] } else { unfinished_files(dir)? };
    for file in leftovers {
        remove(&file).map_err(to_disk_error)?;
    }
    // Also makes durable the files that an earlier incarnation created and did not sync.
    sync(dir)?;
    Ok(has_database)
}

/// Lists the files that an interrupted creation of the database left. A folder with any other file is
/// rejected and not changed.
fn unfinished_files(dir: &Path) -> Result<Vec<PathBuf>, DiskError> {
    let to_disk_error = |error: std::io::Error| folder_error(dir, &error);
    let mut files = Vec::new();
    for entry in std::fs::read_dir(dir).map_err(to_disk_error)? {
        let path = entry.map_err(to_disk_error)?.path();
        let name = path.file_name().and_then(|name| name.to_str()).unwrap_or_default();
        if !name.starts_with(DATABASE_FILE) && name != PROBE_FILE {
            return Err(DiskError::ForeignFolder { folder: dir.display().to_string() });
        }
        if !name.starts_with(DRAFT_FILE) && name != PROBE_FILE {
            tracing::warn!(file = %path.display(), "removing a leftover file whose database is missing; this core starts as a new one");
        }
        files.push(path);
    }
    Ok(files)
}

/// Removes a file if it exists.
fn remove(file: &Path) -> std::io::Result<()> {
    match std::fs::remove_file(file) {
        Err(error) if error.kind() == ErrorKind::NotFound => Ok(()),
        result => result,
    }
}

/// Creates the database by `fill`, completely or not at all.
pub fn create(dir: &Path, fill: impl FnOnce(&Path) -> Result<(), DiskError>) -> Result<(), DiskError> {
    let to_disk_error = |error: std::io::Error| folder_error(dir, &error);
    let draft = dir.join(DRAFT_FILE);
    // SQLite doesn't report why a file can't be created.
    std::fs::File::create(&draft).map_err(to_disk_error)?;
    fill(&draft)?;
    std::fs::File::open(&draft).and_then(|file| file.sync_all()).map_err(to_disk_error)?;
    std::fs::rename(&draft, dir.join(DATABASE_FILE)).map_err(to_disk_error)?;
    sync(dir)
}
