//! Event streams (`text/event-stream`): whole events and their ids.

/// Largest event, bytes: a longer one is spoilt.
pub const EVENT_LIMIT: usize = 1 << 20;

/// A whole event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SseEvent {
    /// Its bytes as they came, the empty line included.
    pub raw: Vec<u8>,
    pub id: Option<u64>,
    /// Lines of data, joined by line feeds.
    pub data: Option<String>,
}

/// Cuts a stream into events.
#[derive(Clone, Debug, Default)]
pub struct EventReader {
    pending: Vec<u8>,
    searched: usize,
}

/// The stream holds an event that is too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLong;

impl EventReader {
    /// Adds bytes of the stream.
    pub fn add(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Result<Option<SseEvent>, EventTooLong> {
        let Some(end) = self.event_end() else {
            self.searched = self.pending.len().saturating_sub(3);
            return if self.pending.len() > EVENT_LIMIT { Err(EventTooLong) } else { Ok(None) };
        };
        let raw: Vec<u8> = self.pending.drain(..end).collect();
        self.searched = 0;
        Ok(Some(parse(raw)))
    }

    /// Bytes of an event that is not whole.
    pub fn remainder(&self) -> usize {
        self.pending.len()
    }

    /// Where the first whole event ends: behind an empty line.
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

fn parse(raw: Vec<u8>) -> SseEvent {
    let text = String::from_utf8_lossy(&raw);
    let mut id = None;
    let mut data: Option<String> = None;
    for line in text.lines() {
        let Some((field, value)) = line.split_once(':') else { continue };
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => id = value.trim().parse().ok(),
            "data" => match &mut data {
                Some(data) => {
                    data.push('\n');
                    data.push_str(value);
                }
                None => data = Some(value.to_owned()),
            },
            _ => {}
        }
    }
    SseEvent { raw, id, data }
}
