//! A partner that a fleet of couriers calls: it records every call and every connection, and answers as the script of
//! the test has it, at once or when the call is released.

mod answer;
mod session;
mod state;

pub use answer::Answer;

use crate::fault::Fault;
use crate::listener::{CourierListener, ListenerMode};
use crate::record::{RecordedCall, Recorder};
use state::PartnerState;
use std::io::Result;
use std::net::SocketAddr;
use std::rc::Rc;

/// A partner with a listener for each courier.
pub struct Partner {
    /// The destination that it serves.
    pub dest: u64,
    listeners: Vec<CourierListener>,
    shared: Rc<PartnerState>,
}

impl Partner {
    /// Opens the partner with this number, for this many couriers. `answers` gives the answer when the body of a call has been
    /// read; a call with several messages is one call without an id. Must run in a `LocalSet`.
    ///
    /// # Errors
    /// The system has no port.
    pub fn open(
        number: usize,
        dest: u64,
        couriers: usize,
        recorder: Recorder,
        answers: impl Fn(&RecordedCall) -> Answer + 'static,
    ) -> Result<Partner> {
        let shared = Rc::new(PartnerState::new(number, recorder, answers));
        let listener = |courier| {
            let shared = shared.clone();
            CourierListener::open(move |stream, mode| {
                let shared = shared.clone();
                async move {
                    if let Ok(connection) = shared.connection_opened(&stream, courier) {
                        // An error of the connection is recorded with its call.
                        let _ = session::serve(stream, connection, courier, &shared, mode).await;
                        shared.connection_closed(connection);
                    }
                }
            })
        };
        let listeners = (0..couriers).map(listener).collect::<Result<_>>()?;
        Ok(Partner { dest, listeners, shared })
    }

    /// The address for this courier.
    pub fn addr(&self, courier: usize) -> SocketAddr {
        self.listeners[courier].addr()
    }

    /// Sets the mode of the listener of this courier, from now on.
    pub fn set(&self, courier: usize, mode: ListenerMode) {
        self.listeners[courier].set(mode);
        let partner = self.shared.number;
        self.shared.recorder.record_fault(Fault::Partner { courier, partner, mode });
    }

    pub(crate) fn is_open(&self, courier: usize) -> bool {
        self.listeners[courier].mode() == ListenerMode::Open
    }

    /// Answers all pending calls of a message; returns how many there were.
    pub fn release(&self, id: &str, answer: Answer) -> usize {
        self.release_where(answer, |call| call.id == id)
    }

    /// Answers all pending calls that are selected; returns how many there were.
    pub fn release_where(&self, answer: Answer, selects: impl Fn(&RecordedCall) -> bool) -> usize {
        let mut pending = self.shared.pending.borrow_mut();
        let selected = self.shared.recorder.read(|record| {
            let selects = |n: &usize| selects(&record.calls[*n]);
            pending.keys().copied().filter(selects).collect::<Vec<_>>()
        });
        for n in &selected {
            // A call whose connection has ended meanwhile needs no answer.
            pending.remove(n).map(|to| to.send(answer.clone()));
        }
        selected.len()
    }
}
