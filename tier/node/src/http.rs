//! HTTP/1.1 on sockets: reading requests, writing own answers, and small calls.

use crate::clock;
use quillmount_dataplane::body::BodyReader;
use quillmount_dataplane::head::{Framing, RequestHead, parse_request, parse_response};
use quillmount_wire::configuration::ClientLimits;
use std::future::Future;
use std::io::ErrorKind;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Bytes read at once.
const READ_BYTES: usize = 16 * 1024;
/// Bytes that a client may send ahead of its answer.
const PIPELINED_LIMIT: usize = 64 * 1024;
/// A client that takes nothing for so long is let go.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes of an answer from the platform at most.
const ANSWER_LIMIT: usize = 8 << 20;

/// Why no request was read.
#[derive(Debug)]
pub enum RequestReadError {
    /// The connection ended between two requests, or broke.
    Closed,
    /// The request is answered with this status, and the connection closed.
    Reject(u16),
}

/// A whole request.
#[derive(Debug)]
pub struct HttpRequest {
    pub head: RequestHead,
    pub body: Vec<u8>,
    /// When its last byte was read, steady clock.
    pub arrived: u64,
}

/// A connection of a client.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        Connection { stream, buffer: Vec::new() }
    }

    async fn fill(&mut self) -> std::io::Result<usize> {
        loop {
            self.stream.readable().await?;
            let mut bytes = [0; READ_BYTES];
            match self.stream.try_read(&mut bytes) {
                Ok(read) => {
                    self.buffer.extend_from_slice(&bytes[..read]);
                    return Ok(read);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// Waits for the first byte of a request.
    pub async fn wait_for_input(&mut self) -> Result<(), RequestReadError> {
        if self.buffer.is_empty() {
            match self.fill().await {
                Ok(0) | Err(_) => return Err(RequestReadError::Closed),
                Ok(_) => {}
            }
        }
        Ok(())
    }

    /// Reads a request whose first byte is here.
    async fn read_request(&mut self, limits: &ClientLimits) -> Result<HttpRequest, RequestReadError> {
        let head = match timeout(clock::millis(limits.head_ms), self.read_head(limits)).await {
            Ok(head) => head?,
            Err(_) => return Err(RequestReadError::Reject(408)),
        };
        if head.headers.has_token("Expect", "100-continue") {
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n").await.map_err(|_| RequestReadError::Closed)?;
        }
        let time = clock::millis(limits.idle_ms);
        let body = self.read_body(head.framing, limits.body_bytes, time).await?;
        Ok(HttpRequest { head, body, arrived: clock::micros() })
    }

    async fn read_head(&mut self, limits: &ClientLimits) -> Result<RequestHead, RequestReadError> {
        loop {
            match parse_request(&self.buffer) {
                Ok(Some((head, length))) => {
                    if length as u64 > limits.head_bytes {
                        return Err(RequestReadError::Reject(431));
                    }
                    self.buffer.drain(..length);
                    return Ok(head);
                }
                Ok(None) if self.buffer.len() as u64 > limits.head_bytes => {
                    return Err(RequestReadError::Reject(431));
                }
                Ok(None) => {}
                Err(_) => return Err(RequestReadError::Reject(400)),
            }
            match self.fill().await {
                Ok(0) | Err(_) => return Err(RequestReadError::Closed),
                Ok(_) => {}
            }
        }
    }

    async fn read_body(
        &mut self,
        framing: Framing,
        limit: u64,
        time: Duration,
    ) -> Result<Vec<u8>, RequestReadError> {
        if let Framing::Length(length) = framing
            && length > limit
        {
            return Err(RequestReadError::Reject(413));
        }
        let mut reader = BodyReader::new(framing);
        let mut body = Vec::new();
        loop {
            reader.read(&mut self.buffer, &mut body).map_err(|_| RequestReadError::Reject(400))?;
            if body.len() as u64 > limit {
                return Err(RequestReadError::Reject(413));
            }
            if reader.is_done() {
                return Ok(body);
            }
            match timeout(time, self.fill()).await {
                Err(_) => return Err(RequestReadError::Reject(408)),
                Ok(Ok(0) | Err(_)) => return Err(RequestReadError::Closed),
                Ok(Ok(_)) => {}
            }
        }
    }

    /// Writes bytes, within a time.
    pub async fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        match timeout(WRITE_TIMEOUT, self.stream.write_all(bytes)).await {
            Ok(written) => written,
            Err(_) => Err(ErrorKind::TimedOut.into()),
        }
    }

    /// Waits until the client has left. What it sends ahead is kept, up to a limit.
    pub async fn client_disconnected(&mut self) {
        while self.buffer.len() < PIPELINED_LIMIT {
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        std::future::pending().await
    }

    /// Reads a request; one that breaks a limit is refused here, and the connection closed. `None`: it can't be used any more.
    pub async fn next_request(&mut self, limits: &ClientLimits) -> Option<HttpRequest> {
        match self.read_request(limits).await {
            Ok(request) => Some(request),
            Err(RequestReadError::Reject(status)) => {
                let _ = self.write(&HttpResponse::text(status, reason_phrase(status)).encode(false)).await;
                self.close_lingering().await;
                None
            }
            Err(_) => None,
        }
    }

    /// Closes after a last answer, so that it is not lost to a reset by bytes that were not read.
    pub async fn close_lingering(&mut self) {
        let _ = self.stream.shutdown().await;
        let drain = async {
            self.buffer.clear();
            while let Ok(read) = self.fill().await {
                if read == 0 {
                    return;
                }
                self.buffer.clear();
            }
        };
        let _ = timeout(Duration::from_millis(500), drain).await;
    }
}

/// An answer of this program's own.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    pub status: u16,
    pub headers: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
}

impl HttpResponse {
    /// An answer with a line of text.
    pub fn text(status: u16, text: &str) -> HttpResponse {
        let headers = vec![("Content-Type", "text/plain".to_owned())];
        HttpResponse { status, headers, body: format!("{text}\n").into_bytes() }
    }

    /// An answer with JSON.
    pub fn json(status: u16, body: String) -> HttpResponse {
        let headers = vec![("Content-Type", "application/json".to_owned())];
        HttpResponse { status, headers, body: body.into_bytes() }
    }

    /// Adds a header.
    pub fn with_header(mut self, name: &'static str, value: String) -> HttpResponse {
        self.headers.push((name, value));
        self
    }

    /// The answer's bytes.
    pub fn encode(&self, keep_alive: bool) -> Vec<u8> {
        let mut out = format!("HTTP/1.1 {} {}\r\n", self.status, reason_phrase(self.status));
        for (name, value) in &self.headers {
            out.push_str(&format!("{name}: {value}\r\n"));
        }
        out.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        out.push_str(if keep_alive { "\r\n" } else { "Connection: close\r\n\r\n" });
        let mut bytes = out.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// The usual words for a status.
pub fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        307 => "Temporary Redirect",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        412 => "Precondition Failed",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}

/// Answers a request; `None` closes the connection without an answer.
pub type HttpService = Rc<dyn Fn(HttpRequest) -> Pin<Box<dyn Future<Output = Option<HttpResponse>>>>>;

/// Serves a small interface (the operator's, readiness) for as long as the process lives.
pub async fn serve(listener: TcpListener, service: HttpService) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                tokio::task::spawn_local(serve_connection(Connection::new(stream), service.clone()));
            }
            Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
}

async fn serve_connection(mut connection: Connection, service: HttpService) {
    let limits = ClientLimits { body_bytes: 16 << 20, ..ClientLimits::default() };
    loop {
        if !matches!(timeout(clock::millis(limits.idle_ms), connection.wait_for_input()).await, Ok(Ok(()))) {
            return;
        }
        let Some(request) = connection.next_request(&limits).await else { return };
        let keep_alive = request.head.keep_alive;
        let Some(answer) = service(request).await else { return };
        if connection.write(&answer.encode(keep_alive)).await.is_err() || !keep_alive {
            return;
        }
    }
}

/// A small call to the platform on a connection of its own. `None`: no whole answer came.
pub async fn call(
    address: &str,
    method: &str,
    target: &str,
    headers: &[(&str, String)],
    body: &[u8],
    time: Duration,
) -> Option<(u16, Vec<u8>)> {
    timeout(time, exchange(address, method, target, headers, body)).await.ok().flatten()
}

async fn exchange(
    address: &str,
    method: &str,
    target: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> Option<(u16, Vec<u8>)> {
    let stream = crate::rpc::connect(address).await?;
    let mut connection = Connection::new(stream);
    let mut head = format!("{method} {target} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    connection.write(&bytes).await.ok()?;
    let (head, length) = loop {
        if let Some(head) = parse_response(&connection.buffer, false).ok()? {
            break head;
        }
        if connection.fill().await.ok()? == 0 || connection.buffer.len() > ANSWER_LIMIT {
            return None;
        }
    };
    connection.buffer.drain(..length);
    let mut reader = BodyReader::new(head.framing);
    let mut answer = Vec::new();
    loop {
        reader.read(&mut connection.buffer, &mut answer).ok()?;
        if reader.is_done() {
            return Some((head.status, answer));
        }
        if answer.len() > ANSWER_LIMIT {
            return None;
        }
        if connection.fill().await.ok()? == 0 {
            return reader.ends_with_connection().then_some((head.status, answer));
        }
    }
}
