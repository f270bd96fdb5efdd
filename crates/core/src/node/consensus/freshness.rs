//! Rounds of confirmations: a voter asks all voters whether anything newer than its version
//! was voted for. A majority of "no" makes the version fresh as of the moment of the question.

use crate::base::{Micros, NodeId, SEC, Version};
use crate::consensus::is_majority;
use crate::freshness;
use crate::node::Node;
use crate::protocol::{ConsensusMessage, Message};
use std::collections::BTreeSet;

impl Node {
    /// Begins a round when one is due: regularly, and sooner while callers wait for it or the
    /// majority is silent.
    pub(in crate::node) fn tick_freshness(&mut self, now: Micros) {
        if !self.voter() || now < self.consensus.freshness.probe_due.min(self.next_probe_at(now)) {
            return;
        }
        let Some(version) = self.version() else { return };
        self.consensus.freshness.probe_due = now + freshness::EVERY;
        self.consensus.freshness.last_probe += 1;
        let seq = self.consensus.freshness.last_probe;
        self.consensus.freshness.open_probes.retain(|_, r| now.saturating_sub(r.0) < 2 * SEC);
        self.consensus.freshness.open_probes.insert(seq, (now, version, BTreeSet::new()));
        self.record_probe(seq, now);
        self.broadcast_to_voters(&Message::Consensus(ConsensusMessage::FreshnessProbe { seq, version }), now);
    }

    /// A node without a vote asks the voters whether they hear it, while its callers wait.
    pub(in crate::node) fn tick_contact_probe(&mut self, now: Micros) {
        if self.voter() || !self.has_waiting_callers() || now < self.next_probe_at(now) {
            return;
        }
        self.consensus.freshness.last_probe += 1;
        let (seq, version) = (self.consensus.freshness.last_probe, self.version().unwrap_or(0));
        self.record_probe(seq, now);
        self.broadcast_to_voters(&Message::Consensus(ConsensusMessage::FreshnessProbe { seq, version }), now);
    }

    pub(in crate::node) fn on_freshness_probe(&mut self, by: NodeId, seq: u64, version: Version, now: Micros) {
        let Some(v) = self.version() else { return };
        if !self.settings.is_core {
            return;
        }
        if v > version {
            self.replicate_to(by, version, now);
        }
        let have = self.consensus.synced_version.unwrap_or(0);
        let pend = self.consensus.state.accepted.is_some();
        self.send(
            by,
            Message::Consensus(ConsensusMessage::FreshnessReply {
                seq,
                version: v,
                synced_version: have,
                ready_set: self.membership.synced_ready_set,
                has_accepted: pend,
            }),
            now,
        );
    }

    pub(in crate::node) fn on_freshness_reply(
        &mut self,
        by: NodeId,
        seq: u64,
        version: Version,
        (have, ready): (Version, Option<Version>),
        pend: bool,
        now: Micros,
    ) {
        self.record_probe_reply(by, seq, now);
        if let Some(r) = ready {
            self.on_ready(by, r);
        }
        let e = self.consensus.state.synced_versions.entry(by).or_insert(have);
        *e = (*e).max(have);
        let Some(v) = self.version() else { return };
        if version < v && by != self.settings.node_id {
            self.replicate_to(by, version, now);
        }
        let cores = self.consensus.state.voters().to_vec();
        let Some((at, of, got)) = self.consensus.freshness.open_probes.get_mut(&seq) else { return };
        if *of != v || version != v || pend {
            return;
        }
        got.insert(by);
        if is_majority(&cores, got) {
            let at = *at;
            self.consensus.freshness.open_probes.remove(&seq);
            self.consensus.freshness.confirm(v, at);
            self.counters.freshness_confirmed += 1;
            self.publisher.is_dirty = true;
        }
    }
}
