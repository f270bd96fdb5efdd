//! A data folder that an earlier release wrote must stay readable.
//!
//! Commit ee6e79b of this repository wrote `tests/fixtures/data-folder-v1/`. Never regenerate it: a
//! failure here means that the program no longer reads an existing disk, so correct the program.
//! [`write_folder`] shows how the folder was created. It can write a new folder elsewhere:
//!
//! ```text
//! DATA_FOLDER_WRITE=/some/new/folder cargo test -p sumacvale-node --test old_data_folder
//! ```

use rusqlite::{Connection, OpenFlags};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use sumacvale_core::base::{ChangeId, MS, NodeId, SEC, hash64};
use sumacvale_core::config::{Item, ListPatch, Patch, validate};
use sumacvale_core::consensus::{DigestLog, DurableState, DurableWrite};
use sumacvale_core::node::{Effect, Event, Node, NodeSettings};
use sumacvale_core::protocol::{
    Ballot, ConsensusMessage, EntryDigest, Frame, LogEntry, MembershipMessage, Message, RegisteredIncarnation, Voter,
    WindowGrant,
};
use sumacvale_node::disk::Database;

/// The data folder that is checked in.
const FIXTURE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/data-folder-v1");
/// Environment variable that holds the path of a new folder for [`write_folder`].
const WRITE_FOLDER_VARIABLE: &str = "DATA_FOLDER_WRITE";
/// The only file of a data folder.
const DATABASE_FILE: &str = "state.db";

/// The core that owns the folder. The highest bit of its id is set, because ids are unsigned and
/// `SQLite`'s integers are signed.
const THIS_CORE: NodeId = NodeId(0x8f3a_0000_0000_0001);
const SECOND_CORE: NodeId = NodeId(22);
const THIRD_CORE: NodeId = NodeId(33);
/// The voter that was replaced by `THIRD_CORE`.
const REPLACED_CORE: NodeId = NodeId(11);
const FRONT: NodeId = NodeId(0xfedc_ba98_7654_3210);
const FLEET: u64 = 9;

/// The version at which the set of voters last changed.
const NEWEST_VOTER_SET: u64 = 6;
const NEWEST_VERSION: u64 = 7;
/// The ballot that was promised and accepted for the version after the newest.
const ACCEPTED_BALLOT: Ballot = Ballot { number: 5, node_id: SECOND_CORE, incarnation: 4 };

/// Length of the compressed body of the newest version in bytes.
const COMPRESSED_LENGTH: usize = 866;
/// Hash of the compressed body of the newest version. Another release of the compression library may
/// compress the same body to other bytes, so the test identifies those of the fixture by their hash.
const COMPRESSED_HASH: u64 = 6_781_517_488_793_589_917;

/// The table that the release which wrote the fixture did not have.
const REMOVALS_TABLE: &str = "removal";

/// The columns of the database: table, column, type, whether the column is NOT NULL, and its position in
/// the primary key (0: none).
const SCHEMA: &[(&str, &str, &str, bool, u32)] = &[
    ("decree", "ver", "INTEGER", false, 1),
    ("decree", "body", "BLOB", true, 0),
    ("digest", "ver", "INTEGER", false, 1),
    ("digest", "body", "BLOB", true, 0),
    ("epoch", "duty", "INTEGER", false, 1),
    ("epoch", "epoch", "INTEGER", true, 0),
    ("life", "nid", "BLOB", true, 1),
    ("life", "inc", "INTEGER", true, 2),
    ("life", "addr", "TEXT", true, 0),
    ("meta", "one", "INTEGER", false, 1),
    ("meta", "form", "INTEGER", true, 0),
    ("meta", "nid", "BLOB", true, 0),
    ("meta", "life", "INTEGER", true, 0),
    ("meta", "ready", "INTEGER", false, 0),
    ("quota", "tenant", "TEXT", true, 1),
    ("quota", "nid", "BLOB", true, 2),
    ("quota", "win", "INTEGER", true, 0),
    ("quota", "cum", "INTEGER", true, 0),
    (REMOVALS_TABLE, "worker", "TEXT", false, 1),
    (REMOVALS_TABLE, "body", "BLOB", true, 0),
    ("vote", "what", "TEXT", false, 1),
    ("vote", "body", "BLOB", true, 0),
];

/// A folder for one test, removed at its end.
struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    fn new(name: &str) -> TemporaryFolder {
        let path = std::env::temp_dir().join(format!("sumacvale-old-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir(&path).expect("makes a folder");
        TemporaryFolder(path)
    }

    /// A copy of the checked-in folder, with all its files.
    fn with_fixture(name: &str) -> TemporaryFolder {
        let folder = TemporaryFolder::new(name);
        for entry in std::fs::read_dir(FIXTURE).expect("the fixture is there") {
            let file = entry.expect("an entry");
            std::fs::copy(file.path(), folder.0.join(file.file_name())).expect("copies");
        }
        folder
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn core(node_id: NodeId, host: u8) -> Voter {
    Voter { node_id, addr: format!("10.0.0.{host}:7000") }
}

fn first_voters() -> Vec<Voter> {
    vec![core(REPLACED_CORE, 1), core(SECOND_CORE, 2), core(THIS_CORE, 4)]
}

fn newest_voters() -> Vec<Voter> {
    vec![core(SECOND_CORE, 2), core(THIRD_CORE, 3), core(THIS_CORE, 4)]
}

/// A log entry committed by the first voters.
fn early_version(version: u64, change_id: u64, revision: u64, body: String) -> LogEntry {
    LogEntry {
        version,
        change_id: ChangeId(change_id),
        fleet_id: FLEET,
        voters_since: 0,
        previous_voters: vec![],
        voters: first_voters(),
        body,
        revision,
        patch: None,
        compressed: Vec::new(),
    }
}

/// A log entry committed by the newest voters.
fn late_version(version: u64, change_id: u64, revision: u64, body: String) -> LogEntry {
    LogEntry {
        voters_since: NEWEST_VOTER_SET,
        previous_voters: first_voters(),
        voters: newest_voters(),
        ..early_version(version, change_id, revision, body)
    }
}

/// A document of lists of named items, the kind that patches apply to.
fn list_document(revision: u64, first_row: &str) -> String {
    let rows: Vec<_> = (1..300).map(|index| format!("{{\"name\":\"row-{index}\",\"what\":{index}}}")).collect();
    format!("{{\"number\":{revision},\"rows\":[{first_row},{}]}}", rows.join(","))
}

/// Replaces the first row of the list document.
fn patch() -> Patch {
    let put = vec![Item { name: "row-0".into(), json: "{\"name\":\"row-0\",\"what\":1000}".into() }];
    let list = ListPatch { list: "rows".into(), put, remove: vec![] };
    Patch { number_at: "number".into(), number: 23, lists: vec![list] }
}

/// A configuration tree with 300 pools, large enough to be compressed.
fn tree(revision: u64) -> String {
    let pools: Vec<_> = (0..300).map(|index| format!("\"pool-{index}\":{{\"workers\":\"any\"}}")).collect();
    format!(
        "{{\"revision\":{revision},\"pools\":{{{}}},\
         \"matches\":{{\"calls\":{{\"under\":\"/x/\",\"pool\":\"pool-3\"}}}},\
         \"tenants\":{{\"alpha\":{{\"keys\":[],\"quota\":{{\"calls\":50,\"window_ms\":60000}}}},\
         \"beta\":{{\"keys\":[],\"quota\":\"none\"}}}}}}",
        pools.join(",")
    )
}

/// The committed versions whose bodies the folder holds, not compressed.
fn committed_versions() -> [LogEntry; 5] {
    let before_patch = list_document(22, "{\"name\":\"row-0\",\"what\":0}");
    let after_patch = list_document(23, "{\"name\":\"row-0\",\"what\":1000}");
    [
        early_version(3, 103, 21, "{\"revision\":21,\"pools\":{\"p\":{}}}".into()),
        early_version(4, 104, 22, before_patch),
        LogEntry { patch: Some(patch()), ..early_version(5, 105, 23, after_patch.clone()) },
        LogEntry { patch: Some(Patch::unchanged()), ..late_version(NEWEST_VOTER_SET, 106, 23, after_patch) },
        late_version(NEWEST_VERSION, 107, 31, tree(31)),
    ]
}

/// The proposal that this core accepted and that is not known to be committed.
fn accepted_version() -> LogEntry {
    late_version(8, 108, 32, "{\"revision\":32,\"pools\":{\"q\":{}}}".into())
}

fn digest(version: u64, change_id: u64, voters_since: u64, revision: u64, content: &str) -> EntryDigest {
    let byte =
        |index: usize| u8::from_str_radix(&content[2 * index..2 * index + 2], 16).expect("two hexadecimal digits");
    EntryDigest { version, change_id: ChangeId(change_id), voters_since, revision, content: std::array::from_fn(byte) }
}

/// The digests of committed versions whose bodies the folder no longer holds.
fn early_digests() -> [EntryDigest; 2] {
    [digest(1, 101, 0, 19, &"a1".repeat(32)), digest(2, 102, 0, 20, &"b2".repeat(32))]
}

/// The digests of the versions whose bodies the folder holds.
fn late_digests() -> [EntryDigest; 5] {
    [
        digest(3, 103, 0, 21, "624a6c6493af95fc226638316f95307768fb730a5b620a517873da07a727001d"),
        digest(4, 104, 0, 22, "ff7e4e4256edade9d9343039d99164c4751e1ae16ef0cc35b1ff1accc95aad99"),
        digest(5, 105, 0, 23, "6112e7107f0bbc20a5f453b84d5424acda92e7b69e5d9e64fa67547cb329d869"),
        digest(6, 106, 6, 23, "21f490b3b0dcfda1c232e07efe4d26cee3e0414c646eb1b4f370996e394b4a24"),
        digest(7, 107, 6, 31, "c95532181bc0a1539016cf8938cecf12f6122e63cf02408dc502ad4bf71ffb09"),
    ]
}

fn grant(tenant: &str, node_id: NodeId, window: u64, granted_total: u64) -> WindowGrant {
    WindowGrant { tenant: tenant.into(), window, node_id, granted_total, age: 0 }
}

fn registered_incarnation(node_id: NodeId, incarnation: u64, addr: &str) -> RegisteredIncarnation {
    RegisteredIncarnation { node_id, incarnation, addr: addr.into() }
}

/// All writes that created the folder, in order. Some replace or delete what an earlier one wrote.
fn writes() -> Vec<DurableWrite> {
    let mut writes = vec![
        DurableWrite::BootstrapVote(first_voters()),
        DurableWrite::Digests(early_digests().to_vec()),
        DurableWrite::Promise { instance: 3, ballot: Ballot { number: 1, node_id: REPLACED_CORE, incarnation: 1 } },
        DurableWrite::Accept {
            ballot: Ballot { number: 1, node_id: REPLACED_CORE, incarnation: 1 },
            entry: committed_versions()[0].clone(),
        },
    ];
    writes.extend(committed_versions().map(|version| DurableWrite::Commit(version.compress())));
    writes.extend([
        DurableWrite::Promise { instance: 8, ballot: ACCEPTED_BALLOT },
        DurableWrite::Accept { ballot: ACCEPTED_BALLOT, entry: accepted_version() },
        DurableWrite::Ready(0),
        DurableWrite::Ready(NEWEST_VOTER_SET),
        DurableWrite::Epoch { role: 0, epoch: 3 },
        DurableWrite::Epoch { role: 0, epoch: (NEWEST_VOTER_SET << 24) + 2 },
        DurableWrite::Epoch { role: 7, epoch: (NEWEST_VOTER_SET << 24) + 1 },
        DurableWrite::Grant(grant("alpha", FRONT, 900, 50)),
        DurableWrite::Grant(grant("alpha", THIS_CORE, 901, 7)),
        DurableWrite::Grant(grant("alpha", FRONT, 901, 12)),
        DurableWrite::Grant(grant("alpha", FRONT, 901, 20)),
        DurableWrite::Grant(grant("gamma", SECOND_CORE, 5, 1)),
        DurableWrite::Register(vec![
            registered_incarnation(FRONT, 1, "10.0.1.1:7000"),
            registered_incarnation(FRONT, u64::MAX, "10.0.1.1:7001"),
            registered_incarnation(NodeId(44), 3, "10.0.1.2:7000"),
        ]),
        DurableWrite::Deregister(vec![(FRONT, 1)]),
    ]);
    writes
}

/// The state that the folder holds, written by hand and not derived from the writes; without the
/// compressed bodies.
fn expected() -> DurableState {
    let mut digests = DigestLog::default();
    digests.insert_missing(early_digests());
    digests.insert_missing(late_digests());
    let grants = [grant("alpha", THIS_CORE, 901, 7), grant("alpha", FRONT, 901, 20), grant("gamma", SECOND_CORE, 5, 1)];
    DurableState {
        node_id: THIS_CORE,
        bootstrap_vote: first_voters(),
        entries: committed_versions().into_iter().map(|version| (version.version, version)).collect(),
        digests,
        promised: Some((8, ACCEPTED_BALLOT)),
        accepted: Some((ACCEPTED_BALLOT, accepted_version())),
        epochs: BTreeMap::from([(0, 100_663_298), (7, 100_663_297)]),
        grants: grants.into_iter().map(|grant| ((grant.tenant.clone(), grant.node_id), grant)).collect(),
        ready_set: Some(6),
        registered: BTreeMap::from([
            ((FRONT, u64::MAX), "10.0.1.1:7001".to_owned()),
            ((NodeId(44), 3), "10.0.1.2:7000".to_owned()),
        ]),
        removals: BTreeMap::new(),
    }
}

/// Creates a data folder with this program's own code. `SQLite` merges its write-ahead log into the file
/// when the database is closed, so one file remains.
fn write_folder(folder: &Path) {
    std::fs::create_dir(folder).expect("the folder is new");
    let (mut database, _, incarnation) = Database::open(folder, THIS_CORE).expect("creates a database");
    assert_eq!(incarnation, 1);
    for write in writes() {
        database.commit([&write].into_iter()).expect("writes");
    }
    drop(database);
    let names: Vec<_> =
        std::fs::read_dir(folder).expect("lists").map(|entry| entry.expect("an entry").file_name()).collect();
    assert_eq!(names, [DATABASE_FILE]);
}

/// Splits a state into one without compressed bodies, and the compressed bodies by version.
fn split_compressed(mut state: DurableState) -> (DurableState, BTreeMap<u64, Vec<u8>>) {
    let mut compressed = BTreeMap::new();
    for (version, entry) in &mut state.entries {
        let bytes = std::mem::take(&mut entry.compressed);
        if !bytes.is_empty() {
            compressed.insert(*version, bytes);
        }
    }
    (state, compressed)
}

/// The settings with which the core starts.
fn settings(node_id: NodeId, incarnation: u64) -> NodeSettings {
    NodeSettings {
        node_id,
        incarnation,
        addr: "10.0.0.4:7000".into(),
        admin_addr: String::new(),
        zone: "z".into(),
        seeds: vec![],
        is_core: true,
        config_reader: validate,
        may_bootstrap: false,
        manages_voters: false,
        tolerated_losses: 1,
        report_interval: 1_200 * MS,
        workers_report_to_cores_only: true,
    }
}

/// Delivers a message of the second core to the node. Returns the node's replies to that core, and the
/// version of the view that the node publishes, if any.
fn deliver(node: &mut Node, message: Message) -> (Vec<Message>, Option<u64>) {
    let frame = Frame { from: SECOND_CORE, to: THIS_CORE, incarnation: 4, fleet_id: FLEET, sent_at: SEC, message };
    let (mut replies, mut published_version) = (Vec::new(), None);
    for effect in node.step(Event::Frame(Box::new(frame)), SEC) {
        match effect {
            Effect::Send { frame, .. } if frame.to == SECOND_CORE => replies.push(frame.message),
            Effect::Publish(view) => published_version = view.version,
            _ => {}
        }
    }
    (replies, published_version)
}

/// Table, column, type, whether the column is NOT NULL, and its position in the primary key.
type Column = (String, String, String, bool, u32);

/// Reads the schema of a data folder that no process has open.
fn read_schema(folder: &Path) -> Vec<Column> {
    let database =
        Connection::open_with_flags(folder.join(DATABASE_FILE), OpenFlags::SQLITE_OPEN_READ_WRITE).expect("opens");
    let columns = "SELECT m.name, c.name, c.type, c.\"notnull\", c.pk
                   FROM sqlite_master m JOIN pragma_table_info(m.name) c
                   WHERE m.type = 'table' ORDER BY m.name, c.cid";
    let mut query = database.prepare(columns).expect("a query");
    let rows =
        query.query_map([], |row| Ok((row.get(0)?, row.get(1)?, row.get(2)?, row.get(3)?, row.get(4)?))).expect("runs");
    rows.map(|row| row.expect("a column")).collect()
}

fn expected_schema() -> Vec<Column> {
    let owned = |(table, column, kind, not_null, key): &(&str, &str, &str, bool, u32)| {
        ((*table).to_owned(), (*column).to_owned(), (*kind).to_owned(), *not_null, *key)
    };
    SCHEMA.iter().map(owned).collect()
}

#[test]
fn the_whole_state_of_the_old_folder_is_read() {
    let folder = TemporaryFolder::with_fixture("read");
    let (_database, state, incarnation) = Database::open(&folder.0, NodeId(1)).expect("opens the old folder");
    assert_eq!(incarnation, 2, "the release that wrote the folder opened it once");
    let (state, compressed) = split_compressed(state);
    assert_eq!(state, expected());
    assert_eq!(compressed.keys().copied().collect::<Vec<_>>(), [4, NEWEST_VERSION]);
    let newest = &compressed[&NEWEST_VERSION];
    assert_eq!((newest.len(), hash64(newest)), (COMPRESSED_LENGTH, COMPRESSED_HASH));
}

#[test]
fn a_core_starts_with_the_state_of_the_old_folder() {
    let folder = TemporaryFolder::with_fixture("serve");
    let (_database, state, incarnation) = Database::open(&folder.0, NodeId(1)).expect("opens the old folder");
    let mut node = Node::new(settings(state.node_id, incarnation), &state, 5, SEC);
    assert_eq!(node.version(), Some(NEWEST_VERSION));
    assert!(
        node.is_voter() && node.is_ready(),
        "the core is a voter and has taken over the grants of the previous voters"
    );
    assert_eq!((node.config.version, node.config.revision, node.config.pools.len()), (7, 31, 300));
    assert_eq!(node.config.tenants.keys().collect::<Vec<_>>(), ["alpha", "beta"]);
    assert!(node.config.find_match("GET", "any.test", "/x/y").is_some(), "calls are routed by the configuration");
    assert_eq!(node.consensus.state.bootstrap_vote, first_voters());
    assert_eq!(
        (node.consensus.state.promised_ballot, node.consensus.state.accepted.clone()),
        (ACCEPTED_BALLOT, Some((ACCEPTED_BALLOT, accepted_version())))
    );
    assert_eq!(node.consensus.state.digests, expected().digests);
    assert_eq!(node.leases.grantor.epochs, expected().epochs);

    // The promise on the disk rejects a lower ballot.
    let lower = Ballot { number: 4, ..ACCEPTED_BALLOT };
    let (replies, published_version) =
        deliver(&mut node, Message::Consensus(ConsensusMessage::Prepare { instance: 8, ballot: lower }));
    assert!(
        replies.contains(&Message::Consensus(ConsensusMessage::Reject { instance: 8, ballot: ACCEPTED_BALLOT })),
        "{replies:?}"
    );
    assert_eq!(published_version, Some(NEWEST_VERSION));

    // A core that takes over receives all grants and all registered incarnations.
    let (replies, _) =
        deliver(&mut node, Message::Membership(MembershipMessage::TakeoverRequest { voter_set: NEWEST_VOTER_SET }));
    let reply = Message::Membership(MembershipMessage::TakeoverReply {
        voter_set: NEWEST_VOTER_SET,
        is_complete: true,
        grants: expected().grants.into_values().collect(),
        registered: vec![
            registered_incarnation(NodeId(44), 3, "10.0.1.2:7000"),
            registered_incarnation(FRONT, u64::MAX, "10.0.1.1:7001"),
        ],
    });
    assert!(replies.contains(&reply), "{replies:?}");
}

#[test]
fn new_writes_are_added_to_the_old_folder() {
    let folder = TemporaryFolder::with_fixture("write");
    let (mut database, ..) = Database::open(&folder.0, NodeId(1)).expect("opens the old folder");
    let new_grant = grant("beta", FRONT, 2, 4);
    let new_writes = [
        DurableWrite::Commit(accepted_version()),
        DurableWrite::Grant(new_grant.clone()),
        DurableWrite::Epoch { role: 3, epoch: 100_663_300 },
        DurableWrite::Register(vec![registered_incarnation(NodeId(55), 1, "10.0.1.3:7000")]),
    ];
    database.commit(new_writes.iter()).expect("writes");
    drop(database);

    let (_database, state, incarnation) = Database::open(&folder.0, NodeId(1)).expect("opens again");
    let mut expected_state = expected();
    expected_state.entries.insert(8, accepted_version());
    expected_state.digests.insert_missing([EntryDigest::of(&accepted_version())]);
    expected_state.grants.insert(("beta".into(), FRONT), new_grant);
    expected_state.epochs.insert(3, 100_663_300);
    expected_state.registered.insert((NodeId(55), 1), "10.0.1.3:7000".into());
    assert_eq!(incarnation, 3);
    assert_eq!(split_compressed(state).0, expected_state);
}

#[test]
fn old_and_new_folders_have_the_same_schema() {
    let old = TemporaryFolder::with_fixture("schema");
    let mut old_schema = expected_schema();
    old_schema.retain(|column| column.0 != REMOVALS_TABLE);
    assert_eq!(read_schema(&old.0), old_schema, "the old folder");
    drop(Database::open(&old.0, THIS_CORE).expect("opens the old folder"));
    assert_eq!(read_schema(&old.0), expected_schema(), "the old folder once it was opened");
    let new = TemporaryFolder::new("schema-new");
    drop(Database::open(&new.0, THIS_CORE).expect("creates a database"));
    assert_eq!(read_schema(&new.0), expected_schema(), "a new folder");
}

#[test]
fn the_writer_creates_a_folder_with_the_same_state() {
    let folder = TemporaryFolder::new("writer");
    let target = std::env::var_os(WRITE_FOLDER_VARIABLE).map(PathBuf::from);
    write_folder(&target.unwrap_or_else(|| folder.0.join("data")));
    // A second folder is read, because each open counts an incarnation and the written folder must have 1.
    let second = folder.0.join("second");
    write_folder(&second);
    let (_database, state, _) = Database::open(&second, NodeId(1)).expect("opens");
    assert_eq!(split_compressed(state).0, expected());
}
