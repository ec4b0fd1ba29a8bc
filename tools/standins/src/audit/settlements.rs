//! Settlements: complete, in order, and nothing after a break.

use super::finding::{Finding, SettlementFault as Fault};
use quillmount_policy::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// A position of a settlement as its partner received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettlementPosition {
    /// The name of the settlement.
    pub settlement: String,
    /// The position, from 1.
    pub position: u32,
    /// The number of all positions, if this one gives it.
    pub of: Option<u32>,
    /// When it was received.
    pub at: Micros,
    /// Whether it ran, or may have; a rejected one is not counted.
    pub ran: bool,
    /// The session that carried it; `None`: the settlement has no session.
    pub session: Option<SettlementSession>,
}

/// The connection that carries a session of a settlement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SettlementSession {
    /// The number of the connection.
    pub connection: u64,
    /// When it ended; `None`: it is open.
    pub ended: Option<Micros>,
}

/// How a settlement ended, as it was reported to the platform or to a client.
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
    /// All positions ran: this many.
    Closed(u32),
    /// The position that may have run, or failed for good; none after it ran.
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

/// All that is known of one settlement, in the order of time.
#[derive(Default)]
struct SettlementHistory<'a> {
    positions: Vec<&'a SettlementPosition>,
    ends: Vec<&'a SettlementEnd>,
}

/// Checks all settlements.
pub(super) fn check(positions: &[SettlementPosition], ends: &[SettlementEnd], found: &mut Vec<Finding>) {
    let mut settlements: BTreeMap<&str, SettlementHistory> = BTreeMap::new();
    for position in positions.iter().filter(|position| position.ran) {
        settlements.entry(&position.settlement).or_default().positions.push(position);
    }
    for end in ends {
        settlements.entry(&end.settlement).or_default().ends.push(end);
    }
    for (settlement, SettlementHistory { mut positions, mut ends }) in settlements {
        positions.sort_by_key(|position| position.at);
        ends.sort_by_key(|end| end.at);
        let mut report = |fault| found.push(Finding::Settlement { settlement: settlement.into(), fault });
        check_order(&positions, &mut report);
        check_sessions(&positions, &mut report);
        check_outcome(&positions, &ends, &mut report);
    }
}

/// Whether this position ran.
fn has_run(positions: &[&SettlementPosition], position: u32) -> bool {
    positions.iter().any(|observed| observed.position == position)
}

/// The positions are 1, 2, 3 and so on, each once.
fn check_order(positions: &[&SettlementPosition], report: &mut impl FnMut(Fault)) {
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
            // A position that comes later is reported as out of order; one that never comes is the hole.
            let missing = (1..position).filter(|p| !has_run(positions, *p));
            for missing in missing.filter(|missing| holes.insert(*missing)) {
                report(Fault::Hole { position, missing, at });
            }
        }
        arrived.insert(position, at);
    }
}

/// No two sessions of the settlement are open at once.
fn check_sessions(positions: &[&SettlementPosition], report: &mut impl FnMut(Fault)) {
    let mut open: Option<SettlementSession> = None;
    for position in positions {
        let Some(session) = position.session else { continue };
        if let Some(earlier) = open.filter(|earlier| earlier.connection != session.connection)
            && earlier.ended.is_none_or(|ended| ended > position.at)
        {
            let (first, second) = (earlier.connection, session.connection);
            report(Fault::TwoSessions { first, second, at: position.at });
        }
        open = Some(session);
    }
}

/// The reported end agrees with the positions that ran.
fn check_outcome(positions: &[&SettlementPosition], ends: &[&SettlementEnd], report: &mut impl FnMut(Fault)) {
    let Some(end) = ends.first() else { return };
    if let Some(other) = ends.iter().find(|other| other.outcome != end.outcome) {
        report(Fault::EndedTwice { first: end.outcome.to_string(), second: other.outcome.to_string() });
    }
    let declared = positions.iter().find_map(|position| position.of);
    match end.outcome {
        SettlementOutcome::Closed(of) => {
            let had = (1..=of).take_while(|p| has_run(positions, *p)).count() as u32;
            if had < of || declared.is_some_and(|declared| declared != of) {
                report(Fault::ClosedShort { of: declared.unwrap_or(of).max(of), had });
            }
            for beyond in positions.iter().filter(|observed| observed.position > of) {
                report(Fault::Beyond { position: beyond.position, of });
            }
        }
        SettlementOutcome::Broken(broken) => {
            for missing in (1..broken).filter(|p| !has_run(positions, *p)) {
                report(Fault::BrokenEarlier { broken, missing });
            }
            for after in positions.iter().filter(|observed| observed.position > broken) {
                report(Fault::AfterBreak { broken, position: after.position, at: after.at });
            }
        }
    }
}
