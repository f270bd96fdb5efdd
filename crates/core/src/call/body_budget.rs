//! The memory that request bodies may use at once.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Bounds the bytes of request bodies that this process holds at once, over all its calls.
///
/// Invariant: `used` never exceeds `capacity` and is the sum of all live reservations.
#[derive(Clone, Debug)]
pub struct BodyBudget {
    used: Arc<AtomicUsize>,
    capacity: usize,
}

impl BodyBudget {
    /// A budget of so many bytes.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        BodyBudget { used: Arc::default(), capacity }
    }

    /// How many bytes are reserved.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// A reservation of no bytes yet.
    #[must_use]
    pub fn reserve(&self) -> BodyReservation {
        BodyReservation { budget: self.clone(), bytes: 0 }
    }
}

/// The part of the budget that one call holds; released when it is dropped.
#[derive(Debug)]
pub struct BodyReservation {
    budget: BodyBudget,
    bytes: usize,
}

impl BodyReservation {
    /// Reserves so many more bytes. Returns false, and reserves none, if the budget lacks them.
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
