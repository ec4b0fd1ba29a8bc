//! Endpoint list of the core: the primary regularly reads the platform's list and publishes changes to pollers.
//!
//! While the platform is down, slow or unreachable, the list that was read last counts as current
//! ([`Directory::note_unavailable`]), because processes that read the list themselves would only add load.
//!
//! [`Directory::note_unavailable`]: quillmount_control::Directory::note_unavailable

use super::member::ControlMember;
use crate::clock;
use crate::endpoint_list;
use quillmount_control::directory::READ_INTERVAL;
use quillmount_wire::Micros;
use quillmount_wire::messages::Endpoint;
use std::rc::Rc;
use std::time::Duration;

/// A read that takes longer than this shows that the platform is slow.
const SLOW_READ: Duration = Duration::from_millis(500);
/// A timer that fires later than this after its deadline shows that this process was suspended, not that the platform is slow.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(250);
/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Interval at which a member that is not primary checks whether it has become primary.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Reads the list at [`READ_INTERVAL`] while this member is primary, until the process ends.
pub async fn run(core: Rc<ControlMember>) {
    loop {
        let Some(epoch) = core.serving() else {
            tokio::time::sleep(ROLE_CHECK_INTERVAL).await;
            continue;
        };
        let started_at = clock::now();
        let list = read_list(&core).await;
        // A list that was read in an earlier epoch is not published in the current one.
        if core.serving() != Some(epoch) {
            continue;
        }
        let Some(list) = list else {
            core.directory.borrow_mut().note_unavailable(clock::now());
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        publish(&core, list, started_at);
        let elapsed = Duration::from_micros(clock::now().saturating_sub(started_at));
        tokio::time::sleep(READ_INTERVAL.saturating_sub(elapsed)).await;
    }
}

/// Reads the list; `None` if the read failed. While a read is slow, the platform is marked as unavailable every [`SLOW_READ`].
async fn read_list(core: &ControlMember) -> Option<Vec<Endpoint>> {
    let mut read = std::pin::pin!(endpoint_list::read(&core.node));
    loop {
        let timer_started_at = clock::now();
        if let Ok(list) = tokio::time::timeout(SLOW_READ, &mut read).await {
            return list;
        }
        let elapsed = Duration::from_micros(clock::now().saturating_sub(timer_started_at));
        if elapsed <= SLOW_READ + MAX_TIMER_DELAY {
            core.directory.borrow_mut().note_unavailable(clock::now());
        }
    }
}

fn publish(core: &ControlMember, list: Vec<Endpoint>, read_started_at: Micros) {
    let mut directory = core.directory.borrow_mut();
    // Pending polls are also woken if the list has become current again without a change.
    let was_current = directory.is_current(core.node.limits.max_published_list_age, clock::now());
    if directory.replace(list, read_started_at) || !was_current {
        core.tables_changed.notify_waiters();
    }
}
