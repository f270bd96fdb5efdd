//! Tenants: the hashes of their keys, their limits and the matches that they may use.

use super::ConfigError;
use super::defaults::{revocation_policy, urgency};
use super::limits::quota;
use super::reader::ObjectReader;
use crate::config::{CompiledConfig, QuotaLimit, QuotaMeasure, Tenant};
use sonic_rs::JsonValueTrait;
use std::sync::Arc;

/// The settings of a tenant that its object doesn't set.
#[derive(Clone, Copy)]
pub struct TenantDefaults {
    /// The limit and the unit that it counts.
    pub quota: (QuotaLimit, QuotaMeasure),
    /// The priority weight relative to other tenants, from 1 to [`MAX_PRIORITY_WEIGHT`].
    pub weight: u64,
}

/// The maximum priority weight of a tenant.
pub const MAX_PRIORITY_WEIGHT: u64 = 1000;

/// Adds one tenant and its keys to the configuration. All matches must have been added before.
pub fn add_tenant(
    name: &str,
    object: &ObjectReader,
    inherited: TenantDefaults,
    config: &mut CompiledConfig,
    errors: &mut Vec<ConfigError>,
) {
    object.reject_unknown(&["keys", "quota", "weight", "matches", "on_revoke", "urgency"], errors);
    let (quota, measure) = quota(object, errors).unwrap_or(inherited.quota);
    let weight = object.integer("weight", 1, MAX_PRIORITY_WEIGHT, errors).unwrap_or(inherited.weight);
    add_keys(name, object, config, errors);
    let matches = allowed_matches(object, config, errors);
    let tenant = Tenant {
        name: name.to_owned(),
        quota,
        measure,
        weight,
        urgency: urgency(object, errors),
        revocation_policy: revocation_policy(object, errors),
        matches,
    };
    config.tenants.insert(name.to_owned(), Arc::new(tenant));
}

/// Adds the hashes of a tenant's keys. A key itself must never appear in a document or in an error.
fn add_keys(tenant: &str, object: &ObjectReader, config: &mut CompiledConfig, errors: &mut Vec<ConfigError>) {
    object.require("keys", "a list of key hashes, which may be empty", errors);
    for (index, key) in object.texts("keys", errors).unwrap_or_default().into_iter().enumerate() {
        let pointer = object.pointer_to_item("keys", index);
        let Some(hash) = key_hash(key) else {
            errors.push(ConfigError::InvalidValue {
                pointer,
                actual: "something else (not shown, it may be a key)".into(),
                expected: "sha256: and the 64 lower-case hex digits of the key's hash".into(),
            });
            continue;
        };
        if let Some(owner) = config.keys.insert(hash.to_owned(), tenant.to_owned()) {
            errors.push(ConfigError::Conflict { pointer, owner: format!("/tenants/{owner}") });
        }
    }
}

/// Returns the hex digits of a key hash with the prefix `sha256:`, if the text is one.
fn key_hash(text: &str) -> Option<&str> {
    let is_lower_hex = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    text.strip_prefix("sha256:").filter(|hash| hash.len() == 64 && hash.bytes().all(is_lower_hex))
}

/// Reads the names of the matches that a tenant may use; `None` allows all.
fn allowed_matches(
    object: &ObjectReader,
    config: &CompiledConfig,
    errors: &mut Vec<ConfigError>,
) -> Option<Vec<String>> {
    if object.member("matches").is_none_or(|value| value.as_str() == Some("all")) {
        return None;
    }
    let names = object.texts("matches", errors)?;
    for (index, name) in names.iter().enumerate() {
        if !config.matches.contains_key(*name) {
            errors.push(ConfigError::Dangling {
                pointer: object.pointer_to_item("matches", index),
                name: (*name).into(),
                collection: "/matches".into(),
            });
        }
    }
    Some(names.into_iter().map(str::to_owned).collect())
}
