//! Reads of the configuration, its history and the outcomes of changes.
//!
//! A read of the newest configuration is linearizable: its reply includes every change that was acknowledged
//! before the read was received. A voter replies once a majority has confirmed, on a freshness probe sent
//! after the read was received, that no newer entry was accepted. Nodes without a vote forward the read to a
//! voter.

use super::admission::SubmittedChange;
use crate::base::{MS, Micros};
use crate::consensus::Requester;
use crate::node::Node;
use crate::protocol::{ChangeOutcome, LogEntry};

/// The maximum time that a read waits, even while a newer version is being decided, in microseconds.
const READ_TIMEOUT: Micros = 900 * MS;

/// A read of the newest configuration that waits until that version is confirmed.
#[derive(Clone, Copy, Debug)]
pub(in crate::node) struct Read {
    requester: Requester,
    /// When the read was received, in microseconds of this node's clock.
    pub received_at: Micros,
}

impl Node {
    /// Handles a read of the newest configuration, as a voter.
    pub(super) fn read_newest(&mut self, requester: Requester, now: Micros) {
        self.consensus.reads.push(Read { requester, received_at: now });
        self.tick_freshness(now);
    }

    /// Replies to the reads whose configuration is confirmed, and to those that cannot be confirmed in time.
    pub(in crate::node) fn complete_reads(&mut self, now: Micros) {
        if self.consensus.reads.is_empty() {
            return;
        }
        let confirmed_at = self.consensus.freshness.confirmed_at(self.version());
        for read in std::mem::take(&mut self.consensus.reads) {
            let is_confirmed = confirmed_at.is_some_and(|confirmed_at| confirmed_at >= read.received_at);
            let newest = self.consensus.state.newest().filter(|_| is_confirmed);
            if let Some(entry) = newest {
                let text = entry.body.clone();
                self.complete_change(read.requester, ChangeOutcome::Content { text }, now);
            } else if !self.is_voter()
                || self.should_redirect(read.received_at, now)
                || now >= read.received_at + READ_TIMEOUT
            {
                self.complete_change(read.requester, ChangeOutcome::NoQuorum, now);
            } else {
                self.consensus.reads.push(read);
            }
        }
    }

    /// Returns the outcome of an earlier change, as far as this node knows it.
    pub(super) fn query_outcome(&self, query: &SubmittedChange) -> ChangeOutcome {
        let state = &self.consensus.state;
        match (state.outcome_of(query.change_id), self.version()) {
            (Some(outcome), _) => outcome,
            (None, Some(version)) if state.is_superseded(&query.change, query.base) => ChangeOutcome::Stale { version },
            _ => ChangeOutcome::Unknown,
        }
    }

    /// Returns the entries of the history as JSON, newest first.
    pub fn history_json(&self) -> String {
        let entries: Vec<_> = self.consensus.state.history.values().rev().map(entry_json).collect();
        format!("[{}]", entries.join(","))
    }
}

/// Formats one entry of the history as JSON.
fn entry_json(entry: &LogEntry) -> String {
    let voters: Vec<_> = entry.voters.iter().map(|voter| format!("\"{}\"", voter.node_id)).collect();
    format!(
        "{{\"version\":{},\"change\":\"{}\",\"bytes\":{},\"cores\":[{}]}}",
        entry.version,
        entry.change_id,
        entry.body.len(),
        voters.join(",")
    )
}
