//! Claims let a request that is not repeatable run at most once.

mod fakes;

use std::sync::Arc;
use std::time::Duration;

use banyanarch::clock::Clock;
use banyanarch::clock::ManualClock;
use banyanarch::clock::SystemClock;
use banyanarch::control::claims::Claim;
use banyanarch::control::claims::ClaimConf;
use banyanarch::control::claims::ClaimOutcome;
use banyanarch::control::claims::ClaimRefusal;
use banyanarch::control::claims::ClaimShard;
use banyanarch::control::claims::ClaimState;
use banyanarch::control::claims::ClaimStore;
use banyanarch::control::claims::ShardAction;
use banyanarch::control::claims::relay;
use banyanarch::objects::ObjectKey;
use banyanarch::objects::ObjectKind;
use banyanarch::objects::PlatformClient;
use banyanarch::objects::PlatformError;
use banyanarch::objects::Precondition;
use banyanarch::peer::PeerError;
use banyanarch::units::AttemptId;
use banyanarch::units::HostId;
use banyanarch::units::ObjectVersion;
use futures_util::future::join_all;
use rand::SeedableRng;
use rand::rngs::StdRng;
use yare::parameterized;

use fakes::make::claim;
use fakes::make::claim_key;
use fakes::make::host;
use fakes::object::FakeObject;
use fakes::object::Fault;
use fakes::platform::FakePlatform;

const DAY: Duration = Duration::from_secs(86_400);

/// One claim shard at two hosts that share one object.
struct TwoHosts {
    clock: ManualClock,
    object: FakeObject,
    shards: [ClaimShard; 2],
    names: [HostId; 2],
}

impl TwoHosts {
    fn new() -> Self {
        Self::with_conf(&ClaimConf::default())
    }

    fn with_conf(conf: &ClaimConf) -> Self {
        let shard = |seed| ClaimShard::new(conf.clone(), StdRng::seed_from_u64(seed));
        Self {
            clock: ManualClock::new(),
            object: FakeObject::default(),
            shards: [shard(1), shard(2)],
            names: [host("entry-a"), host("entry-b")],
        }
    }

    fn claim_of(&self, at: usize, attempt: u128, content: u128) -> Claim {
        claim(attempt, &self.names[at], content)
    }

    fn claim(&mut self, at: usize, key: &str, attempt: u128) {
        let claim = self.claim_of(at, attempt, 1);
        self.shards[at].claim(claim_key(key), claim, self.clock.now());
    }

    fn give_back(&mut self, at: usize, key: &str, attempt: u128) {
        self.shards[at].give_back(claim_key(key), AttemptId(attempt), self.clock.now());
    }

    /// Makes the next call of a host to the platform, with a fault, and advances the clock over
    /// waits. Returns false if the host is idle.
    fn call(&mut self, at: usize, fault: Fault) -> bool {
        loop {
            match self.shards[at].step(self.clock.now()) {
                ShardAction::Read => {
                    let result = self.object.get(fault);
                    self.shards[at].on_read(result, self.clock.now());
                    return true;
                }
                ShardAction::Write { value, expected } => {
                    let result = self.object.put(value, expected, fault);
                    self.shards[at].on_written(result, self.clock.now());
                    return true;
                }
                ShardAction::Wait(until) => self.clock.advance(until - self.clock.now()),
                ShardAction::Idle => return false,
            }
        }
    }

    /// Makes calls until the host is idle, and returns the outcomes.
    fn run_until_idle(&mut self, at: usize) -> Vec<ClaimOutcome> {
        for _ in 0..100 {
            if !self.call(at, Fault::None) {
                return self.outcomes(at);
            }
        }
        panic!("the shard does not become idle within 100 calls");
    }

    fn outcomes(&mut self, at: usize) -> Vec<ClaimOutcome> {
        let outcomes = self.shards[at].take_outcomes();
        outcomes.into_iter().map(|(_, outcome)| outcome).collect()
    }
}

fn is_platform_down(outcome: &ClaimOutcome) -> bool {
    let why = ClaimRefusal::PlatformDown;
    matches!(outcome, ClaimOutcome::Unavailable { why: got, .. } if *got == why)
}

/// A caller sends a request to two hosts, since the first one seems slow, and both claim it at the
/// same time. One may run the request; the other is told which attempt holds the claim.
#[test]
fn only_one_of_two_hosts_gets_a_claim() {
    let mut hosts = TwoHosts::new();
    hosts.claim(0, "key-a", 10);
    hosts.claim(1, "key-a", 20);
    hosts.call(0, Fault::None);
    hosts.call(1, Fault::None);
    assert_eq!(hosts.run_until_idle(0), [ClaimOutcome::Claimed]);
    let held = hosts.claim_of(0, 10, 1);
    assert_eq!(hosts.run_until_idle(1), [ClaimOutcome::HeldBy(held)]);
}

/// A caller sends a request twice through one host, and both claims are due in the same write. The
/// second must neither run nor replace the first.
#[test]
fn only_the_first_of_two_claims_in_one_write_succeeds() {
    let mut hosts = TwoHosts::new();
    hosts.claim(0, "key-a", 10);
    hosts.claim(0, "key-a", 11);
    let held = hosts.claim_of(0, 10, 1);
    let outcomes = hosts.run_until_idle(0);
    assert_eq!(
        outcomes,
        [ClaimOutcome::Claimed, ClaimOutcome::HeldBy(held)]
    );
}

/// The write of a claim takes effect, but the answer is lost. The host must detect that it holds
/// the claim, and must not treat itself as another holder or write the claim again.
#[test]
fn lost_answer_is_read_back() {
    let mut hosts = TwoHosts::new();
    hosts.claim(0, "key-a", 10);
    hosts.call(0, Fault::None);
    hosts.call(0, Fault::AnswerLost);
    assert_eq!(hosts.outcomes(0), []);
    assert_eq!(hosts.run_until_idle(0), [ClaimOutcome::Claimed]);
    assert_eq!(hosts.object.writes, 1);
}

/// The platform fails during the write of a claim, and the caller is told "not run". Minutes later
/// the write takes effect, and an attempt that nobody dispatches holds the key, so that a resent
/// request would be told "may have run" forever. The host therefore gives the claim back until the
/// write cannot take effect any more.
#[parameterized(
    write_arrives_before_the_platform_is_back = { true },
    write_arrives_after = { false },
)]
fn claim_of_an_unconfirmed_write_is_given_back(is_early: bool) {
    let mut hosts = TwoHosts::new();
    hosts.claim(0, "key-d", 1);
    hosts.run_until_idle(0);
    hosts.claim(0, "key-a", 10);
    hosts.call(0, Fault::Delayed);
    hosts.call(0, Fault::Unavailable);
    assert!(is_platform_down(&hosts.outcomes(0)[0]));
    if is_early {
        hosts.object.apply_delayed();
    }
    hosts.run_until_idle(0);
    assert_eq!(hosts.shards[0].pending(), 0);
    hosts.object.apply_delayed();
    hosts.claim(1, "key-a", 20);
    assert_eq!(hosts.run_until_idle(1), [ClaimOutcome::Claimed]);
}

/// A write is delayed and has not taken effect when the object is read back. The claim is given
/// back, then the old write arrives. Unless the version was advanced, the write would take effect.
#[test]
fn late_write_has_no_effect() {
    let mut hosts = TwoHosts::new();
    hosts.claim(0, "key-a", 10);
    hosts.call(0, Fault::None);
    hosts.call(0, Fault::Delayed);
    hosts.give_back(0, "key-a", 10);
    hosts.run_until_idle(0);
    let before = hosts.object.value.clone();
    hosts.object.apply_delayed();
    assert_eq!(hosts.object.value, before);
    assert!(before.unwrap().claims.is_empty());
}

/// A host is paused for a day between claim and dispatch. If the claim expired, another host could
/// have run the request meanwhile.
#[test]
fn claims_do_not_expire() {
    let mut hosts = TwoHosts::new();
    hosts.claim(0, "key-a", 10);
    hosts.run_until_idle(0);
    hosts.clock.advance(DAY);
    hosts.claim(1, "key-a", 20);
    let held = hosts.claim_of(0, 10, 1);
    assert_eq!(hosts.run_until_idle(1), [ClaimOutcome::HeldBy(held)]);
}

/// An upstream refuses the attempt, which therefore did not run. The holder gives the claim back,
/// and the request can run when it is resent through a host that had seen the claim.
#[test]
fn given_back_claim_is_free() {
    let mut hosts = TwoHosts::new();
    hosts.claim(0, "key-a", 10);
    hosts.run_until_idle(0);
    hosts.claim(1, "key-a", 20);
    hosts.run_until_idle(1);
    hosts.give_back(0, "key-a", 10);
    hosts.run_until_idle(0);
    hosts.claim(1, "key-a", 21);
    assert_eq!(hosts.run_until_idle(1), [ClaimOutcome::Claimed]);
}

/// A mistaken or late give-back must not free a claim: only the attempt that holds the claim can
/// give it back.
#[test]
fn only_its_own_attempt_gives_a_claim_back() {
    let mut hosts = TwoHosts::new();
    hosts.claim(0, "key-a", 10);
    hosts.run_until_idle(0);
    hosts.claim(1, "key-a", 20);
    hosts.run_until_idle(1);
    hosts.give_back(1, "key-a", 20);
    hosts.run_until_idle(1);
    hosts.claim(1, "key-a", 21);
    let held = hosts.claim_of(0, 10, 1);
    assert_eq!(hosts.run_until_idle(1), [ClaimOutcome::HeldBy(held)]);
}

/// A caller uses one key for two different requests. The second must not get the answer of the
/// first.
#[test]
fn same_key_with_different_content_is_refused() {
    let mut hosts = TwoHosts::new();
    hosts.claim(0, "key-b", 10);
    hosts.run_until_idle(0);
    let other = hosts.claim_of(0, 11, 2);
    hosts.shards[0].claim(claim_key("key-b"), other, hosts.clock.now());
    assert_eq!(hosts.run_until_idle(0), [ClaimOutcome::DifferentContent]);
}

/// The platform is down. Claims are refused at once with a retry time, and the next claim succeeds
/// once the platform answers again.
#[test]
fn claims_are_refused_at_once_in_an_outage() {
    let mut hosts = TwoHosts::new();
    hosts.claim(0, "key-a", 10);
    hosts.call(0, Fault::Unavailable);
    assert_eq!(hosts.outcomes(0), []);
    hosts.call(0, Fault::Unavailable);
    assert!(is_platform_down(&hosts.outcomes(0)[0]));
    hosts.claim(0, "key-b", 11);
    assert!(is_platform_down(&hosts.outcomes(0)[0]));
    hosts.clock.advance(ClaimConf::default().retry_delay_max);
    hosts.claim(0, "key-b", 12);
    assert_eq!(hosts.run_until_idle(0), [ClaimOutcome::Claimed]);
}

/// The size of shard objects is limited. A full shard refuses claims until finished claims are
/// collected; claims whose attempts may still run are never collected.
#[test]
fn full_shard_waits_for_finished_claims() {
    let conf = ClaimConf {
        shard_bytes_max: 320,
        ..ClaimConf::default()
    };
    let mut hosts = TwoHosts::with_conf(&conf);
    hosts.claim(0, "key-a", 10);
    hosts.claim(0, "key-b", 11);
    assert_eq!(
        hosts.run_until_idle(0),
        [ClaimOutcome::Claimed, ClaimOutcome::Claimed]
    );
    let finish = (claim_key("key-a"), AttemptId(10), ClaimState::Completed);
    hosts.shards[0].finish(finish.0, finish.1, finish.2, hosts.clock.now());
    hosts.run_until_idle(0);
    hosts.claim(0, "key-c", 12);
    let full = hosts.run_until_idle(0);
    let is_full = matches!(
        full[..],
        [ClaimOutcome::Unavailable {
            why: ClaimRefusal::Full,
            ..
        }]
    );
    assert!(is_full, "{full:?}");
    hosts.clock.advance(DAY);
    hosts.claim(0, "key-c", 13);
    hosts.claim(0, "key-b", 14);
    let outcomes = hosts.run_until_idle(0);
    let held = hosts.claim_of(0, 11, 1);
    assert_eq!(
        outcomes,
        [ClaimOutcome::HeldBy(held), ClaimOutcome::Claimed]
    );
}

fn store(platform: &Arc<FakePlatform>, conf: ClaimConf) -> Arc<ClaimStore> {
    let platform: Arc<dyn PlatformClient> = Arc::<FakePlatform>::clone(platform);
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let mut rng = StdRng::seed_from_u64(7);
    Arc::new(ClaimStore::new(&platform, &clock, conf, &mut rng))
}

/// Hundreds of claims arrive at once. One write for each would exceed the capacity of the platform,
/// so the claims of one shard share a write.
#[tokio::test]
async fn claims_share_writes() {
    let platform = Arc::new(FakePlatform::new(Duration::from_millis(3)));
    let store = store(&platform, ClaimConf::default());
    let a = host("entry-a");
    let claims = (0..640).map(|n| store.claim(claim_key(&format!("key-{n}")), claim(n, &a, 1)));
    let outcomes = join_all(claims).await;
    assert!(
        outcomes
            .iter()
            .all(|outcome| *outcome == ClaimOutcome::Claimed)
    );
    assert_eq!(platform.sum(|object| object.writes), 64);
}

/// A caller disconnects while its claim is being written to a slow platform. Nobody dispatches the
/// attempt, so the key must be freed.
#[tokio::test]
async fn dropped_claim_is_given_back() {
    let platform = Arc::new(FakePlatform::new(Duration::from_millis(50)));
    let conf = ClaimConf {
        shards: 1,
        ..ClaimConf::default()
    };
    let store = store(&platform, conf);
    let a = host("entry-a");
    let key = claim_key("key-a");
    let dropped = store.claim(key, claim(1, &a, 1));
    let result = tokio::time::timeout(Duration::from_millis(75), dropped).await;
    assert!(result.is_err());
    while store.pending() > 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(
        store.claim(key, claim(2, &a, 1)).await,
        ClaimOutcome::Claimed
    );
}

/// A platform that never answers must not delay the answer to a caller beyond the timeout.
#[tokio::test]
async fn claim_times_out_if_the_platform_does_not_answer() {
    let platform = Arc::new(FakePlatform::new(DAY));
    platform.set_fault(Fault::Delayed);
    let conf = ClaimConf {
        claim_timeout: Duration::from_millis(20),
        ..ClaimConf::default()
    };
    let store = store(&platform, conf);
    let outcome = store
        .claim(claim_key("key-a"), claim(1, &host("entry-a"), 1))
        .await;
    let why = ClaimRefusal::Timeout;
    assert!(matches!(outcome, ClaimOutcome::Unavailable { why: got, .. } if got == why));
}

fn unknown() -> PlatformError {
    PlatformError::OutcomeUnknown("no answer".to_owned())
}

/// A host that cannot reach the platform calls it through a peer. The reply must keep the kind of
/// failure: treating "unknown" as "unavailable" would let a request run twice.
#[parameterized(
    done = { Ok(ObjectVersion(7)) },
    absent = { Err(PlatformError::NotFound) },
    conflict = { Err(PlatformError::Conflict) },
    refused = { Err(PlatformError::Refused("too large".to_owned())) },
    unavailable = { Err(PlatformError::Unavailable("down".to_owned())) },
    outcome_unknown = { Err(unknown()) },
)]
fn relayed_results_keep_their_kind(result: Result<ObjectVersion, PlatformError>) {
    let reply = relay::encode_put_result(&result);
    assert_eq!(relay::decode_put_result(&reply), result);
}

#[test]
fn encoded_calls_decode_to_the_same_value() {
    let key = ObjectKey::new(ObjectKind::Claims, "shard-03");
    let value = serde_json::json!({"claims": {}});
    for expected in [
        Precondition::Absent,
        Precondition::Version(ObjectVersion(3)),
    ] {
        let call = relay::encode_put(&key, &value, expected);
        let put = relay::RelayedCall::Put {
            key: key.clone(),
            value: value.clone(),
            expected,
        };
        assert_eq!(relay::decode_call(&call), Ok(put));
    }
    let get = relay::RelayedCall::Get(key.clone());
    assert_eq!(relay::decode_call(&relay::encode_get(&key)), Ok(get));
    let no_answer = relay::map_peer_error(&PeerError::NoReply);
    assert!(matches!(no_answer, PlatformError::OutcomeUnknown(_)));
    let unknown_host = relay::map_peer_error(&PeerError::UnknownHost);
    assert!(matches!(unknown_host, PlatformError::Unavailable(_)));
}

/// Many hosts write the same shard, each of them rarely. The content that a host knows is outdated
/// by its next write, so that every first write would fail and waste the write rate of the
/// platform.
#[test]
fn shards_of_many_hosts_are_read_before_they_are_written() {
    let mut hosts = TwoHosts::new();
    for n in 0..20 {
        hosts.claim(n % 2, &format!("key-{n}"), n as u128);
        assert_eq!(hosts.run_until_idle(n % 2), [ClaimOutcome::Claimed]);
    }
    assert_eq!(hosts.object.conflicts, 2);
}
