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
        let deadline = self.now + self.case.time_left();
        let acceptance = Acceptance::No;
        let fresh = ObservedMessage {
            class,
            dest,
            key,
            deadline,
            acceptance,
            calls: Vec::new(),
            notice: None,
            delivered: false,
            gone: false,
            settled: false,
        };
        self.monitor.messages.push(fresh);
        let next = self.hub.router.next_number();
        self.messages_by_number.insert(next, message);
        let (intake, todo) = self.hub.submit(self.submission(message), self.now);
        let is_stored = self.is_stored(message);
        let m = &mut self.monitor.messages[message];
        m.acceptance = match intake {
            // Whatever the answer would have been, nobody heard it.
            _ if self.crashing && is_stored => Acceptance::Unheard,
            Intake::Accepted if !self.crashing => Acceptance::Heard,
            _ => Acceptance::No,
        };
        if m.acceptance == Acceptance::Heard && !is_stored {
            return violated(
                Property::Durability,
                format!("m{message} is answered 202 and is not in the store"),
            );
        }
        self.execute(todo)
    }

    /// Submits the same id again, which must not be accepted twice.
    pub(super) fn resubmit(&mut self, message: usize) -> Result<(), Violation> {
        let next = self.hub.router.next_number();
        let (intake, todo) = self.hub.submit(self.submission(message), self.now);
        let m = &self.monitor.messages[message];
        let known = m.acceptance != Acceptance::No && self.now < m.deadline;
        if intake == Intake::Accepted {
            if known {
                return violated(Property::FinalAnswer, format!("m{message} is taken on twice"));
            }
            self.messages_by_number.insert(next, message);
            let (deadline, is_stored) = (self.now + self.case.time_left(), self.is_stored(message));
            let m = &mut self.monitor.messages[message];
            m.acceptance = if self.crashing {
                if is_stored { Acceptance::Unheard } else { Acceptance::No }
            } else {
                Acceptance::Heard
            };
            m.deadline = deadline.min(m.deadline.max(self.now));
        }
        if intake == Intake::Delivered && !is_delivered(&self.monitor, message) {
            return violated(
                Property::FinalAnswer,
                format!("m{message} is told to be delivered, and is not"),
            );
        }
        self.execute(todo)
    }

    /// The submission of a message, with the time that it has left now.
    fn submission(&self, message: usize) -> Submission {
        let m = &self.monitor.messages[message];
        Submission {
            id: format!("m{message}"),
            class: CLASSES[m.class as usize].into(),
            key: (m.class == NOTICE).then(|| format!("k{}", m.key)),
            dest: m.dest,
            tenant: None,
            time_left: m.deadline.saturating_sub(self.now),
            body: format!("body of m{message}").into_bytes().into(),
        }
    }

    /// Whether the store has the message, and not its end.
    pub(super) fn is_stored(&self, message: usize) -> bool {
        let name = format!("m{message}");
        self.journal_contents().owed.values().any(|entry| entry.taken.id == name)
    }
}

/// Whether an endpoint has answered that the message is delivered, or that it is gone.
fn is_delivered(monitor: &Monitor, message: usize) -> bool {
    let m = &monitor.messages[message];
    m.delivered || m.gone
}
