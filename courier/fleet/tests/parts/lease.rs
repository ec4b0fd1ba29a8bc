//! Leases.

use quillmount_fleet::lease::GrantedLeases;

/// A member whose deregistration is proposed gets no new lease, even if it sends a renewal before the commit.
#[test]
fn no_lease_is_granted_after_expiry_is_proposed() {
    let mut granted = GrantedLeases::default();
    granted.begin_leadership(0);
    assert!(granted.renew("a", 1, 10));
    granted.mark_expiring("a", 1);
    assert!(!granted.renew("a", 1, 20), "under the epoch that is over");
    assert!(granted.renew("a", 2, 20) && granted.renew("b", 1, 20));
    granted.begin_leadership(30);
    assert!(granted.renew("a", 1, 40), "another leader may know nothing of it");
}
