//! Signals, kills and restarts of a run, and their history.

use super::{APPLY, CONTACT, GRACE, Soak};
use crate::harness::{CORE, Tier};
use quillmount_test_support::random::Random;
use std::collections::BTreeSet;
use std::fmt::Write;
use std::time::{Duration, Instant};

/// For how long events are drawn; afterwards everything returns, and a calm time follows.
const TURMOIL: Duration = Duration::from_secs(6);
const CALM: Duration = CONTACT.saturating_add(APPLY).saturating_add(Duration::from_secs(1));
const TICK: Duration = Duration::from_millis(10);
const STORES: usize = 3;
/// Longest times: between events, of a freeze, until a process is started again.
const MOST_BETWEEN_MS: u64 = 500;
const MOST_FROZEN_MS: u64 = 900;
/// Freezes that last so long that a successor of the core's primary is elected and changes the configuration.
const LONG_FREEZE_PERCENT: u64 = 30;
const MOST_LONG_FROZEN_MS: u64 = 3000;
const MOST_DOWN_MS: u64 = 500;
/// A stopping process that was frozen may take so much longer.
const FROZEN_ALLOWANCE: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Machine {
    pub role: &'static str,
    pub number: usize,
}

pub const fn courier(number: usize) -> Machine {
    Machine { role: "courier", number }
}

impl Machine {
    fn is_core(self) -> bool {
        self.role == "courier" && self.number < CORE
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Terminated,
    Killed,
    Frozen,
    EndedByItself,
}

/// A machine in trouble, until it was started again or thawed.
#[derive(Clone, Copy, Debug)]
pub struct Trouble {
    pub machine: Machine,
    pub kind: Kind,
    pub from: Instant,
    /// While it lasts, when it is to end, if that is known.
    pub until: Option<Instant>,
}

impl Trouble {
    fn overlaps(&self, from: Instant, until: Instant) -> bool {
        self.from <= until && self.until.is_none_or(|end| end >= from)
    }
}

/// All that was done to machines.
pub struct History {
    started_at: Instant,
    troubles: Vec<Trouble>,
    hangups: Vec<(Machine, Instant)>,
    /// Processes that ended by themselves, with a failure, or not at all.
    pub faults: Vec<String>,
}

impl History {
    fn of(&self, machine: Machine, from: Instant, until: Instant) -> impl Iterator<Item = &Trouble> {
        self.troubles
            .iter()
            .filter(move |trouble| trouble.machine == machine && trouble.overlaps(from, until))
    }

    /// Whether a machine had any trouble in a span.
    pub fn is_troubled(&self, machine: Machine, from: Instant, until: Instant) -> bool {
        self.of(machine, from, until).next().is_some()
    }

    /// Whether a machine had trouble that nobody planned.
    pub fn is_harmed(&self, machine: Machine, from: Instant, until: Instant) -> bool {
        self.of(machine, from, until).any(|trouble| trouble.kind != Kind::Terminated)
    }

    /// Whether no core machine and no store had trouble (RULES.md, "Stable").
    pub fn is_core_calm(&self, from: Instant, until: Instant) -> bool {
        let mut troubles = self.troubles.iter().filter(|trouble| trouble.overlaps(from, until));
        !troubles.any(|trouble| trouble.machine.is_core() || trouble.machine.role == "store")
    }

    /// Whether more than half of the core ran all the time (RULES.md, "Outer"); one machine at most had trouble.
    pub fn ran_core_majority(&self, from: Instant, until: Instant) -> bool {
        let troubles = self.troubles.iter().filter(|trouble| trouble.overlaps(from, until));
        let machines: BTreeSet<Machine> =
            troubles.map(|trouble| trouble.machine).filter(|machine| machine.is_core()).collect();
        machines.len() <= 1
    }

    /// Milliseconds since the events began.
    pub fn at(&self, time: Instant) -> u128 {
        time.saturating_duration_since(self.started_at).as_millis()
    }

    /// The history in lines.
    pub fn describe(&self) -> String {
        let mut text = "history (ms):\n".to_owned();
        for trouble in &self.troubles {
            let Trouble { machine: Machine { role, number }, kind, from, until } = trouble;
            let until = until.map_or(0, |until| self.at(until));
            let _ = writeln!(text, "  {role}-{number} {kind:?} {} to {until}", self.at(*from));
        }
        for (machine, at) in &self.hangups {
            let _ = writeln!(text, "  {}-{} SIGHUP {}", machine.role, machine.number, self.at(*at));
        }
        text
    }
}

/// What a seed does to machines.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Profile {
    Everything,
    /// Nothing unplanned.
    Planned,
    /// Nothing unplanned, and nothing at core machines and stores.
    OuterPlanned,
}

struct Player<'tier> {
    tier: &'tier mut Tier,
    random: Random,
    /// Draws which freezes are long, beside the other draws.
    long_freezes: Random,
    profile: Profile,
    machines: Vec<Machine>,
    ongoing: Vec<Trouble>,
    history: History,
}

impl Player<'_> {
    fn is_ongoing(&self, machine: Machine, kinds: &[Kind]) -> bool {
        self.ongoing.iter().any(|trouble| trouble.machine == machine && kinds.contains(&trouble.kind))
    }

    fn draw_machine(&mut self) -> Machine {
        self.machines[self.random.index(self.machines.len())]
    }

    fn draw_due(&mut self, most_ms: u64) -> Option<Instant> {
        Some(Instant::now() + Duration::from_millis(1 + self.random.below(most_ms)))
    }

    fn begin(&mut self, machine: Machine, kind: Kind, until: Option<Instant>) {
        self.ongoing.push(Trouble { machine, kind, from: Instant::now(), until });
    }

    fn draw_event(&mut self) {
        let machine = self.draw_machine();
        let unplanned = self.profile == Profile::Everything;
        match self.random.below(10) {
            0..4 => self.terminate(machine),
            4 => {
                self.terminate(machine);
                let other = self.draw_machine();
                self.terminate(other);
            }
            5 if unplanned => self.kill(),
            6 | 7 if unplanned => self.freeze(machine),
            _ => {
                if self.tier.signal(machine.role, machine.number, "HUP") {
                    self.history.hangups.push((machine, Instant::now()));
                }
            }
        }
    }

    /// Sends SIGTERM, also a second time.
    fn terminate(&mut self, machine: Machine) {
        let is_down = self.is_ongoing(machine, &[Kind::Terminated, Kind::Killed, Kind::EndedByItself]);
        if self.tier.signal(machine.role, machine.number, "TERM") && !is_down {
            self.begin(machine, Kind::Terminated, None);
        }
    }

    /// Kills a core member, one at a time.
    fn kill(&mut self) {
        let machine = courier(self.random.index(CORE));
        if self.ongoing.iter().any(|trouble| trouble.kind == Kind::Killed)
            || self.is_ongoing(machine, &[Kind::Terminated, Kind::Frozen])
        {
            return;
        }
        let due = self.draw_due(MOST_DOWN_MS);
        self.begin(machine, Kind::Killed, due);
        self.tier.kill_courier(machine.number);
    }

    fn freeze(&mut self, machine: Machine) {
        if self.is_ongoing(machine, &[Kind::Frozen, Kind::Killed])
            || !self.tier.signal(machine.role, machine.number, "STOP")
        {
            return;
        }
        let mut due = self.draw_due(MOST_FROZEN_MS);
        if self.long_freezes.chance(LONG_FREEZE_PERCENT) {
            let added = Duration::from_millis(self.long_freezes.below(MOST_LONG_FROZEN_MS));
            due = due.map(|due| due + added);
        }
        self.begin(machine, Kind::Frozen, due);
    }

    /// Notes processes that have ended, starts again what is due, and thaws.
    fn tick(&mut self) {
        for machine in self.machines.clone() {
            let Some(status) = self.tier.ending_of(machine.role, machine.number) else { continue };
            let due = self.draw_due(MOST_DOWN_MS);
            let down = [Kind::Terminated, Kind::Killed, Kind::EndedByItself];
            let trouble = self.ongoing.iter_mut().find(|t| t.machine == machine && down.contains(&t.kind));
            match trouble {
                Some(trouble) if trouble.until.is_none() => {
                    trouble.until = due;
                    if !status.success() {
                        self.history.faults.push(format!("{machine:?} ended after SIGTERM with {status}"));
                    }
                }
                Some(_) => {}
                None => {
                    let at = self.history.at(Instant::now());
                    self.history.faults.push(format!("{machine:?} ended by itself with {status} at {at}"));
                    self.begin(machine, Kind::EndedByItself, due);
                }
            }
        }
        let now = Instant::now();
        for trouble in std::mem::take(&mut self.ongoing) {
            let Machine { role, number } = trouble.machine;
            if trouble.until.is_some_and(|due| due <= now) {
                if trouble.kind == Kind::Frozen {
                    self.tier.signal(role, number, "CONT");
                } else {
                    self.tier.start_again(role, number);
                }
                self.history.troubles.push(Trouble { until: Some(Instant::now()), ..trouble });
                continue;
            }
            let overdue = trouble.from.elapsed() > GRACE + FROZEN_ALLOWANCE;
            if trouble.until.is_none() && overdue {
                let machine = trouble.machine;
                self.history.faults.push(format!("{machine:?} runs on after SIGTERM and GraceS"));
                self.history.troubles.push(Trouble { until: Some(now), ..trouble });
                self.tier.start_again(role, number);
                continue;
            }
            self.ongoing.push(trouble);
        }
    }

    fn run_for(&mut self, span: Duration) {
        let until = Instant::now() + span;
        while Instant::now() < until {
            self.tick();
            std::thread::sleep(TICK);
        }
    }
}

/// Plays the events of a seed, then a calm time.
pub fn play(tier: &mut Tier, soak: &Soak) -> History {
    let profile = [Profile::OuterPlanned, Profile::Everything, Profile::Planned][(soak.seed % 3) as usize];
    let couriers = if profile == Profile::OuterPlanned { CORE } else { 0 }..soak.clients.len();
    let stores = 0..if profile == Profile::OuterPlanned { 0 } else { STORES };
    let stores = stores.map(|number| Machine { role: "store", number });
    let machines = couriers.map(courier).chain(stores).collect();
    let started_at = Instant::now();
    let (troubles, hangups, faults) = (Vec::new(), Vec::new(), Vec::new());
    let history = History { started_at, troubles, hangups, faults };
    let random = Random::from_mixed_seed(soak.seed);
    let long_freezes = Random::from_mixed_seed(soak.seed ^ 0x6672);
    let mut player = Player { tier, random, long_freezes, profile, machines, ongoing: Vec::new(), history };
    while started_at.elapsed() < TURMOIL {
        player.draw_event();
        let pause = player.random.below(MOST_BETWEEN_MS);
        player.run_for(Duration::from_millis(pause));
    }
    while !player.ongoing.is_empty() {
        player.run_for(TICK);
    }
    player.run_for(CALM);
    player.history
}
