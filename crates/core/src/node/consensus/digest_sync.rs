//! Synchronization of the digests of skipped versions, which a core fetches from other voters.
//!
//! A core requests its newest gap from the live voters in turn, one chunk after the other. If no voter has
//! any digest of the gap, the core does not request that gap again for [`UNAVAILABLE_BACKOFF`].

use crate::base::{MS, Micros, NodeId, SEC, Version};
use crate::consensus::DurableWrite;
use crate::node::Node;
use crate::protocol::{ConsensusMessage, EntryDigest};

/// The maximum number of digests in one message: less than 50 KB.
const MAX_CHUNK_DIGESTS: usize = 500;
/// The time after which an unanswered request is repeated, in microseconds.
const RETRY_INTERVAL: Micros = 200 * MS;
/// How long a core does not request a gap again that no voter can fill, in microseconds.
const UNAVAILABLE_BACKOFF: Micros = 5 * SEC;

/// A gap in the digests that no voter could fill at its last request.
#[derive(Clone, Copy, Debug)]
struct UnavailableGap {
    /// The lowest version of the gap.
    from: Version,
    /// The highest version of the gap.
    to: Version,
    /// When the gap may be requested again.
    retry_at: Micros,
}

/// The progress of a core in fetching its missing digests.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::node) struct DigestSync {
    /// When the next request may be sent.
    request_due: Micros,
    /// The number of requests so far, by which the voter for the next one is selected.
    request_count: usize,
    /// The number of consecutive replies without a new digest.
    empty_replies: usize,
    /// The gap that no voter could fill when it was last requested.
    unavailable: Option<UnavailableGap>,
}

impl DigestSync {
    /// Returns whether this gap is unavailable and may not be requested again yet.
    fn is_unavailable(&self, from: Version, to: Version, now: Micros) -> bool {
        self.unavailable.is_some_and(|gap| gap.from == from && gap.to == to && now < gap.retry_at)
    }

    /// Records a reply without a new digest. Once there are as many in a row as other voters, the gap is
    /// unavailable.
    fn record_empty_reply(&mut self, from: Version, to: Version, other_voters: usize, now: Micros) {
        self.empty_replies += 1;
        if self.empty_replies >= other_voters {
            self.empty_replies = 0;
            self.unavailable = Some(UnavailableGap { from, to, retry_at: now + UNAVAILABLE_BACKOFF });
        }
    }
}

impl Node {
    /// Requests the digests of the newest gap, if a request is due.
    pub(in crate::node) fn tick_digest_sync(&mut self, now: Micros) {
        if !self.settings.is_core || now < self.consensus.digest_sync.request_due {
            return;
        }
        let Some((from, to)) = self.consensus.state.digests.newest_gap() else { return };
        if self.consensus.digest_sync.is_unavailable(from, to, now) {
            return;
        }
        let is_alive = |voter: &NodeId| self.dissemination.peers.is_alive(*voter, now);
        let live: Vec<_> = self.other_voters().filter(is_alive).collect();
        let index = self.consensus.digest_sync.request_count % live.len().max(1);
        let Some(voter) = live.get(index).copied() else { return };
        self.consensus.digest_sync.request_count += 1;
        self.request_digests(voter, from, to, now);
    }

    fn request_digests(&mut self, voter: NodeId, from: Version, to: Version, now: Micros) {
        self.consensus.digest_sync.request_due = now + RETRY_INTERVAL;
        self.send_consensus(voter, ConsensusMessage::DigestRequest { from, to }, now);
    }

    /// Handles a request for the digests of the versions `from` to `to`.
    pub(super) fn on_digest_request(&mut self, sender: NodeId, from: Version, to: Version, now: Micros) {
        let digests = self.consensus.state.digests.chunk(from, to, MAX_CHUNK_DIGESTS);
        self.send_consensus(sender, ConsensusMessage::DigestReply { from, to, digests }, now);
    }

    /// Handles another voter's digests of the versions `from` to `to`.
    pub(super) fn on_digest_reply(
        &mut self,
        sender: NodeId,
        from: Version,
        to: Version,
        digests: Vec<EntryDigest>,
        now: Micros,
    ) {
        let Some(newest) = self.version().filter(|_| self.settings.is_core) else { return };
        let is_requested = |digest: &EntryDigest| (from..=to).contains(&digest.version) && digest.version < newest;
        let inserted = self.consensus.state.digests.insert_missing(digests.into_iter().filter(is_requested));
        if inserted.is_empty() {
            let other_voters = self.other_voters().count();
            self.consensus.digest_sync.record_empty_reply(from, to, other_voters, now);
            return;
        }
        self.persist(vec![DurableWrite::Digests(inserted)], Vec::new());
        self.consensus.digest_sync.empty_replies = 0;
        if let Some((from, to)) = self.consensus.state.digests.newest_gap() {
            self.request_digests(sender, from, to, now);
        }
    }
}
