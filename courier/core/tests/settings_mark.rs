//! The fingerprint with which two processes compare their settings during an upgrade does not depend on names in the code.

use quillmount_core::router::{self, StreamLimits};
use quillmount_settings::{Category, DestinationSettings, SenderSettings, Tenant};

fn category(name: &str, effect: &str, scope: Option<&str>) -> Category {
    Category {
        name: name.into(),
        effect: Some(effect.into()),
        dedup_scope: scope.map(String::from),
        memory_span_ms: 6_000.0,
        latency_target_ms: 3_000.0,
        latency_target_stretch: Some(0.5),
        deadline_ms: 16_000.0,
        value: Some(2.0),
        late_value: Some(0.4),
        keep_order: Some(true),
    }
}

/// The expected numbers were printed by the version before names in the code changed.
#[test]
fn the_fingerprint_of_the_settings_is_that_of_earlier_versions() {
    let settings = SenderSettings {
        classes: vec![
            category("fee-debit", "fragile", None),
            category("paid-notice", "dedup", Some("zone")),
            category("quote", "retryable", None),
        ],
        kinds: vec!["bank".into(), "post".into()],
        tenants: vec![Tenant { name: "a".into(), allowance_per_s: 12.5 }],
        destinations: DestinationSettings {
            batch_by_kind: vec![20, 1],
            call_slots: Some(24),
            decay: Some("halving".into()),
            separate_routes: vec![false, true],
        },
        zones: vec!["north".into(), "south".into()],
        zone: Some("south".into()),
        weight_source: Some("rough".into()),
        sender_count: Some(3),
        sender_index: Some(1),
        above_share_value: Some(0.25),
        ..SenderSettings::default()
    };
    let streams = StreamLimits { max_open: 9, share_of_slots: 0.5, share_of_window: 0.25 };
    assert_eq!(router::settings_fingerprint(&settings, None).unwrap(), 1_007_876_127);
    assert_eq!(router::settings_fingerprint(&settings, Some(streams)).unwrap(), 1_988_841_366);
}
