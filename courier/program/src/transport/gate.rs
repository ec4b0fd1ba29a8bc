//! The gate between what is written and what may be done for it, where the courier is one of a fleet: an answer, a call or a
//! notice waits until the journal's records up to then are at the copies, and until the courier may act.
//!
//! Without a fleet there is no gate, and nothing waits.

use super::clock::Clock;
use quillmount_policy::Micros;
use std::cell::{Cell, RefCell};
use tokio::sync::Notify;

/// Advice with a rejection while the courier may not take on: its fleet notices a loss within a lease, which is of seconds.
const GATE_CLOSED_RETRY_AFTER: Micros = 1_000_000;
/// Records that have waited so long for a copy: clients wait 0.4 s for a word, and one that would come too late is refused.
const LATE: Micros = 200_000;

/// A call's last byte leaves so long before its key's span ends, as a repeat's does.
const KEY_MARGIN: Micros = 50_000;

/// What a write did to the journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JournalWrite {
    Bytes(Vec<u8>),
    /// All of it is these.
    Whole(Vec<u8>),
}

/// The gate, and what was written since the fleet's part was last told.
pub struct Gate {
    clock: Clock,
    /// The shortest time that a partner remembers a key, if any does.
    span: Option<Micros>,
    written: Cell<u64>,
    safe: Cell<u64>,
    /// The oldest mark that is not safe, and since when.
    waits: Cell<Option<(u64, Micros)>>,
    /// It may act until then.
    until: Cell<Micros>,
    /// Copies of the journal, and whether they are enough to take on.
    copies: Cell<(usize, bool)>,
    /// The epoch under which the courier serves, and parts of others' books that are on their way into its own.
    member: Cell<(u64, usize)>,
    unreported: RefCell<Vec<JournalWrite>>,
    /// Something was written.
    pub wrote: Notify,
    moved: Notify,
}

impl Gate {
    pub fn new(clock: Clock, span: Option<Micros>) -> Self {
        Gate {
            clock,
            span,
            written: Cell::new(0),
            safe: Cell::new(0),
            waits: Cell::new(None),
            until: Cell::new(0),
            copies: Cell::new((0, false)),
            member: Cell::new((0, 0)),
            unreported: RefCell::default(),
            wrote: Notify::new(),
            moved: Notify::new(),
        }
    }

    /// The journal is as long as this now, and none of it counts as written in this life.
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

    /// No byte of a call that is recorded now may leave from then on: a courier that was paused behind the record, and has been
    /// taken over meanwhile, would else write after the partner has forgotten the key that the taker's repeat had.
    pub fn latest(&self, now: Micros) -> Micros {
        self.span.map_or(Micros::MAX, |span| now.saturating_add(span.saturating_sub(KEY_MARGIN)))
    }

    /// What was written since the last call, in order.
    pub fn take_writes(&self) -> Vec<JournalWrite> {
        self.unreported.take()
    }

    /// All that was written up to this mark is where it has to be.
    pub fn set_safe(&self, mark: u64) {
        self.safe.set(mark);
        let (written, now) = (self.written.get(), self.clock.now());
        if self.waits.get().is_some_and(|(oldest, _)| oldest <= mark) {
            self.waits.set((written > mark).then_some((written, now)));
        }
        self.moved.notify_waiters();
    }

    pub fn set_until(&self, until: Micros) {
        self.until.set(until);
        self.moved.notify_waiters();
    }

    pub fn set_copies(&self, copies: usize, enough: bool) {
        self.copies.set((copies, enough));
    }

    pub fn set_epoch(&self, epoch: u64) {
        self.member.set((epoch, self.member.get().1));
    }

    /// So many parts more, or fewer, of others' books are on their way into the own one.
    pub fn add_taking(&self, parts: isize) {
        let (epoch, taking) = self.member.get();
        self.member.set((epoch, taking.saturating_add_signed(parts)));
    }

    /// Why the courier may not take on, if it may not.
    pub fn closed(&self) -> Option<&'static str> {
        match self.takes_on() {
            Ok(()) => None,
            Err(_) if !self.may_act() => Some("not ready: no lease of its fleet\n"),
            Err(_) if !self.copies.get().1 => Some("not ready: no copy of its journal\n"),
            Err(_) => Some("not ready: the copies of its journal are late\n"),
        }
    }

    /// The fleet's part of what an operator is told: the epoch, 0 for none; milliseconds left of the lease; copies of the
    /// journal; bytes that are not at all of them; parts of others' books that are being taken over.
    pub fn report(&self) -> String {
        let ((copies, enough), (epoch, taking)) = (self.copies.get(), self.member.get());
        let left = self.until.get().saturating_sub(self.clock.now()) / 1_000;
        let behind = self.written.get().saturating_sub(self.safe.get());
        format!(
            "epoch={epoch} lease_ms={left} copies={copies} copies_enough={enough} not_copied={behind} parts_taking={taking}"
        )
    }

    fn may_act(&self) -> bool {
        self.clock.now() < self.until.get()
    }

    /// Whether the courier may take on; else how long to wait.
    ///
    /// # Errors
    /// It may not: this long is advised.
    pub fn takes_on(&self) -> Result<(), Micros> {
        let late = self.waits.get().is_some_and(|(_, since)| self.clock.now() > since.saturating_add(LATE));
        if self.may_act() && self.copies.get().1 && !late { Ok(()) } else { Err(GATE_CLOSED_RETRY_AFTER) }
    }

    /// A mark of all that is written by now.
    pub fn written(&self) -> u64 {
        self.written.get()
    }

    /// Waits until all up to this mark is safe, and the courier may act; false: `by` has come before.
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

    /// Waits until all that is written by now is safe, however long that takes; a lease is not asked for.
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
