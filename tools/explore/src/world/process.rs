//! The process of the courier: its start on an empty store, its ends, and its start on what a predecessor has stored.

use crate::case::Case;
use crate::courier::{self, OpenError, OpenedCourier};
use crate::monitor::Monitor;
use crate::property::{Property, Violation, violated};
use crate::world::discovery::list_update;
use crate::world::state::{ListEntry, ProcessState, START, World, message_index};
use quillmount_core::journal::{JournalContents, JournalEntry};
use quillmount_core::machine::notices::Notices;
use quillmount_core::machine::watch::{Watch, WatchInput};
use quillmount_core::store::Memory;
use quillmount_policy::{EndpointState, Micros};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Time from the end of a process until it starts again, in microseconds.
const RESTART_DELAY: Micros = 600_000;
/// Time from SIGTERM until all calls have to be ended, in microseconds.
const CALLS_STOP: Micros = 3_200_000;
/// Time from SIGTERM until the process ends, in microseconds.
const PROCESS_STOP: Micros = 3_400_000;
/// A time that no path reaches, while it is unknown when the next incarnation is ready.
pub(super) const FAR_FUTURE: Micros = Micros::MAX / 2;
/// The port of the first endpoint.
const FIRST_PORT: u16 = 1_000;

/// A world can't be made.
#[derive(Debug, thiserror::Error)]
pub enum WorldError {
    /// Its courier can't be opened.
    #[error(transparent)]
    Open(#[from] OpenError),
    /// The courier violates a property at its start.
    #[error(transparent)]
    Violation(#[from] Violation),
}

impl World {
    /// A world at its beginning: the courier runs, and has received the endpoint list.
    ///
    /// # Errors
    /// The settings of the case can't be decoded, or the router rejects them.
    pub fn new(case: &Arc<Case>) -> Result<World, WorldError> {
        let list: Vec<ListEntry> = (0..case.endpoints)
            .map(|index| ListEntry {
                port: FIRST_PORT + u16::from(index),
                dest: u64::from(index % case.destinations),
                state: EndpointState::Ready,
                version: 1,
            })
            .collect();
        let known = list_update(&list, 1, |_| true);
        // With an empty store there is nothing to carry out.
        let OpenedCourier { hub, .. } = courier::open(case, None, known.clone(), Memory::default(), START)?;
        let mut world = World {
            case: case.clone(),
            now: START,
            process: ProcessState::Up,
            incarnations: 1,
            faults: 0,
            hub,
            calls: BTreeMap::new(),
            messages_by_number: BTreeMap::new(),
            next_connection: 0,
            closed: BTreeSet::new(),
            unusable: BTreeSet::new(),
            notices: Notices::default(),
            sent_notices: Vec::new(),
            confirmed_notices: Vec::new(),
            consecutive_losses: 0,
            watch: Watch::new(START),
            endpoint_list: list,
            list_version: 1,
            disk_full: false,
            crashing: false,
            monitor: Monitor::default(),
        };
        world.watch.step(WatchInput::Answered, START);
        let actions = world.hub.list(known, START);
        world.execute(actions)?;
        Ok(world)
    }

    /// SIGTERM: a graceful shutdown begins.
    pub(super) fn terminate(&mut self) -> Result<(), Violation> {
        self.process = ProcessState::Stopping { end: self.now + PROCESS_STOP };
        // No notice is overdue until the next incarnation is ready.
        self.monitor.grace_until = FAR_FUTURE;
        let actions = self.hub.stop(self.now, self.now + CALLS_STOP);
        self.execute(actions)
    }

    /// Ends the process: its memory is lost, what it had written stays.
    pub(super) fn crash(&mut self) -> Result<(), Violation> {
        self.crashing = false;
        self.monitor.crashed();
        self.monitor.grace_until = FAR_FUTURE;
        self.calls.clear();
        self.closed.clear();
        self.sent_notices.clear();
        self.confirmed_notices.clear();
        self.consecutive_losses = 0;
        self.notices = Notices::default();
        let until = self.now + RESTART_DELAY;
        // A process that was killed during its graceful shutdown restarts too.
        self.process = ProcessState::Down { until };
        let bytes = self.hub.router.journal().store().bytes().to_vec();
        *self.hub.router.journal_mut().store_mut() = Memory::from_bytes(bytes);
        self.incarnations += 1;
        // What a full disk refused to store is unknown to the next incarnation.
        let contents = self.journal_contents();
        for (index, message) in self.monitor.messages.iter_mut().enumerate() {
            let id = format!("m{index}");
            message.settled &= !contents.owed.values().any(|entry| entry.message.id == id);
        }
        Ok(())
    }

    /// Starts the process on what its predecessor has stored.
    pub(super) fn start(&mut self) -> Result<(), Violation> {
        let store = self.hub.router.journal().store().clone();
        // The configuration knows the list as the last incarnation of the courier had received it.
        let known_version = self.hub.router.version();
        let known = list_update(&self.endpoint_list, known_version, |entry| entry.version <= known_version);
        let before = self.journal_contents();
        let opened = match courier::open(&self.case, None, known, store, self.now) {
            Ok(opened) => opened,
            Err(error) => {
                return violated(Property::Durability, format!("the store can't be read back: {error}"));
            }
        };
        self.hub = opened.hub;
        if !contains_entries(&self.journal_contents(), &before) {
            return violated(Property::Durability, "the store tells something else after the start".into());
        }
        let pending = before.owed.iter();
        self.messages_by_number = pending
            .filter_map(|(number, entry)| Some((*number, message_index(&entry.message.id)?)))
            .collect();
        self.process = ProcessState::Up;
        self.monitor.grace_until = 0;
        self.monitor.ready(self.now);
        self.watch = Watch::new(self.now);
        self.watch.step(WatchInput::Answered, self.now);
        let actions = self.hub.carry_out(opened.actions, self.now);
        self.execute(actions)?;
        self.send_list(false)
    }
}

/// Whether a journal has all pending messages and calls of an earlier one: a start may append calls at once, but loses none.
fn contains_entries(after: &JournalContents, before: &JournalContents) -> bool {
    let is_restored = |(number, entry): (&u64, &JournalEntry)| {
        after
            .owed
            .get(number)
            .is_some_and(|now| now.message == entry.message && now.attempts.starts_with(&entry.attempts))
    };
    before.owed.iter().all(is_restored)
}
