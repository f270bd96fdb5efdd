//! Messages of the bootstrap, of the takeover between sets of voters, and of registrations.

use super::{Voter, WindowGrant};
use crate::base::{Incarnation, NodeId, Version};
use musli::{Decode, Encode};

/// An incarnation of a node that may hold shares of rates, as registered with the voters.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RegisteredIncarnation {
    /// The ID of the node; the default ID stands for an unknown node that may hold any share.
    pub node_id: NodeId,
    /// The incarnation of the node.
    pub incarnation: Incarnation,
    /// The address at which the node can be probed; empty for an unknown node.
    pub addr: String,
}

/// Messages of the bootstrap of a fleet and of changes of its set of voters. A set of voters is named by
/// its first version.
///
/// The number of each variant is its tag on the wire, unique among the variants of all message enums; see
/// [`Message`](super::Message).
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[musli(name(type = usize))]
pub enum MembershipMessage {
    /// A core without a version announces itself to the seeds.
    #[musli(name = 1)]
    Bootstrap {
        /// The ID and the address of the sender.
        sender: Voter,
        /// The newest version that the sender holds, if any.
        version: Option<Version>,
        /// The set of voters that the sender voted for; empty until the vote is synced to its disk.
        vote: Vec<Voter>,
        /// Whether the settings of the sender allow it to found a fleet.
        may_bootstrap: bool,
    },

    /// A voter that is not ready requests the grants and registrations of earlier sets.
    #[musli(name = 22)]
    TakeoverRequest {
        /// The set whose takeover the sender performs.
        voter_set: Version,
    },

    /// The grants and registrations of earlier sets that the sender knows. The sender no longer acts under any
    /// of these sets.
    #[musli(name = 23)]
    TakeoverReply {
        /// The set of the request.
        voter_set: Version,
        /// Whether the sender is ready for this set, so that its reply alone is sufficient.
        is_complete: bool,
        /// The grants of the tenants' windows.
        grants: Vec<WindowGrant>,
        /// The incarnations that may hold shares of rates.
        registered: Vec<RegisteredIncarnation>,
    },

    /// The sender has the grants and registrations of all earlier sets on its disk.
    #[musli(name = 32)]
    Ready {
        /// The set that the sender is ready for.
        voter_set: Version,
    },

    /// Registers incarnations of nodes that may be granted shares, for the disks of the voters.
    #[musli(name = 33)]
    Register {
        /// The set under which the sender acts; voters of other sets don't confirm the registration.
        voter_set: Version,
        /// The ID of the request.
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
    /// Returns the name of the message kind, for logs and traces.
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
