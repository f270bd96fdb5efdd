//! Connections to workers: named, then open, then busy with one call. Between open
//! and busy nothing was sent, so that is where a call is judged for the last time.

mod connection;
mod gate;
mod keep_alive;
mod pool;
mod socket;
mod target;

pub use connection::{
    ConnectError, Connected, ConnectionRequirements, Responding, SendError, Unconnected, UpstreamConnection,
};
pub use keep_alive::{KeepAliveHints, safe_idle_time};
pub use pool::{Timeouts, UpstreamPool, connection_share};
pub use target::Target;
