//! The proof that the exploration can fail: for each deliberate break of the code a case that finds it, and
//! the cases that hold.

use crate::property::Property;

/// A deliberate break, and the case that finds it.
#[derive(Clone, Copy, Debug)]
pub struct BreakCase {
    /// The name of the break.
    pub name: &'static str,
    /// The arguments of `check` for the case.
    pub arguments: &'static str,
    /// The property that the break violates.
    pub property: Property,
}

impl BreakCase {
    const fn new(name: &'static str, arguments: &'static str, property: Property) -> BreakCase {
        BreakCase { name, arguments, property }
    }
}

/// All deliberate breaks that a case finds.
pub const BREAKS: &[BreakCase] = &[
    BreakCase::new("answer-late", "--messages 1 --endpoints 1 --events refuse,drain", Property::FinalAnswer),
    BreakCase::new(
        "answer-unread",
        "--messages 2 --endpoints 1 --events race,wait,timeout --faults 3 --no-edges",
        Property::Wait,
    ),
    BreakCase::new("attempt-too-many", "--messages 1 --endpoints 1 --events full", Property::Unchanged),
    BreakCase::new(
        "attempt-unwritten",
        "--messages 1 --endpoints 1 --lives 2 --events kill",
        Property::NoRepeat,
    ),
    BreakCase::new(
        "end-unwritten",
        "--messages 1 --endpoints 1 --lives 2 --events kill,disk,refuse --no-edges",
        Property::FinalAnswer,
    ),
    BreakCase::new(
        "forget-end",
        "--messages 1 --endpoints 1 --lives 2 --events kill,drain --no-edges",
        Property::FinalAnswer,
    ),
    BreakCase::new("forget-over", "--messages 1 --endpoints 1 --events again", Property::FinalAnswer),
    BreakCase::new("forget-past", "--messages 1 --endpoints 1 --lives 2 --events kill", Property::NoRepeat),
    BreakCase::new(
        "held-back-lost",
        "--messages 1 --endpoints 1 --events disk,refuse --faults 2",
        Property::Liveness,
    ),
    BreakCase::new("ignore-drain", "--messages 1 --endpoints 1 --events drain", Property::Drain),
    BreakCase::new("ignore-wait", "--messages 1 --endpoints 1 --events wait", Property::Wait),
    BreakCase::new(
        "keep-spoilt",
        "--messages 2 --endpoints 1 --events spoilt --no-edges",
        Property::Unchanged,
    ),
    BreakCase::new(
        "lost-wake",
        "--messages 2 --endpoints 1 --events refuse --no-edges",
        Property::FinalAnswer,
    ),
    BreakCase::new("notice-once", "--messages 1 --endpoints 1 --events refuse,lose", Property::FinalAnswer),
    BreakCase::new(
        "outcome-never",
        "--messages 1 --endpoints 1 --lives 2 --events kill,error",
        Property::NoRepeat,
    ),
    BreakCase::new("pool-leak", "--messages 1 --endpoints 1 --events timeout", Property::Unchanged),
    BreakCase::new("refuse-debit", "--messages 1 --endpoints 1 --events reset", Property::NoRepeat),
    BreakCase::new("repeat-late", "--messages 1 --endpoints 1 --events part,timeout", Property::NoRepeat),
    BreakCase::new(
        "retry-after-give-up",
        "--messages 2 --endpoints 2 --destinations 2 --slots 1 --events timeout",
        Property::NoRepeat,
    ),
    BreakCase::new("retry-after-reset", "--messages 1 --endpoints 1 --events reset", Property::NoRepeat),
    BreakCase::new(
        "send-after-end",
        "--messages 2 --endpoints 1 --events part,break,never --faults 3",
        Property::FinalAnswer,
    ),
    BreakCase::new(
        "slot-too-many",
        "--messages 2 --endpoints 2 --destinations 2 --slots 1 --events none",
        Property::Unchanged,
    ),
    BreakCase::new(
        "span-by-one",
        "--messages 1 --endpoints 1 --events reset,drain,ready",
        Property::NoRepeat,
    ),
    BreakCase::new("take-on-twice", "--messages 1 --endpoints 1 --events again", Property::FinalAnswer),
    BreakCase::new(
        "take-on-unwritten",
        "--messages 1 --endpoints 1 --events disk --faults 1",
        Property::Durability,
    ),
    BreakCase::new(
        "torn-kept",
        "--messages 2 --endpoints 1 --lives 3 --events tear --no-edges",
        Property::Durability,
    ),
    BreakCase::new(
        "write-on-in-wait",
        "--messages 2 --endpoints 1 --events wait,part --no-edges",
        Property::Wait,
    ),
];

/// Small cases with every kind of fault, for which every property holds.
pub const VERIFIED_CASES: &[&str] = &[
    "--messages 2 --at-once --no-edges --events refuse,timeout,drain",
    "--messages 1 --events refuse,timeout,drain,never,part,break",
    "--messages 2 --events error,reset,spoilt,interim,copy --faults 3",
    "--messages 2 --events slots,exhausted,over,full --faults 3",
    "--messages 2 --endpoints 1 --events wait,part,full --faults 3",
    "--messages 1 --events drain,gone,ready,replace,whole,watch --faults 4",
    "--messages 2 --events race,wait,timeout --faults 3 --no-edges",
    "--messages 2 --destinations 2 --slots 1 --events race,timeout --no-edges",
    "--messages 2 --events again,key,lose,twice --faults 3",
    "--messages 2 --endpoints 1 --events idle,refuse --faults 3",
    "--messages 1 --endpoints 1 --lives 2 --events kill,tear,timeout,error,lose",
    "--messages 1 --endpoints 1 --lives 2 --events kill,tear,full,wait,reset",
    "--messages 2 --endpoints 1 --lives 2 --events kill,again,lose --faults 3",
    "--messages 2 --endpoints 1 --slots 1 --open-cap 2 --lives 2 --events kill,refuse",
    "--messages 1 --lives 2 --events term,timeout,refuse,drain --faults 4",
    "--messages 1 --endpoints 1 --lives 2 --events disk,kill,refuse --faults 3",
    "--messages 2 --endpoints 2 --destinations 2 --slots 1 --events timeout,refuse --no-edges",
];

/// Cases that are searched with and without the reduction, for the same verdict.
pub const REDUCTION_CASES: &[&str] = &[
    "--messages 1 --events refuse,timeout,drain",
    "--messages 2 --endpoints 1 --events refuse --no-edges",
    "--messages 1 --endpoints 1 --lives 2 --events kill,timeout",
    "--messages 2 --endpoints 1 --events reset,lose,again --no-edges",
];
