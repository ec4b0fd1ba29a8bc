//! The settings file of a process (TOML). It is read at the start of the process and again when the seeds are reloaded. Unknown
//! fields are ignored, because the deployment writes more fields than this program uses. Some names in the file differ from the names
//! of the fields here.

use crate::ranges::{COUNT, DURATION_MS, DURATION_S, OutOfRange, QUANTITY};
use miette::Diagnostic;
use serde::Deserialize;
use std::collections::BTreeMap;

/// Reasons why the settings can't be used. Each message includes its cause, so the variants have no
/// [`source`](std::error::Error::source): the cause would be printed twice.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum SettingsError {
    /// The environment variable that names the file is not set.
    #[error("the environment variable {0} is not set")]
    #[diagnostic(help("set the variable to the path of the settings file of the process"))]
    NoPath(&'static str),
    /// The file could not be read.
    #[error("failed to read the settings file {path}: {cause}")]
    #[diagnostic(help("check that the file exists and that the process has permission to read it"))]
    Unreadable {
        /// Path of the file.
        path: String,
        /// Error that the operating system reported.
        cause: std::io::Error,
    },
    /// The file does not contain valid settings.
    #[error("{path}: {detail}")]
    #[diagnostic(help("correct the named field; docs/operating.md lists all of them"))]
    Invalid {
        /// Path of the file.
        path: String,
        /// Name of the field and the reason why its value is invalid.
        detail: String,
    },
}

/// Environment variable with the path of the settings file.
pub const PATH_VARIABLE: &str = "QUILLMOUNT_NODE_FILE";

/// Settings of one process.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Settings {
    /// Name of the machine.
    pub hostname: String,
    /// Address on which the process listens for other processes.
    pub bind_ip: String,
    /// Availability zone.
    #[serde(rename = "Az")]
    pub zone: String,
    /// Region; empty if not given.
    #[serde(default)]
    pub region: String,
    /// First and last port for traffic between processes; only the first one is used.
    pub port_range: [u16; 2],
    /// Addresses of the operator interface (`Admin`) of up to three machines that the process contacts first.
    #[serde(default, rename = "Peers")]
    pub seeds: Vec<String>,
    /// Whether the process takes part in the first start of the system.
    #[serde(default)]
    pub bootstrap: bool,
    /// Whether the machine is one of those that [`FaultTolerance::machines`] counts. The other machines may fail in any number,
    /// because they are not members of the core and store no batch jobs.
    #[serde(default = "default_counts_for_quorum")]
    pub counts_for_quorum: bool,
    /// Folder for data; absent or empty on machines without a disk.
    #[serde(default)]
    pub var_dir: Option<String>,
    /// Addresses that the process listens on.
    #[serde(default)]
    pub sockets: Sockets,
    /// Resources that the process may use.
    pub limits: MachineLimits,
    /// Failures that the system has to tolerate.
    #[serde(rename = "Survive")]
    pub fault_tolerance: FaultTolerance,
    /// Time limits of the service.
    pub slo: SloSettings,
    /// Interface of the platform; `None` if the deployment has no platform.
    #[serde(default)]
    pub cloud_api: Option<CloudApi>,
    /// Region of each zone.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
}

/// Addresses that the process listens on; which of them are set depends on its role.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Sockets {
    /// Address for requests of clients.
    pub http: Option<String>,
    /// Address for readiness checks.
    pub readyz: Option<String>,
    /// Address of the operator interface.
    pub admin: Option<String>,
}

/// Resources that the machine gives to the process.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct MachineLimits {
    /// Processor time, in cores.
    #[serde(default = "default_cpu_cores")]
    pub cpu_frac: f64,
    /// Memory, megabytes; the process is killed if it uses more.
    pub ram_mb: u64,
    /// Largest number of open files and sockets.
    #[serde(rename = "Nofile")]
    pub max_open_files: u64,
    /// Bandwidth of the machine's network link, megabits per second; `None` if unknown.
    #[serde(default)]
    pub nic_mbps: Option<f64>,
    /// Disk space, megabytes; 0 if the machine has no disk.
    #[serde(default)]
    pub disk_mb: u64,
}

fn default_counts_for_quorum() -> bool {
    true
}

fn default_cpu_cores() -> f64 {
    1.0
}

/// Failures that the system tolerates without losing data.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename = "Survive", rename_all = "PascalCase")]
pub struct FaultTolerance {
    /// Number of machines that may fail at the same time.
    #[serde(rename = "Boxes")]
    pub machines: usize,
}

/// Time limits of the service, in milliseconds (`_ms`) or seconds (`_s`).
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct SloSettings {
    /// Time for which a machine has to be in contact with the system before the other limits apply to it.
    pub contact_ms: f64,
    /// Time within which a change by the operator has to be acknowledged.
    pub ack_ms: f64,
    /// Time after an endpoint was marked as draining in which it may still receive requests.
    pub drain_ms: f64,
    /// Time from the shutdown signal until the process has to exit.
    pub grace_s: f64,
    /// Time from the acknowledgement of a configuration until every process has to use it.
    pub apply_ms: f64,
    /// Time that a new primary waits before it acts in a singleton role of the previous primary.
    pub lease_ms: f64,
    /// Length of a usage window.
    pub report_s: f64,
    /// Time after the end of a usage window at which its report is final.
    pub usage_delay_s: f64,
    /// Time for which the results of a finished job can be read.
    pub poll_s: f64,
    /// Time that batch jobs have to complete after the last traffic.
    pub complete_s: f64,
    /// Time after a cancellation after which no endpoint may receive the item. Not used, because a cancellation takes effect at once.
    pub abort_ms: f64,
}

impl Default for SloSettings {
    fn default() -> Self {
        SloSettings {
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

impl SloSettings {
    fn check_numbers(&self) -> Result<(), OutOfRange> {
        DURATION_MS.check("Slo.ContactMs", self.contact_ms)?;
        DURATION_MS.check("Slo.AckMs", self.ack_ms)?;
        DURATION_MS.check("Slo.DrainMs", self.drain_ms)?;
        DURATION_S.check("Slo.GraceS", self.grace_s)?;
        DURATION_MS.check("Slo.ApplyMs", self.apply_ms)?;
        DURATION_MS.check("Slo.LeaseMs", self.lease_ms)?;
        DURATION_S.check("Slo.ReportS", self.report_s)?;
        DURATION_S.check("Slo.UsageDelayS", self.usage_delay_s)?;
        DURATION_S.check("Slo.PollS", self.poll_s)?;
        DURATION_S.check("Slo.CompleteS", self.complete_s)?;
        DURATION_MS.check("Slo.AbortMs", self.abort_ms)
    }
}

/// The platform's interface.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct CloudApi {
    /// Address of the interface.
    pub address: String,
    /// Names of the singleton roles, which one process at a time performs for the platform.
    #[serde(default, rename = "Jobs")]
    pub singleton_roles: Vec<String>,
}

impl Settings {
    /// Parses settings; `path` is the path of the file for error messages.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Invalid`] if the text is not TOML, or a field is missing or has no valid value.
    pub fn parse(text: &str, path: &str) -> Result<Settings, SettingsError> {
        let invalid = |detail: String| SettingsError::Invalid { path: path.to_owned(), detail };
        let settings: Settings = toml::from_str(text).map_err(|error| invalid(error.to_string()))?;
        if settings.port_range[0] > settings.port_range[1] {
            return Err(invalid("PortRange: the first port is above the second".to_owned()));
        }
        settings.check_numbers().map_err(|error| invalid(error.to_string()))?;
        if settings.slo.report_s == 0.0 {
            return Err(invalid("Slo.ReportS: has to be above 0".to_owned()));
        }
        Ok(settings)
    }

    /// Checks that every number is within its range.
    fn check_numbers(&self) -> Result<(), OutOfRange> {
        COUNT.check("Survive.Boxes", self.fault_tolerance.machines as f64)?;
        QUANTITY.check("Limits.CpuFrac", self.limits.cpu_frac)?;
        QUANTITY.check("Limits.RamMb", self.limits.ram_mb as f64)?;
        QUANTITY.check("Limits.DiskMb", self.limits.disk_mb as f64)?;
        self.slo.check_numbers()
    }

    /// Reads the file that [`PATH_VARIABLE`] names.
    ///
    /// # Errors
    ///
    /// [`SettingsError::NoPath`] if the variable is not set, [`SettingsError::Unreadable`] if the file can't be read, and
    /// [`SettingsError::Invalid`] as for [`Settings::parse`].
    pub fn load() -> Result<Settings, SettingsError> {
        let path = std::env::var(PATH_VARIABLE).map_err(|_| SettingsError::NoPath(PATH_VARIABLE))?;
        let text = std::fs::read_to_string(&path)
            .map_err(|cause| SettingsError::Unreadable { path: path.clone(), cause })?;
        Settings::parse(&text, &path)
    }

    /// Returns the folder for data; `None` if the machine has no disk.
    pub fn data_folder(&self) -> Option<&str> {
        self.var_dir.as_deref().filter(|folder| !folder.is_empty())
    }

    /// Returns the address on which this process listens for other processes.
    pub fn internal_address(&self) -> String {
        format!("{}:{}", self.bind_ip, self.port_range[0])
    }

    /// Returns the address on which the machine with the operator interface `admin` listens for other processes. The port is the
    /// same on all machines.
    pub fn internal_address_of(&self, admin: &str) -> String {
        let host = admin.rsplit_once(':').map_or(admin, |(host, _)| host);
        format!("{host}:{}", self.port_range[0])
    }
}
