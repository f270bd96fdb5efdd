//! The effective settings of one match or tenant, including inherited values, as JSON.

use super::{CompiledConfig, Match, QuotaLimit, QuotaMeasure, Tenant};
use crate::base::MS;
use crate::config::object_writer::ObjectWriter;

/// The typical size of the JSON settings of one match, in bytes.
const TYPICAL_SETTINGS_BYTES: usize = 512;

/// Returns the settings of one match or tenant, including every inherited value; `None` if `collection`
/// is neither `matches` nor `tenants`, or has no item of this name.
pub fn effective_settings(config: &CompiledConfig, collection: &str, name: &str) -> Option<String> {
    match collection {
        "matches" => config.matches.get(name).map(|settings| match_settings(settings)),
        "tenants" => config.tenants.get(name).map(|tenant| tenant_settings(config, tenant)),
        _ => None,
    }
}

fn match_settings(settings: &Match) -> String {
    let mut object = ObjectWriter::with_capacity(TYPICAL_SETTINGS_BYTES);
    object.add_text("name", &settings.name);
    object.add_text("method", &settings.method);
    object.add_text("path", &settings.path);
    object.add_text("pool", &settings.pool);
    object.add_text("kind", settings.kind.name());
    object.add_plain("wait_ms", settings.queue_timeout / MS);
    object.add_plain("first_ms", settings.first_byte_timeout / MS);
    object.add_plain("idle_ms", settings.idle_timeout / MS);
    object.add_plain("max_body", settings.max_body);
    object.add_text("prompt", &format!("/{}", settings.prompt.join("/")));
    object.add_plain("prefix_chars", settings.prefix_chars);
    object.add_plain("repeat", settings.idempotent);
    object.add_plain("resume", settings.resumable);
    object.add_text("on_revoke", settings.revocation_policy.name());
    object.add_optional_text("host", settings.host.as_deref());
    object.add_optional_text("under", settings.path_prefix.as_deref());
    object.add_json("split", &pool_weights(&settings.weighted_pools));
    object.add_plain("aim_ms", settings.latency_target / MS);
    object.add_plain("gap_ms", settings.max_stream_pause / MS);
    object.add_plain("tries", settings.max_attempts);
    add_urgency(&mut object, settings.urgency);
    object.add_plain("open", settings.allows_anonymous);
    object.add_plain("parts", settings.has_prompt_parts);
    object.finish()
}

fn tenant_settings(config: &CompiledConfig, tenant: &Tenant) -> String {
    let keys = config.keys.values().filter(|owner| **owner == tenant.name).count();
    let mut object = ObjectWriter::with_capacity(TYPICAL_SETTINGS_BYTES);
    object.add_text("name", &tenant.name);
    object.add_plain("keys", keys);
    object.add_json("quota", &quota(tenant.quota, tenant.measure));
    object.add_plain("weight", tenant.weight);
    match &tenant.matches {
        None => object.add_text("matches", "all"),
        Some(names) => object.add_json("matches", &sonic_rs::to_string(names).unwrap_or_default()),
    }
    object.add_optional_text("on_revoke", tenant.revocation_policy.map(super::route::RevocationPolicy::name));
    add_urgency(&mut object, tenant.urgency);
    object.finish()
}

fn add_urgency(object: &mut ObjectWriter, urgency: Option<u8>) {
    match urgency {
        Some(rank) => object.add_plain("urgency", rank),
        None => object.add_json("urgency", "null"),
    }
}

fn pool_weights(pools: &[(String, u32)]) -> String {
    let mut object = ObjectWriter::with_capacity(TYPICAL_SETTINGS_BYTES);
    for (pool, weight) in pools {
        object.add_plain(pool, weight);
    }
    object.finish()
}

/// Formats a quota. A rate includes the allowance that `over` and `slack` add to it.
fn quota(limit: QuotaLimit, measure: QuotaMeasure) -> String {
    let mut object = ObjectWriter::with_capacity(TYPICAL_SETTINGS_BYTES);
    match limit {
        QuotaLimit::Unlimited => return "\"none\"".to_owned(),
        QuotaLimit::Window(window) => {
            object.add_plain("calls", window.calls);
            object.add_plain("window_ms", window.window / MS);
        }
        QuotaLimit::Rate(rate) => {
            object.add_plain("rate", decimal(rate.milli_per_second));
            object.add_plain("burst", decimal(rate.burst_milli));
            if let QuotaMeasure::Tokens { default_units } = measure {
                object.add_text("measure", "tokens");
                object.add_plain("untold", default_units);
            }
        }
    }
    object.finish()
}

/// Formats thousandths as a decimal number without trailing zeros.
fn decimal(thousandths: u64) -> String {
    let number = format!("{}.{:03}", thousandths / 1000, thousandths % 1000);
    number.trim_end_matches('0').trim_end_matches('.').to_owned()
}
