//! One request of a client: reads it, and submits its message, answers a health check, or passes a stream's body on.

use super::answer::{Answer, Received};
use super::client::ClientTask;
use super::connections::Connections;
use super::socket::HeadRead;
use crate::transport::courier::Courier;
use crate::transport::streams::{BodyReceiver, StreamRules};
use actix_http::header::{self, HeaderMap};
use actix_http::{ConnectionType, HttpMessage, Method, Request, Response, StatusCode};
use bytes::Bytes;
use quillmount_core::flow::Cut;
use quillmount_core::router::{Intake, OVERLOAD_RETRY_AFTER, StreamEnd};
use quillmount_core::{StreamHead, Submission};
use quillmount_policy::MsgId;
use quillmount_protocol::stream::{self, BodyDecoder, Digest, Framing};
use quillmount_protocol::submission::{self, Head, Malformed};
use std::io;
use std::rc::Rc;

/// The head of a streamed request.
struct StreamRequest {
    framing: Framing,
    head: Head,
    digest: Option<Digest>,
    /// The client waits for `100 Continue`.
    expects_continue: bool,
}

impl StreamRequest {
    fn decode(request: &Request, rules: &StreamRules) -> Result<Self, Malformed> {
        let headers = request.headers();
        let framing = stream::framing(headers)?;
        let head = Head::decode_stream(request.method(), request.path(), headers, rules.longest)?;
        let expects_continue = expects_continue(headers)?;
        match framing {
            Framing::Length(length) if length > rules.largest => Err(Malformed::ExceedsClassLimit),
            _ if !rules.allow(head.class()) => Err(Malformed::ExceedsClassLimit),
            framing => Ok(StreamRequest { framing, head, digest: Digest::of(headers)?, expects_continue }),
        }
    }
}

/// Whether the client waits for `100 Continue` (RFC 9110, section 10.1.1).
fn expects_continue(headers: &HeaderMap) -> Result<bool, Malformed> {
    match headers.get(header::EXPECT) {
        None => Ok(false),
        Some(value) if value.as_bytes().eq_ignore_ascii_case(b"100-continue") => Ok(true),
        Some(_) => Err(Malformed::Expect),
    }
}

/// Reports a stream as lost to its client if it is dropped while armed: its connection ended before the answer.
struct StreamGuard {
    courier: Rc<Courier>,
    armed: Option<MsgId>,
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        if let Some(msg) = self.armed {
            self.courier.stream_lost(msg);
        }
    }
}

impl ClientTask {
    /// Reads one complete request, and acts on it; it has no effect before its last byte has come.
    ///
    /// # Errors
    /// The connection broke.
    pub(super) async fn read_request(&mut self, connections: &Connections) -> io::Result<Received> {
        let request = match self.socket.read_head().await? {
            HeadRead::Request(request) => request,
            HeadRead::Closed => return Ok(Received::Nothing),
            HeadRead::Malformed(why) => return Ok(why.into()),
        };
        if self.is_stream(&request) {
            return Ok(Received::Stream(request));
        }
        let head = match Head::decode(request.method(), request.path(), request.headers()) {
            Err(why) if why.ends_connection() => return Ok(why.into()),
            head => head,
        };
        let length =
            head.as_ref().map_or_else(|_| submission::length(request.headers()), |head| Ok(head.length));
        let length = match length {
            Ok(length) => length,
            Err(why) => return Ok(why.into()),
        };
        let Some(_reservation) = connections.reserve(length as u64) else {
            return Ok(Received::Answered(self.reject_body()));
        };
        let body = match self.socket.read_body(&request, length).await? {
            Ok(body) => body,
            Err(why) => return Ok(why.into()),
        };
        if matches!(request.path(), "/-/ready" | "/-/healthy") {
            return Ok(Received::Probed(answer_probe(&self.courier, &request)));
        }
        Ok(match head {
            Err(why) => why.into(),
            Ok(head) => Received::Answered(self.submit(&request, head.with_body(body)).await),
        })
    }

    /// Whether this request's body is passed on as it comes: where streams are enabled, one in chunks or one that is
    /// larger than an ordinary body may be.
    fn is_stream(&self, request: &Request) -> bool {
        self.courier.rules.is_some()
            && match stream::framing(request.headers()) {
                Ok(Framing::Chunked) => true,
                Ok(Framing::Length(length)) => length > submission::BODY_MAX as u64,
                Err(_) => false,
            }
    }

    /// Too many bytes of bodies are in flight; the connection closes, since this body is not read.
    fn reject_body(&self) -> Response<Bytes> {
        self.courier.count(|counters| counters.rejected += 1);
        let mut response = submission::answer(Intake::Rejected { after: OVERLOAD_RETRY_AFTER });
        response.head_mut().set_connection_type(ConnectionType::Close);
        response
    }

    /// Submits a message, to a settlement if it belongs to one.
    async fn submit(&self, request: &Request, submission: Submission) -> Response<Bytes> {
        if let Some(hooks) = self.courier.settlement_hooks() {
            let addressing = submission::addressing(request.headers());
            if let Some(response) = (hooks.submit)(&submission, addressing) {
                return response.await;
            }
        }
        let intake = self.courier.submit(submission);
        if intake == Intake::Accepted {
            self.courier.wait_until_replicated().await;
        }
        submission::answer(intake)
    }

    /// Passes a request's body on as it comes; returns the final answer, with the message that it ends.
    pub(super) async fn receive_stream(&mut self, request: &Request, connections: &Connections) -> Answer {
        let courier = self.courier.clone();
        let decoded = match &courier.rules {
            Some(rules) => StreamRequest::decode(request, rules).map(|decoded| (decoded, rules)),
            None => Err(Malformed::Length),
        };
        let (StreamRequest { framing, head, digest, expects_continue }, rules) = match decoded {
            Ok(decoded) => decoded,
            Err(why) => {
                courier.count(|counters| counters.malformed += 1);
                connections.log_malformed(why);
                return submission::refuse(why).into();
            }
        };
        let length = match framing {
            Framing::Length(length) => Some(length),
            Framing::Chunked => None,
        };
        let stream_head = StreamHead { length, digest: stream::digest_text(request.headers()) };
        let pipe = match courier.submit_stream(head.with_body(Bytes::new()), stream_head, rules) {
            Ok(pipe) => pipe,
            Err(intake) => return submission::answer(intake).into(),
        };
        connections.mark_streaming(self.registration.number);
        let mut guard = StreamGuard { courier: courier.clone(), armed: Some(pipe.msg) };
        let receiver = BodyReceiver {
            stream: &mut self.socket.stream,
            buf: &mut self.socket.buf,
            handle: &courier.handle,
            pipe: &pipe,
            body: BodyDecoder::new(framing, rules.largest),
            digest,
            expects_continue,
        };
        let end = receiver.receive(|why| courier.stream_fails(&pipe, why)).await;
        if end == StreamEnd::Cut(Cut::Gone) {
            // What is written to the client now is lost, though the socket may take it: the platform is notified.
            return stream::answer(end).into();
        }
        // From here on whoever writes the answer reports what came of it.
        guard.armed = None;
        Answer { response: stream::answer(end), stream: Some(pipe.msg) }
    }
}

/// The answer to a health check: whether this process is alive, or serves.
fn answer_probe(courier: &Courier, request: &Request) -> Response<Bytes> {
    let serving = courier.accepts_clients() || request.path() == "/-/healthy";
    match (request.method(), serving) {
        (&Method::GET | &Method::HEAD, true) => submission::plain(StatusCode::OK, "ready\n"),
        (&Method::GET | &Method::HEAD, false) => {
            let fleet = courier.gate.as_ref().and_then(|gate| gate.closed());
            submission::plain(StatusCode::SERVICE_UNAVAILABLE, fleet.unwrap_or("not ready\n"))
        }
        _ => submission::refuse(Malformed::Method),
    }
}
