//! The syntax check of a document: valid JSON within the limits of size and depth, without duplicate names.

use super::ConfigError;
use crate::json::nesting_depth;
use sonic_rs::{JsonValueTrait, LazyValue};
use std::collections::BTreeSet;

/// The maximum nesting depth of objects and lists. Bounded because the parser and the check for duplicates recurse.
const MAX_DEPTH: usize = 16;
/// The maximum size of a configuration document, in bytes.
const MAX_DOCUMENT_BYTES: usize = 4 << 20;

/// Returns the syntax errors of a configuration document; empty if its values may be read.
pub fn check_syntax(document: &str) -> Vec<ConfigError> {
    check_syntax_with_limit(document, MAX_DOCUMENT_BYTES)
}

/// Returns the syntax errors of a document that may have at most `max_bytes` bytes.
pub fn check_syntax_with_limit(document: &str, max_bytes: usize) -> Vec<ConfigError> {
    if document.len() > max_bytes {
        return vec![ConfigError::TooLarge { pointer: String::new(), bytes: document.len(), max_bytes }];
    }
    // Checked before parsing, since the parser recurses.
    if nesting_depth(document.as_bytes()) > MAX_DEPTH {
        return vec![ConfigError::TooDeep { pointer: String::new(), max_depth: MAX_DEPTH }];
    }
    if let Err(error) = sonic_rs::from_str::<sonic_rs::Value>(document) {
        let text = error.to_string();
        return vec![ConfigError::NotJson(text.lines().next().unwrap_or("unreadable").to_owned())];
    }
    let mut errors = Vec::new();
    if let Ok(value) = sonic_rs::from_str::<LazyValue>(document) {
        collect_duplicates(value.as_raw_str(), "", &mut errors);
    }
    errors
}

/// Records each name that occurs more than once in one object. The parser would keep only one of the members.
fn collect_duplicates(json: &str, pointer: &str, errors: &mut Vec<ConfigError>) {
    match json.trim_start().as_bytes().first() {
        Some(b'{') => {
            let mut names = BTreeSet::new();
            for (name, value) in sonic_rs::to_object_iter(json).flatten() {
                let member = format!("{pointer}/{}", escape_pointer(&name));
                if !names.insert(name.to_string()) {
                    errors.push(ConfigError::Duplicate { pointer: member.clone() });
                }
                collect_duplicates(value.as_raw_str(), &member, errors);
            }
        }
        Some(b'[') => {
            for (index, value) in sonic_rs::to_array_iter(json).flatten().enumerate() {
                if value.is_object() || value.is_array() {
                    collect_duplicates(value.as_raw_str(), &format!("{pointer}/{index}"), errors);
                }
            }
        }
        _ => {}
    }
}

/// Escapes a name for a JSON pointer (RFC 6901, §3).
pub fn escape_pointer(name: &str) -> String {
    name.replace('~', "~0").replace('/', "~1")
}

/// Unescapes a name of a JSON pointer, in the order that RFC 6901, §4 requires.
pub fn unescape_pointer(token: &str) -> String {
    token.replace("~1", "/").replace("~0", "~")
}
