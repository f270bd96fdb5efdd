//! An emulator of model workers in virtual time, with engine steps, chunked prefill, a prefix cache
//! and preemption. Fronts place calls by `sumacvale-core` or by another strategy.
//!
//! A run is deterministic: the same [`Case`] gives the same events and the same [`Report`], except
//! for the measured time of a choice.

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
