//! Discovery's endpoint lists: one in the configuration, and a sequence of them on a watch (a long response of concatenated
//! JSON objects). The caller feeds each chunk of a watch to [`Lists`] and applies the lists that are complete.

use quillmount_core::{EndpointList, EndpointListing};
use quillmount_settings::{EndpointStateError, list_state_from_name};
use serde::Deserialize;
use serde::de::IgnoredAny;
use std::net::AddrParseError;

/// Bytes of one list at most, white space included.
pub const LIST_MAX: usize = 4 * 1024 * 1024;
/// So many bytes more of an incomplete list show that the watch is alive. A list of some hundred endpoints is
/// shorter: a trickle of bytes shows nothing.
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
    #[error("addr {:?}: {source}", Some(.text))]
    Address {
        /// What stands there.
        text: String,
        /// What is wrong with it.
        source: AddrParseError,
    },
}

/// A list as discovery writes it: all endpoints if `full`, else those that have changed.
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
    cell: u64,
    state: String,
    #[serde(default)]
    weight: f64,
}

impl TryFrom<Server> for EndpointListing {
    type Error = EntryError;

    fn try_from(server: Server) -> Result<Self, EntryError> {
        let state = list_state_from_name(&server.state)?;
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
            dest: server.cell,
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

/// Joins a watch's chunks into lists, each one JSON object, on one line or indented over many. An
/// empty line between two lists only shows that the watch is alive.
#[derive(Default)]
pub struct Lists {
    /// The bytes of a list that has begun and is incomplete.
    rest: Vec<u8>,
}

/// What a chunk added.
#[derive(Debug, Default)]
pub struct ChunkOutcome {
    /// The lists that it completed.
    pub lists: Vec<EndpointList>,
    /// The watch is alive: a list is complete, or an empty line came where none had begun. The start of a list shows
    /// nothing, as its rest may never come; a long one counts with each 64 KiB.
    pub alive: bool,
    /// Why what came behind those lists is no list; nothing that follows can be read.
    pub end: Option<DiscoveryError>,
}

impl Lists {
    /// Adds a chunk of the watch's body.
    pub fn feed(&mut self, chunk: &[u8]) -> ChunkOutcome {
        let between = self.rest.is_empty() && !chunk.is_empty() && chunk.trim_ascii().is_empty();
        let mut outcome = ChunkOutcome { lists: Vec::new(), alive: between, end: None };
        let progress = self.rest.len() / PROGRESS_BYTES;
        self.rest.extend_from_slice(chunk);
        outcome.alive |= self.rest.len() / PROGRESS_BYTES > progress;
        outcome.end = self.read(chunk, &mut outcome.lists).err();
        outcome.alive |= !outcome.lists.is_empty();
        outcome
    }

    /// Reads the lists that are complete by the last brace of `chunk`, which has come last.
    fn read(&mut self, chunk: &[u8], lists: &mut Vec<EndpointList>) -> Result<(), DiscoveryError> {
        // Only a brace ends a list; what is read ends in one, since a number that is cut reads as a wrong
        // one.
        if let Some(last) = chunk.iter().rposition(|byte| *byte == b'}') {
            let known = &self.rest[..=self.rest.len() - chunk.len() + last];
            let mut values = serde_json::Deserializer::from_slice(known).into_iter::<IgnoredAny>();
            let mut read = 0;
            loop {
                match values.next() {
                    Some(Ok(IgnoredAny)) => {
                        let end = values.byte_offset();
                        let list: List = serde_json::from_slice(&known[read..end])?;
                        lists.push(list.try_into()?);
                        read = end;
                    }
                    Some(Err(e)) if !e.is_eof() => return Err(e.into()),
                    _ => break,
                }
            }
            self.rest.drain(..read);
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
