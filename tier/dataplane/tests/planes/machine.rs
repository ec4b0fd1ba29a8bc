//! A machine: its process, its disk, its clock, and the process memory.

use crate::core_side::{PendingPoll, Waiting};
use crate::duties::UsageReporting;
use crate::platform::SERVICE;
use quillmount_control::direct_list::DirectFetchSchedule;
use quillmount_control::subscription::Subscription;
use quillmount_control::{CoreContact, Directory, Leases, Member, TableHistory, Ticket, TimeLimits};
use quillmount_dataplane::dispatch::Dispatcher;
use quillmount_dataplane::tables::TableSnapshot;
use quillmount_test_support::process::Process;
use quillmount_test_support::simulation::Time;
use quillmount_window::Parameters;
use quillmount_wire::messages::{DiskId, NodeInfo, NodeRole, Register, UsageWindow};
use quillmount_wire::settings::SloSettings;
use std::collections::{BTreeMap, HashMap};

/// Index of a machine in the world.
pub type MachineId = usize;

/// Number of disks that may be lost at the same time.
pub const TOLERATED_FAILURES: usize = 1;
/// Name of the only tenant.
pub const TENANT: &str = "t";
/// Number of the latest usage windows that a process reports.
const REPORTED_WINDOWS: usize = 8;

/// A machine with its process, disk and clock.
pub struct Machine {
    pub id: MachineId,
    pub role: NodeRole,
    pub zone: u32,
    pub process: Process,
    pub clock: WallClock,
    /// Identity of the disk; on a machine without a disk, of the current incarnation of the process.
    pub disk: DiskId,
    /// The register as last synced to the disk.
    pub synced: Register,
    /// Time until which all writes to the disk fail.
    pub full_until: Time,
    /// Time until which writes to the disk are slow.
    pub slow_until: Time,
    /// Machines that the settings list as seeds.
    pub seeds: Vec<MachineId>,
    pub limits: TimeLimits,
    pub started_at: Time,
    pub state: ProcessMemory,
}

/// The wall clock of a machine, which can be wrong. The monotonic clock of a process is always correct.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WallClock {
    /// Offset from the true time, microseconds.
    offset: i64,
    /// Drift in parts per million; positive if the clock runs fast.
    drift_ppm: i64,
    /// Time from which the drift applies.
    drift_start: Time,
}

impl WallClock {
    /// The time of day according to this clock, microseconds.
    pub fn shows(&self, now: Time) -> Time {
        let drifted = (now - self.drift_start.min(now)) as i64 * self.drift_ppm / 1_000_000;
        now.saturating_add_signed(self.offset + drifted)
    }

    /// Sets the offset from the true time, microseconds.
    pub fn step(&mut self, offset: i64) {
        self.offset = offset;
    }

    /// Starts a drift, in parts per million, at the time `now`.
    pub fn drift(&mut self, ppm: i64, now: Time) {
        self.drift_ppm = ppm;
        self.drift_start = now;
    }
}

/// A poll that awaits its response.
pub struct SentPoll {
    pub call: u64,
    pub address: String,
    pub sent_at: Time,
}

/// The memory of a process, which is lost when the process ends.
pub struct ProcessMemory {
    /// The consensus member; only on core machines.
    pub member: Option<Member>,
    pub leases: Leases,
    pub directory: Directory,
    pub history: TableHistory,
    /// Earliest time at which this machine, as primary without a current endpoint list, reads the list again.
    pub next_list_read: Time,
    /// Schedule of direct reads of the endpoint list, without the core.
    pub direct_reads: DirectFetchSchedule,
    pub pending_polls: Vec<PendingPoll>,
    pub waiting: BTreeMap<Ticket, Waiting>,
    pub usage_reporting: UsageReporting,
    pub contact: CoreContact,
    pub subscription: Subscription,
    pub tables: TableSnapshot,
    pub dispatcher: Dispatcher,
    /// The poll in flight.
    pub poll: Option<SentPoll>,
    /// Number of requests by usage window, according to the machine's clock.
    pub usage: BTreeMap<u64, u64>,
    /// Highest configuration version in force at a decision on a request.
    pub decided_by: u64,
}

/// Internal address of a machine.
pub fn address(id: MachineId) -> String {
    format!("10.0.0.{id}:7360")
}

/// Returns the machine with this internal address, if the address is valid.
pub fn machine_at(address: &str) -> Option<MachineId> {
    address.strip_prefix("10.0.0.")?.strip_suffix(":7360")?.parse().ok()
}

impl Machine {
    /// A machine with an empty register, whose process starts now.
    pub fn new(id: MachineId, role: NodeRole, disk: DiskId, now: Time) -> Machine {
        let limits = TimeLimits::new(&SloSettings::default());
        let zone = (id % 3) as u32;
        let synced = Register::default();
        let state = ProcessMemory::new(role, disk, zone, &limits, &synced, now);
        Machine {
            id,
            role,
            zone,
            process: Process::running(1),
            clock: WallClock::default(),
            disk,
            synced,
            full_until: 0,
            slow_until: 0,
            seeds: Vec::new(),
            limits,
            started_at: now,
            state,
        }
    }

    /// The description of this machine in its polls and in the register.
    pub fn node_info(&self) -> NodeInfo {
        NodeInfo {
            name: format!("machine-{}", self.id),
            disk: self.disk,
            internal: address(self.id),
            admin: None,
            zone: format!("zone-{}", self.zone),
            role: self.role,
        }
    }

    /// Restarts the process from the disk. A courier has no disk and takes the new identity `new_identity`.
    pub fn start(&mut self, now: Time, new_identity: DiskId) {
        if self.role == NodeRole::Courier {
            self.disk = new_identity;
        }
        self.process.start();
        self.started_at = now;
        self.state = ProcessMemory::new(self.role, self.disk, self.zone, &self.limits, &self.synced, now);
    }
}

impl ProcessMemory {
    fn new(
        role: NodeRole,
        disk: DiskId,
        zone: u32,
        limits: &TimeLimits,
        synced: &Register,
        now: Time,
    ) -> ProcessMemory {
        let member =
            (role == NodeRole::Core).then(|| Member::new(disk, TOLERATED_FAILURES, synced.clone(), now));
        let parameters = Parameters { alpha: 0.7, gamma: 0.5, beta: 3.0, threshold_multiple: 5.0 };
        ProcessMemory {
            member,
            leases: Leases::default(),
            directory: Directory::default(),
            history: TableHistory::default(),
            next_list_read: 0,
            direct_reads: DirectFetchSchedule::new(limits, now),
            pending_polls: Vec::new(),
            waiting: BTreeMap::new(),
            usage_reporting: UsageReporting::default(),
            contact: CoreContact::new(limits.recent_answer),
            subscription: Subscription::default(),
            tables: TableSnapshot::default(),
            dispatcher: Dispatcher::new(disk, &format!("zone-{zone}"), parameters),
            poll: None,
            usage: BTreeMap::new(),
            decided_by: 0,
        }
    }

    /// Replaces the tables by a newer snapshot and updates the dispatcher.
    pub fn swap_tables(&mut self, next: TableSnapshot) {
        let share = next.routes.share(SERVICE, next.senders);
        self.dispatcher.update(&next.endpoints, HashMap::from([(SERVICE.to_owned(), share)]));
        self.tables = next;
    }

    /// Request counts of the latest usage windows.
    pub fn usage_report(&self) -> Vec<UsageWindow> {
        let newest = self.usage.iter().rev().take(REPORTED_WINDOWS);
        newest
            .map(|(window, count)| UsageWindow { window: *window, counts: vec![(TENANT.to_owned(), *count)] })
            .collect()
    }
}
