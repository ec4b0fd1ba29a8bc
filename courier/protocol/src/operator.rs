//! What operators call: one line to a connection, and one line back.

/// The longest line that is read: an id takes 128 bytes at most in discovery's list, a word eight.
pub const LINE_MAX: usize = 256;

/// One call.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum OperatorCall {
    /// Can this process serve?
    Ready,
    /// Nothing more to this endpoint, until it is put back.
    Disable(String),
    /// Put the endpoint back.
    Enable(String),
    /// Empty the courier.
    Drain,
    /// Take clients again.
    Undrain,
}

/// Why a line is no call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadCall {
    #[error("the line is longer than {LINE_MAX} bytes")]
    TooLong,
    #[error("the line is not UTF-8")]
    NotText,
    #[error("the line is empty")]
    Empty,
    #[error("no such call; there are READY, DISABLE ID, ENABLE ID, DRAIN and UNDRAIN")]
    Unknown,
    #[error("this call takes one id")]
    NoId,
    #[error("something stands behind the call")]
    Surplus,
    #[error("the line has no end")]
    Unended,
}

/// What has come on a connection so far.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Line {
    /// Its end is still to come.
    Partial,
    Whole(Result<OperatorCall, BadCall>),
}

/// Reads what has come; `ended`: the caller sends nothing more. One line counts, and what stands behind it is let go,
/// whatever the pieces in which it came.
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
