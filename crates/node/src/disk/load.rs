//! Reads the durable state of a core from its database.

use super::DiskError;
use super::record::{self, StoredAccept, StoredBootstrapVote, StoredPromise};
use musli::Decode;
use rusqlite::{Connection, OptionalExtension};
use sumacvale_core::base::NodeId;
use sumacvale_core::consensus::DurableState;
use sumacvale_core::protocol::{EntryDigest, LogEntry, WindowGrant, WorkerReport};

/// Reads the whole durable state; error messages name the data folder as `folder`.
pub(super) fn load(connection: &Connection, folder: &str) -> Result<DurableState, DiskError> {
    let loader = Loader { connection, folder };
    let mut state = loader.read_meta()?;
    loader.read_entries(&mut state)?;
    loader.read_digests(&mut state)?;
    loader.read_votes(&mut state)?;
    loader.read_epochs(&mut state)?;
    loader.read_grants(&mut state)?;
    loader.read_incarnations(&mut state)?;
    loader.read_removals(&mut state)?;
    Ok(state)
}

/// Reads the tables of one database.
struct Loader<'a> {
    connection: &'a Connection,
    folder: &'a str,
}

impl Loader<'_> {
    fn corrupt(&self, reason: impl Into<String>) -> DiskError {
        DiskError::Corrupt { folder: self.folder.to_owned(), reason: reason.into() }
    }

    /// Decodes a record; `name` says in error messages which one.
    fn decode<T>(&self, bytes: &[u8], name: &str) -> Result<T, DiskError>
    where
        T: for<'a> Decode<'a, musli::mode::Binary, musli::alloc::Global>,
    {
        record::decode(bytes).ok_or_else(|| self.corrupt(format!("{name} does not match its checksum")))
    }

    fn node_id(&self, bytes: Vec<u8>) -> Result<NodeId, DiskError> {
        let bytes = bytes.try_into().map_err(|_| self.corrupt("a node id has the wrong length"))?;
        Ok(NodeId(u64::from_be_bytes(bytes)))
    }

    fn decompress(&self, entry: LogEntry, name: &str) -> Result<LogEntry, DiskError> {
        entry.decompress().ok_or_else(|| self.corrupt(format!("{name} can't be decompressed")))
    }

    fn read_meta(&self) -> Result<DurableState, DiskError> {
        let (node_id, ready): (Vec<u8>, Option<i64>) =
            self.connection.query_row("SELECT nid, ready FROM meta", [], |row| Ok((row.get(0)?, row.get(1)?)))?;
        Ok(DurableState {
            node_id: self.node_id(node_id)?,
            ready_set: ready.and_then(|index| u64::try_from(index).ok()),
            ..DurableState::default()
        })
    }

    fn read_entries(&self, state: &mut DurableState) -> Result<(), DiskError> {
        let mut query = self.connection.prepare("SELECT body FROM decree ORDER BY ver")?;
        for body in query.query_map([], |row| row.get::<_, Vec<u8>>(0))? {
            let entry: LogEntry = self.decode(&body?, "a log entry")?;
            let entry = self.decompress(entry, "a log entry")?;
            state.entries.insert(entry.version, entry);
        }
        Ok(())
    }

    fn read_digests(&self, state: &mut DurableState) -> Result<(), DiskError> {
        let mut query = self.connection.prepare("SELECT body FROM digest ORDER BY ver")?;
        let mut digests = Vec::new();
        for body in query.query_map([], |row| row.get::<_, Vec<u8>>(0))? {
            digests.push(self.decode::<EntryDigest>(&body?, "a digest")?);
        }
        state.digests.insert_missing(digests);
        // Folders of releases that had no table of digests hold entries without digests.
        state.digests.insert_missing(state.entries.values().map(EntryDigest::of).collect::<Vec<_>>());
        Ok(())
    }

    /// Returns the encoded row of the table `vote` with this key.
    fn vote_body(&self, key: &str) -> Result<Option<Vec<u8>>, rusqlite::Error> {
        self.connection.query_row("SELECT body FROM vote WHERE what = ?1", [key], |row| row.get(0)).optional()
    }

    fn read_votes(&self, state: &mut DurableState) -> Result<(), DiskError> {
        if let Some(body) = self.vote_body("promise")? {
            let promise: StoredPromise = self.decode(&body, "the promise")?;
            state.promised = Some((promise.instance, promise.ballot));
        }
        if let Some(body) = self.vote_body("accept")? {
            let accept: StoredAccept = self.decode(&body, "the accepted proposal")?;
            let entry = self.decompress(accept.entry, "the accepted proposal")?;
            state.accepted = Some((accept.ballot, entry));
        }
        if let Some(body) = self.vote_body("pledge")? {
            let vote: StoredBootstrapVote = self.decode(&body, "the bootstrap vote")?;
            state.bootstrap_vote = vote.voters;
        }
        Ok(())
    }

    fn read_epochs(&self, state: &mut DurableState) -> Result<(), DiskError> {
        let mut query = self.connection.prepare("SELECT duty, epoch FROM epoch")?;
        for row in query.query_map([], |row| Ok((row.get::<_, u32>(0)?, row.get::<_, i64>(1)?)))? {
            let (role, epoch) = row?;
            state.epochs.insert(role, u64::try_from(epoch).unwrap_or(0));
        }
        Ok(())
    }

    fn read_grants(&self, state: &mut DurableState) -> Result<(), DiskError> {
        let mut query = self.connection.prepare("SELECT tenant, nid, win, cum FROM quota")?;
        let rows = query.query_map([], |row| {
            Ok((row.get::<_, String>(0)?, row.get::<_, Vec<u8>>(1)?, row.get::<_, i64>(2)?, row.get::<_, i64>(3)?))
        })?;
        let unsigned = |value: i64| u64::try_from(value).unwrap_or(0);
        for row in rows {
            let (tenant, node_id, window, granted_total) = row?;
            let node_id = self.node_id(node_id)?;
            let (window, granted_total) = (unsigned(window), unsigned(granted_total));
            let grant = WindowGrant { tenant: tenant.clone(), window, node_id, granted_total, age: 0 };
            state.grants.insert((tenant, node_id), grant);
        }
        Ok(())
    }

    fn read_incarnations(&self, state: &mut DurableState) -> Result<(), DiskError> {
        let mut query = self.connection.prepare("SELECT nid, inc, addr FROM life")?;
        let rows = query
            .query_map([], |row| Ok((row.get::<_, Vec<u8>>(0)?, row.get::<_, i64>(1)?, row.get::<_, String>(2)?)))?;
        for row in rows {
            let (node_id, incarnation, addr) = row?;
            state.registered.insert((self.node_id(node_id)?, incarnation.cast_unsigned()), addr);
        }
        Ok(())
    }

    fn read_removals(&self, state: &mut DurableState) -> Result<(), DiskError> {
        let mut query = self.connection.prepare("SELECT body FROM removal")?;
        for body in query.query_map([], |row| row.get::<_, Vec<u8>>(0))? {
            let report: WorkerReport = self.decode(&body?, "the removal of a worker")?;
            state.removals.insert(report.worker_id.clone(), report);
        }
        Ok(())
    }
}
