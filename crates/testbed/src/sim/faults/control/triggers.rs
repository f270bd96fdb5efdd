//! Faults that wait for a trigger: an acknowledgement, an accepted call or a sent order. The closing fault, the last
//! one of a run, is among them.

use super::losses::Loss;
use super::plan::CATCH_UP_TIME;
use super::{Control, ControlAction};
use crate::sim::world::World;
use sumacvale_core::base::{MS, Micros, SEC};

/// The time from an acknowledgement to the power loss of the machine that sent it, in microseconds.
const ACK_TO_LOSS_DELAY: Micros = 4 * MS;
/// The shortest time from an order to the power loss of its receiver, in microseconds.
const MIN_TIMED_DELAY: Micros = 5 * MS;
/// The upper bound of the time from an order to the power loss of its receiver, in microseconds.
const MAX_TIMED_DELAY: Micros = 400 * MS;

/// The last fault of a run, which starts right after one more order was acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClosingFault {
    /// All machines lose power.
    PowerOffAll,
    /// The machine that acknowledged loses its disk; with `others` all other machines lose power.
    WipeAfterAck { others: bool },
    /// All processes are killed.
    KillAll,
}

/// A fault that waits for its trigger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PendingFault {
    /// See [`super::ControlFault::AfterAck`].
    AfterAck { wipe: bool },
    /// See [`super::ControlFault::OldestAfterAck`].
    OldestAfterAck,
    /// See [`super::ControlFault::Timed`].
    Timed { wipe: bool },
    /// See [`super::ControlFault::AfterWork`].
    AfterWork { gone: bool },
    /// See [`super::ControlFault::PowerAfterWork`].
    PowerAfterWork { all: bool },
    /// The last fault of the run, after the next acknowledgement.
    Closing(ClosingFault),
}

impl Control {
    /// Arms a fault for the next acknowledgement, accepted call or sent order, and sends one more order to trigger it.
    pub(super) fn arm(&mut self, world: &mut World, pending_fault: PendingFault) {
        self.pending_fault = Some(pending_fault);
        self.operator.last_attempt = None;
        self.operator.last_acknowledgement = None;
        world.last_accepted_call = None;
        self.operator.submit(world, None);
    }

    /// Draws the closing fault and arms it.
    pub(super) fn begin_closing(&mut self, world: &mut World) {
        self.is_closing_started = true;
        let (name, closing) = match world.rng.next_below(4) {
            0 => ("closing power_off_all", ClosingFault::PowerOffAll),
            1 => ("closing kill_all", ClosingFault::KillAll),
            2 => ("closing wipe_after_ack", ClosingFault::WipeAfterAck { others: false }),
            _ => ("closing wipe_after_ack, others lose power", ClosingFault::WipeAfterAck { others: true }),
        };
        self.count_variant(name);
        world.log(name.into());
        self.arm(world, PendingFault::Closing(closing));
    }

    /// Starts the armed fault if its trigger has occurred.
    pub(super) fn run_pending_fault(&mut self, world: &mut World) {
        let Some(pending_fault) = self.pending_fault else { return };
        match pending_fault {
            PendingFault::AfterAck { wipe } => self.schedule_acknowledger_loss(world, wipe),
            PendingFault::Timed { wipe } => self.schedule_timed_loss(world, wipe),
            PendingFault::OldestAfterAck => {
                if self.operator.last_acknowledgement.is_some() {
                    self.disarm(world);
                    let oldest = world.oldest_disks().first().copied();
                    if let Some(machine) = oldest {
                        self.lose(world, machine, Loss::Disk);
                    }
                }
            }
            PendingFault::AfterWork { gone } => {
                if let Some((machine, _)) = world.last_accepted_call {
                    self.disarm(world);
                    self.lose_after_work(world, machine, gone);
                }
            }
            PendingFault::PowerAfterWork { all } => {
                if world.last_accepted_call.is_some() || self.operator.last_acknowledgement.is_some() {
                    self.disarm(world);
                    self.lose_all(world, Loss::Power, |world, i| all || world.machines[i].is_core);
                }
            }
            PendingFault::Closing(closing) => {
                if let Some((machine, _)) = self.operator.last_acknowledgement {
                    self.disarm(world);
                    self.run_closing_fault(world, machine, closing);
                }
            }
        }
    }

    /// Clears the armed fault, and keeps further faults off until the machines had time to catch up.
    fn disarm(&mut self, world: &World) {
        self.pending_fault = None;
        self.next_fault_at = world.now + SEC + CATCH_UP_TIME;
    }

    /// Schedules the loss of the machine that acknowledged an order.
    fn schedule_acknowledger_loss(&mut self, world: &mut World, wipe: bool) {
        let Some((machine, acknowledged_at)) = self.operator.last_acknowledgement else { return };
        self.disarm(world);
        self.schedule(
            acknowledged_at + ACK_TO_LOSS_DELAY,
            ControlAction::Lose { machine, loss: Loss::power_or_disk(wipe) },
        );
    }

    /// Schedules the loss of the machine that an order was sent to, acknowledged or not.
    fn schedule_timed_loss(&mut self, world: &mut World, wipe: bool) {
        let Some((machine, sent_at)) = self.operator.last_attempt else { return };
        let delay = MIN_TIMED_DELAY + world.rng.next_below(MAX_TIMED_DELAY - MIN_TIMED_DELAY);
        self.disarm(world);
        self.schedule(
            (sent_at + delay).max(world.now),
            ControlAction::Lose { machine, loss: Loss::power_or_disk(wipe) },
        );
    }

    /// Runs the closing fault.
    fn run_closing_fault(&mut self, world: &mut World, acknowledger: usize, closing: ClosingFault) {
        self.count_variant("closed");
        match closing {
            ClosingFault::PowerOffAll => self.lose_all(world, Loss::Power, |_, _| true),
            ClosingFault::KillAll => self.lose_all(world, Loss::Process, |_, _| true),
            ClosingFault::WipeAfterAck { others } => {
                self.lose(world, acknowledger, Loss::Disk);
                if others {
                    self.lose_all(world, Loss::Power, |_, i| i != acknowledger);
                }
            }
        }
    }
}
