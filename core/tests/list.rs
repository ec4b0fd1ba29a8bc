//! The providers as discovery lists them.

use quillmount_core::holds::HoldError;
use quillmount_core::router::{Router, Step};
use quillmount_core::store::Memory;
use quillmount_core::{Provider, ProviderList};
use spurshore::ListState;
use spurshore_settings::Env;

/// New providers replace old ones all day: what is kept of them must not grow with the day.
#[test]
fn a_provider_gone_for_good_leaves_every_table() {
    let known = ProviderList { version: 0, full: true, providers: Vec::new() };
    let env = Env::default();
    let (mut router, _) = Router::open(&env, 7, known, Memory::default(), 9_999, 0).unwrap();
    let (mut forgotten, mut most) = (0, 0);
    for n in 0..1_000 {
        let line = |n: u64, state| Provider {
            id: format!("s-{n}"),
            addr: "127.0.0.1:1".parse().ok(),
            dest: 1,
            kind: String::new(),
            zone: String::new(),
            weight: 0.0,
            state,
        };
        let providers = vec![line(n, ListState::Ready), line(n.saturating_sub(1), ListState::Gone)];
        let list = ProviderList { version: n, full: false, providers };
        let steps = router.list(list, n * 1_000_000);
        forgotten += steps.iter().filter(|s| matches!(s, Step::Forget(_))).count();
        most = most.max(router.names().1.count());
    }
    // Those of the 20 s before they are forgotten, the one that is there, and the one that has just gone.
    let kept = 20 + 2;
    assert!(most <= kept && forgotten >= 999 - kept, "{most} kept, {forgotten} forgotten");
    assert_eq!(router.provider_name(1), "");
    let known = router.disable("s-1", 1_000_000_000);
    assert!(matches!(&known, Err(HoldError::Unknown(id)) if id == "s-1"), "{known:?}");
}
