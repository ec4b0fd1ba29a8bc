//! Restoring a router from the journal of an earlier process.

use super::config::DecodedSettings;
use super::endpoints::intern;
use super::owed::{OwedMessage, UNKNOWN_CLASS, ending_of};
use super::stream::Stream;
use super::{Router, RouterAction, RouterError, RouterOptions};
use crate::journal::{AcceptedMessage, Journal, JournalContents, JournalEntry, PastCall, RepeatEffect};
use crate::note::Note;
use crate::store::Store;
use crate::{Ending, EndpointList, MessagePayload};
use quillmount_policy::breaks::{self, Break};
use quillmount_policy::{Effect, Micros, MsgId, PastAttempt, Policy};
use std::sync::Arc;

/// The zone of an attempt whose zone is not known: no zone has this number, so that a repeat which only the endpoints of
/// that zone would drop goes to none.
const UNKNOWN_ZONE: u32 = u32::MAX;

impl<S: Store> Router<S> {
    /// Reads the journal in `store` and continues with the messages that it holds; the actions are the first to carry out.
    /// `known` is the endpoint list of the earlier process.
    ///
    /// # Errors
    /// The settings are not valid, or the store can't be read.
    pub fn open(
        options: &RouterOptions<'_>,
        known: EndpointList,
        store: S,
        now: Micros,
    ) -> Result<(Self, Vec<RouterAction>), RouterError> {
        let mut notes = Vec::new();
        let (journal, mut contents) = Journal::open(store, options.journal_limit, now, &mut notes)?;
        notes.extend(correct_clock(&mut contents, now));
        let settings = DecodedSettings::new(options.settings, options.streams)?;
        let settings = settings.with_owed(contents.owed.len());
        let policy = Policy::new(settings.policy, options.seed)?;
        let mut router = Self::new(settings.config, settings.zones, policy, journal);
        router.next = contents.next;
        router.notes = notes;
        router.disabled = contents.disabled;
        let mut actions = router.list(known, now);
        router.list_received = false;
        contents.ended.into_iter().for_each(|end| router.remember_ended(end));
        router.counters.restored = contents.owed.len() as u64;
        for (msg, entry) in contents.owed {
            router.restore_or_defer(msg, entry, now, &mut actions);
        }
        router.drain_notes(&mut actions);
        Ok((router, actions))
    }

    /// Continues with a message from the journal. An attempt without an outcome may have had an effect.
    pub(super) fn restore(
        &mut self,
        msg: MsgId,
        entry: JournalEntry,
        now: Micros,
        actions: &mut Vec<RouterAction>,
    ) {
        let JournalEntry { taken, calls, end, stream, source: _ } = entry;
        let AcceptedMessage { id, class: class_name, key, dest, deadline, body } = taken;
        let end = end.filter(|_| !breaks::is_enabled(Break::ForgetEnd)).map(ending_of);
        let may_have_run = calls.iter().any(PastCall::may_have_run);
        let stream = stream.then(|| Stream::of_another_process(may_have_run));
        // Numbers of classes depend on the settings, so the journal has their names.
        let class = self.class_number(&class_name);
        self.ids.insert(id.clone(), msg);
        let owed = OwedMessage {
            payload: Arc::new(MessagePayload { id: id.clone(), key, tenant: None, body }),
            class: class.unwrap_or(UNKNOWN_CLASS),
            dest,
            deadline,
            end,
            journaled: calls.len() as u32,
            stream,
        };
        let message = owed.policy_message(msg, None);
        self.owed.insert(msg, owed);
        if end.is_some() {
            return self.add_notice(msg, actions);
        }
        let Some(class) = class else {
            // The settings have changed: nothing can be decided about the message any more.
            let ending = if may_have_run { Ending::Undeliverable } else { Ending::Deferred(0) };
            actions.push(RouterAction::Note(Note::UnknownClass { id, class: class_name }));
            return self.end(msg, ending, now, actions);
        };
        if let Some(stream) = stream {
            return self.end(msg, stream.ending(), now, actions);
        }
        if deadline <= now {
            // It can't be delivered any more, and an end that the store refused may have been reported.
            return self.end(msg, Ending::Undeliverable, now, actions);
        }
        let past: Option<Vec<_>> = calls.iter().map(|call| self.past_attempt(class, call)).collect();
        let Some(past) = past else {
            actions.push(RouterAction::Note(Note::OtherEffect { id, class: class_name }));
            return self.end(msg, Ending::Undeliverable, now, actions);
        };
        let past = if breaks::is_enabled(Break::ForgetPastAttempts) { Vec::new() } else { past };
        let instructions = self.policy.restore(now, message, past);
        self.carry_out(instructions, now, actions);
    }

    /// An attempt of an earlier process as the policy is to see it: with the stricter of what a repeat could do then and
    /// could do now. `None`: the class's present effect can't express what was stricter then, and no repeat is allowed.
    fn past_attempt(&mut self, class: usize, call: &PastCall) -> Option<PastAttempt> {
        let may_have_run = call.may_have_run();
        let unchanged = PastAttempt { zone: UNKNOWN_ZONE, sent: call.sent, may_have_run };
        let effect = *self.config.effects.get(class)?;
        match (&call.effect, effect) {
            // The attempt had no effect, nothing was stricter, or the policy never repeats it.
            (None | Some(RepeatEffect::Safe), _) | (_, Effect::NonIdempotent) => Some(unchanged),
            _ if !may_have_run => Some(unchanged),
            (Some(RepeatEffect::Unsafe), _) | (Some(RepeatEffect::Keyed { .. }), Effect::Idempotent) => None,
            (
                Some(RepeatEffect::Keyed { zone: Some(_), .. }),
                Effect::Deduplicated { by_zone: false, .. },
            ) => None,
            (Some(RepeatEffect::Keyed { span: past_span, zone }), Effect::Deduplicated { span, .. }) => {
                let zone = zone.as_ref().map_or(UNKNOWN_ZONE, |name| intern(&mut self.zones, name) as u32);
                // Dated back by the difference, today's span ends when the former one does.
                let sent = call.sent.saturating_sub(span.saturating_sub(*past_span));
                Some(PastAttempt { zone, sent, may_have_run })
            }
        }
    }
}

/// If the clock was set back, the age of an attempt is unknown, and no repeat is certain to be within its span: dates all
/// attempts that may have had an effect back to the clock's zero.
fn correct_clock(contents: &mut JournalContents, now: Micros) -> Option<Note> {
    let calls = contents.owed.values().flat_map(|entry| &entry.calls);
    let ahead = calls.map(|call| call.sent.saturating_sub(now)).max().filter(|ahead| *ahead > 0)?;
    let calls = contents.owed.values_mut().flat_map(|entry| &mut entry.calls);
    calls.filter(|call| call.may_have_run()).for_each(|call| call.sent = 0);
    Some(Note::SetBack { ahead })
}
