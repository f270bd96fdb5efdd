//! One order of an operator, the calls that are made for it, and how operators behave.

use sumacvale_core::base::{ChangeId, Micros, hash64};

/// How an operator of one profile behaves; shares are in percent.
#[derive(Clone, Copy, Debug)]
pub struct OperatorBehaviour {
    pub every: Micros,
    /// Two orders on the same base at once, half of them under one number.
    pub races: u64,
    /// Answers that are lost.
    pub lost: u64,
    /// Orders taken earlier that are sent again.
    pub repeats: u64,
    pub reads: u64,
    /// Orders that no node may take.
    pub bad: u64,
    /// Routes of every eighth document beyond the usual ones.
    pub routes: u64,
}

/// The one machine that an order is sent to.
#[derive(Clone, Copy, Debug)]
pub struct PinnedTarget {
    pub slot: usize,
    /// Again and again until that machine gives a clear answer; else on to others after a 5xx.
    pub hard: bool,
}

/// A document that an operator wants in force, and what it heard of it.
#[derive(Clone, Debug)]
pub(super) struct Submission {
    pub(super) body: String,
    pub(super) base: u64,
    pub(super) revision: u64,
    pub(super) asked: Micros,
    /// Nobody answers for it now: it is sent when this comes.
    pub(super) due: Option<Micros>,
    pub(super) pause: Micros,
    pub(super) last: Option<usize>,
    pub(super) pinned: Option<PinnedTarget>,
    /// No node may take it.
    pub(super) bad: bool,
    pub(super) taken: bool,
    pub(super) refused: bool,
}

impl Submission {
    pub(super) fn change_id(&self) -> ChangeId {
        ChangeId(hash64(self.body.as_bytes()).max(1))
    }

    pub(super) fn clear(&self) -> bool {
        self.taken || self.refused
    }
}

/// A question to one machine that may still be answered.
#[derive(Clone, Copy, Debug)]
pub(super) enum PendingRequest {
    Put {
        order: usize,
        slot: usize,
        due: Micros,
    },
    /// A read, and the newest number that was acknowledged when it was asked for.
    Read {
        slot: usize,
        newest: u64,
        due: Micros,
        last: bool,
    },
}

impl PendingRequest {
    pub(super) fn due(&self) -> Micros {
        match self {
            PendingRequest::Put { due, .. } | PendingRequest::Read { due, .. } => *due,
        }
    }
}

/// The number of a document, nought for none.
pub(super) fn revision(text: &str) -> u64 {
    let digits = text.strip_prefix("{\"revision\":").unwrap_or_default();
    digits.chars().take_while(char::is_ascii_digit).collect::<String>().parse().unwrap_or(0)
}
