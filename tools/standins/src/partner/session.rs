//! One connection of a courier to a partner.

use super::Answer;
use super::state::PartnerState;
use crate::http::{BodyRemainder, Head, NextStep, Reader};
use crate::listener::ListenerMode;
use crate::record::{BodyDigest, RecordedCall, Stamp};
use std::io::Result;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{oneshot, watch};

/// Bytes of a body that are read at once.
const READ: usize = 256 * 1024;

/// Serves one connection of a courier until one side closes it.
///
/// # Errors
/// The connection broke.
pub(super) async fn serve(
    stream: TcpStream,
    connection: u64,
    courier: usize,
    shared: &PartnerState,
    mode: watch::Receiver<ListenerMode>,
) -> Result<()> {
    let (from, to) = stream.into_split();
    let mut session = Session { reader: Reader::new(from), to, connection, courier, shared, mode };
    while let Some(head) = session.reader.head().await? {
        if session.serve_call(head).await? == NextStep::Close {
            break;
        }
    }
    Ok(())
}

/// One connection, with what its calls need.
struct Session<'a> {
    reader: Reader<OwnedReadHalf>,
    to: OwnedWriteHalf,
    /// The number of the connection, over all partners.
    connection: u64,
    /// The courier whose listener it came through.
    courier: usize,
    shared: &'a PartnerState,
    mode: watch::Receiver<ListenerMode>,
}

/// The connection of a call ended before its answer.
fn abandon(call: &mut RecordedCall, when: Stamp) {
    call.abandoned = Some(when);
}

impl Session<'_> {
    async fn serve_call(&mut self, head: Head) -> Result<NextStep> {
        if head.header("expect").is_some() {
            self.to.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
        }
        let body = BodyRemainder::from(head.framing());
        let index = self.record_call(head);
        if !self.read_body(index, body).await {
            return Ok(NextStep::Close);
        }
        let mut answer = self.shared.recorder.read(|record| (self.shared.answers)(&record.calls[index]));
        if answer == Answer::Pending {
            match self.released(index).await {
                Some(released) => answer = released,
                None => return Ok(NextStep::Close),
            }
        }
        self.answer(index, answer).await
    }

    /// Records the beginning of a call, and returns its index in the record.
    fn record_call(&self, head: Head) -> usize {
        let text = |name| head.header(name).map(str::to_string);
        let id = text("x-correlation-id").unwrap_or_default();
        let key = text("idempotency-key");
        let tenant = text("x-account");
        self.shared.recorder.write(|record, began| {
            record.call(RecordedCall {
                began,
                partner: self.shared.number,
                courier: self.courier,
                connection: self.connection,
                id,
                key,
                tenant,
                head,
                body: BodyDigest::default(),
                completed: None,
                ran: false,
                answered: None,
                unheard: false,
                abandoned: None,
            })
        })
    }

    /// Reads the body; returns whether it is complete.
    async fn read_body(&mut self, index: usize, mut left: BodyRemainder) -> bool {
        let mut crc = crc32fast::Hasher::new();
        let mut bytes = 0;
        let complete = loop {
            match self.reader.body(&mut left, READ).await {
                Ok(Some(part)) => {
                    bytes += part.len() as u64;
                    crc.update(&part);
                }
                Ok(None) => break true,
                Err(_) => break false,
            }
        };
        self.shared.update(index, |call, when| {
            call.body = BodyDigest { bytes, crc: crc.finalize() };
            if complete {
                call.completed = Some(when);
                call.ran = true;
            } else {
                abandon(call, when);
            }
        });
        complete
    }

    /// Waits for the answer that [`Partner::release`](super::Partner::release) gives; `None`: the connection ended before.
    async fn released(&mut self, index: usize) -> Option<Answer> {
        let (release, released) = oneshot::channel();
        self.shared.pending.borrow_mut().insert(index, release);
        tokio::select! {
            biased;
            answer = released => Some(answer.unwrap_or(Answer::Silent)),
            // A courier sends nothing before the answer, except the end of the connection.
            _ = self.reader.head() => {
                self.shared.pending.borrow_mut().remove(&index);
                self.shared.update(index, abandon);
                None
            }
        }
    }

    /// Writes the answer, or does what the script has in its place.
    async fn answer(&mut self, index: usize, answer: Answer) -> Result<NextStep> {
        let (status, ran) = (answer.status(), answer.ran());
        let line = match answer {
            Answer::Line(line) => line,
            Answer::Reset => {
                let _ = self.to.as_ref().set_zero_linger();
                self.shared.update(index, abandon);
                return Ok(NextStep::Close);
            }
            Answer::Pending | Answer::Silent => {
                let _ = self.reader.head().await;
                self.shared.update(index, abandon);
                return Ok(NextStep::Close);
            }
        };
        if self.shared.is_gone(self.connection) {
            self.shared.update(index, |call, when| {
                call.ran = ran;
                abandon(call, when);
            });
            return Ok(NextStep::Close);
        }
        let unheard = *self.mode.borrow() == ListenerMode::AnswersLost;
        // Recorded first, so that the effects of the answer come after it in the record.
        self.shared.update(index, |call, when| {
            call.ran = ran;
            call.answered = Some((when, status));
            call.unheard = unheard;
        });
        if !unheard {
            self.to.write_all(format!("HTTP/1.1 {line}\r\nContent-Length: 0\r\n\r\n").as_bytes()).await?;
        }
        Ok(NextStep::Continue)
    }
}
