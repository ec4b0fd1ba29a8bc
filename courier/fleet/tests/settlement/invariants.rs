//! What the partner and the clients observe of each settlement, and the properties that must hold of it.

use crate::world::{Micros, World};
use quillmount_fleet::settlement::{End, OwnedCounts, Repeat, SettlementId, Verdict};
use std::collections::{BTreeMap, BTreeSet};

/// A session of a settlement: the courier and registration that opened it, and its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionKey {
    pub courier: usize,
    pub epoch: u64,
    pub session: u32,
}

/// What the partner and the clients observed of one settlement.
#[derive(Clone, Default, PartialEq, Eq, Hash)]
pub struct Observations {
    /// How often each position ran.
    pub runs: BTreeMap<u64, u32>,
    /// Open sessions, and when their last byte arrived.
    pub sessions: BTreeMap<SessionKey, Micros>,
    /// Whether the calls used a session, once there was one.
    pub in_session: Option<bool>,
    pub is_closing_confirmed: bool,
    /// Positions that a client was answered are accepted.
    pub accepted: BTreeSet<u64>,
    /// The first end that was reported of each position.
    pub ends: BTreeMap<u64, End>,
    pub verdict: Option<Verdict>,
}

impl Observations {
    /// Whether all of these positions were delivered.
    fn are_delivered(&self, mut positions: impl Iterator<Item = u64>) -> bool {
        positions.all(|position| self.ends.get(&position) == Some(&End::Delivered))
    }
}

impl World {
    /// Keeps the first property that does not hold.
    pub fn report_violation(&mut self, violation: String) {
        self.violation.get_or_insert(violation);
    }

    /// Whether each settlement has its verdict.
    pub fn is_over(&self) -> bool {
        self.observations.values().all(|observed| observed.verdict.is_some())
    }

    /// An owner reports how a message ended: always the same, and as it ran.
    pub fn observe_end(&mut self, id: &SettlementId, position: u64, end: End) {
        let observed = self.observations.get_mut(id).unwrap();
        let first = *observed.ends.entry(position).or_insert(end);
        let runs = observed.runs.get(&position).copied().unwrap_or(0);
        let verdict = observed.verdict;
        if first != end {
            self.report_violation(format!("{}: position {position} ended {first:?}, then {end:?}", id.name));
        }
        match end {
            End::Delivered if runs == 0 => {
                self.report_violation(format!("{}: {position} delivered, and never ran", id.name));
            }
            End::NeverRan { .. } | End::OutOfTime if runs > 0 => {
                let text = format!("{}: {position} ran, and ended {end:?} ({verdict:?})", id.name);
                self.report_violation(text);
            }
            _ => {}
        }
    }

    /// The partner runs a message: in order, a non-idempotent one once, and nothing behind a break.
    pub fn observe_run(&mut self, id: &SettlementId, position: u64, in_session: bool) {
        let (now, repeat, verdict) = (self.now, self.plans[id].repeat, self.agreed.verdict(id));
        let observed = self.observations.get_mut(id).unwrap();
        let mode_before = observed.in_session.replace(in_session);
        let runs = observed.runs.entry(position).or_insert(0);
        *runs += 1;
        let runs = *runs;
        let is_in_order = observed.are_delivered(1..position);
        if mode_before.is_some_and(|before| before != in_session) {
            self.report_violation(format!("{}: its mode changed on the way", id.name));
        }
        if runs == 1 && !is_in_order {
            let text = format!("{}: position {position} ran before those in front of it ended", id.name);
            self.report_violation(text);
        }
        if runs > 1 && repeat == Repeat::Never {
            self.report_violation(format!("{}: debit {position} ran twice", id.name));
        }
        if let Some(Verdict::Broken { at, .. }) = verdict
            && at > 0
            && position > at
        {
            let text = format!("{}: position {position} ran after a break at {at} ({now})", id.name);
            self.report_violation(text);
        }
    }

    /// The partner confirms a closing: each position has run.
    pub fn observe_closing(&mut self, id: &SettlementId) {
        let total = self.plans[id].total;
        let observed = self.observations.get_mut(id).unwrap();
        observed.is_closing_confirmed = true;
        if !(1..=total).all(|position| observed.runs.contains_key(&position)) {
            self.report_violation(format!("{}: closed before all of it had run", id.name));
        }
    }

    /// The log decides a settlement: once, and as the partner saw it.
    pub fn observe_verdict(&mut self, id: &SettlementId, verdict: Verdict) {
        let total = self.plans[id].total;
        let observed = self.observations.get_mut(id).unwrap();
        let first = *observed.verdict.get_or_insert(verdict);
        let last = match verdict {
            Verdict::Closed { total } => total,
            Verdict::Broken { at, .. } => at - 1,
        };
        let is_delivered = observed.are_delivered(1..=last);
        let greatest = observed.runs.keys().next_back().copied().unwrap_or(0);
        let is_confirmed = observed.is_closing_confirmed || observed.in_session == Some(false);
        match verdict {
            _ if first != verdict => {
                self.report_violation(format!("{}: {first:?}, then {verdict:?}", id.name));
            }
            Verdict::Closed { total: decided } if decided != total || !is_delivered || !is_confirmed => {
                self.report_violation(format!("{}: closed, and is not", id.name));
            }
            Verdict::Broken { at, .. } if !is_delivered || greatest > at => {
                self.report_violation(format!("{}: broken at {at}, with {greatest} run", id.name));
            }
            _ => {}
        }
    }

    /// Once nothing is in flight: each message that was accepted has ended, and every table is empty.
    pub fn check_quiescent(&mut self) {
        for (id, observed) in self.observations.clone() {
            let without_end = observed.accepted.iter().find(|position| !observed.ends.contains_key(position));
            if let Some(position) = without_end {
                let text = format!("{}: position {position} was accepted, and has no end", id.name);
                self.report_violation(text);
            }
        }
        for courier in self.couriers.clone() {
            let is_up = courier.is_up() && courier.applied == self.log.len();
            if is_up && (courier.owned.counts(), courier.forwarder.len()) != (OwnedCounts::default(), 0) {
                self.report_violation(format!("a courier still has {:?}", courier.owned.counts()));
            }
        }
    }
}
