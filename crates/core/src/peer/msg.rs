//! The messages between nodes and what they are made of.

use super::Digest;
use crate::base::{ChangeId, Incarnation, Micros, NodeId, Version};
use crate::config::Patch;
use musli::{Decode, Encode};

/// A place among the cores that a version names.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct Core {
    pub node_id: NodeId,
    pub addr: String,
}

/// One decided (or proposed) version of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Decree {
    pub version: Version,
    pub change_id: ChangeId,
    pub fleet: u64,
    /// The version at which the set of cores last changed, and the set before it.
    pub since: Version,
    pub old: Vec<Core>,
    pub cores: Vec<Core>,
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
    pub packed: Vec<u8>,
}

impl Decree {
    /// The same without its body, for one who holds the version before; large ones in their packed
    /// form.
    pub fn stripped(&self) -> Decree {
        let by_patch = self.patch.is_some();
        let is_packed = !self.packed.is_empty();
        Decree {
            version: self.version,
            change_id: self.change_id,
            fleet: self.fleet,
            since: self.since,
            old: self.old.clone(),
            cores: self.cores.clone(),
            body: if by_patch || is_packed { String::new() } else { self.body.clone() },
            revision: self.revision,
            patch: if is_packed { None } else { self.patch.clone() },
            packed: self.packed.clone(),
        }
    }

    /// The same for one who may hold no version before it.
    pub fn alone(&self) -> Decree {
        match &self.patch {
            None => self.stripped(),
            Some(_) => Decree { packed: Vec::new(), ..self.clone() },
        }
    }

    /// Whether its body is to be made yet.
    pub fn is_stripped(&self) -> bool {
        self.body.is_empty() && (self.patch.is_some() || !self.packed.is_empty())
    }

    /// This version whole, given the one before it; none if that is another one.
    pub fn restored(self, before: &Decree) -> Option<Decree> {
        let mut whole = self.unpacked()?;
        if whole.is_stripped() {
            if before.version + 1 != whole.version || before.is_stripped() {
                return None;
            }
            whole.body = whole.patch.as_ref()?.apply(&before.body).ok()?;
        }
        Some(whole)
    }

    /// About how many bytes it has on its way.
    pub fn size(&self) -> usize {
        self.body.len() + self.patch.as_ref().map_or(0, Patch::size) + self.packed.len()
    }
}

/// The number of a ballot, unlike that of any other proposer or life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct Ballot {
    pub n: u64,
    pub node_id: NodeId,
    /// A core that starts anew may not know what it bid before.
    pub life: Incarnation,
}

/// What is known of one node.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Peer {
    pub node_id: NodeId,
    pub incarnation: Incarnation,
    pub beat: u64,
    pub addr: String,
    pub admin: String,
    pub zone: String,
    pub core: bool,
    pub leaving: bool,
    pub version: Version,
}

/// The part of what is known of a node that changes all the time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[musli(packed)]
pub struct Beat {
    pub node_id: NodeId,
    pub incarnation: Incarnation,
    pub beat: u64,
    pub version: Version,
    pub leaving: bool,
}

/// In the place of a worker's incarnation where the worker doesn't number its lives: the node
/// that it reports to does.
pub const UNNUMBERED: Incarnation = 0;

/// What a worker said of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Row {
    pub worker_id: String,
    pub incarnation: Incarnation,
    pub seq: u64,
    pub addr: String,
    pub pool: String,
    pub zone: String,
    pub slots: u32,
    pub busy: u32,
    pub drain: bool,
    /// How much longer it is slow after its start.
    pub cold: Micros,
    /// It left in order; this life never comes back.
    pub gone: bool,
    pub age: Micros,
}

/// Whose end it is, and whether it left or only drains.
pub type RowKey = (String, Incarnation, bool);

impl Row {
    /// Takes no calls any more, by its own word.
    pub fn ends(&self) -> bool {
        self.drain || self.gone
    }

    /// What tells this row from those of other lives.
    pub fn key(&self) -> RowKey {
        (self.worker_id.clone(), self.incarnation, self.gone)
    }

    /// A leave that names nothing but the worker: it counts more than any report of that life.
    pub fn left(worker_id: &str, incarnation: Incarnation) -> Row {
        Row { worker_id: worker_id.into(), incarnation, gone: true, ..Row::default() }
    }
}

/// What a change does to the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Change {
    Tree(String),
    /// A document that has a number of its own, built on the one with the number that is
    /// its base. Versions that change nothing of it, such as of the cores, don't outdate it.
    Doc(String),
    /// The document with the number that is its base, changed in single items.
    Patch(Patch),
    Cores(Vec<Core>),
    /// Nothing is changed: how did this change end?
    Look,
    /// Nothing is changed: which versions are kept?
    History,
    /// Nothing is changed: the newest document, with all that was acknowledged before.
    Newest,
}

impl Change {
    /// Whether it only asks for something.
    pub fn reads(&self) -> bool {
        matches!(self, Change::Look | Change::History | Change::Newest)
    }

    /// The bytes that it brings.
    pub fn size(&self) -> usize {
        match self {
            Change::Tree(body) | Change::Doc(body) => body.len(),
            Change::Patch(patch) => patch.size(),
            Change::Cores(_) | Change::Look | Change::History | Change::Newest => 0,
        }
    }
}

/// How a change ended, as far as the answering node knows.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Fate {
    Done { version: Version },
    Stale { version: Version },
    NoMajority,
    Unknown,
    Reused,
    Invalid { why: String },
    Told { text: String },
}

/// How much of one tenant's window one node was ever granted.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Grant {
    pub tenant: String,
    pub window: u64,
    pub node_id: NodeId,
    pub granted_total: u64,
    pub age: Micros,
}

impl Grant {
    /// The same so much later.
    pub fn older(self, by: Micros) -> Grant {
        Grant { age: self.age.saturating_add(by), ..self }
    }
}

/// What one node holds of one tenant's rate, and what it looks for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
#[musli(packed)]
pub struct ShareAsk {
    /// The hash of the tenant's name.
    pub key: u64,
    /// The share held, in millionths.
    pub has: u32,
    /// Thousandths of units that came free when the share shrank.
    pub returned: u64,
    /// Thousandths of units looked for in a second.
    pub want: u64,
    /// The units of calls that find nothing here.
    pub need: u32,
    /// The fewest units that any of these calls takes, of use only together.
    pub first: u32,
    /// The units of a usual call.
    pub each: u32,
    /// Thousandths of calls looked for in a second.
    pub calls: u64,
}

/// The answer to the row in the same place of an ask.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
#[musli(packed)]
pub struct ShareGiven {
    /// False where the answerer doesn't hold the duty, or not this row.
    pub yes: bool,
    pub share: u32,
    /// Thousandths of units that may be used at once on top.
    pub add: u64,
    /// Units for calls that wait now, which may go whatever is held.
    pub lend: u32,
}

/// Who holds a duty: `set` and `epoch` only grow, and the nid is nought where nobody is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
#[musli(packed)]
pub struct ShareMark {
    pub duty: u32,
    pub set: u64,
    pub epoch: u64,
    pub holder: NodeId,
}

/// One life of a node that may hold shares, and where it lives.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Life {
    pub node_id: NodeId,
    pub incarnation: Incarnation,
    pub addr: String,
}

/// All that nodes say to each other.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Msg {
    Gossip {
        beats: Vec<Beat>,
        rows: Vec<Peer>,
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
        me: Core,
        version: Option<Version>,
        pledge: Vec<Core>,
        first: bool,
    },
    Prepare {
        instance: Version,
        ballot: Ballot,
    },
    Promise {
        instance: Version,
        ballot: Ballot,
        accepted: Option<(Ballot, Decree)>,
    },
    Refuse {
        instance: Version,
        ballot: Ballot,
    },
    Accept {
        ballot: Ballot,
        decree: Decree,
    },
    Accepted {
        instance: Version,
        ballot: Ballot,
    },
    Learn {
        decrees: Vec<Decree>,
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
        before: Vec<Decree>,
        decree: Option<Decree>,
        idx: u64,
        whole: bool,
        rows: Vec<Row>,
    },
    Reports {
        rows: Vec<Row>,
    },
    /// Workers that take no calls any more, to every live node at once.
    Ends {
        rows: Vec<Row>,
    },
    EndsOk {
        keys: Vec<RowKey>,
    },
    /// All live nodes have these.
    EndsDone {
        keys: Vec<RowKey>,
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
        rows: Vec<Grant>,
        first: bool,
        lives: Vec<Life>,
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
        rows: Vec<Grant>,
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
        rows: Vec<Grant>,
        lives: Vec<Life>,
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
        fate: Fate,
    },
    Ready {
        set: Version,
    },
    /// Lives of nodes that may be given shares, for the disks of voters.
    Enroll {
        set: Version,
        n: u64,
        rows: Vec<Life>,
    },
    /// They are on this voter's disk.
    Enrolled {
        set: Version,
        n: u64,
    },
    /// Who holds these duties wants to be asked now.
    Probe {
        marks: Vec<ShareMark>,
    },
    /// Who lives at the address that was probed.
    Probed {
        addr: String,
        marks: Vec<ShareMark>,
        /// How long ago this life began, which had the address for itself from then on.
        #[musli(default)]
        age: Micros,
    },
    ShareAsk {
        n: u64,
        rows: Vec<ShareAsk>,
        marks: Vec<ShareMark>,
        /// For how long this life was given nothing and held the same share, in the order of the rows.
        #[musli(default)]
        idle: Vec<Micros>,
    },
    Shares {
        n: u64,
        rows: Vec<ShareGiven>,
        marks: Vec<ShareMark>,
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
        rows: Vec<Digest>,
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
