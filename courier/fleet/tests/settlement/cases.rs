//! The small cases that are explored exhaustively.

use crate::exploration::{Explored, Remaining, Submission, explore};
use crate::world::{AFTER, Micros, NEVER, ProcessState, World};
use quillmount_fleet::settlement::{Mode, Repeat, SettlementId, Verdict};
use std::collections::BTreeMap;

/// The destination of the settlements in these cases.
pub const DEST: u64 = 7;
/// A deadline that no case reaches.
pub const LATE_DEADLINE: Micros = 60_000_000;
/// No case has more states.
pub const MOST_STATES: usize = 2_000_000;

/// Three messages that are submitted in reverse order: to which courier, and at which position.
pub const REVERSED: &[(usize, u64)] = &[(1, 3), (0, 2), (1, 1)];
pub const MODES: [(&str, Mode); 3] = [("message", Mode::Message), ("never", NEVER), ("after answer", AFTER)];
pub const REPEATS: [(&str, Repeat); 2] = [("debits", Repeat::Never), ("keyed", Repeat::Within(30_000_000))];

/// A case to explore: the fleet, what may happen in it, and the settlement whose verdicts are counted.
pub struct Case {
    pub world: World,
    pub remaining: Remaining,
    pub id: SettlementId,
}

pub fn settlement(name: &str, dest: u64) -> SettlementId {
    SettlementId { tenant: "north".into(), name: name.into(), dest }
}

impl Case {
    /// Two couriers and one settlement, without any fault.
    pub fn new(mode: Mode, repeat: Repeat, submissions: &[(usize, u64)], total: u64) -> Case {
        let mut world = World::new(2, BTreeMap::from([(DEST, mode)]), 4);
        let id = settlement("s", DEST);
        world.plan(&id, total, repeat, LATE_DEADLINE);
        let submission =
            |(to, position): &(usize, u64)| Submission { to: *to, position: *position, id: id.clone() };
        let submissions = submissions.iter().map(submission).collect();
        let remaining = Remaining { kills: 0, pauses: 0, faults: 0, drains: 0, submissions };
        Case { world, remaining, id }
    }

    /// Explores the case, and prints what was found.
    pub fn run(self, name: &str) -> Explored {
        let started = std::time::Instant::now();
        let found = explore(self.world, self.remaining, &self.id, MOST_STATES);
        let seconds = started.elapsed().as_secs_f64();
        println!("{name}: {} states, {seconds:.1} s, ends {:?}", found.states, found.ends);
        if let Some(violation) = &found.violation {
            println!("  {}\n  {}", violation.property, violation.path.join("\n  "));
        }
        found
    }
}

/// An owner that is lost at each point, in each mode; prints the number of states.
pub fn explore_takeovers(process: ProcessState, submissions: &[(usize, u64)], total: u64) {
    let mut states = 0;
    for (mode_name, mode) in MODES {
        for (repeat_name, repeat) in REPEATS {
            let mut case = Case::new(mode, repeat, submissions, total);
            match process {
                ProcessState::Dead => case.remaining.kills = 1,
                _ => case.remaining.pauses = 1,
            }
            let found = case.run(&format!("{mode_name}, {repeat_name}, {process:?}"));
            assert!(found.violation.is_none());
            assert!(found.ends.contains_key(&Verdict::Closed { total }));
            states += found.states;
        }
    }
    println!("{process:?}: {states} states");
}
