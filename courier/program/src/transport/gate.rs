//! The gate between the journal and its effects, where the courier is one of a fleet: an answer, a call or a notice waits
//! until the journal's records up to then are at the replicas, and until the courier's lease allows it to act.
//!
//! The journal's file reports each write ([`Gate::record_write`]); the fleet's task takes the writes to the replicas and reports
//! the watermark, the lease and the replicas back. Without a fleet there is no gate, and nothing waits.

use super::clock::Clock;
use quillmount_policy::Micros;
use std::cell::{Cell, RefCell};
use tokio::sync::Notify;

/// The `Retry-After` of a rejection while the gate is closed: the fleet notices a loss within a lease, which takes seconds.
const GATE_CLOSED_RETRY_AFTER: Micros = 1_000_000;
/// The gate closes once a record has waited this long for a replica: clients wait 0.4 s for an answer, and a message whose
/// answer would come too late is rejected.
const REPLICATION_TIMEOUT: Micros = 200_000;

/// A call's last byte leaves this long before the retention of its idempotency key ends, as a retry's does.
const KEY_MARGIN: Micros = 50_000;

/// What a write did to the journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JournalWrite {
    /// These bytes were appended.
    Appended(Vec<u8>),
    /// The complete journal was replaced by these bytes.
    Replaced(Vec<u8>),
}

/// The replicas of the journal.
#[derive(Clone, Copy, Default)]
struct Replicas {
    count: usize,
    /// They are enough to accept messages.
    enough: bool,
}

/// The oldest write that is not replicated.
#[derive(Clone, Copy)]
struct PendingReplication {
    /// The watermark of the write.
    mark: u64,
    since: Micros,
}

/// The gate, and the writes that the fleet's task has not taken yet.
pub struct Gate {
    clock: Clock,
    /// The shortest time that a destination retains an idempotency key, if any does.
    key_retention: Option<Micros>,
    /// Bytes that were written in total: the watermark of the journal.
    written: Cell<u64>,
    /// The watermark up to which all is replicated.
    replicated: Cell<u64>,
    pending: Cell<Option<PendingReplication>>,
    /// The end of the lease.
    lease_end: Cell<Micros>,
    replicas: Cell<Replicas>,
    /// The epoch under which the courier serves.
    epoch: Cell<u64>,
    /// Partitions of other couriers' journals that are being taken over.
    takeovers: Cell<usize>,
    /// Writes that the fleet's task has not taken.
    writes: RefCell<Vec<JournalWrite>>,
    /// Something was written.
    pub write_added: Notify,
    /// The watermark or the lease has changed.
    changed: Notify,
}

impl Gate {
    /// A closed gate; `key_retention`: the shortest time that a destination retains an idempotency key, if any does.
    pub fn new(clock: Clock, key_retention: Option<Micros>) -> Self {
        Gate {
            clock,
            key_retention,
            written: Cell::new(0),
            replicated: Cell::new(0),
            pending: Cell::new(None),
            lease_end: Cell::new(0),
            replicas: Cell::default(),
            epoch: Cell::new(0),
            takeovers: Cell::new(0),
            writes: RefCell::default(),
            write_added: Notify::new(),
            changed: Notify::new(),
        }
    }

    /// The journal has `written` bytes at the start; none of them is reported as a write.
    pub fn begin(&self, written: u64) {
        self.writes.borrow_mut().clear();
        self.written.set(written);
    }

    /// The journal was written to.
    pub fn record_write(&self, write: JournalWrite) {
        let len = match &write {
            JournalWrite::Appended(bytes) | JournalWrite::Replaced(bytes) => bytes.len(),
        };
        self.written.set(self.written.get() + len as u64);
        if self.pending.get().is_none() {
            self.pending.set(Some(PendingReplication { mark: self.written.get(), since: self.clock.now() }));
        }
        self.writes.borrow_mut().push(write);
        self.write_added.notify_one();
    }

    /// The time from which on no byte of a call that is recorded now may leave: a courier that was suspended after the record,
    /// and taken over meanwhile, would otherwise write after the destination has forgotten the key that the new owner's retry
    /// had.
    pub fn send_deadline(&self, now: Micros) -> Micros {
        self.key_retention
            .map_or(Micros::MAX, |retention| now.saturating_add(retention.saturating_sub(KEY_MARGIN)))
    }

    /// The writes since the last call, in order.
    pub fn take_writes(&self) -> Vec<JournalWrite> {
        self.writes.take()
    }

    /// All that was written up to this watermark is replicated.
    pub fn set_replicated(&self, mark: u64) {
        self.replicated.set(mark);
        let (written, now) = (self.written.get(), self.clock.now());
        if self.pending.get().is_some_and(|pending| pending.mark <= mark) {
            self.pending.set((written > mark).then_some(PendingReplication { mark: written, since: now }));
        }
        self.changed.notify_waiters();
    }

    /// The lease ends then.
    pub fn set_lease_end(&self, at: Micros) {
        self.lease_end.set(at);
        self.changed.notify_waiters();
    }

    /// The journal has so many replicas; `enough`: messages may be accepted.
    pub fn set_replicas(&self, count: usize, enough: bool) {
        self.replicas.set(Replicas { count, enough });
    }

    /// The courier serves under this epoch.
    pub fn set_epoch(&self, epoch: u64) {
        self.epoch.set(epoch);
    }

    /// This many partitions more, or fewer, of other couriers' journals are being taken over.
    pub fn add_takeovers(&self, partitions: isize) {
        self.takeovers.set(self.takeovers.get().saturating_add_signed(partitions));
    }

    /// Why the courier may not accept messages, if it may not: the text for the health check.
    pub fn closed(&self) -> Option<&'static str> {
        match self.check_open() {
            Ok(()) => None,
            Err(_) if !self.may_act() => Some("not ready: no lease of its fleet\n"),
            Err(_) if !self.replicas.get().enough => Some("not ready: no copy of its journal\n"),
            Err(_) => Some("not ready: the copies of its journal are late\n"),
        }
    }

    /// The fleet's part of the counters: the epoch, 0 for none; milliseconds left of the lease; replicas of the journal;
    /// bytes that are not replicated; partitions of other couriers' journals that are being taken over.
    pub fn report(&self) -> String {
        let Replicas { count, enough } = self.replicas.get();
        let (epoch, takeovers) = (self.epoch.get(), self.takeovers.get());
        let lease_ms = self.lease_end.get().saturating_sub(self.clock.now()) / 1_000;
        let behind = self.written.get().saturating_sub(self.replicated.get());
        format!(
            "epoch={epoch} lease_ms={lease_ms} copies={count} copies_enough={enough} not_copied={behind} \
             parts_taking={takeovers}"
        )
    }

    fn may_act(&self) -> bool {
        self.clock.now() < self.lease_end.get()
    }

    /// Whether the courier may accept messages.
    ///
    /// # Errors
    /// It may not: the client is to retry after this time.
    pub fn check_open(&self) -> Result<(), Micros> {
        let is_late = |pending: PendingReplication| {
            self.clock.now() > pending.since.saturating_add(REPLICATION_TIMEOUT)
        };
        let late = self.pending.get().is_some_and(is_late);
        if self.may_act() && self.replicas.get().enough && !late {
            Ok(())
        } else {
            Err(GATE_CLOSED_RETRY_AFTER)
        }
    }

    /// The watermark of all that is written by now.
    pub fn written(&self) -> u64 {
        self.written.get()
    }

    /// Waits until all up to this watermark is replicated and the courier may act; false if that takes until `by`.
    pub async fn pass(&self, mark: u64, by: Micros) -> bool {
        loop {
            let changed = self.changed.notified();
            if self.replicated.get() >= mark && self.may_act() {
                return self.clock.now() < by;
            }
            let left = self.clock.until(by);
            if left.is_zero() {
                return false;
            }
            tokio::select! {
                () = changed => {}
                () = actix_rt::time::sleep(left) => {}
            }
        }
    }

    /// Waits until all that is written by now is replicated, however long that takes; no lease is needed.
    pub async fn wait_until_replicated(&self) {
        let mark = self.written.get();
        loop {
            let changed = self.changed.notified();
            if self.replicated.get() >= mark {
                return;
            }
            changed.await;
        }
    }
}
