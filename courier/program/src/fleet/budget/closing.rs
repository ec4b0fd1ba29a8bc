//! Connections that have ended: each is reported to the budget's gate, and counts until the partner has closed it, too.

use super::Budgets;
use crate::transport::connection::{ConnectionEnd, ConnectionId};
use actix_rt::net::TcpStream;
use std::os::fd::OwnedFd;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Bytes that are read at once, and discarded, of what a partner still sends on a closed connection.
const READ_CHUNK: usize = 4_096;

/// A counted connection that has ended, until it is reported to the gate.
pub(super) struct ClosedConnection {
    pub(super) id: ConnectionId,
    pub(super) end: ConnectionEnd,
}

/// A connection that this side has closed and the partner has not.
pub(super) struct ClosingConnection {
    pub(super) id: ConnectionId,
    socket: OwnedFd,
}

impl Budgets {
    /// Reports to the budget's gate which connections have ended.
    pub(super) fn report_closed(&self) {
        for ClosedConnection { id, end } in self.closed.take() {
            let ConnectionId { dest, conn } = id;
            self.gate(|gate, now| match end {
                ConnectionEnd::NeverOpened => gate.connections.closed(dest, conn, now),
                ConnectionEnd::Closed(_) => gate.connections.closing(dest, conn, now),
            });
            if let ConnectionEnd::Closed(Some(fd)) = end {
                self.closing.borrow_mut().push(ClosingConnection { id, socket: fd });
                self.work_added.notify_one();
            }
        }
    }

    /// Waits until the partner has closed a connection too. Where it does not, the connection counts for as long
    /// as a partner may keep one, and the socket stays open no longer than that.
    pub(super) async fn watch_close(self: Rc<Self>, ClosingConnection { id, socket }: ClosingConnection) {
        let ConnectionId { dest, conn } = id;
        let bound = self.gate(|gate, _| gate.connections.close_timeout_of(dest));
        let ends = async {
            let mut stream = TcpStream::from_std(std::net::TcpStream::from(socket))?;
            stream.shutdown().await?;
            let mut rest = [0; READ_CHUNK];
            while stream.read(&mut rest).await? > 0 {}
            std::io::Result::Ok(())
        };
        let bound = Duration::from_micros(bound);
        if let Ok(Ok(())) = actix_rt::time::timeout(bound, ends).await {
            self.gate(|gate, now| gate.connections.closed(dest, conn, now));
            self.serve();
        }
    }
}
