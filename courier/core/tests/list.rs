//! The endpoints as discovery lists them.

mod common;
use common::options;
use quillmount_core::disabled::DisableError;
use quillmount_core::router::{Router, RouterAction};
use quillmount_core::store::Memory;
use quillmount_core::{EndpointList, EndpointListing};
use quillmount_policy::EndpointState;
use quillmount_settings::SenderSettings;

/// New endpoints replace old ones all day: the tables must not grow with them.
#[test]
fn an_endpoint_that_is_gone_for_good_is_removed_from_every_table() {
    let known = EndpointList { version: 0, full: true, endpoints: Vec::new() };
    let env = SenderSettings::default();
    let (mut router, _) = Router::open(&options(&env, 9_999), known, Memory::default(), 0).unwrap();
    let (mut forgotten, mut most) = (0, 0);
    for n in 0..1_000 {
        let line = |n: u64, state| EndpointListing {
            id: format!("s-{n}"),
            addr: "127.0.0.1:1".parse().ok(),
            dest: 1,
            kind: String::new(),
            zone: String::new(),
            weight: 0.0,
            state,
        };
        let endpoints = vec![line(n, EndpointState::Ready), line(n.saturating_sub(1), EndpointState::Gone)];
        let list = EndpointList { version: n, full: false, endpoints };
        let steps = router.list(list, n * 1_000_000);
        forgotten += steps.iter().filter(|s| matches!(s, RouterAction::Forget(_))).count();
        most = most.max(router.names().1.count());
    }
    // Those of the 20 s before they are forgotten, the one that is there, and the one that has just gone.
    let kept = 20 + 2;
    assert!(most <= kept && forgotten >= 999 - kept, "{most} kept, {forgotten} forgotten");
    assert_eq!(router.endpoint_name(1), "");
    let known = router.disable("s-1", 1_000_000_000);
    assert!(matches!(&known, Err(DisableError::Unknown(id)) if id == "s-1"), "{known:?}");
}
