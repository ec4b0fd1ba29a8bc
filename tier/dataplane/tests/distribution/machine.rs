//! A machine: its links, its process, and the process memory.

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
use quillmount_wire::settings::SloSettings;
use std::collections::BTreeMap;

/// Index of a machine in the world.
pub type MachineId = usize;

/// Number of disks that may be lost at the same time.
pub const TOLERATED_FAILURES: usize = 2;
/// Number of zones; machines are assigned to them round-robin.
const ZONES: usize = 3;
/// Bandwidth of the links of core members, megabits per second.
const CORE_MBPS: f64 = 100.0;
/// One megabit, bits.
const MEGABIT: u64 = 1_000_000;

/// A machine with its links and its process.
pub struct Machine {
    pub node: NodeInfo,
    pub process: Process,
    pub outgoing: Link,
    pub incoming: Link,
    pub state: ProcessMemory,
    /// Frame length of a poll of this machine, bytes; the same for all its polls.
    pub poll_bytes: usize,
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
    /// Recent tables that this member published or accepted, the bases of table deltas.
    pub history: TableHistory,
    /// Limit on the link bandwidth used by responses to polls.
    pub transmission: TransmissionBudget,
    /// Time of the next read of the endpoint list by a primary.
    pub next_list_read: Time,
    /// Unanswered polls, by call number.
    pub pending_polls: BTreeMap<u64, PendingPoll>,
    /// Whether the published tables may have changed since the pending polls were last checked.
    pub changed: bool,
    pub waiting: BTreeMap<Ticket, Waiting>,
    pub contact: CoreContact,
    pub subscription: Subscription,
    pub tables: TableSnapshot,
    /// The poll in flight.
    pub poll: Option<SentPoll>,
}

/// Internal address of a machine. All addresses have the same length.
pub fn address(id: MachineId) -> String {
    format!("10.0.0.{id:03}:7360")
}

/// Returns the machine with this internal address, if the address is valid.
pub fn machine_at(address: &str) -> Option<MachineId> {
    address.strip_prefix("10.0.0.")?.strip_suffix(":7360")?.parse().ok()
}

/// The description of a machine in its polls and in the register.
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

/// Frame length of a request, bytes.
pub fn request_bytes(request: &Request) -> usize {
    HEADER_BYTES + request.encode().len()
}

/// Link bandwidth of a machine with this role, bits per second.
const fn link_rate(role: NodeRole) -> u64 {
    match role {
        NodeRole::Core => CORE_MBPS as u64 * MEGABIT,
        NodeRole::Courier => 30 * MEGABIT,
        NodeRole::Store => 60 * MEGABIT,
    }
}

impl Machine {
    /// A machine whose process is not started yet.
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

    /// Whether its process has received a configuration, a placement and an endpoint list.
    pub fn has_all_tables(&self) -> bool {
        let versions = self.state.tables.versions;
        versions.configuration > 0 && versions.placement > 0 && versions.directory.changes > 0
    }

    /// The next poll of its process, with its current table versions.
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

    /// Starts the process. A member of the core loads the register from its disk.
    pub fn start(&mut self, register: &Register, now: Time) {
        self.process.start();
        if self.node.role == NodeRole::Core {
            self.state.member = Some(Member::new(self.node.disk, TOLERATED_FAILURES, register.clone(), now));
            self.state.learn_members();
        }
    }

    /// Kills the process; it is not restarted.
    pub fn kill(&mut self) {
        self.process.kill();
        self.state = ProcessMemory::new();
    }
}

impl ProcessMemory {
    fn new() -> ProcessMemory {
        let limits = TimeLimits::new(&SloSettings::default());
        ProcessMemory {
            member: None,
            leases: Leases::default(),
            directory: Directory::default(),
            history: TableHistory::default(),
            transmission: TransmissionBudget::new(Some(CORE_MBPS)),
            next_list_read: 0,
            pending_polls: BTreeMap::new(),
            changed: false,
            waiting: BTreeMap::new(),
            contact: CoreContact::new(limits.recent_answer),
            subscription: Subscription::default(),
            tables: TableSnapshot::default(),
            poll: None,
        }
    }

    /// Reads the addresses of the core members from the register.
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
