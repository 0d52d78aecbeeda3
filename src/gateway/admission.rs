//! Whether a call is let in while the engines of its service run short.

use std::time::Duration;
use std::time::Instant;

use crate::decide::RefuseReason;
use crate::decide::RoomCheck;
use crate::decide::RoomRequest;
use crate::decide::check_room;
use crate::decide::engines::EngineRequest;
use crate::decide::engines::EngineView;
use crate::decide::engines::capacity_taken;
use crate::decide::engines::slots_taken;
use crate::gateway::Call;
use crate::gateway::CallRefusal;
use crate::gateway::Gateway;
use crate::gateway::placement::PlacementDecision;
use crate::gateway::placement::SendHistory;
use crate::gateway::placement::engine_model;
use crate::gateway::placement::engine_request;
use crate::gateway::placement::refuse;
use crate::gateway::placement::usable_engine_views;
use crate::routing::RouteTable;
use crate::units::BoundedTime;

/// The longest time after which a caller should retry whose customer is above its share.
const SHARE_RETRY_AFTER_MAX: Duration = Duration::from_secs(4);

/// The largest ratio of a customer's demand to its share that makes its callers retry later.
const SHARE_RETRY_RATIO_MAX: f64 = 10.0;

/// Checks whether a call that has just come is let in while the engines run short. Returns the
/// refusal of one that is not.
pub(super) fn check_engine_room(
    gateway: &Gateway,
    routes: &RouteTable,
    call: &Call,
    sends: &SendHistory<'_>,
    views: &[EngineView],
    request: &EngineRequest,
) -> Option<PlacementDecision> {
    if sends.is_admitted || sends.may_have_run || views.is_empty() || !routes.keys.is_required() {
        return None;
    }
    let model = engine_model(routes, call)?;
    let most_urgent = routes.most_urgent(&call.service);
    let is_above_share = sends.standing.is_above_share();
    let room = RoomRequest {
        standing: sends.standing,
        fitting_fraction: if is_above_share {
            gateway.fitting_fraction(call, views.len())
        } else {
            1.0
        },
        priority_steps: call.priority().0.saturating_sub(most_urgent.0),
        slots_taken: slots_taken(model, views),
        capacity_taken: if is_above_share {
            capacity_taken(model, views, request)
        } else {
            0.0
        },
    };
    let retry_after = request.answer_time(model);
    match check_room(&room, rand::random()) {
        RoomCheck::Admit => None,
        RoomCheck::AboveShare => {
            let ratio = sends.standing.ratio.min(SHARE_RETRY_RATIO_MAX);
            let retry_after = retry_after.scaled(ratio).min(SHARE_RETRY_AFTER_MAX);
            Some(refuse(RefuseReason::CustomerLimit, retry_after))
        }
        RoomCheck::Full => Some(refuse(RefuseReason::QueueFull, retry_after)),
    }
}

/// Checks whether a call is let in that has to wait behind others. Returns the refusal of one that
/// is not.
pub(crate) fn check_admission(
    gateway: &Gateway,
    call: &Call,
    sends: &SendHistory<'_>,
    now: Instant,
) -> Option<CallRefusal> {
    let routes = gateway.platform_view.routes()?;
    engine_model(&routes, call)?;
    let views = usable_engine_views(gateway, call, sends, now)?;
    let request = engine_request(gateway, &routes, call, sends, now);
    match check_engine_room(gateway, &routes, call, sends, &views, &request) {
        Some(PlacementDecision::Refuse(refusal)) => Some(refusal),
        _ => None,
    }
}
