//! Messages of the leases of singleton roles.

use super::{RegisteredIncarnation, WindowGrant};
use crate::base::{Micros, NodeId, Version};
use musli::{Decode, Encode};

/// Messages of the leases of singleton roles, whose holders grant the quotas of tenants.
///
/// The number of each variant is its tag on the wire, unique among the variants of all message enums; see
/// [`Message`](super::Message).
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[musli(name(type = usize))]
pub enum LeaseMessage {
    /// A core requests a lease, or the renewal of its lease, from a voter.
    #[musli(name = 17)]
    Request {
        /// The sender's set of voters, named by its first version; voters of other sets don't reply.
        voter_set: Version,
        /// The role that the lease is for.
        role: u32,
        /// The epoch of the lease, its fencing token.
        epoch: u64,
        /// The ID of the request.
        request_id: u64,
        /// True for a new lease, whose epoch nobody held before; false for a renewal.
        is_new_epoch: bool,
    },

    /// A voter grants a request.
    #[musli(name = 18)]
    Granted {
        /// The role of the request.
        role: u32,
        /// The epoch of the request.
        epoch: u64,
        /// The ID of the request.
        request_id: u64,
        /// The grants that the voter recorded for the windows of the role's tenants; empty unless the epoch is
        /// new to the voter.
        grants: Vec<WindowGrant>,
        /// Whether the voter knows of no earlier holder of the role.
        has_no_predecessor: bool,
        /// The incarnations registered with the voter; empty unless the epoch is new to the voter.
        registered: Vec<RegisteredIncarnation>,
    },

    /// A voter rejects a request.
    #[musli(name = 19)]
    Rejected {
        /// The role of the request.
        role: u32,
        /// The highest epoch of the role that the voter knows of, or 0.
        epoch: u64,
        /// The ID of the request.
        request_id: u64,
        /// The holder of the role according to the voter; the default ID if there is none.
        holder: NodeId,
        /// The time until a request may succeed, in microseconds.
        remaining: Micros,
    },

    /// A voter that has just started asks whether the receiver holds any lease.
    #[musli(name = 41)]
    HeldLeasesQuery {
        /// The ID of the query, unique within this incarnation of the voter.
        query_id: u64,
    },

    /// The sender holds no lease, and no vote of an earlier incarnation of the voter can win it one.
    #[musli(name = 42)]
    NoHeldLeases {
        /// The ID of the query.
        query_id: u64,
    },
}

impl LeaseMessage {
    /// Returns the name of the message kind, for logs and traces.
    #[must_use]
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
