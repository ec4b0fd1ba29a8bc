//! The attempt's machine where two of its inputs coincide.

use quillmount_core::CallEnd;
use quillmount_core::machine::attempt::{
    ANSWER_READ_TIMEOUT, Answer, Attempt, AttemptInput, AttemptState, CANCEL_LINGER, ConnectionAction, Decode,
};
use quillmount_policy::Micros;

const NOW: Micros = 1_000_000_000;
const BY: Micros = NOW + 950_000;
const MOST: usize = 64;

/// An answer is complete with `.`, an interim one with `;`; `200` at its beginning counts without its end.
const DECODE: Decode = |bytes, over| {
    let rest = bytes.rsplit(|byte| *byte == b';').next().unwrap_or_default();
    match rest.last() {
        Some(b'.') => Answer::Whole { end: CallEnd::Full(0), reusable: true },
        _ if over && rest.starts_with(b"200") => Answer::Whole { end: CallEnd::Delivered, reusable: false },
        _ if over => Answer::Whole { end: CallEnd::Spoilt(0), reusable: false },
        None if !bytes.is_empty() => Answer::Awaited,
        _ => Answer::Partial,
    }
};

/// An attempt whose request has two bytes, of which `state` says how many were sent.
fn attempt(by: Micros, state: &str) -> Attempt {
    let mut attempt = Attempt::new(DECODE, MOST, by);
    if state == "new" {
        return attempt;
    }
    attempt.step(AttemptInput::Start { open: true, reuses_connection: state != "connecting" }, NOW);
    if matches!(state, "half" | "awaiting") {
        attempt.step(AttemptInput::Wrote { bytes: 1, left: 1 }, NOW);
    }
    if state == "awaiting" {
        attempt.step(AttemptInput::Wrote { bytes: 1, left: 0 }, NOW);
    }
    attempt
}

fn reads(attempt: &mut Attempt, bytes: &[u8], now: Micros) -> (ConnectionAction, Option<CallEnd>) {
    attempt.answer_mut().extend_from_slice(bytes);
    let output = attempt.step(AttemptInput::Read, now);
    (output.action, output.end)
}

/// The machine may stand still between the order and the first byte: a repeat that is late by then is not sent.
#[test]
fn a_repeat_that_starts_after_its_span_is_held_back() {
    for reuses_connection in [true, false] {
        for (now, state) in [(BY - 1, None), (BY, Some(CallEnd::HeldBack)), (BY + 9, Some(CallEnd::HeldBack))]
        {
            let mut call = attempt(BY, "new");
            let output = call.step(AttemptInput::Start { open: true, reuses_connection }, now);
            assert_eq!(output.end, state, "{now}, {reuses_connection}");
            if state.is_some() {
                assert_eq!(
                    (output.action, call.state()),
                    (ConnectionAction::Keep, AttemptState::Finished),
                    "what rested rests on"
                );
            }
        }
    }
    // An attempt that is no repeat has no such time.
    let mut first = attempt(Micros::MAX, "new");
    assert_eq!(first.step(AttemptInput::Start { open: true, reuses_connection: true }, BY).end, None);
}

/// A connection may be established late, and a write may take long: neither the first byte of a repeat is sent after its
/// time nor the last.
#[test]
fn a_repeat_is_sent_completely_within_its_span_or_not_at_all() {
    let mut late = attempt(BY, "connecting");
    let output = late.step(AttemptInput::Connected { open: true }, BY);
    assert_eq!((output.action, output.end), (ConnectionAction::Close, Some(CallEnd::HeldBack)));
    for state in ["connecting", "unsent", "half"] {
        let mut call = attempt(BY, state);
        assert_eq!(call.wake_at(), Some(BY), "{state}");
        assert_eq!(call.step(AttemptInput::Tick, BY - 1).end, None);
        let output = call.step(AttemptInput::Tick, BY);
        assert_eq!(
            (output.action, output.end),
            (ConnectionAction::Close, Some(CallEnd::HeldBack)),
            "{state}"
        );
    }
    // Its last byte was sent: it has the usual time-out.
    let mut whole = attempt(BY, "awaiting");
    assert_eq!(whole.wake_at(), None);
    assert_eq!(whole.step(AttemptInput::Tick, BY).end, None);
}

/// Up to its last byte a call has had no effect, whatever stops it: a time-out, the policy, a reset, a failed connect. From
/// then on it may have had one.
#[test]
fn an_attempt_that_ends_before_its_last_byte_never_ran_and_one_that_ends_later_may_have() {
    use CallEnd::{CouldNotConnect, GivenUp, HeldBack, Reset, Spoilt, TimedOut};
    let unsent = [
        ("connecting", AttemptInput::Refused, CouldNotConnect),
        ("connecting", AttemptInput::Connected { open: false }, HeldBack),
        ("connecting", AttemptInput::MessageEnded, HeldBack),
        ("connecting", AttemptInput::Deadline, CouldNotConnect),
        ("connecting", AttemptInput::GiveUp, CouldNotConnect),
        ("unsent", AttemptInput::WriteFailed, CouldNotConnect),
        ("unsent", AttemptInput::MessageEnded, HeldBack),
        ("unsent", AttemptInput::BackOff, HeldBack),
        ("unsent", AttemptInput::Deadline, CouldNotConnect),
        ("unsent", AttemptInput::GiveUp, CouldNotConnect),
        ("half", AttemptInput::WriteFailed, CouldNotConnect),
        ("half", AttemptInput::MessageEnded, HeldBack),
        ("half", AttemptInput::BackOff, HeldBack),
        ("half", AttemptInput::Deadline, CouldNotConnect),
        ("half", AttemptInput::GiveUp, CouldNotConnect),
    ];
    for (state, input, end) in unsent {
        let mut call = attempt(Micros::MAX, state);
        let output = call.step(input, NOW);
        assert_eq!(output.end, Some(end), "{state}, {input:?}");
        assert_eq!(call.state(), AttemptState::Finished, "{state}, {input:?}");
        // No byte of it may be sent any more; a refused connect has no connection.
        let gone =
            if input == AttemptInput::Refused { ConnectionAction::Nothing } else { ConnectionAction::Close };
        assert_eq!(output.action, gone, "{state}, {input:?}");
    }
    let sent: [(AttemptInput, &[u8], CallEnd); 8] = [
        (AttemptInput::Reset, b"", Reset),
        (AttemptInput::PeerClosed, b"", Reset),
        (AttemptInput::Reset, b"20", Spoilt(0)),
        (AttemptInput::Reset, b"200 OK", CallEnd::Delivered),
        (AttemptInput::PeerClosed, b"200 OK", CallEnd::Delivered),
        (AttemptInput::Deadline, b"", TimedOut),
        (AttemptInput::GiveUp, b"", GivenUp),
        (AttemptInput::Deadline, b"200 OK", CallEnd::Delivered),
    ];
    for (input, answer, end) in sent {
        let mut call = attempt(Micros::MAX, "awaiting");
        if !answer.is_empty() {
            assert_eq!(reads(&mut call, answer, NOW), (ConnectionAction::Nothing, None));
        }
        let mut output = call.step(input, NOW);
        if matches!(call.state(), AttemptState::Closing { .. }) {
            assert_eq!((output.action, output.end), (ConnectionAction::Finish, None));
            output = call.step(AttemptInput::Tick, NOW + CANCEL_LINGER);
        }
        assert_eq!(
            (output.action, output.end),
            (ConnectionAction::Close, Some(end)),
            "{input:?}, {answer:?}"
        );
    }
}

/// A late answer counts: a rejection that crosses with the cancellation proves that the call had no effect.
#[test]
fn an_answer_that_crosses_with_the_cancellation_counts() {
    for word in [AttemptInput::Deadline, AttemptInput::GiveUp] {
        let mut call = attempt(Micros::MAX, "awaiting");
        assert_eq!(call.step(word, NOW).action, ConnectionAction::Finish);
        assert_eq!(reads(&mut call, b"429", NOW + 1), (ConnectionAction::Nothing, None));
        assert_eq!(reads(&mut call, b".", NOW + 2), (ConnectionAction::Close, Some(CallEnd::Full(0))));
    }
}

/// An interim answer may come in two parts; the final answer has its own time.
#[test]
fn an_interim_answer_in_two_parts_does_not_end_a_call() {
    let mut call = attempt(Micros::MAX, "awaiting");
    assert_eq!(reads(&mut call, b"102", NOW), (ConnectionAction::Nothing, None));
    assert_eq!(call.state(), AttemptState::Reading { deadline: NOW + ANSWER_READ_TIMEOUT });
    assert_eq!(reads(&mut call, b";", NOW + 10), (ConnectionAction::Nothing, None));
    assert_eq!((call.state(), call.wake_at()), (AttemptState::Awaiting, None));
    assert_eq!(call.step(AttemptInput::Tick, NOW + ANSWER_READ_TIMEOUT).end, None);
    assert_eq!(
        reads(&mut call, b"503.", NOW + 5 * ANSWER_READ_TIMEOUT),
        (ConnectionAction::Keep, Some(CallEnd::Full(0)))
    );
}

/// An endless answer is limited in time once it has begun, and in bytes; interim answers are limited in bytes, and by the
/// time of the call.
#[test]
fn an_endless_answer_ends_by_time_or_by_bytes() {
    for (begins, end) in [(&b"200"[..], CallEnd::Delivered), (b"500", CallEnd::Spoilt(0))] {
        let mut call = attempt(Micros::MAX, "awaiting");
        reads(&mut call, begins, NOW);
        for n in 1..10 {
            assert_eq!(reads(&mut call, b"x", NOW + n * ANSWER_READ_TIMEOUT / 10).1, None);
            assert_eq!(
                call.wake_at(),
                Some(NOW + ANSWER_READ_TIMEOUT),
                "a byte more does not make it longer"
            );
        }
        let output = call.step(AttemptInput::Tick, NOW + ANSWER_READ_TIMEOUT);
        assert_eq!((output.action, output.end), (ConnectionAction::Close, Some(end)));

        let mut call = attempt(Micros::MAX, "awaiting");
        reads(&mut call, begins, NOW);
        assert_eq!(reads(&mut call, &[b'x'; MOST], NOW), (ConnectionAction::Close, Some(end)));
    }
    let mut call = attempt(Micros::MAX, "awaiting");
    let mut read = 0;
    let end = loop {
        read += 2;
        if let (link, Some(end)) = reads(&mut call, b"1;", NOW) {
            break (link, end);
        }
    };
    assert_eq!((end, read), ((ConnectionAction::Close, CallEnd::Spoilt(0)), MOST + 2));
}
