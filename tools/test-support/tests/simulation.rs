//! Worlds on virtual time: the order of events, processes that fail, blocked links, and the sequence of draws of a seed, on which
//! the digests of seeded runs rest.

use quillmount_test_support::network::{DelayRange, Isolation, Partitions};
use quillmount_test_support::process::Process;
use quillmount_test_support::random::Random;
use quillmount_test_support::seeds;
use quillmount_test_support::simulation::{MILLI, Simulation, Time, Timeline};

/// A world that notes what happens, and when.
struct NotingWorld {
    timeline: Timeline<&'static str>,
    notes: Vec<(Time, &'static str)>,
}

impl NotingWorld {
    fn new() -> NotingWorld {
        NotingWorld { timeline: Timeline::new(10 * MILLI), notes: Vec::new() }
    }
}

impl Simulation for NotingWorld {
    type Event = &'static str;

    fn timeline(&self) -> &Timeline<&'static str> {
        &self.timeline
    }

    fn timeline_mut(&mut self) -> &mut Timeline<&'static str> {
        &mut self.timeline
    }

    fn handle_event(&mut self, event: &'static str) {
        self.notes.push((self.now(), event));
        if event == "first" {
            self.schedule(self.now() + 50, "follows");
        }
    }

    fn before_step(&mut self) {
        self.notes.push((self.now(), "before"));
    }

    fn after_step(&mut self) {
        self.notes.push((self.now(), "after"));
    }
}

#[test]
fn events_of_a_step_are_handled_by_time_and_then_in_the_order_of_scheduling() {
    let mut world = NotingWorld::new();
    world.schedule(10_900, "third");
    world.schedule(10_200, "first");
    world.schedule(10_200, "second");
    world.schedule(11_001, "next step");
    world.run(MILLI);
    let expected = [
        (10_000, "before"),
        (10_200, "first"),
        (10_200, "second"),
        (10_250, "follows"),
        (10_900, "third"),
        (11_000, "after"),
    ];
    assert_eq!(world.notes, expected);
}

#[test]
fn an_event_whose_time_has_passed_is_handled_next_and_the_clock_never_goes_back() {
    let mut world = NotingWorld::new();
    world.schedule(9_000, "late");
    world.schedule(11_000, "at the end of the step");
    world.run(MILLI);
    let expected =
        [(10_000, "before"), (10_000, "late"), (11_000, "at the end of the step"), (11_000, "after")];
    assert_eq!(world.notes, expected);
}

#[test]
fn a_run_until_a_condition_checks_after_each_interval_up_to_its_limit() {
    let mut world = NotingWorld::new();
    assert!(world.run_until(3 * MILLI, 12 * MILLI, |world| world.now() >= 14 * MILLI));
    assert_eq!(world.now(), 16 * MILLI);
    assert!(!world.run_until(3 * MILLI, 12 * MILLI, |_| false));
    assert_eq!(world.now(), 28 * MILLI);
}

#[test]
fn a_killed_process_comes_back_in_another_incarnation_and_not_frozen() {
    let mut process = Process::running(1);
    process.freeze_until(50);
    process.freeze_until(20);
    assert_eq!((process.is_up(), process.is_running(49), process.is_running(50)), (true, false, true));
    assert_eq!((process.resumes_at(49), process.resumes_at(50)), (Some(50), None));
    process.kill();
    assert!(!process.is_up() && !process.is_running(60));
    process.start();
    assert_eq!(process, Process::running(2));
}

#[test]
fn nodes_are_isolated_in_the_given_directions_and_not_from_each_other() {
    let mut partitions = Partitions::none();
    partitions.isolate(&[1, 2], &[1, 2, 3], Isolation::OUTBOUND);
    assert!(partitions.is_blocked(1, 3) && partitions.is_blocked(2, 3));
    assert!(!partitions.is_blocked(3, 1) && !partitions.is_blocked(1, 2) && !partitions.is_blocked(2, 1));
    partitions.isolate(&[1], &[3], Isolation::INBOUND);
    assert!(partitions.is_blocked(3, 1) && !partitions.is_blocked(3, 2));
    partitions.heal();
    partitions.isolate(&[3], &[1], Isolation::BOTH);
    assert!(partitions.is_blocked(3, 1) && partitions.is_blocked(1, 3) && !partitions.is_blocked(3, 2));
}

#[test]
fn a_seed_always_gives_the_same_draws() {
    let mut random = Random::new(1);
    let draws = [random.below(1_000_000), random.below(1_000_000), random.below(0), random.below(1_000_000)];
    assert_eq!(draws, [834_774, 944_153, 0, 192_870]);
    let mut random = Random::from_mixed_seed(1);
    let draws = [random.below(1_000_000), random.below(1_000_000), random.below(0), random.below(1_000_000)];
    assert_eq!(draws, [397_626, 724_949, 0, 937_839]);
}

#[test]
fn a_delay_is_within_its_range() {
    let range = DelayRange { shortest: 300, spread: 20 };
    let mut random = Random::new(7);
    let delays: Vec<Time> = (0..1_000).map(|_| range.draw(&mut random)).collect();
    assert_eq!((delays.iter().min(), delays.iter().max()), (Some(&300), Some(&319)));
}

#[test]
#[should_panic(expected = "the run of seed 3 failed")]
fn a_failing_run_names_its_seed() {
    seeds::run_each(5, |seed| assert_ne!(seed, 3));
}

#[test]
fn the_first_failing_seed_is_found() {
    assert_eq!(seeds::first_failing(1..=9, |seed| assert!(seed < 4)), Some(4));
    assert_eq!(seeds::first_failing(1..=3, |seed| assert!(seed < 4)), None);
    assert_eq!(seeds::run_each(3, |seed| seed * 2), [2, 4, 6]);
}
