mod admit;
pub mod attempt;
mod body;
pub mod placement;
pub mod quota;
pub mod streaming;

pub use admit::{admit, still};
pub use body::read;
