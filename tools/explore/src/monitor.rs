//! What clients, endpoints and the platform see of a courier, and the properties that it must keep. The monitor shares no
//! code with what it checks: it relies on bytes and times alone.

use crate::case::{CLASSES, Case, DEBIT};
use crate::property::{Property, Violation, violated};
use quillmount_core::Ending;
use quillmount_policy::Micros;
use std::collections::BTreeMap;

/// Tolerance of deadlines, in microseconds: on sockets they are met this much later.
pub const SLACK: Micros = 50_000;
/// The final answer may come this long after the deadline of the message, in microseconds.
pub const ANSWER_GRACE: Micros = 300_000;
/// Calls may begin to an endpoint for this long after its drain was announced, in microseconds.
pub const DRAIN_GRACE: Micros = 1_000_000;
/// Calls that reach a destination this soon after its wait began are tolerated, in microseconds.
const WAIT_GRACE: Micros = 100_000;
/// No notice is overdue until this long after the courier has started, in microseconds.
const READY_GRACE: Micros = 1_500_000;

/// Whether a message was accepted, as the client knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Acceptance {
    /// It was rejected.
    No,
    /// It is in the store, but the client got no answer.
    Unheard,
    /// The client got 202.
    Heard,
}

/// One call as its endpoint sees it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ObservedCall {
    /// The incarnation of the courier that sent it: numbers of attempts that never left are used again by the next.
    pub incarnation: u8,
    /// Number of the attempt.
    pub attempt: u32,
    /// When its first byte was written.
    pub first: Micros,
    /// When its last byte was written: from then on it may run.
    pub last: Option<Micros>,
    /// An answer proves that it never ran.
    pub never_ran: bool,
    /// It is neither answered nor ended.
    pub open: bool,
}

impl ObservedCall {
    fn may_have_run(&self) -> bool {
        self.last.is_some() && !self.never_ran
    }
}

/// One message as clients, endpoints and platform see it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ObservedMessage {
    /// Index into [`CLASSES`].
    pub class: u8,
    /// The destination.
    pub dest: u64,
    /// The idempotency key.
    pub key: u64,
    /// When its time is up.
    pub deadline: Micros,
    /// What the client knows.
    pub acceptance: Acceptance,
    /// All calls for it, in order.
    pub calls: Vec<ObservedCall>,
    /// How it ended, by the notice that the platform has.
    pub notice: Option<Ending>,
    /// An endpoint has answered 200 before the deadline.
    pub delivered: bool,
    /// An endpoint has answered 410.
    pub gone: bool,
    /// The courier has read one of these answers, and has not crashed before it stored that.
    pub settled: bool,
}

impl ObservedMessage {
    /// Whether it has an end: a notice, a delivery, or an answer that it is gone.
    pub fn is_final(&self) -> bool {
        self.notice.is_some() || self.delivered || self.gone
    }

    /// The first call that may have run.
    pub fn first_possible_run(&self) -> Option<&ObservedCall> {
        self.calls.iter().find(|s| s.may_have_run())
    }
}

/// What the outside has seen so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Monitor {
    /// Incarnations of the courier before this one.
    pub incarnation: u8,
    /// Messages in the order of submission.
    pub messages: Vec<ObservedMessage>,
    /// When the drain of each endpoint was announced.
    pub drains: BTreeMap<u8, Micros>,
    /// The last wait that each destination asked for: since when, and until when.
    pub waits: BTreeMap<u64, (Micros, Micros)>,
    /// No notice is overdue before.
    pub grace_until: Micros,
}

impl Monitor {
    /// The first byte of a call is written.
    ///
    /// # Errors
    /// The call may not begin: a drain, the slots, an earlier end, the attempts, or its number forbid it.
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

    /// The last byte of a call is written.
    ///
    /// # Errors
    /// The call may not run: a wait, or an earlier call that may have run, forbids it.
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
            if m.class == DEBIT {
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

    /// An endpoint has answered, or the connection of a call has ended.
    pub fn call_ended(&mut self, message: usize, attempt: u32, never_ran: bool) {
        let incarnation = self.incarnation;
        let own = |s: &&mut ObservedCall| (s.incarnation, s.attempt) == (incarnation, attempt);
        for s in self.messages[message].calls.iter_mut().filter(own) {
            (s.never_ran, s.open) = (s.never_ran || never_ran, false);
        }
    }

    /// The platform receives a notice.
    ///
    /// # Errors
    /// The message was not accepted, has ended otherwise, or may still be running.
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
            && m.class == DEBIT
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

    /// The process has ended: all calls in flight have lost their connections.
    pub fn crashed(&mut self) {
        self.messages.iter_mut().flat_map(|m| &mut m.calls).for_each(|s| s.open = false);
        self.waits.clear();
        self.incarnation += 1;
    }

    /// The process has started.
    pub fn ready(&mut self, now: Micros) {
        self.grace_until = self.grace_until.max(now + READY_GRACE);
    }

    /// When the end of a message is overdue.
    pub fn overdue_at(&self, m: &ObservedMessage) -> Micros {
        (m.deadline + ANSWER_GRACE + SLACK).max(self.grace_until)
    }

    /// Checks what must hold at every moment.
    ///
    /// # Errors
    /// The end of a message is overdue.
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
