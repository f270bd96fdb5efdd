//! An emulator of model workers in virtual time (engine steps, chunked prefill, prefix cache,
//! preemption), whose calls several fronts place by `sumacvale-core` or by other strategies.
//!
//! A run depends on its [`Case`] alone: the same seed gives the same events and the same
//! [`Report`], except for the measured time of a choice.

mod case;
mod choice;
mod deployment;
mod emulation;
mod events;
mod front;
mod record;
mod report;
mod traffic;
mod worker;

pub use case::{Case, Strategy};
pub use deployment::{CallKind, Deployment, EngineProfile, SizeDistribution};
pub use emulation::run;
pub use report::{KindReport, Report};
