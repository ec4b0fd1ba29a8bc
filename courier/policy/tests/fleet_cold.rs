//! Simulation of a fleet on one virtual clock: the total load of all senders on a destination that returns cold from
//! an outage, and the messages that they reject without an attempt.

mod common;
use common::*;
use quillmount_containers::random_unit;
use quillmount_policy::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::ops::Range;

/// Round-trip time of a call.
const ROUND_TRIP: Micros = 100_000;
const OVERLOAD_SPAN: Micros = 3 * SEC;
const SLOW_START: Micros = 8 * SEC;
const SLOW_START_SHARE: f64 = 0.25;
const LIFETIME: Micros = 16 * SEC;
/// Longest wait that a limit requests.
const LIMIT_WAIT: Micros = 5 * SEC / 2;
/// Factor by which a listed rate may be too high.
const WEIGHT_ERROR: f64 = 1.5;

/// Number of calls in an overload span that overloads a destination of `rate` calls a second, at this share of its
/// capacity.
fn overload(rate: f64, share: f64) -> f64 {
    let allowed = 2.0 * share * rate * OVERLOAD_SPAN as f64 / 1e6;
    allowed + 2.0 * allowed.sqrt() + 2.0
}

/// A simulated run of a fleet. Each destination accepts its true rate, the listed rate divided by `weight_error`. One
/// destination may be in an outage for some time.
struct Scenario<'a> {
    senders: u32,
    listed: &'a [f64],
    weight_error: f64,
    seconds: u64,
    /// Messages a second, as a multiple of the listed rate.
    load: f64,
    /// Destination 0 refuses all calls from the first to the second of these times, and is cold afterwards.
    outage: (Micros, Micros),
    /// Refusals request a wait: until the end of the outage, or half a second at a limit.
    reports_waits: bool,
    max_open_messages: u32,
    seed: u64,
    faults: Faults,
}

/// Faults in addition to the outage.
#[derive(Clone, Copy, Debug, Default)]
struct Faults {
    /// Some senders get several times the mean number of messages.
    uneven: bool,
    /// During the outage, destination 0 accepts calls but never answers them, so that they time out.
    silent: bool,
    /// Number of senders that are killed and restart in the last two seconds of the outage. Each one has its
    /// messages, but no endpoint list for up to a second.
    restarts: u32,
    /// One call in this many arrives 1.5 s late and counts on arrival, although it may have timed out; 0 for none.
    delayed_calls: u64,
    /// Operators remove destination 0 from the list during the outage and add it again as returning. Every fifth
    /// sender gets that list up to two seconds late.
    relisted: bool,
}

/// Totals over the fleet.
#[derive(Debug, Default)]
struct FleetTotals {
    submitted: u32,
    delivered: u32,
    /// Value of the delivered messages: 1 each within three seconds, halved with each further three seconds, at least
    /// 0.4.
    value: f64,
    refused: u32,
    /// Messages that were rejected before seven tenths of their lifetime, without a call that may have run, by reason;
    /// and how many of them the destination had capacity for in the rest of their lifetime.
    early_rejections: BTreeMap<&'static str, (u32, u32)>,
    /// Maximum number of calls in one overload span of the slow start, as a fraction of the number that overloads the
    /// destination: of all senders, and of informed ones, which observed a failure in the outage. The latter may be
    /// two thirds.
    peak_load: (f64, f64),
    /// Fraction of the guard's budget during the slow start that informed senders used.
    budget_used: f64,
}

/// A scheduled event: its time, its sender, what happens, and the destination. `None`: a message is submitted.
/// Otherwise a call of the message ends, accepted or refused with a wait; the ids below stand for other events of the
/// sender.
type Due = (Micros, usize, Option<(MsgId, Option<Micros>)>, DestId);
const WAKE: MsgId = MsgId::MAX;
const RESTART: MsgId = MsgId::MAX - 1;
const LIST: MsgId = MsgId::MAX - 2;
const DRAIN: MsgId = MsgId::MAX - 3;
/// Used in place of a wait: the call ends by its time-out.
const TIMED_OUT: Micros = Micros::MAX;

/// Creates the sender's next process, which has only the messages and their calls so far.
fn next_process(old: &World, set: Settings, open: &[(MsgId, Micros, DestId)]) -> World {
    let mut world = World::new(set, old.now);
    (world.now, world.next_id) = (old.now, old.next_id);
    for &(id, at, dest) in open {
        let calls = old.attempts.get(&id).copied().unwrap_or(0);
        world.attempts.insert(id, calls);
        let past = vec![PastAttempt { zone: 0, sent: at, may_have_run: false }; calls as usize];
        let (deadline, class, stream, size) = (at + LIFETIME, 0, false, 0);
        let message =
            Message { id, class, tenant: None, key: None, deadline, work_hint: None, dest, stream, size };
        world.step(&[DispatchEvent::Restore { message, past }]);
    }
    world
}

/// Whether the latest call of the message was made by this process before `now` and is in flight.
fn is_in_flight(world: &World, msg: MsgId, now: Micros) -> bool {
    let call = world.attempts.get(&msg).and_then(|n| world.in_flight.get(&(msg, n.checked_sub(1)?)));
    call.is_some_and(|(_, sent, _)| *sent < now)
}

impl Scenario<'_> {
    fn settings(&self) -> Settings {
        let mut set = settings(5);
        (set.sender_count, set.overload_span, set.overload_multiple) = (self.senders, OVERLOAD_SPAN, 2.0);
        (set.slow_start_share, set.slow_start, set.max_open_messages) =
            (SLOW_START_SHARE, SLOW_START, self.max_open_messages);
        (set.max_attempts, set.decay) = (8, Decay::Halving);
        for class in &mut set.classes {
            (class.latency_target, class.deadline, class.late_value) = (3 * SEC, LIFETIME, 0.4);
        }
        set
    }

    fn share(&self, after: Micros) -> f64 {
        (SLOW_START_SHARE + (1.0 - SLOW_START_SHARE) * after as f64 / SLOW_START as f64).min(1.0)
    }

    fn run(&self) -> FleetTotals {
        let mut fleet = Fleet::new(self);
        fleet.schedule();
        while let Some(Reverse((now, sender, event, dest))) = fleet.due.pop() {
            fleet.step(now, sender, event, dest);
        }
        fleet.count_rejections();
        fleet.count_calls_after_outage();
        fleet.totals
    }
}

/// The state of a simulated run.
struct Fleet<'a> {
    scenario: &'a Scenario<'a>,
    /// True rates, by destination.
    rates: Vec<f64>,
    list: Vec<EndpointEntry>,
    worlds: Vec<World>,
    begin: Micros,
    end: Micros,
    /// Time range of the outage of destination 0.
    outage: Range<Micros>,
    /// State of the random number generator.
    seed: u64,
    due: BinaryHeap<Reverse<Due>>,
    totals: FleetTotals,
    calls_made: u64,
    /// Whether each sender has restarted.
    restarted: Vec<bool>,
    /// Whether each sender has observed a failure of destination 0 during the outage.
    informed: Vec<bool>,
    /// Tokens of each destination, with the time at which they were counted.
    tokens: Vec<(f64, Micros)>,
    /// Arrival times of the calls that each destination accepted.
    accepted: Vec<Vec<Micros>>,
    /// Arrival times of calls to destination 0 after the outage, and whether the sender was informed.
    calls_after_outage: Vec<(Micros, bool)>,
    /// Time of submission and destination of each message.
    submitted: BTreeMap<(usize, MsgId), (Micros, DestId)>,
    /// Early rejections: reason, destination, time, and the message's deadline.
    rejected: Vec<(&'static str, usize, Micros, Micros)>,
    /// Messages with a result.
    ended: BTreeSet<(usize, MsgId)>,
}

impl<'a> Fleet<'a> {
    fn new(scenario: &'a Scenario<'a>) -> Self {
        let rates: Vec<f64> = scenario.listed.iter().map(|rate| rate / scenario.weight_error).collect();
        let list: Vec<EndpointEntry> = (0u32..)
            .zip(scenario.listed)
            .map(|(endpoint, rate)| EndpointEntry { weight: *rate, ..entry(endpoint, endpoint.into()) })
            .collect();
        let worlds: Vec<World> = (0..scenario.senders)
            .map(|index| {
                let settings = Settings { sender_index: index, ..scenario.settings() };
                let mut world = World::new(settings, u64::from(index) + 1);
                world.list(ListUpdate::Full, &list);
                world
            })
            .collect();
        let begin = worlds[0].now;
        Fleet {
            scenario,
            begin,
            end: begin + scenario.seconds * SEC,
            outage: begin + scenario.outage.0..begin + scenario.outage.1,
            seed: scenario.seed,
            due: BinaryHeap::new(),
            totals: FleetTotals::default(),
            calls_made: 0,
            restarted: vec![false; worlds.len()],
            informed: vec![false; worlds.len()],
            tokens: rates.iter().map(|rate| (rate / 2.0, begin)).collect(),
            accepted: vec![Vec::new(); rates.len()],
            calls_after_outage: Vec::new(),
            submitted: BTreeMap::new(),
            rejected: Vec::new(),
            ended: BTreeSet::new(),
            rates,
            list,
            worlds,
        }
    }

    /// Draws the times of submissions and schedules the faults.
    fn schedule(&mut self) {
        for (dest, rate) in (0..).zip(self.scenario.listed) {
            let mut at = self.begin;
            while at < self.end {
                let interval = -(1.0 - random_unit(&mut self.seed)).ln() / (rate * self.scenario.load) * 1e6;
                at += interval as Micros;
                let power = if self.scenario.faults.uneven { 2 } else { 1 };
                let part = random_unit(&mut self.seed).powi(power);
                self.due.push(Reverse((at, (part * f64::from(self.scenario.senders)) as usize, None, dest)));
            }
        }
        let outage_end = self.outage.end;
        let restarts = self.scenario.faults.restarts as usize;
        for n in 0..restarts {
            // Spread over all senders, including those with many messages.
            let sender = n * self.worlds.len() / restarts;
            let at = outage_end - 2 * SEC + (random_unit(&mut self.seed) * 2e6) as Micros;
            self.schedule_mark(at, sender, RESTART);
            let list_at = at + (random_unit(&mut self.seed) * 1e6) as Micros;
            self.schedule_mark(list_at, sender, LIST);
        }
        for sender in 0..self.worlds.len() * usize::from(self.scenario.faults.relisted) {
            self.schedule_mark(self.outage.start, sender, DRAIN);
            let late = if sender % 5 == 4 { (random_unit(&mut self.seed) * 2e6) as Micros } else { 0 };
            self.schedule_mark(outage_end + late, sender, LIST);
        }
    }

    fn schedule_mark(&mut self, at: Micros, sender: usize, mark: MsgId) {
        self.due.push(Reverse((at, sender, Some((mark, None)), 0)));
    }

    /// Processes one event at a sender and performs the resulting actions.
    fn step(&mut self, now: Micros, sender: usize, event: Option<(MsgId, Option<Micros>)>, dest: DestId) {
        let mut logged = self.worlds[sender].log.len();
        let world = &mut self.worlds[sender];
        world.pass(now.saturating_sub(world.now));
        let mut fresh = None;
        match event {
            None if now < self.end => fresh = Some(self.submit(now, sender, dest)),
            None => {}
            Some((RESTART, _)) => {
                self.restart(sender);
                logged = 0;
            }
            Some((DRAIN, _)) => {
                let entry = EndpointEntry { state: EndpointState::Draining, ..self.list[0].clone() };
                self.worlds[sender].list(ListUpdate::Delta, &[entry]);
            }
            Some((LIST, _)) => self.send_list(now, sender),
            Some((WAKE, _)) => {}
            // The call belonged to an earlier process or has ended.
            Some((msg, _)) if !is_in_flight(&self.worlds[sender], msg, now) => {}
            Some((msg, outcome)) => self.finish(now, sender, msg, outcome, dest),
        }
        let actions: Vec<DispatchAction> =
            self.worlds[sender].log[logged..].iter().map(|(_, action)| action.clone()).collect();
        for action in actions {
            match action {
                DispatchAction::Send { msg, timeout, .. } => self.call(now, sender, msg, timeout),
                DispatchAction::Reject { msg, after } => {
                    self.record_rejection(now, sender, msg, after, fresh == Some(msg));
                }
                _ => {}
            }
        }
        let timer = self.worlds[sender].next_timer.filter(|at| *at < self.end + 20 * SEC);
        if let Some(at) = timer {
            self.schedule_mark(at.max(now), sender, WAKE);
        }
    }

    fn submit(&mut self, now: Micros, sender: usize, dest: DestId) -> MsgId {
        let id = self.worlds[sender].submit_with(0, dest, |message| message.deadline = now + LIFETIME);
        self.submitted.insert((sender, id), (now, dest));
        self.totals.submitted += 1;
        id
    }

    fn restart(&mut self, sender: usize) {
        let open: Vec<_> = self
            .submitted
            .range((sender, 0)..(sender + 1, 0))
            .filter(|(id, _)| !self.ended.contains(*id))
            .map(|((_, id), (at, dest))| (*id, *at, *dest))
            .collect();
        let sender_index = u32::try_from(sender).unwrap();
        let settings = Settings { sender_index, ..self.scenario.settings() };
        self.worlds[sender] = next_process(&self.worlds[sender], settings, &open);
        self.informed[sender] = false;
        self.restarted[sender] = true;
    }

    fn send_list(&mut self, now: Micros, sender: usize) {
        let is_unlisted = self.scenario.faults.relisted && now < self.outage.end;
        let state = if is_unlisted { EndpointState::Draining } else { EndpointState::Ready };
        let returning = self.scenario.faults.relisted && !is_unlisted;
        self.informed[sender] |= returning;
        let mut list = self.list.clone();
        list[0] = EndpointEntry { state, returning, ..list[0].clone() };
        self.worlds[sender].list(ListUpdate::Full, &list);
    }

    /// Ends a call: accepted, refused with a wait, or timed out.
    fn finish(&mut self, now: Micros, sender: usize, msg: MsgId, outcome: Option<Micros>, dest: DestId) {
        let world = &mut self.worlds[sender];
        match outcome {
            Some(TIMED_OUT) => {
                world.finish(msg, Outcome::Timeout, 0);
                self.informed[sender] |= dest == 0 && self.outage.contains(&(now - 1));
            }
            None => {
                world.finish(msg, Outcome::Ok, 0);
                self.ended.insert((sender, msg));
                self.totals.delivered += 1;
                let on_time = self.submitted[&(sender, msg)].0 + 3 * SEC;
                let late = now.saturating_sub(on_time) as f64 / 3e6;
                self.totals.value += 0.5f64.powf(late).max(0.4);
            }
            Some(wait) => {
                world.finish(msg, Outcome::Full, wait);
                self.totals.refused += 1;
                // A new process attributes its first refusals to a limit, unless they request a longer wait than a
                // limit does.
                let is_limit = self.restarted[sender] && wait <= LIMIT_WAIT;
                self.informed[sender] |=
                    dest == 0 && self.outage.contains(&(now - ROUND_TRIP / 2)) && !is_limit;
            }
        }
    }

    /// Sends a call: decides whether the destination accepts it and schedules its end.
    fn call(&mut self, now: Micros, sender: usize, msg: MsgId, timeout: Micros) {
        self.calls_made += 1;
        let delayed_calls = self.scenario.faults.delayed_calls;
        let is_delayed = delayed_calls > 0 && self.calls_made.is_multiple_of(delayed_calls);
        let dest = self.submitted[&(sender, msg)].1;
        let arrives = now + ROUND_TRIP / 2 + if is_delayed { 3 * SEC / 2 } else { 0 };
        let is_in_outage = dest == 0 && self.outage.contains(&arrives);
        let is_after_outage = dest == 0 && arrives >= self.outage.end;
        if is_after_outage && self.scenario.outage.1 > 0 {
            self.calls_after_outage.push((arrives, self.informed[sender] && !is_delayed));
        }
        let time_since_outage = if is_after_outage { arrives - self.outage.end } else { SLOW_START };
        let is_accepted = self.take_token(dest as usize, arrives, time_since_outage, is_in_outage);
        let wait = if is_in_outage { self.outage.end.saturating_sub(arrives) } else { SEC / 2 };
        let reported_wait = if self.scenario.reports_waits { wait } else { 0 };
        let is_silent = is_in_outage && self.scenario.faults.silent;
        let (ends, outcome) = if is_silent || arrives + ROUND_TRIP / 2 > now + timeout {
            (now + timeout, Some(TIMED_OUT))
        } else {
            (arrives + ROUND_TRIP / 2, (!is_accepted).then_some(reported_wait))
        };
        self.due.push(Reverse((ends, sender, Some((msg, outcome)), dest)));
    }

    /// Whether a destination accepts a call, by its rate at that time.
    fn take_token(
        &mut self,
        dest: usize,
        arrives: Micros,
        time_since_outage: Micros,
        is_in_outage: bool,
    ) -> bool {
        let rate = self.rates[dest] * self.scenario.share(time_since_outage);
        let (level, counted_at) = self.tokens[dest];
        let refilled = level + rate * arrives.saturating_sub(counted_at) as f64 / 1e6;
        let level = refilled.min(rate / 2.0);
        let is_accepted = !is_in_outage && level >= 1.0;
        let left = if is_accepted { level - 1.0 } else { level };
        self.tokens[dest] = (left, arrives.max(counted_at));
        if is_accepted {
            self.accepted[dest].push(arrives);
        }
        is_accepted
    }

    fn record_rejection(&mut self, now: Micros, sender: usize, msg: MsgId, after: Micros, is_fresh: bool) {
        let (at, dest) = self.submitted[&(sender, msg)];
        self.ended.insert((sender, msg));
        let reason = match after {
            _ if is_fresh && after == 2 * SEC => "shed on submission",
            _ if is_fresh => "no turn, on submission",
            _ if after == 2 * SEC => "shed",
            _ if self.worlds[sender].sends(msg) > 0 => "no turn after a refusal",
            _ => "no turn",
        };
        if now < at + LIFETIME / 10 * 7 {
            self.rejected.push((reason, dest as usize, now, at + LIFETIME));
        }
    }

    fn count_rejections(&mut self) {
        for (reason, dest, from, to) in &self.rejected {
            let calls = self.accepted[*dest].iter().filter(|at| (*from..*to).contains(at)).count() as f64;
            let has_capacity = self.rates[*dest] * (to - from) as f64 / 1e6 - calls >= 1.0;
            let count = self.totals.early_rejections.entry(reason).or_default();
            *count = (count.0 + 1, count.1 + u32::from(has_capacity));
        }
    }

    fn count_calls_after_outage(&mut self) {
        let outage_end = self.outage.end;
        for (at, _) in self.calls_after_outage.iter().filter(|(at, _)| *at < outage_end + SLOW_START) {
            let limit = overload(self.rates[0], self.scenario.share(at - outage_end));
            let span = || {
                self.calls_after_outage.iter().filter(|(other, _)| (*at..at + OVERLOAD_SPAN).contains(other))
            };
            let all = span().count() as f64;
            let informed = span().filter(|(_, informed)| *informed).count() as f64;
            let peak_load = self.totals.peak_load;
            self.totals.peak_load = (peak_load.0.max(all / limit), peak_load.1.max(informed / limit));
        }
        let mut budget = 0.0;
        for span in 0..SLOW_START / OVERLOAD_SPAN {
            budget += 2.0 / 3.0 * overload(self.rates[0], self.scenario.share(span * OVERLOAD_SPAN));
        }
        let is_counted = |at: Micros| at < outage_end + SLOW_START / OVERLOAD_SPAN * OVERLOAD_SPAN;
        let budget_used =
            self.calls_after_outage.iter().filter(|(at, informed)| *informed && is_counted(*at)).count();
        self.totals.budget_used = budget_used as f64 / budget;
    }
}

/// Destination 0 has an outage of eight seconds, and the load is its listed rate, which is half too high.
#[test]
fn senders_that_saw_a_failure_send_a_cold_destination_at_most_two_thirds_of_its_overload() {
    for (senders, listed) in
        [(3, 6.0), (100, 24.0), (100, 80.0), (300, 24.0), (300, 50.0), (300, 120.0), (300, 200.0)]
    {
        for reports_waits in [false, true] {
            // With the smallest share per sender, one run has under twenty calls, so that the mean of five runs is
            // taken.
            let seeds = if (senders, listed) == (300, 24.0) { 7..12 } else { 7..8 };
            let (mut budget_used, runs) = (0.0, seeds.end - seeds.start);
            for seed in seeds {
                let scenario = Scenario {
                    senders,
                    listed: &[listed],
                    weight_error: WEIGHT_ERROR,
                    seconds: 30,
                    load: 1.0,
                    outage: (4 * SEC, 12 * SEC),
                    reports_waits,
                    max_open_messages: 1000,
                    seed,
                    faults: Faults::default(),
                };
                let totals = scenario.run();
                println!("{senders} senders, {listed}/s, waits reported: {reports_waits}: {totals:?}");
                assert!(
                    totals.peak_load.1 <= 2.0 / 3.0,
                    "{senders} senders, {listed}/s, waits reported: {reports_waits}: {totals:?}"
                );
                budget_used += totals.budget_used / runs as f64;
            }
            // Three senders need not use up the budget.
            assert!(senders == 3 || budget_used > 0.25, "only {budget_used:.2} of the budget is used");
        }
    }
}

/// In 264 runs with fleets of all sizes and further faults, the calls of all senders in an overload span never exceed
/// the number that overloads a cold destination, informed senders stay within two thirds of it, and enough of the
/// budget is used. The load in a span is the N calls that the settings allow for a cold destination, in addition to
/// the messages that wait since the outage. Under a higher load the senders that cannot know of the outage could
/// overload the destination alone.
#[test]
fn the_sum_of_all_senders_stays_under_what_brings_a_cold_destination_down() {
    let sizes = [
        (2, 60, [3.0, 24.0]),
        (3, 60, [3.0, 24.0]),
        (20, 36, [8.0, 40.0]),
        (30, 32, [8.0, 60.0]),
        (100, 8, [24.0, 100.0]),
        (300, 4, [24.0, 300.0]),
        // The budget is at least one call for each sender in a span.
        (20, 24, [60.0, 100.0]),
        (30, 24, [90.0, 140.0]),
        (100, 12, [150.0, 240.0]),
        (300, 4, [450.0, 600.0]),
    ];
    let (mut violations, mut runs) = (Vec::new(), 0);
    for (senders, seeds, listed) in sizes {
        let (mut all, mut informed, mut budget_used) = (0.0f64, 0.0f64, 0.0);
        for n in 0..seeds {
            let faults = Faults {
                uneven: n / 2 % 2 == 1,
                silent: n % 3 == 1,
                restarts: if n % 4 >= 2 { u32::div_ceil(senders, 10) } else { 0 },
                delayed_calls: if n % 5 == 3 { 20 } else { 0 },
                relisted: n % 7 == 4,
            };
            let listed = listed[n as usize % 2];
            let scenario = Scenario {
                senders,
                listed: &[listed],
                weight_error: WEIGHT_ERROR,
                seconds: 16,
                load: 2.0 * SLOW_START_SHARE / WEIGHT_ERROR,
                outage: (SEC, 8 * SEC),
                reports_waits: n % 6 < 3,
                max_open_messages: 1000,
                seed: 1000 * u64::from(senders) + n,
                faults,
            };
            let totals = scenario.run();
            (all, informed) = (all.max(totals.peak_load.0), informed.max(totals.peak_load.1));
            budget_used += totals.budget_used / seeds as f64;
            runs += 1;
            if totals.peak_load.0 > 1.0 || totals.peak_load.1 > 2.0 / 3.0 {
                violations.push(format!(
                    "{senders} senders, {listed}/s, seed {n}, {faults:?}: {:?}",
                    totals.peak_load
                ));
            }
        }
        println!(
            "{senders} senders, {seeds} runs: peak load {all:.2}, of informed senders {informed:.2}; budget used {budget_used:.2}"
        );
        assert!(budget_used > 0.2, "{senders} senders: only {budget_used:.2} of the budget is used");
    }
    println!("{} of {runs} runs exceed a limit:\n{}", violations.len(), violations.join("\n"));
    assert!(violations.is_empty(), "{} of {runs} runs exceed a limit", violations.len());
}

/// Guards against rejections without an attempt where there is no outage and only limits restrict the calls.
#[test]
fn few_messages_are_rejected_early_where_only_limits_apply() {
    for (senders, listed) in [(3, [6.0, 12.0, 24.0]), (100, [24.0, 50.0, 100.0]), (300, [24.0, 80.0, 240.0])]
    {
        for reports_waits in [false, true] {
            let scenario = Scenario {
                senders,
                listed: &listed,
                weight_error: 1.0,
                seconds: 30,
                load: 1.2,
                outage: (0, 0),
                reports_waits,
                max_open_messages: 29,
                seed: 7,
                faults: Faults::default(),
            };
            let totals = scenario.run();
            println!("{senders} senders, {listed:?}/s, waits reported: {reports_waits}: {totals:?}");
            let count = |on_submission: bool| {
                let counts = totals
                    .early_rejections
                    .iter()
                    .filter(|(reason, _)| reason.ends_with("on submission") == on_submission);
                counts.map(|(_, count)| count.0).sum::<u32>()
            };
            assert!(
                count(false) < totals.submitted / 40,
                "{senders} senders rejected too many accepted messages: {totals:?}"
            );
            assert!(
                senders == 3 || count(true) + count(false) < totals.submitted / 28,
                "{senders} senders: {totals:?}"
            );
        }
    }
}
