//! The state that results from the records of a journal, and the fewest records with the same result.

use super::frame::Records;
use super::record::{AcceptedMessage, End, JournalRecord, RepeatEffect, Source};
use super::settlements::Settlements;
use crate::disabled::DisabledEndpoints;
use quillmount_policy::{Micros, MsgId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// An attempt of a message that a journal records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PastCall {
    /// When it began.
    pub sent: Micros,
    /// The effect that a repeat of it may have; `None`: an earlier version sent it and did not record that.
    pub effect: Option<RepeatEffect>,
    /// Its outcome proves that it had no effect; `None`: it was in flight when the process ended.
    pub never_ran: Option<bool>,
}

impl PastCall {
    /// Nothing proves that the attempt had no effect.
    pub fn may_have_run(&self) -> bool {
        self.never_ran != Some(true)
    }
}

/// An owed message as a journal records it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JournalEntry {
    /// The message.
    pub taken: AcceptedMessage,
    /// Its attempts, in order.
    pub calls: Vec<PastCall>,
    /// Its end, if it has one whose notice the platform has yet to confirm.
    pub end: Option<End>,
    /// Its body was streamed and is not in the journal.
    pub stream: bool,
    /// The journal that it comes from, if the fleet has not decided yet who owns it.
    pub source: Option<Source>,
}

impl JournalEntry {
    fn new(taken: AcceptedMessage, stream: bool) -> Self {
        JournalEntry { taken, calls: Vec::new(), end: None, stream, source: None }
    }

    fn is_from(&self, source: &Source) -> bool {
        self.source.as_ref() == Some(source)
    }

    /// The fewest records that restore the entry.
    pub(super) fn records(self, msg: MsgId) -> impl Iterator<Item = JournalRecord> {
        let JournalEntry { taken, calls, end, stream, source } = self;
        let accepted =
            if stream { JournalRecord::Stream { msg, taken } } else { JournalRecord::Accept { msg, taken } };
        let source = source.map(|source| JournalRecord::From { msg, source });
        let calls = calls.into_iter().enumerate().flat_map(move |(n, call)| {
            let PastCall { sent, effect, never_ran } = call;
            let attempt = match effect {
                Some(effect) => JournalRecord::Sent { msg, sent, effect },
                None => JournalRecord::Attempt { msg, zone: 0, sent },
            };
            let outcome =
                never_ran.map(|never_ran| JournalRecord::Outcome { msg, attempt: n as u32, never_ran });
            std::iter::once(attempt).chain(outcome)
        });
        let end = end.map(|end| JournalRecord::End { msg, end });
        std::iter::once(accepted).chain(source).chain(calls).chain(end)
    }
}

/// The end of a message that is no longer owed. Encoded by position when it is handed over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RememberedEnd {
    /// The message's id.
    pub id: String,
    /// How it ended.
    pub end: End,
    /// How long the end is remembered: the message's deadline.
    pub until: Micros,
}

/// The contents of a journal: the messages that are owed an end, and the ends that are remembered.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JournalContents {
    /// The owed messages by number.
    pub owed: BTreeMap<MsgId, JournalEntry>,
    /// The ends of messages that are no longer owed, in the order in which they were recorded.
    pub ended: Vec<RememberedEnd>,
    /// The endpoints that operators have disabled.
    pub disabled: DisabledEndpoints,
    /// The settlements that this courier owns.
    pub settlements: Settlements,
    /// Greater than every message number ever used.
    pub next: MsgId,
}

impl JournalContents {
    /// The contents of a journal's bytes up to the first torn record, and the length of that part in bytes.
    pub fn read(bytes: &[u8]) -> (JournalContents, usize) {
        let mut contents = JournalContents::default();
        let mut records = Records::new(bytes);
        records.by_ref().for_each(|(_, record)| contents.apply(record));
        (contents, records.offset())
    }

    /// Applies one record. Records that name a message which is not owed change nothing.
    pub fn apply(&mut self, record: JournalRecord) {
        if self.settlements.apply(&record) {
            return;
        }
        match record {
            JournalRecord::Accept { msg, taken } => self.accept(msg, taken, false),
            JournalRecord::Stream { msg, taken } => self.accept(msg, taken, true),
            JournalRecord::Attempt { msg, zone: _, sent } => self.add_call(msg, sent, None),
            JournalRecord::Sent { msg, sent, effect } => self.add_call(msg, sent, Some(effect)),
            JournalRecord::Outcome { msg, attempt, never_ran } => {
                let calls = self.owed.get_mut(&msg).map(|entry| &mut entry.calls);
                if let Some(call) = calls.and_then(|calls| calls.get_mut(attempt as usize)) {
                    call.never_ran = Some(never_ran);
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

    fn accept(&mut self, msg: MsgId, taken: AcceptedMessage, stream: bool) {
        self.next = self.next.max(msg + 1);
        self.owed.insert(msg, JournalEntry::new(taken, stream));
    }

    fn add_call(&mut self, msg: MsgId, sent: Micros, effect: Option<RepeatEffect>) {
        if let Some(entry) = self.owed.get_mut(&msg) {
            entry.calls.push(PastCall { sent, effect, never_ran: None });
        }
    }

    /// The message is no longer owed; its end is remembered.
    fn finish(&mut self, msg: MsgId, end: End) {
        if let Some(entry) = self.owed.remove(&msg) {
            self.ended.push(RememberedEnd { id: entry.taken.id, end, until: entry.taken.deadline });
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

    /// The fewest records that restore the contents; expired ends are left out.
    pub(super) fn records(self, now: Micros) -> impl Iterator<Item = JournalRecord> {
        let disabled: Vec<_> =
            self.disabled.iter().map(|id| JournalRecord::Disable { id: id.into() }).collect();
        let ended = self.ended.into_iter().filter(move |ended| ended.until > now);
        let ended = ended.map(|RememberedEnd { id, end, until }| JournalRecord::Ended { id, end, until });
        let owed = self.owed.into_iter().flat_map(|(msg, entry)| entry.records(msg));
        disabled.into_iter().chain(ended).chain(self.settlements.records()).chain(owed)
    }
}
