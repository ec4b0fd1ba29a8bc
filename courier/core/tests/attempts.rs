//! The state machine of an attempt when two inputs coincide, such as a cancellation and an answer.

use quillmount_core::CallEnd;
use quillmount_core::machine::attempt::{
    ANSWER_READ_TIMEOUT, Answer, Attempt, AttemptInput, AttemptState, CANCEL_LINGER, ConnectionAction, Decode,
};
use quillmount_policy::Micros;

const NOW: Micros = 1_000_000_000;
const SEND_BEFORE: Micros = NOW + 950_000;
const MAX_ANSWER_BYTES: usize = 64;

/// A decoder for which `.` completes a final answer and `;` an interim one. An incomplete answer that starts with `200`
/// counts as delivered.
const DECODE: Decode = |bytes, is_ended| {
    let rest = bytes.rsplit(|byte| *byte == b';').next().unwrap_or_default();
    match rest.last() {
        Some(b'.') => Answer::Whole { end: CallEnd::Full(0), reusable: true },
        _ if is_ended && rest.starts_with(b"200") => {
            Answer::Whole { end: CallEnd::Delivered, reusable: false }
        }
        _ if is_ended => Answer::Whole { end: CallEnd::Spoilt(0), reusable: false },
        None if !bytes.is_empty() => Answer::Awaited,
        _ => Answer::Partial,
    }
};

/// Creates an attempt in the named state; its request has two bytes.
fn attempt(send_before: Micros, state: &str) -> Attempt {
    let mut attempt = Attempt::new(DECODE, MAX_ANSWER_BYTES, send_before);
    if state == "new" {
        return attempt;
    }
    attempt.step(AttemptInput::Start { open: true, reuses_connection: state != "connecting" }, NOW);
    if matches!(state, "partly sent" | "awaiting") {
        attempt.step(AttemptInput::Wrote { bytes: 1, left: 1 }, NOW);
    }
    if state == "awaiting" {
        attempt.step(AttemptInput::Wrote { bytes: 1, left: 0 }, NOW);
    }
    attempt
}

fn read_bytes(attempt: &mut Attempt, bytes: &[u8], now: Micros) -> (ConnectionAction, Option<CallEnd>) {
    attempt.answer_mut().extend_from_slice(bytes);
    let output = attempt.step(AttemptInput::Read, now);
    (output.action, output.end)
}

/// The process may be suspended between the router's action and the first byte. A repeat that starts at or after
/// `send_before` must not be sent, because the endpoint may have forgotten its key.
#[test]
fn a_repeat_that_starts_after_its_span_is_held_back() {
    for reuses_connection in [true, false] {
        for (now, end) in [
            (SEND_BEFORE - 1, None),
            (SEND_BEFORE, Some(CallEnd::HeldBack)),
            (SEND_BEFORE + 9, Some(CallEnd::HeldBack)),
        ] {
            let mut call = attempt(SEND_BEFORE, "new");
            let output = call.step(AttemptInput::Start { open: true, reuses_connection }, now);
            assert_eq!(output.end, end, "{now}, {reuses_connection}");
            if end.is_some() {
                assert_eq!(
                    (output.action, call.state()),
                    (ConnectionAction::Keep, AttemptState::Finished),
                    "the idle connection stays open"
                );
            }
        }
    }
    // The first attempt has no such limit.
    let mut first = attempt(Micros::MAX, "new");
    assert_eq!(
        first.step(AttemptInput::Start { open: true, reuses_connection: true }, SEND_BEFORE).end,
        None
    );
}

/// Establishing a connection or writing may take long. Neither the first nor the last byte of a repeat may be sent at or
/// after `send_before`.
#[test]
fn a_repeat_is_sent_completely_within_its_span_or_not_at_all() {
    let mut late = attempt(SEND_BEFORE, "connecting");
    let output = late.step(AttemptInput::Connected { open: true }, SEND_BEFORE);
    assert_eq!((output.action, output.end), (ConnectionAction::Close, Some(CallEnd::HeldBack)));
    for state in ["connecting", "unsent", "partly sent"] {
        let mut call = attempt(SEND_BEFORE, state);
        assert_eq!(call.wake_at(), Some(SEND_BEFORE), "{state}");
        assert_eq!(call.step(AttemptInput::Tick, SEND_BEFORE - 1).end, None);
        let output = call.step(AttemptInput::Tick, SEND_BEFORE);
        assert_eq!(
            (output.action, output.end),
            (ConnectionAction::Close, Some(CallEnd::HeldBack)),
            "{state}"
        );
    }
    // Its last byte was sent: only the timeout of the call applies.
    let mut whole = attempt(SEND_BEFORE, "awaiting");
    assert_eq!(whole.wake_at(), None);
    assert_eq!(whole.step(AttemptInput::Tick, SEND_BEFORE).end, None);
}

/// A call whose last byte was not sent has had no effect, whether a timeout, the policy, a reset or a refused connection
/// ends it. A call whose last byte was sent may have had one.
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
        ("partly sent", AttemptInput::WriteFailed, CouldNotConnect),
        ("partly sent", AttemptInput::MessageEnded, HeldBack),
        ("partly sent", AttemptInput::BackOff, HeldBack),
        ("partly sent", AttemptInput::Deadline, CouldNotConnect),
        ("partly sent", AttemptInput::GiveUp, CouldNotConnect),
    ];
    for (state, input, end) in unsent {
        let mut call = attempt(Micros::MAX, state);
        let output = call.step(input, NOW);
        assert_eq!(output.end, Some(end), "{state}, {input:?}");
        assert_eq!(call.state(), AttemptState::Finished, "{state}, {input:?}");
        // No further byte may be sent, so the connection is closed; a refused one does not exist.
        let closing_action =
            if input == AttemptInput::Refused { ConnectionAction::Nothing } else { ConnectionAction::Close };
        assert_eq!(output.action, closing_action, "{state}, {input:?}");
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
            assert_eq!(read_bytes(&mut call, answer, NOW), (ConnectionAction::Nothing, None));
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

/// An answer that is received after the cancellation is the result: a rejection proves that the call had no effect.
#[test]
fn an_answer_that_crosses_with_the_cancellation_counts() {
    for input in [AttemptInput::Deadline, AttemptInput::GiveUp] {
        let mut call = attempt(Micros::MAX, "awaiting");
        assert_eq!(call.step(input, NOW).action, ConnectionAction::Finish);
        assert_eq!(read_bytes(&mut call, b"429", NOW + 1), (ConnectionAction::Nothing, None));
        assert_eq!(read_bytes(&mut call, b".", NOW + 2), (ConnectionAction::Close, Some(CallEnd::Full(0))));
    }
}

/// An interim answer may be received in two parts. The final answer then has its own timeout.
#[test]
fn an_interim_answer_in_two_parts_does_not_end_a_call() {
    let mut call = attempt(Micros::MAX, "awaiting");
    assert_eq!(read_bytes(&mut call, b"102", NOW), (ConnectionAction::Nothing, None));
    assert_eq!(call.state(), AttemptState::Reading { deadline: NOW + ANSWER_READ_TIMEOUT });
    assert_eq!(read_bytes(&mut call, b";", NOW + 10), (ConnectionAction::Nothing, None));
    assert_eq!((call.state(), call.wake_at()), (AttemptState::Awaiting, None));
    assert_eq!(call.step(AttemptInput::Tick, NOW + ANSWER_READ_TIMEOUT).end, None);
    assert_eq!(
        read_bytes(&mut call, b"503.", NOW + 5 * ANSWER_READ_TIMEOUT),
        (ConnectionAction::Keep, Some(CallEnd::Full(0)))
    );
}

/// An endless answer is limited by a timeout from its first byte on, and in size. Interim answers are limited in size and by
/// the timeout of the call.
#[test]
fn an_endless_answer_ends_by_time_or_by_bytes() {
    for (start_of_answer, end) in [(&b"200"[..], CallEnd::Delivered), (b"500", CallEnd::Spoilt(0))] {
        let mut call = attempt(Micros::MAX, "awaiting");
        read_bytes(&mut call, start_of_answer, NOW);
        for n in 1..10 {
            assert_eq!(read_bytes(&mut call, b"x", NOW + n * ANSWER_READ_TIMEOUT / 10).1, None);
            assert_eq!(
                call.wake_at(),
                Some(NOW + ANSWER_READ_TIMEOUT),
                "another byte does not extend the deadline"
            );
        }
        let output = call.step(AttemptInput::Tick, NOW + ANSWER_READ_TIMEOUT);
        assert_eq!((output.action, output.end), (ConnectionAction::Close, Some(end)));

        let mut call = attempt(Micros::MAX, "awaiting");
        read_bytes(&mut call, start_of_answer, NOW);
        assert_eq!(
            read_bytes(&mut call, &[b'x'; MAX_ANSWER_BYTES], NOW),
            (ConnectionAction::Close, Some(end))
        );
    }
    let mut call = attempt(Micros::MAX, "awaiting");
    let mut read = 0;
    let end = loop {
        read += 2;
        if let (action, Some(end)) = read_bytes(&mut call, b"1;", NOW) {
            break (action, end);
        }
    };
    assert_eq!((end, read), ((ConnectionAction::Close, CallEnd::Spoilt(0)), MAX_ANSWER_BYTES + 2));
}
