//! The faults of a run, drawn from its seed before it begins: each can be left out without changing the others.

use quillmount_test_support::random::Random;
use quillmount_test_support::simulation::{MILLI, Time};
use std::collections::BTreeSet;

/// Faults of one run.
const FAULTS: usize = 9;

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// A process is killed and starts again.
    Kill,
    /// A process stands still.
    Freeze,
    /// All processes end, and start again within half a second of each other.
    PowerOff,
    /// The same right after the next acknowledgement to an operator.
    PowerOffAfterAnswer,
    /// A machine is cut off from the others.
    Isolate,
    /// A zone is cut off from the others.
    CutZone,
    /// The disk of a member takes no writes.
    FullDisk,
    /// The disk of a member takes thirty times as long.
    SlowDisk,
    /// The disks of two members take no writes, or take long; in the middle of it all processes end.
    SpoiltDisksAndPowerOff,
    /// The time of day jumps on a machine.
    ClockStep,
    /// The time of day drifts on a machine.
    ClockDrift,
    /// Three couriers join.
    Join,
}

/// A fault with all that the seed decides of it.
#[derive(Clone, Copy, Debug)]
pub struct PlannedFault {
    pub kind: FaultKind,
    /// Decides which machine it is.
    pub target: u64,
    /// How long it lasts, where it ends by itself.
    pub span: Time,
    /// A further number, whose use depends on the kind.
    pub variant: u64,
    /// Time until the next fault.
    pub gap: Time,
    /// All faults end before the next one, and there is calm.
    pub then_calm: bool,
}

/// The faults of a run in their order.
#[derive(Clone, Debug)]
pub struct FaultPlan {
    pub faults: Vec<PlannedFault>,
}

impl FaultPlan {
    /// The plan of a seed.
    pub fn draw(seed: u64) -> FaultPlan {
        let mut random = Random::from_mixed_seed(seed.wrapping_add(0x5eed));
        FaultPlan { faults: (0..FAULTS).map(|_| draw_fault(&mut random)).collect() }
    }

    /// The faults of these indices only.
    pub fn only(&self, kept: &BTreeSet<usize>) -> FaultPlan {
        let faults = self.faults.iter().enumerate().filter(|(index, _)| kept.contains(index));
        FaultPlan { faults: faults.map(|(_, fault)| *fault).collect() }
    }

    /// The fewest faults found that still fail, by leaving out one after the other.
    pub fn shrink(&self, fails: impl Fn(&FaultPlan) -> bool) -> FaultPlan {
        let mut kept: BTreeSet<usize> = (0..self.faults.len()).collect();
        for index in 0..self.faults.len() {
            let mut fewer = kept.clone();
            fewer.remove(&index);
            if fails(&self.only(&fewer)) {
                kept = fewer;
            }
        }
        self.only(&kept)
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
        then_calm: random.chance(30),
    }
}
