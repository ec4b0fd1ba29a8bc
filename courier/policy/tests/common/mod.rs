//! A scripted host of a dispatcher, with a virtual clock, the attempts in flight and a log of all actions.
#![allow(dead_code)]

use quillmount_policy::*;
use std::collections::BTreeMap;

pub const SEC: Micros = 1_000_000;

/// Settings with these classes: 0 idempotent, 1 deduplicated for 5 s, 2 not idempotent, 3 not idempotent and in order
/// of the key. Kind 0 has one route for each destination.
pub fn settings(slots: u32) -> Settings {
    let class = |effect, keep_order| MessageClass {
        effect,
        latency_target: SEC,
        latency_target_stretch: 0.0,
        deadline: 20 * SEC,
        value: 1.0,
        late_value: 0.1,
        keep_order,
    };
    Settings {
        slots,
        max_attempts: 6,
        cancel: true,
        weight_is_rate: true,
        classes: vec![
            class(Effect::Idempotent, false),
            class(Effect::Deduplicated { span: 5 * SEC, by_zone: false }, false),
            class(Effect::NonIdempotent, false),
            class(Effect::NonIdempotent, true),
        ],
        kinds: vec![DestinationKind { separate_routes: false, batch: 1 }],
        key_cooldown: 300_000,
        ..Settings::default()
    }
}

pub fn entry(endpoint: EndpointId, dest: DestId) -> EndpointEntry {
    EndpointEntry {
        endpoint,
        dest,
        kind: 0,
        zone: 0,
        weight: 6.0,
        state: EndpointState::Ready,
        returning: false,
    }
}

pub struct World {
    pub dispatcher: Dispatcher,
    pub now: Micros,
    /// Id of the next submitted message.
    pub next_id: MsgId,
    pub next_timer: Option<Micros>,
    /// Attempts in flight by (message, attempt), with the endpoint, the time of sending and the time-out.
    pub in_flight: BTreeMap<(MsgId, u32), (EndpointId, Micros, Micros)>,
    /// Number of attempts of each message.
    pub attempts: BTreeMap<MsgId, u32>,
    pub log: Vec<(Micros, DispatchAction)>,
}

impl World {
    pub fn new(set: Settings, seed: u64) -> World {
        World {
            dispatcher: Dispatcher::new(set, seed).unwrap(),
            now: 10 * SEC,
            next_id: 0,
            next_timer: None,
            in_flight: BTreeMap::new(),
            attempts: BTreeMap::new(),
            log: Vec::new(),
        }
    }

    pub fn step(&mut self, events: &[DispatchEvent]) -> Vec<DispatchAction> {
        let actions = self.dispatcher.step(self.now, events);
        for action in &actions {
            self.log.push((self.now, action.clone()));
            match action {
                DispatchAction::Send { msg, endpoint, timeout, .. } => {
                    let attempt_count = self.attempts.entry(*msg).or_default();
                    self.in_flight.insert((*msg, *attempt_count), (*endpoint, self.now, *timeout));
                    *attempt_count += 1;
                }
                DispatchAction::Timer { after, .. } => {
                    let due_at = self.now + after;
                    self.next_timer = Some(self.next_timer.map_or(due_at, |earlier| earlier.min(due_at)));
                }
                _ => {}
            }
        }
        actions
    }

    pub fn list(&mut self, kind: ListUpdate, entries: &[EndpointEntry]) {
        self.step(&[DispatchEvent::List { kind, entries: entries.to_vec() }]);
    }

    /// Submits a message of a class for a destination and returns its id.
    pub fn submit(&mut self, class: usize, dest: DestId) -> MsgId {
        self.submit_keyed(class, dest, None)
    }

    /// Submits a message with an ordering key.
    pub fn submit_keyed(&mut self, class: usize, dest: DestId, key: Option<u64>) -> MsgId {
        self.submit_with(class, dest, |message| message.key = key)
    }

    /// Submits a message after `change` has modified it.
    pub fn submit_with(&mut self, class: usize, dest: DestId, change: impl FnOnce(&mut Message)) -> MsgId {
        let (id, deadline, stream) = (self.next_id, self.now + 20 * SEC, false);
        self.next_id += 1;
        let mut message =
            Message { id, class, tenant: None, key: None, deadline, work_hint: None, dest, stream, size: 0 };
        change(&mut message);
        self.step(&[DispatchEvent::Submit(message)]);
        id
    }

    /// Advances the clock and delivers the timers that become due; calls do not end.
    pub fn pass(&mut self, span: Micros) {
        let end = self.now + span;
        while let Some(due_at) = self.next_timer.filter(|due_at| *due_at <= end) {
            self.now = self.now.max(due_at);
            self.next_timer = None;
            self.step(&[DispatchEvent::Timer { tag: 0 }]);
        }
        self.now = end;
    }

    /// Advances the clock by `span` and then ends the message's latest attempt.
    pub fn finish_after(&mut self, msg: MsgId, span: Micros, outcome: Outcome) -> Vec<DispatchAction> {
        self.pass(span);
        self.finish(msg, outcome, 0)
    }

    /// Ends the message's latest attempt; `wait` is the wait that the receiver requests.
    pub fn finish(&mut self, msg: MsgId, outcome: Outcome, wait: Micros) -> Vec<DispatchAction> {
        self.finish_with(msg, outcome, wait, &[])
    }

    /// Ends the message's latest attempt with a load report in the answer.
    pub fn finish_reporting(&mut self, msg: MsgId, outcome: Outcome, report: &[f64]) -> Vec<DispatchAction> {
        self.finish_with(msg, outcome, 0, report)
    }

    fn finish_with(
        &mut self,
        msg: MsgId,
        outcome: Outcome,
        wait: Micros,
        report: &[f64],
    ) -> Vec<DispatchAction> {
        let attempt = self.attempts[&msg] - 1;
        let (_, sent, _) = self.in_flight.remove(&(msg, attempt)).expect("the attempt is in flight");
        let finished = outcome == Outcome::Ok;
        let elapsed = self.now - sent;
        self.step(&[DispatchEvent::Completed(Completion {
            msg,
            attempt,
            outcome,
            elapsed,
            finished,
            wait,
            load_report: report.to_vec(),
        })])
    }

    /// Number of attempts sent for the message.
    pub fn sends(&self, msg: MsgId) -> usize {
        self.log
            .iter()
            .filter(|(_, action)| matches!(action, DispatchAction::Send { msg: sent, .. } if *sent == msg))
            .count()
    }

    /// Final results of the message that the dispatcher reported: rejections or failures.
    pub fn answers(&self, msg: MsgId) -> Vec<DispatchAction> {
        let is_result = |action: &DispatchAction| match action {
            DispatchAction::Reject { msg: ended, .. } | DispatchAction::Fail { msg: ended } => *ended == msg,
            _ => false,
        };
        self.log.iter().filter(|(_, action)| is_result(action)).map(|(_, action)| action.clone()).collect()
    }
}
