//! Makes submissions, and sends them and reads to machines.

use super::DocumentOperator;
use super::order::{PendingRequest, PinnedTarget, Submission};
use crate::sim::operators::documents::config_tree;
use crate::sim::world::World;
use sumacvale_core::base::{ChangeId, MS, Micros, SEC};
use sumacvale_core::node::Event;
use sumacvale_core::protocol::Change;

/// A request without a response after this time is retried at another core.
const REQUEST_TIMEOUT: Micros = SEC;
/// The backoff before the first retry of a submission.
const INITIAL_BACKOFF: Micros = 50 * MS;

impl DocumentOperator {
    /// Submits a new document on the newest base; sent to one machine only if it has a pinned target.
    pub fn submit(&mut self, world: &mut World, pinned_target: Option<PinnedTarget>) {
        self.serial += 1;
        let revision = self.base + 1 + world.rng.next_below(2);
        let plain = config_tree(self.serial, world.tenants, self.behaviour.extra_routes, world.quotas_are_rates);
        let body = format!("{{\"revision\":{revision},{}", &plain[1..]);
        self.submissions.push(Submission {
            body,
            base: self.base,
            revision,
            submitted_at: world.now,
            next_attempt_at: Some(world.now),
            backoff: INITIAL_BACKOFF,
            last_target: None,
            pinned_target,
            is_invalid: false,
            is_committed: false,
            is_rejected: false,
        });
    }

    /// Submits a new document to this machine first.
    pub fn submit_to(&mut self, world: &mut World, machine: usize) {
        self.submit(world, Some(PinnedTarget { machine, is_exclusive: false }));
    }

    /// Submits an invalid document: either truncated, or of the same revision as its base.
    pub(super) fn submit_invalid(&mut self, world: &mut World) {
        self.submit(world, None);
        let is_truncated = world.rng.chance_percent(50);
        let serial = self.serial;
        let Some(submission) = self.submissions.last_mut() else { return };
        submission.is_invalid = true;
        if is_truncated {
            submission.body.truncate(submission.body.len() / 2);
        } else {
            submission.revision = submission.base;
            let plain = config_tree(serial, world.tenants, 0, world.quotas_are_rates);
            submission.body = format!("{{\"revision\":{},{}", submission.base, &plain[1..]);
        }
    }

    /// Draws a core other than `excluded`; the operator's list lags, so the core may not run.
    fn draw_core(world: &mut World, excluded: Option<usize>) -> Option<usize> {
        let cores: Vec<usize> = (0..world.machines.len())
            .filter(|i| world.machines[*i].is_core && !world.machines[*i].is_removed && Some(*i) != excluded)
            .collect();
        let position = usize::try_from(world.rng.next_below(cores.len().max(1) as u64)).unwrap_or(0);
        cores.get(position).copied()
    }

    /// Sends an attempt of a submission to its pinned target or to a drawn core.
    pub(super) fn send(&mut self, world: &mut World, index: usize) {
        let now = world.now;
        let (last_target, pinned_target) = (self.submissions[index].last_target, self.submissions[index].pinned_target);
        let Some(machine) = pinned_target.map(|target| target.machine).or_else(|| Self::draw_core(world, last_target))
        else {
            return;
        };
        let submission = &mut self.submissions[index];
        submission.next_attempt_at = None;
        submission.last_target = Some(machine);
        self.last_request_id += 1;
        self.pending
            .insert(self.last_request_id, PendingRequest::Put { index, machine, deadline: now + REQUEST_TIMEOUT });
        self.last_attempt = Some((machine, now));
        let change = Change::Document(submission.body.clone());
        let event = Event::SubmitChange {
            request_id: self.last_request_id,
            change_id: submission.change_id(),
            is_first_send: false,
            base: submission.base,
            change,
        };
        // A machine that is stopped or frozen sends no response: the request times out.
        if world.is_running(machine) {
            world.step(machine, event);
        }
    }

    /// Reads the newest document at a drawn core, if that core runs.
    pub(super) fn send_read(&mut self, world: &mut World, is_final: bool) {
        let Some(machine) = Self::draw_core(world, None).filter(|i| world.is_running(*i)) else { return };
        self.last_request_id += 1;
        let deadline = world.now + REQUEST_TIMEOUT;
        self.pending
            .insert(self.last_request_id, PendingRequest::Read { machine, newest: self.newest, deadline, is_final });
        world.step(
            machine,
            Event::SubmitChange {
                request_id: self.last_request_id,
                change_id: ChangeId(0),
                is_first_send: false,
                base: 0,
                change: Change::ReadNewest,
            },
        );
    }
}
