//! What an endpoint does with one call.

use std::time::Duration;

/// What an endpoint does with one call. Offsets count the bytes of the body, from 0.
#[derive(Clone, Debug)]
pub struct EndpointScript {
    /// Bytes of the body that it reads per second; 0: as fast as they arrive.
    pub rate: u64,
    /// It does not read from this offset on until this time after the beginning of the body.
    pub stall: Option<(u64, Duration)>,
    /// It never reads from this offset on.
    pub stop_at: Option<u64>,
    /// It resets the connection at this offset.
    pub reset_at: Option<u64>,
    /// It answers at this offset, and reads on.
    pub early: Option<u64>,
    /// The time between the end of the body and the answer.
    pub delay: Duration,
    /// First line and headers of the answer, without the last empty line; `None`: it never answers.
    pub answer: Option<String>,
}

impl Default for EndpointScript {
    fn default() -> Self {
        EndpointScript {
            rate: 0,
            stall: None,
            stop_at: None,
            reset_at: None,
            early: None,
            delay: Duration::ZERO,
            answer: Some("200 OK".into()),
        }
    }
}

impl EndpointScript {
    /// Gives this answer, as in `429 Too Many Requests\r\nRetry-After: 0.5`.
    pub fn answers(text: &str) -> Self {
        EndpointScript { answer: Some(text.into()), ..EndpointScript::default() }
    }

    /// Never answers.
    pub fn silent() -> Self {
        EndpointScript { answer: None, ..EndpointScript::default() }
    }

    /// The first offset behind this one at which the script does something; `u64::MAX` if there is none.
    pub(super) fn next_offset(&self, offset: u64) -> u64 {
        let stall_at = self.stall.map(|(at, _)| at);
        let offsets = [self.stop_at, self.reset_at, self.early, stall_at];
        offsets.into_iter().flatten().filter(|at| *at > offset).min().unwrap_or(u64::MAX)
    }
}
