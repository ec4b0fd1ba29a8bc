//! A machine: its links, its process, and what the process has in memory.

use crate::core_side::{PendingPoll, Waiting};
use crate::link::Link;
use quillmount_control::subscription::Subscription;
use quillmount_control::{
    ControlState, CoreContact, Directory, Leases, Member, TableHistory, Ticket, TimeLimits,
    TransmissionBudget,
};
use quillmount_dataplane::tables::TableSnapshot;
use quillmount_test_support::process::Process;
use quillmount_test_support::simulation::Time;
use quillmount_wire::frame::HEADER_BYTES;
use quillmount_wire::messages::{DiskId, NodeInfo, NodeRole, Poll, Register, Request};
use quillmount_wire::settings::Bounds;
use std::collections::BTreeMap;

/// Index of a machine in the world.
pub type MachineId = usize;

/// Disks that may be lost at once.
pub const TOLERATED_FAILURES: usize = 2;
/// Zones, to which the machines belong in turn.
const ZONES: usize = 3;
/// Rate of the links of the core's members, megabits per second.
const CORE_MBPS: f64 = 100.0;
/// A million bits per second.
const MEGABIT: u64 = 1_000_000;

/// A machine.
pub struct Machine {
    pub node: NodeInfo,
    pub process: Process,
    pub outgoing: Link,
    pub incoming: Link,
    pub state: ProcessMemory,
    /// Length of its polls, which all have the same.
    pub poll_bytes: usize,
}

/// A poll that was sent.
pub struct SentPoll {
    pub call: u64,
    pub address: String,
    pub sent_at: Time,
}

/// What a process has in memory.
pub struct ProcessMemory {
    /// The member of the core, on machines of the core.
    pub member: Option<Member>,
    pub leases: Leases,
    pub directory: Directory,
    /// The last tables that this member published or accepted.
    pub history: TableHistory,
    /// What answers to polls may take of the link.
    pub transmission: TransmissionBudget,
    /// When a primary reads the list of endpoints next.
    pub next_reading: Time,
    /// Polls that are not answered, by their call.
    pub pending_polls: BTreeMap<u64, PendingPoll>,
    /// Whether there may be newer tables for all of them.
    pub changed: bool,
    pub waiting: BTreeMap<Ticket, Waiting>,
    pub contact: CoreContact,
    pub subscription: Subscription,
    pub tables: TableSnapshot,
    /// The poll in flight.
    pub poll: Option<SentPoll>,
}

/// Internal address of a machine. All have the same length.
pub fn address(id: MachineId) -> String {
    format!("10.0.0.{id:03}:7360")
}

/// The machine with an internal address.
pub fn machine_at(address: &str) -> Option<MachineId> {
    address.strip_prefix("10.0.0.")?.strip_suffix(":7360")?.parse().ok()
}

/// What a machine says of itself.
pub fn node_info(id: MachineId, disk: DiskId, role: NodeRole) -> NodeInfo {
    NodeInfo {
        name: format!("machine-{id:03}"),
        disk,
        internal: address(id),
        admin: None,
        zone: format!("zone-{}", id % ZONES),
        role,
    }
}

/// Length of a request's frame, bytes.
pub fn request_bytes(request: &Request) -> usize {
    HEADER_BYTES + request.encode().len()
}

/// Rate of the links of a machine, bits per second.
const fn link_rate(role: NodeRole) -> u64 {
    match role {
        NodeRole::Core => CORE_MBPS as u64 * MEGABIT,
        NodeRole::Courier => 30 * MEGABIT,
        NodeRole::Store => 60 * MEGABIT,
    }
}

impl Machine {
    /// A machine whose process was not started.
    pub fn new(node: NodeInfo) -> Machine {
        let mut process = Process::running(1);
        process.kill();
        let mut machine = Machine {
            process,
            outgoing: Link::new(link_rate(node.role)),
            incoming: Link::new(link_rate(node.role)),
            state: ProcessMemory::new(),
            poll_bytes: 0,
            node,
        };
        machine.poll_bytes = request_bytes(&Request::Poll(machine.poll(0)));
        machine
    }

    /// Whether its process has a table of each kind.
    pub fn has_all_tables(&self) -> bool {
        let versions = self.state.tables.versions;
        versions.configuration > 0 && versions.placement > 0 && versions.directory.changes > 0
    }

    /// The poll of its process.
    pub fn poll(&self, max_wait_ms: u64) -> Poll {
        Poll {
            node: self.node.clone(),
            incarnation: self.node.disk,
            known_versions: self.state.tables.versions,
            max_wait_ms,
            usage: Vec::new(),
            shards: Vec::new(),
            draining: false,
            relayed: false,
            demand: Vec::new(),
            items: Vec::new(),
        }
    }

    /// Starts the process; a member of the core with the register on its disk.
    pub fn start(&mut self, register: &Register, now: Time) {
        self.process.start();
        if self.node.role == NodeRole::Core {
            self.state.member = Some(Member::new(self.node.disk, TOLERATED_FAILURES, register.clone(), now));
            self.state.learn_members();
        }
    }

    /// Kills the process for good.
    pub fn kill(&mut self) {
        self.process.kill();
        self.state = ProcessMemory::new();
    }
}

impl ProcessMemory {
    fn new() -> ProcessMemory {
        let limits = TimeLimits::new(&Bounds::default());
        ProcessMemory {
            member: None,
            leases: Leases::default(),
            directory: Directory::default(),
            history: TableHistory::default(),
            transmission: TransmissionBudget::new(Some(CORE_MBPS)),
            next_reading: 0,
            pending_polls: BTreeMap::new(),
            changed: false,
            waiting: BTreeMap::new(),
            contact: CoreContact::new(limits.recent_answer),
            subscription: Subscription::default(),
            tables: TableSnapshot::default(),
            poll: None,
        }
    }

    /// Learns the addresses of the members from the register.
    pub fn learn_members(&mut self) {
        let accepted = self.member.as_ref().and_then(|member| member.replica().register().accepted.as_ref());
        let state = accepted.and_then(|accepted| ControlState::decode(&accepted.value.payload).ok());
        if let Some(state) = state {
            if self.member.as_ref().is_some_and(|member| member.serving().is_none()) {
                self.history.record(&state);
            }
            self.contact
                .set_members(state.placement.core.into_iter().map(|member| member.internal).collect());
        }
    }
}
