//! A path as a recorded exchange (`courier/program/tests/exchanges`), for the program on sockets.
//!
//! Not every transition can be played there: a test on sockets has no say in a partial write, a refused connection, the
//! disk or a microsecond. Such a path is rejected, with the transition that it fails at.

use crate::action::{Action, Answer, CallRef, Transition, WriteExtent};
use crate::case::{CLASSES, Case, NOTICE};
use crate::search::{PlayError, play};
use crate::world::{World, WorldError};
use std::sync::Arc;

/// The version of the first endpoint list in an exchange.
const FIRST_LIST_VERSION: u64 = 42;
/// Endpoints that the configuration of the exchanges names at least.
const ENDPOINTS_MIN: u8 = 2;

/// A path can't be exported.
#[derive(Debug, thiserror::Error)]
pub enum ExportError {
    /// Its world can't be made.
    #[error(transparent)]
    World(#[from] WorldError),
    /// The path can't be played.
    #[error(transparent)]
    Play(#[from] PlayError),
    /// A transition can't be played on sockets.
    #[error("move {number}: {transition}: {obstacle} can't be played on sockets")]
    Unplayable {
        /// Its number on the path, from 1.
        number: usize,
        /// The transition.
        transition: Transition,
        /// What of it can't be played.
        obstacle: SocketObstacle,
    },
}

/// What a test on sockets can't bring about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SocketObstacle {
    /// A kill at one of the writes to the store.
    #[error("a kill at a certain write")]
    KillAtWrite,
    /// A write of a part of the request, or one that fails.
    #[error("half a write")]
    PartialWrite,
    /// A connection that is refused.
    #[error("a dial that fails")]
    FailedConnect,
    /// An answer that is read later than it arrives.
    #[error("an answer that waits in the socket")]
    UnreadAnswer,
    /// A disk that refuses writes.
    #[error("a full disk")]
    FullDisk,
    /// Notices that are lost on their way, or confirmed twice.
    #[error("a lost notice")]
    LostNotice,
    /// An action for which the exchanges have no line.
    #[error("this")]
    Action,
}

/// The exchange that plays this path.
///
/// # Errors
/// A transition that can't be played on sockets, or a path that can't be played at all.
pub fn exchange(case: &Arc<Case>, path: &[Transition]) -> Result<String, ExportError> {
    let mut before = World::new(case)?;
    let mut writer = ExchangeWriter::default();
    writer.preamble(case, &before);
    let mut failure = None;
    play(case, path, |index, transition, world| {
        if failure.is_none() {
            let outcome = writer.transition(transition, &before, world);
            failure = outcome.err().map(|obstacle| ExportError::Unplayable {
                number: index + 1,
                transition,
                obstacle,
            });
        }
        before = world.clone();
    })?;
    match failure {
        Some(error) => Err(error),
        None => Ok(writer.text),
    }
}

/// Writes the lines of an exchange.
#[derive(Default)]
struct ExchangeWriter {
    text: String,
    list_version: u64,
}

impl ExchangeWriter {
    fn line(&mut self, line: &str) {
        self.text.push_str(line);
        self.text.push('\n');
    }

    /// The settings, the endpoints and their first list.
    fn preamble(&mut self, case: &Case, world: &World) {
        self.line("# Exported by quillmount-explore.");
        self.line(&format!("set slots={}", case.slots));
        self.line(&format!("set open_cap={}", case.open_cap));
        for number in 1..=case.endpoints.max(ENDPOINTS_MIN) {
            self.line(&format!("open p{number}"));
        }
        self.line("start");
        self.list_version = FIRST_LIST_VERSION;
        self.endpoint_list(world);
    }

    /// The lines of one transition, which led from one world to the other.
    fn transition(
        &mut self,
        transition: Transition,
        before: &World,
        after: &World,
    ) -> Result<(), SocketObstacle> {
        if transition.crash.is_some() {
            return Err(SocketObstacle::KillAtWrite);
        }
        // A call is named by its endpoint, and there is one at a time, since the file names no connections.
        let endpoint = |call_ref: CallRef| {
            let index = before.endpoint_of(call_ref).or(after.endpoint_of(call_ref));
            index.map_or(1, |index| index + 1)
        };
        match transition.action {
            Action::Submit { .. } | Action::Resubmit { .. } | Action::SubmitSameKey { .. } => {
                self.submission(transition.action, before, after);
            }
            Action::Write(call_ref, WriteExtent::Complete) => {
                self.line(&format!("provider p{}", endpoint(call_ref)));
            }
            Action::Answer(call_ref, answer) => {
                self.line(&format!("provider p{}", endpoint(call_ref)));
                self.answer(answer);
            }
            Action::Reset(call_ref) | Action::EndpointClosed(call_ref) => {
                self.line(&format!("shut p{}", endpoint(call_ref)));
            }
            Action::Deadline(call_ref) => self.line(&format!("gone p{}", endpoint(call_ref))),
            Action::EndpointDraining(_)
            | Action::EndpointGone(_)
            | Action::EndpointReady(_)
            | Action::FullList => {
                self.list_version += 1;
                self.endpoint_list(after);
            }
            other => self.single_line(other)?,
        }
        Ok(())
    }

    /// An action that is one fixed line, or none.
    fn single_line(&mut self, action: Action) -> Result<(), SocketObstacle> {
        match action {
            Action::Confirmed => self.line("notices 204"),
            Action::NoticesLost { received: true } => self.line("notices 500"),
            Action::Kill => self.line("kill"),
            Action::Start => self.line("start"),
            Action::Term => self.line("term"),
            Action::Exit => self.line("exit"),
            // The program keeps its own time, connects and sends its notices itself.
            Action::Connected(_)
            | Action::AdvanceClock { .. }
            | Action::Tick
            | Action::CallTick(_)
            | Action::SendNotices
            | Action::NoticeTick => {}
            Action::Write(..) => return Err(SocketObstacle::PartialWrite),
            Action::Refused(_) => return Err(SocketObstacle::FailedConnect),
            Action::AnswerArrived(..) | Action::ReadAnswer(_) => {
                return Err(SocketObstacle::UnreadAnswer);
            }
            Action::DiskFull | Action::DiskFree => return Err(SocketObstacle::FullDisk),
            Action::NoticesLost { received: false } | Action::ConfirmedTwice => {
                return Err(SocketObstacle::LostNotice);
            }
            _ => return Err(SocketObstacle::Action),
        }
        Ok(())
    }

    /// A submission, as a client writes it.
    fn submission(&mut self, action: Action, before: &World, after: &World) {
        let index = match action {
            Action::Resubmit { message } => message as usize,
            _ => after.monitor.messages.len() - 1,
        };
        let message = &after.monitor.messages[index];
        let body = format!("body of m{index}");
        self.line("consumer");
        self.line(&format!("> POST /{} HTTP/1.1", CLASSES[usize::from(message.class)]));
        self.line(&format!("> X-Correlation-Id: m{index}"));
        if message.class == NOTICE {
            self.line(&format!("> Idempotency-Key: k{}", message.key));
        }
        self.line(&format!("> X-Time-Left: {}m", before.time_left_ms()));
        self.line(&format!("> X-Addressing: dest={}", message.dest + 1));
        self.line(&format!("> Content-Length: {}", body.len()));
        self.line(">");
        self.line(&format!("> {body}"));
    }

    /// The lines of an answer, as an endpoint writes it.
    fn answer(&mut self, answer: Answer) {
        let bytes = String::from_utf8_lossy(answer.bytes());
        for line in bytes.trim_end_matches("\r\n").split("\r\n") {
            self.line(&format!("> {line}"));
        }
        self.line(">");
    }

    /// The endpoint list of a world, as discovery writes it.
    fn endpoint_list(&mut self, world: &World) {
        let servers: Vec<String> = world
            .endpoints()
            .map(|endpoint| {
                let (id, dest, state) = (endpoint.index + 1, endpoint.dest + 1, endpoint.state);
                format!(
                    r#"{{"id":"p{id}","addr":"[p{id}]","zone":"a","kind":"bank","cell":{dest},"state":"{state}","weight":50.0}}"#
                )
            })
            .collect();
        let version = self.list_version;
        self.line("list");
        self.line(&format!(r#"> {{"version":{version},"full":true,"servers":[{}]}}"#, servers.join(",")));
    }
}
