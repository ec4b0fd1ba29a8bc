//! Ids of submissions that are over, each remembered with its end until its time is up.

use crate::journal::End;
use quillmount_policy::Micros;
use std::collections::{HashMap, VecDeque};

/// Ids remembered at most.
const REMEMBERED: usize = 4_096;

/// The memory of what is over.
#[derive(Clone, Debug, Default)]
pub struct EndedMessages {
    ends: HashMap<String, End>,
    /// As they came, with until when each is remembered.
    order: VecDeque<(String, Micros)>,
}

impl EndedMessages {
    pub fn get(&self, id: &str) -> Option<End> {
        self.ends.get(id).copied()
    }

    pub fn contains(&self, id: &str) -> bool {
        self.ends.contains_key(id)
    }

    pub fn remember(&mut self, id: String, end: End, until: Micros) {
        self.ends.insert(id.clone(), end);
        self.order.push_back((id, until));
    }

    /// Forgets the oldest, if its time is up or there are too many.
    pub fn forget(&mut self, now: Micros) -> Option<String> {
        let due = self.order.front().is_some_and(|(_, until)| *until <= now);
        if !due && self.order.len() <= REMEMBERED {
            return None;
        }
        let (id, _) = self.order.pop_front()?;
        self.ends.remove(&id);
        Some(id)
    }

    /// Each as it came, and until when it is remembered; one that came twice has its end once.
    pub fn iter(&self) -> impl ExactSizeIterator<Item = (&str, Option<End>, Micros)> {
        self.order.iter().map(|(id, until)| (id.as_str(), self.get(id), *until))
    }
}
