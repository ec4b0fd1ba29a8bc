//! Operator commands. Each connection carries one line of text and gets one line in reply, `SUCCESS ...` or
//! `FAILURE ...` (`docs/operators.md`, `docs/operators-design.md`).
//!
//! The listener passes all bytes received on a connection to [`read`] until the line is complete, and replies with
//! [`answer`].

/// Maximum length of a line in bytes. An endpoint id from discovery has at most 128 bytes, a verb at most eight.
pub const LINE_MAX: usize = 256;

/// An operator command, decoded from one line.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum OperatorCall {
    /// Readiness check: reports whether this process can serve.
    Ready,
    /// Stops sending to the endpoint with this id until [`OperatorCall::Enable`] names it.
    Disable(String),
    /// Resumes sending to the endpoint with this id.
    Enable(String),
    /// Drains the courier: it accepts no new clients.
    Drain,
    /// Ends a drain; the courier accepts clients again.
    Undrain,
}

/// Why a line is not a command. Its `Display` text is sent in the `FAILURE` reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OperatorCallError {
    /// The line is longer than [`LINE_MAX`].
    #[error("the line is longer than {LINE_MAX} bytes")]
    TooLong,
    /// The line is not UTF-8.
    #[error("the line is not UTF-8")]
    NotText,
    /// The line has no verb.
    #[error("the line is empty")]
    Empty,
    /// The verb is none of those in [`OperatorCall`]. Verbs are case-sensitive.
    #[error("no such call; there are READY, DISABLE ID, ENABLE ID, DRAIN and UNDRAIN")]
    Unknown,
    /// The verb requires an endpoint id and the line has none.
    #[error("this call takes one id")]
    MissingId,
    /// The line has more fields than its verb takes.
    #[error("something stands behind the call")]
    TrailingFields,
    /// The peer stopped sending before the line feed.
    #[error("the line has no end")]
    Unterminated,
}

/// The state of a connection's line, given the bytes received so far.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Line {
    /// The line feed has not been received.
    Partial,
    /// The line is complete, or can no longer become a valid command.
    Complete(Result<OperatorCall, OperatorCallError>),
}

/// Decodes the bytes received so far; `ended` means that the peer sends no more. Only the first line counts,
/// however it was split into packets; bytes after it are ignored.
pub fn read(bytes: &[u8], ended: bool) -> Line {
    let Some(end) = bytes.iter().position(|b| *b == b'\n') else {
        return match bytes.len() {
            0 if ended => Line::Complete(Err(OperatorCallError::Empty)),
            length if length > LINE_MAX => Line::Complete(Err(OperatorCallError::TooLong)),
            _ if ended => Line::Complete(Err(OperatorCallError::Unterminated)),
            _ => Line::Partial,
        };
    };
    Line::Complete(if end > LINE_MAX { Err(OperatorCallError::TooLong) } else { decode(&bytes[..end]) })
}

fn decode(line: &[u8]) -> Result<OperatorCall, OperatorCallError> {
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    let line = std::str::from_utf8(line).map_err(|_| OperatorCallError::NotText)?;
    let mut fields = line.split(' ').filter(|field| !field.is_empty());
    let verb = fields.next().ok_or(OperatorCallError::Empty)?;
    let id = fields.next();
    if fields.next().is_some() {
        return Err(OperatorCallError::TrailingFields);
    }
    let without_id = |call| if id.is_none() { Ok(call) } else { Err(OperatorCallError::TrailingFields) };
    let with_id = || id.map(str::to_owned).ok_or(OperatorCallError::MissingId);
    match verb {
        "READY" => without_id(OperatorCall::Ready),
        "DRAIN" => without_id(OperatorCall::Drain),
        "UNDRAIN" => without_id(OperatorCall::Undrain),
        "DISABLE" => with_id().map(OperatorCall::Disable),
        "ENABLE" => with_id().map(OperatorCall::Enable),
        _ => Err(OperatorCallError::Unknown),
    }
}

/// Encodes the reply line to a command: `SUCCESS` with a result, or `FAILURE` with the reason.
pub fn answer(result: Result<&str, &str>) -> String {
    match result {
        Ok(text) => format!("SUCCESS {text}\n"),
        // The reply is a single line, so line breaks quoted in the reason become spaces.
        Err(reason) => format!("FAILURE {}\n", reason.replace(['\r', '\n'], " ")),
    }
}
