//! The events of one stream in their order, of which different endpoints may send different parts.

use crate::events::{EventReader, EventTooLong, SseEvent};

/// Whether each event needs an `id`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventIds {
    /// An event without one is taken as it comes.
    Optional,
    /// An event without one can't be placed: it is a fault.
    Required,
}

/// Why the events of an endpoint can't be read further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SequenceError {
    /// An event is too long.
    #[error(transparent)]
    TooLong(#[from] EventTooLong),
    /// An event does not follow the last one, and so belongs to another run of the request.
    #[error("an event is out of sequence")]
    OutOfSequence,
}

/// What the bytes received so far contain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReceivedEvents {
    /// Complete events that follow one another and the last one before them. They count whether or not a fault comes behind.
    pub events: Vec<SseEvent>,
    /// What is wrong behind them; the endpoint's further bytes are of no use then.
    pub fault: Option<SequenceError>,
}

/// Reads the part of a stream that one endpoint sends, and checks that each event follows the last.
#[derive(Clone, Debug)]
pub struct EventSequence {
    reader: EventReader,
    ids: EventIds,
    last_id: Option<u64>,
}

impl EventSequence {
    /// A sequence that goes on after the event `last_id`, or begins with any event if that is `None`.
    pub fn resuming(last_id: Option<u64>, ids: EventIds) -> EventSequence {
        EventSequence { reader: EventReader::default(), ids, last_id }
    }

    /// Adds received bytes and returns the events that are complete now.
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

    /// Id of the last event that was returned, or that the sequence was resumed after.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether no part of a further event was received.
    pub fn is_between_events(&self) -> bool {
        self.reader.remainder() == 0
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
            // Nothing follows the largest number.
            (Some(last), Some(id)) => last.checked_add(1) == Some(id),
        }
    }
}
