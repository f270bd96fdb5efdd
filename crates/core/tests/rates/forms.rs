//! The forms of a quota, and the effective settings of a tenant.

use sumacvale_core::base::SEC;
use sumacvale_core::config::{CompiledConfig, QuotaLimit, Rate, effective_settings, validate};
use sumacvale_core::quota::AcquireOutcome;

#[test]
fn a_quota_has_three_forms() {
    let document = r#"{"defaults":{"quota":{"rate":38,"burst":38,"over":0.06,"slack":29}},"tenants":{
        "a":{"keys":[]},"b":{"keys":[],"quota":"none"},"c":{"keys":[],"quota":{"calls":5,"window_ms":1000}},
        "d":{"keys":[],"quota":{"rate":0.5,"burst":2}}}}"#;
    let config = validate(document).unwrap();
    for (tenant, expected, shown) in [
        (
            "a",
            QuotaLimit::Rate(Rate { milli_per_second: 40_280, burst_milli: 50_280 }),
            r#""quota":{"rate":40.28,"burst":50.28}"#,
        ),
        ("b", QuotaLimit::Unlimited, r#""quota":"none""#),
        (
            "d",
            QuotaLimit::Rate(Rate { milli_per_second: 500, burst_milli: 2_000 }),
            r#""quota":{"rate":0.5,"burst":2}"#,
        ),
    ] {
        assert_eq!(config.tenants[tenant].quota, expected, "{tenant}");
        assert!(effective_settings(&config, "tenants", tenant).unwrap().contains(shown), "{tenant}");
    }
    assert!(matches!(config.tenants["c"].quota, QuotaLimit::Window(quota) if quota.calls == 5));
}

#[test]
fn the_effective_settings_of_a_tenant_name_its_urgency() {
    let config = validate(r#"{"tenants":{"a":{"keys":[],"urgency":3},"b":{"keys":[]}}}"#).unwrap();
    for (tenant, shown) in [("a", r#""urgency":3"#), ("b", r#""urgency":null"#)] {
        let settings = effective_settings(&config, "tenants", tenant).unwrap();
        assert!(settings.contains(shown), "{settings}");
    }
}

#[test]
fn an_unlimited_tenant_makes_no_requests() {
    let slices = sumacvale_core::quota::TenantQuotas::default();
    slices.rates.apply_config(&CompiledConfig::compile(1, r#"{"tenants":{"b":{"keys":[],"quota":"none"}}}"#), 0);
    for now in 0..1_000 {
        assert!(matches!(slices.acquire_unit("b", now), AcquireOutcome::Acquired { is_low: false, .. }));
    }
    assert!(slices.rates.due_requests(|_| true, SEC).is_empty());
}
