//! The state machine of a home.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::control::home::GrantStatus;
use crate::control::home::HomeAction;
use crate::control::home::HomeAnswer;
use crate::control::home::HomeConf;
use crate::control::home::HomeEvent;
use crate::control::home::IssuedGrant;
use crate::control::home::engines::Engines;
use crate::control::home::hosts::Hosts;
use crate::control::home::ledger::Change;
use crate::control::home::ledger::Ledger;
use crate::control::home::requests::Asked;
use crate::control::home::requests::Requests;
use crate::control::home::requests::Standing;
use crate::decide::AttemptOutcome;
use crate::decide::AttemptSummary;
use crate::decide::Decision;
use crate::decide::Grant;
use crate::decide::LengthClass;
use crate::decide::LiveGrant;
use crate::decide::Policy;
use crate::decide::PolicyConfig;
use crate::decide::PoolLoad;
use crate::decide::UpstreamInfo;
use crate::decide::Work;
use crate::units::GrantId;
use crate::units::HostId;
use crate::units::PoolId;
use crate::units::RequestId;
use crate::units::Tokens;
use crate::units::UpstreamId;
use crate::upstream::RunningAttempt;

/// How late the graces, lists and cancels may be; a fourth of the shortest of them.
const TICK: Duration = Duration::from_millis(250);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The ledger is not known to be complete.
    Rebuilding {
        since: Instant,
    },
    Serving,
    HandedOver,
}

/// The home of one pool.
pub struct HomeController {
    pool: PoolId,
    policy: Box<dyn Policy>,
    conf: HomeConf,
    phase: Phase,
    hosts: Hosts,
    engines: Engines,
    requests: Requests,
    works: IndexMap<RequestId, Work>,
    ledger: Ledger,
    rebuild_grants: usize,
    asked_hosts_at: Option<Instant>,
    replying_to: Option<RequestId>,
    actions: Vec<HomeAction>,
}

impl HomeController {
    /// A home that has just taken over, with an empty ledger.
    pub fn new(pool: PoolId, policy: Box<dyn Policy>, conf: HomeConf, now: Instant) -> Self {
        Self {
            pool,
            policy,
            conf,
            phase: Phase::Rebuilding { since: now },
            hosts: Hosts::default(),
            engines: Engines::default(),
            requests: Requests::default(),
            works: IndexMap::new(),
            ledger: Ledger::default(),
            rebuild_grants: 0,
            asked_hosts_at: None,
            replying_to: None,
            actions: Vec::new(),
        }
    }

    /// The pool.
    pub fn pool(&self) -> &PoolId {
        &self.pool
    }

    /// Whether the ledger is still being rebuilt after a take-over.
    pub fn is_rebuilding(&self) -> bool {
        matches!(self.phase, Phase::Rebuilding { .. })
    }

    /// The grants that have not ended, as the policy counts them.
    pub fn live_grants(&self) -> Vec<LiveGrant> {
        self.policy.live_grants()
    }

    /// How many ledger entries there are.
    pub fn ledger_len(&self) -> usize {
        self.ledger.len()
    }

    /// How many requests are remembered.
    pub fn requests_len(&self) -> usize {
        self.requests.len()
    }

    /// The pool's load.
    pub fn load(&self, now: Instant) -> PoolLoad {
        self.policy.load(now)
    }

    /// Takes in a new manifest; what waits and what runs stays.
    pub fn set_config(&mut self, conf: &PolicyConfig, now: Instant) {
        self.policy.set_config(conf, now);
    }

    /// When [`HomeEvent::Tick`] is due.
    pub fn next_wake(&self, now: Instant) -> Instant {
        let tick = now + TICK;
        self.policy.next_wake().map_or(tick, |wake| wake.min(tick))
    }

    /// Takes in an event and returns what is to be done.
    pub fn handle(&mut self, event: HomeEvent, now: Instant) -> Vec<HomeAction> {
        if self.phase == Phase::HandedOver {
            return HomeAction::not_home(&event).into_iter().collect();
        }
        match event {
            HomeEvent::Request { from, work } => return self.request(&from, work, now),
            HomeEvent::Announce { from, grants } => self.announce(&from, grants, now),
            HomeEvent::Finish { from, grant, done } => self.finish(&from, grant, done, now),
            HomeEvent::Withdraw { from, request } => self.withdraw(&from, request, now),
            HomeEvent::HostDead(host) => self.hosts.set_dead(&host, now),
            HomeEvent::HostAlive(host) => self.hosts.set_alive(&host),
            HomeEvent::EngineListed {
                upstream,
                seq,
                running,
            } => self.listed(&upstream, seq, &running, now),
            HomeEvent::CancelConfirmed { upstream, attempt } => {
                let changes = self.ledger.cancelled(&upstream, attempt, now);
                self.apply(changes, now);
            }
            HomeEvent::Upstreams(upstreams) => self.set_upstreams(&upstreams, now),
            HomeEvent::LoadReport { upstream, report } => {
                self.policy.on_load_report(&upstream, &report, now);
            }
            HomeEvent::CacheEvents { upstream, events } => {
                self.policy.on_cache_events(&upstream, &events, now);
            }
            HomeEvent::HandOver => return self.hand_over(now),
            HomeEvent::Tick => self.tick(now),
        }
        self.reconcile(now);
        self.decide(now);
        std::mem::take(&mut self.actions)
    }

    fn request(&mut self, from: &HostId, work: Work, now: Instant) -> Vec<HomeAction> {
        let request = work.request;
        self.replying_to = Some(request);
        self.void_if_unusable(request);
        match self.requests.get_mut(request) {
            Some(asked) => {
                asked.asked_at = now;
                asked.host = from.clone();
                if let Standing::Granted(granted) = &asked.standing {
                    self.ledger.touch(granted.grant, now);
                }
            }
            None => self.take_in(from, work, now),
        }
        self.decide(now);
        self.replying_to = None;
        let standing = self.requests.get(request).map(|asked| &asked.standing);
        let status = standing.map_or(GrantStatus::Queued, Standing::verdict);
        self.actions.push(HomeAction::Reply {
            to: from.clone(),
            answer: HomeAnswer { request, status },
        });
        std::mem::take(&mut self.actions)
    }

    /// A host that asks again has not got its grant, or found it stale. By now the upstream may be
    /// leaving and must not get new work; or the home has given the grant up, and a cancel that is
    /// on its way would end the attempt. Both get a new grant. The old one goes on counting until
    /// its host or the engine has shown that it is not used: the question may have crossed it.
    fn void_if_unusable(&mut self, request: RequestId) {
        let Some(Standing::Granted(granted)) =
            self.requests.get(request).map(|asked| &asked.standing)
        else {
            return;
        };
        let grant = granted.grant;
        let may_work = granted.upstreams.iter().all(|id| self.engines.may_work(id));
        let is_leaving = !may_work && !self.ledger.is_announced(grant);
        if is_leaving || self.ledger.is_disowned(grant) {
            self.requests.remove(request);
        }
    }

    fn take_in(&mut self, from: &HostId, work: Work, now: Instant) {
        let request = work.request;
        let is_held = self.is_rebuilding() && !self.may_grant_early(&work);
        let standing = if is_held {
            Standing::Held(work.clone())
        } else {
            Standing::Waiting
        };
        let asked = Asked {
            host: from.clone(),
            asked_at: now,
            standing,
        };
        self.requests.insert(request, asked);
        if !is_held {
            self.offer(work, now);
        }
    }

    fn offer(&mut self, work: Work, now: Instant) {
        self.works.insert(work.request, work.clone());
        self.policy.offer(work, now);
    }

    /// While the ledger is rebuilt, memory may be taken that is not counted yet. A few short
    /// requests fit beside it nearly always and keep callers from waiting.
    fn may_grant_early(&mut self, work: &Work) -> bool {
        let share = self.engines.live_count() * self.conf.rebuild_grants_per_upstream;
        let may = work.class() == LengthClass::Short && self.rebuild_grants < share;
        self.rebuild_grants += usize::from(may);
        may
    }

    fn announce(&mut self, from: &HostId, grants: Vec<LiveGrant>, now: Instant) {
        self.hosts.set_announced(from, now);
        let changes = self.ledger.announced(grants, now);
        self.apply(changes, now);
    }

    fn finish(&mut self, from: &HostId, grant: GrantId, done: AttemptSummary, now: Instant) {
        if self
            .ledger
            .holder(grant)
            .is_some_and(|holder| holder != from)
        {
            return;
        }
        self.requests.forget_grant(grant);
        // What an engine may still hold ends by the engine's word only.
        if self.ledger.is_disowned(grant) {
            return;
        }
        let ended = done.ended;
        let is_known = self.ledger.holder(grant).is_some();
        if is_known {
            self.policy.finish(grant, done, now);
        }
        if ended != AttemptOutcome::Failed {
            self.ledger.end(grant, true, now);
            return;
        }
        // The host has lost the stream but the engine may go on with it. The policy hears of the
        // failure at once; the memory stays counted until the engine has confirmed the cancel.
        if let Some(held) = self.ledger.disown(grant, now) {
            self.policy.adopt(held, now);
        }
    }

    fn withdraw(&mut self, from: &HostId, request: RequestId, now: Instant) {
        let is_owner = |asked: &Asked| asked.host == *from;
        if !self.requests.get(request).is_some_and(is_owner) {
            return;
        }
        let Some(asked) = self.requests.remove(request) else {
            return;
        };
        self.works.swap_remove(&request);
        match asked.standing {
            Standing::Waiting => self.policy.withdraw(request, now),
            // The withdrawal crossed the grant: the host will not use it.
            Standing::Granted(granted) if !self.ledger.is_announced(granted.grant) => {
                if self.ledger.end(granted.grant, false, now) {
                    self.policy
                        .finish(granted.grant, ended_unseen(AttemptOutcome::NotSent), now);
                }
            }
            Standing::Held(_) | Standing::Granted(_) | Standing::Refused { .. } => (),
        }
    }

    fn listed(
        &mut self,
        upstream: &UpstreamId,
        seq: u64,
        running: &[RunningAttempt],
        now: Instant,
    ) {
        let Some(asked_at) = self.engines.answered(upstream, seq) else {
            return;
        };
        let grace = self.conf.announce_grace;
        let changes = self.ledger.listed(upstream, running, asked_at, grace, now);
        self.apply(changes, now);
    }

    fn set_upstreams(&mut self, upstreams: &[UpstreamInfo], now: Instant) {
        let gone = self.engines.set(upstreams, now);
        self.policy.set_upstreams(upstreams, now);
        for gone in gone {
            let changes = self.ledger.upstream_gone(&gone, now);
            self.apply(changes, now);
        }
    }

    fn apply(&mut self, changes: Vec<Change>, now: Instant) {
        for change in changes {
            match change {
                Change::Adopt(grant) => self.policy.adopt(grant, now),
                Change::Drop(grant) => {
                    self.requests.forget_grant(grant);
                    self.policy
                        .finish(grant, ended_unseen(AttemptOutcome::Cancelled), now);
                }
            }
        }
    }

    fn tick(&mut self, now: Instant) {
        for request in self.requests.abandoned(self.conf.reask_grace, now) {
            let host = self.requests.get(request).map(|asked| asked.host.clone());
            if let Some(host) = host {
                self.withdraw(&host, request, now);
            }
        }
        let conf = &self.conf;
        self.requests
            .forget_refused(conf.refused_memory, conf.refused_max, now);
        self.ledger
            .forget_ended(conf.ended_memory, conf.ended_max, now);
        let ledger = &self.ledger;
        self.hosts
            .forget_dead(conf.dead_host_memory, now, |host| ledger.holds_any_of(host));
    }

    fn reconcile(&mut self, now: Instant) {
        self.ledger.disown_unowned(&self.hosts, &self.conf, now);
        for (upstream, attempt) in self.ledger.due_cancels(self.conf.cancel_retry, now) {
            log::info!(
                "home: {}: cancel {attempt} on {upstream}, nobody waits for it",
                self.pool
            );
            self.actions.push(HomeAction::Cancel { upstream, attempt });
        }
        self.ask_engines(now);
        self.ask_hosts(now);
        self.end_rebuilding(now);
    }

    fn ask_engines(&mut self, now: Instant) {
        for (upstream, seq) in self.engines.due(&self.conf, now) {
            self.actions
                .push(HomeAction::ListAttempts { upstream, seq });
        }
    }

    fn ask_hosts(&mut self, now: Instant) {
        let is_early = |at: Instant| now.duration_since(at) < self.conf.list_interval;
        if self.asked_hosts_at.is_some_and(is_early) {
            return;
        }
        let silent = if self.is_rebuilding() {
            self.hosts.silent_members()
        } else {
            self.ledger.silent_hosts(self.conf.announce_grace, now)
        };
        if silent.is_empty() {
            return;
        }
        self.asked_hosts_at = Some(now);
        let ask = |to| HomeAction::RequestAnnouncement { to };
        self.actions.extend(silent.into_iter().map(ask));
    }

    fn end_rebuilding(&mut self, now: Instant) {
        let Phase::Rebuilding { since } = self.phase else {
            return;
        };
        let is_whole = self.engines.all_listed() && self.hosts.all_announced();
        if !is_whole && now.duration_since(since) < self.conf.rebuild_max {
            return;
        }
        self.phase = Phase::Serving;
        log::info!(
            "home: {}: ledger rebuilt, {} grants",
            self.pool,
            self.ledger.len()
        );
        for work in self.requests.held() {
            if let Some(asked) = self.requests.get_mut(work.request) {
                asked.standing = Standing::Waiting;
            }
            self.offer(work, now);
        }
    }

    fn decide(&mut self, now: Instant) {
        for decision in self.policy.poll(now) {
            match decision {
                Decision::Dispatch(grant) => self.granted(&grant, now),
                Decision::Refuse {
                    request,
                    reason,
                    retry_after,
                } => {
                    self.works.swap_remove(&request);
                    let standing = Standing::Refused {
                        reason,
                        retry_after,
                    };
                    self.requests.set_refused(request, standing, now);
                    self.push(request);
                }
            }
        }
    }

    fn granted(&mut self, grant: &Grant, now: Instant) {
        let Some(work) = self.works.swap_remove(&grant.request) else {
            // Withdrawn while the policy decided.
            self.policy
                .finish(grant.id, ended_unseen(AttemptOutcome::NotSent), now);
            return;
        };
        let live = LiveGrant {
            id: grant.id,
            work,
            upstreams: grant.upstreams.clone(),
        };
        self.ledger.grant(live, now);
        self.requests
            .set_granted(grant.request, IssuedGrant::from(grant));
        self.push(grant.request);
    }

    fn push(&mut self, request: RequestId) {
        if self.replying_to == Some(request) {
            return;
        }
        let Some(asked) = self.requests.get(request) else {
            return;
        };
        let answer = HomeAnswer {
            request,
            status: asked.standing.verdict(),
        };
        self.actions.push(HomeAction::Push {
            to: asked.host.clone(),
            answer,
        });
    }

    /// Sends those that wait to the next home. Granted work goes on: its hosts announce it there.
    fn hand_over(&mut self, now: Instant) -> Vec<HomeAction> {
        self.phase = Phase::HandedOver;
        let mut actions = std::mem::take(&mut self.actions);
        for (request, host) in self.requests.all_waiting() {
            self.policy.withdraw(request, now);
            let status = GrantStatus::NotHome;
            let answer = HomeAnswer { request, status };
            actions.push(HomeAction::Push { to: host, answer });
        }
        self.works.clear();
        actions
    }
}

/// An end that no host told of, so nothing was measured.
fn ended_unseen(ended: AttemptOutcome) -> AttemptSummary {
    AttemptSummary {
        ended,
        first_token: None,
        total: Duration::ZERO,
        prompt_tokens: Tokens::ZERO,
        cached_tokens: Tokens::ZERO,
        output_tokens: Tokens::ZERO,
    }
}
