use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// How many bytes of bodies this process holds at once, over all its calls.
#[derive(Clone, Debug)]
pub struct BodyBudget {
    used: Arc<AtomicUsize>,
    most: usize,
}

impl BodyBudget {
    pub fn new(most: usize) -> Self {
        BodyBudget { used: Arc::default(), most }
    }

    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Holds nothing yet.
    pub fn reserve(&self) -> BodyReservation {
        BodyReservation { budget: self.clone(), n: 0 }
    }
}

/// The part of the budget that one call holds, free again when this goes.
#[derive(Debug)]
pub struct BodyReservation {
    budget: BodyBudget,
    n: usize,
}

impl BodyReservation {
    /// Takes so much more, or nothing at all where there is no budget.
    pub fn grow(&mut self, n: usize) -> bool {
        let r = &self.budget;
        let ok = r
            .used
            .fetch_update(Ordering::AcqRel, Ordering::Relaxed, |u| u.checked_add(n).filter(|u| *u <= r.most))
            .is_ok();
        if ok {
            self.n += n;
        }
        ok
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.n, Ordering::AcqRel);
    }
}
