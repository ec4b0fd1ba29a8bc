//! What a process uses of the machine, as the system reports it in `/proc`.

use std::time::Duration;

/// Length of a tick of the CPU times in `/proc`, in milliseconds.
const TICK_MS: u64 = 10;
/// Index of the time in user mode among the fields behind the name of the process.
const USER_TIME_FIELD: usize = 11;
/// Index of the time in the kernel.
const SYSTEM_TIME_FIELD: usize = 12;
const BYTES_PER_KIB: u64 = 1_024;

/// CPU time that a process has used; 0 if the system does not report it.
pub fn cpu_of(pid: u32) -> Duration {
    let stat = stat(pid).unwrap_or_default();
    let fields: Vec<&str> = fields_behind_name(&stat).split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|field| field.parse::<u64>().ok()).unwrap_or(0);
    Duration::from_millis((ticks(USER_TIME_FIELD) + ticks(SYSTEM_TIME_FIELD)) * TICK_MS)
}

/// Descriptors that a process has open; 0 if the system does not report them.
pub(super) fn open_descriptors(pid: u32) -> usize {
    std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count)
}

/// Resident memory of a process, in bytes.
pub(super) struct MemoryUsage {
    pub now: u64,
    pub most: u64,
}

/// Resident memory of a process; 0 if the system does not report it.
pub(super) fn memory(pid: u32) -> MemoryUsage {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let bytes = |field| kibibytes(&status, field).unwrap_or(0) * BYTES_PER_KIB;
    MemoryUsage { now: bytes("VmRSS:"), most: bytes("VmHWM:") }
}

fn kibibytes(status: &str, field: &str) -> Option<u64> {
    let line = status.lines().find(|line| line.starts_with(field))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

fn stat(pid: u32) -> std::io::Result<String> {
    std::fs::read_to_string(format!("/proc/{pid}/stat"))
}

/// The name is in parentheses, and may contain any characters, spaces and parentheses too.
fn fields_behind_name(stat: &str) -> &str {
    stat.rsplit(')').next().unwrap_or_default()
}
