//! The queue of events in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use sumacvale_core::base::Micros;

/// What happens at a time. Calls and workers are named by their indices.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Event {
    /// A client's call reaches its front.
    Arrived {
        /// The call.
        call: usize,
    },
    /// A forwarded call reaches its worker.
    Forwarded {
        /// The call.
        call: usize,
        /// The worker.
        worker: usize,
    },
    /// A worker completes an engine step.
    StepCompleted {
        /// The worker.
        worker: usize,
    },
    /// The first event of a stream reaches its front, with the worker's load.
    FirstToken {
        /// The call.
        call: usize,
        /// The worker's load when it sent the event.
        load: Load,
    },
    /// The end of a response reaches its front.
    Completed {
        /// The call.
        call: usize,
    },
    /// A worker's refusal for lack of room reaches the front.
    Declined {
        /// The call.
        call: usize,
    },
    /// The client gives up.
    DeadlinePassed {
        /// The call.
        call: usize,
    },
    /// The front sees that its worker is lost.
    ConnectionLost {
        /// The call.
        call: usize,
    },
    /// A third of the workers is lost.
    WorkersLost,
    /// Every front has a membership without the lost workers.
    LossKnown,
    /// The lost workers are back, with nothing in their caches.
    WorkersReturned,
}

/// The calls at a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Load {
    /// Calls that have generated a token.
    pub running: u32,
    /// Calls that have not.
    pub waiting: u32,
}

impl Load {
    /// All calls.
    pub fn total(self) -> u32 {
        self.running + self.waiting
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Scheduled {
    time: Micros,
    /// Numbers rise, so that events of the same time happen in the order of their scheduling.
    number: u64,
    event: Event,
}

/// Events that have yet to happen, earliest first.
#[derive(Debug, Default)]
pub struct EventQueue {
    pending: BinaryHeap<Reverse<Scheduled>>,
    scheduled: u64,
}

impl EventQueue {
    /// Schedules an event.
    pub fn schedule(&mut self, time: Micros, event: Event) {
        self.scheduled += 1;
        self.pending.push(Reverse(Scheduled { time, number: self.scheduled, event }));
    }

    /// Removes the earliest event.
    pub fn next(&mut self) -> Option<(Micros, Event)> {
        self.pending.pop().map(|Reverse(scheduled)| (scheduled.time, scheduled.event))
    }

    /// How many events were scheduled so far.
    pub fn scheduled(&self) -> u64 {
        self.scheduled
    }
}
