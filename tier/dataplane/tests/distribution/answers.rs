//! The answers to polls, and how long they are on the wire.

use quillmount_control::polls::{PublishedTables, is_empty, response};
use quillmount_test_support::simulation::Time;
use quillmount_wire::frame::HEADER_BYTES;
use quillmount_wire::messages::{ChangedTables, Poll, Response, TableVersions};
use std::collections::HashMap;

/// The answer to a poll.
pub enum PollAnswer {
    Tables(Box<ChangedTables>),
    /// The link carries no more tables at present.
    Busy,
    NotPrimary {
        hint: Option<String>,
    },
    /// The process does not run: its machine closes the connection.
    Refused,
}

/// The answer of the primary to a poll. `None` while there are no newer tables and the poll may wait.
pub fn answer(published: &PublishedTables<'_>, poll: &Poll, until: Time, now: Time) -> Option<ChangedTables> {
    let tables = published.newer_than(poll.known_versions, now);
    (!is_empty(&tables) || now >= until).then_some(tables)
}

/// What the length of an answer depends on: the versions that it leads to, and those that it starts from. All addresses have the same
/// length, and the count of processes has a fixed one.
#[derive(Clone, PartialEq, Eq, Hash)]
struct AnswerContent {
    configuration: Option<u64>,
    configuration_delta: Option<u64>,
    placement: Option<u64>,
    placement_delta: Option<u64>,
    directory: Option<[u64; 2]>,
    known: [u64; 4],
    relays: usize,
}

impl AnswerContent {
    fn of(answer: &ChangedTables, known: TableVersions) -> AnswerContent {
        let ChangedTables { tables, configuration, placement } = answer;
        let directory = tables.directory.as_ref().map(|table| table.version);
        AnswerContent {
            configuration: tables.configuration.as_ref().map(|table| table.version),
            configuration_delta: configuration.as_ref().map(|delta| delta.version),
            placement: tables.placement.as_ref().map(|table| table.version),
            placement_delta: placement.as_ref().map(|delta| delta.version),
            directory: directory.map(|version| [version.epoch, version.changes]),
            known: [known.configuration, known.placement, known.directory.epoch, known.directory.changes],
            relays: tables.relays.len(),
        }
    }
}

/// Lengths of answers. Each content is encoded once.
#[derive(Default)]
pub struct AnswerLengths {
    bytes: HashMap<AnswerContent, usize>,
}

impl AnswerLengths {
    /// Length of the frame of tables that answer a poll with these known versions, bytes.
    pub fn of_tables(&mut self, answer: &ChangedTables, known: TableVersions) -> usize {
        let encode = || response_bytes(&response(answer.clone()));
        *self.bytes.entry(AnswerContent::of(answer, known)).or_insert_with(encode)
    }
}

/// Length of a response's frame, bytes.
pub fn response_bytes(response: &Response) -> usize {
    HEADER_BYTES + response.encode().len()
}
