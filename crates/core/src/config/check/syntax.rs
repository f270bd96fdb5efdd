//! The syntax of a document: whether it is JSON, neither too large nor too deep, without duplicate names.

use super::ConfigError;
use sonic_rs::{JsonValueTrait, LazyValue};
use std::collections::BTreeSet;

/// How many levels of objects and lists a document may have; the check of duplicates recurses.
const MAX_DEPTH: usize = 16;
/// The largest document of a configuration, in bytes.
const MAX_DOCUMENT_BYTES: usize = 4 << 20;

/// The syntax errors of a configuration document; empty if its values may be read.
pub fn check_syntax(document: &str) -> Vec<ConfigError> {
    check_syntax_with_limit(document, MAX_DOCUMENT_BYTES)
}

/// The same as for a configuration document where at most `max_bytes` bytes are allowed.
pub fn check_syntax_with_limit(document: &str, max_bytes: usize) -> Vec<ConfigError> {
    if document.len() > max_bytes {
        return vec![ConfigError::TooLarge { pointer: String::new(), bytes: document.len(), max_bytes }];
    }
    // Before the parser, which recurses.
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

/// The deepest nesting of objects and lists, without parsing.
fn nesting_depth(document: &[u8]) -> usize {
    let (mut depth, mut deepest) = (0usize, 0);
    let (mut in_string, mut escaped) = (false, false);
    for byte in document {
        match (in_string, *byte) {
            (true, _) if escaped => escaped = false,
            (true, b'\\') => escaped = true,
            (true, b'"') => in_string = false,
            (false, b'"') => in_string = true,
            (false, b'{' | b'[') => {
                depth += 1;
                deepest = deepest.max(depth);
            }
            (false, b'}' | b']') => depth = depth.saturating_sub(1),
            _ => {}
        }
    }
    deepest
}

/// Notes each name that occurs more than once in one object; the parser keeps only one of them.
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

/// A name as it is written in a JSON pointer (RFC 6901, §3).
pub fn escape_pointer(name: &str) -> String {
    name.replace('~', "~0").replace('/', "~1")
}

/// The inverse of [`escape_pointer`], in the order that RFC 6901, §4 requires.
pub fn unescape_pointer(token: &str) -> String {
    token.replace("~1", "/").replace("~0", "~")
}
