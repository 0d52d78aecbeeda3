//! Entry hosts, two homes of one pool, and engines whose memory is counted.

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
/// Membership takes two seconds to call a host dead.
const DEAD_TICKS: u64 = 8;
/// One that stays away as long as this is not started again.
const GONE_TICKS: u64 = 50;
/// Only one may be: deaths are believed as long as more hosts live than have died.
const GONE_HOST: usize = 2;
const NEVER: u64 = u64::MAX;
/// A home knows within half a second that an upstream is leaving.
const LEAVING_TICKS: u64 = 2;

#[derive(Clone, Copy, Debug)]
pub(crate) enum Step {
    /// A caller sends a request.
    Send { host: usize, tokens: u64 },
    /// The next messages are lost.
    Lose { messages: u32 },
    /// Messages take this long from now on.
    Delay { ticks: u64 },
    /// A host stands still.
    Pause { host: usize, ticks: u64 },
    /// A host dies, and another process of that name starts, maybe before anybody noticed, or none.
    Kill { host: usize, ticks: u64 },
    /// A host loses the connections of its running answers; the engines go on.
    Cut { host: usize },
    /// A host takes another one for the home.
    Switch { host: usize, home: usize },
    /// A home dies, and the next one knows nothing.
    TakeOver { home: usize },
    /// An engine loses all it has.
    Crash { engine: usize },
    /// An engine leaves, or comes back.
    Leave { engine: usize, is_leaving: bool },
    /// Time passes.
    Pass { ticks: u64 },
}

pub(crate) fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..HOSTS, 500..9_000_u64).prop_map(|(host, tokens)| Step::Send { host, tokens }),
        2 => (1..6_u32).prop_map(|messages| Step::Lose { messages }),
        1 => (0..4_u64).prop_map(|ticks| Step::Delay { ticks }),
        1 => (0..HOSTS, 1..60_u64).prop_map(|(host, ticks)| Step::Pause { host, ticks }),
        1 => (0..HOSTS, 1..60_u64).prop_map(|(host, ticks)| Step::Kill { host, ticks }),
        1 => (0..HOSTS).prop_map(|host| Step::Cut { host }),
        1 => (0..ENGINES).prop_map(|engine| Step::Crash { engine }),
        1 => (0..ENGINES, proptest::bool::ANY)
            .prop_map(|(engine, is_leaving)| Step::Leave { engine, is_leaving }),
        6 => (1..20_u64).prop_map(|ticks| Step::Pass { ticks }),
    ]
}

/// Also with homes that move.
pub(crate) fn step_with_moving_homes() -> impl Strategy<Value = Step> {
    prop_oneof![
        20 => step(),
        1 => (0..HOSTS, 0..HOMES).prop_map(|(host, home)| Step::Switch { host, home }),
        1 => (0..HOMES).prop_map(|home| Step::TakeOver { home }),
    ]
}

/// What is on its way.
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
    AskAnnounce {
        host: usize,
        home: usize,
    },
}

/// An engine's memory, as it is. What nobody reads or cancels stays.
#[derive(Default)]
pub(crate) struct Engine {
    pub(crate) held: IndexMap<AttemptId, RunningAttempt>,
    ran: IndexSet<AttemptId>,
    left_at: Option<u64>,
}

impl Engine {
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

/// What an entry host does to the world around it.
pub(crate) struct HostContext<'a> {
    pub(crate) now: Instant,
    pub(crate) tick: u64,
    pub(crate) engines: &'a mut IndexMap<UpstreamId, Engine>,
    pub(crate) outbox: &'a mut Vec<Message>,
}

pub(crate) struct GrantWorld {
    clock: ManualClock,
    tick: u64,
    hosts: Vec<EntryHost>,
    homes: Vec<HomeController>,
    engines: IndexMap<UpstreamId, Engine>,
    wire: Vec<(u64, Message)>,
    delay_ticks: u64,
    to_lose: u32,
    deaths: Vec<(u64, usize)>,
    sent: u128,
    take_overs: u128,
    have_homes_moved: bool,
}

impl GrantWorld {
    pub(crate) fn new() -> Self {
        let engines = (0..ENGINES).map(|n| (upstream(&format!("runner-{n}")), Engine::default()));
        let mut world = Self {
            clock: ManualClock::new(),
            tick: 0,
            hosts: (0..HOSTS).map(|n| EntryHost::new(n, name(n))).collect(),
            homes: Vec::new(),
            engines: engines.collect(),
            wire: Vec::new(),
            delay_ticks: 0,
            to_lose: 0,
            deaths: Vec::new(),
            sent: 0,
            take_overs: 0,
            have_homes_moved: false,
        };
        for _ in 0..HOMES {
            let home = world.fresh_home();
            world.homes.push(home);
        }
        for home in 0..HOMES {
            world.introduce(home);
        }
        world
    }

    fn fresh_home(&mut self) -> HomeController {
        self.take_overs += 1;
        let policy = Box::new(FirstFit::new(self.take_overs << 64));
        let pool = "hall-a/llm-advisor/0".parse().unwrap();
        HomeController::new(pool, policy, HomeConf::default(), self.clock.now())
    }

    /// Membership and the platform's list tell a home who is there.
    fn introduce(&mut self, home: usize) {
        for n in 0..HOSTS {
            // It has forgotten those that are gone for good.
            if !self.hosts[n].is_gone() {
                self.hear(home, HomeEvent::HostAlive(name(n)));
            }
        }
        self.tell_upstreams(home);
    }

    fn tell_upstreams(&mut self, home: usize) {
        let seen = self.engines.iter().map(|(id, known)| {
            let health = match known.left_at {
                Some(_) => UpstreamHealth::Leaving,
                None => UpstreamHealth::Live,
            };
            engine(id.as_str(), MEMORY_TOKENS, health)
        });
        let seen = seen.collect();
        self.hear(home, HomeEvent::Upstreams(seen));
    }

    pub(crate) fn step(&mut self, step: Step) {
        match step {
            Step::Send { host, tokens } => {
                self.sent += 1;
                let now = self.clock.now();
                self.hosts[host].send(RequestId(self.sent), Tokens(tokens), self.tick, now);
            }
            Step::Lose { messages } => self.to_lose = messages,
            Step::Delay { ticks } => self.delay_ticks = ticks,
            Step::Pause { host, ticks } => {
                let until = &mut self.hosts[host].paused_until;
                *until = (*until).max(self.tick + ticks);
            }
            Step::Kill { host, ticks } => {
                let is_gone =
                    self.hosts[host].is_gone() || (ticks >= GONE_TICKS && host == GONE_HOST);
                self.hosts[host] = EntryHost::new(host, name(host));
                self.hosts[host].paused_until = if is_gone { NEVER } else { self.tick + ticks };
                if ticks > DEAD_TICKS {
                    self.deaths.push((self.tick + DEAD_TICKS, host));
                }
            }
            Step::Cut { host } => self.hosts[host].is_cut = true,
            Step::Switch { host, home } => {
                self.hosts[host].home = home;
                self.have_homes_moved = true;
            }
            Step::TakeOver { home } => {
                self.have_homes_moved = true;
                self.homes[home] = self.fresh_home();
                self.introduce(home);
            }
            Step::Crash { engine } => self.engines[engine].held.clear(),
            Step::Leave { engine, is_leaving } => {
                self.engines[engine].left_at = is_leaving.then_some(self.tick);
                (0..HOMES).for_each(|home| self.tell_upstreams(home));
            }
            Step::Pass { ticks } => (0..ticks).for_each(|_| self.pass()),
        }
    }

    fn pass(&mut self) {
        self.clock.advance(TICK);
        self.tick += 1;
        self.deliver();
        let (now, tick) = (self.clock.now(), self.tick);
        let mut outbox = Vec::new();
        for host in &mut self.hosts {
            host.act(&mut HostContext {
                now,
                tick,
                engines: &mut self.engines,
                outbox: &mut outbox,
            });
        }
        outbox.into_iter().for_each(|message| self.post(message));
        self.check_memory();
        self.tell_members();
        (0..HOMES).for_each(|home| self.hear(home, HomeEvent::Tick));
    }

    /// As long as there was one home for everybody, it has the whole account.
    fn check_memory(&self) {
        for (id, engine) in self.engines.iter().filter(|_| !self.have_homes_moved) {
            let held = engine.held_tokens();
            assert!(held <= MEMORY_TOKENS, "{id} holds {held} tokens");
        }
    }

    /// Membership notices deaths late, and returns when a host speaks again.
    fn tell_members(&mut self) {
        for (at, host) in std::mem::take(&mut self.deaths) {
            let is_back = self.hosts[host].paused_until <= self.tick;
            if self.hosts[host].is_gone() && at < self.tick {
                continue;
            }
            let event = match (is_back, at == self.tick) {
                (true, _) => HomeEvent::HostAlive(name(host)),
                (false, true) => HomeEvent::HostDead(name(host)),
                (false, false) => {
                    self.deaths.push((at, host));
                    continue;
                }
            };
            if !is_back {
                self.deaths.push((at, host));
            }
            (0..HOMES).for_each(|home| self.hear(home, event.clone()));
        }
    }

    fn post(&mut self, message: Message) {
        if self.to_lose > 0 {
            self.to_lose -= 1;
            return;
        }
        self.wire.push((self.tick + self.delay_ticks, message));
    }

    fn deliver(&mut self) {
        let tick = self.tick;
        let due = self.wire.extract_if(.., |(at, _)| *at <= tick);
        for (_, message) in due.collect::<Vec<_>>() {
            match message {
                Message::ToHome { home, event } => self.hear(home, event),
                Message::Answer { host, home, answer } => {
                    self.hosts[host].inbox.push((home, Some(answer)));
                }
                Message::AskAnnounce { host, home } => self.hosts[host].inbox.push((home, None)),
            }
        }
    }

    fn hear(&mut self, home: usize, event: HomeEvent) {
        for action in self.homes[home].handle(event, self.clock.now()) {
            self.act(home, action);
        }
    }

    fn act(&mut self, home: usize, action: HomeAction) {
        match action {
            HomeAction::Reply { to, answer } | HomeAction::Push { to, answer } => {
                let host = number(&to);
                self.check_not_leaving(host, &answer);
                self.post(Message::Answer { host, home, answer });
            }
            HomeAction::RequestAnnouncement { to } => {
                let host = number(&to);
                self.post(Message::AskAnnounce { host, home });
            }
            HomeAction::Cancel { upstream, attempt } => {
                if self.to_lose > 0 {
                    self.to_lose -= 1;
                    return;
                }
                let is_read = self.hosts.iter().any(|host| host.is_reading(attempt));
                assert!(!is_read, "{attempt} is cut off although its host reads it");
                self.engines[&upstream].held.swap_remove(&attempt);
                let event = HomeEvent::CancelConfirmed { upstream, attempt };
                self.post(Message::ToHome { home, event });
            }
            HomeAction::ListAttempts { upstream, seq } => {
                let running = self.engines[&upstream].held.values().cloned().collect();
                let event = HomeEvent::EngineListed {
                    upstream,
                    seq,
                    running,
                };
                self.post(Message::ToHome { home, event });
            }
        }
    }

    /// No grant on an upstream that has left for a while, but one that its host already uses.
    fn check_not_leaving(&self, host: usize, answer: &HomeAnswer) {
        let GrantStatus::Granted(granted) = &answer.status else {
            return;
        };
        for id in &granted.upstreams {
            let left_at = self.engines[id].left_at;
            let is_late = left_at.is_some_and(|at| self.tick >= at + LEAVING_TICKS);
            let is_known = self.hosts[host].has_used(granted.attempt());
            assert!(!is_late || is_known, "new work for {id}, which is leaving");
        }
    }

    /// All faults end; after two minutes everything is at rest.
    pub(crate) fn check(mut self) {
        (self.to_lose, self.delay_ticks) = (0, 0);
        for engine in 0..ENGINES {
            self.step(Step::Leave {
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
        self.step(Step::Pass { ticks: 480 });
        for host in &self.hosts {
            host.check_all_ended();
        }
        for (id, engine) in &self.engines {
            assert!(engine.held.is_empty(), "{id} has lost memory for good");
        }
        for home in &self.homes {
            assert_eq!(
                home.live_grants(),
                [],
                "the ledger counts what no engine holds"
            );
            assert_eq!((home.ledger_len(), home.requests_len()), (0, 0));
        }
    }
}

pub(crate) fn finish_event(grant: AttemptId, from: &HostId, ended: AttemptOutcome) -> HomeEvent {
    HomeEvent::Finish {
        from: from.clone(),
        grant: banyanarch::units::GrantId(grant.0),
        done: crate::fakes::make::done(ended),
    }
}

fn name(n: usize) -> HostId {
    host(&format!("entry-{n}"))
}

fn number(host: &HostId) -> usize {
    host.as_str().trim_start_matches("entry-").parse().unwrap()
}
