//! A small client for calls to the platform, each on a connection of its own.

use super::connection::Connection;
use crate::socket;
use quillmount_dataplane::body::BodyReader;
use quillmount_dataplane::head::{ResponseHead, parse_response};
use std::time::Duration;
use tokio::time::timeout;

/// Largest response, bytes.
const RESPONSE_LIMIT: usize = 8 << 20;

/// Sends a request and returns the status and the body of the response; `None` if no complete response arrives within
/// `time_limit`.
pub async fn call(
    address: &str,
    method: &str,
    target: &str,
    headers: &[(&str, String)],
    body: &[u8],
    time_limit: Duration,
) -> Option<(u16, Vec<u8>)> {
    let request = encode_request(address, method, target, headers, body);
    timeout(time_limit, exchange(address, &request)).await.ok().flatten()
}

fn encode_request(
    address: &str,
    method: &str,
    target: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> Vec<u8> {
    let mut head = format!("{method} {target} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

async fn exchange(address: &str, request: &[u8]) -> Option<(u16, Vec<u8>)> {
    let mut connection = Connection::new(socket::connect(address).await?);
    connection.write(request).await.ok()?;
    let head = read_head(&mut connection).await?;
    let body = read_body(&mut connection, &head).await?;
    Some((head.status, body))
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
            return reader.ends_with_connection().then_some(body);
        }
    }
}
