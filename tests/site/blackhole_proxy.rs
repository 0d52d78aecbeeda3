//! A TCP proxy between a host and the platform that can drop all traffic.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::copy_bidirectional;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Forwards connections to one address. While it is a blackhole, it accepts connections but neither
/// responds nor closes them, as an unreachable network does.
pub(crate) struct BlackholeProxy {
    pub(crate) addr: SocketAddr,
    is_blackhole: Arc<AtomicBool>,
}

impl BlackholeProxy {
    /// Starts a proxy that forwards connections to `target`.
    pub(crate) async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let is_blackhole = Arc::new(AtomicBool::new(false));
        let blackhole = Arc::clone(&is_blackhole);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(forward(stream, target, Arc::clone(&blackhole)));
            }
        });
        Self { addr, is_blackhole }
    }

    /// Starts or stops dropping traffic.
    pub(crate) fn set_blackhole(&self, is_blackhole: bool) {
        self.is_blackhole.store(is_blackhole, Ordering::SeqCst);
    }
}

async fn forward(mut client: TcpStream, target: SocketAddr, blackhole: Arc<AtomicBool>) {
    let becomes_blackhole = async {
        while !blackhole.load(Ordering::SeqCst) {
            sleep(Duration::from_millis(10)).await;
        }
    };
    let Ok(mut server) = TcpStream::connect(target).await else {
        return;
    };
    tokio::select! {
        _ = copy_bidirectional(&mut client, &mut server) => return,
        () = becomes_blackhole => {}
    }
    drop(server);
    while blackhole.load(Ordering::SeqCst) {
        sleep(Duration::from_millis(50)).await;
    }
}
