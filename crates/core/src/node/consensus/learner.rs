//! The learner of the Paxos instances: it applies decided entries and replicates them to other nodes.
//!
//! An entry is committed once a majority of the voters that it names has it synced to disk. A node that is
//! behind receives the entries that it misses, or only the newest one if they are too large. While too many
//! bytes are unsynced, a core applies no entry; the entries are sent to it again later.

use crate::base::{Micros, NodeId, Version};
use crate::config::CompiledConfig;
use crate::consensus::{DurableWrite, is_majority};
use crate::node::{Effect, Node};
use crate::protocol::{ConsensusMessage, LogEntry, MembershipMessage, Message};
use std::collections::BTreeSet;
use std::sync::Arc;

/// The maximum size of the entries in one message, in bytes. The newest entry is sent whatever its size.
const MAX_REPLICATED_BYTES: usize = 2 << 20;

impl Node {
    /// Applies a decided entry: its version comes into force on this node.
    pub(in crate::node) fn apply_entry(&mut self, entry: LogEntry, now: Micros) {
        if self.fleet_id() != 0 && self.fleet_id() != entry.fleet_id {
            self.counters.frames_foreign += 1;
            return;
        }
        if self.settings.is_core && self.is_disk_behind() {
            return;
        }
        let previous_version = self.version();
        let previous_voter_set = self.voter_set();
        let previous_voter_count = self.consensus.state.voters().len();
        let was_voter = self.is_voter();
        if !self.consensus.state.apply(entry.clone()) {
            self.backfill_entry(entry);
            return;
        }
        self.counters.versions_applied += 1;
        if self.voter_set() != previous_voter_set {
            self.on_voters_changed(was_voter, previous_voter_count, now);
        }
        if previous_version.is_none_or(|previous| entry.version > previous + 1) {
            self.counters.snapshots_applied += 1;
        }
        self.compile_config(&entry, now);
        if self.settings.is_core {
            self.persist_commit(entry, now);
        } else {
            self.consensus.state.drop_history();
            self.consensus.synced_version = Some(entry.version);
        }
        self.push_versions(now);
        if !self.is_voter() {
            self.dissemination.workers.next_subscribe_at = now;
        }
    }

    /// Adds an older entry to the history of a core.
    fn backfill_entry(&mut self, entry: LogEntry) {
        if self.settings.is_core && self.consensus.state.backfill(&entry) {
            self.persist(vec![DurableWrite::Commit(entry)], Vec::new());
        }
    }

    /// Compiles the configuration of the entry that was just applied.
    fn compile_config(&mut self, entry: &LogEntry, now: Micros) {
        let config = CompiledConfig::compile_with(self.settings.config_reader, entry.version, &entry.body);
        self.config = Arc::new(config);
        self.quota.slices.rates.apply_config(&self.config, now);
        self.publisher.is_dirty = true;
    }

    /// Writes an applied entry to disk. Once the entry is synced, the voters and this core are notified.
    fn persist_commit(&mut self, entry: LogEntry, now: Micros) {
        let version = entry.version;
        if version == 0 {
            self.membership.ready_set = Some(0);
        }
        let mut receivers: Vec<_> = entry.voters.iter().map(|voter| voter.node_id).collect();
        if !receivers.contains(&self.settings.node_id) {
            // Voters must know a new core before they can add it to the set.
            self.dissemination.peers.next_gossip_at = now;
            receivers.push(self.settings.node_id);
        }
        let synced = |node_id| (node_id, Message::Consensus(ConsensusMessage::Synced { version }));
        let mut replies: Vec<Effect> = receivers
            .into_iter()
            .map(synced)
            .filter_map(|(receiver, message)| self.send_effect(receiver, message, now))
            .collect();
        let mut writes = vec![DurableWrite::Commit(entry)];
        if version == 0 {
            writes.push(DurableWrite::Ready(0));
            let ready = Message::Membership(MembershipMessage::Ready { voter_set: 0 });
            replies.extend(self.send_effect(self.settings.node_id, ready, now));
        }
        self.persist(writes, replies);
    }

    /// Handles decided entries, the oldest first.
    pub(super) fn on_replicate(&mut self, sender: NodeId, entries: Vec<LogEntry>, now: Micros) {
        let newest = entries.last().map(|entry| entry.version);
        let restored = self.restore_bodies(entries);
        if restored.last().map(|entry| entry.version) != newest && self.settings.is_core {
            // The newest entry was received as a patch of an entry that this core does not hold.
            self.report_synced_version(sender, now);
        }
        // The newest entry comes into force at once; those before it only fill the history.
        for entry in restored.into_iter().rev() {
            self.apply_entry(entry, now);
        }
    }

    /// Restores the bodies of entries, in the same order. An entry that was received as a patch is restored
    /// from the one before it. Entries that cannot be restored are left out.
    pub(in crate::node) fn restore_bodies(&self, entries: Vec<LogEntry>) -> Vec<LogEntry> {
        let mut restored: Vec<LogEntry> = Vec::with_capacity(entries.len());
        for entry in entries {
            let previous = restored.last().filter(|previous| previous.version + 1 == entry.version);
            let with_body = match previous {
                Some(previous) => entry.with_body_from(previous),
                None => self.consensus.state.restore_body(entry),
            };
            restored.extend(with_body);
        }
        restored
    }

    /// Reports the newest version that is synced to this node's disk. No newer version may be reported: the
    /// receiver counts the report towards the commit of that version.
    pub(super) fn report_synced_version(&mut self, receiver: NodeId, now: Micros) {
        let version = self.consensus.synced_version.unwrap_or(0);
        self.send_consensus(receiver, ConsensusMessage::Synced { version }, now);
    }

    /// Records the newest version that a node has on its disk.
    pub(super) fn record_synced_version(&mut self, node_id: NodeId, version: Version) {
        let recorded = self.consensus.state.synced_versions.entry(node_id).or_insert(version);
        *recorded = (*recorded).max(version);
    }

    /// Handles the report of the newest version that a node has on its disk. A node that is behind is sent
    /// the later entries.
    pub(super) fn on_synced_version(&mut self, sender: NodeId, version: Version, now: Micros) {
        self.record_synced_version(sender, version);
        if sender == self.settings.node_id {
            self.consensus.synced_version = self.consensus.synced_version.max(Some(version));
        } else if self.version().is_some_and(|newest| newest > version) {
            self.replicate_to(sender, version, now);
        }
    }

    /// Sends the entries after `version`, or only the newest one if they are too large.
    pub(in crate::node) fn replicate_to(&mut self, receiver: NodeId, version: Version, now: Micros) {
        let entries = self.later_entries(version);
        if !entries.is_empty() {
            self.send_consensus(receiver, ConsensusMessage::Replicate { entries }, now);
        }
    }

    /// Returns the entries after `version`, oldest first: the newest one, and those before it up to
    /// [`MAX_REPLICATED_BYTES`] in total. An entry is sent as a patch if the receiver holds the entry before
    /// it.
    fn later_entries(&self, version: Version) -> Vec<LogEntry> {
        let history = &self.consensus.state.history;
        let newest = self.version();
        let is_previous_known =
            |entry: &LogEntry| entry.version == version + 1 || history.contains_key(&(entry.version - 1));
        let to_wire =
            |entry: &LogEntry| if is_previous_known(entry) { entry.without_body() } else { entry.self_contained() };
        let mut bytes = 0;
        let fits = |entry: &LogEntry| {
            bytes += entry.size();
            Some(entry.version) == newest || bytes <= MAX_REPLICATED_BYTES
        };
        let newest_first = history.range(version + 1..).rev();
        let mut entries: Vec<_> = newest_first.map(|(_, entry)| to_wire(entry)).take_while(fits).collect();
        entries.reverse();
        // If older entries did not fit, the receiver does not hold the entry before the first one.
        if let Some(first) = entries.first_mut().filter(|entry| entry.version > version + 1)
            && let Some(full) = history.get(&first.version)
        {
            *first = full.self_contained();
        }
        entries
    }

    /// Returns whether a majority of the voters of the newest version has this version on disk.
    pub(in crate::node) fn is_committed(&self, version: Version) -> bool {
        let synced = self.consensus.state.synced_versions.iter().filter(|(_, synced)| **synced >= version);
        let holders: BTreeSet<NodeId> = synced.map(|(node_id, _)| *node_id).collect();
        is_majority(self.consensus.state.voters(), &holders)
    }
}
