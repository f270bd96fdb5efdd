mod base;
mod desk;

pub use base::{Base, Damaged};
pub use desk::{Desk, Job};
