//! A path as a recorded exchange (`courier/program/tests/exchanges`), for the program on sockets.
//!
//! Not every move can be played there: a test on sockets has no say over half a write, a refused dial, the disk or
//! a microsecond. Such a path is refused, with the move that it fails at.

use crate::action::{Action, Answer, CallRef, Transition, WriteExtent};
use crate::case::{CLASSES, Case};
use crate::search::play;
use crate::world::World;
use std::fmt::Write;
use std::sync::Arc;

/// The exchange that plays this path.
///
/// # Errors
/// A move that can't be played on sockets, or a path that can't be played at all.
pub fn exchange(case: &Arc<Case>, path: &[Transition]) -> Result<String, String> {
    let mut text = String::from("# Exported by quillmount-explore.\n");
    let _ = writeln!(text, "set slots={}\nset open_cap={}", case.slots, case.open_cap);
    // The configuration of the exchanges names two parties.
    (1..=case.endpoints.max(2)).for_each(|n| {
        let _ = writeln!(text, "open p{n}");
    });
    text.push_str("start\n");
    let mut version = 42;
    list(&mut text, &World::new(case)?, version);
    let mut before = World::new(case)?;
    let mut failure = None;
    play(case, path, |n, m, world| {
        if failure.is_none() {
            let step = match m.crash {
                Some(_) => Err("a kill at a certain write"),
                None => step(&mut text, &mut version, m.action, &before, world),
            };
            failure = step.err().map(|why| format!("move {}: {m}: {why} can't be played on sockets", n + 1));
        }
        before = world.clone();
    })?;
    failure.map_or(Ok(text), Err)
}

fn step(
    text: &mut String,
    version: &mut u64,
    action: Action,
    before: &World,
    after: &World,
) -> Result<(), &'static str> {
    // A call is named by its endpoint, and there is one at a time, since the file names no connections.
    let party =
        |call_ref: CallRef| before.endpoint_of(call_ref).or(after.endpoint_of(call_ref)).map_or(1, |n| n + 1);
    match action {
        Action::Submit { .. } | Action::Resubmit { .. } | Action::SubmitSameKey { .. } => {
            submission(text, action, before, after);
        }
        Action::Connected(_) => {}
        Action::Write(call_ref, WriteExtent::Complete) => {
            let _ = writeln!(text, "provider p{}", party(call_ref));
        }
        Action::Write(..) => return Err("half a write"),
        Action::Answer(call_ref, answer) => {
            let _ = writeln!(text, "provider p{}", party(call_ref));
            answer_lines(text, answer);
        }
        Action::Reset(call_ref) | Action::EndpointClosed(call_ref) => {
            let _ = writeln!(text, "shut p{}", party(call_ref));
        }
        Action::Deadline(call_ref) => {
            let _ = writeln!(text, "gone p{}", party(call_ref));
        }
        Action::Confirmed => text.push_str("notices 204\n"),
        Action::NoticesLost { received: true } => text.push_str("notices 500\n"),
        Action::EndpointDraining(_)
        | Action::EndpointGone(_)
        | Action::EndpointReady(_)
        | Action::FullList => {
            *version += 1;
            list(text, after, *version);
        }
        Action::Kill => text.push_str("kill\n"),
        Action::Start => text.push_str("start\n"),
        Action::Term => text.push_str("term\n"),
        Action::Exit => text.push_str("exit\n"),
        // The program keeps its own time, and sends its notices itself.
        Action::AdvanceClock { .. }
        | Action::Tick
        | Action::CallTick(_)
        | Action::SendNotices
        | Action::NoticeTick => {}
        Action::Refused(_) => return Err("a dial that fails"),
        Action::AnswerArrived(..) | Action::ReadAnswer(_) => {
            return Err("an answer that waits in the socket");
        }
        Action::DiskFull | Action::DiskFree => return Err("a full disk"),
        Action::EndpointReplaced(_) | Action::WatchBreak | Action::WatchTick | Action::IdleClosed(_) => {
            return Err("this");
        }
        Action::NoticesLost { received: false } | Action::ConfirmedTwice => return Err("a lost notice"),
    }
    Ok(())
}

/// A submission, as a client writes it.
fn submission(text: &mut String, action: Action, before: &World, after: &World) {
    let message = match action {
        Action::Resubmit { message } => message as usize,
        _ => after.monitor.messages.len() - 1,
    };
    let m = &after.monitor.messages[message];
    let body = format!("body of m{message}");
    let _ = writeln!(text, "consumer\n> POST /{} HTTP/1.1", CLASSES[m.class as usize]);
    let _ = writeln!(text, "> X-Correlation-Id: m{message}");
    if m.class == 1 {
        let _ = writeln!(text, "> Idempotency-Key: k{}", m.key);
    }
    let _ = writeln!(text, "> X-Time-Left: {}m\n> X-Addressing: dest={}", before.time_left_ms(), m.dest + 1);
    let _ = writeln!(text, "> Content-Length: {}\n>\n> {body}", body.len());
}

/// The lines of an answer, as an endpoint writes it.
fn answer_lines(text: &mut String, answer: Answer) {
    let bytes = String::from_utf8_lossy(answer.bytes());
    bytes.trim_end_matches("\r\n").split("\r\n").for_each(|line| {
        let _ = writeln!(text, "> {line}");
    });
    text.push_str(">\n");
}

fn list(text: &mut String, world: &World, version: u64) {
    let servers: Vec<String> = world
        .endpoints()
        .map(|(n, dest, state)| {
            let (id, dest) = (n + 1, dest + 1);
            format!(
                r#"{{"id":"p{id}","addr":"[p{id}]","zone":"a","kind":"bank","cell":{dest},"state":"{state}","weight":50.0}}"#
            )
        })
        .collect();
    let _ =
        writeln!(text, "list\n> {{\"version\":{version},\"full\":true,\"servers\":[{}]}}", servers.join(","));
}
