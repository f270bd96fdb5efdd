//! Checks of a document: its syntax first, then each value, with a remedy for each error.
//!
//! A document with a syntax error gets only that error, because nothing else can be read safely.
//! All other errors are collected, so that an operator can mend a document in one go.

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
