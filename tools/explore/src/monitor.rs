//! What clients, endpoints and the platform see of a courier, and the properties that it must keep. The monitor shares no
//! code with what it checks: it relies on bytes and times alone.

use crate::case::{CLASSES, Case, DEBIT};
use crate::property::{Property, Violation, violated};
use quillmount_core::Ending;
use quillmount_policy::Micros;
use std::collections::BTreeMap;
use std::fmt;

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
    Rejected,
    /// It is in the store, but the client got no answer.
    Unacknowledged,
    /// The client got 202.
    Acknowledged,
}

/// The name that is printed in traces.
impl fmt::Display for Acceptance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Acceptance::Rejected => "No",
            Acceptance::Unacknowledged => "Unheard",
            Acceptance::Acknowledged => "Heard",
        })
    }
}

/// One call as its endpoint sees it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ObservedCall {
    /// The incarnation of the courier that sent it: the next one reuses numbers of attempts that were never sent.
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
    /// Whether it is this attempt of this incarnation.
    fn is_attempt(&self, incarnation: u8, attempt: u32) -> bool {
        self.incarnation == incarnation && self.attempt == attempt
    }

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

    /// Whether its client got 202, and it has no end.
    pub fn is_unanswered(&self) -> bool {
        self.acceptance == Acceptance::Acknowledged && !self.is_final()
    }

    /// The first call that may have run.
    pub fn first_possible_run(&self) -> Option<&ObservedCall> {
        self.calls.iter().find(|call| call.may_have_run())
    }
}

/// A wait that a destination asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Wait {
    /// When the first answer asked for it.
    pub since: Micros,
    /// When it is over.
    pub until: Micros,
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
    /// The last wait that each destination asked for.
    pub waits: BTreeMap<u64, Wait>,
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
        self.check_drain(now, message, endpoint)?;
        self.check_slots(case, message)?;
        self.check_attempt(case, message, attempt)?;
        self.messages[message].calls.push(ObservedCall {
            incarnation: self.incarnation,
            attempt,
            first: now,
            last: None,
            never_ran: false,
            open: true,
        });
        Ok(())
    }

    /// The endpoint has not been draining for longer than the grace time.
    fn check_drain(&self, now: Micros, message: usize, endpoint: u8) -> Result<(), Violation> {
        let announced_at = self.drains.get(&endpoint);
        if let Some(announced_at) = announced_at.filter(|announced_at| now > **announced_at + DRAIN_GRACE) {
            let elapsed = now - announced_at;
            return violated(
                Property::Drain,
                format!("m{message} goes to provider {endpoint} {elapsed} us after its drain was told"),
            );
        }
        Ok(())
    }

    /// A slot is free.
    fn check_slots(&self, case: &Case, message: usize) -> Result<(), Violation> {
        let open = self.messages.iter().flat_map(|message| &message.calls).filter(|call| call.open).count();
        if open >= case.slots as usize {
            return violated(
                Property::Unchanged,
                format!("m{message} is sent with all {} slots taken", case.slots),
            );
        }
        Ok(())
    }

    /// The message has no end, an attempt left, and none of this number.
    fn check_attempt(&self, case: &Case, message: usize, attempt: u32) -> Result<(), Violation> {
        let observed = &self.messages[message];
        if let Some(ending) = observed.notice {
            return violated(
                Property::FinalAnswer,
                format!("m{message} is sent after the platform was told {ending:?}"),
            );
        }
        if observed.calls.len() >= case.attempts as usize {
            return violated(
                Property::Unchanged,
                format!("m{message} is sent more than {} times", case.attempts),
            );
        }
        if observed.calls.iter().any(|call| call.is_attempt(self.incarnation, attempt)) {
            return violated(Property::Unchanged, format!("call {attempt} of m{message} is made twice"));
        }
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
        self.check_wait(now, message)?;
        self.check_repeat(case, now, message, attempt)?;
        let incarnation = self.incarnation;
        let mut calls = self.messages[message].calls.iter_mut();
        if let Some(call) = calls.find(|call| call.is_attempt(incarnation, attempt)) {
            call.last = Some(now);
        }
        Ok(())
    }

    /// The destination of the message has not asked for a wait, but for the tolerated time after its beginning.
    fn check_wait(&self, now: Micros, message: usize) -> Result<(), Violation> {
        let dest = self.messages[message].dest;
        let is_forbidden = |wait: &&Wait| now > wait.since + WAIT_GRACE && now < wait.until;
        if let Some(Wait { since, until }) = self.waits.get(&dest).filter(is_forbidden) {
            let (elapsed, length) = (now - since, until - since);
            return violated(
                Property::Wait,
                format!("m{message} reaches destination {dest} {elapsed} us into its wait of {length} us"),
            );
        }
        Ok(())
    }

    /// No earlier call may have run, or the message is a notice within the span of its key.
    fn check_repeat(&self, case: &Case, now: Micros, message: usize, attempt: u32) -> Result<(), Violation> {
        let observed = &self.messages[message];
        let Some(first) = observed.first_possible_run() else { return Ok(()) };
        let (elapsed, earlier) = (now - first.first, first.attempt);
        if observed.class == DEBIT {
            return violated(
                Property::NoRepeat,
                format!("call {attempt} of m{message}, a debit, while call {earlier} may have run"),
            );
        }
        if elapsed > case.span() {
            return violated(
                Property::NoRepeat,
                format!("call {attempt} of m{message} {elapsed} us after call {earlier}, which may have run"),
            );
        }
        Ok(())
    }

    /// An endpoint has answered, or the connection of a call has ended.
    pub fn call_ended(&mut self, message: usize, attempt: u32, never_ran: bool) {
        let incarnation = self.incarnation;
        let calls = self.messages[message].calls.iter_mut();
        for call in calls.filter(|call| call.is_attempt(incarnation, attempt)) {
            call.never_ran |= never_ran;
            call.open = false;
        }
    }

    /// The platform receives a notice.
    ///
    /// # Errors
    /// The message was not accepted, has ended otherwise, or may still be running.
    pub fn notice(&mut self, message: usize, ending: Ending) -> Result<(), Violation> {
        let observed = &mut self.messages[message];
        if observed.acceptance == Acceptance::Rejected {
            return violated(
                Property::FinalAnswer,
                format!("a notice for m{message}, which was not taken on"),
            );
        }
        if let Some(before) = observed.notice.filter(|before| *before != ending) {
            return violated(
                Property::FinalAnswer,
                format!("m{message} ends as {ending:?} after {before:?}"),
            );
        }
        if matches!(ending, Ending::Deferred(_))
            && observed.class == DEBIT
            && let Some(possible_run) = observed.first_possible_run()
        {
            return violated(
                Property::NoRepeat,
                format!("m{message}, a debit, is deferred though call {} may have run", possible_run.attempt),
            );
        }
        observed.notice = Some(ending);
        Ok(())
    }

    /// The process has ended: all calls in flight have lost their connections.
    pub fn crashed(&mut self) {
        for call in self.messages.iter_mut().flat_map(|message| &mut message.calls) {
            call.open = false;
        }
        self.waits.clear();
        self.incarnation += 1;
    }

    /// The process has started.
    pub fn ready(&mut self, now: Micros) {
        self.grace_until = self.grace_until.max(now + READY_GRACE);
    }

    /// When the end of a message is overdue.
    pub fn overdue_at(&self, message: &ObservedMessage) -> Micros {
        (message.deadline + ANSWER_GRACE + SLACK).max(self.grace_until)
    }

    /// Checks what must hold at every moment.
    ///
    /// # Errors
    /// The end of a message is overdue.
    pub fn check(&self, now: Micros) -> Result<(), Violation> {
        for (index, message) in self.messages.iter().enumerate() {
            if message.is_unanswered() && now > self.overdue_at(message) {
                let late = now.saturating_sub(message.deadline);
                let class = CLASSES[usize::from(message.class)];
                return violated(
                    Property::FinalAnswer,
                    format!("m{index}, a {class}, has no end {late} us after its time"),
                );
            }
        }
        Ok(())
    }
}
