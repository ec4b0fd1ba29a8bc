//! The record in the form of the auditor.

use super::{ConnectionChange, RecordedCall, RecordedNotice, RecordedSubmission, RunRecord, Stamp};
use crate::audit::{AuditRules, ConnectionCount, FaultWindow, History, Notice, ObservedCall, Submission};
use crate::fault::{FaultPhase, FaultTarget};
use quillmount_policy::Micros;
use std::collections::BTreeMap;

impl RunRecord {
    /// The record in the form of the auditor. `dests` are the destinations of the partners. A fault window of a courier lasts until
    /// the fault is repaired: it runs, its links pass, its listeners are open.
    pub fn history(&self, rules: AuditRules, at: Micros, dests: &[u64]) -> History {
        let destination = |partner: usize| dests.get(partner).copied().unwrap_or_default();
        let calls = self.calls.iter().map(|call| observed_call(call, destination(call.partner)));
        let couriers = 0..self.names.len();
        History {
            rules,
            at,
            submissions: self.submissions.iter().map(submission).collect(),
            calls: calls.collect(),
            notices: self.notices.iter().map(notice).collect(),
            connections: self.connection_changes.iter().map(connection_count).collect(),
            fault_windows: couriers.flat_map(|courier| self.fault_windows(courier)).collect(),
            ..History::default()
        }
    }

    /// The times from each fault of a courier to its repair.
    fn fault_windows(&self, courier: usize) -> Vec<FaultWindow> {
        let mut windows = Vec::new();
        let mut open: BTreeMap<FaultTarget, Stamp> = BTreeMap::new();
        for injected in &self.injected_faults {
            let Some(effect) = injected.what.effect_on(courier) else { continue };
            let now = injected.when;
            match effect.phase {
                FaultPhase::Begins => {
                    open.entry(effect.target).or_insert(now);
                }
                FaultPhase::Moment => {
                    windows.push(FaultWindow { courier, from: now.at, to: Some(now.at) });
                }
                FaultPhase::Ends => {
                    if let Some(from) = open.remove(&effect.target) {
                        windows.push(FaultWindow { courier, from: from.at, to: Some(now.at) });
                    }
                }
            }
        }
        windows.extend(open.into_values().map(|from| FaultWindow { courier, from: from.at, to: None }));
        windows
    }
}

fn submission(recorded: &RecordedSubmission) -> Submission {
    Submission {
        id: recorded.id.clone(),
        class: recorded.class.clone(),
        key: recorded.key.clone(),
        dest: recorded.dest,
        body: recorded.body,
        courier: recorded.courier,
        submitted_at: recorded.submitted_at.at,
        time_left: recorded.time_left,
        answered: recorded.answer.map(|(when, status)| (when.at, status)),
    }
}

fn observed_call(recorded: &RecordedCall, dest: u64) -> ObservedCall {
    ObservedCall {
        id: recorded.id.clone(),
        key: recorded.key.clone(),
        dest,
        body: recorded.body,
        courier: recorded.courier,
        connection: recorded.connection,
        began: recorded.began.at,
        complete: recorded.completed.is_some(),
        ran: recorded.ran,
        answered: recorded.answered.map(|(when, status)| (when.at, status)),
        unheard: recorded.unheard,
    }
}

fn notice(recorded: &RecordedNotice) -> Notice {
    let line: serde_json::Value = serde_json::from_str(&recorded.line).unwrap_or_default();
    let status = line["status"].as_str().unwrap_or_default().to_string();
    Notice { id: recorded.id.clone(), status, courier: recorded.courier, at: recorded.when.at }
}

fn connection_count(change: &ConnectionChange) -> ConnectionCount {
    ConnectionCount { partner: change.partner, at: change.when.at, open: change.open }
}
