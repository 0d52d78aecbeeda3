//! One run of the soak test: starts a deployment and its callers, injects the faults of a seed and
//! checks the guarantees.

use std::io;
use std::ops::Range;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use banyanarch::decide::RetryBound;
use banyanarch_platform::stand_in::ProcessLimits;
use banyanarch_platform::stand_in::RETRY_BOUND;
use futures_util::future::join_all;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::call::CallClass;
use crate::caller::Caller;
use crate::caller::CallerRequest;
use crate::checks;
use crate::checks::GuaranteeSet;
use crate::checks::Violation;
use crate::crash_point::CrashPoint;
use crate::crashing_request::CrashCause;
use crate::crashing_request::CrashingPart;
use crate::deployment::Deployment;
use crate::deployment::DeploymentSize;
use crate::deployment::lock;
use crate::fault::Fault;
use crate::fault_draws::draw_earned_outages;
use crate::fault_draws::draw_evacuations;
use crate::fault_draws::draw_faults;
use crate::fault_draws::draw_floods;
use crate::fault_draws::draw_full_restarts;
use crate::fault_draws::draw_limits;
use crate::fault_draws::draw_notices;
use crate::fault_draws::draw_odd_entries;
use crate::fault_draws::draw_outages;
use crate::fault_draws::draw_partial_outages;
use crate::fault_draws::draw_path_cuts;
use crate::fault_draws::draw_restarts;
use crate::fault_draws::draw_restores;
use crate::fault_draws::draw_silences;
use crate::faults;
use crate::history::CallerAttempt;
use crate::history::CallerOutcome;
use crate::history::StoreChange;

/// Time before the first fault, in which hosts read the manifest and discover each other.
const STARTUP_TIME: Duration = Duration::from_secs(3);
/// Time from the end of the last fault until callers must be served again.
const RECOVERY_TIME: Duration = Duration::from_secs(6);
/// How long callers are observed after the recovery.
const OBSERVATION_TIME: Duration = Duration::from_secs(3);
/// Number of callers that start at each host.
const CALLERS_PER_HOST: usize = 4;
/// The same where only silences of upstreams are injected, so that many requests meet each of them.
const SILENCED_CALLERS_PER_HOST: usize = 20;
/// Range of the pauses between silences, in ms, where they are the only faults.
const SILENCES_GAP_MS: Range<u64> = 600..3_000;
/// The same beside other faults.
const RARE_SILENCES_GAP_MS: Range<u64> = 5_000..16_000;
/// The slots of each upstream while customers flood the deployment.
const FLOODED_SLOTS: u32 = 4;
/// Time from the last request until all memory reservations have been released or have expired.
const RESERVATION_EXPIRY_TIME: Duration = Duration::from_millis(4_200);

/// The configuration of a run.
#[derive(Clone, Copy, Debug)]
pub struct SoakConf {
    /// The seed of the faults and of the callers' requests.
    pub seed: u64,
    /// How long new faults are injected.
    pub faults_for: Duration,
    /// Factor on the drawn duration of each fault.
    pub stretch: f64,
    /// The size of the deployment.
    pub size: DeploymentSize,
    /// Whether only cuts between hosts and all upstreams are injected. With all faults, hosts are
    /// rarely undisturbed for long enough to compare those that are cut with the others.
    pub only_path_cuts: bool,
    /// Whether only floods of one customer are injected, while some upstreams are gone or slow.
    /// Upstreams have few slots then.
    pub only_floods: bool,
    /// Whether only restarts of hosts are injected, and callers send requests with a part in their
    /// prompts that crashes engines. With `only_path_cuts`, both kinds of faults are.
    pub only_parts: bool,
    /// Where requests crash engines; none if it is drawn for the run. Only with `only_parts`.
    pub crash_point: Option<CrashPoint>,
    /// Whether the calls have ended at the point that is drawn.
    pub crashes_after_calls: bool,
    /// Of the prompts of callers, one in this number has a part that crashes engines. Only with
    /// `only_parts`.
    pub crash_ratio: u32,
    /// Whether all hosts restart together and in turn while requests crash engines. Only with
    /// `only_parts`.
    pub restarts_all: bool,
    /// The number of different requests that are repeated and crash upstreams. Only with `only_parts`.
    pub crash_requests: u32,
    /// The number of different parts of prompts that crash engines. Only with `only_parts`.
    pub crash_parts: u32,
    /// The share of the tries with such a part that crash their engines, in percent. The others are
    /// served. Only with `only_parts`.
    pub crash_share_percent: u32,
    /// Whether some of these requests go to plain services. Only with `only_parts`.
    pub crashes_services: bool,
    /// The only cause of these crashes; none if both occur. Only with `only_parts`.
    pub crash_cause: Option<CrashCause>,
    /// Whether only outages of all upstreams are injected, in which hosts restart together and in turn.
    /// Requests earn many retries then.
    pub only_outages: bool,
    /// Whether only silences of upstreams and changes of the manifest are injected.
    pub only_silences: bool,
    /// The guarantees that are checked.
    pub guarantees: GuaranteeSet,
}

/// The counts of attempts and faults of a run, and the violations of guarantees.
#[derive(Debug)]
pub struct SoakReport {
    /// Number of attempts of callers.
    pub attempts: usize,
    /// Number of attempts that were served.
    pub served: usize,
    /// Number of injected faults.
    pub faults: usize,
    /// Violations of guarantees.
    pub violations: Vec<Violation>,
}

/// Time before the first request that crashes engines, in which the usual share of served requests is
/// observed.
const SOUND_TIME: Duration = Duration::from_secs(8);
/// Of the short prompts of callers, one in this number is a repeat of each request that crashes upstreams.
const REPEAT_RATIO: u32 = 25;
/// The classes of the requests that crash upstreams, in turn, if some of them go to plain services.
const REPEATED_CLASSES: [CallClass; 3] = [
    CallClass::ShortPrompt,
    CallClass::Idempotent,
    CallClass::AtMostOnce,
];

/// The retries that requests earn where outages are the only faults.
const EARNED_PER_REQUEST: f64 = 0.2;

impl SoakConf {
    /// The bound on retries of the deployment.
    fn retry_bound(&self) -> RetryBound {
        let per_request = if self.only_outages {
            EARNED_PER_REQUEST
        } else {
            RETRY_BOUND.per_request
        };
        RetryBound {
            per_request,
            ..RETRY_BOUND
        }
    }
}

/// Runs one seed with the daemon `program`. Hosts write their logs into `dir`.
pub async fn run(conf: &SoakConf, program: &Path, dir: &Path) -> io::Result<SoakReport> {
    let slots = conf.only_floods.then_some(FLOODED_SLOTS);
    let retry_bound = conf.retry_bound();
    let limits = ProcessLimits::default();
    let deployment = Deployment::start(conf.size, slots, retry_bound, limits, program, dir).await?;
    deployment.history.lock().retry_bound = Some(retry_bound);
    let stop = watch::Sender::new(false);
    let mut callers = JoinSet::new();
    let callers_per_host = if conf.only_silences {
        SILENCED_CALLERS_PER_HOST
    } else {
        CALLERS_PER_HOST
    };
    for index in 0..conf.size.hosts * callers_per_host {
        callers.spawn(run_caller(
            Arc::clone(&deployment),
            *conf,
            index,
            stop.subscribe(),
        ));
    }
    let replacing = conf.only_parts.then(|| {
        let deployment = Arc::clone(&deployment);
        tokio::spawn(async move { faults::replace_crashed(&deployment).await })
    });
    sleep(STARTUP_TIME).await;
    let series = draw_series(conf);
    let faults = series.iter().map(Vec::len).sum();
    let injections = series
        .into_iter()
        .map(|faults| faults::inject_all(&deployment, faults));
    join_all(injections).await;
    let served_from = deployment.now() + RECOVERY_TIME;
    // Without the guarantee on the recovery, a short run need not observe it.
    if conf.guarantees != GuaranteeSet::SafetyAndSilences {
        sleep(RECOVERY_TIME + OBSERVATION_TIME).await;
    }
    stop.send_replace(true);
    while callers.join_next().await.is_some() {}
    if let Some(replacing) = replacing {
        replacing.abort();
    }
    sleep(RESERVATION_EXPIRY_TIME).await;
    let mut violations = checks::check(&deployment.history.lock(), conf.guarantees, served_from);
    violations.extend(check_final_state(&deployment));
    let observations = deployment.history.lock();
    let is_served =
        |attempt: &&CallerAttempt| matches!(attempt.outcome, CallerOutcome::Success { .. });
    Ok(SoakReport {
        attempts: observations.attempts.len(),
        served: observations.attempts.values().filter(is_served).count(),
        faults,
        violations,
    })
}

/// Draws the series of faults of a run.
fn draw_series(conf: &SoakConf) -> Vec<Vec<(Duration, Fault)>> {
    if conf.only_floods {
        return vec![draw_floods(conf)];
    }
    if conf.only_outages {
        return vec![draw_earned_outages(conf), draw_odd_entries(conf)];
    }
    if conf.only_silences {
        return vec![draw_silences(conf, SILENCES_GAP_MS)];
    }
    if conf.only_parts {
        let mut series = vec![draw_restarts(conf), draw_odd_entries(conf)];
        if conf.restarts_all {
            series.push(draw_full_restarts(conf));
        }
        if conf.only_path_cuts {
            series.push(draw_path_cuts(conf));
        }
        return series;
    }
    let mut series = vec![draw_path_cuts(conf)];
    if !conf.only_path_cuts {
        series.extend([
            draw_faults(conf),
            draw_limits(conf),
            draw_notices(conf),
            draw_restores(conf),
            draw_odd_entries(conf),
            draw_evacuations(conf),
            draw_outages(conf),
            draw_partial_outages(conf),
            draw_silences(conf, RARE_SILENCES_GAP_MS),
        ]);
    }
    series
}

/// Returns violations for memory that is still reserved and for hosts that exited by themselves.
fn check_final_state(deployment: &Deployment) -> Vec<Violation> {
    let upstreams = lock(&deployment.upstreams);
    let with_reservations = upstreams
        .iter()
        .filter(|upstream| upstream.reservation_count() > 0);
    let leaks = with_reservations.map(|upstream| Violation {
        guarantee: "no engine leaks reserved memory",
        details: format!(
            "{} reservations at {}",
            upstream.reservation_count(),
            upstream.id
        ),
    });
    let exited = deployment.hosts.iter().filter_map(|host| {
        let mut host = lock(host);
        let code = host.exit_code()?;
        Some(Violation {
            guarantee: "no host exits by itself",
            details: format!("{} exited with code {code}", host.conf.name),
        })
    });
    leaks.chain(exited).collect()
}

/// Runs one caller until `stop` becomes true.
async fn run_caller(
    deployment: Arc<Deployment>,
    conf: SoakConf,
    index: usize,
    stop: watch::Receiver<bool>,
) {
    let mut rng =
        StdRng::seed_from_u64(conf.seed ^ (index as u64 + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15));
    let crash_point = conf
        .crash_point
        .unwrap_or_else(|| CrashPoint::draw(conf.seed, conf.crashes_after_calls));
    let mut caller = Caller::default();
    let mut host = index % deployment.hosts.len();
    let mut revoked_keys: Vec<String> = Vec::new();
    for count in 0.. {
        if *stop.borrow() {
            return;
        }
        sleep(Duration::from_millis(rng.random_range(20..200))).await;
        let mut request = format!("{index:04x}{count:06x}");
        let mut class = match rng.random_range(0..100) {
            0..30 => CallClass::Idempotent,
            30..50 => CallClass::AtMostOnce,
            50..70 => CallClass::Moving,
            // A larger share of prompts would exceed the prefill capacity that the engines
            // advertise, and hosts would be right to refuse some of them.
            70..98 => CallClass::ShortPrompt,
            // With more callers for each host, fewer of them send long prompts.
            _ if conf.only_silences && rng.random_ratio(4, 5) => CallClass::ShortPrompt,
            _ => CallClass::LongPrompt,
        };
        let may_crash = conf.only_parts && class.is_stream() && deployment.now() >= SOUND_TIME;
        let cause = may_crash
            .then(|| draw_cause(class, &conf, &mut rng))
            .flatten();
        let cause = cause.filter(|cause| conf.crash_cause.is_none_or(|only| only == *cause));
        if cause == Some(CrashCause::Repeat) && conf.crash_requests > 1 {
            let number = rng.random_range(0..conf.crash_requests);
            class = repeated_class(&conf, number);
            request = format!("{number}-{request}");
        }
        if let Some(cause) = cause {
            let part = draw_part(&conf, &mut rng);
            if cause == CrashCause::Part && part != CrashingPart::default() {
                request = format!("{part}-{request}");
            }
            request = cause.request(crash_point, &request);
        }
        let key = if cause == Some(CrashCause::Repeat) {
            first_key(&deployment)
        } else {
            draw_key(&deployment, &mut revoked_keys, &mut rng)
        };
        let is_abandoned = rng.random_ratio(1, 25);
        let abandoned_after = is_abandoned.then(|| Duration::from_millis(rng.random_range(5..500)));
        let abandoned_after = cause
            .and_then(|_| crash_point.abandoned_after())
            .or(abandoned_after);
        let caller_request = CallerRequest {
            request: &request,
            class,
            key: &key,
            abandoned_after,
        };
        let sent_at = deployment.now();
        let (outcome, first_data_after) = caller
            .attempt(deployment.caller_links[host].addr, &caller_request)
            .await;
        // Every other caller stays, so that also hosts that serve nobody keep callers.
        let switches_host = index.is_multiple_of(2)
            && !matches!(outcome, CallerOutcome::Success { .. })
            && rng.random_ratio(1, 2);
        let attempt = CallerAttempt {
            class,
            host,
            key,
            deadline: class.timeout(),
            sent_at,
            first_data_after,
            ended_at: deployment.now(),
            outcome,
        };
        deployment.history.lock().attempts.insert(request, attempt);
        if switches_host {
            host = rng.random_range(0..deployment.hosts.len());
        }
    }
}

/// Draws whether a prompt crashes engines, and why.
fn draw_cause(class: CallClass, conf: &SoakConf, rng: &mut StdRng) -> Option<CrashCause> {
    let repeats = conf.crash_requests.min(REPEAT_RATIO);
    if rng.random_ratio(1, conf.crash_ratio) {
        Some(CrashCause::Part)
    } else if class == CallClass::ShortPrompt && rng.random_ratio(repeats, REPEAT_RATIO) {
        Some(CrashCause::Repeat)
    } else {
        None
    }
}

/// Draws the part of a prompt that crashes engines.
fn draw_part(conf: &SoakConf, rng: &mut StdRng) -> CrashingPart {
    let number = match conf.crash_parts {
        0..=1 => 0,
        parts => rng.random_range(0..parts),
    };
    CrashingPart {
        number,
        share_percent: conf.crash_share_percent,
    }
}

/// The class of the repeated request with this number.
fn repeated_class(conf: &SoakConf, number: u32) -> CallClass {
    if !conf.crashes_services {
        return CallClass::ShortPrompt;
    }
    let index = usize::try_from(number).unwrap_or_default();
    REPEATED_CLASSES[index % REPEATED_CLASSES.len()]
}

/// A valid key of the first customer.
fn first_key(deployment: &Deployment) -> String {
    let manifest_inputs = lock(&deployment.manifest_inputs);
    let (_, keys) = &manifest_inputs.customers[0];
    keys.last().cloned().unwrap_or_default()
}

/// Draws a valid key, or one time in twenty a revoked key if there is one.
fn draw_key(deployment: &Deployment, revoked_keys: &mut Vec<String>, rng: &mut StdRng) -> String {
    if rng.random_ratio(1, 20) {
        let observations = deployment.history.lock();
        let revoked = observations
            .changes
            .iter()
            .filter_map(|(_, change)| match change {
                StoreChange::KeyRevoked(key) => Some(key.clone()),
                _ => None,
            });
        revoked_keys.clear();
        revoked_keys.extend(revoked);
        if !revoked_keys.is_empty() {
            return revoked_keys[rng.random_range(0..revoked_keys.len())].clone();
        }
    }
    let manifest_inputs = lock(&deployment.manifest_inputs);
    let (_, keys) =
        &manifest_inputs.customers[rng.random_range(0..manifest_inputs.customers.len())];
    keys.last().cloned().unwrap_or_default()
}
