//! The dispatcher in blocking style, for hosts that own sockets: hand something in, get back what to
//! do, in order. Hosts see neither events nor actions, and number no attempts themselves.

use crate::StateVisitor;
use crate::actions::DispatchAction;
use crate::breaks::{self, Break};
use crate::dispatcher::Dispatcher;
use crate::events::{Completion, DispatchEvent, EndpointEntry, ListUpdate, Message, Outcome, PastAttempt};
use crate::ids::{EndpointId, Micros, MsgId};
use crate::settings::{Settings, SettingsError};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One thing that the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Instruction {
    /// Make one call with these messages, one at least.
    Call { endpoint: EndpointId, items: Vec<CallItem> },
    /// Stop waiting for a call; report it as cancelled.
    Abandon { msg: MsgId, attempt: u32 },
    /// End the message: handing it in again is harmless, `after` this long (0: no advice).
    Reject { msg: MsgId, after: Micros },
    /// End the message with no promise about its effect.
    Fail { msg: MsgId },
    /// Close the idle connections to an endpoint.
    CloseIdle { endpoint: EndpointId },
    /// A line for the on-call record.
    Log(String),
}

/// A message of a call: its attempt's number. It is waited for `timeout` at most, and no byte of the call may leave
/// at `by` or later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallItem {
    pub msg: MsgId,
    pub attempt: u32,
    pub timeout: Micros,
    pub send_before: Micros,
}

/// How one call ended.
#[derive(Clone, Copy, Debug)]
pub struct CallReport {
    pub msg: MsgId,
    pub attempt: u32,
    pub outcome: Outcome,
    pub elapsed: Micros,
    /// True: nothing more is owed for the message.
    pub finished: bool,
    /// For `Outcome::Full`: how long to wait; 0 for none told.
    pub wait: Micros,
}

/// A sender's decisions behind plain calls. The clock is any that an earlier life shared: whole
/// microseconds, such as Unix time.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Policy {
    dispatcher: Dispatcher,
    /// Calls ordered so far for each message that is not over.
    attempts_ordered: BTreeMap<MsgId, u32>,
    wake: Option<Micros>,
}

impl Policy {
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        Ok(Policy {
            dispatcher: Dispatcher::new(settings, seed)?,
            attempts_ordered: BTreeMap::new(),
            wake: None,
        })
    }

    /// Goes on from another process's state (this value, read back), under settings that say the same.
    ///
    /// # Errors
    /// No instance can run under them.
    pub fn resume(mut self, settings: Settings) -> Result<Self, SettingsError> {
        self.dispatcher = self.dispatcher.resume(settings)?;
        Ok(self)
    }

    /// A message was handed in: which calls go out now?
    pub fn submit(&mut self, now: Micros, message: Message) -> Vec<Instruction> {
        self.attempts_ordered.insert(message.id, 0);
        self.step(now, DispatchEvent::Submit(message))
    }

    /// A message of an earlier life, with the attempts that it has had.
    pub fn restore(&mut self, now: Micros, message: Message, past: Vec<PastAttempt>) -> Vec<Instruction> {
        self.attempts_ordered.insert(message.id, past.len() as u32);
        self.step(now, DispatchEvent::Restore { message, past })
    }

    /// A call ended, for its only message.
    pub fn report(&mut self, now: Micros, r: CallReport) -> Vec<Instruction> {
        self.report_all(now, &[r], &[])
    }

    /// A call ended, for all of its messages that it still had: they are learnt together, before anything is decided.
    /// `load`: the report of its answer, if that holds one.
    pub fn report_all(&mut self, now: Micros, ends: &[CallReport], load: &[f64]) -> Vec<Instruction> {
        let completed = |r: &CallReport| {
            let &CallReport { msg, attempt, outcome, elapsed, finished, wait } = r;
            DispatchEvent::Completed(Completion {
                msg,
                attempt,
                outcome,
                elapsed,
                finished,
                wait,
                report: load.to_vec(),
            })
        };
        for r in ends.iter().filter(|r| r.finished) {
            self.attempts_ordered.remove(&r.msg);
        }
        self.step_all(now, &ends.iter().map(completed).collect::<Vec<_>>())
    }

    /// The last byte of a stream's call was written: its time at the destination begins.
    pub fn written(&mut self, now: Micros, msg: MsgId, attempt: u32) -> Vec<Instruction> {
        self.step(now, DispatchEvent::Written { msg, attempt })
    }

    /// The message has its end by other means; calls of it that are out are still to be reported.
    pub fn ended(&mut self, now: Micros, msg: MsgId) -> Vec<Instruction> {
        self.attempts_ordered.remove(&msg);
        self.step(now, DispatchEvent::Hangup { msg })
    }

    /// Time has passed; due at `wake_at` at the latest.
    pub fn tick(&mut self, now: Micros) -> Vec<Instruction> {
        self.step(now, DispatchEvent::Timer { tag: 0 })
    }

    /// The list of endpoints, or changes to it.
    pub fn update_list(
        &mut self,
        now: Micros,
        kind: ListUpdate,
        entries: Vec<EndpointEntry>,
    ) -> Vec<Instruction> {
        self.step(now, DispatchEvent::List { kind, entries })
    }

    /// The process ends at `at`: nothing new starts that would hardly be over by then.
    pub fn stop(&mut self, now: Micros, at: Micros) -> Vec<Instruction> {
        self.step(now, DispatchEvent::Stop { at })
    }

    /// When `tick` is wanted next.
    pub fn wake_at(&self) -> Option<Micros> {
        self.wake
    }

    /// Shows an eye all that decides.
    pub fn visit_state(&self, visitor: &mut impl StateVisitor) {
        let Policy { dispatcher, attempts_ordered, wake } = self;
        dispatcher.visit_state(visitor);
        for (id, n) in attempts_ordered {
            visitor.visit_message(*id);
            visitor.visit_u64((*n).into());
        }
        visitor.visit_time(wake.unwrap_or(Micros::MAX));
    }

    /// From here on draws come from this seed.
    pub fn reseed(&mut self, seed: u64) {
        self.dispatcher.reseed(seed);
    }

    fn step(&mut self, now: Micros, event: DispatchEvent) -> Vec<Instruction> {
        self.step_all(now, &[event])
    }

    fn step_all(&mut self, now: Micros, events: &[DispatchEvent]) -> Vec<Instruction> {
        // Any step serves a wake-up that is due, and the dispatcher then asks for its next one: kept
        // beside that, the old time would hide it, and the tick at the old time would take both away.
        let tick = matches!(events, [DispatchEvent::Timer { .. }]);
        if self.wake.is_some_and(|at| at <= now) && (tick || !breaks::is_enabled(Break::LostWake)) {
            self.wake = None;
        }
        let actions = self.dispatcher.step(now, events);
        let mut instructions = Vec::with_capacity(actions.len());
        for action in actions {
            let joins = matches!(action, DispatchAction::Send { joins_previous: true, .. });
            match (self.instruction(now, action), instructions.last_mut()) {
                (Some(Instruction::Call { items, .. }), Some(Instruction::Call { items: call, .. }))
                    if joins =>
                {
                    call.extend(items)
                }
                (instruction, _) => instructions.extend(instruction),
            }
        }
        instructions
    }

    fn instruction(&mut self, now: Micros, action: DispatchAction) -> Option<Instruction> {
        Some(match action {
            DispatchAction::Send { msg, endpoint, timeout, send_before, .. } => {
                let calls = self.attempts_ordered.entry(msg).or_default();
                *calls += 1;
                Instruction::Call {
                    endpoint,
                    items: vec![CallItem { msg, attempt: *calls - 1, timeout, send_before }],
                }
            }
            DispatchAction::Reject { msg, after } => {
                self.attempts_ordered.remove(&msg);
                Instruction::Reject { msg, after }
            }
            DispatchAction::Fail { msg } => {
                self.attempts_ordered.remove(&msg);
                Instruction::Fail { msg }
            }
            DispatchAction::Cancel { msg, attempt } => Instruction::Abandon { msg, attempt },
            DispatchAction::CloseIdle { endpoint } => Instruction::CloseIdle { endpoint },
            DispatchAction::Log(text) => Instruction::Log(text),
            DispatchAction::Timer { after, .. } => {
                let at = now.saturating_add(after);
                self.wake = Some(self.wake.map_or(at, |wake| wake.min(at)));
                return None;
            }
            // The host watches discovery from its start to its end, asked or not.
            DispatchAction::Subscribe => return None,
        })
    }
}
