//! What a delivered message costs: instructions under callgrind, and resident memory, of one or more builds
//! of the courier, the first of which the others are set against.
//!
//!     cargo run --release -p quillmount --example per_message -- OLD/quillmount target/release/quillmount
//!
//! A provider that answers at once, one consumer that hands in one message after the other, and a platform
//! that confirms all: the difference of two runs of unlike length leaves the start and the end out. It wants
//! `valgrind`; it is a measurement and no test.

use std::io::{BufRead, BufReader, Error, Read, Result, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;

const SHORT: u64 = 50;
const LONG: u64 = 350;
/// Messages before resident memory is read.
const MANY: u64 = 2_000;

fn main() -> ExitCode {
    let programs: Vec<String> = std::env::args().skip(1).collect();
    if programs.is_empty() {
        eprintln!("per_message: name one or more programs of the courier");
        return ExitCode::from(2);
    }
    let mut first = None;
    println!("| program | instructions a message | ratio | resident after {MANY}, KiB | ratio |");
    println!("| --- | --- | --- | --- | --- |");
    for program in &programs {
        match costs(program) {
            Ok((instructions, memory)) => {
                let (base, small) = *first.get_or_insert((instructions, memory));
                let (more, fuller) = (instructions / base, memory / small);
                println!("| {program} | {instructions:.0} | {more:.3} | {memory:.0} | {fuller:.3} |");
            }
            Err(e) => {
                eprintln!("per_message: {program}: {e}");
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}

fn costs(program: &str) -> Result<(f64, f64)> {
    let (short, _) = run(program, SHORT, true)?;
    let (long, _) = run(program, LONG, true)?;
    let (_, memory) = run(program, MANY, false)?;
    Ok(((long - short) / (LONG - SHORT) as f64, memory))
}

/// Instructions of the whole run where they are counted, and its resident memory at the end.
fn run(program: &str, messages: u64, counted: bool) -> Result<(f64, f64)> {
    let folder = std::env::temp_dir().join(format!("quillmount-cost-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder)?;
    let (endpoint, platform) = (TcpListener::bind("127.0.0.1:0")?, TcpListener::bind("127.0.0.1:0")?);
    let config = config(&folder, &endpoint, &platform)?;
    let (answered, answers) = channel();
    each(endpoint, move |stream| serve_endpoint(stream, &answered));
    each(platform, serve_platform);
    let mut command = Command::new(if counted { "valgrind" } else { program });
    if counted {
        let out = folder.join("callgrind");
        command.arg("--tool=callgrind").arg(format!("--callgrind-out-file={}", out.display())).arg(program);
    }
    command.env("GW_CONFIG", &config).env("GW_STATE", folder.join("state")).env("RUST_LOG", "info");
    let mut child = command.stderr(Stdio::piped()).spawn()?;
    let submitted = submit_all(&mut child, messages, &answers);
    let memory = resident(child.id());
    // SIGTERM, which the courier takes for a planned stop.
    Command::new("kill").arg(child.id().to_string()).status()?;
    child.wait()?;
    let text = submitted?.join().map_err(|_| Error::other("its log could not be read"))?;
    let number = |label: &str| {
        let rest = text.rsplit_once(label)?.1;
        rest.split(|c: char| !c.is_ascii_digit()).next()?.parse::<f64>().ok()
    };
    let delivered = number(" delivered=").unwrap_or(0.0);
    if delivered != messages as f64 {
        return Err(Error::other(format!("{delivered} of {messages} messages were delivered")));
    }
    let instructions = match counted {
        true => number("Collected : ").ok_or_else(|| Error::other("callgrind told no count"))?,
        false => 0.0,
    };
    std::fs::remove_dir_all(&folder)?;
    Ok((instructions, memory?))
}

fn config(folder: &Path, endpoint: &TcpListener, platform: &TcpListener) -> Result<PathBuf> {
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../example/config.json");
    let text = std::fs::read_to_string(example)?
        .replace("127.0.0.1:7070", "127.0.0.1:0")
        .replace("127.0.0.1:8500", &platform.local_addr()?.to_string())
        .replace("127.0.0.1:9001", &endpoint.local_addr()?.to_string());
    let path = folder.join("config.json");
    std::fs::write(&path, text)?;
    Ok(path)
}

/// Hands in messages one after the other, each once its provider has answered the one before; what the
/// courier goes on to say is read beside it.
fn submit_all(
    child: &mut Child,
    messages: u64,
    answers: &Receiver<()>,
) -> Result<thread::JoinHandle<String>> {
    let mut log = BufReader::new(child.stderr.take().ok_or_else(|| Error::other("no log"))?);
    let addr = loop {
        let mut line = String::new();
        if log.read_line(&mut line)? == 0 {
            return Err(Error::other("it ended before it served"));
        }
        if let Some((_, rest)) = line.split_once("serving on ") {
            break rest.split(';').next().unwrap_or_default().to_string();
        }
    };
    let rest = thread::spawn(move || {
        let mut text = String::new();
        let _ = log.read_to_string(&mut text);
        text
    });
    let mut stream = TcpStream::connect(addr)?;
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let body = "x".repeat(200);
    for n in 0..messages {
        let (class, key) = match n % 2 {
            0 => ("fee-debit", String::new()),
            _ => ("paid-notice", format!("Idempotency-Key: k{n:06}\r\n")),
        };
        let request = format!(
            "POST /{class} HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: m{n:06}\r\n{key}X-Time-Left: 16000m\r\n\
             X-Addressing: dest=7\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(request.as_bytes())?;
        match message(&mut reader)? {
            Some(first) if first.contains(" 202 ") => {}
            answer => return Err(Error::other(format!("message {n} is answered {answer:?}"))),
        }
        answers.recv().map_err(|_| Error::other("the provider has gone"))?;
    }
    Ok(rest)
}

/// Kibibytes that a process holds.
fn resident(process: u32) -> Result<f64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok());
    number.ok_or_else(|| Error::other("its memory is not told"))
}

/// One thread for each connection.
fn each(listener: TcpListener, serve: impl Fn(TcpStream) -> Result<()> + Clone + Send + 'static) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
}

/// Reads a message's first line, and its body away. None at the connection's end.
fn message(reader: &mut impl BufRead) -> Result<Option<String>> {
    let (mut first, mut length) = (String::new(), 0);
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let Some((name, value)) = line.trim().split_once(':') else { break };
        if name.eq_ignore_ascii_case("content-length") {
            length = value.trim().parse().unwrap_or(0);
        }
    }
    reader.read_exact(&mut vec![0; length])?;
    Ok(Some(first))
}

fn serve_endpoint(mut stream: TcpStream, answered: &Sender<()>) -> Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while message(&mut reader)?.is_some() {
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")?;
        let _ = answered.send(());
    }
    Ok(())
}

fn serve_platform(mut stream: TcpStream) -> Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(first) = message(&mut reader)? {
        let answer: &[u8] = match first.starts_with("POST") {
            true => b"HTTP/1.1 204 No Content\r\n\r\n",
            false => b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        };
        stream.write_all(answer)?;
    }
    Ok(())
}
