//! Admission of changes at the core that will propose them.
//!
//! An invalid change is rejected at once. A change is not admitted either while the pending changes of this
//! core hold too many bytes; its outcome is then unknown to the caller, who retries.

use super::outcomes::CHANGE_TIMEOUT;
use crate::base::{ChangeId, Micros, Version};
use crate::consensus::{PendingChange, Requester};
use crate::node::Node;
use crate::protocol::{Change, ChangeOutcome};

/// The maximum size of all pending changes of one core, in bytes.
const MAX_PENDING_BYTES: usize = 32 << 20;

/// A change or a read as a caller sent it.
#[derive(Clone, Debug)]
pub(in crate::node) struct SubmittedChange {
    /// The caller's identifier of the change, which makes retries idempotent.
    pub change_id: ChangeId,
    /// Whether no node can have been sent this change before.
    pub is_first_send: bool,
    /// The version (for documents and patches: the revision) that the change is built on.
    pub base: Version,
    /// The change or the read.
    pub change: Change,
}

impl Node {
    /// Answers a read, or admits a change as pending, so that this core proposes it.
    pub(in crate::node) fn admit_change(&mut self, requester: Requester, submitted: SubmittedChange, now: Micros) {
        match submitted.change {
            Change::ReadNewest => return self.read_newest(requester, now),
            Change::QueryOutcome => {
                let outcome = self.query_outcome(&submitted);
                return self.complete_change(requester, outcome, now);
            }
            Change::ReadHistory => {
                let text = self.history_json();
                return self.complete_change(requester, ChangeOutcome::Content { text }, now);
            }
            Change::Tree(_) | Change::Document(_) | Change::Patch(_) | Change::Voters(_) => {}
        }
        if let Some(reason) = self.change_error(&submitted.change, submitted.base) {
            return self.complete_change(requester, ChangeOutcome::Invalid { reason }, now);
        }
        if self.pending_bytes() + submitted.change.size() > MAX_PENDING_BYTES {
            return self.complete_change(requester, ChangeOutcome::Unknown, now);
        }
        let SubmittedChange { change_id, is_first_send, base, change } = submitted;
        self.consensus.state.pending_changes.push(PendingChange {
            requester,
            change_id,
            is_first_send,
            base,
            change,
            deadline: now + CHANGE_TIMEOUT,
            was_proposed: false,
            decided_version: None,
        });
    }

    /// Returns the size of all pending changes, in bytes.
    fn pending_bytes(&self) -> usize {
        self.consensus.state.pending_changes.iter().map(|pending| pending.change.size()).sum()
    }
}
