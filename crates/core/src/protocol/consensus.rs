//! Messages of the consensus on versions: ballots, decided entries, freshness probes, forwarded changes.

use super::{EntryDigest, LogEntry, Voter};
use crate::base::{ChangeId, Incarnation, NodeId, Version};
use crate::config::{ConfigError, Patch};
use crate::json::nesting_depth;
use musli::{Decode, Encode};

/// The identifier of a ballot, unique among all proposers and their incarnations.
///
/// Ballots are ordered by their fields in this order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct Ballot {
    /// The number that the proposer chose, above all ballot numbers that it knew.
    pub number: u64,
    /// The proposer.
    pub node_id: NodeId,
    /// The proposer's incarnation: after a restart a core may not know which numbers it has used.
    pub incarnation: Incarnation,
}

/// The maximum nesting depth of the content of a new change, in levels of objects and lists. A version that was
/// decided is read at any depth up to [`crate::json::MAX_DEPTH`].
pub const MAX_CHANGE_DEPTH: usize = 1_024;

/// A change of the configuration, or a read.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Change {
    /// A new body, built on the version that is the base.
    Tree(String),
    /// A new body with a revision number, built on the body whose revision is the base. Versions that leave
    /// the body unchanged, such as changes of the voters, do not make the change stale.
    Document(String),
    /// Changes to single items of the body whose revision is the base.
    Patch(Patch),
    /// A new set of voters, built on the version that is the base.
    Voters(Vec<Voter>),
    /// A read: the outcome of the change with this identifier.
    QueryOutcome,
    /// A read: the versions in the history.
    ReadHistory,
    /// A linearizable read of the newest body: the result includes all changes acknowledged before the read.
    ReadNewest,
}

impl Change {
    /// Returns true for a read.
    pub fn is_read(&self) -> bool {
        matches!(self, Change::QueryOutcome | Change::ReadHistory | Change::ReadNewest)
    }

    /// Returns the error of a change whose content is nested deeper than [`MAX_CHANGE_DEPTH`] levels.
    pub fn nesting_error(&self) -> Option<ConfigError> {
        let depth = match self {
            Change::Tree(body) | Change::Document(body) => nesting_depth(body.as_bytes()),
            Change::Patch(patch) => patch.nesting_depth(),
            Change::Voters(_) | Change::QueryOutcome | Change::ReadHistory | Change::ReadNewest => 0,
        };
        (depth > MAX_CHANGE_DEPTH).then(|| ConfigError::TooDeep { pointer: String::new(), max_depth: MAX_CHANGE_DEPTH })
    }

    /// Returns the size of the content in bytes.
    pub fn size(&self) -> usize {
        match self {
            Change::Tree(body) | Change::Document(body) => body.len(),
            Change::Patch(patch) => patch.size(),
            Change::Voters(_) | Change::QueryOutcome | Change::ReadHistory | Change::ReadNewest => 0,
        }
    }
}

/// The outcome of a change or read, as far as the replying node knows it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ChangeOutcome {
    /// The change became a version that a majority has on disk.
    Committed {
        /// The version that the change became.
        version: Version,
    },
    /// The change will never be decided, because its base is not the newest version.
    Stale {
        /// The newest version that the replying node holds.
        version: Version,
    },
    /// The replying node has not proposed the change, because it lacks a majority or is not a voter.
    NoQuorum,
    /// The change may have been decided or may still be decided; the caller must query the outcome or retry.
    Unknown,
    /// The identifier belongs to another change, which was decided.
    IdReused,
    /// The change is invalid.
    Invalid {
        /// The fault and the remedy.
        reason: String,
    },
    /// The result of a read.
    Content {
        /// The body, or the history as JSON.
        text: String,
    },
}

/// Messages of the consensus on versions.
///
/// The number of each variant is its tag on the wire, unique among the variants of all message enums; see
/// [`Message`](super::Message).
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[musli(name(type = usize))]
pub enum ConsensusMessage {
    /// A proposer asks an acceptor for a promise (Lamport, Paxos Made Simple, §2.2, phase 1a).
    #[musli(name = 2)]
    Prepare {
        /// The version that the ballot is for.
        instance: Version,
        /// The ballot.
        ballot: Ballot,
    },

    /// An acceptor promises to reject all lower ballots (phase 1b).
    #[musli(name = 3)]
    Promise {
        /// The version that the ballot is for.
        instance: Version,
        /// The promised ballot.
        ballot: Ballot,
        /// The entry that the acceptor accepted with the highest ballot, and this ballot.
        accepted: Option<(Ballot, LogEntry)>,
    },

    /// An acceptor rejects a ballot, as it has promised a higher one.
    #[musli(name = 4)]
    Reject {
        /// The version that the ballot is for.
        instance: Version,
        /// The ballot that the acceptor has promised.
        ballot: Ballot,
    },

    /// A proposer asks an acceptor to accept an entry (phase 2a).
    #[musli(name = 5)]
    Accept {
        /// The ballot.
        ballot: Ballot,
        /// The entry; its version is the instance.
        entry: LogEntry,
    },

    /// An acceptor has accepted the entry of a ballot (phase 2b).
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

    /// Asks whether the receiver knows a newer version than the sender.
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
        /// The newest version on the replying node's disk; 0 also if there is none.
        synced_version: Version,
        /// The set of voters, named by its version, whose takeover the replying node has completed and synced.
        ready_set: Option<Version>,
        /// Whether the replying node has accepted an entry for the next version.
        has_accepted: bool,
    },

    /// A change or read that a node forwards to a voter because it is not a voter itself.
    #[musli(name = 30)]
    Forward {
        /// The identifier of the caller's request on the sender.
        request_id: u64,
        /// The caller's identifier of the change.
        change_id: ChangeId,
        /// True if no node can have been sent this change before.
        is_first_send: bool,
        /// The version (for documents and patches: the revision) that the change is built on.
        base: Version,
        /// The change or read.
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
    /// Returns the name of the message kind, for logs and traces.
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
