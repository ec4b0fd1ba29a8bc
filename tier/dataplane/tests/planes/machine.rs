//! A machine: its process, its disk and its clock, and what its process knows.

use crate::core_side::{PendingPoll, Waiting};
use crate::duties::Duties;
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
use quillmount_wire::settings::Bounds;
use std::collections::{BTreeMap, HashMap};

/// Index of a machine in the world.
pub type MachineId = usize;

/// Disks that may be lost at once.
pub const TOLERATED_FAILURES: usize = 1;
/// The only tenant.
pub const TENANT: &str = "t";
/// Windows of usage that a process reports.
const REPORTED_WINDOWS: usize = 8;

/// A machine.
pub struct Machine {
    pub id: MachineId,
    pub role: NodeRole,
    pub zone: u32,
    pub process: Process,
    pub clock: WallClock,
    /// Identity of the disk, or of this run of a process without one.
    pub disk: DiskId,
    /// What is synced on the disk.
    pub synced: Register,
    /// Until then the disk takes no write.
    pub full_until: Time,
    /// Until then a write takes much longer.
    pub slow_until: Time,
    /// Couriers that the settings name.
    pub seeds: Vec<MachineId>,
    pub limits: TimeLimits,
    pub started_at: Time,
    pub state: ProcessMemory,
}

/// The clock of the time of day, which can be wrong. The steady clock of a process is never.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WallClock {
    /// Added to the true time, microseconds.
    offset: i64,
    /// Millionths by which it goes fast.
    drift_ppm: i64,
    /// Since when it drifts.
    drifts_since: Time,
}

impl WallClock {
    /// The time that it shows.
    pub fn shows(&self, now: Time) -> Time {
        let drifted = (now - self.drifts_since.min(now)) as i64 * self.drift_ppm / 1_000_000;
        now.saturating_add_signed(self.offset + drifted)
    }

    /// Lets it jump.
    pub fn step(&mut self, offset: i64) {
        self.offset = offset;
    }

    /// Lets it drift from now on.
    pub fn drift(&mut self, ppm: i64, now: Time) {
        self.drift_ppm = ppm;
        self.drifts_since = now;
    }
}

/// A poll that was sent.
pub struct SentPoll {
    pub call: u64,
    pub address: String,
    pub sent_at: Time,
}

/// What a process has in memory, which is lost with it.
pub struct ProcessMemory {
    /// The member of the core, on machines with a disk.
    pub member: Option<Member>,
    pub leases: Leases,
    pub directory: Directory,
    pub history: TableHistory,
    /// When this machine, as primary, reads the list again at the earliest if it has no current one.
    pub next_reading: Time,
    /// Its readings of the list without the core.
    pub direct_readings: DirectFetchSchedule,
    pub pending_polls: Vec<PendingPoll>,
    pub waiting: BTreeMap<Ticket, Waiting>,
    pub duties: Duties,
    pub contact: CoreContact,
    pub subscription: Subscription,
    pub tables: TableSnapshot,
    pub dispatcher: Dispatcher,
    /// The poll in flight.
    pub poll: Option<SentPoll>,
    /// Requests by window of the machine's clock.
    pub usage: BTreeMap<u64, u64>,
    /// The highest version of the configuration that a request was decided by.
    pub decided_by: u64,
}

/// Internal address of a machine.
pub fn address(id: MachineId) -> String {
    format!("10.0.0.{id}:7360")
}

/// The machine with an internal address.
pub fn machine_at(address: &str) -> Option<MachineId> {
    address.strip_prefix("10.0.0.")?.strip_suffix(":7360")?.parse().ok()
}

impl Machine {
    /// A machine whose process starts now with this register.
    pub fn new(id: MachineId, role: NodeRole, disk: DiskId, now: Time) -> Machine {
        let limits = TimeLimits::new(&Bounds::default());
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

    /// What it says of itself.
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

    /// Starts the process again, from the disk. A machine without one draws another identity.
    pub fn start(&mut self, now: Time, drawn: DiskId) {
        if self.role == NodeRole::Courier {
            self.disk = drawn;
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
        let parameters = Parameters { alpha: 0.7, gamma: 0.5, beta: 3.0, multiple: 5.0 };
        ProcessMemory {
            member,
            leases: Leases::default(),
            directory: Directory::default(),
            history: TableHistory::default(),
            next_reading: 0,
            direct_readings: DirectFetchSchedule::new(limits, now),
            pending_polls: Vec::new(),
            waiting: BTreeMap::new(),
            duties: Duties::default(),
            contact: CoreContact::new(limits.recent_answer),
            subscription: Subscription::default(),
            tables: TableSnapshot::default(),
            dispatcher: Dispatcher::new(disk, &format!("zone-{zone}"), parameters),
            poll: None,
            usage: BTreeMap::new(),
            decided_by: 0,
        }
    }

    /// Puts a snapshot in force.
    pub fn swap_tables(&mut self, next: TableSnapshot) {
        let share = next.routes.share(SERVICE, next.senders);
        self.dispatcher.update(&next.endpoints, HashMap::from([(SERVICE.to_owned(), share)]));
        self.tables = next;
    }

    /// Counts of the last windows.
    pub fn usage_report(&self) -> Vec<UsageWindow> {
        let newest = self.usage.iter().rev().take(REPORTED_WINDOWS);
        newest
            .map(|(window, count)| UsageWindow { window: *window, counts: vec![(TENANT.to_owned(), *count)] })
            .collect()
    }
}
