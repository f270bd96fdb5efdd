//! The database of a core, whose commits are durable as a whole or have no effect.

use super::error::is_transient_sqlite_error;
use super::record::{self, StoredAccept, StoredBootstrapVote, StoredPromise};
use super::schema::{self, APPLICATION_ID, FORMAT_VERSION};
use super::{DiskError, folder, load};
use rusqlite::{Connection, Transaction, params};
use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;
use sumacvale_core::base::{Incarnation, NodeId, Version};
use sumacvale_core::consensus::{DurableState, DurableWrite, MAX_DIGESTS, lowest_retained_version};
use sumacvale_core::protocol::{EntryDigest, LogEntry, RegisteredIncarnation, WindowGrant, WorkerReport};

/// Pause between attempts to open the database while the disk takes no writes.
const OPEN_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// The open database of a core, locked for this process until it is dropped.
pub struct Database {
    connection: Connection,
    /// Path of the data folder, for error messages.
    folder: String,
    /// Size in bytes of the body of each stored log entry. Invariant: one element for each row of `decree`.
    entry_sizes: BTreeMap<Version, usize>,
}

impl Database {
    /// Opens the database as [`Database::open`] does, but retries while the disk is full or fails: a
    /// core can't vote before its new incarnation is stored, and if it exited, it would only be restarted.
    ///
    /// # Errors
    /// Those of [`Database::open`] that are not transient.
    pub fn open_when_writable(
        dir: &Path,
        new_node_id: NodeId,
    ) -> Result<(Database, DurableState, Incarnation), DiskError> {
        let mut was_logged = false;
        loop {
            match Database::open(dir, new_node_id) {
                Err(error) if error.is_transient() => {
                    if !was_logged {
                        tracing::error!(error = %error, "the disk takes no writes; this core waits for it and does not vote");
                    }
                    was_logged = true;
                    std::thread::sleep(OPEN_RETRY_INTERVAL);
                }
                result => {
                    if was_logged && result.is_ok() {
                        tracing::info!("the disk takes writes; this core starts");
                    }
                    return result;
                }
            }
        }
    }

    /// Opens the folder, or creates the database where the folder is empty, and counts this start as
    /// a new incarnation. `new_node_id` is the id of a core whose database is created here.
    ///
    /// # Errors
    /// A [`DiskError`] where the folder can't be used, is locked, or fails its checks.
    pub fn open(dir: &Path, new_node_id: NodeId) -> Result<(Database, DurableState, Incarnation), DiskError> {
        let path = dir.display().to_string();
        if !folder::prepare(dir)? {
            folder::create(dir, |draft| schema::create(draft, new_node_id))?;
        }
        let connection = Connection::open(dir.join(folder::DATABASE_FILE))?;
        let mut database = Database { connection, folder: path, entry_sizes: BTreeMap::new() };
        database.lock()?;
        database.verify()?;
        schema::create_later_tables(&database.connection)?;
        let state = load::load(&database.connection, &database.folder)?;
        database.store_missing_digests(&state)?;
        database.entry_sizes = state.entries.values().map(|entry| (entry.version, entry.body.len())).collect();
        let incarnation = database.count_incarnation()?;
        Ok((database, state, incarnation))
    }

    /// Stores and returns the number of this incarnation. The transaction is explicit, because a failed
    /// commit is not reported for a statement that returns a row and commits by itself.
    fn count_incarnation(&mut self) -> Result<Incarnation, DiskError> {
        let transaction = self.connection.transaction()?;
        let incarnation: i64 =
            transaction.query_row("UPDATE meta SET life = life + 1 RETURNING life", [], |row| row.get(0))?;
        transaction.commit()?;
        Ok(Incarnation::try_from(incarnation).unwrap_or(1))
    }

    /// Stores the digests of the log entries where there are none, as in folders of earlier releases.
    fn store_missing_digests(&mut self, state: &DurableState) -> Result<(), DiskError> {
        let stored: i64 = self.connection.query_row("SELECT COUNT(*) FROM digest", [], |row| row.get(0))?;
        if stored > 0 || state.digests.is_empty() {
            return Ok(());
        }
        self.commit([DurableWrite::Digests(state.digests.as_slice().to_vec())].iter())
    }

    /// Locks the database for this process.
    fn lock(&mut self) -> Result<(), DiskError> {
        use rusqlite::ErrorCode::{DatabaseBusy, DatabaseCorrupt, DatabaseLocked, NotADatabase};
        schema::lock(&self.connection).map_err(|error| match error.sqlite_error_code() {
            Some(DatabaseBusy | DatabaseLocked) => DiskError::InUse { folder: self.folder.clone() },
            Some(NotADatabase) => self.unsupported("not an SQLite file"),
            Some(DatabaseCorrupt) => self.corrupt(error.to_string()),
            _ => DiskError::Sqlite(error),
        })
    }

    fn unsupported(&self, reason: impl Into<String>) -> DiskError {
        DiskError::UnsupportedFormat { folder: self.folder.clone(), reason: reason.into() }
    }

    fn corrupt(&self, reason: impl Into<String>) -> DiskError {
        DiskError::Corrupt { folder: self.folder.clone(), reason: reason.into() }
    }

    /// Checks the application id, the integrity of the file and its format version.
    fn verify(&self) -> Result<(), DiskError> {
        let application_id: i32 = self.query_value("PRAGMA application_id")?;
        if application_id != APPLICATION_ID {
            return Err(self.unsupported("its application id is not that of sumacvale"));
        }
        let integrity: String = self.query_value("PRAGMA integrity_check")?;
        if integrity != "ok" {
            return Err(self.corrupt(integrity));
        }
        let format: i64 = self.query_value("SELECT form FROM meta")?;
        if format != FORMAT_VERSION {
            return Err(
                self.unsupported(format!("format version {format}, this release reads version {FORMAT_VERSION}"))
            );
        }
        Ok(())
    }

    /// Returns the single value of a query; an error that is not transient means a corrupt file.
    fn query_value<T: rusqlite::types::FromSql>(&self, sql: &str) -> Result<T, DiskError> {
        self.connection.query_row(sql, [], |row| row.get(0)).map_err(|error| {
            if is_transient_sqlite_error(&error) { DiskError::Sqlite(error) } else { self.corrupt(error.to_string()) }
        })
    }

    /// Commits all writes in one transaction and returns once they are synced to disk.
    ///
    /// # Errors
    /// [`DiskError::Sqlite`]; none of the writes has an effect then, and the call may be retried.
    pub fn commit<'a>(&mut self, writes: impl Iterator<Item = &'a DurableWrite>) -> Result<(), DiskError> {
        let mut entry_sizes = self.entry_sizes.clone();
        let transaction = self.connection.transaction()?;
        for write in writes {
            apply(&transaction, write, &mut entry_sizes)?;
        }
        transaction.commit()?;
        self.entry_sizes = entry_sizes;
        Ok(())
    }
}

/// Converts to the signed integers of `SQLite`; larger values become `i64::MAX`.
fn to_sql_integer(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}

/// Applies one write within the transaction.
fn apply(
    transaction: &Transaction,
    write: &DurableWrite,
    entry_sizes: &mut BTreeMap<Version, usize>,
) -> Result<(), DiskError> {
    match write {
        DurableWrite::BootstrapVote(voters) => {
            put_vote(transaction, "pledge", record::encode(&StoredBootstrapVote { voters: voters.clone() })?)
        }
        DurableWrite::Promise { instance, ballot } => {
            let promise = StoredPromise { instance: *instance, ballot: *ballot };
            put_vote(transaction, "promise", record::encode(&promise)?)
        }
        DurableWrite::Accept { ballot, entry } => {
            let accept = StoredAccept { ballot: *ballot, entry: entry.self_contained() };
            put_vote(transaction, "accept", record::encode(&accept)?)
        }
        DurableWrite::Commit(entry) => append_entry(transaction, entry, entry_sizes),
        DurableWrite::Digests(digests) => digests.iter().try_for_each(|digest| put_digest(transaction, digest)),
        DurableWrite::Epoch { role, epoch } => {
            transaction
                .prepare_cached("INSERT OR REPLACE INTO epoch VALUES (?1, ?2)")?
                .execute(params![role, to_sql_integer(*epoch)])?;
            Ok(())
        }
        DurableWrite::Ready(version) => {
            transaction.prepare_cached("UPDATE meta SET ready = ?1")?.execute(params![to_sql_integer(*version)])?;
            Ok(())
        }
        DurableWrite::Register(incarnations) => register(transaction, incarnations),
        DurableWrite::Deregister(incarnations) => deregister(transaction, incarnations),
        DurableWrite::Grant(grant) => put_grant(transaction, grant),
        DurableWrite::Removal(report) => put_removal(transaction, report),
        DurableWrite::ForgetRemovals(worker_ids) => delete_removals(transaction, worker_ids),
    }
}

/// Stores part of the state of this voter: a bootstrap vote, a promise or an accepted proposal.
fn put_vote(transaction: &Transaction, key: &str, body: Vec<u8>) -> Result<(), DiskError> {
    transaction.prepare_cached("INSERT OR REPLACE INTO vote VALUES (?1, ?2)")?.execute(params![key, body])?;
    Ok(())
}

fn put_digest(transaction: &Transaction, digest: &EntryDigest) -> Result<(), DiskError> {
    transaction
        .prepare_cached("INSERT OR IGNORE INTO digest VALUES (?1, ?2)")?
        .execute(params![to_sql_integer(digest.version), record::encode(digest)?])?;
    Ok(())
}

/// Stores a committed log entry and its digest, and deletes the oldest entries and digests beyond the
/// limits of the history.
fn append_entry(
    transaction: &Transaction,
    entry: &LogEntry,
    entry_sizes: &mut BTreeMap<Version, usize>,
) -> Result<(), DiskError> {
    put_digest(transaction, &EntryDigest::of(entry))?;
    transaction
        .prepare_cached("INSERT OR REPLACE INTO decree VALUES (?1, ?2)")?
        .execute(params![to_sql_integer(entry.version), record::encode(&entry.self_contained())?])?;
    entry_sizes.insert(entry.version, entry.body.len());
    let lowest_kept = lowest_retained_version(entry_sizes.iter().rev().map(|(version, size)| (*version, *size)));
    entry_sizes.retain(|version, _| *version >= lowest_kept);
    transaction.prepare_cached("DELETE FROM decree WHERE ver < ?1")?.execute([to_sql_integer(lowest_kept)])?;
    transaction
        .prepare_cached("DELETE FROM digest WHERE ver <= (SELECT MAX(ver) FROM digest) - ?1")?
        .execute([to_sql_integer(MAX_DIGESTS as u64)])?;
    Ok(())
}

/// Stores incarnations that are registered.
fn register(transaction: &Transaction, incarnations: &[RegisteredIncarnation]) -> Result<(), DiskError> {
    let mut insert = transaction.prepare_cached("INSERT OR REPLACE INTO life VALUES (?1, ?2, ?3)")?;
    for registered in incarnations {
        let node_id = registered.node_id.0.to_be_bytes();
        insert.execute(params![node_id, registered.incarnation.cast_signed(), registered.addr])?;
    }
    Ok(())
}

/// Deletes incarnations that are no longer registered.
fn deregister(transaction: &Transaction, incarnations: &[(NodeId, Incarnation)]) -> Result<(), DiskError> {
    let mut delete = transaction.prepare_cached("DELETE FROM life WHERE nid = ?1 AND inc = ?2")?;
    for (node_id, incarnation) in incarnations {
        delete.execute(params![node_id.0.to_be_bytes(), incarnation.cast_signed()])?;
    }
    Ok(())
}

/// Stores the report of a worker that drains or has left.
fn put_removal(transaction: &Transaction, report: &WorkerReport) -> Result<(), DiskError> {
    transaction
        .prepare_cached("INSERT OR REPLACE INTO removal VALUES (?1, ?2)")?
        .execute(params![report.worker_id, record::encode(report)?])?;
    Ok(())
}

/// Deletes the removals of workers.
fn delete_removals(transaction: &Transaction, worker_ids: &[String]) -> Result<(), DiskError> {
    let mut delete = transaction.prepare_cached("DELETE FROM removal WHERE worker = ?1")?;
    for worker_id in worker_ids {
        delete.execute([worker_id])?;
    }
    Ok(())
}

/// Stores a grant of the newest window and deletes grants of the tenant's earlier windows.
fn put_grant(transaction: &Transaction, grant: &WindowGrant) -> Result<(), DiskError> {
    let window = to_sql_integer(grant.window);
    transaction
        .prepare_cached("DELETE FROM quota WHERE tenant = ?1 AND win < ?2")?
        .execute(params![grant.tenant, window])?;
    transaction.prepare_cached("INSERT OR REPLACE INTO quota VALUES (?1, ?2, ?3, ?4)")?.execute(params![
        grant.tenant,
        grant.node_id.0.to_be_bytes(),
        window,
        to_sql_integer(grant.granted_total)
    ])?;
    Ok(())
}
