mod fresh;
mod key;
mod pick;
mod quota;
mod read;

pub use fresh::{fresh, still};
pub use key::key;
pub use pick::pick;
pub use quota::quota;
pub use read::read;
