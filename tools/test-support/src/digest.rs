//! Digests of seeded runs: labelled counts and a trace hash for each seed, compared byte for byte with a file beside the
//! tests. A change that only makes the code more readable leaves them equal. Set `WRITE_FIXTURES=1` to rewrite the file,
//! after a change that is meant to alter behaviour.

use std::collections::BTreeMap;
use std::path::Path;

/// The seeds of each digest.
pub const SEEDS: std::ops::RangeInclusive<u64> = 1..=50;

/// The offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// The prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// What one run counted. The labels and the numbers are the tests' own, so that renaming an item changes no digest.
#[derive(Clone)]
pub struct Counts {
    counts: BTreeMap<&'static str, u64>,
    /// FNV-1a over every label and its numbers, in the order in which they were counted.
    trace: u64,
}

impl Default for Counts {
    fn default() -> Self {
        Counts { counts: BTreeMap::new(), trace: FNV_OFFSET }
    }
}

impl Counts {
    /// Counts one occurrence; the numbers say when and where it was, and go into the trace only.
    pub fn count(&mut self, label: &'static str, numbers: &[u64]) {
        *self.counts.entry(label).or_default() += 1;
        self.mix(label.as_bytes());
        for number in numbers {
            self.mix(&number.to_le_bytes());
        }
    }

    /// A figure that the run ended with.
    pub fn set(&mut self, label: &'static str, figure: u64) {
        self.counts.insert(label, figure);
    }

    fn mix(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.trace = (self.trace ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
    }

    /// One line of the file: the seed, each count by its label in alphabetical order, and the trace.
    pub fn line(&self, seed: u64) -> String {
        let counts: String = self.counts.iter().map(|(label, count)| format!(" {label}={count}")).collect();
        format!("seed={seed}{counts} trace={:016x}\n", self.trace)
    }
}

/// Runs each of [`SEEDS`] and compares the lines of their counts with the file of this name in the folder `tests/digests` of
/// a package, which a test names as `env!("CARGO_MANIFEST_DIR")`.
///
/// # Panics
/// A line differs, or the file can't be read or written.
#[track_caller]
pub fn check_seeds(package: &str, name: &str, run: impl Fn(u64) -> Counts) {
    let lines: String = SEEDS.map(|seed| run(seed).line(seed)).collect();
    compare_with_file(&Path::new(package).join("tests/digests").join(name), &lines);
}

/// Compares the lines with the file, or writes it with `WRITE_FIXTURES=1`.
///
/// # Panics
/// A line differs, or the file can't be read or written.
#[track_caller]
pub fn compare_with_file(file: &Path, lines: &str) {
    if crate::fixtures::are_written() {
        std::fs::write(file, lines).unwrap_or_else(|error| panic!("{}: {error}", file.display()));
    }
    let expected =
        std::fs::read_to_string(file).unwrap_or_else(|error| panic!("{}: {error}", file.display()));
    let differs = expected.lines().zip(lines.lines()).find(|(expected, found)| expected != found);
    if let Some((expected, found)) = differs {
        panic!("{}\nexpected {expected}\nfound    {found}", file.display());
    }
    assert!(expected == lines, "{}: another number of lines, or another end", file.display());
}
