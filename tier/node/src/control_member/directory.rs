//! Keeps the core's list of endpoints current: the primary reads the platform's list and publishes changes to pollers.

use super::member::ControlMember;
use crate::clock;
use crate::endpoint_list;
use quillmount_wire::messages::Endpoint;
use std::rc::Rc;
use std::time::Duration;

/// Interval between the starts of two readings.
const READ_INTERVAL: Duration = Duration::from_millis(600);
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
        let list = endpoint_list::read(&core.node).await;
        // What was read in an earlier epoch is not published in this one.
        if core.serving() != Some(epoch) {
            continue;
        }
        let Some(list) = list else {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        publish(&core, list);
        let spent = Duration::from_micros(clock::now().saturating_sub(began));
        tokio::time::sleep(READ_INTERVAL.saturating_sub(spent)).await;
    }
}

fn publish(core: &ControlMember, list: Vec<Endpoint>) {
    if core.directory.borrow_mut().replace(list) {
        core.changed.notify_waiters();
    }
}
