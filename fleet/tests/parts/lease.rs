//! Presence by lease.

use quillmount_fleet::lease::Granted;

/// A member that is still heard while the word that it is gone is on its way must not begin anew on that lease.
#[test]
fn nothing_is_granted_once_the_fleet_is_asked_to_count_it_as_gone() {
    let mut granted = Granted::default();
    granted.begin(0);
    assert!(granted.hear("a", 1, 10));
    granted.lapsed("a", 1);
    assert!(!granted.hear("a", 1, 20), "under the epoch that is over");
    assert!(granted.hear("a", 2, 20) && granted.hear("b", 1, 20));
    granted.begin(30);
    assert!(granted.hear("a", 1, 40), "another leader may know nothing of it");
}
