//! Settlements on sockets: a client's message of a settlement is forwarded to the settlement's owner, which journals it and
//! submits one position after the other to its router.
//!
//! `quillmount_fleet::settlement` has the two state machines: one for the settlements that this courier owns, and one that
//! forwards clients' messages to the owners of all others. [`SettlementHost`] connects them to the courier, one file for each
//! connection:
//!
//! - `intake` takes clients' messages from the HTTP server and answers them;
//! - `requests` carries requests and replies between couriers, and proposals to the fleet's leader;
//! - `records` writes the owner's records to the courier's journal;
//! - `actions` carries the owner's other outputs out, in order, each once the journal as it is by then has been replicated;
//! - `attempts` submits messages to the router, and reports their ends;
//! - `takeover` reads what earlier owners of a settlement wrote.
//!
//! Here the machines are put together: the tasks, the timers, and what the membership reports.

mod actions;
mod attempts;
mod intake;
mod pending_action;
mod records;
mod requests;
mod takeover;

use super::links::PeerLinks;
use super::stores::SharedMember;
use crate::transport::courier::Courier;
use attempts::Attempt;
use bytes::Bytes;
use pending_action::PendingAction;
use quillmount_core::journal::Settlements;
use quillmount_fleet::config::Name;
use quillmount_fleet::settlement::forward::ForwardInput;
use quillmount_fleet::settlement::journal_lines::MessagePayload;
use quillmount_fleet::settlement::owner::{OwnerInput, OwnerOutput};
use quillmount_fleet::settlement::{
    OwnedSettlements, RequestForwarder, SettlementCommand, SettlementEvent, SettlementId, SettlementLimits,
    SettlementMessage,
};
use quillmount_fleet::state::Epoch;
use quillmount_policy::Micros;
use records::UnwrittenRecords;
use requests::PendingRequest;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use takeover::PendingFetch;
use tokio::sync::Notify;

/// The log target of this module's files, which operators filter by.
const LOG_TARGET: &str = "quillmount::fleet::settlements";

/// What a [`SettlementHost`] starts with.
pub struct HostSetup {
    /// The courier whose journal and router the settlements use.
    pub courier: Rc<Courier>,
    /// The member machine, which has the agreed state of all settlements.
    pub member: SharedMember,
    /// The links to the other couriers.
    pub links: Rc<PeerLinks>,
    /// Proposes a command to the fleet.
    pub propose: Box<dyn Fn(SettlementCommand)>,
    /// This courier's name in the fleet.
    pub local_name: Name,
    /// The epoch of its registration.
    pub epoch: Epoch,
    /// Partners whose settlements are carried.
    pub dests: BTreeSet<u64>,
    /// The lines about settlements that the journal has.
    pub lines: Settlements,
}

/// Runs the settlements that this courier owns, and forwards clients' messages of all others.
pub struct SettlementHost {
    courier: Rc<Courier>,
    member: SharedMember,
    links: Rc<PeerLinks>,
    propose: Box<dyn Fn(SettlementCommand)>,
    local_name: Name,
    epoch: Epoch,
    /// Partners whose settlements are carried.
    dests: BTreeSet<u64>,
    state: RefCell<HostState>,
    work_added: Notify,
    timers_changed: Notify,
}

/// The two machines, and their work in progress.
struct HostState {
    owned: OwnedSettlements,
    forwarder: RequestForwarder,
    /// The journal's lines about settlements.
    lines: Settlements,
    /// The messages of owned settlements that have not been delivered, by position.
    payloads: BTreeMap<(SettlementId, u64), MessagePayload>,
    pending_actions: VecDeque<PendingAction>,
    /// Commands for the fleet's leader that clients' messages need.
    proposals: VecDeque<SettlementCommand>,
    /// Records whose write has failed, to be written again at `write_at`.
    unwritten: Vec<UnwrittenRecords>,
    write_at: Micros,
    /// Messages whose clients wait for the owner's reply, by ticket.
    pending_requests: BTreeMap<u64, PendingRequest>,
    last_ticket: u64,
    /// Messages that the router has, by id.
    submitted: BTreeMap<String, Attempt>,
    /// Settlements whose earlier owners' journals are not here yet.
    fetches: BTreeMap<SettlementId, PendingFetch>,
}

impl SettlementHost {
    /// Starts from what the journal has. From here on the fleet passes on what is committed and received.
    pub fn start(setup: HostSetup) -> Rc<SettlementHost> {
        let HostSetup { courier, member, links, propose, local_name, epoch, dests, lines } = setup;
        let state = HostState {
            owned: OwnedSettlements::new(&local_name, epoch, SettlementLimits::default()),
            forwarder: RequestForwarder::new(&local_name, epoch),
            lines,
            payloads: BTreeMap::new(),
            pending_actions: VecDeque::new(),
            proposals: VecDeque::new(),
            unwritten: Vec::new(),
            write_at: Micros::MAX,
            pending_requests: BTreeMap::new(),
            last_ticket: 0,
            submitted: BTreeMap::new(),
            fetches: BTreeMap::new(),
        };
        let host = Rc::new(SettlementHost {
            courier,
            member,
            links,
            propose,
            local_name,
            epoch,
            dests,
            state: RefCell::new(state),
            work_added: Notify::new(),
            timers_changed: Notify::new(),
        });
        host.clone().register();
        host.step_owned(OwnerInput::Snapshot, None);
        actix_rt::spawn(host.clone().run_actions());
        actix_rt::spawn(host.clone().run_proposals());
        actix_rt::spawn(host.clone().run_timers());
        host
    }

    /// Receives clients' messages, and the ends of those that the router has, from the courier from now on.
    fn register(self: Rc<Self>) {
        let observer = self.clone();
        self.courier.clone().set_settlement_hooks(
            Box::new(move |submission, addressing| self.clone().submit(submission, addressing)),
            Box::new(move |message_id, end| observer.message_ended(message_id, end)),
        );
    }

    fn now(&self) -> Micros {
        self.courier.clock.now()
    }

    /// Handles a committed change of the fleet's state.
    pub fn committed(&self, event: SettlementEvent) {
        match &event {
            SettlementEvent::Opened { id, owner, .. } if owner.courier == self.local_name => {
                tracing::info!(target: LOG_TARGET, "settlement: {} is owned here", id.position_ref(0));
            }
            SettlementEvent::Closed { id, owner, verdict } if owner.courier == self.local_name => {
                tracing::info!(target: LOG_TARGET, "settlement: {} is {verdict}", id.position_ref(0));
            }
            _ => {}
        }
        self.step_owned(OwnerInput::Committed(event.clone()), None);
        self.step_forwarder(ForwardInput::Committed(event));
    }

    /// Handles a snapshot of the fleet's state.
    pub fn snapshot(&self) {
        self.step_owned(OwnerInput::Snapshot, None);
    }

    /// The journal is sealed: nothing more is done here.
    pub fn fence(&self) {
        self.step_owned(OwnerInput::Sealed, None);
        self.state.borrow_mut().pending_actions.clear();
    }

    /// Handles another courier's request or reply.
    pub fn receive(&self, from: Name, message: SettlementMessage, payload: &Bytes) {
        match message {
            SettlementMessage::Request { id, request } => {
                // One that can't be read is of another version; the client gets a 503 and retries.
                let Ok(payload) = postcard::from_bytes::<Option<MessagePayload>>(payload) else { return };
                self.step_owned(OwnerInput::Request { from, id, request }, payload);
            }
            SettlementMessage::Reply { id, request, reply } => {
                self.step_forwarder(ForwardInput::Reply { id, request, reply });
            }
        }
    }

    /// Steps the machine of owned settlements. `payload`: that of the requested message.
    fn step_owned(&self, input: OwnerInput, payload: Option<MessagePayload>) {
        let outputs = {
            let member = self.member.borrow();
            self.state.borrow_mut().owned.step(&member.state().settlements, input, self.now())
        };
        for output in outputs {
            match output {
                OwnerOutput::Write { seq, records } => self.write(seq, records, payload.as_ref()),
                output => {
                    let action = PendingAction::Perform(Box::new(output));
                    self.state.borrow_mut().pending_actions.push_back(action);
                }
            }
        }
        self.work_added.notify_waiters();
        self.timers_changed.notify_one();
    }

    /// Calls the machines' timers, and writes failed records again, at their times. Never returns.
    async fn run_timers(self: Rc<Self>) {
        loop {
            let wake = {
                let state = self.state.borrow();
                let write = Some(state.write_at).filter(|at| *at < Micros::MAX);
                [state.owned.wake_at(), state.forwarder.wake_at(), write].into_iter().flatten().min()
            };
            let changed = self.timers_changed.notified();
            if wake.is_some_and(|at| at <= self.now()) {
                self.retry_writes();
                self.step_owned(OwnerInput::Tick, None);
                self.step_forwarder(ForwardInput::Tick);
                // A timer stays due until its work is done: other tasks run meanwhile.
                actix_rt::task::yield_now().await;
                continue;
            }
            tokio::select! {
                () = self.courier.clock.sleep_until(wake) => {}
                () = changed => {}
            }
        }
    }
}
