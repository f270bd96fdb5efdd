//! Connections to workers. A connection is unconnected, connected, then responding to one call. While it is
//! connected nothing was sent, so the call can still be rejected without having run.

mod connection;
mod gate;
mod keep_alive;
mod pool;
mod socket;
mod target;
mod unread_body;

pub use connection::{
    ConnectError, Connected, ConnectionRequirements, Responding, SendError, Unconnected, UpstreamConnection,
};
pub use keep_alive::{KeepAliveHints, safe_idle_time};
pub use pool::{Timeouts, UpstreamPool, connection_share};
pub use target::Target;
