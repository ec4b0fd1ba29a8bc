//! Operators' calls: one line of text for each connection, and one line in reply (`SUCCESS ...` or `FAILURE ...`).

/// The longest line that is read: an id in discovery's list takes 128 bytes at most, a verb eight.
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

/// Why a line is no call. The text is the reply's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadCall {
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

/// What has been received on a connection so far.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Line {
    /// Its end is still to come.
    Partial,
    /// The line is complete.
    Whole(Result<OperatorCall, BadCall>),
}

/// Reads what has been received; `ended`: the caller sends nothing more. Only the first line counts, however it was split
/// into packets; anything behind it is ignored.
pub fn read(bytes: &[u8], ended: bool) -> Line {
    let Some(end) = bytes.iter().position(|b| *b == b'\n') else {
        return match bytes.len() {
            0 if ended => Line::Whole(Err(BadCall::Empty)),
            n if n > LINE_MAX => Line::Whole(Err(BadCall::TooLong)),
            _ if ended => Line::Whole(Err(BadCall::Unended)),
            _ => Line::Partial,
        };
    };
    Line::Whole(if end > LINE_MAX { Err(BadCall::TooLong) } else { decode(&bytes[..end]) })
}

fn decode(line: &[u8]) -> Result<OperatorCall, BadCall> {
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    let line = std::str::from_utf8(line).map_err(|_| BadCall::NotText)?;
    let mut fields = line.split(' ').filter(|verb| !verb.is_empty());
    let (verb, id) = (fields.next().ok_or(BadCall::Empty)?, fields.next());
    if fields.next().is_some() {
        return Err(BadCall::Surplus);
    }
    let alone = |call| if id.is_none() { Ok(call) } else { Err(BadCall::Surplus) };
    match verb {
        "READY" => alone(OperatorCall::Ready),
        "DRAIN" => alone(OperatorCall::Drain),
        "UNDRAIN" => alone(OperatorCall::Undrain),
        "DISABLE" => id.map(|id| OperatorCall::Disable(id.into())).ok_or(BadCall::NoId),
        "ENABLE" => id.map(|id| OperatorCall::Enable(id.into())).ok_or(BadCall::NoId),
        _ => Err(BadCall::Unknown),
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
