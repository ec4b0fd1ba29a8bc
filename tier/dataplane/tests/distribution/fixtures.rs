//! The configuration, the endpoint list and the control state of a large deployment.

use crate::machine::{Machine, TOLERATED_FAILURES};
use quillmount_control::{ControlState, ShardPlanInputs};
use quillmount_wire::messages::{Accepted, Endpoint, NodeRole, Register, RegisterValue};

/// Name of the only service.
const SERVICE: &str = "service";
/// Number of routes of a configuration.
const ROUTES: u64 = 45;
/// Number of tenants of a configuration; each has two keys.
const TENANTS: u64 = 190;
/// Number of endpoints in the list.
const ENDPOINTS: u64 = 160;
/// Version of the initial configuration.
pub const FIRST_VERSION: u64 = 1;
/// Deadline of routes, milliseconds. The deadline of one route is longer by the version number.
const DEADLINE_MS: u64 = 4_000;

/// The text of a configuration. Each version changes the deadline of one route.
pub fn configuration(version: u64) -> String {
    let altered_route = version % ROUTES;
    let route = |number: u64| {
        let deadline = DEADLINE_MS + if number == altered_route { version } else { 0 };
        format!(
            r#"{{"Name":"route-{number:03}","Host":"service.example","PathPrefix":"/v1/route-{number:03}/","Mode":"safe","DeadlineMs":{deadline},"TargetMs":800,"Tries":2,"Backend":"{SERVICE}"}}"#
        )
    };
    let tenant = |number: u64| {
        format!(
            r#"{{"Name":"tenant-{number:03}","Apikeys":["key-{number:03}-a-{:024x}","key-{number:03}-b-{:024x}"]}}"#,
            number * 7_919,
            number * 104_729
        )
    };
    let routes: Vec<String> = (0..ROUTES).map(route).collect();
    let tenants: Vec<String> = (0..TENANTS).map(tenant).collect();
    format!(
        r#"{{"Gen":{version},"Routes":[{}],"Backends":[{{"Name":"{SERVICE}","MaxConns":64}}],"Accounts":[{}]}}"#,
        routes.join(","),
        tenants.join(",")
    )
}

/// The endpoint list, the same at each read.
pub fn endpoints() -> Vec<Endpoint> {
    let endpoint = |number: u64| Endpoint {
        id: format!("endpoint-{number:03}"),
        service: SERVICE.to_owned(),
        address: format!("10.1.0.{number:03}:8000"),
        zone: format!("zone-{}", number % 3),
        capacity: 8,
        draining: false,
        warmup_left_ms: 0.0,
        models: Vec::new(),
    };
    (0..ENDPOINTS).map(endpoint).collect()
}

/// The register on the disks of the members, which contains all machines with a disk and the placement of all shards.
pub fn register(machines: &[Machine]) -> Register {
    let with_role = |role: NodeRole| {
        let nodes = machines.iter().map(|machine| machine.node.clone());
        nodes.filter(|node| node.role == role).collect()
    };
    let mut state = ControlState {
        version: FIRST_VERSION,
        configuration: configuration(FIRST_VERSION),
        ..ControlState::default()
    };
    state.placement.core = with_role(NodeRole::Core);
    state.placement.stores = with_role(NodeRole::Store);
    state.placement_version = 1;
    let inputs = ShardPlanInputs {
        live: state.placement.stores.iter().map(|store| store.disk).collect(),
        tolerated_failures: TOLERATED_FAILURES,
        ..ShardPlanInputs::default()
    };
    assert!(state.plan_shards(&inputs), "there are not enough stores for all shards");
    let members = state.core_disks();
    let promised_to = members[0];
    let value = RegisterValue { members, prior: None, payload: state.encode() };
    Register { promised: 1, promised_to, accepted: Some(Accepted { epoch: 1, sequence: 1, value }) }
}
