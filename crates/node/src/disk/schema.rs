//! The tables of a core's database, its application id and its format version.
//!
//! The names of tables and columns never change, since folders of earlier releases have them. They are
//! documented beside the SQL and not in it, because `SQLite` stores the text of each `CREATE TABLE`.

use super::DiskError;
use rusqlite::{Connection, params};
use std::path::Path;
use sumacvale_core::base::NodeId;

/// `SQLite`'s `application_id` of the file: "SUMA" in ASCII.
pub(super) const APPLICATION_ID: i32 = 0x5355_4D41;
/// Version of the file format, in `meta.form`.
pub(super) const FORMAT_VERSION: i64 = 1;
/// Size in bytes to which `SQLite` truncates the write-ahead log after a checkpoint.
const MAX_WAL_BYTES: usize = 4 << 20;

/// Creates a new database in `file`, with a write-ahead log as its permanent journal mode.
///
/// Tables and columns:
///
/// - `meta`: one row about this core. `one`: always 1, which prevents a second row. `form`: the
///   version of the file format. `nid`: the node id, as 8 bytes big-endian. `life`: the incarnation
///   number, which counts the starts of this core. `ready`: the configuration of voters whose
///   predecessor's quota grants this core has taken over, named by the log index that began it; null
///   before the first.
/// - `decree`: the newest log entries, each a whole version of the configuration. `ver`: the log index.
///   `body`: the encoded `LogEntry` and its checksum.
/// - `vote`: the durable state of this core as a voter (acceptor). `what`: `pledge`, the set of cores
///   that this core voted for at bootstrap; `promise`, the highest ballot that it promised and for which
///   log index; `accept`, the last proposal that it accepted and by which ballot. `body`: the encoded
///   value and its checksum.
/// - `epoch`: the highest epoch (fencing token) of each lease that this core voted for. `duty`: the
///   number of the lease, a shard of the tenants. `epoch`: its epoch.
/// - `quota`: how much of the newest quota window of each tenant was granted to each node. `tenant`: the
///   tenant. `nid`: the node id, as above. `win`: the number of the window. `cum`: the cumulative units
///   granted to that node in it.
///
/// [`create_later_tables`] creates the other tables.
pub(super) fn create(file: &Path, node_id: NodeId) -> Result<(), DiskError> {
    let mut connection = Connection::open(file)?;
    connection.execute_batch("PRAGMA journal_mode=WAL; PRAGMA synchronous=FULL;")?;
    let transaction = connection.transaction()?;
    transaction.execute_batch(&format!(
        "PRAGMA application_id={APPLICATION_ID};
         CREATE TABLE meta (one INTEGER PRIMARY KEY CHECK (one = 1), form INTEGER NOT NULL, nid BLOB NOT NULL, life INTEGER NOT NULL, ready INTEGER);
         CREATE TABLE decree (ver INTEGER PRIMARY KEY, body BLOB NOT NULL);
         CREATE TABLE vote (what TEXT PRIMARY KEY, body BLOB NOT NULL);
         CREATE TABLE epoch (duty INTEGER PRIMARY KEY, epoch INTEGER NOT NULL);
         CREATE TABLE quota (tenant TEXT NOT NULL, nid BLOB NOT NULL, win INTEGER NOT NULL, cum INTEGER NOT NULL, PRIMARY KEY (tenant, nid));"
    ))?;
    transaction
        .execute("INSERT INTO meta VALUES (1, ?1, ?2, 0, NULL)", params![FORMAT_VERSION, node_id.0.to_be_bytes()])?;
    transaction.commit()?;
    // Only this file is renamed, so it must contain the whole write-ahead log.
    let busy: i64 = connection.query_row("PRAGMA wal_checkpoint(TRUNCATE)", [], |row| row.get(0))?;
    connection.close().map_err(|(_, error)| error)?;
    if busy == 0 {
        return Ok(());
    }
    Err(DiskError::Unwritable {
        path: file.display().to_string(),
        reason: "the write-ahead log could not be merged into the file".into(),
    })
}

/// Creates the tables that folders of the first releases don't have.
///
/// Tables and columns, as for [`create`]:
/// - `life`: the registered incarnations of nodes that may hold shares of rate limits. `nid`: the
///   node id. `inc`: the incarnation number, as a signed integer of the same bits. `addr`: the
///   address at which it is reached.
/// - `digest`: hashes of log entries, also of those whose bodies are no longer kept, by which a
///   repeated request is recognised. `ver`: the log index. `body`: the encoded `EntryDigest` and its
///   checksum.
/// - `removal`: the workers that drain or have left, so that no late report returns them to service after a
///   restart. `worker`: the worker's id. `body`: the encoded `WorkerReport` and its checksum.
pub(super) fn create_later_tables(connection: &Connection) -> rusqlite::Result<()> {
    connection.execute_batch(
        "CREATE TABLE IF NOT EXISTS life (nid BLOB NOT NULL, inc INTEGER NOT NULL, addr TEXT NOT NULL, PRIMARY KEY (nid, inc));
             CREATE TABLE IF NOT EXISTS digest (ver INTEGER PRIMARY KEY, body BLOB NOT NULL);
             CREATE TABLE IF NOT EXISTS removal (worker TEXT PRIMARY KEY, body BLOB NOT NULL);",
    )
}

/// Locks the file for this process and sets its durability: each commit is synced.
pub(super) fn lock(connection: &Connection) -> rusqlite::Result<()> {
    connection.execute_batch(&format!(
        "PRAGMA locking_mode=EXCLUSIVE; PRAGMA journal_mode=WAL; PRAGMA synchronous=FULL; PRAGMA busy_timeout=0;
             PRAGMA journal_size_limit={MAX_WAL_BYTES}; BEGIN IMMEDIATE; COMMIT;"
    ))
}
