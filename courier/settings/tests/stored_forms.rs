//! The settings object as a file: every field is read to the same value and comes to the same settings of the library.

use quillmount_policy::{Decay, Effect, EndpointState};
use quillmount_settings::{
    Limits, NameTable, SenderSettings, SettingsDecodeError, decode_settings, endpoint_state_from_code,
    endpoint_state_from_name, micros_from_millis,
};

const FULL: &str = include_str!("fixtures/settings_full.json");

fn full() -> SenderSettings {
    serde_json::from_str(FULL).unwrap()
}

#[test]
fn every_field_is_read_as_ever() {
    let env = full();
    let category = &env.classes[0];
    assert_eq!(category.name, "fee-debit");
    assert_eq!(category.effect.as_deref(), Some("fragile"));
    assert_eq!((category.latency_target_ms, category.deadline_ms), (3_000.0, 16_000.0));
    assert_eq!(
        (category.latency_target_stretch, category.value, category.late_value),
        (Some(1.5), Some(2.0), Some(0.4))
    );
    assert_eq!(category.keep_order, Some(true));
    let category = &env.classes[1];
    assert_eq!((category.dedup_scope.as_deref(), category.memory_span_ms), (Some("zone"), 6_000.0));
    assert_eq!(env.classes[2].dedup_scope.as_deref(), Some("all"));
    assert_eq!(env.deductions.cross_zone, 0.25);
    assert_eq!(env.discovery.as_deref(), Some("subscribe"));
    assert_eq!(env.zones, ["z1", "z2"]);
    assert_eq!(env.destinations.batch_by_kind, [20, 1]);
    assert_eq!(env.destinations.call_slots, Some(8));
    assert_eq!(env.destinations.decay.as_deref(), Some("halving"));
    assert_eq!(env.destinations.separate_routes, [false, true]);
    let limits = &env.limits;
    assert_eq!(
        (limits.cancel, limits.retry_after, limits.hedged_requests),
        (Some(true), Some(false), Some(false))
    );
    assert_eq!((limits.dial_timeout_ms, limits.keepalive_ms), (Some(1_000.0), Some(15_000.0)));
    assert_eq!((limits.max_attempts, limits.max_retry_after_ms), (Some(9), Some(3_500.0)));
    assert_eq!((limits.max_open_messages, limits.streams_per_connection), (Some(100), Some(2)));
    assert_eq!(env.load_report.fields, ["x0", "x1"]);
    assert_eq!(env.load_report.via.as_deref(), Some("answers"));
    assert_eq!((env.sender_index, env.sender_count, env.above_share_value), (Some(1), Some(3), Some(0.1)));
    let rules = &env.rules;
    assert_eq!((rules.slow_start_share, rules.slow_start_ms), (Some(0.22), Some(9_200.0)));
    assert_eq!((rules.overload_span_ms, rules.overload_multiple), (Some(3_000.0), Some(2.0)));
    assert_eq!((rules.key_cooldown_ms, rules.drain_grace_ms), (Some(70.0), Some(450.0)));
    assert_eq!(env.kinds, ["bank", "depot"]);
    let tenants: Vec<_> = env.tenants.iter().map(|t| (t.name.as_str(), t.allowance_per_s)).collect();
    assert_eq!(tenants, [("north", 2.5), ("south", 0.0)]);
    assert_eq!((env.weight_source.as_deref(), env.zone.as_deref()), (Some("rough"), Some("z2")));
}

#[test]
fn they_come_to_the_same_settings() {
    let mut zones = NameTable::default();
    let s = decode_settings(&full(), &mut zones).unwrap();
    assert_eq!((zones.get("z1"), zones.get("z2"), s.zone), (Some(0), Some(1), 1));
    assert_eq!(
        (s.sender_index, s.sender_count, s.slots, s.max_open_messages, s.max_attempts),
        (1, 3, 8, 100, 9)
    );
    assert_eq!((s.cancel, s.retry_after, s.max_retry_after), (true, false, 3_500_000));
    assert_eq!((s.subscription_required, s.weight_is_rate, s.weight_is_approximate), (true, true, true));
    assert_eq!(
        (s.limit_report.map(|fields| (fields.left, fields.rate)), s.keepalive, s.streams_per_connection),
        (Some((0, 1)), 15_000_000, 2)
    );
    assert_eq!(
        (s.slow_start_share, s.slow_start, s.overload_span, s.overload_multiple),
        (0.22, 9_200_000, 3_000_000, 2.0)
    );
    assert_eq!((s.key_cooldown, s.drain_grace, s.decay), (70_000, 450_000, Decay::Halving));
    assert_eq!((s.above_share_value, s.cross_zone_price), (0.1, 0.25));
    assert_eq!(s.tenants, [2.5, 0.0]);
    let kinds: Vec<_> = s.kinds.iter().map(|kind| (kind.separate_routes, kind.batch)).collect();
    assert_eq!(kinds, [(false, 20), (true, 1)]);
    let classes: Vec<_> = s.classes.iter().map(|class| class.effect).collect();
    let keyed = |by_zone| Effect::Deduplicated { span: 6_000_000, by_zone };
    assert_eq!(
        classes,
        [Effect::NonIdempotent, keyed(true), keyed(false), Effect::Idempotent, Effect::NonIdempotent]
    );
    let class = &s.classes[0];
    assert_eq!(
        (class.latency_target, class.latency_target_stretch, class.deadline),
        (3_000_000, 1.5, 16_000_000)
    );
    assert_eq!((class.value, class.late_value, class.keep_order), (2.0, 0.4, true));
    let class = &s.classes[4];
    assert_eq!((class.latency_target, class.latency_target_stretch, class.deadline), (0, 0.0, 0));
    assert_eq!((class.value, class.late_value, class.keep_order), (1.0, 0.0, false));
}

/// Fields that are absent, and values that are not known.
#[test]
fn what_is_absent_or_unknown_is_taken_as_ever() {
    let read = |text: &str| serde_json::from_str::<SenderSettings>(text).unwrap();
    let s = decode_settings(&read("{}"), &mut NameTable::default()).unwrap();
    assert_eq!(
        (s.sender_index, s.sender_count, s.slots, s.max_open_messages, s.max_attempts),
        (0, 1, 16, 1_000, 3)
    );
    assert_eq!((s.cancel, s.retry_after, s.max_retry_after), (false, true, 3_000_000));
    assert_eq!((s.subscription_required, s.weight_is_rate, s.weight_is_approximate), (false, false, true));
    assert_eq!(
        (s.keepalive, s.streams_per_connection, s.slow_start_share, s.slow_start),
        (5_000_000, 1, 0.2, 10_000_000)
    );
    assert_eq!(
        (s.overload_span, s.overload_multiple, s.key_cooldown, s.drain_grace),
        (2_000_000, 1.5, 0, 500_000)
    );
    assert_eq!((s.decay, s.above_share_value, s.cross_zone_price), (Decay::Linear, 1.0, 0.0));
    let odd =
        read(r#"{"weight_source": "nominal", "categories": [{"name": "x", "effect": "odd"}], "unknown": 1}"#);
    let error = decode_settings(&odd, &mut NameTable::default()).err().unwrap();
    assert_eq!(error, SettingsDecodeError::UnknownEffect("odd".into()));
    assert_eq!(error.to_string(), "effect: \"odd\" is not known");
}

#[test]
fn states_of_the_list_have_the_same_codes_and_names() {
    let states = [
        (0, "gone", EndpointState::Gone),
        (1, "ready", EndpointState::Ready),
        (2, "draining", EndpointState::Draining),
    ];
    for (code, name, state) in states {
        assert_eq!((endpoint_state_from_code(code), endpoint_state_from_name(name)), (Ok(state), Ok(state)));
    }
    assert!(endpoint_state_from_code(3).is_err() && endpoint_state_from_name("Ready").is_err());
}

/// Operators and the simulator's logs have seen these texts.
#[test]
fn errors_have_the_same_texts() {
    let long = SenderSettings {
        limits: Limits { keepalive_ms: Some(1e13), ..Limits::default() },
        ..SenderSettings::default()
    };
    let error = decode_settings(&long, &mut NameTable::default()).err().unwrap();
    assert_eq!(error.to_string(), "keepalive_ms: 10000000000000 is not a time");
    let error = micros_from_millis("moment_ms", f64::NAN).unwrap_err();
    assert_eq!(error.to_string(), "moment_ms: NaN is not a time");
    assert_eq!(endpoint_state_from_code(3).unwrap_err().to_string(), "state: no state has the code 3");
    assert_eq!(endpoint_state_from_name("Ready").unwrap_err().to_string(), "state: \"Ready\" is not known");
}

/// Numbers and names of an instance, as one process hands them to the next.
#[test]
fn names_are_handed_over_as_ever() {
    let mut names = NameTable::default();
    assert_eq!(["a", "b", "c"].map(|name| names.intern(name)), [0, 1, 2]);
    names.remove(1);
    let text = serde_json::to_string(&names).unwrap();
    assert_eq!(text, r#"{"to_number":{"a":0,"c":2},"to_name":{"0":"a","2":"c"},"next":3}"#);
    let mut read: NameTable = serde_json::from_str(&text).unwrap();
    assert_eq!((read.get("a"), read.get("b"), read.resolve(2)), (Some(0), None, "c"));
    assert_eq!(read.intern("d"), 3);
}
