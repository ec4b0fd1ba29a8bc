//! Endpoints that fail the first attempt of a request, and later send a copy of that answer in the place where the answer to the next
//! attempt on the same connection is due.

use std::collections::HashSet;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;

/// What such an endpoint did with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Served {
    /// It sent its first answer, and keeps the connection.
    Failed,
    /// It begins to work on the request; the answer to that is still to be sent.
    Runs,
}

/// An answer to a first attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FirstAnswer {
    /// 503 with the statement that the request was not run.
    Rejection,
    /// 500: the endpoint ran the request and failed.
    Failure,
}

impl FirstAnswer {
    /// The answer that the last word of a path asks for.
    pub fn of_ending(ending: &str) -> Option<FirstAnswer> {
        match ending {
            "late-rejection" => Some(FirstAnswer::Rejection),
            "late-failure" => Some(FirstAnswer::Failure),
            _ => None,
        }
    }

    fn text(self, id: &str) -> String {
        let line_and_headers = match self {
            FirstAnswer::Rejection => "503 Service Unavailable\r\nNot-Run: 1",
            FirstAnswer::Failure => "500 Internal Server Error",
        };
        format!("HTTP/1.1 {line_and_headers}\r\nRequest-Id: {id}\r\nSeal: s\r\nContent-Length: 0\r\n\r\n")
    }
}

/// What one endpoint remembers.
#[derive(Default)]
pub struct LateCopies {
    /// Requests that arrived, by id.
    arrived: Mutex<HashSet<String>>,
    /// Requests that arrived on each connection, by the address of its other side.
    carried: Mutex<HashSet<(SocketAddr, String)>>,
}

impl LateCopies {
    /// Answers the first attempt of a request. Before a later one on the same connection, sends that answer again.
    pub fn serve(&self, mut stream: &TcpStream, id: &str, first_answer: FirstAnswer) -> Served {
        let answer = first_answer.text(id);
        let carried = (stream.peer_addr().unwrap(), id.to_owned());
        if !self.carried.lock().unwrap().insert(carried) {
            let _ = stream.write_all(answer.as_bytes());
        }
        if self.arrived.lock().unwrap().insert(id.to_owned()) {
            let _ = stream.write_all(answer.as_bytes());
            return Served::Failed;
        }
        Served::Runs
    }
}
