use sumacvale_core::protocol::{
    ConsensusMessage, DisseminationMessage, LeaseMessage, MembershipMessage, Message, QuotaMessage,
};

/// Messages by what they are for.
pub const GROUPS: [&str; 9] =
    ["gossip", "freshness", "news", "reports", "terms", "grants", "slices", "agreement", "forward"];

pub fn group(m: &Message) -> usize {
    match m {
        Message::Dissemination(DisseminationMessage::Gossip { .. }) => 0,
        Message::Consensus(ConsensusMessage::FreshnessProbe { .. })
        | Message::Consensus(ConsensusMessage::FreshnessReply { .. }) => 1,
        Message::Dissemination(DisseminationMessage::Subscribe { .. })
        | Message::Dissemination(DisseminationMessage::Update { .. }) => 2,
        Message::Dissemination(DisseminationMessage::Reports { .. }) => 3,
        Message::Lease(LeaseMessage::Request { .. })
        | Message::Lease(LeaseMessage::Granted { .. })
        | Message::Lease(LeaseMessage::Rejected { .. }) => 4,
        Message::Quota(QuotaMessage::ReplicateGrants { .. })
        | Message::Quota(QuotaMessage::GrantsSynced { .. })
        | Message::Membership(MembershipMessage::TakeoverRequest { .. })
        | Message::Membership(MembershipMessage::TakeoverReply { .. }) => 5,
        Message::Quota(QuotaMessage::SliceRequest { .. })
        | Message::Quota(QuotaMessage::SliceGranted { .. })
        | Message::Quota(QuotaMessage::WindowSpent { .. })
        | Message::Quota(QuotaMessage::NotLeaseHolder { .. })
        | Message::Quota(QuotaMessage::RecallSlice { .. })
        | Message::Quota(QuotaMessage::ReturnSlice { .. }) => 6,
        Message::Consensus(ConsensusMessage::Forward { .. })
        | Message::Consensus(ConsensusMessage::ForwardReply { .. }) => 8,
        _ => 7,
    }
}

/// What one node did since the measurement began.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    pub out: [(u64, u64); GROUPS.len()],
    pub inn: (u64, u64),
    /// Bytes sent to other zones, and to other regions.
    pub far: u64,
    pub region: u64,
    pub step_ns: u64,
    pub wire_ns: u64,
    pub steps: u64,
    pub writes: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Votes.
    Core,
    /// Home or runner-up of a service in its zone.
    Home,
    Other,
}

/// The mean of the nodes of one role, for each second.
#[derive(Clone, Debug)]
pub struct Row {
    pub role: Role,
    pub count: u64,
    pub cols: Vec<(&'static str, f64)>,
}

impl Row {
    pub fn of(role: Role, ts: &[(&Tally, i64)], secs: f64) -> Row {
        let n = ts.len().max(1) as f64;
        let mean = |f: &dyn Fn(&Tally) -> f64| ts.iter().map(|t| f(t.0)).sum::<f64>() / n / secs;
        let most = |f: &dyn Fn(&Tally) -> f64| ts.iter().map(|t| f(t.0)).fold(0.0, f64::max) / secs;
        let bytes = |t: &Tally| t.out.iter().map(|o| o.1 as f64).sum::<f64>();
        let mut cols = vec![
            ("msgs_out", mean(&|t| t.out.iter().map(|o| o.0 as f64).sum())),
            ("bytes_out", mean(&bytes)),
            ("bytes_out_most", most(&bytes)),
            ("msgs_in", mean(&|t| t.inn.0 as f64)),
            ("bytes_in", mean(&|t| t.inn.1 as f64)),
            ("bytes_far", mean(&|t| t.far as f64)),
            ("bytes_region", mean(&|t| t.region as f64)),
            ("step_us", mean(&|t| t.step_ns as f64 / 1e3)),
            ("step_us_most", most(&|t| t.step_ns as f64 / 1e3)),
            ("wire_us", mean(&|t| t.wire_ns as f64 / 1e3)),
            ("writes", mean(&|t| t.writes as f64)),
            ("memory", ts.iter().map(|t| t.1 as f64).sum::<f64>() / n),
        ];
        for (i, g) in GROUPS.iter().enumerate() {
            cols.push((g, mean(&|t| t.out[i].1 as f64)));
        }
        Row { role, count: ts.len() as u64, cols }
    }

    pub fn get(&self, c: &str) -> f64 {
        self.cols.iter().find(|x| x.0 == c).map_or(0.0, |x| x.1)
    }
}
