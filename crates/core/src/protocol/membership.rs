//! Messages of the bootstrap, of the hand-over between sets of voters, and of registrations.

use super::{Voter, WindowGrant};
use crate::base::{Incarnation, NodeId, Version};
use musli::{Decode, Encode};

/// An incarnation of a node that may hold shares of rates, as registered with the voters.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RegisteredIncarnation {
    /// The node; the default ID stands for an unknown one that may hold anything.
    pub node_id: NodeId,
    /// Which of its incarnations.
    pub incarnation: Incarnation,
    /// Its address, where it can be probed; empty for the unknown one.
    pub addr: String,
}

/// Messages of the bootstrap of a fleet and of changes of its set of voters. A set of voters is named by
/// the version that began it.
///
/// The number of each variant is its tag on the wire, unique among the variants of all these enums; see
/// [`Message`](super::Message).
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[musli(name(type = usize))]
pub enum MembershipMessage {
    /// A core without a version announces itself to the seeds.
    #[musli(name = 1)]
    Bootstrap {
        /// The sender's ID and address.
        sender: Voter,
        /// Its newest version, if it has any.
        version: Option<Version>,
        /// The set of voters that it voted for; empty until the vote is synced to its disk.
        vote: Vec<Voter>,
        /// Whether its settings allow it to found a fleet.
        may_bootstrap: bool,
    },

    /// A voter that is not ready requests what was granted under earlier sets.
    #[musli(name = 22)]
    TakeoverRequest {
        /// The set that it takes over to.
        voter_set: Version,
    },

    /// What the sender knows of grants and registrations under earlier sets. It acts under none of them
    /// any more.
    #[musli(name = 23)]
    TakeoverReply {
        /// The set of the request.
        voter_set: Version,
        /// Whether the sender is ready for this set, so that its reply alone is enough.
        is_complete: bool,
        /// What was granted of the tenants' windows.
        grants: Vec<WindowGrant>,
        /// The incarnations that may hold shares of rates.
        registered: Vec<RegisteredIncarnation>,
    },

    /// The sender has taken over what was granted before this set, on its disk.
    #[musli(name = 32)]
    Ready {
        /// The set that it is ready for.
        voter_set: Version,
    },

    /// Incarnations of nodes that may be granted shares, to be kept on the disks of the voters.
    #[musli(name = 33)]
    Register {
        /// The set under which the sender acts; others don't confirm it.
        voter_set: Version,
        /// Identifies the request.
        request_id: u64,
        /// The incarnations to register.
        incarnations: Vec<RegisteredIncarnation>,
    },

    /// The incarnations of the request are on this voter's disk.
    #[musli(name = 34)]
    Registered {
        /// The set of the request.
        voter_set: Version,
        /// The ID of the request.
        request_id: u64,
    },
}

impl MembershipMessage {
    /// The name of its kind, for logs and traces.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            MembershipMessage::Bootstrap { .. } => "Bootstrap",
            MembershipMessage::TakeoverRequest { .. } => "TakeoverRequest",
            MembershipMessage::TakeoverReply { .. } => "TakeoverReply",
            MembershipMessage::Ready { .. } => "Ready",
            MembershipMessage::Register { .. } => "Register",
            MembershipMessage::Registered { .. } => "Registered",
        }
    }
}
