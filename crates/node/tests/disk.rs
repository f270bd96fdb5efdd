//! The data folder: synced writes survive a restart, a loss of power and a full disk, and a folder that
//! is foreign, locked or corrupt is rejected.

use std::io::BufRead;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use sumacvale_core::base::{ChangeId, NodeId};
use sumacvale_core::consensus::{DurableState, DurableWrite, MAX_DIGESTS, MAX_HISTORY_BYTES};
use sumacvale_core::protocol::{
    Ballot, EntryDigest, LogEntry, RegisteredIncarnation, Voter, WindowGrant, WorkerReport,
};
use sumacvale_node::disk::{Database, DiskError, DiskWriter, WriteJob};

/// A folder for one test, removed at its end.
struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    fn new(name: &str) -> TemporaryFolder {
        let path = std::env::temp_dir().join(format!("sumacvale-disk-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir(&path).expect("creates a folder");
        TemporaryFolder(path)
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A small log entry.
fn log_entry(version: u64) -> LogEntry {
    let voter = |n| Voter { node_id: NodeId(n), addr: format!("10.0.0.{n}:1") };
    LogEntry {
        version,
        change_id: ChangeId(version + 7),
        fleet_id: 9,
        voters_since: 0,
        previous_voters: vec![],
        voters: vec![voter(1), voter(2)],
        body: format!("{{\"n\":{version}}}"),
        revision: version * 3,
        patch: None,
        compressed: Vec::new(),
    }
}

/// Writes of many kinds, some of which replace or delete what earlier ones wrote.
fn writes() -> Vec<DurableWrite> {
    let ballot = Ballot { number: 3, node_id: NodeId(u64::MAX), incarnation: 2 };
    let grant = |window, node_id, granted_total| {
        DurableWrite::Grant(WindowGrant { tenant: "t".into(), window, node_id: NodeId(node_id), granted_total, age: 0 })
    };
    let mut writes = vec![
        DurableWrite::BootstrapVote(log_entry(0).voters),
        DurableWrite::Promise { instance: 1, ballot },
        DurableWrite::Accept { ballot, entry: log_entry(1) },
    ];
    writes.extend((0..80).map(|n| DurableWrite::Commit(log_entry(n))));
    writes.extend([
        DurableWrite::Epoch { role: 3, epoch: 5 },
        DurableWrite::Epoch { role: 3, epoch: 6 },
        DurableWrite::Ready(0),
    ]);
    writes.extend([grant(1, 1, 4), grant(1, 2, 5), grant(2, 1, 1), grant(2, 1, 3)]);
    let incarnation = |node_id, incarnation| RegisteredIncarnation {
        node_id: NodeId(node_id),
        incarnation,
        addr: format!("a{node_id}:1"),
    };
    writes.push(DurableWrite::Register(vec![incarnation(1, 1), incarnation(2, u64::MAX), incarnation(2, 3)]));
    writes.push(DurableWrite::Deregister(vec![(NodeId(2), 3), (NodeId(9), 1)]));
    let removal = |worker_id, incarnation| DurableWrite::Removal(WorkerReport::removal(worker_id, incarnation));
    writes.extend([removal("a", 1), removal("b", 1), removal("a", 2), removal("c", 1)]);
    writes.push(DurableWrite::ForgetRemovals(vec!["b".into(), "none".into()]));
    writes
}

#[test]
fn the_database_and_the_simulated_disk_hold_the_same_state() {
    let folder = TemporaryFolder::new("same");
    let mut expected = DurableState { node_id: NodeId(77), ..DurableState::default() };
    let (mut database, state, incarnation) = Database::open(&folder.0, NodeId(77)).expect("opens");
    assert_eq!((state, incarnation), (expected.clone(), 1));
    for write in writes() {
        database.commit([&write].into_iter()).expect("commits");
        expected.apply(&write);
        drop(database);
        let (again, state, _) = Database::open(&folder.0, NodeId(1)).expect("opens again");
        assert_eq!(state, expected, "after {write:?}");
        database = again;
    }
    let (_, _, incarnation) = {
        drop(database);
        Database::open(&folder.0, NodeId(1)).expect("opens")
    };
    assert!(incarnation > 80, "each start is a new incarnation");
}

#[test]
fn a_locked_foreign_or_corrupt_folder_is_rejected() {
    let folder = TemporaryFolder::new("use");
    let (database, ..) = Database::open(&folder.0, NodeId(5)).expect("opens");
    assert!(matches!(Database::open(&folder.0, NodeId(6)), Err(DiskError::InUse { .. })));
    drop(database);
    let folder = TemporaryFolder::new("foreign");
    std::fs::write(folder.0.join("letters.txt"), "x").expect("writes");
    assert!(matches!(Database::open(&folder.0, NodeId(5)), Err(DiskError::ForeignFolder { .. })));
    let folder = TemporaryFolder::new("other");
    std::fs::write(folder.0.join("state.db"), vec![7; 5_000]).expect("writes");
    assert!(matches!(Database::open(&folder.0, NodeId(5)), Err(DiskError::UnsupportedFormat { .. })));
    let folder = TemporaryFolder::new("empty");
    std::fs::write(folder.0.join("state.db"), b"").expect("writes");
    assert!(
        matches!(Database::open(&folder.0, NodeId(5)), Err(DiskError::UnsupportedFormat { .. })),
        "an empty database file is not treated as a new folder"
    );
}

#[test]
fn a_flipped_bit_never_yields_another_vote_or_log_entry() {
    let folder = TemporaryFolder::new("flip");
    let file = folder.0.join("state.db");
    let mut expected = DurableState { node_id: NodeId(77), ..DurableState::default() };
    let (mut database, ..) = Database::open(&folder.0, NodeId(77)).expect("opens");
    for write in writes() {
        expected.apply(&write);
    }
    database.commit(writes().iter()).expect("commits");
    drop(database);
    let valid = std::fs::read(&file).expect("reads");
    let mut random = sumacvale_core::base::Rng::new(3);
    let mut rejected = 0;
    for _ in 0..60 {
        let mut flipped = valid.clone();
        let index = usize::try_from(random.next_below(flipped.len() as u64)).expect("small");
        flipped[index] ^= 1 << random.next_below(8);
        let _ = std::fs::remove_file(folder.0.join("state.db-wal"));
        std::fs::write(&file, &flipped).expect("writes");
        match Database::open(&folder.0, NodeId(1)) {
            Err(_) => rejected += 1,
            Ok((_, read, _)) => {
                let is_same = (&read.entries, &read.promised, &read.accepted, &read.bootstrap_vote)
                    == (&expected.entries, &expected.promised, &expected.accepted, &expected.bootstrap_vote);
                assert!(is_same, "byte {index}: other content was read");
            }
        }
    }
    assert!(rejected > 0);
}

/// The size of all files in a folder in bytes.
fn folder_bytes(folder: &Path) -> u64 {
    let files =
        std::fs::read_dir(folder).expect("lists").map(|file| file.expect("an entry").metadata().expect("its size"));
    files.map(|metadata| metadata.len()).sum()
}

#[test]
fn an_interrupted_creation_of_the_database_starts_over() {
    // After a loss of power each of these files may be left alone, incomplete or complete.
    let cases: [&[(&str, usize)]; 7] = [
        &[(".sumacvale-write", 0)],
        &[("state.db.new", 0)],
        &[("state.db.new", 4_096)],
        &[("state.db.new", 0), ("state.db.new-wal", 32)],
        &[("state.db.new-journal", 512)],
        &[("state.db-wal", 4_152)],
        &[("state.db-journal", 512)],
    ];
    for files in cases {
        let folder = TemporaryFolder::new("halfway");
        for (name, size) in files {
            std::fs::write(folder.0.join(name), vec![0; *size]).expect("writes");
        }
        let (database, state, incarnation) =
            Database::open(&folder.0, NodeId(8)).unwrap_or_else(|e| panic!("{files:?}: {e}"));
        assert_eq!((state.node_id, incarnation), (NodeId(8), 1), "{files:?}");
        drop(database);
        let (.., incarnation) = Database::open(&folder.0, NodeId(9)).expect("opens again");
        assert_eq!(incarnation, 2, "{files:?}");
    }
}

#[test]
fn a_rollback_journal_that_reappears_after_a_loss_of_power_undoes_no_vote() {
    let folder = TemporaryFolder::new("journal");
    drop(Database::open(&folder.0, NodeId(77)).expect("opens"));
    // A rollback journal that was synced, but whose removal was not.
    let (file, journal) = (folder.0.join("state.db"), folder.0.join("state.db-journal"));
    let old = {
        let db = rusqlite::Connection::open(&file).expect("opens");
        db.execute_batch(
            "PRAGMA journal_mode=DELETE; PRAGMA cache_size=1; PRAGMA cache_spill=1; BEGIN;
             UPDATE meta SET life = life + 0; CREATE TABLE spill (x BLOB);
             WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n WHERE i < 200)
             INSERT INTO spill SELECT randomblob(4000) FROM n;",
        )
        .expect("spills");
        let old = std::fs::read(&journal).expect("there is a journal");
        db.execute_batch("ROLLBACK; PRAGMA journal_mode=WAL;").expect("goes back");
        old
    };
    let mut expected = DurableState { node_id: NodeId(77), ..DurableState::default() };
    let (mut database, ..) = Database::open(&folder.0, NodeId(1)).expect("opens");
    database.commit(writes().iter()).expect("commits");
    for write in writes() {
        expected.apply(&write);
    }
    drop(database);
    std::fs::write(&journal, old).expect("writes the journal");
    let (_, state, _) = Database::open(&folder.0, NodeId(1)).expect("opens with the journal");
    assert_eq!(state, expected);
}

/// A log entry with a body of 4 MiB.
fn large_entry(version: u64) -> LogEntry {
    LogEntry { body: "x".repeat(4 << 20), ..log_entry(version) }
}

#[test]
fn the_size_of_the_folder_is_bounded_for_large_versions() {
    let folder = TemporaryFolder::new("large");
    let (mut database, ..) = Database::open(&folder.0, NodeId(5)).expect("opens");
    let ballot = Ballot { number: 3, node_id: NodeId(2), incarnation: 2 };
    let mut max_bytes = 0;
    let mut expected = DurableState { node_id: NodeId(5), ..DurableState::default() };
    for version in 0..30 {
        let writes = [
            DurableWrite::Promise { instance: version, ballot },
            DurableWrite::Accept { ballot, entry: large_entry(version) },
            DurableWrite::Commit(large_entry(version)),
        ];
        for write in &writes {
            database.commit([write].into_iter()).expect("commits");
            expected.apply(write);
            max_bytes = max_bytes.max(folder_bytes(&folder.0));
        }
    }
    let body_bytes: usize = expected.entries.values().map(|entry| entry.body.len()).sum();
    println!("30 versions of 4 MiB: {body_bytes} bytes of bodies kept, {max_bytes} bytes of files at most");
    assert!(body_bytes <= MAX_HISTORY_BYTES, "{body_bytes}");
    assert!(max_bytes <= 56 << 20, "{max_bytes}");
    drop(database);
    let (_, state, _) = Database::open(&folder.0, NodeId(5)).expect("opens again");
    assert_eq!(state, expected);
    assert_eq!(state.digests.len(), 30, "all digests are kept");
}

#[test]
fn the_newest_digests_are_kept_in_a_few_megabytes() {
    let folder = TemporaryFolder::new("digests");
    let (mut database, ..) = Database::open(&folder.0, NodeId(5)).expect("opens");
    let digests: Vec<_> = (0..MAX_DIGESTS as u64 + 500).map(|version| EntryDigest::of(&log_entry(version))).collect();
    for batch in digests.chunks(500) {
        database.commit([DurableWrite::Digests(batch.to_vec())].iter()).expect("commits");
    }
    let last = log_entry(MAX_DIGESTS as u64 + 500);
    database.commit([DurableWrite::Commit(last.clone())].iter()).expect("commits");
    drop(database);
    let started_at = std::time::Instant::now();
    let (_, state, _) = Database::open(&folder.0, NodeId(5)).expect("opens again");
    let (elapsed, bytes) = (started_at.elapsed(), folder_bytes(&folder.0));
    println!("{} digests: {bytes} bytes of files, read in {} ms", state.digests.len(), elapsed.as_millis());
    assert_eq!(state.digests.len(), MAX_DIGESTS);
    assert_eq!(state.digests.as_slice().last(), Some(&EntryDigest::of(&last)));
    assert!(state.digests.get(500).is_none() && state.digests.get(501).is_some(), "the oldest digests are deleted");
    assert!(bytes <= 8 << 20, "{bytes}");
    assert!(std::mem::size_of::<EntryDigest>() * MAX_DIGESTS <= 2 << 20);
}

/// The number of workers that the fleet is designed for.
const WORKERS: usize = 12_000;

/// Guards against a data folder that grows with every worker that has ever left.
#[test]
fn removals_that_are_forgotten_make_room_for_later_ones() {
    let folder = TemporaryFolder::new("removals");
    let (mut database, ..) = Database::open(&folder.0, NodeId(1)).expect("a new folder");
    let worker_ids = |round: usize| (0..WORKERS).map(move |n| format!("i-{round:02}{n:06x}")).collect::<Vec<_>>();
    let mut round_bytes = Vec::new();
    for round in 0..5 {
        let removals: Vec<_> =
            worker_ids(round).iter().map(|id| DurableWrite::Removal(WorkerReport::removal(id, 1))).collect();
        let started_at = std::time::Instant::now();
        for removal in &removals {
            database.commit(std::iter::once(removal)).expect("a commit");
        }
        let elapsed = started_at.elapsed();
        round_bytes.push(folder_bytes(&folder.0));
        println!("{WORKERS} removals: {} bytes of files, written one by one in {elapsed:?}", round_bytes[round]);
        if round < 4 {
            database.commit([DurableWrite::ForgetRemovals(worker_ids(round))].iter()).expect("a commit");
        }
    }
    drop(database);
    let started_at = std::time::Instant::now();
    let (_, state, _) = Database::open(&folder.0, NodeId(1)).expect("the same folder");
    println!("{} removals read in {:?}", state.removals.len(), started_at.elapsed());
    assert_eq!(state.removals.len(), WORKERS, "those of the last round");
    assert!(round_bytes.iter().all(|bytes| *bytes <= 8 << 20), "{round_bytes:?}");
}

/// Limits the size of files that a process may write; 0 stands for this process.
fn limit_file_size(pid: libc::pid_t, bytes: u64) {
    let limit = libc::rlimit { rlim_cur: bytes, rlim_max: libc::RLIM_INFINITY };
    // SAFETY: `limit` is only read, and the null pointer requests no old limit.
    let result = unsafe { libc::prlimit(pid, libc::RLIMIT_FSIZE, &raw const limit, std::ptr::null_mut()) };
    assert_eq!(result, 0, "sets the limit");
}

/// Environment variable that makes a child process of this test run [`fill_the_disk`].
const FULL_DISK_VARIABLE: &str = "SUMACVALE_TEST_FULL_DISK";

#[test]
fn a_disk_that_fills_during_large_versions_loses_nothing_and_takes_writes_again() {
    if std::env::var_os(FULL_DISK_VARIABLE).is_some() {
        return fill_the_disk();
    }
    // The limit applies to a whole process, so the test runs in a child process.
    let name = "a_disk_that_fills_during_large_versions_loses_nothing_and_takes_writes_again";
    let program = std::env::current_exe().expect("this program");
    let output = Command::new(program)
        .args(["--exact", name, "--nocapture"])
        .env(FULL_DISK_VARIABLE, "1")
        .output()
        .expect("runs");
    let text = String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success() && text.contains("1 passed"), "{text}");
}

fn fill_the_disk() {
    // SAFETY: ignoring a signal accesses no memory of this process.
    unsafe { libc::signal(libc::SIGXFSZ, libc::SIG_IGN) };
    let folder = TemporaryFolder::new("full");
    let (database, ..) = Database::open(&folder.0, NodeId(5)).expect("opens");
    limit_file_size(0, 10 << 20);
    let (synced_sender, synced) = std::sync::mpsc::channel();
    let writer =
        DiskWriter::open(database, move |token| synced_sender.send(token).expect("is received")).expect("starts");
    let mut expected = DurableState { node_id: NodeId(5), ..DurableState::default() };
    for token in 0..6 {
        let write = DurableWrite::Commit(large_entry(token));
        expected.apply(&write);
        writer.jobs.send(WriteJob { token, writes: vec![write] }).expect("is queued");
    }
    while writer.error_count.load(std::sync::atomic::Ordering::Relaxed) < 3 {
        std::thread::yield_now();
    }
    assert!(synced.try_iter().all(|token| token < 5), "no unsynced write is reported as synced");
    limit_file_size(0, libc::RLIM_INFINITY);
    while synced.recv().expect("writes continue") < 5 {}
    drop(writer);
    // The writer unlocks the folder when its thread ends.
    let state = loop {
        match Database::open(&folder.0, NodeId(5)) {
            Ok((_, state, _)) => break state,
            Err(DiskError::InUse { .. }) => std::thread::yield_now(),
            Err(e) => panic!("{e}"),
        }
    };
    assert_eq!(state, expected);
}

#[test]
fn a_core_that_starts_on_a_full_disk_waits_until_it_can_write() {
    for has_data in [false, true] {
        let folder = TemporaryFolder::new(if has_data { "room-held" } else { "room-new" });
        let data = folder.0.join("data");
        if has_data {
            drop(Database::open(&data, NodeId(77)).expect("opens"));
        }
        let token = format!("sha256:{}", "0".repeat(64));
        let addr = |port| format!("127.0.77.{}:{port}", if has_data { 1 } else { 2 });
        let settings = format!(
            "{{\"data\":\"{}\",\"zone\":\"z\",\"peer\":\"{}\",\"admin\":\"{}\",\"downstream\":\"{}\",\"seeds\":[\"{}\"],\"operators\":[\"{token}\"],\"workers\":[\"{token}\"]}}",
            data.display(),
            addr(7_100),
            addr(7_101),
            addr(7_102),
            addr(7_100)
        );
        let file = folder.0.join("node.json");
        std::fs::write(&file, settings).expect("writes");
        let mut command = Command::new(env!("CARGO_BIN_EXE_sumacvale"));
        command.args(["--env".as_ref(), file.as_os_str()]).stderr(Stdio::piped()).stdout(Stdio::null());
        // SAFETY: only `setrlimit`, which is async-signal-safe, runs between fork and exec.
        unsafe {
            command.pre_exec(|| {
                let none = libc::rlimit { rlim_cur: 0, rlim_max: libc::RLIM_INFINITY };
                if libc::setrlimit(libc::RLIMIT_FSIZE, &raw const none) == 0 {
                    Ok(())
                } else {
                    Err(std::io::Error::last_os_error())
                }
            });
        }
        let mut child = command.spawn().expect("starts");
        let lines = std::io::BufReader::new(child.stderr.take().expect("piped")).lines();
        let (mut has_waited, mut log, mut has_started) = (false, Vec::new(), false);
        for line in lines.map_while(Result::ok) {
            if line.contains("takes no writes") {
                has_waited = true;
                limit_file_size(libc::pid_t::try_from(child.id()).expect("a pid"), libc::RLIM_INFINITY);
            }
            has_started = line.contains("sumacvale starts");
            log.push(line);
            if has_started {
                break;
            }
        }
        child.kill().expect("is running");
        child.wait().expect("ends");
        assert!(has_waited && has_started, "existing folder: {has_data}: {log:?}");
    }
}
