//! The gate between what is written and what may be done for it, where the courier is one of a fleet: an answer, a call or a
//! notice waits until the journal's records up to then are at the copies, and until the courier may act.
//!
//! Without a fleet there is no gate, and nothing waits.

use super::clock::Clock;
use spurshore::Micros;
use std::cell::{Cell, RefCell};
use tokio::sync::Notify;

/// Advice with a rejection while the courier may not take on: its fleet notices a loss within a lease, which is of seconds.
const CLOSED_WAIT: Micros = 1_000_000;
/// Records that have waited so long for a copy: consumers wait 0.4 s for a word, and one that would come too late is refused.
const LATE: Micros = 200_000;

/// A call's last byte leaves so long before its key's span ends, as a repeat's does.
const KEY_MARGIN: Micros = 50_000;

/// What a write did to the journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Wrote {
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
    /// Copies are enough to take on.
    enough: Cell<bool>,
    news: RefCell<Vec<Wrote>>,
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
            enough: Cell::new(false),
            news: RefCell::default(),
            wrote: Notify::new(),
            moved: Notify::new(),
        }
    }

    /// The journal is as long as this now, and none of it counts as written in this life.
    pub fn begin(&self, written: u64) {
        self.news.borrow_mut().clear();
        self.written.set(written);
    }

    /// The journal was written to.
    pub fn note(&self, wrote: Wrote) {
        let len = match &wrote {
            Wrote::Bytes(bytes) | Wrote::Whole(bytes) => bytes.len(),
        };
        self.written.set(self.written.get() + len as u64);
        if self.waits.get().is_none() {
            self.waits.set(Some((self.written.get(), self.clock.now())));
        }
        self.news.borrow_mut().push(wrote);
        self.wrote.notify_one();
    }

    /// No byte of a call that is recorded now may leave from then on: a courier that was paused behind the record, and has been
    /// taken over meanwhile, would else write after the partner has forgotten the key that the taker's repeat had.
    pub fn latest(&self, now: Micros) -> Micros {
        self.span.map_or(Micros::MAX, |span| now.saturating_add(span.saturating_sub(KEY_MARGIN)))
    }

    /// What was written since the last call, in order.
    pub fn news(&self) -> Vec<Wrote> {
        self.news.take()
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

    pub fn set_enough(&self, enough: bool) {
        self.enough.set(enough);
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
        if self.may_act() && self.enough.get() && !late { Ok(()) } else { Err(CLOSED_WAIT) }
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
