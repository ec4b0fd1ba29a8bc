//! The events of the world of streams, which make up the paths of its exploration.

use std::fmt;

/// One event, and the body that it happens to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BodyEvent {
    /// Index of the body; 0 for events that happen to no body.
    pub body: usize,
    /// What happens.
    pub event: StreamEvent,
}

/// One event of the client, of the endpoint, of the platform or of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StreamEvent {
    /// The client submits the head of the message.
    HeadSubmitted,
    /// The client sends a unit of the body.
    UnitArrived,
    /// The client has sent all of the body.
    BodyCompleted,
    /// The digest of the body is wrong.
    DigestMismatch,
    /// The client disconnects before the end of its body.
    ClientDisconnected,
    /// The connection to the endpoint is established.
    Connected,
    /// The connection to the endpoint is refused.
    ConnectionRefused,
    /// The driver writes a unit of the body.
    UnitWritten,
    /// The driver writes the end of the body.
    EndWritten,
    /// The driver can't write.
    WriteFailed,
    /// The endpoint answers 200, at whatever time.
    AnsweredOk,
    /// The endpoint answers 500.
    AnsweredError,
    /// The endpoint answers 503: the call never ran.
    AnsweredFull,
    /// The endpoint answers 429, with a wait.
    AnsweredWait,
    /// The endpoint resets the connection.
    ConnectionReset,
    /// The endpoint stalls, or does not answer.
    TimedOut,
    /// A timer of the attempt expires.
    CallTick,
    /// The wait that the destination asked for has ended, and the driver goes on.
    WritingResumed,
    /// No call has begun within the time for admission.
    AdmissionExpired,
    /// The clock goes on to the next timer.
    ClockAdvanced,
    /// The client receives its answer.
    AnswerReceived,
    /// The client has disconnected before its answer.
    AnswerMissed,
    /// The platform receives and confirms the notices.
    NoticesConfirmed,
    /// SIGKILL, and a new start.
    Kill,
}

impl StreamEvent {
    /// The name that is printed in paths.
    pub fn name(self) -> &'static str {
        match self {
            StreamEvent::HeadSubmitted => "HandIn",
            StreamEvent::UnitArrived => "Arrives",
            StreamEvent::BodyCompleted => "IsWhole",
            StreamEvent::DigestMismatch => "Digest",
            StreamEvent::ClientDisconnected => "Gone",
            StreamEvent::Connected => "Up",
            StreamEvent::ConnectionRefused => "Refused",
            StreamEvent::UnitWritten => "Writes",
            StreamEvent::EndWritten => "Finishes",
            StreamEvent::WriteFailed => "WriteFails",
            StreamEvent::AnsweredOk => "Ok",
            StreamEvent::AnsweredError => "Error",
            StreamEvent::AnsweredFull => "Full",
            StreamEvent::AnsweredWait => "Wait",
            StreamEvent::ConnectionReset => "Breaks",
            StreamEvent::TimedOut => "TimeUp",
            StreamEvent::CallTick => "CallTick",
            StreamEvent::WritingResumed => "Resumes",
            StreamEvent::AdmissionExpired => "Unbegun",
            StreamEvent::ClockAdvanced => "Wake",
            StreamEvent::AnswerReceived => "Hears",
            StreamEvent::AnswerMissed => "Deaf",
            StreamEvent::NoticesConfirmed => "Confirmed",
            StreamEvent::Kill => "Kill",
        }
    }
}

impl fmt::Display for BodyEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.body, self.event.name())
    }
}
