//! The pages of a host's status port.

use std::sync::Arc;

use hyper::StatusCode;
use serde_json::json;

use crate::daemon::host::Host;
use crate::daemon::status_loop;
use crate::daemon::status_server::Page;
use crate::daemon::status_server::PageSource;
use crate::observe::HostCounts;
use crate::units::RequestId;

/// The status pages of a host.
pub(crate) struct HostPages(pub(crate) Arc<Host>);

impl PageSource for HostPages {
    fn page(&self, path: &str) -> Option<Page> {
        match path {
            "/livez" => Some(Page::text(StatusCode::OK, "live\n")),
            "/readyz" => Some(self.ready()),
            "/status" => Some(self.status()),
            "/metrics" => Some(self.metrics()),
            _ => path.strip_prefix("/explain/").map(|id| self.explain(id)),
        }
    }
}

impl HostPages {
    fn ready(&self) -> Page {
        if !self.0.drain.is_ready() {
            return Page::text(StatusCode::SERVICE_UNAVAILABLE, "draining\n");
        }
        if let Some(why) = self.0.manifests.status().why_not_ready {
            return Page::text(StatusCode::SERVICE_UNAVAILABLE, format!("{why}\n"));
        }
        Page::text(StatusCode::OK, "ready\n")
    }

    fn metrics(&self) -> Page {
        let host = &self.0;
        let metrics = &host.entry.metrics;
        metrics.update_cluster_counts(&host.cluster_view);
        metrics.update_host_counts(HostCounts {
            peer_control_bytes: host.traffic.control_bytes(),
            peer_work_bytes: host.traffic.work_bytes(),
            peer_dropped_messages: host.traffic.dropped_messages(),
            peer_refused_connections: host.traffic.refused_connections(),
            manifest_confirmed_ago: host.manifests.status().confirmed_ago,
            pools: host.homes.pool_loads(),
        });
        match metrics.render() {
            Ok(text) => Page::text(StatusCode::OK, text),
            Err(err) => Page::text(StatusCode::INTERNAL_SERVER_ERROR, format!("{err}\n")),
        }
    }

    fn explain(&self, id: &str) -> Page {
        let request: RequestId = match id.parse() {
            Ok(request) => request,
            Err(err) => return Page::text(StatusCode::BAD_REQUEST, format!("{err}\n")),
        };
        let Some(explanation) = self.0.entry.explanations.get(request) else {
            let why = "this host has no record of the request, or no longer has it\n";
            return Page::text(StatusCode::NOT_FOUND, why);
        };
        match serde_json::to_value(&explanation) {
            Ok(mut page) => {
                page["host"] = json!(self.0.settings.host);
                Page::json(StatusCode::OK, format!("{page}\n"))
            }
            Err(err) => Page::text(StatusCode::INTERNAL_SERVER_ERROR, format!("{err}\n")),
        }
    }

    /// The report that is also written to the platform, with additional state of this host.
    fn status(&self) -> Page {
        let host = &self.0;
        let mut page = match serde_json::to_value(status_loop::report(host)) {
            Ok(page) => page,
            Err(err) => {
                return Page::text(StatusCode::INTERNAL_SERVER_ERROR, format!("{err}\n"));
            }
        };
        let pools = host.home_directory.pool_homes().into_iter();
        let pools: Vec<_> = pools
            .map(|(pool, home)| json!({"pool": pool, "home": home}))
            .collect();
        let orders = host.reconciler.progress().into_iter();
        let orders: Vec<_> = orders
            .map(|(pool, (done, all))| json!({"pool": pool, "loaded": done, "engines": all}))
            .collect();
        page["pools"] = json!(pools);
        page["orders"] = json!(orders);
        page["in_flight"] = json!(host.entry.in_flight.count());
        page["grants"] = json!(host.granter.live_count());
        page["claims_pending"] = json!(host.entry.claims.pending());
        page["body_bytes"] = json!(host.entry.bodies.used_bytes());
        page["control_bytes"] = json!(host.traffic.control_bytes());
        page["work_bytes"] = json!(host.traffic.work_bytes());
        Page::json(StatusCode::OK, format!("{page}\n"))
    }
}
