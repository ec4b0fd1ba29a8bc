//! Restores a router from the journal of an earlier process.

use super::config::DecodedSettings;
use super::endpoints::intern;
use super::owed::{OwedMessage, UNKNOWN_CLASS, ending_of};
use super::stream::Stream;
use super::{Router, RouterAction, RouterError, RouterOptions};
use crate::journal::{
    AcceptedMessage, Journal, JournalContents, JournalEntry, RecordedAttempt, RepeatEffect,
};
use crate::note::Note;
use crate::store::Store;
use crate::{Ending, EndpointList, MessagePayload};
use quillmount_policy::breaks::{self, Break};
use quillmount_policy::{Effect, Micros, MsgId, PastAttempt, Policy};
use std::sync::Arc;

/// The zone of an attempt whose zone is unknown. No zone has this number, so a message that only endpoints of the
/// original zone would deduplicate is not repeated anywhere.
const UNKNOWN_ZONE: u32 = u32::MAX;

impl<S: Store> Router<S> {
    /// Reads the journal in `store` and continues with its messages. The driver executes the returned actions first.
    /// `last_list` is the endpoint list of the earlier process.
    ///
    /// # Errors
    /// The settings are not valid, or the store can't be read.
    pub fn open(
        options: &RouterOptions<'_>,
        last_list: EndpointList,
        store: S,
        now: Micros,
    ) -> Result<(Self, Vec<RouterAction>), RouterError> {
        let mut notes = Vec::new();
        let (journal, mut contents) = Journal::open(store, options.journal_limit, now, &mut notes)?;
        notes.extend(correct_clock(&mut contents, now));
        let settings = DecodedSettings::new(options.settings, options.streams)?;
        let settings = settings.with_capacity_for(contents.owed.len());
        let policy = Policy::new(settings.policy, options.seed)?;
        let mut router = Self::new(settings.config, settings.zones, policy, journal);
        router.next_message = contents.next_message;
        router.notes = notes;
        router.disabled = contents.disabled;
        let mut actions = router.list(last_list, now);
        router.list_received = false;
        contents.ended.into_iter().for_each(|end| router.remember_ended(end));
        router.counters.restored = contents.owed.len() as u64;
        for (msg, entry) in contents.owed {
            router.restore_or_defer(msg, entry, now, &mut actions);
        }
        router.drain_notes(&mut actions);
        Ok((router, actions))
    }

    /// Continues with a message from the journal. An attempt without an outcome counts as one that may have had an
    /// effect.
    pub(super) fn restore(
        &mut self,
        msg: MsgId,
        entry: JournalEntry,
        now: Micros,
        actions: &mut Vec<RouterAction>,
    ) {
        let JournalEntry { message, attempts, end, stream, source: _ } = entry;
        let AcceptedMessage { id, class: class_name, key, dest, deadline, body } = message;
        let end = end.filter(|_| !breaks::is_enabled(Break::ForgetEnd)).map(ending_of);
        let may_have_run = attempts.iter().any(RecordedAttempt::may_have_run);
        let stream = stream.then(|| Stream::of_another_process(may_have_run));
        // Class numbers depend on the settings, so the journal records class names.
        let class = self.class_number(&class_name);
        self.ids.insert(id.clone(), msg);
        let owed = OwedMessage {
            payload: Arc::new(MessagePayload { id: id.clone(), key, tenant: None, body }),
            class: class.unwrap_or(UNKNOWN_CLASS),
            dest,
            deadline,
            end,
            journaled_attempts: attempts.len() as u32,
            stream,
        };
        let message = owed.policy_message(msg, None);
        self.owed.insert(msg, owed);
        if end.is_some() {
            return self.add_notice(msg, actions);
        }
        let Some(class) = class else {
            // The settings have changed, and without its class the policy can't decide about the message.
            let ending = if may_have_run { Ending::Undeliverable } else { Ending::Deferred(0) };
            actions.push(RouterAction::Note(Note::UnknownClass { id, class: class_name }));
            return self.end(msg, ending, now, actions);
        };
        if let Some(stream) = stream {
            return self.end(msg, stream.ending(), now, actions);
        }
        if deadline <= now {
            // The message can't be delivered any more, and the earlier process may have reported this end although
            // the store rejected its record.
            return self.end(msg, Ending::Undeliverable, now, actions);
        }
        let past: Option<Vec<_>> = attempts.iter().map(|attempt| self.past_attempt(class, attempt)).collect();
        let Some(past) = past else {
            actions.push(RouterAction::Note(Note::EffectChanged { id, class: class_name }));
            return self.end(msg, Ending::Undeliverable, now, actions);
        };
        let past = if breaks::is_enabled(Break::ForgetPastAttempts) { Vec::new() } else { past };
        let instructions = self.policy.restore(now, message, past);
        self.carry_out(instructions, now, actions);
    }

    /// An attempt of an earlier process in the form that the policy uses, under the stricter of the effect that its
    /// class had then and the one that it has now. Returns `None` if the former effect is stricter and the present
    /// one can't express it, so that no repeat is allowed.
    fn past_attempt(&mut self, class: usize, attempt: &RecordedAttempt) -> Option<PastAttempt> {
        let may_have_run = attempt.may_have_run();
        let unchanged = PastAttempt { zone: UNKNOWN_ZONE, sent: attempt.sent_at, may_have_run };
        let effect = *self.config.effects.get(class)?;
        match (&attempt.effect, effect) {
            // The attempt had no effect, its recorded effect is not stricter, or the policy never repeats it.
            (None | Some(RepeatEffect::Safe), _) | (_, Effect::NonIdempotent) => Some(unchanged),
            _ if !may_have_run => Some(unchanged),
            (Some(RepeatEffect::Unsafe), _) | (Some(RepeatEffect::Keyed { .. }), Effect::Idempotent) => None,
            (
                Some(RepeatEffect::Keyed { zone: Some(_), .. }),
                Effect::Deduplicated { by_zone: false, .. },
            ) => None,
            (Some(RepeatEffect::Keyed { span: past_span, zone }), Effect::Deduplicated { span, .. }) => {
                let zone = zone.as_ref().map_or(UNKNOWN_ZONE, |name| intern(&mut self.zones, name) as u32);
                // With the start of the attempt moved back by the difference, the present span ends when the former
                // one does.
                let sent = attempt.sent_at.saturating_sub(span.saturating_sub(*past_span));
                Some(PastAttempt { zone, sent, may_have_run })
            }
        }
    }
}

/// Corrects the attempts if the clock was set back. The age of an attempt is then unknown, so no repeat is certain to
/// fall within its deduplication span: all attempts that may have had an effect get the start time 0.
fn correct_clock(contents: &mut JournalContents, now: Micros) -> Option<Note> {
    let attempts = contents.owed.values().flat_map(|entry| &entry.attempts);
    let ahead =
        attempts.map(|attempt| attempt.sent_at.saturating_sub(now)).max().filter(|ahead| *ahead > 0)?;
    let attempts = contents.owed.values_mut().flat_map(|entry| &mut entry.attempts);
    attempts.filter(|attempt| attempt.may_have_run()).for_each(|attempt| attempt.sent_at = 0);
    Some(Note::ClockSetBack { ahead })
}
