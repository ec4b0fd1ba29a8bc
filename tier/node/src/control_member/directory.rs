//! Keeps the core's list of endpoints current: the primary reads the platform's list and publishes changes to pollers.
//!
//! While the platform is down, slow or cut off, the list that was read last stays current ([`Directory::note_unavailable`]): processes
//! that read it themselves would only add calls.
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

/// A reading that takes longer shows that the platform is slow.
const SLOW_READING: Duration = Duration::from_millis(500);
/// A timer that fires later than this after its time shows that this process stood still, not that the platform is slow.
const LATE_TIMER: Duration = Duration::from_millis(250);
/// Delay after a reading that failed.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Interval at which a member that is not primary checks whether it has become so.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Reads the list whenever this member is primary, for as long as the process runs.
pub async fn run(core: Rc<ControlMember>) {
    loop {
        let Some(epoch) = core.serving() else {
            tokio::time::sleep(ROLE_CHECK_INTERVAL).await;
            continue;
        };
        let began = clock::now();
        let list = read_with_notes(&core).await;
        // What was read in an earlier epoch is not published in this one.
        if core.serving() != Some(epoch) {
            continue;
        }
        let Some(list) = list else {
            core.directory.borrow_mut().note_unavailable(clock::now());
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        publish(&core, list, began);
        let spent = Duration::from_micros(clock::now().saturating_sub(began));
        tokio::time::sleep(READ_INTERVAL.saturating_sub(spent)).await;
    }
}

/// Reads the list; a reading that takes long is noted meanwhile as often as it takes [`SLOW_READING`].
async fn read_with_notes(core: &ControlMember) -> Option<Vec<Endpoint>> {
    let mut reading = std::pin::pin!(endpoint_list::read(&core.node));
    loop {
        let armed = clock::now();
        if let Ok(list) = tokio::time::timeout(SLOW_READING, &mut reading).await {
            return list;
        }
        let spent = Duration::from_micros(clock::now().saturating_sub(armed));
        if spent <= SLOW_READING + LATE_TIMER {
            core.directory.borrow_mut().note_unavailable(clock::now());
        }
    }
}

fn publish(core: &ControlMember, list: Vec<Endpoint>, began: Micros) {
    let mut directory = core.directory.borrow_mut();
    // Polls wait for a current list as they do for a change.
    let was_current = directory.is_current(core.node.limits.max_published_list_age, clock::now());
    if directory.replace(list, began) || !was_current {
        core.changed.notify_waiters();
    }
}
