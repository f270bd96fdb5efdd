mod loads;
mod table;

pub use loads::Loads;
pub use table::{Place, Table};
