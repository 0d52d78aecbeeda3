//! A simulated entry host: it requests grants, dispatches, announces its running attempts and
//! finishes them.

use std::time::Duration;
use std::time::Instant;

use banyanarch::control::home::GrantStatus;
use banyanarch::control::home::HomeAnswer;
use banyanarch::control::home::HomeEvent;
use banyanarch::control::home::IssuedGrant;
use banyanarch::decide::AttemptOutcome;
use banyanarch::decide::LiveGrant;
use banyanarch::decide::Work;
use banyanarch::units::AttemptId;
use banyanarch::units::GrantId;
use banyanarch::units::HostId;
use banyanarch::units::RequestId;
use banyanarch::units::Tokens;
use indexmap::IndexMap;
use indexmap::IndexSet;

use super::grant_world::HostContext;
use super::grant_world::Message;
use super::grant_world::finish_event;
use crate::fakes::make::work;

/// Time limit of a request: thirty seconds in ticks of 250 ms.
const LIMIT_TICKS: u64 = 120;
/// A host repeats its waiting requests every 500 ms, and announces its running attempts every
/// second.
const REQUEST_TICKS: u64 = 2;
const ANNOUNCE_TICKS: u64 = 4;

enum State {
    Waiting,
    Running { granted: IssuedGrant, ends_at: u64 },
    Ended,
}

struct Request {
    tokens: Tokens,
    sent_at: u64,
    /// When the host last sent the request to its home.
    asked_at: Instant,
    state: State,
}

pub(crate) struct EntryHost {
    number: usize,
    name: HostId,
    pub(crate) home: usize,
    pub(crate) paused_until: u64,
    pub(crate) is_disconnected: bool,
    pub(crate) inbox: Vec<(usize, Option<HomeAnswer>)>,
    requests: IndexMap<RequestId, Request>,
    /// The attempts that this process dispatched.
    used: IndexSet<AttemptId>,
}

impl EntryHost {
    pub(crate) fn new(number: usize, name: HostId) -> Self {
        Self {
            number,
            name,
            home: 0,
            paused_until: 0,
            is_disconnected: false,
            inbox: Vec::new(),
            requests: IndexMap::new(),
            used: IndexSet::new(),
        }
    }

    pub(crate) fn send(&mut self, request: RequestId, tokens: Tokens, tick: u64, now: Instant) {
        let sent = Request {
            tokens,
            sent_at: tick,
            asked_at: now,
            state: State::Waiting,
        };
        self.requests.insert(request, sent);
    }

    pub(crate) fn is_gone(&self) -> bool {
        self.paused_until == u64::MAX
    }

    pub(crate) fn has_used(&self, attempt: AttemptId) -> bool {
        self.used.contains(&attempt)
    }

    pub(crate) fn is_reading(&self, attempt: AttemptId) -> bool {
        let is_running = |request: &Request| match &request.state {
            State::Running { granted, .. } => granted.attempt() == attempt,
            State::Waiting | State::Ended => false,
        };
        self.requests.values().any(is_running)
    }

    pub(crate) fn check_all_ended(&self) {
        for (id, request) in self.requests.iter().filter(|_| !self.is_gone()) {
            let has_ended = matches!(request.state, State::Ended);
            assert!(
                has_ended,
                "request {id} of host {} runs beyond its time limit",
                self.number
            );
        }
    }

    pub(crate) fn run_tick(&mut self, context: &mut HostContext<'_>) {
        if context.tick < self.paused_until {
            return;
        }
        for (home, answer) in std::mem::take(&mut self.inbox) {
            match answer {
                Some(answer) => self.on_answer(home, answer, context),
                None => self.announce(home, context),
            }
        }
        self.read_answers(context);
        if context.tick.is_multiple_of(REQUEST_TICKS) {
            self.send_requests(context);
        }
        if context.tick.is_multiple_of(ANNOUNCE_TICKS) {
            self.announce(self.home, context);
        }
    }

    fn on_answer(&mut self, home: usize, answer: HomeAnswer, context: &mut HostContext<'_>) {
        let granted = match answer.status {
            GrantStatus::Queued => return,
            GrantStatus::NotHome => {
                self.home = 1 - home;
                return;
            }
            GrantStatus::Refused { .. } => {
                if let Some(request) = self.requests.get_mut(&answer.request)
                    && matches!(request.state, State::Waiting)
                {
                    request.state = State::Ended;
                }
                return;
            }
            GrantStatus::Granted(granted) => granted,
        };
        let attempt = granted.attempt();
        // Only a process that knows that it did not use a grant may report that; an earlier process
        // of this host may have used the grant.
        let request = self.requests.get_mut(&answer.request);
        let Some(request) = request.filter(|_| !self.used.contains(&attempt)) else {
            return;
        };
        if !matches!(request.state, State::Waiting) {
            let event = finish_event(attempt, &self.name, AttemptOutcome::NotSent);
            context.outbox.push(Message::ToHome { home, event });
            return;
        }
        if !granted.is_fresh(request.asked_at, context.now) {
            return;
        }
        self.used.insert(attempt);
        let engine = &mut context.engines[&granted.upstreams[0]];
        engine.start(attempt, &self.name, request.tokens);
        let ends_at = context.tick + request.tokens.0 / 1_000;
        request.state = State::Running { granted, ends_at };
    }

    fn read_answers(&mut self, context: &mut HostContext<'_>) {
        let is_disconnected = std::mem::take(&mut self.is_disconnected);
        for request in self.requests.values_mut() {
            let State::Running { granted, ends_at } = &request.state else {
                continue;
            };
            let attempt = granted.attempt();
            let engine = &mut context.engines[&granted.upstreams[0]];
            let ended = if is_disconnected || !engine.held.contains_key(&attempt) {
                AttemptOutcome::Failed
            } else if *ends_at <= context.tick {
                AttemptOutcome::Completed
            } else if request.sent_at + LIMIT_TICKS <= context.tick {
                AttemptOutcome::Cancelled
            } else {
                continue;
            };
            if ended != AttemptOutcome::Failed {
                engine.held.swap_remove(&attempt);
            }
            request.state = State::Ended;
            let event = finish_event(attempt, &self.name, ended);
            context.outbox.push(Message::ToHome {
                home: self.home,
                event,
            });
        }
    }

    fn send_requests(&mut self, context: &mut HostContext<'_>) {
        for (id, request) in &mut self.requests {
            if !matches!(request.state, State::Waiting) {
                continue;
            }
            let from = self.name.clone();
            let event = if request.sent_at + LIMIT_TICKS <= context.tick {
                request.state = State::Ended;
                HomeEvent::Withdraw { from, request: *id }
            } else {
                request.asked_at = context.now;
                let work = work_of(*id, request, &from, context);
                HomeEvent::Request { from, work }
            };
            context.outbox.push(Message::ToHome {
                home: self.home,
                event,
            });
        }
    }

    fn announce(&self, home: usize, context: &mut HostContext<'_>) {
        let live = self.requests.iter().filter_map(|(id, request)| {
            let State::Running { granted, .. } = &request.state else {
                return None;
            };
            Some(LiveGrant {
                id: GrantId(granted.grant.0),
                work: work_of(*id, request, &self.name, context),
                upstreams: granted.upstreams.clone(),
            })
        });
        let event = HomeEvent::Announce {
            from: self.name.clone(),
            grants: live.collect(),
        };
        context.outbox.push(Message::ToHome { home, event });
    }
}

fn work_of(id: RequestId, request: &Request, from: &HostId, context: &HostContext<'_>) -> Work {
    let mut work = work(id.0, from, request.tokens.0, context.now);
    let left = (request.sent_at + LIMIT_TICKS).saturating_sub(context.tick);
    work.deadline = context.now + Duration::from_millis(250 * left);
    work
}
