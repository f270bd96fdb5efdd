//! Handles the outcomes of submissions and reads, and checks that the operator may rely on them.

use super::order::{PendingRequest, revision};
use super::{DocumentOperator, REQUEST_ID_BASE};
use crate::sim::checks::safety::{Acknowledgement, Violation};
use crate::sim::world::World;
use sumacvale_core::base::MS;
use sumacvale_core::protocol::ChangeOutcome;

/// Added to the base revision of a document, so that it differs from the base versions of other operators.
const DOCUMENT_BASE: u64 = 1 << 40;

impl DocumentOperator {
    /// Handles the outcomes of this operator's requests; a drawn share of them is lost.
    pub(super) fn handle_responses(&mut self, world: &mut World) {
        let (mine, others): (Vec<_>, Vec<_>) =
            std::mem::take(&mut world.change_outcomes).into_iter().partition(|a| a.0 > REQUEST_ID_BASE);
        world.change_outcomes = others;
        for (request_id, outcome) in mine {
            if matches!(outcome, ChangeOutcome::Committed { .. }) {
                self.last_commit_at = Some(world.now);
            }
            if world.rng.chance_percent(self.behaviour.lost_response_percent) {
                self.lost_responses += 1;
                continue;
            }
            match self.pending.remove(&request_id) {
                Some(PendingRequest::Put { index, machine, .. }) => self.handle_outcome(world, index, machine, outcome),
                Some(PendingRequest::Read { machine, newest, is_final, .. }) => {
                    self.last_read_machine = Some(machine);
                    self.handle_read(world, newest, is_final, outcome);
                }
                None => {}
            }
        }
    }

    fn handle_outcome(&mut self, world: &mut World, index: usize, machine: usize, outcome: ChangeOutcome) {
        let now = world.now;
        let submission = &mut self.submissions[index];
        let (change_id, base) = (submission.change_id(), submission.base);
        match outcome {
            ChangeOutcome::Committed { version } if submission.is_invalid => {
                submission.is_committed = true;
                record_violation(
                    world,
                    format!("{now}: an invalid document on revision {base} was committed as version {version}"),
                );
            }
            ChangeOutcome::Invalid { .. } if submission.is_invalid => {
                self.rejected += u64::from(!submission.is_rejected);
                submission.is_rejected = true;
                world.safety.record_rejection(change_id, now);
            }
            ChangeOutcome::Committed { version } => {
                if !submission.is_committed {
                    self.commit_times.push(now - submission.submitted_at);
                }
                submission.is_committed = true;
                submission.pinned_target = None;
                world.safety.record_acknowledgement(Acknowledgement {
                    change_id,
                    base: DOCUMENT_BASE + base,
                    version,
                    requested_at: submission.submitted_at,
                    acknowledged_at: now,
                });
                self.newest = self.newest.max(submission.revision);
                self.base = self.base.max(submission.revision);
                self.last_acknowledgement = Some((machine, now));
                self.last_acknowledging_machine = Some(machine);
            }
            ChangeOutcome::Stale { .. } => {
                submission.is_rejected = true;
                world.safety.record_rejection(change_id, now);
                self.send_read(world, false);
            }
            ChangeOutcome::Unknown | ChangeOutcome::NoQuorum => {
                submission.pinned_target = submission
                    .pinned_target
                    .filter(|target| target.is_exclusive || matches!(outcome, ChangeOutcome::Unknown));
                self.schedule_retry(index, now);
            }
            other => {
                submission.is_rejected = true;
                record_violation(
                    world,
                    format!("{now}: a valid document of revision {} got the outcome {other:?}", submission.revision),
                );
            }
        }
    }

    /// Checks that a read returns a submitted document, and none older than the newest acknowledged one.
    fn handle_read(&mut self, world: &mut World, newest: u64, is_final: bool, outcome: ChangeOutcome) {
        let ChangeOutcome::Content { text } = outcome else { return };
        self.reads += 1;
        let revision = revision(&text);
        if revision < newest {
            record_violation(
                world,
                format!("{}: a read returned revision {revision} after {newest} was acknowledged", world.now),
            );
        }
        let was_submitted = self.submissions.iter().any(|submission| submission.body == text);
        if revision > 0 && !was_submitted {
            record_violation(
                world,
                format!("{}: a read returned a document of revision {revision} that nobody submitted", world.now),
            );
        }
        self.base = self.base.max(revision);
        self.is_final_read_done |= is_final;
    }

    /// Checks after the last fault that the newest document can be read, that every submission is either committed
    /// or rejected, and that each rejection is explained by a newer document.
    pub fn check_final_state(&mut self, world: &mut World) {
        for _ in 0..100 {
            if self.is_final_read_done {
                break;
            }
            self.send_read(world, true);
            let until = world.now + 100 * MS;
            world.run(until);
            world.report();
            self.handle_responses(world);
        }
        if !self.is_final_read_done {
            record_violation(world, "the newest document can't be read after the last fault".into());
        }
        let unsettled = self.submissions.iter().filter(|submission| !submission.is_settled()).count();
        if unsettled > 0 {
            record_violation(
                world,
                format!("{unsettled} submissions are neither committed nor rejected 12 s after the last fault"),
            );
        }
        for submission in self.submissions.iter().filter(|submission| submission.is_rejected && !submission.is_invalid)
        {
            if !world.safety.committed.values().any(|entry| entry.revision > submission.base) {
                record_violation(
                    world,
                    format!(
                        "revision {} on {} was rejected, and nothing newer is committed",
                        submission.revision, submission.base
                    ),
                );
            }
        }
    }
}

/// Records a violation unless the report already has twenty.
fn record_violation(world: &mut World, text: String) {
    if world.safety.violations.len() < 20 {
        world.safety.violations.push(Violation(text));
    }
}
