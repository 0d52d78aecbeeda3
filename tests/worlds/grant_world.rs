//! Simulation of entry hosts, two homes of one pool, and engines whose memory is counted.

use std::time::Duration;
use std::time::Instant;

use banyanarch::clock::Clock;
use banyanarch::clock::ManualClock;
use banyanarch::control::home::GrantStatus;
use banyanarch::control::home::HomeAction;
use banyanarch::control::home::HomeAnswer;
use banyanarch::control::home::HomeConf;
use banyanarch::control::home::HomeController;
use banyanarch::control::home::HomeEvent;
use banyanarch::decide::AttemptOutcome;
use banyanarch::decide::UpstreamHealth;
use banyanarch::units::AttemptId;
use banyanarch::units::HostId;
use banyanarch::units::RequestId;
use banyanarch::units::Tokens;
use banyanarch::units::UpstreamId;
use banyanarch::upstream::RunningAttempt;
use indexmap::IndexMap;
use indexmap::IndexSet;
use proptest::prelude::Strategy;
use proptest::prop_oneof;

use super::entry_host::EntryHost;
use crate::fakes::first_fit::FirstFit;
use crate::fakes::make::engine;
use crate::fakes::make::host;
use crate::fakes::make::upstream;

const HOSTS: usize = 3;
const HOMES: usize = 2;
const ENGINES: usize = 2;
const MEMORY_TOKENS: u64 = 10_000;
const TICK: Duration = Duration::from_millis(250);
/// The time until membership considers a silent host dead: two seconds.
const DEAD_TICKS: u64 = 8;
/// A killed host with a downtime of at least this is never restarted.
const GONE_TICKS: u64 = 50;
/// The only host that may be gone for good, since homes act on deaths only while at least as many
/// hosts are alive as have died.
const GONE_HOST: usize = 2;
const NEVER: u64 = u64::MAX;
/// The time within which a home learns that an upstream is leaving: half a second.
const LEAVING_TICKS: u64 = 2;

#[derive(Clone, Copy, Debug)]
pub(crate) enum Step {
    /// A caller sends a request.
    Send { host: usize, tokens: u64 },
    /// The next `messages` messages are lost.
    Lose { messages: u32 },
    /// Messages are delayed by `ticks` from now on.
    Delay { ticks: u64 },
    /// A host is paused.
    Pause { host: usize, ticks: u64 },
    /// A host dies, and a new process of the same name starts after `ticks`, possibly before the
    /// death is noticed, or never.
    Kill { host: usize, ticks: u64 },
    /// A host loses the connections of its running answers; the engines continue.
    Disconnect { host: usize },
    /// A host switches to another home.
    SwitchHome { host: usize, home: usize },
    /// A home dies, and the next one starts with an empty ledger.
    TakeOver { home: usize },
    /// An engine crashes and loses all its attempts.
    CrashEngine { engine: usize },
    /// An engine is listed as leaving, or as live again.
    SetLeaving { engine: usize, is_leaving: bool },
    /// The clock advances.
    Advance { ticks: u64 },
}

pub(crate) fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..HOSTS, 500..9_000_u64).prop_map(|(host, tokens)| Step::Send { host, tokens }),
        2 => (1..6_u32).prop_map(|messages| Step::Lose { messages }),
        1 => (0..4_u64).prop_map(|ticks| Step::Delay { ticks }),
        1 => (0..HOSTS, 1..60_u64).prop_map(|(host, ticks)| Step::Pause { host, ticks }),
        1 => (0..HOSTS, 1..60_u64).prop_map(|(host, ticks)| Step::Kill { host, ticks }),
        1 => (0..HOSTS).prop_map(|host| Step::Disconnect { host }),
        1 => (0..ENGINES).prop_map(|engine| Step::CrashEngine { engine }),
        1 => (0..ENGINES, proptest::bool::ANY)
            .prop_map(|(engine, is_leaving)| Step::SetLeaving { engine, is_leaving }),
        6 => (1..20_u64).prop_map(|ticks| Step::Advance { ticks }),
    ]
}

/// Steps that also move homes.
pub(crate) fn step_with_moving_homes() -> impl Strategy<Value = Step> {
    prop_oneof![
        20 => step(),
        1 => (0..HOSTS, 0..HOMES).prop_map(|(host, home)| Step::SwitchHome { host, home }),
        1 => (0..HOMES).prop_map(|home| Step::TakeOver { home }),
    ]
}

/// A message in transit.
pub(crate) enum Message {
    ToHome {
        home: usize,
        event: HomeEvent,
    },
    Answer {
        host: usize,
        home: usize,
        answer: HomeAnswer,
    },
    RequestAnnouncement {
        host: usize,
        home: usize,
    },
}

/// The memory of an engine. An attempt holds memory until its answer is read or it is cancelled.
#[derive(Default)]
pub(crate) struct EngineMemory {
    pub(crate) held: IndexMap<AttemptId, RunningAttempt>,
    ran: IndexSet<AttemptId>,
    /// The tick at which the engine was listed as leaving.
    left_at: Option<u64>,
}

impl EngineMemory {
    fn held_tokens(&self) -> u64 {
        self.held
            .values()
            .map(|running| running.held_tokens.0)
            .sum()
    }

    pub(crate) fn start(&mut self, attempt: AttemptId, from: &HostId, tokens: Tokens) {
        assert!(self.ran.insert(attempt), "{attempt} was dispatched twice");
        let held_tokens = tokens;
        let host = from.clone();
        let running = RunningAttempt {
            attempt,
            host,
            held_tokens,
        };
        self.held.insert(attempt, running);
    }
}

/// The parts of the simulation that an entry host acts on.
pub(crate) struct HostContext<'a> {
    pub(crate) now: Instant,
    pub(crate) tick: u64,
    pub(crate) engines: &'a mut IndexMap<UpstreamId, EngineMemory>,
    pub(crate) outbox: &'a mut Vec<Message>,
}

pub(crate) struct GrantWorld {
    clock: ManualClock,
    tick: u64,
    hosts: Vec<EntryHost>,
    homes: Vec<HomeController>,
    engines: IndexMap<UpstreamId, EngineMemory>,
    in_transit: Vec<(u64, Message)>,
    delay_ticks: u64,
    messages_to_lose: u32,
    /// The tick at which membership reports a dead host, and the host.
    deaths: Vec<(u64, usize)>,
    sent: u128,
    home_count: u128,
    have_homes_moved: bool,
}

impl GrantWorld {
    pub(crate) fn new() -> Self {
        let engines =
            (0..ENGINES).map(|n| (upstream(&format!("runner-{n}")), EngineMemory::default()));
        let mut world = Self {
            clock: ManualClock::new(),
            tick: 0,
            hosts: (0..HOSTS).map(|n| EntryHost::new(n, host_id(n))).collect(),
            homes: Vec::new(),
            engines: engines.collect(),
            in_transit: Vec::new(),
            delay_ticks: 0,
            messages_to_lose: 0,
            deaths: Vec::new(),
            sent: 0,
            home_count: 0,
            have_homes_moved: false,
        };
        for _ in 0..HOMES {
            let home = world.new_home();
            world.homes.push(home);
        }
        for home in 0..HOMES {
            world.initialize_home(home);
        }
        world
    }

    fn new_home(&mut self) -> HomeController {
        self.home_count += 1;
        let policy = Box::new(FirstFit::new(self.home_count << 64));
        let pool = "hall-a/llm-advisor/0".parse().unwrap();
        HomeController::new(pool, policy, HomeConf::default(), self.clock.now())
    }

    /// Reports the living hosts and the upstreams to a new home.
    fn initialize_home(&mut self, home: usize) {
        for n in 0..HOSTS {
            // Membership has forgotten hosts that are gone for good.
            if !self.hosts[n].is_gone() {
                self.handle(home, HomeEvent::HostAlive(host_id(n)));
            }
        }
        self.report_upstreams(home);
    }

    fn report_upstreams(&mut self, home: usize) {
        let upstreams = self.engines.iter().map(|(id, memory)| {
            let health = match memory.left_at {
                Some(_) => UpstreamHealth::Leaving,
                None => UpstreamHealth::Live,
            };
            engine(id.as_str(), MEMORY_TOKENS, health)
        });
        let upstreams = upstreams.collect();
        self.handle(home, HomeEvent::Upstreams(upstreams));
    }

    pub(crate) fn step(&mut self, step: Step) {
        match step {
            Step::Send { host, tokens } => {
                self.sent += 1;
                let now = self.clock.now();
                self.hosts[host].send(RequestId(self.sent), Tokens(tokens), self.tick, now);
            }
            Step::Lose { messages } => self.messages_to_lose = messages,
            Step::Delay { ticks } => self.delay_ticks = ticks,
            Step::Pause { host, ticks } => {
                let until = &mut self.hosts[host].paused_until;
                *until = (*until).max(self.tick + ticks);
            }
            Step::Kill { host, ticks } => {
                let is_gone =
                    self.hosts[host].is_gone() || (ticks >= GONE_TICKS && host == GONE_HOST);
                self.hosts[host] = EntryHost::new(host, host_id(host));
                self.hosts[host].paused_until = if is_gone { NEVER } else { self.tick + ticks };
                if ticks > DEAD_TICKS {
                    self.deaths.push((self.tick + DEAD_TICKS, host));
                }
            }
            Step::Disconnect { host } => self.hosts[host].is_disconnected = true,
            Step::SwitchHome { host, home } => {
                self.hosts[host].home = home;
                self.have_homes_moved = true;
            }
            Step::TakeOver { home } => {
                self.have_homes_moved = true;
                self.homes[home] = self.new_home();
                self.initialize_home(home);
            }
            Step::CrashEngine { engine } => self.engines[engine].held.clear(),
            Step::SetLeaving { engine, is_leaving } => {
                self.engines[engine].left_at = is_leaving.then_some(self.tick);
                (0..HOMES).for_each(|home| self.report_upstreams(home));
            }
            Step::Advance { ticks } => (0..ticks).for_each(|_| self.advance_tick()),
        }
    }

    fn advance_tick(&mut self) {
        self.clock.advance(TICK);
        self.tick += 1;
        self.deliver();
        let (now, tick) = (self.clock.now(), self.tick);
        let mut outbox = Vec::new();
        for host in &mut self.hosts {
            host.run_tick(&mut HostContext {
                now,
                tick,
                engines: &mut self.engines,
                outbox: &mut outbox,
            });
        }
        outbox
            .into_iter()
            .for_each(|message| self.send_message(message));
        self.check_memory();
        self.report_members();
        (0..HOMES).for_each(|home| self.handle(home, HomeEvent::Tick));
    }

    /// Checks that no engine is overcommitted, which holds as long as the homes have not moved.
    fn check_memory(&self) {
        for (id, engine) in self.engines.iter().filter(|_| !self.have_homes_moved) {
            let held = engine.held_tokens();
            assert!(held <= MEMORY_TOKENS, "{id} holds {held} tokens");
        }
    }

    /// Reports deaths with the delay of membership, and restarts of hosts.
    fn report_members(&mut self) {
        for (at, host) in std::mem::take(&mut self.deaths) {
            let is_back = self.hosts[host].paused_until <= self.tick;
            if self.hosts[host].is_gone() && at < self.tick {
                continue;
            }
            let event = match (is_back, at == self.tick) {
                (true, _) => HomeEvent::HostAlive(host_id(host)),
                (false, true) => HomeEvent::HostDead(host_id(host)),
                (false, false) => {
                    self.deaths.push((at, host));
                    continue;
                }
            };
            if !is_back {
                self.deaths.push((at, host));
            }
            (0..HOMES).for_each(|home| self.handle(home, event.clone()));
        }
    }

    fn send_message(&mut self, message: Message) {
        if self.messages_to_lose > 0 {
            self.messages_to_lose -= 1;
            return;
        }
        self.in_transit
            .push((self.tick + self.delay_ticks, message));
    }

    fn deliver(&mut self) {
        let tick = self.tick;
        let due = self.in_transit.extract_if(.., |(at, _)| *at <= tick);
        for (_, message) in due.collect::<Vec<_>>() {
            match message {
                Message::ToHome { home, event } => self.handle(home, event),
                Message::Answer { host, home, answer } => {
                    self.hosts[host].inbox.push((home, Some(answer)));
                }
                Message::RequestAnnouncement { host, home } => {
                    self.hosts[host].inbox.push((home, None));
                }
            }
        }
    }

    fn handle(&mut self, home: usize, event: HomeEvent) {
        for action in self.homes[home].handle(event, self.clock.now()) {
            self.execute(home, action);
        }
    }

    fn execute(&mut self, home: usize, action: HomeAction) {
        match action {
            HomeAction::Reply { to, answer } | HomeAction::Push { to, answer } => {
                let host = host_index(&to);
                self.check_not_leaving(host, &answer);
                self.send_message(Message::Answer { host, home, answer });
            }
            HomeAction::RequestAnnouncement { to } => {
                let host = host_index(&to);
                self.send_message(Message::RequestAnnouncement { host, home });
            }
            HomeAction::Cancel { upstream, attempt } => {
                if self.messages_to_lose > 0 {
                    self.messages_to_lose -= 1;
                    return;
                }
                let is_read = self.hosts.iter().any(|host| host.is_reading(attempt));
                assert!(
                    !is_read,
                    "{attempt} is cancelled although its host reads it"
                );
                self.engines[&upstream].held.swap_remove(&attempt);
                let event = HomeEvent::CancelConfirmed { upstream, attempt };
                self.send_message(Message::ToHome { home, event });
            }
            HomeAction::ListAttempts { upstream, seq } => {
                let running = self.engines[&upstream].held.values().cloned().collect();
                let event = HomeEvent::EngineListed {
                    upstream,
                    seq,
                    running,
                };
                self.send_message(Message::ToHome { home, event });
            }
        }
    }

    /// Checks that no new grant uses an upstream that is known to be leaving. A grant that the host
    /// already uses may be repeated.
    fn check_not_leaving(&self, host: usize, answer: &HomeAnswer) {
        let GrantStatus::Granted(granted) = &answer.status else {
            return;
        };
        for id in &granted.upstreams {
            let left_at = self.engines[id].left_at;
            let is_late = left_at.is_some_and(|at| self.tick >= at + LEAVING_TICKS);
            let is_known = self.hosts[host].has_used(granted.attempt());
            assert!(!is_late || is_known, "new work on {id}, which is leaving");
        }
    }

    /// Ends all faults and checks that no grant and no memory is left after two minutes.
    pub(crate) fn check(mut self) {
        (self.messages_to_lose, self.delay_ticks) = (0, 0);
        for engine in 0..ENGINES {
            self.step(Step::SetLeaving {
                engine,
                is_leaving: false,
            });
        }
        for host in &mut self.hosts {
            host.home = 0;
            if !host.is_gone() {
                host.paused_until = host.paused_until.min(self.tick + 1);
            }
        }
        self.step(Step::Advance { ticks: 480 });
        for host in &self.hosts {
            host.check_all_ended();
        }
        for (id, engine) in &self.engines {
            assert!(engine.held.is_empty(), "{id} has leaked memory");
        }
        for home in &self.homes {
            assert_eq!(
                home.live_grants(),
                [],
                "the ledger counts memory that no engine holds"
            );
            assert_eq!((home.ledger_len(), home.requests_len()), (0, 0));
        }
    }
}

pub(crate) fn finish_event(grant: AttemptId, from: &HostId, ended: AttemptOutcome) -> HomeEvent {
    HomeEvent::Finish {
        from: from.clone(),
        grant: banyanarch::units::GrantId(grant.0),
        done: crate::fakes::make::attempt_summary(ended),
    }
}

fn host_id(n: usize) -> HostId {
    host(&format!("entry-{n}"))
}

fn host_index(host: &HostId) -> usize {
    host.as_str().trim_start_matches("entry-").parse().unwrap()
}
