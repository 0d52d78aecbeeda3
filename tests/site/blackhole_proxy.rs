//! A way between a host and the platform that can be cut.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::copy_bidirectional;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Passes connections on to one address. Cut, it swallows them without an answer, as a network
/// does.
pub(crate) struct BlackholeProxy {
    pub(crate) addr: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl BlackholeProxy {
    pub(crate) async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let is_cut = Arc::new(AtomicBool::new(false));
        let cut = Arc::clone(&is_cut);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(pass(stream, target, Arc::clone(&cut)));
            }
        });
        Self { addr, is_cut }
    }

    pub(crate) fn set_blackhole(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }
}

async fn pass(mut near: TcpStream, target: SocketAddr, cut: Arc<AtomicBool>) {
    let becomes_cut = async {
        while !cut.load(Ordering::SeqCst) {
            sleep(Duration::from_millis(10)).await;
        }
    };
    let Ok(mut far) = TcpStream::connect(target).await else {
        return;
    };
    tokio::select! {
        _ = copy_bidirectional(&mut near, &mut far) => return,
        () = becomes_cut => {}
    }
    drop(far);
    while cut.load(Ordering::SeqCst) {
        sleep(Duration::from_millis(50)).await;
    }
}
