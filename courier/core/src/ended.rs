//! The ends of messages that are no longer owed, each remembered under the message's id until its deadline.

use crate::journal::End;
use quillmount_policy::Micros;
use std::collections::{HashMap, VecDeque};

/// The most ends that are remembered.
const REMEMBERED: usize = 4_096;

/// A remembered id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RememberedId<'a> {
    /// The message's id.
    pub id: &'a str,
    /// Its end; `None` if the id was added twice and the end is forgotten already.
    pub end: Option<End>,
    /// How long the id is remembered.
    pub until: Micros,
}

/// The remembered ends.
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

    /// Adds an end.
    pub fn remember(&mut self, id: String, end: End, until: Micros) {
        self.ends.insert(id.clone(), end);
        self.order.push_back((id, until));
    }

    /// Forgets the oldest end if its time is up or there are too many; returns its id.
    pub fn forget(&mut self, now: Micros) -> Option<String> {
        let due = self.order.front().is_some_and(|(_, until)| *until <= now);
        if !due && self.order.len() <= REMEMBERED {
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
