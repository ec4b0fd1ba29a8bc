//! Clients: submissions of messages, new and repeated.

use crate::case::{CLASSES, NOTICE};
use crate::monitor::{Acceptance, Monitor, ObservedMessage};
use crate::property::{Property, Violation, violated};
use crate::world::state::World;
use quillmount_core::Submission;
use quillmount_core::router::Intake;

impl World {
    /// A client submits a new message.
    pub(super) fn submit(&mut self, class: u8, dest: u64, key: u64) -> Result<(), Violation> {
        let message = self.monitor.messages.len();
        self.monitor.messages.push(ObservedMessage {
            class,
            dest,
            key,
            deadline: self.now + self.case.time_left(),
            acceptance: Acceptance::Rejected,
            calls: Vec::new(),
            notice: None,
            delivered: false,
            gone: false,
            settled: false,
        });
        self.messages_by_number.insert(self.hub.router.next_number(), message);
        let (intake, actions) = self.hub.submit(self.submission(message), self.now);
        let is_stored = self.is_stored(message);
        let acceptance = match intake {
            // Whatever the answer would have been, the client did not receive it.
            _ if self.crashing && is_stored => Acceptance::Unacknowledged,
            Intake::Accepted if !self.crashing => Acceptance::Acknowledged,
            _ => Acceptance::Rejected,
        };
        self.monitor.messages[message].acceptance = acceptance;
        if acceptance == Acceptance::Acknowledged && !is_stored {
            return violated(
                Property::Durability,
                format!("m{message} is answered 202 and is not in the store"),
            );
        }
        self.execute(actions)
    }

    /// Submits the same id again, which must not be accepted twice.
    pub(super) fn resubmit(&mut self, message: usize) -> Result<(), Violation> {
        let number = self.hub.router.next_number();
        let (intake, actions) = self.hub.submit(self.submission(message), self.now);
        let observed = &self.monitor.messages[message];
        let is_known = observed.acceptance != Acceptance::Rejected && self.now < observed.deadline;
        if intake == Intake::Accepted {
            if is_known {
                return violated(Property::FinalAnswer, format!("m{message} is taken on twice"));
            }
            self.messages_by_number.insert(number, message);
            self.accept_resubmission(message);
        }
        if intake == Intake::Delivered && !is_delivered(&self.monitor, message) {
            return violated(
                Property::FinalAnswer,
                format!("m{message} is told to be delivered, and is not"),
            );
        }
        self.execute(actions)
    }

    /// The courier has accepted a message that it did not know any more.
    fn accept_resubmission(&mut self, message: usize) {
        let acceptance = match (self.crashing, self.is_stored(message)) {
            (false, _) => Acceptance::Acknowledged,
            (true, true) => Acceptance::Unacknowledged,
            (true, false) => Acceptance::Rejected,
        };
        let deadline = self.now + self.case.time_left();
        let observed = &mut self.monitor.messages[message];
        observed.acceptance = acceptance;
        observed.deadline = deadline.min(observed.deadline.max(self.now));
    }

    /// The submission of a message, with the time that it has left now.
    fn submission(&self, message: usize) -> Submission {
        let observed = &self.monitor.messages[message];
        Submission {
            id: format!("m{message}"),
            class: CLASSES[usize::from(observed.class)].into(),
            key: (observed.class == NOTICE).then(|| format!("k{}", observed.key)),
            dest: observed.dest,
            tenant: None,
            time_left: observed.deadline.saturating_sub(self.now),
            body: format!("body of m{message}").into_bytes().into(),
        }
    }

    /// Whether the store has the message, and not its end.
    pub(super) fn is_stored(&self, message: usize) -> bool {
        let id = format!("m{message}");
        self.journal_contents().owed.values().any(|entry| entry.message.id == id)
    }
}

/// Whether an endpoint has answered that the message is delivered, or that it is gone.
fn is_delivered(monitor: &Monitor, message: usize) -> bool {
    let observed = &monitor.messages[message];
    observed.delivered || observed.gone
}
