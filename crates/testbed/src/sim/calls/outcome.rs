//! What a downstream asks for, and what became of its call.

use crate::sim::workers::responses::body;
use sumacvale_core::base::Micros;
use sumacvale_core::retry::Execution;

/// What a downstream asks for.
#[derive(Clone, Debug)]
pub struct CallRequest {
    pub tenant: String,
    pub path: &'static str,
    pub prefix: u64,
    pub wait: Micros,
    /// When it goes away without waiting for the end.
    pub leaves: Option<Micros>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientObservation {
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
pub struct CallOutcome {
    pub call: u64,
    pub want: CallRequest,
    pub slot: usize,
    pub at: Micros,
    pub first: Option<Micros>,
    pub end: Micros,
    pub body: Vec<u8>,
    /// A worker was nominated for it at least once.
    pub tried: bool,
    pub seen: ClientObservation,
}

impl CallOutcome {
    /// Whether what came is a beginning of the right response, and all of it if it looks whole.
    pub fn right(&self) -> bool {
        let want = body(self.call, self.want.path, 0).into_bytes();
        match self.seen {
            ClientObservation::Whole => self.body == want,
            _ => want.starts_with(&self.body),
        }
    }
}
