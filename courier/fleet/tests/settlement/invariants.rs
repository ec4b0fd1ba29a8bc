//! The observations of the partner and the clients for each settlement, and the properties that they must satisfy.

use crate::world::{Micros, World};
use quillmount_fleet::settlement::{End, OwnedCounts, Repeat, SettlementId, Verdict};
use std::collections::{BTreeMap, BTreeSet};

/// Identifies a session of a settlement by the courier and registration that opened it, and its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionKey {
    pub courier: usize,
    pub epoch: u64,
    pub session: u32,
}

/// The observations of the partner and the clients for one settlement.
#[derive(Clone, Default, PartialEq, Eq, Hash)]
pub struct Observations {
    /// The number of runs by position.
    pub runs: BTreeMap<u64, u32>,
    /// The open sessions, with the time at which their last byte arrived.
    pub sessions: BTreeMap<SessionKey, Micros>,
    /// Whether the calls used a session; `None` before the first call.
    pub in_session: Option<bool>,
    pub is_closing_confirmed: bool,
    /// The positions whose acceptance was reported to a client.
    pub accepted: BTreeSet<u64>,
    /// The first reported end by position.
    pub ends: BTreeMap<u64, End>,
    pub verdict: Option<Verdict>,
}

impl Observations {
    /// Returns whether all of these positions were delivered.
    fn are_delivered(&self, mut positions: impl Iterator<Item = u64>) -> bool {
        positions.all(|position| self.ends.get(&position) == Some(&End::Delivered))
    }
}

impl World {
    /// Records a violated property, unless another one was recorded before.
    pub fn report_violation(&mut self, violation: String) {
        self.violation.get_or_insert(violation);
    }

    /// Returns whether every settlement has a verdict.
    pub fn has_all_verdicts(&self) -> bool {
        self.observations.values().all(|observed| observed.verdict.is_some())
    }

    /// Checks the reported end of a message: it must equal earlier reports and match the runs at the partner.
    pub fn observe_end(&mut self, id: &SettlementId, position: u64, end: End) {
        let observed = self.observations.get_mut(id).unwrap();
        let first = *observed.ends.entry(position).or_insert(end);
        let runs = observed.runs.get(&position).copied().unwrap_or(0);
        let verdict = observed.verdict;
        if first != end {
            self.report_violation(format!(
                "{}: position {position} ended as {first:?}, then as {end:?}",
                id.name
            ));
        }
        match end {
            End::Delivered if runs == 0 => {
                self.report_violation(format!(
                    "{}: position {position} reported as delivered, but never ran",
                    id.name
                ));
            }
            End::NeverRan { .. } | End::OutOfTime if runs > 0 => {
                let text = format!(
                    "{}: position {position} ran, but ended as {end:?} (verdict {verdict:?})",
                    id.name
                );
                self.report_violation(text);
            }
            _ => {}
        }
    }

    /// Checks the run of a message at the partner: positions run in order, a non-idempotent message runs once, and
    /// nothing runs after a break.
    pub fn observe_run(&mut self, id: &SettlementId, position: u64, in_session: bool) {
        let (now, repeat, verdict) = (self.now, self.plans[id].repeat, self.agreed.verdict(id));
        let observed = self.observations.get_mut(id).unwrap();
        let mode_before = observed.in_session.replace(in_session);
        let runs = observed.runs.entry(position).or_insert(0);
        *runs += 1;
        let runs = *runs;
        let is_in_order = observed.are_delivered(1..position);
        if mode_before.is_some_and(|before| before != in_session) {
            self.report_violation(format!("{}: the mode changed between two calls", id.name));
        }
        if runs == 1 && !is_in_order {
            let text =
                format!("{}: position {position} ran before all earlier positions were delivered", id.name);
            self.report_violation(text);
        }
        if runs > 1 && repeat == Repeat::Never {
            self.report_violation(format!("{}: non-idempotent position {position} ran twice", id.name));
        }
        if let Some(Verdict::Broken { break_position, .. }) = verdict
            && break_position > 0
            && position > break_position
        {
            let text =
                format!("{}: position {position} ran at {now} us after a break at {break_position}", id.name);
            self.report_violation(text);
        }
    }

    /// Checks that every position has run when the partner confirms a closing.
    pub fn observe_closing(&mut self, id: &SettlementId) {
        let total = self.plans[id].total;
        let observed = self.observations.get_mut(id).unwrap();
        observed.is_closing_confirmed = true;
        if !(1..=total).all(|position| observed.runs.contains_key(&position)) {
            self.report_violation(format!("{}: closed before every position had run", id.name));
        }
    }

    /// Checks a verdict in the log: there is only one, and it matches the runs at the partner.
    pub fn observe_verdict(&mut self, id: &SettlementId, verdict: Verdict) {
        let total = self.plans[id].total;
        let observed = self.observations.get_mut(id).unwrap();
        let first = *observed.verdict.get_or_insert(verdict);
        let last = match verdict {
            Verdict::Closed { total } => total,
            Verdict::Broken { break_position, .. } => break_position - 1,
        };
        let is_delivered = observed.are_delivered(1..=last);
        let highest_run = observed.runs.keys().next_back().copied().unwrap_or(0);
        let is_confirmed = observed.is_closing_confirmed || observed.in_session == Some(false);
        match verdict {
            _ if first != verdict => {
                self.report_violation(format!("{}: verdict {first:?}, then {verdict:?}", id.name));
            }
            Verdict::Closed { total: decided } if decided != total || !is_delivered || !is_confirmed => {
                self.report_violation(format!(
                    "{}: closed, but a position is not delivered or the closing is not confirmed",
                    id.name
                ));
            }
            Verdict::Broken { break_position, .. } if !is_delivered || highest_run > break_position => {
                self.report_violation(format!(
                    "{}: broken at {break_position}, but position {highest_run} ran or an earlier one is not delivered",
                    id.name
                ));
            }
            _ => {}
        }
    }

    /// Checks, once nothing is in flight, that each accepted message has ended and that all tables are empty.
    pub fn check_quiescent(&mut self) {
        for (id, observed) in self.observations.clone() {
            let without_end = observed.accepted.iter().find(|position| !observed.ends.contains_key(position));
            if let Some(position) = without_end {
                let text = format!("{}: position {position} was accepted, but has no end", id.name);
                self.report_violation(text);
            }
        }
        for courier in self.couriers.clone() {
            let is_up = courier.is_up() && courier.applied == self.log.len();
            if is_up && (courier.owned.counts(), courier.forwarder.len()) != (OwnedCounts::default(), 0) {
                self.report_violation(format!(
                    "a courier still has pending work: {:?}",
                    courier.owned.counts()
                ));
            }
        }
    }
}
