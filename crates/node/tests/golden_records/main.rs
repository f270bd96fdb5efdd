//! Golden files: the content of a core's disk must stay readable and byte for byte the same, whatever is
//! renamed in the code.
//!
//! - `records/*.bin` are the encoded records of the database with their checksums.
//! - `records/database-with-removals.sql` is the whole database as SQL: its tables and all rows, including those
//!   that are not encoded records, such as grants and incarnations.
//! - `records/database.sql` is the same of the releases that had no table of removals.
//!
//! The tests write to a real database and compare its content with the golden files. They also create a
//! database from the golden files and compare the state read from it with the state that was written.
//!
//! For a new record, add a `DurableWrite` to `writes` and a line to `RECORDS`, and run
//! `GOLDEN_WRITE=1 cargo test -p sumacvale-node --test golden_records`. The command creates missing files
//! and never overwrites an existing one. A failure for an existing file means that a new release can't
//! read the disk of an old one, so restore the encoding.

#[path = "../../../core/tests/golden/folder.rs"]
mod folder;
#[path = "../../../core/tests/golden/values.rs"]
#[allow(dead_code, reason = "shared with the golden frames, which use more of it")]
mod values;

use folder::GoldenFolder;
use rusqlite::Connection;
use rusqlite::types::Value;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use sumacvale_core::base::NodeId;
use sumacvale_core::consensus::{DurableState, DurableWrite};
use sumacvale_core::protocol::{LogEntry, WindowGrant};
use sumacvale_node::disk::Database;
use values::{ballot, body_decree, core, digest, full_decree, grant, life, removal_report, worker_report};

const NODE: NodeId = NodeId(0xD15C_0000_0000_0077);
/// The golden file that holds the whole database.
const DATABASE: &str = "database-with-removals.sql";
/// The golden file that holds the whole database of the releases without a table of removals.
const DATABASE_WITHOUT_REMOVALS: &str = "database.sql";
/// The golden record that the releases without a table of removals don't have.
const REMOVAL: &str = "removal.bin";

/// Each golden record, and the query that reads it from the database.
const RECORDS: &[(&str, &str)] = &[
    ("decree-body.bin", "SELECT body FROM decree WHERE ver = 1101"),
    ("decree-patch.bin", "SELECT body FROM decree WHERE ver = 1102"),
    ("digest.bin", "SELECT body FROM digest WHERE ver = 3601"),
    ("digest-of_decree.bin", "SELECT body FROM digest WHERE ver = 1101"),
    ("promise.bin", "SELECT body FROM vote WHERE what = 'promise'"),
    ("accept.bin", "SELECT body FROM vote WHERE what = 'accept'"),
    ("pledge.bin", "SELECT body FROM vote WHERE what = 'pledge'"),
    (REMOVAL, "SELECT body FROM removal WHERE worker = 'worker-2'"),
];

/// A log entry committed by a patch; the disk holds its body and the patch, but no compressed body.
fn patched_entry() -> LogEntry {
    LogEntry { version: 1_102, compressed: Vec::new(), ..full_decree() }
}

/// Writes of every kind that add something to the disk.
fn writes() -> Vec<DurableWrite> {
    vec![
        DurableWrite::BootstrapVote(vec![core(11), core(12)]),
        DurableWrite::Promise { instance: 4_001, ballot: ballot(4_002) },
        DurableWrite::Accept { ballot: ballot(4_003), entry: LogEntry { version: 1_103, ..patched_entry() } },
        DurableWrite::Commit(body_decree()),
        DurableWrite::Commit(patched_entry()),
        DurableWrite::Digests(vec![digest(1)]),
        DurableWrite::Epoch { role: 4_004, epoch: 4_005 },
        DurableWrite::Grant(grant_on_disk(1)),
        DurableWrite::Grant(grant_on_disk(2)),
        DurableWrite::Ready(4_006),
        DurableWrite::Register(vec![life(1), life(2)]),
        DurableWrite::Removal(worker_report()),
        DurableWrite::Removal(removal_report()),
    ]
}

/// A grant without its age, which the disk doesn't store.
fn grant_on_disk(number: u64) -> WindowGrant {
    WindowGrant { age: 0, ..grant(number) }
}

/// The state of the disk after these writes.
fn expected() -> DurableState {
    let mut state = DurableState { node_id: NODE, ..DurableState::default() };
    for write in &writes() {
        state.apply(write);
    }
    state
}

/// A folder for one test, removed at its end.
struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    fn new(name: &str) -> TemporaryFolder {
        let path = std::env::temp_dir().join(format!("sumacvale-golden-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir(&path).expect("creates a folder");
        TemporaryFolder(path)
    }

    fn connect(&self) -> Connection {
        Connection::open(self.0.join("state.db")).expect("opens the database file")
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn golden() -> GoldenFolder {
    GoldenFolder::in_crate(env!("CARGO_MANIFEST_DIR"), "tests/golden_records/records")
}

fn read_database(folder: &Path) -> DurableState {
    let (_, state, _) = Database::open(folder, NodeId(1)).expect("opens the database");
    state
}

/// Creates a database in the folder and commits all writes.
fn commit_writes(folder: &TemporaryFolder) {
    let (mut database, ..) = Database::open(&folder.0, NODE).expect("creates the database");
    database.commit(writes().iter()).expect("commits");
}

/// Dumps the whole database as SQL that creates the same database.
fn dump(connection: &Connection) -> String {
    let application_id: i64 =
        connection.query_row("PRAGMA application_id", [], |row| row.get(0)).expect("the application id");
    let mut sql = format!("PRAGMA application_id={application_id};\n");
    let tables = "SELECT name, sql FROM sqlite_master WHERE type = 'table' ORDER BY name";
    for table in rows(connection, tables) {
        let [Value::Text(name), Value::Text(definition)] = table.as_slice() else { panic!("a table has a name") };
        sql += &format!("{definition};\n");
        for row in rows(connection, &format!("SELECT * FROM {name} ORDER BY 1, 2")) {
            let literals: Vec<String> = row.iter().map(sql_literal).collect();
            sql += &format!("INSERT INTO {name} VALUES ({});\n", literals.join(", "));
        }
    }
    sql
}

fn rows(connection: &Connection, query: &str) -> Vec<Vec<Value>> {
    let mut statement = connection.prepare(query).expect("a query");
    let columns = statement.column_count();
    let rows = statement.query_map([], |row| (0..columns).map(|column| row.get(column)).collect());
    rows.expect("runs the query").collect::<Result<_, _>>().expect("reads all rows")
}

/// Formats a value as an SQL literal.
fn sql_literal(value: &Value) -> String {
    match value {
        Value::Null => "NULL".into(),
        Value::Integer(number) => number.to_string(),
        Value::Real(number) => number.to_string(),
        Value::Text(text) => format!("'{}'", text.replace('\'', "''")),
        Value::Blob(bytes) => format!("X'{}'", bytes.iter().map(|byte| format!("{byte:02X}")).collect::<String>()),
    }
}

#[test]
fn the_golden_records_are_written_and_read() {
    let written = TemporaryFolder::new("written");
    commit_writes(&written);
    let connection = written.connect();
    let stored = golden().expect_same_bytes(DATABASE, dump(&connection).as_bytes());
    let records: Vec<(&str, Vec<u8>)> = RECORDS.iter().map(|record| check_record(&connection, record)).collect();
    drop(connection);
    assert_eq!(read_database(&written.0), expected(), "the written state is read");

    let without_removals = DurableState { removals: BTreeMap::new(), ..expected() };
    let earlier_records: Vec<_> = records.iter().filter(|(name, _)| *name != REMOVAL).cloned().collect();
    let earlier = golden().read(DATABASE_WITHOUT_REMOVALS);
    check_golden_database(DATABASE, &stored, &records, &expected());
    check_golden_database(DATABASE_WITHOUT_REMOVALS, &earlier, &earlier_records, &without_removals);

    let file_names = RECORDS.iter().map(|(file_name, _)| *file_name);
    golden().expect_only(file_names.chain([DATABASE, DATABASE_WITHOUT_REMOVALS]));
}

/// Creates a data folder as the release that wrote a golden database left it, and checks its records and the state
/// that is read from it.
fn check_golden_database(name: &str, sql: &[u8], records: &[(&str, Vec<u8>)], expected: &DurableState) {
    let created = TemporaryFolder::new(name);
    let connection = created.connect();
    connection.execute_batch(std::str::from_utf8(sql).expect("SQL is text")).expect("creates the database");
    for (file_name, record) in records {
        let (_, query) = RECORDS.iter().find(|(name, _)| name == file_name).expect("a golden record");
        let stored_record: Vec<u8> = connection.query_row(query, [], |row| row.get(0)).expect("the record is there");
        assert_eq!(&stored_record, record, "{file_name}: {name} holds the same record");
    }
    drop(connection);
    assert_eq!(read_database(&created.0), *expected, "{name} is read");
}

/// Compares a record in the database with its golden file; returns the file's name and content.
fn check_record<'a>(connection: &Connection, (file_name, query): &(&'a str, &str)) -> (&'a str, Vec<u8>) {
    let stored_record: Vec<u8> = connection.query_row(query, [], |row| row.get(0)).expect("the record is there");
    (*file_name, golden().expect_same_bytes(file_name, &stored_record))
}

#[test]
fn every_kind_of_write_is_covered() {
    let mut kinds: Vec<&str> = writes().iter().map(kind).collect();
    kinds.dedup();
    assert_eq!(kinds.len(), 10, "one for each kind of write that adds something: {kinds:?}");
}

/// Returns the name of a kind of write. A new kind doesn't compile before it is named here; also add it
/// to `writes` and raise the count above.
fn kind(write: &DurableWrite) -> &'static str {
    match write {
        DurableWrite::BootstrapVote(_) => "bootstrap vote",
        DurableWrite::Promise { .. } => "promise",
        DurableWrite::Accept { .. } => "accept",
        DurableWrite::Commit(_) => "commit",
        DurableWrite::Digests(_) => "digests",
        DurableWrite::Epoch { .. } => "epoch",
        DurableWrite::Grant(_) => "grant",
        DurableWrite::Ready(_) => "ready",
        DurableWrite::Register(_) => "register",
        // Not in `writes`, because it only deletes what `Register` adds.
        DurableWrite::Deregister(_) => "deregister",
        DurableWrite::Removal(_) => "removal",
        // Not in `writes`, because it only deletes what `Removal` adds.
        DurableWrite::ForgetRemovals(_) => "forget removals",
    }
}
