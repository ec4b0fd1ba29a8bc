//! Messages of settlements: whoever keeps those wants to know how each ends, and ends those that never had
//! their turn.

use super::*;

impl<S: Store> Router<S> {
    /// From now on [`Router::ends`] tells of this message's end, if it has not come yet: this is how it
    /// stands.
    ///
    /// # Errors
    /// No message of this id is known yet.
    pub fn watch(&mut self, id: &str) -> Result<Option<End>, UnknownId> {
        let fate = self.fate(id);
        if !matches!(fate, Ok(Some(_))) {
            self.watched.insert(id.to_string());
        }
        fate
    }

    pub fn unwatch(&mut self, id: &str) {
        self.watched.remove(id);
    }

    /// Ends of watched messages since the last call, each in the journal; they are watched no more.
    pub fn ends(&mut self) -> Vec<(String, End)> {
        std::mem::take(&mut self.watched_ends)
    }

    pub(super) fn notify_watcher(&mut self, msg: MsgId, end: End) {
        if self.watched.is_empty() {
            return;
        }
        let Some(owed) = self.owed.get(&msg) else { return };
        if self.watched.remove(&owed.payload.id) {
            self.watched_ends.push((owed.payload.id.clone(), end));
        }
    }

    /// How a message has ended; `Ok(None)`: it is open.
    ///
    /// # Errors
    /// No message of this id is known.
    pub fn fate(&self, id: &str) -> Result<Option<End>, UnknownId> {
        if let Some(owed) = self.ids.get(id).and_then(|msg| self.owed.get(msg)) {
            return Ok(owed.end.map(End::from));
        }
        if self.ids.contains_key(id) {
            return Ok(None);
        }
        self.ended.get(id).map(Some).ok_or(UnknownId)
    }

    /// Why a submission could never be taken on, whatever the time: nobody knows its class or destination.
    pub fn refuses(&self, class: &str, dest: u64) -> Option<Intake> {
        if !self.classes.iter().any(|c| c == class) {
            return Some(Intake::UnknownClass);
        }
        (self.list_received && !self.by_dest.contains_key(&dest)).then_some(Intake::UnknownDest)
    }

    /// A message that was promised an end, and never had its turn, gets a notice; what is known under its id
    /// is let be.
    ///
    /// # Errors
    /// The store refused the records: nothing has changed.
    pub fn end_unsent(
        &mut self,
        submission: Submission,
        ending: Ending,
        now: Micros,
    ) -> Result<Vec<RouterAction>, JournalError> {
        let mut actions = Vec::new();
        if self.fate(&submission.id).is_ok() {
            return Ok(actions);
        }
        let Submission { id, class, key, dest, time_left, body, .. } = submission;
        let (msg, deadline) = (self.next, now.saturating_add(time_left));
        let (id_of, key_of, body_of) = (id.clone(), key.clone(), body.clone());
        let taken = AcceptedMessage { id: id_of, class, key: key_of, dest, deadline, body: body_of };
        let end = JournalRecord::End { msg, end: ending.into() };
        self.journal.append_all(&[JournalRecord::Accept { msg, taken }, end], now, &mut self.notes)?;
        self.next += 1;
        match ending {
            Ending::Undeliverable => self.counters.undeliverable += 1,
            Ending::Deferred(_) => self.counters.deferred += 1,
        }
        self.ids.insert(id.clone(), msg);
        // Nothing of it is sent: whose it was matters no more.
        let payload = Arc::new(MessagePayload { id, key, tenant: None, body });
        self.owed.insert(
            msg,
            OwedMessage {
                payload,
                class: usize::MAX,
                dest,
                deadline,
                end: Some(ending),
                journaled: 0,
                stream: None,
            },
        );
        self.notices.push_back(msg);
        actions.push(RouterAction::Notify);
        self.drain_notes(&mut actions);
        Ok(actions)
    }

    /// Writes lines about settlements; `may_wait`: where there is no room, they are refused.
    ///
    /// # Errors
    /// There is no room, or the store refused them: nothing of them is there.
    pub fn write_settlement(
        &mut self,
        records: &[JournalRecord],
        may_wait: bool,
        now: Micros,
    ) -> Result<(), JournalError> {
        self.journal.settlement(records, may_wait, now, &mut self.notes)
    }
}

/// No message of this id is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownId;
