//! The data folder: what was synced is there again, and what is not ours is refused.

use std::io::BufRead;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use sumacvale_core::base::{ChangeId, NodeId};
use sumacvale_core::consensus::{DurableState, DurableWrite, MAX_DIGESTS, MAX_HISTORY_BYTES};
use sumacvale_core::protocol::{Ballot, EntryDigest, LogEntry, RegisteredIncarnation, Voter, WindowGrant};
use sumacvale_node::disk::{Database, DiskError, DiskWriter, WriteJob};

struct Dir(PathBuf);

impl Dir {
    fn new(n: &str) -> Dir {
        let d = std::env::temp_dir().join(format!("sumacvale-disk-{n}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&d);
        std::fs::create_dir(&d).expect("makes a folder");
        Dir(d)
    }
}

impl Drop for Dir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn decree(version: u64) -> LogEntry {
    let c = |n| Voter { node_id: NodeId(n), addr: format!("10.0.0.{n}:1") };
    LogEntry {
        version,
        change_id: ChangeId(version + 7),
        fleet_id: 9,
        voters_since: 0,
        previous_voters: vec![],
        voters: vec![c(1), c(2)],
        body: format!("{{\"n\":{version}}}"),
        revision: version * 3,
        patch: None,
        compressed: Vec::new(),
    }
}

fn ops() -> Vec<DurableWrite> {
    let ballot = Ballot { number: 3, node_id: NodeId(u64::MAX), incarnation: 2 };
    let grant = |window, node_id, granted_total| {
        DurableWrite::Grant(WindowGrant { tenant: "t".into(), window, node_id: NodeId(node_id), granted_total, age: 0 })
    };
    let mut v = vec![
        DurableWrite::BootstrapVote(decree(0).voters),
        DurableWrite::Promise { instance: 1, ballot },
        DurableWrite::Accept { ballot, entry: decree(1) },
    ];
    v.extend((0..80).map(|n| DurableWrite::Commit(decree(n))));
    v.extend([
        DurableWrite::Epoch { role: 3, epoch: 5 },
        DurableWrite::Epoch { role: 3, epoch: 6 },
        DurableWrite::Ready(0),
    ]);
    v.extend([grant(1, 1, 4), grant(1, 2, 5), grant(2, 1, 1), grant(2, 1, 3)]);
    let life = |node_id, incarnation| RegisteredIncarnation {
        node_id: NodeId(node_id),
        incarnation,
        addr: format!("a{node_id}:1"),
    };
    v.push(DurableWrite::Register(vec![life(1, 1), life(2, u64::MAX), life(2, 3)]));
    v.push(DurableWrite::Deregister(vec![(NodeId(2), 3), (NodeId(9), 1)]));
    v
}

#[test]
fn the_disk_and_the_simulated_disk_keep_the_same() {
    let d = Dir::new("same");
    let mut want = DurableState { node_id: NodeId(77), ..DurableState::default() };
    let (mut b, k, life) = Database::open(&d.0, NodeId(77)).expect("opens");
    assert_eq!((k, life), (want.clone(), 1));
    for o in ops() {
        b.commit([&o].into_iter()).expect("commits");
        want.apply(&o);
        drop(b);
        let (again, k, _) = Database::open(&d.0, NodeId(1)).expect("opens again");
        assert_eq!(k, want, "after {o:?}");
        b = again;
    }
    let (_, _, life) = {
        drop(b);
        Database::open(&d.0, NodeId(1)).expect("opens")
    };
    assert!(life > 80, "each start is a new life");
}

#[test]
fn folders_that_are_in_use_foreign_or_damaged_are_refused() {
    let d = Dir::new("use");
    let (b, ..) = Database::open(&d.0, NodeId(5)).expect("opens");
    assert!(matches!(Database::open(&d.0, NodeId(6)), Err(DiskError::InUse { .. })));
    drop(b);
    let d = Dir::new("foreign");
    std::fs::write(d.0.join("letters.txt"), "x").expect("writes");
    assert!(matches!(Database::open(&d.0, NodeId(5)), Err(DiskError::ForeignFolder { .. })));
    let d = Dir::new("other");
    std::fs::write(d.0.join("state.db"), vec![7; 5_000]).expect("writes");
    assert!(matches!(Database::open(&d.0, NodeId(5)), Err(DiskError::UnsupportedFormat { .. })));
    let d = Dir::new("empty");
    std::fs::write(d.0.join("state.db"), b"").expect("writes");
    assert!(
        matches!(Database::open(&d.0, NodeId(5)), Err(DiskError::UnsupportedFormat { .. })),
        "a file that lost all is no new folder"
    );
}

#[test]
fn no_flipped_byte_is_taken_for_what_was_written() {
    let dir = Dir::new("flip");
    let file = dir.0.join("state.db");
    let mut want = DurableState { node_id: NodeId(77), ..DurableState::default() };
    let (mut database, ..) = Database::open(&dir.0, NodeId(77)).expect("opens");
    for operation in ops() {
        want.apply(&operation);
    }
    database.commit(ops().iter()).expect("commits");
    drop(database);
    let good = std::fs::read(&file).expect("reads");
    let mut random = sumacvale_core::base::Rng::new(3);
    let mut refused = 0;
    for _ in 0..60 {
        let mut bad = good.clone();
        let index = usize::try_from(random.below(bad.len() as u64)).expect("small");
        bad[index] ^= 1 << random.below(8);
        let _ = std::fs::remove_file(dir.0.join("state.db-wal"));
        std::fs::write(&file, &bad).expect("writes");
        match Database::open(&dir.0, NodeId(1)) {
            Err(_) => refused += 1,
            Ok((_, read, _)) => {
                let same = (&read.entries, &read.promised, &read.accepted, &read.bootstrap_vote)
                    == (&want.entries, &want.promised, &want.accepted, &want.bootstrap_vote);
                assert!(same, "byte {index}: read as something else");
            }
        }
    }
    assert!(refused > 0);
}

/// Bytes of all files in a folder.
fn on_disk(dir: &Path) -> u64 {
    let files = std::fs::read_dir(dir).expect("lists").map(|f| f.expect("an entry").metadata().expect("its size"));
    files.map(|m| m.len()).sum()
}

#[test]
fn a_start_that_power_ended_halfway_is_begun_anew() {
    // Each of them may have lasted by itself, torn or whole.
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
        let d = Dir::new("halfway");
        for (name, size) in files {
            std::fs::write(d.0.join(name), vec![0; *size]).expect("writes");
        }
        let (b, k, life) = Database::open(&d.0, NodeId(8)).unwrap_or_else(|e| panic!("{files:?}: {e}"));
        assert_eq!((k.node_id, life), (NodeId(8), 1), "{files:?}");
        drop(b);
        let (.., life) = Database::open(&d.0, NodeId(9)).expect("opens again");
        assert_eq!(life, 2, "{files:?}");
    }
}

#[test]
fn a_journal_that_comes_back_after_a_loss_of_power_undoes_no_vote() {
    let d = Dir::new("journal");
    drop(Database::open(&d.0, NodeId(77)).expect("opens"));
    // The journal of a change of the file's mode, as it was synced, whose removal was not.
    let (file, journal) = (d.0.join("state.db"), d.0.join("state.db-journal"));
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
    let mut want = DurableState { node_id: NodeId(77), ..DurableState::default() };
    let (mut b, ..) = Database::open(&d.0, NodeId(1)).expect("opens");
    b.commit(ops().iter()).expect("commits");
    for operation in ops() {
        want.apply(&operation);
    }
    drop(b);
    std::fs::write(&journal, old).expect("comes back");
    let (_, k, _) = Database::open(&d.0, NodeId(1)).expect("opens with the journal");
    assert_eq!(k, want);
}

fn large(version: u64) -> LogEntry {
    LogEntry { body: "x".repeat(4 << 20), ..decree(version) }
}

#[test]
fn the_folder_stays_small_however_large_versions_are() {
    let d = Dir::new("large");
    let (mut b, ..) = Database::open(&d.0, NodeId(5)).expect("opens");
    let ballot = Ballot { number: 3, node_id: NodeId(2), incarnation: 2 };
    let mut most = 0;
    let mut want = DurableState { node_id: NodeId(5), ..DurableState::default() };
    for version in 0..30 {
        let each = [
            DurableWrite::Promise { instance: version, ballot },
            DurableWrite::Accept { ballot, entry: large(version) },
            DurableWrite::Commit(large(version)),
        ];
        for o in &each {
            b.commit([o].into_iter()).expect("commits");
            want.apply(o);
            most = most.max(on_disk(&d.0));
        }
    }
    let bodies: usize = want.entries.values().map(|d| d.body.len()).sum();
    println!("30 versions of 4 MiB: {bodies} bytes of bodies kept, {most} bytes of files at most");
    assert!(bodies <= MAX_HISTORY_BYTES, "{bodies}");
    assert!(most <= 56 << 20, "{most}");
    drop(b);
    let (_, k, _) = Database::open(&d.0, NodeId(5)).expect("opens again");
    assert_eq!(k, want);
    assert_eq!(k.digests.len(), 30, "all are remembered");
}

#[test]
fn twenty_thousand_versions_are_remembered_in_a_few_megabytes() {
    let d = Dir::new("digests");
    let (mut b, ..) = Database::open(&d.0, NodeId(5)).expect("opens");
    let all: Vec<_> = (0..MAX_DIGESTS as u64 + 500).map(|v| EntryDigest::of(&decree(v))).collect();
    for piece in all.chunks(500) {
        b.commit([DurableWrite::Digests(piece.to_vec())].iter()).expect("commits");
    }
    let last = decree(MAX_DIGESTS as u64 + 500);
    b.commit([DurableWrite::Commit(last.clone())].iter()).expect("commits");
    drop(b);
    let from = std::time::Instant::now();
    let (_, k, _) = Database::open(&d.0, NodeId(5)).expect("opens again");
    let (took, bytes) = (from.elapsed(), on_disk(&d.0));
    println!("{} digests: {bytes} bytes of files, read in {} ms", k.digests.len(), took.as_millis());
    assert_eq!(k.digests.len(), MAX_DIGESTS);
    assert_eq!(k.digests.as_slice().last(), Some(&EntryDigest::of(&last)));
    assert!(k.digests.get(500).is_none() && k.digests.get(501).is_some(), "the oldest go first");
    assert!(bytes <= 8 << 20, "{bytes}");
    assert!(std::mem::size_of::<EntryDigest>() * MAX_DIGESTS <= 2 << 20);
}

fn limit_files(pid: libc::pid_t, bytes: u64) {
    let limit = libc::rlimit { rlim_cur: bytes, rlim_max: libc::RLIM_INFINITY };
    // SAFETY: the limit is read, nothing is written back.
    let r = unsafe { libc::prlimit(pid, libc::RLIMIT_FSIZE, &raw const limit, std::ptr::null_mut()) };
    assert_eq!(r, 0, "sets the limit");
}

/// What tells the copy of this program that its files may not grow.
const INNER: &str = "SUMACVALE_TEST_FULL_DISK";

#[test]
fn a_disk_that_fills_during_large_versions_loses_nothing_and_takes_writes_again() {
    if std::env::var_os(INNER).is_some() {
        return fill_the_disk();
    }
    // The limit holds for a whole process, so the trial has one of its own.
    let name = "a_disk_that_fills_during_large_versions_loses_nothing_and_takes_writes_again";
    let me = std::env::current_exe().expect("this program");
    let out = Command::new(me).args(["--exact", name, "--nocapture"]).env(INNER, "1").output().expect("runs");
    let told = String::from_utf8_lossy(&out.stdout).into_owned() + &String::from_utf8_lossy(&out.stderr);
    assert!(out.status.success() && told.contains("1 passed"), "{told}");
}

fn fill_the_disk() {
    // SAFETY: ignoring a signal touches no memory of ours.
    unsafe { libc::signal(libc::SIGXFSZ, libc::SIG_IGN) };
    let d = Dir::new("full");
    let (b, ..) = Database::open(&d.0, NodeId(5)).expect("opens");
    limit_files(0, 10 << 20);
    let (done, synced) = std::sync::mpsc::channel();
    let w = DiskWriter::open(b, move |t| done.send(t).expect("heard")).expect("starts");
    let mut want = DurableState { node_id: NodeId(5), ..DurableState::default() };
    for token in 0..6 {
        let op = DurableWrite::Commit(large(token));
        want.apply(&op);
        w.jobs.send(WriteJob { token, writes: vec![op] }).expect("takes it");
    }
    while w.error_count.load(std::sync::atomic::Ordering::Relaxed) < 3 {
        std::thread::yield_now();
    }
    assert!(synced.try_iter().all(|t| t < 5), "nothing is named as synced that is not");
    limit_files(0, libc::RLIM_INFINITY);
    while synced.recv().expect("goes on") < 5 {}
    drop(w);
    // The writer gives the folder up when its thread ends.
    let k = loop {
        match Database::open(&d.0, NodeId(5)) {
            Ok((_, k, _)) => break k,
            Err(DiskError::InUse { .. }) => std::thread::yield_now(),
            Err(e) => panic!("{e}"),
        }
    };
    assert_eq!(k, want);
}

#[test]
fn a_core_whose_disk_is_full_at_its_start_waits_for_room() {
    for held in [false, true] {
        let d = Dir::new(if held { "room-held" } else { "room-new" });
        let data = d.0.join("data");
        if held {
            drop(Database::open(&data, NodeId(77)).expect("opens"));
        }
        let token = format!("sha256:{}", "0".repeat(64));
        let a = |port| format!("127.0.77.{}:{port}", if held { 1 } else { 2 });
        let settings = format!(
            "{{\"data\":\"{}\",\"zone\":\"z\",\"peer\":\"{}\",\"admin\":\"{}\",\"downstream\":\"{}\",\"seeds\":[\"{}\"],\"operators\":[\"{token}\"],\"workers\":[\"{token}\"]}}",
            data.display(),
            a(7_100),
            a(7_101),
            a(7_102),
            a(7_100)
        );
        let file = d.0.join("node.json");
        std::fs::write(&file, settings).expect("writes");
        let mut c = Command::new(env!("CARGO_BIN_EXE_sumacvale"));
        c.args(["--env".as_ref(), file.as_os_str()]).stderr(Stdio::piped()).stdout(Stdio::null());
        // SAFETY: setting a limit is all that is done between fork and exec.
        unsafe {
            c.pre_exec(|| {
                let none = libc::rlimit { rlim_cur: 0, rlim_max: libc::RLIM_INFINITY };
                if libc::setrlimit(libc::RLIMIT_FSIZE, &raw const none) == 0 {
                    Ok(())
                } else {
                    Err(std::io::Error::last_os_error())
                }
            });
        }
        let mut child = c.spawn().expect("starts");
        let lines = std::io::BufReader::new(child.stderr.take().expect("piped")).lines();
        let (mut waited, mut told, mut up) = (false, Vec::new(), false);
        for line in lines.map_while(Result::ok) {
            if line.contains("takes no writes") {
                waited = true;
                limit_files(libc::pid_t::try_from(child.id()).expect("a pid"), libc::RLIM_INFINITY);
            }
            up = line.contains("sumacvale starts");
            told.push(line);
            if up {
                break;
            }
        }
        child.kill().expect("is there to be killed");
        child.wait().expect("ends");
        assert!(waited && up, "held before: {held}: {told:?}");
    }
}
