//! Random legal event sequences, checked by a model of the rules that shares no code with the policy.

mod common;
use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};
use quillmount_policy::*;
use std::collections::BTreeMap;

struct Attempt {
    endpoint: EndpointId,
    sent_at: Micros,
    /// Time at which the attempt times out.
    times_out_at: Micros,
    /// `None` while in flight; afterwards whether the attempt may have run.
    may_have_run: Option<bool>,
}

struct Tracked {
    class: usize,
    key: Option<u64>,
    dest: DestId,
    deadline: Micros,
    ended: bool,
    sent: Vec<Attempt>,
}

#[derive(Default)]
struct Checker {
    messages: BTreeMap<MsgId, Tracked>,
    listed: BTreeMap<EndpointId, bool>,
    waits: BTreeMap<u64, Micros>,
    cooldowns: BTreeMap<u64, Micros>,
}

const SLOTS: usize = 6;

fn dest_of(endpoint: EndpointId) -> DestId {
    u64::from(endpoint) / 2
}

/// The scope of a requested wait: an endpoint of destination 2, which has separate routes, or a whole destination.
fn wait_scope(endpoint: EndpointId) -> u64 {
    let dest = dest_of(endpoint);
    if dest == 2 { 100 + u64::from(endpoint) } else { dest }
}

impl Checker {
    fn in_flight(&self) -> usize {
        self.messages
            .values()
            .flat_map(|message| &message.sent)
            .filter(|attempt| attempt.may_have_run.is_none())
            .count()
    }

    fn check(&mut self, now: Micros, actions: &[DispatchAction]) -> Result<(), TestCaseError> {
        for action in actions {
            match action {
                DispatchAction::Send { msg, endpoint, timeout, .. } => {
                    prop_assert!(self.in_flight() < SLOTS, "sent without a free slot");
                    prop_assert_eq!(self.listed.get(endpoint), Some(&true), "endpoint is not ready");
                    let wait = self.waits.get(&wait_scope(*endpoint)).copied().unwrap_or(0);
                    prop_assert!(now >= wait, "sent during a requested wait");
                    let key = self.messages[msg].key;
                    if let Some(k) = key {
                        for (id, m) in self.messages.range(..*msg).filter(|(_, m)| m.key == Some(k)) {
                            let is_done = m.ended && m.sent.iter().all(|s| s.may_have_run.is_some());
                            prop_assert!(is_done, "{msg} was sent before {id} of its key ended");
                        }
                        let cooldown = self.cooldowns.get(&k).copied().unwrap_or(0);
                        let is_first = self.messages[msg].sent.is_empty();
                        prop_assert!(!is_first || now >= cooldown, "sent during the cooldown of its key");
                    }
                    let m = self.messages.get_mut(msg).unwrap();
                    prop_assert!(!m.ended, "sent after its final result");
                    prop_assert_eq!(m.dest, dest_of(*endpoint));
                    prop_assert!(m.sent.len() < 6, "sent more often than allowed");
                    prop_assert!(m.sent.iter().all(|s| s.may_have_run.is_some()), "two in flight");
                    let possible_run = m.sent.iter().find(|s| s.may_have_run == Some(true));
                    if let Some(first) = possible_run {
                        prop_assert!(m.class < 2, "retried although it may have run");
                        prop_assert!(m.class != 1 || now <= first.sent_at + 5 * SEC, "its span has ended");
                    }
                    let times_out_at = (now + timeout).min(m.deadline);
                    m.sent.push(Attempt {
                        endpoint: *endpoint,
                        sent_at: now,
                        times_out_at,
                        may_have_run: None,
                    });
                }
                DispatchAction::Reject { msg, .. } | DispatchAction::Fail { msg } => {
                    let m = self.messages.get_mut(msg).unwrap();
                    prop_assert!(!m.ended, "two final results");
                    let late = now.saturating_sub(m.deadline + 20_000);
                    prop_assert!(
                        late == 0,
                        "{msg} of class {} got its result {late} us too late after {} attempts",
                        m.class,
                        m.sent.len()
                    );
                    let may_have_run = m.sent.iter().any(|s| s.may_have_run != Some(false));
                    if matches!(action, DispatchAction::Reject { .. }) {
                        prop_assert!(m.class < 2 || !may_have_run, "rejected although it may have run");
                    }
                    m.ended = true;
                }
                DispatchAction::Cancel { msg, attempt } => {
                    prop_assert!((*attempt as usize) < self.messages[msg].sent.len());
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// Attempts whose time-out has been reached.
    fn timeouts(&self, now: Micros) -> Vec<(MsgId, usize, Outcome)> {
        let mut due = Vec::new();
        for (id, message) in &self.messages {
            for (n, attempt) in message.sent.iter().enumerate() {
                if attempt.may_have_run.is_none() && attempt.times_out_at <= now {
                    due.push((*id, n, Outcome::Timeout));
                }
            }
        }
        due
    }

    /// Records the outcomes and returns the events that report them.
    fn outcomes(&mut self, now: Micros, outcomes_due: Vec<(MsgId, usize, Outcome)>) -> Vec<DispatchEvent> {
        let mut events = Vec::new();
        let mut requested_waits = Vec::new();
        for (id, n, outcome) in outcomes_due {
            let message = self.messages.get_mut(&id).unwrap();
            let never_ran = matches!(outcome, Outcome::Full | Outcome::ConnectFailed);
            message.sent[n].may_have_run = Some(!never_ran);
            if let (Some(k), Outcome::Timeout | Outcome::Reset) = (message.key, outcome) {
                self.cooldowns.insert(k, now + 300_000);
            }
            let finished = outcome == Outcome::Ok || message.ended;
            message.ended |= finished;
            let wait = if outcome == Outcome::Full && id % 2 == 0 { 700_000 } else { 0 };
            if wait > 0 {
                requested_waits.push((wait_scope(message.sent[n].endpoint), now + wait));
            }
            let elapsed = now - message.sent[n].sent_at;
            let (msg, attempt, load_report) = (id, n as u32, Vec::new());
            events.push(DispatchEvent::Completed(Completion {
                msg,
                attempt,
                outcome,
                elapsed,
                finished,
                wait,
                load_report,
            }));
        }
        for (scope, until) in requested_waits {
            let wait_until = self.waits.entry(scope).or_default();
            *wait_until = (*wait_until).max(until);
        }
        events
    }
}

/// Adds the timers that were set; each of them fires, whatever happens in the meantime.
fn record_timers(now: Micros, timers: &mut Vec<Micros>, actions: &[DispatchAction]) {
    for action in actions {
        if let DispatchAction::Timer { after, .. } = action {
            timers.push(now + after);
        }
    }
}

fn outcome_of(n: u8) -> Outcome {
    match n % 12 {
        0..=4 => Outcome::Ok,
        5 => Outcome::Error,
        6..=8 => Outcome::Full,
        9 => Outcome::ConnectFailed,
        10 => Outcome::Reset,
        _ => Outcome::Timeout,
    }
}

fn listed(endpoint: EndpointId, state: EndpointState) -> EndpointEntry {
    EndpointEntry { kind: usize::from(dest_of(endpoint) == 2), state, ..entry(endpoint, dest_of(endpoint)) }
}

/// A dispatcher under test with its checker.
struct Harness {
    dispatcher: Dispatcher,
    checker: Checker,
    now: Micros,
    next_id: MsgId,
    timers: Vec<Micros>,
    /// Actions of each step after the first.
    action_log: Vec<Vec<DispatchAction>>,
}

impl Harness {
    fn new(seed: u64) -> Harness {
        let mut set = settings(SLOTS as u32);
        set.kinds.push(DestinationKind { separate_routes: true, batch: 1 });
        set.max_open_messages = 30;
        // One sender, a few, and so many that a destination is sparsely served and the guard is active early.
        set.sender_count = [1, 3, 40, 300][seed as usize % 4];
        set.sender_index = (seed >> 8) as u32 % set.sender_count;
        Harness {
            dispatcher: Dispatcher::new(set, seed).unwrap(),
            checker: Checker::default(),
            now: 5 * SEC,
            next_id: 0,
            timers: Vec::new(),
            action_log: Vec::new(),
        }
    }

    fn list_all(&mut self) -> Result<(), TestCaseError> {
        let entries: Vec<EndpointEntry> = (0..6).map(|n| listed(n, EndpointState::Ready)).collect();
        self.checker.listed = (0..6).map(|n| (n, true)).collect();
        self.step(&[DispatchEvent::List { kind: ListUpdate::Full, entries }]).map(drop)
    }

    fn step(&mut self, events: &[DispatchEvent]) -> Result<Vec<DispatchAction>, TestCaseError> {
        let actions = self.dispatcher.step(self.now, events);
        record_timers(self.now, &mut self.timers, &actions);
        self.checker.check(self.now, &actions)?;
        Ok(actions)
    }

    /// Advances the clock to `target` and delivers the timers and time-outs that become due before it.
    fn advance_to(&mut self, target: Micros) -> Result<(), TestCaseError> {
        loop {
            let sent = self.checker.messages.values().flat_map(|message| &message.sent);
            let timeouts =
                sent.filter(|attempt| attempt.may_have_run.is_none()).map(|attempt| attempt.times_out_at);
            let due = timeouts.chain(self.timers.iter().copied()).min().filter(|at| *at < target);
            let Some(at) = due else { break };
            self.now = self.now.max(at);
            let now = self.now;
            self.timers.retain(|at| *at > now);
            let timed_out = self.checker.timeouts(now);
            let events = self.checker.outcomes(now, timed_out);
            let actions = self.step(&events)?;
            self.action_log.push(actions);
        }
        self.now = target;
        Ok(())
    }

    /// Submits a message whose class derives from `a`, and its destination and, in class 3, its key from `b`.
    fn submit(&mut self, a: u8, b: u8) -> DispatchEvent {
        let class = usize::from(a % 4);
        let key = (class == 3).then_some(u64::from(b % 3));
        let (id, dest, deadline) = (self.next_id, u64::from(b % 3), self.now + 20 * SEC);
        self.next_id += 1;
        let tracked = Tracked { class, key, dest, deadline, ended: false, sent: Vec::new() };
        self.checker.messages.insert(id, tracked);
        DispatchEvent::Submit(Message {
            id,
            class,
            tenant: None,
            key,
            deadline,
            work_hint: None,
            dest,
            stream: false,
            size: 0,
        })
    }

    /// Returns the attempt in flight that `a` selects, if there is any.
    fn choose_attempt(&self, a: u8) -> Option<(MsgId, usize)> {
        let first_in_flight =
            |message: &Tracked| message.sent.iter().position(|attempt| attempt.may_have_run.is_none());
        let in_flight: Vec<(MsgId, usize)> = self
            .checker
            .messages
            .iter()
            .filter_map(|(id, message)| Some((*id, first_in_flight(message)?)))
            .collect();
        (!in_flight.is_empty()).then(|| in_flight[usize::from(a) % in_flight.len()])
    }

    /// Lists an endpoint selected by `a` in a state selected by `b`.
    fn list(&mut self, a: u8, b: u8) -> DispatchEvent {
        let endpoint = u32::from(a % 6);
        let states =
            [EndpointState::Gone, EndpointState::Ready, EndpointState::Ready, EndpointState::Draining];
        let state = states[usize::from(b % 4)];
        self.checker.listed.insert(endpoint, state == EndpointState::Ready);
        DispatchEvent::List { kind: ListUpdate::Delta, entries: vec![listed(endpoint, state)] }
    }

    /// Disconnects the client of the open message that `a` selects, if there is any.
    fn hang_up(&mut self, a: u8) -> Option<DispatchEvent> {
        let open: Vec<MsgId> =
            self.checker.messages.iter().filter(|(_, message)| !message.ended).map(|(id, _)| *id).collect();
        let msg = *open.get(usize::from(a).checked_rem(open.len())?)?;
        self.checker.messages.get_mut(&msg).unwrap().ended = true;
        Some(DispatchEvent::Hangup { msg })
    }

    /// Generates one event from these draws. With `QUIET`, only attempts end that have timed out.
    fn generate_event(&mut self, (kind, a, b): (u8, u8, u8)) -> Result<(), TestCaseError> {
        let mut events = Vec::new();
        let mut outcomes = self.checker.timeouts(self.now);
        match kind % 8 {
            0..=2 if kind != QUIET => events.push(self.submit(a, b)),
            3..=5 => {
                let chosen = self.choose_attempt(a);
                let has_timed_out =
                    |chosen: &(MsgId, usize)| outcomes.iter().any(|(id, n, _)| (*id, *n) == *chosen);
                if let Some((id, n)) = chosen.filter(|chosen| !has_timed_out(chosen)) {
                    outcomes.push((id, n, outcome_of(b)));
                }
            }
            6 => events.push(self.list(a, b)),
            7 if kind != QUIET && b > 200 => events.extend(self.hang_up(a)),
            _ => {}
        }
        events.extend(self.checker.outcomes(self.now, outcomes));
        let actions = self.step(&events)?;
        self.action_log.push(actions);
        for (id, message) in &self.checker.messages {
            let is_waiting = message.sent.iter().all(|attempt| attempt.may_have_run.is_some());
            prop_assert!(
                message.ended || !is_waiting || self.now < message.deadline,
                "{id} has no result at its deadline"
            );
        }
        Ok(())
    }
}

/// Used in place of a draw: no new event is generated.
const QUIET: u8 = 255;

/// Runs one sequence. Each step advances the clock and generates one event.
fn run_sequence(seed: u64, steps: &[(u8, u8, u8)]) -> Result<Vec<Vec<DispatchAction>>, TestCaseError> {
    let mut harness = Harness::new(seed);
    harness.list_all()?;
    let quiet = [(QUIET, QUIET, 0u8); 300];
    for step in steps.iter().copied().chain(quiet) {
        let interval = if step.0 == QUIET { 100_000 } else { 10_000 + u64::from(step.2) * 800 };
        harness.advance_to(harness.now + interval)?;
        harness.generate_event(step)?;
    }
    Ok(harness.action_log)
}

#[test]
fn random_sequences_keep_the_rules_and_are_reproducible() {
    let config = Config { cases: 96, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]));
    let steps = proptest::collection::vec((0u8..255, any::<u8>(), any::<u8>()), 50..600);
    let result = runner.run(&(any::<u64>(), steps), |(seed, steps)| {
        let actions = run_sequence(seed, &steps)?;
        prop_assert_eq!(actions, run_sequence(seed, &steps)?);
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}
