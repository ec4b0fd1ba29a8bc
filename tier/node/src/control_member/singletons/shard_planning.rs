//! Adapts the placement, which consists of the views of the shards and the core members, to the live processes.

use crate::clock;
use crate::control_member::ControlMember;
use quillmount_control::ShardPlanInputs;
use quillmount_wire::Micros;
use std::rc::Rc;
use std::time::Duration;

/// Interval between two checks of the placement.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// Time after its election until a primary has received a poll of every live process, microseconds.
const LEASE_DISCOVERY_TIME: Micros = 1_200_000;

/// Updates the shards' views and the core members when stores and members join or fail, while this member is primary.
pub async fn maintain_placement(core: Rc<ControlMember>) {
    loop {
        tokio::time::sleep(PLAN_INTERVAL).await;
        if core.serving().is_none() || core.time_as_primary() < LEASE_DISCOVERY_TIME {
            continue;
        }
        remove_silent_members(&core).await;
        update_views(&core).await;
    }
}

/// Removes silent core members, if enough other members remain.
async fn remove_silent_members(core: &Rc<ControlMember>) {
    let silent = core.silent_members();
    let tolerated_failures = core.node.settings.fault_tolerance.machines;
    let Some(state) = core.committed() else { return };
    // A change costs a consensus round, so a copy of the state is changed first to see whether there is anything to change.
    if !silent.is_empty() && (*state).clone().remove_silent_core_members(&silent, tolerated_failures) {
        let changed =
            core.change(|state| state.remove_silent_core_members(&silent, tolerated_failures)).await;
        tracing::info!(?changed, silent = silent.len(), "removed silent core members");
    }
}

async fn update_views(core: &Rc<ControlMember>) {
    let inputs = plan_inputs(core);
    let Some(state) = core.committed() else { return };
    // Avoids a consensus round in the same way.
    if (*state).clone().plan_shards(&inputs) {
        let changed = core.change(|state| state.plan_shards(&inputs)).await;
        tracing::info!(?changed, live = inputs.live.len(), "changed the views of shards");
    }
}

fn plan_inputs(core: &ControlMember) -> ShardPlanInputs {
    core.leases.borrow().plan_inputs(core.node.settings.fault_tolerance.machines, clock::now())
}
