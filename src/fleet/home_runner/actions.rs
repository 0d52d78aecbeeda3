//! Performs the actions of home controllers, and wakes the controllers when they are due.

use crate::control::home::HomeAction;
use crate::control::home::HomeAnswer;
use crate::control::home::HomeEvent;
use crate::control::home::wire;
use crate::fleet::home_runner::Home;
use crate::fleet::home_runner::HomeRunner;
use crate::fleet::home_runner::TICK_INTERVAL_MAX;
use crate::fleet::home_runner::lock;
use crate::peer::Message;
use crate::peer::message;
use crate::settings::PolicyName;
use crate::units::HostId;
use crate::units::PoolId;
use crate::units::UpstreamId;
use log::debug;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

impl HomeRunner {
    /// Passes an event to the controller of a home, performs the actions of the controller, and
    /// returns the reply if the event has one. Calls to upstreams are made in tasks of their own.
    pub(super) fn send_event(
        self: &Arc<Self>,
        pool: &PoolId,
        home: &Arc<Home>,
        event: HomeEvent,
    ) -> Option<HomeAnswer> {
        let now = self.clock.now();
        let actions = lock(&home.controller).handle(event, now);
        home.wake_notify.notify_one();
        let mut reply = None;
        for action in actions {
            match action {
                HomeAction::Reply { answer, .. } => reply = Some(answer),
                HomeAction::Push { to, answer } => self.push(pool, &to, answer),
                HomeAction::Cancel { upstream, attempt } if self.policy == PolicyName::Shipped => {
                    let event = HomeEvent::CancelConfirmed {
                        upstream: upstream.clone(),
                        attempt,
                    };
                    let runner = Arc::clone(self);
                    let home = Arc::clone(home);
                    let pool = pool.clone();
                    tokio::spawn(async move {
                        let Some(client) = runner.upstreams.upstream(&upstream) else {
                            return;
                        };
                        debug!("homes: cancelling attempt {attempt} at {upstream}");
                        let is_released = client.cancel(attempt).await.is_ok()
                            && client.release_gang(attempt).await.is_ok();
                        if is_released {
                            runner.send_event(&pool, &home, event);
                        }
                    });
                }
                // With a baseline policy each host has a home of its own, which sees only some of
                // the attempts and must not cancel the others.
                HomeAction::Cancel { .. } => {}
                HomeAction::ListAttempts { upstream, seq } => {
                    self.list_attempts(pool, home, upstream, seq);
                }
                HomeAction::RequestAnnouncement { to } => {
                    self.request_announcement(pool, home, &to);
                }
            }
        }
        reply
    }

    /// Reads the attempts that run on an upstream, and passes them to the home. A service cannot
    /// list its attempts and reserves no memory for them: the home gets an empty list at once, so
    /// that it does not wait. If the upstream does not respond, the home gets nothing.
    pub(super) fn list_attempts(
        self: &Arc<Self>,
        pool: &PoolId,
        home: &Arc<Home>,
        upstream: UpstreamId,
        seq: u64,
    ) {
        let listed_event = |running| HomeEvent::EngineListed {
            upstream: upstream.clone(),
            seq,
            running,
        };
        if home.is_service {
            self.send_event(pool, home, listed_event(Vec::new()));
            return;
        }
        let Some(client) = self.upstreams.upstream(&upstream) else {
            return;
        };
        let (runner, pool, home) = (Arc::clone(self), pool.clone(), Arc::clone(home));
        tokio::spawn(async move {
            if let Ok(running) = client.list_running().await {
                let event = HomeEvent::EngineListed {
                    upstream,
                    seq,
                    running,
                };
                runner.send_event(&pool, &home, event);
            }
        });
    }

    /// Requests the live grants of a pool from a host. Those of this host are passed to the home at
    /// once.
    pub(super) fn request_announcement(
        self: &Arc<Self>,
        pool: &PoolId,
        home: &Arc<Home>,
        to: &HostId,
    ) {
        if *to == self.host {
            let event = HomeEvent::Announce {
                from: self.host.clone(),
                grants: self.live_grants.for_pool(pool),
            };
            self.send_event(pool, home, event);
            return;
        }
        let query = message::Announce {
            pool: pool.to_string(),
            is_query: true,
            ..Default::default()
        };
        self.peers.send(to, Message::Announce(query));
    }

    /// Sends a decision to the host that waits for it.
    pub(super) fn push(&self, pool: &PoolId, to: &HostId, answer: HomeAnswer) {
        if *to == self.host {
            self.waiters.deliver(answer);
        } else {
            self.peers
                .send(to, Message::GrantReply(wire::encode_answer(pool, &answer)));
        }
    }

    /// Sends a tick to a home whenever the controller of the home is due, until the home is closed.
    pub(super) async fn run_ticks(self: Arc<Self>, pool: PoolId, home: Arc<Home>) {
        loop {
            let now = self.clock.now();
            let wake = lock(&home.controller)
                .next_wake(now)
                .min(now + TICK_INTERVAL_MAX);
            let wait = wake
                .saturating_duration_since(now)
                .max(Duration::from_millis(1));
            let is_due = timeout(wait, home.wake_notify.notified()).await.is_err();
            let is_open = self
                .homes
                .get(&pool)
                .is_some_and(|open| Arc::ptr_eq(&open, &home));
            if !is_open {
                return;
            }
            if is_due {
                self.send_event(&pool, &home, HomeEvent::Tick);
            }
        }
    }
}
