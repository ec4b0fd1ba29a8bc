//! A shard's replica on sockets and disk: carries out what [`ShardReplica`] decides.
//!
//! `ShardReplica` is the replication state machine, without I/O. Whatever happens here (a call, a commit, a synced write, an
//! answer, a tick) is handed to it, and the actions that it returns are performed. What reaches beyond the shard goes to
//! the store through [`ShardHost`].

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

/// Why an operation was not committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommitError {
    /// It was not started: nothing happened.
    #[error("the operation was not started")]
    NotStarted,
    /// The outcome is unknown: replicas may have it.
    #[error("the outcome of the operation is unknown")]
    Uncertain,
}

/// What a shard needs of the store that it belongs to.
pub trait ShardHost: 'static {
    /// The process.
    fn node(&self) -> &Node;

    /// Queues a record of a shard's replica for the disk; [`Shard::on_written`] is to be called for each, in the same order.
    fn write(&self, shard: u32, write: WriteId, record: &StoreRecord);

    /// Asks for [`Shard::tick`] to be called.
    fn request_tick(&self);

    /// The store serves the shard as primary from now on.
    fn on_term_started(&self, served: &ServedShard);

    /// A job was committed in a shard that is served here.
    fn on_job_committed(&self, served: &ServedShard, job: &str);
}

/// A shard, as one store has it.
pub struct Shard {
    /// Index of the shard in the placement.
    pub number: u32,
    replica: RefCell<ShardReplica>,
    /// The present term, while this store serves as primary.
    term: RefCell<Option<Rc<PrimaryTerm>>>,
    /// Calls of other stores.
    calls: Waiters<Response>,
    operations: Waiters<Result<(), CommitError>>,
    reads: Waiters<bool>,
    rewrites: Waiters<bool>,
    last_id: Cell<u64>,
}

/// A shard together with the term in which this store serves it as primary.
#[derive(Clone)]
pub struct ServedShard {
    /// The shard.
    pub shard: Rc<Shard>,
    /// The term, which may have ended since.
    pub term: Rc<PrimaryTerm>,
}

/// A call that a replica makes to another one.
struct OutgoingCall {
    call: CallId,
    member: DiskId,
    epoch: Epoch,
    message: ShardMessage,
    timeout: Micros,
}

impl Shard {
    /// A shard whose replica has nothing yet.
    pub fn new(identity: ShardReplicaId) -> Shard {
        Shard {
            number: identity.shard,
            replica: RefCell::new(ShardReplica::new(identity)),
            term: RefCell::new(None),
            calls: Waiters::default(),
            operations: Waiters::default(),
            reads: Waiters::default(),
            rewrites: Waiters::default(),
            last_id: Cell::new(0),
        }
    }

    /// Restores a record that was found on the disk; records come in the order in which they were written.
    pub fn recover(&self, record: StoreRecord) {
        self.replica.borrow_mut().recover(record);
    }

    /// The replica's state.
    pub fn replica(&self) -> Ref<'_, ShardReplica> {
        self.replica.borrow()
    }

    /// The present term, if this store serves as primary.
    pub fn term(&self) -> Option<Rc<PrimaryTerm>> {
        self.term.borrow().clone()
    }

    /// This shard and its present term, if this store serves as primary.
    pub fn served(self: &Rc<Self>) -> Option<ServedShard> {
        self.term().map(|term| ServedShard { shard: self.clone(), term })
    }

    /// This shard and its present term, if this store serves as primary in this epoch.
    pub fn serving(self: &Rc<Self>, epoch: Epoch) -> Option<ServedShard> {
        let serves = self.replica().serving() == Some(epoch);
        self.served().filter(|_| serves)
    }

    /// What the primary has to report to the core about the other replicas, if anything.
    pub fn report(&self) -> Option<ShardReport> {
        self.replica.borrow_mut().report()
    }

    /// Adopts the shard's view in the placement, if it is newer.
    pub fn follow_view<H: ShardHost>(self: &Rc<Self>, host: &Rc<H>, view: &ShardView) {
        let actions = self.replica.borrow_mut().follow_view(view, clock::now());
        self.perform(host, actions);
    }

    /// Ticks the replica if it waits for time to pass; whether it does.
    pub fn tick<H: ShardHost>(self: &Rc<Self>, host: &Rc<H>) -> bool {
        if !self.replica().needs_tick() {
            return false;
        }
        let actions = self.replica.borrow_mut().tick(clock::now());
        self.perform(host, actions);
        true
    }

    /// A record is synced, or could not be written.
    pub fn on_written<H: ShardHost>(self: &Rc<Self>, host: &Rc<H>, write: WriteId, synced: bool) {
        let actions = self.replica.borrow_mut().on_written(write, synced, clock::now());
        self.perform(host, actions);
    }

    /// Answers a call of the shard's primary.
    pub async fn answer<H: ShardHost>(
        self: &Rc<Self>,
        host: &Rc<H>,
        epoch: Epoch,
        message: ShardMessage,
    ) -> Response {
        let request = self.allocate_id();
        let response = self.calls.register(request);
        let actions = self.replica.borrow_mut().receive(request, epoch, message, clock::random_id());
        self.perform(host, actions);
        response.await.unwrap_or(Response::Uncertain)
    }

    /// Commits an operation as primary; returns once its outcome is known.
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

    /// Confirms with the other replicas that this store is still primary, and so that its committed state is the newest;
    /// whether that succeeds by `until`.
    pub async fn confirm<H: ShardHost>(self: &Rc<Self>, host: &Rc<H>, until: Micros) -> bool {
        let read = self.allocate_id();
        let confirmed = self.reads.register(read);
        let actions = self.replica.borrow_mut().confirm(read, until, clock::now());
        self.perform(host, actions);
        confirmed.await.unwrap_or(false)
    }

    /// Writes all jobs to the disk once more; whether they are synced.
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

    /// Performs actions in their order, which the replica relies on.
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
                // Ends with the call's answer or timeout, which the replica waits for.
                tokio::task::spawn_local(async move { shard.call(&host, outgoing).await });
            }
            ShardAction::Answer { request, response } => self.calls.complete(request, response),
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

    /// Makes a call to another replica and hands its answer, or that there is none, to the replica.
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
            ShardOperation::Forget { job } => served.term.forget(job),
            ShardOperation::Append { .. } => {}
        }
        served.term.updates.notify_waiters();
    }

    fn begin_term<H: ShardHost>(self: &Rc<Self>, host: &Rc<H>, epoch: Epoch) {
        tracing::info!(shard = self.number, epoch, "serving");
        let term = PrimaryTerm::new(epoch);
        *self.term.borrow_mut() = Some(term.clone());
        host.on_term_started(&ServedShard { shard: self.clone(), term });
    }

    fn end_term(&self) {
        if let Some(term) = self.term.take() {
            tracing::info!(shard = self.number, "no longer primary");
            term.end();
        }
    }
}
