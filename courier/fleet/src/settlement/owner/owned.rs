//! The settlements of one courier: passes each input to its settlement, and schedules their timeouts.

use super::interface::{OwnerInput, OwnerOutput, RETRY_INTERVAL, SettlementLimits, pin_outputs};
use super::machine::{Context, Handover, PendingLoad, PinChange, Settlement, earlier};
use crate::settlement::model::{Mode, SettlementId};
use crate::settlement::progress::SettlementProgress;
use crate::settlement::registry::{SettlementCommand, SettlementOwner, SettlementRegistry};
use crate::settlement::request::SettlementRequest;
use crate::settlement::session::{Pins, SessionKey};
use quillmount_policy::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// The settlements that one courier owns in one registration.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OwnedSettlements {
    pub(super) local_name: String,
    pub(super) epoch: u64,
    pub(super) limits: SettlementLimits,
    /// The mode for new settlements by destination.
    pub(super) modes: BTreeMap<u64, Mode>,
    /// The connection budgets by tenant and destination.
    pub(super) budgets: BTreeMap<(String, u64), u32>,
    pub(super) settlements: BTreeMap<SettlementId, Settlement>,
    /// The pending messages by tenant.
    pub(super) loads: BTreeMap<String, PendingLoad>,
    /// The reserved connections by tenant and destination.
    pub(super) pins: BTreeMap<(String, u64), Pins>,
    /// Sessions of settlements that have ended or moved, until their connections are closed.
    pub(super) dropping: BTreeSet<SessionKey>,
    /// When each settlement has its next timeout.
    pub(super) due: BTreeSet<(Micros, SettlementId)>,
    /// The settlement of each write in progress, by the number of the write.
    pub(super) writes: BTreeMap<u64, SettlementId>,
    /// The number of the last write.
    pub(super) seq: u64,
    pub(super) draining: Option<Handover>,
    /// When to repeat the proposal to cancel the drain, until it is committed.
    pub(super) cancel_drain_at: Option<Micros>,
    pub(super) is_sealed: bool,
}

/// The current load of a courier from its settlements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct OwnedCounts {
    /// The number of settlements that the courier owns.
    pub settlements: usize,
    /// The number of messages that are accepted or being written and have not ended.
    pub messages: u64,
    /// The total size of these messages in bytes.
    pub bytes: u64,
}

/// The replicated state and the time that one step uses, and the outputs of the step.
pub(super) struct OwnerStep<'a> {
    pub(super) registry: &'a SettlementRegistry,
    pub(super) now: Micros,
    pub(super) outputs: Vec<OwnerOutput>,
}

impl OwnedSettlements {
    /// Creates the state without settlements, for the courier `local_name` in the registration with this epoch.
    pub fn new(local_name: &str, epoch: u64, limits: SettlementLimits) -> OwnedSettlements {
        OwnedSettlements {
            local_name: local_name.into(),
            epoch,
            limits,
            modes: BTreeMap::new(),
            budgets: BTreeMap::new(),
            settlements: BTreeMap::new(),
            loads: BTreeMap::new(),
            pins: BTreeMap::new(),
            dropping: BTreeSet::new(),
            due: BTreeSet::new(),
            writes: BTreeMap::new(),
            seq: 0,
            draining: None,
            cancel_drain_at: None,
            is_sealed: false,
        }
    }

    /// Sets the mode of the settlements for a destination that are opened from now on.
    pub fn set_mode(&mut self, dest: u64, mode: Mode) {
        self.modes.insert(dest, mode);
    }

    /// Sets the number of connections that a tenant may have from this courier to a partner; half of them may be
    /// reserved for sessions. Returns the outputs for sessions that are granted a connection.
    pub fn set_budget(&mut self, tenant: &str, dest: u64, budget: u32) -> Vec<OwnerOutput> {
        let key = (tenant.to_string(), dest);
        self.budgets.insert(key.clone(), budget);
        let granted = self.pins.get_mut(&key).map(|pins| pins.set_budget(budget)).unwrap_or_default();
        pin_outputs(granted).collect()
    }

    /// Returns when [`OwnerInput::Tick`] is due, in microseconds; `None` if no timeout is running.
    pub fn wake_at(&self) -> Option<Micros> {
        earlier(self.due.first().map(|(at, _)| *at), self.cancel_drain_at)
    }

    /// Returns the current load.
    pub fn counts(&self) -> OwnedCounts {
        OwnedCounts {
            settlements: self.settlements.len(),
            messages: self.loads.values().map(|load| load.messages).sum(),
            bytes: self.loads.values().map(|load| load.bytes).sum(),
        }
    }

    /// Returns the number of connections that are reserved for the sessions of a tenant at a partner.
    pub fn pinned(&self, tenant: &str, dest: u64) -> usize {
        self.pins.get(&(tenant.to_string(), dest)).map_or(0, Pins::pinned)
    }

    /// Handles one input at time `now`; returns the actions in the order in which the caller carries them out.
    pub fn step(
        &mut self,
        registry: &SettlementRegistry,
        input: OwnerInput,
        now: Micros,
    ) -> Vec<OwnerOutput> {
        if self.is_sealed {
            return self.step_sealed(input);
        }
        let mut step = OwnerStep { registry, now, outputs: Vec::new() };
        match input {
            OwnerInput::Committed(event) => self.committed(event, &mut step),
            OwnerInput::Snapshot => self.snapshot_installed(&mut step),
            OwnerInput::Fetched { id, term, journals } => {
                let progress = SettlementProgress::read(&id, &journals);
                self.with_settlement(&id, &mut step, |s, _, cx| s.fetched(term, progress, cx));
            }
            OwnerInput::Unreadable { id, term } => {
                self.with_settlement(&id, &mut step, |s, _, cx| s.records_lost(term, cx));
            }
            OwnerInput::Request { from, id, request } => self.request(&from, &id, request, &mut step),
            OwnerInput::Written { seq } => {
                if let Some(id) = self.writes.remove(&seq) {
                    self.with_settlement(&id, &mut step, |s, _, cx| s.written(seq, cx));
                }
            }
            OwnerInput::WriteRejected { seq } => {
                if let Some(id) = self.writes.remove(&seq) {
                    self.with_settlement(&id, &mut step, |s, _, cx| s.write_rejected(seq, cx));
                }
            }
            OwnerInput::Outcome { id, attempt, outcome, session_lost } => {
                self.with_settlement(&id, &mut step, |s, _, cx| {
                    s.attempt_ended(attempt, outcome, session_lost, cx);
                });
            }
            OwnerInput::SessionLost { id, session } => self.session_lost(&id, session, &mut step),
            OwnerInput::Confirmed { id, session } => {
                self.with_settlement(&id, &mut step, |s, _, cx| s.closing_confirmed(session, cx));
            }
            OwnerInput::Pinned { id, session } => self.session_pinned(id, session, &mut step),
            OwnerInput::Drain { successors, graceful_until } => {
                self.drain(Handover { successors, graceful_until }, &mut step);
            }
            OwnerInput::CancelDrain => self.cancel_drain(&mut step),
            OwnerInput::Sealed => self.seal(&mut step.outputs),
            OwnerInput::Tick => self.tick(&mut step),
        }
        step.outputs
    }

    fn request(&mut self, from: &str, id: &SettlementId, request: SettlementRequest, step: &mut OwnerStep) {
        let size = request.sequenced().map_or(0, |sequenced| sequenced.size);
        let tenant_load = self.check_tenant_load(id, size, step.now);
        self.with_settlement(id, step, |s, _, cx| {
            cx.tenant_load = tenant_load;
            s.handle_request(from, request, cx);
        });
    }

    fn session_lost(&mut self, id: &SettlementId, session: u32, step: &mut OwnerStep) {
        if self.dropping.remove(&SessionKey { settlement: id.clone(), session }) {
            self.unpin(id, session, &mut step.outputs);
        }
        self.with_settlement(id, step, |s, _, cx| s.session_lost(session, cx));
    }

    fn session_pinned(&mut self, id: SettlementId, session: u32, step: &mut OwnerStep) {
        let mut is_wanted = false;
        self.with_settlement(&id, step, |s, _, cx| is_wanted = s.session_pinned(session, cx));
        let key = (id.tenant.clone(), id.dest);
        let session_key = SessionKey { settlement: id, session };
        let has_pin = self.pins.get(&key).is_some_and(|pins| pins.is_pinned(&session_key));
        if !is_wanted && !has_pin {
            step.outputs.push(OwnerOutput::Unpin { id: session_key.settlement, session });
        }
    }

    fn drain(&mut self, handover: Handover, step: &mut OwnerStep) {
        self.draining = Some(handover.clone());
        let ids: Vec<SettlementId> = self.settlements.keys().cloned().collect();
        for id in ids {
            let handover = handover.clone();
            self.with_settlement(&id, step, |s, _, cx| s.drain(handover, cx));
        }
    }

    fn cancel_drain(&mut self, step: &mut OwnerStep) {
        self.draining = None;
        self.settlements.values_mut().for_each(Settlement::cancel_drain);
        self.propose_cancel_drain(step);
    }

    /// Proposes to cancel the drain while the replicated state has this courier as leaving; sets the time of the
    /// retry.
    fn propose_cancel_drain(&mut self, step: &mut OwnerStep) {
        let is_leaving = self.draining.is_none() && step.registry.is_leaving(&self.local_name, self.epoch);
        self.cancel_drain_at = is_leaving.then(|| step.now.saturating_add(RETRY_INTERVAL));
        if is_leaving {
            let (courier, epoch) = (self.local_name.clone(), self.epoch);
            step.outputs.push(OwnerOutput::Propose(SettlementCommand::CancelDrain { courier, epoch }));
        }
    }

    fn tick(&mut self, step: &mut OwnerStep) {
        let due = self.due.iter().take_while(|(at, _)| *at <= step.now);
        let due: Vec<SettlementId> = due.map(|(_, id)| id.clone()).collect();
        for id in due {
            self.with_settlement(&id, step, |s, owner, cx| s.tick(owner, cx));
        }
        if self.cancel_drain_at.is_some_and(|at| step.now >= at) {
            self.propose_cancel_drain(step);
        }
    }

    /// Handles an input after the end of the registration, when only connections are still released.
    fn step_sealed(&mut self, input: OwnerInput) -> Vec<OwnerOutput> {
        match input {
            OwnerInput::SessionLost { id, session }
                if self.dropping.remove(&SessionKey { settlement: id.clone(), session }) =>
            {
                vec![OwnerOutput::Unpin { id, session }]
            }
            OwnerInput::Pinned { id, session } => vec![OwnerOutput::Unpin { id, session }],
            _ => Vec::new(),
        }
    }

    fn seal(&mut self, outputs: &mut Vec<OwnerOutput>) {
        self.is_sealed = true;
        let ids: Vec<SettlementId> = self.settlements.keys().cloned().collect();
        ids.iter().for_each(|id| self.remove(id, outputs));
        self.writes.clear();
        self.cancel_drain_at = None;
    }

    /// Runs a step of one settlement, if the replicated state names this courier as its owner under the same term.
    pub(super) fn with_settlement(
        &mut self,
        id: &SettlementId,
        step: &mut OwnerStep,
        run: impl FnOnce(&mut Settlement, &SettlementOwner, &mut Context),
    ) {
        let owner =
            step.registry.owner(id).filter(|owner| owner.is_registered_as(&self.local_name, self.epoch));
        let Some(owner) = owner else { return };
        let Some(settlement) = self.settlements.get_mut(id).filter(|s| s.term == owner.term) else { return };
        let (old_load, old_wake) = (settlement.load(), settlement.wake_at());
        let mut cx = Context {
            limits: &self.limits,
            local_name: &self.local_name,
            now: step.now,
            seq: &mut self.seq,
            budget: self.budgets.get(&(id.tenant.clone(), id.dest)).copied().unwrap_or(0),
            tenant_load: Ok(()),
            outputs: Vec::new(),
            pins: Vec::new(),
        };
        run(settlement, owner, &mut cx);
        let (new_load, new_wake) = (settlement.load(), settlement.wake_at());
        let Context { outputs, pins, .. } = cx;
        if old_wake != new_wake {
            if let Some(at) = old_wake {
                self.due.remove(&(at, id.clone()));
            }
            self.due.extend(new_wake.map(|at| (at, id.clone())));
        }
        for output in &outputs {
            if let OwnerOutput::Write { seq, .. } = output {
                self.writes.insert(*seq, id.clone());
            }
        }
        step.outputs.extend(outputs);
        self.change_load(id, old_load, new_load);
        for change in pins {
            match change {
                PinChange::Request(session) => self.pin(id, session, &mut step.outputs),
                PinChange::Release(session) => self.unpin(id, session, &mut step.outputs),
            }
        }
    }
}
