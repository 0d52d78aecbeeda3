//! Graceful shutdown of a host, without cutting off a request.

use std::time::Duration;

use banyanarch::clock::Clock;
use banyanarch::clock::ManualClock;
use banyanarch::control::drain::DrainAction;
use banyanarch::control::drain::DrainConf;
use banyanarch::control::drain::DrainController;
use banyanarch::control::drain::DrainEvent;
use banyanarch::control::drain::DrainPhase;
use yare::parameterized;

const NOTICE: Duration = Duration::from_secs(5);
const HOUR: Duration = Duration::from_secs(3_600);

struct DrainingHost {
    clock: ManualClock,
    drain: DrainController,
}

impl DrainingHost {
    fn new(in_flight: usize, claims: usize) -> Self {
        let clock = ManualClock::new();
        let conf = DrainConf {
            notice: NOTICE,
            claims_timeout: Duration::from_secs(10),
        };
        let drain = DrainController::new(conf, clock.now());
        let mut host = Self { clock, drain };
        host.handle(DrainEvent::Remaining { in_flight, claims });
        host
    }

    fn handle(&mut self, event: DrainEvent) -> Vec<DrainAction> {
        self.drain.handle(event, self.clock.now())
    }

    fn advance(&mut self, time: Duration) -> Vec<DrainAction> {
        self.clock.advance(time);
        self.handle(DrainEvent::Tick)
    }
}

/// Guards against a shutdown that cuts off requests. The load balancer keeps sending requests until
/// it has seen that readiness fails, and a request can run for an hour.
#[test]
fn shutdown_waits_for_balancer_and_requests() {
    let mut host = DrainingHost::new(1, 1);
    assert!(host.drain.is_ready());
    assert_eq!(
        host.handle(DrainEvent::Signal),
        [DrainAction::AnnounceLeaving]
    );
    assert!(!host.drain.is_ready() && host.drain.accepts_work());
    assert_eq!(host.advance(NOTICE / 2), []);
    assert!(host.drain.accepts_work());
    let stop = [DrainAction::HandOverHomes, DrainAction::StopAccepting];
    assert_eq!(host.advance(NOTICE / 2), stop);
    assert!(!host.drain.accepts_work());
    assert_eq!(host.advance(HOUR), []);
    let ended = DrainEvent::Remaining {
        in_flight: 0,
        claims: 1,
    };
    assert_eq!(
        host.handle(ended),
        [],
        "the end of a claim is not recorded in the platform yet"
    );
    let settled = DrainEvent::Remaining {
        in_flight: 0,
        claims: 0,
    };
    assert_eq!(host.handle(settled), [DrainAction::Exit(0)]);
    assert_eq!(host.drain.phase(), DrainPhase::Exiting);
}

/// Guards against refused connections when a host is idle at the signal: the load balancer does not
/// know of the shutdown yet and sends the next request.
#[test]
fn idle_host_waits_for_the_balancer_too() {
    let mut host = DrainingHost::new(0, 0);
    assert_eq!(
        host.handle(DrainEvent::Signal),
        [DrainAction::AnnounceLeaving]
    );
    assert_eq!(host.drain.phase(), DrainPhase::Notice);
    let actions = host.advance(NOTICE);
    assert_eq!(actions.last(), Some(&DrainAction::Exit(0)));
}

/// Guards against a shutdown that never ends because the platform is unavailable and cannot record
/// the claims.
#[test]
fn unavailable_platform_does_not_block_shutdown() {
    let mut host = DrainingHost::new(0, 3);
    host.handle(DrainEvent::Signal);
    host.advance(NOTICE);
    assert_eq!(
        host.advance(Duration::from_secs(10)),
        [DrainAction::Exit(0)]
    );
}

#[parameterized(
    in_notice = { Duration::ZERO },
    while_draining = { NOTICE },
)]
fn second_signal_ends_at_once(after: Duration) {
    let mut host = DrainingHost::new(1, 0);
    host.handle(DrainEvent::Signal);
    host.advance(after);
    assert_eq!(host.handle(DrainEvent::Signal), [DrainAction::Exit(1)]);
    assert_eq!(host.handle(DrainEvent::Signal), []);
}
