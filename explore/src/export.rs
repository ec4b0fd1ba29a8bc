//! A path as a recorded exchange (`courier/tests/exchanges`), for the program on sockets.
//!
//! Not every move can be played there: a test on sockets has no say over half a write, a refused dial, the disk or
//! a microsecond. Such a path is refused, with the move that it fails at.

use crate::case::{CLASSES, Case};
use crate::choice::{Choice, Move, Which, Written};
use crate::search::play;
use crate::world::World;
use std::fmt::Write;
use std::sync::Arc;

/// The exchange that plays this path.
///
/// # Errors
/// A move that can't be played on sockets, or a path that can't be played at all.
pub fn exchange(case: &Arc<Case>, path: &[Move]) -> Result<String, String> {
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
    let mut wrong = None;
    play(case, path, |n, m, world| {
        if wrong.is_none() {
            let step = match m.die {
                Some(_) => Err("a kill at a certain write"),
                None => step(&mut text, &mut version, m.choice, &before, world),
            };
            wrong = step.err().map(|why| format!("move {}: {m}: {why} can't be played on sockets", n + 1));
        }
        before = world.clone();
    })?;
    wrong.map_or(Ok(text), Err)
}

fn step(
    text: &mut String,
    version: &mut u64,
    choice: Choice,
    before: &World,
    after: &World,
) -> Result<(), &'static str> {
    // A call is told by its provider's name; one at a time there, since the file names no connection.
    let party = |w: Which| before.provider_of(w).or(after.provider_of(w)).map_or(1, |n| n + 1);
    match choice {
        Choice::HandIn { .. } | Choice::Again { .. } | Choice::SameKey { .. } => {
            let message = match choice {
                Choice::Again { message } => message as usize,
                _ => after.monitor.messages.len() - 1,
            };
            let m = &after.monitor.messages[message];
            let body = format!("body of m{message}");
            let _ = writeln!(text, "consumer\n> POST /{} HTTP/1.1", CLASSES[m.class as usize]);
            let _ = writeln!(text, "> X-Correlation-Id: m{message}");
            if m.class == 1 {
                let _ = writeln!(text, "> Idempotency-Key: k{}", m.key);
            }
            let _ = writeln!(
                text,
                "> X-Time-Left: {}m\n> X-Addressing: dest={}",
                before.time_left_ms(),
                m.dest + 1
            );
            let _ = writeln!(text, "> Content-Length: {}\n>\n> {body}", body.len());
        }
        Choice::Up(_) => {}
        Choice::Write(w, Written::Whole) => {
            let _ = writeln!(text, "provider p{}", party(w));
        }
        Choice::Write(..) => return Err("half a write"),
        Choice::Answer(w, answer) => {
            let _ = writeln!(text, "provider p{}", party(w));
            let bytes = String::from_utf8_lossy(answer.bytes());
            bytes.trim_end_matches("\r\n").split("\r\n").for_each(|line| {
                let _ = writeln!(text, "> {line}");
            });
            text.push_str(">\n");
        }
        Choice::Reset(w) | Choice::End(w) => {
            let _ = writeln!(text, "shut p{}", party(w));
        }
        Choice::Deadline(w) => {
            let _ = writeln!(text, "gone p{}", party(w));
        }
        Choice::Confirmed => text.push_str("notices 204\n"),
        Choice::Lost { got: true } => text.push_str("notices 500\n"),
        Choice::Drain(_) | Choice::Gone(_) | Choice::Ready(_) | Choice::Whole => {
            *version += 1;
            list(text, after, *version);
        }
        Choice::Kill => text.push_str("kill\n"),
        Choice::Start => text.push_str("start\n"),
        Choice::Term => text.push_str("term\n"),
        Choice::Exit => text.push_str("exit\n"),
        // The program keeps its own time, and sends its notices itself.
        Choice::Pass { .. }
        | Choice::Tick
        | Choice::CallTick(_)
        | Choice::SendNotices
        | Choice::NoticeTick => {}
        Choice::Refused(_) => return Err("a dial that fails"),
        Choice::Arrives(..) | Choice::Read(_) => return Err("an answer that waits in the socket"),
        Choice::DiskFull | Choice::DiskFree => return Err("a full disk"),
        Choice::Replace(_) | Choice::WatchBreak | Choice::WatchTick | Choice::Idle(_) => return Err("this"),
        Choice::Lost { got: false } | Choice::Twice => return Err("a lost notice"),
    }
    Ok(())
}

fn list(text: &mut String, world: &World, version: u64) {
    let servers: Vec<String> = world
        .providers()
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
