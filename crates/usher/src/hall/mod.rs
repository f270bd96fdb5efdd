mod bells;
mod state;

pub use bells::Bells;
pub use state::{Hall, In, Mark};
