//! The database of a core: every write is whole and synced, or not there.

use super::folder;
use displaydoc::Display;
use musli::{Decode, Encode};
use rusqlite::{Connection, OptionalExtension, params};
use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;
use sumacvale_core::base::{Incarnation, NodeId, Version, hash64};
use sumacvale_core::consensus::{DurableState, DurableWrite, MAX_DIGESTS, lowest_kept_version};
use sumacvale_core::protocol::{Ballot, EntryDigest, LogEntry, Voter, WindowGrant};

const MARK: i32 = 0x5355_4D41;
const FORM: i64 = 1;
/// What stays of the write-ahead log after a large write has gone from it into the file.
const LOG_BYTES: usize = 4 << 20;
/// How often a disk that takes no writes is tried again.
const AGAIN: Duration = Duration::from_millis(200);

/// Why a folder of data can't be used.
#[derive(Debug, Display, thiserror::Error)]
pub enum DiskError {
    /// {0}: can't be used: {1}; mend the folder's rights or its disk
    UnusableFolder(String, String),
    /// {0}: holds other files and no state.db; name an empty folder or the right one
    ForeignFolder(String),
    /// {0}: is not a data folder of sumacvale, or of another form ({1}); name the right folder, or use the release that wrote it
    UnsupportedFormat(String, String),
    /// {0}: is damaged ({1}); move the folder away, start with an empty one, and admit this machine as a new core
    Corrupt(String, String),
    /// {0}: is in use by another process; stop that one, or name another folder
    InUse(String),
    /// the disk failed: {0}; free some room or replace the disk
    Sqlite(#[from] rusqlite::Error),
    /// {0}: takes no writes now ({1}); free some room or replace the disk
    Unwritable(String, String),
}

impl DiskError {
    /// Whether the disk may get over it by itself.
    pub fn is_transient(&self) -> bool {
        match self {
            DiskError::Unwritable(..) => true,
            DiskError::Sqlite(e) => passes(e),
            _ => false,
        }
    }
}

/// Whether this is a disk in trouble rather than a file that is not what it should be.
fn passes(e: &rusqlite::Error) -> bool {
    use rusqlite::ErrorCode::{CannotOpen, DiskFull, OutOfMemory, ReadOnly, SystemIoFailure};
    let code = e.sqlite_error_code();
    matches!(code, Some(CannotOpen | DiskFull | OutOfMemory | ReadOnly | SystemIoFailure))
}

/// The one file of a core.
pub struct Database {
    db: Connection,
    at: String,
    /// The bytes of the bodies that are kept whole.
    sizes: BTreeMap<Version, usize>,
}

#[derive(Encode, Decode)]
struct Vote {
    instance: u64,
    ballot: Ballot,
}

#[derive(Encode, Decode)]
struct Said {
    ballot: Ballot,
    decree: LogEntry,
}

#[derive(Encode, Decode)]
struct Pledge {
    cores: Vec<Voter>,
}

fn seal<T: Encode<musli::mode::Binary>>(t: &T) -> Result<Vec<u8>, rusqlite::Error> {
    let mut b = musli::wire::to_vec(t).map_err(|e| rusqlite::Error::ToSqlConversionFailure(e.to_string().into()))?;
    let h = hash64(&b);
    b.extend(h.to_le_bytes());
    Ok(b)
}

/// A new database, in the mode in which it stays.
///
/// The names of tables and columns stay for ever, since folders of earlier releases have them. The
/// comments are beside the SQL and not in it, because SQLite keeps the text of each `CREATE TABLE`.
/// In standard terms:
///
/// - `meta`: one row about this core. `one`: always 1, so that there is no second row. `form`: the
///   version of the file format. `nid`: the node id, as 8 bytes big-endian. `life`: the incarnation
///   number, which counts the starts of this core. `ready`: the configuration of voters whose
///   predecessor's quota grants this core has taken over, named by the log index that began it; null
///   before the first.
/// - `decree`: the newest log entries, each a whole version of the configuration. `ver`: the log index.
///   `body`: the encoded `Decree` and its checksum.
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
/// Two more tables are made in [`Database::open`].
fn make(file: &Path, node_id: NodeId) -> Result<(), DiskError> {
    let mut db = Connection::open(file)?;
    db.execute_batch("PRAGMA journal_mode=WAL; PRAGMA synchronous=FULL;")?;
    let t = db.transaction()?;
    t.execute_batch(&format!(
        "PRAGMA application_id={MARK};
         CREATE TABLE meta (one INTEGER PRIMARY KEY CHECK (one = 1), form INTEGER NOT NULL, nid BLOB NOT NULL, life INTEGER NOT NULL, ready INTEGER);
         CREATE TABLE decree (ver INTEGER PRIMARY KEY, body BLOB NOT NULL);
         CREATE TABLE vote (what TEXT PRIMARY KEY, body BLOB NOT NULL);
         CREATE TABLE epoch (duty INTEGER PRIMARY KEY, epoch INTEGER NOT NULL);
         CREATE TABLE quota (tenant TEXT NOT NULL, nid BLOB NOT NULL, win INTEGER NOT NULL, cum INTEGER NOT NULL, PRIMARY KEY (tenant, nid));"
    ))?;
    t.execute("INSERT INTO meta VALUES (1, ?1, ?2, 0, NULL)", params![FORM, node_id.0.to_be_bytes()])?;
    t.commit()?;
    // All of it goes from the log into the file.
    let busy: i64 = db.query_row("PRAGMA wal_checkpoint(TRUNCATE)", [], |r| r.get(0))?;
    db.close().map_err(|(_, e)| e)?;
    if busy == 0 { Ok(()) } else { Err(DiskError::Unwritable(file.display().to_string(), "the log stays".into())) }
}

impl Database {
    /// As `open`, but waits for a disk that is full or in trouble: a core that has not counted its
    /// new life can't vote yet, and one that ended would only start again.
    pub fn open_when_writable(dir: &Path, new: NodeId) -> Result<(Database, DurableState, Incarnation), DiskError> {
        let mut told = false;
        loop {
            match Database::open(dir, new) {
                Err(e) if e.is_transient() => {
                    if !told {
                        tracing::error!(trouble = %e, "the disk takes no writes; this core waits for it and does not vote");
                    }
                    told = true;
                    std::thread::sleep(AGAIN);
                }
                r => {
                    if told && r.is_ok() {
                        tracing::info!("the disk takes writes; this core starts");
                    }
                    return r;
                }
            }
        }
    }

    /// Opens the folder, or makes it where it is empty; the life counts starts.
    pub fn open(dir: &Path, new: NodeId) -> Result<(Database, DurableState, Incarnation), DiskError> {
        let at = dir.display().to_string();
        if !folder::prepare(dir)? {
            folder::create(dir, |draft| make(draft, new))?;
        }
        let db = Connection::open(dir.join(folder::DATABASE_FILE))?;
        let mut b = Database { db, at, sizes: BTreeMap::new() };
        b.lock()?;
        b.judge()?;
        // Folders of releases before them have none. In standard terms, as for `make`:
        // - `life`: the registered incarnations of nodes that may hold shares of rate limits. `nid`: the
        //   node id. `inc`: the incarnation number, as a signed integer of the same bits. `addr`: the
        //   address at which it is reached.
        // - `digest`: hashes of log entries, also of those whose bodies are no longer kept, by which a
        //   repeated request is recognised. `ver`: the log index. `body`: the encoded `Digest` and its
        //   checksum.
        b.db.execute_batch(
            "CREATE TABLE IF NOT EXISTS life (nid BLOB NOT NULL, inc INTEGER NOT NULL, addr TEXT NOT NULL, PRIMARY KEY (nid, inc));
             CREATE TABLE IF NOT EXISTS digest (ver INTEGER PRIMARY KEY, body BLOB NOT NULL);",
        )?;
        let k = b.load()?;
        b.remember_all(&k)?;
        b.sizes = k.entries.values().map(|d| (d.version, d.body.len())).collect();
        let life = b.count_life()?;
        Ok((b, k, life))
    }

    /// The number of this start. Read within a transaction of its own: where a statement that
    /// returns a row commits by itself, nobody hears that the commit failed.
    fn count_life(&mut self) -> Result<Incarnation, DiskError> {
        let t = self.db.transaction()?;
        let life: i64 = t.query_row("UPDATE meta SET life = life + 1 RETURNING life", [], |r| r.get(0))?;
        t.commit()?;
        Ok(Incarnation::try_from(life).unwrap_or(1))
    }

    /// Folders of earlier releases hold versions without digests.
    fn remember_all(&mut self, k: &DurableState) -> Result<(), DiskError> {
        let held: i64 = self.db.query_row("SELECT COUNT(*) FROM digest", [], |r| r.get(0))?;
        if held > 0 || k.digests.is_empty() {
            return Ok(());
        }
        self.commit([DurableWrite::Digests(k.digests.as_slice().to_vec())].iter())
    }

    fn lock(&mut self) -> Result<(), DiskError> {
        let r = self.db.execute_batch(&format!(
            "PRAGMA locking_mode=EXCLUSIVE; PRAGMA journal_mode=WAL; PRAGMA synchronous=FULL; PRAGMA busy_timeout=0;
             PRAGMA journal_size_limit={LOG_BYTES}; BEGIN IMMEDIATE; COMMIT;"
        ));
        r.map_err(|e| match e.sqlite_error_code() {
            Some(rusqlite::ErrorCode::DatabaseBusy | rusqlite::ErrorCode::DatabaseLocked) => {
                DiskError::InUse(self.at.clone())
            }
            Some(rusqlite::ErrorCode::NotADatabase) => {
                DiskError::UnsupportedFormat(self.at.clone(), "no SQLite file".into())
            }
            Some(rusqlite::ErrorCode::DatabaseCorrupt) => DiskError::Corrupt(self.at.clone(), e.to_string()),
            _ => DiskError::Sqlite(e),
        })
    }

    fn judge(&self) -> Result<(), DiskError> {
        let bad = |e: rusqlite::Error| match passes(&e) {
            true => DiskError::Sqlite(e),
            false => DiskError::Corrupt(self.at.clone(), e.to_string()),
        };
        let mark: i32 = self.db.query_row("PRAGMA application_id", [], |r| r.get(0)).map_err(bad)?;
        if mark != MARK {
            return Err(DiskError::UnsupportedFormat(self.at.clone(), "not marked as sumacvale's".into()));
        }
        let ok: String = self.db.query_row("PRAGMA integrity_check", [], |r| r.get(0)).map_err(bad)?;
        if ok != "ok" {
            return Err(DiskError::Corrupt(self.at.clone(), ok));
        }
        let form: i64 = self.db.query_row("SELECT form FROM meta", [], |r| r.get(0)).map_err(bad)?;
        if form != FORM {
            return Err(DiskError::UnsupportedFormat(
                self.at.clone(),
                format!("form {form}, this release knows {FORM}"),
            ));
        }
        Ok(())
    }

    fn unseal<T: for<'a> Decode<'a, musli::mode::Binary, musli::alloc::Global>>(
        &self,
        b: &[u8],
        what: &str,
    ) -> Result<T, DiskError> {
        let bad = || DiskError::Corrupt(self.at.clone(), format!("{what} does not match its check sum"));
        let (d, h) = b.split_at_checked(b.len().saturating_sub(8)).ok_or_else(bad)?;
        if h != hash64(d).to_le_bytes() {
            return Err(bad());
        }
        musli::wire::from_slice(d).map_err(|_| bad())
    }

    fn load(&self) -> Result<DurableState, DiskError> {
        let id = |b: Vec<u8>| b.try_into().map(u64::from_be_bytes).map(NodeId);
        let torn = || DiskError::Corrupt(self.at.clone(), "a member id is torn".into());
        let (b, ready): (Vec<u8>, Option<i64>) =
            self.db.query_row("SELECT nid, ready FROM meta", [], |r| Ok((r.get(0)?, r.get(1)?)))?;
        let mut k = DurableState {
            node_id: id(b).map_err(|_| torn())?,
            ready_set: ready.and_then(|r| u64::try_from(r).ok()),
            ..DurableState::default()
        };
        let mut q = self.db.prepare("SELECT body FROM decree ORDER BY ver")?;
        for b in q.query_map([], |r| r.get::<_, Vec<u8>>(0))? {
            let d: LogEntry = self.unseal(&b?, "a version")?;
            let torn = || DiskError::Corrupt(self.at.clone(), "a version can't be unpacked".into());
            let d = d.decompress().ok_or_else(torn)?;
            k.entries.insert(d.version, d);
        }
        let mut q = self.db.prepare("SELECT body FROM digest ORDER BY ver")?;
        let mut digests = Vec::new();
        for b in q.query_map([], |r| r.get::<_, Vec<u8>>(0))? {
            digests.push(self.unseal::<EntryDigest>(&b?, "a digest")?);
        }
        k.digests.insert_all(digests);
        // Folders of releases before it hold versions without digests.
        k.digests.insert_all(k.entries.values().map(EntryDigest::of).collect::<Vec<_>>());
        let blob = |w: &str| -> Result<Option<Vec<u8>>, rusqlite::Error> {
            self.db.query_row("SELECT body FROM vote WHERE what = ?1", [w], |r| r.get(0)).optional()
        };
        if let Some(b) = blob("promise")? {
            let v: Vote = self.unseal(&b, "the promise")?;
            k.promised = Some((v.instance, v.ballot));
        }
        if let Some(b) = blob("accept")? {
            let v: Said = self.unseal(&b, "the acceptance")?;
            let torn = || DiskError::Corrupt(self.at.clone(), "the acceptance can't be unpacked".into());
            k.accepted = Some((v.ballot, v.decree.decompress().ok_or_else(torn)?));
        }
        if let Some(b) = blob("pledge")? {
            let v: Pledge = self.unseal(&b, "the pledge")?;
            k.bootstrap_vote = v.cores;
        }
        let mut q = self.db.prepare("SELECT duty, epoch FROM epoch")?;
        for r in q.query_map([], |r| Ok((r.get::<_, u32>(0)?, r.get::<_, i64>(1)?)))? {
            let (d, e) = r?;
            k.epochs.insert(d, u64::try_from(e).unwrap_or(0));
        }
        let mut q = self.db.prepare("SELECT tenant, nid, win, cum FROM quota")?;
        let rs = q.query_map([], |r| {
            Ok((r.get::<_, String>(0)?, r.get::<_, Vec<u8>>(1)?, r.get::<_, i64>(2)?, r.get::<_, i64>(3)?))
        })?;
        for r in rs {
            let (tenant, n, window, granted_total) = r?;
            let node_id = id(n).map_err(|_| torn())?;
            let u = |n: i64| u64::try_from(n).unwrap_or(0);
            k.grants.insert(
                (tenant.clone(), node_id),
                WindowGrant { tenant, window: u(window), node_id, granted_total: u(granted_total), age: 0 },
            );
        }
        let mut q = self.db.prepare("SELECT nid, inc, addr FROM life")?;
        let rs = q.query_map([], |r| Ok((r.get::<_, Vec<u8>>(0)?, r.get::<_, i64>(1)?, r.get::<_, String>(2)?)))?;
        for r in rs {
            let (n, incarnation, addr) = r?;
            k.registered.insert((id(n).map_err(|_| torn())?, incarnation.cast_unsigned()), addr);
        }
        Ok(k)
    }

    /// Writes all of it or nothing, and returns when the disk has it.
    pub fn commit<'a>(&mut self, ops: impl Iterator<Item = &'a DurableWrite>) -> Result<(), DiskError> {
        let i = |n: u64| i64::try_from(n).unwrap_or(i64::MAX);
        let mut sizes = self.sizes.clone();
        let t = self.db.transaction()?;
        let remember = |d: &EntryDigest| -> Result<(), DiskError> {
            t.prepare_cached("INSERT OR IGNORE INTO digest VALUES (?1, ?2)")?
                .execute(params![i(d.version), seal(d)?])?;
            Ok(())
        };
        let put = |w: &str, b: Vec<u8>| -> Result<(), DiskError> {
            t.prepare_cached("INSERT OR REPLACE INTO vote VALUES (?1, ?2)")?.execute(params![w, b])?;
            Ok(())
        };
        for o in ops {
            match o {
                DurableWrite::BootstrapVote(p) => put("pledge", seal(&Pledge { cores: p.clone() })?)?,
                DurableWrite::Promise { instance, ballot } => {
                    put("promise", seal(&Vote { instance: *instance, ballot: *ballot })?)?
                }
                DurableWrite::Accept { ballot, entry: decree } => {
                    put("accept", seal(&Said { ballot: *ballot, decree: decree.self_contained() })?)?
                }
                DurableWrite::Commit(d) => {
                    remember(&EntryDigest::of(d))?;
                    t.prepare_cached("INSERT OR REPLACE INTO decree VALUES (?1, ?2)")?
                        .execute(params![i(d.version), seal(&d.self_contained())?])?;
                    sizes.insert(d.version, d.body.len());
                    let floor = lowest_kept_version(sizes.iter().rev().map(|(v, n)| (*v, *n)));
                    sizes.retain(|v, _| *v >= floor);
                    t.prepare_cached("DELETE FROM decree WHERE ver < ?1")?.execute([i(floor)])?;
                    t.prepare_cached("DELETE FROM digest WHERE ver <= (SELECT MAX(ver) FROM digest) - ?1")?
                        .execute([i(MAX_DIGESTS as u64)])?;
                }
                DurableWrite::Digests(rows) => rows.iter().try_for_each(remember)?,
                DurableWrite::Epoch { role: duty, epoch } => {
                    t.prepare_cached("INSERT OR REPLACE INTO epoch VALUES (?1, ?2)")?
                        .execute(params![duty, i(*epoch)])?;
                }
                DurableWrite::Ready(v) => {
                    t.prepare_cached("UPDATE meta SET ready = ?1")?.execute(params![i(*v)])?;
                }
                DurableWrite::Register(ls) => {
                    let mut q = t.prepare_cached("INSERT OR REPLACE INTO life VALUES (?1, ?2, ?3)")?;
                    for l in ls {
                        q.execute(params![l.node_id.0.to_be_bytes(), l.incarnation.cast_signed(), l.addr])?;
                    }
                }
                DurableWrite::Deregister(ls) => {
                    let mut q = t.prepare_cached("DELETE FROM life WHERE nid = ?1 AND inc = ?2")?;
                    for (node_id, incarnation) in ls {
                        q.execute(params![node_id.0.to_be_bytes(), incarnation.cast_signed()])?;
                    }
                }
                DurableWrite::Grant(g) => {
                    t.prepare_cached("DELETE FROM quota WHERE tenant = ?1 AND win < ?2")?
                        .execute(params![g.tenant, i(g.window)])?;
                    t.prepare_cached("INSERT OR REPLACE INTO quota VALUES (?1, ?2, ?3, ?4)")?.execute(params![
                        g.tenant,
                        g.node_id.0.to_be_bytes(),
                        i(g.window),
                        i(g.granted_total)
                    ])?;
                }
            }
        }
        t.commit()?;
        self.sizes = sizes;
        Ok(())
    }
}
