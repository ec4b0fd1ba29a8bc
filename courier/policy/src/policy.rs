//! The dispatcher for hosts that own sockets: one method for each kind of event, which returns what to do, in order.
//!
//! The host calls a method of [`Policy`] for each submission, completed call and change of the endpoint list, carries out
//! the [`Instruction`]s, and calls [`Policy::tick`] at [`Policy::wake_at`]. How instructions relate to the dispatcher's
//! actions is described at [`Instruction`].

use crate::StateVisitor;
use crate::actions::{CallItem, DispatchAction, Instruction};
use crate::breaks::{self, Break};
use crate::dispatcher::Dispatcher;
use crate::events::{Completion, DispatchEvent, EndpointEntry, ListUpdate, Message, PastAttempt};
use crate::ids::{Micros, MsgId};
use crate::settings::{Settings, SettingsError};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A sender's decisions behind plain calls. The clock counts whole microseconds and is shared with earlier processes, such
/// as Unix time.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Policy {
    dispatcher: Dispatcher,
    /// Calls ordered so far for each message without a result.
    attempts_ordered: BTreeMap<MsgId, u32>,
    wake: Option<Micros>,
}

impl Policy {
    /// A fresh instance; `seed` starts its random numbers.
    ///
    /// # Errors
    /// No instance can run under the settings.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        Ok(Policy {
            dispatcher: Dispatcher::new(settings, seed)?,
            attempts_ordered: BTreeMap::new(),
            wake: None,
        })
    }

    /// Continues from another process's state (this value, deserialized), under settings that are equal to that one's.
    ///
    /// # Errors
    /// No instance can run under the settings.
    pub fn resume(mut self, settings: Settings) -> Result<Self, SettingsError> {
        self.dispatcher = self.dispatcher.resume(settings)?;
        Ok(self)
    }

    /// A message was submitted.
    pub fn submit(&mut self, now: Micros, message: Message) -> Vec<Instruction> {
        self.attempts_ordered.insert(message.id, 0);
        self.step(now, DispatchEvent::Submit(message))
    }

    /// A message that an earlier process accepted, with the attempts that it has had.
    pub fn restore(&mut self, now: Micros, message: Message, past: Vec<PastAttempt>) -> Vec<Instruction> {
        self.attempts_ordered.insert(message.id, past.len() as u32);
        self.step(now, DispatchEvent::Restore { message, past })
    }

    /// A call with one message ended.
    pub fn report(&mut self, now: Micros, completion: Completion) -> Vec<Instruction> {
        self.report_all(now, vec![completion])
    }

    /// A call ended for all messages that it still had: all completions are processed before anything is decided.
    pub fn report_all(&mut self, now: Micros, completions: Vec<Completion>) -> Vec<Instruction> {
        for completion in completions.iter().filter(|completion| completion.finished) {
            self.attempts_ordered.remove(&completion.msg);
        }
        let events: Vec<_> = completions.into_iter().map(DispatchEvent::Completed).collect();
        self.step_all(now, &events)
    }

    /// The last byte of a stream's call was written: its latency counts from now on.
    pub fn written(&mut self, now: Micros, msg: MsgId, attempt: u32) -> Vec<Instruction> {
        self.step(now, DispatchEvent::Written { msg, attempt })
    }

    /// The message has its result by other means, or needs none. Its calls in flight are still to be reported.
    pub fn ended(&mut self, now: Micros, msg: MsgId) -> Vec<Instruction> {
        self.attempts_ordered.remove(&msg);
        self.step(now, DispatchEvent::Hangup { msg })
    }

    /// Time has passed. To be called at [`Policy::wake_at`] at the latest.
    pub fn tick(&mut self, now: Micros) -> Vec<Instruction> {
        self.step(now, DispatchEvent::Timer { tag: 0 })
    }

    /// The endpoint list, or changes to it.
    pub fn update_list(
        &mut self,
        now: Micros,
        kind: ListUpdate,
        entries: Vec<EndpointEntry>,
    ) -> Vec<Instruction> {
        self.step(now, DispatchEvent::List { kind, entries })
    }

    /// The process ends at `at`: no call starts that is unlikely to end before it.
    pub fn stop(&mut self, now: Micros, at: Micros) -> Vec<Instruction> {
        self.step(now, DispatchEvent::Stop { at })
    }

    /// When [`Policy::tick`] is to be called next; `None` if only events can change anything.
    pub fn wake_at(&self) -> Option<Micros> {
        self.wake
    }

    /// Shows all state that decisions depend on.
    pub fn visit_state(&self, visitor: &mut impl StateVisitor) {
        let Policy { dispatcher, attempts_ordered, wake } = self;
        dispatcher.visit_state(visitor);
        for (id, n) in attempts_ordered {
            visitor.visit_message(*id);
            visitor.visit_u64((*n).into());
        }
        visitor.visit_time(wake.unwrap_or(Micros::MAX));
    }

    /// Restarts the random numbers from this seed.
    pub fn reseed(&mut self, seed: u64) {
        self.dispatcher.reseed(seed);
    }

    fn step(&mut self, now: Micros, event: DispatchEvent) -> Vec<Instruction> {
        self.step_all(now, &[event])
    }

    fn step_all(&mut self, now: Micros, events: &[DispatchEvent]) -> Vec<Instruction> {
        // Any step serves a wake-up that is due, and the dispatcher then requests its next one. If the old time stayed, it
        // would hide the new one, and the tick at the old time would clear both.
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
                    call.extend(items);
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
            DispatchAction::Cancel { msg, attempt } => Instruction::Cancel { msg, attempt },
            DispatchAction::CloseIdle { endpoint } => Instruction::CloseIdle { endpoint },
            DispatchAction::Log(text) => Instruction::Log(text),
            DispatchAction::Timer { after, .. } => {
                let at = now.saturating_add(after);
                self.wake = Some(self.wake.map_or(at, |wake| wake.min(at)));
                return None;
            }
            // The host watches discovery all the time, subscribed or not.
            DispatchAction::Subscribe => return None,
        })
    }
}
