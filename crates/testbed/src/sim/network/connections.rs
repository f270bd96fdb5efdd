//! The connections between simulated machines, each as its sender has it.
//!
//! A process that ends leaves a kernel that closes its connections, and both ends know. A machine
//! that loses power tells nobody: what others write into the connections that they had to it is
//! lost, also after it is back, until they open them anew.

use std::collections::BTreeMap;
use sumacvale_core::base::{MS, Micros, SEC};

/// A sender's kernel gives a connection up when a frame was not acknowledged for so long.
const UNACKNOWLEDGED_MOST: Micros = 1_500 * MS;
/// A connection without frames is probed, and given up so long after the other end lost power.
const PROBED_MOST: Micros = 3 * SEC;

/// A connection as its sender has it.
#[derive(Clone, Copy, Debug, Default)]
struct Connection {
    /// When the machine at the other end lost power.
    peer_lost: Option<Micros>,
    /// When the first frame was written that nobody acknowledges.
    unacknowledged: Option<Micros>,
}

impl Connection {
    /// Whether the sender still takes it for open though nobody is at the other end.
    fn swallows(&mut self, now: Micros) -> bool {
        let Some(lost) = self.peer_lost else { return false };
        let first = *self.unacknowledged.get_or_insert(now);
        now < first + UNACKNOWLEDGED_MOST && now < lost + PROBED_MOST
    }
}

/// All connections of a world, by the slots of sender and receiver.
#[derive(Clone, Debug, Default)]
pub struct Connections {
    open: BTreeMap<(usize, usize), Connection>,
    /// Frames that were written into connections to a former life.
    pub swallowed: u64,
}

impl Connections {
    /// Whether a frame that is sent now is not lost in a connection to a former life; where there is
    /// no connection, one is opened if the receiver listens.
    pub fn carries(&mut self, from: usize, to: usize, listens: bool, now: Micros) -> bool {
        if let Some(connection) = self.open.get_mut(&(from, to))
            && connection.peer_lost.is_some()
        {
            if connection.swallows(now) {
                self.swallowed += 1;
                return false;
            }
            self.open.remove(&(from, to));
        }
        if listens {
            self.open.entry((from, to)).or_default();
        }
        true
    }

    /// The kernel of this machine closes the connections of its process, to and from it.
    pub fn process_ended(&mut self, machine: usize) {
        self.open.retain(|(from, to), _| *from != machine && *to != machine);
    }

    /// The machine's own connections are gone, and those to it lead nowhere.
    pub fn power_lost(&mut self, machine: usize, now: Micros) {
        self.open.retain(|(from, _), _| *from != machine);
        for connection in self.open.iter_mut().filter(|((_, to), _)| *to == machine).map(|(_, c)| c) {
            connection.peer_lost.get_or_insert(now);
        }
    }

    /// The sender opens its connection anew with the next frame.
    pub fn reconnect(&mut self, from: usize, to: usize) {
        self.open.remove(&(from, to));
    }
}
