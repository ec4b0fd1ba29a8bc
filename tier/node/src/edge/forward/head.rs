//! Heads of forwarded requests and answers, without the headers that apply to one connection only.

use super::request::ForwardedRequest;
use crate::http::reason_phrase;
use quillmount_dataplane::head::{ResponseHead, is_connection_header};
use std::time::Duration;

/// Headers that the courier sets itself; those of the client are dropped.
const OWN_HEADERS: [&str; 6] =
    ["authorization", "tenant", "deadline", "expect-endpoint", "last-event-id", "expect-version"];

/// The head of a request for an endpoint, with the time that is left and the id of the endpoint that should run it.
pub(super) fn request_head(request: &ForwardedRequest<'_>, endpoint: &str, time_left: Duration) -> Vec<u8> {
    let head = &request.client_request.head;
    let mut out = format!("{} {} HTTP/1.1\r\n", head.method, head.target);
    for (name, value) in head.headers.iter() {
        let own = OWN_HEADERS.iter().any(|own| name.eq_ignore_ascii_case(own));
        if !own && !is_connection_header(name, &head.headers) {
            out.push_str(&format!("{name}: {value}\r\n"));
        }
    }
    let deadline_ms = time_left.as_micros() / 1000;
    out.push_str(&format!("Deadline: {deadline_ms}\r\nExpect-Endpoint: {endpoint}\r\n"));
    if let Some(tenant) = request.tenant {
        out.push_str(&format!("Tenant: {tenant}\r\n"));
    }
    if let Some(last_event) = request.last_event {
        out.push_str(&format!("Last-Event-Id: {last_event}\r\n"));
    }
    out.push_str(&format!("Content-Length: {}\r\n\r\n", request.client_request.body.len()));
    out.into_bytes()
}

/// The head of an endpoint's answer for the client. The caller appends the framing of the body and the empty line.
pub(super) fn response_head(head: &ResponseHead, keep_alive: bool) -> Vec<u8> {
    let phrase = if head.reason.is_empty() { reason_phrase(head.status) } else { &head.reason };
    let mut out = format!("HTTP/1.1 {} {}\r\n", head.status, phrase);
    for (name, value) in head.headers.iter() {
        if !is_connection_header(name, &head.headers) {
            out.push_str(&format!("{name}: {value}\r\n"));
        }
    }
    if !keep_alive {
        out.push_str("Connection: close\r\n");
    }
    out.into_bytes()
}
