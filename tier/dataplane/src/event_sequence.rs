//! Order of the events of one stream, parts of which different endpoints may send.

use crate::events::{EventReader, EventTooLong, SseEvent};

/// Whether each event must have an `id`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventIds {
    /// An event without `id` is accepted at any position.
    Optional,
    /// An event without `id` is an error, because its position in the stream is unknown.
    Required,
}

/// The reason why no more events of an endpoint can be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SequenceError {
    /// An event is larger than [`MAX_EVENT_BYTES`](crate::events::MAX_EVENT_BYTES).
    #[error(transparent)]
    TooLong(#[from] EventTooLong),
    /// The id of an event is not the successor of the previous one, so the event belongs to another execution of the request.
    #[error(
        "failed to continue the event stream: an event id is missing or does not follow the previous one"
    )]
    OutOfSequence,
}

/// The events found in newly received bytes, and the error after them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReceivedEvents {
    /// Complete events in sequence, continuing the previously returned ones. They are valid even if `fault` is set.
    pub events: Vec<SseEvent>,
    /// The error after these events; the caller discards all further bytes of the endpoint.
    pub fault: Option<SequenceError>,
}

/// Reads the part of a stream that one endpoint sends, and checks that the event ids are consecutive.
#[derive(Clone, Debug)]
pub struct EventSequence {
    reader: EventReader,
    ids: EventIds,
    last_id: Option<u64>,
}

impl EventSequence {
    /// A sequence that continues after the event `last_id`; `None` accepts any first event.
    pub fn resuming_after(last_id: Option<u64>, ids: EventIds) -> EventSequence {
        EventSequence { reader: EventReader::default(), ids, last_id }
    }

    /// Adds received bytes and returns the events that they complete.
    pub fn add(&mut self, bytes: &[u8]) -> ReceivedEvents {
        self.reader.add(bytes);
        let mut received = ReceivedEvents::default();
        loop {
            match self.next_event() {
                Ok(Some(event)) => received.events.push(event),
                Ok(None) => return received,
                Err(fault) => {
                    received.fault = Some(fault);
                    return received;
                }
            }
        }
    }

    /// Id of the last returned event, initially the id after which the sequence resumes.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether all received bytes belong to returned events, so that no partial event is pending.
    pub fn is_between_events(&self) -> bool {
        self.reader.pending_bytes() == 0
    }

    fn next_event(&mut self) -> Result<Option<SseEvent>, SequenceError> {
        let Some(event) = self.reader.next_event()? else { return Ok(None) };
        if !self.is_next(event.id) {
            return Err(SequenceError::OutOfSequence);
        }
        self.last_id = event.id.or(self.last_id);
        Ok(Some(event))
    }

    fn is_next(&self, id: Option<u64>) -> bool {
        match (self.last_id, id) {
            (_, None) => self.ids == EventIds::Optional,
            (None, Some(_)) => true,
            // The largest id has no successor.
            (Some(last), Some(id)) => last.checked_add(1) == Some(id),
        }
    }
}
