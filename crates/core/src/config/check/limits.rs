//! The quotas of tenants: calls in a time window, or a rate with a burst.

use super::ConfigError;
use super::reader::ObjectReader;
use crate::base::MS;
use crate::config::{QuotaLimit, QuotaMeasure, Rate, WindowQuota};
use sonic_rs::JsonValueTrait;

/// The members of a rate.
const RATE_MEMBERS: [&str; 6] = ["rate", "burst", "over", "slack", "measure", "untold"];
/// The members of a window quota.
const WINDOW_MEMBERS: [&str; 2] = ["calls", "window_ms"];
/// The maximum rate and burst, in thousandths of units.
const MAX_RATE_MILLI: u64 = 1_000_000_000_000;
/// A unit may be used up to `1 / LATE_USE_DIVISOR` seconds after its grant.
const LATE_USE_DIVISOR: u64 = 2;

/// Reads the limit of a tenant or of the defaults and the unit that the limit counts; `None` if the limit is
/// absent or invalid.
pub fn quota(parent: &ObjectReader, errors: &mut Vec<ConfigError>) -> Option<(QuotaLimit, QuotaMeasure)> {
    let value = parent.member("quota")?;
    if value.is_str() {
        if value.as_str() == Some("none") {
            return Some((QuotaLimit::Unlimited, QuotaMeasure::Calls));
        }
        parent.reject("quota", "\"none\", a rate with a burst, or calls in a window_ms", errors);
        return None;
    }
    let quota = parent.object("quota", errors);
    if RATE_MEMBERS.iter().any(|name| quota.member(name).is_some()) {
        return rate_quota(&quota, errors);
    }
    window_quota(&quota, errors)
}

fn window_quota(quota: &ObjectReader, errors: &mut Vec<ConfigError>) -> Option<(QuotaLimit, QuotaMeasure)> {
    quota.reject_unknown(&WINDOW_MEMBERS, errors);
    for name in WINDOW_MEMBERS {
        quota.require(name, "a whole number", errors);
    }
    let calls = quota.integer("calls", 1, 1_000_000_000, errors);
    let window_ms = quota.integer("window_ms", 100, 86_400_000, errors);
    Some((QuotaLimit::Window(WindowQuota { calls: calls?, window: window_ms? * MS }), QuotaMeasure::Calls))
}

/// Reads a rate. `over` (a fraction) and `slack` (units) set by how much the limit may be exceeded. The
/// rate includes this allowance in full, minus the units that late use may add to an interval.
fn rate_quota(quota: &ObjectReader, errors: &mut Vec<ConfigError>) -> Option<(QuotaLimit, QuotaMeasure)> {
    quota.reject_unknown(&RATE_MEMBERS, errors);
    for name in ["rate", "burst"] {
        quota.require(name, "a number", errors);
    }
    let rate = quota.thousandths("rate", 1, MAX_RATE_MILLI, errors);
    let burst = quota.thousandths("burst", 1_000, MAX_RATE_MILLI, errors);
    let over = quota.thousandths("over", 0, 1_000, errors).unwrap_or(0);
    let slack = quota.thousandths("slack", 0, MAX_RATE_MILLI, errors).unwrap_or(0);
    let measure = measure(quota, errors)?;
    let (rate, burst) = (rate?, burst?);
    let allowance = slack + burst * over / 1000;
    let late_use = rate / LATE_USE_DIVISOR;
    let burst_milli = match measure {
        QuotaMeasure::Calls => burst + allowance.saturating_sub(late_use),
        // A few calls may use a large part of a limit in tokens, so late use is subtracted from the
        // burst itself where the slack doesn't cover it.
        QuotaMeasure::Tokens { .. } => (burst + allowance).saturating_sub(late_use).max(burst / 2),
    };
    Some((QuotaLimit::Rate(Rate { milli_per_second: rate + rate * over / 1000, burst_milli }), measure))
}

/// Reads the unit that a rate counts: calls, unless the document names tokens.
fn measure(quota: &ObjectReader, errors: &mut Vec<ConfigError>) -> Option<QuotaMeasure> {
    let default_units =
        quota.integer("untold", 1, u64::from(u32::MAX), errors).and_then(|units| u32::try_from(units).ok());
    match quota.member("measure").map(|value| value.as_str()) {
        None | Some(Some("calls")) => Some(QuotaMeasure::Calls),
        Some(Some("tokens")) => Some(QuotaMeasure::Tokens { default_units: default_units.unwrap_or(1) }),
        Some(_) => {
            quota.reject("measure", "calls or tokens", errors);
            None
        }
    }
}
