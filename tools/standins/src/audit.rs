//! The auditor: from the answers to clients, from what partners and the platform received, and from the journals of the
//! couriers it finds every rule that was broken. [`audit`] is a pure function of a [`History`]; the order of its lists does
//! not matter.
//!
//! What is unknown is no finding: a message whose client got no answer needs no end, a call in a [`FaultWindow`] may end
//! otherwise, as the courier may have missed its answer, and a takeover is given by [`Seal`]s.

mod finding;
mod settlements;

pub use finding::{CallEvidence, Finding, SettlementFault};
pub use settlements::{SettlementEnd, SettlementOutcome, SettlementPosition};

use crate::record::BodyDigest;
use quillmount_core::journal::{End, JournalContents, JournalRecord, Records};
use quillmount_policy::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// A delivery this close to the deadline of its message, or later, may be followed by a notice of its end.
const CLOSE: Micros = 50_000;

/// Whether messages of a class may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatPolicy {
    /// Not once a call may have run.
    Once,
    /// With their key, within a span after the first call that may have run.
    Keyed {
        /// The span, in microseconds.
        span: Micros,
    },
    /// Anything.
    Safe,
}

/// The rules of an audit; times in microseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuditRules {
    /// Classes by name; messages of others may not be repeated.
    pub classes: BTreeMap<String, RepeatPolicy>,
    /// A notice may come this long after the deadline of its message.
    pub grace: Micros,
    /// A call may arrive this long after it was sent, and an answer this long after it was written.
    pub transit: Micros,
    /// Answers written this long before a fault of a courier, or after it, may not have been received or stored.
    pub slack: Micros,
    /// Connections of a partner may exceed a lowered budget for this long.
    pub attrition: Micros,
}

impl Default for AuditRules {
    /// The example's classes, and times for a loaded machine.
    fn default() -> Self {
        let keyed = RepeatPolicy::Keyed { span: 6_000_000 };
        AuditRules {
            classes: [("fee-debit".into(), RepeatPolicy::Once), ("paid-notice".into(), keyed)].into(),
            grace: 3_000_000,
            transit: 1_000_000,
            slack: 2_000_000,
            attrition: 3_000_000,
        }
    }
}

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
    /// When the client was answered that the message is accepted, now or before.
    fn taken_on(&self) -> Option<Micros> {
        self.answered.filter(|(_, status)| matches!(status, 200 | 202)).map(|(at, _)| at)
    }

    /// Whether the client was answered that the message is rejected. 409 is for a message that the courier has, or had.
    fn refused(&self) -> bool {
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
    pub whole: bool,
    /// Whether it ran, or may have.
    pub ran: bool,
    /// When it was answered, and with which status.
    pub answered: Option<(Micros, u16)>,
    /// The answer is known not to have left.
    pub unheard: bool,
}

impl ObservedCall {
    fn delivered(&self) -> Option<Micros> {
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
        let messages = owed.into_values().map(|entry| (entry.taken.id, entry.calls.len())).collect();
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
    fn in_fault_window(&self, courier: usize, from: Micros, to: Micros) -> bool {
        let slack = self.rules.slack;
        self.fault_windows.iter().any(|window| {
            let end = window.to.map_or(Micros::MAX, |end| end.saturating_add(slack));
            window.courier == courier && window.from.saturating_sub(slack) <= to && from <= end
        })
    }
}

/// What is known of one message.
#[derive(Default)]
struct MessageHistory<'a> {
    submissions: Vec<&'a Submission>,
    calls: Vec<&'a ObservedCall>,
    notices: Vec<&'a Notice>,
}

/// Every rule that was broken, in the order of messages, then partners, journals and settlements.
pub fn audit(history: &History) -> Vec<Finding> {
    let mut messages_by_id: BTreeMap<&str, MessageHistory> = BTreeMap::new();
    for submission in &history.submissions {
        messages_by_id.entry(&submission.id).or_default().submissions.push(submission);
    }
    for observed in &history.calls {
        messages_by_id.entry(&observed.id).or_default().calls.push(observed);
    }
    for notice in &history.notices {
        messages_by_id.entry(&notice.id).or_default().notices.push(notice);
    }
    let journal_index = JournalIndex::read(&history.journals);
    let mut found = Vec::new();
    for (id, message) in &mut messages_by_id {
        message.submissions.sort_by_key(|submission| submission.submitted_at);
        message.calls.sort_by_key(|observed| (observed.began, observed.connection));
        message.notices.sort_by_key(|notice| notice.at);
        ends(id, message, history, &journal_index, &mut found);
        calls(id, message, history, &mut found);
        seals(id, message, history, &mut found);
    }
    budgets(history, &mut found);
    journal_index.check(history, &messages_by_id, &mut found);
    settlements::check(&history.positions, &history.ends, &mut found);
    found
}

/// One end for each accepted message, and none for others.
fn ends(
    id: &str,
    message: &MessageHistory,
    history: &History,
    journal_index: &JournalIndex,
    found: &mut Vec<Finding>,
) {
    let Some(first) = message.submissions.first() else {
        let (calls, notices) = (message.calls.len(), message.notices.len());
        found.push(Finding::Unknown { id: id.to_string(), calls, notices });
        return;
    };
    let delivered = message.calls.iter().any(|observed| observed.delivered().is_some());
    check_rejected(id, message, first, found);
    check_reported_delivery(id, message, delivered, found);
    check_notices(id, message, found);
    check_single_end(id, message, history, found);
    if !delivered && message.notices.is_empty() {
        check_missing_end(id, message, history, journal_index, found);
    }
}

/// No call and no notice of a message that was rejected each time.
fn check_rejected(id: &str, message: &MessageHistory, first: &Submission, found: &mut Vec<Finding>) {
    let (calls, notices) = (message.calls.len(), message.notices.len());
    if message.submissions.iter().all(|submission| submission.refused()) && calls + notices > 0 {
        let status = first.answered.map_or(0, |(_, status)| status);
        found.push(Finding::RefusedButEnded { id: id.to_string(), status, calls, notices });
    }
}

/// No client is answered that a message is delivered which no partner has answered 200.
fn check_reported_delivery(id: &str, message: &MessageHistory, delivered: bool, found: &mut Vec<Finding>) {
    let reported_delivered =
        message.submissions.iter().find(|submission| submission.answered.is_some_and(|a| a.1 == 200));
    if let Some(submission) = reported_delivered.filter(|_| !delivered) {
        found.push(Finding::NotDelivered { id: id.to_string(), courier: submission.courier });
    }
}

/// All notices of a message have the same status.
fn check_notices(id: &str, message: &MessageHistory, found: &mut Vec<Finding>) {
    for pair in message.notices.windows(2) {
        if pair[0].status != pair[1].status {
            let (first, second) = (pair[0].status.clone(), pair[1].status.clone());
            let couriers = (pair[0].courier, pair[1].courier);
            found.push(Finding::ConflictingNotices { id: id.to_string(), first, second, couriers });
        }
    }
}

/// No notice of a message whose delivery its courier knows of.
fn check_single_end(id: &str, message: &MessageHistory, history: &History, found: &mut Vec<Finding>) {
    // A delivery close to the deadline may count or not: then the platform is notified as well.
    let deadline = message
        .submissions
        .iter()
        .filter_map(|submission| Some(submission.answered?.0 + submission.time_left))
        .max();
    let is_close = |at: Micros| deadline.is_some_and(|deadline| at + CLOSE >= deadline);
    let was_heard = |observed: &&&ObservedCall| {
        let at = observed.delivered().filter(|at| !observed.unheard && !is_close(*at));
        at.is_some_and(|at| !history.in_fault_window(observed.courier, observed.began, at))
    };
    if let (Some(notice), Some(call)) = (message.notices.first(), message.calls.iter().find(was_heard)) {
        let (call, status, notified_at) = (CallEvidence::of(call), notice.status.clone(), notice.at);
        found.push(Finding::EndedTwice { id: id.to_string(), call, status, notified_at });
    }
}

/// An accepted message without an end is not yet due, and is in a journal.
fn check_missing_end(
    id: &str,
    message: &MessageHistory,
    history: &History,
    journal_index: &JournalIndex,
    found: &mut Vec<Finding>,
) {
    let accepted = message
        .submissions
        .iter()
        .filter_map(|submission| Some((submission.taken_on()?, submission)))
        .min_by_key(|(at, _)| *at);
    let Some((taken, submission)) = accepted else { return };
    let (id, courier) = (id.to_string(), submission.courier);
    let deadline = taken + submission.time_left;
    if history.at > deadline + history.rules.grace {
        found.push(Finding::Lost { id, courier, taken, deadline });
    } else if !history.journals.is_empty() && !journal_index.known.contains(&id) {
        found.push(Finding::Forgotten { id, courier, taken });
    }
}

/// Each call is allowed, and carries what was submitted.
fn calls(id: &str, message: &MessageHistory, history: &History, found: &mut Vec<Finding>) {
    let Some(submission) = message.submissions.first() else { return };
    let (id, rules) = (id.to_string(), &history.rules);
    for observed in &message.calls {
        let call = CallEvidence::of(observed);
        if !message.submissions.iter().any(|submission| submission.dest == observed.dest) {
            found.push(Finding::WrongPartner { id: id.clone(), call: call.clone(), dest: submission.dest });
        }
        if !message.submissions.iter().any(|submission| submission.key == observed.key) {
            let key = submission.key.clone();
            found.push(Finding::KeyChanged {
                id: id.clone(),
                call: call.clone(),
                key,
                was: observed.key.clone(),
            });
        }
        if observed.whole && !message.submissions.iter().any(|submission| submission.body == observed.body) {
            found.push(Finding::BodyChanged { id: id.clone(), call: call.clone() });
        }
        // Its time began when the courier had read it: before it answered, or nobody knows when.
        let ends = |submission: &&Submission| Some(submission.answered?.0 + submission.time_left);
        let ends: Option<Vec<Micros>> = message.submissions.iter().map(ends).collect();
        let last = ends.and_then(|ends| ends.into_iter().max());
        if let Some(deadline) = last.filter(|last| observed.began > last + rules.transit) {
            found.push(Finding::CalledLate { id: id.clone(), call: call.clone(), deadline });
        }
        let earlier = message.notices.first().filter(|notice| observed.began > notice.at + rules.transit);
        if let Some(notice) = earlier
            && !history.in_fault_window(observed.courier, notice.at, observed.began)
        {
            let (status, notified_at) = (notice.status.clone(), notice.at);
            found.push(Finding::CalledAfterEnd { id: id.clone(), call, status, notified_at });
        }
    }
    let runs: Vec<&ObservedCall> = message.calls.iter().copied().filter(|observed| observed.ran).collect();
    let Some((first, repeat)) = runs.split_first() else { return };
    let class = rules.classes.get(&submission.class).copied().unwrap_or(RepeatPolicy::Once);
    for call in repeat {
        let id = id.clone();
        let (first, repeat, after) =
            (CallEvidence::of(first), CallEvidence::of(call), call.began - first.began);
        match class {
            RepeatPolicy::Safe => {}
            RepeatPolicy::Keyed { span } if call.key.is_some() && after <= span => {}
            RepeatPolicy::Keyed { span } if call.key.is_some() => {
                found.push(Finding::RepeatedLate { id, first, repeat, after, span });
            }
            RepeatPolicy::Keyed { .. } | RepeatPolicy::Once => {
                found.push(Finding::RanTwice { id, first, repeat })
            }
        }
    }
}

/// Nothing is sent by a courier whose book was sealed, but what the copies knew of.
fn seals(id: &str, message: &MessageHistory, history: &History, found: &mut Vec<Finding>) {
    for seal in &history.seals {
        let Some(known) = seal.messages.get(id) else { continue };
        let of = message.calls.iter().filter(|observed| observed.courier == seal.courier);
        for (n, observed) in of.enumerate() {
            if observed.began > seal.at && n >= *known {
                let (id, call) = (id.to_string(), CallEvidence::of(observed));
                found.push(Finding::SentAfterSeal { id, call, sealed: seal.at, known: *known });
            }
        }
    }
}

/// At no moment more connections than a partner allows.
fn budgets(history: &History, found: &mut Vec<Finding>) {
    let partners: BTreeSet<usize> = history.budgets.iter().map(|budget| budget.partner).collect();
    for partner in partners {
        let mut budgets: Vec<&Budget> = history.budgets.iter().filter(|b| b.partner == partner).collect();
        budgets.sort_by_key(|budget| budget.from);
        // The most that held at any moment of the attrition before.
        let allowed = |at: Micros| {
            let since = at.saturating_sub(history.rules.attrition);
            let until = |n: usize| budgets.get(n + 1).map_or(Micros::MAX, |next| next.from);
            let in_force = budgets.iter().enumerate().filter(|(n, b)| b.from <= at && until(*n) > since);
            in_force.map(|(_, b)| b.most).max()
        };
        let mut events: Vec<ConnectionCount> =
            history.connections.iter().filter(|event| event.partner == partner).copied().collect();
        // Stable: what happened in one microsecond stays in its order.
        events.sort_by_key(|event| event.at);
        let met = budgets.iter().map(|budget| budget.from + history.rules.attrition);
        let looks = met.filter(|at| *at <= history.at).map(|at| {
            let open = events.iter().rfind(|event| event.at <= at).map_or(0, |event| event.open);
            ConnectionCount { partner, at, open }
        });
        let mut moments: Vec<ConnectionCount> = events.iter().copied().chain(looks).collect();
        moments.sort_by_key(|event| event.at);
        // One finding for each time that it goes over.
        let mut was_exceeding = false;
        for ConnectionCount { at, open, .. } in moments {
            let most = allowed(at);
            let goes = most.is_some_and(|most| open > most);
            if goes && !was_exceeding {
                found.push(Finding::BudgetExceeded { partner, at, open, most: most.unwrap_or(0) });
            }
            was_exceeding = goes;
        }
    }
}

/// The journals, read.
struct JournalIndex<'a> {
    /// Ids that any of them still tells of.
    known: BTreeSet<String>,
    own: Vec<(&'a Journal, JournalContents, usize)>,
}

impl<'a> JournalIndex<'a> {
    fn read(journals: &'a [Journal]) -> JournalIndex<'a> {
        let (mut known, mut own) = (BTreeSet::new(), Vec::new());
        for journal in journals {
            let (contents, sound) = JournalContents::read(&journal.bytes);
            known.extend(contents.owed.values().map(|entry| entry.taken.id.clone()));
            known.extend(contents.ended.iter().map(|ended| ended.id.clone()));
            if !journal.copy {
                own.push((journal, contents, sound));
            }
        }
        JournalIndex { known, own }
    }

    fn check(
        &self,
        history: &History,
        messages_by_id: &BTreeMap<&str, MessageHistory>,
        found: &mut Vec<Finding>,
    ) {
        let mut owners: BTreeMap<&str, BTreeSet<usize>> = BTreeMap::new();
        for (journal, contents, sound) in &self.own {
            let courier = journal.courier;
            // Of one that was killed the last record may be half there, until it starts again.
            let lost = history.fault_windows.iter().any(|t| t.courier == courier && t.to.is_none());
            if *sound < journal.bytes.len() && !lost {
                let len = journal.bytes.len();
                found.push(Finding::TornRecord { courier, sound: *sound, len });
            }
            let sealed =
                |id: &str| history.seals.iter().any(|s| s.courier == courier && s.messages.contains_key(id));
            for entry in contents.owed.values() {
                let id = entry.taken.id.as_str();
                if entry.end.is_none() && !sealed(id) {
                    owners.entry(id).or_default().insert(courier);
                }
                let observed = messages_by_id.get(id).map_or(&[][..], |message| &message.calls);
                let calls = observed.iter().filter(|observed| observed.courier == courier).count();
                if calls > entry.calls.len() {
                    let (id, written) = (id.to_string(), entry.calls.len());
                    found.push(Finding::NotWritten { id, courier, calls, written });
                }
            }
            JournalIndex::steps(journal, &history.rules, found);
        }
        for (id, couriers) in owners.into_iter().filter(|(_, couriers)| couriers.len() > 1) {
            found.push(Finding::OwedTwice { id: id.into(), couriers: couriers.into_iter().collect() });
        }
    }

    /// What a journal itself says was done.
    fn steps(journal: &Journal, rules: &AuditRules, found: &mut Vec<Finding>) {
        /// A message on the way: its id and class, its calls by whether they are known not to have run, its
        /// end.
        type MessageProgress = (String, RepeatPolicy, Vec<bool>, Option<End>);
        let mut owed: BTreeMap<_, MessageProgress> = BTreeMap::new();
        let courier = journal.courier;
        for (at, record) in Records::new(&journal.bytes) {
            match record {
                JournalRecord::Accept { msg, taken } | JournalRecord::Stream { msg, taken } => {
                    let class = rules.classes.get(&taken.class).copied().unwrap_or(RepeatPolicy::Once);
                    owed.insert(msg, (taken.id, class, Vec::new(), None));
                }
                JournalRecord::Attempt { msg, .. } | JournalRecord::Sent { msg, .. } => {
                    let Some((id, class, calls, end)) = owed.get_mut(&msg) else { continue };
                    if end.is_some() {
                        found.push(Finding::WrittenAfterEnd { id: id.clone(), courier, byte: at });
                    } else if *class == RepeatPolicy::Once && calls.contains(&false) {
                        found.push(Finding::WrittenTwice { id: id.clone(), courier, byte: at });
                    }
                    calls.push(false);
                }
                JournalRecord::Outcome { msg, attempt, never_ran } => {
                    let call = owed.get_mut(&msg).and_then(|progress| progress.2.get_mut(attempt as usize));
                    call.into_iter().for_each(|call| *call = never_ran);
                }
                JournalRecord::End { msg, end } => {
                    if let Some((.., recorded)) = owed.get_mut(&msg) {
                        *recorded = Some(end);
                    }
                }
                JournalRecord::Confirmed { .. }
                | JournalRecord::Ended { .. }
                | JournalRecord::Disable { .. }
                | JournalRecord::Enable { .. } => {}
                // What a settlement's home has is in words of its own.
                JournalRecord::Sealed
                | JournalRecord::From { .. }
                | JournalRecord::Settled { .. }
                | JournalRecord::Settlement { .. }
                | JournalRecord::SettlementEnded { .. } => {}
            }
        }
    }
}
