//! The journals of the couriers.

use super::finding::Finding;
use super::history::{History, Journal};
use super::messages::MessageHistory;
use super::{AuditRules, RepeatPolicy};
use quillmount_core::journal::{End, JournalContents, JournalRecord, Records};
use std::collections::{BTreeMap, BTreeSet};

/// A journal at its owner.
struct OwnJournal<'a> {
    journal: &'a Journal,
    contents: JournalContents,
    /// Bytes up to the end of the last sound record.
    sound: usize,
}

/// The journals, as the auditor reads them.
pub(super) struct JournalIndex<'a> {
    /// Ids of the messages that any journal or replica has.
    known: BTreeSet<String>,
    own: Vec<OwnJournal<'a>>,
}

impl<'a> JournalIndex<'a> {
    pub fn read(journals: &'a [Journal]) -> JournalIndex<'a> {
        let (mut known, mut own) = (BTreeSet::new(), Vec::new());
        for journal in journals {
            let (contents, sound) = JournalContents::read(&journal.bytes);
            known.extend(contents.owed.values().map(|entry| entry.message.id.clone()));
            known.extend(contents.ended.iter().map(|ended| ended.id.clone()));
            if !journal.copy {
                own.push(OwnJournal { journal, contents, sound });
            }
        }
        JournalIndex { known, own }
    }

    /// Whether any journal or replica has the message.
    pub fn knows(&self, id: &str) -> bool {
        self.known.contains(id)
    }

    /// Checks each journal, and that no two couriers owe the same message.
    pub fn check(
        &self,
        history: &History,
        messages: &BTreeMap<&str, MessageHistory>,
        found: &mut Vec<Finding>,
    ) {
        let mut owners: BTreeMap<&str, BTreeSet<usize>> = BTreeMap::new();
        for own in &self.own {
            let courier = own.journal.courier;
            own.check_sound(history, found);
            own.check_attempts(messages, found);
            for id in own.owed_messages(history) {
                owners.entry(id).or_default().insert(courier);
            }
            check_records(own.journal, &history.rules, found);
        }
        for (id, couriers) in owners.into_iter().filter(|(_, couriers)| couriers.len() > 1) {
            found.push(Finding::OwedTwice { id: id.into(), couriers: couriers.into_iter().collect() });
        }
    }
}

impl OwnJournal<'_> {
    /// All records are sound.
    fn check_sound(&self, history: &History, found: &mut Vec<Finding>) {
        let (courier, len) = (self.journal.courier, self.journal.bytes.len());
        // A killed courier may leave an incomplete last record, until it starts again.
        let is_down =
            history.fault_windows.iter().any(|window| window.courier == courier && window.to.is_none());
        if self.sound < len && !is_down {
            found.push(Finding::TornRecord { courier, sound: self.sound, len });
        }
    }

    /// The journal has each call that the courier made of a message that it owes.
    fn check_attempts(&self, messages: &BTreeMap<&str, MessageHistory>, found: &mut Vec<Finding>) {
        let courier = self.journal.courier;
        for entry in self.contents.owed.values() {
            let id = entry.message.id.as_str();
            let observed = messages.get(id).map_or(&[][..], |message| &message.calls);
            let calls = observed.iter().filter(|call| call.courier == courier).count();
            let written = entry.attempts.len();
            if calls > written {
                found.push(Finding::NotWritten { id: id.to_string(), courier, calls, written });
            }
        }
    }

    /// Messages without an end that no other courier has taken over.
    fn owed_messages(&self, history: &History) -> impl Iterator<Item = &str> {
        let courier = self.journal.courier;
        let is_sealed = move |id: &str| {
            history.seals.iter().any(|seal| seal.courier == courier && seal.messages.contains_key(id))
        };
        let without_end = self.contents.owed.values().filter(|entry| entry.end.is_none());
        without_end.map(|entry| entry.message.id.as_str()).filter(move |id| !is_sealed(id))
    }
}

/// A message as the records of a journal up to here have it.
struct MessageProgress {
    id: String,
    policy: RepeatPolicy,
    /// For each attempt, whether it is known not to have run.
    never_ran: Vec<bool>,
    end: Option<End>,
}

/// Checks the attempts in a journal: none after an end, and none that the policy of the class forbids.
fn check_records(journal: &Journal, rules: &AuditRules, found: &mut Vec<Finding>) {
    let mut messages: BTreeMap<_, MessageProgress> = BTreeMap::new();
    let courier = journal.courier;
    for (byte, record) in Records::new(&journal.bytes) {
        match record {
            JournalRecord::Accept { msg, message } | JournalRecord::Stream { msg, message } => {
                let policy = rules.repeat_policy(&message.class);
                let progress = MessageProgress { id: message.id, policy, never_ran: Vec::new(), end: None };
                messages.insert(msg, progress);
            }
            JournalRecord::Attempt { msg, .. } | JournalRecord::Sent { msg, .. } => {
                let Some(message) = messages.get_mut(&msg) else { continue };
                let id = message.id.clone();
                if message.end.is_some() {
                    found.push(Finding::WrittenAfterEnd { id, courier, byte });
                } else if message.policy == RepeatPolicy::Once && message.never_ran.contains(&false) {
                    found.push(Finding::WrittenTwice { id, courier, byte });
                }
                message.never_ran.push(false);
            }
            JournalRecord::Outcome { msg, attempt, never_ran } => {
                let message = messages.get_mut(&msg);
                if let Some(known) = message.and_then(|message| message.never_ran.get_mut(attempt as usize)) {
                    *known = never_ran;
                }
            }
            JournalRecord::End { msg, end } => {
                if let Some(message) = messages.get_mut(&msg) {
                    message.end = Some(end);
                }
            }
            JournalRecord::Confirmed { .. }
            | JournalRecord::Ended { .. }
            | JournalRecord::Disable { .. }
            | JournalRecord::Enable { .. } => {}
            // The records of fleets and settlements have no attempts of a message.
            JournalRecord::Sealed
            | JournalRecord::From { .. }
            | JournalRecord::Settled { .. }
            | JournalRecord::Settlement { .. }
            | JournalRecord::SettlementEnded { .. } => {}
        }
    }
}
