//! The router's state from one process to the next.

use super::*;

/// All that a router decides from, but for its settings and its journal's file.
#[derive(Debug, Serialize, Deserialize)]
pub struct RouterState {
    /// Of the settings that the state was made under.
    settings: u32,
    /// Bytes of the journal then. Where it is longer a third process had the lock in between, and decided.
    journal: u64,
    policy: Policy,
    zones: NameTable,
    endpoint_names: NameTable,
    endpoints: BTreeMap<u32, KnownEndpoint>,
    disabled: DisabledEndpoints,
    version: u64,
    list_received: bool,
    owed: BTreeMap<MsgId, OwedMessage>,
    ended: Vec<(String, End, Micros)>,
    out: BTreeMap<CallId, OutstandingMessage>,
    bundles: BTreeMap<CallId, Vec<CallId>>,
    notices: Vec<MsgId>,
    unwritten: Vec<MsgId>,
    write_at: Micros,
    next: MsgId,
    counters: Counters,
}

/// Why a state can't be gone on from; the journal still can.
#[derive(Debug, thiserror::Error)]
pub enum ResumeError {
    #[error("the other process runs under other settings")]
    OtherSettings,
    #[error("the journal does not tell of the same messages")]
    OtherJournal,
    #[error(transparent)]
    Router(#[from] RouterError),
}

/// Tells settings apart: a state's numbers stand for other names under others.
pub fn settings_fingerprint(env: &SenderSettings, streams: Option<StreamLimits>) -> Result<u32, RouterError> {
    let (settings, _) = settings_of(env, streams)?;
    let classes: Vec<_> = env.categories.iter().map(|c| &c.name).collect();
    let tenants: Vec<_> = env.tenants.iter().map(|t| &t.name).collect();
    let names = format!("{classes:?} {:?} {tenants:?} {:?} {:?}", env.skus, env.zone, env.failure_domains);
    Ok(crc32fast::hash(format!("{} {names} {}", settings.mark_text(), streams_text(streams)).as_bytes()))
}

/// The limits of streams in the same stable form as [`Settings::mark_text`]: its names never follow a rename.
fn streams_text(streams: Option<StreamLimits>) -> String {
    let Some(limits) = streams else { return "None".into() };
    let (most, slots, window) = (limits.most, limits.part_of_slots, limits.part_of_window);
    format!("Some(StreamLimits {{ most: {most:?}, part_of_slots: {slots:?}, part_of_window: {window:?} }})")
}

impl<S: Store> Router<S> {
    /// All that it decides from; `settings`: their [`settings_fingerprint`].
    pub fn state(&self, settings: u32) -> RouterState {
        let ended = self.ended.iter();
        let ended = ended.filter_map(|(id, end, until)| Some((id.to_string(), end?, until)));
        RouterState {
            settings,
            journal: self.journal.store().len(),
            policy: self.policy.clone(),
            zones: NameTable::clone(&self.zones),
            endpoint_names: NameTable::clone(&self.endpoint_names),
            endpoints: self.endpoints.clone(),
            disabled: self.disabled.clone(),
            version: self.version,
            list_received: self.list_received,
            owed: self.owed.clone(),
            ended: ended.collect(),
            out: self.out.clone(),
            bundles: self.bundles.clone(),
            notices: self.notices.iter().collect(),
            unwritten: self.unwritten.iter().collect(),
            write_at: self.write_at,
            next: self.next,
            counters: self.counters.clone(),
        }
    }

    /// Goes on from another process's state, whose journal the store holds; the steps are the first to carry out.
    ///
    /// # Errors
    /// The state is none for these settings or this journal, or the store can't be read.
    pub fn resume(
        env: &SenderSettings,
        streams: Option<StreamLimits>,
        state: RouterState,
        store: S,
        disk: u64,
        now: Micros,
    ) -> Result<(Self, Vec<RouterAction>), ResumeError> {
        if state.settings != settings_fingerprint(env, streams)? {
            return Err(ResumeError::OtherSettings);
        }
        if store.len() != state.journal {
            return Err(ResumeError::OtherJournal);
        }
        let mut notes = Vec::new();
        let (journal, contents) = Journal::open(store, disk, now, &mut notes).map_err(RouterError::from)?;
        if !contents.owed.keys().eq(state.owed.keys())
            || contents.disabled != state.disabled
            || contents.next > state.next
        {
            return Err(ResumeError::OtherJournal);
        }
        let policy = |settings| state.policy.resume(settings);
        let mut router =
            Self::with_settings(env, streams, state.owed.len(), policy, journal, state.next, notes)?;
        (router.zones, router.endpoint_names) = (Arc::new(state.zones), Arc::new(state.endpoint_names));
        router.disabled = state.disabled;
        let mut actions = Vec::new();
        for (n, known) in state.endpoints {
            let shown = router.disabled.effective_state(router.endpoint_names.resolve(n.into()), known.state);
            actions.push(RouterAction::Gate { endpoint: n, open: shown == EndpointState::Ready });
            router.record_endpoint(n, known);
        }
        (router.version, router.list_received) = (state.version, state.list_received);
        for (id, end, until) in state.ended {
            router.remember(id, end, until);
        }
        router.ids = state.owed.iter().map(|(msg, owed)| (owed.payload.id.clone(), *msg)).collect();
        router.owed = state.owed;
        router.out_at = state.out.values().map(|out| (out.endpoint, out.lead)).collect();
        let several = state.out.iter().filter(|(_, out)| state.bundles.contains_key(&out.lead));
        router.waits = several.map(|(item, out)| (out.until, *item)).collect();
        (router.out, router.bundles) = (state.out, state.bundles);
        state.notices.into_iter().for_each(|msg| router.notices.push_back(msg));
        state.unwritten.into_iter().for_each(|msg| router.unwritten.push_back(msg));
        (router.write_at, router.counters) = (state.write_at, state.counters);
        if !router.notices.is_empty() {
            actions.push(RouterAction::Notify);
        }
        router.drain_notes(&mut actions);
        Ok((router, actions))
    }

    /// The calls that are out.
    pub fn calls_out(&self) -> Vec<CallId> {
        self.out_at.iter().map(|(_, call)| *call).collect()
    }
}
