//! The partner of the modelled fleet. It runs calls, manages sessions, closes idle ones, and records its
//! observations.

use crate::event::{Call, CallFault, WorldEvent};
use crate::invariants::SessionKey;
use crate::world::{Micros, PARTNER_IDLE, World};
use quillmount_fleet::settlement::{Outcome, SettlementId};

impl World {
    /// Carries out a call, unless its send deadline has passed, and sends the answer.
    pub fn call(&mut self, courier: usize, epoch: u64, call: Call, fault: Option<CallFault>) {
        let (outcome, session_lost) = self.run_call(courier, epoch, &call, fault);
        let Call { id, attempt, .. } = call;
        self.send(WorldEvent::Answer { courier, epoch, id, attempt, outcome, session_lost });
    }

    /// Returns the outcome of the call, and whether the connection of its session is lost.
    fn run_call(
        &mut self,
        courier: usize,
        epoch: u64,
        call: &Call,
        fault: Option<CallFault>,
    ) -> (Outcome, bool) {
        let session = call.session.map(|session| SessionKey { courier, epoch, session });
        let never = Outcome::NeverRan { after: 0 };
        if self.now >= call.send_deadline {
            let is_late = self.now >= self.plans[&call.id].deadline;
            return (if is_late { Outcome::OutOfTime } else { never }, call.opens_session);
        }
        if fault == Some(CallFault::NotReached) && (call.opens_session || session.is_none()) {
            return (never, session.is_some());
        }
        if let Some(session) = session
            && !self.use_session(&call.id, session, call.opens_session)
        {
            return (Outcome::MayHaveRun, true);
        }
        if fault == Some(CallFault::NotReached) {
            return (never, false);
        }
        self.observe_run(&call.id, call.position, session.is_some());
        let is_reset = fault == Some(CallFault::Reset);
        if let Some(session) = session.filter(|_| is_reset) {
            self.observations.get_mut(&call.id).unwrap().sessions.remove(&session);
        }
        let outcome = match fault {
            None | Some(CallFault::NotReached) => Outcome::Delivered,
            Some(CallFault::Reset | CallFault::ServerError) => Outcome::MayHaveRun,
            Some(CallFault::Refused) => Outcome::Failed,
        };
        (outcome, is_reset && session.is_some())
    }

    /// Records that bytes arrive on a session. Returns false if the partner has closed the session.
    fn use_session(&mut self, id: &SettlementId, session: SessionKey, opens_session: bool) -> bool {
        let now = self.now;
        let observed = self.observations.get_mut(id).unwrap();
        if !opens_session {
            return observed.sessions.get_mut(&session).map(|last_byte| *last_byte = now).is_some();
        }
        let others: Vec<_> = observed.sessions.keys().filter(|other| **other != session).copied().collect();
        observed.sessions.insert(session, now);
        if !others.is_empty() {
            self.report_violation(format!("{}: {session:?} opened beside {others:?}", id.name));
        }
        true
    }

    /// Delivers the closing of a session, which the partner confirms unless the session is lost.
    pub fn close_session(
        &mut self,
        key: SessionKey,
        id: SettlementId,
        opens_session: bool,
        fault: Option<CallFault>,
    ) {
        let SessionKey { courier, epoch, session } = key;
        let is_open = self.use_session(&id, key, opens_session);
        self.observations.get_mut(&id).unwrap().sessions.remove(&key);
        if !is_open || fault.is_some() {
            return self.send(WorldEvent::SessionLost { courier, epoch, id, session });
        }
        self.observe_closing(&id);
        self.send(WorldEvent::CloseConfirmed { courier, epoch, id, session });
    }

    /// Returns when the partner closes the session with the longest idle time.
    pub fn partner_wake_at(&self) -> Option<Micros> {
        let last_byte = self.observations.values().flat_map(|observed| observed.sessions.values()).min();
        last_byte.map(|at| at + PARTNER_IDLE)
    }

    /// Closes the sessions whose idle time has reached [`PARTNER_IDLE`].
    pub fn close_idle_sessions(&mut self) {
        let now = self.now;
        let mut closed = Vec::new();
        for (id, observed) in &mut self.observations {
            observed.sessions.retain(|session, last_byte| {
                let stays = *last_byte + PARTNER_IDLE > now;
                if !stays {
                    closed.push((id.clone(), *session));
                }
                stays
            });
        }
        for (id, SessionKey { courier, epoch, session }) in closed {
            self.send(WorldEvent::SessionLost { courier, epoch, id, session });
        }
    }
}
