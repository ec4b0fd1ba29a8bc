//! The state of the world of streams: the courier, the streamed bodies and the calls in flight.

use super::case::StreamCase;
use crate::case::Case;
use crate::courier::{self, OpenError};
use crate::fingerprint::Fingerprint;
use quillmount_core::call::Call;
use quillmount_core::flow::Flow;
use quillmount_core::hub::{DriverAction, Hub};
use quillmount_core::router::{StreamEnd, StreamLimits};
use quillmount_core::store::Memory;
use quillmount_core::{CallId, EndpointList, EndpointListing};
use quillmount_policy::{EndpointState, Micros, MsgId};
use std::collections::BTreeMap;

/// Unix time in microseconds at the beginning of the world.
pub(super) const START: Micros = 1_000_000_000_000;
/// Time that a message may take, in microseconds.
pub(super) const TIME_LEFT: Micros = 4_000_000;
/// Slots for one body and for two: a destination's first window is three eighths of the slots, which leaves capacity for
/// one call, and for two.
const SLOTS: [u32; 2] = [4, 8];
/// Limits of streams, of which [`STREAM_SHARE`](super::invariants) follows.
const STREAM_LIMITS: StreamLimits = StreamLimits { max_open: 2, share_of_slots: 0.5, share_of_window: 0.5 };

/// What an endpoint has received of one attempt.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct ReceivedBody {
    pub(super) units: u64,
    /// The end of the body was received.
    pub(super) complete: bool,
    /// The endpoint's answer proves that the call never ran.
    pub(super) never_ran: bool,
}

/// One streamed message, from its client to its endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct StreamedBody {
    /// Its number in the router, once it was submitted to this incarnation.
    pub(super) message: Option<MsgId>,
    pub(super) flow: Option<Flow>,
    /// A call has begun to write it, or the time for that has passed.
    pub(super) begun: bool,
    /// Until when its driver writes nothing, as the destination asked for a wait.
    pub(super) paused_until: Option<Micros>,
    /// What the endpoint has received, by the number of the attempt.
    pub(super) received: BTreeMap<u32, ReceivedBody>,
    /// The client has sent all of it, and its digest was right.
    pub(super) intact: bool,
    /// The client is connected.
    pub(super) connected: bool,
    /// The answer that is to be written.
    pub(super) answer: Option<StreamEnd>,
    /// Ends that client or platform have received.
    pub(super) ends: Vec<StreamEnd>,
}

/// A courier with streamed bodies and all that surrounds them, at one moment.
#[derive(Clone, Debug)]
pub(super) struct StreamWorld {
    pub(super) case: StreamCase,
    pub(super) now: Micros,
    pub(super) hub: Hub<Memory, u32>,
    pub(super) bodies: Vec<StreamedBody>,
    /// Calls in flight.
    pub(super) calls: BTreeMap<CallId, Call<u32>>,
    /// When each call that is written to its end times out.
    pub(super) answer_deadlines: BTreeMap<CallId, Micros>,
    /// Until when the destination accepts no byte of a call.
    pub(super) wait_until: Micros,
    /// The process was killed once.
    pub(super) killed: bool,
    /// The number of the last connection.
    pub(super) last_connection: u32,
}

/// A courier that has just started.
pub(super) struct StartedCourier {
    pub(super) hub: Hub<Memory, u32>,
    /// What its driver is to do first.
    pub(super) actions: Vec<DriverAction<u32>>,
}

/// Starts the courier on a store, with one endpoint on its list.
pub(super) fn start_courier(
    stream_case: StreamCase,
    store: Memory,
    now: Micros,
) -> Result<StartedCourier, OpenError> {
    let case = Case {
        attempts: stream_case.attempts,
        time_left: (TIME_LEFT / 1_000) as u32,
        slots: SLOTS[usize::from(!stream_case.is_single())],
        ..Case::default()
    };
    let endpoint = EndpointListing {
        id: "p0".into(),
        addr: Some(([127, 0, 0, 1], 1).into()),
        dest: 0,
        kind: "bank".into(),
        zone: "a".into(),
        weight: 50.0,
        state: EndpointState::Ready,
    };
    let list = EndpointList { version: 1, full: true, endpoints: vec![endpoint] };
    let opened = courier::open(&case, Some(STREAM_LIMITS), list.clone(), store, now)?;
    let mut hub = opened.hub;
    let mut actions = hub.carry_out(opened.actions, now);
    actions.extend(hub.list(list, now));
    Ok(StartedCourier { hub, actions })
}

impl StreamWorld {
    /// A world at its beginning: the courier runs, and nothing was submitted.
    pub(super) fn new(case: StreamCase) -> Result<StreamWorld, OpenError> {
        // With an empty store there is nothing to carry out.
        let StartedCourier { hub, .. } = start_courier(case, Memory::default(), START)?;
        Ok(StreamWorld {
            case,
            now: START,
            hub,
            bodies: vec![StreamedBody::default(); usize::from(case.bodies)],
            calls: BTreeMap::new(),
            answer_deadlines: BTreeMap::new(),
            wait_until: 0,
            killed: false,
            last_connection: 0,
        })
    }

    /// A body's call and its id, if one is in flight.
    pub(super) fn call_of(&self, body: usize) -> Option<(CallId, &Call<u32>)> {
        let message = self.bodies[body].message?;
        self.calls.iter().find(|(id, _)| id.msg == message).map(|(id, call)| (*id, call))
    }

    /// The index of the body with this number in the router.
    pub(super) fn body_of(&self, message: MsgId) -> Option<usize> {
        self.bodies.iter().position(|body| body.message == Some(message))
    }

    /// Whether a body waits, sent in part, as its destination asked another stream for a wait.
    pub(super) fn has_paused_body(&self) -> bool {
        self.bodies.iter().any(|body| body.paused_until.is_some())
    }

    /// The fingerprint of all that matters for what may come next.
    pub(super) fn fingerprint(&self) -> u128 {
        let mut hasher = Fingerprint::exact();
        hasher.start_at(self.now);
        self.hub.router.visit_state(&mut hasher);
        hasher.hash(&(&self.bodies, &self.answer_deadlines, self.wait_until.max(self.now), self.killed));
        for (id, call) in &self.calls {
            hasher.hash(&(id, format!("{:?}", call.state()), call.attempt().answer(), call.connection()));
        }
        hasher.hash(&(self.hub.pool.load(), self.hub.pool.gates()));
        hasher.digest()
    }
}
