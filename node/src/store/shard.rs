//! A shard's replica on sockets and disk: carries out what [`Replica`] decides.

use super::Store;
use super::reign::Reign;
use crate::clock;
use quillmount_batch::{
    CallId, Micros, OperationId, Output, Replica, ReplicaIdentity, RequestId, StoreRecord,
};
use quillmount_wire::messages::{
    DiskId, Epoch, MemberMessage, Request, Response, ShardOperation, ShardReport, ShardView,
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
    NotBegun,
    /// Members may hold it.
    Uncertain,
}

/// Callers that wait for what the replica says.
#[derive(Default)]
struct Waiting {
    answers: HashMap<RequestId, oneshot::Sender<Response>>,
    operations: HashMap<OperationId, oneshot::Sender<Result<(), CommitError>>>,
    reads: HashMap<u64, oneshot::Sender<bool>>,
    rewrites: HashMap<RequestId, oneshot::Sender<bool>>,
}

/// A shard as one store has it.
pub struct Shard {
    pub number: u32,
    replica: RefCell<Replica>,
    /// The reign under way, while this store serves as primary.
    reign: RefCell<Option<Rc<Reign>>>,
    waiting: RefCell<Waiting>,
    last_id: Cell<u64>,
}

impl Shard {
    pub fn new(identity: ReplicaIdentity) -> Shard {
        Shard {
            number: identity.shard,
            replica: RefCell::new(Replica::new(identity)),
            reign: RefCell::new(None),
            waiting: RefCell::default(),
            last_id: Cell::new(0),
        }
    }

    fn draw_id(&self) -> u64 {
        self.last_id.set(self.last_id.get() + 1);
        self.last_id.get()
    }

    /// Takes a record that was found on the disk.
    pub fn recover(&self, record: StoreRecord) {
        self.replica.borrow_mut().recover(record);
    }

    pub fn replica(&self) -> Ref<'_, Replica> {
        self.replica.borrow()
    }

    /// The reign under way, if any.
    pub fn reign(&self) -> Option<Rc<Reign>> {
        self.reign.borrow().clone()
    }

    /// The reign under way, if this store serves in this epoch.
    pub fn serving(&self, epoch: Epoch) -> Option<Rc<Reign>> {
        let serves = self.replica().serving() == Some(epoch);
        self.reign().filter(|_| serves)
    }

    /// What the core is to know of the members.
    pub fn report(&self) -> Option<ShardReport> {
        self.replica.borrow_mut().report()
    }

    pub fn follow_view(self: &Rc<Self>, store: &Rc<Store>, view: &ShardView) {
        let outputs = self.replica.borrow_mut().follow_view(view, clock::micros());
        self.perform(store, outputs);
    }

    /// Lets time pass, if that may change something; whether it may.
    pub fn tick(self: &Rc<Self>, store: &Rc<Store>) -> bool {
        if !self.replica().is_restless() {
            return false;
        }
        let outputs = self.replica.borrow_mut().tick(clock::micros());
        self.perform(store, outputs);
        true
    }

    /// A record is synced, or could not be written.
    pub fn written(self: &Rc<Self>, store: &Rc<Store>, write: u64, synced: bool) {
        let outputs = self.replica.borrow_mut().written(write, synced, clock::micros());
        self.perform(store, outputs);
    }

    /// Answers a call of the shard's primary.
    pub async fn answer(
        self: &Rc<Self>,
        store: &Rc<Store>,
        epoch: Epoch,
        message: MemberMessage,
    ) -> Response {
        let request = self.draw_id();
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().answers.insert(request, sender);
        let outputs = self.replica.borrow_mut().receive(request, epoch, message, clock::draw());
        self.perform(store, outputs);
        receiver.await.unwrap_or(Response::Uncertain)
    }

    /// Commits an operation.
    pub async fn commit(
        self: &Rc<Self>,
        store: &Rc<Store>,
        change: ShardOperation,
    ) -> Result<(), CommitError> {
        let operation = self.draw_id();
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().operations.insert(operation, sender);
        let outputs = self.replica.borrow_mut().commit(operation, change, clock::micros());
        self.perform(store, outputs);
        receiver.await.unwrap_or(Err(CommitError::Uncertain))
    }

    /// Whether this store still is primary: what it has committed is the newest there is.
    pub async fn confirm(self: &Rc<Self>, store: &Rc<Store>, until: Micros) -> bool {
        let read = self.draw_id();
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().reads.insert(read, sender);
        let outputs = self.replica.borrow_mut().confirm(read, until, clock::micros());
        self.perform(store, outputs);
        receiver.await.unwrap_or(false)
    }

    /// Writes all jobs once more; whether they are synced.
    pub async fn rewrite(self: &Rc<Self>, store: &Rc<Store>) -> bool {
        let request = self.draw_id();
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().rewrites.insert(request, sender);
        let outputs = self.replica.borrow_mut().rewrite(request);
        self.perform(store, outputs);
        receiver.await.unwrap_or(false)
    }

    fn perform(self: &Rc<Self>, store: &Rc<Store>, outputs: Vec<Output>) {
        let mut queue: VecDeque<Output> = outputs.into();
        while let Some(output) = queue.pop_front() {
            self.perform_one(store, output);
        }
        if self.replica().is_restless() {
            store.restless.notify_one();
        }
    }

    fn perform_one(self: &Rc<Self>, store: &Rc<Store>, output: Output) {
        match output {
            Output::Write { write, record } => store.write(self, write, &record),
            Output::Call { call, member, epoch, message, time } => {
                let (shard, store) = (self.clone(), store.clone());
                tokio::task::spawn_local(async move {
                    shard.call(&store, (call, member), epoch, message, time).await;
                });
            }
            Output::Answer { request, response } => {
                send(self.waiting.borrow_mut().answers.remove(&request), response);
            }
            Output::Committed { operation, change } => self.committed(store, operation, &change),
            Output::Uncertain { operation } => self.outcome(operation, Err(CommitError::Uncertain)),
            Output::NotBegun { operation } => self.outcome(operation, Err(CommitError::NotBegun)),
            Output::Serving { epoch } => self.begin_reign(store, epoch),
            Output::Ended => self.end_reign(),
            Output::ReadConfirmed { read } => send(self.waiting.borrow_mut().reads.remove(&read), true),
            Output::ReadRefused { read } => send(self.waiting.borrow_mut().reads.remove(&read), false),
            Output::ReportDue => store.node.report.notify_one(),
            Output::Rewritten { request, complete } => {
                send(self.waiting.borrow_mut().rewrites.remove(&request), complete);
            }
        }
    }

    async fn call(
        self: &Rc<Self>,
        store: &Rc<Store>,
        (call, member): (CallId, DiskId),
        epoch: Epoch,
        message: MemberMessage,
        time: Micros,
    ) {
        let tables = store.node.tables();
        let target = tables.placement.stores.iter().find(|node| node.disk == member);
        let answer = match target {
            Some(target) => {
                let request = Request::Member { to: member, shard: self.number, epoch, message };
                let time = Duration::from_micros(time);
                store.node.links.call(&target.internal, &request, time).await.ok()
            }
            None => None,
        };
        let outputs = self.replica.borrow_mut().answered(call, answer, clock::micros());
        self.perform(store, outputs);
    }

    fn outcome(&self, operation: OperationId, outcome: Result<(), CommitError>) {
        send(self.waiting.borrow_mut().operations.remove(&operation), outcome);
    }

    fn committed(self: &Rc<Self>, store: &Rc<Store>, operation: OperationId, change: &ShardOperation) {
        self.outcome(operation, Ok(()));
        let Some(reign) = self.reign() else { return };
        match change {
            ShardOperation::Submit(job) => store.runner.add_job(store, &reign, &job.id),
            ShardOperation::End { job } => reign.cancel(job),
            ShardOperation::Forget { job } => reign.forget(job),
            ShardOperation::Append { .. } => {}
        }
        reign.news.notify_waiters();
    }

    fn begin_reign(self: &Rc<Self>, store: &Rc<Store>, epoch: Epoch) {
        tracing::info!(shard = self.number, epoch, "serving");
        let reign = Reign::new(self.clone(), epoch);
        *self.reign.borrow_mut() = Some(reign.clone());
        store.runner.add_shard(store, &reign);
    }

    fn end_reign(&self) {
        if let Some(reign) = self.reign.take() {
            tracing::info!(shard = self.number, "no longer primary");
            reign.end();
        }
    }
}

/// Tells a caller, which may have left.
fn send<T>(sender: Option<oneshot::Sender<T>>, value: T) {
    if let Some(sender) = sender {
        let _ = sender.send(value);
    }
}
