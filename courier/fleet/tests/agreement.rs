//! The agreement on a virtual clock, over links that lose, duplicate, delay and partition messages, from seeds.

use quillmount_core::store::{Fault, Memory};
use quillmount_fleet::NodeId;
use quillmount_fleet::agreement::{
    Agreement, AgreementError, AgreementInput, AgreementLimits, AgreementOutput, MembershipChange,
    RejectReason,
};
use quillmount_test_support::digest::{Counts, SEEDS, compare_with_file};
use std::collections::{BTreeMap, BTreeSet};

const SECOND: u64 = 1_000_000;

/// The commands that one courier knows to be committed: index and command.
type State = Vec<(u64, u64)>;

fn encode_state(state: &State) -> Vec<u8> {
    state.iter().flat_map(|(i, c)| [i.to_le_bytes(), c.to_le_bytes()].concat()).collect()
}

fn decode_state(bytes: &[u8]) -> State {
    let read_u64 = |b: &[u8]| u64::from_le_bytes(b.try_into().unwrap());
    bytes.chunks(16).map(|c| (read_u64(&c[..8]), read_u64(&c[8..]))).collect()
}

struct Node {
    /// `None`: the courier is down.
    agreement: Option<Agreement<Memory>>,
    disk: Memory,
    state: State,
    /// Index of the last entry that was delivered.
    applied_index: u64,
    restart_at: u64,
}

struct Fleet {
    now: u64,
    seed: u64,
    limits: AgreementLimits,
    nodes: BTreeMap<NodeId, Node>,
    in_flight: BTreeMap<(u64, u64), (NodeId, NodeId, Vec<u8>)>,
    sent_count: u64,
    /// Messages of a thousand that are lost.
    loss_permille: u64,
    /// Messages of a thousand that are duplicated.
    duplicate_permille: u64,
    max_delay: u64,
    cut_links: BTreeSet<(NodeId, NodeId)>,
    /// Command by index, as any courier has reported it, and leader by term.
    committed: BTreeMap<u64, u64>,
    leaders_by_term: BTreeMap<u64, NodeId>,
    /// Commands whose commit was reported to the proposer.
    acknowledged: BTreeSet<u64>,
    outcomes: Vec<(u64, &'static str)>,
    errors: Vec<AgreementError>,
    sends_by_node: BTreeMap<NodeId, u64>,
    restored: BTreeMap<NodeId, u64>,
    /// Outputs of the couriers, for the digests.
    counts: Counts,
}

impl Fleet {
    fn new(seed: u64, limits: AgreementLimits) -> Self {
        Fleet {
            now: SECOND,
            seed,
            limits,
            nodes: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            sent_count: 0,
            loss_permille: 0,
            duplicate_permille: 0,
            max_delay: 1_000,
            cut_links: BTreeSet::new(),
            committed: BTreeMap::new(),
            leaders_by_term: BTreeMap::new(),
            acknowledged: BTreeSet::new(),
            outcomes: Vec::new(),
            errors: Vec::new(),
            sends_by_node: BTreeMap::new(),
            restored: BTreeMap::new(),
            counts: Counts::default(),
        }
    }

    /// A fleet of voters, numbered from 1, and learners with the numbers after them, all added.
    fn with_members(seed: u64, limits: AgreementLimits, voters: u64, learners: u64) -> Self {
        let mut fleet = Fleet::new(seed, limits);
        fleet.start(1, Memory::default());
        let out = fleet.agreement(1).bootstrap(SECOND).unwrap();
        fleet.handle(1, out);
        for node_id in 2..=voters + learners {
            fleet.start(node_id, Memory::default());
            fleet.change_membership(MembershipChange::AddLearner(node_id));
            if node_id <= voters {
                fleet.change_membership(MembershipChange::Promote(node_id));
            }
        }
        assert_eq!(fleet.agreement(1).voters().len() as u64, voters);
        assert_eq!(fleet.agreement(1).learners().len() as u64, learners);
        fleet
    }

    fn random_below(&mut self, below: u64) -> u64 {
        self.seed = self.seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let x = (self.seed ^ (self.seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        (x ^ (x >> 31)) % below.max(1)
    }

    fn agreement(&mut self, node_id: NodeId) -> &mut Agreement<Memory> {
        self.nodes.get_mut(&node_id).unwrap().agreement.as_mut().unwrap()
    }

    fn start(&mut self, node_id: NodeId, disk: Memory) {
        let (agreement, opened) = Agreement::open(disk, node_id, self.limits.clone(), self.now).unwrap();
        assert_eq!(agreement.node_id(), node_id);
        let (mut state, mut applied_index) = (decode_state(&opened.state), opened.index);
        for (index, command) in opened.committed {
            let command = u64::from_le_bytes(command.try_into().unwrap());
            assert_eq!(self.committed.get(&index), Some(&command), "courier {node_id} has made up {index}");
            state.push((index, command));
            applied_index = index;
        }
        let disk = Memory::default();
        self.nodes
            .insert(node_id, Node { agreement: Some(agreement), disk, state, applied_index, restart_at: 0 });
        self.stop_if_dead(node_id);
    }

    /// Stops the courier if its store has died in a write. Returns whether the courier is down.
    fn stop_if_dead(&mut self, node_id: NodeId) -> bool {
        let now = self.now;
        let node = self.nodes.get_mut(&node_id).unwrap();
        let dead = node.agreement.as_ref().is_none_or(|a| a.store().is_dead());
        if dead && let Some(agreement) = node.agreement.take() {
            node.disk = Memory::of(agreement.into_store().bytes().to_vec());
            node.restart_at = now + SECOND / 2;
        }
        dead
    }

    fn kill(&mut self, node_id: NodeId) {
        let node = self.nodes.get_mut(&node_id).unwrap();
        node.disk = Memory::of(node.agreement.take().unwrap().into_store().bytes().to_vec());
        node.restart_at = u64::MAX;
    }

    fn step(&mut self, node_id: NodeId, input: AgreementInput) {
        let now = self.now;
        let Some(agreement) = self.nodes.get_mut(&node_id).unwrap().agreement.as_mut() else { return };
        let out = agreement.step(input, now);
        self.handle(node_id, out);
    }

    fn handle(&mut self, node_id: NodeId, out: Vec<AgreementOutput>) {
        // Nothing that a process does after its death reaches anyone.
        if self.stop_if_dead(node_id) {
            return;
        }
        let mut wanted = false;
        for output in out {
            self.count_output(node_id, &output);
            match output {
                AgreementOutput::Send { to, bytes } => {
                    *self.sends_by_node.entry(node_id).or_default() += 1;
                    let copies = 1 + u64::from(self.random_below(1000) < self.duplicate_permille);
                    for _ in 0..copies {
                        if self.random_below(1000) < self.loss_permille
                            || self.cut_links.contains(&(node_id, to))
                        {
                            continue;
                        }
                        self.sent_count += 1;
                        let at = self.now + 100 + self.random_below(self.max_delay);
                        self.in_flight.insert((at, self.sent_count), (node_id, to, bytes.clone()));
                    }
                }
                AgreementOutput::Committed { index, ticket, command } => {
                    let command = u64::from_le_bytes(command.try_into().unwrap());
                    let agreed = *self.committed.entry(index).or_insert(command);
                    assert_eq!(agreed, command, "courier {node_id} differs at {index}");
                    let node = self.nodes.get_mut(&node_id).unwrap();
                    assert!(node.applied_index < index, "courier {node_id}: {index} again");
                    node.state.push((index, command));
                    node.applied_index = index;
                    if let Some(ticket) = ticket {
                        assert_eq!(ticket, command);
                        self.acknowledged.insert(command);
                        self.outcomes.push((ticket, "committed"));
                    }
                }
                AgreementOutput::Restored { index, state } => {
                    let state = decode_state(&state);
                    assert!(state.iter().all(|(i, c)| *i <= index && self.committed.get(i) == Some(c)));
                    let node = self.nodes.get_mut(&node_id).unwrap();
                    (node.state, node.applied_index) = (state, index);
                    *self.restored.entry(node_id).or_default() += 1;
                }
                AgreementOutput::MembershipChanged { ticket: Some(ticket), .. } => {
                    self.outcomes.push((ticket, "changed"))
                }
                AgreementOutput::MembershipChanged { .. } => {}
                AgreementOutput::ReadReady { ticket } => self.outcomes.push((ticket, "readable")),
                AgreementOutput::Rejected { ticket, reason, .. } => self.outcomes.push((
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
                AgreementOutput::Indeterminate { ticket } => self.outcomes.push((ticket, "unsure")),
                AgreementOutput::SnapshotWanted => wanted = true,
                AgreementOutput::LeaderChanged { leader, term } => {
                    if leader == Some(node_id) {
                        let first = *self.leaders_by_term.entry(term).or_insert(node_id);
                        assert_eq!(first, node_id, "two leaders in term {term}");
                    }
                }
                AgreementOutput::Failed(error) | AgreementOutput::Halted(error) => self.errors.push(error),
            }
        }
        if wanted {
            let node = &self.nodes[&node_id];
            let input =
                AgreementInput::Snapshot { through: node.applied_index, state: encode_state(&node.state) };
            self.step(node_id, input);
        }
    }

    fn count_output(&mut self, node_id: NodeId, output: &AgreementOutput) {
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

    /// Plays the next event before `until`. Returns whether there was one.
    fn next(&mut self, until: u64) -> bool {
        let message = self.in_flight.first_key_value().map(|((at, _), _)| *at);
        let wake = |(node_id, node): (&NodeId, &Node)| match &node.agreement {
            Some(agreement) => agreement.wake_at().map(|at| (at, *node_id)),
            None => Some((node.restart_at, *node_id)),
        };
        let wake = self.nodes.iter().filter_map(wake).min();
        let at = message.into_iter().chain(wake.map(|(at, _)| at)).min();
        let Some(at) = at.filter(|at| *at <= until) else {
            self.now = until;
            return false;
        };
        self.now = self.now.max(at);
        if message == Some(at) {
            let (_, (from, to, bytes)) = self.in_flight.pop_first().unwrap();
            if self.nodes.contains_key(&to) {
                self.step(to, AgreementInput::Receive { from, bytes });
            }
        } else if let Some((_, node_id)) = wake {
            if self.nodes[&node_id].agreement.is_some() {
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
            assert!(self.next(until), "never happened: {what}");
        }
    }

    /// The courier that believes to lead in the newest term.
    fn leader(&self) -> Option<NodeId> {
        let running = self.nodes.values().filter_map(|n| n.agreement.as_ref());
        running.filter(|a| a.leads()).max_by_key(|a| a.term()).map(|a| a.node_id())
    }

    /// Proposes a change of the members to the leader until it is committed.
    fn change_membership(&mut self, change: MembershipChange) {
        for ticket in 1_000_000.. {
            self.run_until("a leader", |f| f.leader().is_some());
            let leader = self.leader().unwrap();
            let before = self.outcomes.len();
            self.step(leader, AgreementInput::ChangeMembership { ticket, change });
            self.run_until("an end of the change", |f| {
                f.outcomes[before..].iter().any(|(t, _)| *t == ticket)
            });
            if self.outcomes[before..].contains(&(ticket, "changed")) {
                return;
            }
            assert!(ticket < 1_000_500, "{change:?} never taken: {:?}", &self.outcomes[before..]);
            self.run(SECOND / 10);
        }
    }

    /// Proposes a command to the leader until its commit is reported.
    fn commit(&mut self, command: u64) {
        for _ in 0..200 {
            self.run_until("a leader", |f| f.leader().is_some());
            let leader = self.leader().unwrap();
            self.step(
                leader,
                AgreementInput::Propose { ticket: command, command: command.to_le_bytes().to_vec() },
            );
            let until = self.now + SECOND;
            while !self.acknowledged.contains(&command) && self.next(until) {}
            if self.acknowledged.contains(&command) {
                return;
            }
        }
        panic!("command {command} was never agreed");
    }

    /// Asserts that all couriers get the same state, with all that was acknowledged.
    fn assert_converged(&mut self) {
        self.run(5 * SECOND);
        let truth: State = self.committed.iter().map(|(i, c)| (*i, *c)).collect();
        for (node_id, node) in &self.nodes {
            assert!(node.agreement.is_some(), "courier {node_id} is down");
            assert_eq!(node.state, truth, "courier {node_id} {:?}", self.errors);
        }
        let present: BTreeSet<u64> = truth.iter().map(|(_, c)| *c).collect();
        assert!(self.acknowledged.is_subset(&present));
    }
}

#[test]
fn one_three_and_five_voters_agree_and_go_on_without_their_leader() {
    for voters in [1, 3, 5] {
        let mut fleet = Fleet::with_members(voters, AgreementLimits::default(), voters, 2);
        (1..20).for_each(|c| fleet.commit(c));
        fleet.assert_converged();
        let first = fleet.leader().unwrap();
        fleet.kill(first);
        if voters > 1 {
            (20..40).for_each(|c| fleet.commit(c));
            assert_ne!(fleet.leader(), Some(first));
        }
        let disk = fleet.nodes[&first].disk.clone();
        fleet.start(first, disk);
        fleet.commit(40);
        fleet.assert_converged();
        assert_eq!(fleet.errors.len(), 0, "{:?}", fleet.errors);
    }
}

/// Links lose, duplicate, reorder and partition messages; partitions heal and come back.
#[test]
fn the_same_commands_everywhere_over_links_of_every_kind() {
    for seed in 0..12 {
        let fleet = run_over_faulty_links(seed);
        assert!(fleet.acknowledged.len() > 20, "seed {seed}: only {}", fleet.acknowledged.len());
    }
}

#[test]
fn the_first_fifty_seeded_days_give_the_same_counts() {
    let day = |seed: u64| {
        let fleet = run_over_faulty_links(seed);
        let writes: u32 = fleet
            .nodes
            .values()
            .filter_map(|node| node.agreement.as_ref())
            .map(|agreement| agreement.store().writes())
            .sum();
        let mut counts = fleet.counts;
        counts.set("writes", u64::from(writes));
        counts.set("messages_on_links", fleet.sent_count);
        counts.set("entries_agreed", fleet.committed.len() as u64);
        counts.set("commands_acknowledged", fleet.acknowledged.len() as u64);
        counts.set("terms_with_a_leader", fleet.leaders_by_term.len() as u64);
        counts.set("newest_term", fleet.leaders_by_term.keys().max().copied().unwrap_or(0));
        counts.set("end_time_us", fleet.now);
        counts.line(seed)
    };
    let lines: String = SEEDS.map(day).collect();
    let file = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/digests/agreement.txt");
    compare_with_file(&file, &lines);
}

/// Runs a fleet over such links, with proposals to any courier that believes to lead, until it converges.
fn run_over_faulty_links(seed: u64) -> Fleet {
    let limits = AgreementLimits { seed, log_bytes: 2_000, ..AgreementLimits::default() };
    let mut fleet = Fleet::with_members(seed, limits, 3 + 2 * (seed % 2), 1);
    (fleet.loss_permille, fleet.duplicate_permille, fleet.max_delay) = (50, 50, 40_000);
    let all: Vec<NodeId> = fleet.nodes.keys().copied().collect();
    for round in 0..15 {
        fleet.cut_links.clear();
        for from in &all {
            for to in &all {
                // One way as well as both.
                if fleet.random_below(4) == 0 {
                    fleet.cut_links.insert((*from, *to));
                }
            }
        }
        for n in 0..20 {
            let (command, node_id) = (1 + round * 20 + n, all[fleet.random_below(all.len() as u64) as usize]);
            // To any courier that believes to lead, also a stale leader.
            let at =
                if fleet.agreement(node_id).leads() { node_id } else { fleet.leader().unwrap_or(node_id) };
            fleet.step(
                at,
                AgreementInput::Propose { ticket: command, command: command.to_le_bytes().to_vec() },
            );
            let span = fleet.random_below(SECOND / 5);
            fleet.run(span);
        }
    }
    fleet.cut_links.clear();
    (fleet.loss_permille, fleet.duplicate_permille) = (0, 0);
    fleet.commit(10_000);
    fleet.assert_converged();
    fleet
}

/// One courier is killed in each of its writes in turn, at the beginning, in the middle and at the end of it, and
/// restarts.
#[test]
fn a_kill_at_every_write_loses_no_acknowledged_state() {
    let limits = || AgreementLimits { log_bytes: 600, ..AgreementLimits::default() };
    let run_scenario = |fleet: &mut Fleet, victim: NodeId| {
        for c in 1..12 {
            fleet.commit(c);
        }
        if victim != 1 && fleet.nodes[&1].agreement.is_some() {
            fleet.kill(1);
            (12..20).for_each(|c| fleet.commit(c));
            let disk = fleet.nodes[&1].disk.clone();
            fleet.start(1, disk);
        }
        (20..30).for_each(|c| fleet.commit(c));
        fleet.assert_converged();
    };
    for victim in 1..=4 {
        let mut fleet = Fleet::with_members(victim, limits(), 3, 1);
        fleet.agreement(victim).store_mut().fail(Fault::None);
        run_scenario(&mut fleet, victim);
        let writes = fleet.agreement(victim).store().writes();
        assert!(writes > 20, "{writes}");
        let mut died = 0;
        for after in 0..writes {
            for bytes in [0, 5, 20, usize::MAX] {
                let mut fleet = Fleet::with_members(victim, limits(), 3, 1);
                fleet.agreement(victim).store_mut().fail(Fault::Die { after, bytes });
                run_scenario(&mut fleet, victim);
                died += u32::from(fleet.agreement(victim).store().writes() < writes);
            }
        }
        assert!(died >= writes * 3, "{died} of {writes}");
    }
}

/// Each prefix opens to the contents of its complete records: never more than the whole log has, and never less than
/// a shorter prefix. A damaged byte is not mistaken for a kill.
#[test]
fn every_prefix_of_the_log_opens_and_no_damaged_one() {
    let mut fleet =
        Fleet::with_members(3, AgreementLimits { log_bytes: 600, ..AgreementLimits::default() }, 3, 1);
    for c in 1..30 {
        fleet.commit(c);
        if c == 22 {
            fleet.kill(1);
            fleet.run(2 * SECOND);
        }
    }
    let bytes = fleet.agreement(2).store().bytes().to_vec();
    let open =
        |bytes: &[u8]| Agreement::open(Memory::of(bytes.to_vec()), 99, AgreementLimits::default(), SECOND);
    let (complete, all) = open(&bytes).unwrap();
    let complete_state = [decode_state(&all.state), decode_commands(&all.committed)].concat();
    assert!(
        !all.state.is_empty() && !all.committed.is_empty() && complete.term() > 2,
        "{all:?} {}",
        complete.term()
    );
    // Each record begins with its length.
    let mut record_ends = vec![0];
    while let Some(head) = bytes.get(*record_ends.last().unwrap()..).filter(|rest| !rest.is_empty()) {
        record_ends.push(
            record_ends.last().unwrap() + 12 + u32::from_le_bytes(head[..4].try_into().unwrap()) as usize,
        );
    }
    let mut before = (0, 0);
    for len in 0..=bytes.len() {
        let (agreement, opened) = open(&bytes[..len]).unwrap();
        assert_eq!(opened.new, agreement.node_id() == 99, "at {len}");
        let state = [decode_state(&opened.state), decode_commands(&opened.committed)].concat();
        assert!(complete_state.starts_with(&state), "at {len}");
        let now = (agreement.term(), state.len());
        assert!(before <= now, "at {len}: {before:?} {now:?}");
        before = now;
        // A torn record is removed from the file, or what is written next would never be read.
        let sound = record_ends.iter().rfind(|end| **end <= len).unwrap();
        assert!(opened.new || agreement.store().bytes() == &bytes[..*sound], "at {len}");
        let (reopened, contents) = open(agreement.store().bytes()).unwrap();
        let same =
            (reopened.node_id(), reopened.term(), contents.committed == opened.committed, contents.new);
        assert_eq!(same, (agreement.node_id(), agreement.term(), true, false), "at {len}");
    }
    for at in 0..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[at] ^= 0x40;
        assert!(matches!(open(&damaged), Err(AgreementError::Damaged { .. })), "damaged at {at}");
    }
}

fn decode_commands(committed: &[(u64, Vec<u8>)]) -> State {
    committed.iter().map(|(i, c)| (*i, u64::from_le_bytes(c.as_slice().try_into().unwrap()))).collect()
}

/// A courier whose disk is full sends nothing more. The others go on, and it restarts when there is space.
#[test]
fn a_courier_that_cannot_write_halts() {
    for victim in [1, 2] {
        let mut fleet = Fleet::with_members(7, AgreementLimits::default(), 3, 0);
        (1..5).for_each(|c| fleet.commit(c));
        fleet.agreement(victim).store_mut().fail(Fault::Full { after: 0 });
        let sent = fleet.sends_by_node.clone();
        fleet.step(1, AgreementInput::Propose { ticket: 5, command: 5u64.to_le_bytes().to_vec() });
        if victim == 1 {
            assert_eq!(fleet.outcomes.last(), Some(&(5, "unsure")));
            assert_eq!(fleet.sends_by_node, sent, "sent what it has not written");
        }
        fleet.run(3 * SECOND);
        assert!(fleet.agreement(victim).is_halted());
        assert!(matches!(fleet.errors[..], [AgreementError::Store { .. }]), "{:?}", fleet.errors);
        fleet.step(victim, AgreementInput::Propose { ticket: 6, command: vec![1] });
        assert_eq!(fleet.outcomes.last(), Some(&(6, "silent")));
        let sent = fleet.sends_by_node[&victim];
        (10..15).for_each(|c| fleet.commit(c));
        assert_eq!(fleet.sends_by_node[&victim], sent);
        fleet.kill(victim);
        let disk = fleet.nodes[&victim].disk.clone();
        fleet.start(victim, disk);
        fleet.assert_converged();
    }
}

/// Under a new id it is a new learner; the old id is removed, and commands are committed between all steps.
#[test]
fn a_voter_with_a_lost_folder_is_replaced_while_serving() {
    for lost in [1, 3] {
        let mut fleet = Fleet::with_members(11, AgreementLimits::default(), 3, 0);
        (1..10).for_each(|c| fleet.commit(c));
        fleet.kill(lost);
        fleet.nodes.remove(&lost);
        fleet.start(9, Memory::default());
        fleet.commit(10);
        assert!(fleet.agreement(9).voters().is_empty(), "knows nothing of anyone");
        assert_eq!(fleet.agreement(9).wake_at(), None);
        fleet.change_membership(MembershipChange::AddLearner(9));
        fleet.commit(11);
        fleet.change_membership(MembershipChange::Promote(9));
        fleet.commit(12);
        fleet.change_membership(MembershipChange::Remove(lost));
        fleet.commit(13);
        fleet.assert_converged();
        let mut voters = vec![2, 9, if lost == 1 { 3 } else { 1 }];
        voters.sort_unstable();
        assert_eq!(fleet.agreement(9).voters(), voters);
        // The lost voter is a voter no more: the three survive the loss of another one.
        let leader = fleet.leader().unwrap();
        fleet.kill(leader);
        fleet.commit(14);
    }
}

/// Neither the leader nor a majority can be removed, and no absent learner is promoted.
#[test]
fn changes_that_risk_the_quorum_are_rejected() {
    let mut fleet = Fleet::with_members(5, AgreementLimits::default(), 3, 1);
    let end = |fleet: &mut Fleet, ticket, change| {
        fleet.step(1, AgreementInput::ChangeMembership { ticket, change });
        fleet.run(SECOND / 4);
        fleet.outcomes.iter().rfind(|(t, _)| *t == ticket).map(|(_, end)| *end)
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
    assert_eq!(fleet.outcomes.last(), Some(&(8, "busy")), "one at a time");
}

/// The log is compacted as it grows, and a late learner gets the state in its place, over links with heavy loss.
#[test]
fn the_log_stays_short_and_a_late_learner_gets_the_state() {
    let limits = AgreementLimits { log_bytes: 4_000, ..AgreementLimits::default() };
    let mut fleet = Fleet::with_members(13, limits, 3, 0);
    fleet.start(8, Memory::default());
    let mut most = 0;
    for c in 1..400 {
        fleet.commit(c);
        let state = encode_state(&fleet.nodes[&1].state).len();
        most = most.max(fleet.agreement(1).store().bytes().len().saturating_sub(state));
        if c == 200 {
            fleet.kill(3);
        }
    }
    assert!(most < 6_000, "{most} bytes beyond the state");
    fleet.loss_permille = 200;
    fleet.change_membership(MembershipChange::AddLearner(8));
    let disk = fleet.nodes[&3].disk.clone();
    fleet.start(3, disk);
    fleet.run(10 * SECOND);
    fleet.loss_permille = 0;
    fleet.assert_converged();
    assert!(fleet.restored[&8] > 0 && fleet.restored[&3] > 0, "{:?}", fleet.restored);
}

/// A leader in a partition can't confirm that it leads: it steps down by itself, and its reads are rejected.
#[test]
fn a_leader_that_is_cut_off_confirms_nothing() {
    let mut fleet = Fleet::with_members(17, AgreementLimits::default(), 3, 1);
    fleet.commit(1);
    fleet.step(1, AgreementInput::ReadIndex { ticket: 90 });
    fleet.run(SECOND / 4);
    assert_eq!(fleet.outcomes.last(), Some(&(90, "readable")));
    for other in 2..=3 {
        fleet.cut_links.extend([(1, other), (other, 1)]);
    }
    fleet.step(1, AgreementInput::ReadIndex { ticket: 91 });
    fleet.step(1, AgreementInput::Propose { ticket: 92, command: 92u64.to_le_bytes().to_vec() });
    // The learner is still connected, and has no vote.
    fleet.run(SECOND / 4);
    assert!(fleet.agreement(1).leads() && !fleet.outcomes.iter().any(|(t, _)| (91..94).contains(t)));
    fleet.run_until("another leader", |f| f.leader() != Some(1) && f.leader().is_some());
    fleet.commit(2);
    let other = fleet.leader().unwrap();
    fleet.step(other, AgreementInput::ReadIndex { ticket: 93 });
    fleet.run(2 * SECOND);
    assert!(!fleet.agreement(1).leads());
    let end =
        |t| fleet.outcomes.iter().filter(|(ticket, _)| *ticket == t).map(|(_, e)| *e).collect::<Vec<_>>();
    assert_eq!((end(91), end(92), end(93)), (vec!["not leader"], vec!["unsure"], vec!["readable"]));
    fleet.cut_links.clear();
    fleet.assert_converged();
    assert!(!fleet.committed.values().any(|c| *c == 92));
}

/// After a pause longer than an election takes it steps down before it does anything else.
#[test]
fn a_leader_that_was_paused_steps_down_first() {
    let mut fleet = Fleet::with_members(19, AgreementLimits::default(), 3, 0);
    fleet.commit(1);
    let (mut agreement, now) = (fleet.agreement(1).clone(), fleet.now);
    assert!(agreement.leads());
    let out = agreement.step(AgreementInput::Propose { ticket: 5, command: vec![1] }, now + 5 * SECOND);
    assert!(
        matches!(
            out.last(),
            Some(AgreementOutput::Rejected { ticket: 5, reason: RejectReason::NotLeader, .. })
        ),
        "{out:?}"
    );
}

/// Truncated, damaged and invented messages are errors, after which the courier goes on.
#[test]
fn bytes_that_are_no_message_are_an_error() {
    let mut fleet = Fleet::with_members(23, AgreementLimits::default(), 3, 0);
    fleet.commit(1);
    fleet.step(1, AgreementInput::Propose { ticket: 2, command: 2u64.to_le_bytes().to_vec() });
    let message = |f: &Fleet| f.in_flight.values().find(|(from, to, _)| (*from, *to) == (1, 2)).cloned();
    let (_, _, bytes) = message(&fleet).unwrap();
    let now = fleet.now;
    let before = fleet.agreement(2).digest(now);
    let mut receive = |from, bytes: &[u8]| {
        let out = fleet.agreement(2).step(AgreementInput::Receive { from, bytes: bytes.to_vec() }, now);
        assert!(matches!(out[..], [AgreementOutput::Failed(AgreementError::Malformed { .. })]), "{out:?}");
    };
    for len in 0..bytes.len() {
        receive(1, &bytes[..len]);
        let mut damaged = bytes.clone();
        damaged[len] ^= 0x10;
        receive(1, &damaged);
    }
    receive(3, &bytes);
    let long = [&bytes[5..], &[0]].concat();
    receive(1, &[&bytes[..1], &crc32fast::hash(&long).to_le_bytes(), &long].concat());
    // Valid version and checksum, with an arbitrary body.
    for n in 0..2000u64 {
        let body: Vec<u8> =
            (0..n % 60).map(|i| (n.wrapping_mul(i + 7).wrapping_mul(0x9e37_79b9) >> 13) as u8).collect();
        let head = crc32fast::hash(&body).to_le_bytes();
        receive(1, &[&[1][..], &head, &body].concat());
    }
    assert_eq!(fleet.agreement(2).digest(now), before);
    fleet.commit(3);
    fleet.assert_converged();
}

/// A log restored from a backup lacks entries that it has acknowledged. A message of the leader reveals it.
#[test]
fn a_log_restored_from_a_backup_is_detected() {
    let mut fleet = Fleet::with_members(29, AgreementLimits::default(), 3, 0);
    let old = Memory::of(fleet.agreement(2).store().bytes().to_vec());
    (1..10).for_each(|c| fleet.commit(c));
    fleet.run(SECOND);
    fleet.kill(2);
    fleet.start(2, old);
    fleet.run(SECOND);
    assert!(matches!(fleet.errors[..], [AgreementError::Ahead { from: 1, .. }]), "{:?}", fleet.errors);
    assert!(fleet.agreement(2).is_halted());
}

/// Leadership goes to the other voter at once.
#[test]
fn a_leader_hands_over_without_an_election() {
    let mut fleet = Fleet::with_members(31, AgreementLimits::default(), 3, 0);
    fleet.commit(1);
    fleet.step(1, AgreementInput::TransferLeadership { to: 3 });
    fleet.run(SECOND / 20);
    assert_eq!(fleet.leader(), Some(3));
    fleet.commit(2);
    fleet.assert_converged();
}

/// Equal seeds lead to equal runs, and a clone taken at any moment goes on as the original does.
#[test]
fn runs_are_deterministic_and_clones_continue_like_the_original() {
    let run = |copies: bool| {
        let mut fleet =
            Fleet::with_members(37, AgreementLimits { log_bytes: 1_500, ..AgreementLimits::default() }, 3, 1);
        (fleet.loss_permille, fleet.duplicate_permille, fleet.max_delay) = (100, 50, 60_000);
        for c in 1..60 {
            let node_id = fleet.leader().unwrap_or(1);
            fleet.step(node_id, AgreementInput::Propose { ticket: c, command: c.to_le_bytes().to_vec() });
            fleet.step(node_id, AgreementInput::ReadIndex { ticket: 1000 + c });
            if c % 20 == 0 {
                fleet.cut_links = [(node_id, 2), (node_id, 3), (node_id, 1)].into();
            } else if c % 20 == 10 {
                fleet.cut_links.clear();
            }
            for _ in 0..40 {
                let until = fleet.now + SECOND / 20;
                fleet.next(until);
                let now = fleet.now;
                for node in fleet.nodes.values_mut().filter(|_| copies) {
                    let agreement = node.agreement.as_mut().unwrap();
                    let copy = agreement.clone();
                    assert_eq!(copy.digest(now), agreement.digest(now));
                    *agreement = copy;
                }
            }
        }
        let now = fleet.now;
        let digests: Vec<_> = (1..=4).map(|t| fleet.agreement(t).digest(now)).collect();
        (digests, fleet.outcomes, fleet.committed, fleet.leaders_by_term)
    };
    let first = run(false);
    assert!(first.3.len() > 2 && first.2.len() > 20, "{:?}", first.3);
    assert_eq!(run(false), first);
    assert_eq!(run(true), first);
}

/// A voter that was in a partition does not disturb the leader when it is back (pre-vote).
#[test]
fn a_voter_that_comes_back_does_not_call_an_election() {
    let mut fleet = Fleet::with_members(41, AgreementLimits::default(), 3, 0);
    let term = fleet.agreement(1).term();
    fleet.cut_links = [(2, 1), (2, 3), (1, 2), (3, 2)].into();
    fleet.run(5 * SECOND);
    assert_eq!((fleet.agreement(2).leader(), fleet.agreement(2).term()), (None, term));
    fleet.cut_links.clear();
    fleet.commit(1);
    fleet.assert_converged();
    assert_eq!((fleet.leader(), fleet.agreement(2).term()), (Some(1), term));
}

/// Two candidates request the vote of a third in the same term. It is killed between the requests, and remembers the
/// first.
#[test]
fn a_vote_outlasts_a_kill_and_a_new_leader_answers_nothing_before_its_first_entry() {
    let mut fleet = Fleet::with_members(43, AgreementLimits::default(), 3, 0);
    fleet.run(SECOND);
    let mut disks: Vec<_> = [1, 2, 3].map(|t| Memory::of(fleet.agreement(t).store().bytes().to_vec())).into();
    let open =
        |disk: &Memory| Agreement::open(disk.clone(), 9, AgreementLimits::default(), SECOND).unwrap().0;
    let message_to = |out: Vec<AgreementOutput>, whom: NodeId| {
        let mut bytes = out.into_iter().filter_map(|o| match o {
            AgreementOutput::Send { to, bytes } if to == whom => Some(bytes),
            _ => None,
        });
        bytes.next()
    };
    // Each of two candidates gets the third's pre-vote, and requests the vote itself.
    let request_vote = |node_id: NodeId| {
        let mut candidate = open(&disks[node_id as usize - 1]);
        let (mut now, mut pre_vote) = (SECOND, None);
        while pre_vote.is_none() {
            assert!(now < 10 * SECOND, "courier {node_id} calls no election");
            now += 50_000;
            pre_vote = message_to(candidate.step(AgreementInput::Tick, now), 3);
        }
        let mut third = open(&disks[2]);
        let reply = message_to(
            third.step(AgreementInput::Receive { from: node_id, bytes: pre_vote.unwrap() }, SECOND),
            node_id,
        );
        let vote =
            message_to(candidate.step(AgreementInput::Receive { from: 3, bytes: reply.unwrap() }, now), 3);
        (candidate, vote.unwrap(), now)
    };
    let ((mut one, request_one, at_one), (mut two, request_two, at_two)) = (request_vote(1), request_vote(2));
    assert_eq!(one.term(), two.term());
    let mut third = open(&disks[2]);
    let granted =
        message_to(third.step(AgreementInput::Receive { from: 1, bytes: request_one }, SECOND), 1).unwrap();
    disks[2] = third.into_store();
    let mut third = open(&disks[2]);
    if let Some(rejected) =
        message_to(third.step(AgreementInput::Receive { from: 2, bytes: request_two }, SECOND), 2)
    {
        two.step(AgreementInput::Receive { from: 3, bytes: rejected }, at_two);
    }
    one.step(AgreementInput::Receive { from: 3, bytes: granted }, at_one);
    assert!(one.leads() && !two.leads());
    let out = one.step(AgreementInput::ReadIndex { ticket: 1 }, at_one);
    assert!(
        matches!(out[..], [AgreementOutput::Rejected { ticket: 1, reason: RejectReason::Busy, .. }]),
        "{out:?}"
    );
}

/// Uncommitted entries are replaced by committed ones, in memory and in the file that a restarted process reads.
#[test]
fn later_entries_take_the_place_of_earlier_ones() {
    let mut fleet = Fleet::with_members(37, AgreementLimits::default(), 3, 0);
    fleet.commit(1);
    for other in 2..=3 {
        fleet.cut_links.extend([(1, other), (other, 1)]);
    }
    for command in [92, 93, 94u64] {
        let before = fleet.agreement(1).store().bytes().len();
        fleet.step(1, AgreementInput::Propose { ticket: command, command: command.to_le_bytes().to_vec() });
        assert!(fleet.agreement(1).store().bytes().len() > before, "it is written, and agreed on by nobody");
    }
    fleet.run_until("another leader", |f| f.leader() != Some(1) && f.leader().is_some());
    fleet.commit(2);
    fleet.cut_links.clear();
    fleet.assert_converged();
    fleet.kill(1);
    let disk = fleet.nodes[&1].disk.clone();
    fleet.start(1, disk);
    fleet.commit(3);
    fleet.assert_converged();
    assert!(!fleet.committed.values().any(|c| (92..95).contains(c)));
}

/// The records of the file format, version 1, as far as the tests here build them.
#[derive(serde::Serialize)]
enum FileRecord {
    Identity { form: u16, node_id: u64 },
    Append { hard_state: HardState, entries: Vec<Entry> },
}

/// Term, vote and commit.
type HardState = (u64, u64, u64);
/// Term, index and payload.
type Entry = (u64, u64, Payload);

#[derive(serde::Serialize)]
#[allow(dead_code)]
enum Payload {
    Noop,
    Command(Vec<u8>),
}

fn entry(index: u64, term: u64) -> Entry {
    (term, index, Payload::Command(vec![index as u8, term as u8]))
}

/// Opens a file of these records, all valid by themselves. Returns what is known to be committed.
fn open_with_records(written: Vec<(HardState, Vec<Entry>)>) -> Result<Vec<(u64, Vec<u8>)>, AgreementError> {
    let appends = written.into_iter().map(|(hard_state, entries)| FileRecord::Append { hard_state, entries });
    let mut bytes = Vec::new();
    for record in std::iter::once(FileRecord::Identity { form: 1, node_id: 5 }).chain(appends) {
        let body = postcard::to_stdvec(&record).unwrap();
        let len = u32::try_from(body.len()).unwrap().to_le_bytes();
        bytes.extend(
            [len, crc32fast::hash(&len).to_le_bytes(), crc32fast::hash(&body).to_le_bytes()].concat(),
        );
        bytes.extend(body);
    }
    let (agreement, opened) = Agreement::open(Memory::of(bytes), 99, AgreementLimits::default(), SECOND)?;
    assert_eq!((agreement.node_id(), opened.new), (5, false));
    Ok(opened.committed)
}

#[test]
fn the_last_entry_written_at_an_index_is_loaded() {
    let written = |commit| {
        open_with_records(vec![
            ((1, 7, 1), vec![entry(1, 1), entry(2, 1), entry(3, 1)]),
            ((2, 7, 1), vec![]),
            ((2, 7, commit), vec![entry(2, 2)]),
        ])
    };
    assert_eq!(written(2).unwrap(), [(1, vec![1, 1]), (2, vec![2, 2])]);
    assert!(matches!(written(3), Err(AgreementError::Damaged { .. })), "the third is there no more");
}

/// Valid records that can't follow each other count as damage.
#[test]
fn records_that_do_not_fit_are_damage() {
    let open = |commit, entry| {
        open_with_records(vec![((1, 7, commit), vec![entry])]).map(|committed| committed.len())
    };
    assert!(matches!(open(1, entry(1, 1)), Ok(1)));
    assert!(matches!(open(2, entry(1, 1)), Err(AgreementError::Damaged { .. })));
    assert!(matches!(open(0, entry(2, 1)), Err(AgreementError::Damaged { .. })));
    assert!(matches!(open(0, entry(0, 1)), Err(AgreementError::Damaged { .. })));
}
