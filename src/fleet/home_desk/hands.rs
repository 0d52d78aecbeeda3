//! Does what homes want done, and wakes them.

use crate::control::home::HomeAction;
use crate::control::home::HomeAnswer;
use crate::control::home::HomeEvent;
use crate::control::home::wire;
use crate::fleet::home_desk::Home;
use crate::fleet::home_desk::HomeDesk;
use crate::fleet::home_desk::WAKE_MAX;
use crate::fleet::home_desk::lock;
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

impl HomeDesk {
    pub(super) fn tell(
        self: &Arc<Self>,
        pool: &PoolId,
        home: &Arc<Home>,
        event: HomeEvent,
    ) -> Option<HomeAnswer> {
        let now = self.clock.now();
        let actions = lock(&home.controller).handle(event, now);
        home.woken.notify_one();
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
                    let desk = Arc::clone(self);
                    let home = Arc::clone(home);
                    let pool = pool.clone();
                    tokio::spawn(async move {
                        let Some(client) = desk.upstreams.upstream(&upstream) else {
                            return;
                        };
                        debug!("homes: cancel attempt {attempt} at {upstream}");
                        let is_free = client.cancel(attempt).await.is_ok()
                            && client.release_gang(attempt).await.is_ok();
                        if is_free {
                            desk.tell(&pool, &home, event);
                        }
                    });
                }
                // Baselines run a home on each host, none of which sees all attempts.
                HomeAction::Cancel { .. } => {}
                HomeAction::ListAttempts { upstream, seq } => self.list(pool, home, upstream, seq),
                HomeAction::RequestAnnouncement { to } => self.ask_announce(pool, home, &to),
            }
        }
        reply
    }

    /// Asks an upstream what it runs. A plain service can't tell, and holds nothing that would be
    /// lost: it counts as one that lists nothing, and a home need not wait for it.
    pub(super) fn list(
        self: &Arc<Self>,
        pool: &PoolId,
        home: &Arc<Home>,
        upstream: UpstreamId,
        seq: u64,
    ) {
        let listed = |running| HomeEvent::EngineListed {
            upstream: upstream.clone(),
            seq,
            running,
        };
        if home.is_service {
            self.tell(pool, home, listed(Vec::new()));
            return;
        }
        let Some(client) = self.upstreams.upstream(&upstream) else {
            return;
        };
        let (desk, pool, home) = (Arc::clone(self), pool.clone(), Arc::clone(home));
        tokio::spawn(async move {
            if let Ok(running) = client.list_running().await {
                let event = HomeEvent::EngineListed {
                    upstream,
                    seq,
                    running,
                };
                desk.tell(&pool, &home, event);
            }
        });
    }

    /// Asks a host for the grants that it holds of a pool; this host's own are at hand.
    pub(super) fn ask_announce(self: &Arc<Self>, pool: &PoolId, home: &Arc<Home>, to: &HostId) {
        if *to == self.host {
            let event = HomeEvent::Announce {
                from: self.host.clone(),
                grants: self.live.of_pool(pool),
            };
            self.tell(pool, home, event);
            return;
        }
        let ask = message::Announce {
            pool: pool.to_string(),
            is_question: true,
            ..Default::default()
        };
        self.peers.send(to, Message::Announce(ask));
    }

    pub(super) fn push(&self, pool: &PoolId, to: &HostId, answer: HomeAnswer) {
        if *to == self.host {
            self.waiters.decided(answer);
        } else {
            self.peers
                .send(to, Message::GrantReply(wire::encode_answer(pool, &answer)));
        }
    }

    /// Wakes a home when its time has come, until it is closed.
    pub(super) async fn keep(self: Arc<Self>, pool: PoolId, home: Arc<Home>) {
        loop {
            let now = self.clock.now();
            let wake = lock(&home.controller).next_wake(now).min(now + WAKE_MAX);
            let wait = wake
                .saturating_duration_since(now)
                .max(Duration::from_millis(1));
            let is_due = timeout(wait, home.woken.notified()).await.is_err();
            let is_open = self
                .homes
                .get(&pool)
                .is_some_and(|open| Arc::ptr_eq(&open, &home));
            if !is_open {
                return;
            }
            if is_due {
                self.tell(&pool, &home, HomeEvent::Tick);
            }
        }
    }
}
