//! The budget of memory for request bodies.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Limits the bytes of request bodies that all calls of this process hold at the same time.
///
/// Invariant: `used` never exceeds `capacity` and is the sum of all live reservations.
#[derive(Clone, Debug)]
pub struct BodyBudget {
    used: Arc<AtomicUsize>,
    capacity: usize,
}

impl BodyBudget {
    /// Creates a budget of `capacity` bytes.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        BodyBudget { used: Arc::default(), capacity }
    }

    /// Returns the number of reserved bytes.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Creates an empty reservation.
    #[must_use]
    pub fn reserve(&self) -> BodyReservation {
        BodyReservation { budget: self.clone(), bytes: 0 }
    }
}

/// The bytes of the budget that one call holds. Dropping the reservation releases them.
#[derive(Debug)]
pub struct BodyReservation {
    budget: BodyBudget,
    bytes: usize,
}

impl BodyReservation {
    /// Reserves `bytes` more bytes. Returns false and reserves nothing if the budget has fewer left.
    #[must_use]
    pub fn grow(&mut self, bytes: usize) -> bool {
        let BodyBudget { used, capacity } = &self.budget;
        let grown = |used: usize| used.checked_add(bytes).filter(|used| used <= capacity);
        let reserved = used.fetch_update(Ordering::AcqRel, Ordering::Relaxed, grown).is_ok();
        if reserved {
            self.bytes += bytes;
        }
        reserved
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}
