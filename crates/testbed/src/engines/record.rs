//! What becomes of a call, as the emulation records it for the report.

use sumacvale_core::base::Micros;

/// What became of a call.
#[derive(Clone, Debug, Default)]
pub struct CallRecord {
    /// The worker of the last attempt.
    pub worker: usize,
    /// The ticket of the last attempt in the front's models.
    pub ticket: u64,
    /// Attempts that were started.
    pub attempts: u32,
    /// The last attempt whose end was recorded; each end counts once.
    pub ended_attempt: u32,
    /// An attempt went to a worker of another zone.
    pub crossed_zones: bool,
    /// No worker could be chosen for an attempt.
    pub refused: bool,
    /// Workers that were tried and are not tried again.
    pub excluded: Vec<String>,
    /// When the first event reached the front, in microseconds.
    pub first_event: Option<Micros>,
    /// When the worker sent the last event so far, in microseconds.
    pub last_event: Option<Micros>,
    /// The longest gap between two events, in microseconds.
    pub longest_gap: Micros,
    /// The worker generated the whole response.
    pub completed: bool,
}

impl CallRecord {
    /// Records that the worker sent an event.
    pub fn record_event(&mut self, now: Micros) {
        if let Some(previous) = self.last_event {
            self.longest_gap = self.longest_gap.max(now - previous);
        }
        self.last_event = Some(now);
    }

    /// Marks the present attempt as ended; false if its end was recorded before.
    pub fn end_attempt(&mut self) -> bool {
        let is_first_end = self.ended_attempt != self.attempts;
        self.ended_attempt = self.attempts;
        is_first_end
    }
}
