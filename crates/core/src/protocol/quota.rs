//! Messages of quotas: grants of windows, slices of them, and shares of rates.
//!
//! Windows are granted by messages 20 to 29 and rates by 35 to 38, 45 and 46. Times are in microseconds and are always
//! durations, never points in time, because the clocks of nodes are not synchronized.

use crate::base::{Micros, NodeId, Version};
use musli::{Decode, Encode};

/// The total of the units that one node was granted of one window of a tenant's quota.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct WindowGrant {
    /// The tenant's name.
    pub tenant: String,
    /// The number of the window. Invariant: never decreases.
    pub window: u64,
    /// The node that the units were granted to.
    pub node_id: NodeId,
    /// The sum of all grants to this node in this window. Invariant: never decreases.
    pub granted_total: u64,
    /// The age of the window as far as the sender knows, in microseconds.
    pub age: Micros,
}

impl WindowGrant {
    /// Returns the grant with the age of its window increased by `elapsed` microseconds.
    #[must_use]
    pub fn aged_by(self, elapsed: Micros) -> WindowGrant {
        WindowGrant { age: self.age.saturating_add(elapsed), ..self }
    }
}

/// A node's request for a share of one tenant's rate: the share that it holds and its demand.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
#[musli(packed)]
pub struct ShareRequest {
    /// The hash of the tenant's name.
    pub tenant_key: u64,
    /// The held share, in millionths of the rate.
    pub held_share: u32,
    /// The thousandths of units that the bucket returned to the lease holder's pool when its share shrank.
    pub returned_milli: u64,
    /// The demand, in thousandths of units a second.
    pub demand_milli: u64,
    /// The units that the bucket lacked for calls.
    pub missing_units: u32,
    /// The units of the smallest of these calls; fewer units serve no call.
    pub smallest_call_units: u32,
    /// The moving average of the units of a call.
    pub mean_call_units: u32,
    /// The demand, in thousandths of calls a second.
    pub call_rate_milli: u64,
}

/// The response to the [`ShareRequest`] at the same index of a message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
#[musli(packed)]
pub struct ShareGrant {
    /// False if the responder doesn't hold the lease of the role, or if it received a later request before this one.
    pub granted: bool,
    /// The new share, in millionths of the rate.
    pub share: u32,
    /// Additional units that may be used at once, in thousandths.
    pub burst_milli: u64,
    /// The units lent to waiting calls, independent of the share.
    pub loaned_units: u32,
}

/// A request to a standby for units of one tenant's rate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
#[musli(packed)]
pub struct LoanRequest {
    /// The hash of the tenant's name.
    pub tenant_key: u64,
    /// The units that waiting calls lack.
    pub missing_units: u32,
    /// The units of the smallest of these calls; fewer units serve no call.
    pub smallest_call_units: u32,
}

/// The units that a standby lends from its own bucket to waiting calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
#[musli(packed)]
pub struct Loan {
    /// The hash of the tenant's name.
    pub tenant_key: u64,
    /// The lent units; zero if the standby has too few.
    pub units: u32,
}

/// A claim to the lease of a role. Invariant: the pair of `voter_set` and `epoch` never decreases.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
#[musli(packed)]
pub struct LeaseClaim {
    /// The number of the role.
    pub role: u32,
    /// The version of the set of voters that the lease was granted under.
    pub voter_set: u64,
    /// The epoch of the lease, its fencing token; zero if the sender doesn't hold the lease.
    pub epoch: u64,
    /// The lease holder; the default ID if none is known.
    pub holder: NodeId,
}

/// Messages of quotas: slices of windows and shares of rates.
///
/// The number of each variant is its tag on the wire, unique among the variants of all message enums; see
/// [`Message`](super::Message).
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[musli(name(type = usize))]
pub enum QuotaMessage {
    /// A lease holder asks the voters to sync these grants to disk.
    #[musli(name = 20)]
    ReplicateGrants {
        /// The version of the set of voters.
        voter_set: Version,
        /// The role of the sender's lease.
        role: u32,
        /// The epoch of the lease, which fences earlier holders.
        epoch: u64,
        /// The ID that the response repeats.
        request_id: u64,
        /// The grants.
        grants: Vec<WindowGrant>,
    },

    /// A voter has the grants of the request on its disk.
    #[musli(name = 21)]
    GrantsSynced {
        /// The role of the request.
        role: u32,
        /// The epoch of the request.
        epoch: u64,
        /// The ID of the request.
        request_id: u64,
    },

    /// A node requests units of a window.
    #[musli(name = 24)]
    SliceRequest {
        /// The ID that the response repeats.
        request_id: u64,
        /// The tenant's name.
        tenant: String,
        /// The number of units that the node could use.
        wanted_units: u64,
        /// The newest window that the node knows.
        window: u64,
        /// The sum of all units that the node returned in that window.
        returned: u64,
    },

    /// The lease holder grants units; sent once a majority of the voters has the grant on disk.
    #[musli(name = 25)]
    SliceGranted {
        /// The ID of the request.
        request_id: u64,
        /// The tenant's name.
        tenant: String,
        /// The number of the window.
        window: u64,
        /// The sum of all grants to the node in this window.
        granted_total: u64,
        /// The time for which the units may be used, counted from the request, in microseconds.
        remaining: Micros,
        /// The epoch of the lease.
        epoch: u64,
    },

    /// No units are left in the window.
    #[musli(name = 26)]
    WindowSpent {
        /// The ID of the request.
        request_id: u64,
        /// The tenant's name.
        tenant: String,
        /// The number of the window.
        window: u64,
        /// The remaining time of the window, in microseconds.
        remaining: Micros,
    },

    /// The receiver of a request does not hold the lease.
    #[musli(name = 27)]
    NotLeaseHolder {
        /// The ID of the request.
        request_id: u64,
        /// The tenant's name.
        tenant: String,
        /// The lease holder according to the sender; the default ID if it knows none.
        holder: NodeId,
    },

    /// The lease holder recalls idle units.
    #[musli(name = 28)]
    RecallSlice {
        /// The tenant's name.
        tenant: String,
        /// The number of the window.
        window: u64,
        /// The epoch of the lease.
        epoch: u64,
    },

    /// The response to a recall.
    #[musli(name = 29)]
    ReturnSlice {
        /// The tenant's name.
        tenant: String,
        /// The number of the window.
        window: u64,
        /// The sum of all units that the node returned in this window.
        returned: u64,
    },

    /// The lease holder of these roles asks for share requests.
    #[musli(name = 35)]
    ShareProbe {
        /// The leases that the sender holds.
        claims: Vec<LeaseClaim>,
    },

    /// The incarnation at the probed address replies to a probe.
    #[musli(name = 36)]
    ShareProbeReply {
        /// The address of the sender.
        addr: String,
        /// The claims of the probe.
        claims: Vec<LeaseClaim>,
        /// The time since this incarnation started, in microseconds, during which no other one used the address.
        #[musli(default)]
        age: Micros,
    },

    /// A node requests shares of several rates from one lease holder.
    #[musli(name = 37)]
    ShareRequests {
        /// The ID that the response repeats.
        request_id: u64,
        /// One request for each tenant.
        requests: Vec<ShareRequest>,
        /// The newest claims to the roles of these tenants that the sender knows.
        claims: Vec<LeaseClaim>,
        /// The time for which this incarnation was granted nothing and held the same share, in microseconds and
        /// in the order of `requests`.
        #[musli(default)]
        idle_for: Vec<Micros>,
    },

    /// The response to [`ShareRequests`](QuotaMessage::ShareRequests).
    #[musli(name = 38)]
    ShareGrants {
        /// The ID of the request.
        request_id: u64,
        /// One grant for each request, in the same order.
        grants: Vec<ShareGrant>,
        /// The lease holders of these roles according to the sender.
        claims: Vec<LeaseClaim>,
    },

    /// A node requests units from the standby, because the lease holder does not reply or has no units.
    #[musli(name = 45)]
    LoanRequests {
        /// The ID that the response repeats.
        request_id: u64,
        /// One request for each tenant.
        requests: Vec<LoanRequest>,
    },

    /// The response to [`LoanRequests`](QuotaMessage::LoanRequests).
    #[musli(name = 46)]
    Loans {
        /// The ID of the request.
        request_id: u64,
        /// One loan for each tenant that the sender knows.
        loans: Vec<Loan>,
    },
}

impl QuotaMessage {
    /// Returns the name of the message kind, for logs and traces.
    pub fn name(&self) -> &'static str {
        match self {
            QuotaMessage::ReplicateGrants { .. } => "ReplicateGrants",
            QuotaMessage::GrantsSynced { .. } => "GrantsSynced",
            QuotaMessage::SliceRequest { .. } => "SliceRequest",
            QuotaMessage::SliceGranted { .. } => "SliceGranted",
            QuotaMessage::WindowSpent { .. } => "WindowSpent",
            QuotaMessage::NotLeaseHolder { .. } => "NotLeaseHolder",
            QuotaMessage::RecallSlice { .. } => "RecallSlice",
            QuotaMessage::ReturnSlice { .. } => "ReturnSlice",
            QuotaMessage::ShareProbe { .. } => "ShareProbe",
            QuotaMessage::ShareProbeReply { .. } => "ShareProbeReply",
            QuotaMessage::ShareRequests { .. } => "ShareRequests",
            QuotaMessage::ShareGrants { .. } => "ShareGrants",
            QuotaMessage::LoanRequests { .. } => "LoanRequests",
            QuotaMessage::Loans { .. } => "Loans",
        }
    }
}
