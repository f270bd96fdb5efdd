//! Messages of the agreement on versions: ballots, decided entries, freshness, forwarded changes.

use super::{EntryDigest, LogEntry, Voter};
use crate::base::{ChangeId, Incarnation, NodeId, Version};
use crate::config::Patch;
use musli::{Decode, Encode};

/// The number of a ballot, unlike that of any other proposer or life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct Ballot {
    pub number: u64,
    pub node_id: NodeId,
    /// A core that starts anew may not know what it bid before.
    pub incarnation: Incarnation,
}

/// What a change does to the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Change {
    Tree(String),
    /// A document that has a number of its own, built on the one with the number that is
    /// its base. Versions that change nothing of it, such as of the cores, don't outdate it.
    Document(String),
    /// The document with the number that is its base, changed in single items.
    Patch(Patch),
    Voters(Vec<Voter>),
    /// Nothing is changed: how did this change end?
    QueryOutcome,
    /// Nothing is changed: which versions are kept?
    ReadHistory,
    /// Nothing is changed: the newest document, with all that was acknowledged before.
    ReadNewest,
}

impl Change {
    /// Whether it only asks for something.
    pub fn is_read(&self) -> bool {
        matches!(self, Change::QueryOutcome | Change::ReadHistory | Change::ReadNewest)
    }

    /// The bytes that it brings.
    pub fn size(&self) -> usize {
        match self {
            Change::Tree(body) | Change::Document(body) => body.len(),
            Change::Patch(patch) => patch.size(),
            Change::Voters(_) | Change::QueryOutcome | Change::ReadHistory | Change::ReadNewest => 0,
        }
    }
}

/// How a change ended, as far as the answering node knows.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ChangeOutcome {
    Committed { version: Version },
    Stale { version: Version },
    NoQuorum,
    Unknown,
    IdReused,
    Invalid { reason: String },
    Content { text: String },
}

/// Messages of the agreement on versions.
///
/// The number of each variant is its tag on the wire, unique among the variants of all these enums; see
/// [`Message`](super::Message).
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[musli(name(type = usize))]
pub enum ConsensusMessage {
    #[musli(name = 2)]
    Prepare { instance: Version, ballot: Ballot },

    #[musli(name = 3)]
    Promise { instance: Version, ballot: Ballot, accepted: Option<(Ballot, LogEntry)> },

    #[musli(name = 4)]
    Reject { instance: Version, ballot: Ballot },

    #[musli(name = 5)]
    Accept { ballot: Ballot, entry: LogEntry },

    #[musli(name = 6)]
    Accepted { instance: Version, ballot: Ballot },

    #[musli(name = 7)]
    Replicate { entries: Vec<LogEntry> },

    #[musli(name = 8)]
    Synced { version: Version },

    #[musli(name = 9)]
    FreshnessProbe { seq: u64, version: Version },

    #[musli(name = 10)]
    FreshnessReply {
        seq: u64,
        version: Version,
        synced_version: Version,
        ready_set: Option<Version>,
        has_accepted: bool,
    },

    #[musli(name = 30)]
    Forward { request_id: u64, change_id: ChangeId, is_first_send: bool, base: Version, change: Change },

    #[musli(name = 31)]
    ForwardReply { request_id: u64, outcome: ChangeOutcome },

    /// Which digests of the versions `from` to `to` are held there?
    #[musli(name = 39)]
    DigestRequest { from: Version, to: Version },

    /// The newest of those that were asked for, in a piece of bounded size.
    #[musli(name = 40)]
    DigestReply { from: Version, to: Version, digests: Vec<EntryDigest> },
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
