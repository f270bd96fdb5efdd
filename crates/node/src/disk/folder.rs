//! The data folder and the birth of its one file.
//!
//! After a loss of power each file that was made, renamed or removed since the last sync of the
//! folder may be kept or lost by itself. So the database is made whole under another name, synced,
//! renamed, and the folder is synced before anything is promised.

use super::DiskError;
use std::io::ErrorKind;
use std::path::{Path, PathBuf};

/// The database of a core.
pub const DATABASE_FILE: &str = "state.db";
/// What becomes the database once it is whole.
const DRAFT_FILE: &str = "state.db.new";
/// Made and removed to see whether the folder can be written.
pub const PROBE_FILE: &str = ".sumacvale-write";
/// A rollback journal, which the database has never had; one that came back is another life's.
const ROLLBACK_JOURNAL_FILE: &str = "state.db-journal";

/// An error of the folder: one that the disk may get over, or one that somebody must mend.
pub fn folder_error(dir: &Path, e: &std::io::Error) -> DiskError {
    let at = dir.display().to_string();
    let settled = [ErrorKind::PermissionDenied, ErrorKind::NotFound, ErrorKind::NotADirectory, ErrorKind::InvalidInput];
    if settled.contains(&e.kind()) {
        DiskError::UnusableFolder(at, e.to_string())
    } else {
        DiskError::Unwritable(at, e.to_string())
    }
}

/// Makes the names in a folder durable.
pub fn sync(dir: &Path) -> Result<(), DiskError> {
    std::fs::File::open(dir).and_then(|d| d.sync_all()).map_err(|e| folder_error(dir, &e))
}

/// Makes the folder where it is missing, and says whether it holds a database.
pub fn prepare(dir: &Path) -> Result<bool, DiskError> {
    let io = |e: std::io::Error| folder_error(dir, &e);
    if !dir.try_exists().map_err(io)? {
        std::fs::create_dir(dir).map_err(io)?;
        if let Some(parent) = dir.parent().filter(|p| !p.as_os_str().is_empty()) {
            sync(parent)?;
        }
    }
    let held = dir.join(DATABASE_FILE).try_exists().map_err(io)?;
    let leftovers = if held { vec![dir.join(ROLLBACK_JOURNAL_FILE)] } else { unfinished(dir)? };
    for file in leftovers {
        remove(&file).map_err(io)?;
    }
    // Also what an earlier life made and didn't live to sync.
    sync(dir)?;
    Ok(held)
}

/// What an attempt to make the database left. The folder of somebody else is not touched.
fn unfinished(dir: &Path) -> Result<Vec<PathBuf>, DiskError> {
    let io = |e: std::io::Error| folder_error(dir, &e);
    let mut files = Vec::new();
    for entry in std::fs::read_dir(dir).map_err(io)? {
        let path = entry.map_err(io)?.path();
        let name = path.file_name().and_then(|n| n.to_str()).unwrap_or_default();
        if !name.starts_with(DATABASE_FILE) && name != PROBE_FILE {
            return Err(DiskError::ForeignFolder(dir.display().to_string()));
        }
        if !name.starts_with(DRAFT_FILE) && name != PROBE_FILE {
            tracing::warn!(file = %path.display(), "left without its database; this core starts as a new one");
        }
        files.push(path);
    }
    Ok(files)
}

fn remove(file: &Path) -> std::io::Result<()> {
    match std::fs::remove_file(file) {
        Err(e) if e.kind() == ErrorKind::NotFound => Ok(()),
        r => r,
    }
}

/// Makes the database by `fill`, whole or not at all.
pub fn create(dir: &Path, fill: impl FnOnce(&Path) -> Result<(), DiskError>) -> Result<(), DiskError> {
    let io = |e: std::io::Error| folder_error(dir, &e);
    let draft = dir.join(DRAFT_FILE);
    // SQLite doesn't say why a file can't be made.
    std::fs::File::create(&draft).map_err(io)?;
    fill(&draft)?;
    std::fs::File::open(&draft).and_then(|f| f.sync_all()).map_err(io)?;
    std::fs::rename(&draft, dir.join(DATABASE_FILE)).map_err(io)?;
    sync(dir)
}
