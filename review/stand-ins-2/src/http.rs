//! HTTP/1.1 for the stand-ins: a server with a thread for each connection, and a client with a connection for each call.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// First line and headers of a message, with its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// The first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    /// Status of an answer.
    pub fn status(&self) -> u16 {
        self.line
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return if message.line.is_empty() {
                Ok(None)
            } else {
                Err(io::ErrorKind::UnexpectedEof.into())
            };
        }
        let line = line.trim_end_matches(['\r', '\n']);
        if message.line.is_empty() {
            message.line = line.to_owned();
        } else if line.is_empty() {
            return Ok(Some(message));
        } else if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a message to its end; `None` if the connection ended before it began.
fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    if message
        .header("Transfer-Encoding")
        .is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"))
    {
        message.body = read_chunks(reader)?;
    } else {
        let length = message
            .header("Content-Length")
            .and_then(|length| length.parse().ok())
            .unwrap_or(0);
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

fn read_chunks(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let start = body.len();
        body.resize(start + size, 0);
        reader.read_exact(&mut body[start..])?;
        let mut end = [0; 2];
        reader.read_exact(&mut end)?;
        if size == 0 {
            return Ok(body);
        }
    }
}

/// Whether the connection may carry another request.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Next {
    KeepOpen,
    Close,
}

pub type Handler = Arc<dyn Fn(&TcpStream, &Message) -> Next + Send + Sync>;

/// Serves an address until the process ends, or until `is_down` says so: connections are reset by closing them then.
pub fn serve(address: &str, is_down: Arc<std::sync::atomic::AtomicBool>, handler: Handler) -> io::Result<()> {
    use std::sync::atomic::Ordering;
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    std::thread::spawn(move || {
        loop {
            if is_down.load(Ordering::Relaxed) {
                return; // The port is closed: calls are refused.
            }
            match listener.accept() {
                Ok((stream, _)) => {
                    let (handler, is_down) = (handler.clone(), is_down.clone());
                    std::thread::spawn(move || {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        let _ = stream.set_read_timeout(Some(Duration::from_secs(60)));
                        let Ok(reading) = stream.try_clone() else { return };
                        let mut reader = BufReader::new(reading);
                        while let Ok(Some(request)) = read_message(&mut reader) {
                            if is_down.load(Ordering::Relaxed) || handler(&stream, &request) == Next::Close {
                                break;
                            }
                        }
                        let _ = stream.shutdown(Shutdown::Both);
                    });
                }
                Err(_) => std::thread::sleep(Duration::from_millis(2)),
            }
        }
    });
    Ok(())
}

/// Writes a complete answer.
pub fn respond(mut stream: &TcpStream, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
    let mut bytes = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Sends a request on a connection of its own and reads the answer within `time_limit`.
pub fn call(address: &str, line: &str, headers: &[(&str, &str)], body: &[u8], time_limit: Duration) -> io::Result<Message> {
    let until = Instant::now() + time_limit;
    let address: SocketAddr = address.parse().map_err(|_| io::ErrorKind::InvalidInput)?;
    let mut stream = TcpStream::connect_timeout(&address, time_limit.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(time_limit))?;
    let mut bytes = format!("{line} HTTP/1.1\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(format!("Content-Length: {}\r\nConnection: close\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let reading = DeadlineReader {
        stream: stream.try_clone()?,
        until,
    };
    let mut reader = BufReader::new(reading);
    read_message(&mut reader)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Reads from a connection until a moment.
struct DeadlineReader {
    stream: TcpStream,
    until: Instant,
}

impl Read for DeadlineReader {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let left = self.until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        self.stream.read(buffer)
    }
}
