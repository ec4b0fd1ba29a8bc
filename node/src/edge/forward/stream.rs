//! An answer that is a stream: its events are passed on as they come.

use super::{Attempt, Forward, response_head};
use crate::clock;
use crate::edge::connection::Served;
use crate::http::{Answer, Connection};
use crate::upstream::{BodyPart, UpstreamAnswer};
use quillmount_dataplane::body::{LAST_CHUNK, write_chunk};
use quillmount_dataplane::dispatch::{CallEnd, Placement};
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
    pub(super) async fn stream(
        &mut self,
        connection: &mut Connection,
        placement: &Placement,
        mut answer: UpstreamAnswer,
        sent: u64,
        keep_alive: bool,
    ) -> Attempt {
        let keep_alive = keep_alive && !self.node.stopping.get();
        let mut events = EventReader::default();
        let mut first: Option<FirstEvent> = None;
        let resumed = self.last_event.is_some();
        loop {
            let mut bytes = Vec::new();
            let patience = self.patience();
            let part = tokio::select! {
                part = tokio::time::timeout(patience, answer.read(&mut bytes)) => part,
                () = connection.client_left() => {
                    self.end_stream(placement, CallEnd::Abandoned, first);
                    return Attempt::Done(Served::Abort);
                }
            };
            let Ok(part) = part else {
                let spent = clock::micros().saturating_sub(sent);
                self.end_stream(placement, CallEnd::TimedOut(spent), first);
                return Attempt::Again(Answer::text(504, "the endpoint fell silent"));
            };
            events.add(&bytes);
            let mut out = Vec::new();
            let Ok(any) = self.take_events(&mut events, &mut out) else {
                self.end_stream(placement, CallEnd::Error, first);
                return Attempt::Again(Answer::text(502, "the endpoint sent no events"));
            };
            if any && first.is_none() {
                first = Some(FirstEvent { latency: clock::micros().saturating_sub(sent), resumed });
                self.node.dispatcher.borrow_mut().first_event(placement);
                self.count();
            }
            let whole = part == BodyPart::End && events.remainder() == 0;
            let mut packet = Vec::new();
            if (any || whole) && !self.begun {
                self.begun = true;
                packet = response_head(&answer.head, keep_alive);
                packet.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n");
            }
            write_chunk(&out, &mut packet);
            if whole {
                packet.extend_from_slice(LAST_CHUNK);
            }
            if !packet.is_empty() && connection.write(&packet).await.is_err() {
                self.end_stream(placement, CallEnd::Abandoned, first);
                return Attempt::Done(Served::Abort);
            }
            if whole {
                self.end_stream(placement, CallEnd::Abandoned, first);
                answer.release(&self.node.upstreams);
                return Attempt::Done(if keep_alive { Served::KeepAlive } else { Served::Close });
            }
            if part != BodyPart::More {
                self.end_stream(placement, CallEnd::Lost, first);
                return Attempt::Again(Answer::text(502, "the endpoint broke off"));
            }
        }
    }

    /// Takes whole events; whether there were any.
    fn take_events(&mut self, events: &mut EventReader, out: &mut Vec<u8>) -> Result<bool, ()> {
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

    fn end_stream(&self, placement: &Placement, end: CallEnd, first: Option<FirstEvent>) {
        let end = match (end, first) {
            (CallEnd::Abandoned, Some(FirstEvent { resumed: true, .. })) => CallEnd::Resumed,
            (CallEnd::Abandoned, Some(FirstEvent { latency, .. })) => CallEnd::FirstEvent(latency),
            (end, _) => end,
        };
        self.finish(placement, end, first.is_some());
    }
}
