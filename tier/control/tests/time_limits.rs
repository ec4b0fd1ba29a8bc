//! Limits derived from the bounds of a deployment: each stays within its bound for any value of the bound.

use quickcheck::QuickCheck;
use quillmount_control::TimeLimits;
use quillmount_wire::settings::SloSettings;
use std::time::Duration;

/// Maximum lag of the platform's list, as a fraction of `DrainMs`. In the deployments, `LagMs` is a quarter of `DrainMs`.
const LIST_LAG: f64 = 0.27;

#[test]
fn the_default_bounds_lead_to_the_ceilings() {
    let limits = TimeLimits::new(&SloSettings::default());
    assert_eq!(limits.change_timeout, Duration::from_millis(3_000));
    assert_eq!(limits.recent_answer, Duration::from_millis(1_500));
    assert_eq!(limits.core_silence, Duration::from_millis(1_200));
    assert_eq!(limits.direct_fetch_interval, Duration::from_millis(900));
    assert_eq!(limits.max_refusal_age, Duration::from_millis(1_000));
    assert_eq!(limits.item_silence, Duration::from_millis(4_000));
    let larger =
        SloSettings { ack_ms: 6e3, contact_ms: 5e3, drain_ms: 4e3, apply_ms: 3e3, ..SloSettings::default() };
    let expected = TimeLimits { max_refusal_age: Duration::from_millis(1_500), ..limits };
    assert_eq!(TimeLimits::new(&larger), expected);
}

#[test]
fn every_limit_is_within_its_bound() {
    fn within(bound_ms: u32) -> bool {
        let bound_ms = f64::from(bound_ms);
        let bounds = SloSettings {
            ack_ms: bound_ms,
            contact_ms: bound_ms,
            drain_ms: bound_ms,
            apply_ms: bound_ms,
            complete_s: bound_ms / 1000.0,
            ..SloSettings::default()
        };
        let limits = TimeLimits::new(&bounds);
        let bound = Duration::from_micros((bound_ms * 1000.0) as u64);
        let worst_case = limits.core_silence + limits.direct_fetch_interval + bound.mul_f64(LIST_LAG);
        limits.change_timeout <= bound
            && limits.recent_answer <= bound
            && worst_case <= bound
            && limits.max_refusal_age <= bound
            && limits.item_silence * 2 <= bound
    }
    QuickCheck::new().tests(500).quickcheck(within as fn(u32) -> bool);
}

/// The age at which a list is still published as current, the time without another one, and the fetch that follows
/// add up to less than `DrainMs`.
#[test]
fn a_process_replaces_an_old_list_within_the_bound() {
    fn within(bound_ms: u32) -> bool {
        let limits =
            TimeLimits::new(&SloSettings { drain_ms: f64::from(bound_ms), ..SloSettings::default() });
        let bound = Duration::from_millis(u64::from(bound_ms));
        let worst_case = limits.max_published_list_age + limits.max_current_list_age;
        worst_case <= bound.mul_f64(0.85)
            && limits.max_published_list_age + limits.direct_fetch_interval <= bound
    }
    QuickCheck::new().tests(500).quickcheck(within as fn(u32) -> bool);
    let limits = TimeLimits::new(&SloSettings::default());
    assert_eq!(limits.max_published_list_age, Duration::from_millis(750));
    assert_eq!(limits.max_current_list_age, Duration::from_millis(1_800));
}
