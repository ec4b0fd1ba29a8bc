//! What a partner answers.

/// What a partner does with a call whose body has been read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// First line and headers, without the last empty line, as in `200 OK`.
    Line(String),
    /// It waits for [`Partner::release`](super::Partner::release).
    Pending,
    /// The connection is reset.
    Reset,
    /// It never answers.
    Silent,
}

impl Answer {
    /// 200.
    pub fn ok() -> Answer {
        Answer::Line("200 OK".into())
    }

    /// 500: the call may have run.
    pub fn failed() -> Answer {
        Answer::Line("500 Internal Server Error".into())
    }

    /// 429: rejected, to be retried after this many seconds (an integer or a decimal).
    pub fn full(wait: &str) -> Answer {
        Answer::Line(format!("429 Too Many Requests\r\nRetry-After: {wait}"))
    }

    /// The status of the answer; 0: there is none.
    pub(super) fn status(&self) -> u16 {
        match self {
            Answer::Line(line) => line.get(..3).and_then(|status| status.parse().ok()).unwrap_or(0),
            _ => 0,
        }
    }

    /// Whether the call has run, or may have: only a rejection says that it did not.
    pub(super) fn ran(&self) -> bool {
        !matches!(self.status(), 429 | 503 | 504 | 410)
    }
}
