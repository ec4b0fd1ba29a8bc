//! Discovery's lists: whole in the configuration, and one after the other on a watch.

use quillmount_core::{EndpointList, EndpointListing};
use quillmount_settings::list_state_from_name;
use serde::Deserialize;
use serde::de::IgnoredAny;

/// What is longer than this, with its indents, is no list of this platform.
pub const LIST_MAX: usize = 4 * 1024 * 1024;
/// So much more of a list that isn't whole yet shows that the watch lives. A list of some hundred endpoints is
/// less: bytes that trickle are no sign of life.
const PROGRESS_BYTES: usize = 64 * 1024;

#[derive(Debug, thiserror::Error)]
pub enum DiscoveryError {
    #[error("a list that can't be read: {0}")]
    Json(#[from] serde_json::Error),
    #[error("a list that begins with {0:?}, where an object should")]
    Start(char),
    #[error("provider {id}: {what}")]
    Entry { id: String, what: String },
    #[error("a list of more than {LIST_MAX} bytes")]
    TooLong,
}

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

impl List {
    /// Each line of it, in its order.
    pub fn entries(self) -> impl Iterator<Item = Result<EndpointListing, DiscoveryError>> {
        self.servers.into_iter().map(|s| {
            let entry = |what: String| DiscoveryError::Entry { id: s.id.clone(), what };
            let state = list_state_from_name(&s.state).map_err(entry)?;
            let addr = s.addr.as_deref().filter(|a| !a.is_empty()).map(str::parse).transpose();
            let addr = addr.map_err(|e| entry(format!("addr {:?}: {e}", s.addr)))?;
            Ok(EndpointListing {
                addr,
                state,
                id: s.id,
                dest: s.cell,
                kind: s.kind,
                zone: s.zone,
                weight: s.weight,
            })
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

/// Where changes after a version are watched.
pub fn watch_path(after: u64) -> String {
    format!("/api/targets?watch=1&after={after}")
}

/// Puts a watch's chunks together into lists, each one JSON object, on one line or indented over many. An
/// empty line between two lists only says that the watch lives.
#[derive(Default)]
pub struct Lists {
    /// A list that has begun.
    rest: Vec<u8>,
}

/// What a chunk said.
#[derive(Debug, Default)]
pub struct ChunkOutcome {
    /// The lists that ended in it.
    pub lists: Vec<EndpointList>,
    /// The watch lives: a list is whole, or an empty line came where none had begun. A list that has begun is no
    /// sign of life: its rest may be missing for good; only one that goes on for long is, by the piece.
    pub alive: bool,
    /// What came behind those lists is none; nothing that follows can be read.
    pub end: Option<DiscoveryError>,
}

impl Lists {
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

    /// Reads what is whole by the last brace of `chunk`, which has come last.
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
