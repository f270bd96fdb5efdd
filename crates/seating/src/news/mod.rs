mod table;

pub use table::{Apply, Entry, News, SILENT, Sub, Up};
