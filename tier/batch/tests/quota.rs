//! Quota ledger: no claim is granted beyond the limit, whichever messages are delayed and whichever store has the
//! ledger.

use quillmount_batch::{ClaimOutcome, PendingClaims, QuotaLedger};
use quillmount_test_support::random::Random;
use quillmount_wire::messages::{QuotaClaim, QuotaKey, QuotaStatement};
use std::collections::BTreeMap;

/// Limit of waiting tokens over all shards.
const TOKEN_LIMIT: u64 = 1_000;

/// The tenant and route that the tests limit.
fn key() -> QuotaKey {
    QuotaKey { tenant: "t".to_owned(), route: "r".to_owned() }
}

/// A shard's statement of its reserved tokens, addressed to the ledger of `ledger_epoch`.
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

/// A shard's claim of more tokens, addressed to the ledger of epoch 5.
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
        limit: TOKEN_LIMIT,
    }
}

#[test]
fn a_ledger_that_does_not_know_every_shard_grants_nothing() {
    let mut ledger = QuotaLedger::new(5, 2);
    ledger.apply_statement(&statement(5, 0, 1, 0));
    assert_eq!(ledger.claim(&claim(0, 2, 1, 0), None), ClaimOutcome::Unknown);
    // A statement for an earlier ledger may not include tokens that the earlier ledger has granted since.
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
    // The tokens of completed items become available once they are stated; an older statement that is delayed
    // changes nothing.
    ledger.apply_statement(&statement(5, 1, 4, 100));
    ledger.apply_statement(&statement(5, 1, 3, 0));
    assert_eq!(ledger.total(&key()), 700);
    assert_eq!(ledger.claim(&claim(1, 5, 100, 100), Some(750)), ClaimOutcome::Exceeded);
    assert_eq!(ledger.claim(&claim(1, 6, 100, 100), None), ClaimOutcome::Granted);
}

/// Token counts saturate at `u64::MAX` instead of wrapping around to 0, so that no claim is granted because of an
/// overflow.
#[test]
fn tokens_that_do_not_fit_into_a_number_exceed_every_limit() {
    let mut ledger = QuotaLedger::new(5, 2);
    ledger.apply_statement(&statement(5, 0, 1, 1));
    ledger.apply_statement(&statement(5, 1, 1, 0));
    for tokens in [u64::MAX, u64::MAX - 1, TOKEN_LIMIT] {
        assert_eq!(ledger.claim(&claim(0, 2, tokens, 1), None), ClaimOutcome::Exceeded, "{tokens}");
    }
    ledger.apply_statement(&statement(5, 0, 3, u64::MAX));
    ledger.apply_statement(&statement(5, 1, 3, 2));
    assert_eq!(ledger.total(&key()), u64::MAX);
    assert_eq!(ledger.claim(&claim(1, 4, 1, 2), None), ClaimOutcome::Exceeded);
    let mut pending = PendingClaims::default();
    pending.begin(&key(), u64::MAX);
    pending.begin(&key(), 2);
    assert_eq!(pending.claimed(&key()), u64::MAX);
    assert_eq!(pending.add_to(BTreeMap::from([(key(), 3)])), BTreeMap::from([(key(), u64::MAX)]));
}

/// A shard with the tokens that its primary counts.
#[derive(Default)]
struct Shard {
    committed: u64,
    pending: PendingClaims,
    sequence: u64,
    /// Epoch of the newest ledger that the shard has learned of; it sends nothing to an older one.
    ledger_epoch: u64,
}

/// A message of a shard to a ledger.
enum Message {
    Claim(QuotaClaim),
    Statement(QuotaStatement),
}

const SHARD_COUNT: u32 = 4;

/// Shards, ledgers of several epochs, and the messages in flight between them.
struct World {
    seed: u64,
    random: Random,
    shards: Vec<Shard>,
    /// Ledgers by epoch. Every ledger keeps answering: an old one does not learn that it was replaced.
    ledgers: BTreeMap<u64, QuotaLedger>,
    newest_ledger_epoch: u64,
    /// Messages, each with the epoch of the ledger that it is sent to.
    in_flight: Vec<(u64, Message)>,
    granted_claims: u32,
}

impl World {
    /// Creates shards without tokens, and the ledger of epoch 1.
    fn new(seed: u64) -> World {
        World {
            seed,
            random: Random::new(seed),
            shards: (0..SHARD_COUNT).map(|_| Shard { ledger_epoch: 1, ..Shard::default() }).collect(),
            ledgers: BTreeMap::from([(1, QuotaLedger::new(1, SHARD_COUNT))]),
            newest_ledger_epoch: 1,
            in_flight: Vec::new(),
            granted_claims: 0,
        }
    }

    /// Performs one random step.
    fn step(&mut self) {
        let number = self.random.below(u64::from(SHARD_COUNT)) as u32;
        self.shards[number as usize].sequence += 1;
        match self.random.below(14) {
            0 | 1 => self.send_claim(number),
            2 | 3 => self.send_statement(number),
            4 => {
                let completed_tokens = self.random.below(300);
                let shard = &mut self.shards[number as usize];
                shard.committed = shard.committed.saturating_sub(completed_tokens);
            }
            5 => self.shards[number as usize].ledger_epoch = self.newest_ledger_epoch,
            6 if self.random.below(10) == 0 => {
                self.newest_ledger_epoch += 1;
                self.ledgers.insert(
                    self.newest_ledger_epoch,
                    QuotaLedger::new(self.newest_ledger_epoch, SHARD_COUNT),
                );
            }
            _ if !self.in_flight.is_empty() => self.deliver_any(),
            _ => {}
        }
    }

    /// Sends a claim of a shard for a random number of tokens.
    fn send_claim(&mut self, number: u32) {
        let tokens = 50 + self.random.below(200);
        let shard = &mut self.shards[number as usize];
        let reserved = shard.committed + shard.pending.claimed(&key());
        shard.pending.begin(&key(), tokens);
        let claim = claim(number, shard.sequence, tokens, reserved);
        let claim = QuotaClaim { ledger_epoch: shard.ledger_epoch, ..claim };
        self.in_flight.push((shard.ledger_epoch, Message::Claim(claim)));
    }

    fn send_statement(&mut self, number: u32) {
        let shard = &self.shards[number as usize];
        let reserved = shard.committed + shard.pending.claimed(&key());
        let statement = statement(shard.ledger_epoch, number, shard.sequence, reserved);
        self.in_flight.push((shard.ledger_epoch, Message::Statement(statement)));
    }

    /// Delivers a random message in flight.
    fn deliver_any(&mut self) {
        let index = self.random.index(self.in_flight.len());
        let (ledger_epoch, message) = self.in_flight.swap_remove(index);
        let ledger = self.ledgers.get_mut(&ledger_epoch).unwrap();
        match message {
            Message::Statement(statement) => ledger.apply_statement(&statement),
            Message::Claim(claim) => {
                let shard = &mut self.shards[claim.shard as usize];
                if ledger.claim(&claim, None) == ClaimOutcome::Granted {
                    shard.committed += claim.tokens;
                    self.granted_claims += 1;
                }
                shard.pending.end(&claim.key, claim.tokens);
                let total: u64 = self.shards.iter().map(|shard| shard.committed).sum();
                assert!(
                    total <= TOKEN_LIMIT,
                    "seed {}: {total} tokens are waiting, limit {TOKEN_LIMIT}",
                    self.seed
                );
            }
        }
    }
}

/// Claims and statements are delivered in any order while the ledger changes; the tokens of committed jobs must
/// never exceed the limit.
#[test]
fn committed_tokens_stay_within_the_limit_under_late_messages() {
    let mut granted = 0;
    for seed in 1..=400 {
        let mut world = World::new(seed);
        (0..600).for_each(|_| world.step());
        granted += world.granted_claims;
    }
    assert!(granted > 2_000, "only {granted} claims were granted: the steps hardly test the limit");
}
