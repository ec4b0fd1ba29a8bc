//! What a delivered message costs: instructions under callgrind, and resident memory, of one or more builds of the courier,
//! which are compared with the first of them.
//!
//!     cargo run --release -p quillmount --example per_message -- OLD/quillmount target/release/quillmount
//!
//! An endpoint that answers at once, one client that submits one message after the other, and a platform that confirms all:
//! the difference of two runs of unlike length leaves the start and the end out. It wants `valgrind`; it is a measurement and
//! no test.

use std::io::{BufRead, BufReader, Error, Read, Result, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;

/// Messages of the two runs in which instructions are counted.
const SHORT_RUN: u64 = 50;
const LONG_RUN: u64 = 350;
/// Messages before resident memory is read.
const MEMORY_RUN: u64 = 2_000;

/// What one build of the courier costs.
#[derive(Clone, Copy)]
struct Cost {
    instructions_per_message: f64,
    resident_kib: f64,
}

/// The result of one run.
struct RunResult {
    /// Instructions of the whole run; 0 where they are not counted.
    instructions: f64,
    /// Resident memory at the end.
    resident_kib: f64,
}

/// Whether a run counts instructions, which takes many times as long.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Counting {
    Instructions,
    Off,
}

fn main() -> ExitCode {
    let programs: Vec<String> = std::env::args().skip(1).collect();
    if programs.is_empty() {
        eprintln!("per_message: name one or more programs of the courier");
        return ExitCode::from(2);
    }
    let mut first = None;
    println!("| program | instructions a message | ratio | resident after {MEMORY_RUN}, KiB | ratio |");
    println!("| --- | --- | --- | --- | --- |");
    for program in &programs {
        match measure(program) {
            Ok(cost) => print_cost(program, cost, *first.get_or_insert(cost)),
            Err(e) => {
                eprintln!("per_message: {program}: {e}");
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}

fn print_cost(program: &str, cost: Cost, base: Cost) {
    let Cost { instructions_per_message, resident_kib } = cost;
    let instructions_ratio = instructions_per_message / base.instructions_per_message;
    let memory_ratio = resident_kib / base.resident_kib;
    println!(
        "| {program} | {instructions_per_message:.0} | {instructions_ratio:.3} | {resident_kib:.0} | {memory_ratio:.3} |"
    );
}

fn measure(program: &str) -> Result<Cost> {
    let short = run(program, SHORT_RUN, Counting::Instructions)?;
    let long = run(program, LONG_RUN, Counting::Instructions)?;
    let memory = run(program, MEMORY_RUN, Counting::Off)?;
    let messages = (LONG_RUN - SHORT_RUN) as f64;
    Ok(Cost {
        instructions_per_message: (long.instructions - short.instructions) / messages,
        resident_kib: memory.resident_kib,
    })
}

/// Runs a courier from its start to its planned stop, with so many messages.
fn run(program: &str, messages: u64, counting: Counting) -> Result<RunResult> {
    let folder = std::env::temp_dir().join(format!("quillmount-cost-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder)?;
    let (endpoint, platform) = (TcpListener::bind("127.0.0.1:0")?, TcpListener::bind("127.0.0.1:0")?);
    let config = write_config(&folder, &endpoint, &platform)?;
    let (answered, answers) = channel();
    serve_each(endpoint, move |stream| serve_endpoint(stream, &answered));
    serve_each(platform, serve_platform);
    let mut command = courier_command(program, &folder, counting);
    command.env("GW_CONFIG", &config).env("GW_STATE", folder.join("state")).env("RUST_LOG", "info");
    let mut child = command.stderr(Stdio::piped()).spawn()?;
    let submitted = submit_all(&mut child, messages, &answers);
    let resident_kib = resident_kib(child.id());
    // SIGTERM, which the courier takes for a planned stop.
    Command::new("kill").arg(child.id().to_string()).status()?;
    child.wait()?;
    let log = submitted?.join().map_err(|_| Error::other("its log could not be read"))?;
    let instructions = check_log(&log, messages, counting)?;
    std::fs::remove_dir_all(&folder)?;
    Ok(RunResult { instructions, resident_kib: resident_kib? })
}

fn courier_command(program: &str, folder: &Path, counting: Counting) -> Command {
    if counting == Counting::Off {
        return Command::new(program);
    }
    let mut command = Command::new("valgrind");
    let output = folder.join("callgrind");
    command.arg("--tool=callgrind").arg(format!("--callgrind-out-file={}", output.display())).arg(program);
    command
}

/// Checks that all messages were delivered. Returns the instructions, or 0 where they were not counted.
fn check_log(log: &str, messages: u64, counting: Counting) -> Result<f64> {
    let delivered = last_number(log, " delivered=").unwrap_or(0.0);
    if delivered != messages as f64 {
        return Err(Error::other(format!("{delivered} of {messages} messages were delivered")));
    }
    match counting {
        Counting::Off => Ok(0.0),
        Counting::Instructions => {
            last_number(log, "Collected : ").ok_or_else(|| Error::other("callgrind told no count"))
        }
    }
}

/// The number behind the last occurrence of a label.
fn last_number(text: &str, label: &str) -> Option<f64> {
    let rest = text.rsplit_once(label)?.1;
    rest.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
}

/// Writes the example's configuration, with the addresses of these listeners.
fn write_config(folder: &Path, endpoint: &TcpListener, platform: &TcpListener) -> Result<PathBuf> {
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../example/config.json");
    let text = std::fs::read_to_string(example)?
        .replace("127.0.0.1:7070", "127.0.0.1:0")
        .replace("127.0.0.1:8500", &platform.local_addr()?.to_string())
        .replace("127.0.0.1:9001", &endpoint.local_addr()?.to_string());
    let path = folder.join("config.json");
    std::fs::write(&path, text)?;
    Ok(path)
}

/// Submits messages one after the other, each once the endpoint has answered the one before. Returns the thread that reads
/// the rest of the courier's log.
fn submit_all(
    child: &mut Child,
    messages: u64,
    answers: &Receiver<()>,
) -> Result<thread::JoinHandle<String>> {
    let mut log = BufReader::new(child.stderr.take().ok_or_else(|| Error::other("no log"))?);
    let addr = serving_address(&mut log)?;
    let rest = thread::spawn(move || {
        let mut text = String::new();
        let _ = log.read_to_string(&mut text);
        text
    });
    let mut stream = TcpStream::connect(addr)?;
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    for number in 0..messages {
        stream.write_all(request(number).as_bytes())?;
        match read_message(&mut reader)? {
            Some(first) if first.contains(" 202 ") => {}
            answer => return Err(Error::other(format!("message {number} is answered {answer:?}"))),
        }
        answers.recv().map_err(|_| Error::other("the provider has gone"))?;
    }
    Ok(rest)
}

/// Reads the log up to the line that says where the courier serves.
fn serving_address(log: &mut impl BufRead) -> Result<String> {
    loop {
        let mut line = String::new();
        if log.read_line(&mut line)? == 0 {
            return Err(Error::other("it ended before it served"));
        }
        if let Some((_, rest)) = line.split_once("serving on ") {
            return Ok(rest.split(';').next().unwrap_or_default().to_string());
        }
    }
}

/// Debits and notices in turn.
fn request(number: u64) -> String {
    let (class, key) = match number % 2 {
        0 => ("fee-debit", String::new()),
        _ => ("paid-notice", format!("Idempotency-Key: k{number:06}\r\n")),
    };
    let body = "x".repeat(200);
    format!(
        "POST /{class} HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: m{number:06}\r\n{key}X-Time-Left: 16000m\r\n\
         X-Addressing: dest=7\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Resident memory of a process.
fn resident_kib(process: u32) -> Result<f64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok());
    number.ok_or_else(|| Error::other("its memory is not told"))
}

/// Serves each connection in a thread of its own.
fn serve_each(listener: TcpListener, serve: impl Fn(TcpStream) -> Result<()> + Clone + Send + 'static) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
}

/// Reads a message and returns its first line, or `None` at the connection's end.
fn read_message(reader: &mut impl BufRead) -> Result<Option<String>> {
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
    while read_message(&mut reader)?.is_some() {
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")?;
        let _ = answered.send(());
    }
    Ok(())
}

fn serve_platform(mut stream: TcpStream) -> Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(first) = read_message(&mut reader)? {
        let answer: &[u8] = match first.starts_with("POST") {
            true => b"HTTP/1.1 204 No Content\r\n\r\n",
            false => b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        };
        stream.write_all(answer)?;
    }
    Ok(())
}
