//! The validation of a document, which yields the compiled configuration or all errors.

use super::ConfigError;
use super::defaults::{SHARED_MEMBERS, built_in_match, shared_settings};
use super::limits::quota;
use super::matches::add_match;
use super::pools::{placement_weights, pool};
use super::reader::ObjectReader;
use super::syntax::check_syntax;
use super::tenants::{MAX_PRIORITY_WEIGHT, TenantDefaults, add_tenant};
use crate::base::SEC;
use crate::config::{CompiledConfig, Match, PlacementWeights, QuotaLimit, QuotaMeasure, WindowQuota};

/// The maximum revision: all JSON parsers represent integers up to it exactly.
const MAX_REVISION: u64 = 1 << 53;
/// The limit that applies where neither a tenant nor the document's defaults set one.
const BUILT_IN_QUOTA: (QuotaLimit, QuotaMeasure) =
    (QuotaLimit::Window(WindowQuota { calls: 100, window: SEC }), QuotaMeasure::Calls);

/// Validates and compiles a document.
///
/// # Errors
///
/// Returns all errors in the order in which they are found. If the document has syntax errors, only
/// these are returned.
pub fn validate(document: &str) -> Result<CompiledConfig, Vec<ConfigError>> {
    let mut errors = check_syntax(document);
    if !errors.is_empty() {
        return Err(errors);
    }
    let value: sonic_rs::Value =
        sonic_rs::from_str(document).map_err(|error| vec![ConfigError::NotJson(error.to_string())])?;
    let root = ObjectReader::root(&value, &mut errors);
    let config = read_document(&root, &mut errors);
    if errors.is_empty() { Ok(config) } else { Err(errors) }
}

fn read_document(root: &ObjectReader, errors: &mut Vec<ConfigError>) -> CompiledConfig {
    root.reject_unknown(&["revision", "defaults", "pools", "matches", "tenants"], errors);
    let revision = root.integer("revision", 0, MAX_REVISION, errors).unwrap_or(0);
    let defaults = Defaults::read(&root.object("defaults", errors), errors);
    let mut config = CompiledConfig { revision, ..CompiledConfig::default() };
    // The order matters: matches refer to pools, and tenants refer to matches.
    for (name, object) in root.object("pools", errors).objects(errors) {
        let pool = pool(name.clone(), &object, &defaults.placement_weights, errors);
        config.pools.insert(name, pool);
    }
    for (name, object) in root.object("matches", errors).objects(errors) {
        add_match(name, &object, &defaults.settings, &mut config, errors);
    }
    for (name, object) in root.object("tenants", errors).objects(errors) {
        add_tenant(&name, &object, defaults.tenant, &mut config, errors);
    }
    config
}

/// The settings that pools, matches and tenants inherit.
struct Defaults {
    settings: Match,
    tenant: TenantDefaults,
    placement_weights: PlacementWeights,
}

impl Defaults {
    fn read(object: &ObjectReader, errors: &mut Vec<ConfigError>) -> Defaults {
        let known_names = [&SHARED_MEMBERS[..], &["quota", "weight", "placement", "engine"]].concat();
        object.reject_unknown(&known_names, errors);
        let settings = shared_settings(object, built_in_match(), errors);
        let quota = quota(object, errors).unwrap_or(BUILT_IN_QUOTA);
        let weight = object.integer("weight", 1, MAX_PRIORITY_WEIGHT, errors).unwrap_or(1);
        let placement_weights = placement_weights(object, PlacementWeights::default(), errors);
        Defaults { settings, tenant: TenantDefaults { quota, weight }, placement_weights }
    }
}
