//! The pages for the balancer and for operators.

use hyper::StatusCode;

use crate::daemon::Page;
use crate::daemon::PageSource;
use crate::gateway::Gateway;

/// The pages of a gateway: liveness, readiness and metrics.
pub(crate) struct GatewayPages(pub(crate) std::sync::Arc<Gateway>);

impl PageSource for GatewayPages {
    fn page(&self, path: &str) -> Option<Page> {
        let gateway = &self.0;
        match path {
            "/livez" => Some(Page::text(StatusCode::OK, "alive\n")),
            "/readyz" if gateway.is_ready() => Some(Page::text(StatusCode::OK, "ready\n")),
            "/readyz" => Some(Page::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")),
            "/metrics" => Some(match gateway.metrics.render() {
                Ok(text) => Page::text(StatusCode::OK, text + &unregistered_metrics(gateway)),
                Err(err) => Page::text(StatusCode::INTERNAL_SERVER_ERROR, format!("{err}\n")),
            }),
            _ => None,
        }
    }
}

/// Renders the gauges and the counter that are kept outside the metrics registry, in the Prometheus
/// text format.
fn unregistered_metrics(gateway: &Gateway) -> String {
    let age = gateway.evacuations_age();
    let evacuations = age.map(|age| {
        format!(
            "# TYPE banyanarch_gateway_evacuations_age_seconds gauge\n\
             banyanarch_gateway_evacuations_age_seconds {:.3}\n\
             # TYPE banyanarch_gateway_evacuations_may_send gauge\n\
             banyanarch_gateway_evacuations_may_send {}\n",
            age.as_secs_f64(),
            u8::from(gateway.may_send_by_evacuations())
        )
    });
    let rest = format!(
        "# TYPE banyanarch_gateway_in_flight gauge\nbanyanarch_gateway_in_flight {}\n\
         # TYPE banyanarch_gateway_log_lines_dropped_total counter\n\
         banyanarch_gateway_log_lines_dropped_total {}\n",
        gateway.in_flight(),
        gateway.log.dropped_total()
    );
    evacuations.unwrap_or_default() + &rest
}
