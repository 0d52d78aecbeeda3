//! A request that is not repeatable runs at most once: its claim.

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
use banyanarch::objects::Expected;
use banyanarch::objects::Kind;
use banyanarch::objects::ObjectKey;
use banyanarch::objects::Platform;
use banyanarch::objects::PlatformError;
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

/// One shard at two hosts, over one object.
struct Site {
    clock: ManualClock,
    object: FakeObject,
    shards: [ClaimShard; 2],
    hosts: [HostId; 2],
}

impl Site {
    fn new() -> Self {
        Self::with(&ClaimConf::default())
    }

    fn with(conf: &ClaimConf) -> Self {
        let shard = |seed| ClaimShard::new(conf.clone(), StdRng::seed_from_u64(seed));
        Self {
            clock: ManualClock::new(),
            object: FakeObject::default(),
            shards: [shard(1), shard(2)],
            hosts: [host("entry-a"), host("entry-b")],
        }
    }

    fn claim(&self, at: usize, attempt: u128, content: u128) -> Claim {
        claim(attempt, &self.hosts[at], content)
    }

    fn want(&mut self, at: usize, key: &str, attempt: u128) {
        let claim = self.claim(at, attempt, 1);
        self.shards[at].claim(claim_key(key), claim, self.clock.now());
    }

    fn give_back(&mut self, at: usize, key: &str, attempt: u128) {
        self.shards[at].give_back(claim_key(key), AttemptId(attempt), self.clock.now());
    }

    /// One call of a host to the platform, with a fault. Pauses pass at once.
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

    /// Calls until the host has nothing left to do.
    fn settle(&mut self, at: usize) -> Vec<ClaimOutcome> {
        for _ in 0..100 {
            if !self.call(at, Fault::None) {
                return self.verdicts(at);
            }
        }
        panic!("it goes on for ever");
    }

    fn verdicts(&mut self, at: usize) -> Vec<ClaimOutcome> {
        let verdicts = self.shards[at].take_outcomes();
        verdicts.into_iter().map(|(_, verdict)| verdict).collect()
    }
}

fn is_down(verdict: &ClaimOutcome) -> bool {
    let why = ClaimRefusal::PlatformDown;
    matches!(verdict, ClaimOutcome::Unavailable { why: got, .. } if *got == why)
}

/// A caller sends a licence grant to two hosts, since the first seems slow. Both ask at the same
/// moment. One may run it, the other is told who does.
#[test]
fn two_hosts_one_claim() {
    let mut site = Site::new();
    site.want(0, "grant", 10);
    site.want(1, "grant", 20);
    site.call(0, Fault::None);
    site.call(1, Fault::None);
    assert_eq!(site.settle(0), [ClaimOutcome::Claimed]);
    let held = site.claim(0, 10, 1);
    assert_eq!(site.settle(1), [ClaimOutcome::HeldBy(held)]);
}

/// A caller sends a grant twice through one host, and both claims go into the same write. The second
/// must neither run nor take the place of the first.
#[test]
fn two_sendings_in_one_write() {
    let mut site = Site::new();
    site.want(0, "grant", 10);
    site.want(0, "grant", 11);
    let held = site.claim(0, 10, 1);
    let verdicts = site.settle(0);
    assert_eq!(
        verdicts,
        [ClaimOutcome::Claimed, ClaimOutcome::HeldBy(held)]
    );
}

/// The write of a claim takes effect and its answer is lost. The host must find that it holds the
/// claim, and not wait for itself or record a second one.
#[test]
fn lost_answer_is_read_back() {
    let mut site = Site::new();
    site.want(0, "grant", 10);
    site.call(0, Fault::None);
    site.call(0, Fault::AnswerLost);
    assert_eq!(site.verdicts(0), []);
    assert_eq!(site.settle(0), [ClaimOutcome::Claimed]);
    assert_eq!(site.object.writes, 1);
}

/// The platform fails in the middle of a claim's write and the caller is told "not run". Minutes
/// later the write takes effect, and the key is held by an attempt that nobody will dispatch. The
/// caller's resend would be told "may have run" for ever. The holder knows that the write was in
/// doubt, and gives the claim back until it knows that none can come.
#[parameterized(
    write_arrives_before_the_platform_is_back = { true },
    write_arrives_after = { false },
)]
fn claim_in_doubt_is_given_back(is_early: bool) {
    let mut site = Site::new();
    site.want(0, "other", 1);
    site.settle(0);
    site.want(0, "grant", 10);
    site.call(0, Fault::Delayed);
    site.call(0, Fault::Unavailable);
    assert!(is_down(&site.verdicts(0)[0]));
    if is_early {
        site.object.arrive();
    }
    site.settle(0);
    assert_eq!(site.shards[0].pending(), 0);
    site.object.arrive();
    site.want(1, "grant", 20);
    assert_eq!(site.settle(1), [ClaimOutcome::Claimed]);
}

/// A write is lost and has not taken effect when the object is read back; the host's claim is
/// refused for another reason, then the old write arrives. Unless the version was moved on, it
/// would undo what was written since.
#[test]
fn late_write_changes_nothing_any_more() {
    let mut site = Site::new();
    site.want(0, "grant", 10);
    site.call(0, Fault::None);
    site.call(0, Fault::Delayed);
    site.give_back(0, "grant", 10);
    site.settle(0);
    let before = site.object.value.clone();
    site.object.arrive();
    assert_eq!(site.object.value, before);
    assert!(before.unwrap().claims.is_empty());
}

/// A host claims, is paused for a day, and wakes up between its check and its dispatch. Were the
/// claim freed by lapse of time, another host would have run the request meanwhile.
#[test]
fn claims_are_not_freed_by_time() {
    let mut site = Site::new();
    site.want(0, "grant", 10);
    site.settle(0);
    site.clock.advance(DAY);
    site.want(1, "grant", 20);
    let held = site.claim(0, 10, 1);
    assert_eq!(site.settle(1), [ClaimOutcome::HeldBy(held)]);
}

/// A holder's upstream refuses the attempt, which so did not run. It gives the claim back, and a
/// resend through a host that had seen the claim before can run.
#[test]
fn given_back_claim_is_free() {
    let mut site = Site::new();
    site.want(0, "grant", 10);
    site.settle(0);
    site.want(1, "grant", 20);
    site.settle(1);
    site.give_back(0, "grant", 10);
    site.settle(0);
    site.want(1, "grant", 21);
    assert_eq!(site.settle(1), [ClaimOutcome::Claimed]);
}

/// Someone else's mistake or a late message must not free a claim: only its own attempt can.
#[test]
fn only_its_own_attempt_gives_a_claim_back() {
    let mut site = Site::new();
    site.want(0, "grant", 10);
    site.settle(0);
    site.want(1, "grant", 20);
    site.settle(1);
    site.give_back(1, "grant", 20);
    site.settle(1);
    site.want(1, "grant", 21);
    let held = site.claim(0, 10, 1);
    assert_eq!(site.settle(1), [ClaimOutcome::HeldBy(held)]);
}

/// A caller uses a key for two letters. Answering the second with the first one's answer would send
/// a parent the wrong letter.
#[test]
fn same_key_with_another_content_is_told() {
    let mut site = Site::new();
    site.want(0, "letter", 10);
    site.settle(0);
    let other = site.claim(0, 11, 2);
    site.shards[0].claim(claim_key("letter"), other, site.clock.now());
    assert_eq!(site.settle(0), [ClaimOutcome::DifferentContent]);
}

/// The platform is down. Callers are told so at once with a time to come back, and when it answers
/// again the next claim goes through.
#[test]
fn outage_is_told_at_once() {
    let mut site = Site::new();
    site.want(0, "grant", 10);
    site.call(0, Fault::Unavailable);
    assert_eq!(site.verdicts(0), []);
    site.call(0, Fault::Unavailable);
    assert!(is_down(&site.verdicts(0)[0]));
    site.want(0, "letter", 11);
    assert!(is_down(&site.verdicts(0)[0]));
    site.clock.advance(ClaimConf::default().retry_delay_max);
    site.want(0, "letter", 12);
    assert_eq!(site.settle(0), [ClaimOutcome::Claimed]);
}

/// Objects are bounded at a megabyte. A full shard turns claims away, and finished claims make room
/// after their time; claims that may still run never do.
#[test]
fn full_shard_waits_for_finished_claims() {
    let conf = ClaimConf {
        shard_bytes_max: 320,
        ..ClaimConf::default()
    };
    let mut site = Site::with(&conf);
    site.want(0, "grant", 10);
    site.want(0, "letter", 11);
    assert_eq!(
        site.settle(0),
        [ClaimOutcome::Claimed, ClaimOutcome::Claimed]
    );
    let finish = (claim_key("grant"), AttemptId(10), ClaimState::Completed);
    site.shards[0].finish(finish.0, finish.1, finish.2, site.clock.now());
    site.settle(0);
    site.want(0, "audit", 12);
    let full = site.settle(0);
    let is_full = matches!(
        full[..],
        [ClaimOutcome::Unavailable {
            why: ClaimRefusal::Full,
            ..
        }]
    );
    assert!(is_full, "{full:?}");
    site.clock.advance(DAY);
    site.want(0, "audit", 13);
    site.want(0, "letter", 14);
    let verdicts = site.settle(0);
    let held = site.claim(0, 11, 1);
    assert_eq!(
        verdicts,
        [ClaimOutcome::HeldBy(held), ClaimOutcome::Claimed]
    );
}

fn store(platform: &Arc<FakePlatform>, conf: ClaimConf) -> Arc<ClaimStore> {
    let platform: Arc<dyn Platform> = Arc::<FakePlatform>::clone(platform);
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let mut rng = StdRng::seed_from_u64(7);
    Arc::new(ClaimStore::new(&platform, &clock, conf, &mut rng))
}

/// Hundreds of claims come at once. One write each would take all that the platform can do; those
/// of one shard go together.
#[tokio::test]
async fn claims_share_writes() {
    let platform = Arc::new(FakePlatform::new(Duration::from_millis(3)));
    let store = store(&platform, ClaimConf::default());
    let a = host("entry-a");
    let claims = (0..640).map(|n| store.claim(claim_key(&format!("key-{n}")), claim(n, &a, 1)));
    let verdicts = join_all(claims).await;
    assert!(
        verdicts
            .iter()
            .all(|verdict| *verdict == ClaimOutcome::Claimed)
    );
    assert_eq!(platform.sum(|object| object.writes), 64);
}

/// A caller goes away while its claim is on its way to a platform that hangs. Nobody will dispatch
/// the attempt, so nobody else would ever free the key.
#[tokio::test]
async fn claimant_that_goes_away_gives_back() {
    let platform = Arc::new(FakePlatform::new(Duration::from_millis(50)));
    let conf = ClaimConf {
        shards: 1,
        ..ClaimConf::default()
    };
    let store = store(&platform, conf);
    let a = host("entry-a");
    let key = claim_key("grant");
    let early = store.claim(key, claim(1, &a, 1));
    let cut = tokio::time::timeout(Duration::from_millis(75), early).await;
    assert!(cut.is_err());
    while store.pending() > 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(
        store.claim(key, claim(2, &a, 1)).await,
        ClaimOutcome::Claimed
    );
}

/// A platform that swallows calls must not hold a caller's answer back.
#[tokio::test]
async fn silent_platform_is_told_in_time() {
    let platform = Arc::new(FakePlatform::new(DAY));
    platform.set_fault(Fault::Delayed);
    let conf = ClaimConf {
        claim_timeout: Duration::from_millis(20),
        ..ClaimConf::default()
    };
    let store = store(&platform, conf);
    let verdict = store
        .claim(claim_key("grant"), claim(1, &host("entry-a"), 1))
        .await;
    let why = ClaimRefusal::Timeout;
    assert!(matches!(verdict, ClaimOutcome::Unavailable { why: got, .. } if got == why));
}

fn unknown() -> PlatformError {
    PlatformError::Unknown("no answer".to_owned())
}

/// A host that is cut off from the platform asks a peer. The kinds of failure must survive the way,
/// since "unknown" taken for "unavailable" would let a request run twice.
#[parameterized(
    done = { Ok(ObjectVersion(7)) },
    absent = { Err(PlatformError::Absent) },
    conflict = { Err(PlatformError::Conflict) },
    refused = { Err(PlatformError::Refused("too large".to_owned())) },
    unavailable = { Err(PlatformError::Unavailable("down".to_owned())) },
    in_doubt = { Err(unknown()) },
)]
fn relayed_results_keep_their_kind(result: Result<ObjectVersion, PlatformError>) {
    let reply = relay::encode_put_result(&result);
    assert_eq!(relay::decode_put_result(&reply), result);
}

#[test]
fn relayed_calls_arrive_whole() {
    let key = ObjectKey::new(Kind::Claims, "shard-03");
    let value = serde_json::json!({"claims": {}});
    for expected in [Expected::Absent, Expected::Version(ObjectVersion(3))] {
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
    let silent = relay::map_peer_error(&PeerError::NoAnswer);
    assert!(matches!(silent, PlatformError::Unknown(_)));
    let unreached = relay::map_peer_error(&PeerError::UnknownHost);
    assert!(matches!(unreached, PlatformError::Unavailable(_)));
}

/// Many hosts claim in the same shard, each seldom. What a host knows of it is old by its next write,
/// so that every write would fail first, and the platform's rate of writes would go into failures.
#[test]
fn shards_of_many_hosts_are_read_before_they_are_written() {
    let mut site = Site::new();
    for n in 0..20 {
        site.want(n % 2, &format!("key-{n}"), n as u128);
        assert_eq!(site.settle(n % 2), [ClaimOutcome::Claimed]);
    }
    assert_eq!(site.object.conflicts, 2);
}
