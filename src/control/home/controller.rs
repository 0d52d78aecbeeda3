//! The state machine of the home of one pool.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::control::home::GrantStatus;
use crate::control::home::HomeAction;
use crate::control::home::HomeAnswer;
use crate::control::home::HomeConf;
use crate::control::home::HomeEvent;
use crate::control::home::IssuedGrant;
use crate::control::home::engine_table::EngineTable;
use crate::control::home::grant_ledger::GrantLedger;
use crate::control::home::grant_ledger::LedgerChange;
use crate::control::home::host_table::HostTable;
use crate::control::home::request_table::RequestEntry;
use crate::control::home::request_table::RequestState;
use crate::control::home::request_table::RequestTable;
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

/// How late grace periods, queries and cancels may be handled: a quarter of the shortest of them,
/// which is one second.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// The phase of a home between its takeover and its handover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The ledger may be incomplete.
    Rebuilding {
        since: Instant,
    },
    Serving,
    /// Another host is the home; requests are redirected.
    HandedOver,
}

/// The state machine of the home of one pool.
pub struct HomeController {
    pool: PoolId,
    policy: Box<dyn Policy>,
    conf: HomeConf,
    phase: Phase,
    hosts: HostTable,
    engines: EngineTable,
    requests: RequestTable,
    /// The work of the requests in the policy's queue.
    queued_work: IndexMap<RequestId, Work>,
    ledger: GrantLedger,
    /// The number of requests that were offered to the policy during the rebuild.
    rebuild_grants: usize,
    announcements_requested_at: Option<Instant>,
    /// The request being handled, whose decision goes into the reply and is not pushed.
    replying_to: Option<RequestId>,
    actions: Vec<HomeAction>,
}

impl HomeController {
    /// The controller of a home that has just taken over, with an empty ledger.
    pub fn new(pool: PoolId, policy: Box<dyn Policy>, conf: HomeConf, now: Instant) -> Self {
        Self {
            pool,
            policy,
            conf,
            phase: Phase::Rebuilding { since: now },
            hosts: HostTable::default(),
            engines: EngineTable::default(),
            requests: RequestTable::default(),
            queued_work: IndexMap::new(),
            ledger: GrantLedger::default(),
            rebuild_grants: 0,
            announcements_requested_at: None,
            replying_to: None,
            actions: Vec::new(),
        }
    }

    /// The pool that this home serves.
    pub fn pool(&self) -> &PoolId {
        &self.pool
    }

    /// Whether the ledger is still being rebuilt after a takeover.
    pub fn is_rebuilding(&self) -> bool {
        matches!(self.phase, Phase::Rebuilding { .. })
    }

    /// The grants that the policy counts as live.
    pub fn live_grants(&self) -> Vec<LiveGrant> {
        self.policy.live_grants()
    }

    /// The number of ledger entries.
    pub fn ledger_len(&self) -> usize {
        self.ledger.len()
    }

    /// The number of remembered requests.
    pub fn requests_len(&self) -> usize {
        self.requests.len()
    }

    /// The load of the pool.
    pub fn load(&self, now: Instant) -> PoolLoad {
        self.policy.load(now)
    }

    /// Applies the policy settings of a new manifest. Queued and running requests stay.
    pub fn set_config(&mut self, conf: &PolicyConfig, now: Instant) {
        self.policy.set_config(conf, now);
    }

    /// The time at which [`HomeEvent::Tick`] is due.
    pub fn next_wake(&self, now: Instant) -> Instant {
        let tick = now + TICK_INTERVAL;
        self.policy.next_wake().map_or(tick, |wake| wake.min(tick))
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(&mut self, event: HomeEvent, now: Instant) -> Vec<HomeAction> {
        if self.phase == Phase::HandedOver {
            return HomeAction::not_home(&event).into_iter().collect();
        }
        match event {
            HomeEvent::Request { from, work } => return self.handle_request(&from, work, now),
            HomeEvent::Announce { from, grants } => self.handle_announcement(&from, grants, now),
            HomeEvent::Finish { from, grant, done } => self.handle_finish(&from, grant, done, now),
            HomeEvent::Withdraw { from, request } => self.withdraw(&from, request, now),
            HomeEvent::HostDead(host) => self.hosts.set_dead(&host, now),
            HomeEvent::HostAlive(host) => self.hosts.set_alive(&host),
            HomeEvent::EngineListed {
                upstream,
                seq,
                running,
            } => self.handle_engine_list(&upstream, seq, &running, now),
            HomeEvent::CancelConfirmed { upstream, attempt } => {
                let changes = self.ledger.confirm_cancel(&upstream, attempt, now);
                self.apply_changes(changes, now);
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

    /// Adds a new request or refreshes a known one, and replies with its status.
    fn handle_request(&mut self, from: &HostId, work: Work, now: Instant) -> Vec<HomeAction> {
        let request = work.request;
        self.replying_to = Some(request);
        self.forget_unusable_grant(request);
        match self.requests.get_mut(request) {
            Some(entry) => {
                entry.asked_at = now;
                entry.host = from.clone();
                if let RequestState::Granted(granted) = &entry.state {
                    self.ledger.refresh(granted.grant, now);
                }
            }
            None => self.add_request(from, work, now),
        }
        self.decide(now);
        self.replying_to = None;
        let state = self.requests.get(request).map(|entry| &entry.state);
        let status = state.map_or(GrantStatus::Queued, RequestState::status);
        self.actions.push(HomeAction::Reply {
            to: from.clone(),
            answer: HomeAnswer { request, status },
        });
        std::mem::take(&mut self.actions)
    }

    /// Forgets the request of a grant that must not be used any more, so that the repeated request
    /// is decided anew. Such a grant is orphaned, or its host has not announced it and one of its
    /// upstreams is leaving.
    ///
    /// A host repeats a request if it has not received the grant or found the grant stale. By then
    /// an upstream of the grant may be leaving and must not get new work, or a cancel of the
    /// orphaned grant may be on its way and would end the attempt. The old grant stays in the
    /// ledger until its host or the engine has shown that the grant is not used, since the grant
    /// may have crossed the repeated request.
    fn forget_unusable_grant(&mut self, request: RequestId) {
        let Some(RequestState::Granted(granted)) =
            self.requests.get(request).map(|entry| &entry.state)
        else {
            return;
        };
        let grant = granted.grant;
        let is_live = granted.upstreams.iter().all(|id| self.engines.is_live(id));
        let is_leaving = !is_live && !self.ledger.is_announced(grant);
        if is_leaving || self.ledger.is_orphaned(grant) {
            self.requests.remove(request);
        }
    }

    /// Adds a new request, and offers it to the policy unless the ledger has to be rebuilt first.
    fn add_request(&mut self, from: &HostId, work: Work, now: Instant) {
        let request = work.request;
        let is_deferred = self.is_rebuilding() && !self.take_rebuild_grant(&work);
        let state = if is_deferred {
            RequestState::Deferred(work.clone())
        } else {
            RequestState::Queued
        };
        let entry = RequestEntry {
            host: from.clone(),
            asked_at: now,
            state,
        };
        self.requests.insert(request, entry);
        if !is_deferred {
            self.offer(work, now);
        }
    }

    /// Puts a request into the queue of the policy.
    fn offer(&mut self, work: Work, now: Instant) {
        self.queued_work.insert(work.request, work.clone());
        self.policy.offer(work, now);
    }

    /// Whether the request may be decided while the ledger is rebuilt; if so, the request is
    /// counted against the limit. The ledger may not count all held memory yet, but a few short
    /// requests nearly always fit, and their callers need not wait.
    fn take_rebuild_grant(&mut self, work: &Work) -> bool {
        let max = self.engines.live_count() * self.conf.rebuild_grants_per_upstream;
        let is_allowed = work.class() == LengthClass::Short && self.rebuild_grants < max;
        self.rebuild_grants += usize::from(is_allowed);
        is_allowed
    }

    fn handle_announcement(&mut self, from: &HostId, grants: Vec<LiveGrant>, now: Instant) {
        self.hosts.set_announced(from, now);
        let changes = self.ledger.apply_announcement(grants, now);
        self.apply_changes(changes, now);
    }

    /// Ends a grant that its holder reports as ended. The report of another host is ignored. After
    /// a failed attempt the grant is orphaned and its memory stays counted.
    fn handle_finish(&mut self, from: &HostId, grant: GrantId, done: AttemptSummary, now: Instant) {
        if self
            .ledger
            .holder(grant)
            .is_some_and(|holder| holder != from)
        {
            return;
        }
        self.requests.forget_grant(grant);
        // Memory that an engine may still hold is released only once the engine confirms it.
        if self.ledger.is_orphaned(grant) {
            return;
        }
        let ended = done.ended;
        let is_known = self.ledger.holder(grant).is_some();
        if is_known {
            self.policy.finish(grant, done, now);
        }
        if ended != AttemptOutcome::Failed {
            self.ledger.record_end(grant, true, now);
            return;
        }
        // The host has lost the stream, but the engine may go on with the attempt. The policy is
        // told of the failure at once; the memory stays counted until the engine has confirmed the
        // cancel.
        if let Some(orphan) = self.ledger.mark_orphaned(grant, now) {
            self.policy.adopt(orphan, now);
        }
    }

    /// Forgets a request of a host. A grant that the host has not announced ends with it.
    fn withdraw(&mut self, from: &HostId, request: RequestId, now: Instant) {
        let is_owner = |entry: &RequestEntry| entry.host == *from;
        if !self.requests.get(request).is_some_and(is_owner) {
            return;
        }
        let Some(entry) = self.requests.remove(request) else {
            return;
        };
        self.queued_work.swap_remove(&request);
        match entry.state {
            RequestState::Queued => self.policy.withdraw(request, now),
            // The withdrawal crossed the grant, which the host will not use.
            RequestState::Granted(granted) if !self.ledger.is_announced(granted.grant) => {
                if self.ledger.record_end(granted.grant, false, now) {
                    self.policy
                        .finish(granted.grant, unmeasured_end(AttemptOutcome::NotSent), now);
                }
            }
            RequestState::Deferred(_) | RequestState::Granted(_) | RequestState::Refused { .. } => {
            }
        }
    }

    fn handle_engine_list(
        &mut self,
        upstream: &UpstreamId,
        seq: u64,
        running: &[RunningAttempt],
        now: Instant,
    ) {
        let Some(asked_at) = self.engines.close_query(upstream, seq) else {
            return;
        };
        let grace = self.conf.announce_grace;
        let changes = self
            .ledger
            .apply_engine_list(upstream, running, asked_at, grace, now);
        self.apply_changes(changes, now);
    }

    fn set_upstreams(&mut self, upstreams: &[UpstreamInfo], now: Instant) {
        let removed = self.engines.replace(upstreams, now);
        self.policy.set_upstreams(upstreams, now);
        for upstream in removed {
            let changes = self.ledger.remove_upstream(&upstream, now);
            self.apply_changes(changes, now);
        }
    }

    /// Passes changes of the ledger on to the policy.
    fn apply_changes(&mut self, changes: Vec<LedgerChange>, now: Instant) {
        for change in changes {
            match change {
                LedgerChange::Adopt(grant) => self.policy.adopt(grant, now),
                LedgerChange::Remove(grant) => {
                    self.requests.forget_grant(grant);
                    self.policy
                        .finish(grant, unmeasured_end(AttemptOutcome::Cancelled), now);
                }
            }
        }
    }

    /// Withdraws requests that are no longer repeated, and forgets old refusals, ends and dead
    /// hosts.
    fn tick(&mut self, now: Instant) {
        for request in self.requests.abandoned_requests(self.conf.reask_grace, now) {
            let host = self.requests.get(request).map(|entry| entry.host.clone());
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
        self.hosts.forget_dead(conf.dead_host_memory, now, |host| {
            ledger.has_grants_of(host)
        });
    }

    /// Detects orphaned grants and starts or repeats the actions that are due: cancels, queries of
    /// engines and requests for announcements. Ends the rebuild if it is complete.
    fn reconcile(&mut self, now: Instant) {
        self.ledger.detect_orphans(&self.hosts, &self.conf, now);
        for (upstream, attempt) in self.ledger.start_cancels(self.conf.cancel_retry, now) {
            log::info!(
                "home: {}: cancel attempt {attempt} on {upstream}: no host waits for its answer",
                self.pool
            );
            self.actions.push(HomeAction::Cancel { upstream, attempt });
        }
        self.query_engines(now);
        self.request_announcements(now);
        self.end_rebuild(now);
    }

    fn query_engines(&mut self, now: Instant) {
        for (upstream, seq) in self.engines.start_queries(&self.conf, now) {
            self.actions
                .push(HomeAction::ListAttempts { upstream, seq });
        }
    }

    /// Requests announcements at most once per list interval: during the rebuild from the members
    /// that have never announced, later from the hosts of grants that were not announced for too
    /// long.
    fn request_announcements(&mut self, now: Instant) {
        let is_early = |at: Instant| now.duration_since(at) < self.conf.list_interval;
        if self.announcements_requested_at.is_some_and(is_early) {
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
        self.announcements_requested_at = Some(now);
        let request = |to| HomeAction::RequestAnnouncement { to };
        self.actions.extend(silent.into_iter().map(request));
    }

    /// Ends the rebuild once all engines and hosts have reported or its time is over, and offers
    /// the deferred requests to the policy.
    fn end_rebuild(&mut self, now: Instant) {
        let Phase::Rebuilding { since } = self.phase else {
            return;
        };
        let is_complete = self.engines.all_listed() && self.hosts.all_announced();
        if !is_complete && now.duration_since(since) < self.conf.rebuild_max {
            return;
        }
        self.phase = Phase::Serving;
        log::info!(
            "home: {}: ledger rebuilt, {} grants",
            self.pool,
            self.ledger.len()
        );
        for work in self.requests.deferred_work() {
            if let Some(entry) = self.requests.get_mut(work.request) {
                entry.state = RequestState::Queued;
            }
            self.offer(work, now);
        }
    }

    /// Records the decisions of the policy and pushes them to the hosts. The decision on the
    /// request being handled is not pushed, since it goes into the reply.
    fn decide(&mut self, now: Instant) {
        for decision in self.policy.poll(now) {
            match decision {
                Decision::Dispatch(grant) => self.issue_grant(&grant, now),
                Decision::Refuse {
                    request,
                    reason,
                    retry_after,
                } => {
                    self.queued_work.swap_remove(&request);
                    let state = RequestState::Refused {
                        reason,
                        retry_after,
                    };
                    self.requests.set_refused(request, state, now);
                    self.push_answer(request);
                }
            }
        }
    }

    /// Records a grant in the ledger and sends it to its host. The request being handled gets the
    /// grant in its reply, and nothing is pushed. If the request was withdrawn meanwhile, the grant
    /// ends at once as not sent and is not recorded.
    fn issue_grant(&mut self, grant: &Grant, now: Instant) {
        let Some(work) = self.queued_work.swap_remove(&grant.request) else {
            // The request was withdrawn while the policy decided.
            self.policy
                .finish(grant.id, unmeasured_end(AttemptOutcome::NotSent), now);
            return;
        };
        let live = LiveGrant {
            id: grant.id,
            work,
            upstreams: grant.upstreams.clone(),
        };
        self.ledger.insert(live, now);
        self.requests
            .set_granted(grant.request, IssuedGrant::from(grant));
        self.push_answer(grant.request);
    }

    /// Sends the answer to a request that was queued; the request being handled gets a reply.
    fn push_answer(&mut self, request: RequestId) {
        if self.replying_to == Some(request) {
            return;
        }
        let Some(entry) = self.requests.get(request) else {
            return;
        };
        let answer = HomeAnswer {
            request,
            status: entry.state.status(),
        };
        self.actions.push(HomeAction::Push {
            to: entry.host.clone(),
            answer,
        });
    }

    /// Redirects waiting requests to the next home. Granted work goes on, and its hosts announce it
    /// to the next home.
    fn hand_over(&mut self, now: Instant) -> Vec<HomeAction> {
        self.phase = Phase::HandedOver;
        let mut actions = std::mem::take(&mut self.actions);
        for (request, host) in self.requests.waiting_requests() {
            self.policy.withdraw(request, now);
            let status = GrantStatus::NotHome;
            let answer = HomeAnswer { request, status };
            actions.push(HomeAction::Push { to: host, answer });
        }
        self.queued_work.clear();
        actions
    }
}

/// The summary of an attempt whose end no host reported, so that there are no measurements.
fn unmeasured_end(ended: AttemptOutcome) -> AttemptSummary {
    AttemptSummary {
        ended,
        first_token: None,
        total: Duration::ZERO,
        prompt_tokens: Tokens::ZERO,
        cached_tokens: Tokens::ZERO,
        output_tokens: Tokens::ZERO,
    }
}
