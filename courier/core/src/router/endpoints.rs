//! The table of the endpoints that discovery has listed.

use quillmount_policy::{EndpointState, Micros};
use quillmount_settings::NameTable;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// Time in microseconds after which an endpoint that is gone is removed from the table, if no call to it is in flight.
/// Within this time it may return under its id, or its destination may get a new endpoint.
const FORGET_GONE_AFTER: Micros = 20_000_000;

/// The kind number of an endpoint whose kind the settings lack.
pub(super) const UNKNOWN_KIND: usize = usize::MAX;

/// An endpoint as discovery lists it. It is encoded by position in a [`RouterState`](super::RouterState).
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct ListedEndpoint {
    pub(super) addr: Option<SocketAddr>,
    pub(super) dest: u64,
    pub(super) zone: u32,
    /// [`UNKNOWN_KIND`] if the settings lack it.
    pub(super) kind: usize,
    pub(super) weight: f64,
    /// The state that discovery lists, regardless of whether the endpoint is disabled.
    pub(super) state: EndpointState,
    /// Time at which the endpoint left the list; `None` if it is listed.
    pub(super) gone_since: Option<Micros>,
}

/// Returns the number of a name, and assigns one if the name is new. The table, which clones of a router share, is
/// copied only for a new name.
pub(super) fn intern(names: &mut Arc<NameTable>, name: &str) -> u64 {
    names.get(name).unwrap_or_else(|| Arc::make_mut(names).intern(name))
}

/// The endpoints by number, with indexes by destination and by time of removal.
#[derive(Clone, Debug, Default)]
pub(super) struct EndpointTable {
    pub(super) names: Arc<NameTable>,
    pub(super) endpoints: BTreeMap<u32, ListedEndpoint>,
    /// The numbers of the endpoints of each destination.
    pub(super) by_dest: BTreeMap<u64, BTreeSet<u32>>,
    /// The endpoints that are gone, ordered by the time at which they left the list.
    pub(super) gone_since: BTreeSet<(Micros, u32)>,
}

impl EndpointTable {
    /// Returns the number of an endpoint's id, and assigns one if the id is new.
    pub(super) fn intern(&mut self, id: &str) -> u32 {
        intern(&mut self.names, id) as u32
    }

    /// The id of an endpoint; empty if the endpoint was removed from the table.
    pub(super) fn id(&self, number: u32) -> &str {
        self.names.resolve(u64::from(number))
    }

    /// Whether an endpoint with this id was listed and has not been removed since.
    pub(super) fn is_known(&self, id: &str) -> bool {
        self.names.get(id).is_some()
    }

    /// The endpoint with this id and its number.
    pub(super) fn find(&self, id: &str) -> Option<(u32, &ListedEndpoint)> {
        let number = u32::try_from(self.names.get(id)?).ok()?;
        Some((number, self.endpoints.get(&number)?))
    }

    pub(super) fn get(&self, number: u32) -> Option<&ListedEndpoint> {
        self.endpoints.get(&number)
    }

    /// The numbers of all endpoints, in order.
    pub(super) fn numbers(&self) -> impl Iterator<Item = u32> {
        self.endpoints.keys().copied()
    }

    /// Whether the table has an endpoint of the destination.
    pub(super) fn has_dest(&self, dest: u64) -> bool {
        self.by_dest.contains_key(&dest)
    }

    /// The numbers of a destination's endpoints, in order.
    pub(super) fn of_dest(&self, dest: u64) -> impl Iterator<Item = u32> {
        self.by_dest.get(&dest).into_iter().flatten().copied()
    }

    /// Marks all endpoints as gone before a full list, which lists those that are not.
    pub(super) fn mark_all_gone(&mut self, now: Micros) {
        for (number, endpoint) in &mut self.endpoints {
            endpoint.state = EndpointState::Gone;
            if endpoint.gone_since.is_none() {
                endpoint.gone_since = Some(now);
                self.gone_since.insert((now, *number));
            }
        }
    }

    /// Adds or replaces an endpoint.
    pub(super) fn insert(&mut self, number: u32, endpoint: ListedEndpoint) {
        self.remove(number);
        self.by_dest.entry(endpoint.dest).or_default().insert(number);
        self.gone_since.extend(endpoint.gone_since.map(|gone| (gone, number)));
        self.endpoints.insert(number, endpoint);
    }

    /// The endpoints that have been gone for [`FORGET_GONE_AFTER`] or longer.
    pub(super) fn expired(&self, now: Micros) -> impl Iterator<Item = u32> {
        let expired = move |&&(gone, _): &&(Micros, u32)| now >= gone + FORGET_GONE_AFTER;
        self.gone_since.iter().take_while(expired).map(|(_, number)| *number)
    }

    /// Removes an endpoint and its name.
    pub(super) fn forget(&mut self, number: u32) {
        self.remove(number);
        Arc::make_mut(&mut self.names).remove(u64::from(number));
    }

    fn remove(&mut self, number: u32) {
        let Some(endpoint) = self.endpoints.remove(&number) else { return };
        if let Some(same_dest) = self.by_dest.get_mut(&endpoint.dest) {
            same_dest.remove(&number);
            if same_dest.is_empty() {
                self.by_dest.remove(&endpoint.dest);
            }
        }
        if let Some(gone) = endpoint.gone_since {
            self.gone_since.remove(&(gone, number));
        }
    }
}
