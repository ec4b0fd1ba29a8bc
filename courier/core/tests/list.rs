//! Updates of the endpoint list by discovery.

mod common;
use common::options;
use quillmount_core::disabled::DisableError;
use quillmount_core::router::{Router, RouterAction};
use quillmount_core::store::Memory;
use quillmount_core::{EndpointList, EndpointListing};
use quillmount_policy::EndpointState;
use quillmount_settings::SenderSettings;

/// New endpoints continually replace old ones, which must not make the tables grow.
#[test]
fn an_endpoint_that_is_gone_for_good_is_removed_from_every_table() {
    let known = EndpointList { version: 0, full: true, endpoints: Vec::new() };
    let settings = SenderSettings::default();
    let (mut router, _) = Router::open(&options(&settings, 9_999), known, Memory::default(), 0).unwrap();
    let (mut forgotten, mut max_endpoints) = (0, 0);
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
        let actions = router.list(list, n * 1_000_000);
        forgotten += actions.iter().filter(|action| matches!(action, RouterAction::Forget(_))).count();
        max_endpoints = max_endpoints.max(router.message_and_endpoint_numbers().1.count());
    }
    // The endpoints of the 20 s before removal, the current one, and the one that has just left the list.
    let max_remaining = 20 + 2;
    assert!(
        max_endpoints <= max_remaining && forgotten >= 999 - max_remaining,
        "{max_endpoints} kept, {forgotten} forgotten"
    );
    assert_eq!(router.endpoint_name(1), "");
    let result = router.disable("s-1", 1_000_000_000);
    assert!(matches!(&result, Err(DisableError::Unknown(id)) if id == "s-1"), "{result:?}");
}
