//! The errors in a document, each with its JSON pointer and remedy.

use displaydoc::Display;

/// An error in a document, with its JSON pointer (RFC 6901) and a remedy.
#[derive(Clone, Debug, PartialEq, Eq, Display, thiserror::Error)]
pub enum ConfigError {
    /// the body is not JSON: {0}; send one JSON object
    NotJson(String),
    /// {pointer}: the body has {bytes} bytes; keep it at or below {max_bytes}
    TooLarge {
        /// Where in the document; empty for the whole body.
        pointer: String,
        /// The size of the body in bytes, or the count at which reading stopped.
        bytes: usize,
        /// The largest size allowed, in bytes.
        max_bytes: usize,
    },
    /// {pointer}: nested deeper than {max_depth} levels; flatten it
    TooDeep {
        /// Where in the document; empty for the whole body.
        pointer: String,
        /// How many levels of objects and lists are allowed.
        max_depth: usize,
    },
    /// {pointer}: duplicate name; keep one of them
    Duplicate {
        /// Where the name occurs again.
        pointer: String,
    },
    /// {pointer}: unknown name; use one of {known_names}
    UnknownName {
        /// The member with the unknown name.
        pointer: String,
        /// The names that are allowed there, separated by commas.
        known_names: String,
    },
    /// {pointer}: is {actual}, must be {expected}
    InvalidValue {
        /// The value that is wrong.
        pointer: String,
        /// What the document has there, shortened.
        actual: String,
        /// What is allowed there, in words.
        expected: String,
    },
    /// {pointer}: is missing; add {expected}
    Missing {
        /// Where the member should be.
        pointer: String,
        /// What to add there, in words.
        expected: String,
    },
    /// {pointer}: refers to {name}, which {collection} does not contain; add it there or use another name
    Dangling {
        /// The reference.
        pointer: String,
        /// The name that it refers to.
        name: String,
        /// Where that name should be defined, as a JSON pointer.
        collection: String,
    },
    /// {pointer}: already used by {owner}; change one of the two
    Conflict {
        /// The later of the two values.
        pointer: String,
        /// Who has the same value.
        owner: String,
    },
}

impl ConfigError {
    /// Returns the JSON pointer to the error in the document.
    pub fn pointer(&self) -> &str {
        match self {
            ConfigError::NotJson(_) => "",
            ConfigError::TooLarge { pointer, .. }
            | ConfigError::TooDeep { pointer, .. }
            | ConfigError::Duplicate { pointer }
            | ConfigError::UnknownName { pointer, .. }
            | ConfigError::InvalidValue { pointer, .. }
            | ConfigError::Missing { pointer, .. }
            | ConfigError::Dangling { pointer, .. }
            | ConfigError::Conflict { pointer, .. } => pointer,
        }
    }

    /// Returns the machine-readable code of the error, which is part of the admin API.
    pub fn code(&self) -> &'static str {
        match self {
            ConfigError::NotJson(_) => "not_json",
            ConfigError::TooLarge { .. } => "too_large",
            ConfigError::TooDeep { .. } => "too_deep",
            ConfigError::Duplicate { .. } => "duplicate",
            ConfigError::UnknownName { .. } => "unknown_name",
            ConfigError::InvalidValue { .. } => "wrong_value",
            ConfigError::Missing { .. } => "missing",
            ConfigError::Dangling { .. } => "dangling",
            ConfigError::Conflict { .. } => "taken",
        }
    }
}
