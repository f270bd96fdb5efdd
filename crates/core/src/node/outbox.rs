//! The effects of a step, and the effects that are deferred until a write is synced to disk.
//!
//! Guarantees that no effect that depends on a write leaves the node before that write is synced, and that
//! deferred effects leave in the order of their writes. While more than [`MAX_UNSYNCED_BYTES`] are unsynced,
//! a core accepts no further votes and versions.

use super::{Effect, Node};
use crate::base::{Micros, NodeId};
use crate::consensus::DurableWrite;
use crate::protocol::{ConsensusMessage, Frame, Message};
use std::collections::VecDeque;

/// The number of unsynced bytes above which a core accepts no further votes and versions.
pub const MAX_UNSYNCED_BYTES: usize = 24 << 20;

/// A write that is not synced yet, and the effects that wait for it.
#[derive(Clone, Debug)]
struct PendingWrite {
    /// The token of the write.
    token: u64,
    /// The effects to emit once the write is synced.
    deferred: Vec<Effect>,
    /// The size of the write and of the bodies in `deferred`.
    bytes: usize,
}

/// The effects of the current step, and the effects that wait for the disk.
#[derive(Clone, Debug, Default)]
pub(super) struct Outbox {
    /// The effects of this step, in the order in which they were emitted.
    effects: Vec<Effect>,
    /// Frames that this node sent to itself. They are handled within the same step.
    loopback: VecDeque<Frame>,
    /// The token of the newest write.
    last_token: u64,
    /// Writes that are not synced yet, the oldest first.
    pending_writes: VecDeque<PendingWrite>,
    /// The bytes of bodies in the writes and deferred effects that are not synced yet.
    unsynced_bytes: usize,
}

impl Outbox {
    /// Adds an effect to this step.
    pub fn push(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    /// Removes and returns the next frame that this node sent to itself.
    pub fn next_loopback(&mut self) -> Option<Frame> {
        self.loopback.pop_front()
    }

    /// Ends the step and returns all its effects.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns whether all writes are synced.
    pub fn is_synced(&self) -> bool {
        self.pending_writes.is_empty()
    }

    /// Defers an effect until all earlier writes are synced.
    ///
    /// # Errors
    ///
    /// Returns the effect if all writes are synced already: the caller must emit the effect at once.
    pub fn defer(&mut self, effect: Effect) -> Result<(), Effect> {
        match self.pending_writes.back_mut() {
            Some(newest) => {
                newest.deferred.push(effect);
                Ok(())
            }
            None => Err(effect),
        }
    }

    fn begin_write(&mut self, writes: Vec<DurableWrite>, deferred: Vec<Effect>) {
        self.last_token += 1;
        let token = self.last_token;
        let bytes =
            writes.iter().map(DurableWrite::size).sum::<usize>() + deferred.iter().map(body_bytes).sum::<usize>();
        self.unsynced_bytes += bytes;
        self.pending_writes.push_back(PendingWrite { token, deferred, bytes });
        self.effects.push(Effect::Write { token, writes });
    }

    /// Removes the oldest write if `token`, the newest synced one, covers it. Returns the effects that waited
    /// for the write.
    fn next_synced(&mut self, token: u64) -> Option<Vec<Effect>> {
        self.pending_writes.front().filter(|write| write.token <= token)?;
        let write = self.pending_writes.pop_front()?;
        self.unsynced_bytes -= write.bytes;
        Some(write.deferred)
    }

    /// Returns the deferred effects of each unsynced write, for the digest of a node's state.
    pub fn deferred_effects(&self) -> impl Iterator<Item = &Vec<Effect>> {
        self.pending_writes.iter().map(|write| &write.deferred)
    }

    /// Returns the frames that this node sent to itself, for the digest of a node's state.
    pub fn loopback(&self) -> &VecDeque<Frame> {
        &self.loopback
    }
}

/// Returns the size of the body in a message that waits to be sent.
fn body_bytes(effect: &Effect) -> usize {
    match effect {
        Effect::Send { frame, .. } => match &frame.message {
            Message::Consensus(ConsensusMessage::Promise { accepted: Some((_, entry)), .. }) => entry.body.len(),
            _ => 0,
        },
        _ => 0,
    }
}

impl Node {
    /// Builds a frame from this node to `to`.
    pub(super) fn frame(&self, to: NodeId, message: Message, now: Micros) -> Frame {
        Frame {
            from: self.settings.node_id,
            to,
            incarnation: self.settings.incarnation,
            fleet_id: self.fleet_id(),
            sent_at: now,
            message,
        }
    }

    /// Returns the effect that sends a message to a node; none if its address is unknown.
    pub(super) fn send_effect(&self, to: NodeId, message: Message, now: Micros) -> Option<Effect> {
        let address = if to == self.settings.node_id {
            self.settings.addr.clone()
        } else {
            match self.dissemination.peers.address(to) {
                Some(address) => address.to_owned(),
                None => self.consensus.state.voters().iter().find(|voter| voter.node_id == to)?.addr.clone(),
            }
        };
        Some(Effect::Send { to: address, frame: Box::new(self.frame(to, message, now)) })
    }

    /// Sends a message to a node, if its address is known.
    pub(super) fn send(&mut self, to: NodeId, message: Message, now: Micros) {
        if let Some(effect) = self.send_effect(to, message, now) {
            self.emit(effect);
        }
    }

    /// Sends a message to the node at an address, whichever node that is. Does nothing if the address is
    /// empty.
    pub(super) fn send_to_address(&mut self, to: &str, message: Message, now: Micros) {
        if to.is_empty() {
            return;
        }
        let frame = Box::new(self.frame(NodeId::default(), message, now));
        self.emit(Effect::Send { to: to.to_owned(), frame });
    }

    /// Emits an effect. A message of this node to itself never leaves the node.
    pub(super) fn emit(&mut self, effect: Effect) {
        match effect {
            Effect::Send { to, frame } if to == self.settings.addr => self.outbox.loopback.push_back(*frame),
            Effect::Send { .. } => {
                self.counters.frames_out += 1;
                self.outbox.push(effect);
            }
            effect => self.outbox.push(effect),
        }
    }

    /// Writes to the disk. No effect in `deferred` is emitted before `writes` are synced.
    pub(super) fn persist(&mut self, writes: Vec<DurableWrite>, deferred: Vec<Effect>) {
        self.outbox.begin_write(writes, deferred);
    }

    /// Sends a message to a node, if its address is known, once all earlier writes are synced.
    pub(super) fn send_after_sync(&mut self, to: NodeId, message: Message, now: Micros) {
        let Some(effect) = self.send_effect(to, message, now) else { return };
        if let Err(effect) = self.outbox.defer(effect) {
            self.emit(effect);
        }
    }

    /// Returns whether more than [`MAX_UNSYNCED_BYTES`] wait for the disk.
    ///
    /// A core whose disk stalls or is full then stops voting, which bounds its memory. The versions that it
    /// misses are replicated to it later.
    pub(super) fn is_disk_behind(&self) -> bool {
        self.outbox.unsynced_bytes > MAX_UNSYNCED_BYTES
    }

    /// Emits the effects that waited for writes up to `token`, which are synced now.
    pub(super) fn on_synced(&mut self, token: u64) {
        while let Some(effects) = self.outbox.next_synced(token) {
            for effect in effects {
                self.emit(effect);
            }
        }
    }
}
