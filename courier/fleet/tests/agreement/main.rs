//! Tests of the agreement on a virtual clock, over links that lose, duplicate and delay messages or are cut. All runs
//! are determined by seeds.

mod fleet;
mod records;

use fleet::{Fleet, SECOND, decode_commands, decode_state, encode_state, run_over_faulty_links};
use quillmount_core::store::{Fault, Memory};
use quillmount_fleet::NodeId;
use quillmount_fleet::agreement::{
    Agreement, AgreementError, AgreementInput, AgreementLimits, AgreementOutput, CommittedCommand,
    MembershipChange, RejectReason,
};
use quillmount_test_support::digest::{SEEDS, compare_with_file};
use records::{entry, open_with_records};

#[test]
fn one_three_and_five_voters_commit_and_continue_without_their_leader() {
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

/// Couriers commit the same commands although links lose, duplicate and reorder messages, and network partitions come
/// and go.
#[test]
fn all_couriers_commit_the_same_commands_over_faulty_links() {
    for seed in 0..12 {
        let fleet = run_over_faulty_links(seed);
        assert!(fleet.acknowledged.len() > 20, "seed {seed}: only {}", fleet.acknowledged.len());
    }
}

#[test]
fn the_first_fifty_seeds_give_the_same_counts() {
    let count_line = |seed: u64| {
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
    let lines: String = SEEDS.map(count_line).collect();
    let file = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/digests/agreement.txt");
    compare_with_file(&file, &lines);
}

/// Guards against lost state after a crash during a write. One courier is killed in each of its writes in turn, at the
/// beginning, in the middle and at the end of the write, and restarts.
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
        fleet.agreement(victim).store_mut().set_fault(Fault::None);
        run_scenario(&mut fleet, victim);
        let writes = fleet.agreement(victim).store().writes();
        assert!(writes > 20, "{writes}");
        let mut died = 0;
        for after in 0..writes {
            for bytes in [0, 5, 20, usize::MAX] {
                let mut fleet = Fleet::with_members(victim, limits(), 3, 1);
                fleet.agreement(victim).store_mut().set_fault(Fault::Crash { after, bytes });
                run_scenario(&mut fleet, victim);
                died += u32::from(fleet.agreement(victim).store().writes() < writes);
            }
        }
        assert!(died >= writes * 3, "{died} of {writes}");
    }
}

/// Each prefix of the log opens to the contents of its complete records: never more than the whole log contains, and
/// never less than a shorter prefix. A damaged byte is an error and is not treated as an incomplete record.
#[test]
fn every_prefix_of_the_log_opens_and_damaged_logs_are_rejected() {
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
    let open = |bytes: &[u8]| {
        Agreement::open(Memory::from_bytes(bytes.to_vec()), 99, AgreementLimits::default(), SECOND)
    };
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
        assert_eq!(opened.is_new, agreement.node_id() == 99, "at {len}");
        let state = [decode_state(&opened.state), decode_commands(&opened.committed)].concat();
        assert!(complete_state.starts_with(&state), "at {len}");
        let now = (agreement.term(), state.len());
        assert!(before <= now, "at {len}: {before:?} {now:?}");
        before = now;
        // An incomplete record must be removed from the file, as later records would never be read after it.
        let complete_len = record_ends.iter().rfind(|end| **end <= len).unwrap();
        assert!(opened.is_new || agreement.store().bytes() == &bytes[..*complete_len], "at {len}");
        let (reopened, contents) = open(agreement.store().bytes()).unwrap();
        let same =
            (reopened.node_id(), reopened.term(), contents.committed == opened.committed, contents.is_new);
        assert_eq!(same, (agreement.node_id(), agreement.term(), true, false), "at {len}");
    }
    for at in 0..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[at] ^= 0x40;
        assert!(matches!(open(&damaged), Err(AgreementError::Damaged { .. })), "damaged at {at}");
    }
}

/// A courier whose disk is full sends no more messages. The others continue, and the courier can restart when the
/// disk has space.
#[test]
fn a_courier_that_cannot_write_halts() {
    for victim in [1, 2] {
        let mut fleet = Fleet::with_members(7, AgreementLimits::default(), 3, 0);
        (1..5).for_each(|c| fleet.commit(c));
        fleet.agreement(victim).store_mut().set_fault(Fault::Full { after: 0 });
        let sent = fleet.sends_by_node.clone();
        fleet.step(1, AgreementInput::Propose { ticket: 5, command: 5u64.to_le_bytes().to_vec() });
        if victim == 1 {
            assert_eq!(fleet.outcomes.last(), Some(&(5, "indeterminate")));
            assert_eq!(fleet.sends_by_node, sent, "sent messages before their state was written");
        }
        fleet.run(3 * SECOND);
        assert!(fleet.agreement(victim).is_halted());
        assert!(matches!(fleet.errors[..], [AgreementError::Store { .. }]), "{:?}", fleet.errors);
        fleet.step(victim, AgreementInput::Propose { ticket: 6, command: vec![1] });
        assert_eq!(fleet.outcomes.last(), Some(&(6, "halted")));
        let sent = fleet.sends_by_node[&victim];
        (10..15).for_each(|c| fleet.commit(c));
        assert_eq!(fleet.sends_by_node[&victim], sent);
        fleet.kill(victim);
        let disk = fleet.nodes[&victim].disk.clone();
        fleet.start(victim, disk);
        fleet.assert_converged();
    }
}

/// A voter that has lost its data directory joins as a new learner under a new id, and the old id is removed.
/// Commands are committed between all steps.
#[test]
fn a_voter_with_a_lost_folder_is_replaced_while_serving() {
    for lost in [1, 3] {
        let mut fleet = Fleet::with_members(11, AgreementLimits::default(), 3, 0);
        (1..10).for_each(|c| fleet.commit(c));
        fleet.kill(lost);
        fleet.nodes.remove(&lost);
        fleet.start(9, Memory::default());
        fleet.commit(10);
        assert!(fleet.agreement(9).voters().is_empty(), "a new courier knows no voters");
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
        // The lost courier is no longer a voter, so the three voters survive the loss of another one.
        let leader = fleet.leader().unwrap();
        fleet.kill(leader);
        fleet.commit(14);
    }
}

/// The leader can't be removed, each change must leave a majority of reachable voters, and an unreachable learner can't
/// be promoted.
#[test]
fn changes_that_risk_the_quorum_are_rejected() {
    let mut fleet = Fleet::with_members(5, AgreementLimits::default(), 3, 1);
    let outcome = |fleet: &mut Fleet, ticket, change| {
        fleet.step(1, AgreementInput::ChangeMembership { ticket, change });
        fleet.run(SECOND / 4);
        fleet.outcomes.iter().rfind(|(t, _)| *t == ticket).map(|(_, outcome)| *outcome)
    };
    assert_eq!(
        outcome(&mut fleet, 1, MembershipChange::AddLearner(1)),
        Some("quorum at risk"),
        "the leader itself"
    );
    assert_eq!(outcome(&mut fleet, 2, MembershipChange::Promote(77)), Some("other"));
    assert_eq!(outcome(&mut fleet, 3, MembershipChange::Remove(1)), Some("quorum at risk"));
    fleet.kill(4);
    fleet.run(SECOND);
    assert_eq!(outcome(&mut fleet, 4, MembershipChange::Promote(4)), Some("learner behind"));
    fleet.kill(3);
    fleet.run(SECOND);
    assert_eq!(outcome(&mut fleet, 5, MembershipChange::Remove(2)), Some("quorum at risk"));
    assert_eq!(outcome(&mut fleet, 6, MembershipChange::Remove(3)), Some("changed"));
    fleet.step(1, AgreementInput::ChangeMembership { ticket: 7, change: MembershipChange::AddLearner(50) });
    fleet.step(1, AgreementInput::ChangeMembership { ticket: 8, change: MembershipChange::AddLearner(51) });
    assert_eq!(fleet.outcomes.last(), Some(&(8, "busy")), "only one change at a time is accepted");
}

/// The log is compacted as it grows, and a learner that joins late receives a snapshot, over links with heavy loss.
#[test]
fn the_log_is_compacted_and_a_late_learner_receives_a_snapshot() {
    let limits = AgreementLimits { log_bytes: 4_000, ..AgreementLimits::default() };
    let mut fleet = Fleet::with_members(13, limits, 3, 0);
    fleet.start(8, Memory::default());
    let mut max_excess = 0;
    for c in 1..400 {
        fleet.commit(c);
        let state = encode_state(&fleet.nodes[&1].state).len();
        max_excess = max_excess.max(fleet.agreement(1).store().bytes().len().saturating_sub(state));
        if c == 200 {
            fleet.kill(3);
        }
    }
    assert!(max_excess < 6_000, "the log exceeds the state by {max_excess} bytes");
    fleet.loss_permille = 200;
    fleet.change_membership(MembershipChange::AddLearner(8));
    let disk = fleet.nodes[&3].disk.clone();
    fleet.start(3, disk);
    fleet.run(10 * SECOND);
    fleet.loss_permille = 0;
    fleet.assert_converged();
    assert!(fleet.restored[&8] > 0 && fleet.restored[&3] > 0, "{:?}", fleet.restored);
}

/// A leader in a minority partition can't confirm its leadership: it steps down, and its reads are rejected.
#[test]
fn a_partitioned_leader_confirms_no_reads() {
    let mut fleet = Fleet::with_members(17, AgreementLimits::default(), 3, 1);
    fleet.commit(1);
    fleet.step(1, AgreementInput::ReadIndex { ticket: 90 });
    fleet.run(SECOND / 4);
    assert_eq!(fleet.outcomes.last(), Some(&(90, "read ready")));
    for other in 2..=3 {
        fleet.cut_links.extend([(1, other), (other, 1)]);
    }
    fleet.step(1, AgreementInput::ReadIndex { ticket: 91 });
    fleet.step(1, AgreementInput::Propose { ticket: 92, command: 92u64.to_le_bytes().to_vec() });
    // The learner is still connected but has no vote.
    fleet.run(SECOND / 4);
    assert!(fleet.agreement(1).is_leader() && !fleet.outcomes.iter().any(|(t, _)| (91..94).contains(t)));
    fleet.run_until("another leader", |f| f.leader() != Some(1) && f.leader().is_some());
    fleet.commit(2);
    let other = fleet.leader().unwrap();
    fleet.step(other, AgreementInput::ReadIndex { ticket: 93 });
    fleet.run(2 * SECOND);
    assert!(!fleet.agreement(1).is_leader());
    let outcomes = |t| {
        fleet
            .outcomes
            .iter()
            .filter(|(ticket, _)| *ticket == t)
            .map(|(_, outcome)| *outcome)
            .collect::<Vec<_>>()
    };
    assert_eq!(
        (outcomes(91), outcomes(92), outcomes(93)),
        (vec!["not leader"], vec!["indeterminate"], vec!["read ready"])
    );
    fleet.cut_links.clear();
    fleet.assert_converged();
    assert!(!fleet.committed.values().any(|c| *c == 92));
}

/// A leader whose process was suspended for longer than an election takes steps down before it accepts a proposal.
#[test]
fn a_leader_that_was_suspended_steps_down_first() {
    let mut fleet = Fleet::with_members(19, AgreementLimits::default(), 3, 0);
    fleet.commit(1);
    let (mut agreement, now) = (fleet.agreement(1).clone(), fleet.now);
    assert!(agreement.is_leader());
    let out = agreement.step(AgreementInput::Propose { ticket: 5, command: vec![1] }, now + 5 * SECOND);
    assert!(
        matches!(
            out.last(),
            Some(AgreementOutput::Rejected { ticket: 5, reason: RejectReason::NotLeader, .. })
        ),
        "{out:?}"
    );
}

/// Truncated, damaged and arbitrary bytes are rejected as errors, after which the courier continues.
#[test]
fn malformed_messages_are_rejected() {
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

/// A log that was restored from a backup lacks entries that the courier has acknowledged. It must be detected from the
/// leader's messages, as the courier could vote twice.
#[test]
fn a_log_restored_from_a_backup_is_detected() {
    let mut fleet = Fleet::with_members(29, AgreementLimits::default(), 3, 0);
    let old = Memory::from_bytes(fleet.agreement(2).store().bytes().to_vec());
    (1..10).for_each(|c| fleet.commit(c));
    fleet.run(SECOND);
    fleet.kill(2);
    fleet.start(2, old);
    fleet.run(SECOND);
    assert!(
        matches!(fleet.errors[..], [AgreementError::AcknowledgedEntryMissing { from: 1, .. }]),
        "{:?}",
        fleet.errors
    );
    assert!(fleet.agreement(2).is_halted());
}

/// Leadership is transferred to another voter before the election timeout.
#[test]
fn leadership_is_transferred_without_an_election_timeout() {
    let mut fleet = Fleet::with_members(31, AgreementLimits::default(), 3, 0);
    fleet.commit(1);
    fleet.step(1, AgreementInput::TransferLeadership { to: 3 });
    fleet.run(SECOND / 20);
    assert_eq!(fleet.leader(), Some(3));
    fleet.commit(2);
    fleet.assert_converged();
}

/// Equal seeds lead to equal runs, and a clone behaves like the original from any step on.
#[test]
fn runs_are_deterministic_and_clones_continue_like_the_original() {
    let run = |use_clones: bool| {
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
                for node in fleet.nodes.values_mut().filter(|_| use_clones) {
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

/// Pre-vote: a voter that was in a network partition does not disturb the leader after it reconnects.
#[test]
fn a_reconnected_voter_does_not_start_an_election() {
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

/// Guards against a double vote and against early reads. Two candidates request the vote of a third courier in the same
/// term, which is killed between the requests: its stored vote must prevent a second one. The new leader rejects reads
/// before it has committed an entry.
#[test]
fn a_vote_survives_a_kill_and_a_new_leader_rejects_reads_before_its_first_entry() {
    let mut fleet = Fleet::with_members(43, AgreementLimits::default(), 3, 0);
    fleet.run(SECOND);
    let mut disks: Vec<_> =
        [1, 2, 3].map(|t| Memory::from_bytes(fleet.agreement(t).store().bytes().to_vec())).into();
    let open =
        |disk: &Memory| Agreement::open(disk.clone(), 9, AgreementLimits::default(), SECOND).unwrap().0;
    let message_to = |out: Vec<AgreementOutput>, receiver: NodeId| {
        let mut bytes = out.into_iter().filter_map(|o| match o {
            AgreementOutput::Send { to, bytes } if to == receiver => Some(bytes),
            _ => None,
        });
        bytes.next()
    };
    // Each of the two candidates gets the third courier's pre-vote and then requests its vote.
    let request_vote = |node_id: NodeId| {
        let mut candidate = open(&disks[node_id as usize - 1]);
        let (mut now, mut pre_vote) = (SECOND, None);
        while pre_vote.is_none() {
            assert!(now < 10 * SECOND, "courier {node_id} starts no election");
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
    assert!(one.is_leader() && !two.is_leader());
    let out = one.step(AgreementInput::ReadIndex { ticket: 1 }, at_one);
    assert!(
        matches!(out[..], [AgreementOutput::Rejected { ticket: 1, reason: RejectReason::Busy, .. }]),
        "{out:?}"
    );
}

/// Entries of a new leader replace uncommitted entries, both in memory and in the file that a restarted process reads.
#[test]
fn later_entries_replace_earlier_ones() {
    let mut fleet = Fleet::with_members(37, AgreementLimits::default(), 3, 0);
    fleet.commit(1);
    for other in 2..=3 {
        fleet.cut_links.extend([(1, other), (other, 1)]);
    }
    for command in [92, 93, 94u64] {
        let before = fleet.agreement(1).store().bytes().len();
        fleet.step(1, AgreementInput::Propose { ticket: command, command: command.to_le_bytes().to_vec() });
        assert!(fleet.agreement(1).store().bytes().len() > before, "the entry is written but not committed");
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

#[test]
fn the_last_entry_written_at_an_index_is_loaded() {
    let written = |commit| {
        open_with_records(vec![
            ((1, 7, 1), vec![entry(1, 1), entry(2, 1), entry(3, 1)]),
            ((2, 7, 1), vec![]),
            ((2, 7, commit), vec![entry(2, 2)]),
        ])
    };
    let expected =
        [(1, vec![1, 1]), (2, vec![2, 2])].map(|(index, command)| CommittedCommand { index, command });
    assert_eq!(written(2).unwrap(), expected);
    assert!(matches!(written(3), Err(AgreementError::Damaged { .. })), "the third entry was overwritten");
}

/// Records that are valid individually but can't follow each other are reported as damage.
#[test]
fn records_that_cannot_follow_each_other_are_damage() {
    let open = |commit, entry| {
        open_with_records(vec![((1, 7, commit), vec![entry])]).map(|committed| committed.len())
    };
    assert!(matches!(open(1, entry(1, 1)), Ok(1)));
    assert!(matches!(open(2, entry(1, 1)), Err(AgreementError::Damaged { .. })));
    assert!(matches!(open(0, entry(2, 1)), Err(AgreementError::Damaged { .. })));
    assert!(matches!(open(0, entry(0, 1)), Err(AgreementError::Damaged { .. })));
}
