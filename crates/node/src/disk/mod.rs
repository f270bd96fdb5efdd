//! What a core keeps on its disk.

mod database;
mod folder;
mod writer;

pub(crate) use folder::{PROBE_FILE, folder_error};

pub use database::{Database, DiskError};
pub use writer::{DiskWriter, WriteJob};
