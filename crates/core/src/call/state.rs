use super::holdings::{Seat, Unit};
use super::io::{Head, Reply};
use crate::base::{Micros, SEC};
use crate::config::{Match, Tenant};
use crate::node::View;
use crate::place::{Ask, Table};
use crate::stream::Pieces;
use crate::tries::Ran;
use std::sync::Arc;

/// A call and how far it has come: each filter takes one state and gives the next.
#[derive(Debug)]
pub struct Call<S> {
    pub n: u64,
    pub at: Micros,
    /// The picture that this call began with.
    pub view: Arc<View>,
    pub head: Head,
    /// Since when it waits for what another call looks up.
    pub since: Option<Micros>,
    pub state: S,
}

/// Its head was read.
#[derive(Debug)]
pub struct Heard;

/// Its key is a tenant's.
#[derive(Debug)]
pub struct Keyed {
    pub key: String,
    pub tenant: Arc<Tenant>,
}

/// A match says what becomes of it; its body is read.
#[derive(Debug)]
pub struct Matched {
    pub who: Who,
}

/// Its body was read and says which prefix it shares; it needs a unit.
#[derive(Debug)]
pub struct Read {
    pub who: Who,
    pub hash: u64,
    /// What it asks of an engine, where its head says so.
    pub ask: Option<Arc<Ask>>,
    pub tries: Tries,
    /// The units of its tenant's quota that it takes.
    pub units: u32,
}

/// Its tenant's quota has room for it; it needs a place.
#[derive(Debug)]
pub struct Granted {
    pub read: Read,
    pub unit: Unit,
    /// It waits for a place, and its unit is given back if the holder recalls what is idle.
    pub parked: bool,
    /// Until when it may wait for a place.
    pub due: Micros,
    pub flow: Option<Flow>,
}

/// It has a place, and a connection to the worker is opened.
#[derive(Debug)]
pub struct Placed {
    pub granted: Granted,
    pub seat: Seat,
    pub since: Micros,
}

/// It was sent; only the worker's word says that it did not run.
#[derive(Debug)]
pub struct Sent {
    pub granted: Granted,
    pub seat: Seat,
    pub since: Micros,
}

/// A worker's response goes downstream.
#[derive(Debug)]
pub struct Flowing {
    pub granted: Granted,
    pub seat: Seat,
    pub flow: Flow,
}

#[derive(Clone, Debug)]
pub struct Who {
    pub key: String,
    pub tenant: Arc<Tenant>,
    pub m: Arc<Match>,
    /// The pool that this call was drawn for.
    pub pool: String,
    /// When nobody waits for it any more.
    pub end: Micros,
}

/// What the tries until now came to.
#[derive(Clone, Debug)]
pub struct Tries {
    /// The workers that are not tried again.
    pub skip: Vec<String>,
    /// Those of them that only had no room by their own word: they did not run the call.
    pub full: Vec<String>,
    pub sent: u32,
    /// The last one was not written, so that the same one is made anew.
    pub anew: bool,
    pub ran: Ran,
    /// The unit was used: some worker may have run the call.
    pub used: bool,
}

impl Tries {
    /// Where no worker is left to try, those that only had no room may be tried again: the
    /// call waits for a place there. None of them ran it, and none counts as free again before
    /// an own call there ends or it reports anew (an engine: before its pause is over).
    pub(super) fn allow_full(&mut self, table: &Table) {
        if !self.full.is_empty() && table.places.iter().all(|p| self.skip.contains(&p.worker_id)) {
            let full = std::mem::take(&mut self.full);
            self.skip.retain(|worker_id| !full.contains(worker_id));
        }
    }
}

/// The part of a response that lasts over several workers.
#[derive(Clone, Debug)]
pub struct Flow {
    pub reply: Reply,
    /// Only streams of events are cut into pieces.
    pub pieces: Option<Pieces>,
    pub begun: bool,
    /// This worker gave a first piece.
    pub heard: bool,
    /// Where this worker took it up; nobody takes it up there again.
    pub start: Option<u64>,
    pub idle: Micros,
}

impl Call<Read> {
    /// Until when it waits for a unit: the last quarter of its wait is kept for a place.
    pub fn until(&self) -> Micros {
        self.at + self.state.who.patience() / 4 * 3
    }
}

impl<S> Call<S> {
    pub fn with<T>(self, f: impl FnOnce(S) -> T) -> Call<T> {
        let Call { n, at, view, head, since, state } = self;
        Call { n, at, view, head, since, state: f(state) }
    }
}

/// How far a call has come, whatever its type.
#[derive(Debug)]
pub enum At {
    Heard(Call<Heard>),
    Matched(Call<Matched>),
    Read(Call<Read>),
    Granted(Call<Granted>),
    Placed(Call<Placed>),
    Sent(Call<Sent>),
    Flowing(Call<Flowing>),
    Over,
}

/// How long a stream that can be taken up elsewhere may be silent, at the least.
const SILENCE: Micros = SEC;

impl Who {
    /// How long it may wait for a place: a refusal leaves time for another try within the aim.
    pub fn patience(&self) -> Micros {
        if self.m.aim == 0 { self.m.wait } else { self.m.wait.min(self.m.aim / 4) }
    }

    /// How long its response may be silent: one that goes on elsewhere need not wait for long.
    pub fn idle(&self) -> Micros {
        let m = &self.m;
        if m.gap > 0 && m.resume { m.idle.min((4 * m.gap).max(SILENCE)) } else { m.idle }
    }

    /// When a try that was sent at `since` and had no head so far is given up.
    pub fn head_due(&self, since: Micros) -> Micros {
        (since + self.m.first).min(self.end)
    }

    /// What the worker is told of its urgency.
    pub fn urgency(&self) -> Option<u8> {
        self.tenant.urgency.or(self.m.urgency)
    }
}
