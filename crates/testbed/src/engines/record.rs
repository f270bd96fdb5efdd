//! The outcome of each call, which the emulation records for the report.

use sumacvale_core::base::Micros;

/// The attempts and the outcome of a call.
#[derive(Clone, Debug, Default)]
pub struct CallRecord {
    /// The index of the worker of the last attempt.
    pub worker: usize,
    /// The ticket of the last attempt in the front's models.
    pub ticket: u64,
    /// The number of attempts that were started.
    pub attempts: u32,
    /// The number of the last attempt whose end was recorded; at most `attempts`.
    pub ended_attempt: u32,
    /// True if an attempt was sent to a worker of another zone.
    pub has_crossed_zones: bool,
    /// True if no worker could be chosen for an attempt.
    pub is_rejected: bool,
    /// Ids of the workers that are excluded from further attempts.
    pub excluded: Vec<String>,
    /// The time at which the first event reached the front, in microseconds.
    pub first_event: Option<Micros>,
    /// The time at which the worker sent the last event so far, in microseconds.
    pub last_event: Option<Micros>,
    /// The longest gap between two events, in microseconds.
    pub longest_gap: Micros,
    /// True once a worker has generated the whole response.
    pub is_completed: bool,
}

impl CallRecord {
    /// Records that the worker sent an event at this time.
    pub fn record_event(&mut self, now: Micros) {
        if let Some(previous) = self.last_event {
            self.longest_gap = self.longest_gap.max(now - previous);
        }
        self.last_event = Some(now);
    }

    /// Marks the current attempt as ended. Returns false if its end was recorded before.
    pub fn end_attempt(&mut self) -> bool {
        let is_first_end = self.ended_attempt != self.attempts;
        self.ended_attempt = self.attempts;
        is_first_end
    }
}
