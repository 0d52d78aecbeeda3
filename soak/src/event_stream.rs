//! The event streams of the stand-ins for engines.

use std::sync::Arc;
use std::time::Duration;

use banyanarch_platform::stand_in::ForwardedHead;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::Response;
use hyper::body::Frame;
use tokio::sync::mpsc;

use crate::call;
use crate::crash_point::CrashPoint;
use crate::crashing_request::crash_point;
use crate::upstream_body::Body;
use crate::upstream_body::FrameStream;
use crate::upstream_mode::UpstreamMode;
use crate::upstream_shared::UpstreamShared;
use crate::upstream_slots::Slot;

/// Time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(30);

/// The number of events that [`CrashPoint::Events`] sends.
const EVENTS_BEFORE_CRASH: u32 = 3;

/// The events of a response to a prompt after the last one that the caller has received.
pub(crate) struct EventStream {
    shared: Arc<UpstreamShared>,
    request: String,
    /// The id of the first event.
    first: u32,
    /// Where the request crashes the upstream; none if it does not do so in the stream.
    crash_point: Option<CrashPoint>,
    /// The mode when the request arrived.
    mode: UpstreamMode,
    /// The slot, which is free again at the end of the stream.
    _slot: Option<Slot>,
}

impl EventStream {
    pub(crate) fn new(
        shared: Arc<UpstreamShared>,
        forwarded: &ForwardedHead,
        mode: UpstreamMode,
        slot: Option<Slot>,
    ) -> Self {
        let crash_point = crash_point(&forwarded.request, &shared.id);
        Self {
            shared,
            request: forwarded.request.clone(),
            first: forwarded.last_event.unwrap_or(0) + 1,
            crash_point: crash_point.filter(|point| point.is_in_stream()),
            mode,
            _slot: slot,
        }
    }

    /// Returns a response that streams the events. The stream pauses while the upstream is
    /// unresponsive or silent. The request may crash the upstream at the first event.
    /// With [`UpstreamMode::TruncatesResponses`] the stream fails in the middle of its third event.
    pub(crate) fn into_response(self) -> Response<Body> {
        let (sender, receiver) = mpsc::channel(1);
        tokio::spawn(async move {
            let shared = Arc::clone(&self.shared);
            shared.silence.run(self.send_all(sender)).await;
        });
        let frames = StreamBody::new(FrameStream(receiver));
        Response::new(frames.boxed_unsync())
    }

    /// Sends the events until the last one, or until the stream fails or nobody receives it.
    async fn send_all(self, sender: mpsc::Sender<Result<Frame<Bytes>, std::io::Error>>) {
        let mut mode_updates = self.shared.mode.subscribe();
        if let Some(point) = self.crash_point {
            self.crash(point, &sender).await;
            return;
        }
        for id in self.first..=call::event_count(&self.request) {
            tokio::time::sleep(EVENT_INTERVAL).await;
            if mode_updates
                .wait_for(|mode| *mode != UpstreamMode::Unresponsive)
                .await
                .is_err()
            {
                return;
            }
            let event = self.event(id);
            if self.mode == UpstreamMode::TruncatesResponses && id == self.first + 2 {
                let partial_event = Bytes::copy_from_slice(&event.as_bytes()[..9]);
                let _ = sender.send(Ok(Frame::data(partial_event))).await;
                let _ = sender.send(Err(std::io::Error::other("truncated"))).await;
                return;
            }
            let frame = Frame::data(Bytes::from(event));
            if sender.send(Ok(frame)).await.is_err() {
                return;
            }
        }
    }

    /// Ends the upstream at this point of the answer.
    async fn crash(
        &self,
        point: CrashPoint,
        sender: &mpsc::Sender<Result<Frame<Bytes>, std::io::Error>>,
    ) {
        if point == CrashPoint::Events {
            for id in self.first..self.first + EVENTS_BEFORE_CRASH {
                let _ = sender.send(Ok(Frame::data(self.event(id).into()))).await;
                tokio::time::sleep(EVENT_INTERVAL).await;
            }
        }
        let event = self.event(self.first);
        let sent_bytes = match point {
            CrashPoint::Event => event.len(),
            CrashPoint::HalfEvent => event.len() / 2,
            _ => 0,
        };
        if sent_bytes > 0 {
            let sent = Bytes::copy_from_slice(&event.as_bytes()[..sent_bytes]);
            let _ = sender.send(Ok(Frame::data(sent))).await;
        }
        tokio::time::sleep(EVENT_INTERVAL).await;
        self.shared.crash(&self.request);
        // The connections are reset before the stream ends.
        tokio::time::sleep(EVENT_INTERVAL).await;
    }

    /// The event with this id.
    fn event(&self, id: u32) -> String {
        let data = call::event_data(&self.request, id);
        format!("id: {id}\ndata: {data}\n\n")
    }
}
