//! The very same core as in `usher`, stepped in virtual time from a seed.

mod check;
mod disk;
mod drive;
mod faults;
mod ops;
mod world;

pub use check::{Ack, Breach, Check, Took};
pub use drive::{Run, Summary, run};
pub use faults::{Fault, Profile};
pub use world::World;
