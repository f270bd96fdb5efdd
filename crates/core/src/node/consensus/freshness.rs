//! Freshness probes: a voter asks all voters whether they know a newer version than its own.
//!
//! If a majority holds the same version and has accepted no entry for the next one, the version is confirmed
//! as the newest as of the time when the probe was sent. Probes are sent at a fixed interval, and sooner
//! while callers wait or the majority does not reply.

use crate::base::{Micros, NodeId, SEC, Version};
use crate::consensus::is_majority;
use crate::freshness::{self, OpenProbe};
use crate::node::Node;
use crate::protocol::{ConsensusMessage, Message};

/// How long replies to a freshness probe are counted, in microseconds.
const PROBE_TIMEOUT: Micros = 2 * SEC;

/// A voter's reply to a freshness probe.
#[derive(Clone, Copy, Debug)]
pub(super) struct FreshnessReply {
    /// The sequence number of the probe.
    pub seq: u64,
    /// The newest version that the voter holds.
    pub version: Version,
    /// The newest version that is synced to the voter's disk.
    pub synced_version: Version,
    /// The set of voters that the voter has taken over, as far as that is synced to its disk.
    pub ready_set: Option<Version>,
    /// Whether the voter has accepted an entry for the next version.
    pub has_accepted: bool,
}

impl Node {
    /// Sends a freshness probe if one is due.
    pub(in crate::node) fn tick_freshness(&mut self, now: Micros) {
        if !self.is_voter() || now < self.consensus.freshness.next_probe_at.min(self.next_probe_at(now)) {
            return;
        }
        let Some(version) = self.version() else { return };
        let freshness = &mut self.consensus.freshness;
        freshness.next_probe_at = now + freshness::PROBE_INTERVAL;
        freshness.last_probe += 1;
        let seq = freshness.last_probe;
        freshness.open_probes.retain(|_, probe| now.saturating_sub(probe.sent_at) < PROBE_TIMEOUT);
        freshness.open_probes.insert(seq, OpenProbe::new(version, now));
        self.send_freshness_probe(seq, version, now);
    }

    /// Sends a probe from a node without a vote while its callers wait, to determine which voters are
    /// reachable.
    pub(in crate::node) fn tick_contact_probe(&mut self, now: Micros) {
        if self.is_voter() || !self.has_waiting_callers() || now < self.next_probe_at(now) {
            return;
        }
        self.consensus.freshness.last_probe += 1;
        let seq = self.consensus.freshness.last_probe;
        self.send_freshness_probe(seq, self.version().unwrap_or(0), now);
    }

    fn send_freshness_probe(&mut self, seq: u64, version: Version, now: Micros) {
        self.record_probe(seq, now);
        self.broadcast_to_voters(&Message::Consensus(ConsensusMessage::FreshnessProbe { seq, version }), now);
    }

    /// Handles a freshness probe. A prober that is behind is also sent the later entries.
    pub(super) fn on_freshness_probe(&mut self, sender: NodeId, seq: u64, version: Version, now: Micros) {
        let Some(newest) = self.version() else { return };
        if !self.settings.is_core {
            return;
        }
        if newest > version {
            self.replicate_to(sender, version, now);
        }
        let reply = ConsensusMessage::FreshnessReply {
            seq,
            version: newest,
            synced_version: self.consensus.synced_version.unwrap_or(0),
            ready_set: self.membership.synced_ready_set,
            has_accepted: self.consensus.state.accepted.is_some(),
        };
        self.send_consensus(sender, reply, now);
    }

    /// Handles a voter's reply to a freshness probe.
    pub(super) fn on_freshness_reply(&mut self, sender: NodeId, reply: FreshnessReply, now: Micros) {
        self.record_probe_reply(sender, reply.seq, now);
        if let Some(ready_set) = reply.ready_set {
            self.on_ready(sender, ready_set);
        }
        self.record_synced_version(sender, reply.synced_version);
        let Some(newest) = self.version() else { return };
        if reply.version < newest && sender != self.settings.node_id {
            self.replicate_to(sender, reply.version, now);
        }
        self.count_confirmation(sender, &reply, newest);
    }

    /// Counts a reply towards the confirmation of the newest version. A majority confirms it.
    fn count_confirmation(&mut self, sender: NodeId, reply: &FreshnessReply, newest: Version) {
        let Some(probe) = self.consensus.freshness.open_probes.get_mut(&reply.seq) else { return };
        if probe.version != newest || reply.version != newest || reply.has_accepted {
            return;
        }
        probe.confirmed_by.insert(sender);
        if is_majority(self.consensus.state.voters(), &probe.confirmed_by) {
            let sent_at = probe.sent_at;
            self.consensus.freshness.open_probes.remove(&reply.seq);
            self.consensus.freshness.confirm(newest, sent_at);
            self.counters.freshness_confirmed += 1;
            self.publisher.is_dirty = true;
        }
    }
}
