//! Runs the replica of a shard on sockets and disk: performs the actions of [`ShardReplica`].
//!
//! `ShardReplica` is the replication state machine, without I/O. Every event (a call, a commit, a synced write, an answer, a
//! tick) is passed to it, and the actions that it returns are performed. Effects outside the shard go to the store through
//! [`ShardHost`].

use super::term::PrimaryTerm;
use super::waiters::Waiters;
use crate::clock;
use crate::node::Node;
use quillmount_batch::{
    CallId, OperationId, ShardAction, ShardReplica, ShardReplicaId, StoreRecord, WriteId,
};
use quillmount_wire::Micros;
use quillmount_wire::messages::{
    DiskId, Epoch, Request, Response, ShardMessage, ShardOperation, ShardReport, ShardView,
};
use std::cell::{Cell, Ref, RefCell};
use std::rc::Rc;
use std::time::Duration;

/// Reasons why an operation is not known to be committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommitError {
    /// The operation was not started and has no effect.
    #[error("the operation was not started and has no effect; it may be retried")]
    NotStarted,
    /// The outcome is unknown: some replicas may have the operation.
    #[error("the outcome of the operation is unknown")]
    Uncertain,
}

/// Interface of the store that a shard belongs to.
pub trait ShardHost: 'static {
    /// The process that the store runs in.
    fn node(&self) -> &Node;

    /// Queues a record of a shard's replica for writing. The store has to call [`Shard::on_written`] for each record, in the same
    /// order.
    fn write(&self, shard: u32, write: WriteId, record: &StoreRecord);

    /// Requests that the store calls [`Shard::tick`] regularly until it returns `false`.
    fn request_tick(&self);

    /// Called when the store starts to serve the shard as primary.
    fn on_term_started(&self, served: &ServedShard);

    /// Called when a job was committed in a shard that this store serves as primary.
    fn on_job_committed(&self, served: &ServedShard, job: &str);
}

/// A shard at one store: its replica and the callers that wait for it.
pub struct Shard {
    /// Index of the shard in the placement.
    pub number: u32,
    replica: RefCell<ShardReplica>,
    /// Current term; `None` unless this store serves as primary.
    term: RefCell<Option<Rc<PrimaryTerm>>>,
    /// Calls of other stores that wait for a response.
    incoming_calls: Waiters<Response>,
    operations: Waiters<Result<(), CommitError>>,
    reads: Waiters<bool>,
    rewrites: Waiters<bool>,
    last_id: Cell<u64>,
}

/// A shard together with the term in which this store serves it as primary.
#[derive(Clone)]
pub struct ServedShard {
    /// The shard, of which this store is the primary during the term.
    pub shard: Rc<Shard>,
    /// The term; it may have ended in the meantime.
    pub term: Rc<PrimaryTerm>,
}

/// A call from the local replica to the replica at another store.
struct OutgoingCall {
    call: CallId,
    member: DiskId,
    epoch: Epoch,
    message: ShardMessage,
    timeout: Micros,
}

impl Shard {
    /// Creates a shard with an empty replica.
    pub fn new(identity: ShardReplicaId) -> Shard {
        Shard {
            number: identity.shard,
            replica: RefCell::new(ShardReplica::new(identity)),
            term: RefCell::new(None),
            incoming_calls: Waiters::default(),
            operations: Waiters::default(),
            reads: Waiters::default(),
            rewrites: Waiters::default(),
            last_id: Cell::new(0),
        }
    }

    /// Replays a record from the disk. Records must be passed in the order in which they were written.
    pub fn recover(&self, record: StoreRecord) {
        self.replica.borrow_mut().recover(record);
    }

    /// Returns the state of the replica.
    pub fn replica(&self) -> Ref<'_, ShardReplica> {
        self.replica.borrow()
    }

    /// Returns the current term, if this store serves as primary.
    pub fn term(&self) -> Option<Rc<PrimaryTerm>> {
        self.term.borrow().clone()
    }

    /// Returns this shard with its current term, if this store serves as primary.
    pub fn served(self: &Rc<Self>) -> Option<ServedShard> {
        self.term().map(|term| ServedShard { shard: self.clone(), term })
    }

    /// Returns this shard with its current term, if this store serves as primary in this epoch.
    pub fn serving(self: &Rc<Self>, epoch: Epoch) -> Option<ServedShard> {
        let is_serving = self.replica().serving() == Some(epoch);
        self.served().filter(|_| is_serving)
    }

    /// Returns the report of the primary to the core about the other replicas, if there is anything to report.
    pub fn report(&self) -> Option<ShardReport> {
        self.replica.borrow_mut().report()
    }

    /// Adopts the view of the shard from the placement, if it is newer.
    pub fn follow_view<H: ShardHost>(self: &Rc<Self>, host: &Rc<H>, view: &ShardView) {
        let actions = self.replica.borrow_mut().follow_view(view, clock::now());
        self.perform(host, actions);
    }

    /// Ticks the replica if its state may change with time, and returns whether that is the case.
    pub fn tick<H: ShardHost>(self: &Rc<Self>, host: &Rc<H>) -> bool {
        if !self.replica().needs_tick() {
            return false;
        }
        let actions = self.replica.borrow_mut().tick(clock::now());
        self.perform(host, actions);
        true
    }

    /// Reports to the replica that a record was synced, or that its write failed.
    pub fn on_written<H: ShardHost>(self: &Rc<Self>, host: &Rc<H>, write: WriteId, synced: bool) {
        let actions = self.replica.borrow_mut().on_written(write, synced, clock::now());
        self.perform(host, actions);
    }

    /// Passes a message of the shard's primary to the replica and returns the response.
    pub async fn answer<H: ShardHost>(
        self: &Rc<Self>,
        host: &Rc<H>,
        epoch: Epoch,
        message: ShardMessage,
    ) -> Response {
        let request = self.allocate_id();
        let response = self.incoming_calls.register(request);
        let actions = self.replica.borrow_mut().receive(request, epoch, message, clock::random_id());
        self.perform(host, actions);
        response.await.unwrap_or(Response::Uncertain)
    }

    /// Commits an operation as primary, and waits for the outcome.
    ///
    /// # Errors
    /// [`CommitError::NotStarted`] if the operation has no effect, [`CommitError::Uncertain`] if its outcome is unknown.
    pub async fn commit<H: ShardHost>(
        self: &Rc<Self>,
        host: &Rc<H>,
        change: ShardOperation,
    ) -> Result<(), CommitError> {
        let operation = self.allocate_id();
        let outcome = self.operations.register(operation);
        let actions = self.replica.borrow_mut().commit(operation, change, clock::now());
        self.perform(host, actions);
        outcome.await.unwrap_or(Err(CommitError::Uncertain))
    }

    /// Confirms with the other replicas that this store is still primary, so that its committed state is the newest. Returns
    /// whether that succeeded by the deadline.
    pub async fn confirm<H: ShardHost>(self: &Rc<Self>, host: &Rc<H>, deadline: Micros) -> bool {
        let read = self.allocate_id();
        let confirmed = self.reads.register(read);
        let actions = self.replica.borrow_mut().confirm(read, deadline, clock::now());
        self.perform(host, actions);
        confirmed.await.unwrap_or(false)
    }

    /// Writes all jobs to the disk again, and returns whether all of them were synced.
    pub async fn rewrite<H: ShardHost>(self: &Rc<Self>, host: &Rc<H>) -> bool {
        let request = self.allocate_id();
        let complete = self.rewrites.register(request);
        let actions = self.replica.borrow_mut().rewrite(request);
        self.perform(host, actions);
        complete.await.unwrap_or(false)
    }

    fn allocate_id(&self) -> u64 {
        self.last_id.set(self.last_id.get() + 1);
        self.last_id.get()
    }

    /// Performs actions in the given order; the replica relies on that order.
    fn perform<H: ShardHost>(self: &Rc<Self>, host: &Rc<H>, actions: Vec<ShardAction>) {
        for action in actions {
            self.perform_one(host, action);
        }
        if self.replica().needs_tick() {
            host.request_tick();
        }
    }

    fn perform_one<H: ShardHost>(self: &Rc<Self>, host: &Rc<H>, action: ShardAction) {
        match action {
            ShardAction::Write { write, record } => host.write(self.number, write, &record),
            ShardAction::Call { call, member, epoch, message, timeout } => {
                let (shard, host) = (self.clone(), host.clone());
                let outgoing = OutgoingCall { call, member, epoch, message, timeout };
                // The task ends with the answer or timeout of the call, which the replica waits for.
                tokio::task::spawn_local(async move { shard.call(&host, outgoing).await });
            }
            ShardAction::Answer { request, response } => self.incoming_calls.complete(request, response),
            ShardAction::Committed { operation, change } => self.on_committed(host, operation, &change),
            ShardAction::Uncertain { operation } => {
                self.operations.complete(operation, Err(CommitError::Uncertain));
            }
            ShardAction::NotStarted { operation } => {
                self.operations.complete(operation, Err(CommitError::NotStarted));
            }
            ShardAction::Serving { epoch } => self.begin_term(host, epoch),
            ShardAction::SteppedDown => self.end_term(),
            ShardAction::ReadConfirmed { read } => self.reads.complete(read, true),
            ShardAction::ReadRejected { read } => self.reads.complete(read, false),
            ShardAction::ReportDue => host.node().report_due.notify_one(),
            ShardAction::Rewritten { request, complete } => self.rewrites.complete(request, complete),
        }
    }

    /// Calls another replica and passes the answer, or `None` if there is no answer, to the local replica.
    async fn call<H: ShardHost>(self: &Rc<Self>, host: &Rc<H>, outgoing: OutgoingCall) {
        let OutgoingCall { call, member, epoch, message, timeout } = outgoing;
        let node = host.node();
        let tables = node.tables();
        let target = tables.placement.stores.iter().find(|store| store.disk == member);
        let answer = match target {
            Some(target) => {
                let request = Request::Shard { to: member, shard: self.number, epoch, message };
                let timeout = Duration::from_micros(timeout);
                node.links.call(&target.internal, &request, timeout).await.ok()
            }
            None => None,
        };
        let actions = self.replica.borrow_mut().on_answer(call, answer, clock::now());
        self.perform(host, actions);
    }

    fn on_committed<H: ShardHost>(
        self: &Rc<Self>,
        host: &Rc<H>,
        operation: OperationId,
        change: &ShardOperation,
    ) {
        self.operations.complete(operation, Ok(()));
        let Some(served) = self.served() else { return };
        match change {
            ShardOperation::Submit(job) => host.on_job_committed(&served, &job.id),
            ShardOperation::End { job } => served.term.cancel(job),
            ShardOperation::Forget { job } => served.term.untrack(job),
            ShardOperation::Append { .. } => {}
        }
        served.term.updates.notify_waiters();
    }

    fn begin_term<H: ShardHost>(self: &Rc<Self>, host: &Rc<H>, epoch: Epoch) {
        tracing::info!(shard = self.number, epoch, "started to serve the shard as primary");
        let term = PrimaryTerm::new(epoch);
        *self.term.borrow_mut() = Some(term.clone());
        host.on_term_started(&ServedShard { shard: self.clone(), term });
    }

    fn end_term(&self) {
        if let Some(term) = self.term.take() {
            tracing::info!(shard = self.number, "stopped serving the shard as primary");
            term.end();
        }
    }
}
