//! Autoscaling: the desired number of endpoints for a demand.

use quillmount_control::Scaler;
use quillmount_wire::configuration::Autoscale;

/// Microseconds in a second.
const SECOND: u64 = 1_000_000;

/// Bounds of 3 to 12 endpoints, each with a start-up time of 4 s.
fn bounds() -> Autoscale {
    Autoscale { floor: 3.0, ceiling: 12.0, boot_s: Some(4.0) }
}

#[test]
fn scales_up_at_once_and_down_only_after_the_peak_has_left_the_window() {
    let mut scaler = Scaler::default();
    assert_eq!(scaler.desired(SECOND, 0.0, 16.0, 3, &bounds()), 3);
    assert_eq!(scaler.desired(2 * SECOND, 288.0, 16.0, 3, &bounds()), 8);
    assert_eq!(scaler.desired(5 * SECOND, 10.0, 16.0, 3, &bounds()), 8);
    assert_eq!(scaler.desired(11 * SECOND, 10.0, 16.0, 3, &bounds()), 3);
}

#[test]
fn stays_within_the_bounds() {
    let mut scaler = Scaler::default();
    assert_eq!(scaler.desired(SECOND, 1e9, 16.0, 3, &bounds()), 12);
    let reversed = Autoscale { floor: 5.0, ceiling: 2.0, boot_s: None };
    assert_eq!(scaler.desired(SECOND, 0.0, 0.0, 0, &reversed), 5);
}
