//! Messages of the agreement on versions: ballots, decided entries, freshness probes, forwarded changes.

use super::{EntryDigest, LogEntry, Voter};
use crate::base::{ChangeId, Incarnation, NodeId, Version};
use crate::config::Patch;
use musli::{Decode, Encode};

/// The number of a ballot, unique among all proposers and their incarnations.
///
/// Ballots are ordered by their fields in this order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct Ballot {
    /// The number that the proposer chose, above all that it knew of.
    pub number: u64,
    /// The proposer.
    pub node_id: NodeId,
    /// The proposer's incarnation: after a restart a core may not know which numbers it used before.
    pub incarnation: Incarnation,
}

/// What a change does to the configuration, or what a read returns of it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Change {
    /// A new body, built on the version that is its base.
    Tree(String),
    /// A new body that has a revision of its own, built on the body with the revision that is its base.
    /// Versions that leave the body as it is, such as changes of the voters, do not make it stale.
    Document(String),
    /// Changes to single items of the body with the revision that is its base.
    Patch(Patch),
    /// A new set of voters, built on the version that is its base.
    Voters(Vec<Voter>),
    /// A read: the outcome of the change with this identifier.
    QueryOutcome,
    /// A read: the versions in the history.
    ReadHistory,
    /// A linearizable read: the newest body, with all changes that were acknowledged before.
    ReadNewest,
}

impl Change {
    /// Whether it is a read.
    pub fn is_read(&self) -> bool {
        matches!(self, Change::QueryOutcome | Change::ReadHistory | Change::ReadNewest)
    }

    /// The size of its content in bytes.
    pub fn size(&self) -> usize {
        match self {
            Change::Tree(body) | Change::Document(body) => body.len(),
            Change::Patch(patch) => patch.size(),
            Change::Voters(_) | Change::QueryOutcome | Change::ReadHistory | Change::ReadNewest => 0,
        }
    }
}

/// The outcome of a change or read, as far as the replying node knows.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ChangeOutcome {
    /// The change became a version that a majority has on disk.
    Committed {
        /// The version that the change became.
        version: Version,
    },
    /// The change will never be decided, as its base is not the newest version.
    Stale {
        /// The newest version that the replying node holds.
        version: Version,
    },
    /// The replying node has proposed nothing for the change, for want of a majority or a vote.
    NoQuorum,
    /// The change may have been decided or may still be; the caller has to query its outcome or retry.
    Unknown,
    /// The identifier belongs to another change, which was decided.
    IdReused,
    /// The change is invalid.
    Invalid {
        /// What is wrong, and the remedy.
        reason: String,
    },
    /// The result of a read.
    Content {
        /// The body, or the history as JSON.
        text: String,
    },
}

/// Messages of the agreement on versions.
///
/// The number of each variant is its tag on the wire, unique among the variants of all these enums; see
/// [`Message`](super::Message).
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[musli(name(type = usize))]
pub enum ConsensusMessage {
    /// A proposer asks for a promise (Lamport, Paxos Made Simple, §2.2, phase 1a).
    #[musli(name = 2)]
    Prepare {
        /// The version that the ballot is for.
        instance: Version,
        /// The ballot.
        ballot: Ballot,
    },

    /// An acceptor promises to answer no lower ballot (phase 1b).
    #[musli(name = 3)]
    Promise {
        /// The version that the ballot is for.
        instance: Version,
        /// The promised ballot.
        ballot: Ballot,
        /// The entry that the acceptor accepted with the highest ballot, and that ballot.
        accepted: Option<(Ballot, LogEntry)>,
    },

    /// An acceptor has promised a higher ballot.
    #[musli(name = 4)]
    Reject {
        /// The version that the ballot is for.
        instance: Version,
        /// The ballot that the acceptor has promised.
        ballot: Ballot,
    },

    /// A proposer asks to accept an entry (phase 2a).
    #[musli(name = 5)]
    Accept {
        /// The ballot.
        ballot: Ballot,
        /// The entry; its version is the instance.
        entry: LogEntry,
    },

    /// An acceptor has accepted the entry of this ballot (phase 2b).
    #[musli(name = 6)]
    Accepted {
        /// The version that the ballot is for.
        instance: Version,
        /// The ballot.
        ballot: Ballot,
    },

    /// Decided entries (§2.3, learning a chosen value).
    #[musli(name = 7)]
    Replicate {
        /// The entries, the oldest first.
        entries: Vec<LogEntry>,
    },

    /// The sender has synced a version to its disk.
    #[musli(name = 8)]
    Synced {
        /// The newest version on the sender's disk; 0 also if there is none.
        version: Version,
    },

    /// Asks whether the receiver knows anything newer than this version.
    #[musli(name = 9)]
    FreshnessProbe {
        /// The sequence number of the probe.
        seq: u64,
        /// The newest version that the sender holds.
        version: Version,
    },

    /// The reply to a freshness probe.
    #[musli(name = 10)]
    FreshnessReply {
        /// The sequence number of the probe.
        seq: u64,
        /// The newest version that the replying node holds.
        version: Version,
        /// The newest version on its disk; 0 also if there is none.
        synced_version: Version,
        /// The set of voters, named by its version, that it has taken over and synced.
        ready_set: Option<Version>,
        /// Whether it has accepted an entry for the next version.
        has_accepted: bool,
    },

    /// A change or read that a node without a vote forwards to a voter.
    #[musli(name = 30)]
    Forward {
        /// The identifier of the caller's request on the sender.
        request_id: u64,
        /// The caller's identifier of the change.
        change_id: ChangeId,
        /// Whether no node can have been sent this change before.
        is_first_send: bool,
        /// The version (for documents and patches: the revision) that the change is built on.
        base: Version,
        /// What is changed or read.
        change: Change,
    },

    /// The reply to a forwarded change or read.
    #[musli(name = 31)]
    ForwardReply {
        /// The identifier of the request in the `Forward`.
        request_id: u64,
        /// The outcome.
        outcome: ChangeOutcome,
    },

    /// Asks for the digests of a range of versions.
    #[musli(name = 39)]
    DigestRequest {
        /// The lowest version.
        from: Version,
        /// The highest version.
        to: Version,
    },

    /// The newest digests of the requested range, in a chunk of bounded size.
    #[musli(name = 40)]
    DigestReply {
        /// The lowest requested version.
        from: Version,
        /// The highest requested version.
        to: Version,
        /// The digests, the lowest version first.
        digests: Vec<EntryDigest>,
    },
}

impl ConsensusMessage {
    /// The name of its kind, for logs and traces.
    pub fn name(&self) -> &'static str {
        match self {
            ConsensusMessage::Prepare { .. } => "Prepare",
            ConsensusMessage::Promise { .. } => "Promise",
            ConsensusMessage::Reject { .. } => "Reject",
            ConsensusMessage::Accept { .. } => "Accept",
            ConsensusMessage::Accepted { .. } => "Accepted",
            ConsensusMessage::Replicate { .. } => "Replicate",
            ConsensusMessage::Synced { .. } => "Synced",
            ConsensusMessage::FreshnessProbe { .. } => "FreshnessProbe",
            ConsensusMessage::FreshnessReply { .. } => "FreshnessReply",
            ConsensusMessage::Forward { .. } => "Forward",
            ConsensusMessage::ForwardReply { .. } => "ForwardReply",
            ConsensusMessage::DigestRequest { .. } => "DigestRequest",
            ConsensusMessage::DigestReply { .. } => "DigestReply",
        }
    }
}
