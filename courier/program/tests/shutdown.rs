//! A planned stop and what may come in its moments, on sockets; each test forces one crossing of `docs/crossings.md`.

use quillmount_standins::courier::{Courier, Setup};
use quillmount_standins::endpoint::EndpointScript;
use quillmount_standins::http::Head;
use quillmount_standins::test_bed::{
    ClientConnection, TestBed, WAIT_TIMEOUT, probe, request, request_within, run_test,
};
use quillmount_standins::{ObservationKind, Observer, platform};
use rustix::net::sockopt::{socket_domain, socket_type, tcp_nodelay};
use rustix::net::{AddressFamily, SocketType, getpeername};
use rustix::process::{Pid, PidfdFlags, PidfdGetfdFlags, Signal, kill_process, pidfd_getfd, pidfd_open};
use std::cell::Cell;
use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep_until;

const PROGRAM: &str = env!("CARGO_BIN_EXE_quillmount");
const READY: &[u8] = b"GET /-/ready HTTP/1.1\r\nHost: backend.local\r\n\r\n";
/// SIGKILL comes no sooner after SIGTERM.
const KILL: Duration = Duration::from_millis(3_700);
/// The front deals connections out for so long after SIGTERM at most, and the courier closes its doors 0.1 s later.
const DEALS: Duration = Duration::from_millis(400);
const DOORS: Duration = Duration::from_millis(600);

/// A provider that never answers: what is handed in keeps the process until its last moment.
async fn silent() -> TestBed {
    TestBed::open(PROGRAM, |_| EndpointScript::silent(), |_| {}).await.unwrap()
}

async fn answering() -> TestBed {
    TestBed::open(PROGRAM, |_| EndpointScript::default(), |_| {}).await.unwrap()
}

/// SIGTERM, and the log's word that the stop has begun; when it was sent.
async fn term(courier: &Courier) -> Instant {
    let told = Instant::now();
    courier.send_sigterm().unwrap();
    courier.wait_for_log("stopping; ").await.unwrap();
    told
}

/// It ends of itself, as planned, before it would be killed.
async fn ends(courier: &mut Courier, told: Instant) {
    assert!(courier.wait_for_exit().await.unwrap().success());
    assert!(told.elapsed() < KILL, "{:?}", told.elapsed());
}

async fn until(at: Instant) {
    sleep_until(at.into()).await;
}

/// Waits until the courier refuses connections; each that it lets in is answered.
async fn doors_close(courier: &Courier, told: Instant) {
    until(told + DOORS).await;
    while let Ok(mut client) = ClientConnection::connect(courier.addr).await {
        let status = client.exchange(READY).await;
        assert_eq!(status.unwrap(), 503, "it is stopping");
    }
}

#[test]
fn whoever_the_system_has_accepted_as_the_doors_close_is_answered_and_others_are_refused() {
    run_test(async || {
        let mut test_bed = silent().await;
        assert_eq!(test_bed.submit("out").await.unwrap(), 202);
        test_bed.wait_for_call("out").await.unwrap();
        let told = term(&test_bed.courier).await;
        test_bed.courier.suspend().unwrap();
        // More than the runtime accepts in one round.
        let mut crowd = Vec::new();
        for n in 0..200 {
            let mut client = ClientConnection::connect(test_bed.courier.addr).await.unwrap();
            client.send(&request(&format!("late-{n}"))).await.unwrap();
            crowd.push(client);
        }
        // Its time to close them comes while it is held up.
        until(told + DOORS).await;
        test_bed.courier.resume().unwrap();
        for client in &mut crowd {
            assert!([202, 503].contains(&client.status().await.unwrap()));
        }
        // Nobody waits in a listener that nobody looks at.
        doors_close(&test_bed.courier, told).await;
        assert!(told.elapsed() < KILL - DEALS, "the process lives still");
        ends(&mut test_bed.courier, told).await;
    });
}

/// The runtime hears of the time before it hears of the bytes, as after any moment without the processor.
#[test]
fn a_first_request_that_comes_as_its_connections_time_is_up_is_answered() {
    run_test(async || {
        let mut test_bed = answering().await;
        let mut client = ClientConnection::connect(test_bed.courier.addr).await.unwrap();
        let came = Instant::now();
        // It is let in before the courier stands still.
        assert_eq!(probe(test_bed.courier.addr).await.unwrap(), 200);
        test_bed.courier.suspend().unwrap();
        client.send(&request("crosses")).await.unwrap();
        until(came + Duration::from_millis(2_400)).await;
        test_bed.courier.resume().unwrap();
        assert_eq!(client.status().await.unwrap(), 202);
        test_bed.wait_for_answer("crosses").await.unwrap();
    });
}

#[test]
fn a_request_that_lies_in_the_system_as_its_resting_connection_is_to_leave_is_answered() {
    run_test(async || {
        let mut test_bed = silent().await;
        let mut client = ClientConnection::connect(test_bed.courier.addr).await.unwrap();
        assert_eq!(client.exchange(&request("first")).await.unwrap(), 202);
        let told = term(&test_bed.courier).await;
        test_bed.courier.suspend().unwrap();
        client.send(&request("crosses")).await.unwrap();
        until(told + DOORS).await;
        test_bed.courier.resume().unwrap();
        assert_eq!(client.status().await.unwrap(), 202);
        assert!(client.read_answer().await.unwrap().is_none(), "its answer has ended it, and no reset");
        test_bed.wait_for_call("crosses").await.unwrap();
        ends(&mut test_bed.courier, told).await;
    });
}

/// Those that rest until the courier ends them, and send right then: an answer, or a connection that ends with the
/// request unread, which the consumer sends again elsewhere; then no provider may ever see it.
#[test]
fn what_crosses_the_end_of_a_resting_connection_is_answered_or_never_sent_on() {
    run_test(async || {
        let mut test_bed = answering().await;
        let mut clients = Vec::new();
        for n in 0..60 {
            let mut client = ClientConnection::connect(test_bed.courier.addr).await.unwrap();
            assert_eq!(client.exchange(&request(&format!("first-{n}"))).await.unwrap(), 202);
            test_bed.wait_for_answer(&format!("first-{n}")).await.unwrap();
            clients.push(client);
        }
        let told = term(&test_bed.courier).await;
        let sends = clients.into_iter().enumerate().map(|(n, mut client)| {
            spawn_local(async move {
                until(told + Duration::from_millis(490 + n as u64)).await;
                let status = client.exchange(&request(&format!("then-{n}"))).await;
                (n, status.ok())
            })
        });
        let mut ended = Vec::new();
        for sent in sends.collect::<Vec<_>>() {
            match sent.await.unwrap() {
                (_, Some(status)) => assert_eq!(status, 202),
                (n, None) => ended.push(format!("then-{n}")),
            }
        }
        ends(&mut test_bed.courier, told).await;
        while let Ok(seen) = test_bed.observations.try_recv() {
            assert!(!ended.contains(&seen.id), "{seen:?}");
        }
    });
}

#[test]
fn half_a_head_at_sigterm_is_waited_for_and_a_head_that_stays_half_is_answered() {
    run_test(async || {
        let mut test_bed = answering().await;
        let mut whole = ClientConnection::connect(test_bed.courier.addr).await.unwrap();
        let mut half = ClientConnection::connect(test_bed.courier.addr).await.unwrap();
        let bytes = request("halved");
        whole.send(&bytes[..40]).await.unwrap();
        half.send(&bytes[..40]).await.unwrap();
        assert_eq!(probe(test_bed.courier.addr).await.unwrap(), 200);
        let told = term(&test_bed.courier).await;
        doors_close(&test_bed.courier, told).await;
        whole.send(&bytes[40..]).await.unwrap();
        assert_eq!(whole.status().await.unwrap(), 202);
        test_bed.wait_for_answer("halved").await.unwrap();
        assert_eq!(half.status().await.unwrap(), 408);
        assert!(half.read_answer().await.unwrap().is_none());
        ends(&mut test_bed.courier, told).await;
    });
}

/// Consumers go on to send on what stays open: what comes in time is taken on, and what will not be tried is refused in
/// so many words.
#[test]
fn each_request_on_a_connection_that_stays_open_is_answered_to_the_last() {
    run_test(async || {
        let mut test_bed = silent().await;
        assert_eq!(test_bed.submit("out").await.unwrap(), 202);
        test_bed.wait_for_call("out").await.unwrap();
        let mut clients = Vec::new();
        let told = term(&test_bed.courier).await;
        for _ in 0..19 {
            clients.push(ClientConnection::connect(test_bed.courier.addr).await.unwrap());
        }
        let sends = clients.into_iter().enumerate().map(|(n, mut client)| {
            spawn_local(async move {
                let at = Duration::from_millis(100 * n as u64);
                until(told + at).await;
                client.send(&request(&format!("n-{n}"))).await.unwrap();
                let answer = client.read_answer().await.unwrap().expect("an answer");
                assert_eq!(answer.header("connection"), Some("close"));
                assert!(client.read_answer().await.unwrap().is_none(), "and the end, no reset");
                (at, answer)
            })
        });
        for sent in sends.collect::<Vec<_>>() {
            let (at, answer) = sent.await.unwrap();
            // Half of the time until the calls end.
            match answer.status() {
                202 => assert!(at < Duration::from_millis(1_700), "{at:?}"),
                503 => assert!(at > Duration::from_millis(1_200) && answer.header("retry-after").is_some()),
                other => panic!("{other} after {at:?}"),
            }
        }
        ends(&mut test_bed.courier, told).await;
    });
}

#[test]
fn an_answer_outlives_the_close_over_bytes_that_nobody_reads() {
    run_test(async || {
        let test_bed = answering().await;
        let mut client = ClientConnection::connect(test_bed.courier.addr).await.unwrap();
        let behind = [request("behind"), vec![b'x'; 200_000]].concat();
        client.send(&behind).await.unwrap();
        let answer = client.read_answer().await.unwrap().unwrap();
        assert_eq!((answer.status(), answer.header("connection")), (400, Some("close")));
        // What is sent now is let go: a reset would show here.
        client.send(&[b'x'; 20_000]).await.unwrap();
        assert!(client.read_answer().await.unwrap().is_none());
    });
}

#[test]
fn a_stop_before_the_first_list_ends_at_once_and_one_that_owes_in_time() {
    run_test(async || {
        for owes in [false, true] {
            let (observer, mut seen) = Observer::channel();
            // Discovery is down from the first question on.
            let (_down, is_down) = watch::channel(true);
            let (_list, told) = watch::channel(String::new());
            let platform = platform::open_with(observer.clone(), told, is_down).await.unwrap();
            let provider =
                quillmount_standins::endpoint::open(observer, |_| EndpointScript::silent()).await.unwrap();
            let mut courier = Courier::start(Setup::new(PROGRAM, platform, vec![(7, provider)])).unwrap();
            if owes {
                let mut client = ClientConnection::connect(courier.addr).await.unwrap();
                assert_eq!(client.exchange(&request("owed")).await.unwrap(), 202);
            }
            while seen.recv().await.unwrap().what != ObservationKind::Watched {}
            let told = term(&courier).await;
            ends(&mut courier, told).await;
            assert_eq!(told.elapsed() > 2 * DOORS, owes, "{:?}", told.elapsed());
        }
    });
}

/// The notice of what ends during the stop goes where the platform is by then.
#[test]
fn a_second_sigterm_and_a_sighup_before_and_after_change_nothing_of_the_stop() {
    run_test(async || {
        for order in [[Signal::HUP, Signal::TERM, Signal::TERM], [Signal::TERM, Signal::TERM, Signal::HUP]] {
            let mut test_bed = silent().await;
            let mut client = ClientConnection::connect(test_bed.courier.addr).await.unwrap();
            let short = request_within("short", Duration::from_millis(1_200));
            assert_eq!(client.exchange(&short).await.unwrap(), 202);
            test_bed.wait_for_call("short").await.unwrap();
            let (observer, mut seen) = Observer::channel();
            let next = platform::open(observer, watch::channel(String::new()).1).await.unwrap();
            let path = test_bed.courier.folder.join("config.json");
            let mut config: serde_json::Value =
                serde_json::from_slice(&std::fs::read(&path).unwrap()).unwrap();
            config["discovery"] = next.to_string().into();
            std::fs::write(&path, config.to_string()).unwrap();
            let (pid, told) = (Pid::from_raw(test_bed.courier.id() as i32).unwrap(), Instant::now());
            let mut stops = false;
            for signal in order {
                kill_process(pid, signal).unwrap();
                // The second comes into a stop that has begun.
                if signal == Signal::TERM && !std::mem::replace(&mut stops, true) {
                    test_bed.courier.wait_for_log("stopping; ").await.unwrap();
                }
            }
            loop {
                let seen =
                    tokio::time::timeout(WAIT_TIMEOUT, seen.recv()).await.expect("its notice").unwrap();
                if seen.id == "short" && matches!(seen.what, ObservationKind::Notice(_)) {
                    break;
                }
            }
            ends(&mut test_bed.courier, told).await;
            while let Ok(seen) = test_bed.observations.try_recv() {
                assert!(!matches!(seen.what, ObservationKind::Notice(_)), "{order:?}: {seen:?}");
            }
        }
    });
}

/// Every record of what was taken on is found again, wherever the stop fell into the journal's rewriting.
#[test]
fn a_stop_among_compactions_loses_nothing_that_was_taken_on() {
    run_test(async || {
        let small = |setup: &mut Setup| setup.limits = serde_json::json!({"disk_mb": 0.02});
        let answers = Rc::new(Cell::new(true));
        let script = {
            let answers = answers.clone();
            move |_: &Head| if answers.get() { EndpointScript::default() } else { EndpointScript::silent() }
        };
        let mut test_bed = TestBed::open(PROGRAM, script, small).await.unwrap();
        let journal = test_bed.courier.folder.join("state/journal");
        let inode = |path: &Path| std::os::unix::fs::MetadataExt::ino(&std::fs::metadata(path).unwrap());
        let (first, mut taken, mut told) = (inode(&journal), Vec::new(), None);
        for n in 0.. {
            let id = format!("m-{n}");
            match test_bed.submit(&id).await {
                Ok(202) if told.is_some() => taken.push(id),
                Ok(202) => {}
                Ok(503) => {}
                Ok(other) => panic!("{other}"),
                // The doors are closed.
                Err(_) => break,
            }
            // It is written anew by now, and will be again.
            if told.is_none() && inode(&journal) != first {
                // Nothing has its end any more in this life.
                answers.set(false);
                told = Some(Instant::now());
                test_bed.courier.send_sigterm().unwrap();
            }
        }
        ends(&mut test_bed.courier, told.expect("it was written anew")).await;
        answers.set(true);
        test_bed.courier.kill_and_restart().unwrap();
        assert!(!taken.is_empty());
        let mut seen = std::collections::BTreeSet::new();
        while !taken.iter().all(|id| seen.contains(id)) {
            let end = test_bed
                .wait_for(|seen| {
                    matches!(seen.what, ObservationKind::Answered(_) | ObservationKind::Notice(_))
                })
                .await;
            seen.insert(end.expect("each has its end").id);
        }
    });
}

/// Starts a courier whose configuration is a pipe: it has come to read it once the pipe is open at both ends.
fn signalled_at_its_start(name: &str, signal: Signal) -> (Vec<String>, std::process::ExitStatus) {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("early-{name}"));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(folder.join("state")).unwrap();
    let path = folder.join("config.json");
    assert!(Command::new("mkfifo").arg(&path).status().unwrap().success());
    let mut child = Command::new(PROGRAM)
        .env("GW_CONFIG", &path)
        .env("GW_STATE", folder.join("state"))
        .env("GW_LISTEN", "127.0.0.1:0")
        .env("GW_DISCOVERY", "127.0.0.1:1")
        .env_remove("GW_OPERATOR")
        .env_remove("GW_INHERITED_FD")
        .env("RUST_LOG", "info")
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut pipe = std::fs::File::options().write(true).open(&path).unwrap();
    let config = std::fs::read(concat!(env!("CARGO_MANIFEST_DIR"), "/../example/config.json")).unwrap();
    std::fs::write(folder.join("next"), &config).unwrap();
    std::fs::rename(folder.join("next"), &path).unwrap();
    let pid = Pid::from_child(&child);
    kill_process(pid, signal).unwrap();
    // One that has died of it reads no more.
    let _ = pipe.write_all(&config);
    drop(pipe);
    let mut said = Vec::new();
    for line in BufReader::new(child.stderr.take().unwrap()).lines().map_while(Result::ok) {
        let heard = line.contains("configuration: read again");
        said.push(line);
        if heard {
            kill_process(pid, Signal::TERM).unwrap();
        }
    }
    (said, child.wait().unwrap())
}

#[test]
fn a_signal_before_the_configuration_is_read_is_heeded_once_it_is() {
    for (name, signal, word) in
        [("hup", Signal::HUP, "configuration: read again"), ("term", Signal::TERM, "stopping; ")]
    {
        let (said, status) = signalled_at_its_start(name, signal);
        assert!(said.iter().any(|line| line.contains("serving on")), "{name}: {status}, {said:?}");
        assert!(said.iter().any(|line| line.contains(word)), "{name}: {said:?}");
        assert!(status.success(), "{name}: {status}");
    }
}

/// The next process waits for a holder that hangs, and is told to stop meanwhile: it has nothing yet, and goes.
#[test]
fn a_stop_while_a_lock_owner_that_hangs_is_waited_for_ends_in_time() {
    run_test(async || {
        let mut test_bed = silent().await;
        assert_eq!(test_bed.submit("owed").await.unwrap(), 202);
        test_bed.wait_for_call("owed").await.unwrap();
        test_bed.courier.suspend().unwrap();
        let mut next = Command::new(PROGRAM)
            .env("GW_CONFIG", test_bed.courier.folder.join("config.json"))
            .env("GW_STATE", test_bed.courier.folder.join("state"))
            .env("RUST_LOG", "info")
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(next.stderr.take().unwrap()).lines().map_while(Result::ok);
        assert!(lines.any(|line| line.contains("upgrade: asking process")));
        let told = Instant::now();
        kill_process(Pid::from_child(&next), Signal::TERM).unwrap();
        let said: Vec<String> = lines.collect();
        assert!(next.wait().unwrap().success(), "{said:?}");
        assert!(said.iter().any(|line| line.contains("stopped before it took anything over")), "{said:?}");
        assert!(told.elapsed() < KILL, "{:?}: {said:?}", told.elapsed());
    });
}

/// For each of a process's TCP connections over IP: its other end, and whether small writes leave at once.
fn connections(pid: u32) -> Vec<(String, bool)> {
    let process = pidfd_open(Pid::from_raw(pid as i32).unwrap(), PidfdFlags::empty()).unwrap();
    let numbers = std::fs::read_dir(format!("/proc/{pid}/fd")).unwrap();
    let numbers = numbers.filter_map(|entry| entry.unwrap().file_name().to_str()?.parse().ok());
    let held = numbers.filter_map(|fd| pidfd_getfd(&process, fd, PidfdGetfdFlags::empty()).ok());
    held.filter_map(|fd| {
        let tcp =
            socket_type(&fd).ok()? == SocketType::STREAM && socket_domain(&fd).ok()? == AddressFamily::INET;
        let peer = getpeername(&fd).ok()?;
        tcp.then(|| (format!("{peer:?}"), tcp_nodelay(&fd).unwrap()))
    })
    .collect()
}

#[test]
fn no_connection_of_a_courier_or_of_the_next_process_holds_small_writes_back() {
    run_test(async || {
        let script = |head: &Head| match head.header("x-correlation-id") {
            Some("out") => EndpointScript::silent(),
            Some("short") => EndpointScript::answers("500 X"),
            _ => EndpointScript::default(),
        };
        let mut test_bed = TestBed::open(PROGRAM, script, |setup| setup.operators = true).await.unwrap();
        // A question has gone out: its connection is one that is written to.
        test_bed.wait_for(|seen| seen.what == ObservationKind::Watched).await.unwrap();
        let mut resting = ClientConnection::connect(test_bed.courier.addr).await.unwrap();
        let short = request_within("short", Duration::from_millis(300));
        assert_eq!(resting.exchange(&short).await.unwrap(), 202);
        // The platform's connection for notices is kept.
        test_bed.wait_for(|seen| matches!(seen.what, ObservationKind::Notice(_))).await.unwrap();
        assert_eq!(resting.exchange(&request("out")).await.unwrap(), 202);
        test_bed.wait_for_call("out").await.unwrap();
        let operator = TcpStream::connect(test_bed.courier.operators.unwrap()).await.unwrap();
        // It is accepted before the next caller is answered.
        let line = [&b"ready\n"[..]];
        quillmount_standins::operator::call(test_bed.courier.operators.unwrap(), &line).await.unwrap();
        let all = connections(test_bed.courier.id());
        // The consumer, the call, the watch, the notices, the operator.
        assert!(all.len() >= 5, "{all:?}");
        assert!(all.iter().all(|(_, at_once)| *at_once), "{all:?}");
        drop(operator);
        let _former = test_bed.courier.upgrade().unwrap();
        test_bed.wait_for(|seen| seen.what == ObservationKind::Watched).await.unwrap();
        assert_eq!(resting.exchange(READY).await.unwrap(), 200);
        let all = connections(test_bed.courier.id());
        // The consumer and the call came over.
        assert!(all.len() >= 3 && all.iter().all(|(_, at_once)| *at_once), "{all:?}");
    });
}
