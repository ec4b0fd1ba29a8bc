//! Event streams (`text/event-stream`; WHATWG HTML, section 9.2 "Server-sent events"): complete events and their ids.

/// Largest size of one event, bytes.
pub const EVENT_LIMIT: usize = 1 << 20;

/// A complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SseEvent {
    /// Its bytes as they were received, with the empty line that ends it.
    pub raw: Vec<u8>,
    /// Its `id` field, if that is a number.
    pub id: Option<u64>,
    /// Its `data` fields, joined by line feeds.
    pub data: Option<String>,
}

/// An event is larger than [`EVENT_LIMIT`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event is larger than {EVENT_LIMIT} bytes")]
pub struct EventTooLong;

/// Splits the bytes of a stream into events.
#[derive(Clone, Debug, Default)]
pub struct EventReader {
    /// Bytes that belong to no returned event.
    pending: Vec<u8>,
    /// How many of the pending bytes are known to contain no end of an event.
    searched: usize,
}

impl EventReader {
    /// Adds received bytes of the stream.
    pub fn add(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// The next complete event, `None` if more bytes are needed.
    ///
    /// # Errors
    /// The event, complete or not, is larger than [`EVENT_LIMIT`]. It stays where it is: the stream can't be read further.
    pub fn next_event(&mut self) -> Result<Option<SseEvent>, EventTooLong> {
        let end = self.event_end();
        if end.unwrap_or(self.pending.len()) > EVENT_LIMIT {
            return Err(EventTooLong);
        }
        let Some(end) = end else {
            // An end of three bytes may have begun in the last two.
            self.searched = self.pending.len().saturating_sub(3);
            return Ok(None);
        };
        let raw: Vec<u8> = self.pending.drain(..end).collect();
        self.searched = 0;
        Ok(Some(parse_event(raw)))
    }

    /// Number of received bytes that belong to an incomplete event.
    pub fn remainder(&self) -> usize {
        self.pending.len()
    }

    /// Offset behind the first complete event, which an empty line ends.
    fn event_end(&self) -> Option<usize> {
        let bytes = &self.pending;
        (self.searched..bytes.len()).find_map(|at| {
            let rest = &bytes[at..];
            if rest.starts_with(b"\n\n") {
                Some(at + 2)
            } else if rest.starts_with(b"\n\r\n") {
                Some(at + 3)
            } else {
                None
            }
        })
    }
}

fn parse_event(raw: Vec<u8>) -> SseEvent {
    let text = String::from_utf8_lossy(&raw);
    let mut id = None;
    let mut data: Option<String> = None;
    for line in text.lines() {
        let Some((field, value)) = line.split_once(':') else { continue };
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => id = value.trim().parse().ok(),
            "data" => append_data(&mut data, value),
            _ => {}
        }
    }
    SseEvent { raw, id, data }
}

fn append_data(data: &mut Option<String>, line: &str) {
    match data {
        Some(data) => {
            data.push('\n');
            data.push_str(line);
        }
        None => *data = Some(line.to_owned()),
    }
}
