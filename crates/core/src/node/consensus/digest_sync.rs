//! Cores hand one another the digests of versions that they skipped, in pieces.

use crate::base::{MS, Micros, NodeId, SEC, Version};
use crate::consensus::DurableWrite;
use crate::node::Node;
use crate::protocol::{ConsensusMessage, EntryDigest, Message};

/// How many digests one message brings: under 50 KB.
const PIECE: usize = 500;
/// When what was asked for is asked for again.
const AGAIN: Micros = 200 * MS;
/// How long nothing is asked once no core could tell more.
const PAUSE: Micros = 5 * SEC;

/// How far a core has come in asking for what it lacks.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::node) struct DigestSync {
    due: Micros,
    /// The core that is asked next.
    turn: usize,
    /// How many cores in a row had nothing.
    empty: usize,
    /// What no core could tell, and until when it isn't asked for again.
    barren: Option<((Version, Version), Micros)>,
}

impl Node {
    pub(in crate::node) fn tick_digest_sync(&mut self, now: Micros) {
        if !self.settings.is_core || now < self.consensus.digest_sync.due {
            return;
        }
        let Some((from, to)) = self.consensus.state.digests.newest_gap() else { return };
        if self.consensus.digest_sync.barren.is_some_and(|(gap, until)| gap == (from, to) && now < until) {
            return;
        }
        let others = self.other_voters();
        let live: Vec<_> = others.iter().copied().filter(|n| self.dissemination.peers.is_alive(*n, now)).collect();
        let Some(peer) = live.get(self.consensus.digest_sync.turn % live.len().max(1)).copied() else { return };
        self.consensus.digest_sync.due = now + AGAIN;
        self.consensus.digest_sync.turn += 1;
        self.send(peer, Message::Consensus(ConsensusMessage::DigestRequest { from, to }), now);
    }

    fn other_voters(&self) -> Vec<NodeId> {
        self.consensus.state.voters().iter().map(|c| c.node_id).filter(|n| *n != self.settings.node_id).collect()
    }

    pub(in crate::node) fn on_digest_request(&mut self, by: NodeId, from: Version, to: Version, now: Micros) {
        let rows = self.consensus.state.digests.chunk(from, to, PIECE);
        self.send(by, Message::Consensus(ConsensusMessage::DigestReply { from, to, digests: rows }), now);
    }

    pub(in crate::node) fn on_digest_reply(
        &mut self,
        by: NodeId,
        (from, to): (Version, Version),
        rows: Vec<EntryDigest>,
        now: Micros,
    ) {
        let Some(newest) = self.version().filter(|_| self.settings.is_core) else { return };
        let asked = |d: &EntryDigest| (from..=to).contains(&d.version) && d.version < newest;
        let fresh = self.consensus.state.digests.insert_all(rows.into_iter().filter(asked));
        if fresh.is_empty() {
            self.consensus.digest_sync.empty += 1;
            if self.consensus.digest_sync.empty >= self.other_voters().len() {
                self.consensus.digest_sync.empty = 0;
                self.consensus.digest_sync.barren = Some(((from, to), now + PAUSE));
            }
            return;
        }
        self.persist(vec![DurableWrite::Digests(fresh)], Vec::new());
        self.consensus.digest_sync.empty = 0;
        if let Some((from, to)) = self.consensus.state.digests.newest_gap() {
            self.consensus.digest_sync.due = now + AGAIN;
            self.send(by, Message::Consensus(ConsensusMessage::DigestRequest { from, to }), now);
        }
    }
}
