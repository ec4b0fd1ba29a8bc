//! A toy provider and a toy platform, to try quillmount with: see README.md beside this file.
//!
//! The provider takes calls on 127.0.0.1:9001 and answers by the body: `fail` gets a 500, `busy` a 429
//! with a wait of half a second, once on each connection, anything else a 200. The platform, on 127.0.0.1:8500,
//! holds the watch open and confirms every notice.

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Result, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

fn main() -> Result<()> {
    let endpoint = TcpListener::bind("127.0.0.1:9001")?;
    let platform = TcpListener::bind("127.0.0.1:8500")?;
    println!("provider on 127.0.0.1:9001, platform on 127.0.0.1:8500");
    thread::spawn(move || each(platform, serve_platform));
    each(endpoint, serve_endpoint);
    Ok(())
}

/// One thread for each connection.
fn each(listener: TcpListener, serve: fn(TcpStream) -> Result<()>) {
    for stream in listener.incoming().flatten() {
        thread::spawn(move || {
            if let Err(e) = serve(stream) {
                println!("a connection ended: {e}");
            }
        });
    }
}

/// Reads a request: its first line, its id, its body. None at the connection's end.
fn request(reader: &mut impl BufRead) -> Result<Option<(String, String, String)>> {
    let (mut first, mut id, mut length) = (String::new(), String::new(), 0);
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let Some((name, value)) = line.trim().split_once(':') else { break };
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.trim().parse().unwrap_or(0),
            "x-correlation-id" => id = value.trim().to_string(),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some((first, id, String::from_utf8_lossy(&body).into_owned())))
}

fn serve_endpoint(mut stream: TcpStream) -> Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut busy = BTreeSet::new();
    while let Some((_, id, body)) = request(&mut reader)? {
        thread::sleep(Duration::from_millis(200));
        let answer = match body.trim() {
            "fail" => "500 Internal Server Error\r\n",
            "busy" if busy.insert(id.clone()) => "429 Too Many Requests\r\nRetry-After: 0.5\r\n",
            _ => "200 OK\r\n",
        };
        println!("call {id} {body:?}: {}", answer.trim().replace("\r\n", ", "));
        write!(stream, "HTTP/1.1 {answer}Content-Length: 0\r\n\r\n")?;
    }
    Ok(())
}

fn serve_platform(mut stream: TcpStream) -> Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some((first, _, body)) = request(&mut reader)? {
        if first.starts_with("POST /v2/finals ") {
            print!("notice {body}");
            write!(stream, "HTTP/1.1 204 No Content\r\n\r\n")?;
            continue;
        }
        println!("watch {}", first.trim());
        write!(stream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        loop {
            write!(stream, "1\r\n\n\r\n")?;
            thread::sleep(Duration::from_secs(2));
        }
    }
    Ok(())
}
