//! A voter's side of terms.

use super::LEASE_DURATION;
use crate::base::{MS, Micros, NodeId};
use std::collections::{BTreeMap, BTreeSet};

/// A quiet voter may be asked again this soon: its quiet may end before its time.
const QUIET_AGAIN: Micros = 50 * MS;

/// A voter's book of the terms that it granted.
#[derive(Clone, Debug, Default)]
pub struct LeaseGrantor {
    /// After a start nothing is granted until any term given before it has ended.
    pub fence_until: Micros,
    /// Duties for which nothing new is granted until then, also once the quiet of all ended: windows
    /// that an earlier life of this voter told of may run still. How long they had run by its start
    /// is not on its disk, so their age counts from the start only.
    pub role_fences: BTreeMap<u32, Micros>,
    /// Until then terms of an earlier set of voters may run of which this voter knows nothing, and
    /// it gives no vote for a new one.
    pub earlier_sets_until: Micros,
    pub granted: BTreeMap<u32, (NodeId, u64, Micros)>,
    pub epochs: BTreeMap<u32, u64>,
    /// Duties that somebody may have held before: those granted in an earlier life of
    /// this voter, and those whose term was renewed here.
    pub previously_held: BTreeSet<u32>,
}

/// A voter's answer to an ask for a term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseDecision {
    /// A new epoch, to be kept on disk before it is said.
    Granted {
        is_new_epoch: bool,
    },
    Rejected {
        epoch: u64,
        holder: NodeId,
        remaining: Micros,
    },
}

impl LeaseGrantor {
    /// `new` asks for an epoch nobody had; without it a holder keeps its own.
    pub fn request(&mut self, duty: u32, from: NodeId, epoch: u64, new: bool, now: Micros) -> LeaseDecision {
        let top = self.epochs.get(&duty).copied().unwrap_or(0);
        let cur = self.granted.get(&duty).copied();
        let no = |h: NodeId, left: Micros| LeaseDecision::Rejected { epoch: top, holder: h, remaining: left };
        if let Some((h, e, until)) = cur
            && until > now
            && h != from
        {
            return no(h, (until - now).max(e.min(1)));
        }
        // Only who won an epoch renews it, so a voter that forgot its row takes its word.
        if !new && epoch >= top {
            self.epochs.insert(duty, epoch);
            self.granted.insert(duty, (from, epoch, now + LEASE_DURATION));
            self.previously_held.insert(duty);
            return LeaseDecision::Granted { is_new_epoch: epoch > top };
        }
        let quiet = self.fence_until.max(self.role_fences.get(&duty).copied().unwrap_or(0));
        if now < quiet {
            return no(NodeId::default(), (quiet - now).min(QUIET_AGAIN));
        }
        if !new || epoch <= top {
            return no(NodeId::default(), 0);
        }
        self.epochs.insert(duty, epoch);
        self.granted.insert(duty, (from, epoch, now + LEASE_DURATION));
        LeaseDecision::Granted { is_new_epoch: true }
    }

    /// Whether a holder's message still stands: nothing newer was granted.
    pub fn is_fenced(&self, duty: u32, epoch: u64) -> bool {
        self.epochs.get(&duty).is_some_and(|e| *e > epoch)
    }

    /// Somebody holds this epoch of a duty.
    pub fn observe_epoch(&mut self, duty: u32, epoch: u64) {
        let e = self.epochs.entry(duty).or_insert(0);
        *e = (*e).max(epoch);
    }
}
