//! The answer of an endpoint, whose body is read step by step.

use super::exchange::{OpenConnection, ReceivedHead, fill};
use quillmount_dataplane::body::BodyReader;
use quillmount_dataplane::head::ResponseHead;

/// What reading a part of a body resulted in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyProgress {
    /// Bytes were appended; more may follow.
    More,
    /// The body is complete.
    End,
    /// The connection broke, or the body is malformed.
    Broken,
}

/// An answer whose head was read.
pub struct UpstreamAnswer {
    /// Status and headers.
    pub head: ResponseHead,
    /// The connection; `buffer` has what was read of it and not used.
    pub(super) connection: OpenConnection,
    /// Id of the endpoint.
    pub(super) endpoint: String,
    /// Bytes that were read after the part of the body that was returned.
    buffer: Vec<u8>,
    reader: BodyReader,
    /// Whether the complete request was sent, so that another one can follow on the connection.
    fully_sent: bool,
}

impl UpstreamAnswer {
    /// An answer of which the head was received.
    pub(super) fn new(
        received: ReceivedHead,
        connection: OpenConnection,
        endpoint: String,
    ) -> UpstreamAnswer {
        let ReceivedHead { head, buffer, fully_sent } = received;
        let reader = BodyReader::new(head.framing);
        UpstreamAnswer { head, connection, endpoint, buffer, reader, fully_sent }
    }

    /// Waits for a part of the body and appends it to `output`.
    pub async fn read(&mut self, output: &mut Vec<u8>) -> BodyProgress {
        loop {
            let length_before = output.len();
            if self.reader.read(&mut self.buffer, output).is_err() {
                return BodyProgress::Broken;
            }
            if self.reader.is_done() {
                return BodyProgress::End;
            }
            if output.len() > length_before {
                return BodyProgress::More;
            }
            match fill(&self.connection.stream, &mut self.buffer).await {
                Ok(0) if self.reader.is_close_delimited() => return BodyProgress::End,
                Ok(0) | Err(_) => return BodyProgress::Broken,
                Ok(_) => {}
            }
        }
    }

    /// Reads the complete body; `None` if it breaks off or has more than `limit` bytes.
    pub async fn read_all(&mut self, limit: usize) -> Option<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            match self.read(&mut body).await {
                BodyProgress::End => return Some(body),
                BodyProgress::More if body.len() <= limit => {}
                BodyProgress::More | BodyProgress::Broken => return None,
            }
        }
    }

    /// Whether another request may be sent on the connection: the exchange is complete and nothing follows it.
    pub(super) fn is_reusable(&self) -> bool {
        let clean = self.fully_sent && self.reader.is_done() && self.buffer.is_empty();
        clean && self.head.keep_alive
    }
}
