//! Plan of a fleet.

use std::net::SocketAddr;

use banyanarch::settings::PolicyName;
use serde_json::Value;
use serde_json::json;

use crate::engine::EngineOptions;
use crate::service::ServiceOptions;

/// The model that the engines of a plan serve.
pub const MODEL: &str = "ledger-model";
/// The plain service of a plan.
pub const SERVICE: &str = "grants-app";

/// A plan of the processes of a fleet and their settings.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// The name of the deployment.
    pub deployment: &'static str,
    /// The failure domain of each engine.
    pub engine_domains: Vec<&'static str>,
    /// The options of each engine.
    pub engine: EngineOptions,
    /// The failure domain of each instance of the plain service.
    pub service_domains: Vec<&'static str>,
    /// The options of each instance of the plain service.
    pub service: ServiceOptions,
    /// The names of the entry hosts with their failure domains.
    pub hosts: Vec<(String, String)>,
    /// The number of worker threads of a host.
    pub host_threads: usize,
    /// How long a draining host still accepts work, in milliseconds.
    pub drain_notice_ms: u64,
    /// The dispatch policy that the homes run.
    pub policy: PolicyName,
    /// The customers with their shares.
    pub customers: Vec<(String, u32)>,
    /// The rate limit of each customer: requests a second, and burst.
    pub customer_rate: (f64, u32),
    /// The objective of the manifest: `short_slowdown` or `first_token`.
    pub objective: &'static str,
}

impl FleetPlan {
    /// Returns a plan with these numbers of engines, service instances and hosts, distributed over
    /// the domains in turn.
    pub fn new(domains: &[&'static str], engines: usize, services: usize, hosts: usize) -> Self {
        let assign_domains = |count: usize| -> Vec<&'static str> {
            domains.iter().copied().cycle().take(count).collect()
        };
        let host =
            |(index, domain): (usize, &str)| (format!("entry-{}", index + 1), domain.to_owned());
        Self {
            deployment: "standin",
            engine_domains: assign_domains(engines),
            engine: EngineOptions::default(),
            service_domains: assign_domains(services),
            service: ServiceOptions::default(),
            hosts: assign_domains(hosts)
                .into_iter()
                .enumerate()
                .map(host)
                .collect(),
            host_threads: 2,
            drain_notice_ms: 500,
            policy: PolicyName::default(),
            customers: vec![("default".to_owned(), 1)],
            customer_rate: (10_000.0, 10_000),
            objective: "short_slowdown",
        }
    }

    /// Returns the manifest as JSON, which is valid YAML.
    pub fn manifest(&self) -> String {
        let (rate, burst) = self.customer_rate;
        let customers = self.customers.iter().map(|(name, share)| {
            json!({
                "name": name,
                "share": share,
                "rate": format!("{rate}req/s"),
                "burst_requests": burst,
                "priority": "normal",
            })
        });
        let customers: Vec<Value> = customers.collect();
        let engine = &self.engine;
        let fleet_memory_tokens = engine.memory_tokens * self.engine_domains.len() as u64;
        let model = json!({
            "name": MODEL,
            "version": "1",
            "engine_memory_tokens": engine.memory_tokens,
            "engine_slots": engine.slots,
            "prefill_speed": format!("{}tok/s", engine.prefill_tokens_per_second),
            "context_tokens_max": fleet_memory_tokens.min(1_000_000),
        });
        let service = json!({
            "name": SERVICE,
            "repeatable": "by_method",
            "concurrency_max": self.service.slots,
        });
        let manifest = json!({
            "deployment": self.deployment,
            "objective": self.objective,
            "models": [model],
            "services": if self.service_domains.is_empty() { vec![] } else { vec![service] },
            "customers": customers,
            "priorities": [{"name": "urgent", "rank": 0}, {"name": "normal", "rank": 1}],
            "limits": {"deadline_default_ms": 20_000, "deadline_max_ms": 60_000},
        });
        serde_json::to_string_pretty(&manifest).unwrap_or_default()
    }

    /// Returns the names and command-line arguments of the engines.
    pub(crate) fn engine_commands(&self, platform: SocketAddr) -> Vec<(String, Vec<String>)> {
        let e = &self.engine;
        let options = [
            ("--memory-tokens", e.memory_tokens.to_string()),
            ("--slots", e.slots.to_string()),
            ("--queue-max", e.queue_max.to_string()),
            ("--prefill-speed", e.prefill_tokens_per_second.to_string()),
            ("--prefill-chunk", e.prefill_chunk_tokens.to_string()),
            ("--step-base-us", e.step_base_us.to_string()),
            ("--step-per-attempt-us", e.step_per_attempt_us.to_string()),
            ("--report-lag-ms", e.report_lag_ms.to_string()),
            ("--model", MODEL.to_owned()),
        ];
        upstream_commands("engine", MODEL, &self.engine_domains, &options, platform)
    }

    /// Returns the names and command-line arguments of the service instances.
    pub(crate) fn service_commands(&self, platform: SocketAddr) -> Vec<(String, Vec<String>)> {
        let options = [
            ("--latency-ms", self.service.latency_ms.to_string()),
            ("--slots", self.service.slots.to_string()),
        ];
        upstream_commands(
            "service",
            SERVICE,
            &self.service_domains,
            &options,
            platform,
        )
    }
}

fn upstream_commands(
    command: &str,
    target: &str,
    domains: &[&str],
    options: &[(&str, String)],
    platform: SocketAddr,
) -> Vec<(String, Vec<String>)> {
    let upstream = |(index, domain): (usize, &&str)| {
        let name = format!("{command}-{}", index + 1);
        let mut args = vec![command.to_owned()];
        let platform = platform.to_string();
        let machine_args = [
            ("--machine", &name),
            ("--domain", &(*domain).to_owned()),
            ("--target", &target.to_owned()),
            ("--platform", &platform),
        ];
        for (key, value) in machine_args {
            args.extend([key.to_owned(), value.clone()]);
        }
        for (key, value) in options {
            args.extend([(*key).to_owned(), value.clone()]);
        }
        (name, args)
    };
    domains.iter().enumerate().map(upstream).collect()
}
