//! Upstreams that parts of prompts crash, by some or all of the tries with them, and hosts that tell
//! each other what they see, under a clock moved by hand.

#![allow(unreachable_pub)]

use std::time::Duration;
use std::time::Instant;

use banyanarch::decide::CallEnd;
use banyanarch::decide::CrashCheck;
use banyanarch::decide::EndedCall;
use banyanarch::decide::LossPoint;
use banyanarch::decide::LostCall;
use banyanarch::decide::PartQuarantine;
use banyanarch::decide::RequestPart;
use banyanarch::exchange::PartEvidenceEntry;
use banyanarch::units::CrashId;
use banyanarch::units::PromptPartId;
use banyanarch::units::RequestHash;
use banyanarch::units::TellerId;
use indexmap::IndexSet;
use prost::Message;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::Ending;

/// The number of tries with one part that may come later than [`STABILITY_TIME`] after its fifth crash.
pub const LATE_TRIES_MAX: usize = 3;

const STEP: Duration = Duration::from_millis(10);
const STABILITY_TIME: Duration = Duration::from_secs(3);
const CRASHES_KNOWN: usize = 5;
/// The time without crashes at the beginning.
const SOUND_TIME: Duration = Duration::from_secs(4);
/// How long an upstream is away that has ended.
const AWAY_FOR: Duration = Duration::from_millis(1_500);
/// How long sound requests run: short ones, and one in eight for longer.
const SOUND_FOR: Duration = Duration::from_millis(300);
const LONG_SOUND_FOR: Duration = Duration::from_millis(2_000);
/// How often hosts tell each other what they see.
const TOLD_EVERY: Duration = Duration::from_millis(200);
/// The number of parts of which each prompt begins with one, and the requests of a session, which share
/// another part.
const COMMON_PARTS: u64 = 3;
const SESSION_REQUESTS: u64 = 6;
/// One in this number of prompts has a document in common.
const DOCUMENT_RATIO: u64 = 12;
const DOCUMENT: u64 = 0xd0c;
/// The number of upstreams that a call may run on.
const RUNS_MAX: u32 = 2;

/// The upstreams, their callers, and the parts that crash them.
#[derive(Clone, Copy, Debug)]
pub struct PartConf {
    pub hosts: usize,
    pub upstreams: usize,
    /// The number of parts that crash upstreams.
    pub parts: u64,
    /// The mean time between two requests with any of these.
    pub interval: Duration,
    /// The share of the tries with them that crash, in percent. The others are served.
    pub share_percent: u32,
    /// How often each of these requests is repeated by its caller, whatever the answer.
    pub repeats: u32,
    pub ending: Ending,
    /// The mean time between two ends of upstreams without a cause; none if there are none.
    pub ends_each: Option<Duration>,
    /// The sound requests a second.
    pub sound_per_s: f64,
    pub called_for: Duration,
}

impl Default for PartConf {
    fn default() -> Self {
        Self {
            hosts: 7,
            upstreams: 23,
            parts: 1,
            interval: Duration::from_millis(400),
            share_percent: 100,
            repeats: 0,
            ending: Ending::Open,
            ends_each: None,
            sound_per_s: 62.0,
            called_for: Duration::from_secs(30),
        }
    }
}

/// What identifies an entry: hosts tell each one once, and no message is lost. Counts are told again
/// when they have grown by a quarter.
fn without_age(entry: &PartEvidenceEntry) -> Vec<u8> {
    let entry = PartEvidenceEntry {
        age_ms: 0,
        served: magnitude(entry.served),
        served_and_lost: magnitude(entry.served_and_lost),
        others_ended: magnitude(entry.others_ended.min(64)) + magnitude(entry.others_ended) / 4,
        others_lost_open: 0,
        others_lost_after_end: 0,
        ..entry.clone()
    };
    entry.encode_to_vec()
}

fn magnitude(count: u32) -> u32 {
    let exponent = count.checked_ilog2().unwrap_or(0);
    4 * exponent + (count >> exponent.saturating_sub(2))
}

/// What callers and upstreams have seen.
#[derive(Debug)]
pub struct PartOutcome {
    /// The late tries with each part that crashes upstreams.
    pub late: Vec<usize>,
    pub crashes: Vec<usize>,
    /// Sound requests, and those of them that were refused.
    pub sound: usize,
    pub sound_refused: usize,
}

/// A request of a caller.
#[derive(Clone, Debug)]
struct Request {
    hash: RequestHash,
    parts: Vec<RequestPart>,
    /// The number of the part that crashes upstreams; none if the request is sound.
    bad: Option<usize>,
}

/// A call at an upstream.
struct Run {
    host: usize,
    request: Request,
    /// Of how many sends of the call this is the last.
    sends: u32,
    sent_at: Instant,
    ends: Option<(Instant, CallEnd)>,
    crash_at: Option<Instant>,
}

/// An upstream, under a new id after each end.
struct Upstream {
    id: CrashId,
    down_until: Option<Instant>,
    runs: Vec<Run>,
}

/// A run of the model.
pub struct PartModel {
    conf: PartConf,
    rng: StdRng,
    hosts: Vec<PartQuarantine>,
    /// What each host has told.
    sent: Vec<IndexSet<Vec<u8>>>,
    upstreams: Vec<Upstream>,
    ids: u64,
    repeats: Vec<(Instant, Request)>,
    crashes: Vec<Vec<Instant>>,
    tries: Vec<Vec<Instant>>,
    sound: usize,
    sound_refused: usize,
}

impl PartModel {
    /// Runs the model with a seed.
    pub fn run(conf: PartConf, seed: u64) -> PartOutcome {
        let parts = usize::try_from(conf.parts).unwrap();
        let tellers = (1_u64..).take(conf.hosts).map(TellerId);
        let mut model = Self {
            conf,
            rng: StdRng::seed_from_u64(seed),
            hosts: tellers.map(PartQuarantine::new).collect(),
            sent: vec![IndexSet::new(); conf.hosts],
            upstreams: Vec::new(),
            ids: 0,
            repeats: Vec::new(),
            crashes: vec![Vec::new(); parts],
            tries: vec![Vec::new(); parts],
            sound: 0,
            sound_refused: 0,
        };
        for _ in 0..conf.upstreams {
            let id = CrashId(model.next_id());
            model.upstreams.push(Upstream {
                id,
                down_until: None,
                runs: Vec::new(),
            });
        }
        let started_at = Instant::now();
        let mut told_at = started_at;
        let mut now = started_at;
        while now < started_at + conf.called_for {
            model.end_calls(now);
            model.end_upstreams(now, started_at);
            model.send_sound(now);
            if now >= started_at + SOUND_TIME {
                model.send_bad(now);
            }
            if now >= told_at + TOLD_EVERY {
                model.tell(now);
                told_at = now;
            }
            now += STEP;
        }
        model.outcome()
    }

    fn next_id(&mut self) -> u64 {
        self.ids += 1;
        self.ids + 0x1_0000
    }

    /// Whether something with this mean interval happens in a step.
    fn draws(&mut self, interval: Duration) -> bool {
        let probability = STEP.as_secs_f64() / interval.as_secs_f64();
        self.rng.random_bool(probability.min(1.0))
    }

    fn tell(&mut self, now: Instant) {
        for from in 0..self.hosts.len() {
            let told = self.hosts[from].evidence(now).into_iter();
            let entries = told.map(PartEvidenceEntry::from);
            let sent = &mut self.sent[from];
            let entries: Vec<PartEvidenceEntry> = entries
                .filter(|entry| sent.insert(without_age(entry)))
                .collect();
            for to in (0..self.hosts.len()).filter(|to| *to != from) {
                for evidence in entries.iter().filter_map(PartEvidenceEntry::evidence) {
                    self.hosts[to].on_evidence(evidence, now);
                }
            }
        }
    }

    fn end_calls(&mut self, now: Instant) {
        for index in 0..self.upstreams.len() {
            if self.upstreams[index].down_until.is_some_and(|at| at <= now) {
                let id = CrashId(self.next_id());
                self.upstreams[index].id = id;
                self.upstreams[index].down_until = None;
            }
            let upstream = &mut self.upstreams[index];
            for run in &mut upstream.runs {
                let Some((_, end)) = run.ends.filter(|(at, _)| *at <= now) else {
                    continue;
                };
                run.ends = None;
                let call = EndedCall {
                    crash: upstream.id,
                    request: run.request.hash,
                    parts: run.request.parts.clone(),
                    end,
                };
                let host = &mut self.hosts[run.host];
                host.on_call_ended(call, now);
                if end != CallEnd::Unanswered {
                    host.on_alive(upstream.id, run.sent_at, now);
                }
            }
            let is_kept = |run: &Run| run.ends.is_some() || run.crash_at.is_some();
            upstream.runs.retain(is_kept);
        }
    }

    fn end_upstreams(&mut self, now: Instant, started_at: Instant) {
        let mut ended = Vec::new();
        for (index, upstream) in self.upstreams.iter().enumerate() {
            let due = upstream
                .runs
                .iter()
                .filter(|run| run.crash_at.is_some_and(|at| at <= now));
            if let Some(run) = due.min_by_key(|run| run.crash_at) {
                ended.push((index, run.request.bad));
            }
        }
        if let Some(interval) = self.conf.ends_each
            && now >= started_at + SOUND_TIME
            && self.draws(interval)
        {
            ended.push((self.rng.random_range(0..self.upstreams.len()), None));
        }
        for (index, bad) in ended {
            if self.upstreams[index].down_until.is_none() {
                self.end_upstream(index, bad, now);
            }
        }
    }

    fn end_upstream(&mut self, index: usize, bad: Option<usize>, now: Instant) {
        if let Some(number) = bad {
            self.crashes[number].push(now);
        }
        let upstream = &mut self.upstreams[index];
        upstream.down_until = Some(now + AWAY_FOR);
        let id = upstream.id;
        let is_open_crash = self.conf.ending == Ending::Open;
        let is_open = |run: &Run| run.ends.is_some() || (run.crash_at.is_some() && is_open_crash);
        let runs = std::mem::take(&mut upstream.runs);
        let open: Vec<Run> = runs.into_iter().filter(is_open).collect();
        for run in &open {
            let lost = LostCall {
                crash: id,
                request: run.request.hash,
                parts: run.request.parts.clone(),
                point: LossPoint::Early,
            };
            self.hosts[run.host].on_lost(&lost, now);
        }
        let seen_by = self.rng.random_range(0..self.hosts.len());
        self.hosts[seen_by].on_upstream_ended(id, now);
        for run in open.into_iter().filter(|run| run.sends < RUNS_MAX) {
            self.send(run.host, run.request, run.sends + 1, now);
        }
    }

    fn send_sound(&mut self, now: Instant) {
        if !self
            .rng
            .random_bool(self.conf.sound_per_s * STEP.as_secs_f64())
        {
            return;
        }
        let id = self.next_id();
        let common = 0xc0 + self.rng.random_range(0..COMMON_PARTS);
        let session = 0x5_0000_0000 + id / SESSION_REQUESTS;
        let request = Request {
            hash: RequestHash(id),
            parts: [common, session]
                .into_iter()
                .chain(id.is_multiple_of(DOCUMENT_RATIO).then_some(DOCUMENT))
                .map(|part| PromptPartId(part).into())
                .collect(),
            bad: None,
        };
        let host = self.rng.random_range(0..self.hosts.len());
        self.sound += 1;
        if !self.send(host, request, 1, now) {
            self.sound_refused += 1;
        }
    }

    fn send_bad(&mut self, now: Instant) {
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.repeats)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.repeats = later;
        let mut requests: Vec<Request> = due.into_iter().map(|(_, request)| request).collect();
        if self.conf.parts > 0 && self.draws(self.conf.interval) {
            let number = self.rng.random_range(0..self.conf.parts);
            let common = 0xc0 + self.rng.random_range(0..COMMON_PARTS);
            let request = Request {
                hash: RequestHash(self.next_id()),
                parts: [common, 0xbad0 + number]
                    .map(|part| PromptPartId(part).into())
                    .into(),
                bad: Some(usize::try_from(number).unwrap()),
            };
            for repeat in 1..=self.conf.repeats {
                self.repeats
                    .push((now + Duration::from_secs(3) * repeat, request.clone()));
            }
            requests.push(request);
        }
        for request in requests {
            let host = self.rng.random_range(0..self.hosts.len());
            self.send(host, request, 1, now);
        }
    }

    /// Sends a call to an upstream, if the host allows it. Returns false if it is refused.
    fn send(&mut self, host: usize, request: Request, sends: u32, now: Instant) -> bool {
        let whole = RequestPart::from(request.hash);
        let parts: Vec<RequestPart> = request.parts.iter().copied().chain([whole]).collect();
        match self.hosts[host].check(&parts, now) {
            CrashCheck::Refuse(_) => return false,
            CrashCheck::AdmitOnce if sends > 1 => return true,
            CrashCheck::Admit | CrashCheck::AdmitOnce => {}
            CrashCheck::Probe(quarantined) => {
                for host in &mut self.hosts {
                    host.on_probe(&quarantined.parts, now, now);
                }
            }
        }
        let up = self.upstreams.iter().enumerate();
        let up: Vec<usize> = up
            .filter(|(_, upstream)| upstream.down_until.is_none())
            .map(|(index, _)| index)
            .collect();
        if up.is_empty() {
            return true;
        }
        let index = up[self.rng.random_range(0..up.len())];
        let share = self.conf.share_percent;
        let crashes = request.bad.is_some() && self.rng.random_range(0..100) < share;
        let ending = self.conf.ending;
        let (ends, crash_at) = if crashes {
            let ends = ending.call_end().map(|(after, end)| (now + after, end));
            (ends, Some(now + ending.upstream_ends_after()))
        } else {
            let is_long = self.rng.random_ratio(1, 8);
            let time = if is_long { LONG_SOUND_FOR } else { SOUND_FOR };
            (Some((now + time, CallEnd::Succeeded)), None)
        };
        if let Some(number) = request.bad {
            self.tries[number].push(now);
        }
        self.upstreams[index].runs.push(Run {
            host,
            request,
            sends,
            sent_at: now,
            ends,
            crash_at,
        });
        true
    }

    fn outcome(self) -> PartOutcome {
        let late = self
            .crashes
            .iter()
            .zip(&self.tries)
            .map(|(crashes, tries)| {
                let Some(fifth) = crashes.get(CRASHES_KNOWN - 1) else {
                    return 0;
                };
                tries
                    .iter()
                    .filter(|at| **at > *fifth + STABILITY_TIME)
                    .count()
            });
        PartOutcome {
            late: late.collect(),
            crashes: self.crashes.iter().map(Vec::len).collect(),
            sound: self.sound,
            sound_refused: self.sound_refused,
        }
    }
}
