//! A flood: one customer sends many times its usual requests for some seconds.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::call::CallClass;
use crate::caller::Caller;
use crate::caller::CallerRequest;
use crate::deployment::CUSTOMERS;
use crate::deployment::Deployment;
use crate::deployment::lock;
use crate::history::CallerAttempt;
use crate::history::Timestamp;

/// The classes of calls that a flood may consist of.
const CLASSES: [CallClass; 3] = [
    CallClass::Idempotent,
    CallClass::AtMostOnce,
    CallClass::ShortPrompt,
];

/// The additional callers of one customer, who hardly pause between two requests and come back at
/// once after a refusal.
#[derive(Clone, Debug)]
pub struct Flood {
    /// The index of the customer.
    pub(crate) customer: usize,
    /// The class of all requests.
    class: CallClass,
    /// The number of callers.
    callers: usize,
    /// The seed of the pauses.
    seed: u64,
}

impl Flood {
    /// Draws a flood.
    pub(crate) fn draw(rng: &mut StdRng) -> Self {
        Self {
            customer: rng.random_range(0..CUSTOMERS),
            class: CLASSES[rng.random_range(0..CLASSES.len())],
            callers: rng.random_range(60..100),
            seed: rng.random(),
        }
    }

    /// Sends requests for this time, and returns once all have ended. They are recorded like those
    /// of other callers.
    pub(crate) async fn run(&self, deployment: &Arc<Deployment>, time: Duration) {
        let started_at = deployment.now();
        let mut callers = JoinSet::new();
        for index in 0..self.callers {
            let caller = FloodCaller {
                deployment: Arc::clone(deployment),
                flood: self.clone(),
                started_at,
                index,
            };
            callers.spawn(caller.run(started_at + time));
        }
        while callers.join_next().await.is_some() {}
    }
}

/// One caller of a flood.
struct FloodCaller {
    deployment: Arc<Deployment>,
    flood: Flood,
    started_at: Timestamp,
    index: usize,
}

impl FloodCaller {
    /// Sends requests to one host until `ends_at`.
    async fn run(self, ends_at: Timestamp) {
        let mut rng = StdRng::seed_from_u64(self.flood.seed ^ self.index as u64);
        let mut caller = Caller::default();
        let host = self.index % self.deployment.hosts.len();
        let flood_id = self.started_at.as_millis();
        for count in 0.. {
            sleep(Duration::from_millis(rng.random_range(10..50))).await;
            let sent_at = self.deployment.now();
            if sent_at >= ends_at {
                return;
            }
            let request = format!("f{flood_id:07x}{:03x}{count:05x}", self.index);
            let attempt = self.send(&mut caller, host, &request).await;
            let mut observations = self.deployment.history.lock();
            observations.attempts.insert(request, attempt);
        }
    }

    /// Sends one request to a host.
    async fn send(&self, caller: &mut Caller, host: usize, request: &str) -> CallerAttempt {
        let class = self.flood.class;
        let key = self.key();
        let caller_request = CallerRequest {
            request,
            class,
            key: &key,
            abandoned_after: None,
        };
        let sent_at = self.deployment.now();
        let addr = self.deployment.caller_links[host].addr;
        let (outcome, first_data_after) = caller.attempt(addr, &caller_request).await;
        CallerAttempt {
            class,
            host,
            key,
            deadline: class.timeout(),
            sent_at,
            first_data_after,
            ended_at: self.deployment.now(),
            outcome,
        }
    }

    /// The newest key of the customer.
    fn key(&self) -> String {
        let manifest_inputs = lock(&self.deployment.manifest_inputs);
        let (_, keys) = &manifest_inputs.customers[self.flood.customer];
        keys.last().cloned().unwrap_or_default()
    }
}
