//! Memory reservations on several engines for one prompt, from the first order to the release.
//!
//! An engine frees reserved memory when the reservation expires and not when the request ends. A
//! reservation is therefore short and is renewed during the request: if this host dies, the engines
//! have their memory back within [`RESERVATION_TTL`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use tokio::runtime::Handle;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::gateway::DecisionEvent;
use crate::gateway::EngineClientError;
use crate::gateway::EngineEndpoint;
use crate::gateway::Gateway;
use crate::gateway::HelperAddr;
use crate::gateway::ListedUpstream;
use crate::units::Tokens;
use crate::units::UpstreamId;

/// How long an engine keeps the memory after the last order. Engine memory must not stay unused for
/// 4 s after the end of a request.
const RESERVATION_TTL: Duration = Duration::from_millis(3_400);
/// The time between two renewals. Two renewals may be lost before the reservation expires.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_100);
/// The number of release orders that are sent if none is answered. The reservation then expires.
const RELEASE_ATTEMPTS_MAX: u32 = 3;
/// The pause between two release orders.
const RELEASE_RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// The reservation on one engine.
#[derive(Clone, Debug)]
pub(crate) struct EngineReservation {
    /// The id of the engine.
    pub(crate) id: UpstreamId,
    /// The address of the engine.
    pub(crate) engine: SocketAddr,
    /// A random name by which the engine knows the reservation.
    pub(crate) name: String,
    /// The memory to reserve, in tokens.
    pub(crate) tokens: Tokens,
}

impl EngineReservation {
    /// A reservation that is still to be ordered from the engine.
    pub(crate) fn new(engine: &ListedUpstream, tokens: Tokens) -> Self {
        let name = format!("b{:016x}", rand::random::<u64>());
        Self {
            id: engine.id.clone(),
            engine: engine.addr,
            name,
            tokens,
        }
    }

    /// The engine, to which `gateway` connects.
    fn endpoint<'a>(&'a self, gateway: &'a Gateway) -> EngineEndpoint<'a> {
        EngineEndpoint {
            id: &self.id,
            addr: self.engine,
            connector: gateway,
        }
    }

    /// The address of the engine and the name of the reservation, for the head of the call.
    pub(crate) fn helper_addr(&self) -> HelperAddr {
        HelperAddr {
            addr: self.engine,
            reservation: Some(self.name.clone()),
        }
    }
}

/// The reservations on all engines of one prompt, renewed until the guard is dropped and released
/// then. The leader's reservation is first.
pub(crate) struct ReservationGuard {
    gateway: Arc<Gateway>,
    reservations: Vec<EngineReservation>,
    /// The task that renews the reservations; none until all have been made.
    renewal: Option<JoinHandle<()>>,
}

impl ReservationGuard {
    /// Reserves memory on all engines or on none. If any order fails, the failed ones are logged
    /// and returned, and all are released.
    pub(crate) async fn acquire(
        gateway: &Arc<Gateway>,
        request: &str,
        reservations: Vec<EngineReservation>,
    ) -> Result<Self, Vec<EngineReservation>> {
        // From here on a drop releases all reservations, also when the response to an order was
        // lost or this future is cancelled.
        let mut guard = Self {
            gateway: Arc::clone(gateway),
            reservations,
            renewal: None,
        };
        let orders = guard
            .reservations
            .iter()
            .map(|reservation| reserve(gateway, reservation));
        let results = join_all(orders).await;
        let mut refused = Vec::new();
        for (reservation, result) in guard.reservations.iter().zip(results) {
            if let Err(err) = result {
                gateway.log.record(DecisionEvent::ReservationRefused {
                    request: request.to_owned(),
                    error: err.to_string(),
                });
                refused.push(reservation.clone());
            }
        }
        if !refused.is_empty() {
            return Err(refused);
        }
        let renewal = renew(Arc::clone(gateway), guard.reservations.clone());
        guard.renewal = Some(tokio::spawn(renewal));
        Ok(guard)
    }
}

impl ReservationGuard {
    /// The reservations, one for each engine.
    pub(crate) fn reservations(&self) -> &[EngineReservation] {
        &self.reservations
    }
}

impl Drop for ReservationGuard {
    fn drop(&mut self) {
        if let Some(renewal) = &self.renewal {
            renewal.abort();
        }
        // Without a runtime the process is exiting, and the reservations expire.
        if let Ok(runtime) = Handle::try_current() {
            for reservation in self.reservations.drain(..) {
                runtime.spawn(release(Arc::clone(&self.gateway), reservation));
            }
        }
    }
}

/// Orders the memory of a reservation from its engine, or renews the reservation.
async fn reserve(
    gateway: &Gateway,
    reservation: &EngineReservation,
) -> Result<(), EngineClientError> {
    let engine_client = &gateway.engine_client;
    let answer = engine_client
        .reserve(
            reservation.endpoint(gateway),
            &reservation.name,
            reservation.tokens,
            RESERVATION_TTL,
        )
        .await;
    gateway.on_notices(&reservation.id, &answer.notices);
    answer.result
}

/// Renews reservations until the task is aborted: first the leader's, and the others only if the
/// leader responds. A leader that has lost power leaves its connections open, and this host goes on
/// waiting for it. If the other reservations were renewed meanwhile, their memory would stay
/// reserved for a request that ended long ago.
async fn renew(gateway: Arc<Gateway>, reservations: Vec<EngineReservation>) {
    let Some((leader, others)) = reservations.split_first() else {
        return;
    };
    loop {
        sleep(RENEW_INTERVAL).await;
        if let Err(err) = reserve(&gateway, leader).await {
            log::warn!("reservation: cannot renew the reservation of the leader: {err}");
            continue;
        }
        for renewed in join_all(
            others
                .iter()
                .map(|reservation| reserve(&gateway, reservation)),
        )
        .await
        {
            if let Err(err) = renewed {
                log::warn!("reservation: cannot renew the reservation of a helper: {err}");
            }
        }
    }
}

/// Releases a reservation. The order is repeated if the engine does not answer, up to
/// [`RELEASE_ATTEMPTS_MAX`] times in total.
async fn release(gateway: Arc<Gateway>, reservation: EngineReservation) {
    for _ in 0..RELEASE_ATTEMPTS_MAX {
        let engine_client = &gateway.engine_client;
        let answer = engine_client
            .release(reservation.endpoint(&gateway), &reservation.name)
            .await;
        gateway.on_notices(&reservation.id, &answer.notices);
        match answer.result {
            Ok(()) => return,
            // The engine does not know the reservation, which has expired or was never made.
            Err(EngineClientError::Refused(_)) => return,
            Err(EngineClientError::NoAnswer(why)) => {
                log::warn!("reservation: cannot release: {why}");
                sleep(RELEASE_RETRY_INTERVAL).await;
            }
        }
    }
}
