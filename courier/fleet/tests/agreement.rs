//! The agreement on a virtual clock, over links that lose, double, delay and part, from seeds.

use quillmount_core::store::{Fault, Memory};
use quillmount_fleet::NodeId;
use quillmount_fleet::agreement::{
    Agreement, AgreementError, AgreementInput, AgreementLimits, AgreementOutput, MembershipChange,
    RejectReason,
};
use quillmount_test_support::digest::{Counts, SEEDS, compare_with_file};
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
    /// Up to here it has been told.
    through: u64,
    back: u64,
}

struct Fleet {
    now: u64,
    seed: u64,
    limits: AgreementLimits,
    nodes: BTreeMap<NodeId, Node>,
    wire: BTreeMap<(u64, u64), (NodeId, NodeId, Vec<u8>)>,
    sent: u64,
    /// Of a thousand messages.
    lose: u64,
    double: u64,
    delay: u64,
    cut: BTreeSet<(NodeId, NodeId)>,
    /// The one truth, and who has led when.
    agreed: BTreeMap<u64, u64>,
    led: BTreeMap<u64, NodeId>,
    /// Commands whose agreement was told to whoever proposed them.
    acked: BTreeSet<u64>,
    ends: Vec<(u64, &'static str)>,
    errors: Vec<AgreementError>,
    sends: BTreeMap<NodeId, u64>,
    restored: BTreeMap<NodeId, u64>,
    /// What the couriers put out, for the digests.
    counts: Counts,
}

impl Fleet {
    fn new(seed: u64, limits: AgreementLimits) -> Self {
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
            counts: Counts::default(),
        }
    }

    /// `voters` voters, numbered from 1, and then the learners, all in place.
    fn whole(seed: u64, limits: AgreementLimits, voters: u64, learners: u64) -> Self {
        let mut fleet = Fleet::new(seed, limits);
        fleet.start(1, Memory::default());
        let out = fleet.life(1).bootstrap(SECOND).unwrap();
        fleet.take(1, out);
        for node_id in 2..=voters + learners {
            fleet.start(node_id, Memory::default());
            fleet.change(MembershipChange::AddLearner(node_id));
            if node_id <= voters {
                fleet.change(MembershipChange::Promote(node_id));
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

    fn life(&mut self, node_id: NodeId) -> &mut Agreement<Memory> {
        self.nodes.get_mut(&node_id).unwrap().life.as_mut().unwrap()
    }

    fn start(&mut self, node_id: NodeId, disk: Memory) {
        let (life, opened) = Agreement::open(disk, node_id, self.limits.clone(), self.now).unwrap();
        assert_eq!(life.node_id(), node_id);
        let (mut state, mut through) = (unpack(&opened.state), opened.index);
        for (index, command) in opened.committed {
            let command = u64::from_le_bytes(command.try_into().unwrap());
            assert_eq!(self.agreed.get(&index), Some(&command), "courier {node_id} has made up {index}");
            state.push((index, command));
            through = index;
        }
        let disk = Memory::default();
        self.nodes.insert(node_id, Node { life: Some(life), disk, state, through, back: 0 });
        self.died(node_id);
    }

    /// Down it goes, if its store has died in a write.
    fn died(&mut self, node_id: NodeId) -> bool {
        let now = self.now;
        let node = self.nodes.get_mut(&node_id).unwrap();
        let dead = node.life.as_ref().is_none_or(|l| l.store().is_dead());
        if dead && let Some(life) = node.life.take() {
            node.disk = Memory::of(life.into_store().bytes().to_vec());
            node.back = now + SECOND / 2;
        }
        dead
    }

    fn kill(&mut self, node_id: NodeId) {
        let node = self.nodes.get_mut(&node_id).unwrap();
        node.disk = Memory::of(node.life.take().unwrap().into_store().bytes().to_vec());
        node.back = u64::MAX;
    }

    fn step(&mut self, node_id: NodeId, input: AgreementInput) {
        let now = self.now;
        let Some(life) = self.nodes.get_mut(&node_id).unwrap().life.as_mut() else { return };
        let out = life.step(input, now);
        self.take(node_id, out);
    }

    fn take(&mut self, node_id: NodeId, out: Vec<AgreementOutput>) {
        // Nothing that a process does after its death reaches anyone.
        if self.died(node_id) {
            return;
        }
        let mut wanted = false;
        for output in out {
            self.count(node_id, &output);
            match output {
                AgreementOutput::Send { to, bytes } => {
                    *self.sends.entry(node_id).or_default() += 1;
                    let copies = 1 + u64::from(self.draw(1000) < self.double);
                    for _ in 0..copies {
                        if self.draw(1000) < self.lose || self.cut.contains(&(node_id, to)) {
                            continue;
                        }
                        self.sent += 1;
                        let at = self.now + 100 + self.draw(self.delay);
                        self.wire.insert((at, self.sent), (node_id, to, bytes.clone()));
                    }
                }
                AgreementOutput::Committed { index, ticket, command } => {
                    let command = u64::from_le_bytes(command.try_into().unwrap());
                    let agreed = *self.agreed.entry(index).or_insert(command);
                    assert_eq!(agreed, command, "courier {node_id} differs at {index}");
                    let node = self.nodes.get_mut(&node_id).unwrap();
                    assert!(node.through < index, "courier {node_id}: {index} again");
                    node.state.push((index, command));
                    node.through = index;
                    if let Some(ticket) = ticket {
                        assert_eq!(ticket, command);
                        self.acked.insert(command);
                        self.ends.push((ticket, "committed"));
                    }
                }
                AgreementOutput::Restored { index, state } => {
                    let state = unpack(&state);
                    assert!(state.iter().all(|(i, c)| *i <= index && self.agreed.get(i) == Some(c)));
                    let node = self.nodes.get_mut(&node_id).unwrap();
                    (node.state, node.through) = (state, index);
                    *self.restored.entry(node_id).or_default() += 1;
                }
                AgreementOutput::MembershipChanged { ticket: Some(ticket), .. } => {
                    self.ends.push((ticket, "changed"))
                }
                AgreementOutput::MembershipChanged { .. } => {}
                AgreementOutput::ReadReady { ticket } => self.ends.push((ticket, "readable")),
                AgreementOutput::Rejected { ticket, reason, .. } => self.ends.push((
                    ticket,
                    match reason {
                        RejectReason::NotLeader => "not leader",
                        RejectReason::Busy => "busy",
                        RejectReason::QueueFull => "full",
                        RejectReason::LearnerBehind => "behind",
                        RejectReason::QuorumAtRisk => "majority",
                        RejectReason::Halted => "silent",
                        _ => "refused",
                    },
                )),
                AgreementOutput::Indeterminate { ticket } => self.ends.push((ticket, "unsure")),
                AgreementOutput::SnapshotWanted => wanted = true,
                AgreementOutput::LeaderChanged { leader, term } => {
                    if leader == Some(node_id) {
                        let first = *self.led.entry(term).or_insert(node_id);
                        assert_eq!(first, node_id, "two leaders in term {term}");
                    }
                }
                AgreementOutput::Failed(error) | AgreementOutput::Halted(error) => self.errors.push(error),
            }
        }
        if wanted {
            let node = &self.nodes[&node_id];
            let input = AgreementInput::Snapshot { through: node.through, state: pack(&node.state) };
            self.step(node_id, input);
        }
    }

    fn count(&mut self, node_id: NodeId, output: &AgreementOutput) {
        let now = self.now;
        match output {
            AgreementOutput::Send { to, bytes } => {
                self.counts.count("messages", &[now, node_id, *to, bytes.len() as u64]);
            }
            AgreementOutput::Committed { index, .. } => self.counts.count("commits", &[now, node_id, *index]),
            AgreementOutput::Restored { index, .. } => {
                self.counts.count("snapshots_restored", &[now, node_id, *index])
            }
            AgreementOutput::MembershipChanged { .. } => {
                self.counts.count("membership_changes", &[now, node_id])
            }
            AgreementOutput::ReadReady { ticket } => {
                self.counts.count("reads_confirmed", &[now, node_id, *ticket])
            }
            AgreementOutput::Rejected { ticket, .. } => {
                self.counts.count("rejections", &[now, node_id, *ticket])
            }
            AgreementOutput::Indeterminate { ticket } => {
                self.counts.count("uncertain", &[now, node_id, *ticket])
            }
            AgreementOutput::SnapshotWanted => self.counts.count("snapshots_requested", &[now, node_id]),
            AgreementOutput::LeaderChanged { leader, term } => {
                self.counts.count("leader_changes", &[now, node_id, leader.unwrap_or(0), *term]);
            }
            AgreementOutput::Failed(_) | AgreementOutput::Halted(_) => {
                self.counts.count("errors", &[now, node_id])
            }
        }
    }

    /// The next thing that happens, before `until`.
    fn next(&mut self, until: u64) -> bool {
        let message = self.wire.first_key_value().map(|((at, _), _)| *at);
        let wake = |(node_id, node): (&NodeId, &Node)| match &node.life {
            Some(life) => life.wake_at().map(|at| (at, *node_id)),
            None => Some((node.back, *node_id)),
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
                self.step(to, AgreementInput::Receive { from, bytes });
            }
        } else if let Some((_, node_id)) = wake {
            if self.nodes[&node_id].life.is_some() {
                self.step(node_id, AgreementInput::Tick);
            } else {
                let disk = self.nodes[&node_id].disk.clone();
                self.start(node_id, disk);
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
    fn leader(&self) -> Option<NodeId> {
        let lives = self.nodes.values().filter_map(|n| n.life.as_ref());
        lives.filter(|l| l.leads()).max_by_key(|l| l.term()).map(|l| l.node_id())
    }

    /// Asks whoever leads until it is done.
    fn change(&mut self, change: MembershipChange) {
        for ticket in 1_000_000.. {
            self.run_until("a leader", |f| f.leader().is_some());
            let leader = self.leader().unwrap();
            let before = self.ends.len();
            self.step(leader, AgreementInput::ChangeMembership { ticket, change });
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
            self.step(
                leader,
                AgreementInput::Propose { ticket: command, command: command.to_le_bytes().to_vec() },
            );
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
        for (node_id, node) in &self.nodes {
            assert!(node.life.is_some(), "courier {node_id} is down");
            assert_eq!(node.state, truth, "courier {node_id} {:?}", self.errors);
        }
        let held: BTreeSet<u64> = truth.iter().map(|(_, c)| *c).collect();
        assert!(self.acked.is_subset(&held));
    }
}

#[test]
fn one_three_and_five_voters_agree_and_go_on_without_their_leader() {
    for voters in [1, 3, 5] {
        let mut fleet = Fleet::whole(voters, AgreementLimits::default(), voters, 2);
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
        let fleet = links_of_every_kind(seed);
        assert!(fleet.acked.len() > 20, "seed {seed}: only {}", fleet.acked.len());
    }
}

#[test]
fn the_first_fifty_seeded_days_give_the_same_counts() {
    let day = |seed: u64| {
        let fleet = links_of_every_kind(seed);
        let writes: u32 = fleet
            .nodes
            .values()
            .filter_map(|node| node.life.as_ref())
            .map(|life| life.store().writes())
            .sum();
        let mut counts = fleet.counts;
        counts.set("writes", u64::from(writes));
        counts.set("messages_on_links", fleet.sent);
        counts.set("entries_agreed", fleet.agreed.len() as u64);
        counts.set("commands_acknowledged", fleet.acked.len() as u64);
        counts.set("terms_with_a_leader", fleet.led.len() as u64);
        counts.set("newest_term", fleet.led.keys().max().copied().unwrap_or(0));
        counts.set("end_time_us", fleet.now);
        counts.line(seed)
    };
    let lines: String = SEEDS.map(day).collect();
    let file = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/digests/agreement.txt");
    compare_with_file(&file, &lines);
}

/// A fleet under such links, with proposals at whoever thinks that it leads; level at the end.
fn links_of_every_kind(seed: u64) -> Fleet {
    let limits = AgreementLimits { seed, log_bytes: 2_000, ..AgreementLimits::default() };
    let mut fleet = Fleet::whole(seed, limits, 3 + 2 * (seed % 2), 1);
    (fleet.lose, fleet.double, fleet.delay) = (50, 50, 40_000);
    let all: Vec<NodeId> = fleet.nodes.keys().copied().collect();
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
            let (command, node_id) = (1 + round * 20 + n, all[fleet.draw(all.len() as u64) as usize]);
            // At whoever thinks that it leads, stale ones too.
            let at = if fleet.life(node_id).leads() { node_id } else { fleet.leader().unwrap_or(node_id) };
            fleet.step(
                at,
                AgreementInput::Propose { ticket: command, command: command.to_le_bytes().to_vec() },
            );
            let span = fleet.draw(SECOND / 5);
            fleet.run(span);
        }
    }
    fleet.cut.clear();
    (fleet.lose, fleet.double) = (0, 0);
    fleet.commit(10_000);
    fleet.same();
    fleet
}

/// One courier dies in each of its writes in turn, at the begin, in the middle and at the end of it, and
/// starts again.
#[test]
fn a_kill_at_every_write_loses_no_acknowledged_state() {
    let limits = || AgreementLimits { log_bytes: 600, ..AgreementLimits::default() };
    let tell = |fleet: &mut Fleet, victim: NodeId| {
        for c in 1..12 {
            fleet.commit(c);
        }
        if victim != 1 && fleet.nodes[&1].life.is_some() {
            fleet.kill(1);
            (12..20).for_each(|c| fleet.commit(c));
            let disk = fleet.nodes[&1].disk.clone();
            fleet.start(1, disk);
        }
        (20..30).for_each(|c| fleet.commit(c));
        fleet.same();
    };
    for victim in 1..=4 {
        let mut fleet = Fleet::whole(victim, limits(), 3, 1);
        fleet.life(victim).store_mut().fail(Fault::None);
        tell(&mut fleet, victim);
        let writes = fleet.life(victim).store().writes();
        assert!(writes > 20, "{writes}");
        let mut died = 0;
        for after in 0..writes {
            for bytes in [0, 5, 20, usize::MAX] {
                let mut fleet = Fleet::whole(victim, limits(), 3, 1);
                fleet.life(victim).store_mut().fail(Fault::Die { after, bytes });
                tell(&mut fleet, victim);
                died += u32::from(fleet.life(victim).store().writes() < writes);
            }
        }
        assert!(died >= writes * 3, "{died} of {writes}");
    }
}

/// Each prefix opens to what its whole records say: never more than was there, and never a vow forgotten that
/// a shorter one knows. A damaged byte is not taken for a kill.
#[test]
fn every_prefix_of_the_log_opens_and_no_damaged_one() {
    let mut fleet = Fleet::whole(3, AgreementLimits { log_bytes: 600, ..AgreementLimits::default() }, 3, 1);
    for c in 1..30 {
        fleet.commit(c);
        if c == 22 {
            fleet.kill(1);
            fleet.run(2 * SECOND);
        }
    }
    let bytes = fleet.life(2).store().bytes().to_vec();
    let open =
        |bytes: &[u8]| Agreement::open(Memory::of(bytes.to_vec()), 99, AgreementLimits::default(), SECOND);
    let (whole, all) = open(&bytes).unwrap();
    let whole_state = [unpack(&all.state), numbers(&all.committed)].concat();
    assert!(
        !all.state.is_empty() && !all.committed.is_empty() && whole.term() > 2,
        "{all:?} {}",
        whole.term()
    );
    // Each record begins with its length.
    let mut ends = vec![0];
    while let Some(head) = bytes.get(*ends.last().unwrap()..).filter(|rest| !rest.is_empty()) {
        ends.push(ends.last().unwrap() + 12 + u32::from_le_bytes(head[..4].try_into().unwrap()) as usize);
    }
    let mut before = (0, 0);
    for cut in 0..=bytes.len() {
        let (life, opened) = open(&bytes[..cut]).unwrap();
        assert_eq!(opened.new, life.node_id() == 99, "at {cut}");
        let state = [unpack(&opened.state), numbers(&opened.committed)].concat();
        assert!(whole_state.starts_with(&state), "at {cut}");
        let now = (life.term(), state.len());
        assert!(before <= now, "at {cut}: {before:?} {now:?}");
        before = now;
        // What is cut short is gone from the file, or what is written next would be hidden behind it.
        let sound = ends.iter().rfind(|end| **end <= cut).unwrap();
        assert!(opened.new || life.store().bytes() == &bytes[..*sound], "at {cut}");
        let (again, told) = open(life.store().bytes()).unwrap();
        let same = (again.node_id(), again.term(), told.committed == opened.committed, told.new);
        assert_eq!(same, (life.node_id(), life.term(), true, false), "at {cut}");
    }
    for at in 0..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[at] ^= 0x40;
        assert!(matches!(open(&damaged), Err(AgreementError::Damaged { .. })), "damaged at {at}");
    }
}

fn numbers(committed: &[(u64, Vec<u8>)]) -> State {
    committed.iter().map(|(i, c)| (*i, u64::from_le_bytes(c.as_slice().try_into().unwrap()))).collect()
}

/// A courier whose disk is full says nothing more; the others go on, and it comes back when there is room.
#[test]
fn a_courier_that_cannot_write_halts() {
    for victim in [1, 2] {
        let mut fleet = Fleet::whole(7, AgreementLimits::default(), 3, 0);
        (1..5).for_each(|c| fleet.commit(c));
        fleet.life(victim).store_mut().fail(Fault::Full { after: 0 });
        let sent = fleet.sends.clone();
        fleet.step(1, AgreementInput::Propose { ticket: 5, command: 5u64.to_le_bytes().to_vec() });
        if victim == 1 {
            assert_eq!(fleet.ends.last(), Some(&(5, "unsure")));
            assert_eq!(fleet.sends, sent, "said what it has not written");
        }
        fleet.run(3 * SECOND);
        assert!(fleet.life(victim).is_halted());
        assert!(matches!(fleet.errors[..], [AgreementError::Store { .. }]), "{:?}", fleet.errors);
        fleet.step(victim, AgreementInput::Propose { ticket: 6, command: vec![1] });
        assert_eq!(fleet.ends.last(), Some(&(6, "silent")));
        let sent = fleet.sends[&victim];
        (10..15).for_each(|c| fleet.commit(c));
        assert_eq!(fleet.sends[&victim], sent);
        fleet.kill(victim);
        let disk = fleet.nodes[&victim].disk.clone();
        fleet.start(victim, disk);
        fleet.same();
    }
}

/// Under a new token it is a new learner; the old one goes, and commands are agreed at each step of it.
#[test]
fn a_voter_with_a_lost_folder_is_replaced_while_serving() {
    for lost in [1, 3] {
        let mut fleet = Fleet::whole(11, AgreementLimits::default(), 3, 0);
        (1..10).for_each(|c| fleet.commit(c));
        fleet.kill(lost);
        fleet.nodes.remove(&lost);
        fleet.start(9, Memory::default());
        fleet.commit(10);
        assert!(fleet.life(9).voters().is_empty(), "knows nothing of anyone");
        assert_eq!(fleet.life(9).wake_at(), None);
        fleet.change(MembershipChange::AddLearner(9));
        fleet.commit(11);
        fleet.change(MembershipChange::Promote(9));
        fleet.commit(12);
        fleet.change(MembershipChange::Remove(lost));
        fleet.commit(13);
        fleet.same();
        let mut voters = vec![2, 9, if lost == 1 { 3 } else { 1 }];
        voters.sort_unstable();
        assert_eq!(fleet.life(9).voters(), voters);
        // A vote of the one that was lost would count for nothing: the three bear the loss of another one.
        let leader = fleet.leader().unwrap();
        fleet.kill(leader);
        fleet.commit(14);
    }
}

/// Neither the leader nor a majority can be taken away, nor a vote given to one who is not there.
#[test]
fn changes_that_risk_the_quorum_are_rejected() {
    let mut fleet = Fleet::whole(5, AgreementLimits::default(), 3, 1);
    let end = |fleet: &mut Fleet, ticket, change| {
        fleet.step(1, AgreementInput::ChangeMembership { ticket, change });
        fleet.run(SECOND / 4);
        fleet.ends.iter().rfind(|(t, _)| *t == ticket).map(|(_, end)| *end)
    };
    assert_eq!(end(&mut fleet, 1, MembershipChange::AddLearner(1)), Some("majority"), "the leader itself");
    assert_eq!(end(&mut fleet, 2, MembershipChange::Promote(77)), Some("refused"));
    assert_eq!(end(&mut fleet, 3, MembershipChange::Remove(1)), Some("majority"));
    fleet.kill(4);
    fleet.run(SECOND);
    assert_eq!(end(&mut fleet, 4, MembershipChange::Promote(4)), Some("behind"));
    fleet.kill(3);
    fleet.run(SECOND);
    assert_eq!(end(&mut fleet, 5, MembershipChange::Remove(2)), Some("majority"));
    assert_eq!(end(&mut fleet, 6, MembershipChange::Remove(3)), Some("changed"));
    fleet.step(1, AgreementInput::ChangeMembership { ticket: 7, change: MembershipChange::AddLearner(50) });
    fleet.step(1, AgreementInput::ChangeMembership { ticket: 8, change: MembershipChange::AddLearner(51) });
    assert_eq!(fleet.ends.last(), Some(&(8, "busy")), "one at a time");
}

/// The log is shortened as it grows, and who comes late gets the state in place of it, over links that lose
/// much.
#[test]
fn the_log_stays_short_and_a_late_learner_gets_the_state() {
    let limits = AgreementLimits { log_bytes: 4_000, ..AgreementLimits::default() };
    let mut fleet = Fleet::whole(13, limits, 3, 0);
    fleet.start(8, Memory::default());
    let mut most = 0;
    for c in 1..400 {
        fleet.commit(c);
        let state = pack(&fleet.nodes[&1].state).len();
        most = most.max(fleet.life(1).store().bytes().len().saturating_sub(state));
        if c == 200 {
            fleet.kill(3);
        }
    }
    assert!(most < 6_000, "{most} bytes beyond the state");
    fleet.lose = 200;
    fleet.change(MembershipChange::AddLearner(8));
    let disk = fleet.nodes[&3].disk.clone();
    fleet.start(3, disk);
    fleet.run(10 * SECOND);
    fleet.lose = 0;
    fleet.same();
    assert!(fleet.restored[&8] > 0 && fleet.restored[&3] > 0, "{:?}", fleet.restored);
}

/// A leader that is cut off can't say that it leads; it stops of its own accord, and its questions are
/// refused.
#[test]
fn a_leader_that_is_cut_off_confirms_nothing() {
    let mut fleet = Fleet::whole(17, AgreementLimits::default(), 3, 1);
    fleet.commit(1);
    fleet.step(1, AgreementInput::ReadIndex { ticket: 90 });
    fleet.run(SECOND / 4);
    assert_eq!(fleet.ends.last(), Some(&(90, "readable")));
    for other in 2..=3 {
        fleet.cut.extend([(1, other), (other, 1)]);
    }
    fleet.step(1, AgreementInput::ReadIndex { ticket: 91 });
    fleet.step(1, AgreementInput::Propose { ticket: 92, command: 92u64.to_le_bytes().to_vec() });
    // The learner still hears it, and has no say.
    fleet.run(SECOND / 4);
    assert!(fleet.life(1).leads() && !fleet.ends.iter().any(|(t, _)| (91..94).contains(t)));
    fleet.run_until("another leader", |f| f.leader() != Some(1) && f.leader().is_some());
    fleet.commit(2);
    let other = fleet.leader().unwrap();
    fleet.step(other, AgreementInput::ReadIndex { ticket: 93 });
    fleet.run(2 * SECOND);
    assert!(!fleet.life(1).leads());
    let end = |t| fleet.ends.iter().filter(|(ticket, _)| *ticket == t).map(|(_, e)| *e).collect::<Vec<_>>();
    assert_eq!((end(91), end(92), end(93)), (vec!["not leader"], vec!["unsure"], vec!["readable"]));
    fleet.cut.clear();
    fleet.same();
    assert!(!fleet.agreed.values().any(|c| *c == 92));
}

/// Paused for longer than an election takes, and resumed: it doubts before it does anything else.
#[test]
fn a_leader_that_was_paused_steps_down_first() {
    let mut fleet = Fleet::whole(19, AgreementLimits::default(), 3, 0);
    fleet.commit(1);
    let (life, now) = (fleet.life(1).clone(), fleet.now);
    let mut life = life;
    assert!(life.leads());
    let out = life.step(AgreementInput::Propose { ticket: 5, command: vec![1] }, now + 5 * SECOND);
    assert!(
        matches!(
            out.last(),
            Some(AgreementOutput::Rejected { ticket: 5, reason: RejectReason::NotLeader, .. })
        ),
        "{out:?}"
    );
}

/// Cut short, damaged or made up: an error each time, and the courier goes on.
#[test]
fn bytes_that_are_no_message_are_an_error() {
    let mut fleet = Fleet::whole(23, AgreementLimits::default(), 3, 0);
    fleet.commit(1);
    fleet.step(1, AgreementInput::Propose { ticket: 2, command: 2u64.to_le_bytes().to_vec() });
    let message = |f: &Fleet| f.wire.values().find(|(from, to, _)| (*from, *to) == (1, 2)).cloned();
    let (_, _, bytes) = message(&fleet).unwrap();
    let now = fleet.now;
    let before = fleet.life(2).digest(now);
    let mut hear = |from, bytes: &[u8]| {
        let out = fleet.life(2).step(AgreementInput::Receive { from, bytes: bytes.to_vec() }, now);
        assert!(matches!(out[..], [AgreementOutput::Failed(AgreementError::Malformed { .. })]), "{out:?}");
    };
    for cut in 0..bytes.len() {
        hear(1, &bytes[..cut]);
        let mut damaged = bytes.clone();
        damaged[cut] ^= 0x10;
        hear(1, &damaged);
    }
    hear(3, &bytes);
    let long = [&bytes[5..], &[0]].concat();
    hear(1, &[&bytes[..1], &crc32fast::hash(&long).to_le_bytes(), &long].concat());
    // Right in form: a checksum over any bytes.
    for n in 0..2000u64 {
        let body: Vec<u8> =
            (0..n % 60).map(|i| (n.wrapping_mul(i + 7).wrapping_mul(0x9e37_79b9) >> 13) as u8).collect();
        let head = crc32fast::hash(&body).to_le_bytes();
        hear(1, &[&[1][..], &head, &body].concat());
    }
    assert_eq!(fleet.life(2).digest(now), before);
    fleet.commit(3);
    fleet.same();
}

/// A log put back from an old copy has forgotten what it promised: its leader's word shows it, and it is an
/// error.
#[test]
fn a_log_restored_from_a_backup_is_detected() {
    let mut fleet = Fleet::whole(29, AgreementLimits::default(), 3, 0);
    let old = Memory::of(fleet.life(2).store().bytes().to_vec());
    (1..10).for_each(|c| fleet.commit(c));
    fleet.run(SECOND);
    fleet.kill(2);
    fleet.start(2, old);
    fleet.run(SECOND);
    assert!(matches!(fleet.errors[..], [AgreementError::Ahead { from: 1, .. }]), "{:?}", fleet.errors);
    assert!(fleet.life(2).is_halted());
}

/// The office goes to another voter at once.
#[test]
fn a_leader_hands_over_without_an_election() {
    let mut fleet = Fleet::whole(31, AgreementLimits::default(), 3, 0);
    fleet.commit(1);
    fleet.step(1, AgreementInput::TransferLeadership { to: 3 });
    fleet.run(SECOND / 20);
    assert_eq!(fleet.leader(), Some(3));
    fleet.commit(2);
    fleet.same();
}

/// The same seed, the same run; and a copy of a courier taken at any moment goes on as the original does.
#[test]
fn runs_are_deterministic_and_clones_continue_like_the_original() {
    let run = |copies: bool| {
        let mut fleet =
            Fleet::whole(37, AgreementLimits { log_bytes: 1_500, ..AgreementLimits::default() }, 3, 1);
        (fleet.lose, fleet.double, fleet.delay) = (100, 50, 60_000);
        for c in 1..60 {
            let node_id = fleet.leader().unwrap_or(1);
            fleet.step(node_id, AgreementInput::Propose { ticket: c, command: c.to_le_bytes().to_vec() });
            fleet.step(node_id, AgreementInput::ReadIndex { ticket: 1000 + c });
            if c % 20 == 0 {
                fleet.cut = [(node_id, 2), (node_id, 3), (node_id, 1)].into();
            } else if c % 20 == 10 {
                fleet.cut.clear();
            }
            for _ in 0..40 {
                let until = fleet.now + SECOND / 20;
                fleet.next(until);
                let now = fleet.now;
                for node in fleet.nodes.values_mut().filter(|_| copies) {
                    let life = node.life.as_mut().unwrap();
                    let copy = life.clone();
                    assert_eq!(copy.digest(now), life.digest(now));
                    *life = copy;
                }
            }
        }
        let now = fleet.now;
        let digests: Vec<_> = (1..=4).map(|t| fleet.life(t).digest(now)).collect();
        (digests, fleet.ends, fleet.agreed, fleet.led)
    };
    let first = run(false);
    assert!(first.3.len() > 2 && first.2.len() > 20, "{:?}", first.3);
    assert_eq!(run(false), first);
    assert_eq!(run(true), first);
}

/// A voter that was cut off from the others unseats nobody when it is back.
#[test]
fn a_voter_that_comes_back_does_not_call_an_election() {
    let mut fleet = Fleet::whole(41, AgreementLimits::default(), 3, 0);
    let term = fleet.life(1).term();
    fleet.cut = [(2, 1), (2, 3), (1, 2), (3, 2)].into();
    fleet.run(5 * SECOND);
    assert_eq!((fleet.life(2).leader(), fleet.life(2).term()), (None, term));
    fleet.cut.clear();
    fleet.commit(1);
    fleet.same();
    assert_eq!((fleet.leader(), fleet.life(2).term()), (Some(1), term));
}

/// Two want the same term's vote of a third, which is killed between them: it has not forgotten the first.
#[test]
fn a_vote_outlasts_a_kill_and_a_new_leader_answers_nothing_before_its_first_entry() {
    let mut fleet = Fleet::whole(43, AgreementLimits::default(), 3, 0);
    fleet.run(SECOND);
    let mut lives: Vec<_> = [1, 2, 3].map(|t| Memory::of(fleet.life(t).store().bytes().to_vec())).into();
    let open =
        |disk: &Memory| Agreement::open(disk.clone(), 9, AgreementLimits::default(), SECOND).unwrap().0;
    let sends = |out: Vec<AgreementOutput>, whom: NodeId| {
        let mut bytes = out.into_iter().filter_map(|o| match o {
            AgreementOutput::Send { to, bytes } if to == whom => Some(bytes),
            _ => None,
        });
        bytes.next()
    };
    // Each of two candidates gets the third's word that it would be heard, and asks for the vote itself.
    let asks = |node_id: NodeId| {
        let mut candidate = open(&lives[node_id as usize - 1]);
        let (mut now, mut word) = (SECOND, None);
        while word.is_none() {
            assert!(now < 10 * SECOND, "courier {node_id} calls no election");
            now += 50_000;
            word = sends(candidate.step(AgreementInput::Tick, now), 3);
        }
        let mut third = open(&lives[2]);
        let reply = sends(
            third.step(AgreementInput::Receive { from: node_id, bytes: word.unwrap() }, SECOND),
            node_id,
        );
        let vote = sends(candidate.step(AgreementInput::Receive { from: 3, bytes: reply.unwrap() }, now), 3);
        (candidate, vote.unwrap(), now)
    };
    let ((mut one, ask_one, at_one), (mut two, ask_two, at_two)) = (asks(1), asks(2));
    assert_eq!(one.term(), two.term());
    let mut third = open(&lives[2]);
    let yes = sends(third.step(AgreementInput::Receive { from: 1, bytes: ask_one }, SECOND), 1).unwrap();
    lives[2] = third.into_store();
    let mut third = open(&lives[2]);
    if let Some(no) = sends(third.step(AgreementInput::Receive { from: 2, bytes: ask_two }, SECOND), 2) {
        two.step(AgreementInput::Receive { from: 3, bytes: no }, at_two);
    }
    one.step(AgreementInput::Receive { from: 3, bytes: yes }, at_one);
    assert!(one.leads() && !two.leads());
    let out = one.step(AgreementInput::ReadIndex { ticket: 1 }, at_one);
    assert!(
        matches!(out[..], [AgreementOutput::Rejected { ticket: 1, reason: RejectReason::Busy, .. }]),
        "{out:?}"
    );
}

/// Entries that were never agreed give way to those that were: in memory, and in the file, which a new life begins with.
#[test]
fn later_entries_take_the_place_of_earlier_ones() {
    let mut fleet = Fleet::whole(37, AgreementLimits::default(), 3, 0);
    fleet.commit(1);
    for other in 2..=3 {
        fleet.cut.extend([(1, other), (other, 1)]);
    }
    for command in [92, 93, 94u64] {
        let before = fleet.life(1).store().bytes().len();
        fleet.step(1, AgreementInput::Propose { ticket: command, command: command.to_le_bytes().to_vec() });
        assert!(fleet.life(1).store().bytes().len() > before, "it is written, and agreed on by nobody");
    }
    fleet.run_until("another leader", |f| f.leader() != Some(1) && f.leader().is_some());
    fleet.commit(2);
    fleet.cut.clear();
    fleet.same();
    fleet.kill(1);
    let disk = fleet.nodes[&1].disk.clone();
    fleet.start(1, disk);
    fleet.commit(3);
    fleet.same();
    assert!(!fleet.agreed.values().any(|c| (92..95).contains(c)));
}

/// The records of the file in its form 1, as far as they are made up here.
#[derive(serde::Serialize)]
enum Record {
    Who { form: u16, node_id: u64 },
    Wrote { vow: HardState, entries: Vec<Entry> },
}

/// Term, vote and commit.
type HardState = (u64, u64, u64);
/// Term, index and payload.
type Entry = (u64, u64, Payload);

#[derive(serde::Serialize)]
#[allow(dead_code)]
enum Payload {
    Mark,
    Command(Vec<u8>),
}

fn entry(index: u64, term: u64) -> Entry {
    (term, index, Payload::Command(vec![index as u8, term as u8]))
}

/// A file of sound records: what it tells to be agreed.
fn told(written: Vec<(HardState, Vec<Entry>)>) -> Result<Vec<(u64, Vec<u8>)>, AgreementError> {
    let wrote = written.into_iter().map(|(vow, entries)| Record::Wrote { vow, entries });
    let mut bytes = Vec::new();
    for record in std::iter::once(Record::Who { form: 1, node_id: 5 }).chain(wrote) {
        let body = postcard::to_stdvec(&record).unwrap();
        let len = u32::try_from(body.len()).unwrap().to_le_bytes();
        bytes.extend(
            [len, crc32fast::hash(&len).to_le_bytes(), crc32fast::hash(&body).to_le_bytes()].concat(),
        );
        bytes.extend(body);
    }
    let (life, opened) = Agreement::open(Memory::of(bytes), 99, AgreementLimits::default(), SECOND)?;
    assert_eq!((life.node_id(), opened.new), (5, false));
    Ok(opened.committed)
}

#[test]
fn the_last_entry_written_at_an_index_is_loaded() {
    let written = |commit| {
        told(vec![
            ((1, 7, 1), vec![entry(1, 1), entry(2, 1), entry(3, 1)]),
            ((2, 7, 1), vec![]),
            ((2, 7, commit), vec![entry(2, 2)]),
        ])
    };
    assert_eq!(written(2).unwrap(), [(1, vec![1, 1]), (2, vec![2, 2])]);
    assert!(matches!(written(3), Err(AgreementError::Damaged { .. })), "the third is there no more");
}

/// Sound records that can't follow each other are as bad as damaged ones.
#[test]
fn records_that_do_not_fit_are_damage() {
    let open = |commit, entry| told(vec![((1, 7, commit), vec![entry])]).map(|committed| committed.len());
    assert!(matches!(open(1, entry(1, 1)), Ok(1)));
    assert!(matches!(open(2, entry(1, 1)), Err(AgreementError::Damaged { .. })));
    assert!(matches!(open(0, entry(2, 1)), Err(AgreementError::Damaged { .. })));
    assert!(matches!(open(0, entry(0, 1)), Err(AgreementError::Damaged { .. })));
}
