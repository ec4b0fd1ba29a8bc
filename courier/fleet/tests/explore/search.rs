//! Explores all paths of a scenario with at most a given number of faults.

use crate::effects::{TRACING, trace};
use crate::faults::Fault;
use crate::scenario::{LAST_FAULT_AFTER, Scenario};
use crate::world::World;
use quillmount_policy::Micros;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Instant;

#[cfg(feature = "breaks")]
pub use quillmount_fleet::breaks::{Break, set};

#[cfg(not(feature = "breaks"))]
pub type Break = ();

#[cfg(not(feature = "breaks"))]
pub fn set(_: Option<Break>) {}

pub const THREADS: usize = 2;

#[derive(Default)]
pub struct Count {
    pub paths: AtomicU64,
    pub steps: AtomicU64,
    pub states: AtomicU64,
}

/// The injected faults of a path: virtual time, event, and fault.
pub type Path = Vec<(Micros, String, Fault)>;

/// Runs a path to its end, and all paths that branch off by a fault. Returns the first violation of a property.
pub fn explore(mut world: World, faults: usize, path: &mut Path, count: &Count) -> Option<String> {
    while !world.is_finished() {
        let Some(next) = world.next_event() else { break };
        if faults > 0 && world.now <= world.first_message_at + LAST_FAULT_AFTER {
            let mut after = world.clone();
            let effects = after.process_event(next.clone(), None);
            for fault in world.faults(&next.2, effects) {
                let mut faulty = world.clone();
                path.push((next.0 - world.first_message_at, format!("{:?}", next.2), fault));
                faulty.inject(fault, next.clone());
                count.states.fetch_add(1, Relaxed);
                if let Some(violation) = explore(faulty, faults - 1, path, count) {
                    return Some(violation);
                }
                path.pop();
            }
            world = after;
        } else {
            world.process_event(next, None);
        }
        count.steps.fetch_add(1, Relaxed);
        if world.violation.is_some() {
            break;
        }
    }
    if world.violation.is_none() {
        world.check_outcomes();
    }
    count.paths.fetch_add(1, Relaxed);
    world.violation
}

/// Explores a scenario and prints the numbers of paths and steps. Returns the first violation and the path to it.
pub fn search(scenario: &Scenario, broken: Option<Break>) -> Option<(String, Path)> {
    let (started_at, count) = (Instant::now(), Count::default());
    // The paths are distributed among the threads by their first faults.
    set(broken);
    let mut world = World::new(scenario);
    let mut faulty_worlds = Vec::new();
    while !world.is_finished() && world.violation.is_none() {
        let Some(next) = world.next_event() else { break };
        let mut after = world.clone();
        let effects = after.process_event(next.clone(), None);
        for fault in world.faults(&next.2, effects) {
            let path = vec![(next.0 - world.first_message_at, format!("{:?}", next.2), fault)];
            let mut faulty = world.clone();
            faulty.inject(fault, next.clone());
            faulty_worlds.push((faulty, path));
        }
        world = after;
    }
    world.check_outcomes();
    set(None);
    if let Some(violation) = world.violation {
        println!("{}{:?}: violation without an injected fault: {violation}", scenario.name, broken);
        return Some((violation, Path::new()));
    }
    assert_eq!(
        world.observed.accepted.len(),
        scenario.messages.len(),
        "{}: all messages are accepted",
        scenario.name
    );
    faulty_worlds.reverse();
    let (faulty_worlds, found) = (Mutex::new(faulty_worlds), Mutex::new(None));
    std::thread::scope(|scope| {
        let work = || {
            set(broken);
            loop {
                let Some((world, mut path)) = faulty_worlds.lock().unwrap().pop() else { return };
                if found.lock().unwrap().is_some() {
                    return;
                }
                count.states.fetch_add(1, Relaxed);
                if let Some(violation) = explore(world, scenario.faults - 1, &mut path, &count) {
                    found.lock().unwrap().get_or_insert((violation, path));
                }
            }
        };
        (0..THREADS).for_each(|_| drop(scope.spawn(work)));
    });
    let found = found.into_inner().unwrap();
    println!(
        "{}{}: {} faults a path, {} paths, {} steps, {:.1} s: {}",
        scenario.name,
        broken.map_or(String::new(), |b| format!(" with {b:?}")),
        scenario.faults,
        count.paths.into_inner(),
        count.steps.into_inner(),
        started_at.elapsed().as_secs_f64(),
        found.as_ref().map_or("no violation", |(violation, _)| violation),
    );
    found
}

/// Replays the path to a violation and prints its events.
pub fn replay(scenario: &Scenario, path: &Path) -> Option<String> {
    let mut world = World::new(scenario);
    let mut path = path.iter().peekable();
    TRACING.set(true);
    while !world.is_finished() && world.violation.is_none() {
        let Some(next) = world.next_event() else { break };
        let due_fault = path.next_if(|(at, event, _)| {
            *at == next.0 - world.first_message_at && *event == format!("{:?}", next.2)
        });
        if let Some((_, _, fault)) = due_fault {
            trace(|| format!("-- {fault:?}"));
            world.inject(*fault, next);
        } else {
            world.process_event(next, None);
        }
    }
    TRACING.set(false);
    world.check_outcomes();
    world.violation
}

/// Asserts that no scenario violates a property. Prints the path to each violation.
pub fn assert_no_violation(scenarios: &[Scenario]) {
    let mut violations = 0;
    for scenario in scenarios {
        if let Some((_, path)) = search(scenario, None) {
            let violation = replay(scenario, &path);
            println!("{}: {violation:?}: {path:#?}", scenario.name);
            violations += 1;
        }
    }
    assert_eq!(violations, 0);
}
