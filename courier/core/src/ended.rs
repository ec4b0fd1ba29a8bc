//! The ends of completed messages, each stored under the message's id until the message's deadline, so that a repeated
//! submission gets the same answer.

use crate::journal::End;
use quillmount_policy::Micros;
use std::collections::{HashMap, VecDeque};

/// Maximum number of ends that are remembered; beyond it the oldest is forgotten.
const MAX_REMEMBERED_ENDS: usize = 4_096;

/// An entry of [`EndedMessages`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RememberedId<'a> {
    /// The client's id of the message.
    pub id: &'a str,
    /// The message's end; `None` if the id was added twice and the end has already been forgotten.
    pub end: Option<End>,
    /// Time until which the id is remembered, in Unix microseconds.
    pub until: Micros,
}

/// The remembered ends, in the order in which they were added.
#[derive(Clone, Debug, Default)]
pub struct EndedMessages {
    ends: HashMap<String, End>,
    /// The ids in the order in which they were added, with the time until when each is remembered.
    order: VecDeque<(String, Micros)>,
}

impl EndedMessages {
    /// The end of the message with this id.
    pub fn get(&self, id: &str) -> Option<End> {
        self.ends.get(id).copied()
    }

    /// Whether an end is remembered under this id.
    pub fn contains(&self, id: &str) -> bool {
        self.ends.contains_key(id)
    }

    /// Adds an end, which is remembered until the time `until`.
    pub fn remember(&mut self, id: String, end: End, until: Micros) {
        self.ends.insert(id.clone(), end);
        self.order.push_back((id, until));
    }

    /// Removes the oldest end if it has expired or if there are too many, and returns its id.
    pub fn forget(&mut self, now: Micros) -> Option<String> {
        let due = self.order.front().is_some_and(|(_, until)| *until <= now);
        if !due && self.order.len() <= MAX_REMEMBERED_ENDS {
            return None;
        }
        let (id, _) = self.order.pop_front()?;
        self.ends.remove(&id);
        Some(id)
    }

    /// The ids in the order in which they were added.
    pub fn iter(&self) -> impl ExactSizeIterator<Item = RememberedId<'_>> {
        self.order.iter().map(|(id, until)| RememberedId { id, end: self.get(id), until: *until })
    }
}
