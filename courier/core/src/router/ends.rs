//! Writing, reporting and remembering the ends of messages.

use super::stream::StreamEnd;
use super::{Router, RouterAction};
use crate::journal::{End, JournalRecord, RememberedEnd};
use crate::note::Note;
use crate::store::Store;
use crate::{Ending, Notice};
use quillmount_policy::breaks::{self, Break};
use quillmount_policy::{Micros, MsgId};

/// Interval in microseconds at which a rejected write of an end is retried; short compared with the 300 ms within
/// which an end must be reported.
const WRITE_RETRY_INTERVAL: Micros = 50_000;

impl<S: Store> Router<S> {
    /// The notices that the platform has not yet confirmed, the oldest first, at most `limit` of them.
    pub fn notices(&self, limit: usize) -> Vec<Notice> {
        let ended = self.notices.iter().take(limit).filter_map(|msg| Some((msg, self.owed.get(&msg)?)));
        ended
            .filter_map(|(msg, owed)| Some(Notice { msg, id: owed.payload.id.clone(), ending: owed.end? }))
            .collect()
    }

    /// Handles the platform's confirmation of these notices.
    pub fn notices_confirmed(&mut self, notices: &[Notice], now: Micros) -> Vec<RouterAction> {
        let mut actions = Vec::new();
        for notice in notices {
            self.write(&JournalRecord::Confirmed { msg: notice.msg }, now);
            self.notices.remove(notice.msg);
            self.remove_owed(notice.msg, notice.ending.into());
        }
        self.counters.notices += notices.len() as u64;
        self.drain_notes(&mut actions);
        actions
    }

    /// Ends an owed message without a delivery. The end is reported once it is written. A message that already has
    /// an end keeps it.
    pub(super) fn end(&mut self, msg: MsgId, ending: Ending, now: Micros, actions: &mut Vec<RouterAction>) {
        let Some(owed) = self.owed.get_mut(&msg).filter(|owed| owed.end.is_none()) else { return };
        owed.end = Some(ending);
        self.count_ending(ending);
        actions.push(RouterAction::Note(Note::Ended { msg, ending }));
        let written = self.write(&JournalRecord::End { msg, end: ending.into() }, now);
        if written || breaks::is_enabled(Break::EndUnwritten) {
            self.report_end(msg, ending, actions);
        } else {
            self.unwritten.push_back(msg);
            self.write_retry_at = self.write_retry_at.min(now.saturating_add(WRITE_RETRY_INTERVAL));
        }
        actions.extend(self.outstanding.calls_with(msg).map(RouterAction::Ended));
    }

    pub(super) fn count_ending(&mut self, ending: Ending) {
        match ending {
            Ending::Undeliverable => self.counters.undeliverable += 1,
            Ending::Deferred(_) => self.counters.deferred += 1,
        }
    }

    /// Completes a message that was delivered, so that nothing more is owed.
    pub(super) fn complete(&mut self, msg: MsgId, now: Micros) {
        if self.owed.contains_key(&msg) {
            self.write(&JournalRecord::End { msg, end: End::Delivered }, now);
            self.notify_watcher(msg, End::Delivered);
            self.notices.remove(msg);
            self.unwritten.remove(msg);
            self.remove_owed(msg, End::Delivered);
        }
    }

    /// Retries the writes of ends that the store has rejected. An end that is reported without a record would be
    /// lost in a crash, and the next process would choose another one or send the message again.
    pub(super) fn retry_writes(&mut self, now: Micros, actions: &mut Vec<RouterAction>) {
        if now < self.write_retry_at {
            return;
        }
        self.write_retry_at = now.saturating_add(WRITE_RETRY_INTERVAL);
        while let Some(msg) = self.unwritten.pop_front() {
            let Some(owed) = self.owed.get_mut(&msg) else { continue };
            let Some(ending) = owed.end else { continue };
            // From the deadline on the end must be reported even if it can't be written. A later process reports the
            // same end, since the deadline has passed by then.
            let due = now >= owed.deadline;
            let ending = if due { Ending::Undeliverable } else { ending };
            owed.end = Some(ending);
            if !self.write(&JournalRecord::End { msg, end: ending.into() }, now) && !due {
                self.unwritten.push_front(msg);
                return;
            }
            self.report_end(msg, ending, actions);
        }
        self.write_retry_at = Micros::MAX;
    }

    /// Reports an end: that of a stream to its client if the client can still be answered, all others to the platform.
    fn report_end(&mut self, msg: MsgId, ending: Ending, actions: &mut Vec<RouterAction>) {
        self.notify_watcher(msg, ending.into());
        match self.owed.get(&msg).and_then(|owed| owed.stream) {
            Some(stream) if !stream.unanswerable => {
                let end = match (stream.cut, ending) {
                    (Some(cut), _) => StreamEnd::Cut(cut),
                    (None, Ending::Deferred(after)) => StreamEnd::Deferred(after),
                    (None, Ending::Undeliverable) => StreamEnd::Failed,
                };
                actions.push(RouterAction::Answer { msg, end });
            }
            _ => self.add_notice(msg, actions),
        }
    }

    /// Queues a notice of the message's end for the platform.
    pub(super) fn add_notice(&mut self, msg: MsgId, actions: &mut Vec<RouterAction>) {
        self.notices.push_back(msg);
        actions.push(RouterAction::Notify);
    }

    /// Removes a message from the owed messages and remembers its end until its deadline.
    pub(super) fn remove_owed(&mut self, msg: MsgId, end: End) {
        if let Some(owed) = self.owed.remove(&msg) {
            let id = &owed.payload.id;
            self.ids.remove(id);
            self.journal.release_owed(msg, id);
            self.remember_ended(RememberedEnd { id: id.clone(), end, until: owed.deadline });
        }
    }

    pub(super) fn remember_ended(&mut self, ended: RememberedEnd) {
        let RememberedEnd { id, end, until } = ended;
        if !breaks::is_enabled(Break::ForgetCompleted) {
            self.ended.remember(id, end, until);
        }
    }

    /// Forgets expired ends, and the oldest ones if there are too many.
    pub(super) fn forget_ended(&mut self, now: Micros) {
        while let Some(id) = self.ended.forget(now) {
            self.journal.release_ended(&id);
        }
    }
}
