//! Numbers for names: the policy knows classes, zones and endpoints by number, the wire by name.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Numbers for names of one kind, in the order of their first use. It is part of the state that one process hands over to the
/// next.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct NameTable {
    to_number: BTreeMap<String, u64>,
    to_name: BTreeMap<u64, String>,
    next: u64,
}

impl NameTable {
    /// The number of a name; a new name gets the next one.
    pub fn intern(&mut self, name: &str) -> u64 {
        if let Some(number) = self.to_number.get(name) {
            return *number;
        }
        let number = self.next;
        self.next += 1;
        self.to_number.insert(name.to_string(), number);
        self.to_name.insert(number, name.to_string());
        number
    }

    /// Forgets a name, if its number is known. The number is not used again.
    pub fn remove(&mut self, number: u64) {
        if let Some(name) = self.to_name.remove(&number) {
            self.to_number.remove(&name);
        }
    }

    /// The number of a name that is known.
    pub fn get(&self, name: &str) -> Option<u64> {
        self.to_number.get(name).copied()
    }

    /// The name of a number; empty for one that is not known.
    pub fn resolve(&self, number: u64) -> &str {
        self.to_name.get(&number).map_or("", String::as_str)
    }
}
