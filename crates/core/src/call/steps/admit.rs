use crate::base::{MS, Micros, SEC, hash64, sha256_hex};
use crate::cache::Ttl;
use crate::call::context::StepContext;
use crate::call::io::{Effect, Effects};
use crate::call::local_response::LocalResponse;
use crate::call::lookup::{LookupOutcome, lookup};
use crate::call::progress::{Halt, StepResult};
use crate::call::rejections::RejectionReason;
use crate::call::state::{Authenticated, Call, CallRoute, CallState, Received, Routed};
use crate::config::Tenant;
use std::sync::Arc;

pub fn admit(c: Call<Received>, cx: &mut StepContext, out: &mut Effects) -> StepResult<CallState> {
    if c.lookup_since.is_none() {
        cx.shared.counters.calls.increment();
    }
    let c = fresh(c, cx)?;
    let c = key(c, cx)?;
    let c = pick(c)?;
    out.push(Effect::ReadBody { max_bytes: c.state.route.matched.max_body });
    Ok(CallState::Routed(c))
}

fn stale(cx: &StepContext) -> LocalResponse {
    let t = "this node can't tell whether its configuration is the newest; come back or use another node";
    let reason = if cx.view.version.is_none() { RejectionReason::NoConfiguration } else { RejectionReason::OldStamp };
    LocalResponse::new(reason, t).with_retry_after(2 * SEC)
}

fn unknown() -> LocalResponse {
    LocalResponse::new(RejectionReason::Key, "send a tenant key that is in force as: Authorization: Bearer KEY")
}

/// A node that may have missed a version admits nothing.
fn fresh(mut c: Call<Received>, cx: &StepContext) -> StepResult<Call<Received>> {
    if !cx.view.may_admit(cx.now) {
        return Err(Halt::Respond(stale(cx)));
    }
    // Nothing was decided for it yet, so it begins with the newest picture.
    c.view = cx.view.clone();
    Ok(c)
}

/// Asked again before each try: is the node still fresh and the key still good?
pub fn still(w: &CallRoute, cx: &StepContext) -> Result<(), LocalResponse> {
    if !cx.view.may_admit(cx.now) {
        return Err(stale(cx));
    }
    let p = &cx.view.config;
    let m = p
        .matches
        .get(&w.matched.name)
        .filter(|m| m.host == w.matched.host && m.path_prefix == w.matched.path_prefix && m.path == w.matched.path);
    let open = !p.requires_key() || m.is_some_and(|m| m.allows_anonymous);
    if !open && p.tenant_of_key(&w.key_hash).is_none() {
        return Err(unknown());
    }
    if m.is_none_or(|m| !m.pools().any(|p| p == w.pool)) {
        let t = "a new configuration came in between; send the call again";
        return Err(LocalResponse::new(RejectionReason::Moved, t).with_retry_after(20 * MS));
    }
    Ok(())
}

/// Who calls without a key that is known: only open matches take them.
fn nobody(c: Call<Received>) -> StepResult<Call<Authenticated>> {
    let p = &c.view.config;
    let m = p.find(&c.head.method, &c.head.host, &c.head.path);
    if p.requires_key() && m.is_none_or(|m| !m.allows_anonymous) {
        return Err(Halt::Respond(unknown()));
    }
    Ok(c.map_state(|Received| Authenticated { key: String::new(), tenant: Arc::new(Tenant::anonymous()) }))
}

fn key(mut c: Call<Received>, cx: &mut StepContext) -> StepResult<Call<Authenticated>> {
    let k = c.head.api_key.as_deref().map(str::trim).filter(|s| !s.is_empty() && s.len() <= 512);
    let Some(k) = k else { return nobody(c) };
    let key = sha256_hex(k.as_bytes());
    let v = c.view.clone();
    match lookup(cx, &v, &key, c.lookup_since, || Ok((v.config.tenant_of_key(&key).cloned(), Ttl::Usual))) {
        LookupOutcome::Found(Some(tenant)) => {
            c.lookup_since = None;
            c.head.api_key = None;
            Ok(c.map_state(|Received| Authenticated { key, tenant }))
        }
        LookupOutcome::Found(None) => {
            c.lookup_since = None;
            nobody(c)
        }
        LookupOutcome::InProgress => {
            c.lookup_since = c.lookup_since.or(Some(cx.now));
            Err(Halt::Wait(CallState::Received(c)))
        }
        LookupOutcome::Failed(e) => {
            Err(Halt::Respond(LocalResponse::new(RejectionReason::Lookup, &e.to_string()).with_retry_after(SEC)))
        }
    }
}

fn pick(c: Call<Authenticated>) -> StepResult<Call<Routed>> {
    let m = c
        .view
        .config
        .find(&c.head.method, &c.head.host, &c.head.path)
        .filter(|m| c.state.tenant.matches.as_ref().is_none_or(|v| v.contains(&m.name)))
        .cloned();
    match m {
        Some(m) => {
            let pool = m.pool_for(hash64(&c.id.to_le_bytes())).to_owned();
            let end = c.head.time_left.map_or(Micros::MAX, |l| c.received_at.saturating_add(l));
            Ok(c.map_state(|s| Routed {
                route: CallRoute { key_hash: s.key, tenant: s.tenant, matched: m, pool, deadline: end },
            }))
        }
        None => {
            let t = "no match of your tenant has this method and path; ask the operator which there are";
            Err(Halt::Respond(LocalResponse::new(RejectionReason::NoMatch, t)))
        }
    }
}
