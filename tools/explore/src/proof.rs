//! The proof that the exploration can fail: for each deliberate break of the code a case that finds it, and
//! the cases that hold.

use crate::monitor::Property;

/// A break, the arguments of the case that finds it, and the property that it breaks.
#[rustfmt::skip]
pub const BREAKS: &[(&str, &str, Property)] = &[
    ("answer-late", "--messages 1 --endpoints 1 --events refuse,drain", Property::FinalAnswer),
    ("answer-unread", "--messages 2 --endpoints 1 --events race,wait,timeout --faults 3 --no-edges", Property::Wait),
    ("attempt-too-many", "--messages 1 --endpoints 1 --events full", Property::Unchanged),
    ("attempt-unwritten", "--messages 1 --endpoints 1 --lives 2 --events kill", Property::NoRepeat),
    ("end-unwritten", "--messages 1 --endpoints 1 --lives 2 --events kill,disk,refuse --no-edges", Property::FinalAnswer),
    ("forget-end", "--messages 1 --endpoints 1 --lives 2 --events kill,drain --no-edges", Property::FinalAnswer),
    ("forget-over", "--messages 1 --endpoints 1 --events again", Property::FinalAnswer),
    ("forget-past", "--messages 1 --endpoints 1 --lives 2 --events kill", Property::NoRepeat),
    ("held-back-lost", "--messages 1 --endpoints 1 --events disk,refuse --faults 2", Property::Liveness),
    ("ignore-drain", "--messages 1 --endpoints 1 --events drain", Property::Drain),
    ("ignore-wait", "--messages 1 --endpoints 1 --events wait", Property::Wait),
    ("keep-spoilt", "--messages 2 --endpoints 1 --events spoilt --no-edges", Property::Unchanged),
    ("lost-wake", "--messages 2 --endpoints 1 --events refuse --no-edges", Property::FinalAnswer),
    ("notice-once", "--messages 1 --endpoints 1 --events refuse,lose", Property::FinalAnswer),
    ("outcome-never", "--messages 1 --endpoints 1 --lives 2 --events kill,error", Property::NoRepeat),
    ("pool-leak", "--messages 1 --endpoints 1 --events timeout", Property::Unchanged),
    ("refuse-debit", "--messages 1 --endpoints 1 --events reset", Property::NoRepeat),
    ("repeat-late", "--messages 1 --endpoints 1 --events part,timeout", Property::NoRepeat),
    ("retry-after-give-up", "--messages 2 --endpoints 2 --destinations 2 --slots 1 --events timeout", Property::NoRepeat),
    ("retry-after-reset", "--messages 1 --endpoints 1 --events reset", Property::NoRepeat),
    ("send-after-end", "--messages 2 --endpoints 1 --events part,break,never --faults 3", Property::FinalAnswer),
    ("slot-too-many", "--messages 2 --endpoints 2 --destinations 2 --slots 1 --events none", Property::Unchanged),
    ("span-by-one", "--messages 1 --endpoints 1 --events reset,drain,ready", Property::NoRepeat),
    ("take-on-twice", "--messages 1 --endpoints 1 --events again", Property::FinalAnswer),
    ("take-on-unwritten", "--messages 1 --endpoints 1 --events disk --faults 1", Property::Durability),
    ("torn-kept", "--messages 2 --endpoints 1 --lives 3 --events tear --no-edges", Property::Durability),
    ("write-on-in-wait", "--messages 2 --endpoints 1 --events wait,part --no-edges", Property::Wait),
];

/// Small cases of every event, which hold to their ends.
#[rustfmt::skip]
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

/// Cases that are played with and without the reduction, and must come to the same verdict.
#[rustfmt::skip]
pub const REDUCTION_CASES: &[&str] = &[
    "--messages 1 --events refuse,timeout,drain",
    "--messages 2 --endpoints 1 --events refuse --no-edges",
    "--messages 1 --endpoints 1 --lives 2 --events kill,timeout",
    "--messages 2 --endpoints 1 --events reset,lose,again --no-edges",
];
