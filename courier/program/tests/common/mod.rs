//! Plays an exchange recorded in a text file against the program, and returns all that was said.
//!
//! With EXCHANGE_TRACE set, every step is printed as it is played.
//!
//! Lines of a file: `#` remarks; `>` bytes to send, each line ended as HTTP wants it (the last one
//! bare where it follows an empty line), with `\\r` and `\\n` as they stand; everything else is a step:
//! `set NAME=VALUE`, `start`, `kill`, `term`, `exit`, `pause` and `resume`, `tear` (half a record at the journal's end),
//! `half` (half a copy of the journal beside it), `files` (the names in the folder that lasts),
//! `crowd N` (connections that say nothing), `disk`, `open` (a port for provider pN), `consumer` (a request, then its answer), `send NAME` and
//! `recv NAME` (the same in two steps, on a connection kept by name), `provider pN` (waits for a call,
//! or reads the answer bytes to give), `shut pN` (closes the call's connection), `gone pN` (waits for
//! the courier to close it), `closed NAME`, `notices CODE` (waits for notices), `list` (on the watch),
//! `move NAME` (the platform is at that port now: new configuration, SIGHUP, a watch there), `spoil`
//! (the same with a file that can't be read).

use std::collections::{BTreeMap, VecDeque};
use std::io::{BufRead, BufReader, ErrorKind, Lines, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Only a broken program waits for so long.
const WAIT_TIMEOUT: Duration = Duration::from_secs(8);

/// A watch that is silent for longer than 2 s counts as broken.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// A whole request on a connection to one of our listeners; none: the connection ended.
/// Last: how often the program had been started when the connection came.
type ReceivedMessage = (String, TcpStream, Option<String>, u32);

struct ExchangePlayer {
    folder: PathBuf,
    /// The port that plays the platform.
    platform: String,
    ports: BTreeMap<String, u16>,
    vars: BTreeMap<String, String>,
    child: Option<Child>,
    log: Option<Lines<BufReader<ChildStderr>>>,
    starts: Arc<AtomicU32>,
    received: Receiver<ReceivedMessage>,
    sender: Sender<ReceivedMessage>,
    waiting: VecDeque<ReceivedMessage>,
    clients: BTreeMap<String, TcpStream>,
    /// The connection of the latest call to each provider and of the notices.
    peers: BTreeMap<String, TcpStream>,
    /// The latest watch, which is told an empty line from time to time.
    watch: Option<Arc<Mutex<TcpStream>>>,
}

/// Plays `tests/exchanges/NAME.txt`.
pub fn play(name: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/exchanges");
    let text = std::fs::read_to_string(root.join(format!("{name}.txt"))).unwrap();
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(folder.join("state")).unwrap();
    let (sender, received) = channel();
    let mut player = ExchangePlayer {
        folder,
        platform: "platform".into(),
        ports: BTreeMap::new(),
        vars: BTreeMap::new(),
        child: None,
        log: None,
        starts: Arc::default(),
        received,
        sender,
        waiting: VecDeque::new(),
        clients: BTreeMap::new(),
        peers: BTreeMap::new(),
        watch: None,
    };
    player.open("platform");
    let mut transcript = String::new();
    let mut lines = text.lines().filter(|l| !l.starts_with('#') && !l.is_empty()).peekable();
    while let Some(step) = lines.next() {
        let mut bytes: Vec<&str> = Vec::new();
        while let Some(line) = lines.next_if(|l| l.starts_with('>')) {
            bytes.push(line[1..].trim_start());
        }
        let answer = player.step(step, &bytes);
        transcript += &format!("{step}\n{answer}");
        if std::env::var_os("EXCHANGE_TRACE").is_some() {
            eprint!("{name}: {step}\n{answer}");
        }
    }
    transcript
}

impl ExchangePlayer {
    #[expect(clippy::too_many_lines, reason = "one arm for each verb of an exchange")]
    fn step(&mut self, step: &str, lines: &[&str]) -> String {
        let (verb, name) = step.split_once(' ').unwrap_or((step, ""));
        let name = name.to_string();
        let bytes = self.substitute_addresses(&encode_lines(lines));
        match verb {
            "set" => {
                let (var, value) = name.split_once('=').unwrap();
                self.vars.insert(var.into(), value.into());
            }
            "open" => self.open(&name),
            "start" => return self.start(),
            "kill" => self.child().kill().and_then(|()| self.child().wait().map(drop)).unwrap(),
            "term" => {
                self.signal("-TERM");
                self.wait_for_log("stopping; ");
            }
            "pause" => {
                self.signal("-STOP");
                let stat = format!("/proc/{}/stat", self.child().id());
                while !std::fs::read_to_string(&stat).unwrap().contains(") T ") {
                    std::thread::yield_now();
                }
            }
            "resume" => self.signal("-CONT"),
            "exit" => return format!("  {}\n", self.child.take().unwrap().wait().unwrap()),
            "tear" => {
                let journal = self.folder.join("state/journal");
                let mut file = std::fs::OpenOptions::new().append(true).open(journal).unwrap();
                file.write_all(&[40, 0, 0, 0, 1, 2, 3, 4, 5, 6]).unwrap();
            }
            "half" => std::fs::write(self.folder.join("state/journal.new"), b"ne").unwrap(),
            "files" => {
                let files = std::fs::read_dir(self.folder.join("state")).unwrap();
                let mut names: Vec<_> =
                    files.map(|f| f.unwrap().file_name().into_string().unwrap()).collect();
                names.sort_unstable();
                return format!("  {}\n", names.join(" "));
            }
            "disk" => {
                let files = std::fs::read_dir(self.folder.join("state")).unwrap();
                let sizes = files.map(|f| f.unwrap().metadata().unwrap().len().next_multiple_of(512));
                let most = self.vars["disk_mb"].parse::<f64>().unwrap() * 1e6;
                return format!("  within its share: {}\n", sizes.sum::<u64>() as f64 <= most);
            }
            "consumer" => {
                let mut client = self.connect();
                client.write_all(bytes.as_bytes()).unwrap();
                return self.normalize(&read_response(&mut client));
            }
            "crowd" => {
                for n in 0..name.parse().unwrap() {
                    let silent = self.connect();
                    self.clients.insert(format!("silent-{n}"), silent);
                }
            }
            "send" => {
                let known = self.clients.remove(&name);
                let mut client = known.unwrap_or_else(|| self.connect());
                client.write_all(bytes.as_bytes()).unwrap();
                self.clients.insert(name, client);
            }
            "recv" => {
                let received = read_response(self.clients.get_mut(&name).unwrap());
                return self.normalize(&received);
            }
            "closed" => {
                let end = self.clients.remove(&name).unwrap().read(&mut [0; 1]);
                return format!("  {}\n", if matches!(end, Ok(0)) { "yes" } else { "no" });
            }
            "provider" if !lines.is_empty() => {
                self.peers.get_mut(&name).unwrap().write_all(bytes.as_bytes()).unwrap();
                // Else the next step could overtake the answer.
                self.wait_for_log("call ended: ");
            }
            "provider" => {
                let received = self.wait_for_request(&name, |r| r.is_some()).unwrap();
                return self.normalize(&received);
            }
            "move" => {
                self.platform = name;
                self.configure();
                self.signal("-HUP");
                self.accept_watch();
            }
            "spoil" => {
                std::fs::write(self.folder.join("config.json"), "{").unwrap();
                self.signal("-HUP");
                self.wait_for_log("not read again, the old values hold");
            }
            "shut" => self.peers.remove(&name).unwrap().shutdown(Shutdown::Both).unwrap(),
            "gone" => {
                self.wait_for_request(&name, |r| r.is_none());
            }
            "notices" => {
                let platform = self.platform.clone();
                let received = self
                    .wait_for_request(&platform, |r| r.as_ref().is_some_and(|r| r.starts_with("POST")))
                    .unwrap();
                let answer = format!("HTTP/1.1 {name} X\r\nContent-Length: 0\r\n\r\n");
                self.peers.get_mut(&platform).unwrap().write_all(answer.as_bytes()).unwrap();
                return self.normalize(&received);
            }
            "list" => {
                let mut watch = self.watch.as_ref().unwrap().lock().unwrap();
                // Cut in the middle, and with the empty line of a quiet watch between.
                let body = format!("\n{}\n", bytes.trim());
                let (a, b) = body.split_at(body.len() / 2);
                for part in [a, b] {
                    watch.write_all(format!("{:x}\r\n{part}\r\n", part.len()).as_bytes()).unwrap();
                }
                drop(watch);
                self.wait_for_log("discovery: version ");
            }
            _ => panic!("no such step: {step}"),
        }
        String::new()
    }

    fn child(&mut self) -> &mut Child {
        self.child.as_mut().expect("the program runs")
    }

    fn open(&mut self, name: &str) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        self.ports.insert(name.into(), listener.local_addr().unwrap().port());
        let (name, sender, starts) = (name.to_string(), self.sender.clone(), self.starts.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (name, sender, start_number) =
                    (name.clone(), sender.clone(), starts.load(Ordering::SeqCst));
                std::thread::spawn(move || {
                    let mut reader = stream.try_clone().unwrap();
                    while let Some(request) = read_message(&mut reader) {
                        let _ = sender.send((
                            name.clone(),
                            stream.try_clone().unwrap(),
                            Some(request),
                            start_number,
                        ));
                    }
                    let _ = sender.send((name, stream, None, start_number));
                });
            }
        });
    }

    /// The next word of this kind from a party; keeps the connection, and what others said meanwhile.
    fn wait_for_request(&mut self, name: &str, wanted: impl Fn(&Option<String>) -> bool) -> Option<String> {
        // What a killed program had said may come late.
        let start_number = self.starts.load(Ordering::SeqCst);
        let is = |h: &ReceivedMessage| h.0 == name && h.3 == start_number && wanted(&h.2);
        let (_, stream, request, _) = match self.waiting.iter().position(is) {
            Some(at) => self.waiting.remove(at).unwrap(),
            None => {
                let until = Instant::now() + WAIT_TIMEOUT;
                loop {
                    let left = until.saturating_duration_since(Instant::now());
                    let received =
                        self.received.recv_timeout(left).unwrap_or_else(|_| panic!("{name}: nothing came"));
                    if is(&received) {
                        break received;
                    }
                    self.waiting.push_back(received);
                }
            }
        };
        self.peers.insert(name.into(), stream);
        request
    }

    fn signal(&mut self, signal: &str) {
        let pid = self.child().id().to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().unwrap().success());
    }

    fn configure(&self) -> PathBuf {
        let config = std::fs::read_to_string(
            Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/exchanges/config.json"),
        );
        let mut config = self.substitute_addresses(&config.unwrap());
        for (name, default) in [("disk_mb", "1"), ("slots", "8"), ("open_cap", "20"), ("sockets", "1024")] {
            config = config.replace(&format!("[{name}]"), self.vars.get(name).map_or(default, |v| v));
        }
        config = config.replace("[discovery]", &format!("127.0.0.1:{}", self.ports[&self.platform]));
        let path = self.folder.join("config.json");
        std::fs::write(&path, config).unwrap();
        path
    }

    /// Waits for a watch on discovery, and answers it.
    fn accept_watch(&mut self) {
        let platform = self.platform.clone();
        self.wait_for_request(&platform, |r| r.as_ref().is_some_and(|r| r.starts_with("GET"))).unwrap();
        let mut watch = self.peers.remove(&platform).unwrap();
        watch.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").unwrap();
        let watch = Arc::new(Mutex::new(watch));
        self.watch = Some(watch.clone());
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(KEEPALIVE_INTERVAL);
                if watch.lock().unwrap().write_all(b"1\r\n\n\r\n").is_err() {
                    return;
                }
            }
        });
    }

    fn start(&mut self) -> String {
        let path = self.configure();
        self.peers.clear();
        self.waiting.clear();
        self.starts.fetch_add(1, Ordering::SeqCst);
        let child = Command::new(env!("CARGO_BIN_EXE_quillmount"))
            .env("RUST_LOG", "quillmount=debug")
            .env("GW_CONFIG", &path)
            .env("GW_STATE", self.folder.join("state"))
            .stderr(Stdio::piped())
            .spawn();
        self.log = self.child.insert(child.unwrap()).stderr.take().map(|e| BufReader::new(e).lines());
        let port = self.wait_for_log("serving on 127.0.0.1:");
        let port = port.split(';').next().unwrap().parse().unwrap();
        self.ports.insert("courier".into(), port);
        self.accept_watch();
        let mut probe = self.connect();
        probe.write_all(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
        format!("  {}\n", read_response(&mut probe).lines().next().unwrap())
    }

    /// Waits for a line of the program's log, and returns what stands behind `words`.
    fn wait_for_log(&mut self, words: &str) -> String {
        let lines = self.log.as_mut().unwrap().map_while(Result::ok);
        lines.filter_map(|l| Some(l.split_once(words)?.1.to_string())).next().expect("the log goes on")
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(("127.0.0.1", self.ports["courier"])).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        stream
    }

    /// `[pN]` stands for the address of a party.
    fn substitute_addresses(&self, text: &str) -> String {
        let address = |text: String, (name, port): (&String, &u16)| {
            text.replace(&format!("[{name}]"), &format!("127.0.0.1:{port}"))
        };
        self.ports.iter().fold(text.to_string(), address)
    }

    /// What was heard, without what differs from run to run.
    fn normalize(&self, received: &str) -> String {
        let back = |text: String, (name, port): (&String, &u16)| {
            text.replace(&format!("127.0.0.1:{port}"), &format!("[{name}]"))
        };
        let text = self.ports.iter().fold(received.to_string(), back);
        let mut lines: Vec<String> = text.split("\r\n").map(str::to_string).collect();
        let head = lines.iter().position(|l| l.is_empty()).unwrap_or(lines.len());
        for line in &mut lines[1..head] {
            let (name, value) = line.split_once(": ").unwrap();
            let varies = ["date", "x-time-left"].contains(&name.to_lowercase().as_str());
            *line = format!("{}: {}", name.to_lowercase(), if varies { "[varies]" } else { value });
        }
        lines[1..head].sort();
        lines.iter().flat_map(|l| l.lines()).map(|l| format!("  {l}\n")).collect()
    }
}

impl Drop for ExchangePlayer {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Lines as HTTP has them: all behind the first empty one is the body, as it stands. `*N` in a body
/// stands for N bytes.
fn encode_lines(lines: &[&str]) -> String {
    let head = lines.iter().position(|l| l.is_empty()).unwrap_or(lines.len());
    // Every request names its host, as HTTP/1.1 demands.
    let host = |l: &str| if l.ends_with(" HTTP/1.1") { "Host: backend.local\r\n" } else { "" };
    let head_lines: String = lines[..head].iter().map(|l| format!("{l}\r\n{}", host(l))).collect();
    let head_lines = head_lines.replace("\\r", "\r").replace("\\n", "\n");
    let body = lines.get(head + 1..).unwrap_or_default().join("\n");
    let body = match body.strip_prefix('*').and_then(|n| n.parse().ok()) {
        Some(n) => "x".repeat(n),
        None => body,
    };
    if lines.iter().any(|l| l.is_empty()) { format!("{head_lines}\r\n{body}") } else { head_lines }
}

fn read_response(stream: &mut TcpStream) -> String {
    read_message(stream).unwrap_or_else(|| "(closed)".into())
}

/// A whole message with its body; none where the connection ends before.
fn read_message(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut byte = [0; 1];
    while !bytes.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => bytes.push(byte[0]),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            _ => return None,
        }
    }
    let head = String::from_utf8_lossy(&bytes).to_lowercase();
    let length = head.lines().find_map(|l| l.strip_prefix("content-length: ")?.trim().parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).ok()?;
    bytes.extend(body);
    Some(String::from_utf8_lossy(&bytes).into_owned())
}
