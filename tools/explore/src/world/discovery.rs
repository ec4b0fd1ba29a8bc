//! Discovery: the endpoint list, its changes, and the watch that brings them to the courier.

use crate::property::Violation;
use crate::world::state::{ListEntry, World};
use quillmount_core::machine::watch::WatchInput;
use quillmount_core::{EndpointList, EndpointListing};
use quillmount_policy::EndpointState;
use std::net::SocketAddr;

impl World {
    /// Changes the state of an endpoint on the list.
    pub(super) fn change_endpoint(&mut self, index: u8, state: EndpointState) -> Result<(), Violation> {
        self.list_version += 1;
        let entry = &mut self.endpoint_list[usize::from(index)];
        entry.state = state;
        entry.version = self.list_version;
        if self.is_up() && self.is_following() { self.send_list(false) } else { Ok(()) }
    }

    /// A new endpoint, under a new id, appears at the address of one that is gone.
    pub(super) fn replace_endpoint(&mut self, index: u8) -> Result<(), Violation> {
        let ListEntry { port, dest, .. } = self.endpoint_list[usize::from(index)];
        self.endpoint_list.push(ListEntry { port, dest, state: EndpointState::Ready, version: 0 });
        self.change_endpoint(self.endpoint_list.len() as u8 - 1, EndpointState::Ready)
    }

    /// Discovery sends the changes since the version that the courier has, or the full list.
    pub(super) fn send_list(&mut self, full: bool) -> Result<(), Violation> {
        let known_version = self.hub.router.version();
        let included = |entry: &ListEntry| {
            if full { entry.state != EndpointState::Gone } else { entry.version > known_version }
        };
        let list = EndpointList { full, ..list_update(&self.endpoint_list, self.list_version, included) };
        for (index, entry) in (0u8..).zip(&self.endpoint_list) {
            if entry.state == EndpointState::Ready {
                self.monitor.drains.remove(&index);
            } else {
                self.monitor.drains.entry(index).or_insert(self.now);
            }
        }
        let actions = self.hub.list(list, self.now);
        self.execute(actions)
    }

    /// The watch on discovery breaks.
    pub(super) fn break_watch(&mut self) -> Result<(), Violation> {
        self.watch.step(WatchInput::Broken { moved: false }, self.now);
        Ok(())
    }

    /// The watch is opened again after its backoff, and answered with the changes since.
    pub(super) fn resume_watch(&mut self) -> Result<(), Violation> {
        self.watch.step(WatchInput::Tick { moved: false }, self.now);
        self.watch.step(WatchInput::Answered, self.now);
        self.send_list(false)
    }
}

/// The entries of the list that are included, as one update at this version.
pub(super) fn list_update(
    entries: &[ListEntry],
    version: u64,
    included: impl Fn(&ListEntry) -> bool,
) -> EndpointList {
    let included = entries.iter().enumerate().filter(|(_, entry)| included(entry));
    let endpoints = included.map(|(index, entry)| EndpointListing {
        id: format!("p{index}"),
        addr: Some(SocketAddr::from(([127, 0, 0, 1], entry.port))),
        dest: entry.dest,
        kind: "bank".into(),
        zone: "a".into(),
        weight: 50.0,
        state: entry.state,
    });
    EndpointList { version, full: true, endpoints: endpoints.collect() }
}
