//! What an earlier life owes, or another courier's book: from the journal back to work.

use super::*;

/// The zone of an attempt whose zone is not told: none that has a number here, so that a repeat which only one zone would
/// know for what it is goes to none.
const ELSEWHERE: u32 = u32::MAX;

impl<S: Store> Router<S> {
    /// Reads the journal and takes up what it owes; the steps are the first to carry out. No streams are taken on.
    ///
    /// # Errors
    /// The settings make no courier, or the store can't be read.
    pub fn open(
        env: &SenderSettings,
        seed: u64,
        known: EndpointList,
        store: S,
        disk: u64,
        now: Micros,
    ) -> Result<(Self, Vec<RouterAction>), RouterError> {
        Self::open_with(env, None, seed, known, store, disk, now)
    }

    /// The same, with streams within their limits, if there are any.
    ///
    /// # Errors
    /// The settings make no courier, or the store can't be read.
    pub fn open_with(
        env: &SenderSettings,
        streams: Option<StreamLimits>,
        seed: u64,
        known: EndpointList,
        store: S,
        disk: u64,
        now: Micros,
    ) -> Result<(Self, Vec<RouterAction>), RouterError> {
        let mut notes = Vec::new();
        let (journal, mut contents) = Journal::open(store, disk, now, &mut notes)?;
        // Set back, the clock does not tell how old an attempt is, and no repeat is known to come within its span.
        let calls = || contents.owed.values().flat_map(|entry| &entry.calls);
        let ahead = calls().map(|call| call.sent.saturating_sub(now)).max().unwrap_or(0);
        if ahead > 0 {
            notes.push(Note::SetBack { ahead });
            let calls = contents.owed.values_mut().flat_map(|entry| &mut entry.calls);
            calls.filter(|call| call.never_ran != Some(true)).for_each(|call| call.sent = 0);
        }
        let policy = |settings| Policy::new(settings, seed);
        let mut router =
            Self::with_settings(env, streams, contents.owed.len(), policy, journal, contents.next, notes)?;
        router.disabled = contents.disabled;
        let mut actions = router.list(known, now);
        router.list_received = false;
        for (id, end, until) in contents.ended {
            router.remember(id, end, until);
        }
        router.counters.restored = contents.owed.len() as u64;
        for (msg, entry) in contents.owed {
            router.adopted(msg, entry, now, &mut actions);
        }
        router.drain_notes(&mut actions);
        Ok((router, actions))
    }

    /// Takes over what another courier's book owes, under numbers of this router's own: into its journal, and from there
    /// as after a restart. What is open or over here under its id already is let be, with a note for each; so a second
    /// time changes nothing. The moments of attempts are the caller's word: for one that was out, the last at which the
    /// other courier may still have written.
    ///
    /// # Errors
    /// The journal has no room, or its store refused the records: then nothing is taken over.
    pub fn adopt(
        &mut self,
        entries: Vec<journal::JournalEntry>,
        now: Micros,
    ) -> Result<Vec<RouterAction>, JournalError> {
        self.adopt_with(entries, &journal::Settlements::default(), now)
    }

    /// The same, with lines about settlements: all or nothing.
    ///
    /// # Errors
    /// The journal has no room, or its store refused the records: then nothing is taken over.
    pub fn adopt_with(
        &mut self,
        entries: Vec<journal::JournalEntry>,
        lines: &journal::Settlements,
        now: Micros,
    ) -> Result<Vec<RouterAction>, JournalError> {
        self.forget(now);
        let mut actions = Vec::new();
        let (mut fresh, mut ids) = (BTreeMap::new(), BTreeSet::new());
        for entry in entries {
            let id = &entry.taken.id;
            let known = self.ids.contains_key(id) || self.ended.contains(id);
            if known || entry.end == Some(End::Delivered) || !ids.insert(id.clone()) {
                actions.push(RouterAction::Note(Note::NotAdopted { id: id.clone() }));
                continue;
            }
            fresh.insert(self.next + fresh.len() as MsgId, entry);
        }
        if !fresh.is_empty() || !lines.0.is_empty() {
            self.journal.adopt(fresh.clone(), lines, now, &mut self.notes)?;
        }
        self.next += fresh.len() as MsgId;
        self.counters.adopted += fresh.len() as u64;
        for (msg, entry) in fresh {
            self.adopted(msg, entry, now, &mut actions);
        }
        self.drain_notes(&mut actions);
        Ok(actions)
    }

    /// Goes on with a submission of another life, which the journal has: an attempt without an outcome may have run.
    pub(super) fn restore(
        &mut self,
        msg: MsgId,
        entry: journal::JournalEntry,
        now: Micros,
        actions: &mut Vec<RouterAction>,
    ) {
        let AcceptedMessage { id, class, key, dest, deadline, body } = entry.taken;
        let journaled = entry.end.filter(|_| !breaks::is_enabled(Break::ForgetEnd));
        let end = journaled.map(|end| match end {
            End::Deferred { after } => Ending::Deferred(after),
            End::Delivered | End::Undeliverable => Ending::Undeliverable,
        });
        // Numbers of classes are this life's: what was taken on goes by its class's name.
        let known = self.classes.iter().position(|c| *c == class);
        self.ids.insert(id.clone(), msg);
        let size = size(&id, key.as_deref(), &body);
        let payload = Arc::new(MessagePayload { id: id.clone(), key, tenant: None, body });
        let journaled = entry.calls.len() as u32;
        // Its client and its body went with the life before.
        let stream = entry.stream.then(|| Stream {
            committed: true,
            may_have_run: entry.calls.iter().any(|call| call.never_ran != Some(true)),
            unanswerable: true,
            ..Stream::default()
        });
        let number = known.unwrap_or(usize::MAX);
        self.owed.insert(msg, OwedMessage { payload, class: number, dest, deadline, end, journaled, stream });
        if end.is_some() {
            self.notices.push_back(msg);
            actions.push(RouterAction::Notify);
            return;
        }
        let Some(number) = known else {
            // The settings have changed since: nothing can be decided about it any more.
            let ran = entry.calls.iter().any(|call| call.never_ran != Some(true));
            actions.push(RouterAction::Note(Note::UnknownClass { id, class }));
            return self.end(
                msg,
                if ran { Ending::Undeliverable } else { Ending::Deferred(0) },
                now,
                actions,
            );
        };
        if let Some(stream) = stream {
            return self.end(msg, stream.ending(), now, actions);
        }
        if deadline <= now {
            // Nothing can be delivered any more, and an end that the store refused may have been told.
            return self.end(msg, Ending::Undeliverable, now, actions);
        }
        let Some(past) = entry.calls.iter().map(|call| self.past(number, call)).collect::<Option<Vec<_>>>()
        else {
            actions.push(RouterAction::Note(Note::OtherEffect { id, class }));
            return self.end(msg, Ending::Undeliverable, now, actions);
        };
        let message = Message {
            id: msg,
            class: number,
            tenant: None,
            key: None,
            deadline,
            work_hint: None,
            dest,
            stream: false,
            size,
        };
        let past = if breaks::is_enabled(Break::ForgetPast) { Vec::new() } else { past };
        let instructions = self.policy.restore(now, message, past);
        self.carry_out(instructions, now, actions);
    }

    /// An attempt of another life as the module is to see it: the stricter holds of what a repeat could do then and could
    /// do now. `None`: the class's effect of today can't say what was stricter then, and no repeat is allowed.
    fn past(&mut self, class: usize, call: &journal::PastCall) -> Option<PastAttempt> {
        let may_have_run = call.never_ran != Some(true);
        let as_is = PastAttempt { zone: ELSEWHERE, sent: call.sent, may_have_run };
        let effect = *self.effects.get(class)?;
        match (&call.effect, effect) {
            // Nothing ran, nothing was stricter, or the module never repeats it.
            (None | Some(RepeatEffect::Safe), _) | (_, Effect::NonIdempotent) => Some(as_is),
            _ if !may_have_run => Some(as_is),
            (Some(RepeatEffect::Unsafe), _) | (Some(RepeatEffect::Keyed { .. }), Effect::Idempotent) => None,
            (
                Some(RepeatEffect::Keyed { zone: Some(_), .. }),
                Effect::Deduplicated { by_zone: false, .. },
            ) => None,
            (Some(RepeatEffect::Keyed { span: then, zone }), Effect::Deduplicated { span, .. }) => {
                let zone = zone.as_ref().map_or(ELSEWHERE, |name| list::number(&mut self.zones, name) as u32);
                // Sent so much earlier, its span of today ends with the one of then.
                Some(PastAttempt {
                    zone,
                    sent: call.sent.saturating_sub(span.saturating_sub(*then)),
                    may_have_run,
                })
            }
        }
    }
}
