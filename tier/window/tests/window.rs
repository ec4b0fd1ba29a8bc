//! Tests of the latency window: growth, shrinking and limits.

use quickcheck::QuickCheck;
use quillmount_window::{Parameters, Window, max_window};

const SLOTS: u32 = 16;

#[test]
fn a_new_endpoint_starts_with_half_of_the_largest_window() {
    assert_eq!(max_window(SLOTS), 12);
    assert_eq!(Window::new(Parameters::default(), SLOTS).size(), 6);
    assert_eq!(Window::new(Parameters::default(), 1).size(), 1);
}

#[test]
fn the_first_sample_sets_the_smoothed_latency_and_later_samples_have_a_weight_of_three_tenths() {
    let mut window = Window::new(Parameters::default(), SLOTS);
    window.record_latency(1, 100_000.0, SLOTS);
    assert_eq!(window.smoothed_latency(), Some(100_000.0));
    window.record_latency(2, 200_000.0, SLOTS);
    assert!((window.smoothed_latency().unwrap() - 130_000.0).abs() < 1e-6);
    assert_eq!(window.baseline(), 100_000.0);
}

#[test]
fn steady_latency_grows_the_window_to_its_maximum_and_a_slow_endpoint_shrinks_it() {
    let mut window = Window::new(Parameters::default(), SLOTS);
    (0..20).for_each(|now| window.record_latency(now, 50_000.0, SLOTS));
    assert_eq!(window.size(), 12);
    (20..40).for_each(|now| window.record_latency(now, 2_000_000.0, SLOTS));
    assert!(window.size() <= 2, "{}", window.size());
}

#[test]
fn a_refusal_halves_the_window_and_never_closes_it() {
    let mut window = Window::new(Parameters::default(), SLOTS);
    window.record_refusal(SLOTS);
    assert_eq!(window.size(), 3);
    (0..10).for_each(|_| window.record_refusal(SLOTS));
    assert_eq!(window.size(), 1);
}

#[test]
fn the_size_stays_between_one_and_the_largest() {
    fn stays_within_limits(samples: Vec<(u32, bool)>, slots: u8) -> bool {
        let slots = u32::from(slots);
        let mut window = Window::new(Parameters::default(), slots);
        samples.into_iter().enumerate().all(|(now, (latency, refused))| {
            if refused {
                window.record_refusal(slots);
            } else {
                window.record_latency(now as u64, f64::from(latency), slots);
            }
            (1..=max_window(slots)).contains(&window.size())
        })
    }
    QuickCheck::new().tests(500).quickcheck(stays_within_limits as fn(Vec<(u32, bool)>, u8) -> bool);
}
