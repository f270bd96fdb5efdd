//! The very same core as in `sumacvale`, stepped in virtual time from a seed.

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

pub use calls::outcome::{Outcome, Seen, Want};
pub use checks::calls::{Law, judge};
pub use checks::majority_contact::Touch;
pub use checks::safety::{Ack, Breach, Check};
pub use checks::summary::{Orderly, Summary};
pub use cutoff::{Answers, Caller, CutOff, cut_off};
pub use drive::run;
pub use faults::day::Day;
pub use faults::profiles::{Fault, Profile};
pub use machines::disk::Disk;
pub use network::connections::Connections;
pub use settings::Run;
pub use workers::worker::{Mode, Ran};
pub use world::World;
