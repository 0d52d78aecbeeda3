//! Hosts that all start at the same moment and find the host from which they get the platform's
//! lists.

mod start_world;

use std::time::Duration;

use banyanarch::decide::ReaderEntry;
use banyanarch::decide::ReaderSearch;
use banyanarch::decide::SearchStep;
use banyanarch::decide::StartingReader;
use banyanarch::units::Millicores;
use banyanarch::units::ObjectVersion;
use start_world::Fleet;
use start_world::StartWorld;
use yare::parameterized;

/// The time until the last host of a fleet must have found its reader: less than half of the ten
/// seconds that the smallest fleets have before traffic begins.
const FOUND_WITHIN: Duration = Duration::from_secs(4);

fn entry(host: &str, version: u64) -> ReaderEntry {
    ReaderEntry {
        host: host.parse().unwrap(),
        addr: "127.0.0.1:7340".parse().unwrap(),
        version: ObjectVersion(version),
    }
}

fn search(processors: u32) -> ReaderSearch {
    let addr = "127.0.0.1:7341".parse().unwrap();
    ReaderSearch::new("own".parse().unwrap(), addr, Millicores(processors))
}

/// Guards against a fleet whose hosts all read the platform when they start at once, so that its
/// link and its rate of calls are used up and every host tries again.
#[parameterized(
    one = { 1, 1 },
    small = { 8, 3 },
    large = { 195, 5 },
    whole_fleet = { 985, 5 },
    twice_the_fleet = { 1_970, 5 },
)]
fn a_fleet_that_starts_at_once_has_one_reader_a_domain(hosts: usize, domains: usize) {
    for seed in 1..=3 {
        let mut world = StartWorld::new(Fleet { hosts, domains }, seed);
        world.run();
        println!("{hosts} hosts, seed {seed}: {:?}", world.counts());
        let domains = domains.min(hosts);
        assert_eq!(world.readers(), domains, "one host of each domain reads");
        assert!(world.last_found_after() <= FOUND_WITHIN);
        let calls = world.counts();
        assert!(calls.looks <= hosts && calls.claims <= hosts, "{calls:?}");
        assert_eq!(calls.rejected, 0, "{calls:?}");
    }
}

/// Guards against hosts that stay without lists because the host that read for their domain is
/// gone, and against one that all of them replace in turn.
#[parameterized(
    small = { 8, 3 },
    whole_fleet = { 985, 5 },
)]
fn a_reader_that_is_gone_is_replaced_once(hosts: usize, domains: usize) {
    for seed in 1..=3 {
        let mut world = StartWorld::new(Fleet { hosts, domains }, seed);
        world.name_missing_readers();
        world.run();
        assert_eq!(world.readers(), domains);
        assert!(world.last_found_after() <= FOUND_WITHIN);
    }
}

/// Guards against a fleet that calls the platform all at once, again and again, while it refuses
/// calls.
#[test]
fn a_platform_that_is_away_is_called_once_a_second_by_each_host() {
    let mut world = StartWorld::new(
        Fleet {
            hosts: 985,
            domains: 5,
        },
        1,
    );
    world.set_away_for(Duration::from_secs(10));
    world.run();
    assert_eq!(world.readers(), 5);
    assert!(world.counts().looks <= 985 * 14, "{:?}", world.counts());
}

/// Guards against a weak host that reads for its whole domain because it was a few milliseconds
/// faster.
#[test]
fn a_strong_host_claims_before_a_weak_one() {
    let mut strong = search(1_000);
    strong.next_step();
    strong.on_looked(None);
    assert_eq!(strong.next_step(), SearchStep::Claim(None));
    let mut weak = search(120);
    weak.next_step();
    weak.on_looked(None);
    let SearchStep::Wait(wait) = weak.next_step() else {
        panic!("a weak host waits");
    };
    assert_eq!(wait, Duration::from_millis(264));
    assert_eq!(weak.next_step(), SearchStep::Claim(None));
    weak.on_claimed(entry("strong", 1));
    assert_eq!(weak.next_step(), SearchStep::Request(entry("strong", 1)));
    weak.on_requested(entry("strong", 1), true);
    let found = SearchStep::Found(StartingReader::Other(entry("strong", 1)));
    assert_eq!((weak.next_step(), weak.next_step()), (found.clone(), found));
}

/// Guards against a host that gives up its domain's entry because one request was lost, and against
/// one that waits for a dead host.
#[test]
fn a_reader_is_replaced_after_two_requests_without_a_response() {
    let mut search = search(1_000);
    search.next_step();
    search.on_looked(Some(entry("dead", 7)));
    for _ in 0..2 {
        assert_eq!(search.next_step(), SearchStep::Request(entry("dead", 7)));
        search.on_requested(entry("dead", 7), false);
    }
    assert_eq!(
        search.next_step(),
        SearchStep::Claim(Some(ObjectVersion(7)))
    );
}

/// Guards against a restarted host that asks itself, and against one that leaves its old address in
/// the entry.
#[test]
fn a_reader_that_restarts_reads_again() {
    let mut same = search(1_000);
    same.next_step();
    let mut own = entry("own", 3);
    own.addr = "127.0.0.1:7341".parse().unwrap();
    same.on_looked(Some(own));
    assert_eq!(same.next_step(), SearchStep::Found(StartingReader::Own));
    let mut moved = search(1_000);
    moved.next_step();
    moved.on_looked(Some(entry("own", 3)));
    assert_eq!(moved.next_step(), SearchStep::Claim(Some(ObjectVersion(3))));
}

/// Guards against hosts that call a failing platform without a pause.
#[test]
fn the_pause_doubles_with_each_failed_call() {
    let mut search = search(1_000);
    for pause_ms in [250, 500, 1_000, 1_000] {
        assert_eq!(search.next_step(), SearchStep::Look);
        search.on_failed();
        assert_eq!(
            search.next_step(),
            SearchStep::Wait(Duration::from_millis(pause_ms))
        );
    }
}

/// Guards against a domain that does not start because its reader is cut off from the platform.
#[test]
fn a_reader_without_lists_is_replaced() {
    let mut search = search(1_000);
    search.next_step();
    search.on_looked(Some(entry("cut-off", 4)));
    search.next_step();
    search.on_requested(entry("cut-off", 4), true);
    search.on_stale(&entry("cut-off", 4));
    let claim = SearchStep::Claim(Some(ObjectVersion(4)));
    assert_eq!(search.next_step(), claim);
    search.on_claimed(entry("faster", 5));
    assert_eq!(search.next_step(), SearchStep::Request(entry("faster", 5)));
}
