//! A data folder that an earlier state of this program wrote stays readable.
//!
//! `tests/fixtures/data-folder-v1/` was written by the state ee6e79b of this repository. It is never
//! written anew: when a test here fails, the program changed what it reads from a disk, and it is the
//! program that must be mended. The writer below, [`write_folder`], is how the folder was made. It
//! writes to another place when it is told to:
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

/// The folder that was checked in.
const FIXTURE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/data-folder-v1");
/// Names a folder, not there yet, to which the writer writes.
const WRITE_TO: &str = "DATA_FOLDER_WRITE";
/// The one file of a data folder.
const FILE: &str = "state.db";

/// The core whose folder it is. Its highest bit is set: ids are unsigned, `SQLite`'s integers aren't.
const THIS_CORE: NodeId = NodeId(0x8f3a_0000_0000_0001);
const SECOND_CORE: NodeId = NodeId(22);
const THIRD_CORE: NodeId = NodeId(33);
/// A core that a change of the voters replaced by the third one.
const REPLACED_CORE: NodeId = NodeId(11);
const FRONT: NodeId = NodeId(0xfedc_ba98_7654_3210);
const FLEET: u64 = 9;

/// The version at which the set of voters last changed.
const NEWEST_SET: u64 = 6;
const NEWEST_VERSION: u64 = 7;
/// The vote for the version after the newest.
const VOTE: Ballot = Ballot { number: 5, node_id: SECOND_CORE, incarnation: 4 };

/// The packed body of the newest version. Another release of the packing library may pack the same
/// body into other bytes, so those of the fixture are told by their hash.
const PACKED_LENGTH: usize = 866;
const PACKED_HASH: u64 = 6_781_517_488_793_589_917;

/// What the database is made of: table, column, type, whether it must not be null, and its place in
/// the primary key (nought: none).
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

/// A log entry decided by the first voters.
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

/// A log entry decided since the voters changed.
fn late_version(version: u64, change_id: u64, revision: u64, body: String) -> LogEntry {
    LogEntry {
        voters_since: NEWEST_SET,
        previous_voters: first_voters(),
        voters: newest_voters(),
        ..early_version(version, change_id, revision, body)
    }
}

/// A document of lists of named items, the kind that patches apply to.
fn list_document(revision: u64, first_row: &str) -> String {
    let rows: Vec<_> = (1..300).map(|n| format!("{{\"name\":\"row-{n}\",\"what\":{n}}}")).collect();
    format!("{{\"number\":{revision},\"rows\":[{first_row},{}]}}", rows.join(","))
}

/// Replaces the first row of the list document.
fn patch() -> Patch {
    let put = vec![Item { name: "row-0".into(), json: "{\"name\":\"row-0\",\"what\":1000}".into() }];
    let list = ListPatch { list: "rows".into(), put, remove: vec![] };
    Patch { number_at: "number".into(), number: 23, lists: vec![list] }
}

/// A configuration tree with 300 pools, large enough to be packed.
fn tree(revision: u64) -> String {
    let pools: Vec<_> = (0..300).map(|n| format!("\"pool-{n}\":{{\"workers\":\"any\"}}")).collect();
    format!(
        "{{\"revision\":{revision},\"pools\":{{{}}},\
         \"matches\":{{\"calls\":{{\"under\":\"/x/\",\"pool\":\"pool-3\"}}}},\
         \"tenants\":{{\"alpha\":{{\"keys\":[],\"quota\":{{\"calls\":50,\"window_ms\":60000}}}},\
         \"beta\":{{\"keys\":[],\"quota\":\"none\"}}}}}}",
        pools.join(",")
    )
}

/// The decided versions whose bodies the folder holds; none in packed form.
fn decided_versions() -> [LogEntry; 5] {
    let before_patch = list_document(22, "{\"name\":\"row-0\",\"what\":0}");
    let after_patch = list_document(23, "{\"name\":\"row-0\",\"what\":1000}");
    [
        early_version(3, 103, 21, "{\"revision\":21,\"pools\":{\"p\":{}}}".into()),
        early_version(4, 104, 22, before_patch),
        LogEntry { patch: Some(patch()), ..early_version(5, 105, 23, after_patch.clone()) },
        LogEntry { patch: Some(Patch::unchanged()), ..late_version(NEWEST_SET, 106, 23, after_patch) },
        late_version(NEWEST_VERSION, 107, 31, tree(31)),
    ]
}

/// What this core accepted and has not heard to be decided.
fn accepted_version() -> LogEntry {
    late_version(8, 108, 32, "{\"revision\":32,\"pools\":{\"q\":{}}}".into())
}

fn digest(version: u64, change_id: u64, since: u64, revision: u64, content: &str) -> EntryDigest {
    let byte = |n: usize| u8::from_str_radix(&content[2 * n..2 * n + 2], 16).expect("two hexadecimal digits");
    EntryDigest {
        version,
        change_id: ChangeId(change_id),
        voters_since: since,
        revision,
        content: std::array::from_fn(byte),
    }
}

/// The digests of versions that were decided before the oldest whose body is held.
fn early_digests() -> [EntryDigest; 2] {
    [digest(1, 101, 0, 19, &"a1".repeat(32)), digest(2, 102, 0, 20, &"b2".repeat(32))]
}

/// The digests of the versions whose bodies are held.
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

fn life(node_id: NodeId, incarnation: u64, addr: &str) -> RegisteredIncarnation {
    RegisteredIncarnation { node_id, incarnation, addr: addr.into() }
}

/// All writes that made the folder, in their order. Some take back what an earlier one wrote.
fn writes() -> Vec<DurableWrite> {
    let mut writes = vec![
        DurableWrite::BootstrapVote(first_voters()),
        DurableWrite::Digests(early_digests().to_vec()),
        DurableWrite::Promise { instance: 3, ballot: Ballot { number: 1, node_id: REPLACED_CORE, incarnation: 1 } },
        DurableWrite::Accept {
            ballot: Ballot { number: 1, node_id: REPLACED_CORE, incarnation: 1 },
            entry: decided_versions()[0].clone(),
        },
    ];
    writes.extend(decided_versions().map(|version| DurableWrite::Commit(version.compress())));
    writes.extend([
        DurableWrite::Promise { instance: 8, ballot: VOTE },
        DurableWrite::Accept { ballot: VOTE, entry: accepted_version() },
        DurableWrite::Ready(0),
        DurableWrite::Ready(NEWEST_SET),
        DurableWrite::Epoch { role: 0, epoch: 3 },
        DurableWrite::Epoch { role: 0, epoch: (NEWEST_SET << 24) + 2 },
        DurableWrite::Epoch { role: 7, epoch: (NEWEST_SET << 24) + 1 },
        DurableWrite::Grant(grant("alpha", FRONT, 900, 50)),
        DurableWrite::Grant(grant("alpha", THIS_CORE, 901, 7)),
        DurableWrite::Grant(grant("alpha", FRONT, 901, 12)),
        DurableWrite::Grant(grant("alpha", FRONT, 901, 20)),
        DurableWrite::Grant(grant("gamma", SECOND_CORE, 5, 1)),
        DurableWrite::Register(vec![
            life(FRONT, 1, "10.0.1.1:7000"),
            life(FRONT, u64::MAX, "10.0.1.1:7001"),
            life(NodeId(44), 3, "10.0.1.2:7000"),
        ]),
        DurableWrite::Deregister(vec![(FRONT, 1)]),
    ]);
    writes
}

/// What the folder holds, by hand and not by the writes; the packed bytes are left out.
fn expected() -> DurableState {
    let mut digests = DigestLog::default();
    digests.insert_all(early_digests());
    digests.insert_all(late_digests());
    let grants = [grant("alpha", THIS_CORE, 901, 7), grant("alpha", FRONT, 901, 20), grant("gamma", SECOND_CORE, 5, 1)];
    DurableState {
        node_id: THIS_CORE,
        bootstrap_vote: first_voters(),
        entries: decided_versions().into_iter().map(|version| (version.version, version)).collect(),
        digests,
        promised: Some((8, VOTE)),
        accepted: Some((VOTE, accepted_version())),
        epochs: BTreeMap::from([(0, 100_663_298), (7, 100_663_297)]),
        grants: grants.into_iter().map(|grant| ((grant.tenant.clone(), grant.node_id), grant)).collect(),
        ready_set: Some(6),
        registered: BTreeMap::from([
            ((FRONT, u64::MAX), "10.0.1.1:7001".to_owned()),
            ((NodeId(44), 3), "10.0.1.2:7000".to_owned()),
        ]),
    }
}

/// Makes a data folder with this program's own code. `SQLite` moves its log into the file when the
/// database is closed, so one file remains.
fn write_folder(folder: &Path) {
    std::fs::create_dir(folder).expect("the folder is a new one");
    let (mut database, _, incarnation) = Database::open(folder, THIS_CORE).expect("makes a database");
    assert_eq!(incarnation, 1);
    for write in writes() {
        database.commit([&write].into_iter()).expect("writes");
    }
    drop(database);
    let names: Vec<_> =
        std::fs::read_dir(folder).expect("lists").map(|entry| entry.expect("an entry").file_name()).collect();
    assert_eq!(names, [FILE]);
}

/// The same without the packed bytes, and these bytes by version.
fn without_packed(mut kept: DurableState) -> (DurableState, BTreeMap<u64, Vec<u8>>) {
    let mut packed = BTreeMap::new();
    for (version, decree) in &mut kept.entries {
        let bytes = std::mem::take(&mut decree.compressed);
        if !bytes.is_empty() {
            packed.insert(*version, bytes);
        }
    }
    (kept, packed)
}

/// The settings with which the core starts.
fn settings(node_id: NodeId, incarnation: u64) -> NodeSettings {
    NodeSettings {
        node_id,
        incarnation,
        addr: "10.0.0.4:7000".into(),
        admin: String::new(),
        zone: "z".into(),
        seeds: vec![],
        is_core: true,
        config_reader: validate,
        may_bootstrap: false,
        manages_voters: false,
        tolerated_losses: 1,
        report_interval: 1_200 * MS,
        reports_to_cores_only: true,
    }
}

/// Hands the node a message from the second core. Returns what the node answers to that core,
/// and the version that it shows to those who take calls, if it shows a new picture.
fn ask(node: &mut Node, msg: Message) -> (Vec<Message>, Option<u64>) {
    let frame = Frame { from: SECOND_CORE, to: THIS_CORE, incarnation: 4, fleet_id: FLEET, sent_at: SEC, message: msg };
    let (mut answers, mut shown) = (Vec::new(), None);
    for effect in node.step(Event::Frame(Box::new(frame)), SEC) {
        match effect {
            Effect::Send { frame, .. } if frame.to == SECOND_CORE => answers.push(frame.message),
            Effect::Publish(view) => shown = view.version,
            _ => {}
        }
    }
    (answers, shown)
}

/// Table, column, type, whether it must not be null, and its place in the primary key.
type Column = (String, String, String, bool, u32);

/// The schema of a data folder that nobody has open.
fn schema(folder: &Path) -> Vec<Column> {
    let database = Connection::open_with_flags(folder.join(FILE), OpenFlags::SQLITE_OPEN_READ_WRITE).expect("opens");
    let columns = "SELECT m.name, c.name, c.type, c.\"notnull\", c.pk
                   FROM sqlite_master m JOIN pragma_table_info(m.name) c
                   WHERE m.type = 'table' ORDER BY m.name, c.cid";
    let mut query = database.prepare(columns).expect("a query");
    let rows = query.query_map([], |r| Ok((r.get(0)?, r.get(1)?, r.get(2)?, r.get(3)?, r.get(4)?))).expect("runs");
    rows.map(|row| row.expect("a column")).collect()
}

fn expected_schema() -> Vec<Column> {
    let owned = |(table, column, kind, not_null, key): &(&str, &str, &str, bool, u32)| {
        ((*table).to_owned(), (*column).to_owned(), (*kind).to_owned(), *not_null, *key)
    };
    SCHEMA.iter().map(owned).collect()
}

#[test]
fn all_that_the_old_folder_holds_is_read_as_it_was_written() {
    let folder = TemporaryFolder::with_fixture("read");
    let (_database, kept, incarnation) = Database::open(&folder.0, NodeId(1)).expect("opens the old folder");
    assert_eq!(incarnation, 2, "the state that wrote the folder had it open once");
    let (kept, packed) = without_packed(kept);
    assert_eq!(kept, expected());
    assert_eq!(packed.keys().copied().collect::<Vec<_>>(), [4, NEWEST_VERSION]);
    let newest = &packed[&NEWEST_VERSION];
    assert_eq!((newest.len(), hash64(newest)), (PACKED_LENGTH, PACKED_HASH));
}

#[test]
fn a_core_serves_from_the_old_folder() {
    let folder = TemporaryFolder::with_fixture("serve");
    let (_database, kept, incarnation) = Database::open(&folder.0, NodeId(1)).expect("opens the old folder");
    let mut node = Node::new(settings(kept.node_id, incarnation), &kept, 5, SEC);
    assert_eq!(node.version(), Some(NEWEST_VERSION));
    assert!(node.voter() && node.is_ready(), "it is a voter and took over the grants of the voters before");
    assert_eq!((node.config.version, node.config.revision, node.config.pools.len()), (7, 31, 300));
    assert_eq!(node.config.tenants.keys().collect::<Vec<_>>(), ["alpha", "beta"]);
    assert!(node.config.find("GET", "any.test", "/x/y").is_some(), "calls are routed by the plan");
    assert_eq!(node.consensus.state.bootstrap_vote, first_voters());
    assert_eq!(
        (node.consensus.state.promised_ballot, node.consensus.state.accepted.clone()),
        (VOTE, Some((VOTE, accepted_version())))
    );
    assert_eq!(node.consensus.state.digests, expected().digests);
    assert_eq!(node.leases.grantor.epochs, expected().epochs);

    // A lower ballot is refused by the vote that is on the disk.
    let lower = Ballot { number: 4, ..VOTE };
    let (answers, shown) = ask(&mut node, Message::Consensus(ConsensusMessage::Prepare { instance: 8, ballot: lower }));
    assert!(
        answers.contains(&Message::Consensus(ConsensusMessage::Reject { instance: 8, ballot: VOTE })),
        "{answers:?}"
    );
    assert_eq!(shown, Some(NEWEST_VERSION));

    // A core that takes over is told all grants and all registered lives.
    let (answers, _) =
        ask(&mut node, Message::Membership(MembershipMessage::TakeoverRequest { voter_set: NEWEST_SET }));
    let told = Message::Membership(MembershipMessage::TakeoverReply {
        voter_set: NEWEST_SET,
        is_complete: true,
        grants: expected().grants.into_values().collect(),
        registered: vec![life(NodeId(44), 3, "10.0.1.2:7000"), life(FRONT, u64::MAX, "10.0.1.1:7001")],
    });
    assert!(answers.contains(&told), "{answers:?}");
}

#[test]
fn the_old_folder_takes_new_writes_beside_the_old() {
    let folder = TemporaryFolder::with_fixture("write");
    let (mut database, ..) = Database::open(&folder.0, NodeId(1)).expect("opens the old folder");
    let new_grant = grant("beta", FRONT, 2, 4);
    let new_writes = [
        DurableWrite::Commit(accepted_version()),
        DurableWrite::Grant(new_grant.clone()),
        DurableWrite::Epoch { role: 3, epoch: 100_663_300 },
        DurableWrite::Register(vec![life(NodeId(55), 1, "10.0.1.3:7000")]),
    ];
    database.commit(new_writes.iter()).expect("writes");
    drop(database);

    let (_database, kept, incarnation) = Database::open(&folder.0, NodeId(1)).expect("opens again");
    let mut want = expected();
    want.entries.insert(8, accepted_version());
    want.digests.insert_all([EntryDigest::of(&accepted_version())]);
    want.grants.insert(("beta".into(), FRONT), new_grant);
    want.epochs.insert(3, 100_663_300);
    want.registered.insert((NodeId(55), 1), "10.0.1.3:7000".into());
    assert_eq!(incarnation, 3);
    assert_eq!(without_packed(kept).0, want);
}

#[test]
fn the_schema_of_old_and_new_folders_is_the_same() {
    let old = TemporaryFolder::with_fixture("schema");
    assert_eq!(schema(&old.0), expected_schema(), "the old folder");
    let new = TemporaryFolder::new("schema-new");
    drop(Database::open(&new.0, THIS_CORE).expect("makes a database"));
    assert_eq!(schema(&new.0), expected_schema(), "a new folder");
}

#[test]
fn the_writer_makes_the_same_folder_in_a_new_place() {
    let place = TemporaryFolder::new("writer");
    let named = std::env::var_os(WRITE_TO).map(PathBuf::from);
    write_folder(&named.unwrap_or_else(|| place.0.join("data")));
    // What is read here is a second one: reading counts a start, and the named folder has had one.
    let second = place.0.join("second");
    write_folder(&second);
    let (_database, kept, _) = Database::open(&second, NodeId(1)).expect("opens");
    assert_eq!(without_packed(kept).0, expected());
}
