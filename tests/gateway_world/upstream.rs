//! An upstream that does what a test tells it, request by request.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// What to do with one request.
#[derive(Clone, Debug)]
pub enum ScriptStep {
    /// Answer with this status and body, signed.
    Answer(u16, &'static str),
    /// The same with status 200, after a while.
    AnswerAfter(Duration, &'static str),
    /// Answer without a signature.
    Unsigned(u16, &'static str),
    /// Answer another request than the one that was sent.
    Crossed,
    /// Say that it did not run.
    TurnAway,
    /// Break the connection without an answer.
    Break,
    /// Announce more bytes than come, then close.
    CutShort,
    /// Say nothing until the other end leaves.
    Hang,
    /// Write the events after the one that was asked for up to this one, and end.
    Events(u32),
    /// The same, and then break in the middle of the next event.
    EventsThenBreak(u32),
    /// The same, and then say nothing until the other end leaves.
    EventsThenHang(u32),
}

/// A request as it arrived.
#[derive(Clone, Debug)]
pub struct Arrival {
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
}

#[derive(Default)]
struct State {
    acts: VecDeque<ScriptStep>,
    arrivals: Vec<Arrival>,
    left_early: usize,
    /// What it says of its limit in its answers.
    limit: Option<&'static str>,
}

/// An upstream on a port of its own. After the last act it repeats it.
#[derive(Clone)]
pub struct ScriptedUpstream {
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl ScriptedUpstream {
    pub async fn start(acts: impl IntoIterator<Item = ScriptStep>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let state = State {
            acts: acts.into_iter().collect(),
            ..State::default()
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

    /// How often the other end left while a request was waiting.
    pub fn left_early(&self) -> usize {
        self.state.lock().unwrap().left_early
    }

    /// Names a limit in the answers from now on, or none.
    pub fn set_limit(&self, limit: Option<&'static str>) {
        self.state.lock().unwrap().limit = limit;
    }

    async fn serve(&self, mut stream: TcpStream) {
        let Some(arrival) = read_request(&mut stream).await else {
            return;
        };
        let act = {
            let mut state = self.state.lock().unwrap();
            state.arrivals.push(arrival.clone());
            if state.acts.len() > 1 {
                state.acts.pop_front().unwrap()
            } else {
                state.acts.front().expect("an act").clone()
            }
        };
        self.act(&mut stream, &arrival, act).await;
    }

    async fn act(&self, stream: &mut TcpStream, arrival: &Arrival, act: ScriptStep) {
        let request = arrival.header("test-request").unwrap_or_default();
        let limit = self.state.lock().unwrap().limit;
        let limit = limit.map_or_else(String::new, |limit| format!("test-limit: {limit}\r\n"));
        let signed = format!("test-request: {request}\r\ntest-signature: s\r\n{limit}");
        let after: u32 = arrival
            .header("test-after")
            .and_then(|after| after.parse().ok())
            .unwrap_or(0);
        let whole = |status: u16, headers: &str, body: &str| {
            let len = body.len();
            format!("HTTP/1.1 {status} X\r\n{headers}content-length: {len}\r\n\r\n{body}")
        };
        let events = |to: u32| {
            let events: String = (after + 1..=to).map(event).collect();
            format!("HTTP/1.1 200 OK\r\n{signed}content-type: text/event-stream\r\n\r\n{events}")
        };
        let text = match &act {
            ScriptStep::Answer(status, body) => whole(*status, &signed, body),
            ScriptStep::AnswerAfter(after, body) => {
                tokio::time::sleep(*after).await;
                whole(200, &signed, body)
            }
            ScriptStep::Unsigned(status, body) => {
                whole(*status, &format!("test-request: {request}\r\n"), body)
            }
            ScriptStep::Crossed => {
                whole(200, "test-request: other\r\ntest-signature: s\r\n", "other")
            }
            ScriptStep::TurnAway => whole(503, "test-not-run: 1\r\n", ""),
            ScriptStep::CutShort => {
                format!("HTTP/1.1 200 OK\r\n{signed}content-length: 100\r\n\r\nnot all of it")
            }
            ScriptStep::Break | ScriptStep::Hang => String::new(),
            ScriptStep::Events(to) | ScriptStep::EventsThenHang(to) => events(*to),
            ScriptStep::EventsThenBreak(to) => {
                let next = event(to + 1);
                format!("{}{}", events(*to), &next[..next.len() / 2])
            }
        };
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
        match act {
            ScriptStep::Hang | ScriptStep::EventsThenHang(_) => self.wait_until_left(stream).await,
            ScriptStep::Break | ScriptStep::EventsThenBreak(_) => reset(stream),
            _ => {}
        }
    }

    async fn wait_until_left(&self, stream: &mut TcpStream) {
        let mut byte = [0_u8];
        let read = stream.read(&mut byte).await;
        if !matches!(read, Ok(1)) {
            self.state.lock().unwrap().left_early += 1;
        }
    }
}

/// Event number `id`.
pub fn event(id: u32) -> String {
    format!("id: {id}\ndata: word-{id}\n\n")
}

/// Makes the drop of the stream reset the connection, so that what was written before does not look
/// like a whole answer.
fn reset(stream: &TcpStream) {
    // Waits until what was written has been read, since a reset may overtake it.
    std::thread::sleep(Duration::from_millis(30));
    #[allow(deprecated)]
    stream.set_linger(Some(Duration::ZERO)).unwrap();
}

async fn read_request(stream: &mut TcpStream) -> Option<Arrival> {
    let mut bytes = Vec::new();
    let mut buffer = [0_u8; 4096];
    loop {
        let count = stream.read(&mut buffer).await.ok()?;
        if count == 0 {
            return None;
        }
        bytes.extend_from_slice(&buffer[..count]);
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let mut arrival = Arrival {
            head: head.to_owned(),
            body: body.to_owned(),
        };
        let len = arrival.header("content-length").unwrap_or("0");
        let len: usize = len.parse().unwrap();
        if body.len() >= len {
            arrival.body.truncate(len);
            return Some(arrival);
        }
    }
}
