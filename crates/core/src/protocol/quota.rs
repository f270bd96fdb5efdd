//! Messages of quotas: grants of windows, slices of them, and shares of rates.

use crate::base::{Micros, NodeId, Version};
use musli::{Decode, Encode};

/// How much of one tenant's window one node was ever granted.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct WindowGrant {
    pub tenant: String,
    pub window: u64,
    pub node_id: NodeId,
    pub granted_total: u64,
    pub age: Micros,
}

impl WindowGrant {
    /// The same so much later.
    pub fn aged_by(self, by: Micros) -> WindowGrant {
        WindowGrant { age: self.age.saturating_add(by), ..self }
    }
}

/// What one node holds of one tenant's rate, and what it looks for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
#[musli(packed)]
pub struct ShareRequest {
    /// The hash of the tenant's name.
    pub tenant_key: u64,
    /// The share held, in millionths.
    pub held_share: u32,
    /// Thousandths of units that came free when the share shrank.
    pub returned_milli: u64,
    /// Thousandths of units looked for in a second.
    pub demand_milli: u64,
    /// The units of calls that find nothing here.
    pub missing_units: u32,
    /// The fewest units that any of these calls takes, of use only together.
    pub smallest_call: u32,
    /// The units of a usual call.
    pub usual_call: u32,
    /// Thousandths of calls looked for in a second.
    pub call_rate_milli: u64,
}

/// The answer to the row in the same place of an ask.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
#[musli(packed)]
pub struct ShareGrant {
    /// False where the answerer doesn't hold the duty, or not this row.
    pub granted: bool,
    pub share: u32,
    /// Thousandths of units that may be used at once on top.
    pub burst_milli: u64,
    /// Units for calls that wait now, which may go whatever is held.
    pub loaned_units: u32,
}

/// Who holds a duty: `set` and `epoch` only grow, and the nid is nought where nobody is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
#[musli(packed)]
pub struct LeaseClaim {
    pub role: u32,
    pub voter_set: u64,
    pub epoch: u64,
    pub holder: NodeId,
}

/// Messages of quotas: slices of windows and shares of rates.
///
/// The number of each variant is its tag on the wire, unique among the variants of all these enums; see
/// [`Message`](super::Message).
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[musli(name(type = usize))]
pub enum QuotaMessage {
    #[musli(name = 20)]
    ReplicateGrants { voter_set: Version, role: u32, epoch: u64, request_id: u64, grants: Vec<WindowGrant> },

    #[musli(name = 21)]
    GrantsSynced { role: u32, epoch: u64, request_id: u64 },

    #[musli(name = 24)]
    SliceRequest { request_id: u64, tenant: String, wanted_units: u64, window: u64, returned: u64 },

    #[musli(name = 25)]
    SliceGranted { request_id: u64, tenant: String, window: u64, granted_total: u64, remaining: Micros, epoch: u64 },

    #[musli(name = 26)]
    WindowSpent { request_id: u64, tenant: String, window: u64, remaining: Micros },

    #[musli(name = 27)]
    NotLeaseHolder { request_id: u64, tenant: String, holder: NodeId },

    #[musli(name = 28)]
    RecallSlice { tenant: String, window: u64, epoch: u64 },

    #[musli(name = 29)]
    ReturnSlice { tenant: String, window: u64, returned: u64 },

    /// Who holds these duties wants to be asked now.
    #[musli(name = 35)]
    ShareProbe { claims: Vec<LeaseClaim> },

    /// Who lives at the address that was probed.
    #[musli(name = 36)]
    ShareProbeReply {
        addr: String,
        claims: Vec<LeaseClaim>,
        /// How long ago this life began, which had the address for itself from then on.
        #[musli(default)]
        age: Micros,
    },

    #[musli(name = 37)]
    ShareRequests {
        request_id: u64,
        requests: Vec<ShareRequest>,
        claims: Vec<LeaseClaim>,
        /// For how long this life was given nothing and held the same share, in the order of the rows.
        #[musli(default)]
        idle_for: Vec<Micros>,
    },

    #[musli(name = 38)]
    ShareGrants { request_id: u64, grants: Vec<ShareGrant>, claims: Vec<LeaseClaim> },
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
        }
    }
}
