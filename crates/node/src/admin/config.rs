//! Reads and changes the configuration and the list of voters.

use super::responses::{error_response, json, quote};
use crate::ops::{newest_version, submit_change};
use crate::shared::Shared;
use futures::StreamExt;
use sonic_rs::{JsonContainerTrait, JsonValueTrait, Value};
use std::sync::Arc;
use std::time::Duration;
use sumacvale_core::base::{ChangeId, NodeId, Version};
use sumacvale_core::config::check::ConfigError;
use sumacvale_core::config::{effective_settings, validate};
use sumacvale_core::json::parse as parse_json;
use sumacvale_core::protocol::{Change, ChangeOutcome, Voter};
use viz::{Request, RequestExt, Response, StatusCode, header};

/// The maximum size of a change, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Reads the body of a request.
///
/// # Errors
/// The response to send if the body exceeds `max_body_bytes`, is not UTF-8, is aborted or times out.
pub async fn read_body(request: Request, max_body_bytes: usize) -> Result<String, Response> {
    let mut stream = request.into_body();
    let mut bytes = Vec::new();
    loop {
        match tokio::time::timeout(Duration::from_secs(10), stream.next()).await {
            Ok(None) => break,
            Ok(Some(Ok(chunk))) if bytes.len() + chunk.len() <= max_body_bytes => bytes.extend_from_slice(&chunk),
            Ok(Some(Ok(_))) => {
                let errors = [ConfigError::TooLarge {
                    pointer: String::new(),
                    bytes: max_body_bytes + 1,
                    max_bytes: max_body_bytes,
                }];
                return Err(config_errors(StatusCode::UNPROCESSABLE_ENTITY, &errors));
            }
            _ => {
                return Err(error_response(
                    StatusCode::BAD_REQUEST,
                    "body",
                    "the body broke off or came too slowly; send it again",
                ));
            }
        }
    }
    String::from_utf8(bytes)
        .map_err(|_| config_errors(StatusCode::BAD_REQUEST, &[ConfigError::NotJson("it is not UTF-8".into())]))
}

/// Returns a response that lists at most 200 errors of a configuration document.
fn config_errors(status: StatusCode, errors: &[ConfigError]) -> Response {
    let items: Vec<_> = errors
        .iter()
        .take(200)
        .map(|error| {
            format!(
                "{{\"at\":{},\"code\":\"{}\",\"remedy\":{}}}",
                quote(error.pointer()),
                error.code(),
                quote(&error.to_string())
            )
        })
        .collect();
    json(
        status,
        format!(
            "{{\"code\":\"invalid\",\"remedy\":\"mend what is listed; nothing was changed\",\"troubles\":[{}]}}",
            items.join(",")
        ),
    )
}

/// Sets the `ETag` of a response to a version.
fn set_etag(response: &mut Response, version: Version) {
    if let Ok(value) = header::HeaderValue::from_str(&format!("\"{version}\"")) {
        response.headers_mut().insert(header::ETAG, value);
    }
}

/// Returns the newest configuration document, with its version as the `ETag`. With `?local=true` returns the
/// document that this node holds, which may be older.
pub async fn get(shared: Arc<Shared>, request: Request) -> Response {
    if shared.view.load().entry.is_none() {
        return error_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "no_version",
            "this node has learned no version yet; wait until /readyz says ready",
        );
    }
    let entry = if has_query_flag(&request, "local") {
        shared.view.load().entry.clone()
    } else {
        newest_version(&shared).await
    };
    let Some(entry) = entry else {
        return error_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "not_confirmed",
            "no majority of the cores confirms here which version is the newest; ask another node, or add ?local=true for what this one holds",
        );
    };
    let mut response = json(StatusCode::OK, entry.body.clone());
    set_etag(&mut response, entry.version);
    response
}

/// Parses `If-Match`: the version that a change is based on.
fn parse_base_version(request: &Request) -> Result<Version, Box<Response>> {
    let Some(value) = request.headers().get(header::IF_MATCH) else {
        return Err(Box::new(error_response(
            StatusCode::PRECONDITION_REQUIRED,
            "no_base",
            "send If-Match with the ETag that your change is built on",
        )));
    };
    let etag = value.to_str().unwrap_or("").trim();
    let etag = etag.strip_prefix("W/").unwrap_or(etag).trim_matches('"');
    etag.parse().map_err(|_| {
        Box::new(error_response(
            StatusCode::BAD_REQUEST,
            "base",
            "If-Match must be one ETag of /v1/config, such as \"7\"",
        ))
    })
}

/// Parses the `Change-Id` header; generates a random id if there is none.
fn parse_or_generate_change_id(request: &Request) -> Result<ChangeId, Box<Response>> {
    match request.headers().get("change-id") {
        None => {
            let mut bytes = [0; 8];
            if getrandom::fill(&mut bytes).is_err() {
                return Err(Box::new(error_response(
                    StatusCode::INTERNAL_SERVER_ERROR,
                    "random",
                    "this machine gives no random numbers; send a Change-Id",
                )));
            }
            Ok(ChangeId(u64::from_be_bytes(bytes).max(1)))
        }
        Some(value) => value.to_str().ok().and_then(ChangeId::parse).filter(|id| id.0 != 0).ok_or_else(|| {
            Box::new(error_response(
                StatusCode::BAD_REQUEST,
                "change_id",
                "Change-Id must be 16 hex digits, not all nought",
            ))
        }),
    }
}

/// Returns true if the query sets `flag` to `true` or `1`.
fn has_query_flag(request: &Request, flag: &str) -> bool {
    let is_set = |pair: &str| {
        pair.split_once('=').is_some_and(|(name, value)| name == flag && (value == "true" || value == "1"))
    };
    request.uri().query().is_some_and(|query| query.split('&').any(is_set))
}

/// Returns the response for the outcome of a change.
fn outcome_response(outcome: ChangeOutcome, change_id: ChangeId) -> Response {
    match outcome {
        ChangeOutcome::Committed { version } => {
            let mut response = json(
                StatusCode::OK,
                format!("{{\"state\":\"decided\",\"version\":{version},\"change\":\"{change_id}\"}}"),
            );
            set_etag(&mut response, version);
            response
        }
        ChangeOutcome::Stale { version } => {
            let mut response = json(
                StatusCode::PRECONDITION_FAILED,
                format!(
                    "{{\"code\":\"stale_base\",\"remedy\":\"take the current version, build the change on it and send it again\",\"version\":{version},\"change\":\"{change_id}\"}}"
                ),
            );
            set_etag(&mut response, version);
            response
        }
        ChangeOutcome::NoQuorum => error_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "no_majority",
            "no majority of the cores can be reached; nothing was changed, try again later",
        ),
        ChangeOutcome::Unknown => json(
            StatusCode::GATEWAY_TIMEOUT,
            format!(
                "{{\"code\":\"unknown\",\"state\":\"unknown\",\"remedy\":\"the change may still be decided: ask /v1/changes/{change_id} or send it again with the same Change-Id and base\",\"change\":\"{change_id}\"}}"
            ),
        ),
        ChangeOutcome::IdReused => error_response(
            StatusCode::CONFLICT,
            "change_id",
            "this Change-Id stands for another change; send a new one",
        ),
        ChangeOutcome::Invalid { reason: message } => {
            error_response(StatusCode::UNPROCESSABLE_ENTITY, "invalid", &message)
        }
        ChangeOutcome::Content { text } => json(StatusCode::OK, text),
    }
}

/// Returns the base version of a change, its id, whether this node generated the id, and the body.
async fn parse_change(request: Request) -> Result<(Version, ChangeId, bool, String), Response> {
    let has_generated_id = !request.headers().contains_key("change-id");
    let base_version = parse_base_version(&request).map_err(|response| *response)?;
    let change_id = parse_or_generate_change_id(&request).map_err(|response| *response)?;
    Ok((base_version, change_id, has_generated_id, read_body(request, MAX_BODY_BYTES).await?))
}

/// Replaces the newest configuration document. With `?dry_run=true` only validates the change.
pub async fn put(shared: Arc<Shared>, request: Request) -> Response {
    let is_dry_run = has_query_flag(&request, "dry_run");
    let (base_version, change_id, has_generated_id, document) = match parse_change(request).await {
        Ok(parts) => parts,
        Err(response) => return response,
    };
    if let Err(errors) = validate(&document) {
        let status = if matches!(errors.first(), Some(ConfigError::NotJson(_))) {
            StatusCode::BAD_REQUEST
        } else {
            StatusCode::UNPROCESSABLE_ENTITY
        };
        return config_errors(status, &errors);
    }
    if is_dry_run {
        let version = shared.view.load().version.unwrap_or(0);
        return if version == base_version {
            json(StatusCode::OK, format!("{{\"state\":\"valid\",\"version\":{version}}}"))
        } else {
            outcome_response(ChangeOutcome::Stale { version }, change_id)
        };
    }
    outcome_response(
        submit_change(&shared, (change_id, has_generated_id), base_version, Change::Tree(document)).await,
        change_id,
    )
}

/// Lists the versions that the fleet holds.
pub async fn history(shared: Arc<Shared>, _: Request) -> Response {
    outcome_response(submit_change(&shared, (ChangeId(0), false), 0, Change::ReadHistory).await, ChangeId(0))
}

/// Returns the outcome of a change.
pub async fn change(shared: Arc<Shared>, request: Request) -> Response {
    let Some(change_id) = request.param::<String>("cid").ok().and_then(|id| ChangeId::parse(&id)) else {
        return error_response(StatusCode::BAD_REQUEST, "change_id", "a change id has 16 hex digits");
    };
    let base_version = request
        .uri()
        .query()
        .and_then(|query| query.split('&').find_map(|pair| pair.strip_prefix("base=")?.parse::<Version>().ok()));
    match submit_change(&shared, (change_id, false), base_version.unwrap_or(Version::MAX), Change::QueryOutcome).await {
        ChangeOutcome::Stale { version } => {
            json(StatusCode::OK, format!("{{\"state\":\"lost\",\"version\":{version},\"change\":\"{change_id}\"}}"))
        }
        ChangeOutcome::Unknown => json(
            StatusCode::OK,
            format!(
                "{{\"state\":\"unknown\",\"remedy\":\"not decided so far; add ?base=N with its base for a final word once a later version is decided\",\"change\":\"{change_id}\"}}"
            ),
        ),
        outcome => outcome_response(outcome, change_id),
    }
}

/// Returns the settings in force for one match or tenant.
pub async fn effective(shared: Arc<Shared>, request: Request) -> Response {
    let (collection, name) =
        (request.param::<String>("sort").unwrap_or_default(), request.param::<String>("name").unwrap_or_default());
    let view = shared.view.load();
    match effective_settings(&view.config, &collection, &name) {
        Some(text) => {
            let mut response = json(StatusCode::OK, text);
            set_etag(&mut response, view.config.version);
            response
        }
        None => error_response(
            StatusCode::NOT_FOUND,
            "not_found",
            "use /v1/effective/matches/NAME or /v1/effective/tenants/NAME with a name that is in the tree",
        ),
    }
}

/// Lists the voters, with the version of the configuration as the `ETag`.
pub async fn cores(shared: Arc<Shared>, _: Request) -> Response {
    let view = shared.view.load();
    let Some(entry) = &view.entry else {
        return error_response(StatusCode::SERVICE_UNAVAILABLE, "no_version", "this node has learned no version yet");
    };
    let voters: Vec<_> = entry
        .voters
        .iter()
        .map(|voter| format!("{{\"id\":\"{}\",\"peer\":{}}}", voter.node_id, quote(&voter.addr)))
        .collect();
    let mut response = json(StatusCode::OK, format!("[{}]", voters.join(",")));
    set_etag(&mut response, entry.version);
    response
}

/// Replaces the list of voters.
pub async fn put_cores(shared: Arc<Shared>, request: Request) -> Response {
    let (base_version, change_id, has_generated_id, body) = match parse_change(request).await {
        Ok(parts) => parts,
        Err(response) => return response,
    };
    let Ok(list) = parse_json(&body) else {
        return config_errors(StatusCode::BAD_REQUEST, &[ConfigError::NotJson("send a list of cores".into())]);
    };
    let mut voters = Vec::new();
    let parse_voter = |item: &Value| {
        let node_id = NodeId::parse(item.pointer(["id"])?.as_str()?)?;
        let addr = item.pointer(["peer"])?.as_str()?.to_owned();
        addr.parse::<std::net::SocketAddr>().ok()?;
        Some(Voter { node_id, addr })
    };
    for (index, item) in list.as_array().into_iter().flat_map(|items| items.iter()).enumerate() {
        match parse_voter(item) {
            Some(voter) => voters.push(voter),
            None => {
                let invalid_value = ConfigError::InvalidValue {
                    pointer: format!("/{index}"),
                    actual: item.to_string(),
                    expected: "{\"id\": 16 hex digits, \"peer\": IP:PORT} as /v1/nodes shows".into(),
                };
                return config_errors(StatusCode::UNPROCESSABLE_ENTITY, &[invalid_value]);
            }
        }
    }
    outcome_response(
        submit_change(&shared, (change_id, has_generated_id), base_version, Change::Voters(voters)).await,
        change_id,
    )
}
