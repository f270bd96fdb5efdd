//! The authorization of a call: this node's view is fresh, the key is valid and the route exists.

use crate::base::{MS, SEC};
use crate::call::context::StepContext;
use crate::call::local_response::LocalResponse;
use crate::call::rejections::RejectionReason;
use crate::call::state::CallRoute;
use crate::config::CompiledConfig;

/// Rejects the call if this node may have missed a version of the configuration.
pub(super) fn require_fresh_view(context: &StepContext) -> Result<(), LocalResponse> {
    if context.view.may_admit(context.now) {
        return Ok(());
    }
    let remedy = "this node can't tell whether its configuration is the newest; come back or use another node";
    let reason =
        if context.view.version.is_none() { RejectionReason::NoConfiguration } else { RejectionReason::StaleView };
    Err(LocalResponse::new(reason, remedy).with_retry_after(2 * SEC))
}

/// Creates the response to a call without a valid key.
pub(super) fn invalid_key() -> LocalResponse {
    LocalResponse::new(RejectionReason::InvalidKey, "send a tenant key that is in force as: Authorization: Bearer KEY")
}

/// Checks that the view is still fresh, the key is still valid and the match still routes to the
/// pool. Called before each attempt and after each wait.
pub(super) fn reauthorize(route: &CallRoute, context: &StepContext) -> Result<(), LocalResponse> {
    require_fresh_view(context)?;
    reauthorize_by(&context.view.config, route)
}

fn reauthorize_by(config: &CompiledConfig, route: &CallRoute) -> Result<(), LocalResponse> {
    let admitted_by = &route.matched;
    let current = config.matches.get(&admitted_by.name).filter(|current| {
        current.host == admitted_by.host
            && current.path_prefix == admitted_by.path_prefix
            && current.path == admitted_by.path
    });
    let is_open = !config.requires_key() || current.is_some_and(|current| current.allows_anonymous);
    if !is_open && config.tenant_of_key(&route.key_hash).is_none() {
        return Err(invalid_key());
    }
    if current.is_none_or(|current| !current.pools().any(|pool| pool == route.pool)) {
        let remedy = "a new configuration came in between; send the call again";
        return Err(LocalResponse::new(RejectionReason::RouteMoved, remedy).with_retry_after(20 * MS));
    }
    Ok(())
}
