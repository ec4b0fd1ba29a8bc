//! Files of rings and of an identity as they are stored: recovery of the fixtures, and what is appended behind them.

use quillmount_storage::{Ring, RingRecord, RingSize, StorageError, load_identity, read_records};
use quillmount_test_support::fixtures::{Fixtures, file_names};
use quillmount_test_support::temporary::TemporaryFolder;
use std::fs::{self, OpenOptions};
use std::io::{Seek, SeekFrom, Write};
use std::path::Path;

const FIXTURES: Fixtures = Fixtures::of_package(env!("CARGO_MANIFEST_DIR"));

const SIZE: RingSize = RingSize { segment: 256, segments: 4 };
/// Bytes of a record of these rings.
const BODY: usize = 40;
/// Number of the last record.
const LAST: u8 = 29;

fn append(ring: &mut Ring, numbers: std::ops::Range<u8>) {
    numbers.for_each(|number| _ = ring.append(&[number; BODY]).unwrap());
    ring.sync().unwrap();
}

/// A ring of which every file was used, and some of them twice; the first segments are released.
fn write_ring(folder: &Path) {
    let (mut ring, found) = Ring::open(folder, SIZE, 1 << 20).unwrap();
    assert!(found.is_empty());
    append(&mut ring, 10..20);
    ring.release(2);
    append(&mut ring, 20..25);
    ring.release(3);
    append(&mut ring, 25..27);
    drop(ring);
    // Another process continues it.
    let (mut ring, found) = Ring::open(folder, SIZE, 2 << 20).unwrap();
    append(&mut ring, 27..LAST + 1);
    assert!(!found.is_empty());
}

/// The same, and the last record was not written to its end.
fn write_torn_ring(folder: &Path) {
    write_ring(folder);
    let (last, at) = find_record(folder, LAST).unwrap();
    let mut file = OpenOptions::new().write(true).open(folder.join(last)).unwrap();
    file.seek(SeekFrom::Start(at as u64 + 25)).unwrap();
    file.write_all(&[0; 25]).unwrap();
}

/// The file and the position where the body of a record begins.
fn find_record(folder: &Path, number: u8) -> Option<(String, usize)> {
    file_names(folder).into_iter().find_map(|name| {
        let bytes = fs::read(folder.join(&name)).unwrap();
        let at = bytes.windows(BODY).position(|body| body == [number; BODY])?;
        Some((name, at))
    })
}

/// A copy of a fixture that `write` makes.
fn stored(name: &str, write: impl Fn(&Path)) -> TemporaryFolder {
    let made = TemporaryFolder::new();
    write(&made.0);
    FIXTURES.check_folder(name, &made.0)
}

fn numbers(records: &[RingRecord]) -> Vec<(u64, u8)> {
    assert!(records.iter().all(|record| record.body == [record.body[0]; BODY]));
    records.iter().map(|record| (record.segment, record.body[0])).collect()
}

/// Segments and numbers of the records that were not released.
const KEPT: [(u64, u8); 12] = [
    (3, 18),
    (3, 19),
    (3, 20),
    (4, 21),
    (4, 22),
    (4, 23),
    (4, 24),
    (5, 25),
    (5, 26),
    (5, 27),
    (6, 28),
    (6, 29),
];

#[test]
fn a_stored_ring_is_recovered_without_what_was_released() {
    let folder = stored("ring", write_ring);
    assert_eq!(file_names(&folder.0), ["segment-000", "segment-001", "segment-002", "segment-003"]);
    assert_eq!(numbers(&read_records(&folder.0).unwrap()), KEPT);
    let (ring, records) = Ring::open(&folder.0, SIZE, 3 << 20).unwrap();
    assert_eq!(numbers(&records), KEPT);
    assert_eq!((ring.current(), ring.free(), ring.segments(), ring.largest_record()), (6, 0, 4, 184));
}

#[test]
fn a_stored_ring_ends_before_a_torn_record() {
    let folder = stored("ring-torn", write_torn_ring);
    let (mut ring, records) = Ring::open(&folder.0, SIZE, 3 << 20).unwrap();
    assert_eq!(numbers(&records), KEPT[..11]);
    append(&mut ring, 30..31);
    drop(ring);
    let (_, records) = Ring::open(&folder.0, SIZE, 4 << 20).unwrap();
    let mut expected = KEPT[..11].to_vec();
    expected.push((6, 30));
    assert_eq!(numbers(&records), expected);
}

#[test]
fn a_ring_of_another_version_is_passed_over() {
    let folder = stored("ring", write_ring);
    for name in file_names(&folder.0) {
        let mut bytes = fs::read(folder.0.join(&name)).unwrap();
        assert_eq!(bytes[..4], *b"QMS2");
        bytes[3] = b'1';
        fs::write(folder.0.join(&name), bytes).unwrap();
    }
    assert!(Ring::open(&folder.0, SIZE, 3 << 20).unwrap().1.is_empty());
}

#[test]
fn a_stored_identity_is_read_and_no_other_is_drawn() {
    let made = TemporaryFolder::new();
    let drawn = load_identity(&made.0, 0x00ab_cdef_0123_4567).unwrap();
    assert_eq!((drawn.disk, drawn.fresh), (0x00ab_cdef_0123_4567, true));
    let bytes = FIXTURES.check("identity", &fs::read(made.0.join("identity")).unwrap());
    assert_eq!(bytes, b"00abcdef01234567\n");
    let folder = TemporaryFolder::new();
    fs::write(folder.0.join("identity"), bytes).unwrap();
    let read = load_identity(&folder.0, 5).unwrap();
    assert_eq!((read.disk, read.fresh), (0x00ab_cdef_0123_4567, false));
    assert_eq!(file_names(&folder.0), ["identity"]);
}

#[test]
fn errors_of_storage_have_their_texts() {
    let texts = [
        StorageError::Full.to_string(),
        StorageError::TooLarge { bytes: 300, limit: 184 }.to_string(),
        StorageError::from(std::io::Error::other("no disk")).to_string(),
    ];
    assert_eq!(texts, ["no segment is free", "a record of 300 bytes, 184 at most", "no disk"]);
}
