//! Exhaustive exploration of a small case: a breadth-first search over all transitions, with a check after each of
//! them.
//!
//! [`enabled_transitions`] omits orders that make no difference. An event that only answers a client or reaches
//! nobody is delivered at once, and only owners are lost.

use crate::event::{CallFault, WorldEvent};
use crate::world::{Micros, ProcessState, World, courier_name};
use crate::{clients, event::InFlight};
use quillmount_fleet::settlement::{
    RequestForwarder, SettlementCommand, SettlementId, SettlementMessage, Verdict,
};
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::hash::{Hash, Hasher};

/// Duration of the graceful phase of a drain.
const DRAIN_TIME: Micros = 4_000_000;

/// The events that may still occur in a case in addition to those in flight.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct Remaining {
    /// The number of processes that may be killed with SIGKILL.
    pub kills: u32,
    pub pauses: u32,
    /// The number of calls and closings that may fail.
    pub faults: u32,
    pub drains: u32,
    /// The messages that are submitted, in this order.
    pub submissions: VecDeque<Submission>,
}

/// A message that a client submits to a courier, and its position in a settlement.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct Submission {
    pub to: usize,
    pub position: u64,
    pub id: SettlementId,
}

/// One possible transition.
#[derive(Clone, Debug)]
pub enum Transition {
    Deliver(WorldEvent),
    Fault(WorldEvent, CallFault),
    /// A courier applies the next entry of the log.
    Apply(usize),
    Submit,
    Lose(Loss),
    TakeOver(usize),
    Resume(usize),
    Drain(usize),
    /// The clock advances to the next timeout.
    Advance,
}

/// The loss of an owner. The first `writes` of its writes in flight reach the journal, and if `has_call` is true
/// its call or closing reaches the partner. The owner receives no answer to them.
#[derive(Clone, Copy, Debug)]
pub struct Loss {
    courier: usize,
    process: ProcessState,
    writes: usize,
    has_call: bool,
}

/// Returns all transitions that are possible now.
fn enabled_transitions(world: &World, remaining: &Remaining) -> Vec<Transition> {
    let mut transitions = Vec::new();
    let mut visited: HashSet<&WorldEvent> = HashSet::new();
    for InFlight { event, .. } in &world.in_flight {
        if !world.is_deliverable(event) || !visited.insert(event) {
            continue;
        }
        if needs_no_order(world, event) {
            return vec![Transition::Deliver(event.clone())];
        }
        if remaining.faults > 0 && event.is_for_partner() {
            let faults = [CallFault::Reset, CallFault::NotReached];
            transitions.extend(faults.map(|fault| Transition::Fault(event.clone(), fault)));
        }
        transitions.push(Transition::Deliver(event.clone()));
    }
    let couriers = 0..world.couriers.len();
    let is_behind = |index: &usize| world.couriers[*index].applied < world.log.len();
    if let Some(index) = couriers.clone().find(|index| is_back(world, *index) && is_behind(index)) {
        return vec![Transition::Apply(index)];
    }
    let up = couriers.filter(|index| world.couriers[*index].is_up());
    transitions.extend(up.clone().filter(is_behind).map(Transition::Apply));
    if !remaining.submissions.is_empty() {
        transitions.push(Transition::Submit);
    }
    let is_quiet = transitions.is_empty();
    for index in up.filter(|index| is_owner(world, *index)) {
        transitions.extend(losses(world, remaining, index).into_iter().map(Transition::Lose));
        if remaining.drains > 0 {
            transitions.push(Transition::Drain(index));
        }
    }
    transitions.extend(takeovers_and_returns(world));
    // The clock does not advance between a loss and the takeover: the same timeouts are explored after the takeover.
    let awaits_takeover = world.couriers.iter().any(|courier| courier.awaits_takeover());
    if is_quiet && !awaits_takeover && world.wake_at().is_some() {
        transitions.push(Transition::Advance);
    }
    transitions
}

/// Returns whether the courier has resumed after a pause during which its settlements were taken over.
fn is_back(world: &World, index: usize) -> bool {
    world.couriers[index].is_up() && world.couriers[index].is_taken_over
}

/// Returns whether the courier owns a settlement, at present or according to the log.
fn is_owner(world: &World, index: usize) -> bool {
    let courier = &world.couriers[index];
    let name = courier_name(index);
    courier.owned.counts().settlements > 0
        || world.agreed.owners().any(|(_, owner)| owner.is_registered_as(&name, courier.epoch))
}

/// Returns whether the event can be delivered before all others, because its delay makes no difference.
fn needs_no_order(world: &World, event: &WorldEvent) -> bool {
    match event {
        WorldEvent::Message { message: SettlementMessage::Reply { .. }, .. }
        | WorldEvent::DropSession { .. } => true,
        WorldEvent::Message { to, from, .. } if to == from => true,
        WorldEvent::Propose(SettlementCommand::Open { .. } | SettlementCommand::CaughtUp { .. }) => true,
        // A resumed courier continues with its old state. The worst case is a late notice that its journal is sealed.
        WorldEvent::Written { courier, .. } | WorldEvent::Write { courier, .. }
            if is_back(world, *courier) =>
        {
            true
        }
        _ => event
            .recipient()
            .is_some_and(|recipient| world.couriers[recipient.courier].process == ProcessState::Dead),
    }
}

/// Returns the ways in which this owner may be lost now.
fn losses(world: &World, remaining: &Remaining, courier: usize) -> Vec<Loss> {
    let own = || world.in_flight.iter().map(|in_flight| &in_flight.event).filter(|e| e.belongs_to(courier));
    let max_writes = own().filter(|event| matches!(event, WorldEvent::Write { .. })).count();
    let has_call = own().any(WorldEvent::is_for_partner);
    let mut losses = Vec::new();
    let processes = [(remaining.kills, ProcessState::Dead), (remaining.pauses, ProcessState::Paused)];
    for (_, process) in processes.into_iter().filter(|(count, _)| *count > 0) {
        for writes in 0..=max_writes {
            let loss = Loss { courier, process, writes, has_call: false };
            losses.push(loss);
            losses.extend(has_call.then_some(Loss { has_call: true, ..loss }));
        }
    }
    losses
}

fn takeovers_and_returns(world: &World) -> Vec<Transition> {
    let mut transitions = Vec::new();
    for (index, courier) in world.couriers.iter().enumerate() {
        if courier.awaits_takeover() {
            transitions.push(Transition::TakeOver(index));
        }
        if courier.process == ProcessState::Paused && courier.is_taken_over {
            transitions.push(Transition::Resume(index));
        }
    }
    transitions
}

fn apply_transition(world: &mut World, remaining: &mut Remaining, transition: &Transition) {
    match transition {
        Transition::Deliver(event) => deliver_with_reply(world, event, None),
        Transition::Fault(event, fault) => {
            remaining.faults -= 1;
            deliver_with_reply(world, event, Some(*fault));
        }
        Transition::Apply(index) => world.apply_next(*index),
        Transition::Submit => {
            let Submission { to, position, id } = remaining.submissions.pop_front().unwrap();
            let request = world.submission(&id, position);
            let ticket = clients::first_ticket(hash_of(&id.name) % 1_000 * 10 + position);
            world.deliver(WorldEvent::Submit { to, ticket, id, request }, None);
        }
        Transition::Lose(loss) => {
            let count = match loss.process {
                ProcessState::Dead => &mut remaining.kills,
                _ => &mut remaining.pauses,
            };
            *count -= 1;
            lose_owner(world, *loss);
        }
        Transition::TakeOver(index) => world.take_over(*index),
        Transition::Resume(index) => world.couriers[*index].process = ProcessState::Up,
        Transition::Drain(index) => {
            remaining.drains -= 1;
            world.drain(*index, world.now + DRAIN_TIME);
        }
        Transition::Advance => {
            world.now = world.wake_at().unwrap().max(world.now);
            world.tick();
        }
    }
    world.in_flight.sort_by_cached_key(|in_flight| hash_of(&in_flight.event));
}

/// Removes an event from those in flight and returns it.
fn take_event(world: &mut World, event: &WorldEvent) -> WorldEvent {
    let index = world.in_flight.iter().position(|in_flight| in_flight.event == *event).unwrap();
    world.in_flight.swap_remove(index).event
}

fn lose_owner(world: &mut World, loss: Loss) {
    let Loss { courier, process, writes, has_call } = loss;
    for _ in 0..writes {
        let is_next = |world: &World, event: &WorldEvent| {
            matches!(event, WorldEvent::Write { .. })
                && event.belongs_to(courier)
                && world.is_deliverable(event)
        };
        let mut events = world.in_flight.iter().map(|in_flight| &in_flight.event);
        let next = events.find(|event| is_next(world, event)).unwrap().clone();
        let event = take_event(world, &next);
        world.deliver(event, None);
    }
    let is_own_call = |event: &&WorldEvent| event.is_for_partner() && event.belongs_to(courier);
    let call = world.in_flight.iter().map(|in_flight| &in_flight.event).find(is_own_call).cloned();
    if let Some(call) = call.filter(|_| has_call) {
        let event = take_event(world, &call);
        world.deliver(event, None);
    }
    world.lose(courier, process);
    // The clients of a lost owner have retried elsewhere, so its forwarder starts empty. The simulation covers
    // forwarded requests that are duplicated in this way.
    let epoch = world.couriers[courier].epoch;
    world.couriers[courier].forwarder = RequestForwarder::new(&courier_name(courier), epoch);
}

/// Delivers an event and the reply to it. [`Transition::Lose`] covers a loss between the two.
fn deliver_with_reply(world: &mut World, event: &WorldEvent, fault: Option<CallFault>) {
    let event = take_event(world, event);
    let has_reply =
        event.is_for_partner() || matches!(event, WorldEvent::Write { .. } | WorldEvent::DropSession { .. });
    world.deliver(event, fault);
    let is_reply = |event: &WorldEvent| {
        matches!(
            event,
            WorldEvent::Written { .. }
                | WorldEvent::Answer { .. }
                | WorldEvent::CloseConfirmed { .. }
                | WorldEvent::SessionLost { .. }
        )
    };
    let last = world.in_flight.last().map(|in_flight| &in_flight.event);
    if has_reply && last.is_some_and(|event| is_reply(event) && world.is_deliverable(event)) {
        let reply = world.in_flight.pop().unwrap().event;
        world.deliver(reply, None);
    }
}

fn hash_of(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// The result of one exploration.
pub struct Explored {
    pub states: usize,
    /// The number of paths that ended with each verdict.
    pub verdict_counts: BTreeMap<Verdict, usize>,
    pub violation: Option<Violation>,
}

/// A violated property, and the transitions that lead to the violation.
#[derive(Debug)]
pub struct Violation {
    pub property: String,
    pub path: Vec<String>,
}

/// The index of the preceding state and the transition from it, for each state. State 0 is the initial state.
struct Paths(Vec<(usize, String)>);

impl Paths {
    fn to(&self, state: usize, last: &Transition) -> Vec<String> {
        let mut path = vec![format!("{last:?}")];
        let mut state = state;
        while state > 0 {
            path.push(self.0[state].1.clone());
            state = self.0[state].0;
        }
        path.reverse();
        path
    }
}

/// Explores all transitions up to the first violation. Panics if there are more than `max_states` states.
pub fn explore(world: World, remaining: Remaining, id: &SettlementId, max_states: usize) -> Explored {
    let mut visited: HashSet<(u64, u64)> = HashSet::new();
    let mut paths = Paths(vec![(0, String::new())]);
    let mut queue = VecDeque::from([(world, remaining, 0)]);
    let mut verdict_counts: BTreeMap<Verdict, usize> = BTreeMap::new();
    while let Some((world, remaining, state)) = queue.pop_front() {
        let transitions = enabled_transitions(&world, &remaining);
        if transitions.is_empty() || (world.has_all_verdicts() && world.in_flight.is_empty()) {
            let verdict = world.observations[id].verdict;
            verdict.into_iter().for_each(|verdict| *verdict_counts.entry(verdict).or_default() += 1);
        }
        for transition in transitions {
            let (mut next, mut remaining) = (world.clone(), remaining.clone());
            apply_transition(&mut next, &mut remaining, &transition);
            check_end(&mut next, &remaining, id);
            if let Some(property) = next.violation.take() {
                let path = paths.to(state, &transition);
                let violation = Some(Violation { property, path });
                return Explored { states: visited.len(), verdict_counts, violation };
            }
            // Two independent 64-bit hashes make a collision among some million states negligible.
            if visited.insert((hash_of(&(&next, &remaining)), hash_of(&(1u8, &remaining, &next)))) {
                assert!(visited.len() <= max_states, "more than {max_states} states");
                paths.0.push((state, format!("{transition:?}")));
                queue.push_back((next, remaining, paths.0.len() - 1));
            }
        }
    }
    Explored { states: visited.len(), verdict_counts, violation: None }
}

/// Checks, in a state without any transition, that every settlement has ended and that all tables are empty.
fn check_end(world: &mut World, remaining: &Remaining, id: &SettlementId) {
    let is_quiet = world.in_flight.is_empty() && remaining.submissions.is_empty();
    if !is_quiet || !enabled_transitions(world, remaining).is_empty() {
        return;
    }
    if !world.has_all_verdicts() {
        world.report_violation(format!(
            "{}: no transition is possible, and a settlement has no verdict",
            id.name
        ));
    }
    world.check_quiescent();
}
