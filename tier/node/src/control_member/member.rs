//! A member of the core on sockets and disk: carries out what [`Member`] decides.
//!
//! `Member` is the consensus state machine, without I/O. Whatever happens here (a tick, a message, a synced write, a change
//! by a caller) is handed to it, and the actions that it returns are performed: messages go out, registers to the disk,
//! and callers learn the outcome of their changes through a channel per [`Ticket`].

use crate::clock;
use crate::disk::DiskWriter;
use crate::node::Node;
use quillmount_control::{
    ControlState, Directory, Leases, Member, MemberAction, NotPrimary, RegisterWrite, SubmittedChange,
    SubmittedRead, TableHistory, Ticket, TransmissionBudget, WriteOutcome,
};
use quillmount_storage::{RingRecord, RingSize, StorageError};
use quillmount_wire::Micros;
use quillmount_wire::messages::{DiskId, Epoch, Register, RegisterMessage, Request, decode, encode};
use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::path::Path;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::{Notify, oneshot};

/// The ring of a core member. Each record is a complete register: only the newest one counts.
const RING: RingSize = RingSize { segment: 4 << 20, segments: 4 };
/// Interval between two ticks of the state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Why a change of the control state was not confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChangeError {
    /// This member is not the primary: nothing was changed.
    #[error("this member is not the primary of the core")]
    NotPrimary,
    /// The outcome is unknown: the change may or may not come into force.
    #[error("the outcome of the change is unknown")]
    Uncertain,
}

/// A member of the core.
pub struct ControlMember {
    /// The process that this member runs in.
    pub node: Rc<Node>,
    /// Notified when there may be newer tables for pollers.
    pub changed: Notify,
    /// Leases granted in the last epoch in which this member was primary; meaningful only while it is.
    pub leases: RefCell<Leases>,
    /// The list of endpoints as read in this epoch; empty where this member is not primary.
    pub directory: RefCell<Directory>,
    /// The last tables that this member published as primary or accepted as a follower.
    pub history: RefCell<TableHistory>,
    /// What answers to polls may take of the machine's link.
    pub transmission: RefCell<TransmissionBudget>,
    /// Lets a task that waits for a write refer to this member.
    this: Weak<ControlMember>,
    member: RefCell<Member>,
    disk: DiskWriter,
    /// Callers that wait for the outcome of a change or a read.
    pending: RefCell<HashMap<Ticket, oneshot::Sender<()>>>,
    /// Internal addresses of members, from the register and from their messages.
    addresses: RefCell<HashMap<DiskId, String>>,
}

impl ControlMember {
    /// Opens the ring in `folder` and starts from the newest register in it, or from an empty one.
    pub fn open(node: Rc<Node>, folder: &Path) -> Result<Rc<ControlMember>, StorageError> {
        let (disk, records) = DiskWriter::open(folder, RING)?;
        let register = newest_register(&disk, &records).unwrap_or_default();
        let tolerated_failures = node.settings.fault_tolerance.machines;
        let member = Member::new(node.info.disk, tolerated_failures, register, clock::now());
        let transmission = TransmissionBudget::new(node.settings.limits.nic_mbps);
        let core = Rc::new_cyclic(|this| ControlMember {
            node,
            changed: Notify::new(),
            leases: RefCell::default(),
            directory: RefCell::default(),
            history: RefCell::default(),
            transmission: RefCell::new(transmission),
            this: this.clone(),
            member: RefCell::new(member),
            disk,
            pending: RefCell::default(),
            addresses: RefCell::default(),
        });
        core.update_addresses();
        Ok(core)
    }

    /// Ticks the state machine for as long as the process runs.
    pub async fn run(self: Rc<ControlMember>) {
        loop {
            tokio::time::sleep(TICK_INTERVAL).await;
            let actions = self.member.borrow_mut().tick(clock::now());
            self.perform(actions);
        }
    }

    /// Whether this member's register is still empty: none was on the disk, and none came since.
    pub fn is_blank(&self) -> bool {
        self.member.borrow().replica().is_blank()
    }

    /// The epoch in which this member serves as primary: it is elected, and its first value is committed.
    pub fn serving(&self) -> Option<Epoch> {
        self.member.borrow().serving()
    }

    /// The committed state, if this member is primary.
    pub fn committed(&self) -> Option<Rc<ControlState>> {
        self.member.borrow().committed()
    }

    /// The committed state, if this member is primary and a majority answered it recently.
    pub fn committed_if_recent(&self) -> Option<Rc<ControlState>> {
        self.member.borrow().committed_if_recent(clock::now())
    }

    /// Time since this member became primary.
    pub fn time_as_primary(&self) -> Micros {
        self.member.borrow().time_as_primary(clock::now())
    }

    /// Internal address of the primary, if this member heard from it recently.
    pub fn primary_address(&self) -> Option<String> {
        let primary = self.member.borrow().replica().recent_primary(clock::now())?;
        self.addresses.borrow().get(&primary).cloned()
    }

    /// Members of the core that have not answered for so long that they may be replaced.
    pub fn silent_members(&self) -> BTreeSet<DiskId> {
        self.member.borrow().silent_members(clock::now())
    }

    /// Proposes the first value of a new system.
    pub fn bootstrap(&self, state: &ControlState) {
        self.addresses.borrow_mut().extend(member_addresses(state));
        let actions = self.member.borrow_mut().bootstrap(state, clock::now());
        self.perform(actions);
    }

    /// Gives up being primary and lets a successor stand for election, before the process stops.
    pub fn resign(&self) {
        let actions = self.member.borrow_mut().resign(clock::now());
        self.perform(actions);
    }

    /// Handles a message of another member. One to another disk id was meant for a disk that this machine had before, and is
    /// dropped.
    pub fn receive(&self, from: DiskId, address: String, to: DiskId, message: RegisterMessage) {
        if to != self.node.info.disk {
            return;
        }
        self.addresses.borrow_mut().insert(from, address);
        let actions = self.member.borrow_mut().receive(from, message, clock::now());
        self.perform(actions);
    }

    /// Changes the control state as primary. Returns once the change, and everything that its outcome depends on, is
    /// committed.
    pub async fn change<T>(&self, change: impl FnOnce(&mut ControlState) -> T) -> Result<T, ChangeError> {
        let submitted = self.member.borrow_mut().change(change, clock::now());
        let SubmittedChange { outcome, ticket, actions } =
            submitted.map_err(|NotPrimary| ChangeError::NotPrimary)?;
        if self.wait_for(ticket, actions).await { Ok(outcome) } else { Err(ChangeError::Uncertain) }
    }

    /// Confirms with a majority that this member is still primary, and so that its committed state is the newest.
    pub async fn confirm(&self) -> Result<(), NotPrimary> {
        let submitted = self.member.borrow_mut().confirm(clock::now());
        let SubmittedRead { ticket, actions } = submitted?;
        if self.wait_for(ticket, actions).await { Ok(()) } else { Err(NotPrimary) }
    }

    /// Performs the actions of a change or read, then waits for its ticket; whether that was confirmed in time.
    async fn wait_for(&self, ticket: Ticket, actions: Vec<MemberAction>) -> bool {
        let (done, receiver) = oneshot::channel();
        self.pending.borrow_mut().insert(ticket, done);
        self.perform(actions);
        let confirmed =
            matches!(tokio::time::timeout(self.node.limits.change_timeout, receiver).await, Ok(Ok(())));
        self.pending.borrow_mut().remove(&ticket);
        confirmed
    }

    /// Learns the members' addresses from the accepted value.
    fn update_addresses(&self) {
        let member = self.member.borrow();
        let Some(accepted) = &member.replica().register().accepted else { return };
        if let Ok(state) = ControlState::decode(&accepted.value.payload) {
            if self.serving().is_none() {
                self.history.borrow_mut().record(&state);
            }
            self.addresses.borrow_mut().extend(member_addresses(&state));
            self.node
                .core_contact
                .borrow_mut()
                .set_members(state.placement.core.into_iter().map(|member| member.internal).collect());
        }
    }

    /// Performs actions in their order, which the state machine relies on.
    fn perform(&self, actions: Vec<MemberAction>) {
        for action in actions {
            self.perform_one(action);
        }
    }

    fn perform_one(&self, action: MemberAction) {
        match action {
            MemberAction::Send { to, message } => self.send(to, message),
            MemberAction::Persist { write, register } => self.persist(write, &register),
            MemberAction::Confirmed { ticket } => {
                if let Some(done) = self.pending.borrow_mut().remove(&ticket) {
                    // The caller may have timed out.
                    let _ = done.send(());
                }
            }
            // Dropping the sender wakes the caller without a confirmation.
            MemberAction::Uncertain { ticket } => drop(self.pending.borrow_mut().remove(&ticket)),
            MemberAction::Elected { epoch } => {
                tracing::info!(epoch, "elected primary of the core");
                self.node.metrics.count_election();
                *self.leases.borrow_mut() = Leases::default();
                let tables = self.node.tables();
                *self.directory.borrow_mut() =
                    Directory::succeeding(tables.versions.directory, tables.endpoints.clone());
            }
            MemberAction::SteppedDown => {
                tracing::info!("no longer primary of the core");
                *self.directory.borrow_mut() = Directory::default();
                self.changed.notify_waiters();
            }
            MemberAction::StateChanged => {
                if let Some(state) = self.committed() {
                    self.history.borrow_mut().record(&state);
                }
                self.changed.notify_waiters();
            }
            MemberAction::Accepted => self.update_addresses(),
        }
    }

    /// Sends a message to a member; it is dropped if the member's address is unknown, as the network may lose any message.
    fn send(&self, to: DiskId, message: RegisterMessage) {
        let Some(address) = self.addresses.borrow().get(&to).cloned() else { return };
        let from = self.node.info.disk;
        let request = Request::Register { from, address: self.node.info.internal.clone(), to, message };
        self.node.links.notify(&address, &request);
    }

    /// Writes a register to the disk. The task reports the outcome to the state machine and ends with the write.
    fn persist(&self, write: RegisterWrite, register: &Register) {
        let receipt = self.disk.append(encode(register));
        let Some(core) = self.this.upgrade() else { return };
        tokio::task::spawn_local(async move {
            let outcome = match receipt.synced().await {
                Ok(written) => {
                    // Each record is a complete register: older segments are of no use.
                    core.disk.release(written.segment);
                    WriteOutcome::Synced
                }
                Err(error) => {
                    tracing::error!(%error, "failed to write the control state to disk");
                    core.node.metrics.count_failed_write();
                    WriteOutcome::Failed
                }
            };
            let actions = core.member.borrow_mut().write_ended(write, outcome, clock::now());
            core.perform(actions);
        });
    }
}

/// Internal addresses of the core's members in a state, by disk.
fn member_addresses(state: &ControlState) -> impl Iterator<Item = (DiskId, String)> {
    state.placement.core.iter().map(|member| (member.disk, member.internal.clone()))
}

/// The newest register among a ring's records; segments before it are released.
fn newest_register(disk: &DiskWriter, records: &[RingRecord]) -> Option<Register> {
    let (segment, register) = records.iter().rev().find_map(|record| {
        let register = decode::<Register>(&record.body).ok()?;
        Some((record.segment, register))
    })?;
    disk.release(segment);
    Some(register)
}
