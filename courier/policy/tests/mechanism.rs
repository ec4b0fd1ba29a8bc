//! The mechanism's arithmetic, number by number, through the interface.

mod common;
use common::*;
use quillmount_policy::*;

fn near(a: f64, b: f64) {
    assert!((a - b).abs() < 1e-6 * b.abs().max(1.0), "{a} is not {b}");
}

/// A world with one destination of one endpoint and eight slots: the cap is six calls.
fn world() -> World {
    let mut w = World::new(settings(8), 1);
    w.list(ListUpdate::Full, &[entry(0, 5)]);
    w
}

#[test]
fn a_new_route_starts_at_half_the_cap() {
    let w = world();
    near(w.dispatcher.route(0).unwrap().window, 3.0);
    assert_eq!(w.dispatcher.route(0).unwrap().smoothed_latency, None);
}

#[test]
fn cal_starts_at_the_first_sample_and_then_averages() {
    let mut w = world();
    w.submit(0, 5);
    w.finish_after(0, 100_000, Outcome::Ok);
    near(w.dispatcher.route(0).unwrap().smoothed_latency.unwrap(), 100_000.0);
    w.submit(0, 5);
    w.finish_after(1, 200_000, Outcome::Ok);
    near(w.dispatcher.route(0).unwrap().smoothed_latency.unwrap(), 0.3 * 200_000.0 + 0.7 * 100_000.0);
}

#[test]
fn cal_has_a_floor_of_one_millisecond() {
    let mut w = world();
    w.submit(0, 5);
    w.finish_after(0, 10, Outcome::Ok);
    near(w.dispatcher.route(0).unwrap().smoothed_latency.unwrap(), 1_000.0);
}

#[test]
fn the_window_grows_by_the_ratio_and_the_constant_when_it_was_full() {
    let mut w = world();
    for _ in 0..4 {
        w.submit(0, 5);
    }
    assert_eq!(w.dispatcher.route(0).unwrap().in_flight, 3, "the fourth waits for the window");
    w.finish_after(0, 100_000, Outcome::Ok);
    // Threshold / CAL is sixteen here: 0.98 x 3 + 0.02 x (16 x 3 + 0.1).
    near(w.dispatcher.route(0).unwrap().window, 3.902);
    w.finish_after(1, 0, Outcome::Ok);
    // The one that waited fills it.
    near(w.dispatcher.route(0).unwrap().window, 0.98 * 3.902 + 0.02 * (16.0 * 3.902 + 0.1));
}

#[test]
fn an_idle_window_does_not_grow() {
    let mut w = world();
    w.submit(0, 5);
    w.finish_after(0, 100_000, Outcome::Ok);
    near(w.dispatcher.route(0).unwrap().window, 3.0);
}

#[test]
fn latency_past_the_threshold_shrinks_the_window_in_proportion() {
    let mut w = world();
    w.submit(0, 5);
    w.finish_after(0, 10_000, Outcome::Ok);
    w.submit(0, 5);
    w.finish_after(1, 4_000_000, Outcome::Ok);
    let cal = 0.3 * 4_000_000.0 + 0.7 * 10_000.0;
    near(w.dispatcher.route(0).unwrap().smoothed_latency.unwrap(), cal);
    near(w.dispatcher.route(0).unwrap().threshold, 160_000.0);
    near(w.dispatcher.route(0).unwrap().window, 0.98 * 3.0 + 0.02 * (160_000.0 / cal * 3.0 + 0.1));
}

#[test]
fn the_baseline_is_what_the_fastest_tenth_of_a_minute_beat() {
    let mut w = world();
    for n in 0..10u64 {
        w.submit(0, 5);
        w.finish_after(n, 100_000 - n * 1_000, Outcome::Ok);
    }
    // Ten samples of 91 to 100 ms: the second fastest.
    near(w.dispatcher.route(0).unwrap().threshold, 1_472_000.0);
    w.pass(61_000_000);
    w.submit(0, 5);
    w.finish_after(10, 300_000, Outcome::Ok);
    near(w.dispatcher.route(0).unwrap().threshold, 4_800_000.0);
}

#[test]
fn a_timeout_is_a_sample_at_full_length() {
    let mut w = world();
    w.submit(0, 5);
    w.finish_after(0, 100_000, Outcome::Ok);
    w.submit(0, 5);
    w.finish_after(1, 1_500_000, Outcome::Timeout);
    near(w.dispatcher.route(0).unwrap().smoothed_latency.unwrap(), 0.3 * 1_500_000.0 + 0.7 * 100_000.0);
}

#[test]
fn refusals_of_calls_in_flight_together_halve_the_window_once() {
    let mut w = world();
    for _ in 0..3 {
        w.submit(0, 5);
    }
    w.pass(1_200_000);
    w.finish_after(0, 0, Outcome::Full);
    near(w.dispatcher.route(0).unwrap().window, 1.5);
    w.finish_after(1, 0, Outcome::Full);
    near(w.dispatcher.route(0).unwrap().window, 1.5);
}

#[test]
fn quick_errors_are_no_latency_samples() {
    let mut w = world();
    w.submit(0, 5);
    w.finish_after(0, 100_000, Outcome::Ok);
    w.submit(0, 5);
    w.finish_after(1, 2_000, Outcome::Error);
    near(w.dispatcher.route(0).unwrap().smoothed_latency.unwrap(), 100_000.0);
    near(w.dispatcher.route(0).unwrap().window, 3.0);
}

#[test]
fn calls_to_one_destination_stay_under_three_quarters_of_the_slots() {
    let mut set = settings(8);
    set.kinds[0].separate_routes = true;
    let mut w = World::new(set, 1);
    w.list(ListUpdate::Full, &[entry(0, 5), entry(1, 5), entry(2, 5)]);
    for _ in 0..20 {
        w.submit(0, 5);
    }
    assert_eq!(w.in_flight.len(), 6);
}

#[test]
fn below_one_the_window_is_a_pace() {
    let mut w = world();
    w.submit(0, 5);
    w.finish_after(0, 500_000, Outcome::Ok);
    // Three refusals more than a second apart: 3, 1.5, 0.75.
    for n in 1..3u64 {
        w.submit(1, 5);
        w.pass(1_500_000);
        w.finish_after(n, 0, Outcome::Full);
    }
    near(w.dispatcher.route(0).unwrap().window, 0.75);
}

#[test]
fn the_least_time_out_is_two_thirds_of_the_shortest_deduplication_span() {
    for span in [3 * SEC, 6 * SEC] {
        let mut set = settings(8);
        set.classes[1].effect = Effect::Deduplicated { span, by_zone: false };
        let mut w = World::new(set, 1);
        w.list(ListUpdate::Full, &[entry(0, 5)]);
        let m = w.submit(0, 5);
        assert_eq!(w.in_flight[&(m, 0)].2, 2 * span / 3);
    }
}
