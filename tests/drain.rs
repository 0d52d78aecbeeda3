//! A graceful shutdown cuts off no request.

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

struct Host {
    clock: ManualClock,
    drain: DrainController,
}

impl Host {
    fn new(in_flight: usize, claims: usize) -> Self {
        let clock = ManualClock::new();
        let conf = DrainConf {
            notice: NOTICE,
            claims_timeout: Duration::from_secs(10),
        };
        let drain = DrainController::new(conf, clock.now());
        let mut host = Self { clock, drain };
        host.hear(DrainEvent::Remaining { in_flight, claims });
        host
    }

    fn hear(&mut self, event: DrainEvent) -> Vec<DrainAction> {
        self.drain.handle(event, self.clock.now())
    }

    fn pass(&mut self, time: Duration) -> Vec<DrainAction> {
        self.clock.advance(time);
        self.hear(DrainEvent::Tick)
    }
}

/// An operator replaces a host. The balancer sends to it until it has seen that readiness fails, and
/// an audit runs on it for an hour. Neither the late callers nor the audit may be cut off.
#[test]
fn shutdown_waits_for_balancer_and_requests() {
    let mut host = Host::new(1, 1);
    assert!(host.drain.is_ready());
    assert_eq!(
        host.hear(DrainEvent::Signal),
        [DrainAction::AnnounceLeaving]
    );
    assert!(!host.drain.is_ready() && host.drain.accepts_work());
    assert_eq!(host.pass(NOTICE / 2), []);
    assert!(host.drain.accepts_work());
    let stop = [DrainAction::HandOverHomes, DrainAction::StopAccepting];
    assert_eq!(host.pass(NOTICE / 2), stop);
    assert!(!host.drain.accepts_work());
    assert_eq!(host.pass(HOUR), []);
    let ended = DrainEvent::Remaining {
        in_flight: 0,
        claims: 1,
    };
    assert_eq!(
        host.hear(ended),
        [],
        "a claim's end is not in the platform yet"
    );
    let settled = DrainEvent::Remaining {
        in_flight: 0,
        claims: 0,
    };
    assert_eq!(host.hear(settled), [DrainAction::Exit(0)]);
    assert_eq!(host.drain.phase(), DrainPhase::Exiting);
}

/// Nothing is in flight when the signal comes, and the balancer does not know yet: the next caller's
/// connection would be refused.
#[test]
fn idle_host_waits_for_the_balancer_too() {
    let mut host = Host::new(0, 0);
    assert_eq!(
        host.hear(DrainEvent::Signal),
        [DrainAction::AnnounceLeaving]
    );
    assert_eq!(host.drain.phase(), DrainPhase::Notice);
    let actions = host.pass(NOTICE);
    assert_eq!(actions.last(), Some(&DrainAction::Exit(0)));
}

/// The platform is away while a host drains. It must not stay for ever for the sake of claims.
#[test]
fn absent_platform_does_not_hold_a_shutdown() {
    let mut host = Host::new(0, 3);
    host.hear(DrainEvent::Signal);
    host.pass(NOTICE);
    assert_eq!(host.pass(Duration::from_secs(10)), [DrainAction::Exit(0)]);
}

#[parameterized(
    in_notice = { Duration::ZERO },
    while_draining = { NOTICE },
)]
fn second_signal_ends_at_once(after: Duration) {
    let mut host = Host::new(1, 0);
    host.hear(DrainEvent::Signal);
    host.pass(after);
    assert_eq!(host.hear(DrainEvent::Signal), [DrainAction::Exit(1)]);
    assert_eq!(host.hear(DrainEvent::Signal), []);
}
