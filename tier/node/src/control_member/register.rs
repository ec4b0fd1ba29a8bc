//! A member of the core on sockets and disk: carries out what [`Member`] decides.

use super::leases::Leases;
use crate::clock;
use crate::disk::DiskWriter;
use crate::node::Node;
use quillmount_control::{ControlState, Directory, Member, MemberAction, RegisterWrite, Ticket};
use quillmount_storage::{RingSize, StorageError};
use quillmount_wire::messages::{DiskId, Epoch, Register, RegisterMessage, Request, decode, encode};
use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::path::Path;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::{Notify, oneshot};

/// The ring of a core member: each record is a whole register.
const RING: RingSize = RingSize { segment: 4 << 20, segments: 4 };
/// Pause between two ticks of the register.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// A change or read that is not certain in this time is given up.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(3000);

/// Why a change was not confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeError {
    /// Nothing was changed: this member is not the primary.
    NotPrimary,
    /// It may or may not come into force.
    Uncertain,
}

/// A member of the core.
pub struct ControlMember {
    /// For tasks that outlive a call.
    this: Weak<ControlMember>,
    pub node: Rc<Node>,
    member: RefCell<Member>,
    disk: DiskWriter,
    waiting: RefCell<HashMap<Ticket, oneshot::Sender<()>>>,
    addresses: RefCell<HashMap<DiskId, String>>,
    /// Told when pollers may have something new.
    pub changed: Notify,
    pub leases: RefCell<Leases>,
    /// The list of endpoints, as read in this epoch.
    pub directory: RefCell<Directory>,
}

impl ControlMember {
    /// Opens the register of a folder.
    pub fn open(node: Rc<Node>, folder: &Path) -> Result<Rc<ControlMember>, StorageError> {
        let (disk, records) = DiskWriter::open(folder, RING)?;
        let newest = records.iter().rev().find_map(|record| {
            decode::<Register>(&record.body).ok().map(|register| (record.segment, register))
        });
        // Each record is whole: older segments are of no use.
        let register = newest.map(|(segment, register)| {
            disk.release(segment);
            register
        });
        let tolerated_failures = node.settings.fault_tolerance.machines;
        let register = register.unwrap_or_default();
        let member = Member::new(node.info.disk, tolerated_failures, register, clock::micros());
        let core = Rc::new_cyclic(|this| ControlMember {
            this: this.clone(),
            member: RefCell::new(member),
            disk,
            waiting: RefCell::default(),
            addresses: RefCell::default(),
            changed: Notify::new(),
            leases: RefCell::default(),
            directory: RefCell::default(),
            node,
        });
        core.update_addresses();
        Ok(core)
    }

    /// Lets time pass for as long as the process lives.
    pub async fn run(self: Rc<ControlMember>) {
        loop {
            tokio::time::sleep(TICK_INTERVAL).await;
            let actions = self.member.borrow_mut().tick(clock::micros());
            self.perform(actions);
        }
    }

    /// Whether the disk held no register at the start and none came since.
    pub fn is_blank(&self) -> bool {
        self.member.borrow().replica().is_blank()
    }

    /// The epoch in which this member serves: elected, and its first value committed.
    pub fn serving(&self) -> Option<Epoch> {
        self.member.borrow().serving()
    }

    /// State committed in this epoch.
    pub fn committed(&self) -> Option<Rc<ControlState>> {
        self.member.borrow().committed()
    }

    /// State committed in this epoch, while a majority was heard lately.
    pub fn committed_if_recent(&self) -> Option<Rc<ControlState>> {
        self.member.borrow().committed_if_recent(clock::micros())
    }

    /// For how long this member has been primary, microseconds.
    pub fn time_as_primary(&self) -> u64 {
        self.member.borrow().time_as_primary(clock::micros())
    }

    /// Internal address of the primary, if it was heard lately.
    pub fn primary_address(&self) -> Option<String> {
        let primary = self.member.borrow().replica().recent_primary(clock::micros())?;
        self.addresses.borrow().get(&primary).cloned()
    }

    /// Core members that have not answered for long.
    pub fn silent_members(&self) -> BTreeSet<DiskId> {
        self.member.borrow().silent_members(clock::micros())
    }

    /// Writes the first value of the whole system.
    pub fn bootstrap(&self, state: &ControlState, addresses: &[(DiskId, String)]) {
        self.addresses.borrow_mut().extend(addresses.iter().cloned());
        let actions = self.member.borrow_mut().bootstrap(state, clock::micros());
        self.perform(actions);
    }

    /// Leaves the primary's place, before the process stops.
    pub fn resign(&self) {
        let actions = self.member.borrow_mut().resign(clock::micros());
        self.perform(actions);
    }

    /// Takes a message of another member; one for another identity was for the disk that was here before.
    pub fn receive(&self, from: DiskId, address: String, to: DiskId, message: RegisterMessage) {
        if to != self.node.info.disk {
            return;
        }
        self.addresses.borrow_mut().insert(from, address);
        let actions = self.member.borrow_mut().receive(from, message, clock::micros());
        self.perform(actions);
    }

    fn update_addresses(&self) {
        let member = self.member.borrow();
        let Some(accepted) = &member.replica().register().accepted else { return };
        if let Ok(state) = ControlState::decode(&accepted.value.payload) {
            let known = state.placement.core.iter().map(|member| (member.disk, member.internal.clone()));
            self.addresses.borrow_mut().extend(known);
            *self.node.members.borrow_mut() =
                state.placement.core.into_iter().map(|member| member.internal).collect();
        }
    }

    fn perform(&self, actions: Vec<MemberAction>) {
        let mut queue: VecDeque<MemberAction> = actions.into();
        while let Some(action) = queue.pop_front() {
            match action {
                MemberAction::Send { to, message } => self.send(to, message),
                MemberAction::Persist { write, register } => self.persist(write, &register),
                MemberAction::Confirmed { ticket } => {
                    if let Some(waiting) = self.waiting.borrow_mut().remove(&ticket) {
                        let _ = waiting.send(());
                    }
                }
                // A dropped sender tells who waits that the outcome is uncertain.
                MemberAction::Uncertain { ticket } => drop(self.waiting.borrow_mut().remove(&ticket)),
                MemberAction::Elected { epoch } => {
                    tracing::info!(epoch, "elected primary of the core");
                    *self.leases.borrow_mut() = Leases::default();
                    *self.directory.borrow_mut() = Directory::default();
                }
                MemberAction::SteppedDown => {
                    tracing::info!("no longer primary of the core");
                    *self.directory.borrow_mut() = Directory::default();
                    self.changed.notify_waiters();
                }
                MemberAction::StateChanged => self.changed.notify_waiters(),
                MemberAction::Accepted => self.update_addresses(),
            }
        }
    }

    fn send(&self, to: DiskId, message: RegisterMessage) {
        let Some(address) = self.addresses.borrow().get(&to).cloned() else { return };
        let from = self.node.info.disk;
        let request = Request::Register { from, address: self.node.info.internal.clone(), to, message };
        self.node.links.notify(&address, &request);
    }

    fn persist(&self, write: RegisterWrite, register: &Register) {
        let written = self.disk.append(encode(register));
        let Some(core) = self.this.upgrade() else { return };
        tokio::task::spawn_local(async move {
            match written.await {
                Ok(Ok(written)) => {
                    // Each record is whole: older segments are of no use.
                    core.disk.release(written.segment);
                    let actions = core.member.borrow_mut().persisted(write, clock::micros());
                    core.perform(actions);
                }
                Ok(Err(error)) => {
                    tracing::error!(%error, "the control state could not be written");
                    core.member.borrow_mut().persist_failed(write);
                }
                Err(_) => tracing::error!("the disk's thread has ended"),
            }
        });
    }

    /// Changes the control state; returns once the change, and all that its outcome rests on, is committed.
    pub async fn change<T>(&self, change: impl FnOnce(&mut ControlState) -> T) -> Result<T, ChangeError> {
        let begun = self.member.borrow_mut().change(change, clock::micros());
        let (outcome, ticket, actions) = begun.map_err(|_| ChangeError::NotPrimary)?;
        if self.wait_for(ticket, actions).await { Ok(outcome) } else { Err(ChangeError::Uncertain) }
    }

    /// Confirms that this member is still primary: what it has committed is the newest there is.
    pub async fn confirm(&self) -> Result<(), ChangeError> {
        let begun = self.member.borrow_mut().confirm(clock::micros());
        let (ticket, actions) = begun.map_err(|_| ChangeError::NotPrimary)?;
        if self.wait_for(ticket, actions).await { Ok(()) } else { Err(ChangeError::NotPrimary) }
    }

    /// Waits until a ticket is certain, for a bounded time; whether it is.
    async fn wait_for(&self, ticket: Ticket, actions: Vec<MemberAction>) -> bool {
        let (done, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(ticket, done);
        self.perform(actions);
        let certain = matches!(tokio::time::timeout(CHANGE_TIMEOUT, receiver).await, Ok(Ok(())));
        self.waiting.borrow_mut().remove(&ticket);
        certain
    }
}
