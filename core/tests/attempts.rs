//! The attempt's machine, at the moments where two of its events fall together.

use quillmount_core::CallEnd;
use quillmount_core::machine::attempt::{Answer, Attempt, CLOSING, Decode, Input, Link, REST, State};
use spurshore::Micros;

const NOW: Micros = 1_000_000_000;
const BY: Micros = NOW + 950_000;
const MOST: usize = 64;

/// An answer is whole with `.`, an interim one with `;`; `200` at its beginning is believed without its end.
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

/// A call whose request has two bytes; how many of them have left.
fn attempt(by: Micros, state: &str) -> Attempt {
    let mut attempt = Attempt::new(DECODE, MOST, by);
    if state == "new" {
        return attempt;
    }
    attempt.step(Input::Start { open: true, resting: state != "connecting" }, NOW);
    if matches!(state, "half" | "awaiting") {
        attempt.step(Input::Wrote { bytes: 1, left: 1 }, NOW);
    }
    if state == "awaiting" {
        attempt.step(Input::Wrote { bytes: 1, left: 0 }, NOW);
    }
    attempt
}

fn reads(attempt: &mut Attempt, bytes: &[u8], now: Micros) -> (Link, Option<CallEnd>) {
    attempt.answer_mut().extend_from_slice(bytes);
    let output = attempt.step(Input::Read, now);
    (output.link, output.end)
}

/// Between the order and the first byte the host may stand still: a repeat that is late by then stays.
#[test]
fn a_repeat_that_begins_after_its_span_does_not_leave() {
    for resting in [true, false] {
        for (now, state) in [(BY - 1, None), (BY, Some(CallEnd::HeldBack)), (BY + 9, Some(CallEnd::HeldBack))]
        {
            let mut call = attempt(BY, "new");
            let output = call.step(Input::Start { open: true, resting }, now);
            assert_eq!(output.end, state, "{now}, {resting}");
            if state.is_some() {
                assert_eq!((output.link, call.state()), (Link::Keep, State::Over), "what rested rests on");
            }
        }
    }
    // One that is no repeat has no such time.
    let mut first = attempt(Micros::MAX, "new");
    assert_eq!(first.step(Input::Start { open: true, resting: true }, BY).end, None);
}

/// A connection that comes up late, or a write that lasts: neither the first byte of a repeat leaves after its time,
/// nor the last.
#[test]
fn a_repeat_leaves_whole_within_its_span_or_not() {
    let mut late = attempt(BY, "connecting");
    let output = late.step(Input::Connected { open: true }, BY);
    assert_eq!((output.link, output.end), (Link::Close, Some(CallEnd::HeldBack)));
    for state in ["connecting", "unsent", "half"] {
        let mut call = attempt(BY, state);
        assert_eq!(call.wake_at(), Some(BY), "{state}");
        assert_eq!(call.step(Input::Tick, BY - 1).end, None);
        let output = call.step(Input::Tick, BY);
        assert_eq!((output.link, output.end), (Link::Close, Some(CallEnd::HeldBack)), "{state}");
    }
    // Its last byte has left: it is waited for as any.
    let mut whole = attempt(BY, "awaiting");
    assert_eq!(whole.wake_at(), None);
    assert_eq!(whole.step(Input::Tick, BY).end, None);
}

/// Up to its last byte a call has not run, whatever stops it: its time, the module, a reset, its connect. From then
/// on it may have.
#[test]
fn what_ends_before_its_last_byte_never_ran_and_what_ends_after_it_may_have() {
    use CallEnd::{CouldNotConnect, GivenUp, HeldBack, Reset, Spoilt, TimedOut};
    let unsent = [
        ("connecting", Input::Refused, CouldNotConnect),
        ("connecting", Input::Connected { open: false }, HeldBack),
        ("connecting", Input::Ended, HeldBack),
        ("connecting", Input::Deadline, CouldNotConnect),
        ("connecting", Input::GiveUp, CouldNotConnect),
        ("unsent", Input::WriteFailed, CouldNotConnect),
        ("unsent", Input::Ended, HeldBack),
        ("unsent", Input::Hold, HeldBack),
        ("unsent", Input::Deadline, CouldNotConnect),
        ("unsent", Input::GiveUp, CouldNotConnect),
        ("half", Input::WriteFailed, CouldNotConnect),
        ("half", Input::Ended, HeldBack),
        ("half", Input::Hold, HeldBack),
        ("half", Input::Deadline, CouldNotConnect),
        ("half", Input::GiveUp, CouldNotConnect),
    ];
    for (state, input, end) in unsent {
        let mut call = attempt(Micros::MAX, state);
        let output = call.step(input, NOW);
        assert_eq!(output.end, Some(end), "{state}, {input:?}");
        assert_eq!(call.state(), State::Over, "{state}, {input:?}");
        // Nothing of it may leave any more; a refused connect has no connection.
        let gone = if input == Input::Refused { Link::Nothing } else { Link::Close };
        assert_eq!(output.link, gone, "{state}, {input:?}");
    }
    let sent: [(Input, &[u8], CallEnd); 8] = [
        (Input::Reset, b"", Reset),
        (Input::End, b"", Reset),
        (Input::Reset, b"20", Spoilt(0)),
        (Input::Reset, b"200 OK", CallEnd::Delivered),
        (Input::End, b"200 OK", CallEnd::Delivered),
        (Input::Deadline, b"", TimedOut),
        (Input::GiveUp, b"", GivenUp),
        (Input::Deadline, b"200 OK", CallEnd::Delivered),
    ];
    for (input, answer, end) in sent {
        let mut call = attempt(Micros::MAX, "awaiting");
        if !answer.is_empty() {
            assert_eq!(reads(&mut call, answer, NOW), (Link::Nothing, None));
        }
        let mut output = call.step(input, NOW);
        if matches!(call.state(), State::Closing { .. }) {
            assert_eq!((output.link, output.end), (Link::Finish, None));
            output = call.step(Input::Tick, NOW + CLOSING);
        }
        assert_eq!((output.link, output.end), (Link::Close, Some(end)), "{input:?}, {answer:?}");
    }
}

/// What is told in the last moment holds: a refusal that crosses with the word to give up proves that it never ran.
#[test]
fn an_answer_that_crosses_with_the_end_of_waiting_counts() {
    for word in [Input::Deadline, Input::GiveUp] {
        let mut call = attempt(Micros::MAX, "awaiting");
        assert_eq!(call.step(word, NOW).link, Link::Finish);
        assert_eq!(reads(&mut call, b"429", NOW + 1), (Link::Nothing, None));
        assert_eq!(reads(&mut call, b".", NOW + 2), (Link::Close, Some(CallEnd::Full(0))));
    }
}

/// An interim answer may come in two parts; the answer that counts has its own time.
#[test]
fn an_interim_answer_in_two_parts_does_not_end_a_call() {
    let mut call = attempt(Micros::MAX, "awaiting");
    assert_eq!(reads(&mut call, b"102", NOW), (Link::Nothing, None));
    assert_eq!(call.state(), State::Reading { by: NOW + REST });
    assert_eq!(reads(&mut call, b";", NOW + 10), (Link::Nothing, None));
    assert_eq!((call.state(), call.wake_at()), (State::Awaiting, None));
    assert_eq!(call.step(Input::Tick, NOW + REST).end, None);
    assert_eq!(reads(&mut call, b"503.", NOW + 5 * REST), (Link::Keep, Some(CallEnd::Full(0))));
}

/// An answer without an end is bounded in time once it has begun, and in bytes; interim ones in bytes, and by the
/// time of the call.
#[test]
fn an_endless_answer_ends_by_time_or_by_bytes() {
    for (begins, end) in [(&b"200"[..], CallEnd::Delivered), (b"500", CallEnd::Spoilt(0))] {
        let mut call = attempt(Micros::MAX, "awaiting");
        reads(&mut call, begins, NOW);
        for n in 1..10 {
            assert_eq!(reads(&mut call, b"x", NOW + n * REST / 10).1, None);
            assert_eq!(call.wake_at(), Some(NOW + REST), "a byte more does not make it longer");
        }
        let output = call.step(Input::Tick, NOW + REST);
        assert_eq!((output.link, output.end), (Link::Close, Some(end)));

        let mut call = attempt(Micros::MAX, "awaiting");
        reads(&mut call, begins, NOW);
        assert_eq!(reads(&mut call, &[b'x'; MOST], NOW), (Link::Close, Some(end)));
    }
    let mut call = attempt(Micros::MAX, "awaiting");
    let mut read = 0;
    let end = loop {
        read += 2;
        if let (link, Some(end)) = reads(&mut call, b"1;", NOW) {
            break (link, end);
        }
    };
    assert_eq!((end, read), ((Link::Close, CallEnd::Spoilt(0)), MOST + 2));
}
