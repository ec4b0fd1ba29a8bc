//! Updates of the endpoints by discovery and by operators.

use super::endpoints::{ListedEndpoint, UNKNOWN_KIND, intern};
use super::{Router, RouterAction};
use crate::disabled::{DisableError, DisabledEndpoints, MAX_ID_LEN};
use crate::store::Store;
use crate::{EndpointList, EndpointListing};
use quillmount_policy::{EndpointEntry, EndpointState, ListUpdate, Micros};

impl<S: Store> Router<S> {
    /// Applies an endpoint list from discovery. Endpoints that a full list lacks are gone.
    pub fn list(&mut self, list: EndpointList, now: Micros) -> Vec<RouterAction> {
        let mut actions = Vec::new();
        self.version = list.version;
        self.list_received = true;
        if list.full {
            self.endpoints.mark_all_gone(now);
            let gates = self.endpoints.numbers().map(|endpoint| RouterAction::Gate { endpoint, open: false });
            actions.extend(gates);
        }
        let mut entries = Vec::with_capacity(list.endpoints.len());
        for listing in list.endpoints {
            self.add_listing(&listing, now);
            let Some(entry) = self.effective_entry(&listing.id, false) else { continue };
            actions.push(gate(&entry));
            entries.push(entry);
        }
        let update = if list.full { ListUpdate::Full } else { ListUpdate::Delta };
        let instructions = self.policy.update_list(now, update, entries);
        self.carry_out(instructions, now, &mut actions);
        self.forget_endpoints(now, &mut actions);
        self.drain_notes(&mut actions);
        actions
    }

    /// Disables an endpoint on behalf of an operator: no new calls are sent to it, whatever discovery lists, until an
    /// operator enables it.
    ///
    /// # Errors
    /// No endpoint has the id, too many endpoints are disabled, or the record could not be written; nothing has
    /// changed.
    pub fn disable(&mut self, id: &str, now: Micros) -> Result<Vec<RouterAction>, DisableError> {
        if self.disabled.contains(id) {
            return Ok(Vec::new());
        }
        if !self.endpoints.is_known(id) || id.len() > MAX_ID_LEN {
            return Err(DisableError::Unknown(id.into()));
        }
        if self.disabled.is_full() {
            return Err(DisableError::TooMany);
        }
        self.journal.set_disabled(id, true, now, &mut self.notes)?;
        self.disabled.insert(id);
        Ok(self.update_endpoint(id, false, now))
    }

    /// Enables an endpoint on behalf of an operator. The endpoint begins with slow start, however often it was
    /// disabled.
    ///
    /// # Errors
    /// No endpoint has the id, or the record could not be written; nothing has changed.
    pub fn enable(&mut self, id: &str, now: Micros) -> Result<Vec<RouterAction>, DisableError> {
        if !self.disabled.contains(id) {
            let is_known = self.endpoints.is_known(id);
            return if is_known { Ok(Vec::new()) } else { Err(DisableError::Unknown(id.into())) };
        }
        self.journal.set_disabled(id, false, now, &mut self.notes)?;
        self.disabled.remove(id);
        Ok(self.update_endpoint(id, true, now))
    }

    /// The endpoints that operators have disabled.
    pub fn disabled(&self) -> &DisabledEndpoints {
        &self.disabled
    }

    /// The version of the latest endpoint list.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The id of an endpoint; empty if the endpoint was removed after it was gone.
    pub fn endpoint_name(&self, endpoint: u32) -> &str {
        self.endpoints.id(endpoint)
    }

    /// Adds an endpoint's line of a list to the table. A line without an address keeps the known address.
    fn add_listing(&mut self, listing: &EndpointListing, now: Micros) {
        let number = self.endpoints.intern(&listing.id);
        let zone = intern(&mut self.zones, &listing.zone) as u32;
        let kind = self.config.kinds.iter().position(|kind| *kind == listing.kind).unwrap_or(UNKNOWN_KIND);
        let known_addr = self.endpoints.get(number).and_then(|endpoint| endpoint.addr);
        let endpoint = ListedEndpoint {
            addr: listing.addr.or(known_addr),
            dest: listing.dest,
            zone,
            kind,
            weight: listing.weight,
            state: listing.state,
            gone_since: (listing.state == EndpointState::Gone).then_some(now),
        };
        self.endpoints.insert(number, endpoint);
    }

    /// An endpoint in the form that the policy uses. `returning`: the endpoint was disabled until now and may have been
    /// restarted.
    fn effective_entry(&self, id: &str, returning: bool) -> Option<EndpointEntry> {
        let (endpoint, &ListedEndpoint { dest, zone, kind, weight, state, .. }) = self.endpoints.find(id)?;
        let state = self.disabled.effective_state(id, state);
        Some(EndpointEntry { endpoint, dest, kind, zone, weight, state, returning })
    }

    /// Updates the policy after an endpoint was disabled or enabled.
    fn update_endpoint(&mut self, id: &str, returning: bool, now: Micros) -> Vec<RouterAction> {
        let mut actions = Vec::new();
        if let Some(entry) = self.effective_entry(id, returning) {
            actions.push(gate(&entry));
            let instructions = self.policy.update_list(now, ListUpdate::Delta, vec![entry]);
            self.carry_out(instructions, now, &mut actions);
        }
        self.drain_notes(&mut actions);
        actions
    }

    /// Removes endpoints that have been gone for long; otherwise the tables would grow with every endpoint ever listed.
    fn forget_endpoints(&mut self, now: Micros, actions: &mut Vec<RouterAction>) {
        let expired = self.endpoints.expired(now);
        let mut forgotten: Vec<u32> = expired.filter(|n| self.calls_at(*n).next().is_none()).collect();
        forgotten.sort_unstable();
        for endpoint in forgotten {
            self.endpoints.forget(endpoint);
            actions.push(RouterAction::Forget(endpoint));
        }
    }

    /// Replaces the endpoint's number by its id in a log text of the policy.
    pub(super) fn with_endpoint_id(&self, text: &str) -> String {
        let endpoint = text.strip_prefix("endpoint ").and_then(|rest| rest.split_once(':'));
        match endpoint.and_then(|(number, rest)| Some((number.parse().ok()?, rest))) {
            Some((number, rest)) => format!("provider {}:{rest}", self.endpoints.names.resolve(number)),
            None => text.to_string(),
        }
    }
}

/// Allows calls to an endpoint that is ready for the policy, and blocks them otherwise.
fn gate(entry: &EndpointEntry) -> RouterAction {
    RouterAction::Gate { endpoint: entry.endpoint, open: entry.state == EndpointState::Ready }
}
