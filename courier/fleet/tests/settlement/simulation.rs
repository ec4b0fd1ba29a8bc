//! Simulation of large cases: a fleet for a minute with its share of settlements. Every fault comes from the seed.

use crate::cases::settlement;
use crate::clients::first_ticket;
use crate::event::{CallFault, InFlight, WorldEvent};
use crate::incidents::{ScheduledIncident, schedule_incidents};
use crate::world::{AFTER, Micros, NEVER, World};
use quillmount_fleet::settlement::{Mode, Repeat, SettlementId, Verdict};
use quillmount_test_support::digest::Counts;
use std::collections::BTreeMap;

/// Settlements of one simulated fleet.
pub const SETTLEMENTS: u64 = 40;
/// The destinations, and the mode that the partner of each has at first.
pub const DESTINATIONS: [(u64, Mode); 4] = [(1, Mode::Message), (2, NEVER), (3, AFTER), (4, Mode::Message)];
/// A message ends so long after its settlement's first submission.
const MESSAGE_LIFETIME: Micros = 15_000_000;
/// Every settlement is over by then.
const TIME_LIMIT: Micros = 300_000_000;

/// SplitMix64: the same faults each time.
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

    /// True so many times in a thousand.
    pub fn chance_per_mille(&mut self, per_mille: u64) -> bool {
        self.below(1_000) < per_mille
    }
}

/// What simulated fleets add up to.
#[derive(Default)]
pub struct Totals {
    pub settlements: usize,
    /// Settlements by the text of their verdict.
    pub verdicts: BTreeMap<String, usize>,
    pub losses: usize,
    pub drains: usize,
    /// The most messages that one owner had pending.
    pub most_pending: u64,
    pub most_in_flight: usize,
    /// What arrived, for the digests.
    pub counts: Counts,
}

/// One simulated fleet.
pub struct Simulation<'a> {
    pub world: World,
    pub random: SplitMix64,
    pub incidents: Vec<ScheduledIncident>,
    pub totals: &'a mut Totals,
}

/// So many fleets, one after the other; each seed has its own faults. Returns the first violation.
pub fn simulate_fleets(count: u64) -> (Totals, Option<String>) {
    let mut totals = Totals::default();
    let violation = (0..count).find_map(|seed| simulate(seed, &mut totals));
    (totals, violation)
}

/// One fleet until all of its settlements are over. Returns the first violation.
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

/// Plans a settlement and the submissions of its messages, perhaps without one of them.
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
        // In order, reversed, or all at once; at any courier, and now and then at two.
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
            world.in_flight.push(InFlight { at: start + offset, event });
        }
    }
}

impl Simulation<'_> {
    fn run(&mut self) {
        while self.world.violation.is_none() {
            self.schedule_new_events();
            self.note_maxima();
            if !self.take_step() {
                break;
            }
            self.apply_log_entries();
            if self.world.now > TIME_LIMIT {
                let mut settlements = self.world.observations.iter();
                let open = settlements.find(|(_, observed)| observed.verdict.is_none()).map(|(id, _)| id);
                let text = format!("not over after {TIME_LIMIT} us: {open:?}");
                self.world.report_violation(text);
            }
        }
    }

    /// Gives new events their time of arrival, or loses or duplicates them.
    fn schedule_new_events(&mut self) {
        let in_flight = std::mem::take(&mut self.world.in_flight);
        let (scheduled, new): (Vec<_>, Vec<_>) =
            in_flight.into_iter().partition(|in_flight| in_flight.at > 0);
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
                self.world.in_flight.push(InFlight { at: self.world.now + delay, event: event.clone() });
            }
        }
    }

    fn note_maxima(&mut self) {
        let totals = &mut *self.totals;
        totals.most_in_flight = totals.most_in_flight.max(self.world.in_flight.len());
        let pending = self.world.couriers.iter().map(|courier| courier.owned.counts().messages).max();
        totals.most_pending = totals.most_pending.max(pending.unwrap_or(0));
    }

    /// Carries out whatever is next: a wake-up, an incident, an arrival, or an entry of the log. Returns false if nothing
    /// is left to happen.
    fn take_step(&mut self) -> bool {
        let in_flight = &self.world.in_flight;
        let deliverable = (0..in_flight.len()).filter(|n| self.world.is_deliverable(&in_flight[*n].event));
        let arrival = deliverable.min_by_key(|n| in_flight[*n].at);
        let arrival_at = arrival.map(|n| in_flight[n].at);
        let incident = (0..self.incidents.len())
            .min_by_key(|n| self.incidents[*n].at)
            .filter(|n| arrival_at.is_none_or(|at| self.incidents[*n].at <= at));
        let first_at = incident.map(|n| self.incidents[n].at).or(arrival_at);
        if let Some(wake_at) = self.world.wake_at()
            && first_at.is_none_or(|first_at| wake_at < first_at)
        {
            self.world.now = self.world.now.max(wake_at);
            self.world.tick();
            return true;
        }
        if let Some(n) = incident {
            let ScheduledIncident { at, incident } = self.incidents.swap_remove(n);
            self.world.now = self.world.now.max(at);
            self.carry_out_incident(incident);
            return true;
        }
        if let Some(n) = arrival {
            let InFlight { at, event } = self.world.in_flight.swap_remove(n);
            self.world.now = self.world.now.max(at);
            count_arrival(&mut self.totals.counts, self.world.now, &event);
            self.deliver(event);
            return true;
        }
        self.apply_next_anywhere()
    }

    /// The first courier that is behind applies the next entry of the log. Returns false if none is behind.
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

    /// Couriers apply what is in the log, each at its own pace.
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

    /// Each settlement of which anything arrived is over, and all tables are empty.
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

/// Counts an event that arrives, with the numbers that belong to it.
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
            ("calls", vec![*courier as u64, *epoch, call.position, call.attempt, call.by])
        }
        WorldEvent::Answer { courier, epoch, attempt, lost, .. } => {
            ("answers", vec![*courier as u64, *epoch, *attempt, u64::from(*lost)])
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
