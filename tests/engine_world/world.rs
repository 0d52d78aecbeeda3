//! The event loop of the simulation: callers, hosts, engines and the reports between hosts.

use std::time::Duration;
use std::time::Instant;

use banyanarch::decide::CallLane;
use banyanarch::decide::RequestLoad;
use banyanarch::decide::RoomCheck;
use banyanarch::decide::RoomRequest;
use banyanarch::decide::ShareStanding;
use banyanarch::decide::WaitRank;
use banyanarch::decide::WaitingCall;
use banyanarch::decide::check_room;
use banyanarch::decide::engines::EngineChoice;
use banyanarch::decide::engines::EnginePlan;
use banyanarch::decide::engines::EngineRequest;
use banyanarch::decide::engines::EngineView;
use banyanarch::decide::engines::capacity_taken;
use banyanarch::decide::engines::choose_engines;
use banyanarch::decide::engines::slots_taken;
use banyanarch::routing::stream_caller_timeout;
use banyanarch::units::BoundedTime;
use banyanarch::units::ByteSize;
use banyanarch::units::CustomerId;
use banyanarch::units::Priority;
use banyanarch::units::RequestId;
use banyanarch::units::ServiceId;
use banyanarch::units::UpstreamId;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::engine::Engine;
use super::event_queue::EventQueue;
use super::host::Host;
use super::host::LoadReport;
use super::load::Load;
use super::load::SHORT;
use super::load::Site;
use super::refusals::Refusals;
use super::run_results::Outcome;
use super::run_results::RequestResult;
use super::run_results::RunResults;

/// Delay of a message from a host to an engine or another host, including the time to connect.
const NETWORK_DELAY: Duration = Duration::from_millis(2);
/// Round trip from a caller to a host.
const CALLER_ROUND_TRIP: Duration = Duration::from_millis(7);
/// Delay before a choice is repeated after a refused reservation.
const RESERVE_RETRY_DELAY: Duration = Duration::from_millis(40);
/// XORed with the seed of a run for the draws of the room check.
const ROOM_SEED_MASK: u64 = 0x0000_4004;
/// Engine time per second that customers above their share may bring in use, for each engine, in
/// microseconds.
const ENGINE_US_PER_S: f64 = 0.8e6;
/// Delay after which a request that waits behind others is tried again.
const QUEUED_RETRY_DELAY: Duration = Duration::from_millis(60);

/// The most sends of one prompt that engines may reject. Each counts against the retry budget of
/// the host.
const REJECTED_SENDS_MAX: u32 = 2;
/// Time after which a caller retries whose request was rejected by engines too often.
const NO_ENGINE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// An event of the simulation, with the index of the request, engine, host or report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    /// A request arrives at a host.
    Arrive(usize),
    /// The host of a request chooses engines.
    Decide(usize),
    /// The engines of a request answer the reservations of memory.
    MemoryReservation(usize),
    /// A request reaches its engines.
    Start(usize),
    /// An engine ends its pass.
    PassEnds(usize),
    /// A host sends its load report.
    SendReport(usize),
    /// A load report reaches the hosts of the sender's domain.
    ReceiveReport(usize),
    /// A load report reaches the hosts of other domains.
    ReceiveFarReport(usize),
}

/// The state of one request.
struct RequestState {
    host: usize,
    /// When the request reached its current host.
    arrived: Duration,
    /// Whether the request is at a host that has not sent or refused it.
    is_pending: bool,
    /// Whether its host has let the request in.
    is_admitted: bool,
    /// What its customer wanted compared with its share when it arrived.
    standing: ShareStanding,
    /// The lane in whose queue the request is, if any.
    queued_in: Option<CallLane>,
    /// When the request is to be tried again, unless it is woken before.
    retry_at: Duration,
    plan: Option<EnginePlan>,
    request_loads: Vec<(UpstreamId, RequestLoad)>,
    sent_at: Duration,
    parts_left: usize,
    first_event: Option<Duration>,
    last_event: Duration,
    longest_pause: Duration,
    refusals: u32,
    rejected_sends: u32,
    /// Engines that are released as helpers when the prompt is read.
    helpers_until_read: Vec<usize>,
    /// Engines that hold a part of the prompt until the answer ends.
    helpers_until_end: Vec<usize>,
    outcome: Option<RequestResult>,
}

/// A simulated site under a load.
pub struct World {
    site: Site,
    load: Load,
    started_at: Instant,
    now: Duration,
    rng: StdRng,
    /// For the draws of the room check, so that they do not change the others.
    room_rng: StdRng,
    events: EventQueue<Event>,
    hosts: Vec<Host>,
    engines: Vec<Engine>,
    ids: Vec<UpstreamId>,
    /// The accounts of the shares of short prompts and of longer ones.
    accounts: [ServiceId; 2],
    customers: Vec<CustomerId>,
    states: Vec<RequestState>,
    reports: Vec<LoadReport>,
}

impl World {
    /// Runs a load to its end.
    pub fn run(site: Site, load: Load, seed: u64) -> RunResults {
        let mut world = Self::new(site, load, seed);
        for index in 0..world.load.requests.len() {
            let arrives = world.load.requests[index].arrives;
            world.push(arrives, Event::Arrive(index));
        }
        while let Some((at, event)) = world.events.pop_until(Duration::MAX) {
            world.now = at;
            world.handle(event);
        }
        world.results()
    }

    fn new(site: Site, load: Load, seed: u64) -> Self {
        let ids = (0..site.engines).map(|index| format!("e{index:03}").parse().unwrap());
        let state = |_: &_| RequestState {
            host: 0,
            arrived: Duration::ZERO,
            is_pending: false,
            is_admitted: false,
            standing: ShareStanding::within(),
            queued_in: None,
            retry_at: Duration::ZERO,
            plan: None,
            request_loads: Vec::new(),
            sent_at: Duration::ZERO,
            parts_left: 0,
            first_event: None,
            last_event: Duration::ZERO,
            longest_pause: Duration::ZERO,
            refusals: 0,
            rejected_sends: 0,
            helpers_until_read: Vec::new(),
            helpers_until_end: Vec::new(),
            outcome: None,
        };
        Self {
            ids: ids.collect(),
            accounts: ["engines", "engines/long"].map(|account| account.parse().unwrap()),
            customers: (0..site.customers)
                .map(|index| format!("customer-{index}").parse().unwrap())
                .collect(),
            states: load.requests.iter().map(state).collect(),
            hosts: (0..site.hosts)
                .map(|i| Host::new(i, i % site.domains))
                .collect(),
            engines: (0..site.engines).map(|_| Engine::default()).collect(),
            started_at: Instant::now(),
            now: Duration::ZERO,
            rng: StdRng::seed_from_u64(seed),
            room_rng: StdRng::seed_from_u64(seed ^ ROOM_SEED_MASK),
            events: EventQueue::default(),
            reports: Vec::new(),
            site,
            load,
        }
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.events.push(at, event);
    }

    /// The simulated time as an instant.
    fn instant(&self) -> Instant {
        self.started_at + self.now
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => {
                let called = self.site.called_hosts.unwrap_or(self.hosts.len());
                let host = self.rng.random_range(0..called);
                let state = &mut self.states[request];
                state.host = host;
                state.arrived = self.now;
                state.is_pending = true;
                state.is_admitted = false;
                self.count_arrival(request);
                self.decide(request);
            }
            Event::Decide(request) => self.take_turn(request),
            Event::MemoryReservation(request) => self.reserve(request),
            Event::Start(request) => self.start(request),
            Event::PassEnds(engine) => self.finish_pass(engine),
            Event::SendReport(host) => self.send_report(host),
            Event::ReceiveReport(report) => self.receive_report(report),
            Event::ReceiveFarReport(report) => self.receive_far_report(report),
        }
    }

    /// Counts a request as wanted by its customer.
    fn count_arrival(&mut self, request: usize) {
        let spec = &self.load.requests[request];
        let cost = self.site.model.engine_time(spec.prompt, spec.output_max);
        let (host, now) = (self.states[request].host, self.instant());
        let customer = &self.customers[spec.customer];
        let account = &self.accounts[usize::from(spec.class != SHORT)];
        let shares = &mut self.hosts[host].shares;
        shares.on_arrival(account, customer, cost, now);
        let figures = shares.figures(account, customer, now);
        self.states[request].standing = figures.standing_before(cost.as_secs_f64() * 1e6);
    }

    /// The fraction of what the customer of a request wants that fits beside what others want.
    fn fitting_fraction(&self, request: usize, engines: usize) -> f64 {
        let spec = &self.load.requests[request];
        let shares = &self.hosts[self.states[request].host].shares;
        let lane = usize::from(spec.class != SHORT);
        let other_lane_us_per_s = shares.wanted_us_per_s(&self.accounts[1 - lane]);
        let customer = &self.customers[spec.customer];
        shares
            .figures(&self.accounts[lane], customer, self.instant())
            .fitting_fraction(engines as f64 * ENGINE_US_PER_S - other_lane_us_per_s)
    }

    /// Tries a request that is due or was woken, unless others come first.
    fn take_turn(&mut self, request: usize) {
        let state = &self.states[request];
        if !state.is_pending {
            return;
        }
        let Some(lane) = state.queued_in else {
            return self.decide(request);
        };
        let (host, is_due) = (state.host, self.now >= state.retry_at);
        let heads = self.hosts[host].queue(lane).heads();
        if heads.contains(&id_of(request)) {
            return self.decide(request);
        }
        if is_due {
            let class = &self.site.classes[self.load.requests[request].class];
            if self.now - self.states[request].arrived >= class.objective / 4
                && lane.has_equal_needs()
            {
                return self.decide(request);
            }
            self.retry_after(request, QUEUED_RETRY_DELAY);
        }
    }

    /// Schedules the next try of a request.
    fn retry_after(&mut self, request: usize, delay: Duration) {
        self.states[request].retry_at = self.now + delay;
        self.push(self.now + delay, Event::Decide(request));
    }

    /// Lets these requests try now.
    fn wake(&mut self, ids: &[RequestId]) {
        for id in ids {
            self.push(self.now, Event::Decide(usize::try_from(id.0).unwrap()));
        }
    }

    /// Lets the first requests of a host that wait for slots try now.
    fn wake_heads(&mut self, host: usize) {
        let queues = self.hosts[host].queues.iter();
        let queues = queues.filter(|(lane, _)| lane.has_equal_needs());
        let heads: Vec<RequestId> = queues.flat_map(|(_, queue)| queue.heads()).collect();
        self.wake(&heads);
    }

    /// Adds a request to the queue of its lane, or moves it there to its current rank. Returns false
    /// if the queue is full.
    fn enqueue(&mut self, request: usize, lane: CallLane, rank: WaitRank) -> bool {
        let spec = &self.load.requests[request];
        let call = WaitingCall {
            id: id_of(request),
            rank,
            account: self.customers[spec.customer].clone(),
            due_at: self.started_at
                + self.states[request].arrived
                + self.site.classes[spec.class].objective,
            engine_time: self.site.model.engine_time(spec.prompt, spec.output_max),
            size: ByteSize(1_000),
        };
        let host = self.states[request].host;
        let queue = self.hosts[host].queue(lane);
        if self.states[request].queued_in.is_some() {
            queue.set_rank(&call.id, rank);
            return true;
        }
        let is_queued = queue.push(call);
        self.states[request].queued_in = is_queued.then_some(lane);
        is_queued
    }

    /// Ends the waiting of a request at its host.
    fn leave_queue(&mut self, request: usize, is_sent: bool) {
        self.states[request].is_pending = false;
        let Some(lane) = self.states[request].queued_in.take() else {
            return;
        };
        let host = self.states[request].host;
        let queue = self.hosts[host].queue(lane);
        if is_sent {
            queue.take(&id_of(request));
        } else {
            queue.remove(&id_of(request));
        }
        let heads = queue.heads();
        if lane.has_equal_needs() {
            self.wake(&heads);
        }
    }

    fn engine_request(&mut self, request: usize, time_left: Duration) -> EngineRequest {
        let spec = &self.load.requests[request];
        let class = &self.site.classes[spec.class];
        let waited = self.now - self.states[request].arrived;
        EngineRequest {
            prompt: spec.prompt,
            output: spec.output_max,
            objective_left: class.objective.saturating_sub(waited),
            patience_left: stream_caller_timeout(class.objective, Some(class.pause))
                .saturating_sub(waited),
            time_left,
            slot_wait_left: (class.objective / 4).saturating_sub(waited),
            strictest_pause: self.site.classes.iter().map(|class| class.pause).min(),
            local_load_age_max: self.site.report_interval,
            remote_load_age_max: self.site.remote_load_age_max,
            spans_domains: false,
            shuffle_seed: self.rng.random(),
        }
    }

    /// Lets the host of a request choose engines, and acts on the choice.
    fn decide(&mut self, request: usize) {
        let spec = &self.load.requests[request];
        let class = &self.site.classes[spec.class];
        let since_first = self.now - spec.arrives;
        let time_left = class.timeout.saturating_sub(since_first);
        if time_left.is_zero() {
            self.leave_queue(request, false);
            self.states[request].outcome = Some(RequestResult::Refused);
            return;
        }
        let (pause, now) = (class.pause, self.instant());
        let host = self.states[request].host;
        let standing = self.states[request].standing;
        let engine_request = self.engine_request(request, time_left);
        let views = self.hosts[host].views(&self.site, &self.ids, self.now, now);
        if !self.states[request].is_admitted {
            if self.is_refused_for_room(request, &engine_request, &views) {
                let retry_after = engine_request.answer_time(&self.site.model);
                return self.refuse(request, retry_after);
            }
            self.states[request].is_admitted = true;
        }
        let lane = CallLane::from(engine_request.class(&self.site.model));
        let is_late = engine_request.objective_left.is_zero();
        let rank = WaitRank::new(Priority(0), standing, is_late);
        let is_new = self.states[request].queued_in.is_none();
        if is_new && self.hosts[host].queue(lane).is_behind_others(rank) {
            self.enqueue(request, lane, rank);
            return self.retry_after(request, QUEUED_RETRY_DELAY);
        }
        match choose_engines(&self.site.model, &views, &engine_request) {
            EngineChoice::Send(plan) => {
                self.leave_queue(request, true);
                self.states[request].request_loads =
                    plan.request_loads(&self.site.model, &engine_request, Some(pause), now);
                let has_reservations = !plan.reservations.is_empty();
                self.states[request].plan = Some(plan);
                self.states[request].sent_at = self.now;
                let delay = if has_reservations {
                    NETWORK_DELAY
                } else {
                    Duration::ZERO
                };
                self.push(self.now + delay, Event::MemoryReservation(request));
            }
            EngineChoice::Wait(wait) => {
                if !self.enqueue(request, lane, rank) {
                    return self.refuse(request, wait);
                }
                let wait = wait.scaled(self.rng.random_range(0.5..1.5));
                self.retry_after(request, wait.min(time_left));
            }
            EngineChoice::Refuse { retry_after, .. } => self.refuse(request, retry_after),
        }
    }

    /// Whether a request that has just come is refused because the engines run short.
    fn is_refused_for_room(
        &mut self,
        request: usize,
        engine_request: &EngineRequest,
        views: &[EngineView],
    ) -> bool {
        let room = RoomRequest {
            standing: self.states[request].standing,
            fitting_fraction: self.fitting_fraction(request, views.len()),
            priority_steps: 0,
            slots_taken: slots_taken(&self.site.model, views),
            capacity_taken: capacity_taken(&self.site.model, views, engine_request),
        };
        check_room(&room, self.room_rng.random()) != RoomCheck::Admit
    }

    /// Reserves memory at the engines and adds the request to its host's load ledger. If an engine
    /// lacks the memory, the host chooses again later.
    fn reserve(&mut self, request: usize) {
        let plan = self.states[request].plan.clone().unwrap();
        let limit = self.site.model.memory_tokens.0;
        let is_full = plan.reservations.iter().any(|reservation| {
            let engine = &self.engines[self.index(&reservation.engine)];
            engine.reserved_tokens + reservation.tokens.0 > limit
        });
        if is_full {
            self.states[request].is_pending = true;
            return self.retry_after(request, RESERVE_RETRY_DELAY);
        }
        for reservation in &plan.reservations {
            let index = self.index(&reservation.engine);
            self.engines[index].reserved_tokens += reservation.tokens.0;
        }
        let now = self.instant();
        let host = self.states[request].host;
        for (engine, load) in &self.states[request].request_loads {
            self.hosts[host].ledger.start_request(engine, load, now);
        }
        self.schedule_report(host, true);
        self.push(self.now + NETWORK_DELAY, Event::Start(request));
    }

    /// Gives the parts of a prompt to its engines, unless a helper rejects its part.
    fn start(&mut self, request: usize) {
        let plan = self.states[request].plan.clone().unwrap();
        let leader = self.index(&plan.leader);
        if self.site.refuses(leader, self.now) {
            self.on_refusal(request, &plan.leader);
            self.reject_send(request);
            return;
        }
        if !self.claim_helpers(request, &plan) {
            self.reject_send(request);
            return;
        }
        let tokens = self.load.requests[request].prompt.as_f64();
        let count = plan.helpers.len() + 1;
        self.states[request].parts_left = count;
        let read_ms = plan.part_time.as_secs_f64() * 1e3;
        let engines = [&plan.leader].into_iter().chain(&plan.helpers);
        let engines: Vec<usize> = engines.map(|id| self.index(id)).collect();
        for (place, engine) in engines.into_iter().enumerate() {
            let part_tokens = tokens / count as f64;
            self.engines[engine].push_part(request, read_ms, part_tokens, place == 0);
            self.start_pass(engine);
        }
    }

    /// Lets the host of a request know that the leader of its plan has refused it.
    fn on_refusal(&mut self, request: usize, leader: &UpstreamId) {
        let is_obeyed = self
            .site
            .refusals
            .is_some_and(|refusals| refusals.is_obeyed);
        let now = self.instant();
        let host = self.states[request].host;
        self.hosts[host].on_refusal(leader, is_obeyed.then_some(Refusals::BACKOFF), now);
    }

    /// Claims a helper slot at each helper of the plan. Returns false if one of them has none free.
    fn claim_helpers(&mut self, request: usize, plan: &EnginePlan) -> bool {
        let helpers: Vec<usize> = plan.helpers.iter().map(|id| self.index(id)).collect();
        let slots = self.site.model.slots;
        let is_full = |helper: &usize| self.engines[*helper].helping >= slots;
        if helpers.iter().any(is_full) {
            return false;
        }
        for (engine, id) in helpers.into_iter().zip(&plan.helpers) {
            self.engines[engine].helping += 1;
            let state = &mut self.states[request];
            if plan.reservation(id).is_some() {
                state.helpers_until_end.push(engine);
            } else {
                state.helpers_until_read.push(engine);
            }
        }
        true
    }

    /// Begins a pass of an engine that is idle and has work.
    fn start_pass(&mut self, engine: usize) {
        let slowdown = self.site.slowdown(engine, self.now);
        if self.engines[engine].is_idle()
            && let Some(duration) = self.engines[engine].begin_pass(&self.site.model, slowdown)
        {
            self.push(self.now + duration, Event::PassEnds(engine));
        }
    }

    /// Ends the pass of an engine, applies the results and begins the next pass.
    fn finish_pass(&mut self, engine: usize) {
        let end = self.engines[engine].end_pass();
        for (request, is_last) in end.written {
            self.on_event(request, is_last);
        }
        for request in end.read {
            self.states[request].parts_left -= 1;
            if self.states[request].parts_left == 0 {
                let leader = self.states[request].plan.as_ref().unwrap().leader.clone();
                let leader = self.index(&leader);
                let spec = &self.load.requests[request];
                let (events, context) = (spec.events, spec.prompt.as_f64());
                let parts = self.part_count(request);
                if parts > 1.0 {
                    self.engines[leader].push_writer(request, events, context / parts);
                    self.start_pass(leader);
                    continue;
                }
                // The pass that reads the end of the prompt also writes the first event.
                self.on_event(request, events <= 1);
                if events > 1 {
                    self.engines[leader].push_writer(request, events - 1, context);
                }
            }
        }
        self.start_pass(engine);
    }

    fn part_count(&self, request: usize) -> f64 {
        let plan = self.states[request].plan.as_ref().unwrap();
        (plan.helpers.len() + 1) as f64
    }

    /// Delivers an event of an answer to the caller.
    fn on_event(&mut self, request: usize, is_last: bool) {
        let now = self.now;
        let state = &mut self.states[request];
        if state.first_event.is_none() {
            state.first_event = Some(now);
            for (engine, load) in &mut state.request_loads {
                self.hosts[state.host].ledger.finish_prefill(engine, load);
            }
            for engine in std::mem::take(&mut state.helpers_until_read) {
                self.engines[engine].helping -= 1;
            }
        } else {
            state.longest_pause = state.longest_pause.max(now - state.last_event);
        }
        state.last_event = now;
        if !is_last {
            return;
        }
        let spec = &self.load.requests[request];
        let class = &self.site.classes[spec.class];
        let first = state.first_event.unwrap_or(now) + CALLER_ROUND_TRIP - spec.arrives;
        let is_on_time = first <= class.objective && state.longest_pause <= class.pause;
        state.outcome = Some(if is_on_time {
            RequestResult::OnTime
        } else {
            RequestResult::Late
        });
        self.end_work(request);
    }

    /// Removes a request from its host's load ledger and from its engines.
    fn end_work(&mut self, request: usize) {
        let host = self.states[request].host;
        for (engine, load) in std::mem::take(&mut self.states[request].request_loads) {
            self.hosts[host].ledger.end_request(&engine, &load);
        }
        let plan = self.states[request].plan.clone().unwrap();
        for reservation in &plan.reservations {
            let index = self.index(&reservation.engine);
            self.engines[index].reserved_tokens -= reservation.tokens.0;
        }
        for engine in std::mem::take(&mut self.states[request].helpers_until_end) {
            self.engines[engine].helping -= 1;
        }
        self.schedule_report(host, false);
        self.wake_heads(host);
    }

    /// Handles a send that is rejected because a helper already helps with as many prompts as it
    /// has slots.
    fn reject_send(&mut self, request: usize) {
        self.end_work(request);
        self.states[request].rejected_sends += 1;
        if self.states[request].rejected_sends > REJECTED_SENDS_MAX {
            self.refuse(request, NO_ENGINE_RETRY_AFTER);
        } else {
            self.states[request].is_pending = true;
            self.retry_after(request, NETWORK_DELAY);
        }
    }

    /// Refuses a request. The caller retries once.
    fn refuse(&mut self, request: usize, retry_after: Duration) {
        self.leave_queue(request, false);
        let spec = &self.load.requests[request];
        let class = &self.site.classes[spec.class];
        let time_left = class.timeout.saturating_sub(self.now - spec.arrives);
        self.states[request].refusals += 1;
        let is_first_refusal = self.states[request].refusals == 1;
        if is_first_refusal && retry_after < time_left {
            let after = retry_after.min(time_left / 3);
            self.push(self.now + after, Event::Arrive(request));
        } else {
            self.states[request].outcome = Some(RequestResult::Refused);
        }
    }

    /// Schedules the next report of a host: after the report interval, or sooner if it is urgent.
    fn schedule_report(&mut self, host: usize, is_urgent: bool) {
        let (interval, burst) = (self.site.report_interval, self.site.urgent_burst);
        let last_report_at = self.hosts[host].last_report_at;
        let send_at = if is_urgent {
            let send_at = last_report_at.map_or(self.now, |at| at + self.site.urgent_interval);
            send_at.max(
                self.hosts[host]
                    .next_even_report_at
                    .saturating_sub(interval * burst),
            )
        } else {
            last_report_at.map_or(self.now, |at| at + interval)
        };
        let send_at = send_at.max(self.now);
        if self.hosts[host]
            .next_report_at
            .is_none_or(|at| send_at < at)
        {
            self.hosts[host].next_report_at = Some(send_at);
            self.push(send_at, Event::SendReport(host));
        }
    }

    /// Sends the load report of a host if it is scheduled for now.
    fn send_report(&mut self, host: usize) {
        if self.hosts[host].next_report_at != Some(self.now) {
            return;
        }
        let now = self.instant();
        self.hosts[host].next_report_at = None;
        let next_even_report_at = self.hosts[host].next_even_report_at.max(self.now);
        self.hosts[host].next_even_report_at = next_even_report_at + self.site.report_interval;
        self.hosts[host].last_report_at = Some(self.now);
        let report = self.hosts[host].report(now);
        self.reports.push(report);
        self.push(
            self.now + NETWORK_DELAY,
            Event::ReceiveReport(self.reports.len() - 1),
        );
        if self.site.domains > 1 {
            self.push(
                self.now + self.site.far_report_delay,
                Event::ReceiveFarReport(self.reports.len() - 1),
            );
        }
    }

    fn receive_report(&mut self, report: usize) {
        self.deliver_report(report, |domain, sender| domain == sender);
    }

    fn receive_far_report(&mut self, report: usize) {
        self.deliver_report(report, |domain, sender| domain != sender);
    }

    /// Delivers a report to the other hosts for which `is_receiver` is true, given their domain and
    /// the domain of the sender.
    fn deliver_report(&mut self, report: usize, is_receiver: impl Fn(usize, usize) -> bool) {
        let now = self.instant();
        let report = self.reports[report].clone();
        for host in &mut self.hosts {
            if host.id != report.host && is_receiver(host.domain, report.domain) {
                host.receive_report(&report, now);
            }
        }
    }

    /// The index of the engine with this id.
    fn index(&self, id: &UpstreamId) -> usize {
        id.as_str()[1..].parse().unwrap()
    }

    fn results(self) -> RunResults {
        let states = self.states.iter().zip(&self.load.requests);
        let outcomes = states.map(|(state, spec)| Outcome {
            class: spec.class,
            customer: spec.customer,
            arrives: spec.arrives,
            result: state.outcome.unwrap_or(RequestResult::Refused),
            refusals: state.refusals,
            rejected_sends: state.rejected_sends,
            worth: spec.worth,
            prompt_tokens: spec.prompt.as_f64(),
            first_event: state.first_event.map(|at| at.saturating_sub(state.sent_at)),
            forecast: state.plan.as_ref().map_or(Duration::ZERO, |p| p.forecast),
        });
        RunResults {
            outcomes: outcomes.collect(),
            classes: self.site.classes.to_vec(),
        }
    }
}

/// The id of a request in the queues of its host.
fn id_of(request: usize) -> RequestId {
    RequestId(request.try_into().unwrap())
}
