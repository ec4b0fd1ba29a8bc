//! The ledger of waiting tokens: nothing is granted beyond the limit, whichever messages come late and whoever keeps it.

use quillmount_batch::{ClaimOutcome, PendingClaims, QuotaLedger};
use quillmount_wire::messages::{QuotaClaim, QuotaKey, QuotaStatement};
use std::collections::BTreeMap;

const LIMIT: u64 = 1_000;

fn key() -> QuotaKey {
    QuotaKey { tenant: "t".to_owned(), route: "r".to_owned() }
}

fn statement(ledger_epoch: u64, shard: u32, sequence: u64, reserved: u64) -> QuotaStatement {
    QuotaStatement {
        ledger_shard: 0,
        ledger_epoch,
        shard,
        epoch: 1,
        sequence,
        reserved: vec![(key(), reserved)],
    }
}

fn claim(shard: u32, sequence: u64, tokens: u64, reserved: u64) -> QuotaClaim {
    QuotaClaim {
        ledger_shard: 0,
        ledger_epoch: 5,
        shard,
        epoch: 1,
        sequence,
        key: key(),
        tokens,
        reserved,
        limit: LIMIT,
    }
}

#[test]
fn a_ledger_that_does_not_know_every_shard_grants_nothing() {
    let mut ledger = QuotaLedger::new(5, 2);
    ledger.apply_statement(&statement(5, 0, 1, 0));
    assert_eq!(ledger.claim(&claim(0, 2, 1, 0), None), ClaimOutcome::Unknown);
    // One that was made for an older ledger tells nothing of what was claimed there since.
    ledger.apply_statement(&statement(4, 1, 1, 0));
    assert_eq!(ledger.claim(&claim(0, 2, 1, 0), None), ClaimOutcome::Unknown);
    ledger.apply_statement(&statement(5, 1, 2, 0));
    assert_eq!(ledger.claim(&claim(0, 2, 1, 0), None), ClaimOutcome::Granted);
}

#[test]
fn the_limit_applies_across_shards_and_the_lower_of_two_wins() {
    let mut ledger = QuotaLedger::new(5, 2);
    ledger.apply_statement(&statement(5, 0, 1, 300));
    ledger.apply_statement(&statement(5, 1, 1, 400));
    assert_eq!(ledger.claim(&claim(0, 2, 301, 300), None), ClaimOutcome::Exceeded);
    assert_eq!(ledger.claim(&claim(0, 3, 300, 300), None), ClaimOutcome::Granted);
    assert_eq!(ledger.claim(&claim(1, 2, 1, 400), None), ClaimOutcome::Exceeded);
    // What was done is free again once it is stated; an older statement that comes late changes nothing.
    ledger.apply_statement(&statement(5, 1, 4, 100));
    ledger.apply_statement(&statement(5, 1, 3, 0));
    assert_eq!(ledger.total(&key()), 700);
    assert_eq!(ledger.claim(&claim(1, 5, 100, 100), Some(750)), ClaimOutcome::Exceeded);
    assert_eq!(ledger.claim(&claim(1, 6, 100, 100), None), ClaimOutcome::Granted);
}

/// A small generator, so that a seed always plays the same.
struct Random(u64);

impl Random {
    fn next(&mut self, below: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % below.max(1)
    }
}

/// A shard as its primary counts it.
#[derive(Default)]
struct Shard {
    committed: u64,
    pending: PendingClaims,
    sequence: u64,
    /// The newest keeper that it knows; it asks no older one.
    ledger_shard: u64,
}

enum Message {
    Claim(QuotaClaim),
    Statement(QuotaStatement),
}

/// Shards claim, states and messages come in any order, and the keeper changes: a job that is committed always fits.
#[test]
fn committed_tokens_stay_within_the_limit_under_late_messages() {
    const SHARDS: u32 = 4;
    let mut granted_in_all = 0;
    for seed in 1..=400 {
        let mut random = Random(seed);
        let mut shards: Vec<Shard> =
            (0..SHARDS).map(|_| Shard { ledger_shard: 1, ..Shard::default() }).collect();
        // Every ledger goes on answering: an old keeper does not know that it is one.
        let mut ledgers: BTreeMap<u64, QuotaLedger> = BTreeMap::from([(1, QuotaLedger::new(1, SHARDS))]);
        let mut newest = 1;
        let mut flying: Vec<(u64, Message)> = Vec::new();
        let mut granted = 0;
        for _ in 0..600 {
            let number = random.next(u64::from(SHARDS)) as u32;
            let shard = &mut shards[number as usize];
            shard.sequence += 1;
            match random.next(14) {
                0 | 1 => {
                    let tokens = 50 + random.next(200);
                    let reserved = shard.committed + shard.pending.claimed(&key());
                    shard.pending.begin(&key(), tokens);
                    let claim = QuotaClaim {
                        ledger_epoch: shard.ledger_shard,
                        ..claim(number, shard.sequence, tokens, reserved)
                    };
                    flying.push((shard.ledger_shard, Message::Claim(claim)));
                }
                2 | 3 => {
                    let reserved = shard.committed + shard.pending.claimed(&key());
                    flying.push((
                        shard.ledger_shard,
                        Message::Statement(statement(shard.ledger_shard, number, shard.sequence, reserved)),
                    ));
                }
                4 => shard.committed = shard.committed.saturating_sub(random.next(300)),
                5 => shard.ledger_shard = newest,
                6 if random.next(10) == 0 => {
                    newest += 1;
                    ledgers.insert(newest, QuotaLedger::new(newest, SHARDS));
                }
                _ if !flying.is_empty() => {
                    let (ledger_shard, message) =
                        flying.swap_remove(random.next(flying.len() as u64) as usize);
                    let ledger = ledgers.get_mut(&ledger_shard).unwrap();
                    match message {
                        Message::Statement(statement) => ledger.apply_statement(&statement),
                        Message::Claim(claim) => {
                            let shard = &mut shards[claim.shard as usize];
                            if ledger.claim(&claim, None) == ClaimOutcome::Granted {
                                shard.committed += claim.tokens;
                                granted += 1;
                            }
                            shard.pending.end(&claim.key, claim.tokens);
                            let total: u64 = shards.iter().map(|shard| shard.committed).sum();
                            assert!(total <= LIMIT, "seed {seed}: {total} tokens wait");
                        }
                    }
                }
                _ => {}
            }
        }
        granted_in_all += granted;
    }
    assert!(granted_in_all > 2_000, "{granted_in_all} claims were granted");
}
