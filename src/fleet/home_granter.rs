//! Requests grants from homes for the requests of this host.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use log::debug;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::clock::Clock;
use crate::control::home::GrantStatus;
use crate::control::home::HomeAnswer;
use crate::control::home::HomeEvent;
use crate::control::home::IssuedGrant;
use crate::control::home::wire;
use crate::decide::AttemptSummary;
use crate::decide::LiveGrant;
use crate::decide::RefuseReason;
use crate::decide::Work;
use crate::entry::GrantAnswer;
use crate::entry::Granter;
use crate::entry::HeldGrant;
use crate::fleet::GrantWaiters;
use crate::fleet::HomeDirectory;
use crate::fleet::HomeRunner;
use crate::fleet::LiveGrants;
use crate::peer::Message;
use crate::peer::PeerTransport;
use crate::settings::PolicyName;
use crate::units::GrantId;
use crate::units::HostId;
use crate::units::PoolId;
use crate::units::RequestId;
use crate::units::TargetId;

/// How long a candidate may take to reply: a hundred round trips inside a failure domain. This
/// bounds the delay that a frozen home adds to a request.
const REPLY_TIMEOUT: Duration = Duration::from_millis(250);

/// The interval at which a queued request asks its home again. A home that died since then is
/// noticed because it does not reply.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);

/// The pause after a round in which no candidate was the home. The views of hosts differ for a
/// short time after a change.
const ROUND_PAUSE: Duration = Duration::from_millis(100);

/// The time after which a caller should retry if no pool serves the target.
const RETRY_AFTER_NO_POOL: Duration = Duration::from_secs(2);

/// Requests grants from homes, and keeps those that have not ended.
pub struct HomeGranter {
    clock: Arc<dyn Clock>,
    host: HostId,
    peers: Arc<dyn PeerTransport>,
    home_directory: Arc<dyn HomeDirectory>,
    homes: Arc<HomeRunner>,
    waiters: Arc<GrantWaiters>,
    policy: PolicyName,
    live_grants: Arc<LiveGrants>,
}

/// The dependencies of a [`HomeGranter`].
pub struct HomeGranterParts {
    /// The clock of this host.
    pub clock: Arc<dyn Clock>,
    /// The id of this host.
    pub host: HostId,
    /// The transport to other hosts.
    pub peers: Arc<dyn PeerTransport>,
    /// The directory of pools and their homes.
    pub home_directory: Arc<dyn HomeDirectory>,
    /// The homes on this host.
    pub homes: Arc<HomeRunner>,
    /// The requests of this host that wait for a decision.
    pub waiters: Arc<GrantWaiters>,
    /// The live grants of this host.
    pub live_grants: Arc<LiveGrants>,
    /// The policy by which homes decide. With a baseline policy only this host is asked.
    pub policy: PolicyName,
}

/// The result of asking one candidate.
enum CandidateReply {
    Status(GrantStatus),
    /// The candidate did not reply, or its reply was not valid.
    NoReply,
}

/// How the wait of a queued request ended.
enum WaitOutcome {
    Decided(GrantStatus),
    /// The candidate is no longer the home or does not reply, so that all candidates have to be
    /// asked again.
    HomeLost,
}

impl HomeGranter {
    /// A granter with the given dependencies. It keeps its grants in `parts.live_grants`.
    pub fn new(parts: HomeGranterParts) -> Self {
        Self {
            clock: parts.clock,
            host: parts.host,
            peers: parts.peers,
            home_directory: parts.home_directory,
            homes: parts.homes,
            waiters: parts.waiters,
            policy: parts.policy,
            live_grants: parts.live_grants,
        }
    }

    /// Announces all live grants of this host, those of each pool to the first candidate of the
    /// pool only. A new home learns from the announcement which grants an earlier home has issued;
    /// a home that knows the grants keeps them. No reply is awaited.
    pub fn announce_grants(&self) {
        for (pool, grants) in self.live_grants.by_pool() {
            if let Some(home) = self.candidates(&pool).into_iter().next() {
                self.send_announcement(&pool, grants, &home);
            }
        }
    }

    /// Announces the live grants of one pool to a host that asked for them.
    pub fn announce_pool_grants(&self, pool: &PoolId, to: &HostId) {
        let grants = self.live_grants.for_pool(pool);
        self.send_announcement(pool, grants, to);
    }

    /// The number of grants that have not ended.
    pub fn live_count(&self) -> usize {
        self.live_grants.count()
    }

    /// Sends the live grants of one pool to a host. A home on this host is called directly.
    fn send_announcement(&self, pool: &PoolId, grants: Vec<LiveGrant>, to: &HostId) {
        if *to == self.host {
            self.homes.handle(
                pool,
                HomeEvent::Announce {
                    from: self.host.clone(),
                    grants,
                },
            );
        } else {
            let announce = wire::encode_announce(pool, &grants, self.clock.now());
            self.peers.send(to, Message::Announce(announce));
        }
    }

    /// The hosts to ask for a grant in turn: the first two candidates of the pool, then this host.
    /// A host that reaches no home decides by itself, within the small share of the capacity that a
    /// home without a ledger grants. With a baseline policy this host is the only candidate.
    fn candidates(&self, pool: &PoolId) -> Vec<HostId> {
        if self.policy != PolicyName::Shipped {
            return vec![self.host.clone()];
        }
        let mut hosts: Vec<HostId> = self
            .home_directory
            .candidates(pool)
            .into_iter()
            .take(2)
            .collect();
        if !hosts.contains(&self.host) {
            hosts.push(self.host.clone());
        }
        hosts
    }

    /// Asks the pools of a target in turn, until one grants the request or refuses it for a reason
    /// that holds in every pool.
    async fn request_grant(&self, target: &TargetId, work: &Work) -> GrantAnswer {
        let pools = self
            .home_directory
            .pools_for_target(target, pool_rotation(work));
        let mut refused = GrantAnswer::Refused {
            reason: RefuseReason::NoUpstream,
            retry_after: RETRY_AFTER_NO_POOL,
        };
        for pool in &pools {
            let answer = self.request_grant_in_pool(pool, work).await;
            match &answer {
                GrantAnswer::Refused { reason, .. } if is_specific_to_pool(*reason) => {
                    refused = answer;
                }
                _ => return answer,
            }
        }
        refused
    }

    /// Asks the candidates of one pool in rounds until the request is granted or refused. A
    /// candidate that does not reply is reported to the membership. If the future is dropped, the
    /// request is withdrawn.
    async fn request_grant_in_pool(&self, pool: &PoolId, work: &Work) -> GrantAnswer {
        let mut pushes = self.waiters.register(work.request);
        let mut withdrawal = Withdrawal {
            granter: self,
            pool,
            home: None,
            work,
        };
        loop {
            for candidate in self.candidates(pool) {
                let status = match self.ask(&candidate, pool, work).await {
                    CandidateReply::Status(GrantStatus::NotHome) => continue,
                    CandidateReply::NoReply => {
                        self.home_directory.report_unresponsive(&candidate);
                        continue;
                    }
                    CandidateReply::Status(status) => status,
                };
                withdrawal.home = Some(candidate.clone());
                let outcome = match status {
                    GrantStatus::Queued => {
                        self.wait_for_decision(&mut pushes, &candidate, pool, work)
                            .await
                    }
                    decided => WaitOutcome::Decided(decided),
                };
                match outcome {
                    WaitOutcome::Decided(GrantStatus::Granted(granted)) => {
                        withdrawal.home = None;
                        return self.hold_grant(pool, granted, work);
                    }
                    WaitOutcome::Decided(GrantStatus::Refused {
                        reason,
                        retry_after,
                    }) => {
                        withdrawal.home = None;
                        return GrantAnswer::Refused {
                            reason,
                            retry_after,
                        };
                    }
                    WaitOutcome::Decided(_) | WaitOutcome::HomeLost => break,
                }
            }
            tokio::time::sleep(ROUND_PAUSE).await;
        }
    }

    /// Waits until the home pushes the decision on a queued request, and asks the home again at
    /// regular intervals.
    async fn wait_for_decision(
        &self,
        pushes: &mut mpsc::UnboundedReceiver<HomeAnswer>,
        candidate: &HostId,
        pool: &PoolId,
        work: &Work,
    ) -> WaitOutcome {
        loop {
            let asked_at = self.clock.now();
            let pushed = timeout(REPEAT_INTERVAL, pushes.recv()).await;
            if let Ok(Some(answer)) = pushed
                && !self.is_stale(&answer.status, asked_at)
            {
                return WaitOutcome::Decided(answer.status);
            }
            match self.ask(candidate, pool, work).await {
                CandidateReply::Status(GrantStatus::Queued) => {}
                CandidateReply::Status(GrantStatus::NotHome) => return WaitOutcome::HomeLost,
                CandidateReply::Status(status) => return WaitOutcome::Decided(status),
                CandidateReply::NoReply => {
                    self.home_directory.report_unresponsive(candidate);
                    return WaitOutcome::HomeLost;
                }
            }
        }
    }

    /// Asks a candidate, and asks again while the reply is a stale grant, as after a pause of this
    /// host.
    async fn ask(&self, candidate: &HostId, pool: &PoolId, work: &Work) -> CandidateReply {
        loop {
            let asked_at = self.clock.now();
            match self.ask_once(candidate, pool, work).await {
                CandidateReply::Status(status) if self.is_stale(&status, asked_at) => {}
                reply => return reply,
            }
        }
    }

    /// Whether so much time has passed since the home was asked that it may have given up the
    /// grant.
    fn is_stale(&self, status: &GrantStatus, asked_at: Instant) -> bool {
        let GrantStatus::Granted(granted) = status else {
            return false;
        };
        !granted.is_fresh(asked_at, self.clock.now())
    }

    /// Asks a candidate once; this host's own home is called directly.
    async fn ask_once(&self, candidate: &HostId, pool: &PoolId, work: &Work) -> CandidateReply {
        if *candidate == self.host {
            let event = HomeEvent::Request {
                from: self.host.clone(),
                work: work.clone(),
            };
            let answer = self.homes.handle(pool, event);
            return answer.map_or(CandidateReply::NoReply, |answer| {
                CandidateReply::Status(answer.status)
            });
        }
        let request = wire::encode_request(pool, work, self.clock.now());
        let reply = self
            .peers
            .request(candidate, Message::GrantRequest(request), REPLY_TIMEOUT);
        match reply.await {
            Ok(Message::GrantReply(reply)) => match wire::decode_answer(&reply) {
                Ok((_, answer)) => CandidateReply::Status(answer.status),
                Err(err) => {
                    debug!("homes: invalid reply of {candidate} for {pool}: {err}");
                    CandidateReply::NoReply
                }
            },
            Ok(_) => CandidateReply::NoReply,
            Err(err) => {
                debug!("homes: no reply of {candidate} for {pool}: {err}");
                CandidateReply::NoReply
            }
        }
    }

    /// Adds an issued grant to the live grants of this host, and returns the answer for the caller.
    fn hold_grant(&self, pool: &PoolId, granted: IssuedGrant, work: &Work) -> GrantAnswer {
        let live = LiveGrant {
            id: granted.grant,
            work: work.clone(),
            upstreams: granted.upstreams.clone(),
        };
        self.live_grants.insert(pool, live);
        GrantAnswer::Granted(Box::new(HeldGrant {
            pool: pool.clone(),
            grant: granted.grant,
            upstreams: granted.upstreams,
            waited: granted.waited,
            why: granted.why,
            work: work.clone(),
        }))
    }

    /// Reports to a home that a grant has ended. A home on this host is called directly.
    fn send_finish(&self, to: &HostId, pool: &PoolId, grant: GrantId, done: AttemptSummary) {
        if *to == self.host {
            let from = self.host.clone();
            self.homes
                .handle(pool, HomeEvent::Finish { from, grant, done });
        } else {
            self.peers
                .send(to, Message::Finish(wire::encode_finish(pool, grant, &done)));
        }
    }

    /// Withdraws a request from a home. A home on this host is called directly.
    fn send_withdraw(&self, to: &HostId, pool: &PoolId, request: RequestId) {
        if *to == self.host {
            let from = self.host.clone();
            self.homes
                .handle(pool, HomeEvent::Withdraw { from, request });
        } else {
            self.peers
                .send(to, Message::Withdraw(wire::encode_withdraw(pool, request)));
        }
    }
}

impl Granter for HomeGranter {
    fn request_grant(&self, target: TargetId, work: Work) -> BoxFuture<'_, GrantAnswer> {
        async move { self.request_grant(&target, &work).await }.boxed()
    }

    fn finish(&self, held: &HeldGrant, done: AttemptSummary) {
        self.live_grants.remove(held.grant);
        if let Some(home) = self.candidates(&held.pool).first() {
            self.send_finish(home, &held.pool, held.grant, done);
        }
    }
}

/// A guard of a request that asks for a grant. When dropped, it removes the request from the
/// waiters, and withdraws it from `home` if there is one.
struct Withdrawal<'a> {
    granter: &'a HomeGranter,
    pool: &'a PoolId,
    /// The home where the request may be queued; none before a home replied and after the decision.
    home: Option<HostId>,
    work: &'a Work,
}

impl Drop for Withdrawal<'_> {
    fn drop(&mut self) {
        self.granter.waiters.unregister(self.work.request);
        if let Some(home) = &self.home {
            self.granter
                .send_withdraw(home, self.pool, self.work.request);
        }
    }
}

/// The rotation of the pools for a request. Requests whose prompts share the first prefix get the
/// same rotation; a request without a prefix gets a rotation by its id.
fn pool_rotation(work: &Work) -> u64 {
    let prefix = work.prefixes.first().map(|(hash, _)| hash.0);
    let hash = prefix.unwrap_or(work.request.0);
    u64::try_from(hash >> u64::BITS).unwrap_or(0)
}

/// Whether a refusal holds for one pool only, so that another pool may grant the request.
fn is_specific_to_pool(reason: RefuseReason) -> bool {
    matches!(
        reason,
        RefuseReason::NoUpstream
            | RefuseReason::TooLarge
            | RefuseReason::QueueFull
            | RefuseReason::Deadline
    )
}
