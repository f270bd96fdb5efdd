//! The validation of a document: first its syntax, then each value, with a remedy for each error.
//!
//! If a document has syntax errors, only these are reported, because its values can't be read safely.
//! All other errors are collected, so that an operator can correct a document in one pass.

mod defaults;
mod document;
mod error;
mod limits;
mod matches;
mod pools;
mod reader;
mod syntax;
mod tenants;

pub use document::validate;
pub use error::ConfigError;
pub use syntax::{check_syntax_with_limit, escape_pointer};
