//! The platform: notices of the ends of messages, their confirmations and losses.

use crate::property::{Property, Violation, violated};
use crate::world::state::{World, message_index};
use quillmount_core::Notice;
use quillmount_core::machine::notices::{NoticeInput, NoticeOutput, NoticeState};

impl World {
    /// The courier sends a batch of notices to the platform, if it has any.
    pub(super) fn send_notices(&mut self) -> Result<(), Violation> {
        let notices = self.hub.router.notices(self.notices.max_batch_len());
        let wanted = NoticeInput::Wanted(notices.len());
        if let NoticeOutput::Send(_) = self.notices.step(wanted, self.now) {
            for notice in &notices {
                let message = message_index(&notice.id).and_then(|index| self.monitor.messages.get(index));
                if message.is_some_and(|message| message.settled) {
                    return violated(
                        Property::FinalAnswer,
                        format!("{} was over, and is ended again", notice.id),
                    );
                }
            }
            self.sent_notices = notices;
        }
        Ok(())
    }

    /// The platform receives the notices in flight, and the courier its confirmation.
    pub(super) fn confirm_notices(&mut self) -> Result<(), Violation> {
        self.platform_receives()?;
        self.consecutive_losses = 0;
        if self.notices.step(NoticeInput::Confirmed, self.now) == NoticeOutput::Confirmed {
            self.confirmed_notices = std::mem::take(&mut self.sent_notices);
            let actions = self.hub.notices_confirmed(&self.confirmed_notices, self.now);
            self.execute(actions)?;
        }
        Ok(())
    }

    /// Notices are lost, or only their confirmation where the platform has received them.
    pub(super) fn lose_notices(&mut self, received: bool) -> Result<(), Violation> {
        if received {
            self.platform_receives()?;
        }
        self.consecutive_losses += 1;
        let output = self.notices.step(NoticeInput::Lost, self.now);
        let notices = std::mem::take(&mut self.sent_notices);
        if output == NoticeOutput::Discard {
            let actions = self.hub.notices_confirmed(&notices, self.now);
            self.execute(actions)?;
        }
        Ok(())
    }

    /// The confirmation has timed out, which counts as a fault, or the backoff has ended.
    pub(super) fn notice_tick(&mut self) -> Result<(), Violation> {
        if matches!(self.notices.state(), NoticeState::Sent { .. }) {
            self.consecutive_losses += 1;
            self.faults += 1;
        }
        self.notices.step(NoticeInput::Tick, self.now);
        Ok(())
    }

    /// The last confirmation arrives a second time.
    pub(super) fn confirm_notices_twice(&mut self) -> Result<(), Violation> {
        let twice = std::mem::take(&mut self.confirmed_notices);
        let actions = self.hub.notices_confirmed(&twice, self.now);
        self.execute(actions)
    }

    /// The platform receives the notices in flight.
    fn platform_receives(&mut self) -> Result<(), Violation> {
        for Notice { id, ending, .. } in &self.sent_notices {
            match message_index(id).filter(|index| *index < self.monitor.messages.len()) {
                Some(index) => self.monitor.notice(index, *ending)?,
                None => return violated(Property::FinalAnswer, format!("a notice for {id:?}")),
            }
        }
        Ok(())
    }
}
