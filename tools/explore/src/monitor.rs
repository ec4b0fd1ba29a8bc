//! What the outside sees of a courier, and the properties that it must keep. It shares no code with what
//! it judges, and believes bytes and times only.

use crate::case::{CLASSES, Case};
use quillmount_core::Ending;
use quillmount_policy::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What must hold; `docs/exploration.md` words them at length.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Property {
    FinalAnswer,
    NoRepeat,
    Drain,
    Wait,
    Unchanged,
    #[serde(rename = "kept")]
    Durability,
    Liveness,
}

impl Property {
    pub const ALL: [(Property, &'static str); 7] = [
        (
            Property::FinalAnswer,
            "one final answer for each message taken on, in time; none for one that was not",
        ),
        (
            Property::NoRepeat,
            "no debit sent while an earlier attempt may have run; no notice outside its key's span",
        ),
        (Property::Drain, "no first byte to an endpoint later than 1 s after its drain was told"),
        (Property::Wait, "no call to a destination during a wait that it told"),
        (Property::Unchanged, "id, key, body and destination as handed in; attempts, slots and holding kept"),
        (Property::Durability, "what was answered 202 is in the store, and every prefix is read back"),
        (Property::Liveness, "if the world turns kind, everything owed ends and every table empties"),
    ];

    pub fn name(self) -> &'static str {
        match self {
            Property::FinalAnswer => "final-answer",
            Property::NoRepeat => "no-repeat",
            Property::Drain => "drain",
            Property::Wait => "wait",
            Property::Unchanged => "unchanged",
            Property::Durability => "kept",
            Property::Liveness => "liveness",
        }
    }
}

/// A property that does not hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{}: {what}", .property.name())]
pub struct Violation {
    pub property: Property,
    pub what: String,
}

pub fn violated<T>(property: Property, what: String) -> Result<T, Violation> {
    Err(Violation { property, what })
}

/// Time limits of the rules are longer on sockets by this.
pub const SLACK: Micros = 50_000;
/// The final answer may come so long after the message's time.
const ANSWER_GRACE: Micros = 300_000;
/// Nothing new goes to an endpoint so long after its drain was told.
pub const DRAIN_GRACE: Micros = 1_000_000;
/// Calls that come so soon after a wait was told are let through.
const WAIT_GRACE: Micros = 100_000;
/// A restarted courier's notices are not overdue before this long after it is ready.
const READY_GRACE: Micros = 1_500_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Acceptance {
    No,
    /// Its record is whole, and the consumer never heard of it.
    Unheard,
    /// The consumer has its 202.
    Heard,
}

/// One call as its provider sees it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ObservedCall {
    /// The courier's life that sent it: numbers of calls that never left are used again in the next.
    pub incarnation: u8,
    pub attempt: u32,
    pub first: Micros,
    /// When its last byte was written: from then on it may run.
    pub last: Option<Micros>,
    /// An answer proves that it did not.
    pub never_ran: bool,
    /// Neither answered nor ended.
    pub open: bool,
}

impl ObservedCall {
    fn may_have_run(&self) -> bool {
        self.last.is_some() && !self.never_ran
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ObservedMessage {
    pub class: u8,
    pub dest: u64,
    pub key: u64,
    pub deadline: Micros,
    pub acceptance: Acceptance,
    pub calls: Vec<ObservedCall>,
    /// What the platform was told of its end.
    pub notice: Option<Ending>,
    /// A provider has said 200.
    pub delivered: bool,
    /// A provider has said that it is over.
    pub gone: bool,
    /// The courier has read one of these words, and lived to note it.
    pub settled: bool,
}

impl ObservedMessage {
    pub fn is_final(&self) -> bool {
        self.notice.is_some() || self.delivered || self.gone
    }

    /// The first send that may have run.
    pub fn first_possible_run(&self) -> Option<&ObservedCall> {
        self.calls.iter().find(|s| s.may_have_run())
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Monitor {
    /// Lives of the courier before this one.
    pub incarnation: u8,
    pub messages: Vec<ObservedMessage>,
    /// When each provider's drain was told.
    pub drains: BTreeMap<u8, Micros>,
    /// The wait that each destination told last: from when, until when.
    pub waits: BTreeMap<u64, (Micros, Micros)>,
    /// No notice is overdue before.
    pub grace_until: Micros,
}

impl Monitor {
    pub fn first_byte(
        &mut self,
        case: &Case,
        now: Micros,
        message: usize,
        attempt: u32,
        endpoint: u8,
    ) -> Result<(), Violation> {
        if let Some(announced_at) =
            self.drains.get(&endpoint).filter(|announced_at| now > **announced_at + DRAIN_GRACE)
        {
            return violated(
                Property::Drain,
                format!(
                    "m{message} goes to provider {endpoint} {} us after its drain was told",
                    now - announced_at
                ),
            );
        }
        let out = self.messages.iter().flat_map(|m| &m.calls).filter(|s| s.open).count();
        if out >= case.slots as usize {
            return violated(
                Property::Unchanged,
                format!("m{message} is sent with all {} slots taken", case.slots),
            );
        }
        let m = &mut self.messages[message];
        if let Some(end) = m.notice {
            return violated(
                Property::FinalAnswer,
                format!("m{message} is sent after the platform was told {end:?}"),
            );
        }
        if m.calls.len() >= case.attempts as usize {
            return violated(
                Property::Unchanged,
                format!("m{message} is sent more than {} times", case.attempts),
            );
        }
        if m.calls.iter().any(|s| (s.incarnation, s.attempt) == (self.incarnation, attempt)) {
            return violated(Property::Unchanged, format!("call {attempt} of m{message} is made twice"));
        }
        m.calls.push(ObservedCall {
            incarnation: self.incarnation,
            attempt,
            first: now,
            last: None,
            never_ran: false,
            open: true,
        });
        Ok(())
    }

    pub fn last_byte(
        &mut self,
        case: &Case,
        now: Micros,
        message: usize,
        attempt: u32,
    ) -> Result<(), Violation> {
        let m = &mut self.messages[message];
        let dest = m.dest;
        if let Some((from, until)) =
            self.waits.get(&dest).filter(|(from, until)| now > from + WAIT_GRACE && now < *until)
        {
            return violated(
                Property::Wait,
                format!(
                    "m{message} reaches destination {dest} {} us into its wait of {} us",
                    now - from,
                    until - from
                ),
            );
        }
        if let Some(first) = m.first_possible_run() {
            let (since, n) = (now - first.first, first.attempt);
            if m.class == 0 {
                return violated(
                    Property::NoRepeat,
                    format!("call {attempt} of m{message}, a debit, while call {n} may have run"),
                );
            }
            if since > case.span() {
                return violated(
                    Property::NoRepeat,
                    format!("call {attempt} of m{message} {since} us after call {n}, which may have run"),
                );
            }
        }
        let sent = m.calls.iter_mut().find(|s| (s.incarnation, s.attempt) == (self.incarnation, attempt));
        sent.into_iter().for_each(|s| s.last = Some(now));
        Ok(())
    }

    /// A provider has answered, or the connection of a call has ended.
    pub fn call_ended(&mut self, message: usize, attempt: u32, never_ran: bool) {
        let incarnation = self.incarnation;
        let own = |s: &&mut ObservedCall| (s.incarnation, s.attempt) == (incarnation, attempt);
        for s in self.messages[message].calls.iter_mut().filter(own) {
            (s.never_ran, s.open) = (s.never_ran || never_ran, false);
        }
    }

    /// The platform gets a notice.
    pub fn notice(&mut self, message: usize, ending: Ending) -> Result<(), Violation> {
        let m = &mut self.messages[message];
        if m.acceptance == Acceptance::No {
            return violated(
                Property::FinalAnswer,
                format!("a notice for m{message}, which was not taken on"),
            );
        }
        if let Some(before) = m.notice.filter(|before| *before != ending) {
            return violated(
                Property::FinalAnswer,
                format!("m{message} ends as {ending:?} after {before:?}"),
            );
        }
        if matches!(ending, Ending::Deferred(_))
            && m.class == 0
            && let Some(possible_run) = m.first_possible_run()
        {
            let n = possible_run.attempt;
            return violated(
                Property::NoRepeat,
                format!("m{message}, a debit, is deferred though call {n} may have run"),
            );
        }
        m.notice = Some(ending);
        Ok(())
    }

    /// All calls that were out have lost their connections.
    pub fn crashed(&mut self) {
        self.messages.iter_mut().flat_map(|m| &mut m.calls).for_each(|s| s.open = false);
        self.waits.clear();
        self.incarnation += 1;
    }

    pub fn ready(&mut self, now: Micros) {
        self.grace_until = self.grace_until.max(now + READY_GRACE);
    }

    /// When the end of a message is overdue.
    pub fn overdue_at(&self, m: &ObservedMessage) -> Micros {
        (m.deadline + ANSWER_GRACE + SLACK).max(self.grace_until)
    }

    /// What must hold at every moment.
    pub fn check(&self, now: Micros) -> Result<(), Violation> {
        for (n, m) in self.messages.iter().enumerate() {
            if m.acceptance == Acceptance::Heard && !m.is_final() && now > self.overdue_at(m) {
                let late = now.saturating_sub(m.deadline);
                let class = CLASSES[m.class as usize];
                return violated(
                    Property::FinalAnswer,
                    format!("m{n}, a {class}, has no end {late} us after its time"),
                );
            }
        }
        Ok(())
    }
}
