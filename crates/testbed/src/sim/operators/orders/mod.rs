//! An operator who submits whole documents, as a platform's operator does: each document is sent again
//! unchanged, to any core, until it is committed or rejected.
//!
//! Checked is what the operator may rely on: a committed document is never rejected later, at most one change on a
//! base is acknowledged, no read returns an older document than one acknowledged before, and for each rejected
//! document a newer one is committed.

mod answers;
mod order;
mod sending;

pub use order::{OperatorBehaviour, PinnedTarget};

use crate::sim::world::World;
use order::{PendingRequest, Submission};
use std::collections::BTreeMap;
use sumacvale_core::base::{MS, Micros};

/// Request ids of this operator are above this, those of all other operators below.
pub(in crate::sim) const REQUEST_ID_BASE: u64 = 1 << 40;
/// The longest backoff between two attempts of a submission.
const MAX_BACKOFF: Micros = 1_000 * MS;
/// The fixed backoff of a submission that is retried at one machine only.
const PINNED_BACKOFF: Micros = 100 * MS;
/// How many submissions may be pending at once.
const MAX_PENDING: usize = 8;

/// The submissions of a run, and what the operator knows of their outcomes.
pub struct DocumentOperator {
    behaviour: OperatorBehaviour,
    submissions: Vec<Submission>,
    /// Requests without a response so far, by request id.
    pending: BTreeMap<u64, PendingRequest>,
    /// The id of the request that was sent last.
    last_request_id: u64,
    /// When the operator submits its next document.
    next_submission_at: Micros,
    /// The newest revision that was acknowledged.
    newest: u64,
    /// The revision that the next document is built on: the newest one acknowledged or read.
    base: u64,
    /// The number of the document that was made last.
    serial: u64,
    /// Committed documents that were sent again.
    pub repeated: u64,
    /// Reads that returned a document.
    pub reads: u64,
    /// Responses that were lost.
    pub lost_responses: u64,
    /// Invalid documents that were rejected.
    pub rejected: u64,
    /// When a node last acknowledged a submission, also where its response was lost.
    pub last_commit_at: Option<Micros>,
    /// The machine that last acknowledged a submission.
    pub last_acknowledging_machine: Option<usize>,
    /// The machine that last responded to a read.
    pub last_read_machine: Option<usize>,
    /// The machine that last acknowledged a submission since the field was cleared, and when.
    pub last_acknowledgement: Option<(usize, Micros)>,
    /// The machine that a submission was last sent to since the field was cleared, and when.
    pub last_attempt: Option<(usize, Micros)>,
    /// Whether a read after the last fault has returned a document.
    is_final_read_done: bool,
    /// The times from the submission of a document to its acknowledgement, in microseconds.
    pub commit_times: Vec<Micros>,
}

impl DocumentOperator {
    /// An operator that has submitted nothing yet.
    pub fn new(behaviour: OperatorBehaviour) -> Self {
        DocumentOperator {
            behaviour,
            submissions: Vec::new(),
            pending: BTreeMap::new(),
            last_request_id: REQUEST_ID_BASE,
            next_submission_at: 0,
            newest: 0,
            base: 0,
            serial: 0,
            repeated: 0,
            reads: 0,
            lost_responses: 0,
            rejected: 0,
            last_commit_at: None,
            last_acknowledging_machine: None,
            last_read_machine: None,
            last_acknowledgement: None,
            last_attempt: None,
            is_final_read_done: false,
            commit_times: Vec::new(),
        }
    }

    /// The number of submissions that were committed.
    pub fn committed_count(&self) -> u64 {
        self.submissions.iter().filter(|submission| submission.is_committed).count() as u64
    }

    /// Handles responses and time-outs and sends what is due; while `calm`, no response is lost and nothing new is
    /// submitted.
    pub fn tick(&mut self, world: &mut World, calm: bool) {
        if calm {
            self.behaviour.lost_response_percent = 0;
        }
        self.handle_responses(world);
        self.expire_requests(world.now);
        if !calm && world.now >= self.next_submission_at {
            self.next_submission_at = world.now
                + self.behaviour.submission_interval / 2
                + world.rng.next_below(self.behaviour.submission_interval);
            self.submit_next(world);
        }
        for index in 0..self.submissions.len() {
            if self.submissions[index].next_attempt_at.is_some_and(|due| world.now >= due) {
                self.send(world, index);
            }
        }
    }

    /// Submits new documents and draws whether to repeat a committed one, submit an invalid one, and read.
    fn submit_next(&mut self, world: &mut World) {
        let unsettled = self.submissions.iter().filter(|submission| !submission.is_settled()).count();
        if unsettled < MAX_PENDING {
            self.submit(world, None);
            if world.rng.chance_percent(self.behaviour.race_percent) {
                self.submit(world, None);
            }
        }
        let committed: Vec<usize> =
            (0..self.submissions.len()).filter(|index| self.submissions[*index].is_committed).collect();
        if !committed.is_empty() && world.rng.chance_percent(self.behaviour.repeat_percent) {
            let index = committed[usize::try_from(world.rng.next_below(committed.len() as u64)).unwrap_or(0)];
            self.repeated += 1;
            self.send(world, index);
        }
        if self.behaviour.invalid_percent > 0 && world.rng.chance_percent(self.behaviour.invalid_percent) {
            self.submit_invalid(world);
        }
        if world.rng.chance_percent(self.behaviour.read_percent) {
            self.send_read(world, false);
        }
    }

    /// Gives up requests whose time-out has passed, and retries their submissions.
    fn expire_requests(&mut self, now: Micros) {
        let expired: Vec<u64> =
            self.pending.iter().filter(|request| request.1.deadline() <= now).map(|request| *request.0).collect();
        for request_id in expired {
            if let Some(PendingRequest::Put { index, .. }) = self.pending.remove(&request_id) {
                self.schedule_retry(index, now);
            }
        }
    }

    /// Schedules the next attempt of a submission, unless it is settled or an attempt is scheduled already.
    fn schedule_retry(&mut self, index: usize, now: Micros) {
        let submission = &mut self.submissions[index];
        if !submission.is_settled() && submission.next_attempt_at.is_none() {
            let is_hard = submission.pinned_target.is_some_and(|target| target.is_exclusive);
            submission.next_attempt_at = Some(now + if is_hard { PINNED_BACKOFF } else { submission.backoff });
            submission.backoff = (submission.backoff * 2).min(MAX_BACKOFF);
        }
    }
}
