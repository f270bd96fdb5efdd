//! Deterministic simulator: runs the same core code as `sumacvale` in virtual time, with all randomness drawn from a
//! seed.

// Short locals of the world and its events are not all renamed yet, see the roadmap.
#![allow(clippy::many_single_char_names)]

mod calls;
mod checks;
mod cutoff;
mod drive;
mod event;
mod faults;
mod machines;
mod network;
mod operators;
mod settings;
mod steps;
mod workers;
mod world;

pub use calls::outcome::{CallOutcome, CallRequest, ClientObservation};
pub use checks::calls::{CallLimits, check_calls};
pub use checks::majority_contact::MajorityContact;
pub use checks::safety::{Acknowledgement, SafetyChecker, Violation};
pub use checks::summary::{ControlSummary, Summary};
pub use cutoff::{CallerKind, PartitionResults, PartitionRun, run_partitions};
pub use drive::run;
pub use faults::day::Day;
pub use faults::profiles::{Fault, Profile};
pub use machines::disk::Disk;
pub use network::connections::Connections;
pub use settings::Run;
pub use workers::worker::{ExecutionRecord, WorkerBehaviour};
pub use world::World;
