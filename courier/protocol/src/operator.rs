//! Operators' calls: one line of text for each connection, and one line in reply, `SUCCESS ...` or `FAILURE ...`
//! (`docs/operators.md`, `docs/operators-design.md`).
//!
//! The listener passes all bytes of a connection so far to [`read`] until the line is complete, and replies with [`answer`].

/// Bytes of a line at most: an id in discovery's list takes 128 at most, a verb eight.
pub const LINE_MAX: usize = 256;

/// One call.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum OperatorCall {
    /// Asks whether this process can serve.
    Ready,
    /// Sends nothing more to the endpoint with this id, until it is enabled.
    Disable(String),
    /// Uses the endpoint with this id as before.
    Enable(String),
    /// Drains the courier: it takes no new clients.
    Drain,
    /// Ends the drain.
    Undrain,
}

/// Why a line is not a call. The text is the reply's.
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
    /// The verb is not known.
    #[error("no such call; there are READY, DISABLE ID, ENABLE ID, DRAIN and UNDRAIN")]
    Unknown,
    /// An id is missing.
    #[error("this call takes one id")]
    NoId,
    /// There are too many fields.
    #[error("something stands behind the call")]
    Surplus,
    /// The caller has stopped sending before the end of the line.
    #[error("the line has no end")]
    Unended,
}

/// The line of a connection, as far as it has been received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Line {
    /// Its end is still to come.
    Partial,
    /// The line is complete.
    Complete(Result<OperatorCall, OperatorCallError>),
}

/// Reads what has been received; `ended`: the caller sends nothing more. Only the first line counts, however it was split
/// into packets; anything behind it is ignored.
pub fn read(bytes: &[u8], ended: bool) -> Line {
    let Some(end) = bytes.iter().position(|b| *b == b'\n') else {
        return match bytes.len() {
            0 if ended => Line::Complete(Err(OperatorCallError::Empty)),
            n if n > LINE_MAX => Line::Complete(Err(OperatorCallError::TooLong)),
            _ if ended => Line::Complete(Err(OperatorCallError::Unended)),
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
        return Err(OperatorCallError::Surplus);
    }
    let without_id = |call| if id.is_none() { Ok(call) } else { Err(OperatorCallError::Surplus) };
    let with_id = || id.map(str::to_owned).ok_or(OperatorCallError::NoId);
    match verb {
        "READY" => without_id(OperatorCall::Ready),
        "DRAIN" => without_id(OperatorCall::Drain),
        "UNDRAIN" => without_id(OperatorCall::Undrain),
        "DISABLE" => with_id().map(OperatorCall::Disable),
        "ENABLE" => with_id().map(OperatorCall::Enable),
        _ => Err(OperatorCallError::Unknown),
    }
}

/// The line that answers a call.
pub fn answer(result: Result<&str, &str>) -> String {
    match result {
        Ok(text) => format!("SUCCESS {text}\n"),
        // A reason stays on its line, whatever it quotes.
        Err(why) => format!("FAILURE {}\n", why.replace(['\r', '\n'], " ")),
    }
}
