//! What a process knows of the core: which address answers its polls, and who the primary is.

use crate::clock;
use quillmount_wire::Micros;
use std::cell::{Cell, RefCell};
use std::time::Duration;

/// Addresses at which a process finds the core, and when the primary last answered it.
#[derive(Debug)]
pub struct CoreContact {
    /// An answer of the primary counts as recent for this long.
    recent_answer: Micros,
    /// Address that is polled next: the primary's or a relay's. `None` while the process searches.
    poll_address: RefCell<Option<String>>,
    primary: RefCell<Option<String>>,
    relays: RefCell<Vec<String>>,
    members: RefCell<Vec<String>>,
    /// When the primary last answered; 0 before the first answer.
    last_answer: Cell<Micros>,
}

impl CoreContact {
    /// No contact yet; an answer of the primary will count as recent for this long.
    pub fn new(recent_answer: Duration) -> CoreContact {
        CoreContact {
            recent_answer: recent_answer.as_micros() as Micros,
            poll_address: RefCell::default(),
            primary: RefCell::default(),
            relays: RefCell::default(),
            members: RefCell::default(),
            last_answer: Cell::default(),
        }
    }

    /// Address that is polled next, if one is known to answer.
    pub fn poll_address(&self) -> Option<String> {
        self.poll_address.borrow().clone()
    }

    /// Sets the address that is polled next; with `None` the process searches for one.
    pub fn set_poll_address(&self, address: Option<String>) {
        *self.poll_address.borrow_mut() = address;
    }

    /// Internal address of the core's primary, as last learned from it, a relay or its announcement.
    pub fn primary(&self) -> Option<String> {
        self.primary.borrow().clone()
    }

    /// Records an answer of the primary, which may have come through a relay.
    pub fn record_answer(&self, primary: &str, relays: &[String]) {
        self.last_answer.set(clock::now());
        *self.primary.borrow_mut() = Some(primary.to_owned());
        *self.relays.borrow_mut() = relays.to_vec();
    }

    /// Polls the process at `address` next, which announced itself as primary, unless the primary that is known answered recently.
    pub fn note_primary(&self, address: String) {
        if !self.has_recent_primary() {
            *self.primary.borrow_mut() = Some(address.clone());
            *self.poll_address.borrow_mut() = Some(address);
        }
    }

    /// Whether the primary has ever answered this process.
    pub fn has_ever_answered(&self) -> bool {
        self.last_answer.get() > 0
    }

    /// Whether the last answer of the primary is recent.
    pub fn has_recent_primary(&self) -> bool {
        self.has_ever_answered() && self.silence() < self.recent_answer
    }

    /// Time since the primary last answered, or since the start of the clock.
    pub fn silence(&self) -> Micros {
        clock::now().saturating_sub(self.last_answer.get())
    }

    /// Internal addresses of the core's members, as this machine's own register names them.
    pub fn members(&self) -> Vec<String> {
        self.members.borrow().clone()
    }

    /// Sets the members that this machine's register names.
    pub fn set_members(&self, members: Vec<String>) {
        *self.members.borrow_mut() = members;
    }

    /// Internal addresses of couriers that relay polls to the primary.
    pub fn relays(&self) -> Vec<String> {
        self.relays.borrow().clone()
    }
}
