//! Pools: their workers, drained workers and placement weights.

use super::ConfigError;
use super::reader::ObjectReader;
use crate::config::{PlacementWeights, Pool};
use sonic_rs::JsonValueTrait;
use std::net::SocketAddr;

/// The maximum placement weight, in hundredths.
const MAX_WEIGHT: u64 = 10_000;

/// Reads the placement weights and engine properties of a pool or of the defaults; values that the
/// document doesn't set are taken from `inherited`.
pub fn placement_weights(
    parent: &ObjectReader,
    inherited: PlacementWeights,
    errors: &mut Vec<ConfigError>,
) -> PlacementWeights {
    let mut weights = inherited;
    let placement = parent.object("placement", errors);
    placement.reject_unknown(&["near", "reread", "spread"], errors);
    for (name, weight) in [
        ("near", &mut weights.zone_locality),
        ("reread", &mut weights.prefix_affinity),
        ("spread", &mut weights.load_spread),
    ] {
        if let Some(number) = placement.integer(name, 0, MAX_WEIGHT, errors) {
            *weight = u32::try_from(number).unwrap_or(100);
        }
    }
    let engine = parent.object("engine", errors);
    engine.reject_unknown(&["memory_tokens", "tokens_per_event"], errors);
    weights.kv_cache_tokens = engine.integer("memory_tokens", 0, 1 << 40, errors).unwrap_or(weights.kv_cache_tokens);
    if let Some(tokens) = engine.integer("tokens_per_event", 1, 10_000, errors) {
        weights.tokens_per_event = u32::try_from(tokens).unwrap_or(1);
    }
    weights
}

/// Reads one pool, whose placement weights default to `inherited`.
pub fn pool(name: String, object: &ObjectReader, inherited: &PlacementWeights, errors: &mut Vec<ConfigError>) -> Pool {
    object.reject_unknown(&["workers", "drain", "placement", "engine"], errors);
    let placement_weights = placement_weights(object, inherited.clone(), errors);
    let drained_workers = object.texts("drain", errors).unwrap_or_default().into_iter().map(str::to_owned).collect();
    let workers = worker_addresses(object, errors);
    Pool { name, workers, drained_workers, placement_weights }
}

/// Reads the addresses of the workers that may serve; `None` allows any worker.
fn worker_addresses(object: &ObjectReader, errors: &mut Vec<ConfigError>) -> Option<Vec<String>> {
    if object.member("workers").is_none_or(|value| value.as_str() == Some("any")) {
        return None;
    }
    let addresses = object.texts("workers", errors).unwrap_or_default();
    if addresses.is_empty() && object.member("workers").is_some_and(sonic_rs::JsonValueTrait::is_array) {
        object.reject("workers", "\"any\" or a list with at least one address", errors);
    }
    for (index, address) in addresses.iter().enumerate() {
        let pointer = || object.pointer_to_item("workers", index);
        if address.parse::<SocketAddr>().is_err() {
            let (actual, expected) = ((*address).into(), "an IP address and port".into());
            errors.push(ConfigError::InvalidValue { pointer: pointer(), actual, expected });
        } else if addresses[..index].contains(address) {
            errors.push(ConfigError::Conflict { pointer: pointer(), owner: (*address).into() });
        }
    }
    Some(addresses.into_iter().map(str::to_owned).collect())
}
