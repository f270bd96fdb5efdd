//! The messages between nodes and what they are made of.

use super::EntryDigest;
use crate::base::{ChangeId, Incarnation, Micros, NodeId, Version};
use crate::config::Patch;
use musli::{Decode, Encode};

/// A place among the cores that a version names.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct Voter {
    pub node_id: NodeId,
    pub addr: String,
}

/// One decided (or proposed) version of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct LogEntry {
    pub version: Version,
    pub change_id: ChangeId,
    pub fleet_id: u64,
    /// The version at which the set of cores last changed, and the set before it.
    pub voters_since: Version,
    pub previous_voters: Vec<Voter>,
    pub voters: Vec<Voter>,
    pub body: String,
    /// The operator's own number of the body.
    #[musli(default)]
    pub revision: u64,
    /// What makes the body of the version before this body, where it came so; between nodes that
    /// hold the version before it stands for the body, which is left empty.
    #[musli(default)]
    pub patch: Option<Patch>,
    /// The body or the patch in packed form, where that is large.
    #[musli(default, bytes)]
    pub compressed: Vec<u8>,
}

impl LogEntry {
    /// The same without its body, for one who holds the version before; large ones in their packed
    /// form.
    pub fn without_body(&self) -> LogEntry {
        let by_patch = self.patch.is_some();
        let is_packed = !self.compressed.is_empty();
        LogEntry {
            version: self.version,
            change_id: self.change_id,
            fleet_id: self.fleet_id,
            voters_since: self.voters_since,
            previous_voters: self.previous_voters.clone(),
            voters: self.voters.clone(),
            body: if by_patch || is_packed { String::new() } else { self.body.clone() },
            revision: self.revision,
            patch: if is_packed { None } else { self.patch.clone() },
            compressed: self.compressed.clone(),
        }
    }

    /// The same for one who may hold no version before it.
    pub fn self_contained(&self) -> LogEntry {
        match &self.patch {
            None => self.without_body(),
            Some(_) => LogEntry { compressed: Vec::new(), ..self.clone() },
        }
    }

    /// Whether its body is to be made yet.
    pub fn lacks_body(&self) -> bool {
        self.body.is_empty() && (self.patch.is_some() || !self.compressed.is_empty())
    }

    /// This version whole, given the one before it; none if that is another one.
    pub fn with_body_from(self, before: &LogEntry) -> Option<LogEntry> {
        let mut whole = self.decompress()?;
        if whole.lacks_body() {
            if before.version + 1 != whole.version || before.lacks_body() {
                return None;
            }
            whole.body = whole.patch.as_ref()?.apply(&before.body).ok()?;
        }
        Some(whole)
    }

    /// About how many bytes it has on its way.
    pub fn size(&self) -> usize {
        self.body.len() + self.patch.as_ref().map_or(0, Patch::size) + self.compressed.len()
    }
}

/// The number of a ballot, unlike that of any other proposer or life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct Ballot {
    pub number: u64,
    pub node_id: NodeId,
    /// A core that starts anew may not know what it bid before.
    pub incarnation: Incarnation,
}

/// What is known of one node.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct PeerRecord {
    pub node_id: NodeId,
    pub incarnation: Incarnation,
    pub heartbeat: u64,
    pub addr: String,
    pub admin: String,
    pub zone: String,
    pub is_core: bool,
    pub draining: bool,
    pub version: Version,
}

/// The part of what is known of a node that changes all the time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[musli(packed)]
pub struct Heartbeat {
    pub node_id: NodeId,
    pub incarnation: Incarnation,
    pub heartbeat: u64,
    pub version: Version,
    pub draining: bool,
}

/// In the place of a worker's incarnation where the worker doesn't number its lives: the node
/// that it reports to does.
pub const UNNUMBERED_INCARNATION: Incarnation = 0;

/// What a worker said of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct WorkerReport {
    pub worker_id: String,
    pub incarnation: Incarnation,
    pub seq: u64,
    pub addr: String,
    pub pool: String,
    pub zone: String,
    pub slots: u32,
    pub busy: u32,
    pub draining: bool,
    /// How much longer it is slow after its start.
    pub warm_up_left: Micros,
    /// It left in order; this life never comes back.
    pub removed: bool,
    pub age: Micros,
}

/// Whose end it is, and whether it left or only drains.
pub type RemovalKey = (String, Incarnation, bool);

impl WorkerReport {
    /// Takes no calls any more, by its own word.
    pub fn is_out_of_service(&self) -> bool {
        self.draining || self.removed
    }

    /// What tells this row from those of other lives.
    pub fn removal_key(&self) -> RemovalKey {
        (self.worker_id.clone(), self.incarnation, self.removed)
    }

    /// A leave that names nothing but the worker: it counts more than any report of that life.
    pub fn removal(worker_id: &str, incarnation: Incarnation) -> WorkerReport {
        WorkerReport { worker_id: worker_id.into(), incarnation, removed: true, ..WorkerReport::default() }
    }
}

/// What a change does to the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Change {
    Tree(String),
    /// A document that has a number of its own, built on the one with the number that is
    /// its base. Versions that change nothing of it, such as of the cores, don't outdate it.
    Document(String),
    /// The document with the number that is its base, changed in single items.
    Patch(Patch),
    Voters(Vec<Voter>),
    /// Nothing is changed: how did this change end?
    QueryOutcome,
    /// Nothing is changed: which versions are kept?
    ReadHistory,
    /// Nothing is changed: the newest document, with all that was acknowledged before.
    ReadNewest,
}

impl Change {
    /// Whether it only asks for something.
    pub fn is_read(&self) -> bool {
        matches!(self, Change::QueryOutcome | Change::ReadHistory | Change::ReadNewest)
    }

    /// The bytes that it brings.
    pub fn size(&self) -> usize {
        match self {
            Change::Tree(body) | Change::Document(body) => body.len(),
            Change::Patch(patch) => patch.size(),
            Change::Voters(_) | Change::QueryOutcome | Change::ReadHistory | Change::ReadNewest => 0,
        }
    }
}

/// How a change ended, as far as the answering node knows.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ChangeOutcome {
    Committed { version: Version },
    Stale { version: Version },
    NoQuorum,
    Unknown,
    IdReused,
    Invalid { reason: String },
    Content { text: String },
}

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

/// One life of a node that may hold shares, and where it lives.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RegisteredIncarnation {
    pub node_id: NodeId,
    pub incarnation: Incarnation,
    pub addr: String,
}

/// All that nodes say to each other.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Message {
    Gossip {
        beats: Vec<Heartbeat>,
        rows: Vec<PeerRecord>,
        ask: Vec<NodeId>,
        reply: bool,
        /// Names the lives that the sender knows; nought says nothing.
        #[musli(default)]
        set: u64,
        /// Two bytes of each of these lives' beats, to one who knows the same.
        #[musli(default, bytes)]
        pulse: Vec<u8>,
    },
    Found {
        me: Voter,
        version: Option<Version>,
        pledge: Vec<Voter>,
        first: bool,
    },
    Prepare {
        instance: Version,
        ballot: Ballot,
    },
    Promise {
        instance: Version,
        ballot: Ballot,
        accepted: Option<(Ballot, LogEntry)>,
    },
    Refuse {
        instance: Version,
        ballot: Ballot,
    },
    Accept {
        ballot: Ballot,
        decree: LogEntry,
    },
    Accepted {
        instance: Version,
        ballot: Ballot,
    },
    Learn {
        decrees: Vec<LogEntry>,
    },
    Have {
        version: Version,
    },
    Confirm {
        seq: u64,
        version: Version,
    },
    Confirmed {
        seq: u64,
        version: Version,
        have: Version,
        ready: Option<Version>,
        pend: bool,
    },
    Ask {
        seq: u64,
        version: Version,
        idx: u64,
        of: Incarnation,
        svcs: Vec<String>,
    },
    /// `whole`: the teller was heard of by every worker that lives.
    Tell {
        ask: u64,
        since: Micros,
        stamp: Option<Micros>,
        version: Version,
        /// The versions from the asker's on, as patches, where they lead to the one told.
        #[musli(default)]
        before: Vec<LogEntry>,
        decree: Option<LogEntry>,
        idx: u64,
        whole: bool,
        rows: Vec<WorkerReport>,
    },
    Reports {
        rows: Vec<WorkerReport>,
    },
    /// Workers that take no calls any more, to every live node at once.
    Ends {
        rows: Vec<WorkerReport>,
    },
    EndsOk {
        keys: Vec<RemovalKey>,
    },
    /// All live nodes have these.
    EndsDone {
        keys: Vec<RemovalKey>,
    },
    TermAsk {
        set: Version,
        duty: u32,
        epoch: u64,
        n: u64,
        new: bool,
    },
    TermYes {
        duty: u32,
        epoch: u64,
        n: u64,
        rows: Vec<WindowGrant>,
        first: bool,
        lives: Vec<RegisteredIncarnation>,
    },
    TermNo {
        duty: u32,
        epoch: u64,
        n: u64,
        holder: NodeId,
        left: Micros,
    },
    Grants {
        set: Version,
        duty: u32,
        epoch: u64,
        n: u64,
        rows: Vec<WindowGrant>,
    },
    GrantsOk {
        duty: u32,
        epoch: u64,
        n: u64,
    },
    TakeoverAsk {
        set: Version,
    },
    TakeoverReply {
        set: Version,
        full: bool,
        rows: Vec<WindowGrant>,
        lives: Vec<RegisteredIncarnation>,
    },
    SliceAsk {
        n: u64,
        tenant: String,
        want: u64,
        window: u64,
        returned: u64,
    },
    Slice {
        n: u64,
        tenant: String,
        window: u64,
        granted_total: u64,
        left: Micros,
        epoch: u64,
    },
    Spent {
        n: u64,
        tenant: String,
        window: u64,
        left: Micros,
    },
    NotHolder {
        n: u64,
        tenant: String,
        holder: NodeId,
    },
    Recall {
        tenant: String,
        window: u64,
        epoch: u64,
    },
    Return {
        tenant: String,
        window: u64,
        returned: u64,
    },
    Forward {
        n: u64,
        change_id: ChangeId,
        fresh: bool,
        base: Version,
        change: Change,
    },
    Forwarded {
        n: u64,
        fate: ChangeOutcome,
    },
    Ready {
        set: Version,
    },
    /// Lives of nodes that may be given shares, for the disks of voters.
    Enroll {
        set: Version,
        n: u64,
        rows: Vec<RegisteredIncarnation>,
    },
    /// They are on this voter's disk.
    Enrolled {
        set: Version,
        n: u64,
    },
    /// Who holds these duties wants to be asked now.
    Probe {
        marks: Vec<LeaseClaim>,
    },
    /// Who lives at the address that was probed.
    Probed {
        addr: String,
        marks: Vec<LeaseClaim>,
        /// How long ago this life began, which had the address for itself from then on.
        #[musli(default)]
        age: Micros,
    },
    ShareAsk {
        n: u64,
        rows: Vec<ShareRequest>,
        marks: Vec<LeaseClaim>,
        /// For how long this life was given nothing and held the same share, in the order of the rows.
        #[musli(default)]
        idle: Vec<Micros>,
    },
    Shares {
        n: u64,
        rows: Vec<ShareGrant>,
        marks: Vec<LeaseClaim>,
    },
    /// Which digests of the versions `from` to `to` are held there?
    DigestAsk {
        from: Version,
        to: Version,
    },
    /// The newest of those that were asked for, in a piece of bounded size.
    Digests {
        from: Version,
        to: Version,
        rows: Vec<EntryDigest>,
    },
    /// A voter that has just started asks a core whether it holds any term.
    HoldsAsk {
        n: u64,
    },
    /// It holds none, and can win none by a vote that was given before.
    HoldsNone {
        n: u64,
    },
    /// What does your clock show?
    ClockAsk {
        n: u64,
    },
    /// What the frame says that it was sent at, after it was asked for.
    ClockReply {
        n: u64,
    },
}
