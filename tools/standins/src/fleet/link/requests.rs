//! Finds the boundaries of the requests on a connection, and applies the fault of each.

use super::pump_item::PumpItem;
use super::state::ConnectionState;
use crate::fault::{LinkEventKind, RequestFault};
use bytes::{Bytes, BytesMut};

/// Bytes of a request that is stored to be delivered once more; a longer one is not stored.
const CAPTURE_MAX: u64 = 16 * 1024 * 1024;
/// Bytes of a head; couriers send no longer one.
const HEAD_MAX: usize = 64 * 1024;
/// Headers of a head.
const HEADERS_MAX: usize = 64;

/// A request that is to be truncated.
struct Truncation {
    /// Bytes that still pass.
    remaining: usize,
    /// Bytes that have passed.
    passed: usize,
}

/// A request that is stored while it passes.
struct StoredRequest {
    bytes: BytesMut,
    purpose: StorePurpose,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum StorePurpose {
    /// It is delivered once more as soon as it has passed.
    Duplicate,
    /// It is kept for a replay.
    Capture,
}

/// What the bytes received so far are.
enum ParsedHead {
    /// A head without its end.
    Incomplete,
    /// No head of HTTP/1.1.
    NotHttp,
    Complete(RequestHead),
}

struct RequestHead {
    /// Bytes of the head.
    length: usize,
    path: String,
    /// Bytes of the body.
    body: u64,
}

/// The requests of one connection.
#[derive(Default)]
pub(super) struct RequestTracker {
    /// Bytes of a head that is not complete.
    head: BytesMut,
    /// Bytes of the current request's body that have not been received.
    body_remaining: u64,
    truncation: Option<Truncation>,
    stored: Option<StoredRequest>,
    /// The bytes are no HTTP/1.1: all pass unchanged.
    passes_unparsed: bool,
    /// A request was truncated: nothing passes any more.
    ended: bool,
}

impl RequestTracker {
    /// The elements that follow from received bytes.
    pub fn feed(&mut self, mut bytes: Bytes, connection: &ConnectionState) -> Vec<PumpItem> {
        let mut items = Vec::new();
        while !bytes.is_empty() && !self.ended {
            if self.passes_unparsed {
                items.push(PumpItem::Bytes(std::mem::take(&mut bytes)));
            } else if self.body_remaining > 0 {
                let part = bytes.split_to(bytes.len().min(self.body_remaining as usize));
                self.body_remaining -= part.len() as u64;
                self.pass(part, &mut items, connection);
            } else {
                self.head.extend_from_slice(&bytes);
                bytes = self.begin_request(&mut items, connection);
            }
        }
        items
    }

    /// Passes the head if it is complete, and returns the bytes that follow it.
    fn begin_request(&mut self, items: &mut Vec<PumpItem>, connection: &ConnectionState) -> Bytes {
        let request = match parse_head(&self.head) {
            ParsedHead::Complete(request) => request,
            ParsedHead::Incomplete => return Bytes::new(),
            ParsedHead::NotHttp => {
                self.passes_unparsed = true;
                return self.head.split().freeze();
            }
        };
        let head = self.head.split_to(request.length).freeze();
        let rest = self.head.split().freeze();
        self.body_remaining = request.body;
        let fault = connection.shared.take_request_fault(&request.path);
        connection.record_event(LinkEventKind::Request { path: request.path, body: request.body });
        if let Some(fault) = fault {
            self.apply(fault, request.length, items, connection);
        }
        self.pass(head, items, connection);
        rest
    }

    /// Prepares for the fault of the request whose head has been read.
    fn apply(
        &mut self,
        fault: RequestFault,
        head_length: usize,
        items: &mut Vec<PumpItem>,
        connection: &ConnectionState,
    ) {
        match fault {
            RequestFault::CutAt(at) => self.truncate_after(at),
            RequestFault::CutInBody(at) => self.truncate_after(head_length + at),
            RequestFault::Duplicate => self.store(StorePurpose::Duplicate),
            RequestFault::Capture => self.store(StorePurpose::Capture),
            RequestFault::LoseAnswer => connection.drop_answer.set(true),
            RequestFault::Block => {
                items.push(PumpItem::Block(connection.shared.next_blocked()));
                connection.record_event(LinkEventKind::RequestBlocked);
            }
        }
    }

    fn truncate_after(&mut self, bytes: usize) {
        self.truncation = Some(Truncation { remaining: bytes, passed: 0 });
    }

    /// Stores the current request from here on, unless it is too long.
    fn store(&mut self, purpose: StorePurpose) {
        if self.body_remaining < CAPTURE_MAX {
            self.stored = Some(StoredRequest { bytes: BytesMut::new(), purpose });
        }
    }

    /// Passes a part of the current request, which has been subtracted from what remains of it.
    fn pass(&mut self, mut part: Bytes, items: &mut Vec<PumpItem>, connection: &ConnectionState) {
        if let Some(stored) = &mut self.stored {
            stored.bytes.extend_from_slice(&part);
        }
        if let Some(truncation) = &mut self.truncation {
            part.truncate(truncation.remaining);
            truncation.remaining -= part.len();
            truncation.passed += part.len();
            items.push(PumpItem::Bytes(part));
            if truncation.remaining == 0 || self.body_remaining == 0 {
                items.push(PumpItem::Close(truncation.passed));
                self.ended = true;
            }
            return;
        }
        items.push(PumpItem::Bytes(part));
        if self.body_remaining == 0 {
            items.push(PumpItem::End(self.finish_stored(connection)));
        }
    }

    /// Keeps a captured request, and returns one that is to be delivered once more.
    fn finish_stored(&mut self, connection: &ConnectionState) -> Option<Bytes> {
        let StoredRequest { bytes, purpose } = self.stored.take()?;
        match purpose {
            StorePurpose::Duplicate => Some(bytes.freeze()),
            StorePurpose::Capture => {
                connection.shared.captured.replace(Some(bytes.freeze()));
                None
            }
        }
    }
}

fn parse_head(bytes: &[u8]) -> ParsedHead {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut request = httparse::Request::new(&mut headers);
    let length = match request.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if bytes.len() <= HEAD_MAX => return ParsedHead::Incomplete,
        _ => return ParsedHead::NotHttp,
    };
    let path = request.path.unwrap_or_default().to_string();
    let body = content_length(request.headers).unwrap_or(0);
    ParsedHead::Complete(RequestHead { length, path, body })
}

fn content_length(headers: &[httparse::Header]) -> Option<u64> {
    let header = headers.iter().find(|header| header.name.eq_ignore_ascii_case("content-length"))?;
    std::str::from_utf8(header.value).ok()?.trim().parse().ok()
}
