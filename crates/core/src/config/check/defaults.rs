//! The settings that the document's defaults and each match have in common.

use super::ConfigError;
use super::reader::ObjectReader;
use super::syntax::unescape_pointer;
use crate::base::{MS, Micros};
use crate::config::{Match, RevocationPolicy, TrafficKind};

/// The members that both the defaults and a match may have.
pub const SHARED_MEMBERS: [&str; 16] = [
    "wait_ms",
    "first_ms",
    "idle_ms",
    "max_body",
    "prompt",
    "prefix_chars",
    "repeat",
    "resume",
    "on_revoke",
    "kind",
    "aim_ms",
    "gap_ms",
    "tries",
    "urgency",
    "open",
    "parts",
];
/// The maximum of every time setting, in milliseconds.
const MAX_MS: u64 = 3_600_000;
/// The maximum of the setting `max_body`, in bytes.
const MAX_BODY_BYTES: u64 = 64 << 20;
/// The default of `max_body`, in bytes; also used for a size that doesn't fit into a `usize`.
const DEFAULT_BODY_BYTES: usize = 1 << 20;
/// The default of `prefix_chars`, in characters; also used for a number that doesn't fit into a `usize`.
const DEFAULT_PREFIX_CHARS: usize = 256;

/// Returns the settings that apply where neither a match nor the document's defaults set a value.
pub fn built_in_match() -> Match {
    Match {
        name: String::new(),
        method: "POST".into(),
        host: None,
        path: String::new(),
        path_prefix: None,
        pool: String::new(),
        weighted_pools: Vec::new(),
        kind: TrafficKind::Chat,
        latency_target: 0,
        max_stream_pause: 0,
        max_attempts: 16,
        urgency: None,
        allows_anonymous: false,
        has_prompt_parts: false,
        queue_timeout: 2_000 * MS,
        first_byte_timeout: 15_000 * MS,
        idle_timeout: 10_000 * MS,
        max_body: DEFAULT_BODY_BYTES,
        prompt: vec!["prompt".into()],
        prefix_chars: DEFAULT_PREFIX_CHARS,
        idempotent: false,
        resumable: false,
        revocation_policy: RevocationPolicy::Finish,
    }
}

/// Reads the settings of an object; those that it doesn't set are taken from `inherited`.
pub fn shared_settings(object: &ObjectReader, inherited: Match, errors: &mut Vec<ConfigError>) -> Match {
    let mut settings = inherited;
    read_times(object, 1, timeouts(&mut settings), errors);
    read_sizes(object, &mut settings, errors);
    read_times(object, 0, latency_targets(&mut settings), errors);
    read_attempts(object, &mut settings, errors);
    read_flags(object, &mut settings, errors);
    read_prompt_pointer(object, &mut settings, errors);
    settings.revocation_policy = revocation_policy(object, errors).unwrap_or(settings.revocation_policy);
    read_kind(object, &mut settings, errors);
    settings
}

fn timeouts(settings: &mut Match) -> Vec<(&'static str, &mut Micros)> {
    vec![
        ("wait_ms", &mut settings.queue_timeout),
        ("first_ms", &mut settings.first_byte_timeout),
        ("idle_ms", &mut settings.idle_timeout),
    ]
}

fn latency_targets(settings: &mut Match) -> Vec<(&'static str, &mut Micros)> {
    vec![("aim_ms", &mut settings.latency_target), ("gap_ms", &mut settings.max_stream_pause)]
}

fn read_times(
    object: &ObjectReader,
    min_ms: u64,
    times: Vec<(&'static str, &mut Micros)>,
    errors: &mut Vec<ConfigError>,
) {
    for (name, time) in times {
        if let Some(millis) = object.integer(name, min_ms, MAX_MS, errors) {
            *time = millis * MS;
        }
    }
}

fn read_sizes(object: &ObjectReader, settings: &mut Match, errors: &mut Vec<ConfigError>) {
    if let Some(bytes) = object.integer("max_body", 1, MAX_BODY_BYTES, errors) {
        settings.max_body = usize::try_from(bytes).unwrap_or(DEFAULT_BODY_BYTES);
    }
    if let Some(chars) = object.integer("prefix_chars", 1, 1 << 20, errors) {
        settings.prefix_chars = usize::try_from(chars).unwrap_or(DEFAULT_PREFIX_CHARS);
    }
}

fn read_attempts(object: &ObjectReader, settings: &mut Match, errors: &mut Vec<ConfigError>) {
    if let Some(attempts) = object.integer("tries", 1, 64, errors) {
        settings.max_attempts = u32::try_from(attempts).unwrap_or(1);
    }
}

fn read_flags(object: &ObjectReader, settings: &mut Match, errors: &mut Vec<ConfigError>) {
    settings.urgency = urgency(object, errors).or(settings.urgency);
    settings.allows_anonymous = object.boolean("open", errors).unwrap_or(settings.allows_anonymous);
    settings.has_prompt_parts = object.boolean("parts", errors).unwrap_or(settings.has_prompt_parts);
    settings.idempotent = object.boolean("repeat", errors).unwrap_or(settings.idempotent);
    settings.resumable = object.boolean("resume", errors).unwrap_or(settings.resumable);
}

/// Reads the JSON pointer to the prompt in the body of a call.
fn read_prompt_pointer(object: &ObjectReader, settings: &mut Match, errors: &mut Vec<ConfigError>) {
    let Some(text) = object.text("prompt", errors) else { return };
    match text.strip_prefix('/') {
        Some(tokens) => settings.prompt = tokens.split('/').map(unescape_pointer).collect(),
        None => object.reject("prompt", "a JSON pointer such as /prompt", errors),
    }
}

fn read_kind(object: &ObjectReader, settings: &mut Match, errors: &mut Vec<ConfigError>) {
    let Some(text) = object.text("kind", errors) else { return };
    match TrafficKind::parse(text) {
        Some(kind) => settings.kind = kind,
        None => object.reject("kind", "lookup, chat, draft or summary", errors),
    }
}

/// Reads the urgency of calls; 0 is served first.
pub fn urgency(object: &ObjectReader, errors: &mut Vec<ConfigError>) -> Option<u8> {
    object.integer("urgency", 0, 9, errors).and_then(|rank| u8::try_from(rank).ok())
}

/// Reads what happens to running streams when their key is revoked.
pub fn revocation_policy(object: &ObjectReader, errors: &mut Vec<ConfigError>) -> Option<RevocationPolicy> {
    let policy = RevocationPolicy::parse(object.text("on_revoke", errors)?);
    if policy.is_none() {
        object.reject("on_revoke", "finish or cut", errors);
    }
    policy
}
