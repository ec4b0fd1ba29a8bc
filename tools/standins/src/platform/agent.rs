//! One connection of a courier to the platform: a watch on discovery, or notices.

use crate::ObservationKind;
use crate::http::{BodyRemainder, Head, Reader};
use std::io::Result;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::watch;
use tokio::time::sleep;

/// Interval of the empty lines of a watch on a list that does not change.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// The beginning of a request that carries notices.
const NOTICES: &str = "POST /v2/finals ";

/// How the answer to a watch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WatchEnd {
    /// The list can't change any more.
    ListClosed,
    /// Discovery is down.
    Down,
}

struct Connection {
    reader: Reader<OwnedReadHalf>,
    to: OwnedWriteHalf,
}

/// Serves a connection until the courier closes it. `observe` receives what is observed, with the id of the message, and returns
/// whether a notice is confirmed.
///
/// # Errors
/// The connection broke.
pub(super) async fn serve(
    stream: TcpStream,
    observe: impl AsyncFn(&str, ObservationKind) -> bool,
    list: watch::Receiver<String>,
    down: watch::Receiver<bool>,
) -> Result<()> {
    let (from, to) = stream.into_split();
    let mut connection = Connection { reader: Reader::new(from), to };
    while let Some(head) = connection.reader.head().await? {
        if head.first_line.starts_with(NOTICES) {
            connection.receive_notices(&head, &observe).await?;
            continue;
        }
        observe("", ObservationKind::Watched).await;
        let is_down = *down.borrow();
        if !is_down && connection.answer_watch(list, down).await? == WatchEnd::ListClosed {
            return Ok(());
        }
        break;
    }
    // Silent until the courier has closed it.
    while connection.reader.head().await?.is_some() {}
    Ok(())
}

impl Connection {
    /// Reads the notices of a request, and answers whether all are confirmed.
    async fn receive_notices(
        &mut self,
        head: &Head,
        observe: &impl AsyncFn(&str, ObservationKind) -> bool,
    ) -> Result<()> {
        let mut left = BodyRemainder::from(head.framing());
        let mut text = Vec::new();
        while let Some(part) = self.reader.body(&mut left, usize::MAX).await? {
            text.extend_from_slice(&part);
        }
        let mut confirmed = true;
        for line in String::from_utf8_lossy(&text).lines() {
            confirmed &= observe(notice_id(line), ObservationKind::Notice(line.to_string())).await;
        }
        let answer: &[u8] = match confirmed {
            true => b"HTTP/1.1 204 No Content\r\n\r\n",
            false => b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
        };
        self.to.write_all(answer).await
    }

    /// Writes the list, each change of it and heartbeats.
    async fn answer_watch(
        &mut self,
        mut list: watch::Receiver<String>,
        mut down: watch::Receiver<bool>,
    ) -> Result<WatchEnd> {
        self.to.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        loop {
            let line = list.borrow_and_update().clone() + "\n";
            self.to.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).await?;
            tokio::select! {
                changed = list.changed() => if changed.is_err() { return Ok(WatchEnd::ListClosed) },
                () = sleep(HEARTBEAT_INTERVAL) => {}
                Ok(_) = down.wait_for(|down| *down) => return Ok(WatchEnd::Down),
            }
        }
    }
}

/// The id in the line of a notice.
fn notice_id(line: &str) -> &str {
    let rest = line.split_once("\"id\":\"").map(|(_, rest)| rest);
    rest.and_then(|rest| rest.split('"').next()).unwrap_or_default()
}
