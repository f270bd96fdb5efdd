//! Checks of a document: its shape first, then each value, with a remedy for each trouble.

mod read;
mod shape;
mod validate;

pub use shape::{shape, shape_max};
pub use validate::{revoke_name, validate};

use displaydoc::Display;

/// What is wrong with a tree, where, and what to do about it.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum ConfigError {
    /// the body is not JSON: {0}; send one JSON object
    NotJson(String),
    /// {at}: the body has {is} bytes; keep it below {most}
    TooLarge { at: String, is: usize, most: usize },
    /// {at}: nested deeper than {most} levels; flatten it
    TooDeep { at: String, most: usize },
    /// {at}: this name stands twice; keep one of them
    Twice { at: String },
    /// {at}: unknown name; use one of {known}
    Unknown { at: String, known: String },
    /// {at}: is {is}, must be {want}
    Wrong { at: String, is: String, want: String },
    /// {at}: is missing; add {want}
    Missing { at: String, want: String },
    /// {at}: names {name}, which {sort} does not hold; add it there or name another
    Dangling { at: String, name: String, sort: String },
    /// {at}: already taken by {by}; change one of the two
    Taken { at: String, by: String },
}

impl ConfigError {
    /// The place in the document, as a JSON pointer.
    pub fn at(&self) -> &str {
        match self {
            ConfigError::NotJson(_) => "",
            ConfigError::TooLarge { at, .. }
            | ConfigError::TooDeep { at, .. }
            | ConfigError::Twice { at }
            | ConfigError::Unknown { at, .. }
            | ConfigError::Wrong { at, .. }
            | ConfigError::Missing { at, .. }
            | ConfigError::Dangling { at, .. }
            | ConfigError::Taken { at, .. } => at,
        }
    }

    /// The kind of trouble, for programs.
    pub fn code(&self) -> &'static str {
        match self {
            ConfigError::NotJson(_) => "not_json",
            ConfigError::TooLarge { .. } => "too_large",
            ConfigError::TooDeep { .. } => "too_deep",
            ConfigError::Twice { .. } => "duplicate",
            ConfigError::Unknown { .. } => "unknown_name",
            ConfigError::Wrong { .. } => "wrong_value",
            ConfigError::Missing { .. } => "missing",
            ConfigError::Dangling { .. } => "dangling",
            ConfigError::Taken { .. } => "taken",
        }
    }
}
