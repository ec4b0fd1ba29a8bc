//! Partners' connection budgets on sockets: a call to a partner with a budget needs a permit for its connection before its
//! first byte, and each such connection counts from before its connect until its end is known.
//!
//! [`LocalBudget`](quillmount_fleet::budget::LocalBudget) decides which permits there are. Here calls queue for them, in
//! order for each tenant, and the ends of connections are reported back. A connection reports its own
//! end when it is dropped, so that neither the pool nor a call can leave it out.

use super::stores::SharedMember;
use crate::transport::clock::Clock;
use crate::transport::connection::{ConnectionEnd, ConnectionId, ConnectionObserver, ConnectionPermit};
use crate::transport::connection_budget::ConnectionBudget;
use crate::transport::courier::Courier;
use crate::transport::endpoints::{TimedCall, is_quiet};
use crate::transport::handle::Handle;
use crate::transport::signals::CallSignals;
use actix_rt::net::TcpStream;
use futures_util::future::LocalBoxFuture;
use quillmount_core::machine::attempt::AttemptState;
use quillmount_core::machine::connection::ConnectionInput;
use quillmount_core::{CallId, Submission};
use quillmount_fleet::budget::{BudgetGate, ConnectionOrder, Permit, PermitKind};
use quillmount_policy::Micros;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::os::fd::OwnedFd;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::Notify;

/// A call that has queued is sent only if so many microseconds of its time are left. One that is not sent has certainly not
/// run; one that is sent later may run, and its answer would come after the message has ended. A call that need not queue is
/// sent at any time.
const MIN_TIME_LEFT: Micros = 250_000;
/// Bytes that are read at once, and discarded, of what a partner still sends on a closed connection.
const READ_CHUNK: usize = 4_096;

/// A counted connection that has ended, until it is reported to the gate.
struct ClosedConnection {
    id: ConnectionId,
    end: ConnectionEnd,
}

/// A connection that this side has closed and the partner has not.
struct ClosingConnection {
    id: ConnectionId,
    socket: OwnedFd,
}

/// A call in its tenant's queue.
#[derive(Default)]
struct QueuedCall {
    permit: Cell<Option<Permit>>,
    notified: Notify,
}

/// Where a call enters its tenant's queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum QueuePosition {
    Front,
    Back,
}

/// Calls of one tenant to one partner that wait for permits.
#[derive(Default)]
struct TenantQueue {
    calls: VecDeque<Rc<QueuedCall>>,
    /// Microseconds that a new call would wait, by the last rejection.
    retry_after: Micros,
}

/// The partner and the tenant whose calls a queue has.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    dest: u64,
    tenant: Box<str>,
}

type TenantQueues = BTreeMap<QueueKey, TenantQueue>;

/// The queues of calls, and what is to be done about connections.
pub struct Budgets {
    clock: Clock,
    member: SharedMember,
    /// Partners with a budget.
    dests: BTreeSet<u64>,
    queues: RefCell<TenantQueues>,
    /// Calls in flight, by their connection.
    in_flight: RefCell<HashMap<ConnectionId, CallId>>,
    closed: RefCell<Vec<ClosedConnection>>,
    /// Connections closed by this side, to be watched until the partner has closed them.
    closing: RefCell<Vec<ClosingConnection>>,
    orders: RefCell<Vec<ConnectionOrder>>,
    work_added: Notify,
}

impl Budgets {
    pub fn new(clock: Clock, member: SharedMember, dests: BTreeSet<u64>) -> Budgets {
        Budgets {
            clock,
            member,
            dests,
            queues: RefCell::default(),
            in_flight: RefCell::default(),
            closed: RefCell::default(),
            closing: RefCell::default(),
            orders: RefCell::default(),
            work_added: Notify::new(),
        }
    }

    fn gate<T>(&self, act: impl FnOnce(&mut BudgetGate, Micros) -> T) -> T {
        act(&mut self.member.borrow_mut().shares().gate, self.clock.now())
    }

    /// Waits for a permit to make this call, as long as its time allows; `None`: it is held back, and has not
    /// run. The time that it announces to the endpoint is what is left then.
    async fn acquire_permit(
        self: &Rc<Self>,
        handle: &Handle,
        TimedCall { call, until }: &mut TimedCall,
        signals: &CallSignals,
    ) -> Option<Box<ConnectionPermit>> {
        let order = &mut call.order;
        let (dest, endpoint, addr) = (order.dest, order.endpoint, order.addr);
        let key = QueueKey { dest, tenant: tenant_name(order.payload.tenant.as_deref()) };
        let by = order.send_before.min(until.saturating_sub(MIN_TIME_LEFT));
        let requested_at = self.clock.now();
        let mut position = QueuePosition::Back;
        loop {
            let permit = self.wait_for_permit(&key, position, by, signals).await?;
            // A call whose permit could not be used was at the front.
            position = QueuePosition::Front;
            let (id, now) = (ConnectionId { dest, conn: permit.conn }, self.clock.now());
            if !handle.pool(|pool| pool.is_open(endpoint, now)) {
                self.return_permit(&permit);
                return None;
            }
            let permit = match permit.begin {
                PermitKind::Open => {
                    if !self.gate(|gate, now| gate.connections.confirm_open(dest, permit.conn, now)) {
                        continue;
                    }
                    ConnectionPermit::open(permit, self.clone())
                }
                PermitKind::Reuse => {
                    let taken = handle.pool(|pool| pool.take_idle(endpoint, |conn| conn.has_id(id)));
                    let Some((to, at, mut machine, conn)) = taken else {
                        // It was closed meanwhile.
                        self.report_closed();
                        self.gate(|gate, now| gate.connections.closing(dest, permit.conn, now));
                        continue;
                    };
                    let quiet = (to, at) == (endpoint, addr) && is_quiet(&conn);
                    if machine.step(ConnectionInput::Reused { quiet }, now) {
                        drop(conn);
                        self.report_closed();
                        continue;
                    }
                    ConnectionPermit::reuse(permit, machine, conn)
                }
            };
            order.time_left = order.time_left.saturating_sub(now.saturating_sub(requested_at));
            self.in_flight.borrow_mut().insert(id, order.call);
            return Some(Box::new(permit));
        }
    }

    /// Waits for a permit; `None`: the time is up, or the call is not to be made any more.
    async fn wait_for_permit(
        &self,
        key: &QueueKey,
        position: QueuePosition,
        by: Micros,
        signals: &CallSignals,
    ) -> Option<Permit> {
        let queued = Rc::new(QueuedCall::default());
        {
            let mut queues = self.queues.borrow_mut();
            let queue = queues.entry(key.clone()).or_default();
            match position {
                QueuePosition::Back => queue.calls.push_back(queued.clone()),
                QueuePosition::Front => queue.calls.push_front(queued.clone()),
            }
        }
        let guard = QueueGuard { budgets: self, key, queued: &queued };
        if self.is_at_front(key, &queued) {
            self.serve_queue(key);
        }
        loop {
            if let Some(permit) = queued.permit.take() {
                return Some(permit);
            }
            let left = self.clock.until(by);
            if left.is_zero() {
                let QueueKey { dest, tenant } = key;
                tracing::debug!("budget: destination {dest}: a call of tenant {tenant:?} is held back");
                return None;
            }
            tokio::select! {
                biased;
                () = guard.queued.notified.notified() => {}
                _ = signals.next(AttemptState::Connecting) => return None,
                () = actix_rt::time::sleep(left) => {}
            }
        }
    }

    fn is_at_front(&self, key: &QueueKey, queued: &Rc<QueuedCall>) -> bool {
        let queues = self.queues.borrow();
        let queue = queues.get(key);
        queue.and_then(|queue| queue.calls.front()).is_some_and(|front| Rc::ptr_eq(front, queued))
    }

    /// Gives permits to all calls that may have one now.
    pub fn serve(&self) {
        let mut queues = self.queues.borrow_mut();
        if !queues.is_empty() {
            self.gate(|gate, now| {
                queues.iter_mut().for_each(|(key, queue)| queue.serve(key, gate, now));
            });
            queues.retain(|_, queue| !queue.calls.is_empty());
        }
    }

    /// Gives permits to the calls of one queue that may have one now.
    fn serve_queue(&self, key: &QueueKey) {
        let mut queues = self.queues.borrow_mut();
        if let Some(queue) = queues.get_mut(key) {
            self.gate(|gate, now| queue.serve(key, gate, now));
            if queue.calls.is_empty() {
                queues.remove(key);
            }
        }
    }

    /// Returns a permit that was not used: nothing was opened or written.
    fn return_permit(&self, permit: &Permit) {
        let orders = self.gate(|gate, now| match permit.begin {
            PermitKind::Open => {
                gate.connections.closed(permit.dest, permit.conn, now);
                Vec::new()
            }
            PermitKind::Reuse => gate.connections.released(permit, now),
        });
        self.queue_orders(orders);
        self.work_added.notify_one();
    }

    /// Queues connections that the budget's gate wants to be closed.
    pub fn queue_orders(&self, orders: Vec<ConnectionOrder>) {
        if !orders.is_empty() {
            self.orders.borrow_mut().extend(orders);
            self.work_added.notify_one();
        }
    }

    /// Reports to the budget's gate which connections have ended.
    fn report_closed(&self) {
        for ClosedConnection { id, end } in self.closed.take() {
            let ConnectionId { dest, conn } = id;
            self.gate(|gate, now| match end {
                ConnectionEnd::NeverOpened => gate.connections.closed(dest, conn, now),
                ConnectionEnd::Closed(_) => gate.connections.closing(dest, conn, now),
            });
            if let ConnectionEnd::Closed(Some(fd)) = end {
                self.closing.borrow_mut().push(ClosingConnection { id, socket: fd });
                self.work_added.notify_one();
            }
        }
    }

    /// Closes connections as ordered, and watches those that are closing. Never ends.
    pub async fn run(self: Rc<Self>, courier: Rc<Courier>) {
        loop {
            self.work_added.notified().await;
            for ConnectionOrder::Close { dest, conn } in self.orders.take() {
                let id = ConnectionId { dest, conn };
                drop(courier.handle.pool(|pool| pool.take_idle(0, |conn| conn.has_id(id))));
                let call = self.in_flight.borrow().get(&id).copied();
                call.into_iter().for_each(|call| courier.expire_call(call));
            }
            self.report_closed();
            for closing in self.closing.take() {
                actix_rt::spawn(self.clone().watch_close(closing));
            }
            self.serve();
        }
    }

    /// Waits until the partner has closed a connection too. Where it does not, the connection counts for as long
    /// as a partner may keep one, and the socket stays open no longer than that.
    async fn watch_close(self: Rc<Self>, ClosingConnection { id, socket }: ClosingConnection) {
        let ConnectionId { dest, conn } = id;
        let bound = self.gate(|gate, _| gate.connections.close_timeout_of(dest));
        let ends = async {
            let mut stream = TcpStream::from_std(std::net::TcpStream::from(socket))?;
            stream.shutdown().await?;
            let mut rest = [0; READ_CHUNK];
            while stream.read(&mut rest).await? > 0 {}
            std::io::Result::Ok(())
        };
        let bound = std::time::Duration::from_micros(bound);
        if let Ok(Ok(())) = actix_rt::time::timeout(bound, ends).await {
            self.gate(|gate, now| gate.connections.closed(dest, conn, now));
            self.serve();
        }
    }
}

impl ConnectionBudget for Budgets {
    fn is_budgeted(&self, dest: u64) -> bool {
        self.dests.contains(&dest)
    }

    fn rejects(&self, submission: &Submission) -> Option<Micros> {
        if !self.is_budgeted(submission.dest) {
            return None;
        }
        let queues = self.queues.borrow();
        let key = QueueKey { dest: submission.dest, tenant: tenant_name(submission.tenant.as_deref()) };
        let queue = queues.get(&key)?;
        (queue.retry_after > submission.time_left).then_some(queue.retry_after)
    }

    fn acquire<'a>(
        self: Rc<Self>,
        handle: &'a Handle,
        timed: &'a mut TimedCall,
        signals: &'a CallSignals,
    ) -> LocalBoxFuture<'a, Option<Box<ConnectionPermit>>> {
        Box::pin(async move { self.acquire_permit(handle, timed, signals).await })
    }

    fn release(&self, permit: ConnectionPermit) {
        let used = permit.permit().clone();
        // A connection that it did not use is closed with it.
        drop(permit);
        self.in_flight.borrow_mut().remove(&ConnectionId { dest: used.dest, conn: used.conn });
        self.report_closed();
        let orders = self.gate(|gate, now| gate.connections.released(&used, now));
        self.queue_orders(orders);
        self.serve();
    }
}

impl ConnectionObserver for Budgets {
    fn connection_closed(&self, id: ConnectionId, end: ConnectionEnd) {
        self.closed.borrow_mut().push(ClosedConnection { id, end });
        self.work_added.notify_one();
    }
}

/// A call that waits; dropped, it has left its queue.
struct QueueGuard<'a> {
    budgets: &'a Budgets,
    key: &'a QueueKey,
    queued: &'a Rc<QueuedCall>,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        if let Some(permit) = self.queued.permit.take() {
            self.budgets.return_permit(&permit);
        }
        let mut queues = self.budgets.queues.borrow_mut();
        let Some(queue) = queues.get_mut(self.key) else { return };
        let before = queue.calls.len();
        queue.calls.retain(|queued| !Rc::ptr_eq(queued, self.queued));
        if queue.calls.len() < before {
            let count = queue.calls.len() as u32;
            let QueueKey { dest, tenant } = self.key;
            self.budgets.gate(|gate, now| gate.set_waiting(*dest, tenant, count, now));
        }
        if queue.calls.is_empty() {
            queues.remove(self.key);
        }
    }
}

impl TenantQueue {
    /// Gives permits to the calls from the front on, as long as the gate has some.
    fn serve(&mut self, QueueKey { dest, tenant }: &QueueKey, gate: &mut BudgetGate, now: Micros) {
        while let Some(queued) = self.calls.front() {
            match gate.acquire(*dest, tenant, now) {
                Ok(permit) => {
                    queued.permit.set(Some(permit));
                    queued.notified.notify_one();
                    self.calls.pop_front();
                }
                Err(refusal) => {
                    self.retry_after = refusal.after;
                    break;
                }
            }
        }
        gate.set_waiting(*dest, tenant, self.calls.len() as u32, now);
    }
}

/// A message without a tenant belongs to the one without a name.
fn tenant_name(tenant: Option<&str>) -> Box<str> {
    tenant.unwrap_or_default().into()
}
