//! What a partner and its connections share: open connections, and calls that wait for their answer.

use super::Answer;
use crate::record::{ConnectionChange, RecordedCall, Recorder, Stamp};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::Result;
use std::os::fd::{AsFd, OwnedFd};
use tokio::net::TcpStream;
use tokio::sync::oneshot;

/// What a partner and its connections share.
pub(super) struct PartnerState {
    /// The number of the partner.
    pub number: usize,
    pub recorder: Recorder,
    /// Gives the answer to a call whose body has been read.
    pub answers: Box<dyn Fn(&RecordedCall) -> Answer>,
    /// Calls that wait to be released, by their index in the record.
    pub pending: RefCell<BTreeMap<usize, oneshot::Sender<Answer>>>,
    /// Open connections, by their numbers.
    open: RefCell<BTreeMap<u64, OpenConnection>>,
}

/// A connection that has not been recorded as closed.
struct OpenConnection {
    courier: usize,
    fd: OwnedFd,
}

impl PartnerState {
    pub fn new(
        number: usize,
        recorder: Recorder,
        answers: impl Fn(&RecordedCall) -> Answer + 'static,
    ) -> PartnerState {
        let (pending, open) = (RefCell::default(), RefCell::default());
        PartnerState { number, recorder, answers: Box::new(answers), pending, open }
    }

    /// Records a new connection, and returns its number. Those that the courier has closed before are removed first, so that the
    /// count never exceeds what is open, in whatever order opening and closing are noticed here.
    ///
    /// # Errors
    /// The system has no descriptor.
    pub fn connection_opened(&self, stream: &TcpStream, courier: usize) -> Result<u64> {
        for connection in self.closed_by_couriers() {
            self.connection_closed(connection);
        }
        let fd = stream.as_fd().try_clone_to_owned()?;
        Ok(self.recorder.write(|record, when| {
            let connection = record.connections;
            record.connections += 1;
            self.open.borrow_mut().insert(connection, OpenConnection { courier, fd });
            record.connection_changes.push(self.change(when, connection, courier, true));
            connection
        }))
    }

    /// Records the end of a connection, unless that has been done.
    pub fn connection_closed(&self, connection: u64) {
        let Some(closed) = self.open.borrow_mut().remove(&connection) else { return };
        self.recorder.write(|record, when| {
            record.connection_changes.push(self.change(when, connection, closed.courier, false));
        });
    }

    fn closed_by_couriers(&self) -> Vec<u64> {
        let open = self.open.borrow();
        open.iter().filter(|(_, connection)| hung_up(&connection.fd)).map(|(number, _)| *number).collect()
    }

    fn change(&self, when: Stamp, connection: u64, courier: usize, opened: bool) -> ConnectionChange {
        let (partner, open) = (self.number, self.open.borrow().len());
        ConnectionChange { when, partner, connection, courier, opened, open }
    }

    /// Whether the courier has closed this connection.
    pub fn is_gone(&self, connection: u64) -> bool {
        self.open.borrow().get(&connection).is_none_or(|open| hung_up(&open.fd))
    }

    /// Changes the record of a call, given by its index.
    pub fn update(&self, call: usize, update: impl FnOnce(&mut RecordedCall, Stamp)) {
        self.recorder.write(|record, when| update(&mut record.calls[call], when));
    }
}

/// Whether the other side has closed the connection.
fn hung_up(fd: &OwnedFd) -> bool {
    let closed = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    let mut fds = [PollFd::new(fd, closed)];
    let result = poll(&mut fds, Some(&Timespec { tv_sec: 0, tv_nsec: 0 }));
    result.is_ok_and(|n| n > 0) && fds[0].revents().intersects(closed)
}
