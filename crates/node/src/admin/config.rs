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

fn base(r: &Request) -> Result<Version, Response> {
    let Some(v) = r.headers().get(header::IF_MATCH) else {
        return Err(trouble(
            StatusCode::PRECONDITION_REQUIRED,
            "no_base",
            "send If-Match with the ETag that your change is built on",
        ));
    };
    let t = v.to_str().unwrap_or("").trim();
    let t = t.strip_prefix("W/").unwrap_or(t).trim_matches('"');
    t.parse()
        .map_err(|_| trouble(StatusCode::BAD_REQUEST, "base", "If-Match must be one ETag of /v1/config, such as \"7\""))
}

fn change_id(r: &Request) -> Result<ChangeId, Response> {
    match r.headers().get("change-id") {
        None => {
            let mut b = [0; 8];
            if getrandom::fill(&mut b).is_err() {
                return Err(trouble(
                    StatusCode::INTERNAL_SERVER_ERROR,
                    "random",
                    "this machine gives no random numbers; send a Change-Id",
                ));
            }
            Ok(ChangeId(u64::from_be_bytes(b).max(1)))
        }
        Some(v) => v.to_str().ok().and_then(ChangeId::parse).filter(|c| c.0 != 0).ok_or_else(|| {
            trouble(StatusCode::BAD_REQUEST, "change_id", "Change-Id must be 16 hex digits, not all nought")
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
async fn change_of(r: Request) -> Result<(Version, ChangeId, bool, String), Response> {
    let fresh = !r.headers().contains_key("change-id");
    let (b, c) = (base(&r)?, change_id(&r)?);
    Ok((b, c, fresh, body(r, LARGE).await?))
}

/// A document in the place of the newest one.
pub async fn put(h: Arc<Shared>, r: Request) -> Response {
    let dry = asked(&r, "dry_run");
    let (b, c, fresh, s) = match change_of(r).await {
        Ok(x) => x,
        Err(r) => return r,
    };
    if let Err(v) = validate(&s) {
        let state = if matches!(v.first(), Some(ConfigError::NotJson(_))) {
            StatusCode::BAD_REQUEST
        } else {
            StatusCode::UNPROCESSABLE_ENTITY
        };
        return listed(state, &v);
    }
    if dry {
        let version = h.view.load().version.unwrap_or(0);
        return if version == b {
            json(StatusCode::OK, format!("{{\"state\":\"valid\",\"version\":{version}}}"))
        } else {
            told(ChangeOutcome::Stale { version }, c)
        };
    }
    told(submit_change(&h, (c, fresh), b, Change::Tree(s)).await, c)
}

/// The versions that the fleet holds.
pub async fn history(h: Arc<Shared>, _: Request) -> Response {
    told(submit_change(&h, (ChangeId(0), false), 0, Change::ReadHistory).await, ChangeId(0))
}

/// What became of a change.
pub async fn change(h: Arc<Shared>, r: Request) -> Response {
    let Some(c) = r.param::<String>("cid").ok().and_then(|s| ChangeId::parse(&s)) else {
        return trouble(StatusCode::BAD_REQUEST, "change_id", "a change id has 16 hex digits");
    };
    let b = r.uri().query().and_then(|q| q.split('&').find_map(|x| x.strip_prefix("base=")?.parse::<Version>().ok()));
    match submit_change(&h, (c, false), b.unwrap_or(Version::MAX), Change::QueryOutcome).await {
        ChangeOutcome::Stale { version } => {
            json(StatusCode::OK, format!("{{\"state\":\"lost\",\"version\":{version},\"change\":\"{c}\"}}"))
        }
        ChangeOutcome::Unknown => json(
            StatusCode::OK,
            format!(
                "{{\"state\":\"unknown\",\"remedy\":\"not decided so far; add ?base=N with its base for a final word once a later version is decided\",\"change\":\"{c}\"}}"
            ),
        ),
        f => told(f, c),
    }
}

/// What is in force for one name.
pub async fn effective(h: Arc<Shared>, r: Request) -> Response {
    let (s, n) = (r.param::<String>("sort").unwrap_or_default(), r.param::<String>("name").unwrap_or_default());
    let v = h.view.load();
    match settings(&v.config, &s, &n) {
        Some(t) => {
            let mut r = json(StatusCode::OK, t);
            etag(&mut r, v.config.version);
            r
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
pub async fn put_cores(h: Arc<Shared>, r: Request) -> Response {
    let (b, c, fresh, s) = match change_of(r).await {
        Ok(x) => x,
        Err(r) => return r,
    };
    let Ok(v) = sonic_rs::from_str::<Value>(&s) else {
        return listed(StatusCode::BAD_REQUEST, &[ConfigError::NotJson("send a list of cores".into())]);
    };
    let mut cs = Vec::new();
    let one = |x: &Value| {
        let node_id = NodeId::parse(x.pointer(["id"])?.as_str()?)?;
        let addr = x.pointer(["peer"])?.as_str()?.to_owned();
        addr.parse::<std::net::SocketAddr>().ok()?;
        Some(Voter { node_id, addr })
    };
    for (i, x) in v.as_array().into_iter().flat_map(|a| a.iter()).enumerate() {
        match one(x) {
            Some(c) => cs.push(c),
            None => {
                let t = ConfigError::InvalidValue {
                    pointer: format!("/{i}"),
                    actual: x.to_string(),
                    expected: "{\"id\": 16 hex digits, \"peer\": IP:PORT} as /v1/nodes shows".into(),
                };
                return listed(StatusCode::UNPROCESSABLE_ENTITY, &[t]);
            }
        }
    }
    told(submit_change(&h, (c, fresh), b, Change::Voters(cs)).await, c)
}
