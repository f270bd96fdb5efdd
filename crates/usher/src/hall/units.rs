use super::{Hall, In};
use crate::clock;
use seating::base::{MS, Us};
use seating::quota::Take;
use std::sync::Arc;
use std::time::Duration;

/// One unit of a tenant's quota; given back when its call never ran.
pub struct Unit {
    hall: Arc<Hall>,
    tenant: String,
    win: u64,
    used: bool,
}

impl Unit {
    pub fn used(&mut self) {
        self.used = true;
    }
}

impl Drop for Unit {
    fn drop(&mut self) {
        if !self.used {
            self.hall.slices.refund(&self.tenant, self.win);
        }
    }
}

#[derive(Clone, Copy, Debug)]
pub enum Spent {
    /// The window is spent and ends after this long.
    Window(Us),
    /// Nobody said so, but nobody gave a unit either.
    Unsettled,
}

/// Takes a unit, or waits for a refill until `due`; never more than was granted.
pub async fn unit(h: &Arc<Hall>, t: &str, due: Us) -> Result<Unit, Spent> {
    let w = h.wake(t);
    loop {
        let woken = w.notified();
        tokio::pin!(woken);
        woken.as_mut().enable();
        let now = clock::now();
        match h.slices.take(t, now) {
            Take::Took { win, low } => {
                if low {
                    let _ = h.inbox.try_send(In::Need { tenant: t.to_owned(), waiting: 0 });
                }
                return Ok(Unit { hall: h.clone(), tenant: t.to_owned(), win, used: false });
            }
            Take::Spent { left } => return Err(Spent::Window(left)),
            Take::Empty => {}
        }
        if now >= due {
            return Err(Spent::Unsettled);
        }
        let _ = h.inbox.try_send(In::Need { tenant: t.to_owned(), waiting: 1 });
        let nap = Duration::from_micros((due - now).min(50 * MS));
        let _ = tokio::time::timeout(nap, woken).await;
    }
}
