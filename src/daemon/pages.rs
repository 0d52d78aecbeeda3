//! What the status port says.

use std::sync::Arc;

use hyper::StatusCode;
use serde_json::json;

use crate::daemon::host::Host;
use crate::daemon::status_server::Page;
use crate::daemon::status_server::Pages;
use crate::observe::HostCounts;
use crate::units::RequestId;

/// The pages of a host.
pub(crate) struct HostPages(pub(crate) Arc<Host>);

impl Pages for HostPages {
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
        if let Some(why) = self.0.manifests.knowledge().why_not_ready {
            return Page::text(StatusCode::SERVICE_UNAVAILABLE, format!("{why}\n"));
        }
        Page::text(StatusCode::OK, "ready\n")
    }

    fn metrics(&self) -> Page {
        let host = &self.0;
        let metrics = &host.parts.metrics;
        metrics.see_board(&host.board);
        metrics.see_host(HostCounts {
            peer_control_bytes: host.traffic.control_bytes(),
            peer_work_bytes: host.traffic.work_bytes(),
            peer_dropped_messages: host.traffic.dropped_messages(),
            peer_refused_connections: host.traffic.refused_connections(),
            manifest_confirmed_ago: host.manifests.knowledge().confirmed_ago,
            pools: host.homes.pools(),
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
        let Some(explanation) = self.0.parts.explanations.get(request) else {
            let why = "this host knows nothing of the request, or no longer\n";
            return Page::text(StatusCode::NOT_FOUND, why);
        };
        match serde_json::to_string(&explanation) {
            Ok(text) => Page::json(StatusCode::OK, text + "\n"),
            Err(err) => Page::text(StatusCode::INTERNAL_SERVER_ERROR, format!("{err}\n")),
        }
    }

    fn status(&self) -> Page {
        let host = &self.0;
        let generation = host.board.manifest().map(|in_force| in_force.generation);
        let homes = host.home_table.homes();
        let homes: Vec<_> = homes
            .iter()
            .map(|(pool, home)| json!({"pool": pool, "home": home}))
            .collect();
        let hosts: Vec<_> = host
            .board
            .hosts
            .snapshot()
            .into_iter()
            .map(|(id, view)| {
                json!({
                    "host": id,
                    "domain": view.domain,
                    "state": format!("{:?}", view.state).to_lowercase(),
                    "generation": view.generation,
                })
            })
            .collect();
        let status = json!({
            "host": host.settings.host,
            "domain": host.settings.failure_domain,
            "generation": generation,
            "manifest": host.manifests.knowledge(),
            "in_flight": host.parts.in_flight.count(),
            "grants": host.granter.live_count(),
            "claims_pending": host.parts.claims.pending(),
            "body_bytes": host.parts.bodies.used_bytes(),
            "control_bytes": host.traffic.control_bytes(),
            "work_bytes": host.traffic.work_bytes(),
            "silent_domains": host.membership.silent_domains(),
            "upstreams": host.board.upstreams.len(),
            "hosts": hosts,
            "homes": homes,
        });
        Page::json(StatusCode::OK, format!("{status}\n"))
    }
}
