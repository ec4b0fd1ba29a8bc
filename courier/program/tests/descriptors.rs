//! Consumers that take all descriptors, and floods, on sockets; each test forces one crossing of `docs/crossings.md`.

use quillmount_standins::ObservationKind;
use quillmount_standins::courier::{Courier, Setup, cpu_of};
use quillmount_standins::endpoint::EndpointScript;
use quillmount_standins::test_bed::{ClientConnection, DEST, TestBed, request, request_within, run_test};
use rustix::process::{Pid, Resource, Rlimit, getrlimit, prlimit, setrlimit};
use serde_json::json;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep, sleep_until};

const PROGRAM: &str = env!("CARGO_BIN_EXE_quillmount");
/// A consumer waits so long for its answer.
const WAITS: Duration = Duration::from_millis(400);
/// Who connects and says nothing is let go after this.
const SILENT: Duration = Duration::from_millis(2_200);

/// The test itself holds some thousand connections.
fn descriptors_for_the_test() {
    let had = getrlimit(Resource::Nofile);
    setrlimit(Resource::Nofile, Rlimit { current: had.maximum, ..had }).unwrap();
}

/// Connections that say nothing.
async fn idle(courier: SocketAddr, n: usize) -> Vec<TcpStream> {
    let mut all = Vec::with_capacity(n);
    for _ in 0..n {
        all.push(TcpStream::connect(courier).await.unwrap());
    }
    all
}

fn list(version: u64) -> String {
    format!(r#"{{"version":{version},"full":false,"servers":[]}}"#)
}

/// More idle consumers than it has descriptors for, all at once, while discovery is down and after: what discovery,
/// notices, journal and providers need was set aside, and no accept ever fails.
#[test]
fn idle_clients_leave_what_the_courier_itself_needs() {
    idle_consumers(MOST);
}

/// The same where the system lets the process have fewer than the configuration tells.
#[test]
fn a_lower_ulimit_goes_before_the_configuration() {
    idle_consumers(1_024);
}

/// Descriptors that the system lets the process have.
const MOST: usize = 80;

/// The configuration tells of so many sockets.
fn idle_consumers(told: usize) {
    descriptors_for_the_test();
    run_test(async || {
        let script = |head: &quillmount_standins::http::Head| match head.header("x-correlation-id") {
            Some("failed") => EndpointScript::answers("500 X"),
            _ => EndpointScript::default(),
        };
        let set = |setup: &mut Setup| {
            setup.limits = json!({"sockets": told, "disk_mb": 0.02});
            setup.descriptors = Some(MOST as u32);
        };
        let mut test_bed = TestBed::open(PROGRAM, script, set).await.unwrap();
        test_bed.list.send(list(50)).unwrap();
        test_bed.courier.wait_for_log("discovery: version 50 ").await.unwrap();
        test_bed.down.send(true).unwrap();
        let journal = test_bed.courier.folder.join("state/journal");
        let inode = || std::os::unix::fs::MetadataExt::ino(&std::fs::metadata(&journal).unwrap());
        let first = inode();
        let mut crowd = Vec::new();
        for round in 0..2 {
            // Many in one round of the accept loop, too.
            test_bed.courier.suspend().unwrap();
            crowd.extend(idle(test_bed.courier.addr, 500).await);
            test_bed.courier.resume().unwrap();
            crowd.extend(idle(test_bed.courier.addr, 500).await);
            let begun = Instant::now();
            let id = format!("real-{round}");
            assert_eq!(test_bed.submit(&id).await.unwrap(), 202);
            assert!(
                begun.elapsed() < SILENT,
                "{:?}: not only once the idle ones were let go",
                begun.elapsed()
            );
            test_bed.wait_for_answer(&id).await.unwrap();
            let held = test_bed.courier.descriptors();
            assert!(held <= MOST, "{held} descriptors");
        }
        // The journal is written anew, a notice is told.
        let mut n = 0;
        while inode() == first {
            assert_eq!(test_bed.submit(&format!("fills-{n}")).await.unwrap(), 202);
            crowd.extend(idle(test_bed.courier.addr, 20).await);
            n += 1;
        }
        let mut client = ClientConnection::connect(test_bed.courier.addr).await.unwrap();
        assert_eq!(
            client.exchange(&request_within("failed", Duration::from_millis(300))).await.unwrap(),
            202
        );
        test_bed
            .wait_for(|seen| seen.id == "failed" && matches!(seen.what, ObservationKind::Notice(_)))
            .await
            .unwrap();
        // Discovery is back, and heard.
        test_bed.list.send(list(51)).unwrap();
        test_bed.down.send(false).unwrap();
        let said = heard(&test_bed.courier, "discovery: version 51 ").await;
        assert!(!said.iter().any(|line| line.contains("accept:")), "{said:?}");
    });
}

/// All that the log says until these words come.
async fn heard(courier: &Courier, words: &str) -> Vec<String> {
    let (by, mut said) = (Instant::now() + Duration::from_secs(20), Vec::new());
    while Instant::now() < by {
        said.extend(courier.log.try_iter());
        if said.iter().any(|line| line.contains(words)) {
            return said;
        }
        sleep(Duration::from_millis(2)).await;
    }
    panic!("{words}: {said:?}");
}

/// Takes descriptors from a running process, or gives them back.
fn limit(courier: &Courier, most: u64) {
    let had = getrlimit(Resource::Nofile);
    let pid = Pid::from_raw(courier.id() as i32);
    prlimit(pid, Resource::Nofile, Rlimit { current: Some(most), ..had }).unwrap();
}

/// The number that its next descriptor would have; the limit is one of numbers.
fn lowest_free(courier: &Courier) -> u64 {
    let open = |n: &u64| Path::new(&format!("/proc/{}/fd/{n}", courier.id())).symlink_metadata().is_ok();
    (0..).find(|n| !open(n)).unwrap()
}

/// The system's own table is full, or somebody has lowered the limit: below it, who says nothing makes room.
#[test]
fn without_a_descriptor_an_idle_client_is_evicted_for_one_that_has_a_request() {
    descriptors_for_the_test();
    run_test(async || {
        let mut test_bed = TestBed::open(PROGRAM, |_| EndpointScript::default(), |_| {}).await.unwrap();
        test_bed.wait_for(|seen| seen.what == ObservationKind::Watched).await.unwrap();
        // The connection that a call needs is there already; none is closed from here on, which would leave a gap.
        let mut first = ClientConnection::connect(test_bed.courier.addr).await.unwrap();
        assert_eq!(first.exchange(&request("first")).await.unwrap(), 202);
        test_bed.wait_for_answer("first").await.unwrap();
        let came = Instant::now();
        let silent = idle(test_bed.courier.addr, 20).await;
        let mut last = ClientConnection::connect(test_bed.courier.addr).await.unwrap();
        let ready = last.exchange(b"GET /-/ready HTTP/1.1\r\nHost: backend.local\r\n\r\n").await;
        assert_eq!(ready.unwrap(), 200, "those before it are let in");
        limit(&test_bed.courier, lowest_free(&test_bed.courier));
        assert_eq!(test_bed.submit("asks").await.unwrap(), 202);
        assert!(came.elapsed() < SILENT, "{:?}: only once the silent ones were let go", came.elapsed());
        drop(silent);
    });
}

#[test]
fn an_accept_without_a_descriptor_neither_spins_nor_ends() {
    descriptors_for_the_test();
    run_test(async || {
        let mut test_bed = TestBed::open(PROGRAM, |_| EndpointScript::default(), |_| {}).await.unwrap();
        test_bed.wait_for(|seen| seen.what == ObservationKind::Watched).await.unwrap();
        let open = lowest_free(&test_bed.courier);
        limit(&test_bed.courier, open);
        let mut client = ClientConnection::connect(test_bed.courier.addr).await.unwrap();
        client.send(&request("waits")).await.unwrap();
        test_bed.courier.wait_for_log("accept: ").await.unwrap();
        let used = cpu_of(test_bed.courier.id());
        sleep(Duration::from_secs(1)).await;
        let used = cpu_of(test_bed.courier.id()) - used;
        assert!(used < Duration::from_millis(100), "{used:?} of a second");
        limit(&test_bed.courier, open + 8);
        assert_eq!(client.status().await.unwrap(), 202);
    });
}

/// How a client of a flood goes.
#[derive(Clone, Copy, Debug)]
enum Goes {
    Reset,
    Ends,
}

/// Sends these bytes, as much of them as is taken at once, and goes.
async fn floods(courier: SocketAddr, bytes: &[u8], goes: Goes) {
    let socket = TcpSocket::new_v4().unwrap();
    if matches!(goes, Goes::Reset) {
        socket.set_zero_linger().unwrap();
    }
    // One that is reset as it sends has nothing to say of it.
    let Ok(mut stream) = socket.connect(courier).await else { return };
    let _ = tokio::time::timeout(WAITS, stream.write_all(bytes)).await;
}

#[test]
fn floods_take_no_more_than_their_share_and_others_are_served() {
    descriptors_for_the_test();
    run_test(async || {
        const MOST: usize = 200;
        // Calls at once to the one provider.
        const SLOTS: usize = 8;
        let set = |setup: &mut Setup| {
            setup.limits = json!({"sockets": MOST});
            setup.descriptors = Some(MOST as u32);
        };
        let mut test_bed = TestBed::open(PROGRAM, |_| EndpointScript::default(), set).await.unwrap();
        let head = format!(
            "POST /paid-notice HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: f\r\nIdempotency-Key: f\r\n\
             X-Time-Left: 9000m\r\nX-Addressing: dest={DEST}\r\n"
        );
        let kinds = [
            // In the head, in the body, behind a whole request, and what is no request at all.
            [head.as_bytes(), b"X-Long: ", &vec![b'x'; 400_000]].concat(),
            [head.as_bytes(), b"Content-Length: 60000\r\n\r\n", &[b'x'; 50_000]].concat(),
            request("piped").repeat(2_000),
            vec![0xFF; 400_000],
        ];
        assert_eq!(test_bed.submit("before").await.unwrap(), 202);
        test_bed.wait_for_answer("before").await.unwrap();
        let (calm, (memory, _)) = (test_bed.courier.descriptors(), test_bed.courier.memory());
        let mut real = 0;
        for (kind, bytes) in kinds.iter().enumerate() {
            for goes in [Goes::Reset, Goes::Ends] {
                let crowd = (0..300).map(|_| floods(test_bed.courier.addr, bytes, goes));
                let flood = async { futures_util::future::join_all(crowd).await };
                let addr = test_bed.courier.addr;
                let served = async {
                    for n in 0..5 {
                        let mut client = ClientConnection::connect(addr).await.unwrap();
                        let status = client.exchange(&request(&format!("real-{kind}-{goes:?}-{n}"))).await;
                        assert_eq!(status.unwrap(), 202, "{kind}, {goes:?}");
                    }
                };
                let (_, ()) = tokio::join!(flood, served);
                real += 5;
                let held = test_bed.courier.descriptors();
                assert!(held <= MOST, "{kind}, {goes:?}: {held} descriptors");
            }
        }
        assert_eq!(real, 40);
        let (now, most) = test_bed.courier.memory();
        // A third of what a courier may take.
        assert!(most - memory < 64 << 20, "{memory}, {now}, {most}");
        // All of them are let go, but for the provider's connections that rest, and nothing of them keeps it busy.
        let by = Instant::now() + Duration::from_secs(20);
        while test_bed.courier.descriptors() > calm + SLOTS {
            assert!(Instant::now() < by, "{} descriptors", test_bed.courier.descriptors());
            sleep(Duration::from_millis(10)).await;
        }
        let used = cpu_of(test_bed.courier.id());
        sleep(Duration::from_millis(500)).await;
        let used = cpu_of(test_bed.courier.id()) - used;
        assert!(used < Duration::from_millis(100), "{used:?}");
    });
}

/// The word to make room and the first bytes of a request reach a resting connection in one round: it has the request's
/// whole time, and not the moment of one that is asked in the middle of its request.
#[test]
fn a_request_that_begins_as_its_idle_connection_is_evicted_has_its_time() {
    descriptors_for_the_test();
    run_test(async || {
        // Room for twenty consumers.
        const SOCKETS: usize = 72;
        let set = |setup: &mut Setup| setup.limits = json!({"sockets": SOCKETS});
        let mut test_bed = TestBed::open(PROGRAM, |_| EndpointScript::default(), set).await.unwrap();
        let mut rest = Vec::new();
        for id in ["first", "second"] {
            let mut client = ClientConnection::connect(test_bed.courier.addr).await.unwrap();
            assert_eq!(client.exchange(&request(id)).await.unwrap(), 202);
            test_bed.wait_for_answer(id).await.unwrap();
            rest.push(client);
        }
        let [mut begins, mut leaves] = <[ClientConnection; 2]>::try_from(rest).ok().unwrap();
        test_bed.courier.suspend().unwrap();
        let crowd = idle(test_bed.courier.addr, SOCKETS / 2).await;
        let bytes = request("begun");
        begins.send(&bytes[..40]).await.unwrap();
        test_bed.courier.resume().unwrap();
        // Asked in the same round, it has had its last look by now, as long as the moment of the other would be.
        assert!(leaves.read_answer().await.unwrap().is_none());
        begins.send(&bytes[40..]).await.unwrap();
        assert_eq!(begins.status().await.unwrap(), 202);
        test_bed.wait_for_answer("begun").await.unwrap();
        drop(crowd);
    });
}

/// The same as the doors close: who waits there would be reset with what it has sent.
#[test]
fn without_a_descriptor_as_the_doors_close_an_idle_client_is_evicted_for_one_that_has_a_request() {
    descriptors_for_the_test();
    run_test(async || {
        let mut test_bed = TestBed::open(PROGRAM, |_| EndpointScript::silent(), |_| {}).await.unwrap();
        test_bed.wait_for(|seen| seen.what == ObservationKind::Watched).await.unwrap();
        assert_eq!(test_bed.submit("out").await.unwrap(), 202);
        test_bed.wait_for_call("out").await.unwrap();
        let silent = idle(test_bed.courier.addr, 20).await;
        let mut last = ClientConnection::connect(test_bed.courier.addr).await.unwrap();
        let ready = last.exchange(b"GET /-/ready HTTP/1.1\r\nHost: backend.local\r\n\r\n").await;
        assert_eq!(ready.unwrap(), 200, "those before it are let in");
        let told = Instant::now();
        test_bed.courier.send_sigterm().unwrap();
        test_bed.courier.wait_for_log("stopping; ").await.unwrap();
        test_bed.courier.suspend().unwrap();
        limit(&test_bed.courier, lowest_free(&test_bed.courier));
        let mut client = ClientConnection::connect(test_bed.courier.addr).await.unwrap();
        client.send(&request("asks")).await.unwrap();
        // Its time to close them comes while it is held up.
        sleep_until((told + Duration::from_millis(600)).into()).await;
        test_bed.courier.resume().unwrap();
        assert_eq!(client.status().await.unwrap(), 202);
        drop(silent);
    });
}
