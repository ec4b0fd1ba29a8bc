//! Random legal event sequences against a checker of the rules that shares no code with the policy.

mod common;
use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};
use quillmount_policy::*;
use std::collections::BTreeMap;

struct Sent {
    endpoint: EndpointId,
    at: Micros,
    until: Micros,
    /// None while in flight; then whether it may have run.
    may_have_run: Option<bool>,
}

struct Tracked {
    class: usize,
    key: Option<u64>,
    dest: DestId,
    deadline: Micros,
    ended: bool,
    sent: Vec<Sent>,
}

#[derive(Default)]
struct Checker {
    msgs: BTreeMap<MsgId, Tracked>,
    listed: BTreeMap<EndpointId, bool>,
    waits: BTreeMap<u64, Micros>,
    cooldowns: BTreeMap<u64, Micros>,
}

const SLOTS: usize = 6;

fn dest_of(endpoint: EndpointId) -> DestId {
    u64::from(endpoint) / 2
}

/// Destination 2 has separate routes; its waits bind one endpoint.
fn wait_scope(endpoint: EndpointId) -> u64 {
    let dest = dest_of(endpoint);
    if dest == 2 { 100 + u64::from(endpoint) } else { dest }
}

impl Checker {
    fn in_flight(&self) -> usize {
        self.msgs.values().flat_map(|m| &m.sent).filter(|s| s.may_have_run.is_none()).count()
    }

    fn check(&mut self, now: Micros, acts: &[DispatchAction]) -> Result<(), TestCaseError> {
        for a in acts {
            match a {
                DispatchAction::Send { msg, endpoint, timeout, .. } => {
                    prop_assert!(self.in_flight() < SLOTS, "a send without a slot");
                    prop_assert_eq!(self.listed.get(endpoint), Some(&true), "a send to one not ready");
                    let wait = self.waits.get(&wait_scope(*endpoint)).copied().unwrap_or(0);
                    prop_assert!(now >= wait, "a send within a wait");
                    let key = self.msgs[msg].key;
                    if let Some(k) = key {
                        for (id, m) in self.msgs.range(..*msg).filter(|(_, m)| m.key == Some(k)) {
                            let quiet = m.ended && m.sent.iter().all(|s| s.may_have_run.is_some());
                            prop_assert!(quiet, "{msg} overtakes {id} of its key");
                        }
                        let cooldown = self.cooldowns.get(&k).copied().unwrap_or(0);
                        let first = self.msgs[msg].sent.is_empty();
                        prop_assert!(!first || now >= cooldown, "a key that cools down");
                    }
                    let m = self.msgs.get_mut(msg).unwrap();
                    prop_assert!(!m.ended, "a send after the answer");
                    prop_assert_eq!(m.dest, dest_of(*endpoint));
                    prop_assert!(m.sent.len() < 6, "more attempts than allowed");
                    prop_assert!(m.sent.iter().all(|s| s.may_have_run.is_some()), "two at once");
                    let first = m.sent.iter().find(|s| s.may_have_run == Some(true));
                    if let Some(first) = first {
                        prop_assert!(
                            m.class < 2,
                            "a message that is not idempotent and may have run is retried"
                        );
                        prop_assert!(m.class != 1 || now <= first.at + 5 * SEC, "its span has ended");
                    }
                    let until = (now + timeout).min(m.deadline);
                    m.sent.push(Sent { endpoint: *endpoint, at: now, until, may_have_run: None });
                }
                DispatchAction::Reject { msg, .. } | DispatchAction::Fail { msg } => {
                    let m = self.msgs.get_mut(msg).unwrap();
                    prop_assert!(!m.ended, "two answers");
                    let late = now.saturating_sub(m.deadline + 20_000);
                    prop_assert!(
                        late == 0,
                        "{msg} of class {} is answered {late} us too late after {} sends",
                        m.class,
                        m.sent.len()
                    );
                    let may = m.sent.iter().any(|s| s.may_have_run != Some(false));
                    if matches!(a, DispatchAction::Reject { .. }) {
                        prop_assert!(m.class < 2 || !may, "a rejection of one that may have run");
                    }
                    m.ended = true;
                }
                DispatchAction::Cancel { msg, attempt } => {
                    prop_assert!((*attempt as usize) < self.msgs[msg].sent.len());
                }
                _ => {}
            }
        }
        Ok(())
    }

    fn timeouts(&self, now: Micros) -> Vec<(MsgId, usize, Outcome)> {
        let mut due = Vec::new();
        for (id, m) in &self.msgs {
            for (n, s) in m.sent.iter().enumerate() {
                if s.may_have_run.is_none() && s.until <= now {
                    due.push((*id, n, Outcome::Timeout));
                }
            }
        }
        due
    }

    /// Records the outcomes and returns the events that report them.
    fn outcomes(&mut self, now: Micros, outcomes_due: Vec<(MsgId, usize, Outcome)>) -> Vec<DispatchEvent> {
        let mut events = Vec::new();
        let mut excused = Vec::new();
        for (id, n, outcome) in outcomes_due {
            let m = self.msgs.get_mut(&id).unwrap();
            let never = matches!(outcome, Outcome::Full | Outcome::ConnectFailed);
            m.sent[n].may_have_run = Some(!never);
            if let (Some(k), Outcome::Timeout | Outcome::Reset) = (m.key, outcome) {
                self.cooldowns.insert(k, now + 300_000);
            }
            let finished = outcome == Outcome::Ok || m.ended;
            m.ended |= finished;
            let wait = if outcome == Outcome::Full && id % 2 == 0 { 700_000 } else { 0 };
            if wait > 0 {
                excused.push((wait_scope(m.sent[n].endpoint), now + wait));
            }
            let elapsed = now - m.sent[n].at;
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
        for (scope, until) in excused {
            let w = self.waits.entry(scope).or_default();
            *w = (*w).max(until);
        }
        events
    }
}

/// Adds the timers that were set; each one fires, whatever happened since.
fn note_timers(now: Micros, timers: &mut Vec<Micros>, acts: &[DispatchAction]) {
    for a in acts {
        if let DispatchAction::Timer { after, .. } = a {
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

/// A dispatcher that is played with and checked.
struct Play {
    dispatcher: Dispatcher,
    checker: Checker,
    now: Micros,
    next: MsgId,
    timers: Vec<Micros>,
    /// Actions of each step after the first.
    all: Vec<Vec<DispatchAction>>,
}

impl Play {
    fn new(seed: u64) -> Play {
        let mut set = settings(SLOTS as u32);
        set.kinds.push(DestinationKind { separate_routes: true, batch: 1 });
        set.max_open_messages = 30;
        // Alone, among few and among so many that a destination is sparsely served and the guard binds early.
        set.sender_count = [1, 3, 40, 300][seed as usize % 4];
        set.sender_index = (seed >> 8) as u32 % set.sender_count;
        Play {
            dispatcher: Dispatcher::new(set, seed).unwrap(),
            checker: Checker::default(),
            now: 5 * SEC,
            next: 0,
            timers: Vec::new(),
            all: Vec::new(),
        }
    }

    fn list_all(&mut self) -> Result<(), TestCaseError> {
        let entries: Vec<EndpointEntry> = (0..6).map(|n| listed(n, EndpointState::Ready)).collect();
        self.checker.listed = (0..6).map(|n| (n, true)).collect();
        self.step(&[DispatchEvent::List { kind: ListUpdate::Full, entries }]).map(drop)
    }

    fn step(&mut self, events: &[DispatchEvent]) -> Result<Vec<DispatchAction>, TestCaseError> {
        let actions = self.dispatcher.step(self.now, events);
        note_timers(self.now, &mut self.timers, &actions);
        self.checker.check(self.now, &actions)?;
        Ok(actions)
    }

    /// Lets time pass; a host delivers the timers and time-outs that come due before.
    fn advance_to(&mut self, target: Micros) -> Result<(), TestCaseError> {
        loop {
            let sent = self.checker.msgs.values().flat_map(|m| &m.sent);
            let timeouts = sent.filter(|s| s.may_have_run.is_none()).map(|s| s.until);
            let due = timeouts.chain(self.timers.iter().copied()).min().filter(|at| *at < target);
            let Some(at) = due else { break };
            self.now = self.now.max(at);
            let now = self.now;
            self.timers.retain(|at| *at > now);
            let timed_out = self.checker.timeouts(now);
            let events = self.checker.outcomes(now, timed_out);
            let actions = self.step(&events)?;
            self.all.push(actions);
        }
        self.now = target;
        Ok(())
    }

    /// Submits a message of class `a` for a destination and, in class 3, a key by `b`.
    fn submit(&mut self, a: u8, b: u8) -> DispatchEvent {
        let class = usize::from(a % 4);
        let key = (class == 3).then_some(u64::from(b % 3));
        let (id, dest, deadline) = (self.next, u64::from(b % 3), self.now + 20 * SEC);
        self.next += 1;
        let tracked = Tracked { class, key, dest, deadline, ended: false, sent: Vec::new() };
        self.checker.msgs.insert(id, tracked);
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

    /// The attempt in flight that `a` chooses, if there is any.
    fn choose_attempt(&self, a: u8) -> Option<(MsgId, usize)> {
        let first_in_flight = |m: &Tracked| m.sent.iter().position(|s| s.may_have_run.is_none());
        let in_flight: Vec<(MsgId, usize)> =
            self.checker.msgs.iter().filter_map(|(id, m)| Some((*id, first_in_flight(m)?))).collect();
        (!in_flight.is_empty()).then(|| in_flight[usize::from(a) % in_flight.len()])
    }

    /// Lists endpoint `a` in a state by `b`.
    fn list(&mut self, a: u8, b: u8) -> DispatchEvent {
        let endpoint = u32::from(a % 6);
        let states =
            [EndpointState::Gone, EndpointState::Ready, EndpointState::Ready, EndpointState::Draining];
        let state = states[usize::from(b % 4)];
        self.checker.listed.insert(endpoint, state == EndpointState::Ready);
        DispatchEvent::List { kind: ListUpdate::Delta, entries: vec![listed(endpoint, state)] }
    }

    /// The client of the open message that `a` chooses has gone.
    fn hang_up(&mut self, a: u8) -> Option<DispatchEvent> {
        let open: Vec<MsgId> =
            self.checker.msgs.iter().filter(|(_, m)| !m.ended).map(|(id, _)| *id).collect();
        let msg = *open.get(usize::from(a).checked_rem(open.len())?)?;
        self.checker.msgs.get_mut(&msg).unwrap().ended = true;
        Some(DispatchEvent::Hangup { msg })
    }

    /// Makes one event happen by these draws; with `QUIET` only the attempts end that have timed out.
    fn happen(&mut self, (what, a, b): (u8, u8, u8)) -> Result<(), TestCaseError> {
        let mut events = Vec::new();
        let mut outcomes = self.checker.timeouts(self.now);
        match what % 8 {
            0..=2 if what != QUIET => events.push(self.submit(a, b)),
            3..=5 => {
                let chosen = self.choose_attempt(a);
                let has_timed_out =
                    |chosen: &(MsgId, usize)| outcomes.iter().any(|(id, n, _)| (*id, *n) == *chosen);
                if let Some((id, n)) = chosen.filter(|chosen| !has_timed_out(chosen)) {
                    outcomes.push((id, n, outcome_of(b)));
                }
            }
            6 => events.push(self.list(a, b)),
            7 if what != QUIET && b > 200 => events.extend(self.hang_up(a)),
            _ => {}
        }
        events.extend(self.checker.outcomes(self.now, outcomes));
        let actions = self.step(&events)?;
        self.all.push(actions);
        for (id, m) in &self.checker.msgs {
            let waits = m.sent.iter().all(|s| s.may_have_run.is_some());
            prop_assert!(m.ended || !waits || self.now < m.deadline, "{id} got no answer");
        }
        Ok(())
    }
}

/// In place of a draw: nothing new happens.
const QUIET: u8 = 255;

/// Plays one sequence; each step lets time pass and makes one thing happen.
fn play(seed: u64, steps: &[(u8, u8, u8)]) -> Result<Vec<Vec<DispatchAction>>, TestCaseError> {
    let mut play = Play::new(seed);
    play.list_all()?;
    let quiet = [(QUIET, QUIET, 0u8); 300];
    for step in steps.iter().copied().chain(quiet) {
        let pause = if step.0 == QUIET { 100_000 } else { 10_000 + u64::from(step.2) * 800 };
        play.advance_to(play.now + pause)?;
        play.happen(step)?;
    }
    Ok(play.all)
}

#[test]
fn random_days_keep_the_rules_and_repeat_exactly() {
    let config = Config { cases: 96, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]));
    let steps = proptest::collection::vec((0u8..255, any::<u8>(), any::<u8>()), 50..600);
    let result = runner.run(&(any::<u64>(), steps), |(seed, steps)| {
        let once = play(seed, &steps)?;
        prop_assert_eq!(once, play(seed, &steps)?);
        Ok(())
    });
    if let Err(e) = result {
        panic!("{e}");
    }
}
