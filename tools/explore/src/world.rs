//! One state of the world: the courier's own code, and what stands around it.

use crate::action::{Action, Answer, CallRef, CrashPoint, Transition, WriteExtent};
use crate::case::{CLASSES, Case, FaultKind};
use crate::monitor::{
    Acceptance, DRAIN_GRACE, Monitor, ObservedMessage, Property, SLACK, Violation, violated,
};
use quillmount_core::call::{Call, StepOutcome};
use quillmount_core::hub::{DriverAction, Hub};
use quillmount_core::journal::JournalContents;
use quillmount_core::machine::attempt::{AttemptInput, AttemptState, CLOSING_TIME};
use quillmount_core::machine::notices::{self, Notices};
use quillmount_core::machine::watch::{self, Watch};
use quillmount_core::pool::Pool;
use quillmount_core::router::{Intake, Router};
use quillmount_core::store::{Fault, Memory};
use quillmount_core::{CallEnd, CallId, EndpointList, EndpointListing, Notice, Submission};
use quillmount_policy::{EndpointState, Micros};
use quillmount_protocol::delivery;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// Unix time at the world's beginning: far from zero, which stands for never in places.
const START: Micros = 1_000_000_000_000;
/// A connection that is not up by then counts as failed; the settings' `dial_timeout_ms`.
const DIAL_TIMEOUT: Micros = 1_000_000;
/// A courier starts again so long after its end.
const RESTART_DELAY: Micros = 600_000;
/// From SIGTERM until calls are to be over, and until the process ends.
const CALLS_STOP: Micros = 3_200_000;
const PROCESS_STOP: Micros = 3_400_000;
/// Room on disk that no path fills.
const DISK_BYTES: u64 = 3_000_000;
const ENDPOINTS_MAX: usize = 8;
const MESSAGES_MAX: usize = 8;

/// One line of discovery's list.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ListEntry {
    port: u16,
    dest: u64,
    state: u8,
    /// The version that brought it.
    version: u64,
}

/// A call that is out, with what the world knows of its time.
#[derive(Clone, Debug)]
struct OutstandingCall {
    call: Call<u32>,
    message: usize,
    provider: u8,
    deadline: Micros,
    dial: Micros,
    interim: bool,
    /// In the socket, and not read yet.
    arrived: Option<Answer>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum ProcessState {
    Up,
    Stopping { end: Micros },
    Down { until: Micros },
}

#[derive(Clone)]
pub struct World {
    case: Arc<Case>,
    now: Micros,
    process: ProcessState,
    incarnations: u8,
    faults: u32,
    hub: Hub<Memory, u32>,
    calls: BTreeMap<CallId, OutstandingCall>,
    /// The numbers of messages in the journal, by the order of handing in.
    numbers: BTreeMap<u64, usize>,
    connections: u32,
    /// Connections that their provider has closed.
    closed: BTreeSet<u32>,
    /// Connections on which an answer broke off, or had something behind it.
    spoilt: BTreeSet<u32>,
    notices: Notices,
    sent_notices: Vec<Notice>,
    confirmed_notices: Vec<Notice>,
    consecutive_losses: u8,
    watch: Watch,
    list: Vec<ListEntry>,
    version: u64,
    disk_full: bool,
    /// The process dies in what is happening, so that nothing of it gets out.
    crashing: bool,
    pub monitor: Monitor,
}

impl World {
    /// # Errors
    /// The case's settings can't be decoded, or the module takes none of them.
    pub fn new(case: &Arc<Case>) -> Result<World, String> {
        let port = |n: u8| 1_000 + u16::from(n);
        let dest = |n: u8| u64::from(n % case.destinations);
        let list: Vec<ListEntry> = (0..case.endpoints)
            .map(|n| ListEntry { port: port(n), dest: dest(n), state: 1, version: 1 })
            .collect();
        let known = list_update(&list, 1, |_| true);
        // It owes nothing yet, so that there is nothing to carry out.
        let (hub, _) = restore(case, Memory::default(), known.clone(), START)?;
        let mut world = World {
            case: case.clone(),
            now: START,
            process: ProcessState::Up,
            incarnations: 1,
            faults: 0,
            hub,
            calls: BTreeMap::new(),
            numbers: BTreeMap::new(),
            connections: 0,
            closed: BTreeSet::new(),
            spoilt: BTreeSet::new(),
            notices: Notices::default(),
            sent_notices: Vec::new(),
            confirmed_notices: Vec::new(),
            consecutive_losses: 0,
            watch: Watch::new(START),
            list,
            version: 1,
            disk_full: false,
            crashing: false,
            monitor: Monitor::default(),
        };
        world.watch.step(watch::WatchInput::Answered, START);
        let todo = world.hub.list(known, START);
        world.execute(todo).map_err(|e| e.to_string())?;
        Ok(world)
    }

    pub fn now(&self) -> Micros {
        self.now - START
    }

    /// The provider of a call that is out.
    pub fn endpoint_of(&self, call_ref: CallRef) -> Option<u8> {
        self.find(call_ref).and_then(|id| self.calls.get(&id)).map(|out| out.provider)
    }

    /// Each provider's number, destination and state in the list.
    pub fn endpoints(&self) -> impl Iterator<Item = (u8, u64, &'static str)> {
        let lines = self.list.iter().enumerate().filter(|(_, line)| line.state != 0);
        lines.map(|(n, line)| (n as u8, line.dest, if line.state == 1 { "ready" } else { "draining" }))
    }

    pub fn time_left_ms(&self) -> u32 {
        self.case.time_left
    }

    /// Writes to the store since the move began.
    pub fn writes(&self) -> u32 {
        self.hub.router.journal().store().writes()
    }

    /// The process may die in what comes next.
    pub fn may_crash(&self) -> bool {
        self.is_up()
            && self.incarnations < self.case.incarnations
            && !self.disk_full
            && self.has_faults_left()
    }

    /// Numbers of messages and providers that are in use, in order.
    pub fn active_ids(&self) -> (Vec<u64>, Vec<u32>) {
        let (messages, endpoints) = self.hub.router.names();
        (messages.collect(), endpoints.collect())
    }

    pub fn is_up(&self) -> bool {
        !matches!(self.process, ProcessState::Down { .. })
    }

    // ---- What may happen next. ----

    /// Every choice of the world, in a fixed order.
    pub fn actions(&self) -> Vec<Action> {
        let mut all = Vec::new();
        if let ProcessState::Down { until } = self.process {
            let to = until - START;
            all.push(if self.now >= until { Action::Start } else { Action::AdvanceClock { to } });
            self.discovery_actions(&mut all);
            return all;
        }
        let allows = |event| self.allows(event);
        // The driver writes at once what a connection that is up may carry: nothing comes in between.
        for out in self.calls.values() {
            if let AttemptState::Writing { written: 0 } = out.call.state() {
                let call_ref = call_ref(out);
                all.push(Action::Write(call_ref, WriteExtent::Complete));
                all.extend(
                    allows(FaultKind::PartialWrite).then_some(Action::Write(call_ref, WriteExtent::Partial)),
                );
                all.extend(allows(FaultKind::Break).then_some(Action::Write(call_ref, WriteExtent::Broken)));
                return all;
            }
        }
        let mut urgent = false;
        let mut waits = false;
        for out in self.calls.values() {
            let (call_ref, state) = (call_ref(out), out.call.state());
            if !matches!(state, AttemptState::Closing { .. }) && self.now >= out.deadline {
                all.push(Action::Deadline(call_ref));
                urgent = true;
            }
            if out.call.attempt().wake_at().is_some_and(|at| self.now >= at) {
                all.push(Action::CallTick(call_ref));
                urgent = true;
            }
            match state {
                AttemptState::Connecting => {
                    all.push(Action::Connected(call_ref));
                    let late = self.now >= out.dial;
                    all.extend((late || allows(FaultKind::Refuse)).then_some(Action::Refused(call_ref)));
                    urgent |= late;
                    waits |= !allows(FaultKind::NeverConnects);
                }
                AttemptState::Writing { .. } => {
                    all.push(Action::Write(call_ref, WriteExtent::Complete));
                    all.extend(
                        allows(FaultKind::Break).then_some(Action::Write(call_ref, WriteExtent::Broken)),
                    );
                }
                AttemptState::Awaiting | AttemptState::Closing { .. } if out.arrived.is_some() => {
                    all.push(Action::ReadAnswer(call_ref));
                    urgent = true;
                }
                AttemptState::Awaiting => {
                    let answers = [
                        (Answer::Ok, None),
                        (Answer::Error, Some(FaultKind::Error)),
                        (Answer::Full, Some(FaultKind::Full)),
                        (Answer::Wait, Some(FaultKind::Wait)),
                        (Answer::Slots, Some(FaultKind::Slots)),
                        (Answer::Exhausted, Some(FaultKind::Exhausted)),
                        (Answer::Gone, Some(FaultKind::MessageGone)),
                        (Answer::CutOk, Some(FaultKind::TruncatedAnswer)),
                        (Answer::CutFull, Some(FaultKind::TruncatedAnswer)),
                        (Answer::Interim, Some(FaultKind::Interim)),
                        (Answer::Copy, Some(FaultKind::DuplicateAnswer)),
                    ];
                    let open = answers.into_iter().filter(|(answer, event)| {
                        event.is_none_or(allows) && !(out.interim && *answer == Answer::Interim)
                    });
                    all.extend(open.map(|(answer, _)| Action::Answer(call_ref, answer)));
                    all.extend(allows(FaultKind::Reset).then_some(Action::Reset(call_ref)));
                    self.arrival_actions(call_ref, &mut all);
                    waits |= !allows(FaultKind::Timeout);
                }
                AttemptState::Reading { .. } => {
                    all.push(Action::EndpointClosed(call_ref));
                }
                // What the provider says crosses with the word that the call is given up; it says nothing more
                // once it has seen that.
                AttemptState::Closing { until, .. }
                    if self.now + CLOSING_TIME == until && out.call.connection().is_some() =>
                {
                    self.arrival_actions(call_ref, &mut all);
                }
                AttemptState::New | AttemptState::Closing { .. } | AttemptState::Finished => {}
            }
        }
        if self.hub.router.wake_at().is_some_and(|at| self.now >= at) {
            all.push(Action::Tick);
            urgent = true;
        }
        self.notice_actions(&mut all, &mut urgent);
        self.submission_actions(&mut all);
        if matches!(self.watch.state(), watch::WatchState::BackingOff { until } if self.now >= until) {
            all.push(Action::WatchTick);
            urgent = true;
        }
        let following = matches!(self.watch.state(), watch::WatchState::Following { .. });
        all.extend((allows(FaultKind::Watch) && following).then_some(Action::WatchBreak));
        self.discovery_actions(&mut all);
        if allows(FaultKind::Idle) {
            let resting: BTreeSet<u32> =
                self.hub.pool.idle().filter(|(_, c, _)| !self.closed.contains(c)).map(|(n, ..)| n).collect();
            all.extend(resting.into_iter().map(Action::IdleClosed));
        }
        if self.disk_full {
            all.push(Action::DiskFree);
        } else if allows(FaultKind::Disk) {
            all.push(Action::DiskFull);
        }
        let can_restart = self.incarnations < self.case.incarnations;
        match self.process {
            ProcessState::Stopping { end } => {
                all.extend((self.now >= end || self.hub.is_quiet()).then_some(Action::Exit));
                urgent |= self.now >= end;
            }
            _ => all.extend((can_restart && allows(FaultKind::Term)).then_some(Action::Term)),
        }
        all.extend((can_restart && allows(FaultKind::Kill)).then_some(Action::Kill));
        let first = self.case.at_once && self.monitor.messages.len() < self.case.messages as usize;
        if !urgent && !waits && !first {
            all.extend(self.next_time_point().map(|to| Action::AdvanceClock { to: to - START }));
        }
        all
    }

    /// A move that changes nothing but a value that no other move open here reads or writes, and that no
    /// property sees: the end of the notices' rest. It commutes with all of them.
    pub fn is_independent(&self, action: Action) -> bool {
        action == Action::NoticeTick
            && matches!(self.notices.state(), notices::NoticeState::BackingOff { .. })
    }

    /// Events that are not kind are open as long as there are any left.
    fn allows(&self, event: FaultKind) -> bool {
        self.case.allows(event) && self.has_faults_left()
    }

    fn has_faults_left(&self) -> bool {
        self.case.faults.is_none_or(|most| self.faults < most)
    }

    /// Answers that may stand in the socket unread.
    fn arrival_actions(&self, call_ref: CallRef, all: &mut Vec<Action>) {
        if self.allows(FaultKind::Race) {
            all.push(Action::AnswerArrived(call_ref, Answer::Ok));
            all.extend(self.allows(FaultKind::Wait).then_some(Action::AnswerArrived(call_ref, Answer::Wait)));
        }
    }

    fn notice_actions(&self, all: &mut Vec<Action>, urgent: &mut bool) {
        match self.notices.state() {
            notices::NoticeState::Quiet => {
                if !self.hub.router.notices(1).is_empty() {
                    all.push(Action::SendNotices);
                    *urgent = true;
                }
            }
            notices::NoticeState::Sent { until, .. } => {
                all.push(Action::Confirmed);
                // The platform takes notices at once; twice in a row it fails nobody.
                let may_lose = self.allows(FaultKind::Lose) && self.consecutive_losses == 0;
                if may_lose {
                    all.extend([
                        Action::NoticesLost { received: true },
                        Action::NoticesLost { received: false },
                    ]);
                    all.extend((self.now >= until).then_some(Action::NoticeTick));
                }
                *urgent |= !may_lose || self.now >= until;
            }
            notices::NoticeState::BackingOff { until } => {
                if self.now >= until {
                    all.push(Action::NoticeTick);
                    *urgent = true;
                }
            }
        }
        if self.allows(FaultKind::ConfirmedTwice) && !self.confirmed_notices.is_empty() {
            all.push(Action::ConfirmedTwice);
        }
    }

    fn submission_actions(&self, all: &mut Vec<Action>) {
        let handed = self.monitor.messages.len();
        let more = handed < self.case.messages as usize;
        if more {
            // Destinations that differ in name only are one: the next new one, or one that was used.
            let used = self.monitor.messages.iter().map(|m| m.dest + 1).max().unwrap_or(0);
            for dest in 0..u64::from(self.case.destinations).min(used + 1) {
                all.extend((0..CLASSES.len() as u8).map(|class| Action::Submit { class, dest }));
            }
        }
        for message in 0..handed as u64 {
            // Later its time is up, and nobody asks again.
            let open = self.now < self.monitor.messages[message as usize].deadline;
            all.extend((open && self.allows(FaultKind::Resubmit)).then_some(Action::Resubmit { message }));
            let keyed = self.monitor.messages[message as usize].class == 1;
            all.extend(
                (more && keyed && self.allows(FaultKind::SubmitSameKey))
                    .then_some(Action::SubmitSameKey { message }),
            );
        }
    }

    fn discovery_actions(&self, all: &mut Vec<Action>) {
        for (n, line) in self.list.iter().enumerate() {
            let n8 = n as u8;
            all.extend(
                (line.state == 1 && self.allows(FaultKind::Drain)).then_some(Action::EndpointDraining(n8)),
            );
            all.extend((line.state != 0 && self.allows(FaultKind::Gone)).then_some(Action::EndpointGone(n8)));
            all.extend(
                (line.state != 1 && self.allows(FaultKind::Ready)).then_some(Action::EndpointReady(n8)),
            );
            let free =
                !self.list.iter().enumerate().any(|(m, l)| m != n && l.port == line.port && l.state != 0);
            let has_capacity = self.list.len() < ENDPOINTS_MAX;
            let replace = line.state == 0 && free && has_capacity && self.allows(FaultKind::Replace);
            all.extend(replace.then_some(Action::EndpointReplaced(n8)));
        }
        let follows = self.is_up() && matches!(self.watch.state(), watch::WatchState::Following { .. });
        all.extend((follows && self.allows(FaultKind::FullList)).then_some(Action::FullList));
    }

    /// The next moment at which something may turn out another way.
    fn next_time_point(&self) -> Option<Micros> {
        let mut hard: Vec<Micros> = Vec::new();
        hard.extend(self.hub.router.wake_at());
        hard.extend(self.notices.wake_at());
        if let watch::WatchState::BackingOff { until } = self.watch.state() {
            hard.push(until);
        }
        if let ProcessState::Stopping { end } = self.process {
            hard.push(end);
        }
        for out in self.calls.values() {
            hard.extend(out.call.attempt().wake_at());
            if !matches!(out.call.state(), AttemptState::Closing { .. }) {
                hard.push(out.deadline);
            }
            if out.call.state() == AttemptState::Connecting {
                hard.push(out.dial);
                hard.extend(
                    self.monitor.drains.get(&out.provider).map(|announced_at| announced_at + DRAIN_GRACE),
                );
            }
        }
        let pending =
            self.monitor.messages.iter().filter(|m| m.acceptance != Acceptance::No && !m.is_final());
        for m in pending {
            hard.extend([m.deadline, self.monitor.overdue_at(m) + 1]);
            if m.class == 1 {
                hard.extend(m.first_possible_run().map(|s| s.first + self.case.span()));
            }
        }
        let owed = self.hub.router.load().0 > 0;
        if owed || self.monitor.messages.len() < self.case.messages as usize {
            hard.extend(self.hub.pool.gates().into_iter().map(|(.., paused_until)| paused_until));
            hard.extend(self.monitor.drains.values().map(|announced_at| announced_at + DRAIN_GRACE));
        }
        let edges = |at: Micros| [at - 1, at, at + 1];
        let stops = hard.into_iter().filter(|at| (START..START + (1 << 40)).contains(at));
        let stops = stops.flat_map(|at| if self.case.edges { edges(at) } else { [at; 3] });
        stops.filter(|at| *at > self.now).min()
    }

    // ---- What happens. ----

    /// Carries out one move of the world, and judges what comes of it.
    ///
    /// # Errors
    /// A property that does not hold any more.
    pub fn apply(&mut self, transition: Transition) -> Result<(), Violation> {
        self.hub.router.reseed(self.case.seed);
        let fault = match transition.crash {
            Some(CrashPoint { after, torn }) => Fault::Die { after, bytes: if torn { 5 } else { 0 } },
            None if self.disk_full => Fault::Full { after: 0 },
            None => Fault::None,
        };
        self.hub.router.journal_mut().store_mut().fail(fault);
        self.crashing = transition.crash.is_some();
        if !is_benign(transition.action) || transition.crash.is_some() {
            self.faults += 1;
        }
        self.perform(transition.action)?;
        if self.crashing {
            self.crash();
        }
        self.retain_live_connections();
        self.monitor.check(self.now)?;
        self.check_invariants()
    }

    fn perform(&mut self, action: Action) -> Result<(), Violation> {
        match action {
            Action::Submit { class, dest } => {
                let key = self.monitor.messages.len() as u64;
                self.submit(class, dest, key)
            }
            Action::SubmitSameKey { message } => {
                let ObservedMessage { class, dest, key, .. } = self.monitor.messages[message as usize];
                self.submit(class, dest, key)
            }
            Action::Resubmit { message } => self.resubmit(message as usize),
            Action::Connected(call_ref) => {
                let connection = self.connections;
                self.connections += 1;
                self.step(call_ref, |call, pool, now| call.connected(pool, connection, now))
            }
            Action::Refused(call_ref) => self.input(call_ref, AttemptInput::Refused),
            Action::Write(call_ref, how) => self.write(call_ref, how),
            Action::Answer(call_ref, answer) => self.answer(call_ref, answer),
            Action::AnswerArrived(call_ref, answer) => {
                self.answer_arrives(call_ref, answer);
                Ok(())
            }
            Action::ReadAnswer(call_ref) => self.read(call_ref),
            Action::EndpointClosed(call_ref) => self.input(call_ref, AttemptInput::PeerClosed),
            Action::Reset(call_ref) => self.input(call_ref, AttemptInput::Reset),
            Action::Deadline(call_ref) => self.input(call_ref, AttemptInput::Deadline),
            Action::CallTick(call_ref) => self.input(call_ref, AttemptInput::Tick),
            Action::Tick => {
                let todo = self.hub.tick(self.now);
                self.execute(todo)
            }
            Action::EndpointDraining(n) => self.change(n, 2),
            Action::EndpointGone(n) => self.change(n, 0),
            Action::EndpointReady(n) => self.change(n, 1),
            Action::EndpointReplaced(n) => {
                let ListEntry { port, dest, .. } = self.list[n as usize];
                self.list.push(ListEntry { port, dest, state: 1, version: 0 });
                self.change(self.list.len() as u8 - 1, 1)
            }
            Action::FullList => self.send_list(true),
            Action::WatchBreak => {
                self.watch.step(watch::WatchInput::Broken { moved: false }, self.now);
                Ok(())
            }
            Action::WatchTick => {
                self.watch.step(watch::WatchInput::Tick { moved: false }, self.now);
                self.watch.step(watch::WatchInput::Answered, self.now);
                self.send_list(false)
            }
            Action::SendNotices => self.send_notices(),
            Action::Confirmed => {
                self.platform_receives()?;
                self.consecutive_losses = 0;
                if self.notices.step(notices::NoticeInput::Confirmed, self.now)
                    == notices::NoticeOutput::Confirmed
                {
                    self.confirmed_notices = std::mem::take(&mut self.sent_notices);
                    let todo = self.hub.notices_confirmed(&self.confirmed_notices, self.now);
                    self.execute(todo)?;
                }
                Ok(())
            }
            Action::NoticesLost { received } => {
                if received {
                    self.platform_receives()?;
                }
                self.consecutive_losses += 1;
                let output = self.notices.step(notices::NoticeInput::Lost, self.now);
                let notices = std::mem::take(&mut self.sent_notices);
                if output == notices::NoticeOutput::Discard {
                    let todo = self.hub.notices_confirmed(&notices, self.now);
                    self.execute(todo)?;
                }
                Ok(())
            }
            Action::NoticeTick => {
                if matches!(self.notices.state(), notices::NoticeState::Sent { .. }) {
                    (self.consecutive_losses, self.faults) = (self.consecutive_losses + 1, self.faults + 1);
                }
                self.notices.step(notices::NoticeInput::Tick, self.now);
                Ok(())
            }
            Action::ConfirmedTwice => {
                let twice = std::mem::take(&mut self.confirmed_notices);
                let todo = self.hub.notices_confirmed(&twice, self.now);
                self.execute(todo)
            }
            Action::IdleClosed(n) => {
                let first = self.hub.pool.idle().find(|(p, c, _)| *p == n && !self.closed.contains(c));
                self.closed.extend(first.map(|(_, c, _)| *c));
                Ok(())
            }
            Action::DiskFull => {
                self.disk_full = true;
                Ok(())
            }
            Action::DiskFree => {
                self.disk_full = false;
                Ok(())
            }
            Action::Term => {
                self.process = ProcessState::Stopping { end: self.now + PROCESS_STOP };
                // Until it is ready again nothing is overdue.
                self.monitor.grace_until = Micros::MAX / 2;
                let todo = self.hub.stop(self.now, self.now + CALLS_STOP);
                self.execute(todo)
            }
            Action::Exit | Action::Kill => {
                self.crash();
                Ok(())
            }
            Action::Start => self.start(),
            Action::AdvanceClock { to } => {
                self.now = START + to;
                Ok(())
            }
        }
    }

    fn execute(&mut self, todo: Vec<DriverAction<u32>>) -> Result<(), Violation> {
        if self.crashing {
            return Ok(());
        }
        for one in todo {
            match one {
                DriverAction::Begin(order) => {
                    let message = self.numbers.get(&order.call.msg).copied();
                    let provider = self.hub.router.endpoint_name(order.endpoint);
                    let provider = provider.strip_prefix('p').and_then(|n| n.parse().ok());
                    let (Some(message), Some(provider)) = (message, provider) else {
                        return violated(Property::Unchanged, format!("a call for nobody: {:?}", order.call));
                    };
                    let (id, deadline) = (order.call, self.now + order.timeout);
                    let call = Call::new(order, delivery::decode, delivery::ANSWER_MAX);
                    let dial = self.now + DIAL_TIMEOUT;
                    self.calls.insert(
                        id,
                        OutstandingCall {
                            call,
                            message,
                            provider,
                            deadline,
                            dial,
                            interim: false,
                            arrived: None,
                        },
                    );
                    let closed = self.closed.clone();
                    let quiet = |c: &u32| !closed.contains(c);
                    self.step_id(id, |call, pool, now| call.start(pool, now, quiet))?;
                }
                DriverAction::Signal(id, input) => {
                    if self.calls.contains_key(&id) {
                        self.step_id(id, |call, pool, now| call.step(pool, input, now))?;
                    }
                }
                // No stream is handed in here; `streams.rs` is their world.
                DriverAction::Close(_)
                | DriverAction::Notify
                | DriverAction::Note(_)
                | DriverAction::Answer(..) => {}
            }
        }
        Ok(())
    }

    fn input(&mut self, call_ref: CallRef, input: AttemptInput) -> Result<(), Violation> {
        self.step(call_ref, |call, pool, now| call.step(pool, input, now))
    }

    fn step(
        &mut self,
        call_ref: CallRef,
        step: impl FnOnce(&mut Call<u32>, &mut Pool<u32>, Micros) -> StepOutcome<u32>,
    ) -> Result<(), Violation> {
        match self.find(call_ref) {
            Some(id) => self.step_id(id, step),
            None => violated(Property::Unchanged, format!("{call_ref} is not out")),
        }
    }

    fn find(&self, call_ref: CallRef) -> Option<CallId> {
        let is = |(id, out): &(&CallId, &OutstandingCall)| {
            out.message as u64 == call_ref.message && id.attempt == call_ref.attempt
        };
        self.calls.iter().find(is).map(|(id, _)| *id)
    }

    fn step_id(
        &mut self,
        id: CallId,
        step: impl FnOnce(&mut Call<u32>, &mut Pool<u32>, Micros) -> StepOutcome<u32>,
    ) -> Result<(), Violation> {
        let Some(out) = self.calls.get_mut(&id) else { return Ok(()) };
        let result = step(&mut out.call, &mut self.hub.pool, self.now);
        let message = out.message;
        let gone = out.call.connection().is_none() && out.call.state() != AttemptState::Connecting;
        if gone || result.finish {
            // Its connection is closed, or rests, or sends nothing more: for its provider the call is over.
            self.monitor.call_ended(message, id.attempt, false);
        }
        if let Some(end) = result.end {
            self.calls.remove(&id);
            let todo = self.hub.call_ended(id, end, self.now);
            // A delivery about the end of its message's time may count or not: its end is told too.
            let in_time = self.now.saturating_add(SLACK) < self.monitor.messages[message].deadline;
            if (end == CallEnd::Gone || end == CallEnd::Delivered && in_time) && !self.crashing {
                self.monitor.messages[message].settled = true;
            }
            self.execute(todo)?;
        }
        Ok(())
    }

    fn write(&mut self, call_ref: CallRef, how: WriteExtent) -> Result<(), Violation> {
        let Some(id) = self.find(call_ref) else { return Ok(()) };
        let out = &self.calls[&id];
        let (message, provider) = (out.message, out.provider);
        let request = delivery::encode(&out.call.order);
        let AttemptState::Writing { written } = out.call.state() else { return Ok(()) };
        if how == WriteExtent::Broken {
            return self.input(call_ref, AttemptInput::WriteFailed);
        }
        if written == 0 && out.call.connection().is_some_and(|c| self.spoilt.contains(c)) {
            return violated(
                Property::Unchanged,
                format!("{call_ref} goes out behind an answer that broke off"),
            );
        }
        if written == 0 {
            self.check_request(id, message, provider, &request)?;
            self.monitor.first_byte(&self.case, self.now, message, id.attempt, provider)?;
        }
        let left = request.len() - written;
        let bytes = if how == WriteExtent::Partial { left / 2 } else { left };
        if bytes == left {
            self.monitor.last_byte(&self.case, self.now, message, id.attempt)?;
        }
        self.input(call_ref, AttemptInput::Wrote { bytes, left: left - bytes })
    }

    /// The request says what was handed in, and goes where it may.
    fn check_request(
        &self,
        id: CallId,
        message: usize,
        provider: u8,
        request: &[u8],
    ) -> Result<(), Violation> {
        let text = String::from_utf8_lossy(request);
        let m = &self.monitor.messages[message];
        let line = &self.list[provider as usize];
        let key = (m.class == 1).then(|| format!("\r\nIdempotency-Key: k{}\r\n", m.key));
        let wanted = [format!("\r\nX-Correlation-Id: m{message}\r\n"), format!("\r\n\r\nbody of m{message}")];
        let same = text.starts_with("POST /events HTTP/1.1\r\n")
            && wanted.iter().all(|part| text.contains(part.as_str()))
            && key.as_ref().map_or(!text.contains("Idempotency-Key"), |key| text.contains(key.as_str()));
        let there = self.calls[&id].call.order.addr.port() == line.port && line.dest == m.dest;
        // Once its end is chosen nothing of it may go out any more.
        let name = format!("m{message}");
        let owed = self.hub.router.owed().find(|(id, ..)| *id == name);
        match (same, there, owed) {
            (false, ..) => violated(Property::Unchanged, format!("m{message} goes out as {text:?}")),
            (_, false, _) => violated(Property::Unchanged, format!("m{message} goes to provider {provider}")),
            (.., None) => violated(Property::FinalAnswer, format!("m{message} is sent after its end")),
            (.., Some((.., Some(end)))) => {
                violated(Property::FinalAnswer, format!("m{message} is sent after it has ended as {end:?}"))
            }
            _ => Ok(()),
        }
    }

    fn answer(&mut self, call_ref: CallRef, answer: Answer) -> Result<(), Violation> {
        self.answer_arrives(call_ref, answer);
        self.read(call_ref)
    }

    /// A provider has written its answer.
    fn answer_arrives(&mut self, call_ref: CallRef, answer: Answer) {
        let Some(out) = self.find(call_ref).and_then(|id| self.calls.get_mut(&id)) else { return };
        let message = out.message;
        out.arrived = Some(answer);
        if answer == Answer::Interim {
            out.interim = true;
        } else {
            self.monitor.call_ended(message, call_ref.attempt, answer.never_ran());
        }
        let m = &mut self.monitor.messages[message];
        // Later it counts for nobody but the provider.
        m.delivered |= answer.delivers() && self.now < m.deadline;
        m.gone |= answer == Answer::Gone;
        if answer == Answer::Wait {
            let until = self.now + Answer::WAIT_MS * 1_000;
            let wait = self.monitor.waits.entry(m.dest).or_insert((self.now, until));
            // A wait that goes on is one that began with the first.
            *wait = if self.now < wait.1 { (wait.0, wait.1.max(until)) } else { (self.now, until) };
        }
    }

    fn read(&mut self, call_ref: CallRef) -> Result<(), Violation> {
        let Some(out) = self.find(call_ref).and_then(|id| self.calls.get_mut(&id)) else { return Ok(()) };
        let Some(answer) = out.arrived.take() else { return Ok(()) };
        if let Some((connection, bytes)) = out.call.parts() {
            if matches!(answer, Answer::CutOk | Answer::CutFull | Answer::Copy) {
                self.spoilt.insert(*connection);
            }
            bytes.extend_from_slice(answer.bytes());
        }
        self.input(call_ref, AttemptInput::Read)
    }

    fn submit(&mut self, class: u8, dest: u64, key: u64) -> Result<(), Violation> {
        let message = self.monitor.messages.len();
        let deadline = self.now + self.case.time_left();
        let acceptance = Acceptance::No;
        let fresh = ObservedMessage {
            class,
            dest,
            key,
            deadline,
            acceptance,
            calls: Vec::new(),
            notice: None,
            delivered: false,
            gone: false,
            settled: false,
        };
        self.monitor.messages.push(fresh);
        let next = self.hub.router.next_number();
        self.numbers.insert(next, message);
        let (intake, todo) = self.hub.submit(self.submission(message), self.now);
        let is_stored = self.is_stored(message);
        let m = &mut self.monitor.messages[message];
        m.acceptance = match intake {
            // Whatever the answer would have been, nobody heard it.
            _ if self.crashing && is_stored => Acceptance::Unheard,
            Intake::Accepted if !self.crashing => Acceptance::Heard,
            _ => Acceptance::No,
        };
        if m.acceptance == Acceptance::Heard && !is_stored {
            return violated(
                Property::Durability,
                format!("m{message} is answered 202 and is not in the store"),
            );
        }
        self.execute(todo)
    }

    fn submission(&self, message: usize) -> Submission {
        let m = &self.monitor.messages[message];
        Submission {
            id: format!("m{message}"),
            class: CLASSES[m.class as usize].into(),
            key: (m.class == 1).then(|| format!("k{}", m.key)),
            dest: m.dest,
            tenant: None,
            time_left: m.deadline.saturating_sub(self.now),
            body: format!("body of m{message}").into_bytes().into(),
        }
    }

    fn is_stored(&self, message: usize) -> bool {
        let name = format!("m{message}");
        self.book().owed.values().any(|entry| entry.taken.id == name)
    }

    fn book(&self) -> JournalContents {
        JournalContents::read(self.hub.router.journal().store().bytes()).0
    }

    /// The same id once more: it must not be taken on twice.
    fn resubmit(&mut self, message: usize) -> Result<(), Violation> {
        let next = self.hub.router.next_number();
        let (intake, todo) = self.hub.submit(self.submission(message), self.now);
        let m = &self.monitor.messages[message];
        let known = m.acceptance != Acceptance::No && self.now < m.deadline;
        if intake == Intake::Accepted {
            if known {
                return violated(Property::FinalAnswer, format!("m{message} is taken on twice"));
            }
            self.numbers.insert(next, message);
            let (deadline, is_stored) = (self.now + self.case.time_left(), self.is_stored(message));
            let m = &mut self.monitor.messages[message];
            m.acceptance = if self.crashing {
                if is_stored { Acceptance::Unheard } else { Acceptance::No }
            } else {
                Acceptance::Heard
            };
            m.deadline = deadline.min(m.deadline.max(self.now));
        }
        if intake == Intake::Delivered && !is_delivered(&self.monitor, message) {
            return violated(
                Property::FinalAnswer,
                format!("m{message} is told to be delivered, and is not"),
            );
        }
        self.execute(todo)
    }

    fn change(&mut self, n: u8, state: u8) -> Result<(), Violation> {
        self.version += 1;
        let line = &mut self.list[n as usize];
        (line.state, line.version) = (state, self.version);
        let follows = matches!(self.watch.state(), watch::WatchState::Following { .. });
        if self.is_up() && follows { self.send_list(false) } else { Ok(()) }
    }

    /// Discovery tells what has changed since the version that the courier has, or all.
    fn send_list(&mut self, full: bool) -> Result<(), Violation> {
        let known_version = self.hub.router.version();
        let included = |line: &ListEntry| if full { line.state != 0 } else { line.version > known_version };
        let list = EndpointList { full, ..list_update(&self.list, self.version, included) };
        for (n, line) in self.list.iter().enumerate() {
            if line.state == 1 {
                self.monitor.drains.remove(&(n as u8));
            } else {
                self.monitor.drains.entry(n as u8).or_insert(self.now);
            }
        }
        let todo = self.hub.list(list, self.now);
        self.execute(todo)
    }

    fn send_notices(&mut self) -> Result<(), Violation> {
        let notices = self.hub.router.notices(self.notices.most());
        let wanted = notices::NoticeInput::Wanted(notices.len());
        if let notices::NoticeOutput::Send(_) = self.notices.step(wanted, self.now) {
            for notice in &notices {
                let settled = message_index(&notice.id)
                    .and_then(|n| self.monitor.messages.get(n))
                    .is_some_and(|m| m.settled);
                if settled {
                    return violated(
                        Property::FinalAnswer,
                        format!("{} was over, and is ended again", notice.id),
                    );
                }
            }
            self.sent_notices = notices;
        }
        Ok(())
    }

    fn platform_receives(&mut self) -> Result<(), Violation> {
        for Notice { id, ending, .. } in &self.sent_notices {
            match message_index(id).filter(|n| *n < self.monitor.messages.len()) {
                Some(n) => self.monitor.notice(n, *ending)?,
                None => return violated(Property::FinalAnswer, format!("a notice for {id:?}")),
            }
        }
        Ok(())
    }

    fn crash(&mut self) {
        self.crashing = false;
        self.monitor.crashed();
        self.monitor.grace_until = Micros::MAX / 2;
        self.calls.clear();
        self.closed.clear();
        self.sent_notices.clear();
        self.confirmed_notices.clear();
        self.consecutive_losses = 0;
        self.notices = Notices::default();
        let until = self.now + RESTART_DELAY;
        // A killed process may have left a planned stop unfinished; it starts again all the same.
        self.process = ProcessState::Down { until };
        let bytes = self.hub.router.journal().store().bytes().to_vec();
        *self.hub.router.journal_mut().store_mut() = Memory::of(bytes);
        self.incarnations += 1;
        // What the disk refused to note is not known to the next life.
        let book = self.book();
        for (n, m) in self.monitor.messages.iter_mut().enumerate() {
            let name = format!("m{n}");
            m.settled &= !book.owed.values().any(|entry| entry.taken.id == name);
        }
    }

    fn start(&mut self) -> Result<(), Violation> {
        let store = self.hub.router.journal().store().clone();
        // What the last life was told of the list is what the configuration knows.
        let known_version = self.hub.router.version();
        let known = list_update(&self.list, known_version, |line| line.version <= known_version);
        let before = self.book();
        let (hub, steps) = match restore(&self.case, store, known, self.now) {
            Ok(restored) => restored,
            Err(e) => return violated(Property::Durability, format!("the store can't be read back: {e}")),
        };
        self.hub = hub;
        let after = self.book();
        // What follows from it is written at once, but nothing of it is gone.
        let same = |(n, entry): (&u64, &quillmount_core::journal::JournalEntry)| {
            after
                .owed
                .get(n)
                .is_some_and(|now| now.taken == entry.taken && now.calls.starts_with(&entry.calls))
        };
        if !before.owed.iter().all(same) {
            return violated(Property::Durability, "the store tells something else after the start".into());
        }
        self.numbers =
            before.owed.iter().filter_map(|(n, e)| Some((*n, message_index(&e.taken.id)?))).collect();
        self.process = ProcessState::Up;
        self.monitor.grace_until = 0;
        self.monitor.ready(self.now);
        self.watch = Watch::new(self.now);
        self.watch.step(watch::WatchInput::Answered, self.now);
        let todo = self.hub.carry_out(steps, self.now);
        self.execute(todo)?;
        self.send_list(false)
    }

    fn retain_live_connections(&mut self) {
        let resting: BTreeSet<u32> = self.hub.pool.idle().map(|(_, c, _)| *c).collect();
        self.closed.retain(|c| resting.contains(c));
        self.spoilt
            .retain(|c| resting.contains(c) || self.calls.values().any(|o| o.call.connection() == Some(c)));
    }

    /// What must hold in every state, beyond what the outside sees.
    fn check_invariants(&self) -> Result<(), Violation> {
        if !self.is_up() {
            return Ok(());
        }
        let pending = self.hub.router.owed().filter(|(.., end)| end.is_none()).count();
        if pending > self.case.open_cap as usize {
            return violated(Property::Unchanged, format!("{pending} messages are held"));
        }
        let (calls, _) = self.hub.pool.load();
        let counted = self
            .calls
            .values()
            .filter(|o| o.call.connection().is_some() || o.call.state() == AttemptState::Connecting)
            .count();
        if calls != counted {
            return violated(Property::Unchanged, format!("the pool counts {calls} calls of {counted}"));
        }
        Ok(())
    }

    /// Where nothing can happen any more: everything is over and every table is empty.
    ///
    /// # Errors
    /// Something is left.
    pub fn check_quiescent(&self) -> Result<(), Violation> {
        let (owed, out) = self.hub.router.load();
        let open =
            self.monitor.messages.iter().position(|m| m.acceptance == Acceptance::Heard && !m.is_final());
        if let Some(n) = open {
            return violated(Property::Liveness, format!("m{n} has no end, and nothing can happen any more"));
        }
        let (calls, _) = self.hub.pool.load();
        let left = [("owed", owed), ("calls", out), ("attempts", self.calls.len()), ("pool", calls)];
        match left.into_iter().find(|(_, n)| *n > 0) {
            Some((what, n)) => {
                violated(Property::Liveness, format!("{n} left in the table of {what} at rest"))
            }
            None => Ok(()),
        }
    }

    /// All that matters for what comes next.
    pub fn hash_into(&self, hasher: &mut crate::fingerprint::Fingerprint) {
        use quillmount_policy::StateVisitor;
        hasher.start_at(self.now);
        self.hub.router.visit_state(hasher);
        hasher.hash(&(
            self.process_key(),
            self.incarnations,
            self.case.faults.map(|_| self.faults),
            self.disk_full,
            self.consecutive_losses,
        ));
        let known_version = self.hub.router.version();
        for line in &self.list {
            hasher.hash(&(line.port, line.dest, line.state, line.version > known_version));
        }
        hasher.hash(&(self.notices.state().kind(), self.notices.most(), self.sent_notices.len()));
        hasher.visit_time(self.notices.wake_at().unwrap_or(0));
        for n in &self.sent_notices {
            hasher.hash(&(&n.id, n.ending));
        }
        for n in &self.confirmed_notices {
            hasher.hash(&(&n.id, n.ending));
        }
        if let watch::WatchState::BackingOff { until } = self.watch.state() {
            hasher.visit_time(until);
        }
        for (id, out) in &self.calls {
            hasher.hash(&(
                id,
                out.message,
                out.provider,
                out.interim,
                out.arrived,
                out.call.attempt().answer(),
            ));
            match out.call.state() {
                AttemptState::Reading { by } => hasher.visit_time(by),
                AttemptState::Closing { end, until } => {
                    hasher.hash(&end);
                    hasher.visit_time(until);
                }
                AttemptState::Writing { written } => hasher.hash(&(1u8, written)),
                AttemptState::Connecting => {
                    hasher.visit_u64(2);
                    hasher.visit_time(out.dial);
                }
                AttemptState::New => hasher.visit_u64(3),
                AttemptState::Awaiting => hasher.visit_u64(4),
                AttemptState::Finished => hasher.visit_u64(5),
            }
            hasher.visit_time(out.deadline);
        }
        for (n, open, paused_until) in self.hub.pool.gates() {
            hasher.hash(&(n, open));
            hasher.visit_time(paused_until.max(self.now));
        }
        for (n, c, since) in self.hub.pool.idle() {
            hasher.hash(&(n, self.closed.contains(c), self.spoilt.contains(c)));
            hasher.visit_time(since);
        }
        if self.case.incarnations > 1 {
            for (n, entry) in &self.book().owed {
                hasher.hash(&(n, &entry.taken.id, entry.calls.len()));
                for call in &entry.calls {
                    hasher.visit_time(call.sent);
                    hasher.hash(&call.never_ran);
                }
                hasher.hash(&entry.end.map(|e| format!("{e:?}")));
            }
        }
        for m in &self.monitor.messages {
            hasher.hash(&(m.class, m.dest, m.key, m.acceptance, m.notice, m.delivered, m.gone, m.settled));
            hasher.visit_time(m.deadline);
            for s in &m.calls {
                hasher.hash(&(s.incarnation, s.attempt, s.never_ran, s.open, s.last.is_some()));
                hasher.visit_time(s.first);
            }
        }
        for (n, announced_at) in &self.monitor.drains {
            hasher.hash(n);
            // Past the limit a drain is one that holds.
            hasher.visit_time((*announced_at).max(self.now.saturating_sub(DRAIN_GRACE + 1)));
        }
        for (dest, (from, until)) in self.monitor.waits.iter().filter(|(_, (_, until))| *until > self.now) {
            hasher.hash(dest);
            hasher.visit_time(*from);
            hasher.visit_time(*until);
        }
        hasher.visit_time(if self.monitor.grace_until > self.now { self.monitor.grace_until } else { 0 });
    }

    fn process_key(&self) -> (u8, Micros) {
        match self.process {
            ProcessState::Up => (0, 0),
            ProcessState::Stopping { end } => (1, end - self.now),
            ProcessState::Down { until } => (2, until - self.now),
        }
    }

    /// The state in a few lines, for a story.
    pub fn describe(&self) -> Vec<String> {
        let mut lines = Vec::new();
        let at = |t: Micros| format!("{:.6} s", (t.saturating_sub(START)) as f64 / 1e6);
        for (n, m) in self.monitor.messages.iter().enumerate() {
            let sent: Vec<String> = m
                .calls
                .iter()
                .map(|s| {
                    let last = s.last.map_or("not whole".into(), |t| format!("whole at {}", at(t)));
                    let fate = if s.open {
                        "open"
                    } else if s.never_ran {
                        "never ran"
                    } else {
                        "over"
                    };
                    format!("call {} from {}, {last}, {fate}", s.attempt, at(s.first))
                })
                .collect();
            let end = match (m.delivered, m.gone, m.notice) {
                (true, ..) => "delivered".to_string(),
                (_, true, _) => "over".to_string(),
                (.., Some(end)) => format!("{end:?}"),
                _ => "open".to_string(),
            };
            lines.push(format!(
                "m{n}: {}, {:?}, until {}; {}; {end}",
                CLASSES[m.class as usize],
                m.acceptance,
                at(m.deadline),
                if sent.is_empty() { "not sent".into() } else { sent.join("; ") }
            ));
        }
        let out = self.calls.values();
        lines.extend(
            out.map(|o| format!("{}: {:?}, to provider {}", call_ref(o), o.call.state(), o.provider)),
        );
        lines
    }
}

fn is_delivered(monitor: &Monitor, message: usize) -> bool {
    let m = &monitor.messages[message];
    m.delivered || m.gone
}

fn message_index(id: &str) -> Option<usize> {
    id.strip_prefix('m').and_then(|n| n.parse().ok()).filter(|n| *n < MESSAGES_MAX)
}

fn call_ref(out: &OutstandingCall) -> CallRef {
    CallRef { message: out.message as u64, attempt: out.call.order.call.attempt }
}

/// What a kind world does.
pub fn is_benign(action: Action) -> bool {
    matches!(
        action,
        Action::Submit { .. }
            | Action::Connected(_)
            | Action::Write(_, WriteExtent::Complete)
            | Action::Answer(_, Answer::Ok)
            | Action::ReadAnswer(_)
            | Action::EndpointClosed(_)
            | Action::Deadline(_)
            | Action::CallTick(_)
            | Action::Tick
            | Action::WatchTick
            | Action::SendNotices
            | Action::Confirmed
            | Action::NoticeTick
            | Action::DiskFree
            | Action::Exit
            | Action::Start
            | Action::AdvanceClock { .. }
    )
}

/// The list at a version, whole but for the lines that are left out.
fn list_update(list: &[ListEntry], version: u64, included: impl Fn(&ListEntry) -> bool) -> EndpointList {
    let lines = list.iter().enumerate().filter(|(_, line)| included(line));
    let endpoints = lines.map(|(n, line)| EndpointListing {
        id: format!("p{n}"),
        addr: Some(SocketAddr::from(([127, 0, 0, 1], line.port))),
        dest: line.dest,
        kind: "bank".into(),
        zone: "a".into(),
        weight: 50.0,
        state: match line.state {
            0 => EndpointState::Gone,
            1 => EndpointState::Ready,
            _ => EndpointState::Draining,
        },
    });
    EndpointList { version, full: true, endpoints: endpoints.collect() }
}

type Restored = (Hub<Memory, u32>, Vec<quillmount_core::router::RouterAction>);

fn restore(case: &Case, store: Memory, known: EndpointList, now: Micros) -> Result<Restored, String> {
    let env = case.env().map_err(|e| e.to_string())?;
    let (router, steps) =
        Router::open(&env, case.seed, known, store, DISK_BYTES, now).map_err(|e| e.to_string())?;
    Ok((Hub::new(router, Pool::new(15_000_000, 100)), steps))
}
