//! Settlements: whole, in order, and nothing after a break.

use super::finding::{Finding, SettlementFault as Fault};
use quillmount_policy::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// A position of a settlement as its partner saw it come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettlementPosition {
    /// The name of the settlement.
    pub settlement: String,
    /// From 1.
    pub position: u32,
    /// The number of all, where this one said it.
    pub of: Option<u32>,
    /// When it was received.
    pub at: Micros,
    /// It was run, or nothing says that it was not: one that was turned away counts for nothing.
    pub ran: bool,
    /// The connection of a session, and when that ended if it did; `None` in message mode.
    pub session: Option<(u64, Option<Micros>)>,
}

/// How a settlement ended, as the platform or a consumer was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettlementEnd {
    /// The name of the settlement.
    pub settlement: String,
    /// How it ended.
    pub outcome: SettlementOutcome,
    /// When this was reported.
    pub at: Micros,
}

/// The outcome of a settlement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettlementOutcome {
    /// All were run, so many.
    Closed(u32),
    /// The position that may have run or failed for good; none that follows it ran.
    Broken(u32),
}

impl fmt::Display for SettlementOutcome {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            SettlementOutcome::Closed(of) => write!(f, "closed with {of}"),
            SettlementOutcome::Broken(at) => write!(f, "broken at {at}"),
        }
    }
}

pub(super) fn check(positions: &[SettlementPosition], ends: &[SettlementEnd], found: &mut Vec<Finding>) {
    let mut all: BTreeMap<&str, (Vec<&SettlementPosition>, Vec<&SettlementEnd>)> = BTreeMap::new();
    for position in positions.iter().filter(|position| position.ran) {
        all.entry(&position.settlement).or_default().0.push(position);
    }
    for end in ends {
        all.entry(&end.settlement).or_default().1.push(end);
    }
    for (settlement, (mut positions, mut ends)) in all {
        positions.sort_by_key(|position| position.at);
        ends.sort_by_key(|end| end.at);
        let mut report = |fault| found.push(Finding::Settlement { settlement: settlement.into(), fault });
        order(&positions, &mut report);
        sessions(&positions, &mut report);
        outcome(&positions, &ends, &mut report);
    }
}

fn ran(positions: &[&SettlementPosition], position: u32) -> bool {
    positions.iter().any(|observed| observed.position == position)
}

/// 1, 2, 3 and so on, each once.
fn order(positions: &[&SettlementPosition], report: &mut impl FnMut(Fault)) {
    let (mut arrived, mut holes): (BTreeMap<u32, Micros>, BTreeSet<u32>) = Default::default();
    for SettlementPosition { position, at, .. } in positions.iter().copied() {
        let (position, at) = (*position, *at);
        if let Some(first) = arrived.get(&position) {
            report(Fault::Twice { position, first: *first, repeat: at });
            continue;
        }
        if let Some((after, _)) = arrived.last_key_value().filter(|(last, _)| **last > position) {
            report(Fault::OutOfOrder { position, after: *after, at });
        } else if position != arrived.len() as u32 + 1 {
            // One that comes later is told of as out of order; one that never comes is the hole.
            let missing = (1..position).filter(|p| !ran(positions, *p));
            for missing in missing.filter(|missing| holes.insert(*missing)) {
                report(Fault::Hole { position, missing, at });
            }
        }
        arrived.insert(position, at);
    }
}

/// Never two sessions open for one.
fn sessions(positions: &[&SettlementPosition], report: &mut impl FnMut(Fault)) {
    let mut open: Option<(u64, Option<Micros>)> = None;
    for SettlementPosition { session, at, .. } in positions.iter().copied() {
        let Some((number, ended)) = *session else { continue };
        if let Some((first, until)) = open.filter(|(first, _)| *first != number)
            && until.is_none_or(|until| until > *at)
        {
            report(Fault::TwoSessions { first, second: number, at: *at });
        }
        open = Some((number, ended));
    }
}

fn outcome(positions: &[&SettlementPosition], ends: &[&SettlementEnd], report: &mut impl FnMut(Fault)) {
    let Some(end) = ends.first() else { return };
    if let Some(other) = ends.iter().find(|other| other.outcome != end.outcome) {
        report(Fault::EndedTwice { first: end.outcome.to_string(), second: other.outcome.to_string() });
    }
    let declared = positions.iter().find_map(|position| position.of);
    match end.outcome {
        SettlementOutcome::Closed(of) => {
            let had = (1..=of).take_while(|p| ran(positions, *p)).count() as u32;
            if had < of || declared.is_some_and(|declared| declared != of) {
                report(Fault::ClosedShort { of: declared.unwrap_or(of).max(of), had });
            }
            for beyond in positions.iter().filter(|observed| observed.position > of) {
                report(Fault::Beyond { position: beyond.position, of });
            }
        }
        SettlementOutcome::Broken(broken) => {
            for missing in (1..broken).filter(|p| !ran(positions, *p)) {
                report(Fault::BrokenEarlier { broken, missing });
            }
            for SettlementPosition { position, at, .. } in
                positions.iter().filter(|observed| observed.position > broken)
            {
                report(Fault::AfterBreak { broken, position: *position, at: *at });
            }
        }
    }
}
