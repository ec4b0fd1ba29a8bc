//! What a courier is started with, and the files that follow from it.

use super::error::CourierError;
use crate::config::{self, CONFIG_FILE, OPERATOR_FILE, STATE_FOLDER};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Any free port on loopback.
const ANY_PORT: &str = "127.0.0.1:0";

/// What a courier is started with.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The program `quillmount`.
    pub program: PathBuf,
    /// The address of the platform.
    pub platform: SocketAddr,
    /// Each endpoint, with its destination.
    pub endpoints: Vec<(u64, SocketAddr)>,
    /// The operator file, if there is one.
    pub operator: Option<Value>,
    /// Calls in flight at most (`settings.family_info.call_slots`).
    pub slots: u32,
    /// Messages pending at most (`settings.limits.open_cap`).
    pub open_cap: u32,
    /// Fields that replace those of the section `limits`, as in `{"sockets": 64}`.
    pub limits: Value,
    /// Descriptors that the process may have (`ulimit -n`); `None`: as many as the test itself.
    pub descriptors: Option<u32>,
    /// Whether the courier listens for operators.
    pub operators: bool,
    /// Merged into the configuration, field by field.
    pub config: Value,
    /// The value of `RUST_LOG`; empty: it is not set, and the operator file decides.
    pub levels: String,
}

impl Setup {
    /// A setup with default settings and limits.
    pub fn new(program: impl Into<PathBuf>, platform: SocketAddr, endpoints: Vec<(u64, SocketAddr)>) -> Self {
        Setup {
            program: program.into(),
            platform,
            endpoints,
            operator: None,
            slots: 8,
            open_cap: 100,
            limits: json!({}),
            descriptors: None,
            operators: false,
            config: json!({}),
            levels: "info".into(),
        }
    }

    /// Creates the folder of a courier, with its files.
    pub(super) fn create_folder(&self, folder: &Path) -> Result<(), CourierError> {
        let state = folder.join(STATE_FOLDER);
        std::fs::create_dir_all(&state).map_err(|source| CourierError::File { path: state, source })?;
        let config = self.configuration().map_err(|source| CourierError::Configuration { source })?;
        write(folder.join(CONFIG_FILE), &config)?;
        match &self.operator {
            Some(operator) => write(folder.join(OPERATOR_FILE), operator),
            None => Ok(()),
        }
    }

    /// The configuration: the example's, with the addresses of the stand-ins and the changes of the setup.
    fn configuration(&self) -> serde_json::Result<Value> {
        let endpoints = self.endpoints.iter().map(|(destination, addr)| {
            config::listed_endpoint(&endpoint_id(*destination, *addr), *addr, *destination)
        });
        let mut config = config::example()?;
        config["known"]["servers"] = endpoints.collect();
        config["listen"] = ANY_PORT.into();
        if self.operators {
            config["operator"] = ANY_PORT.into();
        }
        config["discovery"] = self.platform.to_string().into();
        config["settings"]["family_info"]["call_slots"] = self.slots.into();
        config["settings"]["limits"]["open_cap"] = self.open_cap.into();
        for (name, value) in self.limits.as_object().into_iter().flatten() {
            config["limits"][name] = value.clone();
        }
        config::merge(&mut config, &self.config);
        Ok(config)
    }
}

/// Reads the configuration file of a courier, changes it and writes it.
pub(super) fn change_configuration(
    folder: &Path,
    change: impl FnOnce(&mut Value),
) -> Result<(), CourierError> {
    let path = folder.join(CONFIG_FILE);
    let text = std::fs::read(&path).map_err(|source| CourierError::File { path: path.clone(), source })?;
    let mut config =
        serde_json::from_slice(&text).map_err(|source| CourierError::Configuration { source })?;
    change(&mut config);
    write(path, &config)
}

fn write(path: PathBuf, content: &Value) -> Result<(), CourierError> {
    std::fs::write(&path, content.to_string()).map_err(|source| CourierError::File { path, source })
}

/// The id of an endpoint in the configuration.
pub(super) fn endpoint_id(destination: u64, addr: SocketAddr) -> String {
    format!("partner-{destination}-{}", addr.port())
}
