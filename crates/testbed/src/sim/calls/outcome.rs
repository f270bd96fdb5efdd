//! What a downstream asks for, and what became of its call.

use crate::sim::workers::responses::body;
use sumacvale_core::base::Micros;
use sumacvale_core::retry::Execution;

/// What a downstream asks for.
#[derive(Clone, Debug)]
pub struct Want {
    pub tenant: String,
    pub path: &'static str,
    pub prefix: u64,
    pub wait: Micros,
    /// When it goes away without waiting for the end.
    pub leaves: Option<Micros>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Seen {
    Whole,
    Broken,
    Refused {
        status: u16,
        code: &'static str,
        ran: Execution,
        back: bool,
    },
    /// The node went away.
    Dropped,
    /// The downstream itself left.
    Left,
}

/// What became of one call, as its downstream saw it.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub call: u64,
    pub want: Want,
    pub slot: usize,
    pub at: Micros,
    pub first: Option<Micros>,
    pub end: Micros,
    pub body: Vec<u8>,
    /// A worker was nominated for it at least once.
    pub tried: bool,
    pub seen: Seen,
}

impl Outcome {
    /// Whether what came is a beginning of the right response, and all of it if it looks whole.
    pub fn right(&self) -> bool {
        let want = body(self.call, self.want.path, 0).into_bytes();
        match self.seen {
            Seen::Whole => self.body == want,
            _ => want.starts_with(&self.body),
        }
    }
}
