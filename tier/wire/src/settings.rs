//! The settings file of a process (TOML), read at the start and again when the seeds are looked up again. Unknown fields are ignored:
//! the deployment writes more than is used here. Names in the file differ from those of the fields here in places.

use crate::ranges::{COUNT, OutOfRange, QUANTITY, SPAN_MS, SPAN_S};
use miette::Diagnostic;
use serde::Deserialize;
use std::collections::BTreeMap;

/// Why the settings could not be used. The texts include the cause, which is why no variant has a source: it would be shown twice.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum SettingsError {
    /// The environment variable that names the file is not set.
    #[error("the variable {0} is not set")]
    #[diagnostic(help("start the process with the path of its settings file in that variable"))]
    NoPath(&'static str),
    /// The file could not be read.
    #[error("{path}: {cause}")]
    #[diagnostic(help("check that the file exists and may be read by this process"))]
    Unreadable {
        /// Path of the file.
        path: String,
        /// What the operating system reported.
        cause: std::io::Error,
    },
    /// The file does not contain valid settings.
    #[error("{path}: {detail}")]
    #[diagnostic(help("mend the named field; docs/operating.md lists all of them"))]
    Invalid {
        /// Path of the file.
        path: String,
        /// What is wrong, with the name of the field.
        detail: String,
    },
}

/// The environment variable that names the settings file.
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
    /// First and last port for traffic between processes; the first one is used.
    pub port_range: [u16; 2],
    /// Addresses of the operator interface (`Admin`) of up to three machines, to contact first.
    #[serde(default, rename = "Peers")]
    pub seeds: Vec<String>,
    /// The process takes part in the first start of the system.
    #[serde(default)]
    pub bootstrap: bool,
    /// The machine is one of those that [`FaultTolerance::machines`] counts. Any number of others may be lost at once: they are no
    /// members of the core and hold no batch jobs.
    #[serde(default = "counts")]
    pub counts_for_quorum: bool,
    /// Folder for data; absent or empty on machines without a disk.
    #[serde(default)]
    pub var_dir: Option<String>,
    /// Addresses that the process serves.
    #[serde(default)]
    pub sockets: Sockets,
    /// Resources of the process.
    pub limits: MachineLimits,
    /// Failures to be tolerated.
    #[serde(rename = "Survive")]
    pub fault_tolerance: FaultTolerance,
    /// Time limits of the service.
    pub slo: Bounds,
    /// The platform's interface, if there is one.
    #[serde(default)]
    pub cloud_api: Option<CloudApi>,
    /// Region of each zone.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
}

/// Addresses that the process serves; which ones depends on its role.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Sockets {
    /// Requests of clients.
    pub http: Option<String>,
    /// Readiness checks.
    pub readyz: Option<String>,
    /// The operator interface.
    pub admin: Option<String>,
}

/// Resources that the machine gives to the process.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct MachineLimits {
    /// Share of the processor, in cores.
    #[serde(default = "one_core")]
    pub cpu_frac: f64,
    /// Memory, megabytes; the process is ended above it.
    pub ram_mb: u64,
    /// Largest number of open files and sockets.
    #[serde(rename = "Nofile")]
    pub open_files: u64,
    /// Rate of the machine's link, megabits per second.
    #[serde(default)]
    pub nic_mbps: Option<f64>,
    /// Disk, megabytes; 0 without one.
    #[serde(default)]
    pub disk_mb: u64,
}

fn counts() -> bool {
    true
}

fn one_core() -> f64 {
    1.0
}

/// Failures that the system tolerates without losing data.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename = "Survive", rename_all = "PascalCase")]
pub struct FaultTolerance {
    /// Number of machines that may be lost at the same time.
    #[serde(rename = "Boxes")]
    pub machines: usize,
}

/// Time limits of the service, in milliseconds (`_ms`) or seconds (`_s`).
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct Bounds {
    /// Time in contact after which a machine is bound by the rules.
    pub contact_ms: f64,
    /// Time in which an operator's change has to be acknowledged.
    pub ack_ms: f64,
    /// Time after a notice of draining in which requests may still arrive at the endpoint.
    pub drain_ms: f64,
    /// Time from the signal to shut down until the process has to end.
    pub grace_s: f64,
    /// Time after the acknowledgement of a configuration until it is in force everywhere.
    pub apply_ms: f64,
    /// Time that a new primary waits before it acts in a singleton role of the previous one.
    pub lease_ms: f64,
    /// Length of a window of usage.
    pub report_s: f64,
    /// Time after the end of a usage window at which its report is final.
    pub usage_delay_s: f64,
    /// Time for which the results of a finished job can be read.
    pub poll_s: f64,
    /// Time that batch jobs are given after the last traffic.
    pub complete_s: f64,
    /// Time after a cancellation until no endpoint gets the item any more; not used, since a cancellation acts at once.
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

impl Bounds {
    fn check_numbers(&self) -> Result<(), OutOfRange> {
        SPAN_MS.check("Slo.ContactMs", self.contact_ms)?;
        SPAN_MS.check("Slo.AckMs", self.ack_ms)?;
        SPAN_MS.check("Slo.DrainMs", self.drain_ms)?;
        SPAN_S.check("Slo.GraceS", self.grace_s)?;
        SPAN_MS.check("Slo.ApplyMs", self.apply_ms)?;
        SPAN_MS.check("Slo.LeaseMs", self.lease_ms)?;
        SPAN_S.check("Slo.ReportS", self.report_s)?;
        SPAN_S.check("Slo.UsageDelayS", self.usage_delay_s)?;
        SPAN_S.check("Slo.PollS", self.poll_s)?;
        SPAN_S.check("Slo.CompleteS", self.complete_s)?;
        SPAN_MS.check("Slo.AbortMs", self.abort_ms)
    }
}

/// The platform's interface.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct CloudApi {
    /// Address of the interface.
    pub address: String,
    /// Names of the singleton roles that one process at a time performs for the platform.
    #[serde(default, rename = "Jobs")]
    pub singleton_roles: Vec<String>,
}

impl Settings {
    /// Parses settings; `path` is named in errors.
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
    /// [`SettingsError`], by what failed.
    pub fn load() -> Result<Settings, SettingsError> {
        let path = std::env::var(PATH_VARIABLE).map_err(|_| SettingsError::NoPath(PATH_VARIABLE))?;
        let text = std::fs::read_to_string(&path)
            .map_err(|cause| SettingsError::Unreadable { path: path.clone(), cause })?;
        Settings::parse(&text, &path)
    }

    /// The folder for data, if the machine has a disk.
    pub fn data_folder(&self) -> Option<&str> {
        self.var_dir.as_deref().filter(|folder| !folder.is_empty())
    }

    /// Address on which this process listens for other processes.
    pub fn internal_address(&self) -> String {
        format!("{}:{}", self.bind_ip, self.port_range[0])
    }

    /// Address on which the machine with this operator interface listens for other processes; the port is the same everywhere.
    pub fn internal_address_of(&self, admin: &str) -> String {
        let host = admin.rsplit_once(':').map_or(admin, |(host, _)| host);
        format!("{host}:{}", self.port_range[0])
    }
}
