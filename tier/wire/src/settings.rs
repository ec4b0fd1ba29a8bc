//! The settings file of a process (TOML). Unknown fields are ignored.

use miette::Diagnostic;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt;

/// Why the settings could not be used.
#[derive(Debug)]
pub enum SettingsError {
    /// The variable that names the file is not set.
    NoPath(&'static str),
    /// The file could not be read.
    Unreadable { path: String, source: std::io::Error },
    /// The file is not the settings of a process: the detail names the field.
    Invalid { path: String, detail: String },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::NoPath(variable) => write!(out, "the variable {variable} is not set"),
            SettingsError::Unreadable { path, source } => write!(out, "{path}: {source}"),
            SettingsError::Invalid { path, detail } => write!(out, "{path}: {detail}"),
        }
    }
}

impl std::error::Error for SettingsError {}

impl Diagnostic for SettingsError {
    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        let help = match self {
            SettingsError::NoPath(_) => {
                "start the process with the path of its settings file in that variable"
            }
            SettingsError::Unreadable { .. } => "check that the file exists and may be read by this process",
            SettingsError::Invalid { .. } => "mend the named field; docs/operating.md lists all of them",
        };
        Some(Box::new(help))
    }
}

/// The variable that names the settings file.
pub const PATH_VARIABLE: &str = "QUILLMOUNT_NODE_FILE";

/// Settings of one process.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Settings {
    pub hostname: String,
    pub bind_ip: String,
    #[serde(rename = "Az")]
    pub zone: String,
    #[serde(default)]
    pub region: String,
    /// First and last port for traffic between couriers.
    pub port_range: [u16; 2],
    /// `Admin` addresses of up to three machines.
    #[serde(default, rename = "Peers")]
    pub seeds: Vec<String>,
    /// Only at the first start of the whole system.
    #[serde(default)]
    pub bootstrap: bool,
    #[serde(default)]
    pub counts_for_quorum: bool,
    /// Folder for data; absent or empty on machines without a disk.
    #[serde(default)]
    pub var_dir: Option<String>,
    #[serde(default)]
    pub sockets: Sockets,
    pub limits: MachineLimits,
    #[serde(rename = "Survive")]
    pub fault_tolerance: FaultTolerance,
    pub slo: Bounds,
    #[serde(default)]
    pub cloud_api: Option<CloudApi>,
    /// Zone to region.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
}

/// Addresses for what the role serves.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Sockets {
    pub http: Option<String>,
    pub readyz: Option<String>,
    pub admin: Option<String>,
}

/// What the machine grants the process.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct MachineLimits {
    #[serde(default = "one_core")]
    pub cpu_frac: f64,
    /// MiB; more ends the process.
    pub ram_mb: u64,
    #[serde(rename = "Nofile")]
    pub open_files: u64,
    /// MiB of disk; 0 without one.
    #[serde(default)]
    pub disk_mb: u64,
}

fn one_core() -> f64 {
    1.0
}

/// What may be lost at once while all rules are kept.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename = "Survive", rename_all = "PascalCase")]
pub struct FaultTolerance {
    /// Machines that may be lost at once.
    #[serde(rename = "Boxes")]
    pub machines: usize,
}

/// Bounds that the rules name; those without use here are not read.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct Bounds {
    pub contact_ms: f64,
    pub ack_ms: f64,
    pub drain_ms: f64,
    pub grace_s: f64,
    pub apply_ms: f64,
    pub lease_ms: f64,
    pub report_s: f64,
    pub usage_delay_s: f64,
    pub poll_s: f64,
    pub complete_s: f64,
    pub abort_ms: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            contact_ms: 3000.0,
            ack_ms: 4000.0,
            drain_ms: 3000.0,
            grace_s: 8.0,
            apply_ms: 2000.0,
            lease_ms: 3000.0,
            report_s: 5.0,
            usage_delay_s: 10.0,
            poll_s: 120.0,
            complete_s: 10.0,
            abort_ms: 3000.0,
        }
    }
}

/// The platform's interface.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct CloudApi {
    pub address: String,
    #[serde(default, rename = "Jobs")]
    pub singleton_roles: Vec<String>,
}

impl Settings {
    /// Reads settings from text; `path` is named in errors.
    pub fn parse(text: &str, path: &str) -> Result<Settings, SettingsError> {
        let invalid = |detail: String| SettingsError::Invalid { path: path.to_owned(), detail };
        let settings: Settings = toml::from_str(text).map_err(|error| invalid(error.to_string()))?;
        if settings.port_range[0] > settings.port_range[1] {
            return Err(invalid("PortRange: the first port is above the second".to_owned()));
        }
        if settings.slo.report_s <= 0.0 {
            return Err(invalid("Slo.ReportS: has to be above 0".to_owned()));
        }
        Ok(settings)
    }

    /// Reads the file that [`PATH_VARIABLE`] names.
    pub fn load() -> Result<Settings, SettingsError> {
        let path = std::env::var(PATH_VARIABLE).map_err(|_| SettingsError::NoPath(PATH_VARIABLE))?;
        let text = std::fs::read_to_string(&path)
            .map_err(|source| SettingsError::Unreadable { path: path.clone(), source })?;
        Settings::parse(&text, &path)
    }

    /// The folder for data, if this machine has a disk.
    pub fn data_folder(&self) -> Option<&str> {
        self.var_dir.as_deref().filter(|folder| !folder.is_empty())
    }

    /// Where this process listens for other couriers.
    pub fn internal_address(&self) -> String {
        format!("{}:{}", self.bind_ip, self.port_range[0])
    }

    /// Where the machine with this `Admin` address listens for other couriers: ports are alike everywhere.
    pub fn internal_address_of(&self, admin: &str) -> String {
        let host = admin.rsplit_once(':').map_or(admin, |(host, _)| host);
        format!("{host}:{}", self.port_range[0])
    }
}
