//! A model checker for the control side: the core's own `Node`, not a copy of it, is stepped
//! through every order of events within small bounds. `docs/notes/control-safety.md`, section 7.

pub mod agreement;
pub mod askers;
pub mod explore;
pub mod fleet;
pub mod judge;
pub mod machine;
pub mod planted;
pub mod quota;
pub mod scenarios;
