//! The platform of a fleet.

use super::agent;
use crate::ObservationKind;
use crate::fault::Fault;
use crate::listener::{CourierListener, ListenerMode};
use crate::record::{RecordedNotice, Recorder};
use std::cell::Cell;
use std::io::Result;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::watch;

/// The platform of a fleet: it has a listener for each courier, and records every notice in the order in which it is received.
pub struct Platform {
    listeners: Vec<CourierListener>,
    /// The endpoint list of each courier, as a line of discovery.
    lists: Vec<watch::Sender<String>>,
    /// Whether notices are confirmed.
    confirms: Rc<Cell<bool>>,
    recorder: Recorder,
}

impl Platform {
    /// Opens the platform for this many couriers; must run in a `LocalSet`.
    ///
    /// # Errors
    /// The system has no port.
    pub fn open(couriers: usize, recorder: Recorder) -> Result<Platform> {
        let confirms = Rc::new(Cell::new(true));
        let lists: Vec<watch::Sender<String>> = (0..couriers).map(|_| watch::Sender::default()).collect();
        let listener = |(courier, list): (usize, &watch::Sender<String>)| {
            let (recorder, confirms, list) = (recorder.clone(), confirms.clone(), list.subscribe());
            CourierListener::open(move |stream, mode| {
                let service =
                    CourierService { courier, recorder: recorder.clone(), confirms: confirms.clone(), mode };
                service.serve(stream, list.clone())
            })
        };
        let listeners = lists.iter().enumerate().map(listener).collect::<Result<_>>()?;
        Ok(Platform { listeners, lists, confirms, recorder })
    }

    /// The address for this courier.
    pub fn addr(&self, courier: usize) -> SocketAddr {
        self.listeners[courier].addr()
    }

    /// Sets the mode of the listener of this courier, from now on.
    pub fn set(&self, courier: usize, mode: ListenerMode) {
        self.listeners[courier].set(mode);
        self.recorder.record_fault(Fault::Platform { courier, mode });
    }

    pub(crate) fn is_open(&self, courier: usize) -> bool {
        self.listeners[courier].mode() == ListenerMode::Open
    }

    /// Sends this courier a line of discovery: one JSON object, as PROTOCOL has it.
    pub fn list(&self, courier: usize, line: &str) {
        self.lists[courier].send_replace(line.into());
    }

    /// Sets whether notices are confirmed from now on, or answered 500; they are recorded in both cases.
    pub fn confirm(&self, confirms: bool) {
        self.confirms.set(confirms);
    }
}

/// Serves one connection of a courier.
struct CourierService {
    courier: usize,
    recorder: Recorder,
    confirms: Rc<Cell<bool>>,
    mode: watch::Receiver<ListenerMode>,
}

impl CourierService {
    async fn serve(self, stream: TcpStream, list: watch::Receiver<String>) {
        let never_down = watch::channel(false).1;
        let observe = async |id: &str, what| self.observe(id, what).await;
        // An error ends the connection, and the courier opens the next one.
        let _ = agent::serve(stream, observe, list, never_down).await;
    }

    /// Records a notice; returns whether it is confirmed. Does not return while no answer is to leave.
    async fn observe(&self, id: &str, what: ObservationKind) -> bool {
        if let ObservationKind::Notice(line) = what {
            let (courier, id) = (self.courier, id.to_string());
            self.recorder.write(|record, when| record.notice(RecordedNotice { when, courier, id, line }));
            if *self.mode.borrow() == ListenerMode::AnswersLost {
                std::future::pending::<()>().await;
            }
        }
        self.confirms.get()
    }
}
