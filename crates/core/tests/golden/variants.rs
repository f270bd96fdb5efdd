//! The names of the variants that need golden files.

use sumacvale_core::protocol::{Change, ChangeOutcome, Message};

/// Makes a function that names the variant of a value, and the list of all these names.
///
/// The function is a `match` without a wildcard, so the compiler reports a variant that is not
/// listed here. The list comes from the same lines, so a listed variant without a case is reported
/// by the tests.
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

name_variants!(Message, message_name, MESSAGE_NAMES, {
    Gossip => "gossip",
    Found => "found",
    Prepare => "prepare",
    Promise => "promise",
    Refuse => "refuse",
    Accept => "accept",
    Accepted => "accepted",
    Learn => "learn",
    Have => "have",
    Confirm => "confirm",
    Confirmed => "confirmed",
    Ask => "ask",
    Tell => "tell",
    Reports => "reports",
    Ends => "ends",
    EndsOk => "ends_ok",
    EndsDone => "ends_done",
    TermAsk => "term_ask",
    TermYes => "term_yes",
    TermNo => "term_no",
    Grants => "grants",
    GrantsOk => "grants_ok",
    TakeoverAsk => "takeover_ask",
    TakeoverReply => "takeover_reply",
    SliceAsk => "slice_ask",
    Slice => "slice",
    Spent => "spent",
    NotHolder => "not_holder",
    Recall => "recall",
    Return => "return",
    Forward => "forward",
    Forwarded => "forwarded",
    Ready => "ready",
    Enroll => "enroll",
    Enrolled => "enrolled",
    Probe => "probe",
    Probed => "probed",
    ShareAsk => "share_ask",
    Shares => "shares",
    DigestAsk => "digest_ask",
    Digests => "digests",
    HoldsAsk => "holds_ask",
    HoldsNone => "holds_none",
    ClockAsk => "clock_ask",
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

name_variants!(ChangeOutcome, fate_name, FATE_NAMES, {
    Committed => "done",
    Stale => "stale",
    NoQuorum => "no_majority",
    Unknown => "unknown",
    IdReused => "reused",
    Invalid => "invalid",
    Content => "told",
});
