//! Responses to polls and their length on the wire.

use quillmount_control::polls::{PublishedTables, is_empty, response};
use quillmount_test_support::simulation::Time;
use quillmount_wire::frame::HEADER_BYTES;
use quillmount_wire::messages::{ChangedTables, Poll, Response, TableVersions};
use std::collections::HashMap;

/// The response to a poll.
pub enum PollAnswer {
    Tables(Box<ChangedTables>),
    /// The primary's link is saturated, so the poll is rejected.
    Busy,
    NotPrimary {
        hint: Option<String>,
    },
    /// The process is not running, so its machine resets the connection.
    Refused,
}

/// The primary's response to a poll; `None` while there are no newer tables and the long poll has not expired.
pub fn answer(published: &PublishedTables<'_>, poll: &Poll, until: Time, now: Time) -> Option<ChangedTables> {
    let tables = published.newer_than(poll.known_versions, now);
    (!is_empty(&tables) || now >= until).then_some(tables)
}

/// The properties that determine the length of a response: the versions of its tables, and the base versions of its deltas. All
/// addresses have the same length, and the number of processes is encoded in a fixed length.
#[derive(Clone, PartialEq, Eq, Hash)]
struct AnswerContent {
    configuration: Option<u64>,
    configuration_delta: Option<u64>,
    placement: Option<u64>,
    placement_delta: Option<u64>,
    directory: Option<[u64; 2]>,
    base_versions: [u64; 4],
    relays: usize,
}

impl AnswerContent {
    fn of(answer: &ChangedTables, base_versions: TableVersions) -> AnswerContent {
        let ChangedTables { tables, configuration, placement } = answer;
        let directory = tables.directory.as_ref().map(|table| table.version);
        AnswerContent {
            configuration: tables.configuration.as_ref().map(|table| table.version),
            configuration_delta: configuration.as_ref().map(|delta| delta.version),
            placement: tables.placement.as_ref().map(|table| table.version),
            placement_delta: placement.as_ref().map(|delta| delta.version),
            directory: directory.map(|version| [version.epoch, version.changes]),
            base_versions: [
                base_versions.configuration,
                base_versions.placement,
                base_versions.directory.epoch,
                base_versions.directory.changes,
            ],
            relays: tables.relays.len(),
        }
    }
}

/// Cache of response lengths, so that each distinct content is encoded only once.
#[derive(Default)]
pub struct AnswerLengths {
    bytes: HashMap<AnswerContent, usize>,
}

impl AnswerLengths {
    /// Frame length of a response to a poll with these known versions, bytes.
    pub fn of_tables(&mut self, answer: &ChangedTables, base_versions: TableVersions) -> usize {
        let encode = || response_bytes(&response(answer.clone()));
        *self.bytes.entry(AnswerContent::of(answer, base_versions)).or_insert_with(encode)
    }
}

/// Frame length of a response, bytes.
pub fn response_bytes(response: &Response) -> usize {
    HEADER_BYTES + response.encode().len()
}
