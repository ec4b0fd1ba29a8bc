//! Partners' connection budgets on sockets: a call to a partner with a budget needs a permit for its connection before its
//! first byte, and each such connection counts from before its connect until its end is known.
//!
//! [`LocalBudget`](quillmount_fleet::budget::LocalBudget) decides which permits there are. Here calls queue for them, in
//! order for each tenant (`queue`), and the ends of connections are reported back (`closing`). A connection reports its own
//! end when it is dropped, so that neither the pool nor a call can leave it out.

mod closing;
mod queue;

use super::stores::SharedMember;
use crate::transport::clock::Clock;
use crate::transport::connection::{ConnectionEnd, ConnectionId, ConnectionObserver, ConnectionPermit};
use crate::transport::connection_budget::ConnectionBudget;
use crate::transport::courier::Courier;
use crate::transport::endpoints::{TimedCall, is_quiet};
use crate::transport::handle::Handle;
use crate::transport::signals::CallSignals;
use closing::{ClosedConnection, ClosingConnection};
use futures_util::future::LocalBoxFuture;
use queue::{QueueKey, QueuePosition, TenantQueues};
use quillmount_core::machine::connection::ConnectionInput;
use quillmount_core::{CallId, Submission};
use quillmount_fleet::budget::{BudgetGate, ConnectionOrder, Permit, PermitKind};
use quillmount_policy::Micros;
use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use tokio::sync::Notify;

/// A call that has queued is sent only if so many microseconds of its time are left. One that is not sent has certainly not
/// run; one that is sent later may run, and its answer would come after the message has ended. A call that need not queue is
/// sent at any time.
const MIN_TIME_LEFT: Micros = 250_000;

/// The log target of this module's files, which operators filter by.
const LOG_TARGET: &str = "quillmount::fleet::budget";

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
    /// The budgets of these partners, which the member machine divides among the couriers.
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
        let order = &mut call.delivery;
        let (dest, endpoint, addr) = (order.dest, order.endpoint, order.addr);
        let key = QueueKey::new(dest, order.payload.tenant.as_deref());
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
            let permit = match permit.kind {
                PermitKind::Open => {
                    if !self.gate(|gate, now| gate.connections.confirm_open(dest, permit.conn, now)) {
                        continue;
                    }
                    ConnectionPermit::open(permit, self.clone())
                }
                PermitKind::Reuse => {
                    let taken = handle.pool(|pool| pool.take_idle(endpoint, |conn| conn.has_id(id)));
                    let Some(mut taken) = taken else {
                        // It was closed meanwhile.
                        self.report_closed();
                        self.gate(|gate, now| gate.connections.closing(dest, permit.conn, now));
                        continue;
                    };
                    let is_same = (taken.endpoint, taken.addr) == (endpoint, addr);
                    let nothing_received = is_same && is_quiet(&taken.connection);
                    if taken.machine.step(ConnectionInput::Reused { nothing_received }, now) {
                        drop(taken);
                        self.report_closed();
                        continue;
                    }
                    ConnectionPermit::reuse(permit, taken.machine, taken.connection)
                }
            };
            order.time_left = order.time_left.saturating_sub(now.saturating_sub(requested_at));
            self.in_flight.borrow_mut().insert(id, order.call);
            return Some(Box::new(permit));
        }
    }

    /// Returns a permit that was not used: nothing was opened or written.
    fn return_permit(&self, permit: &Permit) {
        let orders = self.gate(|gate, now| match permit.kind {
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
        let key = QueueKey::new(submission.dest, submission.tenant.as_deref());
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
