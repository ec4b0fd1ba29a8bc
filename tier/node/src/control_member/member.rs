//! Runs a member of the core on sockets and disk: performs the actions of [`Member`].
//!
//! `Member` is the consensus state machine, without I/O. Every event (a tick, a message, a synced write, a change by a caller)
//! is passed to it, and the actions that it returns are performed: messages are sent, registers are written to the disk, and
//! callers receive the outcome of their changes through a channel per [`Ticket`].

use crate::clock;
use crate::disk::DiskWriter;
use crate::node::Node;
use quillmount_control::{
    ChangeRejected, ControlState, Directory, Leases, Member, MemberAction, NotPrimary, RegisterWrite,
    SubmittedChange, SubmittedRead, TableHistory, Ticket, TransmissionBudget, WriteOutcome,
};
use quillmount_replication::MAX_PAYLOAD_BYTES;
use quillmount_storage::{RingRecord, RingSize, StorageError};
use quillmount_wire::Micros;
use quillmount_wire::messages::{DiskId, Epoch, Register, RegisterMessage, Request, decode, encode};
use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::path::Path;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::{Notify, oneshot};

/// Size of a register beside its payload, with the headers of its record and segment, bytes: an upper bound.
const REGISTER_OVERHEAD_BYTES: usize = 64 << 10;
/// Size of a core member's ring. Each record is a complete register, and only the newest one is used. A segment takes the largest
/// register.
const RING_SIZE: RingSize =
    RingSize { segment_bytes: (MAX_PAYLOAD_BYTES + REGISTER_OVERHEAD_BYTES) as u64, max_segments: 4 };
/// Interval between two ticks of the state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Reasons why a change of the control state was not confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChangeError {
    /// This member is not the primary; nothing was changed.
    #[error(
        "the change was rejected, because this member is not the primary of the core; send it to the primary"
    )]
    NotPrimary,
    /// The outcome is unknown; the change may or may not be committed.
    #[error("the outcome of the change is unknown; read the control state before a retry")]
    Uncertain,
    /// The changed state would be too large; nothing was changed.
    #[error(transparent)]
    TooLarge(ChangeRejected),
}

impl From<ChangeRejected> for ChangeError {
    fn from(rejected: ChangeRejected) -> ChangeError {
        match rejected {
            ChangeRejected::NotPrimary(_) => ChangeError::NotPrimary,
            ChangeRejected::TooLarge { .. } => ChangeError::TooLarge(rejected),
        }
    }
}

/// A member of the core.
pub struct ControlMember {
    /// The process that this member runs in.
    pub node: Rc<Node>,
    /// Notified when there may be newer tables for pollers.
    pub tables_changed: Notify,
    /// Leases granted in the last epoch in which this member was primary; only valid while it is primary.
    pub leases: RefCell<Leases>,
    /// Endpoint list of this epoch; empty if this member is not primary.
    pub directory: RefCell<Directory>,
    /// The last tables that this member published as primary or accepted as a backup.
    pub history: RefCell<TableHistory>,
    /// Bandwidth budget for the answers to polls.
    pub transmission: RefCell<TransmissionBudget>,
    /// Reference to this member for the tasks that wait for a write.
    self_reference: Weak<ControlMember>,
    member: RefCell<Member>,
    disk: DiskWriter,
    /// Callers that wait for the outcome of a change or a read.
    pending_tickets: RefCell<HashMap<Ticket, oneshot::Sender<()>>>,
    /// Internal addresses of the members, from the register and from messages of the members.
    addresses: RefCell<HashMap<DiskId, String>>,
}

impl ControlMember {
    /// Opens the ring in `folder` and starts with its newest register, or with an empty register if there is none.
    ///
    /// # Errors
    /// [`StorageError::Io`] if a file can't be opened or read.
    pub fn open(node: Rc<Node>, folder: &Path) -> Result<Rc<ControlMember>, StorageError> {
        let (disk, records) = DiskWriter::open(folder, RING_SIZE)?;
        let register = newest_register(&disk, &records).unwrap_or_default();
        let tolerated_failures = node.settings.fault_tolerance.machines;
        let member = Member::new(node.info.disk, tolerated_failures, register, clock::now());
        let transmission = TransmissionBudget::new(node.settings.limits.nic_mbps);
        let core = Rc::new_cyclic(|self_reference| ControlMember {
            node,
            tables_changed: Notify::new(),
            leases: RefCell::default(),
            directory: RefCell::default(),
            history: RefCell::default(),
            transmission: RefCell::new(transmission),
            self_reference: self_reference.clone(),
            member: RefCell::new(member),
            disk,
            pending_tickets: RefCell::default(),
            addresses: RefCell::default(),
        });
        core.update_addresses();
        Ok(core)
    }

    /// Ticks the state machine at [`TICK_INTERVAL`] until the process ends.
    pub async fn run(self: Rc<ControlMember>) {
        loop {
            tokio::time::sleep(TICK_INTERVAL).await;
            let actions = self.member.borrow_mut().tick(clock::now());
            self.perform(actions);
        }
    }

    /// Returns whether this member's register is empty: none was on the disk, and none has been accepted since.
    pub fn is_blank(&self) -> bool {
        self.member.borrow().replica().is_blank()
    }

    /// Returns the epoch in which this member serves as primary; `None` unless it is elected and its first value is committed.
    pub fn serving(&self) -> Option<Epoch> {
        self.member.borrow().serving()
    }

    /// Returns the committed state, if this member is primary.
    pub fn committed(&self) -> Option<Rc<ControlState>> {
        self.member.borrow().committed()
    }

    /// Returns the committed state, if this member is primary and has had recent contact with a majority.
    pub fn committed_if_recent(&self) -> Option<Rc<ControlState>> {
        self.member.borrow().committed_if_recent(clock::now())
    }

    /// Returns the time since this member became primary; only meaningful while it is primary.
    pub fn time_as_primary(&self) -> Micros {
        self.member.borrow().time_as_primary(clock::now())
    }

    /// Returns the internal address of the primary, if this member has recently received a message from it.
    pub fn primary_address(&self) -> Option<String> {
        let primary = self.member.borrow().replica().recent_primary(clock::now())?;
        self.addresses.borrow().get(&primary).cloned()
    }

    /// Returns the core members that have not answered for so long that they may be replaced.
    pub fn silent_members(&self) -> BTreeSet<DiskId> {
        self.member.borrow().silent_members(clock::now())
    }

    /// Proposes the first value of a new system.
    pub fn bootstrap(&self, state: &ControlState) {
        self.addresses.borrow_mut().extend(member_addresses(state));
        let actions = self.member.borrow_mut().bootstrap(state, clock::now());
        self.perform(actions);
    }

    /// Steps down as primary and requests that a successor starts an election. Called before the process stops.
    pub fn resign(&self) {
        let actions = self.member.borrow_mut().resign(clock::now());
        self.perform(actions);
    }

    /// Handles a message of another member. A message with another disk id was meant for a previous disk of this machine and is
    /// dropped.
    pub fn receive(&self, from: DiskId, address: String, to: DiskId, message: RegisterMessage) {
        if to != self.node.info.disk {
            return;
        }
        self.addresses.borrow_mut().insert(from, address);
        let actions = self.member.borrow_mut().receive(from, message, clock::now());
        self.perform(actions);
    }

    /// Changes the control state as primary. Returns once the change, and all earlier changes that its outcome depends on, are
    /// committed.
    ///
    /// # Errors
    /// [`ChangeError::NotPrimary`] and [`ChangeError::TooLarge`] if nothing was changed, [`ChangeError::Uncertain`] if the outcome is
    /// unknown.
    pub async fn change<T>(&self, change: impl FnOnce(&mut ControlState) -> T) -> Result<T, ChangeError> {
        let submitted = self.member.borrow_mut().change(change, clock::now());
        let SubmittedChange { outcome, ticket, actions } = submitted?;
        if self.wait_for(ticket, actions).await { Ok(outcome) } else { Err(ChangeError::Uncertain) }
    }

    /// Confirms with a majority that this member is still primary, so that its committed state is the newest.
    ///
    /// # Errors
    /// [`NotPrimary`] if the confirmation failed or timed out.
    pub async fn confirm(&self) -> Result<(), NotPrimary> {
        let submitted = self.member.borrow_mut().confirm(clock::now());
        let SubmittedRead { ticket, actions } = submitted?;
        if self.wait_for(ticket, actions).await { Ok(()) } else { Err(NotPrimary) }
    }

    /// Performs the actions of a change or read, then waits for its ticket. Returns whether it was confirmed before the timeout.
    async fn wait_for(&self, ticket: Ticket, actions: Vec<MemberAction>) -> bool {
        let (done, receiver) = oneshot::channel();
        self.pending_tickets.borrow_mut().insert(ticket, done);
        self.perform(actions);
        let confirmed =
            matches!(tokio::time::timeout(self.node.limits.change_timeout, receiver).await, Ok(Ok(())));
        self.pending_tickets.borrow_mut().remove(&ticket);
        confirmed
    }

    /// Updates the members' addresses from the accepted value.
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

    /// Performs actions in the given order; the state machine relies on that order.
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
                if let Some(done) = self.pending_tickets.borrow_mut().remove(&ticket) {
                    // Fails if the caller has timed out.
                    let _ = done.send(());
                }
            }
            // Dropping the sender wakes the caller, which treats the change as unconfirmed.
            MemberAction::Uncertain { ticket } => drop(self.pending_tickets.borrow_mut().remove(&ticket)),
            MemberAction::Elected { epoch } => {
                tracing::info!(epoch, "elected primary of the core");
                self.node.metrics.count_election();
                *self.leases.borrow_mut() = Leases::default();
                let tables = self.node.tables();
                *self.directory.borrow_mut() =
                    Directory::succeeding(tables.versions.directory, tables.endpoints.clone());
            }
            MemberAction::SteppedDown => {
                tracing::info!("stepped down as primary of the core");
                *self.directory.borrow_mut() = Directory::default();
                self.tables_changed.notify_waiters();
            }
            MemberAction::StateChanged => {
                if let Some(state) = self.committed() {
                    self.history.borrow_mut().record(&state);
                }
                self.tables_changed.notify_waiters();
            }
            MemberAction::Accepted => self.update_addresses(),
        }
    }

    /// Sends a message to a member. If the member's address is unknown, the message is dropped; the protocol tolerates lost
    /// messages.
    fn send(&self, to: DiskId, message: RegisterMessage) {
        let Some(address) = self.addresses.borrow().get(&to).cloned() else { return };
        let from = self.node.info.disk;
        let request = Request::Register { from, address: self.node.info.internal.clone(), to, message };
        self.node.links.notify(&address, &request);
    }

    /// Writes a register to the disk. A task reports the outcome to the state machine and ends with the write.
    fn persist(&self, write: RegisterWrite, register: &Register) {
        let receipt = self.disk.append(encode(register));
        let Some(core) = self.self_reference.upgrade() else { return };
        tokio::task::spawn_local(async move {
            let outcome = match receipt.synced().await {
                Ok(written) => {
                    // Each record is a complete register, so older segments are not needed any more.
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

/// Returns the internal addresses of the core members in a state, by disk.
fn member_addresses(state: &ControlState) -> impl Iterator<Item = (DiskId, String)> {
    state.placement.core.iter().map(|member| (member.disk, member.internal.clone()))
}

/// Returns the newest register among a ring's records, and releases the segments before it.
fn newest_register(disk: &DiskWriter, records: &[RingRecord]) -> Option<Register> {
    let (segment, register) = records.iter().rev().find_map(|record| {
        let register = decode::<Register>(&record.body).ok()?;
        Some((record.segment, register))
    })?;
    disk.release(segment);
    Some(register)
}
