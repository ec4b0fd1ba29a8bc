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
        env: &Env,
        seed: u64,
        known: ProviderList,
        store: S,
        disk: u64,
        now: Micros,
    ) -> Result<(Self, Vec<Step>), RouterError> {
        Self::open_with(env, None, seed, known, store, disk, now)
    }

    /// The same, with streams within their limits, if there are any.
    ///
    /// # Errors
    /// The settings make no courier, or the store can't be read.
    pub fn open_with(
        env: &Env,
        streams: Option<StreamLimits>,
        seed: u64,
        known: ProviderList,
        store: S,
        disk: u64,
        now: Micros,
    ) -> Result<(Self, Vec<Step>), RouterError> {
        let mut notes = Vec::new();
        let (journal, mut book) = Journal::open(store, disk, now, &mut notes)?;
        // Set back, the clock does not tell how old an attempt is, and no repeat is known to come within its span.
        let calls = || book.owed.values().flat_map(|entry| &entry.calls);
        let ahead = calls().map(|call| call.sent.saturating_sub(now)).max().unwrap_or(0);
        if ahead > 0 {
            notes.push(Note::SetBack { ahead });
            let calls = book.owed.values_mut().flat_map(|entry| &mut entry.calls);
            calls.filter(|call| call.never_ran != Some(true)).for_each(|call| call.sent = 0);
        }
        let facade = |settings| Facade::new(settings, seed);
        let mut router = Self::fresh(env, streams, book.owed.len(), facade, journal, book.next, notes)?;
        router.holds = book.holds;
        let mut steps = router.list(known, now);
        router.heard = false;
        for (id, end, until) in book.over {
            router.remember(id, end, until);
        }
        router.counters.restored = book.owed.len() as u64;
        for (msg, entry) in book.owed {
            router.adopted(msg, entry, now, &mut steps);
        }
        router.say(&mut steps);
        Ok((router, steps))
    }

    /// Takes over what another courier's book owes, under numbers of this router's own: into its journal, and from there
    /// as after a restart. What is open or over here under its id already is let be, with a note for each; so a second
    /// time changes nothing. The moments of attempts are the caller's word: for one that was out, the last at which the
    /// other courier may still have written.
    ///
    /// # Errors
    /// The journal has no room, or its store refused the records: then nothing is taken over.
    pub fn adopt(&mut self, entries: Vec<journal::Entry>, now: Micros) -> Result<Vec<Step>, JournalError> {
        self.adopt_with(entries, &journal::Settlements::default(), now)
    }

    /// The same, with lines about settlements: all or nothing.
    ///
    /// # Errors
    /// The journal has no room, or its store refused the records: then nothing is taken over.
    pub fn adopt_with(
        &mut self,
        entries: Vec<journal::Entry>,
        lines: &journal::Settlements,
        now: Micros,
    ) -> Result<Vec<Step>, JournalError> {
        self.forget(now);
        let mut steps = Vec::new();
        let (mut fresh, mut ids) = (BTreeMap::new(), BTreeSet::new());
        for entry in entries {
            let id = &entry.taken.id;
            let known = self.ids.contains_key(id) || self.over.contains(id);
            if known || entry.end == Some(End::Delivered) || !ids.insert(id.clone()) {
                steps.push(Step::Note(Note::NotAdopted { id: id.clone() }));
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
            self.adopted(msg, entry, now, &mut steps);
        }
        self.say(&mut steps);
        Ok(steps)
    }

    /// Goes on with an invocation of another life, which the journal has: an attempt without an outcome may have run.
    pub(super) fn restore(&mut self, msg: MsgId, entry: journal::Entry, now: Micros, steps: &mut Vec<Step>) {
        let TakenOn { id, class, key, dest, deadline, body } = entry.taken;
        let noted = entry.end.filter(|_| !breaks::on(Break::ForgetEnd));
        let end = noted.map(|end| match end {
            End::Deferred { after } => Ending::Deferred(after),
            End::Delivered | End::Undeliverable => Ending::Undeliverable,
        });
        // Numbers of classes are this life's: what was taken on goes by its class's name.
        let known = self.classes.iter().position(|c| *c == class);
        self.ids.insert(id.clone(), msg);
        let size = size(&id, key.as_deref(), &body);
        let parcel = Arc::new(Parcel { id: id.clone(), key, tenant: None, body });
        let noted = entry.calls.len() as u32;
        // Its consumer and its body went with the life before.
        let stream = entry.stream.then(|| Stream {
            committed: true,
            may_have_run: entry.calls.iter().any(|call| call.never_ran != Some(true)),
            deaf: true,
            ..Stream::default()
        });
        let number = known.unwrap_or(usize::MAX);
        self.owed.insert(msg, Owed { parcel, class: number, dest, deadline, end, noted, stream });
        if end.is_some() {
            self.notices.push_back(msg);
            steps.push(Step::Notify);
            return;
        }
        let Some(number) = known else {
            // The settings have changed since: nothing can be decided about it any more.
            let ran = entry.calls.iter().any(|call| call.never_ran != Some(true));
            steps.push(Step::Note(Note::UnknownClass { id, class }));
            return self.end(msg, if ran { Ending::Undeliverable } else { Ending::Deferred(0) }, now, steps);
        };
        if let Some(stream) = stream {
            return self.end(msg, stream.ending(), now, steps);
        }
        if deadline <= now {
            // Nothing can be delivered any more, and an end that the store refused may have been told.
            return self.end(msg, Ending::Undeliverable, now, steps);
        }
        let Some(past) = entry.calls.iter().map(|call| self.past(number, call)).collect::<Option<Vec<_>>>()
        else {
            steps.push(Step::Note(Note::OtherEffect { id, class }));
            return self.end(msg, Ending::Undeliverable, now, steps);
        };
        let message = Message {
            id: msg,
            class: number,
            tenant: None,
            key: None,
            deadline,
            hint: None,
            dest,
            stream: false,
            size,
        };
        let past = if breaks::on(Break::ForgetPast) { Vec::new() } else { past };
        let orders = self.facade.restore(now, message, past);
        self.carry_out(orders, now, steps);
    }

    /// An attempt of another life as the module is to see it: the stricter holds of what a repeat could do then and could
    /// do now. `None`: the class's effect of today can't say what was stricter then, and no repeat is allowed.
    fn past(&mut self, class: usize, call: &journal::PastCall) -> Option<PastAttempt> {
        let may_have_run = call.never_ran != Some(true);
        let as_is = PastAttempt { zone: ELSEWHERE, sent: call.sent, may_have_run };
        let effect = *self.effects.get(class)?;
        match (&call.under, effect) {
            // Nothing ran, nothing was stricter, or the module never repeats it.
            (None | Some(Under::Safe), _) | (_, Effect::Unsafe) => Some(as_is),
            _ if !may_have_run => Some(as_is),
            (Some(Under::Unsafe), _) | (Some(Under::Keyed { .. }), Effect::Safe) => None,
            (Some(Under::Keyed { zone: Some(_), .. }), Effect::Keyed { by_zone: false, .. }) => None,
            (Some(Under::Keyed { span: then, zone }), Effect::Keyed { span, .. }) => {
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
