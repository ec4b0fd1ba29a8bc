//! Adapts the placement to the processes that are live: the views of the shards, and the members of the core.

use crate::clock;
use crate::control_member::ControlMember;
use quillmount_control::ShardPlanInputs;
use quillmount_wire::Micros;
use std::rc::Rc;
use std::time::Duration;

/// Interval between two checks of the placement.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// Time after its election from which a primary knows all live processes by their polls, microseconds.
const LEASES_KNOWN: Micros = 1_200_000;

/// Changes the shards' views and the core's members as stores and members come and go, whenever this member is primary.
pub async fn maintain_placement(core: Rc<ControlMember>) {
    loop {
        tokio::time::sleep(PLAN_INTERVAL).await;
        if core.serving().is_none() || core.time_as_primary() < LEASES_KNOWN {
            continue;
        }
        remove_silent_members(&core).await;
        update_views(&core).await;
    }
}

/// Removes members of the core that are silent, if enough others are left.
async fn remove_silent_members(core: &Rc<ControlMember>) {
    let silent = core.silent_members();
    let tolerated_failures = core.node.settings.fault_tolerance.machines;
    let Some(state) = core.committed() else { return };
    // A change costs a round of consensus: a trial on a copy shows whether there is anything to change.
    if !silent.is_empty() && (*state).clone().remove_silent_core_members(&silent, tolerated_failures) {
        let changed =
            core.change(|state| state.remove_silent_core_members(&silent, tolerated_failures)).await;
        tracing::info!(?changed, silent = silent.len(), "silent core members were taken out");
    }
}

async fn update_views(core: &Rc<ControlMember>) {
    let inputs = plan_inputs(core);
    let Some(state) = core.committed() else { return };
    // As above: a trial on a copy.
    if (*state).clone().plan_shards(&inputs) {
        let changed = core.change(|state| state.plan_shards(&inputs)).await;
        tracing::info!(?changed, live = inputs.live.len(), "views of shards changed");
    }
}

fn plan_inputs(core: &ControlMember) -> ShardPlanInputs {
    core.leases.borrow().plan_inputs(core.node.settings.fault_tolerance.machines, clock::now())
}
