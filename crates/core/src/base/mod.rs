//! The basic types that all modules of the core use: identifiers, times, hashes, a random number
//! generator and sharded state.

pub mod hash;
pub mod ids;
pub mod rng;
pub mod shards;
pub mod time;

pub use hash::{hash64, rendezvous_weight, sha256_hex};
pub use ids::{ChangeId, Incarnation, NodeId, Version};
pub use rng::Rng;
pub use shards::ShardedMap;
pub use time::{MS, Micros, SEC};
