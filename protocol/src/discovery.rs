//! Discovery's lists: whole in the configuration, and line by line on a watch.

use quillmount_core::{Provider, ProviderList};
use serde::Deserialize;
use spurshore_settings::state_of_name;

/// A line longer than this is no list of this platform.
const LINE_MAX: usize = 4 * 1024 * 1024;

#[derive(Debug, thiserror::Error)]
pub enum DiscoveryError {
    #[error("a list that can't be read: {0}")]
    Json(#[from] serde_json::Error),
    #[error("provider {id}: {what}")]
    Entry { id: String, what: String },
    #[error("a line of more than {LINE_MAX} bytes")]
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
    pub fn entries(self) -> impl Iterator<Item = Result<Provider, DiscoveryError>> {
        self.servers.into_iter().map(|s| {
            let entry = |what: String| DiscoveryError::Entry { id: s.id.clone(), what };
            let state = state_of_name(&s.state).map_err(entry)?;
            let addr = s.addr.as_deref().filter(|a| !a.is_empty()).map(str::parse).transpose();
            let addr = addr.map_err(|e| entry(format!("addr {:?}: {e}", s.addr)))?;
            Ok(Provider { addr, state, id: s.id, dest: s.cell, kind: s.kind, zone: s.zone, weight: s.weight })
        })
    }
}

impl TryFrom<List> for ProviderList {
    type Error = DiscoveryError;

    fn try_from(list: List) -> Result<Self, DiscoveryError> {
        let (version, full) = (list.version, list.full);
        Ok(ProviderList { version, full, providers: list.entries().collect::<Result<_, _>>()? })
    }
}

/// Where changes after a version are watched.
pub fn watch_path(after: u64) -> String {
    format!("/api/targets?watch=1&after={after}")
}

/// Puts a watch's chunks together into lines; empty lines only say that the watch lives.
#[derive(Default)]
pub struct Lines {
    rest: Vec<u8>,
}

impl Lines {
    /// The lists that end in this chunk.
    pub fn feed(&mut self, chunk: &[u8]) -> Result<Vec<ProviderList>, DiscoveryError> {
        self.rest.extend_from_slice(chunk);
        let mut lists = Vec::new();
        while let Some(end) = self.rest.iter().position(|b| *b == b'\n') {
            let line: Vec<u8> = self.rest.drain(..=end).collect();
            if !line.trim_ascii().is_empty() {
                let list: List = serde_json::from_slice(&line)?;
                lists.push(list.try_into()?);
            }
        }
        if self.rest.len() > LINE_MAX {
            return Err(DiscoveryError::TooLong);
        }
        Ok(lists)
    }
}
