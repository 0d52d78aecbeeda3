//! Asks homes for grants.

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
use crate::fleet::HomeDesk;
use crate::fleet::HomeMap;
use crate::fleet::LiveGrants;
use crate::peer::Message;
use crate::peer::Peers;
use crate::settings::PolicyName;
use crate::units::GrantId;
use crate::units::HostId;
use crate::units::PoolId;
use crate::units::RequestId;
use crate::units::TargetId;

/// How long a home may take to say anything: a hundred round trips inside a failure domain. A home
/// that is frozen is found out by this and costs a short question no more than this.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);

/// How often a request that waits asks again, which also finds out a home that died meanwhile.
const ASK_AGAIN: Duration = Duration::from_millis(500);

/// The pause when every candidate was asked and none is the home: views differ for a moment.
const ROUND_PAUSE: Duration = Duration::from_millis(100);

/// When to come back where no pool serves the target.
const RETRY_AFTER_NO_POOL: Duration = Duration::from_secs(2);

/// Asks homes for grants and remembers the ones that have not ended.
pub struct HomeGranter {
    clock: Arc<dyn Clock>,
    host: HostId,
    peers: Arc<dyn Peers>,
    map: Arc<dyn HomeMap>,
    desk: Arc<HomeDesk>,
    waiters: Arc<GrantWaiters>,
    policy: PolicyName,
    live: Arc<LiveGrants>,
}

/// What a granter works with.
pub struct HomeGranterParts {
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// This host.
    pub host: HostId,
    /// Other hosts.
    pub peers: Arc<dyn Peers>,
    /// Which hosts are homes.
    pub map: Arc<dyn HomeMap>,
    /// The homes on this host.
    pub desk: Arc<HomeDesk>,
    /// Requests that wait.
    pub waiters: Arc<GrantWaiters>,
    /// The grants that this host holds.
    pub live: Arc<LiveGrants>,
    /// The decisions; baselines decide on this host alone.
    pub policy: PolicyName,
}

/// What one candidate said.
enum Asked {
    Said(GrantStatus),
    Silent,
}

/// How the waiting for a decision ended.
enum Waited {
    Decided(GrantStatus),
    AskAgain,
}

impl HomeGranter {
    /// A granter without live grants.
    pub fn new(parts: HomeGranterParts) -> Self {
        Self {
            clock: parts.clock,
            host: parts.host,
            peers: parts.peers,
            map: parts.map,
            desk: parts.desk,
            waiters: parts.waiters,
            policy: parts.policy,
            live: parts.live,
        }
    }

    /// Announces the live grants to the homes of their pools. A home that has taken over learns
    /// from it what an earlier one has granted; one that knows them keeps them.
    pub fn announce(&self) {
        for (pool, grants) in self.live.by_pool() {
            if let Some(home) = self.candidates(&pool).into_iter().next() {
                self.announce_to(&pool, grants, &home);
            }
        }
    }

    /// Announces the live grants of one pool to a host that asked for them.
    pub fn announce_pool(&self, pool: &PoolId, to: &HostId) {
        let grants = self.live.of_pool(pool);
        self.announce_to(pool, grants, to);
    }

    /// How many grants have not ended.
    pub fn live_count(&self) -> usize {
        self.live.count()
    }

    fn announce_to(&self, pool: &PoolId, grants: Vec<LiveGrant>, to: &HostId) {
        if *to == self.host {
            self.desk.handle(
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

    /// The candidates, and this host behind them: a host that reaches no home decides alone, within
    /// the small share that a home without a ledger grants.
    fn candidates(&self, pool: &PoolId) -> Vec<HostId> {
        if self.policy != PolicyName::Shipped {
            return vec![self.host.clone()];
        }
        let mut hosts: Vec<HostId> = self.map.candidates(pool).into_iter().take(2).collect();
        if !hosts.contains(&self.host) {
            hosts.push(self.host.clone());
        }
        hosts
    }

    async fn decide(&self, target: &TargetId, work: &Work) -> GrantAnswer {
        let pools = self.map.pools_of(target, spread_of(work));
        let mut refused = GrantAnswer::Refused {
            reason: RefuseReason::NoUpstream,
            retry_after: RETRY_AFTER_NO_POOL,
        };
        for pool in &pools {
            let answer = self.decide_in(pool, work).await;
            match &answer {
                GrantAnswer::Refused { reason, .. } if is_of_pool(*reason) => refused = answer,
                _ => return answer,
            }
        }
        refused
    }

    /// Asks the home of one pool until there is a decision.
    async fn decide_in(&self, pool: &PoolId, work: &Work) -> GrantAnswer {
        let mut pushes = self.waiters.wait(work.request);
        let mut withdrawal = Withdrawal {
            granter: self,
            pool,
            asked: None,
            work,
        };
        loop {
            for candidate in self.candidates(pool) {
                let verdict = match self.ask_one(&candidate, pool, work).await {
                    Asked::Said(GrantStatus::NotHome) => continue,
                    Asked::Silent => {
                        self.map.suspect(&candidate);
                        continue;
                    }
                    Asked::Said(verdict) => verdict,
                };
                withdrawal.asked = Some(candidate.clone());
                let verdict = match verdict {
                    GrantStatus::Queued => self.wait_for(&mut pushes, &candidate, pool, work).await,
                    decided => Waited::Decided(decided),
                };
                match verdict {
                    Waited::Decided(GrantStatus::Granted(granted)) => {
                        withdrawal.asked = None;
                        return self.granted(pool, granted, work);
                    }
                    Waited::Decided(GrantStatus::Refused {
                        reason,
                        retry_after,
                    }) => {
                        withdrawal.asked = None;
                        return GrantAnswer::Refused {
                            reason,
                            retry_after,
                        };
                    }
                    Waited::Decided(_) | Waited::AskAgain => break,
                }
            }
            tokio::time::sleep(ROUND_PAUSE).await;
        }
    }

    /// Waits for the push of a request that is queued, and asks again now and then.
    async fn wait_for(
        &self,
        pushes: &mut mpsc::UnboundedReceiver<HomeAnswer>,
        candidate: &HostId,
        pool: &PoolId,
        work: &Work,
    ) -> Waited {
        loop {
            let asked_at = self.clock.now();
            let pushed = timeout(ASK_AGAIN, pushes.recv()).await;
            if let Ok(Some(answer)) = pushed
                && !self.is_stale(&answer.status, asked_at)
            {
                return Waited::Decided(answer.status);
            }
            match self.ask_one(candidate, pool, work).await {
                Asked::Said(GrantStatus::Queued) => {}
                Asked::Said(GrantStatus::NotHome) => return Waited::AskAgain,
                Asked::Said(verdict) => return Waited::Decided(verdict),
                Asked::Silent => {
                    self.map.suspect(candidate);
                    return Waited::AskAgain;
                }
            }
        }
    }

    /// Asks a candidate, and again if this host stood still before it could use the grant.
    async fn ask_one(&self, candidate: &HostId, pool: &PoolId, work: &Work) -> Asked {
        loop {
            let asked_at = self.clock.now();
            match self.ask_once(candidate, pool, work).await {
                Asked::Said(verdict) if self.is_stale(&verdict, asked_at) => {}
                asked => return asked,
            }
        }
    }

    /// Whether a grant has waited here so long that its home may have given it up.
    fn is_stale(&self, verdict: &GrantStatus, asked_at: Instant) -> bool {
        let GrantStatus::Granted(granted) = verdict else {
            return false;
        };
        !granted.is_fresh(asked_at, self.clock.now())
    }

    async fn ask_once(&self, candidate: &HostId, pool: &PoolId, work: &Work) -> Asked {
        if *candidate == self.host {
            let event = HomeEvent::Request {
                from: self.host.clone(),
                work: work.clone(),
            };
            let answer = self.desk.handle(pool, event);
            return answer.map_or(Asked::Silent, |answer| Asked::Said(answer.status));
        }
        let request = wire::encode_request(pool, work, self.clock.now());
        let asked = self
            .peers
            .request(candidate, Message::GrantRequest(request), ASK_TIMEOUT);
        match asked.await {
            Ok(Message::GrantReply(reply)) => match wire::decode_answer(&reply) {
                Ok((_, answer)) => Asked::Said(answer.status),
                Err(err) => {
                    debug!("homes: {candidate} answered wrongly: {err}");
                    Asked::Silent
                }
            },
            Ok(_) => Asked::Silent,
            Err(err) => {
                debug!("homes: {candidate} did not answer for {pool}: {err}");
                Asked::Silent
            }
        }
    }

    fn granted(&self, pool: &PoolId, granted: IssuedGrant, work: &Work) -> GrantAnswer {
        let live = LiveGrant {
            id: granted.grant,
            work: work.clone(),
            upstreams: granted.upstreams.clone(),
        };
        self.live.begin(pool, live);
        GrantAnswer::Granted(Box::new(HeldGrant {
            pool: pool.clone(),
            grant: granted.grant,
            upstreams: granted.upstreams,
            waited: granted.waited,
            why: granted.why,
            work: work.clone(),
        }))
    }

    fn tell_finish(&self, to: &HostId, pool: &PoolId, grant: GrantId, done: AttemptSummary) {
        if *to == self.host {
            let from = self.host.clone();
            self.desk
                .handle(pool, HomeEvent::Finish { from, grant, done });
        } else {
            self.peers
                .send(to, Message::Finish(wire::encode_finish(pool, grant, &done)));
        }
    }

    fn tell_withdraw(&self, to: &HostId, pool: &PoolId, request: RequestId) {
        if *to == self.host {
            let from = self.host.clone();
            self.desk
                .handle(pool, HomeEvent::Withdraw { from, request });
        } else {
            self.peers
                .send(to, Message::Withdraw(wire::encode_withdraw(pool, request)));
        }
    }
}

impl Granter for HomeGranter {
    fn request_grant(&self, target: TargetId, work: Work) -> BoxFuture<'_, GrantAnswer> {
        async move { self.decide(&target, &work).await }.boxed()
    }

    fn finish(&self, held: &HeldGrant, done: AttemptSummary) {
        self.live.end(held.grant);
        if let Some(home) = self.candidates(&held.pool).first() {
            self.tell_finish(home, &held.pool, held.grant, done);
        }
    }
}

/// Takes a request back from the home that was asked last, unless it was decided.
struct Withdrawal<'a> {
    granter: &'a HomeGranter,
    pool: &'a PoolId,
    asked: Option<HostId>,
    work: &'a Work,
}

impl Drop for Withdrawal<'_> {
    fn drop(&mut self) {
        self.granter.waiters.forget(self.work.request);
        if let Some(home) = &self.asked {
            self.granter
                .tell_withdraw(home, self.pool, self.work.request);
        }
    }
}

/// Requests with the same beginning go the same way, all others any way.
fn spread_of(work: &Work) -> u64 {
    let prefix = work.prefixes.first().map(|(hash, _)| hash.0);
    let hash = prefix.unwrap_or(work.request.0);
    u64::try_from(hash >> u64::BITS).unwrap_or(0)
}

/// Whether another pool may decide otherwise.
fn is_of_pool(reason: RefuseReason) -> bool {
    matches!(
        reason,
        RefuseReason::NoUpstream
            | RefuseReason::TooLarge
            | RefuseReason::QueueFull
            | RefuseReason::Deadline
    )
}
