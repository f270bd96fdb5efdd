mod caches;
mod counts;
mod seat;
mod state;
mod units;

pub use caches::{Caches, Cut, lookup};
pub use counts::{Counts, HELP as COUNT_HELP};
pub use seat::{Seat, Waiter, far, seat, serve_waits, table};
pub use state::{Hall, In, Mark};
pub use units::{Spent, Unit, unit};
