//! Delivery of events from any task to the task of a call.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use sumacvale_core::call::Event;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// Number of shards, each with its own lock.
const SHARD_COUNT: usize = 16;

/// Senders of events by call id.
type Subscribers = HashMap<u64, UnboundedSender<Event>>;

/// The event channel of each call in flight, sharded by call id.
#[derive(Debug)]
pub struct CallEvents(Vec<Mutex<Subscribers>>);

impl Default for CallEvents {
    fn default() -> Self {
        CallEvents((0..SHARD_COUNT).map(|_| Mutex::default()).collect())
    }
}

impl CallEvents {
    fn shard(&self, call_id: u64) -> MutexGuard<'_, Subscribers> {
        let index = usize::try_from(call_id % SHARD_COUNT as u64).unwrap_or(0);
        self.0[index].lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Subscribes to the events for this call.
    #[must_use]
    pub fn subscribe(&self, call_id: u64) -> UnboundedReceiver<Event> {
        let (sender, receiver) = unbounded_channel();
        self.shard(call_id).insert(call_id, sender);
        receiver
    }

    /// Removes the channel of a call that has ended.
    pub fn unsubscribe(&self, call_id: u64) {
        self.shard(call_id).remove(&call_id);
    }

    /// Delivers an event to the call.
    ///
    /// # Errors
    /// Returns the event if the call has ended.
    pub fn deliver(&self, call_id: u64, event: Event) -> Result<(), Event> {
        match self.shard(call_id).get(&call_id) {
            Some(sender) => sender.send(event).map_err(|error| error.0),
            None => Err(event),
        }
    }
}
