//! Tests of settings, frames and the encoding of messages.

use quickcheck::QuickCheck;
use quillmount_wire::frame::{FrameError, FrameHeader, FrameKind, HEADER_BYTES, aligned_buffer, encode};
use quillmount_wire::messages::{Request, Response, UsageWindow, decode};
use quillmount_wire::settings::Settings;

const SETTINGS: &str = r#"
Hostname = "edge-a-1"
Role = "courier"
Tier = "edge"
Serves = ["edge", "ctl"]
BindIp = "10.1.0.14"
Az = "a"
Region = "r"
PortRange = [7360, 7375]
Peers = ["10.1.0.14:8683", "10.2.0.22:8683"]
Bootstrap = true
CountsForQuorum = true
VarDir = "/data/x"
Unknown = 7
[Sockets]
Http = "10.1.0.14:8689"
[Limits]
CpuFrac = 0.45
RamMb = 260
Nofile = 4100
[Survive]
Boxes = 1
[Slo]
DrainMs = 3000
GraceS = 8
pass_ms = 120
"#;

#[test]
fn settings_are_parsed_and_unknown_fields_are_ignored() {
    let settings = Settings::parse(SETTINGS, "node.toml").unwrap();
    assert_eq!(settings.fault_tolerance.machines, 1);
    assert_eq!(settings.internal_address(), "10.1.0.14:7360");
    assert_eq!(settings.internal_address_of("10.2.0.22:8683"), "10.2.0.22:7360");
    assert_eq!(settings.data_folder(), Some("/data/x"));
    assert_eq!(settings.slo.drain_ms, 3000.0);
}

#[test]
fn an_error_names_the_file_and_the_missing_field() {
    for field in ["Hostname", "PortRange", "RamMb", "Boxes"] {
        let text: String =
            SETTINGS.lines().filter(|line| !line.starts_with(field)).collect::<Vec<_>>().join("\n");
        let error = Settings::parse(&text, "node.toml").unwrap_err().to_string();
        assert!(error.starts_with("node.toml: ") && error.contains(field), "{error}");
    }
    let reversed = SETTINGS.replace("[7360, 7375]", "[7375, 7360]");
    assert!(Settings::parse(&reversed, "f").unwrap_err().to_string().contains("PortRange"));
}

fn header_bytes(bytes: &[u8]) -> [u8; HEADER_BYTES] {
    bytes[..HEADER_BYTES].try_into().unwrap()
}

#[test]
fn a_frame_of_another_version_or_with_a_wrong_checksum_is_rejected() {
    let frame = encode(FrameKind::Request, 77, b"body");
    let header = FrameHeader::decode(&header_bytes(&frame)).unwrap();
    assert_eq!((header.kind, header.call, header.length), (FrameKind::Request, 77, 4));
    assert_eq!(header.verify(b"body"), Ok(()));
    assert_eq!(header.verify(b"bodY"), Err(FrameError::WrongChecksum));
    let mut invalid = frame.clone();
    invalid[3] = b'9';
    assert_eq!(FrameHeader::decode(&header_bytes(&invalid)), Err(FrameError::WrongVersion));
    invalid = frame.clone();
    invalid[4] = 9;
    assert_eq!(FrameHeader::decode(&header_bytes(&invalid)), Err(FrameError::UnknownKind(9)));
    invalid = frame;
    invalid[8] = 0xff;
    assert!(matches!(FrameHeader::decode(&header_bytes(&invalid)), Err(FrameError::TooLarge(_))));
}

#[test]
fn messages_round_trip_through_their_encoding() {
    let request = Request::Read {
        shard: 3,
        epoch: 9,
        job: "j".to_owned(),
        tenant: "t".to_owned(),
        start_after: 4,
        wait_ms: 1000,
    };
    let bytes = request.encode();
    let mut buffer = aligned_buffer(bytes.len());
    buffer.copy_from_slice(&bytes);
    assert_eq!(Request::decode(&buffer).unwrap(), request);
    let response = Response::Body(vec![1, 2, 3]);
    assert_eq!(decode::<Response>(&response.encode()).unwrap(), response);
}

#[test]
fn decoding_arbitrary_bytes_does_not_panic() {
    fn decodes_without_panic(bytes: Vec<u8>, position: usize, value: u8) -> bool {
        let _ = decode::<Request>(&bytes);
        // A valid message with one byte changed.
        let usage = UsageWindow { window: 5, counts: vec![("tenant".to_owned(), 9)] };
        let mut valid = quillmount_wire::messages::encode(&usage);
        let index = position % valid.len();
        valid[index] = value;
        let _ = decode::<UsageWindow>(&valid);
        true
    }
    QuickCheck::new().tests(3000).quickcheck(decodes_without_panic as fn(Vec<u8>, usize, u8) -> bool);
}
