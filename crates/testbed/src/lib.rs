//! Development tools and test support: the simulator, the emulator of engines, test doubles for workers
//! and clients, and a fleet of processes on one machine.

pub mod bounds;
pub mod engines;
pub mod fleet;
pub mod hollow;
pub mod lookups;
pub mod lost_answers;
pub mod retry_allowance;
pub mod sim;
pub mod standin;
