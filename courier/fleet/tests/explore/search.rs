//! Explores all paths of a scenario with a number of faults.

use crate::effects::{TRACING, trace};
use crate::faults::Fault;
use crate::scenario::{LAST_FAULT, Scenario};
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

pub type Path = Vec<(Micros, String, Fault)>;

/// Plays a path to its end, and all paths that branch off by faults. Returns the first violation of a property.
pub fn explore(mut world: World, faults: usize, path: &mut Path, count: &Count) -> Option<String> {
    while !world.is_over() {
        let Some(next) = world.next() else { break };
        if faults > 0 && world.now <= world.first_message_at + LAST_FAULT {
            let mut after = world.clone();
            let effects = after.process(next.clone(), None);
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
            world.process(next, None);
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

/// Explores a scenario and prints the counts. Returns its first violation, with the path to it.
pub fn search(scenario: &Scenario, broken: Option<Break>) -> Option<(String, Path)> {
    let (begun, count) = (Instant::now(), Count::default());
    // The first faults of the paths are shared out among threads.
    set(broken);
    let mut world = World::new(scenario);
    let mut first = Vec::new();
    while !world.is_over() && world.violation.is_none() {
        let Some(next) = world.next() else { break };
        let mut after = world.clone();
        let effects = after.process(next.clone(), None);
        for fault in world.faults(&next.2, effects) {
            let path = vec![(next.0 - world.first_message_at, format!("{:?}", next.2), fault)];
            let mut faulty = world.clone();
            faulty.inject(fault, next.clone());
            first.push((faulty, path));
        }
        world = after;
    }
    world.check_outcomes();
    set(None);
    if let Some(violation) = world.violation {
        println!("{}{:?}: without a fault: {violation}", scenario.name, broken);
        return Some((violation, Path::new()));
    }
    assert_eq!(world.observed.accepted.len(), scenario.messages.len(), "{}: all are taken on", scenario.name);
    first.reverse();
    let (first, found) = (Mutex::new(first), Mutex::new(None));
    std::thread::scope(|scope| {
        let work = || {
            set(broken);
            loop {
                let Some((world, mut path)) = first.lock().unwrap().pop() else { return };
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
        begun.elapsed().as_secs_f64(),
        found.as_ref().map_or("holds", |(violation, _)| violation),
    );
    found
}

/// Replays the path to a violation, and prints its events.
pub fn replay(scenario: &Scenario, path: &Path) -> Option<String> {
    let mut world = World::new(scenario);
    let mut path = path.iter().peekable();
    TRACING.set(true);
    while !world.is_over() && world.violation.is_none() {
        let Some(next) = world.next() else { break };
        let due_fault = path.next_if(|(at, event, _)| {
            *at == next.0 - world.first_message_at && *event == format!("{:?}", next.2)
        });
        if let Some((_, _, fault)) = due_fault {
            trace(|| format!("-- {fault:?}"));
            world.inject(*fault, next);
        } else {
            world.process(next, None);
        }
    }
    TRACING.set(false);
    world.check_outcomes();
    world.violation
}

/// Asserts that no scenario violates a property. Prints the path to each violation.
pub fn assert_no_violation(scenarios: &[Scenario]) {
    let mut violation = 0;
    for scenario in scenarios {
        if let Some((_, path)) = search(scenario, None) {
            let outputs = replay(scenario, &path);
            println!("{}: {outputs:?}: {path:#?}", scenario.name);
            violation += 1;
        }
    }
    assert_eq!(violation, 0);
}
