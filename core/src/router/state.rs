//! The router's state from one process to the next.

use super::*;

/// All that a router decides from, but for its settings and its journal's file.
#[derive(Debug, Serialize, Deserialize)]
pub struct State {
    /// Of the settings that the state was made under.
    settings: u32,
    /// Bytes of the journal then. Where it is longer a third process had the lock in between, and decided.
    journal: u64,
    facade: Facade,
    zones: Names,
    provider_names: Names,
    providers: BTreeMap<u32, Known>,
    holds: Holds,
    version: u64,
    heard: bool,
    owed: BTreeMap<MsgId, Owed>,
    over: Vec<(String, End, Micros)>,
    out: BTreeMap<CallId, Out>,
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
pub fn mark(env: &Env, streams: Option<StreamLimits>) -> Result<u32, RouterError> {
    let (settings, _) = settings_of(env, streams)?;
    let classes: Vec<_> = env.categories.iter().map(|c| &c.name).collect();
    let tenants: Vec<_> = env.tenants.iter().map(|t| &t.name).collect();
    let names = format!("{classes:?} {:?} {tenants:?} {:?} {:?}", env.skus, env.zone, env.failure_domains);
    Ok(crc32fast::hash(format!("{settings:?} {names} {streams:?}").as_bytes()))
}

impl<S: Store> Router<S> {
    /// All that it decides from; `settings`: their [`mark`].
    pub fn state(&self, settings: u32) -> State {
        let over = self.over.iter();
        let over = over.filter_map(|(id, end, until)| Some((id.to_string(), end?, until)));
        State {
            settings,
            journal: self.journal.store().len(),
            facade: self.facade.clone(),
            zones: Names::clone(&self.zones),
            provider_names: Names::clone(&self.provider_names),
            providers: self.providers.clone(),
            holds: self.holds.clone(),
            version: self.version,
            heard: self.heard,
            owed: self.owed.clone(),
            over: over.collect(),
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
        env: &Env,
        streams: Option<StreamLimits>,
        state: State,
        store: S,
        disk: u64,
        now: Micros,
    ) -> Result<(Self, Vec<Step>), ResumeError> {
        if state.settings != mark(env, streams)? {
            return Err(ResumeError::OtherSettings);
        }
        if store.len() != state.journal {
            return Err(ResumeError::OtherJournal);
        }
        let mut notes = Vec::new();
        let (journal, book) = Journal::open(store, disk, now, &mut notes).map_err(RouterError::from)?;
        if !book.owed.keys().eq(state.owed.keys()) || book.holds != state.holds || book.next > state.next {
            return Err(ResumeError::OtherJournal);
        }
        let facade = |settings| state.facade.resume(settings);
        let mut router = Self::fresh(env, streams, state.owed.len(), facade, journal, state.next, notes)?;
        (router.zones, router.provider_names) = (Arc::new(state.zones), Arc::new(state.provider_names));
        router.holds = state.holds;
        let mut steps = Vec::new();
        for (n, known) in state.providers {
            let shown = router.holds.shown(router.provider_names.name(n.into()), known.state);
            steps.push(Step::Gate { provider: n, open: shown == ListState::Ready });
            router.know(n, known);
        }
        (router.version, router.heard) = (state.version, state.heard);
        for (id, end, until) in state.over {
            router.remember(id, end, until);
        }
        router.ids = state.owed.iter().map(|(msg, owed)| (owed.parcel.id.clone(), *msg)).collect();
        router.owed = state.owed;
        router.out_at = state.out.values().map(|out| (out.provider, out.lead)).collect();
        let several = state.out.iter().filter(|(_, out)| state.bundles.contains_key(&out.lead));
        router.waits = several.map(|(item, out)| (out.until, *item)).collect();
        (router.out, router.bundles) = (state.out, state.bundles);
        state.notices.into_iter().for_each(|msg| router.notices.push_back(msg));
        state.unwritten.into_iter().for_each(|msg| router.unwritten.push_back(msg));
        (router.write_at, router.counters) = (state.write_at, state.counters);
        if !router.notices.is_empty() {
            steps.push(Step::Notify);
        }
        router.say(&mut steps);
        Ok((router, steps))
    }

    /// The calls that are out.
    pub fn calls_out(&self) -> Vec<CallId> {
        self.out_at.iter().map(|(_, call)| *call).collect()
    }
}
