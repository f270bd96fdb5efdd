//! Events for calls, from whichever task they come.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};
use sumacvale_core::call::Event;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

const SHARDS: usize = 16;

/// Where each call hears what others have to tell it, in shards with a lock each.
#[derive(Debug)]
pub struct CallEvents(Vec<Mutex<HashMap<u64, UnboundedSender<Event>>>>);

impl Default for CallEvents {
    fn default() -> Self {
        CallEvents((0..SHARDS).map(|_| Mutex::default()).collect())
    }
}

impl CallEvents {
    fn at(&self, n: u64) -> MutexGuard<'_, HashMap<u64, UnboundedSender<Event>>> {
        match self.0[usize::try_from(n % SHARDS as u64).unwrap_or(0)].lock() {
            Ok(g) => g,
            Err(e) => e.into_inner(),
        }
    }

    /// The events for the call with this number.
    pub fn subscribe(&self, n: u64) -> UnboundedReceiver<Event> {
        let (tx, rx) = unbounded_channel();
        self.at(n).insert(n, tx);
        rx
    }

    /// The call ended.
    pub fn unsubscribe(&self, n: u64) {
        self.at(n).remove(&n);
    }

    /// Gives the event back where nobody hears it any more.
    pub fn deliver(&self, n: u64, e: Event) -> Result<(), Event> {
        match self.at(n).get(&n) {
            Some(tx) => tx.send(e).map_err(|x| x.0),
            None => Err(e),
        }
    }
}
