//! The event loop of a simulated world: dispatches events to nodes and calls, and applies the effects.
//!
//! Events are handled in the order of their time, those of one moment in the order in which they were scheduled.
//! Events for a machine that is frozen or slow are deferred until the machine runs again; events for a former
//! incarnation are dropped.

use crate::sim::event::SimEvent;
use crate::sim::world::{TICK_INTERVAL, World};
use std::cmp::Reverse;
use sumacvale_core::base::Micros;
use sumacvale_core::call::Event as CallEvent;
use sumacvale_core::node::{Effect, Event};
use sumacvale_core::protocol::decode_frame;

impl SimEvent {
    /// Returns the machine that must be able to run for this event to be handled, if there is one.
    fn machine(&self) -> Option<usize> {
        match self {
            SimEvent::Tick(machine, _)
            | SimEvent::DiskWrite(machine, _)
            | SimEvent::Frame { to: machine, .. }
            | SimEvent::CallTimer(machine, ..)
            | SimEvent::RequestBody(machine, ..)
            | SimEvent::Wakeup(machine, ..)
            | SimEvent::ClientDisconnect(machine, ..)
            | SimEvent::CallBegin(machine, ..) => Some(*machine),
            SimEvent::Attempt(origin, _) => Some(origin.machine),
            SimEvent::RequestArrival(..)
            | SimEvent::WorkerStep(..)
            | SimEvent::RetryStart(..)
            | SimEvent::Unfreeze(_)
            | SimEvent::SlowPeriodBegin(_) => None,
        }
    }
}

impl World {
    /// Passes one event to a node and applies the effects.
    pub fn step(&mut self, machine: usize, event: Event) {
        let state = &mut self.machines[machine];
        let clock = state.clock(self.now);
        let Some(node) = state.node.as_mut() else { return };
        for effect in node.step(event, clock) {
            self.apply_effect(machine, effect);
        }
        self.check_version(machine);
    }

    /// Reports a new version of a node, and the log entries that it holds, to the safety checker.
    fn check_version(&mut self, machine: usize) {
        let state = &mut self.machines[machine];
        let Some(node) = &state.node else { return };
        let version = node.version();
        if version == state.last_version {
            return;
        }
        if let (Some(from), Some(to)) = (state.last_version, version) {
            self.safety.check_version_change(&state.addr, from, to, self.now);
        }
        state.last_version = version;
        for entry in node.consensus.state.history.values() {
            self.safety.record_committed(&state.addr, entry, self.now);
        }
    }

    /// Applies one effect of a node to the world.
    fn apply_effect(&mut self, machine: usize, effect: Effect) {
        match effect {
            Effect::Send { to, frame } => self.send(machine, &to, *frame),
            Effect::Write { token, writes } => {
                let synced_at = self.machines[machine].disk.write(token, writes, self.now, &mut self.rng);
                let incarnation = self.machines[machine].incarnation;
                self.schedule(synced_at, SimEvent::DiskWrite(machine, incarnation));
            }
            Effect::CompleteChange { request_id, outcome } => self.change_outcomes.push((request_id, outcome)),
            Effect::WakeTenant { tenant } => self.serve_quota_queue(machine, &tenant),
            Effect::AcknowledgeReport { request_id, is_accepted } => {
                self.report_acknowledgements.push((request_id, is_accepted));
            }
            Effect::Publish(view) => self.publish(machine, view),
            Effect::Reconnect { to } => {
                if let Some(peer) = self.machine_at(&to) {
                    self.connections.reconnect(machine, peer);
                }
            }
        }
    }

    /// Runs the world until `until`, in microseconds of true time.
    pub fn run(&mut self, until: Micros) {
        while let Some(Reverse((due, number, _))) = self.event_queue.peek().copied() {
            if due > until {
                break;
            }
            self.event_queue.pop();
            self.now = self.now.max(due);
            let Some(event) = self.pending_events.remove(&number) else { continue };
            match event.machine() {
                Some(machine) if self.must_wait(machine) => {
                    self.machines[machine].deferred_events.push((number, event));
                }
                _ => self.handle(event),
            }
        }
        self.now = self.now.max(until);
    }

    /// Returns true while the machine can't handle events: it is frozen, or slow and between two running parts.
    fn must_wait(&mut self, machine: usize) -> bool {
        let state = &self.machines[machine];
        let is_frozen = state.node.is_some() && state.frozen_until > self.now;
        is_frozen || self.must_wait_for_slow_period(machine)
    }

    /// Returns true while this incarnation of the machine's process runs.
    fn is_current(&self, machine: usize, incarnation: u64) -> bool {
        let state = &self.machines[machine];
        state.incarnation == incarnation && state.node.is_some()
    }

    /// Handles one event of a node, machine or worker.
    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Tick(machine, incarnation) if self.is_current(machine, incarnation) => {
                self.tick(machine, incarnation);
            }
            SimEvent::Frame { to, bytes, .. } => {
                if let Ok(frame) = decode_frame(&bytes) {
                    self.step(to, Event::Frame(Box::new(frame)));
                }
            }
            SimEvent::DiskWrite(machine, incarnation) if self.is_current(machine, incarnation) => {
                self.complete_writes(machine, incarnation);
            }
            SimEvent::Unfreeze(machine) | SimEvent::SlowPeriodBegin(machine) => {
                if self.machines[machine].frozen_until <= self.now {
                    self.unfreeze(machine);
                }
            }
            SimEvent::RetryStart(machine, incarnation) => self.retry_start(machine, incarnation),
            SimEvent::RequestArrival(worker, request) => self.receive_request(worker, request),
            SimEvent::WorkerStep(worker, request) => self.step_request(worker, request),
            event => self.handle_call_event(event),
        }
    }

    /// Handles one event of a call; events for a former incarnation are dropped.
    fn handle_call_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::CallBegin(machine, incarnation, call) if self.is_current(machine, incarnation) => {
                self.step_call(machine, call, CallEvent::Wake);
            }
            SimEvent::CallTimer(machine, incarnation, call) if self.is_current(machine, incarnation) => {
                if let Some(active) = self.machines[machine].calls.active.get_mut(&call) {
                    active.clear_timer();
                    self.step_call(machine, call, CallEvent::Wake);
                }
            }
            SimEvent::ClientDisconnect(machine, incarnation, call) if self.is_current(machine, incarnation) => {
                self.step_call(machine, call, CallEvent::ClientDisconnected);
            }
            SimEvent::RequestBody(machine, incarnation, call, body) if self.is_current(machine, incarnation) => {
                self.step_call(machine, call, CallEvent::RequestBody(Ok(body)));
            }
            SimEvent::Wakeup(machine, incarnation, wakeup) if self.is_current(machine, incarnation) => {
                self.wake(machine, wakeup);
            }
            SimEvent::Attempt(origin, event) if self.is_current(origin.machine, origin.incarnation) => {
                self.handle_attempt_event(origin, event);
            }
            _ => {}
        }
    }

    /// Ticks a node and its waiting calls, and schedules the next tick.
    fn tick(&mut self, machine: usize, incarnation: u64) {
        self.step(machine, Event::Tick);
        self.expire_waiters(machine);
        self.schedule(self.now + TICK_INTERVAL, SimEvent::Tick(machine, incarnation));
    }

    /// Reports completed writes to the node; a rejected write is counted and retried.
    fn complete_writes(&mut self, machine: usize, incarnation: u64) {
        let rejected_before = self.machines[machine].disk.rejected_writes;
        if let Some(token) = self.machines[machine].disk.complete_writes(self.now) {
            self.step(machine, Event::Synced(token));
        } else {
            self.rejected_writes += self.machines[machine].disk.rejected_writes - rejected_before;
        }
        if let Some(due) = self.machines[machine].disk.next_completion() {
            self.schedule(due.max(self.now + 1), SimEvent::DiskWrite(machine, incarnation));
        }
    }
}
