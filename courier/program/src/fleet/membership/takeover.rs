//! Takes over messages of sealed journals: the member machine says which partitions, and this task writes them to the
//! courier's journal and passes them to its router, in order, before the member reports them as adopted.

use super::Fleet;
use crate::fleet::LOG_TARGET;
use crate::transport::courier::Courier;
use quillmount_core::journal::{JournalContents, JournalEntry, Settlements};
use quillmount_fleet::member::{MemberInput, TakeoverTask};
use quillmount_fleet::settlement::journal_lines::adopted_lines;
use quillmount_fleet::state::{PartitionId, partition_of};
use std::cell::RefCell;
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// Wait before a partition that did not fit into the journal is written again: messages end meanwhile.
const TAKEOVER_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// The tasks that are not done yet, in order.
#[derive(Default)]
pub(super) struct TakeoverQueue {
    tasks: RefCell<VecDeque<TakeoverTask>>,
    task_added: Notify,
}

impl TakeoverQueue {
    /// Adds a task behind all others.
    fn add(&self, task: TakeoverTask) {
        self.tasks.borrow_mut().push_back(task);
        self.task_added.notify_one();
    }

    /// Returns a task that failed to its place.
    fn put_back(&self, task: TakeoverTask) {
        self.tasks.borrow_mut().push_front(task);
    }

    /// Waits for the next task.
    async fn next(&self) -> TakeoverTask {
        loop {
            let task = self.tasks.borrow_mut().pop_front();
            match task {
                Some(task) => return task,
                None => self.task_added.notified().await,
            }
        }
    }
}

impl Fleet {
    /// Adds a task behind all others, and counts the partitions whose takeover it begins or ends.
    pub(super) fn add_takeover(&self, task: TakeoverTask) {
        self.gate.add_takeovers(match &task {
            TakeoverTask::Adopt { partitions, .. } => partitions.len() as isize,
            TakeoverTask::ResolveAdoption { .. } => -1,
        });
        self.takeovers.add(task);
    }

    /// Carries out the member's tasks on the courier's journal and router, until the journal is sealed.
    pub(super) async fn run_takeovers(self: Rc<Self>, courier: Rc<Courier>) {
        loop {
            let task = self.takeovers.next().await;
            if self.is_fenced() {
                return;
            }
            let mut lines = Settlements::default();
            let done = match &task {
                TakeoverTask::Adopt { partitions, settled, bytes } => {
                    let (contents, _) = JournalContents::read(bytes);
                    lines = adopted_lines(partitions, settled, &contents);
                    courier.adopt(adopted_entries(partitions, settled, contents), &lines)
                }
                TakeoverTask::ResolveAdoption { source, adopted } => {
                    courier.settle_from(&source.into(), *adopted)
                }
            };
            if let Err(e) = done {
                tracing::error!(
                    target: LOG_TARGET,
                    "fleet: what is taken over can't be written: {e}; again in {TAKEOVER_RETRY_INTERVAL:?}"
                );
                self.takeovers.put_back(task);
                actix_rt::time::sleep(TAKEOVER_RETRY_INTERVAL).await;
                continue;
            }
            self.flush();
            self.report_takeover(task, &lines);
        }
    }

    /// Reports a task that is done to the settlements and to the member. `lines`: what it adopted about settlements.
    fn report_takeover(&self, task: TakeoverTask, lines: &Settlements) {
        let host = self.settlement_host();
        match task {
            TakeoverTask::Adopt { partitions, .. } => {
                host.into_iter().for_each(|host| host.adopted(lines));
                partitions.into_iter().for_each(|partition| self.step(MemberInput::Adopted(partition)));
            }
            TakeoverTask::ResolveAdoption { source, adopted } => {
                self.step(MemberInput::AdoptionResolved(source.clone()));
                host.into_iter().for_each(|host| host.adoption_resolved(&source, adopted));
            }
        }
    }
}

/// The messages of these partitions of a sealed journal, each with its source.
fn adopted_entries(
    partitions: &[PartitionId],
    settled: &BTreeSet<PartitionId>,
    contents: JournalContents,
) -> Vec<JournalEntry> {
    let owed = contents.owed.into_values().filter_map(|entry| {
        let partition = partition_of(entry.message.dest);
        let source = partitions.iter().find(|source| source.partition == partition)?;
        // A message that this journal adopted from another, without the adoption being agreed, belongs to somebody else.
        let own = entry.source.as_ref().is_none_or(|from| settled.contains(&PartitionId::from(from)));
        own.then(|| JournalEntry { source: Some(source.into()), ..entry })
    });
    owed.collect()
}
