//! A shard's replica on sockets and disk: carries out what [`ShardReplica`] decides.

use super::Store;
use super::term::PrimaryTerm;
use crate::clock;
use quillmount_batch::{
    CallId, Micros, OperationId, RequestId, ShardAction, ShardReplica, ShardReplicaId, StoreRecord,
};
use quillmount_wire::messages::{
    DiskId, Epoch, Request, Response, ShardMessage, ShardOperation, ShardReport, ShardView,
};
use std::cell::{Cell, Ref, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Why an operation was not committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitError {
    /// It was not begun: nothing happened.
    NotStarted,
    /// Members may hold it.
    Uncertain,
}

/// Callers that wait for what the replica says.
#[derive(Default)]
struct PendingReplies {
    answers: HashMap<RequestId, oneshot::Sender<Response>>,
    operations: HashMap<OperationId, oneshot::Sender<Result<(), CommitError>>>,
    reads: HashMap<u64, oneshot::Sender<bool>>,
    rewrites: HashMap<RequestId, oneshot::Sender<bool>>,
}

/// A shard as one store has it.
pub struct Shard {
    pub number: u32,
    replica: RefCell<ShardReplica>,
    /// The term under way, while this store serves as primary.
    term: RefCell<Option<Rc<PrimaryTerm>>>,
    waiting: RefCell<PendingReplies>,
    last_id: Cell<u64>,
}

impl Shard {
    pub fn new(identity: ShardReplicaId) -> Shard {
        Shard {
            number: identity.shard,
            replica: RefCell::new(ShardReplica::new(identity)),
            term: RefCell::new(None),
            waiting: RefCell::default(),
            last_id: Cell::new(0),
        }
    }

    fn allocate_id(&self) -> u64 {
        self.last_id.set(self.last_id.get() + 1);
        self.last_id.get()
    }

    /// Takes a record that was found on the disk.
    pub fn recover(&self, record: StoreRecord) {
        self.replica.borrow_mut().recover(record);
    }

    pub fn replica(&self) -> Ref<'_, ShardReplica> {
        self.replica.borrow()
    }

    /// The term under way, if any.
    pub fn term(&self) -> Option<Rc<PrimaryTerm>> {
        self.term.borrow().clone()
    }

    /// The term under way, if this store serves in this epoch.
    pub fn serving(&self, epoch: Epoch) -> Option<Rc<PrimaryTerm>> {
        let serves = self.replica().serving() == Some(epoch);
        self.term().filter(|_| serves)
    }

    /// What the core is to know of the members.
    pub fn report(&self) -> Option<ShardReport> {
        self.replica.borrow_mut().report()
    }

    pub fn follow_view(self: &Rc<Self>, store: &Rc<Store>, view: &ShardView) {
        let actions = self.replica.borrow_mut().follow_view(view, clock::micros());
        self.perform(store, actions);
    }

    /// Lets time pass, if that may change something; whether it may.
    pub fn tick(self: &Rc<Self>, store: &Rc<Store>) -> bool {
        if !self.replica().needs_tick() {
            return false;
        }
        let actions = self.replica.borrow_mut().tick(clock::micros());
        self.perform(store, actions);
        true
    }

    /// A record is synced, or could not be written.
    pub fn on_written(self: &Rc<Self>, store: &Rc<Store>, write: u64, synced: bool) {
        let actions = self.replica.borrow_mut().on_written(write, synced, clock::micros());
        self.perform(store, actions);
    }

    /// Answers a call of the shard's primary.
    pub async fn answer(self: &Rc<Self>, store: &Rc<Store>, epoch: Epoch, message: ShardMessage) -> Response {
        let request = self.allocate_id();
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().answers.insert(request, sender);
        let actions = self.replica.borrow_mut().receive(request, epoch, message, clock::random_id());
        self.perform(store, actions);
        receiver.await.unwrap_or(Response::Uncertain)
    }

    /// Commits an operation.
    pub async fn commit(
        self: &Rc<Self>,
        store: &Rc<Store>,
        change: ShardOperation,
    ) -> Result<(), CommitError> {
        let operation = self.allocate_id();
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().operations.insert(operation, sender);
        let actions = self.replica.borrow_mut().commit(operation, change, clock::micros());
        self.perform(store, actions);
        receiver.await.unwrap_or(Err(CommitError::Uncertain))
    }

    /// Whether this store still is primary: what it has committed is the newest there is.
    pub async fn confirm(self: &Rc<Self>, store: &Rc<Store>, until: Micros) -> bool {
        let read = self.allocate_id();
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().reads.insert(read, sender);
        let actions = self.replica.borrow_mut().confirm(read, until, clock::micros());
        self.perform(store, actions);
        receiver.await.unwrap_or(false)
    }

    /// Writes all jobs once more; whether they are synced.
    pub async fn rewrite(self: &Rc<Self>, store: &Rc<Store>) -> bool {
        let request = self.allocate_id();
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().rewrites.insert(request, sender);
        let actions = self.replica.borrow_mut().rewrite(request);
        self.perform(store, actions);
        receiver.await.unwrap_or(false)
    }

    fn perform(self: &Rc<Self>, store: &Rc<Store>, actions: Vec<ShardAction>) {
        let mut queue: VecDeque<ShardAction> = actions.into();
        while let Some(action) = queue.pop_front() {
            self.perform_one(store, action);
        }
        if self.replica().needs_tick() {
            store.tick_needed.notify_one();
        }
    }

    fn perform_one(self: &Rc<Self>, store: &Rc<Store>, action: ShardAction) {
        match action {
            ShardAction::Write { write, record } => store.write(self, write, &record),
            ShardAction::Call { call, member, epoch, message, timeout } => {
                let (shard, store) = (self.clone(), store.clone());
                tokio::task::spawn_local(async move {
                    shard.call(&store, (call, member), epoch, message, timeout).await;
                });
            }
            ShardAction::Answer { request, response } => {
                send(self.waiting.borrow_mut().answers.remove(&request), response);
            }
            ShardAction::Committed { operation, change } => self.committed(store, operation, &change),
            ShardAction::Uncertain { operation } => {
                self.complete_operation(operation, Err(CommitError::Uncertain))
            }
            ShardAction::NotStarted { operation } => {
                self.complete_operation(operation, Err(CommitError::NotStarted))
            }
            ShardAction::Serving { epoch } => self.begin_term(store, epoch),
            ShardAction::SteppedDown => self.end_term(),
            ShardAction::ReadConfirmed { read } => send(self.waiting.borrow_mut().reads.remove(&read), true),
            ShardAction::ReadRejected { read } => send(self.waiting.borrow_mut().reads.remove(&read), false),
            ShardAction::ReportDue => store.node.report_due.notify_one(),
            ShardAction::Rewritten { request, complete } => {
                send(self.waiting.borrow_mut().rewrites.remove(&request), complete);
            }
        }
    }

    async fn call(
        self: &Rc<Self>,
        store: &Rc<Store>,
        (call, member): (CallId, DiskId),
        epoch: Epoch,
        message: ShardMessage,
        timeout: Micros,
    ) {
        let tables = store.node.tables();
        let target = tables.placement.stores.iter().find(|node| node.disk == member);
        let answer = match target {
            Some(target) => {
                let request = Request::Shard { to: member, shard: self.number, epoch, message };
                let timeout = Duration::from_micros(timeout);
                store.node.links.call(&target.internal, &request, timeout).await.ok()
            }
            None => None,
        };
        let actions = self.replica.borrow_mut().on_answer(call, answer, clock::micros());
        self.perform(store, actions);
    }

    fn complete_operation(&self, operation: OperationId, result: Result<(), CommitError>) {
        send(self.waiting.borrow_mut().operations.remove(&operation), result);
    }

    fn committed(self: &Rc<Self>, store: &Rc<Store>, operation: OperationId, change: &ShardOperation) {
        self.complete_operation(operation, Ok(()));
        let Some(term) = self.term() else { return };
        match change {
            ShardOperation::Submit(job) => store.item_queue.add_job(store, &term, &job.id),
            ShardOperation::End { job } => term.cancel(job),
            ShardOperation::Forget { job } => term.forget(job),
            ShardOperation::Append { .. } => {}
        }
        term.updates.notify_waiters();
    }

    fn begin_term(self: &Rc<Self>, store: &Rc<Store>, epoch: Epoch) {
        tracing::info!(shard = self.number, epoch, "serving");
        let term = PrimaryTerm::new(self.clone(), epoch);
        *self.term.borrow_mut() = Some(term.clone());
        store.item_queue.add_shard(store, &term);
    }

    fn end_term(&self) {
        if let Some(term) = self.term.take() {
            tracing::info!(shard = self.number, "no longer primary");
            term.end();
        }
    }
}

/// Tells a caller, which may have left.
fn send<T>(sender: Option<oneshot::Sender<T>>, value: T) {
    if let Some(sender) = sender {
        let _ = sender.send(value);
    }
}
