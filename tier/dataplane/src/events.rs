//! Parser for event streams (`text/event-stream`; WHATWG HTML, section 9.2 "Server-sent events").

/// Maximum size of one event, bytes.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// A complete server-sent event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SseEvent {
    /// The bytes of the event as received, including the empty line that ends it.
    pub raw: Vec<u8>,
    /// The `id` field, if it is a number.
    pub id: Option<u64>,
    /// The `data` fields, joined by line feeds; `None` if there is no such field.
    pub data: Option<String>,
}

/// An event is larger than [`MAX_EVENT_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("failed to read the event stream: an event is larger than {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

/// Splits the bytes of a stream into events.
#[derive(Clone, Debug, Default)]
pub struct EventReader {
    /// Received bytes after the last returned event.
    pending: Vec<u8>,
    /// Length of the prefix of `pending` that was searched and contains no event end.
    searched_bytes: usize,
}

impl EventReader {
    /// Appends received bytes of the stream.
    pub fn add(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// Returns the next complete event, `None` if more bytes are needed.
    ///
    /// # Errors
    /// The event, complete or not, is larger than [`MAX_EVENT_BYTES`]. It is not skipped, so all further calls fail as well.
    pub fn next_event(&mut self) -> Result<Option<SseEvent>, EventTooLong> {
        let end = self.event_end();
        if end.unwrap_or(self.pending.len()) > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        let Some(end) = end else {
            // The last bytes can be the start of an event end, which is up to three bytes long.
            self.searched_bytes = self.pending.len().saturating_sub(3);
            return Ok(None);
        };
        let raw: Vec<u8> = self.pending.drain(..end).collect();
        self.searched_bytes = 0;
        Ok(Some(parse_event(raw)))
    }

    /// Number of received bytes after the last returned event.
    pub fn pending_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Offset after the first complete event, which ends with an empty line.
    fn event_end(&self) -> Option<usize> {
        let bytes = &self.pending;
        (self.searched_bytes..bytes.len()).find_map(|offset| {
            let rest = &bytes[offset..];
            if rest.starts_with(b"\n\n") {
                Some(offset + 2)
            } else if rest.starts_with(b"\n\r\n") {
                Some(offset + 3)
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
