//! A stand-in for a runner: a listener that checks which instance a request is meant for, and can
//! crash and start again.

use std::io::BufReader;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::common::http;
use crate::common::http::Message;
use crate::common::json::Json;
use crate::common::store::Store;

unsafe extern "C" {
    fn connect(fd: i32, addr: *const [u8; 16], len: u32) -> i32;
}

/// Resets a connection, whoever else holds a handle of it: connecting a socket to an address of no
/// family ends its connection with a reset.
pub fn reset(stream: &TcpStream) {
    let unspecified = [0u8; 16];
    // SAFETY: the address is valid for the length that is passed, and the descriptor is open.
    unsafe { connect(stream.as_raw_fd(), &unspecified, 16) };
}

/// What handles the requests of a runner: the runner, the request and the connection.
pub type Handler = Arc<dyn Fn(&Runner, &Message, &mut TcpStream) + Send + Sync>;

/// One runner, with one incarnation after the other at the same address.
pub struct Runner {
    pub name: String,
    pub service: &'static str,
    pub zone: String,
    pub slots: u32,
    /// The address in the store.
    pub addr: String,
    incarnation: Mutex<Incarnation>,
    /// The requests that the runner works on.
    pub active: AtomicUsize,
    is_up: AtomicBool,
    handler: Handler,
}

#[derive(Clone, Debug, Default)]
struct Incarnation {
    number: u32,
    born_ms: u128,
}

impl Runner {
    /// Starts a runner that listens on free ports of `ips`, one for each address, and returns it
    /// with the addresses. The first one stands in the store.
    pub fn start(
        name: &str,
        service: &'static str,
        zone: &str,
        slots: u32,
        ips: &[String],
        handler: Handler,
    ) -> (Arc<Self>, Vec<String>) {
        let bind = |ip: &String| TcpListener::bind((ip.as_str(), 0)).expect("cannot listen");
        let listeners: Vec<TcpListener> = ips.iter().map(bind).collect();
        let addr = |listener: &TcpListener| listener.local_addr().expect("no address").to_string();
        let addrs: Vec<String> = listeners.iter().map(addr).collect();
        let runner = Arc::new(Self {
            name: name.to_owned(),
            service,
            zone: zone.to_owned(),
            slots,
            addr: addrs[0].clone(),
            incarnation: Mutex::default(),
            active: AtomicUsize::new(0),
            is_up: AtomicBool::new(true),
            handler,
        });
        runner.begin_incarnation();
        for listener in listeners {
            runner.listen(listener);
        }
        (runner, addrs)
    }

    fn begin_incarnation(&self) {
        let mut incarnation = self.lock();
        incarnation.number += 1;
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        incarnation.born_ms = now.unwrap_or_default().as_millis();
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Incarnation> {
        self.incarnation
            .lock()
            .unwrap_or_else(|err| err.into_inner())
    }

    /// The id of the present incarnation.
    pub fn id(&self) -> String {
        format!("i-{}-{}", self.name, self.lock().number)
    }

    /// Writes the entry of the runner into the store.
    pub fn register(&self, store: &Store, state: &str) {
        let spec = format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":{},"state":"{state}","cold-left-ms":0,"sequence":1,"born":{}}}"#,
            self.service,
            self.addr,
            self.zone,
            self.slots,
            self.lock().born_ms
        );
        store.put("servers", &self.id(), Json::parse(&spec));
    }

    /// Whether the runner is up.
    pub fn is_up(&self) -> bool {
        self.is_up.load(Ordering::SeqCst)
    }

    /// Crashes: resets all connections and refuses new ones.
    pub fn crash(&self) {
        self.is_up.store(false, Ordering::SeqCst);
    }

    /// Starts again as a new incarnation with a new id.
    pub fn restart(&self) {
        self.begin_incarnation();
        self.is_up.store(true, Ordering::SeqCst);
    }

    /// Accepts connections while the runner is up. While it is down nothing listens, so connections
    /// are refused.
    fn listen(self: &Arc<Self>, listener: TcpListener) {
        let runner = Arc::clone(self);
        let addr = listener.local_addr().expect("no address");
        std::thread::spawn(move || {
            let mut listener = Some(listener);
            let mut open: Vec<TcpStream> = Vec::new();
            loop {
                std::thread::sleep(Duration::from_millis(1));
                if !runner.is_up() {
                    listener = None;
                    open.drain(..).for_each(|stream| reset(&stream));
                    continue;
                }
                let Some(accepting) = &listener else {
                    listener = TcpListener::bind(addr).ok();
                    continue;
                };
                let _ = accepting.set_nonblocking(true);
                while let Ok((stream, _)) = accepting.accept() {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    open.extend(stream.try_clone());
                    let runner = Arc::clone(&runner);
                    std::thread::spawn(move || runner.serve(stream));
                }
                if open.len() > 500 {
                    open.drain(..250);
                }
            }
        });
    }

    /// Serves one connection.
    fn serve(self: Arc<Self>, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read_request(&mut reader) {
            let id = self.id();
            let is_other = request
                .header("x-expect-instance")
                .is_some_and(|expected| expected != id);
            if is_other {
                let head = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: {id}\r\n\
                     X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                );
                let _ = writer.write_all(head.as_bytes());
                continue;
            }
            self.active.fetch_add(1, Ordering::SeqCst);
            (self.handler)(&self, &request, &mut writer);
            self.active.fetch_sub(1, Ordering::SeqCst);
            // A handler whose answer ends with the connection has shut it down.
        }
    }
}

/// The head of the answer to a request that has run. `framing` is a header line, or empty if the
/// answer ends with the connection.
pub fn success_head(request: &Message, content_type: &str, framing: &str) -> String {
    let id = request.header("x-attempt-id").unwrap_or_default();
    format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: seal.{id}\r\n\
         Content-Type: {content_type}\r\n{framing}\r\n"
    )
}
