//! Which worker a call goes to.

mod ask;
mod cost;
mod demand;
mod engine;
mod engines;
mod fit;
mod kept;
mod lengths;
mod loads;
mod pools;
mod table;

pub use ask::{Ask, Link};
pub use demand::Demand;
pub use engines::{Engines, Outcome, Scene};
pub use fit::Fit;
pub use kept::Kept;
pub use lengths::{Lengths, Side};
pub use loads::Loads;
pub use table::{Place, Table};
