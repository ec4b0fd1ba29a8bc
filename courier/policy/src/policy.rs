//! The dispatcher for hosts that own sockets: one method for each kind of event, which returns the instructions to
//! perform.
//!
//! The host calls a method of [`Policy`] for each submission, completed call and change of the endpoint list,
//! performs the returned [`Instruction`]s in order, and calls [`Policy::tick`] at [`Policy::wake_at`].
//! [`Instruction`] describes how instructions relate to the dispatcher's actions.

use crate::StateVisitor;
use crate::actions::{CallItem, DispatchAction, Instruction};
use crate::breaks::{self, Break};
use crate::dispatcher::Dispatcher;
use crate::events::{Completion, DispatchEvent, EndpointEntry, ListUpdate, Message, PastAttempt};
use crate::ids::{Micros, MsgId};
use crate::settings::{Settings, SettingsError};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A sender's decisions, with a method for each event. The clock counts whole microseconds from an origin that earlier
/// processes share, such as the Unix epoch.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Policy {
    dispatcher: Dispatcher,
    /// Attempts requested so far for each message without a result.
    #[serde(rename = "attempts_ordered")]
    attempt_counts: BTreeMap<MsgId, u32>,
    /// When [`Policy::tick`] is due; `None` if only an event can change anything.
    #[serde(rename = "wake")]
    wake_at: Option<Micros>,
}

impl Policy {
    /// Creates an instance without messages; `seed` initializes the random number generator.
    ///
    /// # Errors
    /// [`Settings::check`] rejects the settings.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        Ok(Policy {
            dispatcher: Dispatcher::new(settings, seed)?,
            attempt_counts: BTreeMap::new(),
            wake_at: None,
        })
    }

    /// Continues from the state of another process (`self`, deserialized), under settings equal to those of that
    /// process.
    ///
    /// # Errors
    /// [`Settings::check`] rejects the settings.
    pub fn resume(mut self, settings: Settings) -> Result<Self, SettingsError> {
        self.dispatcher = self.dispatcher.resume(settings)?;
        Ok(self)
    }

    /// Reports that a message was submitted.
    pub fn submit(&mut self, now: Micros, message: Message) -> Vec<Instruction> {
        self.attempt_counts.insert(message.id, 0);
        self.step(now, DispatchEvent::Submit(message))
    }

    /// Restores a message that an earlier process accepted, with its attempts so far.
    pub fn restore(&mut self, now: Micros, message: Message, past: Vec<PastAttempt>) -> Vec<Instruction> {
        self.attempt_counts.insert(message.id, past.len() as u32);
        self.step(now, DispatchEvent::Restore { message, past })
    }

    /// Reports the end of a call with one message.
    pub fn report(&mut self, now: Micros, completion: Completion) -> Vec<Instruction> {
        self.report_all(now, vec![completion])
    }

    /// Reports the end of a call for all its remaining messages. All completions are processed before the next
    /// decision.
    pub fn report_all(&mut self, now: Micros, completions: Vec<Completion>) -> Vec<Instruction> {
        for completion in completions.iter().filter(|completion| completion.finished) {
            self.attempt_counts.remove(&completion.msg);
        }
        let events: Vec<_> = completions.into_iter().map(DispatchEvent::Completed).collect();
        self.step_all(now, &events)
    }

    /// Reports that the last byte of a stream's call was written; the latency of the call is measured from `now`.
    pub fn written(&mut self, now: Micros, msg: MsgId, attempt: u32) -> Vec<Instruction> {
        self.step(now, DispatchEvent::Written { msg, attempt })
    }

    /// Reports that the message got its result by other means or needs none. The host still reports the end of its
    /// calls in flight.
    pub fn ended(&mut self, now: Micros, msg: MsgId) -> Vec<Instruction> {
        self.attempt_counts.remove(&msg);
        self.step(now, DispatchEvent::Hangup { msg })
    }

    /// Makes the decisions that depend on time alone. The host calls it at [`Policy::wake_at`] at the latest.
    pub fn tick(&mut self, now: Micros) -> Vec<Instruction> {
        self.step(now, DispatchEvent::Timer { tag: 0 })
    }

    /// Reports the endpoint list, changes to it, or a failure of discovery.
    pub fn update_list(
        &mut self,
        now: Micros,
        kind: ListUpdate,
        entries: Vec<EndpointEntry>,
    ) -> Vec<Instruction> {
        self.step(now, DispatchEvent::List { kind, entries })
    }

    /// Announces that the process stops at `stop_at`: no call is started that is unlikely to end before it.
    pub fn stop(&mut self, now: Micros, stop_at: Micros) -> Vec<Instruction> {
        self.step(now, DispatchEvent::Stop { stop_at })
    }

    /// Time of the clock at which the host calls [`Policy::tick`] next; `None` if only events can change anything.
    pub fn wake_at(&self) -> Option<Micros> {
        self.wake_at
    }

    /// Passes all state that decisions depend on to the visitor.
    pub fn visit_state(&self, visitor: &mut impl StateVisitor) {
        let Policy { dispatcher, attempt_counts, wake_at } = self;
        dispatcher.visit_state(visitor);
        for (id, count) in attempt_counts {
            visitor.visit_message(*id);
            visitor.visit_u64((*count).into());
        }
        visitor.visit_time(wake_at.unwrap_or(Micros::MAX));
    }

    /// Resets the random number generator to this seed.
    pub fn reseed(&mut self, seed: u64) {
        self.dispatcher.reseed(seed);
    }

    fn step(&mut self, now: Micros, event: DispatchEvent) -> Vec<Instruction> {
        self.step_all(now, &[event])
    }

    fn step_all(&mut self, now: Micros, events: &[DispatchEvent]) -> Vec<Instruction> {
        // Any step handles a wake-up that is due, and the dispatcher then requests the next one. If the old wake-up
        // time were retained, it would hide the new one, and the tick at the old time would clear both.
        let is_tick = matches!(events, [DispatchEvent::Timer { .. }]);
        if self.wake_at.is_some_and(|at| at <= now) && (is_tick || !breaks::is_enabled(Break::LostWake)) {
            self.wake_at = None;
        }
        let actions = self.dispatcher.step(now, events);
        let mut instructions = Vec::with_capacity(actions.len());
        for action in actions {
            let joins_previous = matches!(action, DispatchAction::Send { joins_previous: true, .. });
            match (self.instruction(now, action), instructions.last_mut()) {
                (Some(Instruction::Call { items, .. }), Some(Instruction::Call { items: call, .. }))
                    if joins_previous =>
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
                let attempt_count = self.attempt_counts.entry(msg).or_default();
                *attempt_count += 1;
                Instruction::Call {
                    endpoint,
                    items: vec![CallItem { msg, attempt: *attempt_count - 1, timeout, send_before }],
                }
            }
            DispatchAction::Reject { msg, after } => {
                self.attempt_counts.remove(&msg);
                Instruction::Reject { msg, after }
            }
            DispatchAction::Fail { msg } => {
                self.attempt_counts.remove(&msg);
                Instruction::Fail { msg }
            }
            DispatchAction::Cancel { msg, attempt } => Instruction::Cancel { msg, attempt },
            DispatchAction::CloseIdle { endpoint } => Instruction::CloseIdle { endpoint },
            DispatchAction::Log(text) => Instruction::Log(text),
            DispatchAction::Timer { after, .. } => {
                let due_at = now.saturating_add(after);
                self.wake_at = Some(self.wake_at.map_or(due_at, |earlier| earlier.min(due_at)));
                return None;
            }
            // The host watches discovery permanently, subscribed or not.
            DispatchAction::Subscribe => return None,
        })
    }
}
