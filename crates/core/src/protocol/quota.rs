//! Messages of quotas: grants of windows, slices of them, and shares of rates.
//!
//! Windows are granted by messages 20 to 29 and rates by 35 to 38, 45 and 46. Times are in microseconds and are always
//! durations, never points in time, as the clocks of two nodes are unrelated.

use crate::base::{Micros, NodeId, Version};
use musli::{Decode, Encode};

/// All units that one node was ever granted of one tenant's window.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct WindowGrant {
    /// The tenant's name.
    pub tenant: String,
    /// The number of the window, which only grows.
    pub window: u64,
    /// The node that the units were granted to.
    pub node_id: NodeId,
    /// The sum of all grants to this node in this window, which only grows.
    pub granted_total: u64,
    /// How long ago the window started as far as the sender knows, in microseconds.
    pub age: Micros,
}

impl WindowGrant {
    /// The same grant, `elapsed` microseconds later.
    #[must_use]
    pub fn aged_by(self, elapsed: Micros) -> WindowGrant {
        WindowGrant { age: self.age.saturating_add(elapsed), ..self }
    }
}

/// One node's share of one tenant's rate, and its demand.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
#[musli(packed)]
pub struct ShareRequest {
    /// The hash of the tenant's name.
    pub tenant_key: u64,
    /// The share held, in millionths.
    pub held_share: u32,
    /// Thousandths of units that the bucket lost when the share shrank, for the lease holder's pool.
    pub returned_milli: u64,
    /// The demand in thousandths of units a second.
    pub demand_milli: u64,
    /// The units of calls that the bucket could not serve.
    pub missing_units: u32,
    /// The units of the smallest of these calls; fewer are of no use.
    pub smallest_call: u32,
    /// The units of a usual call, a moving average.
    pub usual_call: u32,
    /// The demand in thousandths of calls a second.
    pub call_rate_milli: u64,
}

/// The response to the [`ShareRequest`] at the same index of a message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
#[musli(packed)]
pub struct ShareGrant {
    /// False where the responder doesn't hold the lease of the role, or a later request overtook this one.
    pub granted: bool,
    /// The share from now on, in millionths.
    pub share: u32,
    /// Thousandths of units that may be used at once on top.
    pub burst_milli: u64,
    /// Units lent to calls that wait now, independent of the share.
    pub loaned_units: u32,
}

/// A request to a standby for units of one tenant's rate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
#[musli(packed)]
pub struct LoanRequest {
    /// The hash of the tenant's name.
    pub tenant_key: u64,
    /// The units that calls wait for.
    pub missing_units: u32,
    /// The units of the smallest of these calls; fewer are of no use.
    pub smallest_call: u32,
}

/// The units that a standby lends out of its own bucket, for calls that wait now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
#[musli(packed)]
pub struct Loan {
    /// The hash of the tenant's name.
    pub tenant_key: u64,
    /// The units; zero where the standby has too few.
    pub units: u32,
}

/// A claim to the lease of a role. The pair of `voter_set` and `epoch` only grows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
#[musli(packed)]
pub struct LeaseClaim {
    /// The number of the role.
    pub role: u32,
    /// The version of the set of voters that the lease was granted under.
    pub voter_set: u64,
    /// The lease's epoch, its fencing token; zero where the sender doesn't hold it.
    pub epoch: u64,
    /// The lease holder; the default id where none is known.
    pub holder: NodeId,
}

/// Messages of quotas: slices of windows and shares of rates.
///
/// The number of each variant is its tag on the wire, unique among the variants of all these enums; see
/// [`Message`](super::Message).
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[musli(name(type = usize))]
pub enum QuotaMessage {
    /// From a lease holder to the voters: put these grants on disk.
    #[musli(name = 20)]
    ReplicateGrants {
        /// The version of the set of voters.
        voter_set: Version,
        /// The role whose lease the sender holds.
        role: u32,
        /// The lease's epoch, by which older holders are fenced.
        epoch: u64,
        /// The number that the response repeats.
        request_id: u64,
        /// The grants.
        grants: Vec<WindowGrant>,
    },

    /// From a voter: the grants of that request are on its disk.
    #[musli(name = 21)]
    GrantsSynced {
        /// The role of the request.
        role: u32,
        /// The epoch of the request.
        epoch: u64,
        /// The number of the request.
        request_id: u64,
    },

    /// A node requests units of a window.
    #[musli(name = 24)]
    SliceRequest {
        /// The number that the response repeats.
        request_id: u64,
        /// The tenant's name.
        tenant: String,
        /// How many units the node would use.
        wanted_units: u64,
        /// The newest window that the node knows.
        window: u64,
        /// The sum of units that it returned in that window.
        returned: u64,
    },

    /// Units are granted; sent once a majority of voters has the grant on disk.
    #[musli(name = 25)]
    SliceGranted {
        /// The number of the request.
        request_id: u64,
        /// The tenant's name.
        tenant: String,
        /// The number of the window.
        window: u64,
        /// The sum of all grants to the node in this window.
        granted_total: u64,
        /// How long the units may be used from the moment of the request, in microseconds.
        remaining: Micros,
        /// The lease's epoch.
        epoch: u64,
    },

    /// Nothing is left of the window.
    #[musli(name = 26)]
    WindowSpent {
        /// The number of the request.
        request_id: u64,
        /// The tenant's name.
        tenant: String,
        /// The number of the window.
        window: u64,
        /// How long the window still lasts, in microseconds.
        remaining: Micros,
    },

    /// The receiver of a request does not hold the lease.
    #[musli(name = 27)]
    NotLeaseHolder {
        /// The number of the request.
        request_id: u64,
        /// The tenant's name.
        tenant: String,
        /// The lease holder by what the sender knows; the default id where it knows none.
        holder: NodeId,
    },

    /// The lease holder asks for idle units back.
    #[musli(name = 28)]
    RecallSlice {
        /// The tenant's name.
        tenant: String,
        /// The number of the window.
        window: u64,
        /// The lease's epoch.
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

    /// The lease holder of these roles wants to receive share requests now.
    #[musli(name = 35)]
    ShareProbe {
        /// The leases that the sender holds.
        claims: Vec<LeaseClaim>,
    },

    /// Which incarnation listens at the address that was probed.
    #[musli(name = 36)]
    ShareProbeReply {
        /// The sender's own address.
        addr: String,
        /// The claims of the probe.
        claims: Vec<LeaseClaim>,
        /// How long ago this incarnation started, in microseconds; it had the address to itself since then.
        #[musli(default)]
        age: Micros,
    },

    /// A node requests shares of several rates from one lease holder.
    #[musli(name = 37)]
    ShareRequests {
        /// The number that the response repeats.
        request_id: u64,
        /// One request for each tenant.
        requests: Vec<ShareRequest>,
        /// The newest claims that the sender knows for the roles of these tenants.
        claims: Vec<LeaseClaim>,
        /// For how long this incarnation was granted nothing and held the same share, in microseconds and in
        /// the order of `requests`.
        #[musli(default)]
        idle_for: Vec<Micros>,
    },

    /// The response to [`ShareRequests`](QuotaMessage::ShareRequests).
    #[musli(name = 38)]
    ShareGrants {
        /// The number of the request.
        request_id: u64,
        /// One grant for each request, in the same order.
        grants: Vec<ShareGrant>,
        /// The lease holders of these roles by what the sender knows.
        claims: Vec<LeaseClaim>,
    },

    /// A node requests units from the standby, as the lease holder does not answer or has none.
    #[musli(name = 45)]
    LoanRequests {
        /// The number that the response repeats.
        request_id: u64,
        /// One request for each tenant.
        requests: Vec<LoanRequest>,
    },

    /// The response to [`LoanRequests`](QuotaMessage::LoanRequests).
    #[musli(name = 46)]
    Loans {
        /// The number of the request.
        request_id: u64,
        /// What is lent of each tenant that the sender knows.
        loans: Vec<Loan>,
    },
}

impl QuotaMessage {
    /// The name of its kind, for logs and traces.
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
