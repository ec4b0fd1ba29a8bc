//! Connections to endpoints: one request at a time on each, kept while the endpoint allows.

use crate::clock;
use quillmount_dataplane::body::BodyReader;
use quillmount_dataplane::head::{ResponseHead, parse_response};
use std::cell::RefCell;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A connection to an endpoint that does not come up in this time is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Bytes sent and not acknowledged for so long end a connection.
const SILENCE: Duration = Duration::from_millis(2000);
/// How long a connection rests where the endpoint states nothing, microseconds.
const IDLE_TIMEOUT: u64 = 2_000_000;
/// Taken off the time that the endpoint states, microseconds.
const IDLE_MARGIN: u64 = 800_000;
/// Resting connections to one endpoint at most.
const IDLE_LIMIT: usize = 16;
/// Largest head of an answer, bytes.
const HEAD_LIMIT: usize = 64 * 1024;
/// Answers to other requests that are passed over before this one's.
const STRAY_ANSWERS: usize = 2;

/// Why an endpoint gave no head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamError {
    /// No byte was sent: it has not run.
    NotSent,
    /// Sent, and the connection broke or carries no answer: it may have run.
    Broken,
    /// Sent, and nothing came in time: it may have run.
    Silent,
}

struct IdleConnection {
    stream: TcpStream,
    until: u64,
}

/// Resting connections, by the id of their endpoint.
#[derive(Default)]
pub struct Upstreams {
    idle: RefCell<HashMap<String, Vec<IdleConnection>>>,
}

/// A request as it is sent to an endpoint.
pub struct UpstreamRequest<'a> {
    pub endpoint: &'a str,
    pub address: &'a str,
    pub request_id: &'a str,
    /// Head and body.
    pub bytes: &'a [u8],
}

/// An answer under way.
pub struct UpstreamAnswer {
    pub head: ResponseHead,
    stream: TcpStream,
    buffer: Vec<u8>,
    reader: BodyReader,
    endpoint: String,
    /// The whole request was sent: the connection is at the start of another.
    fully_sent: bool,
}

/// A connection on which a request is sent.
struct OpenConnection {
    stream: TcpStream,
    /// Nothing was sent on it before.
    fresh: bool,
}

/// The head of an answer, and what was read behind it.
struct ReceivedHead {
    head: ResponseHead,
    buffer: Vec<u8>,
    fully_sent: bool,
}

impl Upstreams {
    fn take_idle(&self, endpoint: &str) -> Option<TcpStream> {
        let now = clock::micros();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(endpoint)?;
        while let Some(connection) = connections.pop() {
            let silent = matches!(connection.stream.try_read(&mut [0; 1]), Err(error) if error.kind() == ErrorKind::WouldBlock);
            if connection.until > now && silent {
                return Some(connection.stream);
            }
        }
        None
    }

    fn keep_idle(&self, endpoint: &str, stream: TcpStream, head: &ResponseHead) {
        let stated = head.headers.get("Keep-Alive").and_then(keep_alive_seconds);
        let span = stated.map_or(IDLE_TIMEOUT, |seconds| (seconds * 1_000_000).saturating_sub(IDLE_MARGIN));
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(endpoint.to_owned()).or_default();
        if connections.len() < IDLE_LIMIT {
            connections.push(IdleConnection { stream, until: clock::micros() + span });
        }
    }

    /// Closes connections that have rested too long, and those to endpoints that are gone.
    pub fn close_expired(&self, known: impl Fn(&str) -> bool) {
        let now = clock::micros();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|endpoint, connections| {
            connections.retain(|connection| connection.until > now);
            !connections.is_empty() && known(endpoint)
        });
    }

    /// Sends a request and reads the head of its answer, within a time.
    pub async fn send(
        &self,
        request: UpstreamRequest<'_>,
        time: Duration,
    ) -> Result<UpstreamAnswer, UpstreamError> {
        let opened = match self.take_idle(request.endpoint) {
            Some(stream) => OpenConnection { stream, fresh: false },
            None => {
                let stream = open(request.address).await.ok_or(UpstreamError::NotSent)?;
                OpenConnection { stream, fresh: true }
            }
        };
        match timeout(time, exchange(&opened, &request)).await {
            Ok(Some(ReceivedHead { head, buffer, fully_sent })) => {
                let reader = BodyReader::new(head.framing);
                let (stream, endpoint) = (opened.stream, request.endpoint.to_owned());
                Ok(UpstreamAnswer { head, stream, buffer, reader, endpoint, fully_sent })
            }
            Ok(None) => Err(UpstreamError::Broken),
            Err(_) => Err(UpstreamError::Silent),
        }
    }
}

/// Seconds of a `Keep-Alive` header: a number, alone or behind `timeout=`.
fn keep_alive_seconds(value: &str) -> Option<u64> {
    let parameter = value
        .split(',')
        .map(str::trim)
        .find_map(|parameter| parameter.strip_prefix("timeout=").or(Some(parameter)))?;
    parameter.parse().ok()
}

async fn open(address: &str) -> Option<TcpStream> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
    crate::rpc::set_socket_options(&stream, SILENCE);
    Some(stream)
}

async fn fill(stream: &TcpStream, buffer: &mut Vec<u8>) -> std::io::Result<usize> {
    loop {
        stream.readable().await?;
        let mut bytes = [0; 8 * 1024];
        match stream.try_read(&mut bytes) {
            Ok(read) => {
                buffer.extend_from_slice(&bytes[..read]);
                return Ok(read);
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
}

/// Writes the request and reads heads until one is of this request; `None` if the connection carries none.
async fn exchange(opened: &OpenConnection, request: &UpstreamRequest<'_>) -> Option<ReceivedHead> {
    let stream = &opened.stream;
    let mut buffer = Vec::new();
    let fully_sent = write_request(opened, request, &mut buffer).await?;
    for _ in 0..=STRAY_ANSWERS {
        let head = read_head(stream, &mut buffer).await?;
        if matches_request(&head, request.request_id, opened.fresh) {
            return Some(ReceivedHead { head, buffer, fully_sent });
        }
        // The late answer to a request before this one: its body is passed over.
        skip_body(stream, &mut buffer, &head).await?;
    }
    None
}

/// Writes the request, reading meanwhile: an endpoint may answer before it has read all of it. Whether all of it was sent;
/// `None` if the connection broke.
async fn write_request(
    opened: &OpenConnection,
    request: &UpstreamRequest<'_>,
    buffer: &mut Vec<u8>,
) -> Option<bool> {
    let stream = &opened.stream;
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
                    && head.status >= 200
                    && matches_request(&head, request.request_id, opened.fresh)
                {
                    return Some(false);
                }
            }
        }
    }
    Some(true)
}

/// Whether a head may be believed for this request.
fn matches_request(head: &ResponseHead, request_id: &str, fresh: bool) -> bool {
    match head.headers.get("Request-Id") {
        Some(id) => id == request_id,
        // A refusal that names no request: it comes before the endpoint has looked at the id. On a connection that carried
        // others before it may be of one of those.
        None => fresh && (head.status == 421 || head.headers.get("Not-Run").is_some()),
    }
}

async fn read_head(stream: &TcpStream, buffer: &mut Vec<u8>) -> Option<ResponseHead> {
    loop {
        while let Some((head, length)) = parse_response(buffer, false).ok()? {
            buffer.drain(..length);
            // Interim answers are not the answer.
            if head.status >= 200 {
                return Some(head);
            }
        }
        if buffer.len() > HEAD_LIMIT || fill(stream, buffer).await.ok()? == 0 {
            return None;
        }
    }
}

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

/// What reading a body came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyProgress {
    /// More bytes were appended.
    More,
    /// The body is whole.
    End,
    /// It ended early, or can't be read.
    Broken,
}

impl UpstreamAnswer {
    /// Reads on; appends what came to `output`.
    pub async fn read(&mut self, output: &mut Vec<u8>) -> BodyProgress {
        loop {
            let before = output.len();
            if self.reader.read(&mut self.buffer, output).is_err() {
                return BodyProgress::Broken;
            }
            if self.reader.is_done() {
                return BodyProgress::End;
            }
            if output.len() > before {
                return BodyProgress::More;
            }
            match fill(&self.stream, &mut self.buffer).await {
                Ok(0) if self.reader.ends_with_connection() => return BodyProgress::End,
                Ok(0) | Err(_) => return BodyProgress::Broken,
                Ok(_) => {}
            }
        }
    }

    /// Reads the whole body, if it is not longer than `limit`.
    pub async fn read_all(&mut self, limit: usize) -> Option<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            match self.read(&mut body).await {
                BodyProgress::End => return Some(body),
                BodyProgress::More if body.len() <= limit => {}
                _ => return None,
            }
        }
    }

    /// Keeps the connection for another request, if the answer is whole and nothing follows it.
    pub fn release(self, upstreams: &Upstreams) {
        let clean = self.fully_sent && self.reader.is_done() && self.buffer.is_empty();
        if clean && self.head.keep_alive {
            upstreams.keep_idle(&self.endpoint, self.stream, &self.head);
        }
    }
}
