//! The router's state that one process hands over to the next during an upgrade.

use super::config::DecodedSettings;
use super::endpoints::ListedEndpoint;
use super::outstanding::{OutstandingCalls, OutstandingMessage};
use super::owed::OwedMessage;
use super::{ResumeError, Router, RouterAction, RouterError, RouterOptions, settings_fingerprint};
use crate::CallId;
use crate::counters::Counters;
use crate::disabled::DisabledEndpoints;
use crate::journal::{Journal, JournalContents, RememberedEnd};
use crate::store::Store;
use quillmount_policy::{EndpointState, Micros, MsgId, Policy};
use quillmount_settings::NameTable;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The complete state of a router except for its settings and its journal. It is encoded by position.
#[derive(Debug, Serialize, Deserialize)]
pub struct RouterState {
    /// The [`settings_fingerprint`] of the settings that define the numbers in the state.
    settings: u32,
    /// The journal's length in bytes. If the journal is longer, a third process held the lock in between and wrote
    /// to it.
    journal: u64,
    policy: Policy,
    zones: NameTable,
    endpoint_names: NameTable,
    endpoints: BTreeMap<u32, ListedEndpoint>,
    disabled: DisabledEndpoints,
    version: u64,
    list_received: bool,
    owed: BTreeMap<MsgId, OwedMessage>,
    ended: Vec<RememberedEnd>,
    in_flight: BTreeMap<CallId, OutstandingMessage>,
    bundles: BTreeMap<CallId, Vec<CallId>>,
    notices: Vec<MsgId>,
    unwritten: Vec<MsgId>,
    write_retry_at: Micros,
    next_message: MsgId,
    counters: Counters,
}

impl RouterState {
    /// Whether the state and the journal contain the same messages.
    fn matches(&self, contents: &JournalContents) -> bool {
        contents.owed.keys().eq(self.owed.keys())
            && contents.disabled == self.disabled
            && contents.next_message <= self.next_message
    }
}

impl<S: Store> Router<S> {
    /// The state to hand over; `settings` is the [`settings_fingerprint`] of this process's settings.
    pub fn state(&self, settings: u32) -> RouterState {
        let ended = self.ended.iter().filter_map(|ended| {
            Some(RememberedEnd { id: ended.id.to_string(), end: ended.end?, until: ended.until })
        });
        RouterState {
            settings,
            journal: self.journal.store().len(),
            policy: self.policy.clone(),
            zones: NameTable::clone(&self.zones),
            endpoint_names: NameTable::clone(&self.endpoints.names),
            endpoints: self.endpoints.endpoints.clone(),
            disabled: self.disabled.clone(),
            version: self.version,
            list_received: self.list_received,
            owed: self.owed.clone(),
            ended: ended.collect(),
            in_flight: self.outstanding.messages.clone(),
            bundles: self.outstanding.bundles.clone(),
            notices: self.notices.iter().collect(),
            unwritten: self.unwritten.iter().collect(),
            write_retry_at: self.write_retry_at,
            next_message: self.next_message,
            counters: self.counters.clone(),
        }
    }

    /// Resumes from the state of another process, whose journal is in `store`. The driver executes the returned actions
    /// first.
    ///
    /// # Errors
    /// The state does not belong to these settings or this journal, or the store can't be read.
    pub fn resume(
        options: &RouterOptions<'_>,
        state: RouterState,
        store: S,
        now: Micros,
    ) -> Result<(Self, Vec<RouterAction>), ResumeError> {
        if state.settings != settings_fingerprint(options.settings, options.streams)? {
            return Err(ResumeError::OtherSettings);
        }
        if store.len() != state.journal {
            return Err(ResumeError::OtherJournal);
        }
        let mut notes = Vec::new();
        let journal = Journal::open(store, options.journal_limit, now, &mut notes);
        let (journal, contents) = journal.map_err(RouterError::from)?;
        if !state.matches(&contents) {
            return Err(ResumeError::OtherJournal);
        }
        let settings =
            DecodedSettings::new(options.settings, options.streams)?.with_capacity_for(state.owed.len());
        let policy = state.policy.resume(settings.policy).map_err(RouterError::from)?;
        let mut router = Self::new(settings.config, state.zones, policy, journal);
        router.notes = notes;
        router.next_message = state.next_message;
        router.disabled = state.disabled;
        let mut actions = Vec::new();
        router.resume_endpoints(state.endpoint_names, state.endpoints, &mut actions);
        router.version = state.version;
        router.list_received = state.list_received;
        state.ended.into_iter().for_each(|end| router.remember_ended(end));
        router.ids = state.owed.iter().map(|(msg, owed)| (owed.payload.id.clone(), *msg)).collect();
        router.owed = state.owed;
        router.outstanding = OutstandingCalls::restore(state.in_flight, state.bundles);
        state.notices.into_iter().for_each(|msg| router.notices.push_back(msg));
        state.unwritten.into_iter().for_each(|msg| router.unwritten.push_back(msg));
        router.write_retry_at = state.write_retry_at;
        router.counters = state.counters;
        if !router.notices.is_empty() {
            actions.push(RouterAction::Notify);
        }
        router.drain_notes(&mut actions);
        Ok((router, actions))
    }

    fn resume_endpoints(
        &mut self,
        names: NameTable,
        endpoints: BTreeMap<u32, ListedEndpoint>,
        actions: &mut Vec<RouterAction>,
    ) {
        self.endpoints.names = Arc::new(names);
        for (endpoint, listed) in endpoints {
            let state = self.disabled.effective_state(self.endpoints.id(endpoint), listed.state);
            actions.push(RouterAction::Gate { endpoint, open: state == EndpointState::Ready });
            self.endpoints.insert(endpoint, listed);
        }
    }
}
