//! The gate between the journal and its effects, where the courier is one of a fleet: an answer, a call or a notice waits
//! until the journal's records up to then are at the replicas, and until the courier's lease allows it to act.
//!
//! The journal's file reports each write ([`Gate::note`]); the fleet's task takes the writes to the replicas and reports the
//! watermark, the lease and the replicas back. Without a fleet there is no gate, and nothing waits.

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
    Bytes(Vec<u8>),
    /// The complete journal was replaced by these bytes.
    Whole(Vec<u8>),
}

/// The gate, and the writes that the fleet's task has not taken yet.
pub struct Gate {
    clock: Clock,
    /// The shortest time that a destination retains an idempotency key, if any does.
    key_retention: Option<Micros>,
    /// Bytes that were written in total: the watermark of the journal.
    written: Cell<u64>,
    /// The watermark up to which all is replicated.
    safe: Cell<u64>,
    /// The oldest watermark that is not replicated, and since when it waits.
    waits: Cell<Option<(u64, Micros)>>,
    /// The end of the lease.
    until: Cell<Micros>,
    /// Replicas of the journal, and whether they are enough to accept messages.
    copies: Cell<(usize, bool)>,
    /// The epoch under which the courier serves.
    epoch: Cell<u64>,
    /// Shards of other couriers' journals that are being taken over.
    taking: Cell<usize>,
    unreported: RefCell<Vec<JournalWrite>>,
    /// Something was written.
    pub wrote: Notify,
    /// The watermark or the lease has changed.
    moved: Notify,
}

impl Gate {
    /// A closed gate; `key_retention`: the shortest time that a destination retains an idempotency key, if any does.
    pub fn new(clock: Clock, key_retention: Option<Micros>) -> Self {
        Gate {
            clock,
            key_retention,
            written: Cell::new(0),
            safe: Cell::new(0),
            waits: Cell::new(None),
            until: Cell::new(0),
            copies: Cell::new((0, false)),
            epoch: Cell::new(0),
            taking: Cell::new(0),
            unreported: RefCell::default(),
            wrote: Notify::new(),
            moved: Notify::new(),
        }
    }

    /// The journal has `written` bytes at the start; none of them is reported as a write.
    pub fn begin(&self, written: u64) {
        self.unreported.borrow_mut().clear();
        self.written.set(written);
    }

    /// The journal was written to.
    pub fn note(&self, wrote: JournalWrite) {
        let len = match &wrote {
            JournalWrite::Bytes(bytes) | JournalWrite::Whole(bytes) => bytes.len(),
        };
        self.written.set(self.written.get() + len as u64);
        if self.waits.get().is_none() {
            self.waits.set(Some((self.written.get(), self.clock.now())));
        }
        self.unreported.borrow_mut().push(wrote);
        self.wrote.notify_one();
    }

    /// The time from which on no byte of a call that is recorded now may leave: a courier that was suspended after the record,
    /// and taken over meanwhile, would otherwise write after the destination has forgotten the key that the new owner's retry
    /// had.
    pub fn latest(&self, now: Micros) -> Micros {
        self.key_retention
            .map_or(Micros::MAX, |retention| now.saturating_add(retention.saturating_sub(KEY_MARGIN)))
    }

    /// The writes since the last call, in order.
    pub fn take_writes(&self) -> Vec<JournalWrite> {
        self.unreported.take()
    }

    /// All that was written up to this watermark is replicated.
    pub fn set_safe(&self, mark: u64) {
        self.safe.set(mark);
        let (written, now) = (self.written.get(), self.clock.now());
        if self.waits.get().is_some_and(|(oldest, _)| oldest <= mark) {
            self.waits.set((written > mark).then_some((written, now)));
        }
        self.moved.notify_waiters();
    }

    /// The lease ends then.
    pub fn set_until(&self, until: Micros) {
        self.until.set(until);
        self.moved.notify_waiters();
    }

    /// The journal has so many replicas; `enough`: messages may be accepted.
    pub fn set_copies(&self, copies: usize, enough: bool) {
        self.copies.set((copies, enough));
    }

    /// The courier serves under this epoch.
    pub fn set_epoch(&self, epoch: u64) {
        self.epoch.set(epoch);
    }

    /// This many shards more, or fewer, of other couriers' journals are being taken over.
    pub fn add_taking(&self, shards: isize) {
        self.taking.set(self.taking.get().saturating_add_signed(shards));
    }

    /// Why the courier may not accept messages, if it may not: the text for the health check.
    pub fn closed(&self) -> Option<&'static str> {
        match self.takes_on() {
            Ok(()) => None,
            Err(_) if !self.may_act() => Some("not ready: no lease of its fleet\n"),
            Err(_) if !self.copies.get().1 => Some("not ready: no copy of its journal\n"),
            Err(_) => Some("not ready: the copies of its journal are late\n"),
        }
    }

    /// The fleet's part of the counters: the epoch, 0 for none; milliseconds left of the lease; replicas of the journal;
    /// bytes that are not replicated; shards of other couriers' journals that are being taken over.
    pub fn report(&self) -> String {
        let (copies, enough) = self.copies.get();
        let (epoch, taking) = (self.epoch.get(), self.taking.get());
        let left = self.until.get().saturating_sub(self.clock.now()) / 1_000;
        let behind = self.written.get().saturating_sub(self.safe.get());
        format!(
            "epoch={epoch} lease_ms={left} copies={copies} copies_enough={enough} not_copied={behind} parts_taking={taking}"
        )
    }

    fn may_act(&self) -> bool {
        self.clock.now() < self.until.get()
    }

    /// Whether the courier may accept messages.
    ///
    /// # Errors
    /// It may not: the client is to retry after this time.
    pub fn takes_on(&self) -> Result<(), Micros> {
        let late = self
            .waits
            .get()
            .is_some_and(|(_, since)| self.clock.now() > since.saturating_add(REPLICATION_TIMEOUT));
        if self.may_act() && self.copies.get().1 && !late { Ok(()) } else { Err(GATE_CLOSED_RETRY_AFTER) }
    }

    /// The watermark of all that is written by now.
    pub fn written(&self) -> u64 {
        self.written.get()
    }

    /// Waits until all up to this watermark is replicated and the courier may act; false if that takes until `by`.
    pub async fn pass(&self, mark: u64, by: Micros) -> bool {
        loop {
            let moved = self.moved.notified();
            if self.safe.get() >= mark && self.may_act() {
                return self.clock.now() < by;
            }
            let left = self.clock.until(by);
            if left.is_zero() {
                return false;
            }
            tokio::select! {
                () = moved => {}
                () = actix_rt::time::sleep(left) => {}
            }
        }
    }

    /// Waits until all that is written by now is replicated, however long that takes; no lease is needed.
    pub async fn copied(&self) {
        let mark = self.written.get();
        loop {
            let moved = self.moved.notified();
            if self.safe.get() >= mark {
                return;
            }
            moved.await;
        }
    }
}
