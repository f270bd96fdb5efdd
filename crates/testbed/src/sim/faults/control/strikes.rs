//! Losses that come right after an acknowledgement, an accepted call, or soon after an order; also the
//! closing one, the last of a run.

use super::losses::Loss;
use super::plan::CATCH_UP;
use super::{Control, ControlAction};
use crate::sim::world::World;
use sumacvale_core::base::{MS, Micros, SEC};

/// How long after an acknowledgement the machine that gave it loses power.
const AFTER_ACK: Micros = 4 * MS;
const SOON_LEAST: Micros = 5 * MS;
const SOON_MOST: Micros = 400 * MS;

/// How a run is closed, right after one more order was acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Closing {
    /// All machines lose power.
    PowerOffAll,
    /// The machine that acknowledged loses its disk; all others may lose power.
    WipeAfterAck { others: bool },
    /// All processes are killed.
    KillAll,
}

/// A loss that waits for its moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PendingFault {
    AfterAck { wipe: bool },
    OldestAfterAck,
    Timed { wipe: bool },
    AfterWork { gone: bool },
    PowerAfterWork { all: bool },
    Closing(Closing),
}

impl Control {
    /// The loss comes after the next acknowledgement or accepted call; one more order is sent for it.
    pub(super) fn arm(&mut self, world: &mut World, armed: PendingFault) {
        self.armed = Some(armed);
        self.orders.sent = None;
        self.orders.acknowledged = None;
        world.last_accepted_call = None;
        self.orders.order(world, None);
    }

    pub(super) fn begin_closing(&mut self, world: &mut World) {
        self.closed = true;
        let (name, closing) = match world.rng.below(4) {
            0 => ("closing power_off_all", Closing::PowerOffAll),
            1 => ("closing kill_all", Closing::KillAll),
            2 => ("closing wipe_after_ack", Closing::WipeAfterAck { others: false }),
            _ => ("closing wipe_after_ack, others lose power", Closing::WipeAfterAck { others: true }),
        };
        self.note(name);
        world.log(name.into());
        self.arm(world, PendingFault::Closing(closing));
    }

    /// What was to come after an acknowledgement, a call or an order comes.
    pub(super) fn strike(&mut self, world: &mut World) {
        let Some(armed) = self.armed else { return };
        match armed {
            PendingFault::AfterAck { wipe } => self.strike_acknowledger(world, wipe),
            PendingFault::Timed { wipe } => self.strike_soon(world, wipe),
            PendingFault::OldestAfterAck => {
                if self.orders.acknowledged.is_some() {
                    self.disarm(world);
                    let oldest = world.oldest_disks().first().copied();
                    if let Some(slot) = oldest {
                        self.lose(world, slot, Loss::Disk);
                    }
                }
            }
            PendingFault::AfterWork { gone } => {
                if let Some((slot, _)) = world.last_accepted_call {
                    self.disarm(world);
                    self.lose_after_work(world, slot, gone);
                }
            }
            PendingFault::PowerAfterWork { all } => {
                if world.last_accepted_call.is_some() || self.orders.acknowledged.is_some() {
                    self.disarm(world);
                    self.lose_all(world, Loss::Power, |world, i| all || world.machines[i].is_core);
                }
            }
            PendingFault::Closing(closing) => {
                if let Some((slot, _)) = self.orders.acknowledged {
                    self.disarm(world);
                    self.close(world, slot, closing);
                }
            }
        }
    }

    fn disarm(&mut self, world: &World) {
        self.armed = None;
        self.free = world.now + SEC + CATCH_UP;
    }

    fn strike_acknowledger(&mut self, world: &mut World, wipe: bool) {
        let Some((slot, t)) = self.orders.acknowledged else { return };
        self.disarm(world);
        self.at(t + AFTER_ACK, ControlAction::Lose { slot, loss: Loss::of_power(wipe) });
    }

    fn strike_soon(&mut self, world: &mut World, wipe: bool) {
        let Some((slot, t)) = self.orders.sent else { return };
        let soon = SOON_LEAST + world.rng.below(SOON_MOST - SOON_LEAST);
        self.disarm(world);
        self.at((t + soon).max(world.now), ControlAction::Lose { slot, loss: Loss::of_power(wipe) });
    }

    fn close(&mut self, world: &mut World, acknowledger: usize, closing: Closing) {
        self.note("closed");
        match closing {
            Closing::PowerOffAll => self.lose_all(world, Loss::Power, |_, _| true),
            Closing::KillAll => self.lose_all(world, Loss::Process, |_, _| true),
            Closing::WipeAfterAck { others } => {
                self.lose(world, acknowledger, Loss::Disk);
                if others {
                    self.lose_all(world, Loss::Power, |_, i| i != acknowledger);
                }
            }
        }
    }
}
