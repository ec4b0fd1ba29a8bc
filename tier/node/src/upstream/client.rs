//! The calls of this process to endpoints.

use super::answer::UpstreamAnswer;
use super::exchange::{OpenConnection, UpstreamRequest, exchange};
use super::pool::IdlePool;
use crate::socket;
use std::time::Duration;
use tokio::time::timeout;

/// Time after which opening a connection to an endpoint is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after which unacknowledged bytes end a connection to an endpoint.
const USER_TIMEOUT: Duration = Duration::from_millis(2000);

/// Why an endpoint sent no head of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UpstreamError {
    /// No byte was sent: the request has not run.
    #[error("the request was not sent")]
    NotSent,
    /// The connection broke or carried no valid answer after bytes were sent: the request may have run.
    #[error("the connection broke")]
    Broken,
    /// The request was sent and no answer came in time: it may have run.
    #[error("no answer came in time")]
    Silent,
}

/// The connections of this process to endpoints.
#[derive(Default)]
pub struct Upstreams {
    idle: IdlePool,
}

impl Upstreams {
    /// Sends a request and waits at most `time_limit` for the head of its answer. The time to open a connection does not count.
    pub async fn send(
        &self,
        request: UpstreamRequest<'_>,
        time_limit: Duration,
    ) -> Result<UpstreamAnswer, UpstreamError> {
        let mut connection = match self.idle.checkout(request.endpoint, request.request_id) {
            Some(connection) => connection,
            None => {
                let stream = socket::connect_within(request.address, CONNECT_TIMEOUT, USER_TIMEOUT)
                    .await
                    .ok_or(UpstreamError::NotSent)?;
                OpenConnection::new(stream)
            }
        };
        match timeout(time_limit, exchange(&connection, &request)).await {
            Ok(Some(received)) => {
                connection.carried.add(request.request_id);
                Ok(UpstreamAnswer::new(received, connection, request.endpoint.to_owned()))
            }
            Ok(None) => Err(UpstreamError::Broken),
            Err(_) => Err(UpstreamError::Silent),
        }
    }

    /// Closes idle connections that expired, and those to endpoints that are not `open`.
    pub fn close_expired(&self, open: impl Fn(&str) -> bool) {
        self.idle.close_expired(open);
    }
}

impl UpstreamAnswer {
    /// Keeps the connection for another request if that is possible, and closes it otherwise.
    pub fn release(self, upstreams: &Upstreams) {
        if self.is_reusable() {
            upstreams.idle.insert(self.endpoint, self.connection, &self.head);
        }
    }
}
