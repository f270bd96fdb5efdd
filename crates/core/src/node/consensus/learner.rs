//! Versions that were decided: told, taught to those who lack them, kept.

use crate::base::{Micros, NodeId, Version};
use crate::config::CompiledConfig;
use crate::consensus::{DurableWrite, is_majority};
use crate::node::{Effect, Node};
use crate::protocol::{ConsensusMessage, LogEntry, MembershipMessage, Message};
use std::collections::BTreeSet;
use std::sync::Arc;

/// How many bytes of older versions are taught along with the newest.
const TAUGHT_MOST: usize = 2 << 20;

impl Node {
    /// A version that was decided comes into force here.
    pub(in crate::node) fn apply_entry(&mut self, d: LogEntry, now: Micros) {
        if self.fleet_id() != 0 && self.fleet_id() != d.fleet_id {
            self.counters.frames_foreign += 1;
            return;
        }
        if self.settings.is_core && self.is_disk_behind() {
            return;
        }
        let before = self.version();
        let (set, voters) = (self.voter_set(), self.consensus.state.voters().len());
        let voted = self.voter();
        if !self.consensus.state.apply(d.clone()) {
            if self.settings.is_core && self.consensus.state.backfill(&d) {
                self.persist(vec![DurableWrite::Commit(d)], Vec::new());
            }
            return;
        }
        self.counters.versions_applied += 1;
        if self.voter_set() != set {
            self.on_voters_changed(voted, voters, now);
        }
        if before.is_none_or(|v| d.version > v + 1) {
            self.counters.snapshots_applied += 1;
        }
        self.config = Arc::new(CompiledConfig::parse_with(self.settings.config_reader, d.version, &d.body));
        self.quota.slices.rates.apply_plan(&self.config, now);
        self.publisher.is_dirty = true;
        let version = d.version;
        if self.settings.is_core {
            if d.version == 0 {
                self.membership.ready_set = Some(0);
            }
            let mut to: Vec<_> = d.voters.iter().map(|c| c.node_id).collect();
            // Voters must know a newcomer before they can admit it.
            self.dissemination.peers.gossip_due =
                if to.contains(&self.settings.node_id) { self.dissemination.peers.gossip_due } else { now };
            if !to.contains(&self.settings.node_id) {
                to.push(self.settings.node_id);
            }
            let then: Vec<Effect> = to
                .into_iter()
                .filter_map(|n| self.send_effect(n, Message::Consensus(ConsensusMessage::Synced { version }), now))
                .collect();
            let mut ops = vec![DurableWrite::Commit(d)];
            let mut then = then;
            if version == 0 {
                ops.push(DurableWrite::Ready(0));
                then.extend(self.send_effect(
                    self.settings.node_id,
                    Message::Membership(MembershipMessage::Ready { voter_set: 0 }),
                    now,
                ));
            }
            self.persist(ops, then);
        } else {
            self.consensus.state.drop_history();
            self.consensus.synced_version = Some(version);
        }
        self.push_versions(now);
        if !self.voter() {
            self.dissemination.workers.subscribe_due = now;
        }
    }

    pub(in crate::node) fn on_replicate(&mut self, by: NodeId, decrees: Vec<LogEntry>, now: Micros) {
        let newest = decrees.last().map(|d| d.version);
        let whole = self.restore_bodies(decrees);
        if whole.last().map(|d| d.version) != newest && self.settings.is_core {
            // It came as a patch of one that this core does not hold.
            self.send(
                by,
                Message::Consensus(ConsensusMessage::Synced { version: self.consensus.synced_version.unwrap_or(0) }),
                now,
            );
        }
        // The newest comes into force at once; those before it only fill the history.
        for d in whole.into_iter().rev() {
            self.apply_entry(d, now);
        }
    }

    /// Versions whole, in their order, each made from the one before it where it came as a patch;
    /// those that can't be made are left out.
    pub(in crate::node) fn restore_bodies(&self, decrees: Vec<LogEntry>) -> Vec<LogEntry> {
        let mut whole: Vec<LogEntry> = Vec::with_capacity(decrees.len());
        for d in decrees {
            let before = whole.last().filter(|w| w.version + 1 == d.version);
            let restored = match before {
                Some(before) => d.with_body_from(before),
                None => self.consensus.state.restore_body(d),
            };
            whole.extend(restored);
        }
        whole
    }

    pub(in crate::node) fn on_synced_version(&mut self, by: NodeId, version: Version, now: Micros) {
        let e = self.consensus.state.synced_versions.entry(by).or_insert(version);
        *e = (*e).max(version);
        if by == self.settings.node_id {
            self.consensus.synced_version = self.consensus.synced_version.max(Some(version));
        } else if self.version().is_some_and(|v| v > version) {
            self.replicate_to(by, version, now);
        }
    }

    /// The versions after `version`, or the newest alone where too many are missing.
    pub(in crate::node) fn replicate_to(&mut self, to: NodeId, version: Version, now: Micros) {
        let mut bytes = 0;
        let newest = self.version();
        // What comes right after another one that is held there is told as a patch.
        let held = |v: Version| v == version + 1 || self.consensus.state.history.contains_key(&(v - 1));
        let told = |d: &LogEntry| if held(d.version) { d.without_body() } else { d.self_contained() };
        let room = |d: &LogEntry| {
            bytes += d.size();
            Some(d.version) == newest || bytes <= TAUGHT_MOST
        };
        let mut decrees: Vec<_> =
            self.consensus.state.history.range(version + 1..).rev().map(|x| told(x.1)).take_while(room).collect();
        decrees.reverse();
        // The first of those that had room has nothing before it.
        if let Some(first) = decrees.first_mut().filter(|d| d.version > version + 1)
            && let Some(whole) = self.consensus.state.history.get(&first.version)
        {
            *first = whole.self_contained();
        }
        if !decrees.is_empty() {
            self.send(to, Message::Consensus(ConsensusMessage::Replicate { entries: decrees }), now);
        }
    }

    /// Whether a majority of the cores that the newest version names has it on disk.
    pub(in crate::node) fn is_committed(&self, version: Version) -> bool {
        let got: BTreeSet<NodeId> =
            self.consensus.state.synced_versions.iter().filter(|x| *x.1 >= version).map(|x| *x.0).collect();
        is_majority(self.consensus.state.voters(), &got)
    }
}
