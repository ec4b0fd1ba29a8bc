//! The arithmetic of the latency window, checked through the public interface.

mod common;
use common::*;
use quillmount_policy::*;

fn assert_near(actual: f64, expected: f64) {
    assert!((actual - expected).abs() < 1e-6 * expected.abs().max(1.0), "{actual} is not {expected}");
}

/// A world with one destination of one endpoint and eight slots; the window is at most six calls.
fn new_world() -> World {
    let mut world = World::new(settings(8), 1);
    world.list(ListUpdate::Full, &[entry(0, 5)]);
    world
}

#[test]
fn a_new_route_starts_at_half_the_cap() {
    let world = new_world();
    assert_near(world.dispatcher.route(0).unwrap().window, 3.0);
    assert_eq!(world.dispatcher.route(0).unwrap().smoothed_latency, None);
}

#[test]
fn cal_starts_at_the_first_sample_and_then_averages() {
    let mut world = new_world();
    world.submit(0, 5);
    world.finish_after(0, 100_000, Outcome::Ok);
    assert_near(world.dispatcher.route(0).unwrap().smoothed_latency.unwrap(), 100_000.0);
    world.submit(0, 5);
    world.finish_after(1, 200_000, Outcome::Ok);
    assert_near(
        world.dispatcher.route(0).unwrap().smoothed_latency.unwrap(),
        0.3 * 200_000.0 + 0.7 * 100_000.0,
    );
}

#[test]
fn cal_has_a_floor_of_one_millisecond() {
    let mut world = new_world();
    world.submit(0, 5);
    world.finish_after(0, 10, Outcome::Ok);
    assert_near(world.dispatcher.route(0).unwrap().smoothed_latency.unwrap(), 1_000.0);
}

#[test]
fn a_full_window_grows_by_the_ratio_and_the_constant() {
    let mut world = new_world();
    for _ in 0..4 {
        world.submit(0, 5);
    }
    assert_eq!(world.dispatcher.route(0).unwrap().in_flight, 3, "the fourth waits for the window");
    world.finish_after(0, 100_000, Outcome::Ok);
    // Threshold / CAL is 16 here: 0.98 x 3 + 0.02 x (16 x 3 + 0.1).
    assert_near(world.dispatcher.route(0).unwrap().window, 3.902);
    world.finish_after(1, 0, Outcome::Ok);
    // The fourth message, which waited, fills the window again.
    assert_near(world.dispatcher.route(0).unwrap().window, 0.98 * 3.902 + 0.02 * (16.0 * 3.902 + 0.1));
}

#[test]
fn a_window_that_delays_no_message_does_not_grow() {
    let mut world = new_world();
    world.submit(0, 5);
    world.finish_after(0, 100_000, Outcome::Ok);
    assert_near(world.dispatcher.route(0).unwrap().window, 3.0);
}

#[test]
fn latency_above_the_threshold_shrinks_the_window_in_proportion() {
    let mut world = new_world();
    world.submit(0, 5);
    world.finish_after(0, 10_000, Outcome::Ok);
    world.submit(0, 5);
    world.finish_after(1, 4_000_000, Outcome::Ok);
    let cal = 0.3 * 4_000_000.0 + 0.7 * 10_000.0;
    assert_near(world.dispatcher.route(0).unwrap().smoothed_latency.unwrap(), cal);
    assert_near(world.dispatcher.route(0).unwrap().threshold, 160_000.0);
    assert_near(world.dispatcher.route(0).unwrap().window, 0.98 * 3.0 + 0.02 * (160_000.0 / cal * 3.0 + 0.1));
}

#[test]
fn the_baseline_is_the_lower_decile_of_the_last_minute() {
    let mut world = new_world();
    for n in 0..10u64 {
        world.submit(0, 5);
        world.finish_after(n, 100_000 - n * 1_000, Outcome::Ok);
    }
    // Of ten samples of 91 to 100 ms, the baseline is the second lowest.
    assert_near(world.dispatcher.route(0).unwrap().threshold, 1_472_000.0);
    world.pass(61_000_000);
    world.submit(0, 5);
    world.finish_after(10, 300_000, Outcome::Ok);
    assert_near(world.dispatcher.route(0).unwrap().threshold, 4_800_000.0);
}

#[test]
fn a_time_out_counts_as_a_latency_sample() {
    let mut world = new_world();
    world.submit(0, 5);
    world.finish_after(0, 100_000, Outcome::Ok);
    world.submit(0, 5);
    world.finish_after(1, 1_500_000, Outcome::Timeout);
    assert_near(
        world.dispatcher.route(0).unwrap().smoothed_latency.unwrap(),
        0.3 * 1_500_000.0 + 0.7 * 100_000.0,
    );
}

#[test]
fn refusals_of_calls_in_flight_together_halve_the_window_once() {
    let mut world = new_world();
    for _ in 0..3 {
        world.submit(0, 5);
    }
    world.pass(1_200_000);
    world.finish_after(0, 0, Outcome::Full);
    assert_near(world.dispatcher.route(0).unwrap().window, 1.5);
    world.finish_after(1, 0, Outcome::Full);
    assert_near(world.dispatcher.route(0).unwrap().window, 1.5);
}

#[test]
fn errors_are_no_latency_samples() {
    let mut world = new_world();
    world.submit(0, 5);
    world.finish_after(0, 100_000, Outcome::Ok);
    world.submit(0, 5);
    world.finish_after(1, 2_000, Outcome::Error);
    assert_near(world.dispatcher.route(0).unwrap().smoothed_latency.unwrap(), 100_000.0);
    assert_near(world.dispatcher.route(0).unwrap().window, 3.0);
}

#[test]
fn calls_to_one_destination_stay_under_three_quarters_of_the_slots() {
    let mut set = settings(8);
    set.kinds[0].separate_routes = true;
    let mut world = World::new(set, 1);
    world.list(ListUpdate::Full, &[entry(0, 5), entry(1, 5), entry(2, 5)]);
    for _ in 0..20 {
        world.submit(0, 5);
    }
    assert_eq!(world.in_flight.len(), 6);
}

#[test]
fn refusals_reduce_the_window_below_one() {
    let mut world = new_world();
    world.submit(0, 5);
    world.finish_after(0, 500_000, Outcome::Ok);
    // Two refusals more than a second apart halve the window of 3 twice: 1.5, 0.75.
    for n in 1..3u64 {
        world.submit(1, 5);
        world.pass(1_500_000);
        world.finish_after(n, 0, Outcome::Full);
    }
    assert_near(world.dispatcher.route(0).unwrap().window, 0.75);
}

#[test]
fn the_minimum_time_out_is_two_thirds_of_the_shortest_deduplication_span() {
    for span in [3 * SEC, 6 * SEC] {
        let mut set = settings(8);
        set.classes[1].effect = Effect::Deduplicated { span, by_zone: false };
        let mut world = World::new(set, 1);
        world.list(ListUpdate::Full, &[entry(0, 5)]);
        let id = world.submit(0, 5);
        assert_eq!(world.in_flight[&(id, 0)].2, 2 * span / 3);
    }
}
