//! The events of the emulator and their queue in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use sumacvale_core::base::Micros;

/// An event of the emulator. Calls and workers are identified by their indices.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Event {
    /// A client's call reaches its front.
    Arrived {
        /// The index of the call.
        call: usize,
    },
    /// A forwarded call reaches its worker.
    Forwarded {
        /// The index of the call.
        call: usize,
        /// The index of the worker.
        worker: usize,
    },
    /// A worker completes an engine step.
    StepCompleted {
        /// The index of the worker.
        worker: usize,
    },
    /// The first event of a stream reaches its front, with the worker's load.
    FirstToken {
        /// The index of the call.
        call: usize,
        /// The worker's load when it sent the event.
        load: Load,
    },
    /// The end of a response reaches its front.
    Completed {
        /// The index of the call.
        call: usize,
    },
    /// The response of a full worker, which declines the call, reaches the front.
    Declined {
        /// The index of the call.
        call: usize,
    },
    /// The client gives up.
    DeadlinePassed {
        /// The index of the call.
        call: usize,
    },
    /// The front sees that the connection to a crashed worker is closed.
    ConnectionLost {
        /// The index of the call.
        call: usize,
    },
    /// A third of the workers crashes.
    WorkersCrashed,
    /// All fronts remove the crashed workers from their table.
    CrashDetected,
    /// The crashed workers restart, with empty caches.
    WorkersRestarted,
}

/// The number of calls at a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Load {
    /// Calls that have generated at least one token.
    pub running: u32,
    /// Calls that have not generated a token.
    pub waiting: u32,
}

impl Load {
    /// Returns the number of all calls.
    pub fn total(self) -> u32 {
        self.running + self.waiting
    }
}

/// An event with its time, in microseconds. The derived order is that of processing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledEvent {
    time: Micros,
    /// Increases with each scheduled event: events of the same time occur in the order of scheduling.
    sequence: u64,
    event: Event,
}

/// The queue of pending events, earliest first.
#[derive(Debug, Default)]
pub struct EventQueue {
    pending: BinaryHeap<Reverse<ScheduledEvent>>,
    /// The number of events scheduled so far.
    scheduled_count: u64,
}

impl EventQueue {
    /// Schedules an event at a time, in microseconds.
    pub fn schedule(&mut self, time: Micros, event: Event) {
        self.scheduled_count += 1;
        self.pending.push(Reverse(ScheduledEvent { time, sequence: self.scheduled_count, event }));
    }

    /// Removes the earliest event and returns it with its time.
    pub fn next(&mut self) -> Option<(Micros, Event)> {
        self.pending.pop().map(|Reverse(scheduled)| (scheduled.time, scheduled.event))
    }

    /// Returns the number of events scheduled so far.
    pub fn scheduled_count(&self) -> u64 {
        self.scheduled_count
    }
}
