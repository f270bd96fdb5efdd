//! The durable state of a core: one `SQLite` database in its data folder.
//!
//! Guarantees: a write is reported as synced only once it is durable; the writes of one job are
//! durable together or not at all; a folder that is foreign, locked or corrupt is rejected and never
//! changed. While the disk takes no writes, opening and writing are retried every 200 ms and the
//! core does not vote.

mod database;
mod error;
mod folder;
mod load;
mod record;
mod schema;
mod writer;

pub(crate) use folder::{PROBE_FILE, folder_error};

pub use database::Database;
pub use error::DiskError;
pub use writer::{DiskWriter, WriteJob};
