//! Passes a stream of events on, and goes on with another engine when the first one breaks off.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use tokio::time::timeout;

use crate::decide::UpstreamFault;
use crate::gateway::CutOff;
use crate::gateway::EventSplitter;
use crate::gateway::call_dispatcher::CallDispatcher;
use crate::gateway::call_dispatcher::DispatchOutcome;
use crate::gateway::send::Answered;
use crate::gateway::send::STARTED_AGAIN;
use crate::gateway::send::first_event_patience;
use crate::gateway::tracker::Tracker;

/// How many times the longest pause that is on time a stream may stay silent before another engine
/// goes on with it. Callers leave after eight.
const SILENT_PAUSES: u32 = 5;
/// The same for streams without such a pause.
const SILENCE_DEFAULT: Duration = Duration::from_secs(2);
/// A stream on its way to a caller.
pub(crate) struct Relay {
    dispatcher: CallDispatcher,
    current: Option<Box<Answered>>,
    splitter: EventSplitter,
    tracker: Tracker,
    last_piece_at: Instant,
    has_event: bool,
    is_over: bool,
}

/// What came next from an engine.
enum Next {
    Data(Bytes),
    End,
    Broken(UpstreamFault, String),
    TimeUp,
}

impl Relay {
    pub(crate) fn new(
        dispatcher: CallDispatcher,
        answered: Box<Answered>,
        tracker: Tracker,
    ) -> Self {
        let last_piece_at = answered.sent_at;
        Self {
            dispatcher,
            current: Some(answered),
            splitter: EventSplitter::default(),
            tracker,
            last_piece_at,
            has_event: false,
            is_over: false,
        }
    }

    /// The next whole events; none at the end.
    pub(crate) async fn next(&mut self) -> Option<Result<Bytes, CutOff>> {
        if self.is_over {
            return None;
        }
        loop {
            match self.next_from_engine().await {
                Next::Data(bytes) => {
                    if let Some(events) = self.splitter.push(&bytes) {
                        self.on_events();
                        return Some(Ok(events));
                    }
                }
                Next::End if !self.splitter.has_part() => {
                    self.finish("served");
                    self.dispatcher.on_served();
                    return None;
                }
                Next::End => {
                    let why = "ended in the middle of an event".to_owned();
                    if !self.go_on_elsewhere(UpstreamFault::Broken, why).await {
                        return Some(self.cut("broken"));
                    }
                }
                Next::Broken(fault, why) => {
                    if !self.go_on_elsewhere(fault, why).await {
                        return Some(self.cut("broken"));
                    }
                }
                Next::TimeUp => return Some(self.cut("time_up")),
            }
        }
    }

    async fn next_from_engine(&mut self) -> Next {
        let now = self.dispatcher.gateway.clock.now();
        let time_left = self.dispatcher.call.time_left(now);
        if time_left.is_zero() {
            return Next::TimeUp;
        }
        let silence_left = self.silence_left(now);
        let Some(answered) = &mut self.current else {
            return Next::Broken(UpstreamFault::Broken, "no engine".to_owned());
        };
        let limit = silence_left.map_or(time_left, |left| left.min(time_left));
        let gateway = &self.dispatcher.gateway;
        let lost = gateway
            .incarnations
            .wait_until_lost(&answered.upstream.id, answered.sent_at);
        let next = tokio::select! {
            next = timeout(limit, answered.body.frame()) => next,
            () = lost => return Next::Broken(UpstreamFault::Broken, STARTED_AGAIN.to_owned()),
        };
        match next {
            Ok(Some(Ok(frame))) => Next::Data(frame.into_data().unwrap_or_default()),
            Ok(Some(Err(err))) => Next::Broken(UpstreamFault::Broken, err.to_string()),
            Ok(None) => Next::End,
            Err(_) if limit == time_left => Next::TimeUp,
            Err(_) => Next::Broken(UpstreamFault::Silent, format!("silent for {limit:?}")),
        }
    }

    /// How long the engine may still be silent; no limit where no other engine may go on.
    fn silence_left(&self, now: Instant) -> Option<Duration> {
        if !self.dispatcher.may_run_again() {
            return None;
        }
        let forecast = self.current.as_ref().map(|answered| answered.forecast)?;
        let pause = self.dispatcher.call.route.pause_objective;
        let pause = pause.map_or(SILENCE_DEFAULT, |pause| pause * SILENT_PAUSES);
        let patience = if self.has_event {
            pause
        } else {
            pause.max(first_event_patience(&self.dispatcher.call, forecast))
        };
        let silent = now.saturating_duration_since(self.last_piece_at);
        Some(
            patience
                .saturating_sub(silent)
                .max(Duration::from_millis(1)),
        )
    }

    fn on_events(&mut self) {
        let now = self.dispatcher.gateway.clock.now();
        if self.has_event {
            self.tracker
                .on_pause(now.saturating_duration_since(self.last_piece_at));
        } else {
            self.tracker.on_first_event(now);
        }
        if let Some(answered) = &mut self.current {
            answered.load.read_done();
        }
        self.has_event = true;
        self.last_piece_at = now;
    }

    /// Sends the call to another engine, to go on after the last event that was passed on. What came
    /// of the event after it is forgotten: the other engine sends it again from its beginning.
    async fn go_on_elsewhere(&mut self, fault: UpstreamFault, why: String) -> bool {
        // Its connection is closed first: two engines must not write the same answer.
        if let Some(failed) = self.current.take() {
            self.dispatcher
                .on_connection_lost(&failed.upstream, fault, &why);
        }
        if !self.dispatcher.may_run_again() {
            return false;
        }
        self.splitter.drop_part();
        let last_event = self.splitter.last_id().map(str::to_owned);
        match self.dispatcher.dispatch(last_event.as_deref()).await {
            DispatchOutcome::Answered(answered) if answered.head.status.is_success() => {
                self.last_piece_at = answered.sent_at;
                self.current = Some(answered);
                true
            }
            DispatchOutcome::Answered(_) | DispatchOutcome::Refused(_) => false,
        }
    }

    fn cut(&mut self, outcome: &str) -> Result<Bytes, CutOff> {
        self.current = None;
        self.finish(outcome);
        Err(CutOff)
    }

    fn finish(&mut self, outcome: &str) {
        self.is_over = true;
        self.tracker.finish(outcome, 200);
    }
}
