//! Fencing tokens of the singleton roles: a refused token is not used again for the same subject.

use quillmount_control::{FencedCalls, FencedSubject};

fn scale(zone: &str) -> FencedSubject {
    FencedSubject::Scale { service: "llm".to_owned(), zone: zone.to_owned() }
}

#[test]
fn a_refused_token_is_not_used_for_another_call_on_that_subject() {
    let mut calls = FencedCalls::default();
    calls.use_token(7);
    assert!(calls.may_call(&FencedSubject::Usage) && calls.may_call(&scale("a")));
    calls.record_refusal(FencedSubject::Usage);
    calls.record_refusal(scale("a"));
    calls.use_token(7);
    assert!(!calls.may_call(&FencedSubject::Usage) && !calls.may_call(&scale("a")));
    assert!(calls.may_call(&scale("b")), "the token was not refused for another subject");
}

#[test]
fn a_higher_token_is_used_for_every_subject() {
    let mut calls = FencedCalls::default();
    calls.use_token(7);
    calls.record_refusal(FencedSubject::Usage);
    calls.use_token(9);
    assert!(calls.may_call(&FencedSubject::Usage));
}
