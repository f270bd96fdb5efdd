//! Orders to change the configuration, and reads of it.

use super::responses::{json, quote, trouble};
use crate::ops::{newest_version, submit_change};
use crate::shared::Shared;
use futures::StreamExt;
use sonic_rs::{JsonContainerTrait, JsonValueTrait, Value};
use std::sync::Arc;
use std::time::Duration;
use sumacvale_core::base::{ChangeId, NodeId, Version};
use sumacvale_core::config::check::ConfigError;
use sumacvale_core::config::{effective as settings, validate};
use sumacvale_core::protocol::{Change, ChangeOutcome, Voter};
use viz::{Request, RequestExt, Response, StatusCode, header};

const LARGE: usize = 4 << 20;

/// The body of a request, or the answer to one that is too long.
pub async fn body(r: Request, most: usize) -> Result<String, Response> {
    let mut s = r.into_body();
    let mut b = Vec::new();
    loop {
        match tokio::time::timeout(Duration::from_secs(10), s.next()).await {
            Ok(None) => break,
            Ok(Some(Ok(d))) if b.len() + d.len() <= most => b.extend_from_slice(&d),
            Ok(Some(Ok(_))) => {
                let t = [ConfigError::TooLarge { pointer: String::new(), bytes: most + 1, max_bytes: most }];
                return Err(listed(StatusCode::UNPROCESSABLE_ENTITY, &t));
            }
            _ => {
                return Err(trouble(
                    StatusCode::BAD_REQUEST,
                    "body",
                    "the body broke off or came too slowly; send it again",
                ));
            }
        }
    }
    String::from_utf8(b).map_err(|_| listed(StatusCode::BAD_REQUEST, &[ConfigError::NotJson("it is not UTF-8".into())]))
}

fn listed(s: StatusCode, v: &[ConfigError]) -> Response {
    let ts: Vec<_> = v
        .iter()
        .take(200)
        .map(|t| {
            format!("{{\"at\":{},\"code\":\"{}\",\"remedy\":{}}}", quote(t.pointer()), t.code(), quote(&t.to_string()))
        })
        .collect();
    json(
        s,
        format!(
            "{{\"code\":\"invalid\",\"remedy\":\"mend what is listed; nothing was changed\",\"troubles\":[{}]}}",
            ts.join(",")
        ),
    )
}

fn etag(r: &mut Response, v: Version) {
    if let Ok(t) = header::HeaderValue::from_str(&format!("\"{v}\"")) {
        r.headers_mut().insert(header::ETAG, t);
    }
}

/// The newest tree and its version. With `?local=true` the one that this node holds, which may
/// be older.
pub async fn get(h: Arc<Shared>, r: Request) -> Response {
    if h.view.load().entry.is_none() {
        return trouble(
            StatusCode::SERVICE_UNAVAILABLE,
            "no_version",
            "this node has learned no version yet; wait until /readyz says ready",
        );
    }
    let held = if asked(&r, "local") { h.view.load().entry.clone() } else { newest_version(&h).await };
    let Some(d) = held else {
        return trouble(
            StatusCode::SERVICE_UNAVAILABLE,
            "not_confirmed",
            "no majority of the cores confirms here which version is the newest; ask another node, or add ?local=true for what this one holds",
        );
    };
    let mut r = json(StatusCode::OK, d.body.clone());
    etag(&mut r, d.version);
    r
}

fn base(r: &Request) -> Result<Version, Box<Response>> {
    let Some(v) = r.headers().get(header::IF_MATCH) else {
        return Err(Box::new(trouble(
            StatusCode::PRECONDITION_REQUIRED,
            "no_base",
            "send If-Match with the ETag that your change is built on",
        )));
    };
    let t = v.to_str().unwrap_or("").trim();
    let t = t.strip_prefix("W/").unwrap_or(t).trim_matches('"');
    t.parse().map_err(|_| {
        Box::new(trouble(StatusCode::BAD_REQUEST, "base", "If-Match must be one ETag of /v1/config, such as \"7\""))
    })
}

fn change_id(r: &Request) -> Result<ChangeId, Box<Response>> {
    match r.headers().get("change-id") {
        None => {
            let mut b = [0; 8];
            if getrandom::fill(&mut b).is_err() {
                return Err(Box::new(trouble(
                    StatusCode::INTERNAL_SERVER_ERROR,
                    "random",
                    "this machine gives no random numbers; send a Change-Id",
                )));
            }
            Ok(ChangeId(u64::from_be_bytes(b).max(1)))
        }
        Some(v) => v.to_str().ok().and_then(ChangeId::parse).filter(|c| c.0 != 0).ok_or_else(|| {
            Box::new(trouble(StatusCode::BAD_REQUEST, "change_id", "Change-Id must be 16 hex digits, not all nought"))
        }),
    }
}

/// Whether the query sets this switch.
fn asked(r: &Request, switch: &str) -> bool {
    let on = |x: &str| x.split_once('=').is_some_and(|(k, v)| k == switch && (v == "true" || v == "1"));
    r.uri().query().is_some_and(|q| q.split('&').any(on))
}

fn told(f: ChangeOutcome, c: ChangeId) -> Response {
    match f {
        ChangeOutcome::Committed { version } => {
            let mut r =
                json(StatusCode::OK, format!("{{\"state\":\"decided\",\"version\":{version},\"change\":\"{c}\"}}"));
            etag(&mut r, version);
            r
        }
        ChangeOutcome::Stale { version } => {
            let mut r = json(
                StatusCode::PRECONDITION_FAILED,
                format!(
                    "{{\"code\":\"stale_base\",\"remedy\":\"take the current version, build the change on it and send it again\",\"version\":{version},\"change\":\"{c}\"}}"
                ),
            );
            etag(&mut r, version);
            r
        }
        ChangeOutcome::NoQuorum => trouble(
            StatusCode::SERVICE_UNAVAILABLE,
            "no_majority",
            "no majority of the cores can be reached; nothing was changed, try again later",
        ),
        ChangeOutcome::Unknown => json(
            StatusCode::GATEWAY_TIMEOUT,
            format!(
                "{{\"code\":\"unknown\",\"state\":\"unknown\",\"remedy\":\"the change may still be decided: ask /v1/changes/{c} or send it again with the same Change-Id and base\",\"change\":\"{c}\"}}"
            ),
        ),
        ChangeOutcome::IdReused => {
            trouble(StatusCode::CONFLICT, "change_id", "this Change-Id stands for another change; send a new one")
        }
        ChangeOutcome::Invalid { reason: why } => trouble(StatusCode::UNPROCESSABLE_ENTITY, "invalid", &why),
        ChangeOutcome::Content { text } => json(StatusCode::OK, text),
    }
}

/// The base, the id, whether the id was made up here, and the body of a change.
async fn change_of(request: Request) -> Result<(Version, ChangeId, bool, String), Response> {
    let fresh = !request.headers().contains_key("change-id");
    let base_version = base(&request).map_err(|response| *response)?;
    let change_id = change_id(&request).map_err(|response| *response)?;
    Ok((base_version, change_id, fresh, body(request, LARGE).await?))
}

/// A document in the place of the newest one.
pub async fn put(shared: Arc<Shared>, request: Request) -> Response {
    let dry = asked(&request, "dry_run");
    let (base_version, change_id, fresh, document) = match change_of(request).await {
        Ok(parts) => parts,
        Err(response) => return response,
    };
    if let Err(errors) = validate(&document) {
        let state = if matches!(errors.first(), Some(ConfigError::NotJson(_))) {
            StatusCode::BAD_REQUEST
        } else {
            StatusCode::UNPROCESSABLE_ENTITY
        };
        return listed(state, &errors);
    }
    if dry {
        let version = shared.view.load().version.unwrap_or(0);
        return if version == base_version {
            json(StatusCode::OK, format!("{{\"state\":\"valid\",\"version\":{version}}}"))
        } else {
            told(ChangeOutcome::Stale { version }, change_id)
        };
    }
    told(submit_change(&shared, (change_id, fresh), base_version, Change::Tree(document)).await, change_id)
}

/// The versions that the fleet holds.
pub async fn history(h: Arc<Shared>, _: Request) -> Response {
    told(submit_change(&h, (ChangeId(0), false), 0, Change::ReadHistory).await, ChangeId(0))
}

/// What became of a change.
pub async fn change(shared: Arc<Shared>, request: Request) -> Response {
    let Some(change_id) = request.param::<String>("cid").ok().and_then(|id| ChangeId::parse(&id)) else {
        return trouble(StatusCode::BAD_REQUEST, "change_id", "a change id has 16 hex digits");
    };
    let base_version =
        request.uri().query().and_then(|q| q.split('&').find_map(|x| x.strip_prefix("base=")?.parse::<Version>().ok()));
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
        outcome => told(outcome, change_id),
    }
}

/// What is in force for one name.
pub async fn effective(shared: Arc<Shared>, request: Request) -> Response {
    let (sort, name) =
        (request.param::<String>("sort").unwrap_or_default(), request.param::<String>("name").unwrap_or_default());
    let view = shared.view.load();
    match settings(&view.config, &sort, &name) {
        Some(text) => {
            let mut response = json(StatusCode::OK, text);
            etag(&mut response, view.config.version);
            response
        }
        None => trouble(
            StatusCode::NOT_FOUND,
            "not_found",
            "use /v1/effective/matches/NAME or /v1/effective/tenants/NAME with a name that is in the tree",
        ),
    }
}

/// The voters.
pub async fn cores(h: Arc<Shared>, _: Request) -> Response {
    let v = h.view.load();
    let Some(d) = &v.entry else {
        return trouble(StatusCode::SERVICE_UNAVAILABLE, "no_version", "this node has learned no version yet");
    };
    let cs: Vec<_> =
        d.voters.iter().map(|c| format!("{{\"id\":\"{}\",\"peer\":{}}}", c.node_id, quote(&c.addr))).collect();
    let mut r = json(StatusCode::OK, format!("[{}]", cs.join(",")));
    etag(&mut r, d.version);
    r
}

/// A list of voters in the place of the newest one.
pub async fn put_cores(shared: Arc<Shared>, request: Request) -> Response {
    let (base_version, change_id, fresh, body) = match change_of(request).await {
        Ok(parts) => parts,
        Err(response) => return response,
    };
    let Ok(list) = sonic_rs::from_str::<Value>(&body) else {
        return listed(StatusCode::BAD_REQUEST, &[ConfigError::NotJson("send a list of cores".into())]);
    };
    let mut voters = Vec::new();
    let parse_voter = |item: &Value| {
        let node_id = NodeId::parse(item.pointer(["id"])?.as_str()?)?;
        let addr = item.pointer(["peer"])?.as_str()?.to_owned();
        addr.parse::<std::net::SocketAddr>().ok()?;
        Some(Voter { node_id, addr })
    };
    for (index, item) in list.as_array().into_iter().flat_map(|a| a.iter()).enumerate() {
        match parse_voter(item) {
            Some(voter) => voters.push(voter),
            None => {
                let error = ConfigError::InvalidValue {
                    pointer: format!("/{index}"),
                    actual: item.to_string(),
                    expected: "{\"id\": 16 hex digits, \"peer\": IP:PORT} as /v1/nodes shows".into(),
                };
                return listed(StatusCode::UNPROCESSABLE_ENTITY, &[error]);
            }
        }
    }
    told(submit_change(&shared, (change_id, fresh), base_version, Change::Voters(voters)).await, change_id)
}
