//! Single replicas taken through a few steps: what each has to wait for, and what it refuses.

use crate::world::job;
use quillmount_batch::{Output, Replica, ReplicaIdentity, StoreRecord};
use quillmount_wire::messages::{DiskId, Epoch, MemberMessage, Response, ShardOperation, ShardView};

/// All runs, for the proof that deliberate breaks are found.
#[cfg(feature = "breaks")]
pub const ALL: [fn(); 7] = [
    a_primary_serves_only_once_its_epoch_is_on_its_disk,
    a_primary_serves_only_once_its_members_are_level,
    a_member_that_restarts_still_refuses_an_older_epoch,
    operations_of_an_older_session_are_refused,
    what_a_repair_sent_is_refused_once_the_member_is_level,
    a_primary_that_begins_again_counts_members_that_it_may_have_reported,
    a_dropped_job_stays_away_after_the_disk_is_written_anew,
];

const NOW: u64 = 1_000_000;

fn replica(disk: DiskId) -> Replica {
    Replica::new(ReplicaIdentity { disk, shard: 0, survivable: 1 })
}

fn view(epoch: Epoch, in_sync: &[DiskId], joining: &[DiskId]) -> ShardView {
    ShardView { epoch, primary: 1, since: 5, in_sync: in_sync.to_vec(), joining: joining.to_vec() }
}

/// A member's side of a run: answers what is asked of it, and syncs what is written.
#[derive(Default)]
struct Script {
    records: Vec<StoreRecord>,
    outputs: Vec<Output>,
    /// Members that answer.
    answering: Vec<DiskId>,
    /// Writes are synced.
    syncs: bool,
}

impl Script {
    /// Carries outputs out until nothing follows.
    fn carry_out(&mut self, replica: &mut Replica, outputs: Vec<Output>) {
        let mut queue = outputs;
        while !queue.is_empty() {
            let output = queue.remove(0);
            match &output {
                Output::Write { write, record } if self.syncs => {
                    self.records.push(record.clone());
                    queue.extend(replica.written(*write, true, NOW));
                }
                Output::Call { call, member, message, .. } if self.answering.contains(member) => {
                    let answer = match message {
                        MemberMessage::CompareBuckets { .. } => {
                            Response::DifferentBuckets { session: *member, buckets: Vec::new() }
                        }
                        MemberMessage::Replicate { first, operations, .. } => {
                            Response::Replicated { next: first + operations.len() as u64 }
                        }
                        _ => Response::Done,
                    };
                    queue.extend(replica.answered(*call, Some(answer), NOW));
                }
                _ => {}
            }
            self.outputs.push(output);
        }
    }

    fn has(&self, wanted: impl Fn(&Output) -> bool) -> bool {
        self.outputs.iter().any(wanted)
    }

    fn serves(&self) -> bool {
        self.has(|output| matches!(output, Output::Serving { .. }))
    }

    fn commits(&self) -> bool {
        self.has(|output| matches!(output, Output::Committed { .. }))
    }
}

#[test]
fn a_primary_serves_only_once_its_epoch_is_on_its_disk() {
    let mut primary = replica(1);
    let mut script = Script { answering: vec![2], ..Script::default() };
    let outputs = primary.follow_view(&view(5, &[1, 2], &[]), NOW);
    script.carry_out(&mut primary, outputs);
    assert!(!script.serves(), "its epoch is not synced yet");
    let write = script.outputs.iter().find_map(|output| match output {
        Output::Write { write, .. } => Some(*write),
        _ => None,
    });
    let outputs = primary.written(write.expect("its epoch is written"), true, NOW);
    script.syncs = true;
    script.carry_out(&mut primary, outputs);
    assert!(script.serves());
}

#[test]
fn a_primary_serves_only_once_its_members_are_level() {
    let mut primary = replica(1);
    let mut script = Script { answering: vec![3], syncs: true, ..Script::default() };
    let outputs = primary.follow_view(&view(5, &[1, 2], &[3]), NOW);
    script.carry_out(&mut primary, outputs);
    assert!(!script.serves(), "the member in sync did not answer");
}

#[test]
fn a_member_that_restarts_still_refuses_an_older_epoch() {
    let mut member = replica(2);
    let mut script = Script { syncs: true, ..Script::default() };
    let outputs = member.receive(1, 6, MemberMessage::CompareBuckets { buckets: Vec::new() }, 77);
    script.carry_out(&mut member, outputs);
    let level = MemberMessage::Install { session: 77, jobs: Vec::new(), next: Some(0) };
    let outputs = member.receive(2, 6, level, 0);
    script.carry_out(&mut member, outputs);
    let mut again = replica(2);
    script.records.drain(..).for_each(|record| again.recover(record));
    let outputs = again.receive(3, 5, MemberMessage::Confirm, 0);
    assert_eq!(outputs, [Output::Answer { request: 3, response: Response::WrongEpoch }]);
}

/// A member that is level in the session of this number.
fn level_member(session: u64) -> (Replica, Script) {
    let mut member = replica(2);
    let mut script = Script { syncs: true, ..Script::default() };
    let outputs = member.receive(1, 5, MemberMessage::CompareBuckets { buckets: Vec::new() }, session);
    script.carry_out(&mut member, outputs);
    let outputs =
        member.receive(2, 5, MemberMessage::Install { session, jobs: Vec::new(), next: Some(0) }, 0);
    script.carry_out(&mut member, outputs);
    (member, script)
}

fn submit(session: u64, id: &str) -> MemberMessage {
    let operations = vec![ShardOperation::Submit(job(id))];
    MemberMessage::Replicate { session, first: 0, operations }
}

#[test]
fn operations_of_an_older_session_are_refused() {
    let (mut member, mut script) = level_member(70);
    let outputs = member.receive(3, 5, MemberMessage::CompareBuckets { buckets: Vec::new() }, 71);
    script.carry_out(&mut member, outputs);
    let level = MemberMessage::Install { session: 71, jobs: Vec::new(), next: Some(0) };
    let outputs = member.receive(4, 5, level, 0);
    script.carry_out(&mut member, outputs);
    let outputs = member.receive(5, 5, submit(70, "old"), 0);
    assert_eq!(outputs, [Output::Answer { request: 5, response: Response::Behind }]);
}

#[test]
fn what_a_repair_sent_is_refused_once_the_member_is_level() {
    let (mut member, mut script) = level_member(70);
    let outputs = member.receive(3, 5, submit(70, "a"), 0);
    script.carry_out(&mut member, outputs);
    let late = MemberMessage::CompareJobs { session: 70, buckets: (0..64).collect(), jobs: Vec::new() };
    let outputs = member.receive(4, 5, late, 0);
    assert_eq!(outputs, [Output::Answer { request: 4, response: Response::Behind }]);
}

#[test]
fn a_primary_that_begins_again_counts_members_that_it_may_have_reported() {
    let mut primary = replica(1);
    let mut script = Script { answering: vec![2, 3], syncs: true, ..Script::default() };
    let outputs = primary.follow_view(&view(5, &[1, 2], &[3]), NOW);
    script.carry_out(&mut primary, outputs);
    assert!(primary.report().is_some_and(|report| report.caught_up == [3]));
    // Its process starts again in the same view; the report may still be on its way to the core.
    let mut again = replica(1);
    script.records.iter().cloned().for_each(|record| again.recover(record));
    let mut script = Script { answering: vec![2], syncs: true, ..Script::default() };
    let outputs = again.follow_view(&view(5, &[1, 2], &[3]), NOW);
    script.carry_out(&mut again, outputs);
    let outputs = again.commit(1, ShardOperation::Submit(job("a")), NOW);
    script.carry_out(&mut again, outputs);
    assert!(!script.commits(), "the joining member may count as in sync by now");
    // A view without it takes the doubt away.
    let outputs = again.follow_view(&view(6, &[1, 2], &[]), NOW);
    script.carry_out(&mut again, outputs);
    assert!(script.commits());
}

#[test]
fn a_dropped_job_stays_away_after_the_disk_is_written_anew() {
    let (mut member, mut script) = level_member(70);
    let outputs = member.receive(3, 5, submit(70, "a"), 0);
    script.carry_out(&mut member, outputs);
    // The next primary does not have the job; the record that drops it can't be written.
    let outputs = member.receive(4, 6, MemberMessage::CompareBuckets { buckets: Vec::new() }, 71);
    script.carry_out(&mut member, outputs);
    let compare = MemberMessage::CompareJobs { session: 71, buckets: (0..64).collect(), jobs: Vec::new() };
    let outputs = member.receive(5, 6, compare, 0);
    let write = outputs.iter().find_map(|output| match output {
        Output::Write { write, .. } => Some(*write),
        _ => None,
    });
    let outputs = member.written(write.expect("the drop is written"), false, NOW);
    assert!(outputs.contains(&Output::Answer { request: 5, response: Response::Full }));
    script.carry_out(&mut member, outputs);
    let outputs = member.tick(NOW);
    script.carry_out(&mut member, outputs);
    assert!(!member.is_damaged());
    let mut again = replica(2);
    script.records.drain(..).for_each(|record| again.recover(record));
    assert!(again.jobs().jobs.is_empty(), "the job that was dropped came back");
}

/// A rewrite under way began before what asks now: only the next one counts for it.
#[test]
fn a_rewrite_that_was_asked_for_begins_after_the_asking() {
    let (mut member, mut script) = level_member(70);
    let outputs = member.receive(3, 5, submit(70, "a"), 0);
    script.carry_out(&mut member, outputs);
    let first = member.rewrite(11);
    let second = member.rewrite(12);
    assert!(second.is_empty(), "the first is under way");
    script.outputs.clear();
    script.carry_out(&mut member, first);
    let done = |request: u64| Output::Rewritten { request, complete: true };
    let places = [11, 12].map(|request| script.outputs.iter().position(|output| *output == done(request)));
    assert!(matches!(places, [Some(first), Some(second)] if first < second), "{places:?}");
    let wholes = script
        .outputs
        .iter()
        .filter(|output| matches!(output, Output::Write { record: StoreRecord::Whole { .. }, .. }));
    assert_eq!(wholes.count(), 2);
}
