//! Calls that wait for permits: a queue for each tenant of each partner, served from the front.

use super::{Budgets, LOG_TARGET};
use crate::transport::signals::CallSignals;
use quillmount_core::machine::attempt::AttemptState;
use quillmount_fleet::budget::{BudgetGate, Permit};
use quillmount_policy::Micros;
use std::cell::Cell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use tokio::sync::Notify;

/// A call in its tenant's queue.
#[derive(Default)]
struct QueuedCall {
    permit: Cell<Option<Permit>>,
    notified: Notify,
}

/// Where a call enters its tenant's queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum QueuePosition {
    Front,
    Back,
}

/// Calls of one tenant to one partner that wait for permits.
#[derive(Default)]
pub(super) struct TenantQueue {
    calls: VecDeque<Rc<QueuedCall>>,
    /// Microseconds that a new call would wait, by the last rejection.
    pub(super) retry_after: Micros,
}

/// The partner and the tenant whose calls a queue has.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueKey {
    dest: u64,
    tenant: Box<str>,
}

pub(super) type TenantQueues = BTreeMap<QueueKey, TenantQueue>;

impl QueueKey {
    /// The queue of a tenant's calls to a partner. A message without a tenant belongs to the one without a name.
    pub(super) fn new(dest: u64, tenant: Option<&str>) -> Self {
        QueueKey { dest, tenant: tenant.unwrap_or_default().into() }
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
                    self.retry_after = refusal.retry_after;
                    break;
                }
            }
        }
        gate.set_waiting(*dest, tenant, self.calls.len() as u32, now);
    }
}

impl Budgets {
    /// Waits for a permit; `None`: the time is up, or the call is not to be made any more.
    pub(super) async fn wait_for_permit(
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
                tracing::debug!(
                    target: LOG_TARGET,
                    "budget: destination {dest}: a call of tenant {tenant:?} is held back"
                );
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
