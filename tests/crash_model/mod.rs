//! Upstreams that some requests crash, callers that repeat these, and hosts that know the same, under a
//! clock moved by hand.

#![allow(dead_code)]
#![allow(unreachable_pub)]

pub mod parts;

use std::time::Duration;
use std::time::Instant;

use banyanarch::decide::CallEnd;
use banyanarch::decide::CrashCheck;
use banyanarch::decide::EndedCall;
use banyanarch::decide::LossPoint;
use banyanarch::decide::LostCall;
use banyanarch::decide::PartQuarantine;
use banyanarch::decide::RequestPart;
use banyanarch::units::CrashId;
use banyanarch::units::RequestHash;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// The number of arrivals of one request that may come later than [`STABILITY_TIME`] after its third
/// crash.
pub const LATE_ARRIVALS_MAX: usize = 3;

const STEP: Duration = Duration::from_millis(10);
const STABILITY_TIME: Duration = Duration::from_secs(3);
/// How long requests that crash upstreams are sent: longer than one is refused at first.
const CALLED_FOR: Duration = Duration::from_secs(70);
/// The time without such requests at the beginning.
const SOUND_TIME: Duration = Duration::from_secs(3);
const CRASHES_KNOWN: usize = 3;
/// How long an upstream is away that has ended.
const AWAY_FOR: Duration = Duration::from_millis(1_500);
/// How long sound requests run.
const SOUND_FOR: Duration = Duration::from_millis(300);
/// One sound request comes in each step with this probability, and is the one that is repeated with the
/// second.
const SOUND_PROBABILITY: f64 = 0.6;
const REPEATED_PROBABILITY: f64 = 0.08;
/// The sound request that is repeated.
const REPEATED: u64 = 1;

/// How a call has ended when it ends its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// It is open for 1.5 s and has no answer.
    Open,
    /// It was answered 0.6 s before.
    Answered,
    /// It failed 0.4 s before.
    Failed,
    /// Its caller left 0.5 s before.
    Abandoned,
}

impl Ending {
    /// When the call ends, and with what; none if it is open when its upstream ends.
    pub(crate) fn call_end(self) -> Option<(Duration, CallEnd)> {
        let ms = Duration::from_millis;
        match self {
            Self::Open => None,
            Self::Answered => Some((ms(300), CallEnd::Succeeded)),
            Self::Failed => Some((ms(10), CallEnd::Failed)),
            Self::Abandoned => Some((ms(2_000), CallEnd::Unanswered)),
        }
    }

    /// When the upstream ends.
    pub(crate) fn upstream_ends_after(self) -> Duration {
        Duration::from_millis(match self {
            Self::Open => 1_500,
            Self::Answered => 900,
            Self::Failed => 410,
            Self::Abandoned => 2_500,
        })
    }
}

/// The upstreams and the requests that crash them.
#[derive(Clone, Copy, Debug)]
pub struct ModelConf {
    pub upstreams: usize,
    /// The number of different requests that crash upstreams.
    pub crashing: u64,
    /// The mean time between two repeats of each.
    pub interval: Duration,
    pub ending: Ending,
}

/// What callers and upstreams have seen.
#[derive(Debug)]
pub struct ModelOutcome {
    /// The late arrivals of each request that crashes upstreams.
    pub late: Vec<usize>,
    /// Sound requests, and those of them that were refused.
    pub sound: usize,
    pub sound_refused: usize,
}

/// A call at an upstream.
struct Run {
    request: RequestHash,
    sent_at: Instant,
    /// When the call ends, and with what; none if it does not or has ended.
    ends: Option<(Instant, CallEnd)>,
    /// The number of the request and when it ends the upstream, for those that do.
    crash: Option<(usize, Instant)>,
}

/// An upstream, under a new id after each end.
struct Upstream {
    id: CrashId,
    down_until: Option<Instant>,
    runs: Vec<Run>,
}

/// A run of the model.
pub struct CrashModel {
    conf: ModelConf,
    rng: StdRng,
    quarantine: PartQuarantine,
    upstreams: Vec<Upstream>,
    ids: u64,
    /// Of each request that crashes upstreams the crashes and the arrivals.
    crashes: Vec<Vec<Instant>>,
    arrivals: Vec<Vec<Instant>>,
    sound: usize,
    sound_refused: usize,
}

impl CrashModel {
    /// Runs the model with a seed.
    pub fn run(conf: ModelConf, seed: u64) -> ModelOutcome {
        let crashing = usize::try_from(conf.crashing).unwrap();
        let mut model = Self {
            conf,
            rng: StdRng::seed_from_u64(seed),
            quarantine: PartQuarantine::default(),
            upstreams: Vec::new(),
            ids: 0,
            crashes: vec![Vec::new(); crashing],
            arrivals: vec![Vec::new(); crashing],
            sound: 0,
            sound_refused: 0,
        };
        for _ in 0..conf.upstreams {
            let id = model.next_id();
            model.upstreams.push(Upstream {
                id: CrashId(id),
                down_until: None,
                runs: Vec::new(),
            });
        }
        let started_at = Instant::now();
        let mut now = started_at;
        while now < started_at + CALLED_FOR {
            model.end_calls(now);
            model.end_upstreams(now);
            model.send_sound(now);
            if now >= started_at + SOUND_TIME {
                model.send_crashing(now);
            }
            now += STEP;
        }
        model.outcome()
    }

    fn next_id(&mut self) -> u64 {
        self.ids += 1;
        // Apart from the requests that come again.
        self.ids + 1_000
    }

    /// Ends the calls that are due, and starts upstreams again.
    fn end_calls(&mut self, now: Instant) {
        for index in 0..self.upstreams.len() {
            if self.upstreams[index].down_until.is_some_and(|at| at <= now) {
                let id = CrashId(self.next_id());
                let upstream = &mut self.upstreams[index];
                upstream.id = id;
                upstream.down_until = None;
            }
            let upstream = &mut self.upstreams[index];
            for run in &mut upstream.runs {
                let Some((_, end)) = run.ends.filter(|(at, _)| *at <= now) else {
                    continue;
                };
                run.ends = None;
                let call = EndedCall {
                    crash: upstream.id,
                    request: run.request,
                    parts: Vec::new(),
                    end,
                };
                self.quarantine.on_call_ended(call, now);
                if end != CallEnd::Unanswered {
                    self.quarantine.on_alive(upstream.id, run.sent_at, now);
                }
            }
            upstream
                .runs
                .retain(|run| run.ends.is_some() || run.crash.is_some());
        }
    }

    /// Ends the upstreams under requests that crash them, with all their calls.
    fn end_upstreams(&mut self, now: Instant) {
        for upstream in &mut self.upstreams {
            let crashes = upstream.runs.iter().filter_map(|run| run.crash);
            let Some((number, _)) = crashes
                .filter(|(_, at)| *at <= now)
                .min_by_key(|(_, at)| *at)
            else {
                continue;
            };
            self.crashes[number].push(now);
            let is_open = |run: &Run| {
                run.ends.is_some() || (run.crash.is_some() && self.conf.ending == Ending::Open)
            };
            let (open, _): (Vec<Run>, Vec<Run>) = std::mem::take(&mut upstream.runs)
                .into_iter()
                .partition(is_open);
            for run in open {
                let lost = LostCall {
                    crash: upstream.id,
                    request: run.request,
                    parts: Vec::new(),
                    point: LossPoint::Early,
                };
                self.quarantine.on_lost(&lost, now);
            }
            self.quarantine.on_upstream_ended(upstream.id, now);
            upstream.down_until = Some(now + AWAY_FOR);
        }
    }

    fn send_sound(&mut self, now: Instant) {
        if !self.rng.random_bool(SOUND_PROBABILITY) {
            return;
        }
        let request = if self.rng.random_bool(REPEATED_PROBABILITY) {
            RequestHash(REPEATED)
        } else {
            RequestHash(self.next_id())
        };
        self.sound += 1;
        if !self.is_admitted(request, now) {
            self.sound_refused += 1;
            return;
        }
        let ends = Some((now + SOUND_FOR, CallEnd::Succeeded));
        self.send(request, ends, None, now);
    }

    fn send_crashing(&mut self, now: Instant) {
        for number in 0..self.crashes.len() {
            let probability = STEP.as_secs_f64() / self.conf.interval.as_secs_f64();
            if !self.rng.random_bool(probability) {
                continue;
            }
            let request = RequestHash(100 + number as u64);
            if !self.is_admitted(request, now) {
                continue;
            }
            let ending = self.conf.ending;
            let ends = ending.call_end().map(|(after, end)| (now + after, end));
            let crash_at = now + ending.upstream_ends_after();
            if self.send(request, ends, Some((number, crash_at)), now) {
                self.arrivals[number].push(now);
            }
        }
    }

    /// Whether a request is sent, if necessary as a probe.
    fn is_admitted(&mut self, request: RequestHash, now: Instant) -> bool {
        let parts = [RequestPart::from(request)];
        match self.quarantine.check(&parts, now) {
            CrashCheck::Admit | CrashCheck::AdmitOnce => true,
            CrashCheck::Refuse(_) => false,
            CrashCheck::Probe(quarantined) => {
                self.quarantine.on_probe(&quarantined.parts, now, now);
                true
            }
        }
    }

    /// Sends a request to an upstream that is up; returns false if none is.
    fn send(
        &mut self,
        request: RequestHash,
        ends: Option<(Instant, CallEnd)>,
        crash: Option<(usize, Instant)>,
        now: Instant,
    ) -> bool {
        let mut up: Vec<&mut Upstream> = self
            .upstreams
            .iter_mut()
            .filter(|upstream| upstream.down_until.is_none())
            .collect();
        if up.is_empty() {
            return false;
        }
        let index = self.rng.random_range(0..up.len());
        up[index].runs.push(Run {
            request,
            sent_at: now,
            ends,
            crash,
        });
        true
    }

    fn outcome(self) -> ModelOutcome {
        let late = self.crashes.iter().zip(&self.arrivals);
        let late = late.map(|(crashes, arrivals)| {
            let Some(third) = crashes.get(CRASHES_KNOWN - 1) else {
                return 0;
            };
            let late = arrivals.iter().filter(|at| **at >= *third + STABILITY_TIME);
            late.count()
        });
        ModelOutcome {
            late: late.collect(),
            sound: self.sound,
            sound_refused: self.sound_refused,
        }
    }
}
