//! The fault plan of a run. It is drawn from the seed before the run starts, so that any fault can be removed without changing the
//! others.

use quillmount_test_support::random::Random;
use quillmount_test_support::simulation::{MILLI, Time};
use std::collections::BTreeSet;

/// Number of faults in one run.
const FAULTS: usize = 9;

/// The kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// A process is killed and restarts after the span.
    Kill,
    /// A process is frozen.
    Freeze,
    /// Power failure: all processes are killed, and restart within half a second of each other.
    PowerOff,
    /// Power failure within a millisecond after the next acknowledgement to an operator.
    PowerOffAfterAnswer,
    /// Network partition between one machine and all others.
    Isolate,
    /// Network partition between one zone and all others.
    CutZone,
    /// All writes to the disk of a member fail.
    FullDisk,
    /// Writes to the disk of a member take thirty times as long.
    SlowDisk,
    /// The disks of two members are full or slow, and a power failure follows in this time.
    SpoiltDisksAndPowerOff,
    /// The wall clock of a machine steps.
    ClockStep,
    /// The wall clock of a machine drifts.
    ClockDrift,
    /// Three couriers join the deployment.
    Join,
}

/// A fault with all its parameters that are drawn from the seed.
#[derive(Clone, Copy, Debug)]
pub struct PlannedFault {
    pub kind: FaultKind,
    /// Random number that selects the machine.
    pub target: u64,
    /// Duration, for faults that end by themselves.
    pub span: Time,
    /// Another random number, whose use depends on the kind.
    pub variant: u64,
    /// Time between this fault and the next one.
    pub gap: Time,
    /// Whether all faults are healed, and a time without faults follows, before the next fault.
    pub heals_afterwards: bool,
}

/// The faults of a run in the order of their injection.
#[derive(Clone, Debug)]
pub struct FaultPlan {
    pub faults: Vec<PlannedFault>,
}

impl FaultPlan {
    /// Draws the plan of a seed.
    pub fn draw(seed: u64) -> FaultPlan {
        let mut random = Random::from_mixed_seed(seed.wrapping_add(0x5eed));
        FaultPlan { faults: (0..FAULTS).map(|_| draw_fault(&mut random)).collect() }
    }

    /// A plan with only the faults at these indices.
    pub fn only(&self, retained: &BTreeSet<usize>) -> FaultPlan {
        let faults = self.faults.iter().enumerate().filter(|(index, _)| retained.contains(index));
        FaultPlan { faults: faults.map(|(_, fault)| *fault).collect() }
    }

    /// Shrinks the plan: removes one fault at a time, as long as the run still fails.
    pub fn shrink(&self, fails: impl Fn(&FaultPlan) -> bool) -> FaultPlan {
        let mut retained: BTreeSet<usize> = (0..self.faults.len()).collect();
        for index in 0..self.faults.len() {
            let mut fewer = retained.clone();
            fewer.remove(&index);
            if fails(&self.only(&fewer)) {
                retained = fewer;
            }
        }
        self.only(&retained)
    }
}

fn draw_fault(random: &mut Random) -> PlannedFault {
    let kind = match random.below(18) {
        0 | 1 => FaultKind::Kill,
        2..=4 => FaultKind::Freeze,
        5 => FaultKind::PowerOff,
        6 | 7 => FaultKind::Isolate,
        8 => FaultKind::CutZone,
        9 => FaultKind::FullDisk,
        10 => FaultKind::SlowDisk,
        11 | 12 => FaultKind::SpoiltDisksAndPowerOff,
        13 => FaultKind::ClockStep,
        14 => FaultKind::ClockDrift,
        15 | 16 => FaultKind::PowerOffAfterAnswer,
        _ => FaultKind::Join,
    };
    PlannedFault {
        kind,
        target: random.below(1 << 30),
        span: (200 + random.below(4_000)) * MILLI,
        variant: random.below(1 << 30),
        gap: random.below(2_500) * MILLI,
        heals_afterwards: random.chance(30),
    }
}
