//! What happens at some moment in a simulated world.

use crate::sim::workers::worker::{AttemptOrigin, WorkerRequest};
use bytes::Bytes;
use sumacvale_core::call::{Event as CallEvent, Wakeup};

/// One thing that happens: machines by slot, processes by slot and life.
#[derive(Debug)]
pub enum SimEvent {
    Tick(usize, u64),
    Frame {
        from: usize,
        to: usize,
        bytes: Vec<u8>,
    },
    Land(usize, u64),
    Thaw(usize),
    /// A slow machine gets its part of a period.
    Resume(usize),
    /// A core that waits for room on its disk looks again.
    Room(usize, u64),
    /// A call begins.
    Call(usize, u64, u64),
    /// A call's time came.
    Turn(usize, u64, u64),
    Leave(usize, u64, u64),
    Body(usize, u64, u64, Bytes),
    Bell(usize, u64, Wakeup),
    Try(AttemptOrigin, CallEvent),
    Arrive(usize, WorkerRequest),
    Work(usize, u64),
}
