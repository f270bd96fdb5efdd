//! The connections between simulated machines, each in the state that its sender sees.
//!
//! When a process ends, the kernel closes its connections and both ends are notified. When a machine loses power, no
//! peer is notified: frames that peers write into their connections to the machine are lost, also after the machine is
//! back, until the peers reconnect.

use std::collections::BTreeMap;
use sumacvale_core::base::{MS, Micros, SEC};

/// A sender's kernel closes a connection when a frame is not acknowledged in this time, in microseconds.
const ACKNOWLEDGEMENT_TIMEOUT: Micros = 1_500 * MS;
/// An idle connection is probed, and closed this long after the peer lost power, in microseconds.
const KEEPALIVE_TIMEOUT: Micros = 3 * SEC;

/// The state of a connection as its sender sees it.
#[derive(Clone, Copy, Debug, Default)]
struct Connection {
    /// When the peer lost power, if it did since the connection was opened.
    peer_lost_power_at: Option<Micros>,
    /// When the first frame that stays unacknowledged was written.
    first_unacknowledged_at: Option<Micros>,
}

impl Connection {
    /// Returns true while the sender takes the connection for open although the peer lost power: frames are lost.
    fn loses_frames(&mut self, now: Micros) -> bool {
        let Some(peer_lost_at) = self.peer_lost_power_at else { return false };
        let first_written_at = *self.first_unacknowledged_at.get_or_insert(now);
        now < first_written_at + ACKNOWLEDGEMENT_TIMEOUT && now < peer_lost_at + KEEPALIVE_TIMEOUT
    }
}

/// The open connections of a world, by the indices of the sending and the receiving machine.
#[derive(Clone, Debug, Default)]
pub struct Connections {
    open: BTreeMap<(usize, usize), Connection>,
    /// The number of frames that were lost in connections to a former incarnation.
    pub frames_lost_in_stale_connections: u64,
}

impl Connections {
    /// Returns true unless a frame that is sent now is lost in a connection to a former incarnation.
    ///
    /// Without a connection, one is opened if the receiver listens.
    pub fn can_deliver(&mut self, from: usize, to: usize, listens: bool, now: Micros) -> bool {
        if let Some(connection) = self.open.get_mut(&(from, to))
            && connection.peer_lost_power_at.is_some()
        {
            if connection.loses_frames(now) {
                self.frames_lost_in_stale_connections += 1;
                return false;
            }
            self.open.remove(&(from, to));
        }
        if listens {
            self.open.entry((from, to)).or_default();
        }
        true
    }

    /// Closes all connections to and from the process of a machine that ended.
    pub fn process_ended(&mut self, machine: usize) {
        self.open.retain(|(from, to), _| *from != machine && *to != machine);
    }

    /// Drops the connections from a machine that lost power, and marks those to it as lost.
    pub fn power_lost(&mut self, machine: usize, now: Micros) {
        self.open.retain(|(from, _), _| *from != machine);
        for connection in self.open.iter_mut().filter(|((_, to), _)| *to == machine).map(|(_, c)| c) {
            connection.peer_lost_power_at.get_or_insert(now);
        }
    }

    /// Drops a connection; the sender opens a new one with its next frame.
    pub fn reconnect(&mut self, from: usize, to: usize) {
        self.open.remove(&(from, to));
    }
}
