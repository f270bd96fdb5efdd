//! Matches: the calls that a match selects and the pools that serve these calls.

use super::ConfigError;
use super::defaults::{SHARED_MEMBERS, shared_settings};
use super::reader::ObjectReader;
use crate::config::{CompiledConfig, Match};
use std::sync::{Arc, LazyLock};

/// The members that a match may have.
static MATCH_MEMBERS: LazyLock<Vec<&str>> =
    LazyLock::new(|| [&SHARED_MEMBERS[..], &["method", "host", "path", "under", "pool", "split"]].concat());
/// The HTTP methods that a match may have.
const METHODS: [&str; 5] = ["GET", "POST", "PUT", "DELETE", "PATCH"];
/// The maximum weight of a pool among those that share the calls of a match.
const MAX_POOL_WEIGHT: u32 = 1_000_000;

/// Adds one match to the configuration. All pools must have been added before.
pub fn add_match(
    name: String,
    object: &ObjectReader,
    inherited: &Match,
    config: &mut CompiledConfig,
    errors: &mut Vec<ConfigError>,
) {
    object.reject_unknown(&MATCH_MEMBERS, errors);
    let mut settings = shared_settings(object, inherited.clone(), errors);
    settings.name = name;
    read_method(object, &mut settings, errors);
    read_path(object, &mut settings, errors);
    settings.host = object.text("host", errors).map(str::to_ascii_lowercase);
    settings.path_prefix = path_prefix(object, errors);
    settings.weighted_pools = weighted_pools(object, config, errors);
    read_pool(object, &mut settings, config, errors);
    let compiled = Arc::new(settings);
    config.matches.insert(compiled.name.clone(), compiled.clone());
    index_path(&compiled, object, config, errors);
    index_path_prefix(&compiled, object, config, errors);
}

fn read_method(object: &ObjectReader, settings: &mut Match, errors: &mut Vec<ConfigError>) {
    let Some(method) = object.text("method", errors) else { return };
    if METHODS.contains(&method) {
        settings.method = method.into();
    } else {
        object.reject("method", "GET, POST, PUT, PATCH or DELETE", errors);
    }
}

fn read_path(object: &ObjectReader, settings: &mut Match, errors: &mut Vec<ConfigError>) {
    match object.text("path", errors) {
        Some(path) if is_path(path) => settings.path = path.into(),
        Some(_) => object.reject("path", "a path that begins with / and has no ?, # or space", errors),
        None if object.member("under").is_none() => object.require("path", "the path that callers use", errors),
        None => {}
    }
}

fn is_path(text: &str) -> bool {
    text.starts_with('/') && !text.contains(['?', '#', ' '])
}

/// Reads the path prefix of a match, which selects all paths with this prefix and all methods.
fn path_prefix(object: &ObjectReader, errors: &mut Vec<ConfigError>) -> Option<String> {
    let prefix = object.text("under", errors)?;
    if object.member("path").is_some() || object.member("method").is_some() {
        object.reject("under", "without path and method, since it selects all of them", errors);
    }
    if is_path(prefix) && prefix.ends_with('/') {
        return Some(prefix.to_owned());
    }
    object.reject("under", "a prefix of paths that begins and ends with /", errors);
    None
}

/// Reads the pools that share the calls of a match, with their weights.
fn weighted_pools(object: &ObjectReader, config: &CompiledConfig, errors: &mut Vec<ConfigError>) -> Vec<(String, u32)> {
    if object.member("split").is_none() {
        return Vec::new();
    }
    if object.member("pool").is_some() {
        object.reject("split", "without pool, or pool without it", errors);
    }
    let mut pools = Vec::new();
    for (name, weight) in object.object("split", errors).weights(MAX_POOL_WEIGHT, errors) {
        if config.pools.contains_key(&name) {
            pools.push((name, weight));
        } else {
            errors.push(unknown_pool(object.pointer_to("split"), name));
        }
    }
    if pools.iter().all(|(_, weight)| *weight == 0) {
        object.reject("split", "weights by pool, at least one of them above zero", errors);
    }
    pools
}

fn read_pool(object: &ObjectReader, settings: &mut Match, config: &CompiledConfig, errors: &mut Vec<ConfigError>) {
    match object.text("pool", errors) {
        Some(name) if config.pools.contains_key(name) => settings.pool = name.into(),
        Some(name) => errors.push(unknown_pool(object.pointer_to("pool"), name.into())),
        None if object.member("split").is_none() => object.require("pool", "the name of a pool", errors),
        None => {}
    }
}

fn unknown_pool(pointer: String, name: String) -> ConfigError {
    ConfigError::Dangling { pointer, name, collection: "/pools".into() }
}

/// Indexes a match by its path, which may have parameters: `{name}` for one segment, `{*name}` for the
/// rest of the path.
fn index_path(
    compiled: &Arc<Match>,
    object: &ObjectReader,
    config: &mut CompiledConfig,
    errors: &mut Vec<ConfigError>,
) {
    if compiled.path.is_empty() {
        return;
    }
    let router = config.paths.entry(compiled.method.clone()).or_default();
    match router.insert(compiled.path.clone(), compiled.clone()) {
        Ok(()) => {}
        Err(matchit::InsertError::Conflict { with }) => {
            // Another match has the same path, apart from the names of parameters.
            let owner = router.at(&with).map_or_else(|_| with.clone(), |found| match_pointer(found.value));
            errors.push(ConfigError::Conflict { pointer: object.pointer_to("path"), owner });
        }
        Err(_) => {
            let expected = "a path whose parameters are {name} for one segment and {*name} for all of the rest";
            object.reject("path", expected, errors);
        }
    }
}

fn index_path_prefix(
    compiled: &Arc<Match>,
    object: &ObjectReader,
    config: &mut CompiledConfig,
    errors: &mut Vec<ConfigError>,
) {
    let Some(prefix) = &compiled.path_prefix else { return };
    let host_prefixes = config.path_prefixes.entry(compiled.host.clone()).or_default();
    if let Some(other) = host_prefixes.insert(prefix.clone(), compiled.clone()) {
        errors.push(ConfigError::Conflict { pointer: object.pointer_to("under"), owner: match_pointer(&other) });
    }
}

fn match_pointer(matched: &Match) -> String {
    format!("/matches/{}", matched.name)
}
