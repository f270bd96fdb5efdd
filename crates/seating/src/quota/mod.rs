mod holder;
mod slices;

pub use holder::{Ask, Ledger, Turn};
pub use slices::{Slices, Take};
