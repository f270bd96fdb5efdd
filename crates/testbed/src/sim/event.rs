//! The events of a simulated world, each scheduled for one moment of virtual time.

use crate::sim::workers::worker::{AttemptOrigin, WorkerRequest};
use bytes::Bytes;
use sumacvale_core::call::{Event as CallEvent, Wakeup};

/// One scheduled event.
///
/// Machines are given by their index in the world, processes by machine and incarnation: an event for a
/// former incarnation is dropped when its time comes.
#[derive(Debug)]
pub enum SimEvent {
    /// The periodic tick of a node: machine and incarnation.
    Tick(usize, u64),
    /// A frame arrives.
    Frame {
        /// The sending machine.
        from: usize,
        /// The receiving machine.
        to: usize,
        /// The encoded frame.
        bytes: Vec<u8>,
    },
    /// A disk write may have been synced: machine and incarnation.
    DiskWrite(usize, u64),
    /// The freeze of a machine ends.
    Unfreeze(usize),
    /// A slow machine reaches the running part of its next period.
    SlowPeriodBegin(usize),
    /// A core that found its disk full retries its start: machine and incarnation.
    RetryStart(usize, u64),
    /// A call begins: machine, incarnation and call.
    CallBegin(usize, u64, u64),
    /// The timer of a call expires: machine, incarnation and call.
    CallTimer(usize, u64, u64),
    /// The client of a call disconnects: machine, incarnation and call.
    ClientDisconnect(usize, u64, u64),
    /// The request body of a call arrives: machine, incarnation, call and body.
    RequestBody(usize, u64, u64, Bytes),
    /// A call that waits is woken: machine, incarnation and wakeup.
    Wakeup(usize, u64, Wakeup),
    /// An event from a worker's side of an attempt reaches the node.
    Attempt(AttemptOrigin, CallEvent),
    /// A request reaches the worker of this index.
    RequestArrival(usize, WorkerRequest),
    /// A worker takes the next step of a running request: worker and request.
    WorkerStep(usize, u64),
}
