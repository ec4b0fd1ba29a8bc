//! The polls of a process: which address to poll next, and after which delay.
//!
//! The caller polls the address that [`Subscription::next_address`] returns, and reports the outcome to
//! [`Subscription::answered`], [`Subscription::redirected`] or [`Subscription::failed`].

use crate::contacts::Contacts;
use crate::core_contact::CoreContact;
use crate::polls;
use quillmount_wire::Micros;
use quillmount_wire::messages::Tables;
use std::time::Duration;

/// Long-poll wait: the longest time for which the core may delay its answer until there is a newer table.
pub const MAX_POLL_WAIT: Duration = Duration::from_millis(300);
/// Time without an answer after which a poll has failed.
pub const POLL_TIMEOUT: Duration = Duration::from_millis(650);
/// Delay after a poll that found no primary.
pub const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Delay before the next address is polled. An address that refuses connections fails at once, so without a delay
/// polls would follow each other immediately.
const NEXT_ADDRESS_DELAY: Duration = Duration::from_millis(5);
/// On average one in this many polls through a relay is followed by a poll to the primary itself.
const DIRECT_EVERY: u64 = 10;

/// A poll that was answered with tables.
#[derive(Clone, Copy, Debug)]
pub struct AnsweredPoll<'a> {
    /// Address to which it was sent: the primary's or a relay's.
    pub address: &'a str,
    /// Time of sending, microseconds of the steady clock.
    pub sent_at: Micros,
    /// Time at which the answer arrived, microseconds of the steady clock.
    pub answered_at: Micros,
}

/// Selects the address for each poll from the outcomes of earlier polls.
#[derive(Clone, Debug, Default)]
pub struct Subscription {
    contacts: Contacts,
}

impl Subscription {
    /// The address to poll next: the one known to answer, else the next of `addresses`, which is called only in that
    /// case. `None` if there is no address.
    pub fn next_address(
        &mut self,
        contact: &CoreContact,
        addresses: impl FnOnce() -> Vec<String>,
        now: Micros,
    ) -> Option<String> {
        let known_address = contact.poll_address().map(str::to_owned);
        known_address.or_else(|| self.contacts.next_address(&addresses(), now))
    }

    /// Handles a poll that was answered with tables. `random` is a random number that decides whether the poll after
    /// one through a relay goes to the primary itself.
    pub fn answered(
        &mut self,
        contact: &mut CoreContact,
        poll: &AnsweredPoll<'_>,
        tables: &Tables,
        random: u64,
    ) {
        let is_relay = poll.address != tables.primary;
        let try_primary = is_relay && random.is_multiple_of(DIRECT_EVERY);
        let next = if try_primary { &tables.primary } else { poll.address };
        contact.set_poll_address(Some(next.to_owned()));
        contact.record_answer(&tables.primary, &tables.relays, poll.sent_at, poll.answered_at);
        if polls::comes_from_current_list(tables) {
            contact.record_current_list(poll.sent_at);
        }
    }

    /// Handles the answer that the process at `address` is not the primary; `hint` is the primary's address if the
    /// answer named it. Returns the delay before the next poll.
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

    /// Handles a poll to which the process at `address` did not answer. Returns the delay before the next poll.
    pub fn failed(&mut self, contact: &mut CoreContact, address: &str, now: Micros) -> Duration {
        self.contacts.record_failure(address, now);
        contact.set_poll_address(None);
        NEXT_ADDRESS_DELAY
    }
}

/// Addresses at which polls may be answered: core members named by the placement, core members named by this
/// machine's register, seeds, then relays. Members and seeds are listed once each; the address `own_address` is left
/// out of the relays.
#[must_use]
pub fn core_addresses(
    contact: &CoreContact,
    placed_members: impl Iterator<Item = String>,
    seeds: Vec<String>,
    own_address: &str,
) -> Vec<String> {
    let mut addresses: Vec<String> = placed_members.collect();
    for address in contact.members().iter().cloned().chain(seeds) {
        if !addresses.contains(&address) {
            addresses.push(address);
        }
    }
    addresses.extend(contact.relays().iter().filter(|relay| *relay != own_address).cloned());
    addresses
}
