//! Forwards an event stream: complete events, as they arrive.

use super::head::response_head;
use super::request::{Attempt, AttemptOutcome, ForwardedRequest, unless_disconnected};
use crate::edge::response::ServeOutcome;
use crate::http::{Connection, HttpResponse};
use crate::upstream::{BodyProgress, UpstreamAnswer};
use quillmount_dataplane::body::{LAST_CHUNK, write_chunk};
use quillmount_dataplane::dispatch::CallOutcome;
use quillmount_dataplane::event_sequence::{EventIds, EventSequence, SequenceError};
use quillmount_dataplane::head::ResponseHead;
use quillmount_wire::Micros;
use tokio::time::timeout;

/// The part of a stream that one endpoint sends.
struct EndpointStream {
    events: EventSequence,
    /// Time from the start of the attempt to the first event; `None` before that event.
    first_event: Option<Micros>,
    /// Whether the endpoint continues a stream after an event that the client has.
    resumed: bool,
    keep_alive: bool,
}

/// What one read of an endpoint's stream brought.
struct AcceptedEvents {
    /// Bytes of the complete events.
    content: Vec<u8>,
    /// What is wrong behind them.
    fault: Option<SequenceError>,
}

/// Forwards events until the stream ends or can't be continued at this endpoint.
pub(super) async fn forward(
    request: &mut ForwardedRequest<'_>,
    connection: &mut Connection,
    attempt: &Attempt<'_>,
    mut answer: UpstreamAnswer,
) -> AttemptOutcome {
    let mut stream = EndpointStream {
        events: EventSequence::resuming_after(request.last_event, EventIds::Optional),
        first_event: None,
        resumed: request.last_event.is_some(),
        keep_alive: request.keep_alive() && !request.node.stopping.get(),
    };
    loop {
        let mut bytes = Vec::new();
        let reading = timeout(request.silence_limit(), answer.read(&mut bytes));
        let Some(read) = unless_disconnected(connection, reading).await else {
            stream.finish_without_fault(request, attempt);
            return AttemptOutcome::Done(ServeOutcome::Abort);
        };
        let Ok(progress) = read else {
            stream.finish_with_fault(request, attempt, CallOutcome::TimedOut(attempt.elapsed()));
            return AttemptOutcome::Retry(HttpResponse::text(504, "the endpoint fell silent"));
        };
        let AcceptedEvents { content, fault } = stream.accept(request, attempt, &bytes);
        let complete = fault.is_none() && progress == BodyProgress::End && stream.events.is_between_events();
        let packet = stream.encode(request, &answer.head, &content, complete);
        if !packet.is_empty() && connection.write(&packet).await.is_err() {
            stream.finish_without_fault(request, attempt);
            return AttemptOutcome::Done(ServeOutcome::Abort);
        }
        if let Some(fault) = fault {
            tracing::debug!(endpoint = attempt.reservation.id, %fault, "an endpoint's stream can't be read further");
            stream.finish_with_fault(request, attempt, CallOutcome::Error);
            return AttemptOutcome::Retry(HttpResponse::text(502, "the endpoint sent no events"));
        }
        if complete {
            stream.finish_without_fault(request, attempt);
            answer.release(&request.node.upstreams);
            return AttemptOutcome::Done(ServeOutcome::after_write(Ok(()), stream.keep_alive));
        }
        if progress != BodyProgress::More {
            stream.finish_with_fault(request, attempt, CallOutcome::Lost);
            return AttemptOutcome::broken();
        }
    }
}

impl EndpointStream {
    /// Adds received bytes and returns the events that are complete now. Those before a fault are for the client as well: its
    /// stream is continued after them.
    fn accept(
        &mut self,
        request: &mut ForwardedRequest<'_>,
        attempt: &Attempt<'_>,
        bytes: &[u8],
    ) -> AcceptedEvents {
        let received = self.events.add(bytes);
        request.last_event = self.events.last_id();
        let content: Vec<u8> = received.events.into_iter().flat_map(|event| event.raw).collect();
        if !content.is_empty() && self.first_event.is_none() {
            self.first_event = Some(attempt.elapsed());
            request.node.dispatcher.borrow_mut().first_event(attempt.reservation);
            request.count_usage();
        }
        AcceptedEvents { content, fault: received.fault }
    }

    /// Bytes for the client: the head before the first events, the events as a chunk, and the end of a complete stream.
    fn encode(
        &self,
        request: &mut ForwardedRequest<'_>,
        head: &ResponseHead,
        content: &[u8],
        complete: bool,
    ) -> Vec<u8> {
        let mut packet = Vec::new();
        if (!content.is_empty() || complete) && !request.head_sent {
            request.head_sent = true;
            packet = response_head(head, self.keep_alive);
            packet.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n");
        }
        write_chunk(content, &mut packet);
        if complete {
            packet.extend_from_slice(LAST_CHUNK);
        }
        packet
    }

    /// Reports an attempt whose stream is complete, or whose client has disconnected.
    fn finish_without_fault(&self, request: &ForwardedRequest<'_>, attempt: &Attempt<'_>) {
        let outcome = CallOutcome::from_stream_end(self.first_event, self.resumed);
        request.finish(attempt, outcome, self.first_event.is_some());
    }

    /// Reports an attempt that ended by a fault of its endpoint.
    fn finish_with_fault(&self, request: &ForwardedRequest<'_>, attempt: &Attempt<'_>, fault: CallOutcome) {
        request.finish(attempt, fault, self.first_event.is_some());
    }
}
