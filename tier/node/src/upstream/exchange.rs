//! One exchange on a connection: the request is written and the head of its answer read.

use super::carried_requests::CarriedRequests;
use crate::socket;
use quillmount_dataplane::body::BodyReader;
use quillmount_dataplane::head::{ResponseHead, parse_response};
use std::io::ErrorKind;
use tokio::net::TcpStream;

/// Largest number of bytes in one read.
const READ_BYTES: usize = 8 * 1024;
/// Largest head of an answer, bytes.
const HEAD_LIMIT: usize = 64 * 1024;
/// Largest number of late answers to previous requests that are skipped.
const MAX_LATE_ANSWERS: usize = 2;
/// Lowest status of a final answer; those below are interim (RFC 9110, section 15.2).
const FIRST_FINAL_STATUS: u16 = 200;

/// A request as it is sent to an endpoint.
pub struct UpstreamRequest<'a> {
    /// Id of the endpoint.
    pub endpoint: &'a str,
    /// Address of the endpoint, host and port.
    pub address: &'a str,
    /// Value of the `Request-Id` header that the answer has to repeat.
    pub request_id: &'a str,
    /// Head and body.
    pub bytes: &'a [u8],
}

/// A connection to an endpoint.
pub(super) struct OpenConnection {
    /// The connection.
    pub(super) stream: TcpStream,
    /// The requests that were answered on it.
    pub(super) carried: CarriedRequests,
}

impl OpenConnection {
    /// A connection that was just opened.
    pub(super) fn new(stream: TcpStream) -> OpenConnection {
        OpenConnection { stream, carried: CarriedRequests::default() }
    }

    /// Whether no request was answered on it.
    fn is_fresh(&self) -> bool {
        self.carried.is_empty()
    }
}

/// The head of an answer, and the bytes that were read after it.
pub(super) struct ReceivedHead {
    /// Status and headers.
    pub(super) head: ResponseHead,
    /// Bytes after the head.
    pub(super) buffer: Vec<u8>,
    /// Whether the complete request was sent.
    pub(super) fully_sent: bool,
}

/// Waits for bytes of an endpoint and appends them to `buffer`. Returns their number, 0 at the end of the connection.
pub(super) async fn fill(stream: &TcpStream, buffer: &mut Vec<u8>) -> std::io::Result<usize> {
    socket::read_available::<READ_BYTES>(stream, buffer).await
}

/// Writes a request and reads heads until one answers it; `None` if the connection breaks or carries no answer to it.
pub(super) async fn exchange(
    connection: &OpenConnection,
    request: &UpstreamRequest<'_>,
) -> Option<ReceivedHead> {
    let stream = &connection.stream;
    let mut buffer = Vec::new();
    let fully_sent = write_request(connection, request, &mut buffer).await?;
    for _ in 0..=MAX_LATE_ANSWERS {
        let head = read_head(stream, &mut buffer).await?;
        if matches_request(&head, request.request_id, connection.is_fresh()) {
            return Some(ReceivedHead { head, buffer, fully_sent });
        }
        // The late answer to a previous request on this connection.
        skip_body(stream, &mut buffer, &head).await?;
    }
    None
}

/// Writes a request and reads meanwhile, since an endpoint may answer before it has read all of it. Returns whether the complete
/// request was sent; `None` if the connection broke.
async fn write_request(
    connection: &OpenConnection,
    request: &UpstreamRequest<'_>,
    buffer: &mut Vec<u8>,
) -> Option<bool> {
    let stream = &connection.stream;
    let mut rest = request.bytes;
    while !rest.is_empty() {
        tokio::select! {
            writable = stream.writable() => {
                writable.ok()?;
                match stream.try_write(rest) {
                    Ok(written) => rest = rest.get(written..).unwrap_or_default(),
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                    Err(_) => return None,
                }
            }
            read = fill(stream, buffer) => {
                if read.ok()? == 0 || buffer.len() > HEAD_LIMIT {
                    return None;
                }
                if let Ok(Some((head, _))) = parse_response(buffer, false)
                    && head.status >= FIRST_FINAL_STATUS
                    && matches_request(&head, request.request_id, connection.is_fresh())
                {
                    return Some(false);
                }
            }
        }
    }
    Some(true)
}

/// Whether an answer belongs to a request. `fresh`: the request is the first one on its connection.
fn matches_request(head: &ResponseHead, request_id: &str, fresh: bool) -> bool {
    match head.headers.get("Request-Id") {
        Some(id) => id == request_id,
        // A rejection without an id: the endpoint sent it before it read the id. On a reused connection it may belong to a
        // previous request.
        None => fresh && head.guarantees_not_run(),
    }
}

/// Reads the head of the next final answer and removes it from the buffer.
async fn read_head(stream: &TcpStream, buffer: &mut Vec<u8>) -> Option<ResponseHead> {
    loop {
        while let Some((head, length)) = parse_response(buffer, false).ok()? {
            buffer.drain(..length);
            if head.status >= FIRST_FINAL_STATUS {
                return Some(head);
            }
        }
        if buffer.len() > HEAD_LIMIT || fill(stream, buffer).await.ok()? == 0 {
            return None;
        }
    }
}

/// Reads and drops the body of an answer; `None` if the connection breaks before its end.
async fn skip_body(stream: &TcpStream, buffer: &mut Vec<u8>, head: &ResponseHead) -> Option<()> {
    let mut reader = BodyReader::new(head.framing);
    let mut body = Vec::new();
    loop {
        reader.read(buffer, &mut body).ok()?;
        body.clear();
        if reader.is_done() {
            return Some(());
        }
        if fill(stream, buffer).await.ok()? == 0 {
            return None;
        }
    }
}
