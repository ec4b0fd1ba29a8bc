//! Endpoint lists of service discovery. The configuration contains one [`List`]; a watch delivers a sequence of
//! them in one long response of concatenated JSON objects (`docs/courier.md`). The driver of the watch feeds each
//! chunk to [`ListDecoder`] and applies the complete lists.

use quillmount_core::{EndpointList, EndpointListing};
use quillmount_settings::{EndpointStateError, endpoint_state_from_name};
use serde::Deserialize;
use serde::de::IgnoredAny;
use std::net::AddrParseError;

/// Maximum length of one list in bytes, white space included.
pub const LIST_MAX: usize = 4 * 1024 * 1024;
/// Each time an incomplete list grows by this many bytes, the watch counts as alive. A list of a few hundred
/// endpoints is shorter, so a server that trickles single bytes does not keep its watch alive.
const PROGRESS_BYTES: usize = 64 * 1024;

/// Why an endpoint list is rejected. Logged by the driver of the watch and printed by `quillmount check`.
#[derive(Debug, thiserror::Error)]
pub enum DiscoveryError {
    /// The list is not valid JSON, or a field is missing or has the wrong type.
    #[error("cannot parse the endpoint list; check the JSON that discovery sends: {0}")]
    Json(#[from] serde_json::Error),
    /// The list begins with this character instead of the `{` of a JSON object.
    #[error("the endpoint list begins with {0:?}; discovery has to send JSON objects")]
    Start(char),
    /// An entry has an invalid field.
    #[error("invalid entry for endpoint {id} in the list: {source}")]
    Entry {
        /// The endpoint's id, as the entry gives it.
        id: String,
        /// The reason for which the entry is rejected.
        source: EntryError,
    },
    /// The list exceeds [`LIST_MAX`].
    #[error("the endpoint list exceeds {LIST_MAX} bytes; discovery has to send a shorter one")]
    TooLong,
}

/// Why an entry of an endpoint list is rejected.
#[derive(Debug, thiserror::Error)]
pub enum EntryError {
    /// The state is none of the endpoint states that the settings define.
    #[error(transparent)]
    State(#[from] EndpointStateError),
    /// The address is not an IP address with a port.
    #[error("addr {text:?} is not an IP address with a port: {source}")]
    Address {
        /// The value of `addr` in the entry.
        text: String,
        /// The error of the address parser.
        source: AddrParseError,
    },
}

/// A list in the JSON form that discovery sends: all endpoints if `full`, otherwise only the changed ones.
// Errors of `serde_json` contain the names of these structs, and appear in log lines and in the output of
// `quillmount check`.
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
    /// Converts the entries in list order. Each is validated independently of the others.
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

/// The path of a watch that reports the changes after version `after`.
pub fn watch_path(after: u64) -> String {
    format!("/api/targets?watch=1&after={after}")
}

/// Decodes the chunks of a watch into lists. Each list is one JSON object, on a single line or indented over
/// several. An empty line between two lists is a keep-alive.
#[derive(Default)]
pub struct ListDecoder {
    /// The bytes of an incomplete list.
    incomplete: Vec<u8>,
}

/// The result of decoding one chunk.
#[derive(Debug, Default)]
pub struct ChunkOutcome {
    /// The lists that the chunk completes, in order.
    pub lists: Vec<EndpointList>,
    /// Whether the chunk shows that the watch is alive: it completes a list, is a keep-alive line between two
    /// lists, or takes an incomplete list past a multiple of 64 KiB. The start of a list does not count, as the
    /// remainder may never arrive.
    pub alive: bool,
    /// Why the bytes after `lists` are not a list. The remainder of the watch cannot be decoded.
    pub error: Option<DiscoveryError>,
}

impl ListDecoder {
    /// Decodes the next chunk of the watch's response body.
    pub fn feed(&mut self, chunk: &[u8]) -> ChunkOutcome {
        let is_keep_alive = self.incomplete.is_empty() && !chunk.is_empty() && chunk.trim_ascii().is_empty();
        let steps_before = self.incomplete.len() / PROGRESS_BYTES;
        self.incomplete.extend_from_slice(chunk);
        let has_progressed = self.incomplete.len() / PROGRESS_BYTES > steps_before;
        let mut lists = Vec::new();
        let error = self.decode_complete_lists(chunk, &mut lists).err();
        ChunkOutcome { alive: is_keep_alive || has_progressed || !lists.is_empty(), lists, error }
    }

    /// Decodes the lists that end at or before the last closing brace of `chunk`, the most recently received bytes.
    /// Lists that precede an error are added to `lists` too.
    fn decode_complete_lists(
        &mut self,
        chunk: &[u8],
        lists: &mut Vec<EndpointList>,
    ) -> Result<(), DiscoveryError> {
        // Only a closing brace ends a list. Bytes after the last one are not parsed: a truncated number would
        // decode to a wrong value.
        if let Some(last_brace) = chunk.iter().rposition(|byte| *byte == b'}') {
            let up_to_brace = &self.incomplete[..=self.incomplete.len() - chunk.len() + last_brace];
            let mut values = serde_json::Deserializer::from_slice(up_to_brace).into_iter::<IgnoredAny>();
            let mut decoded_length = 0;
            loop {
                match values.next() {
                    Some(Ok(IgnoredAny)) => {
                        let end = values.byte_offset();
                        let list: List = serde_json::from_slice(&up_to_brace[decoded_length..end])?;
                        lists.push(list.try_into()?);
                        decoded_length = end;
                    }
                    Some(Err(error)) if !error.is_eof() => return Err(error.into()),
                    Some(Err(_)) | None => break,
                }
            }
            self.incomplete.drain(..decoded_length);
        }
        match self.incomplete.trim_ascii_start().first() {
            None => self.incomplete.clear(),
            Some(b'{') => {}
            Some(other) => return Err(DiscoveryError::Start(char::from(*other))),
        }
        if self.incomplete.len() > LIST_MAX {
            return Err(DiscoveryError::TooLong);
        }
        Ok(())
    }
}
