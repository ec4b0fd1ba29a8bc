//! The agreement on a virtual clock, over links that lose, double, delay and part, from seeds.

use quillmount_core::store::Memory;
use quillmount_fleet::Token;
use quillmount_fleet::agreement::{Agreement, AgreementError, Change, Input, Limits, Output, Why};
use std::collections::{BTreeMap, BTreeSet};

const SECOND: u64 = 1_000_000;

/// What is agreed so far, as one courier has it: index and command.
type State = Vec<(u64, u64)>;

fn pack(state: &State) -> Vec<u8> {
    state.iter().flat_map(|(i, c)| [i.to_le_bytes(), c.to_le_bytes()].concat()).collect()
}

fn unpack(bytes: &[u8]) -> State {
    let word = |b: &[u8]| u64::from_le_bytes(b.try_into().unwrap());
    bytes.chunks(16).map(|c| (word(&c[..8]), word(&c[8..]))).collect()
}

struct Node {
    /// `None`: down.
    life: Option<Agreement<Memory>>,
    disk: Memory,
    state: State,
    back: u64,
}

struct Fleet {
    now: u64,
    seed: u64,
    limits: Limits,
    nodes: BTreeMap<Token, Node>,
    wire: BTreeMap<(u64, u64), (Token, Token, Vec<u8>)>,
    sent: u64,
    /// Of a thousand messages.
    lose: u64,
    double: u64,
    delay: u64,
    cut: BTreeSet<(Token, Token)>,
    /// The one truth, and who has led when.
    agreed: BTreeMap<u64, u64>,
    led: BTreeMap<u64, Token>,
    /// Commands whose agreement was told to whoever proposed them.
    acked: BTreeSet<u64>,
    ends: Vec<(u64, &'static str)>,
    errors: Vec<AgreementError>,
    sends: BTreeMap<Token, u64>,
    restored: BTreeMap<Token, u64>,
}

impl Fleet {
    fn new(seed: u64, limits: Limits) -> Self {
        Fleet {
            now: SECOND,
            seed,
            limits,
            nodes: BTreeMap::new(),
            wire: BTreeMap::new(),
            sent: 0,
            lose: 0,
            double: 0,
            delay: 1_000,
            cut: BTreeSet::new(),
            agreed: BTreeMap::new(),
            led: BTreeMap::new(),
            acked: BTreeSet::new(),
            ends: Vec::new(),
            errors: Vec::new(),
            sends: BTreeMap::new(),
            restored: BTreeMap::new(),
        }
    }

    /// `voters` voters, numbered from 1, and then the learners, all in place.
    fn whole(seed: u64, limits: Limits, voters: u64, learners: u64) -> Self {
        let mut fleet = Fleet::new(seed, limits);
        fleet.start(1, Memory::default());
        let out = fleet.life(1).begin(SECOND).unwrap();
        fleet.take(1, out);
        for token in 2..=voters + learners {
            fleet.start(token, Memory::default());
            fleet.change(Change::AddLearner(token));
            if token <= voters {
                fleet.change(Change::Promote(token));
            }
        }
        assert_eq!(fleet.life(1).voters().len() as u64, voters);
        assert_eq!(fleet.life(1).learners().len() as u64, learners);
        fleet
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.seed = self.seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let x = (self.seed ^ (self.seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        (x ^ (x >> 31)) % below.max(1)
    }

    fn life(&mut self, token: Token) -> &mut Agreement<Memory> {
        self.nodes.get_mut(&token).unwrap().life.as_mut().unwrap()
    }

    fn start(&mut self, token: Token, disk: Memory) {
        let (life, opened) = Agreement::open(disk, token, self.limits.clone(), self.now).unwrap();
        assert_eq!(life.token(), token);
        let mut state = unpack(&opened.state);
        for (index, command) in opened.committed {
            let command = u64::from_le_bytes(command.try_into().unwrap());
            assert_eq!(self.agreed.get(&index), Some(&command), "courier {token} has made up {index}");
            state.push((index, command));
        }
        self.nodes.insert(token, Node { life: Some(life), disk: Memory::default(), state, back: 0 });
        self.died(token);
    }

    /// Down it goes, if its store has died in a write.
    fn died(&mut self, token: Token) -> bool {
        let now = self.now;
        let node = self.nodes.get_mut(&token).unwrap();
        let dead = node.life.as_ref().is_none_or(|l| l.store().is_dead());
        if dead && let Some(life) = node.life.take() {
            node.disk = Memory::of(life.into_store().bytes().to_vec());
            node.back = now + SECOND / 2;
        }
        dead
    }

    fn kill(&mut self, token: Token) {
        let node = self.nodes.get_mut(&token).unwrap();
        node.disk = Memory::of(node.life.take().unwrap().into_store().bytes().to_vec());
        node.back = u64::MAX;
    }

    fn step(&mut self, token: Token, input: Input) {
        let now = self.now;
        let Some(life) = self.nodes.get_mut(&token).unwrap().life.as_mut() else { return };
        let out = life.step(input, now);
        self.take(token, out);
    }

    fn take(&mut self, token: Token, out: Vec<Output>) {
        // Nothing that a process does after its death reaches anyone.
        if self.died(token) {
            return;
        }
        let mut wanted = false;
        for output in out {
            match output {
                Output::Send { to, bytes } => {
                    *self.sends.entry(token).or_default() += 1;
                    let copies = 1 + u64::from(self.draw(1000) < self.double);
                    for _ in 0..copies {
                        if self.draw(1000) < self.lose || self.cut.contains(&(token, to)) {
                            continue;
                        }
                        self.sent += 1;
                        let at = self.now + 100 + self.draw(self.delay);
                        self.wire.insert((at, self.sent), (token, to, bytes.clone()));
                    }
                }
                Output::Committed { index, ticket, command } => {
                    let command = u64::from_le_bytes(command.try_into().unwrap());
                    let agreed = *self.agreed.entry(index).or_insert(command);
                    assert_eq!(agreed, command, "courier {token} differs at {index}");
                    let state = &mut self.nodes.get_mut(&token).unwrap().state;
                    assert!(
                        state.last().is_none_or(|(last, _)| *last < index),
                        "courier {token}: {index} again"
                    );
                    state.push((index, command));
                    if let Some(ticket) = ticket {
                        assert_eq!(ticket, command);
                        self.acked.insert(command);
                        self.ends.push((ticket, "committed"));
                    }
                }
                Output::Restored { index, state } => {
                    let state = unpack(&state);
                    assert!(state.iter().all(|(i, c)| *i <= index && self.agreed.get(i) == Some(c)));
                    self.nodes.get_mut(&token).unwrap().state = state;
                    *self.restored.entry(token).or_default() += 1;
                }
                Output::Changed { ticket: Some(ticket), .. } => self.ends.push((ticket, "changed")),
                Output::Changed { .. } => {}
                Output::Readable { ticket } => self.ends.push((ticket, "readable")),
                Output::Refused { ticket, why, .. } => self.ends.push((
                    ticket,
                    match why {
                        Why::NotLeader => "not leader",
                        Why::Busy => "busy",
                        Why::Full => "full",
                        Why::Behind => "behind",
                        Why::Majority => "majority",
                        Why::Silent => "silent",
                        _ => "refused",
                    },
                )),
                Output::Unsure { ticket } => self.ends.push((ticket, "unsure")),
                Output::SnapshotWanted => wanted = true,
                Output::Leader { leader, term } => {
                    if leader == Some(token) {
                        let first = *self.led.entry(term).or_insert(token);
                        assert_eq!(first, token, "two leaders in term {term}");
                    }
                }
                Output::Failed(error) | Output::Silent(error) => self.errors.push(error),
            }
        }
        if wanted {
            let state = &self.nodes[&token].state;
            // The state that the agreement was last told of, or the one before the first command.
            let through = state.last().map_or(1, |(index, _)| *index);
            let input = Input::Snapshot { through, state: pack(state) };
            self.step(token, input);
        }
    }

    /// The next thing that happens, before `until`.
    fn next(&mut self, until: u64) -> bool {
        let message = self.wire.first_key_value().map(|((at, _), _)| *at);
        let wake = |(token, node): (&Token, &Node)| match &node.life {
            Some(life) => life.wake_at().map(|at| (at, *token)),
            None => Some((node.back, *token)),
        };
        let wake = self.nodes.iter().filter_map(wake).min();
        let at = message.into_iter().chain(wake.map(|(at, _)| at)).min();
        let Some(at) = at.filter(|at| *at <= until) else {
            self.now = until;
            return false;
        };
        self.now = self.now.max(at);
        if message == Some(at) {
            let (_, (from, to, bytes)) = self.wire.pop_first().unwrap();
            if self.nodes.contains_key(&to) {
                self.step(to, Input::Heard { from, bytes });
            }
        } else if let Some((_, token)) = wake {
            if self.nodes[&token].life.is_some() {
                self.step(token, Input::Tick);
            } else {
                let disk = self.nodes[&token].disk.clone();
                self.start(token, disk);
            }
        }
        true
    }

    fn run(&mut self, span: u64) {
        let until = self.now + span;
        while self.next(until) {}
    }

    fn run_until(&mut self, what: &str, done: impl Fn(&Fleet) -> bool) {
        let until = self.now + 60 * SECOND;
        while !done(self) {
            assert!(self.next(until), "never: {what}");
        }
    }

    /// Who leads by its own word, in the newest term.
    fn leader(&self) -> Option<Token> {
        let lives = self.nodes.values().filter_map(|n| n.life.as_ref());
        lives.filter(|l| l.leads()).max_by_key(|l| l.term()).map(|l| l.token())
    }

    /// Asks whoever leads until it is done.
    fn change(&mut self, change: Change) {
        for ticket in 1_000_000.. {
            self.run_until("a leader", |f| f.leader().is_some());
            let leader = self.leader().unwrap();
            let before = self.ends.len();
            self.step(leader, Input::Change { ticket, change });
            self.run_until("an end of the change", |f| f.ends[before..].iter().any(|(t, _)| *t == ticket));
            if self.ends[before..].contains(&(ticket, "changed")) {
                return;
            }
            assert!(ticket < 1_000_500, "{change:?} never taken: {:?}", &self.ends[before..]);
            self.run(SECOND / 10);
        }
    }

    /// Proposes until it is told that it is agreed.
    fn commit(&mut self, command: u64) {
        for _ in 0..200 {
            self.run_until("a leader", |f| f.leader().is_some());
            let leader = self.leader().unwrap();
            self.step(leader, Input::Propose { ticket: command, command: command.to_le_bytes().to_vec() });
            let until = self.now + SECOND;
            while !self.acked.contains(&command) && self.next(until) {}
            if self.acked.contains(&command) {
                return;
            }
        }
        panic!("command {command} was never agreed");
    }

    /// All are the same in the end, and hold what was told to be agreed.
    fn same(&mut self) {
        self.run(5 * SECOND);
        let truth: State = self.agreed.iter().map(|(i, c)| (*i, *c)).collect();
        for (token, node) in &self.nodes {
            assert!(node.life.is_some(), "courier {token} is down");
            assert_eq!(node.state, truth, "courier {token}");
        }
        let held: BTreeSet<u64> = truth.iter().map(|(_, c)| *c).collect();
        assert!(self.acked.is_subset(&held));
    }
}

#[test]
fn one_three_and_five_voters_agree_and_go_on_without_their_leader() {
    for voters in [1, 3, 5] {
        let mut fleet = Fleet::whole(voters, Limits::default(), voters, 2);
        (1..20).for_each(|c| fleet.commit(c));
        fleet.same();
        let first = fleet.leader().unwrap();
        fleet.kill(first);
        if voters > 1 {
            (20..40).for_each(|c| fleet.commit(c));
            assert_ne!(fleet.leader(), Some(first));
        }
        let disk = fleet.nodes[&first].disk.clone();
        fleet.start(first, disk);
        fleet.commit(40);
        fleet.same();
        assert_eq!(fleet.errors.len(), 0, "{:?}", fleet.errors);
    }
}

/// Links lose, double, mix up and part; the halves are healed and parted again.
#[test]
fn the_same_commands_everywhere_over_links_of_every_kind() {
    for seed in 0..12 {
        let limits = Limits { seed, log_bytes: 2_000, ..Limits::default() };
        let mut fleet = Fleet::whole(seed, limits, 3 + 2 * (seed % 2), 1);
        (fleet.lose, fleet.double, fleet.delay) = (50, 50, 40_000);
        let all: Vec<Token> = fleet.nodes.keys().copied().collect();
        for round in 0..15 {
            fleet.cut.clear();
            for from in &all {
                for to in &all {
                    // One way as well as both.
                    if fleet.draw(4) == 0 {
                        fleet.cut.insert((*from, *to));
                    }
                }
            }
            for n in 0..20 {
                let (command, token) = (1 + round * 20 + n, all[fleet.draw(all.len() as u64) as usize]);
                // At whoever thinks that it leads, stale ones too.
                let at = if fleet.life(token).leads() { token } else { fleet.leader().unwrap_or(token) };
                fleet.step(at, Input::Propose { ticket: command, command: command.to_le_bytes().to_vec() });
                let span = fleet.draw(SECOND / 5);
                fleet.run(span);
            }
        }
        fleet.cut.clear();
        (fleet.lose, fleet.double) = (0, 0);
        fleet.commit(10_000);
        fleet.same();
        assert!(fleet.acked.len() > 20, "seed {seed}: only {}", fleet.acked.len());
    }
}
