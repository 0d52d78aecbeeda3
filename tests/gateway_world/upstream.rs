//! An upstream that follows a script, one step per request.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// How the upstream handles one request.
#[derive(Clone, Debug)]
pub enum ScriptStep {
    /// Respond with this status and body, signed.
    Respond(u16, &'static str),
    /// Respond with status 200 and this body, signed, after a delay.
    RespondAfter(Duration, &'static str),
    /// Respond without a signature.
    Unsigned(u16, &'static str),
    /// Respond with the id of a different request.
    RespondToOther,
    /// Refuse the request as not run.
    Refuse,
    /// Reset the connection without a response.
    Break,
    /// Reset the connection without a response if the request has this path, and otherwise respond.
    BreakOn(&'static str),
    /// Announce a longer body than is sent, then close the connection.
    Truncate,
    /// Reset the connection after the head of the response if the request has this part in its
    /// prompt, and refuse all requests until [`ScriptedUpstream::restart`]; otherwise send three events
    /// and end the stream.
    CrashOnPart(&'static str),
    /// The same, but crash after the complete events up to this one, without a head if it is 0.
    CrashOnPartAfter(&'static str, u32),
    /// Send nothing until the other end disconnects.
    Hang,
    /// Send a signed head with this status, and then this: fields, an empty line and a body.
    Spoilt(&'static str, &'static str),
    /// Respond with status 200 and this body, signed, without its length. The body ends with the
    /// connection.
    Unframed(&'static str),
    /// Send the same, and reset the connection instead of closing it.
    UnframedThenReset(&'static str),
    /// Send the same, and then nothing until the other end disconnects.
    UnframedThenHang(&'static str),
    /// Send the first half of the head of a response, and then nothing until the other end disconnects.
    HalfHeadThenHang,
    /// Send the events after the requested one up to this one, and end the stream.
    Events(u32),
    /// Send the same events and half of the next one, and close the connection.
    EventsThenEnd(u32),
    /// Send the same events, and reset the connection in the middle of the next event.
    EventsThenBreak(u32),
    /// Send the same events, and then nothing until the other end disconnects.
    EventsThenHang(u32),
    /// Send the events after the requested one up to the first number, pause, and send the rest up to
    /// the second one. With 0 the pause comes before the head of the response.
    EventsWithPause(u32, Duration, u32),
}

/// A received request.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub head: String,
    pub body: String,
}

impl Arrival {
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().skip(1);
        let mut fields = lines.filter_map(|line| line.split_once(": "));
        let found = fields.find(|(field, _)| field.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value)
    }

    /// The path of the request.
    pub fn path(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or_default()
    }
}

impl Arrival {
    /// Whether the prompt of the request has this part.
    pub fn has_part(&self, part: &str) -> bool {
        let parts = self.header("test-parts").unwrap_or_default();
        parts.split(',').any(|listed| listed == part)
    }
}

/// The rest of the script, and what the upstream has recorded.
#[derive(Default)]
struct ScriptState {
    script: VecDeque<ScriptStep>,
    arrivals: Vec<Arrival>,
    early_disconnects: usize,
    /// When the upstream crashed; none while it is up.
    crashed_at: Option<Instant>,
    /// The limit that responses advertise.
    limit: Option<&'static str>,
    /// Further header lines of all responses, each with its line end.
    header_lines: String,
}

/// A scripted upstream on a port of its own. The last step of the script is repeated.
#[derive(Clone)]
pub struct ScriptedUpstream {
    pub addr: SocketAddr,
    state: Arc<Mutex<ScriptState>>,
}

impl ScriptedUpstream {
    pub async fn start(script: impl IntoIterator<Item = ScriptStep>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let state = ScriptState {
            script: script.into_iter().collect(),
            ..ScriptState::default()
        };
        let upstream = Self {
            addr: listener.local_addr().unwrap(),
            state: Arc::new(Mutex::new(state)),
        };
        let serving = upstream.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let serving = serving.clone();
                tokio::spawn(async move { serving.serve(stream).await });
            }
        });
        upstream
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.state.lock().unwrap().arrivals.clone()
    }

    /// How often the other end disconnected while a request was pending.
    pub fn early_disconnects(&self) -> usize {
        self.state.lock().unwrap().early_disconnects
    }

    /// Sets the limit that responses advertise from now on; none removes it.
    pub fn set_limit(&self, limit: Option<&'static str>) {
        self.state.lock().unwrap().limit = limit;
    }

    /// Adds these header lines, each with its line end, to all responses from now on.
    pub fn set_header_lines(&self, lines: &str) {
        lines.clone_into(&mut self.state.lock().unwrap().header_lines);
    }

    /// When the upstream crashed; none while it is up.
    pub fn crashed_at(&self) -> Option<Instant> {
        self.state.lock().unwrap().crashed_at
    }

    /// Lets the upstream accept requests again after a crash.
    pub fn restart(&self) {
        self.state.lock().unwrap().crashed_at = None;
    }

    /// Records a request and returns how to handle it.
    fn next_step(&self, arrival: &Arrival) -> ScriptStep {
        let mut state = self.state.lock().unwrap();
        if state.crashed_at.is_some() {
            return ScriptStep::Refuse;
        }
        state.arrivals.push(arrival.clone());
        if state.script.len() > 1 {
            state.script.pop_front().unwrap()
        } else {
            state.script.front().expect("the script has a step").clone()
        }
    }

    async fn serve(&self, mut stream: TcpStream) {
        let Some(arrival) = read_request(&mut stream).await else {
            return;
        };
        let step = self.next_step(&arrival);
        self.run(&mut stream, &arrival, step).await;
    }

    async fn run(&self, stream: &mut TcpStream, arrival: &Arrival, step: ScriptStep) {
        let request = arrival.header("test-request").unwrap_or_default();
        let (limit, lines) = {
            let state = self.state.lock().unwrap();
            (state.limit, state.header_lines.clone())
        };
        let limit = limit.map_or_else(String::new, |limit| format!("test-limit: {limit}\r\n"));
        let signed = format!("test-request: {request}\r\ntest-signature: s\r\n{limit}{lines}");
        let after: u32 = arrival
            .header("test-after")
            .and_then(|after| after.parse().ok())
            .unwrap_or(0);
        let full = |status: u16, headers: &str, body: &str| {
            let len = body.len();
            format!("HTTP/1.1 {status} X\r\n{headers}content-length: {len}\r\n\r\n{body}")
        };
        let events = |to: u32| {
            let events: String = (after + 1..=to).map(event).collect();
            format!("HTTP/1.1 200 OK\r\n{signed}content-type: text/event-stream\r\n\r\n{events}")
        };
        let crashes = match &step {
            ScriptStep::CrashOnPart(part) | ScriptStep::CrashOnPartAfter(part, _) => {
                arrival.has_part(part)
            }
            _ => false,
        };
        let breaks = match &step {
            ScriptStep::BreakOn(path) => arrival.path() == *path,
            _ => false,
        };
        let text = match &step {
            ScriptStep::Respond(status, body) => full(*status, &signed, body),
            ScriptStep::RespondAfter(after, body) => {
                tokio::time::sleep(*after).await;
                full(200, &signed, body)
            }
            ScriptStep::Unsigned(status, body) => {
                full(*status, &format!("test-request: {request}\r\n"), body)
            }
            ScriptStep::RespondToOther => {
                full(200, "test-request: other\r\ntest-signature: s\r\n", "other")
            }
            ScriptStep::Refuse => full(503, &format!("test-not-run: 1\r\n{lines}"), ""),
            ScriptStep::Truncate => {
                format!("HTTP/1.1 200 OK\r\n{signed}content-length: 100\r\n\r\nincomplete")
            }
            ScriptStep::BreakOn(_) if !breaks => full(200, &signed, "ok"),
            ScriptStep::Break | ScriptStep::BreakOn(_) | ScriptStep::Hang => String::new(),
            ScriptStep::CrashOnPartAfter(_, 0) if crashes => String::new(),
            ScriptStep::CrashOnPartAfter(_, to) if crashes => events(after + to),
            ScriptStep::CrashOnPart(_) if crashes => events(0),
            ScriptStep::CrashOnPart(_) | ScriptStep::CrashOnPartAfter(..) => events(3),
            ScriptStep::Events(to) | ScriptStep::EventsThenHang(to) => events(*to),
            ScriptStep::Unframed(body)
            | ScriptStep::UnframedThenReset(body)
            | ScriptStep::UnframedThenHang(body) => {
                format!("HTTP/1.1 200 OK\r\n{signed}\r\n{body}")
            }
            ScriptStep::Spoilt(status, rest) => format!("HTTP/1.1 {status}\r\n{signed}{rest}"),
            ScriptStep::HalfHeadThenHang => format!("HTTP/1.1 200 OK\r\n{signed}content-le"),
            ScriptStep::EventsWithPause(0, pause, to) => {
                tokio::time::sleep(*pause).await;
                events(*to)
            }
            ScriptStep::EventsWithPause(first, ..) => events(*first),
            ScriptStep::EventsThenBreak(to) | ScriptStep::EventsThenEnd(to) => {
                let next = event(to + 1);
                format!("{}{}", events(*to), &next[..next.len() / 2])
            }
        };
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
        match step {
            ScriptStep::Hang
            | ScriptStep::HalfHeadThenHang
            | ScriptStep::EventsThenHang(_)
            | ScriptStep::UnframedThenHang(_) => {
                self.wait_closed(stream).await;
            }
            ScriptStep::EventsWithPause(first @ 1.., pause, to) => {
                let closed = tokio::time::timeout(pause, self.wait_closed(stream));
                if closed.await.is_err() {
                    let rest: String = (first + 1..=to).map(event).collect();
                    let _ = stream.write_all(rest.as_bytes()).await;
                }
            }
            ScriptStep::Break
            | ScriptStep::EventsThenBreak(_)
            | ScriptStep::UnframedThenReset(_) => reset(stream),
            ScriptStep::BreakOn(_) if breaks => reset(stream),
            ScriptStep::CrashOnPart(_) | ScriptStep::CrashOnPartAfter(..) if crashes => {
                self.state.lock().unwrap().crashed_at = Some(Instant::now());
                reset(stream);
            }
            _ => {}
        }
    }

    async fn wait_closed(&self, stream: &mut TcpStream) {
        let mut byte = [0_u8];
        let read = stream.read(&mut byte).await;
        if !matches!(read, Ok(1)) {
            self.state.lock().unwrap().early_disconnects += 1;
        }
    }
}

/// The event with the number `id`.
pub fn event(id: u32) -> String {
    format!("id: {id}\ndata: word-{id}\n\n")
}

/// Resets the connection when the stream is dropped, so that the data sent before does not look
/// like a complete response.
fn reset(stream: &TcpStream) {
    // Waits until the data has been read, since a reset may overtake it.
    std::thread::sleep(Duration::from_millis(30));
    #[allow(deprecated)]
    stream.set_linger(Some(Duration::ZERO)).unwrap();
}

/// Reads a request; none if the other end has closed the connection.
pub async fn read_request(stream: &mut TcpStream) -> Option<Arrival> {
    let mut bytes = Vec::new();
    let head_len = loop {
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
        let end = bytes.windows(4).position(|window| window == b"\r\n\r\n");
        if let Some(end) = end {
            break end;
        }
    };
    let mut arrival = Arrival {
        at: Instant::now(),
        head: String::from_utf8_lossy(&bytes[..head_len]).into_owned(),
        body: String::new(),
    };
    let len = arrival.header("content-length").unwrap_or("0");
    let len: usize = len.parse().unwrap();
    let body_at = head_len + 4;
    while bytes.len() < body_at + len {
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
    arrival.body = String::from_utf8_lossy(&bytes[body_at..body_at + len]).into_owned();
    Some(arrival)
}
