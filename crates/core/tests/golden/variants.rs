//! The names of the variants that need golden files.

use sumacvale_core::protocol::{
    Change, ChangeOutcome, ConsensusMessage, DisseminationMessage, LeaseMessage, MembershipMessage, Message,
    QuotaMessage,
};

/// Defines a function that returns the name of a value's variant, and the list of all these names.
///
/// The function is a `match` without a wildcard, so the compiler reports a variant that is not
/// listed. The list is generated from the same lines, so the tests report a listed variant without a
/// case.
macro_rules! name_variants {
    ($type:ident, $function:ident, $list:ident, { $($variant:ident => $name:literal,)+ }) => {
        pub fn $function(value: &$type) -> &'static str {
            match value {
                $($type::$variant { .. } => $name,)+
            }
        }

        pub const $list: &[&str] = &[$($name),+];
    };
}

/// Returns the name of a message's variant, which is also the name of its golden file.
pub fn message_name(message: &Message) -> &'static str {
    match message {
        Message::Consensus(message) => consensus_name(message),
        Message::Membership(message) => membership_name(message),
        Message::Lease(message) => lease_name(message),
        Message::Quota(message) => quota_name(message),
        Message::Dissemination(message) => dissemination_name(message),
    }
}

/// Returns the names of all message variants.
pub fn message_names() -> Vec<&'static str> {
    [CONSENSUS_NAMES, MEMBERSHIP_NAMES, LEASE_NAMES, QUOTA_NAMES, DISSEMINATION_NAMES].concat()
}

name_variants!(ConsensusMessage, consensus_name, CONSENSUS_NAMES, {
    Prepare => "prepare",
    Promise => "promise",
    Reject => "refuse",
    Accept => "accept",
    Accepted => "accepted",
    Replicate => "learn",
    Synced => "have",
    FreshnessProbe => "confirm",
    FreshnessReply => "confirmed",
    Forward => "forward",
    ForwardReply => "forwarded",
    DigestRequest => "digest_ask",
    DigestReply => "digests",
});

name_variants!(MembershipMessage, membership_name, MEMBERSHIP_NAMES, {
    Bootstrap => "found",
    TakeoverRequest => "takeover_ask",
    TakeoverReply => "takeover_reply",
    Ready => "ready",
    Register => "enroll",
    Registered => "enrolled",
});

name_variants!(LeaseMessage, lease_name, LEASE_NAMES, {
    Request => "term_ask",
    Granted => "term_yes",
    Rejected => "term_no",
    HeldLeasesQuery => "holds_ask",
    NoHeldLeases => "holds_none",
});

name_variants!(QuotaMessage, quota_name, QUOTA_NAMES, {
    ReplicateGrants => "grants",
    GrantsSynced => "grants_ok",
    SliceRequest => "slice_ask",
    SliceGranted => "slice",
    WindowSpent => "spent",
    NotLeaseHolder => "not_holder",
    RecallSlice => "recall",
    ReturnSlice => "return",
    ShareProbe => "probe",
    ShareProbeReply => "probed",
    ShareRequests => "share_ask",
    ShareGrants => "shares",
    LoanRequests => "loan_ask",
    Loans => "loans",
});

name_variants!(DisseminationMessage, dissemination_name, DISSEMINATION_NAMES, {
    Gossip => "gossip",
    Subscribe => "ask",
    Update => "tell",
    Reports => "reports",
    Removals => "ends",
    RemovalsReceived => "ends_ok",
    RemovalsKnownByAll => "ends_done",
    ClockRequest => "clock_ask",
    ClockReply => "clock_reply",
});

name_variants!(Change, change_name, CHANGE_NAMES, {
    Tree => "tree",
    Document => "doc",
    Patch => "patch",
    Voters => "cores",
    QueryOutcome => "look",
    ReadHistory => "history",
    ReadNewest => "newest",
});

name_variants!(ChangeOutcome, outcome_name, OUTCOME_NAMES, {
    Committed => "done",
    Stale => "stale",
    NoQuorum => "no_majority",
    Unknown => "unknown",
    IdReused => "reused",
    Invalid => "invalid",
    Content => "told",
});
