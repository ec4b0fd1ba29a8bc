//! Simulation of large cases: one fleet with its settlements for about a minute. All faults are derived from the
//! seed.

use crate::cases::settlement;
use crate::clients::first_ticket;
use crate::event::{CallFault, InFlight, WorldEvent};
use crate::incidents::{ScheduledIncident, schedule_incidents};
use crate::world::{Micros, RESUME_AFTER_ANSWER, RESUME_NEVER, World};
use quillmount_fleet::settlement::{Mode, Repeat, SettlementId, Verdict};
use quillmount_test_support::digest::Counts;
use std::collections::BTreeMap;

/// Number of settlements in one simulated fleet.
pub const SETTLEMENTS: u64 = 40;
/// The destinations, with the initial mode of the partner of each.
pub const DESTINATIONS: [(u64, Mode); 4] =
    [(1, Mode::Message), (2, RESUME_NEVER), (3, RESUME_AFTER_ANSWER), (4, Mode::Message)];
/// Time from the first submission of a settlement to the deadline of its messages.
const MESSAGE_LIFETIME: Micros = 15_000_000;
/// The time by which every settlement must have its verdict.
const TIME_LIMIT: Micros = 300_000_000;

/// The SplitMix64 generator: a seed always produces the same faults.
pub struct SplitMix64(pub u64);

impl SplitMix64 {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    pub fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit
    }

    /// Returns true with this probability per thousand.
    pub fn chance_per_mille(&mut self, per_mille: u64) -> bool {
        self.below(1_000) < per_mille
    }
}

/// The totals over all simulated fleets.
#[derive(Default)]
pub struct Totals {
    pub settlements: usize,
    /// The number of settlements by the text of their verdict.
    pub verdicts: BTreeMap<String, usize>,
    pub losses: usize,
    pub drains: usize,
    /// The maximum number of pending messages at one owner.
    pub max_pending: u64,
    pub max_in_flight: usize,
    /// Counts of the events that arrived, for the digests.
    pub counts: Counts,
}

/// One simulated fleet.
pub struct Simulation<'a> {
    pub world: World,
    pub random: SplitMix64,
    pub incidents: Vec<ScheduledIncident>,
    pub totals: &'a mut Totals,
}

/// Simulates `count` fleets one after the other, each with its own seed. Returns the first violation.
pub fn simulate_fleets(count: u64) -> (Totals, Option<String>) {
    let mut totals = Totals::default();
    let violation = (0..count).find_map(|seed| simulate(seed, &mut totals));
    (totals, violation)
}

/// Simulates one fleet until all of its settlements have ended. Returns the first violation.
pub fn simulate(seed: u64, totals: &mut Totals) -> Option<String> {
    let mut random = SplitMix64(seed);
    let couriers = 3 + random.below(3) as usize;
    let mut world = World::new(couriers, BTreeMap::from(DESTINATIONS), 6);
    for number in 0..SETTLEMENTS {
        plan_settlement(&mut world, &mut random, number);
    }
    let incidents = schedule_incidents(&mut random, couriers);
    let mut simulation = Simulation { world, random, incidents, totals };
    simulation.run();
    simulation.check_end();
    simulation.add_to_totals();
    simulation.world.violation.map(|violation| format!("seed {seed}: {violation}"))
}

/// Plans a settlement and the submissions of its messages. One position may be missing.
fn plan_settlement(world: &mut World, random: &mut SplitMix64, number: u64) {
    let couriers = world.couriers.len() as u64;
    let id = settlement(&format!("s{number}"), 1 + random.below(4));
    let total = 1 + random.below(6);
    let start = 1_000 + random.below(20_000_000);
    let repeat = match random.below(3) {
        0 => Repeat::Never,
        1 => Repeat::Within(15_000_000),
        _ => Repeat::Freely,
    };
    world.plan(&id, total, repeat, start + MESSAGE_LIFETIME);
    let missing = random.chance_per_mille(20).then(|| 1 + random.below(total));
    for position in (1..=total).filter(|position| Some(*position) != missing) {
        // The submissions are in order, reversed or concurrent. Each goes to a random courier, and some go to two.
        let offset = match number % 3 {
            0 => position * 100_000,
            1 => (total - position) * 100_000,
            _ => random.below(1_000),
        };
        for repetition in 0..1 + u64::from(random.chance_per_mille(100)) {
            let to = random.below(couriers) as usize;
            let ticket = first_ticket((number * 10 + position) * 10 + repetition);
            let request = world.submission(&id, position);
            let event = WorldEvent::Submit { to, ticket, id: id.clone(), request };
            world.in_flight.push(InFlight { arrives_at: start + offset, event });
        }
    }
}

impl Simulation<'_> {
    fn run(&mut self) {
        while self.world.violation.is_none() {
            self.schedule_new_events();
            self.update_maxima();
            if !self.take_step() {
                break;
            }
            self.apply_log_entries();
            if self.world.now > TIME_LIMIT {
                let mut settlements = self.world.observations.iter();
                let open = settlements.find(|(_, observed)| observed.verdict.is_none()).map(|(id, _)| id);
                let text = format!("a settlement has no verdict after {TIME_LIMIT} us: {open:?}");
                self.world.report_violation(text);
            }
        }
    }

    /// Schedules new events; unreliable ones may be lost or duplicated.
    fn schedule_new_events(&mut self) {
        let in_flight = std::mem::take(&mut self.world.in_flight);
        let (scheduled, new): (Vec<_>, Vec<_>) =
            in_flight.into_iter().partition(|in_flight| in_flight.arrives_at > 0);
        self.world.in_flight = scheduled;
        for InFlight { event, .. } in new {
            let is_unreliable = matches!(event, WorldEvent::Message { .. } | WorldEvent::Propose(_));
            let copies =
                if is_unreliable && self.random.chance_per_mille(50) { 2 * self.random.below(2) } else { 1 };
            let is_write = matches!(event, WorldEvent::Write { .. } | WorldEvent::Written { .. });
            for _ in 0..copies {
                let mut delay = 200 + self.random.below(20_000);
                if self.random.chance_per_mille(10) && !is_write {
                    delay += self.random.below(if is_unreliable { 3_000_000 } else { 400_000 });
                }
                self.world
                    .in_flight
                    .push(InFlight { arrives_at: self.world.now + delay, event: event.clone() });
            }
        }
    }

    fn update_maxima(&mut self) {
        let totals = &mut *self.totals;
        totals.max_in_flight = totals.max_in_flight.max(self.world.in_flight.len());
        let pending = self.world.couriers.iter().map(|courier| courier.owned.counts().messages).max();
        totals.max_pending = totals.max_pending.max(pending.unwrap_or(0));
    }

    /// Carries out the next wake-up, incident, arrival or entry of the log. Returns false if none of them is left.
    fn take_step(&mut self) -> bool {
        let in_flight = &self.world.in_flight;
        let deliverable = (0..in_flight.len()).filter(|n| self.world.is_deliverable(&in_flight[*n].event));
        let arrival = deliverable.min_by_key(|n| in_flight[*n].arrives_at);
        let arrival_at = arrival.map(|n| in_flight[n].arrives_at);
        let incident = (0..self.incidents.len())
            .min_by_key(|n| self.incidents[*n].starts_at)
            .filter(|n| arrival_at.is_none_or(|arrival_at| self.incidents[*n].starts_at <= arrival_at));
        let first_at = incident.map(|n| self.incidents[n].starts_at).or(arrival_at);
        if let Some(wake_at) = self.world.wake_at()
            && first_at.is_none_or(|first_at| wake_at < first_at)
        {
            self.world.now = self.world.now.max(wake_at);
            self.world.tick();
            return true;
        }
        if let Some(n) = incident {
            let ScheduledIncident { starts_at, incident } = self.incidents.swap_remove(n);
            self.world.now = self.world.now.max(starts_at);
            self.carry_out_incident(incident);
            return true;
        }
        if let Some(n) = arrival {
            let InFlight { arrives_at, event } = self.world.in_flight.swap_remove(n);
            self.world.now = self.world.now.max(arrives_at);
            count_arrival(&mut self.totals.counts, self.world.now, &event);
            self.deliver(event);
            return true;
        }
        self.apply_next_anywhere()
    }

    /// The first courier that has not applied the whole log applies its next entry. Returns false if there is none.
    fn apply_next_anywhere(&mut self) -> bool {
        let entries = self.world.log.len();
        let mut couriers = self.world.couriers.iter();
        let behind = couriers.position(|courier| courier.is_up() && courier.applied < entries);
        if let Some(index) = behind {
            self.world.apply_next(index);
        }
        behind.is_some()
    }

    fn deliver(&mut self, event: WorldEvent) {
        let drawn = event.is_for_partner().then(|| self.random.below(400));
        let fault = match drawn {
            Some(0) => Some(CallFault::Reset),
            Some(1) => Some(CallFault::ServerError),
            Some(2) if self.random.chance_per_mille(300) => Some(CallFault::Refused),
            Some(3..=12) => Some(CallFault::NotReached),
            _ => None,
        };
        self.world.deliver(event, fault);
    }

    /// Each courier that is behind applies the next entry of the log with a probability of one half.
    fn apply_log_entries(&mut self) {
        for index in 0..self.world.couriers.len() {
            let is_behind = self.world.couriers[index].applied < self.world.log.len();
            let is_idle = self.world.in_flight.is_empty() && self.world.wake_at().is_none();
            if self.world.couriers[index].is_up()
                && is_behind
                && (is_idle || self.random.chance_per_mille(500))
            {
                self.world.apply_next(index);
            }
        }
    }

    /// Checks that every settlement that was opened has a verdict, and that all tables are empty.
    fn check_end(&mut self) {
        let world = &mut self.world;
        let is_open =
            |id: &SettlementId| world.observations[id].verdict.is_none() && world.agreed.owner(id).is_some();
        if let Some(id) = world.observations.keys().find(|id| is_open(id)).cloned() {
            world.report_violation(format!("{id:?} has no verdict"));
        }
        for index in 0..world.couriers.len() {
            while world.couriers[index].is_up() && world.couriers[index].applied < world.log.len() {
                world.apply_next(index);
            }
        }
        world.in_flight.clear();
        world.check_quiescent();
    }

    fn add_to_totals(&mut self) {
        let totals = &mut *self.totals;
        totals.counts.set("log_entries", self.world.log.len() as u64);
        totals.counts.set("end_time_us", self.world.now);
        for observed in self.world.observations.values() {
            totals.settlements += 1;
            let verdict = match observed.verdict {
                Some(Verdict::Closed { .. }) => "closed".to_string(),
                Some(Verdict::Broken { cause, .. }) => format!("broken: {cause:?}"),
                None => "never opened".to_string(),
            };
            *totals.verdicts.entry(verdict).or_default() += 1;
        }
    }
}

/// Counts an arriving event together with its numbers.
fn count_arrival(counts: &mut Counts, now: Micros, event: &WorldEvent) {
    let (label, numbers): (&'static str, Vec<u64>) = match event {
        WorldEvent::Submit { to, ticket, .. } => ("submissions", vec![*to as u64, *ticket]),
        WorldEvent::Message { to, from, .. } => ("messages", vec![*to as u64, *from as u64]),
        WorldEvent::Propose(_) => ("proposals", vec![]),
        WorldEvent::Write { courier, epoch, seq, records } => {
            ("writes", vec![*courier as u64, *epoch, *seq, records.len() as u64])
        }
        WorldEvent::Written { courier, epoch, seq, is_stored } => {
            ("writes_completed", vec![*courier as u64, *epoch, *seq, u64::from(*is_stored)])
        }
        WorldEvent::Fetch { courier, epoch, term, .. } => ("fetches", vec![*courier as u64, *epoch, *term]),
        WorldEvent::Call { courier, epoch, call } => {
            ("calls", vec![*courier as u64, *epoch, call.position, call.attempt, call.send_deadline])
        }
        WorldEvent::Answer { courier, epoch, attempt, session_lost, .. } => {
            ("answers", vec![*courier as u64, *epoch, *attempt, u64::from(*session_lost)])
        }
        WorldEvent::CloseSession { courier, epoch, session, .. } => {
            ("closings", vec![*courier as u64, *epoch, u64::from(*session)])
        }
        WorldEvent::CloseConfirmed { courier, epoch, session, .. } => {
            ("closings_confirmed", vec![*courier as u64, *epoch, u64::from(*session)])
        }
        WorldEvent::DropSession { courier, epoch, session, .. } => {
            ("sessions_dropped", vec![*courier as u64, *epoch, u64::from(*session)])
        }
        WorldEvent::SessionLost { courier, epoch, session, .. } => {
            ("sessions_lost", vec![*courier as u64, *epoch, u64::from(*session)])
        }
    };
    let mut all_numbers = vec![now];
    all_numbers.extend(numbers);
    counts.count(label, &all_numbers);
}
