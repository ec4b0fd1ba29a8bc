//! The providers as discovery lists them, and those that operators take out.

use super::*;

/// A provider that is gone is forgotten after this, if no call is out there: it may come back under its
/// id, and its destination may have a new one by then.
const GONE: Micros = 20_000_000;

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Known {
    pub(super) addr: Option<SocketAddr>,
    pub(super) dest: u64,
    pub(super) zone: u32,
    /// `usize::MAX`: of none that the settings know.
    pub(super) kind: usize,
    pub(super) weight: f64,
    /// As discovery lists it.
    pub(super) state: ListState,
    pub(super) gone: Option<Micros>,
}

/// A name's number; a name that is known copies nothing.
pub(super) fn number(names: &mut Arc<Names>, name: &str) -> u64 {
    names.known(name).unwrap_or_else(|| Arc::make_mut(names).number(name))
}

impl<S: Store> Router<S> {
    /// Discovery told of providers.
    pub fn list(&mut self, list: ProviderList, now: Micros) -> Vec<Step> {
        let mut steps = Vec::new();
        (self.version, self.heard) = (list.version, true);
        if list.full {
            for (n, p) in &mut self.providers {
                // What a whole list omits is gone, as if it said so.
                p.state = ListState::Gone;
                if p.gone.is_none() {
                    p.gone = Some(now);
                    self.went.insert((now, *n));
                }
                steps.push(Step::Gate { provider: *n, open: false });
            }
        }
        let mut entries = Vec::with_capacity(list.providers.len());
        for p in list.providers {
            let n = number(&mut self.provider_names, &p.id) as u32;
            let zone = number(&mut self.zones, &p.zone) as u32;
            let kind = self.kinds.iter().position(|k| *k == p.kind).unwrap_or(usize::MAX);
            let addr = p.addr.or(self.providers.get(&n).and_then(|known| known.addr));
            let gone = (p.state == ListState::Gone).then_some(now);
            let (dest, weight, state) = (p.dest, p.weight, p.state);
            self.know(n, Known { addr, dest, zone, kind, weight, state, gone });
            let state = self.holds.shown(&p.id, state);
            steps.push(Step::Gate { provider: n, open: state == ListState::Ready });
            entries.push(Entry { endpoint: n, dest, kind, zone, weight, state, cold: false });
        }
        let kind = if list.full { ListKind::Whole } else { ListKind::Delta };
        let orders = self.facade.list(now, kind, entries);
        self.carry_out(orders, now, &mut steps);
        self.forget_providers(now, &mut steps);
        self.say(&mut steps);
        steps
    }

    /// Operators take an endpoint out: nothing more goes there, whatever discovery lists, until they put it back.
    ///
    /// # Errors
    /// Nobody has the id, or its record could not be written: nothing has changed.
    pub fn disable(&mut self, id: &str, now: Micros) -> Result<Vec<Step>, HoldError> {
        if self.holds.contains(id) {
            return Ok(Vec::new());
        }
        if self.provider_names.known(id).is_none() || id.len() > ID_MAX {
            return Err(HoldError::Unknown(id.into()));
        }
        if self.holds.is_full() {
            return Err(HoldError::TooMany);
        }
        self.journal.hold(id, true, now, &mut self.notes)?;
        self.holds.insert(id);
        Ok(self.show(id, false, now))
    }

    /// Operators put an endpoint back, cold, however often it was taken out.
    ///
    /// # Errors
    /// Nobody has the id, or its record could not be written: nothing has changed.
    pub fn enable(&mut self, id: &str, now: Micros) -> Result<Vec<Step>, HoldError> {
        if !self.holds.contains(id) {
            let known = self.provider_names.known(id).is_some();
            return if known { Ok(Vec::new()) } else { Err(HoldError::Unknown(id.into())) };
        }
        self.journal.hold(id, false, now, &mut self.notes)?;
        self.holds.remove(id);
        Ok(self.show(id, true, now))
    }

    /// Endpoints that are out.
    pub fn holds(&self) -> &Holds {
        &self.holds
    }

    pub fn version(&self) -> u64 {
        self.version
    }

    /// Shows the module and the pool an endpoint as it stands now; `cold`: it may have been restarted.
    fn show(&mut self, id: &str, cold: bool, now: Micros) -> Vec<Step> {
        let mut steps = Vec::new();
        let n = self.provider_names.known(id).and_then(|n| u32::try_from(n).ok());
        if let Some((n, known)) = n.and_then(|n| Some((n, self.providers.get(&n)?))) {
            let &Known { dest, zone, kind, weight, state, .. } = known;
            let state = self.holds.shown(id, state);
            steps.push(Step::Gate { provider: n, open: state == ListState::Ready });
            let entry = Entry { endpoint: n, dest, kind, zone, weight, state, cold };
            let orders = self.facade.list(now, ListKind::Delta, vec![entry]);
            self.carry_out(orders, now, &mut steps);
        }
        self.say(&mut steps);
        steps
    }

    /// A provider is as the list says now.
    pub(super) fn know(&mut self, n: u32, known: Known) {
        self.unknow(n);
        self.by_dest.entry(known.dest).or_default().insert(n);
        self.went.extend(known.gone.map(|gone| (gone, n)));
        self.providers.insert(n, known);
    }

    fn unknow(&mut self, n: u32) {
        let Some(old) = self.providers.remove(&n) else { return };
        if let Some(same) = self.by_dest.get_mut(&old.dest) {
            same.remove(&n);
            if same.is_empty() {
                self.by_dest.remove(&old.dest);
            }
        }
        if let Some(gone) = old.gone {
            self.went.remove(&(gone, n));
        }
    }

    /// Without this the tables would grow with every provider that ever was.
    fn forget_providers(&mut self, now: Micros, steps: &mut Vec<Step>) {
        let long = self.went.iter().take_while(|(gone, _)| now >= gone + GONE).map(|(_, n)| *n);
        let mut over: Vec<u32> = long.filter(|n| self.calls_at(*n).next().is_none()).collect();
        over.sort_unstable();
        for n in over {
            self.unknow(n);
            Arc::make_mut(&mut self.provider_names).forget(u64::from(n));
            steps.push(Step::Forget(n));
        }
    }

    /// The module numbers the providers; staff know their names.
    pub(super) fn named(&self, text: &str) -> String {
        let number = text.strip_prefix("endpoint ").and_then(|rest| rest.split_once(':'));
        match number.and_then(|(n, rest)| Some((n.parse().ok()?, rest))) {
            Some((n, rest)) => format!("provider {}:{rest}", self.provider_names.name(n)),
            None => text.to_string(),
        }
    }
}
