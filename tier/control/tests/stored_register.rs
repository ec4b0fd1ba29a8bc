//! The stored form of a core member's register: fixtures are decoded, checked field by field, and encoded to the same
//! bytes.

use quillmount_control::{
    AppliedOrder, ControlState, Member, Order, OrderKind, OrderOutcome, Retirement, ShardPlanInputs, shard_of,
};
use quillmount_test_support::fixtures::Fixtures;
use quillmount_wire::messages::{
    Accepted, NodeInfo, NodeRole, Register, RegisterValue, ShardReport, UsageWindow, decode, encode,
};
use std::collections::BTreeSet;

const FIXTURES: Fixtures = Fixtures::of_package(env!("CARGO_MANIFEST_DIR"));

/// File name of the fixture with an encoded control state.
const STATE: &str = "control-state.bin";
/// File name of the fixture with an encoded register.
const REGISTER: &str = "register.bin";

/// The first configuration of the stored state.
const CONFIGURATION: &str = r#"{"Gen":3,"Routes":[{"Name":"r","Host":"a.example","PathPrefix":"/","DeadlineMs":500,"Backend":"m"}],"Backends":[{"Name":"m"}]}"#;
/// A patch of that configuration.
const PATCH: &str = r#"{"Gen":5,"Upsert":{"Accounts":[{"Name":"t","Apikeys":["k"]}]}}"#;
/// The configuration after the patch.
const PATCHED: &str = r#"{"Accounts":[{"Apikeys":["k"],"Name":"t"}],"Backends":[{"Name":"m"}],"Gen":5,"Routes":[{"Backend":"m","DeadlineMs":500,"Host":"a.example","Name":"r","PathPrefix":"/"}]}"#;

fn order(kind: OrderKind, base: u64, body: &str) -> Order {
    Order { kind, base, body: body.to_owned() }
}

/// Core member `number`, with disk `100 + number`.
fn core(number: u64) -> NodeInfo {
    NodeInfo {
        name: format!("core-{number}"),
        disk: 100 + number,
        internal: format!("10.1.0.{number}:7360"),
        admin: Some(format!("10.1.0.{number}:8683")),
        zone: "a".to_owned(),
        role: NodeRole::Core,
    }
}

/// Store `number`, with disk `200 + number`.
fn store(number: u64) -> NodeInfo {
    NodeInfo {
        name: format!("store-{number}"),
        disk: 200 + number,
        internal: format!("10.2.0.{number}:7360"),
        admin: None,
        zone: if number == 2 { "b" } else { "a" }.to_owned(),
        role: NodeRole::Store,
    }
}

/// A usage report of a window, from pairs of tenant and count.
fn usage(window: u64, counts: &[(&str, u64)]) -> UsageWindow {
    let counts = counts.iter().map(|(tenant, count)| ((*tenant).to_owned(), *count)).collect();
    UsageWindow { window, counts }
}

/// The state from which the fixture was encoded, with at least one change of every kind.
fn control_state() -> ControlState {
    let mut state = ControlState::default();
    (1..=3).for_each(|number| _ = state.admit_core_member(&core(number), &BTreeSet::new()));
    (1..=4).for_each(|number| _ = state.admit_store(&store(number)));
    let mut inputs =
        ShardPlanInputs { live: (201..=204).collect(), tolerated_failures: 1, ..ShardPlanInputs::default() };
    state.plan_shards(&inputs);
    // One member is unresponsive: it is removed from the in-sync set and joins again.
    let unresponsive = state.placement.shards[0].in_sync[1];
    inputs.reports =
        vec![ShardReport { shard: 0, epoch: 1, unresponsive: vec![unresponsive], caught_up: Vec::new() }];
    state.plan_shards(&inputs);
    state.retire("store-4", 1);
    state.apply_order(&order(OrderKind::Put, 0, CONFIGURATION));
    state.apply_order(&order(OrderKind::Patch, 3, PATCH));
    state.finalize_usage(usage(41, &[("t", 7), ("u", u64::MAX)]));
    state.finalize_usage(usage(40, &[]));
    state.forgotten_version = 3;
    state
}

/// The register from which the fixture was encoded, with the control state as its accepted value.
fn register() -> Register {
    let payload = control_state().encode();
    let value = RegisterValue { members: vec![101, 102, 103], prior: Some(vec![101, 102]), payload };
    let accepted = Accepted { epoch: 6, sequence: 19, value };
    Register { promised: 7, promised_to: 102, accepted: Some(accepted) }
}

/// The decoded state of the fixture.
fn stored_state() -> ControlState {
    ControlState::decode(&FIXTURES.check(STATE, &control_state().encode())).unwrap()
}

/// The decoded register of the fixture.
fn stored_register() -> Register {
    decode(&FIXTURES.check(REGISTER, &encode(&register()))).unwrap()
}

#[test]
fn a_stored_state_is_encoded_to_the_same_bytes() {
    let bytes = FIXTURES.check(STATE, &control_state().encode());
    assert_eq!(ControlState::decode(&bytes).unwrap().encode(), bytes);
    let bytes = FIXTURES.check(REGISTER, &encode(&register()));
    assert_eq!(encode(&decode::<Register>(&bytes).unwrap()), bytes);
}

#[test]
fn a_stored_register_names_epochs_members_and_the_value() {
    let register = stored_register();
    assert_eq!((register.promised, register.promised_to), (7, 102));
    let accepted = register.accepted.unwrap();
    assert_eq!((accepted.epoch, accepted.sequence), (6, 19));
    assert_eq!(accepted.value.members, [101, 102, 103]);
    assert_eq!(accepted.value.prior, Some(vec![101, 102]));
    assert_eq!(accepted.value.payload, stored_state().encode());
}

#[test]
fn an_empty_register_has_its_bytes() {
    let bytes = FIXTURES.check("register-empty.bin", &encode(&Register::default()));
    let register: Register = decode(&bytes).unwrap();
    assert_eq!((register.promised, register.promised_to, register.accepted), (0, 0, None));
}

#[test]
fn a_stored_state_has_its_configuration_and_orders() {
    let mut state = stored_state();
    assert_eq!((state.version, state.configuration.as_str()), (5, PATCHED));
    assert_eq!(state.forgotten_version, 3);
    let digests = [0xebd7_a557_94ff_346f_b0e9_c67a_ae2c_bfb2u128, 0x098a_2524_7ae2_8fe6_ceac_75e0_e4f9_2e06];
    let applied_orders: Vec<AppliedOrder> = digests
        .iter()
        .zip([3, 5])
        .map(|(digest, version)| AppliedOrder { digest: *digest, version })
        .collect();
    assert_eq!(state.applied_orders, applied_orders);
    // A retried order is recognized by its digest; the outcome of any other depends on its base version.
    assert_eq!(
        state.apply_order(&order(OrderKind::Put, 0, CONFIGURATION)),
        OrderOutcome::Applied { version: 3 }
    );
    assert_eq!(state.apply_order(&order(OrderKind::Patch, 3, PATCH)), OrderOutcome::Applied { version: 5 });
    assert_eq!(
        state.apply_order(&order(OrderKind::Put, 3, PATCH)),
        OrderOutcome::VersionMismatch { current: 5 }
    );
    assert_eq!(state.apply_order(&order(OrderKind::Put, 2, CONFIGURATION)), OrderOutcome::Expired);
}

#[test]
fn a_stored_state_has_its_nodes() {
    let state = stored_state();
    let identity = |node: &NodeInfo| {
        let texts = [&node.name, &node.internal, node.admin.as_ref().unwrap(), &node.zone].map(String::clone);
        (texts, node.disk, node.role == NodeRole::Core)
    };
    let core: Vec<([String; 4], u64, bool)> = state.placement.core.iter().map(identity).collect();
    let expected = [
        (["core-1", "10.1.0.1:7360", "10.1.0.1:8683", "a"].map(str::to_owned), 101, true),
        (["core-2", "10.1.0.2:7360", "10.1.0.2:8683", "a"].map(str::to_owned), 102, true),
        (["core-3", "10.1.0.3:7360", "10.1.0.3:8683", "a"].map(str::to_owned), 103, true),
    ];
    assert_eq!(core, expected);
    let stores: Vec<(&str, u64, &str, &str)> = state
        .placement
        .stores
        .iter()
        .map(|node| (node.name.as_str(), node.disk, node.internal.as_str(), node.zone.as_str()))
        .collect();
    assert_eq!(
        stores,
        [
            ("store-1", 201, "10.2.0.1:7360", "a"),
            ("store-2", 202, "10.2.0.2:7360", "b"),
            ("store-3", 203, "10.2.0.3:7360", "a"),
            ("store-4", 204, "10.2.0.4:7360", "a"),
        ]
    );
    assert!(state.placement.stores.iter().all(|node| node.role == NodeRole::Store && node.admin.is_none()));
    assert_eq!(state.retiring, [204]);
    assert_eq!(state.retirement("store-4"), Retirement::Serving);
    assert_eq!(state.placement_version, 10);
}

#[test]
fn a_stored_state_has_its_shard_views() {
    let state = stored_state();
    let views = &state.placement.shards;
    assert_eq!(views.len(), 16);
    let first = &views[0];
    assert_eq!((first.epoch, first.primary, first.primary_since), (2, 201, 1));
    assert_eq!(
        (first.in_sync.as_slice(), first.joining.as_slice()),
        ([201, 203].as_slice(), [202].as_slice())
    );
    for (shard, view) in views.iter().enumerate().skip(1) {
        let disk = |replica: usize| 201 + ((shard + replica) % 4) as u64;
        assert_eq!((view.epoch, view.primary, view.primary_since), (1, disk(0), 1), "shard {shard}");
        assert_eq!(view.in_sync, [disk(0), disk(1), disk(2)], "shard {shard}");
        assert!(view.joining.is_empty(), "shard {shard}");
    }
}

#[test]
fn a_stored_state_has_its_usage() {
    let mut state = stored_state();
    assert_eq!(state.usage, [usage(40, &[]), usage(41, &[("t", 7), ("u", u64::MAX)])]);
    // The counts of a finalized window do not change.
    assert_eq!(state.finalize_usage(usage(41, &[("t", 8)])), usage(41, &[("t", 7), ("u", u64::MAX)]));
}

#[test]
fn a_member_starts_with_a_stored_register() {
    let member = Member::new(102, 1, stored_register(), 0);
    assert!(!member.replica().is_blank());
    assert_eq!(*member.replica().register(), stored_register());
    assert_eq!(member.replica().members().to_vec(), [101, 102, 103]);
    assert_eq!((member.serving(), member.committed().is_none()), (None, true));
}

#[test]
fn the_shard_of_a_job_never_changes() {
    let shards: Vec<u32> = ["", "job-1", "job-2", "a", "Ünï"].iter().map(|job| shard_of(job, 16)).collect();
    assert_eq!(shards, [5, 6, 3, 12, 6]);
}
