//! A client that streams the body of its message, as a script has it.

use super::MessageRequest;
use crate::http::{Head, Reader};
use bytes::Bytes;
use std::io::Result;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::{Instant, sleep, sleep_until};

/// Streamed bodies repeat a block of this size.
const BLOCK: usize = 64 * 1024;
/// Writes per second into which a rate is divided.
const RATED_WRITES_PER_SECOND: u64 = 20;

/// A body as a client sends it. Offsets count its bytes, from 0.
#[derive(Clone, Debug)]
pub struct BodyScript {
    /// Length of the body.
    pub bytes: u64,
    /// Size of its chunks; 0: it is sent with a length.
    pub chunk: usize,
    /// Bytes that are sent per second; 0: as fast as they are received.
    pub rate: u64,
    /// The client sends nothing for this time at this offset.
    pub stall: Option<(u64, Duration)>,
    /// The client ends the connection at this offset.
    pub cut_at: Option<u64>,
    /// The client sends `Expect: 100-continue`, and waits for 100 before the body.
    pub expects_continue: bool,
}

impl BodyScript {
    /// A body of this length, sent at once.
    pub fn of(bytes: u64) -> Self {
        BodyScript { bytes, chunk: 0, rate: 0, stall: None, cut_at: None, expects_continue: false }
    }

    /// The headers of the body's framing.
    fn headers(&self) -> String {
        let framing = match self.chunk {
            0 => format!("Content-Length: {}\r\n", self.bytes),
            _ => "Transfer-Encoding: chunked\r\n".to_string(),
        };
        let expect = if self.expects_continue { "Expect: 100-continue\r\n" } else { "" };
        framing + expect
    }

    /// Bytes that are written next, at most, after this many.
    fn next_write(&self, sent: u64) -> usize {
        let most = match self.rate {
            0 => BLOCK as u64,
            rate => (rate / RATED_WRITES_PER_SECOND).max(1),
        };
        let left_of_block = BLOCK as u64 - sent % BLOCK as u64;
        let mut length = most.min(self.next_offset(sent) - sent).min(left_of_block);
        if self.chunk > 0 {
            length = length.min(self.chunk as u64);
        }
        length as usize
    }

    /// The first offset behind this one at which the script does something.
    fn next_offset(&self, offset: u64) -> u64 {
        let offsets = [Some(self.bytes), self.cut_at, self.stall.map(|(at, _)| at)];
        offsets.into_iter().flatten().filter(|at| *at > offset).min().unwrap_or(self.bytes)
    }
}

/// What a client received for a streamed message.
#[derive(Clone, Debug)]
pub struct StreamResult {
    /// The final answer; `None`: the connection ended without one.
    pub answer: Option<Head>,
    /// Whether it received 100.
    pub continued: bool,
    /// The time until the final answer, or the end.
    pub took: Duration,
}

impl StreamResult {
    /// The status of the answer; 0 without one.
    pub fn status(&self) -> u16 {
        self.answer.as_ref().map_or(0, Head::status)
    }
}

/// The block that every streamed body repeats.
pub fn block() -> Bytes {
    let mut seed = 0x9E37_79B9u32;
    let bytes = std::iter::repeat_with(|| {
        seed = seed.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        (seed >> 24) as u8
    });
    bytes.take(BLOCK).collect()
}

/// The CRC-32 of a streamed body of this length.
pub fn crc(bytes: u64) -> u32 {
    let block = block();
    let mut crc = crc32fast::Hasher::new();
    let mut left = bytes;
    while left > 0 {
        let length = left.min(BLOCK as u64);
        crc.update(&block[..length as usize]);
        left -= length;
    }
    crc.finalize()
}

/// Streams a message on a connection of its own, and reads its answer, even before the end of the body.
///
/// # Errors
/// The connection could not be established, or broke before the body.
pub async fn stream(
    courier: SocketAddr,
    message: &MessageRequest,
    script: &BodyScript,
) -> Result<StreamResult> {
    let began = Instant::now();
    let stream = TcpStream::connect(courier).await?;
    stream.set_nodelay(true)?;
    let (from, mut to) = stream.into_split();
    let mut reader = Reader::new(from);
    let mut request = message.clone();
    request.headers += &script.headers();
    to.write_all(request.head().as_bytes()).await?;
    let mut continued = false;
    if script.expects_continue {
        let answer = reader.head().await.ok().flatten();
        continued = answer.as_ref().is_some_and(|head| head.status() == 100);
        if !continued {
            return Ok(StreamResult { answer, continued, took: began.elapsed() });
        }
    }
    let answer = send_and_read_answer(&mut reader, &mut to, script).await;
    Ok(StreamResult { answer, continued, took: began.elapsed() })
}

/// Sends the body until the answer arrives; `None`: the connection ended without one.
async fn send_and_read_answer(
    reader: &mut Reader<OwnedReadHalf>,
    to: &mut OwnedWriteHalf,
    script: &BodyScript,
) -> Option<Head> {
    let sending = send(to, script);
    tokio::pin!(sending);
    let answer = reader.head();
    tokio::pin!(answer);
    let answer = tokio::select! {
        biased;
        answer = &mut answer => answer,
        sent = &mut sending => match sent {
            Ok(SendEnd::CutOff) => return None,
            // If the body could not be sent, the answer explains it or there is none.
            Ok(SendEnd::Complete) | Err(_) => answer.await,
        },
    };
    answer.ok().flatten()
}

/// How the sending of a body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SendEnd {
    Complete,
    /// The script ends the connection here.
    CutOff,
}

async fn send(to: &mut (impl AsyncWrite + Unpin), script: &BodyScript) -> Result<SendEnd> {
    let block = block();
    let began = Instant::now();
    let mut sent = 0;
    while sent < script.bytes {
        if script.cut_at.is_some_and(|at| sent >= at) {
            return Ok(SendEnd::CutOff);
        }
        if let Some((at, stall)) = script.stall
            && sent == at
        {
            sleep(stall).await;
        }
        let start = (sent % BLOCK as u64) as usize;
        let bytes = &block[start..start + script.next_write(sent)];
        if script.chunk > 0 {
            to.write_all(format!("{:x}\r\n", bytes.len()).as_bytes()).await?;
        }
        to.write_all(bytes).await?;
        if script.chunk > 0 {
            to.write_all(b"\r\n").await?;
        }
        sent += bytes.len() as u64;
        if let Some(millis) = (sent * 1_000).checked_div(script.rate) {
            sleep_until(began + Duration::from_millis(millis)).await;
        }
    }
    if script.cut_at.is_some_and(|at| sent >= at) {
        return Ok(SendEnd::CutOff);
    }
    if script.chunk > 0 {
        to.write_all(b"0\r\n\r\n").await?;
    }
    Ok(SendEnd::Complete)
}
