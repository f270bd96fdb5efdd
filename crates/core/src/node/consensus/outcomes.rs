//! The outcomes of pending changes, and the replies to their requesters.
//!
//! A change is reported as committed only once a majority of the voters has its version on disk, and as stale
//! only if it can never be decided. A change whose outcome is not certain in time is reported as unknown;
//! only a change that this core has never proposed is reported as having found no quorum.

use crate::base::{Micros, SEC};
use crate::consensus::{ChangeStatus, PendingChange, Requester};
use crate::node::{Effect, Node};
use crate::protocol::{ChangeOutcome, ConsensusMessage};
use std::cmp::Ordering;

/// The time after which a pending change times out at a core, in microseconds.
pub(super) const CHANGE_TIMEOUT: Micros = 3 * SEC;

impl Node {
    /// Replies to the requester of a change or a read.
    pub(in crate::node) fn complete_change(&mut self, requester: Requester, outcome: ChangeOutcome, now: Micros) {
        match requester {
            Requester::Local(request_id) => self.outbox.push(Effect::CompleteChange { request_id, outcome }),
            Requester::Peer { node_id, request_id } => {
                self.send_consensus(node_id, ConsensusMessage::ForwardReply { request_id, outcome }, now);
            }
            Requester::Internal => {}
        }
    }

    /// Returns when a pending change was received, in microseconds of this node's clock.
    pub(in crate::node) fn received_at(pending: &PendingChange) -> Micros {
        pending.deadline.saturating_sub(CHANGE_TIMEOUT)
    }

    /// Replies to every change whose outcome is known, and to every change that has timed out.
    pub(super) fn complete_decided_changes(&mut self, now: Micros) {
        let pending_changes = std::mem::take(&mut self.consensus.state.pending_changes);
        for mut pending in pending_changes {
            let outcome = match self.change_status(&pending) {
                ChangeStatus::IdReused => Some(ChangeOutcome::IdReused),
                ChangeStatus::Decided(version) => {
                    pending.decided_version = Some(version);
                    self.final_outcome(&pending, now)
                }
                ChangeStatus::Unknown => self.final_outcome(&pending, now),
            };
            match outcome.or_else(|| self.timeout_outcome(&pending, now)) {
                Some(outcome) => self.complete_change(pending.requester, outcome, now),
                None => self.consensus.state.pending_changes.push(pending),
            }
        }
    }

    /// Returns whether the change is known to have become a version.
    fn change_status(&self, pending: &PendingChange) -> ChangeStatus {
        match pending.decided_version {
            Some(version) => ChangeStatus::Decided(version),
            None => self.consensus.state.change_status(pending.change_id, &pending.change),
        }
    }

    /// Returns the outcome of a change if it is certain.
    fn final_outcome(&self, pending: &PendingChange, now: Micros) -> Option<ChangeOutcome> {
        if let Some(version) = pending.decided_version {
            let is_handed_over = !pending.changes_voters() || self.is_taken_over();
            return (self.is_committed(version) && is_handed_over).then_some(ChangeOutcome::Committed { version });
        }
        match self.current_base(&pending.change)?.cmp(&pending.base) {
            Ordering::Greater => self.stale_outcome_of_passed_base(pending),
            Ordering::Less => self.stale_outcome_of_missing_base(pending),
            Ordering::Equal if pending.is_first_send && !pending.was_proposed => {
                self.voter_change_rejection(&pending.change, now)
            }
            Ordering::Equal => None,
        }
    }

    /// Returns "stale" for a change whose base is older than the newest version, if that outcome is final: no
    /// proposer will propose the change later, as the only version that it could have become is known to be
    /// another change.
    fn stale_outcome_of_passed_base(&self, pending: &PendingChange) -> Option<ChangeOutcome> {
        let version = self.version()?;
        let is_superseded = pending.is_unshared() || self.consensus.state.is_superseded(&pending.change, pending.base);
        is_superseded.then_some(ChangeOutcome::Stale { version })
    }

    /// Returns "stale" for a change whose base is newer than the newest version here, if the version here was
    /// confirmed as the newest after the change was received. Nothing newer had been acknowledged by then, so
    /// the change's base had not been either.
    fn stale_outcome_of_missing_base(&self, pending: &PendingChange) -> Option<ChangeOutcome> {
        let version = self.version()?;
        let is_confirmed = self
            .consensus
            .freshness
            .confirmed_at(Some(version))
            .is_some_and(|confirmed_at| confirmed_at + CHANGE_TIMEOUT > pending.deadline);
        is_confirmed.then_some(ChangeOutcome::Stale { version })
    }

    /// Returns the outcome of a change that has reached its deadline or whose majority is lost.
    fn timeout_outcome(&self, pending: &PendingChange, now: Micros) -> Option<ChangeOutcome> {
        if now < pending.deadline && !self.should_abandon_change(pending, Self::received_at(pending), now) {
            return None;
        }
        let is_base_passed = self.current_base(&pending.change).is_some_and(|base| base > pending.base);
        let may_be_decided = pending.was_proposed || pending.decided_version.is_some() || is_base_passed;
        Some(if may_be_decided { ChangeOutcome::Unknown } else { ChangeOutcome::NoQuorum })
    }
}
