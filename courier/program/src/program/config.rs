//! What the platform tells a courier at its start.

use quillmount_core::EndpointList;
use quillmount_operator::problems::{self, Problem};
use quillmount_policy::Policy;
use quillmount_protocol::discovery::{DiscoveryError, List};
use quillmount_settings::{NameTable, SenderSettings, decode_settings};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    #[error("{0} is not set")]
    Missing(&'static str),
    #[error("{path}: {source}")]
    Read { path: String, source: std::io::Error },
    #[error("{path}: {source}")]
    Json { path: String, source: serde_json::Error },
    #[error("{what} {value:?} is no address")]
    Address { what: &'static str, value: String },
    #[error("known: {0}")]
    Known(#[from] DiscoveryError),
    #[error(
        "{path} is another courier's or customer's: {what} differ; put this courier's own file there and send SIGHUP \
         again, or stop it and start it under the new file"
    )]
    NotOurs { path: String, what: &'static str },
}

/// Whose a configuration is: by names, in any order, and by what a repeat may do. Figures may change: they hold from the
/// next start on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigOwner {
    courier: (String, Option<u32>),
    classes: BTreeSet<(String, Option<String>)>,
    tenants: BTreeSet<String>,
    kinds: BTreeSet<String>,
}

impl ConfigOwner {
    fn of(file: &File) -> ConfigOwner {
        let SenderSettings { categories, tenants, skus, sender_index, .. } = &file.settings;
        ConfigOwner {
            courier: (file.name.clone(), *sender_index),
            classes: categories.iter().map(|c| (c.name.clone(), c.effect.clone())).collect(),
            tenants: tenants.iter().map(|t| t.name.clone()).collect(),
            kinds: skus.iter().cloned().collect(),
        }
    }

    /// What sets another's file apart.
    fn differs(&self, other: &ConfigOwner) -> Option<&'static str> {
        [
            (self.courier != other.courier, "its name or number"),
            (self.classes != other.classes, "its classes or their effects"),
            (self.tenants != other.tenants, "its tenants"),
            (self.kinds != other.kinds, "its kinds of partners"),
        ]
        .into_iter()
        .find_map(|(differs, what)| differs.then_some(what))
    }
}

#[derive(Deserialize)]
struct File {
    #[serde(default)]
    name: String,
    listen: Option<String>,
    discovery: Option<String>,
    operator: Option<String>,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: Limits,
    known: Option<List>,
    settings: SenderSettings,
}

impl File {
    fn read(path: &str) -> Result<File, ConfigError> {
        let text = std::fs::read(path).map_err(|source| ConfigError::Read { path: path.into(), source })?;
        serde_json::from_slice(&text).map_err(|source| ConfigError::Json { path: path.into(), source })
    }
}

fn address(what: &'static str, value: Option<String>) -> Result<SocketAddr, ConfigError> {
    let value = value.ok_or(ConfigError::Missing(what))?;
    value.parse().map_err(|_| ConfigError::Address { what, value })
}

fn operator(what: &'static str, value: Option<String>) -> Result<Option<SocketAddr>, ConfigError> {
    value.map(|value| address(what, Some(value))).transpose()
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
    memory_mb: f64,
    disk_mb: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1_024, memory_mb: 192.0, disk_mb: 3.0 }
    }
}

pub struct Config {
    pub path: String,
    /// The file's, whatever name the platform gives.
    pub owner: ConfigOwner,
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// Where operators call; nowhere if neither the file nor `GW_OPERATOR` says.
    pub operator: Option<SocketAddr>,
    pub state: PathBuf,
    pub seed: u64,
    pub sockets: usize,
    pub memory: u64,
    /// Bytes that the files in `state` may take together.
    pub disk: u64,
    pub known: EndpointList,
    pub env: SenderSettings,
}

impl Config {
    /// Reads the file that `GW_CONFIG` names; the other variables go before what it says.
    pub fn load(var: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let path = var("GW_CONFIG").ok_or(ConfigError::Missing("GW_CONFIG"))?;
        let file = File::read(&path)?;
        let owner = ConfigOwner::of(&file);
        let address = |what, value: Option<String>| address(what, var(what).or(value));
        let known = match file.known {
            Some(list) => EndpointList { full: true, ..list.try_into()? },
            None => EndpointList { version: 0, full: true, endpoints: Vec::new() },
        };
        Ok(Config {
            owner,
            path,
            name: var("GW_NAME").unwrap_or(file.name),
            listen: address("GW_LISTEN", file.listen)?,
            discovery: address("GW_DISCOVERY", file.discovery)?,
            operator: operator("GW_OPERATOR", var("GW_OPERATOR").or(file.operator))?,
            state: var("GW_STATE").ok_or(ConfigError::Missing("GW_STATE"))?.into(),
            seed: seed(&file.seed),
            sockets: file.limits.sockets,
            memory: (file.limits.memory_mb.clamp(1.0, 1e6) * 1e6) as u64,
            // A megabyte in the narrower sense: right whichever is meant.
            disk: (file.limits.disk_mb.clamp(0.0, 1e6) * 1e6) as u64,
            known,
            env: file.settings,
        })
    }

    /// All that is wrong with a file, each with its path; variables go before what it says, as at a start.
    pub fn problems(path: &Path, var: impl Fn(&str) -> Option<String>) -> Vec<Problem> {
        let text = match std::fs::read(path) {
            Ok(text) => text,
            Err(e) => return vec![Problem::new("$", e.to_string())],
        };
        let file: File = match problems::read(&text, false) {
            Ok(file) => file,
            Err(problems) => return problems,
        };
        let mut found = Vec::new();
        for (name, field, value) in
            [("GW_LISTEN", "listen", file.listen), ("GW_DISCOVERY", "discovery", file.discovery)]
        {
            if let Err(e) = address(name, var(name).or(value)) {
                found.push(Problem::new(format!("$.{field}"), e.to_string()));
            }
        }
        if let Err(e) = operator("GW_OPERATOR", var("GW_OPERATOR").or(file.operator)) {
            found.push(Problem::new("$.operator", e.to_string()));
        }
        for (n, server) in file.known.into_iter().flat_map(List::entries).enumerate() {
            found.extend(server.err().map(|e| Problem::new(format!("$.known.servers[{n}]"), e.to_string())));
        }
        let sound = decode_settings(&file.settings, &mut NameTable::default());
        let module = sound.and_then(|s| Policy::new(s, 0).map(drop).map_err(|e| e.to_string()));
        found.extend(module.err().map(|e| Problem::new("$.settings", e)));
        found
    }

    /// Where discovery is by the file as it stands now. It has changed since the start, so that it goes
    /// before `GW_DISCOVERY`; a file that does not hold as a whole, or is another's, is not believed in part.
    pub fn discovery_now(path: &str, ours: &ConfigOwner) -> Result<SocketAddr, ConfigError> {
        let file = File::read(path)?;
        if let Some(what) = ours.differs(&ConfigOwner::of(&file)) {
            return Err(ConfigError::NotOurs { path: path.into(), what });
        }
        address("discovery", file.discovery)
    }

    /// How long a connection to an endpoint may take to come up.
    pub fn connect(&self) -> Duration {
        self.span(self.env.limits.dial_timeout_ms, 1_000.0)
    }

    /// When an endpoint closes a connection that stands idle.
    pub fn idle(&self) -> Duration {
        self.span(self.env.limits.keepalive_ms, 5_000.0)
    }

    fn span(&self, ms: Option<f64>, default: f64) -> Duration {
        Duration::from_secs_f64(ms.unwrap_or(default).clamp(1.0, 3.6e6) / 1e3)
    }
}

/// Hexadecimal as the platform writes it; any other text serves too.
fn seed(text: &str) -> u64 {
    u64::from_str_radix(text, 16)
        .unwrap_or_else(|_| text.bytes().fold(7, |h, b| h.wrapping_mul(31).wrapping_add(b.into())))
}
