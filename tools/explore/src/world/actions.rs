//! What may happen next: every action that is possible in a state.

use crate::action::{Action, Answer, CallRef, WriteExtent};
use crate::case::{CLASSES, FaultKind, NOTICE};
use crate::world::state::{ENDPOINTS_MAX, ListEntry, OutstandingCall, ProcessState, START, World, call_ref};
use quillmount_core::machine::attempt::{AttemptState, CANCEL_LINGER};
use quillmount_core::machine::notices::NoticeState;
use quillmount_core::machine::watch::WatchState;
use quillmount_policy::{EndpointState, Micros};
use std::collections::BTreeSet;

/// Answers of an endpoint, with the fault that each counts as.
const ANSWERS: [(Answer, Option<FaultKind>); 11] = [
    (Answer::Ok, None),
    (Answer::Error, Some(FaultKind::Error)),
    (Answer::Full, Some(FaultKind::Full)),
    (Answer::Wait, Some(FaultKind::Wait)),
    (Answer::Slots, Some(FaultKind::Slots)),
    (Answer::Exhausted, Some(FaultKind::Exhausted)),
    (Answer::Gone, Some(FaultKind::MessageGone)),
    (Answer::TruncatedOk, Some(FaultKind::TruncatedAnswer)),
    (Answer::TruncatedFull, Some(FaultKind::TruncatedAnswer)),
    (Answer::Interim, Some(FaultKind::Interim)),
    (Answer::DuplicateOk, Some(FaultKind::DuplicateAnswer)),
];

/// The actions collected so far, and what keeps the clock from going on.
#[derive(Default)]
struct EnabledActions {
    actions: Vec<Action>,
    /// One of them is due now: time can't go on before it.
    urgent: bool,
    /// A connection or an answer is due before any time-out, as the case has no such fault.
    awaits_answer: bool,
}

impl EnabledActions {
    fn push_urgent(&mut self, action: Action) {
        self.actions.push(action);
        self.urgent = true;
    }
}

impl World {
    /// Every action that is possible in this state, in a fixed order.
    pub fn actions(&self) -> Vec<Action> {
        if let ProcessState::Down { until } = self.process {
            return self.actions_while_down(until);
        }
        if let Some(writes) = self.first_writes() {
            return writes;
        }
        let mut open = EnabledActions::default();
        for outstanding in self.calls.values() {
            self.call_actions(outstanding, &mut open);
        }
        if self.hub.router.wake_at().is_some_and(|at| self.now >= at) {
            open.push_urgent(Action::Tick);
        }
        self.notice_actions(&mut open);
        self.submission_actions(&mut open.actions);
        self.watch_actions(&mut open);
        self.discovery_actions(&mut open.actions);
        self.idle_connection_actions(&mut open.actions);
        self.disk_actions(&mut open.actions);
        self.process_actions(&mut open);
        let awaits_submissions = self.case.at_once && self.has_more_messages();
        if !open.urgent && !open.awaits_answer && !awaits_submissions {
            let next = self.next_time_point();
            open.actions.extend(next.map(|to| Action::AdvanceClock { to: to - START }));
        }
        open.actions
    }

    /// Whether the action changes nothing but a value that no other possible action reads or writes, and that no property
    /// sees: the end of the backoff of notices. It commutes with all of them.
    pub fn is_independent(&self, action: Action) -> bool {
        action == Action::NoticeTick && matches!(self.notices.state(), NoticeState::BackingOff { .. })
    }

    /// Whether clients submit more messages.
    fn has_more_messages(&self) -> bool {
        self.monitor.messages.len() < usize::from(self.case.messages)
    }

    fn actions_while_down(&self, until: Micros) -> Vec<Action> {
        let to = until - START;
        let mut actions = vec![if self.now >= until { Action::Start } else { Action::AdvanceClock { to } }];
        self.discovery_actions(&mut actions);
        actions
    }

    /// The writes of a call that has its connection, and has sent nothing. The driver writes at once: no other action
    /// comes in between.
    fn first_writes(&self) -> Option<Vec<Action>> {
        let is_unwritten = |outstanding: &&OutstandingCall| {
            matches!(outstanding.call.state(), AttemptState::Writing { written: 0 })
        };
        let call_ref = call_ref(self.calls.values().find(is_unwritten)?);
        let mut writes = vec![Action::Write(call_ref, WriteExtent::Complete)];
        if self.allows(FaultKind::PartialWrite) {
            writes.push(Action::Write(call_ref, WriteExtent::Partial));
        }
        if self.allows(FaultKind::Break) {
            writes.push(Action::Write(call_ref, WriteExtent::Broken));
        }
        Some(writes)
    }

    /// What may happen to one call.
    fn call_actions(&self, outstanding: &OutstandingCall, open: &mut EnabledActions) {
        let (call_ref, state) = (call_ref(outstanding), outstanding.call.state());
        if !matches!(state, AttemptState::Closing { .. }) && self.now >= outstanding.deadline {
            open.push_urgent(Action::Deadline(call_ref));
        }
        if outstanding.call.attempt().wake_at().is_some_and(|at| self.now >= at) {
            open.push_urgent(Action::CallTick(call_ref));
        }
        match state {
            AttemptState::Connecting => self.connecting_actions(call_ref, outstanding.dial_deadline, open),
            AttemptState::Writing { .. } => {
                open.actions.push(Action::Write(call_ref, WriteExtent::Complete));
                if self.allows(FaultKind::Break) {
                    open.actions.push(Action::Write(call_ref, WriteExtent::Broken));
                }
            }
            AttemptState::Awaiting | AttemptState::Closing { .. } if outstanding.arrived.is_some() => {
                open.push_urgent(Action::ReadAnswer(call_ref));
            }
            AttemptState::Awaiting => self.answer_actions(call_ref, outstanding.interim, open),
            AttemptState::Reading { .. } => open.actions.push(Action::EndpointClosed(call_ref)),
            // An answer may cross with the cancellation of its call; once the endpoint has seen that, it sends no more.
            AttemptState::Closing { until, .. }
                if self.now + CANCEL_LINGER == until && outstanding.call.connection().is_some() =>
            {
                self.arrival_actions(call_ref, &mut open.actions);
            }
            AttemptState::New | AttemptState::Closing { .. } | AttemptState::Finished => {}
        }
    }

    fn connecting_actions(&self, call_ref: CallRef, dial_deadline: Micros, open: &mut EnabledActions) {
        open.actions.push(Action::Connected(call_ref));
        let late = self.now >= dial_deadline;
        if late || self.allows(FaultKind::Refuse) {
            open.actions.push(Action::Refused(call_ref));
        }
        open.urgent |= late;
        open.awaits_answer |= !self.allows(FaultKind::NeverConnects);
    }

    fn answer_actions(&self, call_ref: CallRef, had_interim: bool, open: &mut EnabledActions) {
        for (answer, fault) in ANSWERS {
            let is_allowed = fault.is_none_or(|fault| self.allows(fault));
            if is_allowed && !(had_interim && answer == Answer::Interim) {
                open.actions.push(Action::Answer(call_ref, answer));
            }
        }
        if self.allows(FaultKind::Reset) {
            open.actions.push(Action::Reset(call_ref));
        }
        self.arrival_actions(call_ref, &mut open.actions);
        open.awaits_answer |= !self.allows(FaultKind::Timeout);
    }

    /// Answers that may arrive and not be read at once.
    fn arrival_actions(&self, call_ref: CallRef, actions: &mut Vec<Action>) {
        if !self.allows(FaultKind::Race) {
            return;
        }
        actions.push(Action::AnswerArrived(call_ref, Answer::Ok));
        if self.allows(FaultKind::Wait) {
            actions.push(Action::AnswerArrived(call_ref, Answer::Wait));
        }
    }

    /// What may happen to notices.
    fn notice_actions(&self, open: &mut EnabledActions) {
        match self.notices.state() {
            NoticeState::Quiet => {
                if !self.hub.router.notices(1).is_empty() {
                    open.push_urgent(Action::SendNotices);
                }
            }
            NoticeState::Sent { until, .. } => self.confirmation_actions(self.now >= until, open),
            NoticeState::BackingOff { until } => {
                if self.now >= until {
                    open.push_urgent(Action::NoticeTick);
                }
            }
        }
        if self.allows(FaultKind::ConfirmedTwice) && !self.confirmed_notices.is_empty() {
            open.actions.push(Action::ConfirmedTwice);
        }
    }

    /// What may happen to notices in flight. The platform accepts notices at once, and loses none twice in a row.
    fn confirmation_actions(&self, is_overdue: bool, open: &mut EnabledActions) {
        open.actions.push(Action::Confirmed);
        let may_lose = self.allows(FaultKind::Lose) && self.consecutive_losses == 0;
        if may_lose {
            open.actions.push(Action::NoticesLost { received: true });
            open.actions.push(Action::NoticesLost { received: false });
            if is_overdue {
                open.actions.push(Action::NoticeTick);
            }
        }
        open.urgent |= !may_lose || is_overdue;
    }

    /// Submissions of new messages and of repeated ones.
    fn submission_actions(&self, actions: &mut Vec<Action>) {
        let has_more = self.has_more_messages();
        if has_more {
            // Destinations that differ in name only are one: the next new one, or one that was used.
            let used = self.monitor.messages.iter().map(|message| message.dest + 1).max().unwrap_or(0);
            for dest in 0..u64::from(self.case.destinations).min(used + 1) {
                actions.extend((0..CLASSES.len() as u8).map(|class| Action::Submit { class, dest }));
            }
        }
        for (message, observed) in (0u64..).zip(&self.monitor.messages) {
            // After its deadline no client retries it.
            if self.now < observed.deadline && self.allows(FaultKind::Resubmit) {
                actions.push(Action::Resubmit { message });
            }
            if has_more && observed.class == NOTICE && self.allows(FaultKind::SubmitSameKey) {
                actions.push(Action::SubmitSameKey { message });
            }
        }
    }

    /// Changes of the endpoint list.
    fn discovery_actions(&self, actions: &mut Vec<Action>) {
        for (index, entry) in (0u8..).zip(&self.endpoint_list) {
            if entry.state == EndpointState::Ready && self.allows(FaultKind::Drain) {
                actions.push(Action::EndpointDraining(index));
            }
            if entry.state != EndpointState::Gone && self.allows(FaultKind::Gone) {
                actions.push(Action::EndpointGone(index));
            }
            if entry.state != EndpointState::Ready && self.allows(FaultKind::Ready) {
                actions.push(Action::EndpointReady(index));
            }
            if self.is_replaceable(entry) && self.allows(FaultKind::Replace) {
                actions.push(Action::EndpointReplaced(index));
            }
        }
        if self.is_up() && self.is_following() && self.allows(FaultKind::FullList) {
            actions.push(Action::FullList);
        }
    }

    /// Whether a new endpoint may appear at the address of this one: none is there, and the list has capacity.
    fn is_replaceable(&self, entry: &ListEntry) -> bool {
        let is_at_address =
            |other: &ListEntry| other.port == entry.port && other.state != EndpointState::Gone;
        !self.endpoint_list.iter().any(is_at_address) && self.endpoint_list.len() < ENDPOINTS_MAX
    }

    /// The end of the backoff of the watch on discovery, and its breaks.
    fn watch_actions(&self, open: &mut EnabledActions) {
        if matches!(self.watch.state(), WatchState::BackingOff { until } if self.now >= until) {
            open.push_urgent(Action::WatchTick);
        }
        if self.allows(FaultKind::Watch) && self.is_following() {
            open.actions.push(Action::WatchBreak);
        }
    }

    fn idle_connection_actions(&self, actions: &mut Vec<Action>) {
        if self.allows(FaultKind::Idle) {
            let idle = self.hub.pool.idle().filter(|idle| !self.closed.contains(idle.connection));
            let endpoints: BTreeSet<u32> = idle.map(|idle| idle.endpoint).collect();
            actions.extend(endpoints.into_iter().map(Action::IdleClosed));
        }
    }

    fn disk_actions(&self, actions: &mut Vec<Action>) {
        if self.disk_full {
            actions.push(Action::DiskFree);
        } else if self.allows(FaultKind::Disk) {
            actions.push(Action::DiskFull);
        }
    }

    /// Ends of the process: by itself, by SIGTERM and by SIGKILL.
    fn process_actions(&self, open: &mut EnabledActions) {
        let can_restart = self.incarnations < self.case.incarnations;
        if let ProcessState::Stopping { end } = self.process {
            if self.now >= end || self.hub.is_idle() {
                open.actions.push(Action::Exit);
            }
            open.urgent |= self.now >= end;
        } else if can_restart && self.allows(FaultKind::Term) {
            open.actions.push(Action::Term);
        }
        if can_restart && self.allows(FaultKind::Kill) {
            open.actions.push(Action::Kill);
        }
    }
}
