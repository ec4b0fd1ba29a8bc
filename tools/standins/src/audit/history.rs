//! All that is known of a run.

use super::{AuditRules, SettlementEnd, SettlementPosition};
use crate::record::BodyDigest;
use quillmount_core::journal::JournalContents;
use quillmount_policy::Micros;
use std::collections::BTreeMap;

/// A submission of a message by a client; a message may be submitted several times.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// The id of the message.
    pub id: String,
    /// Its class.
    pub class: String,
    /// Its idempotency key.
    pub key: Option<String>,
    /// Its destination.
    pub dest: u64,
    /// Its body.
    pub body: BodyDigest,
    /// The courier that it was submitted to.
    pub courier: usize,
    /// When it was submitted.
    pub submitted_at: Micros,
    /// The time that it may take.
    pub time_left: Micros,
    /// When it was answered, and with which status; 0: the connection broke.
    pub answered: Option<(Micros, u16)>,
}

impl Submission {
    /// When the message's time is up; `None`: the submission was not answered.
    pub(super) fn deadline(&self) -> Option<Micros> {
        self.answered.map(|(at, _)| at + self.time_left)
    }

    /// When the client was answered that the message is accepted, now or before.
    pub(super) fn accepted_at(&self) -> Option<Micros> {
        self.answered.filter(|(_, status)| matches!(status, 200 | 202)).map(|(at, _)| at)
    }

    /// Whether the client was answered that the message is rejected. 409 is for a message that the courier has, or had.
    pub(super) fn is_rejected(&self) -> bool {
        self.answered.is_some_and(|(_, status)| !matches!(status, 0 | 200 | 202 | 409))
    }
}

/// A call as its partner received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedCall {
    /// The id of the message.
    pub id: String,
    /// Its idempotency key.
    pub key: Option<String>,
    /// The destination of the partner.
    pub dest: u64,
    /// What was received of the body.
    pub body: BodyDigest,
    /// The courier that made it.
    pub courier: usize,
    /// The number of its connection.
    pub connection: u64,
    /// When its head was received.
    pub began: Micros,
    /// Whether its body was complete.
    pub complete: bool,
    /// Whether it ran, or may have.
    pub ran: bool,
    /// When it was answered, and with which status.
    pub answered: Option<(Micros, u16)>,
    /// The answer is known not to have left.
    pub unheard: bool,
}

impl ObservedCall {
    /// When the message was delivered by this call.
    pub(super) fn delivered_at(&self) -> Option<Micros> {
        self.answered.filter(|(_, status)| *status == 200).map(|(at, _)| at)
    }
}

/// A notice to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Notice {
    /// The id of the message.
    pub id: String,
    /// `undeliverable` or `deferred`; a repeated notice with the same status is harmless.
    pub status: String,
    /// The courier that sent it.
    pub courier: usize,
    /// When it was received.
    pub at: Micros,
}

/// Connections that a partner has open from a moment on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionCount {
    /// The partner, by its number.
    pub partner: usize,
    /// From when on.
    pub at: Micros,
    /// How many there are.
    pub open: usize,
}

/// Connections that a partner allows from a moment on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// The partner, by its number.
    pub partner: usize,
    /// From when on.
    pub from: Micros,
    /// How many are allowed.
    pub most: usize,
}

/// The bytes of a journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Journal {
    /// The courier that owns it.
    pub courier: usize,
    /// A replica at another courier: it proves that a message is known, and no more.
    pub copy: bool,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// The journal of a courier was sealed, and others have taken over its messages.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seal {
    /// The courier that owned it.
    pub courier: usize,
    /// When it was sealed.
    pub at: Micros,
    /// Each message that was taken over, with the number of its attempts that the replicas knew of: those may still arrive.
    pub messages: BTreeMap<String, usize>,
}

impl Seal {
    /// The seal of a journal whose replica had these bytes.
    pub fn of(courier: usize, at: Micros, copy: &[u8]) -> Seal {
        let owed = JournalContents::read(copy).0.owed;
        let messages = owed.into_values().map(|entry| (entry.message.id, entry.attempts.len())).collect();
        Seal { courier, at, messages }
    }
}

/// A time in which a courier may have failed to receive or to store something: it was killed, suspended or partitioned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultWindow {
    /// The courier.
    pub courier: usize,
    /// When it began.
    pub from: Micros,
    /// When it ended; `None`: it lasts.
    pub to: Option<Micros>,
}

/// All that is known of a run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// The rules that it is checked against.
    pub rules: AuditRules,
    /// When it was recorded: what was not due by then is not missing.
    pub at: Micros,
    /// Submissions by clients.
    pub submissions: Vec<Submission>,
    /// Calls to partners.
    pub calls: Vec<ObservedCall>,
    /// Notices to the platform.
    pub notices: Vec<Notice>,
    /// Connections to partners.
    pub connections: Vec<ConnectionCount>,
    /// Budgets of partners; one without any allows any number of connections.
    pub budgets: Vec<Budget>,
    /// Journals of all couriers, or none: then nothing is looked up in them.
    pub journals: Vec<Journal>,
    /// Seals of journals that were taken over.
    pub seals: Vec<Seal>,
    /// Times at which couriers may have missed something.
    pub fault_windows: Vec<FaultWindow>,
    /// Positions of settlements, as partners received them.
    pub positions: Vec<SettlementPosition>,
    /// Ends of settlements.
    pub ends: Vec<SettlementEnd>,
}

impl History {
    /// Whether the courier may have missed an answer that was written in this time, or may have stored late what it began then.
    pub(super) fn in_fault_window(&self, courier: usize, from: Micros, to: Micros) -> bool {
        let slack = self.rules.slack;
        self.fault_windows.iter().any(|window| {
            let end = window.to.map_or(Micros::MAX, |end| end.saturating_add(slack));
            window.courier == courier && window.from.saturating_sub(slack) <= to && from <= end
        })
    }
}
