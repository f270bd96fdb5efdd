//! The phase `Received`: authenticates the call and chooses its match and pool.

use super::authorization::{invalid_key, require_fresh_view};
use crate::base::{Micros, SEC, hash64, sha256_hex};
use crate::cache::Ttl;
use crate::call::context::StepContext;
use crate::call::io::{Effect, Effects};
use crate::call::local_response::LocalResponse;
use crate::call::lookup::{LookupOutcome, lookup};
use crate::call::progress::{Halt, StepResult, or_respond};
use crate::call::rejections::RejectionReason;
use crate::call::state::{Authenticated, Call, CallRoute, CallState, Received, Routed};
use crate::config::Tenant;
use std::ops::ControlFlow;
use std::sync::Arc;

/// The maximum length of an API key, in bytes. A longer key is treated as no key.
const MAX_KEY_BYTES: usize = 512;

/// Admits a call whose head was read and starts reading its body.
pub fn admit(call: Call<Received>, context: &mut StepContext, effects: &mut Effects) -> StepResult<CallState> {
    if call.lookup_since.is_none() {
        context.shared.counters.calls.increment();
    }
    let call = adopt_newest_view(call, context)?;
    let call = authenticate(call, context)?;
    let call = choose_route(call)?;
    effects.push(Effect::ReadBody { max_bytes: call.state.route.matched.max_body });
    ControlFlow::Continue(CallState::Routed(call))
}

/// Gives the call the newest view, which is safe as no decision depends on its old view. A node that
/// may have missed a version of the configuration admits no calls.
fn adopt_newest_view(mut call: Call<Received>, context: &StepContext) -> StepResult<Call<Received>> {
    or_respond(require_fresh_view(context))?;
    call.view = context.view.clone();
    ControlFlow::Continue(call)
}

fn authenticate(mut call: Call<Received>, context: &mut StepContext) -> StepResult<Call<Authenticated>> {
    let key = call.head.api_key.as_deref().map(str::trim).filter(|key| !key.is_empty() && key.len() <= MAX_KEY_BYTES);
    let Some(key) = key else { return authenticate_anonymous(call) };
    let key_hash = sha256_hex(key.as_bytes());
    let view = call.view.clone();
    let fetch = || Ok((view.config.tenant_of_key(&key_hash).cloned(), Ttl::Default));
    match lookup(context, &view, &key_hash, call.lookup_since, fetch) {
        LookupOutcome::Resolved(Some(tenant)) => {
            call.lookup_since = None;
            call.head.api_key = None;
            ControlFlow::Continue(call.map_state(|Received| Authenticated { key_hash, tenant }))
        }
        LookupOutcome::Resolved(None) => {
            call.lookup_since = None;
            authenticate_anonymous(call)
        }
        LookupOutcome::Pending => {
            call.lookup_since = call.lookup_since.or(Some(context.now));
            ControlFlow::Break(Halt::Wait(CallState::Received(call)))
        }
        LookupOutcome::Failed(error) => {
            let response = LocalResponse::new(RejectionReason::LookupFailed, &error.to_string());
            ControlFlow::Break(Halt::Respond(response.with_retry_after(SEC)))
        }
    }
}

/// Admits a call without a known key only to a match that allows anonymous calls.
fn authenticate_anonymous(call: Call<Received>) -> StepResult<Call<Authenticated>> {
    let config = &call.view.config;
    let matched = config.find_match(&call.head.method, &call.head.host, &call.head.path);
    if config.requires_key() && matched.is_none_or(|matched| !matched.allows_anonymous) {
        return ControlFlow::Break(Halt::Respond(invalid_key()));
    }
    let tenant = Arc::new(Tenant::anonymous());
    ControlFlow::Continue(call.map_state(|Received| Authenticated { key_hash: String::new(), tenant }))
}

fn choose_route(call: Call<Authenticated>) -> StepResult<Call<Routed>> {
    let Authenticated { tenant, .. } = &call.state;
    let may_use = |name: &String| tenant.matches.as_ref().is_none_or(|allowed| allowed.contains(name));
    let matched = call.view.config.find_match(&call.head.method, &call.head.host, &call.head.path);
    let Some(matched) = matched.filter(|matched| may_use(&matched.name)).cloned() else {
        let remedy = "no match of your tenant has this method and path; ask the operator which there are";
        return ControlFlow::Break(Halt::Respond(LocalResponse::new(RejectionReason::NoMatch, remedy)));
    };
    let pool = matched.pool_for(hash64(&call.id.to_le_bytes())).to_owned();
    let deadline = call.head.time_left.map_or(Micros::MAX, |time_left| call.received_at.saturating_add(time_left));
    ControlFlow::Continue(call.map_state(|Authenticated { key_hash, tenant }| Routed {
        route: CallRoute { key_hash, tenant, matched, pool, deadline },
    }))
}
