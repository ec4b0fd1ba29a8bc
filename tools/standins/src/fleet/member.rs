//! One courier of a fleet: its folder, its files, its ports and its process.

use super::error::FleetError;
use super::process::Process;
use super::setup::FleetSetup;
use crate::config::{self, CONFIG_FILE, OPERATOR_FILE, STATE_FOLDER};
use crate::gate::Port;
use serde_json::Value;
use std::path::{Path, PathBuf};

/// Letters that name the first couriers.
const LETTERS: u8 = 26;

/// The ports of a courier, which it keeps over all restarts.
pub(super) struct MemberPorts {
    pub clients: Port,
    pub operators: Port,
    /// For the other couriers.
    pub peers: Port,
}

/// One courier of a fleet, running or not.
pub(super) struct Member {
    pub name: String,
    /// The folder with its files and its state.
    pub folder: PathBuf,
    pub program: PathBuf,
    pub process: Option<Process>,
    /// How often it has been started.
    pub incarnations: u32,
    pub ports: MemberPorts,
    pub config: Value,
    pub operator: Value,
}

/// The name of a courier: `a` to `z`, then `m26` and so on.
pub(super) fn name(number: usize) -> String {
    match u8::try_from(number) {
        Ok(letter @ 0..LETTERS) => char::from(b'a' + letter).to_string(),
        _ => format!("m{number}"),
    }
}

impl Member {
    /// A courier that is not started, with ports of its own and without its configuration.
    pub fn new(number: usize, root: &Path, setup: &FleetSetup) -> std::io::Result<Member> {
        let name = name(number);
        let ports =
            MemberPorts { clients: Port::reserve()?, operators: Port::reserve()?, peers: Port::reserve()? };
        Ok(Member {
            folder: root.join(&name),
            name,
            program: setup.programs.get(&number).unwrap_or(&setup.program).clone(),
            process: None,
            incarnations: 0,
            ports,
            config: Value::Null,
            operator: setup.operator.clone(),
        })
    }

    /// The folder that survives restarts.
    pub fn state_folder(&self) -> PathBuf {
        self.folder.join(STATE_FOLDER)
    }

    /// Creates the folders, and writes the files.
    pub fn create_files(&self) -> Result<(), FleetError> {
        let state = self.state_folder();
        std::fs::create_dir_all(&state).map_err(|source| FleetError::File { path: state, source })?;
        self.write_files()
    }

    /// Removes all that survives restarts.
    pub fn empty_state_folder(&self) -> Result<(), FleetError> {
        let path = self.state_folder();
        let emptied = std::fs::remove_dir_all(&path).and_then(|()| std::fs::create_dir_all(&path));
        emptied.map_err(|source| FleetError::File { path, source })
    }

    /// Merges changes into the configuration file.
    pub fn configure(&mut self, changes: &Value) -> Result<(), FleetError> {
        config::merge(&mut self.config, changes);
        self.write_files()
    }

    /// Merges changes into the operator file.
    pub fn configure_operator(&mut self, changes: &Value) -> Result<(), FleetError> {
        config::merge(&mut self.operator, changes);
        self.write_files()
    }

    fn write_files(&self) -> Result<(), FleetError> {
        for (file, content) in [(CONFIG_FILE, &self.config), (OPERATOR_FILE, &self.operator)] {
            let path = self.folder.join(file);
            std::fs::write(&path, content.to_string()).map_err(|source| FleetError::File { path, source })?;
        }
        Ok(())
    }

    /// The process, if the courier runs.
    pub fn running(&mut self) -> Result<&mut Process, FleetError> {
        let Member { process, name, .. } = self;
        process.as_mut().ok_or_else(|| FleetError::NotRunning { courier: name.clone() })
    }

    /// The error of a signal to this courier.
    pub fn signal_error(&self, source: std::io::Error) -> FleetError {
        FleetError::Signal { courier: self.name.clone(), source }
    }

    /// The error of a wait for the end of this courier.
    pub fn wait_error(&self, source: std::io::Error) -> FleetError {
        FleetError::Wait { courier: self.name.clone(), source }
    }
}
