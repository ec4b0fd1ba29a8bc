//! The small cases that are explored exhaustively.

use crate::exploration::{Explored, Remaining, Submission, explore};
use crate::world::{Micros, ProcessState, RESUME_AFTER_ANSWER, RESUME_NEVER, World};
use quillmount_fleet::settlement::{Mode, Repeat, SettlementId, Verdict};
use std::collections::BTreeMap;

/// The destination of the settlements in these cases.
pub const DEST: u64 = 7;
/// A deadline that is later than the end of every case.
pub const LATE_DEADLINE: Micros = 60_000_000;
/// Upper limit of the number of states of a case.
pub const MAX_STATES: usize = 2_000_000;

/// Three messages that are submitted in reverse order, as pairs of courier and position.
pub const REVERSED: &[(usize, u64)] = &[(1, 3), (0, 2), (1, 1)];
pub const MODES: [(&str, Mode); 3] =
    [("message", Mode::Message), ("never", RESUME_NEVER), ("after answer", RESUME_AFTER_ANSWER)];
pub const REPEATS: [(&str, Repeat); 2] = [("debits", Repeat::Never), ("keyed", Repeat::Within(30_000_000))];

/// A case to explore: the fleet, the events that may still occur, and the settlement whose verdicts are counted.
pub struct Case {
    pub world: World,
    pub remaining: Remaining,
    pub id: SettlementId,
}

pub fn settlement(name: &str, dest: u64) -> SettlementId {
    SettlementId { tenant: "north".into(), name: name.into(), dest }
}

impl Case {
    /// Creates a case of two couriers and one settlement, without any fault.
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

    /// Explores the case and prints the result.
    pub fn run(self, name: &str) -> Explored {
        let started = std::time::Instant::now();
        let explored = explore(self.world, self.remaining, &self.id, MAX_STATES);
        let seconds = started.elapsed().as_secs_f64();
        println!("{name}: {} states, {seconds:.1} s, ends {:?}", explored.states, explored.verdict_counts);
        if let Some(violation) = &explored.violation {
            println!("  {}\n  {}", violation.property, violation.path.join("\n  "));
        }
        explored
    }
}

/// Explores the loss of the owner at each point in each mode, and prints the number of states.
pub fn explore_takeovers(process: ProcessState, submissions: &[(usize, u64)], total: u64) {
    let mut states = 0;
    for (mode_name, mode) in MODES {
        for (repeat_name, repeat) in REPEATS {
            let mut case = Case::new(mode, repeat, submissions, total);
            match process {
                ProcessState::Dead => case.remaining.kills = 1,
                _ => case.remaining.pauses = 1,
            }
            let explored = case.run(&format!("{mode_name}, {repeat_name}, {process:?}"));
            assert!(explored.violation.is_none());
            assert!(explored.verdict_counts.contains_key(&Verdict::Closed { total }));
            states += explored.states;
        }
    }
    println!("{process:?}: {states} states");
}
