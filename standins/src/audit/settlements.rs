//! Settlements: whole, in order, and nothing after a break.

use super::finding::{Finding, SettlementFault as Fault};
use spurshore::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// A position of a settlement as its partner saw it come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Position {
    pub settlement: String,
    /// From 1.
    pub position: u32,
    /// The number of all, where this one said it.
    pub of: Option<u32>,
    pub at: Micros,
    /// It was run, or nothing says that it was not: one that was turned away counts for nothing.
    pub ran: bool,
    /// The connection of a session, and when that ended if it did; `None` in message mode.
    pub session: Option<(u64, Option<Micros>)>,
}

/// How a settlement ended, as the platform or a consumer was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettlementEnd {
    pub settlement: String,
    pub outcome: Outcome,
    pub at: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// All were run, so many.
    Closed(u32),
    /// The position that may have run or failed for good; none that follows it ran.
    Broken(u32),
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Outcome::Closed(of) => write!(f, "closed with {of}"),
            Outcome::Broken(at) => write!(f, "broken at {at}"),
        }
    }
}

pub(super) fn check(positions: &[Position], ends: &[SettlementEnd], found: &mut Vec<Finding>) {
    let mut all: BTreeMap<&str, (Vec<&Position>, Vec<&SettlementEnd>)> = BTreeMap::new();
    for position in positions.iter().filter(|position| position.ran) {
        all.entry(&position.settlement).or_default().0.push(position);
    }
    for end in ends {
        all.entry(&end.settlement).or_default().1.push(end);
    }
    for (settlement, (mut positions, mut ends)) in all {
        positions.sort_by_key(|position| position.at);
        ends.sort_by_key(|end| end.at);
        let mut tell = |fault| found.push(Finding::Settlement { settlement: settlement.into(), fault });
        order(&positions, &mut tell);
        sessions(&positions, &mut tell);
        outcome(&positions, &ends, &mut tell);
    }
}

fn ran(positions: &[&Position], position: u32) -> bool {
    positions.iter().any(|seen| seen.position == position)
}

/// 1, 2, 3 and so on, each once.
fn order(positions: &[&Position], tell: &mut impl FnMut(Fault)) {
    let (mut came, mut holes): (BTreeMap<u32, Micros>, BTreeSet<u32>) = Default::default();
    for Position { position, at, .. } in positions.iter().copied() {
        let (position, at) = (*position, *at);
        if let Some(first) = came.get(&position) {
            tell(Fault::Twice { position, first: *first, again: at });
            continue;
        }
        if let Some((after, _)) = came.last_key_value().filter(|(last, _)| **last > position) {
            tell(Fault::OutOfOrder { position, after: *after, at });
        } else if position != came.len() as u32 + 1 {
            // One that comes later is told of as out of order; one that never comes is the hole.
            let missing = (1..position).filter(|p| !ran(positions, *p));
            for missing in missing.filter(|missing| holes.insert(*missing)) {
                tell(Fault::Hole { position, missing, at });
            }
        }
        came.insert(position, at);
    }
}

/// Never two sessions open for one.
fn sessions(positions: &[&Position], tell: &mut impl FnMut(Fault)) {
    let mut open: Option<(u64, Option<Micros>)> = None;
    for Position { session, at, .. } in positions.iter().copied() {
        let Some((number, ended)) = *session else { continue };
        if let Some((first, until)) = open.filter(|(first, _)| *first != number)
            && until.is_none_or(|until| until > *at)
        {
            tell(Fault::TwoSessions { first, second: number, at: *at });
        }
        open = Some((number, ended));
    }
}

fn outcome(positions: &[&Position], ends: &[&SettlementEnd], tell: &mut impl FnMut(Fault)) {
    let Some(end) = ends.first() else { return };
    if let Some(other) = ends.iter().find(|other| other.outcome != end.outcome) {
        tell(Fault::EndedTwice { first: end.outcome.to_string(), second: other.outcome.to_string() });
    }
    let told = positions.iter().find_map(|position| position.of);
    match end.outcome {
        Outcome::Closed(of) => {
            let had = (1..=of).take_while(|p| ran(positions, *p)).count() as u32;
            if had < of || told.is_some_and(|told| told != of) {
                tell(Fault::ClosedShort { of: told.unwrap_or(of).max(of), had });
            }
            for beyond in positions.iter().filter(|seen| seen.position > of) {
                tell(Fault::Beyond { position: beyond.position, of });
            }
        }
        Outcome::Broken(broken) => {
            for missing in (1..broken).filter(|p| !ran(positions, *p)) {
                tell(Fault::BrokenEarlier { broken, missing });
            }
            for Position { position, at, .. } in positions.iter().filter(|seen| seen.position > broken) {
                tell(Fault::AfterBreak { broken, position: *position, at: *at });
            }
        }
    }
}
