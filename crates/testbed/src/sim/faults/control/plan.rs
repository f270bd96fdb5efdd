//! Profiles of the control plane: the faults of each, and how its operator behaves meanwhile.

use crate::sim::operators::orders::OperatorBehaviour;
use sumacvale_core::base::{MS, SEC};

/// How a core is partitioned from the other cores.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartitionKind {
    /// Frames are held and delivered when the partition ends.
    Silent,
    /// Connections are closed at once and frames in flight are lost; attempts to open new ones time out.
    Reset,
    /// Connections are closed, and attempts to open new ones are refused at once.
    Refuse,
    /// Frames from the core are lost; it still receives frames.
    OneWayOut,
    /// Frames to the core are lost; its own frames arrive.
    OneWayIn,
    /// Frames are lost in both directions; new seeds name the partitioned core, and some fronts are restarted.
    Seeds,
    /// Frames are lost in both directions; the partitioned core is restarted, then the other cores.
    Both,
}

/// A kind of fault of the control plane.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlFault {
    /// One core is partitioned from the others.
    CutOff(PartitionKind),
    /// The machine that sends the next acknowledgement loses power; with `wipe` its disk as well.
    AfterAck { wipe: bool },
    /// Right after an acknowledgement, the core with the oldest disk loses it.
    OldestAfterAck,
    /// The machine that an order is sent to loses power soon afterwards, acknowledged or not; with `wipe` its disk as
    /// well.
    Timed { wipe: bool },
    /// The front that has just begun to answer a call loses power; with `gone` it is removed for good, if enough fronts
    /// are left.
    AfterWork { gone: bool },
    /// All cores, or with `all` all machines, lose power right after a call or an order was accepted.
    PowerAfterWork { all: bool },
    /// A disk rejects each write; with `power` the machine loses power meanwhile, and is restarted before there is
    /// room.
    FullDisk { power: bool },
    /// A machine loses its disk, and power again during its first start on the empty one: what that start wrote is kept
    /// or lost.
    HalfStart,
    /// A core is frozen.
    Freeze,
    /// A core runs several times slower.
    Slow,
    /// The process of a core is killed and restarted.
    Restart,
    /// A core is asked to shut down under load and is restarted; the cores take turns.
    Roll,
    /// A core loses power and its disk.
    Wipe,
    /// A core is down while many changes are committed.
    LongAway,
}

/// A profile of the control plane: which faults it injects, and how its operator behaves.
#[derive(Clone, Copy, Debug)]
pub struct ControlProfile {
    /// How the operator behaves.
    pub operator_behaviour: OperatorBehaviour,
    /// The faults to draw from.
    pub faults: &'static [ControlFault],
    /// The probability, in percent, that a worker leaves when a fault starts, beside those that leave in a partition.
    pub departure_percent: u64,
    /// Whether the last fault comes right after an acknowledgement while traffic goes on.
    pub has_closing_fault: bool,
}

use ControlFault::{
    AfterAck, AfterWork, CutOff, Freeze, FullDisk, HalfStart, LongAway, OldestAfterAck, PowerAfterWork, Restart, Roll,
    Slow, Timed, Wipe,
};
use PartitionKind::{Both, OneWayIn, OneWayOut, Refuse, Reset, Seeds, Silent};

/// The operator of most profiles: no bad orders and no lost responses.
const STEADY_OPERATOR: OperatorBehaviour = OperatorBehaviour {
    submission_interval: 600 * MS,
    race_percent: 30,
    lost_response_percent: 0,
    repeat_percent: 5,
    read_percent: 30,
    invalid_percent: 0,
    extra_routes: 0,
};

/// Partitions of each kind, and freezes.
const PARTITIONS: &[ControlFault] = &[
    CutOff(Silent),
    CutOff(Reset),
    CutOff(Refuse),
    CutOff(OneWayOut),
    CutOff(OneWayIn),
    CutOff(Seeds),
    CutOff(Both),
    Freeze,
];

/// Losses at the moment of an acknowledgement, for the numbers of versions and changes.
const VERSION_FAULTS: &[ControlFault] = &[AfterAck { wipe: false }, AfterAck { wipe: true }, Restart, Wipe];

/// Disk losses and full disks, right after the repair of the last one.
const SECOND_LOSS_FAULTS: &[ControlFault] =
    &[Wipe, AfterAck { wipe: true }, Timed { wipe: true }, FullDisk { power: false }, FullDisk { power: true }];

/// Faults that lose or delay responses to the operator.
const RESPONSE_FAULTS: &[ControlFault] = &[
    AfterAck { wipe: false },
    Timed { wipe: false },
    CutOff(OneWayOut),
    CutOff(Silent),
    Restart,
    FullDisk { power: false },
    FullDisk { power: true },
];

/// Power losses right after an acknowledgement or an accepted call.
const POWER_FAULTS: &[ControlFault] = &[
    AfterWork { gone: false },
    AfterWork { gone: true },
    PowerAfterWork { all: false },
    PowerAfterWork { all: true },
    AfterAck { wipe: false },
    OldestAfterAck,
    HalfStart,
];

/// Shutdowns in turn, beside slow and partitioned cores.
const ROLLING_SHUTDOWN_FAULTS: &[ControlFault] = &[Roll, Roll, Slow, CutOff(Silent), CutOff(Reset), CutOff(Refuse)];

impl ControlProfile {
    /// Returns the control-plane profile of this name, if there is one.
    pub fn named(name: &str) -> Option<ControlProfile> {
        let steady = |faults, departure_percent| ControlProfile {
            operator_behaviour: STEADY_OPERATOR,
            faults,
            departure_percent,
            has_closing_fault: false,
        };
        Some(match name {
            "control_cut_off" => steady(PARTITIONS, 40),
            "control_numbers" => {
                let operator_behaviour = OperatorBehaviour {
                    submission_interval: 300 * MS,
                    race_percent: 60,
                    lost_response_percent: 40,
                    repeat_percent: 60,
                    invalid_percent: 10,
                    ..STEADY_OPERATOR
                };
                ControlProfile { operator_behaviour, ..steady(VERSION_FAULTS, 0) }
            }
            "control_second_loss" => steady(SECOND_LOSS_FAULTS, 30),
            "control_hundreds" => {
                let operator_behaviour = OperatorBehaviour {
                    submission_interval: 200 * MS,
                    race_percent: 0,
                    repeat_percent: 30,
                    extra_routes: 300,
                    ..STEADY_OPERATOR
                };
                ControlProfile { operator_behaviour, ..steady(&[LongAway], 0) }
            }
            "control_answers" => {
                let operator_behaviour = OperatorBehaviour {
                    lost_response_percent: 70,
                    repeat_percent: 20,
                    invalid_percent: 10,
                    ..STEADY_OPERATOR
                };
                ControlProfile { operator_behaviour, ..steady(RESPONSE_FAULTS, 40) }
            }
            "control_power" => ControlProfile {
                operator_behaviour: OperatorBehaviour { lost_response_percent: 40, ..STEADY_OPERATOR },
                has_closing_fault: true,
                ..steady(POWER_FAULTS, 20)
            },
            "control_turns" => steady(ROLLING_SHUTDOWN_FAULTS, 20),
            _ => return None,
        })
    }
}

/// A machine counts as lost until this long after its return, in microseconds.
pub(super) const CATCH_UP_TIME: u64 = 4 * SEC;
