//! The endpoints as discovery lists them, and those that operators take out.

use super::*;

/// An endpoint that is gone is forgotten after this, if no call is out there: it may come back under its
/// id, and its destination may have a new one by then.
const GONE: Micros = 20_000_000;

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct KnownEndpoint {
    pub(super) addr: Option<SocketAddr>,
    pub(super) dest: u64,
    pub(super) zone: u32,
    /// `usize::MAX`: of none that the settings know.
    pub(super) kind: usize,
    pub(super) weight: f64,
    /// As discovery lists it.
    pub(super) state: EndpointState,
    pub(super) gone: Option<Micros>,
}

/// A name's number; a name that is known copies nothing.
pub(super) fn number(names: &mut Arc<NameTable>, name: &str) -> u64 {
    names.get(name).unwrap_or_else(|| Arc::make_mut(names).intern(name))
}

impl<S: Store> Router<S> {
    /// Discovery told of endpoints.
    pub fn list(&mut self, list: EndpointList, now: Micros) -> Vec<RouterAction> {
        let mut actions = Vec::new();
        (self.version, self.list_received) = (list.version, true);
        if list.full {
            for (n, p) in &mut self.endpoints {
                // What a whole list omits is gone, as if it said so.
                p.state = EndpointState::Gone;
                if p.gone.is_none() {
                    p.gone = Some(now);
                    self.gone_since.insert((now, *n));
                }
                actions.push(RouterAction::Gate { endpoint: *n, open: false });
            }
        }
        let mut entries = Vec::with_capacity(list.endpoints.len());
        for p in list.endpoints {
            let n = number(&mut self.endpoint_names, &p.id) as u32;
            let zone = number(&mut self.zones, &p.zone) as u32;
            let kind = self.kinds.iter().position(|k| *k == p.kind).unwrap_or(usize::MAX);
            let addr = p.addr.or(self.endpoints.get(&n).and_then(|known| known.addr));
            let gone = (p.state == EndpointState::Gone).then_some(now);
            let (dest, weight, state) = (p.dest, p.weight, p.state);
            self.record_endpoint(n, KnownEndpoint { addr, dest, zone, kind, weight, state, gone });
            let state = self.disabled.effective_state(&p.id, state);
            actions.push(RouterAction::Gate { endpoint: n, open: state == EndpointState::Ready });
            entries.push(EndpointEntry { endpoint: n, dest, kind, zone, weight, state, returning: false });
        }
        let kind = if list.full { ListUpdate::Full } else { ListUpdate::Delta };
        let instructions = self.policy.update_list(now, kind, entries);
        self.carry_out(instructions, now, &mut actions);
        self.forget_endpoints(now, &mut actions);
        self.drain_notes(&mut actions);
        actions
    }

    /// Operators take an endpoint out: nothing more goes there, whatever discovery lists, until they put it back.
    ///
    /// # Errors
    /// Nobody has the id, or its record could not be written: nothing has changed.
    pub fn disable(&mut self, id: &str, now: Micros) -> Result<Vec<RouterAction>, DisableError> {
        if self.disabled.contains(id) {
            return Ok(Vec::new());
        }
        if self.endpoint_names.get(id).is_none() || id.len() > ID_MAX {
            return Err(DisableError::Unknown(id.into()));
        }
        if self.disabled.is_full() {
            return Err(DisableError::TooMany);
        }
        self.journal.set_disabled(id, true, now, &mut self.notes)?;
        self.disabled.insert(id);
        Ok(self.show(id, false, now))
    }

    /// Operators put an endpoint back, cold, however often it was taken out.
    ///
    /// # Errors
    /// Nobody has the id, or its record could not be written: nothing has changed.
    pub fn enable(&mut self, id: &str, now: Micros) -> Result<Vec<RouterAction>, DisableError> {
        if !self.disabled.contains(id) {
            let known = self.endpoint_names.get(id).is_some();
            return if known { Ok(Vec::new()) } else { Err(DisableError::Unknown(id.into())) };
        }
        self.journal.set_disabled(id, false, now, &mut self.notes)?;
        self.disabled.remove(id);
        Ok(self.show(id, true, now))
    }

    /// Endpoints that are out.
    pub fn disabled(&self) -> &DisabledEndpoints {
        &self.disabled
    }

    pub fn version(&self) -> u64 {
        self.version
    }

    /// Shows the module and the pool an endpoint as it stands now; `cold`: it may have been restarted.
    fn show(&mut self, id: &str, returning: bool, now: Micros) -> Vec<RouterAction> {
        let mut actions = Vec::new();
        let n = self.endpoint_names.get(id).and_then(|n| u32::try_from(n).ok());
        if let Some((n, known)) = n.and_then(|n| Some((n, self.endpoints.get(&n)?))) {
            let &KnownEndpoint { dest, zone, kind, weight, state, .. } = known;
            let state = self.disabled.effective_state(id, state);
            actions.push(RouterAction::Gate { endpoint: n, open: state == EndpointState::Ready });
            let entry = EndpointEntry { endpoint: n, dest, kind, zone, weight, state, returning };
            let instructions = self.policy.update_list(now, ListUpdate::Delta, vec![entry]);
            self.carry_out(instructions, now, &mut actions);
        }
        self.drain_notes(&mut actions);
        actions
    }

    /// An endpoint is as the list says now.
    pub(super) fn record_endpoint(&mut self, n: u32, known: KnownEndpoint) {
        self.drop_endpoint(n);
        self.by_dest.entry(known.dest).or_default().insert(n);
        self.gone_since.extend(known.gone.map(|gone| (gone, n)));
        self.endpoints.insert(n, known);
    }

    fn drop_endpoint(&mut self, n: u32) {
        let Some(old) = self.endpoints.remove(&n) else { return };
        if let Some(same) = self.by_dest.get_mut(&old.dest) {
            same.remove(&n);
            if same.is_empty() {
                self.by_dest.remove(&old.dest);
            }
        }
        if let Some(gone) = old.gone {
            self.gone_since.remove(&(gone, n));
        }
    }

    /// Without this the tables would grow with every endpoint that ever was.
    fn forget_endpoints(&mut self, now: Micros, actions: &mut Vec<RouterAction>) {
        let long = self.gone_since.iter().take_while(|(gone, _)| now >= gone + GONE).map(|(_, n)| *n);
        let mut forgotten: Vec<u32> = long.filter(|n| self.calls_at(*n).next().is_none()).collect();
        forgotten.sort_unstable();
        for n in forgotten {
            self.drop_endpoint(n);
            Arc::make_mut(&mut self.endpoint_names).remove(u64::from(n));
            actions.push(RouterAction::Forget(n));
        }
    }

    /// The module numbers the endpoints; staff know their names.
    pub(super) fn named(&self, text: &str) -> String {
        let number = text.strip_prefix("endpoint ").and_then(|rest| rest.split_once(':'));
        match number.and_then(|(n, rest)| Some((n.parse().ok()?, rest))) {
            Some((n, rest)) => format!("provider {}:{rest}", self.endpoint_names.resolve(n)),
            None => text.to_string(),
        }
    }
}
