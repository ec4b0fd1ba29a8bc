//! As much of HTTP/1.1 as the measurements need: heads of messages, and a client that sends a large body.

use std::io::{BufRead, BufReader, Error, Result, Write};
use std::net::{SocketAddr, TcpStream};

pub const GB: u64 = 1_000_000_000;
/// The largest body of a small message, and a unit of buffer sizes, in bytes.
pub const BLOCK: usize = 64 * 1024;

/// The head of a message that was read.
pub struct Head {
    /// The request line or the status line.
    pub first_line: String,
    /// Bytes of the body.
    pub length: u64,
    /// The message's id, empty where there is none.
    pub id: String,
}

/// The head of a message to a courier. `seconds`: how long it may take.
pub fn request_head(id: &str, dest: u64, length: u64, seconds: u64) -> String {
    format!(
        "POST /fee-debit HTTP/1.1\r\nHost: c\r\nX-Correlation-Id: {id}\r\nX-Time-Left: {}m\r\nX-Addressing: dest={dest}\r\n\
         Content-Length: {length}\r\n\r\n",
        seconds * 1_000
    )
}

/// Reads a head; `None` at the connection's end.
pub fn read_head(reader: &mut impl BufRead) -> Result<Option<Head>> {
    let mut head = Head { first_line: String::new(), length: 0, id: String::new() };
    if reader.read_line(&mut head.first_line)? == 0 {
        return Ok(None);
    }
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let Some((name, value)) = line.trim().split_once(':') else { break };
        match name.to_ascii_lowercase().as_str() {
            "content-length" => head.length = value.trim().parse().map_err(Error::other)?,
            "x-correlation-id" => head.id = value.trim().to_string(),
            _ => {}
        }
    }
    Ok(Some(head))
}

/// Sends a body as fast as it is read there; returns the status line of the answer.
pub fn send_body(to: SocketAddr, head: &str, length: u64) -> Result<String> {
    let mut stream = TcpStream::connect(to)?;
    stream.write_all(head.as_bytes())?;
    let block = vec![7; 4 * BLOCK];
    let mut left = length;
    while left > 0 {
        let n = left.min(block.len() as u64);
        stream.write_all(&block[..n as usize])?;
        left -= n;
    }
    let mut reader = BufReader::new(stream);
    loop {
        let Some(head) = read_head(&mut reader)? else { return Err(Error::other("no answer")) };
        if !head.first_line.contains(" 100 ") {
            return Ok(head.first_line.trim().to_string());
        }
    }
}
