//! Messages of the leases of singleton roles.

use super::{RegisteredIncarnation, WindowGrant};
use crate::base::{Micros, NodeId, Version};
use musli::{Decode, Encode};

/// Messages of the leases of singleton roles.
///
/// The number of each variant is its tag on the wire, unique among the variants of all these enums; see
/// [`Message`](super::Message).
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[musli(name(type = usize))]
pub enum LeaseMessage {
    #[musli(name = 17)]
    Request { voter_set: Version, role: u32, epoch: u64, request_id: u64, is_new_epoch: bool },

    #[musli(name = 18)]
    Granted {
        role: u32,
        epoch: u64,
        request_id: u64,
        grants: Vec<WindowGrant>,
        has_no_predecessor: bool,
        registered: Vec<RegisteredIncarnation>,
    },

    #[musli(name = 19)]
    Rejected { role: u32, epoch: u64, request_id: u64, holder: NodeId, remaining: Micros },

    /// A voter that has just started asks a core whether it holds any term.
    #[musli(name = 41)]
    HeldLeasesQuery { query_id: u64 },

    /// It holds none, and can win none by a vote that was given before.
    #[musli(name = 42)]
    NoHeldLeases { query_id: u64 },
}

impl LeaseMessage {
    /// The name of its kind, for logs and traces.
    pub fn name(&self) -> &'static str {
        match self {
            LeaseMessage::Request { .. } => "LeaseRequest",
            LeaseMessage::Granted { .. } => "LeaseGranted",
            LeaseMessage::Rejected { .. } => "LeaseRejected",
            LeaseMessage::HeldLeasesQuery { .. } => "HeldLeasesQuery",
            LeaseMessage::NoHeldLeases { .. } => "NoHeldLeases",
        }
    }
}
