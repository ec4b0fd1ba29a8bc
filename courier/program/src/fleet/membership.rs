//! A courier's membership of its fleet, from the registration to the leave: it steps the member machine with messages, with
//! the time and with what the courier does.
//!
//! `outputs` and `takeover` carry out what the machine asks for, `replication` reports what the courier writes.

mod outputs;
mod replication;
mod takeover;

use super::LOG_TARGET;
use super::budget::Budgets;
use super::error::FleetError;
use super::links::PeerLinks;
use super::settings::config_from;
use super::settlements::{HostSetup, SettlementHost};
use super::state_folder::{JOURNAL_FILE, put_journal_aside};
use super::stores::SharedMember;
use crate::transport::clock::Clock;
use crate::transport::connection_budget::ConnectionBudget;
use crate::transport::courier::Courier;
use crate::transport::gate::Gate;
use quillmount_core::journal::{JournalContents, Settlements};
use quillmount_fleet::member::{MemberInput, MemberOutput};
use quillmount_fleet::message::Envelope;
use quillmount_fleet::state::PartitionId;
use quillmount_operator::fleet::Fleet as FleetSettings;
use std::cell::{Cell, OnceCell};
use std::collections::BTreeSet;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use takeover::TakeoverQueue;
use tokio::sync::Notify;

/// Time for the last records of a planned stop to reach the replicas: half of what a planned stop allows for the leave.
const FINAL_REPLICATION_TIMEOUT: Duration = Duration::from_millis(100);

/// A courier's registration as a member.
#[derive(Clone, Copy, Debug)]
pub struct Joined {
    /// Whether the journal in the folder is still the courier's own.
    pub retained: bool,
}

/// This courier's membership of its fleet.
pub struct Fleet {
    clock: Clock,
    member: SharedMember,
    /// Partners' connection budgets, where the section has some.
    budgets: Option<Rc<Budgets>>,
    links: Rc<PeerLinks>,
    /// Where the courier's records wait until they are replicated, and its calls for the lease.
    pub gate: Rc<Gate>,
    takeovers: TakeoverQueue,
    joined: Cell<Option<Joined>>,
    joined_notify: Notify,
    is_fenced: Cell<bool>,
    /// Notified once the journal is sealed: others have its work, and the process has to start over.
    pub fenced_notify: Notify,
    left: Notify,
    timers_changed: Notify,
    /// Partners whose settlements are carried.
    settlement_dests: BTreeSet<u64>,
    settlement_host: OnceCell<Rc<SettlementHost>>,
}

/// What a [`Fleet`] is made of.
pub(super) struct MembershipSetup {
    /// The time that all deadlines are given in.
    pub(super) clock: Clock,
    /// The member machine.
    pub(super) member: SharedMember,
    /// Partners' connection budgets, where the section has some.
    pub(super) budgets: Option<Rc<Budgets>>,
    /// The links to the other members.
    pub(super) links: PeerLinks,
    /// Where the courier's records and calls wait.
    pub(super) gate: Gate,
    /// Partners whose settlements are carried.
    pub(super) settlement_dests: BTreeSet<u64>,
}

impl Fleet {
    /// A courier that is not a member yet.
    pub(super) fn new(setup: MembershipSetup) -> Rc<Fleet> {
        Rc::new(Fleet {
            clock: setup.clock,
            member: setup.member,
            budgets: setup.budgets,
            links: Rc::new(setup.links),
            gate: Rc::new(setup.gate),
            takeovers: TakeoverQueue::default(),
            joined: Cell::new(None),
            joined_notify: Notify::new(),
            is_fenced: Cell::new(false),
            fenced_notify: Notify::new(),
            left: Notify::new(),
            timers_changed: Notify::new(),
            settlement_dests: setup.settlement_dests,
            settlement_host: OnceCell::new(),
        })
    }

    /// Carries out the machine's first outputs, and spawns the timers and the replication, which last as long as the process.
    pub(super) fn begin(self: &Rc<Self>, outputs: Vec<MemberOutput>) {
        actix_rt::spawn(self.clone().run_timers());
        actix_rt::spawn(self.clone().replicate());
        self.carry_out(outputs, None);
    }

    /// Waits until the courier is a member.
    pub async fn joined(&self) -> Joined {
        loop {
            let joined_notify = self.joined_notify.notified();
            if let Some(joined) = self.joined.get() {
                return joined;
            }
            joined_notify.await;
        }
    }

    /// The courier is registered.
    fn set_joined(&self, joined: Joined) {
        self.joined.set(Some(joined));
        self.joined_notify.notify_waiters();
    }

    /// Puts a journal aside that others have taken over, and records the lineage under which the courier has joined: the
    /// folder's journal belongs to that from here on.
    ///
    /// # Errors
    /// The folder refuses it.
    pub fn begin_journal(&self, folder: &Path, retained: bool) -> Result<(), FleetError> {
        let mut member = self.member.borrow_mut();
        if !retained && member.is_first() {
            tracing::info!(
                target: LOG_TARGET,
                "fleet: the journal from before the membership stays its own: nobody else has it"
            );
        } else if !retained {
            put_journal_aside(&mut member, folder)?;
        }
        let lineage = member.agreed_lineage();
        member.record_lineage(lineage)?;
        Ok(())
    }

    /// Connects the courier, whose journal is open: it is replicated from here on, and messages taken over come to the
    /// courier.
    ///
    /// # Errors
    /// The journal can't be read.
    pub fn attach(self: &Rc<Self>, courier: &Rc<Courier>, folder: &Path) -> Result<(), FleetError> {
        let bytes = std::fs::read(folder.join(JOURNAL_FILE))?;
        let lines = JournalContents::read(&bytes).0.settlements;
        let unsettled: BTreeSet<_> =
            courier.unsettled().iter().chain(lines.unsettled()).map(PartitionId::from).collect();
        let unsettled: Vec<_> = unsettled.into_iter().collect();
        self.gate.add_takeovers(unsettled.len() as isize);
        self.gate.begin(bytes.len() as u64);
        self.step(MemberInput::JournalOpened { bytes, unsettled });
        self.start_settlements(courier, lines);
        actix_rt::spawn(self.clone().run_takeovers(courier.clone()));
        if let Some(budgets) = &self.budgets {
            actix_rt::spawn(budgets.clone().run(courier.clone()));
        }
        Ok(())
    }

    /// The limits of connections to partners, where the section has some.
    pub fn connection_budget(&self) -> Option<Rc<dyn ConnectionBudget>> {
        let budgets = self.budgets.clone()?;
        Some(budgets)
    }

    /// Starts to carry settlements, from the lines about them that the courier's journal has.
    fn start_settlements(self: &Rc<Self>, courier: &Rc<Courier>, lines: Settlements) {
        let (local_name, epoch) = {
            let member = self.member.borrow();
            (member.config.local_name.clone(), member.epoch())
        };
        let Some(epoch) = epoch else { return };
        let fleet = self.clone();
        let host = SettlementHost::start(HostSetup {
            courier: courier.clone(),
            member: self.member.clone(),
            links: self.links.clone(),
            propose: Box::new(move |command| fleet.step(MemberInput::Settlement(command))),
            local_name,
            epoch,
            dests: self.settlement_dests.clone(),
            lines,
        });
        let _ = self.settlement_host.set(host);
    }

    /// What carries settlements, once the courier is connected.
    fn settlement_host(&self) -> Option<&Rc<SettlementHost>> {
        self.settlement_host.get()
    }

    /// A planned stop: gives the journal to others without waiting for the lease to lapse, and puts its file aside.
    ///
    /// # Errors
    /// The folder refuses it.
    pub async fn leave(&self, folder: &Path) -> Result<(), FleetError> {
        let left = self.left.notified();
        self.flush();
        // Records that are not replicated are lost to those who take over: a message that has ended would be open.
        let _ = actix_rt::time::timeout(FINAL_REPLICATION_TIMEOUT, self.gate.wait_until_replicated()).await;
        self.step(MemberInput::Leave);
        left.await;
        let mut member = self.member.borrow_mut();
        if member.has_left() {
            put_journal_aside(&mut member, folder)?;
        }
        Ok(())
    }

    /// Applies an operator file that was read again: its voters count from now on.
    pub fn reload(&self, settings: &FleetSettings) {
        let config = config_from(settings);
        let mut member = self.member.borrow_mut();
        member.config.voters = config.voters.clone();
        if member.config != config || !settings.on {
            tracing::warn!(
                target: LOG_TARGET,
                "fleet: only the voters are read while serving: start again for the rest of the section"
            );
        }
    }

    /// Whether the fleet has sealed this courier's journal.
    fn is_fenced(&self) -> bool {
        self.is_fenced.get()
    }

    /// The fleet has sealed this courier's journal: nothing more is done here.
    fn fence(&self) {
        self.gate.set_lease_end(0);
        self.is_fenced.set(true);
        if let Some(host) = self.settlement_host() {
            host.fence();
        }
        self.fenced_notify.notify_one();
    }

    /// Handles another courier's messages; returns the messages that go back in the same exchange.
    pub(super) fn receive(&self, envelope: Envelope) -> Option<Envelope> {
        let from = envelope.from.clone();
        let outputs = self.member.borrow_mut().step(MemberInput::Received(envelope), self.clock.now());
        let messages = self.carry_out_result(outputs, Some(&from));
        if messages.is_empty() {
            return None;
        }
        let member = self.member.borrow();
        let node_id = member.agreement().node_id();
        Some(Envelope { from: member.config.local_name.clone(), to: from, node_id, messages })
    }

    /// Steps the member machine, and carries its outputs out.
    pub(super) fn step(&self, input: MemberInput) {
        let outputs = self.member.borrow_mut().step(input, self.clock.now());
        self.carry_out_result(outputs, None);
    }

    /// Calls the member's timers at the times that it asks for. Never returns.
    async fn run_timers(self: Rc<Self>) {
        loop {
            let wake = self.member.borrow().wake_at();
            let changed = self.timers_changed.notified();
            if wake.is_some_and(|at| at <= self.clock.now()) {
                self.step(MemberInput::Tick);
                continue;
            }
            tokio::select! {
                () = self.clock.sleep_until(wake) => {}
                () = changed => {}
            }
        }
    }
}
