//! Encoding of the agreement's messages and log files.

use crate::common::SEC;
use crate::values::{FIXTURES, commands};
use quillmount_core::store::Memory;
use quillmount_fleet::agreement::{
    Agreement, AgreementInput, AgreementLimits, AgreementOutput, MembershipChange,
};
use std::collections::{BTreeMap, BTreeSet};

/// A simulated Raft group of three couriers over reliable links, with all sent messages in order.
#[derive(Default)]
struct AgreementRun {
    now: u64,
    nodes: BTreeMap<u64, Agreement<Memory>>,
    state: BTreeMap<u64, (u64, Vec<u8>)>,
    sent: Vec<(u64, u64, Vec<u8>)>,
    delivered_count: usize,
    /// The courier that is disconnected from all others.
    isolated: Option<u64>,
}

impl AgreementRun {
    fn start(&mut self, node_id: u64) {
        let limits = AgreementLimits { seed: 7, ..AgreementLimits::default() };
        let (node, _) = Agreement::open(Memory::default(), node_id, limits, self.now).unwrap();
        self.nodes.insert(node_id, node);
        self.state.insert(node_id, Default::default());
    }

    fn handle(&mut self, node_id: u64, out: Vec<AgreementOutput>) {
        let mut snapshot_wanted = false;
        for output in out {
            match output {
                AgreementOutput::Send { to, bytes } => self.sent.push((node_id, to, bytes)),
                AgreementOutput::Committed { index, command, .. } => {
                    let (through, state) = self.state.get_mut(&node_id).unwrap();
                    *through = index;
                    state.extend(command);
                }
                AgreementOutput::Restored { index, state } => {
                    drop(self.state.insert(node_id, (index, state)));
                }
                AgreementOutput::SnapshotRequested => snapshot_wanted = true,
                _ => {}
            }
        }
        if snapshot_wanted {
            self.snapshot(node_id);
        }
    }

    fn step(&mut self, node_id: u64, input: AgreementInput) {
        let out = self.nodes.get_mut(&node_id).unwrap().step(input, self.now);
        self.handle(node_id, out);
    }

    /// Delivers all messages, and runs the ticks of this time span in microseconds.
    fn run(&mut self, span: u64) {
        let until = self.now + span;
        loop {
            while self.delivered_count < self.sent.len() {
                let (from, to, bytes) = self.sent[self.delivered_count].clone();
                self.delivered_count += 1;
                if self.nodes.contains_key(&to) && ![Some(from), Some(to)].contains(&self.isolated) {
                    self.step(to, AgreementInput::Receive { from, bytes });
                }
            }
            let wake =
                self.nodes.iter().filter_map(|(node_id, node)| Some((node.wake_at()?, *node_id))).min();
            let Some((at, node_id)) = wake.filter(|(at, _)| *at <= until) else { break };
            self.now = self.now.max(at);
            self.step(node_id, AgreementInput::Tick);
        }
        self.now = until;
    }

    fn snapshot(&mut self, node_id: u64) {
        let (through, state) = self.state[&node_id].clone();
        self.step(node_id, AgreementInput::Snapshot { through, state });
    }

    /// Runs a scenario with elections, commands, membership changes of each kind, a snapshot for a lagging courier,
    /// and a transfer of leadership.
    fn run_scenario() -> AgreementRun {
        let mut all = AgreementRun { now: SEC, ..AgreementRun::default() };
        all.start(1);
        let out = all.nodes.get_mut(&1).unwrap().bootstrap(SEC).unwrap();
        all.handle(1, out);
        all.run(SEC);
        for (ticket, node_id) in [(10, 2), (20, 3), (30, 4)] {
            all.start(node_id);
            all.step(
                1,
                AgreementInput::ChangeMembership { ticket, change: MembershipChange::AddLearner(node_id) },
            );
            all.run(SEC / 2);
            if node_id < 4 {
                all.step(
                    1,
                    AgreementInput::ChangeMembership {
                        ticket: ticket + 1,
                        change: MembershipChange::Promote(node_id),
                    },
                );
                all.run(SEC / 2);
            }
        }
        for (n, command) in (0..).zip(commands()) {
            let command = postcard::to_stdvec(&command).unwrap();
            all.step(1, AgreementInput::Propose { ticket: 100 + n, command });
        }
        all.run(SEC / 2);
        all.step(1, AgreementInput::ReadIndex { ticket: 200 });
        all.run(SEC / 2);
        // A voter is disconnected while the others continue and compact their logs.
        all.isolated = Some(3);
        all.step(1, AgreementInput::ChangeMembership { ticket: 40, change: MembershipChange::Remove(4) });
        all.run(SEC / 2);
        all.nodes.remove(&4);
        all.step(1, AgreementInput::Propose { ticket: 300, command: b"behind".to_vec() });
        all.run(SEC / 2);
        [1, 2].into_iter().for_each(|node_id| all.snapshot(node_id));
        all.step(1, AgreementInput::Propose { ticket: 301, command: b"after the snapshot".to_vec() });
        all.run(3 * SEC);
        all.isolated = None;
        all.run(2 * SEC);
        let leader = *all.nodes.iter().find(|(_, node)| node.is_leader()).unwrap().0;
        all.step(leader, AgreementInput::TransferLeadership { to: leader % 3 + 1 });
        all.run(2 * SEC);
        // The leader is disconnected, and the others elect a new one.
        all.isolated = all.nodes.iter().find(|(_, node)| node.is_leader()).map(|(node_id, _)| *node_id);
        all.run(5 * SEC);
        all.isolated = None;
        all.run(2 * SEC);
        all
    }
}

#[test]
fn agreement_messages_keep_their_encoding() {
    let all = AgreementRun::run_scenario();
    let stored = FIXTURES.check("agreement_messages.bin", &postcard::to_stdvec(&all.sent).unwrap());
    let stored: Vec<(u64, u64, Vec<u8>)> = postcard::from_bytes(&stored).unwrap();
    assert_eq!(stored, all.sent);
    // The byte after version and checksum is the message type. All ten types occur.
    let kinds: BTreeSet<u8> = stored.iter().map(|(.., bytes)| bytes[5]).collect();
    assert_eq!(kinds, (0..10).collect());
    assert!(stored.iter().all(|(.., bytes)| bytes[0] == 1));
}

#[test]
fn agreement_logs_keep_their_encoding() {
    let all = AgreementRun::run_scenario();
    for (node_id, node) in all.nodes {
        let name = format!("agreement_log_{node_id}.bin");
        let (term, voters, applied) = (node.term(), node.voters(), all.state[&node_id].clone());
        let stored = FIXTURES.check(&name, node.into_store().bytes());
        for torn in [0, 1, 5] {
            let bytes = [&stored[..], &stored[..torn]].concat();
            let opened = Agreement::open(Memory::from_bytes(bytes), 99, AgreementLimits::default(), SEC);
            let (reopened, opened) = opened.unwrap();
            assert_eq!((reopened.node_id(), opened.is_new), (node_id, false));
            assert_eq!((reopened.term(), reopened.voters()), (term, voters.clone()));
            assert_eq!(voters, [1, 2, 3]);
            let state: Vec<u8> = [opened.state]
                .into_iter()
                .chain(opened.committed.into_iter().map(|committed| committed.command))
                .flatten()
                .collect();
            assert_eq!(state, applied.1);
            assert_eq!(reopened.into_store().bytes(), stored, "only the incomplete last record is removed");
        }
    }
}
