//! Messages of bootstrap, of the hand-over between sets of voters, and of registrations.

use super::{Voter, WindowGrant};
use crate::base::{Incarnation, NodeId, Version};
use musli::{Decode, Encode};

/// One life of a node that may hold shares, and where it lives.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RegisteredIncarnation {
    pub node_id: NodeId,
    pub incarnation: Incarnation,
    pub addr: String,
}

/// Messages of the bootstrap of a fleet and of changes of its set of voters.
///
/// The number of each variant is its tag on the wire, unique among the variants of all these enums; see
/// [`Message`](super::Message).
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[musli(name(type = usize))]
pub enum MembershipMessage {
    #[musli(name = 1)]
    Bootstrap { sender: Voter, version: Option<Version>, vote: Vec<Voter>, may_bootstrap: bool },

    #[musli(name = 22)]
    TakeoverRequest { voter_set: Version },

    #[musli(name = 23)]
    TakeoverReply {
        voter_set: Version,
        is_complete: bool,
        grants: Vec<WindowGrant>,
        registered: Vec<RegisteredIncarnation>,
    },

    #[musli(name = 32)]
    Ready { voter_set: Version },

    /// Lives of nodes that may be given shares, for the disks of voters.
    #[musli(name = 33)]
    Register { voter_set: Version, request_id: u64, incarnations: Vec<RegisteredIncarnation> },

    /// They are on this voter's disk.
    #[musli(name = 34)]
    Registered { voter_set: Version, request_id: u64 },
}

impl MembershipMessage {
    /// The name of its kind, for logs and traces.
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
