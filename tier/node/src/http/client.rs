//! A small client for calls to the platform, each on a connection of its own.

use super::connection::Connection;
use crate::socket;
use quillmount_dataplane::body::BodyReader;
use quillmount_dataplane::head::{ResponseHead, parse_response};
use std::time::Duration;
use tokio::time::timeout;

/// Largest response, bytes.
const RESPONSE_LIMIT: usize = 8 << 20;

/// A request of this program.
#[derive(Clone, Copy, Debug)]
pub struct ClientRequest<'a> {
    /// Method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Headers without those that name the host or frame the body.
    pub headers: &'a [(&'a str, String)],
    /// Content of the body.
    pub body: &'a [u8],
}

/// The complete response to a [`ClientRequest`].
#[derive(Clone, Debug)]
pub struct ClientResponse {
    /// Status code.
    pub status: u16,
    /// Content of the body.
    pub body: Vec<u8>,
}

impl<'a> ClientRequest<'a> {
    /// A `GET` request without headers of its own.
    pub fn get(target: &'a str) -> ClientRequest<'a> {
        ClientRequest { method: "GET", target, headers: &[], body: &[] }
    }

    /// The request as it is sent to `host`, head and body.
    fn encode(&self, host: &str) -> Vec<u8> {
        let ClientRequest { method, target, headers, body } = self;
        let mut head = format!("{method} {target} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n");
        for (name, value) in *headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        bytes
    }
}

/// Sends a request to an address and returns the response; `None` if no complete one arrives within `time_limit`.
pub async fn call(address: &str, request: ClientRequest<'_>, time_limit: Duration) -> Option<ClientResponse> {
    timeout(time_limit, exchange(address, &request.encode(address))).await.ok().flatten()
}

async fn exchange(address: &str, request: &[u8]) -> Option<ClientResponse> {
    let mut connection = Connection::new(socket::connect(address).await?);
    connection.write(request).await.ok()?;
    let head = read_head(&mut connection).await?;
    let body = read_body(&mut connection, &head).await?;
    Some(ClientResponse { status: head.status, body })
}

async fn read_head(connection: &mut Connection) -> Option<ResponseHead> {
    loop {
        if let Some((head, length)) = parse_response(&connection.buffer, false).ok()? {
            connection.buffer.drain(..length);
            return Some(head);
        }
        if connection.fill().await.ok()? == 0 || connection.buffer.len() > RESPONSE_LIMIT {
            return None;
        }
    }
}

async fn read_body(connection: &mut Connection, head: &ResponseHead) -> Option<Vec<u8>> {
    let mut reader = BodyReader::new(head.framing);
    let mut body = Vec::new();
    loop {
        reader.read(&mut connection.buffer, &mut body).ok()?;
        if reader.is_done() {
            return Some(body);
        }
        if body.len() > RESPONSE_LIMIT {
            return None;
        }
        if connection.fill().await.ok()? == 0 {
            return reader.is_close_delimited().then_some(body);
        }
    }
}
