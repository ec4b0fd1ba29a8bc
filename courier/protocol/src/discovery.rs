//! Discovery's endpoint lists: one in the configuration, and a sequence of them on a watch, which is a long response of
//! concatenated JSON objects (`docs/courier.md`). The driver of the watch feeds each chunk to [`ListDecoder`] and applies the lists
//! that are complete; the configuration has a [`List`].

use quillmount_core::{EndpointList, EndpointListing};
use quillmount_settings::{EndpointStateError, endpoint_state_from_name};
use serde::Deserialize;
use serde::de::IgnoredAny;
use std::net::AddrParseError;

/// Bytes of one list at most, white space included.
pub const LIST_MAX: usize = 4 * 1024 * 1024;
/// So many more bytes of an incomplete list show that the watch is alive. A list of some hundred endpoints is
/// shorter: bytes that arrive one by one show nothing.
const PROGRESS_BYTES: usize = 64 * 1024;

/// Why a list can't be used.
#[derive(Debug, thiserror::Error)]
pub enum DiscoveryError {
    /// It is not JSON, or lacks a field.
    #[error("a list that can't be read: {0}")]
    Json(#[from] serde_json::Error),
    /// It begins with this character, where an object should begin.
    #[error("a list that begins with {0:?}, where an object should")]
    Start(char),
    /// One of its entries is wrong.
    #[error("provider {id}: {source}")]
    Entry {
        /// The endpoint's id.
        id: String,
        /// What is wrong with it.
        source: EntryError,
    },
    /// It is longer than [`LIST_MAX`].
    #[error("a list of more than {LIST_MAX} bytes")]
    TooLong,
}

/// Why an entry of a list can't be used.
#[derive(Debug, thiserror::Error)]
pub enum EntryError {
    /// Its state is not known.
    #[error(transparent)]
    State(#[from] EndpointStateError),
    /// Its address is no IP address with a port.
    #[error("addr {text:?}: {source}")]
    Address {
        /// What stands there.
        text: String,
        /// What is wrong with it.
        source: AddrParseError,
    },
}

/// A list as discovery writes it: all endpoints if `full`, else those that have changed.
// Errors of `serde_json` quote the names of the structures, and log lines and `quillmount check` the errors.
#[derive(Deserialize)]
pub struct List {
    version: u64,
    #[serde(default)]
    full: bool,
    #[serde(default)]
    servers: Vec<Server>,
}

#[derive(Deserialize)]
struct Server {
    id: String,
    #[serde(default)]
    addr: Option<String>,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    kind: String,
    #[serde(rename = "cell")]
    dest: u64,
    state: String,
    #[serde(default)]
    weight: f64,
}

impl TryFrom<Server> for EndpointListing {
    type Error = EntryError;

    fn try_from(server: Server) -> Result<Self, EntryError> {
        let state = endpoint_state_from_name(&server.state)?;
        let addr = match server.addr {
            Some(text) if !text.is_empty() => match text.parse() {
                Ok(addr) => Some(addr),
                Err(source) => return Err(EntryError::Address { text, source }),
            },
            _ => None,
        };
        Ok(EndpointListing {
            id: server.id,
            addr,
            dest: server.dest,
            kind: server.kind,
            zone: server.zone,
            weight: server.weight,
            state,
        })
    }
}

impl List {
    /// Its entries in their order, each checked by itself.
    pub fn entries(self) -> impl Iterator<Item = Result<EndpointListing, DiscoveryError>> {
        self.servers.into_iter().map(|server| {
            let id = server.id.clone();
            EndpointListing::try_from(server).map_err(|source| DiscoveryError::Entry { id, source })
        })
    }
}

impl TryFrom<List> for EndpointList {
    type Error = DiscoveryError;

    fn try_from(list: List) -> Result<Self, DiscoveryError> {
        let (version, full) = (list.version, list.full);
        Ok(EndpointList { version, full, endpoints: list.entries().collect::<Result<_, _>>()? })
    }
}

/// The path on which changes after a version are watched.
pub fn watch_path(after: u64) -> String {
    format!("/api/targets?watch=1&after={after}")
}

/// Joins a watch's chunks into lists, each one JSON object, on one line or indented over many. An empty line between two lists
/// only shows that the watch is alive.
#[derive(Default)]
pub struct ListDecoder {
    /// The bytes of a list that has begun and is incomplete.
    rest: Vec<u8>,
}

/// What a chunk added.
#[derive(Debug, Default)]
pub struct ChunkOutcome {
    /// The lists that it completed.
    pub lists: Vec<EndpointList>,
    /// The watch is alive: a list is complete, or an empty line was received between two lists. The start of a list shows
    /// nothing, as its rest may never arrive; a long one counts with each 64 KiB.
    pub alive: bool,
    /// Why the bytes behind those lists are not a list; nothing that follows can be read.
    pub error: Option<DiscoveryError>,
}

impl ListDecoder {
    /// Adds a chunk of the watch's body.
    pub fn feed(&mut self, chunk: &[u8]) -> ChunkOutcome {
        let between = self.rest.is_empty() && !chunk.is_empty() && chunk.trim_ascii().is_empty();
        let progress = self.rest.len() / PROGRESS_BYTES;
        self.rest.extend_from_slice(chunk);
        let has_progressed = self.rest.len() / PROGRESS_BYTES > progress;
        let mut lists = Vec::new();
        let error = self.decode_complete_lists(chunk, &mut lists).err();
        ChunkOutcome { alive: between || has_progressed || !lists.is_empty(), lists, error }
    }

    /// Decodes the lists that are complete by the last brace of `chunk`, the most recent bytes. Those before an error are added
    /// to `lists` too.
    fn decode_complete_lists(
        &mut self,
        chunk: &[u8],
        lists: &mut Vec<EndpointList>,
    ) -> Result<(), DiscoveryError> {
        // Only a brace ends a list. Nothing behind the last one is parsed: an incomplete number would be read as another one.
        if let Some(last) = chunk.iter().rposition(|byte| *byte == b'}') {
            let closed = &self.rest[..=self.rest.len() - chunk.len() + last];
            let mut values = serde_json::Deserializer::from_slice(closed).into_iter::<IgnoredAny>();
            let mut decoded = 0;
            loop {
                match values.next() {
                    Some(Ok(IgnoredAny)) => {
                        let end = values.byte_offset();
                        let list: List = serde_json::from_slice(&closed[decoded..end])?;
                        lists.push(list.try_into()?);
                        decoded = end;
                    }
                    Some(Err(error)) if !error.is_eof() => return Err(error.into()),
                    Some(Err(_)) | None => break,
                }
            }
            self.rest.drain(..decoded);
        }
        match self.rest.trim_ascii_start().first() {
            None => self.rest.clear(),
            Some(b'{') => {}
            Some(other) => return Err(DiscoveryError::Start(char::from(*other))),
        }
        if self.rest.len() > LIST_MAX {
            return Err(DiscoveryError::TooLong);
        }
        Ok(())
    }
}
