//! An answer that is a stream: its events are passed on as they come.

use super::{AttemptOutcome, Forward, response_head};
use crate::clock;
use crate::edge::connection::ServeOutcome;
use crate::http::{Connection, HttpResponse};
use crate::upstream::{BodyProgress, UpstreamAnswer};
use quillmount_dataplane::body::{LAST_CHUNK, write_chunk};
use quillmount_dataplane::dispatch::{CallOutcome, Reservation};
use quillmount_dataplane::events::EventReader;

/// The first event of one attempt.
#[derive(Clone, Copy)]
struct FirstEvent {
    /// From the sending of the request, microseconds.
    latency: u64,
    /// The endpoint was asked to go on behind an event.
    resumed: bool,
}

impl Forward<'_> {
    /// Passes events on as they come, each one whole.
    pub(super) async fn forward_stream(
        &mut self,
        connection: &mut Connection,
        reservation: &Reservation,
        mut answer: UpstreamAnswer,
        sent: u64,
        keep_alive: bool,
    ) -> AttemptOutcome {
        let keep_alive = keep_alive && !self.node.stopping.get();
        let mut events = EventReader::default();
        let mut first: Option<FirstEvent> = None;
        let resumed = self.last_event.is_some();
        loop {
            let mut bytes = Vec::new();
            let first_byte_timeout = self.first_byte_timeout();
            let progress = tokio::select! {
                progress = tokio::time::timeout(first_byte_timeout, answer.read(&mut bytes)) => progress,
                () = connection.client_disconnected() => {
                    self.end_stream(reservation, CallOutcome::Abandoned, first);
                    return AttemptOutcome::Done(ServeOutcome::Abort);
                }
            };
            let Ok(progress) = progress else {
                let spent = clock::micros().saturating_sub(sent);
                self.end_stream(reservation, CallOutcome::TimedOut(spent), first);
                return AttemptOutcome::Retry(HttpResponse::text(504, "the endpoint fell silent"));
            };
            events.add(&bytes);
            let mut out = Vec::new();
            let Ok(any) = self.forward_events(&mut events, &mut out) else {
                self.end_stream(reservation, CallOutcome::Error, first);
                return AttemptOutcome::Retry(HttpResponse::text(502, "the endpoint sent no events"));
            };
            if any && first.is_none() {
                first = Some(FirstEvent { latency: clock::micros().saturating_sub(sent), resumed });
                self.node.dispatcher.borrow_mut().first_event(reservation);
                self.count();
            }
            let complete = progress == BodyProgress::End && events.remainder() == 0;
            let mut packet = Vec::new();
            if (any || complete) && !self.begun {
                self.begun = true;
                packet = response_head(&answer.head, keep_alive);
                packet.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n");
            }
            write_chunk(&out, &mut packet);
            if complete {
                packet.extend_from_slice(LAST_CHUNK);
            }
            if !packet.is_empty() && connection.write(&packet).await.is_err() {
                self.end_stream(reservation, CallOutcome::Abandoned, first);
                return AttemptOutcome::Done(ServeOutcome::Abort);
            }
            if complete {
                self.end_stream(reservation, CallOutcome::Abandoned, first);
                answer.release(&self.node.upstreams);
                return AttemptOutcome::Done(if keep_alive {
                    ServeOutcome::KeepAlive
                } else {
                    ServeOutcome::Close
                });
            }
            if progress != BodyProgress::More {
                self.end_stream(reservation, CallOutcome::Lost, first);
                return AttemptOutcome::Retry(HttpResponse::text(502, "the endpoint broke off"));
            }
        }
    }

    /// Takes whole events; whether there were any.
    fn forward_events(&mut self, events: &mut EventReader, out: &mut Vec<u8>) -> Result<bool, ()> {
        let mut any = false;
        while let Some(event) = events.next_event().map_err(|_| ())? {
            // A stream that goes on has to go on where it was left.
            if let (Some(last), Some(id)) = (self.last_event, event.id)
                && id != last + 1
            {
                return Err(());
            }
            any = true;
            self.last_event = event.id.or(self.last_event);
            out.extend_from_slice(&event.raw);
        }
        Ok(any)
    }

    fn end_stream(&self, reservation: &Reservation, end: CallOutcome, first: Option<FirstEvent>) {
        let end = match (end, first) {
            (CallOutcome::Abandoned, Some(FirstEvent { resumed: true, .. })) => CallOutcome::Resumed,
            (CallOutcome::Abandoned, Some(FirstEvent { latency, .. })) => CallOutcome::FirstEvent(latency),
            (end, _) => end,
        };
        self.finish(reservation, end, first.is_some());
    }
}
