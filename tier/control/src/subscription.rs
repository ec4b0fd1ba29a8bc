//! The polls of a process: which address is polled next, and how long after the last one.
//!
//! The caller polls the address that [`Subscription::next_address`] gives, and passes the outcome in:
//! [`Subscription::answered`], [`Subscription::redirected`] or [`Subscription::failed`].

use crate::contacts::Contacts;
use crate::core_contact::CoreContact;
use crate::polls;
use quillmount_wire::Micros;
use quillmount_wire::messages::Tables;
use std::time::Duration;

/// Longest time for which the core may delay its answer to a poll.
pub const MAX_POLL_WAIT: Duration = Duration::from_millis(300);
/// A poll without an answer for this long has failed.
pub const POLL_TIMEOUT: Duration = Duration::from_millis(650);
/// Delay after a poll that found no primary.
pub const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Delay before the next address is polled: one that refuses connections fails at once.
const NEXT_ADDRESS_DELAY: Duration = Duration::from_millis(5);
/// Of the polls that go through a relay, one in this many (on average) is followed by one to the primary itself.
const DIRECT_EVERY: u64 = 10;

/// A poll that was answered.
#[derive(Clone, Copy, Debug)]
pub struct AnsweredPoll<'a> {
    /// The address that it was sent to.
    pub address: &'a str,
    /// When it was sent.
    pub sent_at: Micros,
    /// When its answer came.
    pub answered_at: Micros,
}

/// The search for an address that answers.
#[derive(Clone, Debug, Default)]
pub struct Subscription {
    contacts: Contacts,
}

impl Subscription {
    /// The address to poll next: the one that answered last, else the next of `addresses`, which are asked for only then. `None` if
    /// there is none.
    pub fn next_address(
        &mut self,
        contact: &CoreContact,
        addresses: impl FnOnce() -> Vec<String>,
        now: Micros,
    ) -> Option<String> {
        let known = contact.poll_address().map(str::to_owned);
        known.or_else(|| self.contacts.next_address(&addresses(), now))
    }

    /// A poll was answered with tables. `draw` is a random number: polls that go through a relay are mixed with some to the primary
    /// itself.
    pub fn answered(
        &mut self,
        contact: &mut CoreContact,
        poll: &AnsweredPoll<'_>,
        tables: &Tables,
        draw: u64,
    ) {
        let is_relay = poll.address != tables.primary;
        let try_primary = is_relay && draw.is_multiple_of(DIRECT_EVERY);
        let next = if try_primary { &tables.primary } else { poll.address };
        contact.set_poll_address(Some(next.to_owned()));
        contact.record_answer(&tables.primary, &tables.relays, poll.sent_at, poll.answered_at);
        if polls::comes_from_current_list(tables) {
            contact.record_current_list(poll.sent_at);
        }
    }

    /// The process at `address` is not the primary, and may have named the one that is. Returns the delay before the next poll.
    pub fn redirected(
        &mut self,
        contact: &mut CoreContact,
        address: &str,
        hint: Option<String>,
        now: Micros,
    ) -> Duration {
        let hint = hint.filter(|hint| hint != address && self.contacts.may_follow(hint, now));
        let delay = if hint.is_some() { NEXT_ADDRESS_DELAY } else { RETRY_DELAY };
        contact.set_poll_address(hint);
        delay
    }

    /// The process at `address` did not answer. Returns the delay before the next poll.
    pub fn failed(&mut self, contact: &mut CoreContact, address: &str, now: Micros) -> Duration {
        self.contacts.record_failure(address, now);
        contact.set_poll_address(None);
        NEXT_ADDRESS_DELAY
    }
}

/// The addresses at which polls may be answered, each once: members of the core by the placement, by this machine's own register, the
/// seeds, then relays.
#[must_use]
pub fn core_addresses(
    contact: &CoreContact,
    placed_members: impl Iterator<Item = String>,
    seeds: Vec<String>,
    own: &str,
) -> Vec<String> {
    let mut addresses: Vec<String> = placed_members.collect();
    for address in contact.members().iter().cloned().chain(seeds) {
        if !addresses.contains(&address) {
            addresses.push(address);
        }
    }
    addresses.extend(contact.relays().iter().filter(|relay| *relay != own).cloned());
    addresses
}
