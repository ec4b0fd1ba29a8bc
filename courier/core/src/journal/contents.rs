//! The state that results from the records of a journal, and the shortest sequence of records that restores it.

use super::frame::Records;
use super::record::{AcceptedMessage, End, JournalRecord, RepeatEffect, Source};
use super::settlements::Settlements;
use crate::disabled::DisabledEndpoints;
use quillmount_policy::{Micros, MsgId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// An attempt to deliver a message, as recorded in a journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedAttempt {
    /// Start of the attempt, in Unix microseconds.
    pub sent_at: Micros,
    /// The effect that a repeat of the attempt may have; `None`: the attempt was recorded by an earlier version
    /// without it.
    pub effect: Option<RepeatEffect>,
    /// Whether the outcome proves that the attempt had no effect; `None`: the attempt was in flight when the process
    /// ended.
    pub never_ran: Option<bool>,
}

impl RecordedAttempt {
    /// Whether the attempt may have had an effect: its outcome is unknown or does not prove the contrary.
    pub fn may_have_run(&self) -> bool {
        self.never_ran != Some(true)
    }
}

/// An owed message, as recorded in a journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JournalEntry {
    /// The message as it was accepted.
    pub message: AcceptedMessage,
    /// The attempts of the message, in the order in which they were recorded.
    pub attempts: Vec<RecordedAttempt>,
    /// The message's end, if the platform has not yet confirmed the notice of it.
    pub end: Option<End>,
    /// Whether the body was streamed; if so, it is not in the journal.
    pub stream: bool,
    /// The journal that the message was copied from, until the fleet has decided which courier owns it.
    pub source: Option<Source>,
}

impl JournalEntry {
    fn new(message: AcceptedMessage, stream: bool) -> Self {
        JournalEntry { message, attempts: Vec::new(), end: None, stream, source: None }
    }

    fn is_from(&self, source: &Source) -> bool {
        self.source.as_ref() == Some(source)
    }

    /// The shortest sequence of records that restores the entry.
    pub(super) fn records(self, msg: MsgId) -> impl Iterator<Item = JournalRecord> {
        let JournalEntry { message, attempts, end, stream, source } = self;
        let accepted = if stream {
            JournalRecord::Stream { msg, message }
        } else {
            JournalRecord::Accept { msg, message }
        };
        let source = source.map(|source| JournalRecord::From { msg, source });
        let attempts = attempts.into_iter().enumerate().flat_map(move |(index, attempt)| {
            let RecordedAttempt { sent_at, effect, never_ran } = attempt;
            let attempt_record = match effect {
                Some(effect) => JournalRecord::Sent { msg, sent_at, effect },
                None => JournalRecord::Attempt { msg, zone: 0, sent_at },
            };
            let outcome =
                never_ran.map(|never_ran| JournalRecord::Outcome { msg, attempt: index as u32, never_ran });
            std::iter::once(attempt_record).chain(outcome)
        });
        let end = end.map(|end| JournalRecord::End { msg, end });
        std::iter::once(accepted).chain(source).chain(attempts).chain(end)
    }
}

/// The end of a message that is no longer owed. It is encoded by position when a process hands over its state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RememberedEnd {
    /// The client's id of the message.
    pub id: String,
    /// The message's end.
    pub end: End,
    /// Time until which the end is remembered: the message's deadline.
    pub until: Micros,
}

/// The state that a journal describes: the owed messages, the remembered ends, and what else a restart needs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JournalContents {
    /// The owed messages, by their number.
    pub owed: BTreeMap<MsgId, JournalEntry>,
    /// The ends of messages that are no longer owed, in the order in which they were recorded.
    pub ended: Vec<RememberedEnd>,
    /// The endpoints that operators have disabled.
    pub disabled: DisabledEndpoints,
    /// The lines of the settlements that this courier owns.
    pub settlements: Settlements,
    /// The number of the next message, greater than all numbers used so far.
    pub next_message: MsgId,
}

impl JournalContents {
    /// Reads a journal's bytes up to the first torn record; returns the contents and the length of that part in bytes.
    pub fn read(bytes: &[u8]) -> (JournalContents, usize) {
        let mut contents = JournalContents::default();
        let mut records = Records::new(bytes);
        records.by_ref().for_each(|(_, record)| contents.apply(record));
        (contents, records.offset())
    }

    /// Applies one record. A record about a message that is not owed has no effect.
    pub fn apply(&mut self, record: JournalRecord) {
        if self.settlements.apply(&record) {
            return;
        }
        match record {
            JournalRecord::Accept { msg, message } => self.accept(msg, message, false),
            JournalRecord::Stream { msg, message } => self.accept(msg, message, true),
            JournalRecord::Attempt { msg, zone: _, sent_at } => self.add_attempt(msg, sent_at, None),
            JournalRecord::Sent { msg, sent_at, effect } => self.add_attempt(msg, sent_at, Some(effect)),
            JournalRecord::Outcome { msg, attempt, never_ran } => {
                let attempts = self.owed.get_mut(&msg).map(|entry| &mut entry.attempts);
                if let Some(attempt) = attempts.and_then(|attempts| attempts.get_mut(attempt as usize)) {
                    attempt.never_ran = Some(never_ran);
                }
            }
            JournalRecord::End { msg, end: End::Delivered } => self.finish(msg, End::Delivered),
            JournalRecord::End { msg, end } => {
                if let Some(entry) = self.owed.get_mut(&msg) {
                    entry.end = Some(end);
                }
            }
            JournalRecord::Confirmed { msg } => {
                if let Some(end) = self.owed.get(&msg).and_then(|entry| entry.end) {
                    self.finish(msg, end);
                }
            }
            JournalRecord::Ended { id, end, until } => self.ended.push(RememberedEnd { id, end, until }),
            JournalRecord::Disable { id } => self.disabled.insert(&id),
            JournalRecord::Enable { id } => self.disabled.remove(&id),
            JournalRecord::From { msg, source } => {
                if let Some(entry) = self.owed.get_mut(&msg) {
                    entry.source = Some(source);
                }
            }
            JournalRecord::Settled { source, accepted } => self.settle_source(&source, accepted),
            JournalRecord::Sealed
            | JournalRecord::Settlement { .. }
            | JournalRecord::SettlementEnded { .. } => {}
        }
    }

    fn accept(&mut self, msg: MsgId, message: AcceptedMessage, stream: bool) {
        self.next_message = self.next_message.max(msg + 1);
        self.owed.insert(msg, JournalEntry::new(message, stream));
    }

    fn add_attempt(&mut self, msg: MsgId, sent_at: Micros, effect: Option<RepeatEffect>) {
        if let Some(entry) = self.owed.get_mut(&msg) {
            entry.attempts.push(RecordedAttempt { sent_at, effect, never_ran: None });
        }
    }

    /// Moves a message from the owed messages to the remembered ends.
    fn finish(&mut self, msg: MsgId, end: End) {
        if let Some(entry) = self.owed.remove(&msg) {
            self.ended.push(RememberedEnd { id: entry.message.id, end, until: entry.message.deadline });
        }
    }

    fn settle_source(&mut self, source: &Source, accepted: bool) {
        if accepted {
            let entries = self.owed.values_mut().filter(|entry| entry.is_from(source));
            entries.for_each(|entry| entry.source = None);
        } else {
            self.owed.retain(|_, entry| !entry.is_from(source));
        }
    }

    /// The shortest sequence of records that restores the contents, without expired ends.
    pub(super) fn records(self, now: Micros) -> impl Iterator<Item = JournalRecord> {
        let disabled: Vec<_> =
            self.disabled.iter().map(|id| JournalRecord::Disable { id: id.into() }).collect();
        let ended = self.ended.into_iter().filter(move |ended| ended.until > now);
        let ended = ended.map(|RememberedEnd { id, end, until }| JournalRecord::Ended { id, end, until });
        let owed = self.owed.into_iter().flat_map(|(msg, entry)| entry.records(msg));
        disabled.into_iter().chain(ended).chain(self.settlements.records()).chain(owed)
    }
}
