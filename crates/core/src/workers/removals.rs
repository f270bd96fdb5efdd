//! Workers that drain or leave, until a majority knows.

use crate::base::{MS, Micros, NodeId, SEC};
use crate::protocol::RemovalKey;
use std::collections::{BTreeMap, BTreeSet};

/// How long one waits for all nodes; after that another core is enough.
pub const PATIENCE: Micros = 600 * MS;
/// When a word that no other core has is given up.
pub const GIVE_UP_AFTER: Micros = 850 * MS;
/// A core that was told waits so long for the first one to finish.
pub const TAKE_OVER_AFTER: Micros = 300 * MS;
/// How often those who have not confirmed are told again.
pub const AGAIN: Micros = 150 * MS;
const KEEP: Micros = 10 * SEC;

/// One worker's end on its way to every live node.
#[derive(Clone, Debug)]
pub struct Removal {
    pub key: RemovalKey,
    pub started_at: Micros,
    pub send_due: Micros,
    /// Who has it.
    pub known_by: BTreeSet<NodeId>,
    /// Those who told of it wait under these numbers.
    pub waiting_requests: Vec<(u64, Micros)>,
}

/// The ends that some live node may not know yet, by worker.
#[derive(Clone, Debug, Default)]
pub struct Removals(pub BTreeMap<String, Removal>);

impl Removals {
    /// Begins to spread, or goes on if it is spread already; none if it is older.
    pub fn start(&mut self, key: &RemovalKey, due: Micros, now: Micros) -> Option<&mut Removal> {
        let e = self.0.entry(key.0.clone()).or_insert_with(|| Removal {
            key: key.clone(),
            started_at: now,
            send_due: due,
            known_by: BTreeSet::new(),
            waiting_requests: Vec::new(),
        });
        if &e.key > key {
            return None;
        }
        if &e.key < key {
            e.key = key.clone();
            e.started_at = now;
            e.send_due = due;
            e.known_by.clear();
        }
        e.send_due = e.send_due.min(due);
        Some(e)
    }

    /// The end of this life of a worker.
    pub fn get(&mut self, key: &RemovalKey) -> Option<&mut Removal> {
        self.0.get_mut(&key.0).filter(|e| e.key == *key)
    }

    /// Forgets ends that nobody waits for.
    pub fn expire(&mut self, now: Micros) {
        self.0.retain(|_, e| !e.waiting_requests.is_empty() || now.saturating_sub(e.started_at) < KEEP);
    }
}
