//! A minimal HTTP/1.1 client and server on blocking sockets.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// The first line, the headers and the complete body of a request or a response.
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// The first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// The status of a response, 0 if there is none.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// The target of a request.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads one message; `None` if the connection ends before its end.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let first_line = read_line(reader)?;
    let mut message = Message { first_line, headers: Vec::new(), body: Vec::new() };
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        message.headers.push((name.to_owned(), value.trim().to_owned()));
    }
    if message.header("Transfer-Encoding").is_some() {
        loop {
            let size = usize::from_str_radix(read_line(reader)?.trim(), 16).ok()?;
            let start = message.body.len();
            message.body.resize(start + size, 0);
            reader.read_exact(&mut message.body[start..]).ok()?;
            read_line(reader)?;
            if size == 0 {
                break;
            }
        }
    } else if let Some(length) = message.header("Content-Length").and_then(|value| value.parse().ok()) {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body).ok()?;
    }
    Some(message)
}

fn read_line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 || !line.ends_with('\n') {
        return None;
    }
    Some(line.trim_end_matches(['\r', '\n']).to_owned())
}

/// A connection of a client.
pub struct Client {
    reader: BufReader<TcpStream>,
}

impl Client {
    /// Connects; answers are waited for at most `timeout`.
    pub fn connect(address: &str, timeout: Duration) -> Option<Client> {
        let stream = TcpStream::connect_timeout(&address.parse().ok()?, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(timeout)).ok()?;
        Some(Client { reader: BufReader::new(stream) })
    }

    /// Sends a request and reads its answer.
    pub fn send(&mut self, method: &str, target: &str, headers: &str, body: &[u8]) -> Option<Message> {
        let head = format!("{method} {target} HTTP/1.1\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.reader.get_mut().write_all(&bytes).ok()?;
        read_message(&mut self.reader)
    }
}

/// Sends a request on a new connection and reads the answer.
pub fn call(address: &str, method: &str, target: &str, headers: &str, body: &[u8]) -> Option<Message> {
    call_within(address, method, target, headers, body, Duration::from_secs(3))
}

/// The same with another limit on the time until the answer.
pub fn call_within(
    address: &str,
    method: &str,
    target: &str,
    headers: &str,
    body: &[u8],
    timeout: Duration,
) -> Option<Message> {
    let headers = format!("{headers}Connection: close\r\n");
    Client::connect(address, timeout)?.send(method, target, &headers, body)
}

/// An answer with a length.
pub fn answer(status: &str, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// Serves an address, a thread for each connection.
pub fn serve(address: &str, serve_connection: impl Fn(TcpStream) + Send + Sync + 'static) {
    let listener = TcpListener::bind(address).expect("the address of a stand-in is free");
    let serve_connection = Arc::new(serve_connection);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve_connection = serve_connection.clone();
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                serve_connection(stream);
            });
        }
    });
}
