//! The consumers' listening socket on an inherited descriptor: one that serves, and all that do not.

use rustix::io::{FdFlags, fcntl_setfd};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::os::fd::{AsFd, AsRawFd};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

fn folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("inherited-{name}"));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(folder.join("state")).unwrap();
    folder
}

/// Starts a courier that is to listen at `listen`, on the descriptor with this number.
fn start(folder: &Path, listen: &str, number: &str) -> Child {
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../example/config.json");
    Command::new(env!("CARGO_BIN_EXE_quillmount"))
        .env("GW_CONFIG", example)
        .env("GW_STATE", folder.join("state"))
        .env("GW_LISTEN", listen)
        .env("GW_DISCOVERY", "127.0.0.1:1")
        .env("GW_INHERITED_FD", number)
        .env_remove("GW_OPERATOR")
        .env("RUST_LOG", "info")
        .stderr(Stdio::piped())
        .spawn()
        .unwrap()
}

/// A process that is started from here on inherits it.
fn let_inherit(fd: &(impl AsFd + AsRawFd)) -> String {
    fcntl_setfd(fd, FdFlags::empty()).unwrap();
    fd.as_raw_fd().to_string()
}

#[test]
fn clients_that_came_before_the_process_are_served() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let number = let_inherit(&listener);
    // It is in the backlog before anybody accepts.
    let mut early = TcpStream::connect(addr).unwrap();
    early.write_all(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").unwrap();
    let mut child = start(&folder("good"), &addr.to_string(), &number);
    let mut answer = String::new();
    early.read_to_string(&mut answer).unwrap();
    child.kill().unwrap();
    child.wait().unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    // Its end closes nothing: the next process finds who came meanwhile.
    assert!(TcpStream::connect(addr).is_ok());
}

#[test]
fn a_descriptor_that_is_none_is_named_with_the_reason_and_ends_the_start() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let elsewhere = TcpListener::bind("127.0.0.1:0").unwrap();
    let udp = UdpSocket::bind("127.0.0.1:0").unwrap();
    let connected = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let file = File::open(concat!(env!("CARGO_MANIFEST_DIR"), "/Cargo.toml")).unwrap();
    let folder = folder("bad");
    for (number, why) in [
        ("five".to_string(), "is no descriptor's number"),
        ("987".to_string(), "can't be had"),
        (let_inherit(&file), "is no socket"),
        (let_inherit(&udp), "is no TCP socket"),
        (let_inherit(&connected), "does not listen"),
        (let_inherit(&elsewhere), "is wanted"),
    ] {
        let mut child = start(&folder, &addr, &number);
        let lines = BufReader::new(child.stderr.take().unwrap()).lines().map_while(Result::ok);
        let said: Vec<String> = lines.collect();
        assert!(!child.wait().unwrap().success(), "{number}");
        let named = said.iter().any(|l| l.contains("GW_INHERITED_FD") && l.contains(why));
        assert!(named, "{number}, {why}: {said:?}");
    }
}
