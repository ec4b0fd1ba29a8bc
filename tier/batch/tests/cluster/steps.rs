//! Single replicas in short sequences of steps: what each one waits for, and what it rejects.

use crate::jobs::job;
use quillmount_batch::{ShardAction, ShardReplica, ShardReplicaId, StoreRecord};
use quillmount_wire::messages::{DiskId, Epoch, Response, ShardMessage, ShardOperation, ShardView};

/// All tests of this module that have to detect deliberate breaks.
#[cfg(feature = "breaks")]
pub const ALL: [fn(); 7] = [
    a_primary_serves_only_once_its_epoch_is_on_its_disk,
    a_primary_serves_only_once_its_members_have_caught_up,
    a_member_that_restarts_still_refuses_an_older_epoch,
    operations_of_an_older_session_are_refused,
    repair_messages_are_refused_once_the_member_has_caught_up,
    a_restarted_primary_counts_members_that_it_may_have_reported,
    a_dropped_job_stays_dropped_after_a_rewrite,
];

/// Virtual time of all steps, microseconds.
const NOW: u64 = 1_000_000;

/// A replica with an empty disk, in a shard that tolerates one failure.
fn replica(disk: DiskId) -> ShardReplica {
    ShardReplica::new(ShardReplicaId { disk, shard: 0, tolerated_failures: 1 })
}

/// Returns a view in which member 1 is the primary.
fn view(epoch: Epoch, in_sync: &[DiskId], joining: &[DiskId]) -> ShardView {
    ShardView { epoch, primary: 1, primary_since: 5, in_sync: in_sync.to_vec(), joining: joining.to_vec() }
}

/// The environment of one replica: members that answer, and a disk that syncs or does not.
#[derive(Default)]
struct Script {
    records: Vec<StoreRecord>,
    actions: Vec<ShardAction>,
    /// Members that answer calls.
    answering: Vec<DiskId>,
    /// Whether writes are synced.
    syncs: bool,
}

impl Script {
    /// Performs actions until no more follow.
    fn perform_all(&mut self, replica: &mut ShardReplica, actions: Vec<ShardAction>) {
        let mut queue = actions;
        while !queue.is_empty() {
            let action = queue.remove(0);
            match &action {
                ShardAction::Write { write, record } if self.syncs => {
                    self.records.push(record.clone());
                    queue.extend(replica.on_written(*write, true, NOW));
                }
                ShardAction::Call { call, member, message, .. } if self.answering.contains(member) => {
                    let answer = match message {
                        ShardMessage::CompareBuckets { .. } => {
                            Response::DifferentBuckets { session: *member, buckets: Vec::new() }
                        }
                        ShardMessage::Replicate { first, operations, .. } => {
                            Response::Replicated { next: first + operations.len() as u64 }
                        }
                        _ => Response::Done,
                    };
                    queue.extend(replica.on_answer(*call, Some(answer), NOW));
                }
                _ => {}
            }
            self.actions.push(action);
        }
    }

    /// Returns whether any action so far matches.
    fn has_action(&self, matches: impl Fn(&ShardAction) -> bool) -> bool {
        self.actions.iter().any(matches)
    }

    /// Returns whether the replica has started to serve.
    fn serves(&self) -> bool {
        self.has_action(|action| matches!(action, ShardAction::Serving { .. }))
    }

    /// Returns whether the replica has committed an operation.
    fn commits(&self) -> bool {
        self.has_action(|action| matches!(action, ShardAction::Committed { .. }))
    }
}

#[test]
fn a_primary_serves_only_once_its_epoch_is_on_its_disk() {
    let mut primary = replica(1);
    let mut script = Script { answering: vec![2], ..Script::default() };
    let actions = primary.follow_view(&view(5, &[1, 2], &[]), NOW);
    script.perform_all(&mut primary, actions);
    assert!(!script.serves(), "serves before its epoch is synced");
    let write = script.actions.iter().find_map(|action| match action {
        ShardAction::Write { write, .. } => Some(*write),
        _ => None,
    });
    let actions = primary.on_written(write.expect("no write of the epoch"), true, NOW);
    script.syncs = true;
    script.perform_all(&mut primary, actions);
    assert!(script.serves());
}

#[test]
fn a_primary_serves_only_once_its_members_have_caught_up() {
    let mut primary = replica(1);
    let mut script = Script { answering: vec![3], syncs: true, ..Script::default() };
    let actions = primary.follow_view(&view(5, &[1, 2], &[3]), NOW);
    script.perform_all(&mut primary, actions);
    assert!(!script.serves(), "serves although the member in sync did not answer");
}

#[test]
fn a_member_that_restarts_still_refuses_an_older_epoch() {
    let mut member = replica(2);
    let mut script = Script { syncs: true, ..Script::default() };
    let actions = member.receive(1, 6, ShardMessage::CompareBuckets { buckets: Vec::new() }, 77);
    script.perform_all(&mut member, actions);
    let last_step = ShardMessage::Install { session: 77, jobs: Vec::new(), next: Some(0) };
    let actions = member.receive(2, 6, last_step, 0);
    script.perform_all(&mut member, actions);
    let mut restarted = replica(2);
    script.records.drain(..).for_each(|record| restarted.recover(record));
    let actions = restarted.receive(3, 5, ShardMessage::Confirm, 0);
    assert_eq!(actions, [ShardAction::Answer { request: 3, response: Response::WrongEpoch }]);
}

/// Creates a member that has caught up in this session.
fn caught_up_member(session: u64) -> (ShardReplica, Script) {
    let mut member = replica(2);
    let mut script = Script { syncs: true, ..Script::default() };
    let actions = member.receive(1, 5, ShardMessage::CompareBuckets { buckets: Vec::new() }, session);
    script.perform_all(&mut member, actions);
    let actions = member.receive(2, 5, ShardMessage::Install { session, jobs: Vec::new(), next: Some(0) }, 0);
    script.perform_all(&mut member, actions);
    (member, script)
}

/// Returns the submission of a job as the first operation of a session.
fn submit(session: u64, id: &str) -> ShardMessage {
    let operations = vec![ShardOperation::Submit(job(id))];
    ShardMessage::Replicate { session, first: 0, operations }
}

#[test]
fn operations_of_an_older_session_are_refused() {
    let (mut member, mut script) = caught_up_member(70);
    let actions = member.receive(3, 5, ShardMessage::CompareBuckets { buckets: Vec::new() }, 71);
    script.perform_all(&mut member, actions);
    let last_step = ShardMessage::Install { session: 71, jobs: Vec::new(), next: Some(0) };
    let actions = member.receive(4, 5, last_step, 0);
    script.perform_all(&mut member, actions);
    let actions = member.receive(5, 5, submit(70, "old"), 0);
    assert_eq!(actions, [ShardAction::Answer { request: 5, response: Response::Behind }]);
}

#[test]
fn repair_messages_are_refused_once_the_member_has_caught_up() {
    let (mut member, mut script) = caught_up_member(70);
    let actions = member.receive(3, 5, submit(70, "a"), 0);
    script.perform_all(&mut member, actions);
    let late = ShardMessage::CompareJobs { session: 70, buckets: (0..64).collect(), jobs: Vec::new() };
    let actions = member.receive(4, 5, late, 0);
    assert_eq!(actions, [ShardAction::Answer { request: 4, response: Response::Behind }]);
}

#[test]
fn a_restarted_primary_counts_members_that_it_may_have_reported() {
    let mut primary = replica(1);
    let mut script = Script { answering: vec![2, 3], syncs: true, ..Script::default() };
    let actions = primary.follow_view(&view(5, &[1, 2], &[3]), NOW);
    script.perform_all(&mut primary, actions);
    assert!(primary.report().is_some_and(|report| report.caught_up == [3]));
    // The process restarts in the same view, while the report may still be in flight to the core.
    let mut restarted = replica(1);
    script.records.iter().cloned().for_each(|record| restarted.recover(record));
    let mut script = Script { answering: vec![2], syncs: true, ..Script::default() };
    let actions = restarted.follow_view(&view(5, &[1, 2], &[3]), NOW);
    script.perform_all(&mut restarted, actions);
    let actions = restarted.commit(1, ShardOperation::Submit(job("a")), NOW);
    script.perform_all(&mut restarted, actions);
    assert!(!script.commits(), "committed without the joining member, which the core may count as in sync");
    // In a view without the joining member, it is no longer required.
    let actions = restarted.follow_view(&view(6, &[1, 2], &[]), NOW);
    script.perform_all(&mut restarted, actions);
    assert!(script.commits());
}

#[test]
fn a_dropped_job_stays_dropped_after_a_rewrite() {
    let (mut member, mut script) = caught_up_member(70);
    let actions = member.receive(3, 5, submit(70, "a"), 0);
    script.perform_all(&mut member, actions);
    // The next primary does not have the job, and the record that drops it cannot be written.
    let actions = member.receive(4, 6, ShardMessage::CompareBuckets { buckets: Vec::new() }, 71);
    script.perform_all(&mut member, actions);
    let compare = ShardMessage::CompareJobs { session: 71, buckets: (0..64).collect(), jobs: Vec::new() };
    let actions = member.receive(5, 6, compare, 0);
    let write = actions.iter().find_map(|action| match action {
        ShardAction::Write { write, .. } => Some(*write),
        _ => None,
    });
    let actions = member.on_written(write.expect("no write of the record that drops the job"), false, NOW);
    assert!(actions.contains(&ShardAction::Answer { request: 5, response: Response::Full }));
    script.perform_all(&mut member, actions);
    let actions = member.tick(NOW);
    script.perform_all(&mut member, actions);
    assert!(!member.is_damaged());
    let mut restarted = replica(2);
    script.records.drain(..).for_each(|record| restarted.recover(record));
    assert!(restarted.jobs().jobs.is_empty(), "the dropped job is back after the restart");
}

/// A rewrite that was already running does not complete a later request; only the next one does.
#[test]
fn a_requested_rewrite_begins_after_the_request() {
    let (mut member, mut script) = caught_up_member(70);
    let actions = member.receive(3, 5, submit(70, "a"), 0);
    script.perform_all(&mut member, actions);
    let first = member.rewrite(11);
    let second = member.rewrite(12);
    assert!(second.is_empty(), "the second rewrite started while the first is running");
    script.actions.clear();
    script.perform_all(&mut member, first);
    let rewritten = |request: u64| ShardAction::Rewritten { request, complete: true };
    let positions =
        [11, 12].map(|request| script.actions.iter().position(|action| *action == rewritten(request)));
    assert!(matches!(positions, [Some(first), Some(second)] if first < second), "{positions:?}");
    let completed = script
        .actions
        .iter()
        .filter(|action| matches!(action, ShardAction::Write { record: StoreRecord::RewriteEnd { .. }, .. }));
    assert_eq!(completed.count(), 2);
}
